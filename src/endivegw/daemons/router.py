"""The router daemon: accepts callers' HTTP requests and forwards them to sidecars."""

from __future__ import annotations

from typing import Callable

import anyio
from anyio.abc import TaskGroup, TaskStatus
from attrs import asdict, frozen

from endivegw.budgets import BudgetManager
from endivegw.capacity import GaveWayCounter
from endivegw.configuration.agent import ConfigurationAgent
from endivegw.daemons.background import Background
from endivegw.daemons.client_limits import client_limits
from endivegw.daemons.evidence_broadcaster import EvidenceBroadcaster
from endivegw.daemons.http_front import HttpFrontend
from endivegw.daemons.http_guard import AnswerGuard
from endivegw.daemons.http_messages import header_limit
from endivegw.daemons.lent_grants import StrandedGrantRecovery
from endivegw.daemons.peer_directory import PeerDirectory
from endivegw.daemons.placement_queue import PlacementQueue
from endivegw.daemons.recovery_watch import RecoveryWatch
from endivegw.daemons.request_runner import RequestRunner, RunnerParts
from endivegw.daemons.router_service import RouterService
from endivegw.daemons.router_watch import RouterHeartbeats
from endivegw.daemons.slot_map_reader import SlotMapReader
from endivegw.daemons.target_watch import TargetWatch
from endivegw.http_server import ServedAddress, serve_asgi
from endivegw.peers import PeerSecurity, serve_peers
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.settings import RouterSettings
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import daemons as events
from endivegw.types import InstanceId

__all__ = ["Router", "RouterParts"]

#: Interval at which a graceful shutdown checks whether all answers have ended.
_DRAIN_POLL_S = 0.05

#: Interval of the reports on requests and connections that gave way.
_GAVE_WAY_INTERVAL_S = 1.0

#: Time for the load balancer to detect the failing readiness check before idle
#: connections are closed. Requests that arrive in this time are refused as not run,
#: and the load balancer's next try goes to another router.
_DRAIN_NOTICE_S = 1.0

#: How long requests that are ended at the end of a drain may take to be answered. It
#: covers the cancellation of their attempts at the targets.
_INTERRUPT_TIMEOUT_S = 2.0

#: How long a stopped server may take to send what it holds of answers to slow callers,
#: and to refuse requests that were received meanwhile.
CLOSE_CONNECTIONS_S = 5

#: Timeout for settling and returning grants at the end of a graceful shutdown.
_CLOSE_TIMEOUT_S = 10.0


@frozen
class RouterParts:
    """Hold the components that the composition root creates for one router."""

    settings: RouterSettings
    instance_id: InstanceId
    configuration: ConfigurationAgent
    budget_manager: BudgetManager
    queue: PlacementQueue
    watch: TargetWatch
    routers: RouterHeartbeats
    recovery: RecoveryWatch
    stranded_grants: StrandedGrantRecovery
    slots: SlotMapReader
    runner: RunnerParts
    peer_directory: PeerDirectory
    broadcaster: EvidenceBroadcaster
    header: Callable[[], pb.Header]
    on_header: Callable[[pb.Header], None]
    security: PeerSecurity
    clock: Callable[[], float]
    log: EventLog


