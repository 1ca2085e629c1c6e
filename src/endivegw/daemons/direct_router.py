"""A router that calls targets directly: listeners, feeds, graceful shutdown."""

from __future__ import annotations

from traceback import format_exception
from typing import Any, Awaitable, Callable, Iterable

import anyio
from anyio.abc import TaskGroup
from attrs import asdict, frozen

from endivegw.allowances import AllowanceManager
from endivegw.capacity import ConnectionLimit, GaveWayCounter
from endivegw.daemons.direct_readers import PeerReader
from endivegw.daemons.row_feed import RowFeed
from endivegw.daemons.target_reader import TargetReader
from endivegw.decisions import LoadFigures, LocalLoad
from endivegw.gossip import PeerEntry, PeerLink
from endivegw.gossip.peers import PEERS_TABLE
from endivegw.relay.answer_writer import AnswerWriter
from endivegw.relay.caller_connection import CallerConnection, Handler
from endivegw.relay.connection_end import ConnectionEnd
from endivegw.relay.context import RelayContext
from endivegw.relay.messages import CallerRequest
from endivegw.relay.request_intake import ANY_BODY, NO_BODY, RequestIntake
from endivegw.results import Refused
from endivegw.routing import CallerLimits
from endivegw.services.relayed_rows import RELAY_PATH, RelayedRowStore
from endivegw.services.row_store import ExpectedRow, NewRow, RowStorePort
from endivegw.settings.reader import Address
from endivegw.supervision import keep_running, record_failure
from endivegw.tcp_stream import TcpStream, TrafficMeter, serve_tcp
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events
from endivegw.types import TargetName

__all__ = ["DirectRouter", "DirectRouterOptions"]

#: Maximum connections that wait to be accepted; a load balancer opens many at
#: once when a router joins.
_BACKLOG = 1024

#: Interval at which this router's row is checked, and written if it is missing.
_REGISTER_INTERVAL_S = 0.2

#: Minimum interval of the log lines on requests and connections that gave way.
_GAVE_WAY_INTERVAL_S = 1.0

#: Maximum number of requests that one log line names.
_MAX_LOGGED_REQUESTS = 8

_NO_LOAD = LocalLoad(0, 0)

_OK, _BAD_REQUEST, _NOT_FOUND, _UNAVAILABLE = 200, 400, 404, 503


@frozen
class DirectRouterOptions:
    """Hold the durations of a graceful shutdown, and a timeout.

    :param stop_after_s: seconds for which a stopping router accepts new
        connections: the load balancer checks it once a second and stops using it
        after two failed checks.
    :param stop_within_s: maximum duration of the shutdown in seconds.
    :param last_answers_s: time in seconds for the answers to requests that are still in
        progress then.
    :param write_timeout_s: timeout in seconds for writes of this router's row.
    """

    stop_after_s: float = 2.6
    stop_within_s: float = 7.4
    last_answers_s: float = 0.2
    write_timeout_s: float = 1.0


@frozen
class DirectRouterParts:
    """Hold the parts of a router, as wired by the composition root."""

    context: RelayContext
    handler: Handler
    intake: RequestIntake
    allowances: AllowanceManager
    link: PeerLink
    store: RowStorePort
    targets: TargetReader
    peer_reader: PeerReader
    feeds: tuple[RowFeed, ...]
    callers_address: Address
    ready_address: Address
    metrics_address: Address | None
    peers_address: Address
    relayed_store: RelayedRowStore
    meter: TrafficMeter
    connection_limit: ConnectionLimit[CallerConnection]
    clock: Callable[[], float]
    log: EventLog


@frozen
class _Listener:
    """Hold an address, and how requests that arrive there are answered.

    :param accepting: stops the listener when cancelled; None for one that runs as long
        as the router.
    """

    address: Address
    handler: Handler
    intake: RequestIntake
    accepting: anyio.CancelScope | None = None


