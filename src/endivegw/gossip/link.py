"""Exchange datagrams with the other routers: reports, statements and loans."""

from __future__ import annotations

import random
from typing import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup, UDPSocket

from endivegw.allowances.lending import PeerSurplus
from endivegw.allowances.witnesses import Statement
from endivegw.capacity import Headroom
from endivegw.decisions import LocalLoad, PermitRequest, Permits
from endivegw.gossip.gossip_queue import GossipQueue
from endivegw.gossip.loans import RESEND_S, Loans
from endivegw.gossip.messages import (
    MAX_DATAGRAM_BYTES,
    Acknowledgement,
    BroadcastMessage,
    Limits,
    LoanRequest,
    LoanResponse,
    Message,
    PeerState,
    PermitQuery,
    PermitResponse,
    PrefixesRead,
    StatementRequest,
    StatementResponse,
    StreamQuery,
    StreamResponse,
    StreamsBegun,
    Update,
    VersionQuery,
    VersionResponse,
    Waiver,
    decode,
    encode,
    prefix_datagrams,
    shortened,
)
from endivegw.gossip.peers import PeerEntry, PeerTable
from endivegw.gossip.permit_exchange import PermitExchange
from endivegw.gossip.stream_exchange import StreamExchange
from endivegw.rendezvous import rendezvous_order
from endivegw.streams import SoleVersion, StreamKey, StreamRecord
from endivegw.supervision import keep_running, record_failure
from endivegw.telemetry import EventLog
from endivegw.types import ClientAccountName, InstanceId, TargetName

__all__ = ["MAX_WITNESSES", "PeerLink"]

#: Interval at which a router of a small fleet reports its figures.
_MIN_STATE_INTERVAL_S = 0.1

#: Number of witnesses of a router. Any one of them that survives a loss of several
#: routers knows what it used; each receives all statements.
MAX_WITNESSES = 3


#: Pause before a broken socket is replaced.
_REOPEN_S = 0.1

_SOCKET_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)


async def _know_nothing(service: str) -> SoleVersion:
    return SoleVersion(None)