class Router:
    """Run one router until it is drained or cancelled."""

    def __init__(self, parts: RouterParts) -> None:
        self._parts = parts
        self._draining = False
        self._stopped = anyio.Event()
        self._frontend: HttpFrontend | None = None
        self._runner: RequestRunner | None = None
        self._client_limits = client_limits(parts.settings.http)

    @property
    def ready(self) -> bool:
        """Return whether this router accepts new requests."""
        parts = self._parts
        if self._draining or not parts.configuration.ready:
            return False
        return parts.watch.settled and parts.slots.settled(parts.clock())

    @property
    def instance_id(self) -> InstanceId:
        """Return the id of this process, which is unique for each start."""
        return self._parts.instance_id

    @property
    def in_progress(self) -> int:
        """Return the number of requests that have not ended."""
        return 0 if self._frontend is None else self._frontend.in_progress

    async def run(
        self, *, task_status: TaskStatus[ServedAddress] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until :meth:`drain` has completed or the task is cancelled."""
        try:
            await self._run(task_status)
        finally:
            self._parts.peer_directory.close()
            self._parts.runner.claims.close()

    async def _run(self, task_status: TaskStatus[ServedAddress]) -> None:
        parts = self._parts
        async with anyio.create_task_group() as tasks:
            self._frontend = self._build_frontend(tasks)
            for run in (
                parts.configuration.run,
                parts.watch.run,
                parts.routers.run,
                parts.recovery.run,
                parts.stranded_grants.run,
                parts.slots.run,
                parts.queue.run,
                parts.budget_manager.run,
                parts.broadcaster.run,
                parts.runner.quarantine.run,
                self._report_gave_way,
            ):
                tasks.start_soon(run)
            peers = parts.settings.peers.listen
            service = self._build_service()
            await tasks.start(
                serve_peers, (service,), peers.ip, peers.port, parts.security
            )
            listen = parts.settings.listen
            address = await tasks.start(self._serve_frontend, listen.ip, listen.port)
            parts.log.emit(
                events.DAEMON_STARTED,
                role="router",
                instance_id=parts.instance_id,
                address=f"{address[0]}:{address[1]}",
            )
            task_status.started(address)
            await self._stopped.wait()
            tasks.cancel_scope.cancel()

    async def drain(self) -> None:
        """Refuse new requests, wait for those in progress, settle, and stop.

        Aborting an answer would cost the caller its request, so the time limit
        ``drain_bound_s`` is long; it only serves to stop an answer that never ends.
        What is in progress then is answered with an error.
        """
        parts = self._parts
        self._draining = True
        parts.log.emit(
            events.DAEMON_DRAINING,
            role="router",
            instance_id=parts.instance_id,
            in_progress=self.in_progress,
        )
        await anyio.sleep(_DRAIN_NOTICE_S)
        with anyio.move_on_after(parts.settings.process.drain_bound_s):
            await self._wait_idle()
        aborted = self.in_progress
        if self._runner is not None:
            self._runner.interrupt()
        with anyio.move_on_after(_INTERRUPT_TIMEOUT_S):
            await self._wait_idle()
        with anyio.move_on_after(_CLOSE_TIMEOUT_S):
            await parts.budget_manager.close(parts.clock())
        parts.log.emit(
            events.DAEMON_STOPPED,
            role="router",
            instance_id=parts.instance_id,
            cut_off=aborted,
        )
        self._stopped.set()

    async def _wait_idle(self) -> None:
        while self.in_progress:
            await anyio.sleep(_DRAIN_POLL_S)

    async def _serve_frontend(
        self, ip: str, port: int, *, task_status: TaskStatus[ServedAddress]
    ) -> None:
        assert self._frontend is not None
        await serve_asgi(
            AnswerGuard(self._frontend, self._parts.log),
            ip,
            port,
            graceful_s=CLOSE_CONNECTIONS_S,
            header_limit=header_limit(self._parts.settings.http.max_header_bytes),
            client_limits=self._client_limits,
            task_status=task_status,
        )

    async def _report_gave_way(self) -> None:
        """Report how many requests and connections have given way to others."""
        shared = self._client_limits
        metrics = self._parts.runner.metrics
        counter = GaveWayCounter(shared.memory, shared.connections)
        while True:
            await anyio.sleep(_GAVE_WAY_INTERVAL_S)
            metrics.gauge("held_bytes", shared.memory.total_bytes)
            metrics.gauge("caller_connections", len(shared.connections))
            gave_way = counter.take()
            if gave_way is not None:
                metrics.incr("requests_gave_way", gave_way.requests)
                metrics.incr("connections_gave_way", gave_way.connections)
                self._parts.log.emit(events.HTTP_CALLERS_GAVE_WAY, **asdict(gave_way))

    def _build_service(self) -> RouterService:
        parts = self._parts
        return RouterService(
            parts.budget_manager,
            parts.configuration,
            parts.header,
            parts.on_header,
            lambda: self._draining,
            parts.broadcaster.receive,
            parts.clock,
        )

    def _build_frontend(self, background: TaskGroup) -> HttpFrontend:
        parts = self._parts
        runner = RequestRunner(parts.runner, Background(background, parts.log))
        self._runner = runner
        return HttpFrontend(
            runner,
            lambda: parts.configuration.snapshot,
            lambda: self.ready,
            # If most targets are unreachable, the fault is most likely at this router,
            # and callers are better served by another one.
            lambda: not parts.watch.seems_isolated,
            parts.settings.http,
            parts.clock,
            parts.log,
        )