class DirectRouter:
    """Run one router until it is drained."""

    def __init__(
        self,
        parts: DirectRouterParts,
        options: DirectRouterOptions = DirectRouterOptions(),
    ) -> None:
        self._parts = parts
        self._options = options
        self._connections: set[CallerConnection] = set()
        self._stopped = anyio.Event()
        #: Cancelled to stop accepting connections from callers.
        self._accepting: anyio.CancelScope | None = None
        parts.context.on_new_limits = self._apply_limits
        parts.context.metrics.gauge(
            "caller_connections",
            "Open connections of callers.",
            lambda: len(self._connections),
        )

    @property
    def entry(self) -> PeerEntry:
        """Return the entry under which other routers know this one."""
        return self._parts.link.entry

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send callers to this router."""
        context = self._parts.context
        loaded = context.table is not None and self._parts.allowances.ready
        if not loaded or not context.quarantine.listing_attempted or context.draining:
            return False
        return context.capacity is None or context.capacity.in_rotation

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until stopped."""
        parts = self._parts
        self._accepting = anyio.CancelScope()
        async with anyio.create_task_group() as tasks:
            for name, run in self._background_tasks():
                tasks.start_soon(keep_running, name, run, parts.log)
            tasks.start_soon(self._run_allowances)
            # Without its socket, the link must not seem to run.
            tasks.start_soon(parts.link.run)
            listeners = [
                _Listener(parts.ready_address, self._serve_readiness, NO_BODY),
                _Listener(parts.peers_address, self._serve_store_calls, ANY_BODY),
                _Listener(
                    parts.callers_address, parts.handler, parts.intake, self._accepting
                ),
            ]
            if parts.metrics_address is not None:
                listeners.append(
                    _Listener(parts.metrics_address, self._serve_metrics, NO_BODY)
                )
            for listener in listeners:
                tasks.start_soon(self._listen, listener, tasks)
            parts.log.emit(
                events.PROCESS_STARTED,
                vm=parts.link.entry.vm,
                instance=parts.link.entry.instance_id,
                address=str(parts.callers_address),
            )
            task_status.started()
            await self._stopped.wait()
            tasks.cancel_scope.cancel()
        parts.log.emit(events.PROCESS_STOPPED, connections=len(self._connections))

    def _background_tasks(self) -> list[tuple[str, Callable[[], Awaitable[None]]]]:
        """Return the tasks, by name, that run as long as the router."""
        parts = self._parts
        context = parts.context
        found: list[tuple[str, Callable[[], Awaitable[None]]]] = [
            (feed.name, feed.run) for feed in parts.feeds
        ]
        found += [
            ("queue", context.queue.run),
            ("idle connections", context.pool.run),
            ("quarantine", context.quarantine.run),
            ("streams", context.streams.run),
            ("registration", self._maintain_registration),
            ("load", self._report_load),
            ("gave way", self._report_gave_way),
        ]
        if context.capacity is not None:
            found.append(("capacity", context.capacity.run))
        return found

    async def _run_allowances(self) -> None:
        """Account for tokens; shut the router down if that fails.

        Going on without the outcome of a write could spend tokens twice. The process
        that follows this one takes over its row.
        """
        parts = self._parts
        try:
            await parts.allowances.run()
        except Exception as error:
            record_failure(parts.log, "allowances", error)
            await self.drain()
            raise

    async def drain(self) -> None:
        """Finish running requests, return tokens, then let :meth:`run` return."""
        options = self._options
        self._parts.context.draining = True
        self._parts.log.emit(
            events.DRAINING_STARTED, connections=len(self._connections)
        )
        try:
            with anyio.move_on_after(options.stop_within_s):
                await self._finish_requests()
        except Exception as error:
            record_failure(self._parts.log, "shutdown", error)
        await self._answer_rest()
        try:
            await self._parts.allowances.send_final_statement()
        finally:
            self._stopped.set()

    async def _finish_requests(self) -> None:
        """Wait for running requests while callers move on, then return the tokens."""
        await anyio.sleep(self._options.stop_after_s)
        # A load balancer with too few other routers keeps sending callers to
        # this one. A connection accepted late would be closed by the
        # shutdown, whereas a refused one goes to another router at once.
        if self._accepting is not None:
            self._accepting.cancel()
        for connection in list(self._connections):
            connection.close_when_idle()
        while any(connection.busy for connection in self._connections):
            await anyio.sleep(0.05)
        await self._parts.allowances.stop()
        # The row is removed only after the tokens were returned: until then
        # it shows the other routers whose tokens they may have to take over.
        await self._unregister()

    async def _answer_rest(self) -> None:
        """Answer the requests that are still in progress at the end of a shutdown."""
        context = self._parts.context
        context.stopped = True
        for request in list(context.running):
            request.stop()
        with anyio.move_on_after(self._options.last_answers_s):
            while any(connection.busy for connection in self._connections):
                await anyio.sleep(0.01)

    async def _listen(self, listener: _Listener, tasks: TaskGroup) -> None:
        """Serve connections in ``tasks``, so that they outlive the listener."""

        async def serve(stream: TcpStream) -> None:
            await self._serve_connection(stream, listener)

        with listener.accepting or anyio.CancelScope():
            await serve_tcp(
                serve,
                listener.address.ip,
                listener.address.port,
                backlog=_BACKLOG,
                tasks=tasks,
                meter=self._parts.meter,
                make_room=self._make_room,
            )

    def _make_room(self) -> bool:
        """Make room for a connection; return whether there is any."""
        limit = self._parts.connection_limit
        while limit.is_full:
            waiting = limit.pop_waiting()
            if waiting is None:
                return False
            waiting.close_for_another()
        return True

    async def _serve_connection(self, stream: TcpStream, listener: _Listener) -> None:
        limit = self._parts.connection_limit
        connection = CallerConnection(
            stream,
            listener.handler,
            self._limits,
            self._moves_callers,
            self._parts.clock,
            self._record_connection_end,
            listener.intake,
            limit.set_state,
        )
        self._connections.add(connection)
        try:
            await connection.serve()
        except Exception as error:
            # An exception in a task group cancels the whole group, which is the
            # router; one failed request must not abort all others.
            self._parts.log.emit(
                events.CONNECTION_FAILED, detail="".join(format_exception(error))
            )
        finally:
            self._connections.discard(connection)
            limit.remove(connection)

    def _record_connection_end(self, end: ConnectionEnd) -> None:
        """Count the end of a connection; log it if something was left unanswered."""
        context = self._parts.context
        context.metrics.connection_ended(end.cause.value, len(end.unanswered))
        if not end.unanswered and (end.cause.by_caller or not end.unparsed_bytes):
            return
        table = context.table
        self._parts.log.emit(
            events.CONNECTION_UNANSWERED,
            cause=end.cause.value,
            by_caller=end.cause.by_caller,
            request_ids=self._request_ids(end.unanswered[:_MAX_LOGGED_REQUESTS]),
            unanswered=len(end.unanswered),
            answer_bytes=end.answer_bytes,
            unparsed_bytes=end.unparsed_bytes,
            age_s=round(end.age_s, 3),
            idle_s=None if end.idle_s is None else round(end.idle_s, 3),
            version=table.version if table is not None else None,
            version_age_s=round(self._parts.clock() - context.table_active_since_s, 3),
            draining=context.draining,
        )

    def _request_ids(self, requests: Iterable[CallerRequest]) -> list[str | None]:
        """Return the ids of requests; None for one that states no valid id."""
        read = self._parts.context.wire.read_caller_fields
        found = [read(request.fields) for request in requests]
        return [None if isinstance(f, Refused) else f.request_id for f in found]

    def _moves_callers(self) -> bool:
        """Return whether callers should open new connections at other routers."""
        context = self._parts.context
        moved = context.capacity is not None and context.capacity.moves_callers
        return context.draining or moved

    def _apply_limits(self) -> None:
        """Apply new limits to callers' connections, most of which are idle."""
        for connection in self._connections:
            connection.handle_new_limits()

    def _limits(self) -> CallerLimits:
        table = self._parts.context.table
        return table.limits if table is not None else CallerLimits()

    async def _serve_readiness(
        self, request: CallerRequest, writer: AnswerWriter
    ) -> None:
        """Answer the load balancer's readiness check."""
        if request.path != "/ready":
            await writer.send_complete(_NOT_FOUND, [], b"")
            return
        await writer.send_complete(_OK if self.ready else _UNAVAILABLE, [], b"")

    async def _serve_store_calls(
        self, request: CallerRequest, writer: AnswerWriter
    ) -> None:
        """Make a call to the store for a router that does not reach it."""
        if request.path != RELAY_PATH:
            await writer.send_complete(_NOT_FOUND, [], b"")
            return
        result = await self._parts.relayed_store.answer(request.body)
        if result is None:
            await writer.send_complete(_BAD_REQUEST, [], b"")
            return
        await writer.send_complete(_OK, [], result)

    async def _serve_metrics(
        self, request: CallerRequest, writer: AnswerWriter
    ) -> None:
        """Answer with the metrics page."""
        if request.path != "/metrics":
            await writer.send_complete(_NOT_FOUND, [], b"")
            return
        fields = [(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")]
        await writer.send_complete(_OK, fields, self._parts.context.metrics.page())

    async def _report_load(self) -> None:
        """Report to the dispatcher what all routers have running at the targets."""
        parts = self._parts
        dispatcher = parts.context.queue.dispatcher
        while True:
            await anyio.sleep(parts.link.interval_s())
            parts.targets.expire_missing()
            now_s = parts.clock()
            others = parts.link.peers.load(now_s)
            local = dispatcher.local_load()
            for target in parts.targets.view.targets.values():
                name = TargetName(target.instance_id)
                other = others.get(name, _NO_LOAD)
                running = local.get(name, _NO_LOAD).running + other.running
                figures = LoadFigures(
                    running,
                    0,
                    target.slots,
                    0.0,
                    0.0,
                    unread_tokens=other.unread_tokens,
                )
                dispatcher.report(name, figures, now_s)
            parts.context.queue.wake()

    async def _report_gave_way(self) -> None:
        """Log how many requests and connections have given way to others."""
        parts = self._parts
        counter = GaveWayCounter(parts.meter.memory, parts.connection_limit)
        while True:
            await anyio.sleep(_GAVE_WAY_INTERVAL_S)
            gave_way = counter.take()
            if gave_way is not None:
                parts.log.emit(events.CALLERS_GAVE_WAY, **asdict(gave_way))

    async def _maintain_registration(self) -> None:
        """Write this router's row whenever the store does not have it.

        A late write of an earlier process under the same key may overwrite it.
        """
        reader = self._parts.peer_reader
        entry = self._parts.link.entry
        while True:
            if not reader.registered and not self._parts.context.draining:
                expected = ExpectedRow(PEERS_TABLE, entry.vm, reader.own_revision)
                await self._parts.store.transact(
                    (expected,),
                    (NewRow(PEERS_TABLE, entry.vm, entry.encode()),),
                    timeout_s=self._options.write_timeout_s,
                )
            await anyio.sleep(_REGISTER_INTERVAL_S)

    async def _unregister(self) -> None:
        """Delete this router's row, unless another process has overwritten it."""
        reader = self._parts.peer_reader
        if not reader.registered:
            return
        vm = self._parts.link.entry.vm
        row = ExpectedRow(PEERS_TABLE, vm, reader.own_revision)
        await self._parts.store.transact(
            (), (), deletes=(row,), timeout_s=self._options.write_timeout_s
        )