class PeerLink:
    """Communicate with the other routers.

    :param lend: debits tokens for a peer; returns how many.
    :param surplus: returns the unused tokens by account.
    :param load: returns this router's load at targets.
    :param pop_prefixes: returns prompt prefixes that targets read since the last call.
    :param on_prefixes_read: called with the prefixes that targets read for a peer's
        callers.
    :param on_loan: credits tokens that a peer debited, once for each loan request, even
        if the request has timed out: the tokens exist nowhere else.
    :param make_statement: returns the statement for the witnesses with a given
        sequence.
    :param named_witnesses: returns the routers whose acknowledgement counts.
    :param on_broadcast: called with each broadcast update received.
    :param on_lent: called with the tokens lent to a router that does not hold the
        account.
    :param on_permits: called with the answer to each request for permits.
    :param on_streams: called with records of streams that this router is to keep.
    :param find_stream: returns the version that began a stream, None if unknown here.
    :param sole_version: returns the only version of a service, confirmed by the store
        if it answers.
    :param headroom: returns what this router can carry beyond its load; None if its
        capacity is not known.
    :param reaches_store: returns whether the store answers this router's calls.
    :param waives: returns whether routers that this one is a witness of need not wait
        for it, because the store does not answer it.
    :param on_waiver: called with a witness and the sequence of the statement for which
        it waived.
    :param on_replacement: called with a witness and the sequence of a statement that
        another process acknowledged at the witness's address.
    """

    def __init__(
        self,
        entry: PeerEntry,
        peers: PeerTable,
        lend: Callable[[ClientAccountName, int, int], Awaitable[int]],
        surplus: Callable[[], dict[ClientAccountName, int]],
        load: Callable[[], dict[TargetName, LocalLoad]],
        pop_prefixes: Callable[[], list[tuple[TargetName, bytes]]],
        on_prefixes_read: Callable[[dict[TargetName, list[bytes]]], None],
        on_loan: Callable[[ClientAccountName, int], None],
        on_acknowledgement: Callable[[InstanceId, int], None],
        make_statement: Callable[[int], Statement],
        named_witnesses: Callable[[], tuple[InstanceId, ...]],
        clock: Callable[[], float],
        log: EventLog,
        on_broadcast: Callable[[Update], None] = lambda update: None,
        on_lent: Callable[
            [ClientAccountName, int], None
        ] = lambda account, tokens: None,
        on_permits: Callable[
            [TargetName, int | None, Permits], None
        ] = lambda target, started_ms, permits: None,
        on_streams: Callable[[tuple[StreamRecord, ...]], None] = lambda records: None,
        find_stream: Callable[[StreamKey], str | None] = lambda key: None,
        sole_version: Callable[[str], Awaitable[SoleVersion]] = _know_nothing,
        max_witnesses: int = MAX_WITNESSES,
        headroom: Callable[[], Headroom | None] = lambda: None,
        reaches_store: Callable[[], bool] = lambda: True,
        waives: Callable[[], bool] = lambda: False,
        on_waiver: Callable[[InstanceId, int], None] = lambda witness, sequence: None,
        on_replacement: Callable[
            [InstanceId, int], None
        ] = lambda witness, sequence: None,
        rng: random.Random | None = None,
    ) -> None:
        self.entry = entry
        self._max_witnesses = max_witnesses
        self.peers = peers
        self._surplus = surplus
        self._load = load
        self._headroom = headroom
        self._reaches_store = reaches_store
        self._pop_prefixes = pop_prefixes
        self._on_prefixes_read = on_prefixes_read
        self._on_acknowledgement = on_acknowledgement
        self._waives = waives
        self._on_waiver = on_waiver
        self._on_replacement = on_replacement
        self._make_statement = make_statement
        self._named_witnesses = named_witnesses
        self._statement_responses: (
            tuple[InstanceId, dict[InstanceId, Statement]] | None
        ) = None
        self._clock = clock
        self._log = log
        self._on_broadcast = on_broadcast
        rng = rng or random.Random()
        self._gossip = GossipQueue(self._send_data, peers.entries, rng)
        self._on_streams = on_streams
        self._find_stream = find_stream
        self._sole_version = sole_version
        self.streams = StreamExchange(
            entry.instance_id, peers, self._send_data, self.broadcast, clock
        )
        self._permits = PermitExchange(
            entry.instance_id, peers, self._send, on_permits, clock, rng
        )
        self._socket: UDPSocket | None = None
        #: Loan responses and statements are sent by separate tasks; the socket accepts
        #: one datagram at a time.
        self._send_lock = anyio.Lock()
        self._sequence = 0
        self._statement_sequence = 0
        self._acknowledged = anyio.Event()
        self._statement_needed = anyio.Event()
        self._loans = Loans(
            entry.instance_id,
            peers,
            self._send,
            lend,
            on_lent,
            surplus,
            on_loan,
            clock,
            log,
        )

    def interval_s(self) -> float:
        """Return the interval at which this router reports its figures.

        Prompts are read within tenths of a second, so reported load is soon out of
        date. In a large fleet each report goes to many routers and would take a tenth
        of the processor at the short interval, so the interval grows with the fleet.
        """
        return max(
            _MIN_STATE_INTERVAL_S, _MIN_STATE_INTERVAL_S / 5 * len(self.peers.entries())
        )

    async def run(self) -> None:
        """Receive datagrams and report this router's figures, until cancelled.

        A socket that breaks is replaced.

        :raises OSError: if the first socket cannot be opened.
        """
        self._socket = await self._open_socket()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    keep_running, "datagrams", lambda: self._receive(tasks), self._log
                )
                tasks.start_soon(
                    keep_running,
                    "statements",
                    self._send_statements_on_demand,
                    self._log,
                )
                tasks.start_soon(keep_running, "gossip", self._gossip.run, self._log)
                tasks.start_soon(keep_running, "permits", self._permits.run, self._log)
                tasks.start_soon(
                    keep_running, "records of streams", self.streams.run, self._log
                )
                await keep_running("reports to routers", self._send_states, self._log)
        finally:
            await anyio.aclose_forcefully(self._socket)

    async def _open_socket(self) -> UDPSocket:
        host, port = self.entry.host, self.entry.port
        return await anyio.create_udp_socket(local_host=host, local_port=port)

    async def _receive(self, tasks: TaskGroup) -> None:
        """Receive datagrams; replace the socket whenever it has broken."""
        while True:
            try:
                await self._listen(tasks)
            except _SOCKET_ERRORS as error:
                record_failure(self._log, "datagrams", error)
            await anyio.sleep(_REOPEN_S)
            self._socket = await self._open_socket()

    async def _send_states(self) -> None:
        while True:
            interval_s = self.interval_s()
            await self._send_state(interval_s)
            await anyio.sleep(interval_s)

    # Interface for the allowance manager.

    async def request_loan(
        self,
        account: ClientAccountName,
        min_tokens: int,
        wanted_tokens: int,
        *,
        timeout_s: float,
    ) -> int:
        """Request loans until the minimum is reached; return the tokens received."""
        return await self._loans.request(
            account, min_tokens, wanted_tokens, timeout_s=timeout_s
        )

    async def collect(self, account: ClientAccountName, *, timeout_s: float) -> None:
        """Retrieve an account's leftover tokens from routers that do not hold it."""
        await self._loans.collect(account, timeout_s=timeout_s)

    def surplus(self, account: ClientAccountName, now_s: float) -> PeerSurplus:
        """Return what peers last reported about an account."""
        tokens = self.peers.surplus_tokens(account, now_s)
        unresponsive_s = self.peers.unresponsive_s(now_s)
        return PeerSurplus(tokens, unresponsive_s is None, unresponsive_s or 0.0)

    def is_holder(self, account: ClientAccountName) -> bool:
        """Return whether this router holds an account's budget for the fleet."""
        return self.peers.own_vm in self.peers.holders(account)

    def unresponsive_vms(self, now_s: float) -> list[str]:
        """Return the vms of unresponsive routers whose rows this router checks."""
        return self.peers.unresponsive_vms(now_s)

    def routers(self, now_s: float) -> int:
        """Return the number of routers, including this one."""
        return len(self.peers.live(now_s)) + 1

    def witnesses(self, now_s: float) -> tuple[InstanceId, ...]:
        """Return routers that receive and acknowledge this router's statements.

        The choice stays the same while these routers respond, because a successor needs
        the statements of the witnesses that the row names. Each router has a different
        set, so that no machine receives the statements of the whole fleet.
        """
        live = (entry.instance_id for entry in self.peers.live(now_s))
        order = rendezvous_order(self.entry.instance_id, live)
        return tuple(InstanceId(name) for name in order[: self._max_witnesses])

    async def request_statements(
        self,
        witnesses: tuple[InstanceId, ...],
        about: InstanceId,
        *,
        timeout_s: float,
    ) -> dict[InstanceId, Statement]:
        """Ask routers for the last statement each received from a dead process."""
        responses: dict[InstanceId, Statement] = {}
        if self.entry.instance_id in witnesses:
            responses[self.entry.instance_id] = self.peers.last_statement(about)
        self._statement_responses = (about, responses)
        request = StatementRequest(self.entry.instance_id, about)
        deadline_s = self._clock() + timeout_s
        while len(responses) < len(witnesses) and self._clock() < deadline_s:
            for entry in self.peers.entries():
                if (
                    entry.instance_id in witnesses
                    and entry.instance_id not in responses
                ):
                    await self._send(entry, request)
            await anyio.sleep(RESEND_S)
        self._statement_responses = None
        return {name: responses[name] for name in witnesses if name in responses}

    def request_permits(self, request: PermitRequest) -> None:
        """Ask a target's coordinator for permits."""
        self._permits.request(request)

    def broadcast(self, update: Update) -> None:
        """Send an update to all routers by gossip."""
        self._gossip.broadcast(encode(BroadcastMessage(self.entry.instance_id, update)))

    def send_statement_soon(self) -> None:
        """Send a statement without waiting, because the limits have fallen."""
        self._statement_needed.set()

    async def send_statement(
        self, is_sufficient: Callable[[], bool], *, timeout_s: float
    ) -> None:
        """Send a statement now, and wait until enough witnesses acknowledge it."""
        await self._send_limits()
        with anyio.move_on_after(timeout_s):
            while not is_sufficient():
                await self._acknowledged.wait()

    # Implementation.

    async def _send_statements_on_demand(self) -> None:
        while True:
            await self._statement_needed.wait()
            self._statement_needed = anyio.Event()
            await self._send_limits()

    async def _send_limits(self) -> None:
        """Send the current limits to the witnesses."""
        self._statement_sequence += 1
        statement = self._make_statement(self._statement_sequence)
        data = encode(Limits(self.entry.instance_id, statement))
        names = self._named_witnesses()
        for peer in self.peers.entries():
            if peer.instance_id in names:
                await self._send_to(data, peer.host, peer.port)

    async def _listen(self, tasks: TaskGroup) -> None:
        assert self._socket is not None
        async for data, (host, port) in self._socket:
            try:
                await self._handle(data, host, port, tasks)
            except Exception as error:
                self._record_failure(error, host)

    async def _handle(
        self, data: bytes, host: str, port: int, tasks: TaskGroup
    ) -> None:
        """Handle one datagram."""
        message = decode(data)
        match message:
            case PeerState():
                self.peers.receive_state(message, self._clock())
            case PrefixesRead(_, prefixes):
                self._on_prefixes_read(prefixes)
            case Limits(sender, statement):
                await self._acknowledge(sender, statement, host, port)
            case LoanRequest():
                tasks.start_soon(self._answer, message, host, port)
            case LoanResponse():
                self._loans.receive(message)
            case Acknowledgement():
                self._receive_acknowledgement(message, host, port)
                self._wake_statement_senders()
            case Waiver(sender, sequence):
                self._on_waiver(sender, sequence)
                self._wake_statement_senders()
            case StatementRequest(sender, about):
                last_statement = self.peers.last_statement(about)
                answer = StatementResponse(
                    self.entry.instance_id, about, last_statement
                )
                await self._send_to(encode(answer), host, port)
            case PermitQuery():
                permit_response = self._permits.respond(message)
                if permit_response is not None:
                    await self._send_to(encode(permit_response), host, port)
            case PermitResponse():
                self._permits.receive(message)
            case StreamsBegun(_, records):
                self._on_streams(records)
            case StreamQuery(_, number, key):
                version = self._find_stream(key)
                found = StreamResponse(self.entry.instance_id, number, version)
                await self._send_to(encode(found), host, port)
            case VersionQuery():
                tasks.start_soon(self._answer_version_query, message, host, port)
            case StreamResponse() | VersionResponse():
                self.streams.receive(message)
            case BroadcastMessage(_, update):
                self._on_broadcast(update)
            case StatementResponse(sender, about, statement):
                if self._statement_responses and self._statement_responses[0] == about:
                    self._statement_responses[1][sender] = statement

    async def _acknowledge(
        self, sender: InstanceId, statement: Statement, host: str, port: int
    ) -> None:
        """Retain a statement and acknowledge it, with a waiver if there is one."""
        waives = self._waives()
        self.peers.record_statement(sender, statement, waives)
        own_name, sequence = self.entry.instance_id, statement.sequence
        await self._send_to(encode(Acknowledgement(own_name, sequence)), host, port)
        if waives:
            await self._send_to(encode(Waiver(own_name, sequence)), host, port)

    def _wake_statement_senders(self) -> None:
        self._acknowledged.set()
        self._acknowledged = anyio.Event()

    def _receive_acknowledgement(
        self, message: Acknowledgement, host: str, port: int
    ) -> None:
        """Apply an acknowledgement, possibly of a witness's successor.

        During an outage of the store, the successor's own row cannot be read.
        """
        self._on_acknowledgement(message.sender, message.sequence)
        if message.sender in self._named_witnesses():
            return
        for peer in self.peers.entries():
            is_sender = peer.instance_id == message.sender
            if (peer.host, peer.port) == (host, port) and not is_sender:
                self._on_replacement(peer.instance_id, message.sequence)

    async def _answer(self, request: LoanRequest, host: str, port: int) -> None:
        try:
            response = await self._loans.answer(request)
        except Exception as error:
            self._record_failure(error, host)
            return
        if response is not None:
            await self._send_to(encode(response), host, port)

    async def _answer_version_query(
        self, query: VersionQuery, host: str, port: int
    ) -> None:
        try:
            version = await self._sole_version(query.service)
        except Exception as error:
            self._record_failure(error, host)
            return
        response = VersionResponse(self.entry.instance_id, query.number, version)
        await self._send_to(encode(response), host, port)

    def _record_failure(self, error: Exception, host: str) -> None:
        record_failure(self._log, "datagrams of routers", error, host)

    async def _send_state(self, interval_s: float) -> None:
        """Report this router's figures and the reporting interval to all routers."""
        self._sequence += 1
        state = PeerState(
            self.entry.instance_id,
            self._sequence,
            self._surplus(),
            self._local_load(),
            interval_s,
            self._headroom(),
            self._reaches_store(),
        )
        data = encode(state)
        if len(data) > MAX_DATAGRAM_BYTES:
            data = encode(shortened(state))
        prefixes = prefix_datagrams(self.entry.instance_id, self._pop_prefixes())
        for peer in self.peers.entries():
            await self._send_to(data, peer.host, peer.port)
            for datagram in prefixes:
                await self._send_to(datagram, peer.host, peer.port)
        await self._send_limits()

    def _local_load(self) -> dict[TargetName, LocalLoad]:
        return {name: load for name, load in self._load().items() if load.running}

    async def _send_data(self, data: bytes, peer: PeerEntry) -> None:
        await self._send_to(data, peer.host, peer.port)

    async def _send(self, peer: PeerEntry, message: Message) -> None:
        await self._send_to(encode(message), peer.host, peer.port)

    async def _send_to(self, data: bytes, host: str, port: int) -> None:
        assert self._socket is not None
        try:
            async with self._send_lock:
                await self._socket.sendto(data, host, port)
        except _SOCKET_ERRORS:
            # An unreachable peer becomes unresponsive, which is handled elsewhere.
            return
