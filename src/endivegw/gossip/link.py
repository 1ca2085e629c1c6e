"""Exchange datagrams with the other routers: statements, asks and offers."""

from __future__ import annotations

import random
from typing import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup, UDPSocket

from endivegw.allowances.lending import PeerSpare
from endivegw.allowances.witnesses import Statement
from endivegw.decisions import LocalLoad
from endivegw.gossip.loans import REPEAT_S, Loans
from endivegw.gossip.messages import (
    MOST_BYTES,
    Acknowledgement,
    Ask,
    Inquiry,
    Limits,
    Message,
    News,
    Offer,
    PeerState,
    PrefixesRead,
    TargetLeaving,
    Testimony,
    decode,
    encode,
    prefix_datagrams,
    shortened,
)
from endivegw.gossip.peers import PeerEntry, PeerTable
from endivegw.gossip.rumours import Rumours
from endivegw.quarantine import Evidence
from endivegw.rendezvous import rendezvous_order
from endivegw.telemetry import EventLog
from endivegw.types import ClientAccountName, InstanceId, TargetName

__all__ = ["MOST_WITNESSES", "PeerLink"]

#: How often a router of a small fleet states its figures.
_STATE_EVERY_S = 0.1

#: Routers that are named as witnesses. With three, limits go on growing in a cut in
#: which one of them dies, and a successor learns all from any two.
MOST_WITNESSES = 3


class PeerLink:
    """Speak with the other routers.

    :param lend: debits tokens for a peer; returns how many.
    :param spare: returns what is free by account.
    :param load: returns what this router has at targets.
    :param pop_prefixes: returns prompt prefixes that targets read since the last call.
    :param on_read: takes the prefixes that targets read for a peer's callers.
    :param state_limits: returns the statement of a sequence for the witnesses.
    :param named_witnesses: returns the routers whose acknowledgement counts.
    :param on_news: takes what a peer passes on.
    :param on_lent: takes how many tokens went to a router that does not hold the
        account.
    :param on_offer: credits tokens that a peer debited, once for each ask, also
        where the ask was given up meanwhile: they exist nowhere else.
    """

    def __init__(
        self,
        entry: PeerEntry,
        peers: PeerTable,
        lend: Callable[[ClientAccountName, int, int], Awaitable[int]],
        spare: Callable[[], dict[ClientAccountName, int]],
        load: Callable[[], dict[TargetName, LocalLoad]],
        pop_prefixes: Callable[[], list[tuple[TargetName, bytes]]],
        on_read: Callable[[dict[TargetName, list[bytes]]], None],
        on_offer: Callable[[ClientAccountName, int], None],
        on_acknowledgement: Callable[[InstanceId, int], None],
        state_limits: Callable[[int], Statement],
        named_witnesses: Callable[[], tuple[InstanceId, ...]],
        clock: Callable[[], float],
        log: EventLog,
        on_news: Callable[[Evidence | TargetLeaving], None] = lambda told: None,
        on_lent: Callable[
            [ClientAccountName, int], None
        ] = lambda account, tokens: None,
        most_witnesses: int = MOST_WITNESSES,
        rng: random.Random | None = None,
    ) -> None:
        self.entry = entry
        self._most_witnesses = most_witnesses
        self.peers = peers
        self._spare = spare
        self._load = load
        self._pop_prefixes = pop_prefixes
        self._on_read = on_read
        self._on_acknowledgement = on_acknowledgement
        self._state_limits = state_limits
        self._named_witnesses = named_witnesses
        self._testimonies: tuple[InstanceId, dict[InstanceId, Statement]] | None = None
        self._clock = clock
        self._on_news = on_news
        self._rumours = Rumours(self._send_data, peers.entries, rng or random.Random())
        self._socket: UDPSocket | None = None
        #: Offers and statements are sent by tasks of their own; the socket takes
        #: one datagram at a time.
        self._sending = anyio.Lock()
        self._sequence = 0
        self._stated = 0
        self._acknowledged = anyio.Event()
        self._restated = anyio.Event()
        self._loans = Loans(
            entry.instance_id,
            peers,
            self._send,
            lend,
            on_lent,
            spare,
            on_offer,
            clock,
            log,
        )

    def interval_s(self) -> float:
        """Return how often the own figures are stated.

        Prompts are read within tenths of a second, so that load is old soon. In a
        large fleet each statement goes to many, and a tenth of the processor would
        go into them; there they are rarer.
        """
        return max(_STATE_EVERY_S, _STATE_EVERY_S / 5 * len(self.peers.entries()))

    async def run(self) -> None:
        """Listen, and state the own figures at intervals, until cancelled."""
        host, port = self.entry.host, self.entry.port
        async with await anyio.create_udp_socket(
            local_host=host, local_port=port
        ) as self._socket:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._listen, tasks)
                tasks.start_soon(self._tell_when_asked)
                tasks.start_soon(self._rumours.run)
                while True:
                    interval_s = self.interval_s()
                    await self._state(interval_s)
                    await anyio.sleep(interval_s)

    # What the keeper asks for.

    async def ask(
        self,
        account: ClientAccountName,
        least_tokens: int,
        wanted_tokens: int,
        *,
        timeout_s: float,
    ) -> int:
        """Ask peers until the least is there; return what was received."""
        return await self._loans.ask(
            account, least_tokens, wanted_tokens, timeout_s=timeout_s
        )

    async def collect(self, account: ClientAccountName, *, timeout_s: float) -> None:
        """Take back what other routers have left of an account that is held here."""
        await self._loans.collect(account, timeout_s=timeout_s)

    def spare(self, account: ClientAccountName, now_s: float) -> PeerSpare:
        """Return what peers said last."""
        tokens = self.peers.spare_tokens(account, now_s)
        silent_s = self.peers.silent_s(now_s)
        return PeerSpare(tokens, silent_s is None, silent_s or 0.0)

    def is_holder(self, account: ClientAccountName) -> bool:
        """Return whether this router holds an account's budget for the fleet."""
        return self.peers.own_vm in self.peers.holders(account)

    def silent(self, now_s: float) -> list[str]:
        """Return the vms of silent routers whose rows this one is to look after."""
        return self.peers.silent(now_s)

    def routers(self, now_s: float) -> int:
        """Return how many routers there are, this one included."""
        return len(self.peers.live(now_s)) + 1

    def witnesses(self, now_s: float) -> tuple[InstanceId, ...]:
        """Return routers that acknowledge this one's statements.

        The same ones for as long as they are heard: what counts is the word of
        all that a row names. Each router has others, so that no machine hears all.
        """
        live = (entry.instance_id for entry in self.peers.live(now_s))
        order = rendezvous_order(self.entry.instance_id, live)
        return tuple(InstanceId(name) for name in order[: self._most_witnesses])

    async def testify(
        self,
        witnesses: tuple[InstanceId, ...],
        about: InstanceId,
        *,
        timeout_s: float,
    ) -> dict[InstanceId, Statement]:
        """Ask routers what they heard last from a process that ended."""
        found: dict[InstanceId, Statement] = {}
        if self.entry.instance_id in witnesses:
            found[self.entry.instance_id] = self.peers.last_statement(about)
        self._testimonies = (about, found)
        question = Inquiry(self.entry.instance_id, about)
        ends_s = self._clock() + timeout_s
        while len(found) < len(witnesses) and self._clock() < ends_s:
            for entry in self.peers.entries():
                if entry.instance_id in witnesses and entry.instance_id not in found:
                    await self._send(entry, question)
            await anyio.sleep(REPEAT_S)
        self._testimonies = None
        return {name: found[name] for name in witnesses if name in found}

    def spread(self, told: Evidence | TargetLeaving) -> None:
        """Tell all routers, with the help of those that hear it."""
        self._rumours.tell(encode(News(self.entry.instance_id, told)))

    def restate_soon(self) -> None:
        """State the limits without waiting: they fell."""
        self._restated.set()

    async def restate(self, enough: Callable[[], bool], *, timeout_s: float) -> None:
        """State the limits at once, and wait until enough witnesses heard it."""
        await self._tell_limits()
        with anyio.move_on_after(timeout_s):
            while not enough():
                await self._acknowledged.wait()

    # Inside.

    async def _tell_when_asked(self) -> None:
        while True:
            await self._restated.wait()
            self._restated = anyio.Event()
            await self._tell_limits()

    async def _tell_limits(self) -> None:
        """Send the witnesses what the limits are now."""
        self._stated += 1
        statement = self._state_limits(self._stated)
        data = encode(Limits(self.entry.instance_id, statement))
        names = self._named_witnesses()
        for peer in self.peers.entries():
            if peer.instance_id in names:
                await self._send_to(data, peer.host, peer.port)

    async def _listen(self, tasks: TaskGroup) -> None:
        assert self._socket is not None
        async for data, (host, port) in self._socket:
            message = decode(data)
            match message:
                case PeerState():
                    self.peers.hear(message, self._clock())
                case PrefixesRead(_, prefixes):
                    self._on_read(prefixes)
                case Limits(sender, statement):
                    self.peers.hear_limits(sender, statement)
                    reply = Acknowledgement(self.entry.instance_id, statement.sequence)
                    await self._send_to(encode(reply), host, port)
                case Ask():
                    tasks.start_soon(self._answer, message, host, port)
                case Offer():
                    self._loans.take(message)
                case Acknowledgement():
                    self._on_acknowledgement(message.sender, message.sequence)
                    self._acknowledged.set()
                    self._acknowledged = anyio.Event()
                case Inquiry(sender, about):
                    heard = self.peers.last_statement(about)
                    answer = Testimony(self.entry.instance_id, about, heard)
                    await self._send_to(encode(answer), host, port)
                case News(_, told):
                    self._on_news(told)
                case Testimony(sender, about, statement):
                    if self._testimonies and self._testimonies[0] == about:
                        self._testimonies[1][sender] = statement

    async def _answer(self, ask: Ask, host: str, port: int) -> None:
        offer = await self._loans.answer(ask)
        if offer is not None:
            await self._send_to(encode(offer), host, port)

    async def _state(self, interval_s: float) -> None:
        """Tell all routers the own figures, and when the next ones will come."""
        self._sequence += 1
        state = PeerState(
            self.entry.instance_id,
            self._sequence,
            self._spare(),
            self._own_load(),
            interval_s,
        )
        data = encode(state)
        if len(data) > MOST_BYTES:
            data = encode(shortened(state))
        prefixes = prefix_datagrams(self.entry.instance_id, self._pop_prefixes())
        for peer in self.peers.entries():
            await self._send_to(data, peer.host, peer.port)
            for datagram in prefixes:
                await self._send_to(datagram, peer.host, peer.port)
        await self._tell_limits()

    def _own_load(self) -> dict[TargetName, LocalLoad]:
        return {name: load for name, load in self._load().items() if load.running}

    async def _send_data(self, data: bytes, peer: PeerEntry) -> None:
        await self._send_to(data, peer.host, peer.port)

    async def _send(self, peer: PeerEntry, message: Message) -> None:
        await self._send_to(encode(message), peer.host, peer.port)

    async def _send_to(self, data: bytes, host: str, port: int) -> None:
        assert self._socket is not None
        try:
            async with self._sending:
                await self._socket.sendto(data, host, port)
        except (OSError, anyio.BrokenResourceError):
            # A peer that is gone shows as silence, which is judged elsewhere.
            return
