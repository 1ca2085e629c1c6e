"""Simulated routers that communicate by the production datagrams.

A router knows the others only by their reports, which may be out of date. In a fleet of
hundreds this determines which peers are asked for loans and what callers are told.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any, AsyncIterator, cast

import anyio
from anyio.abc import UDPSocket
from attrs import define, field

from endivegw.gossip.link import PeerLink
from endivegw.gossip.peers import PeerEntry, PeerTable
from endivegw.telemetry import EventLog
from endivegw.types import InstanceId
from endivegw_standins.allowance_world import AllowanceWorld, SimulatedRouter

__all__ = ["LinkedRouter", "LinkedWorld", "SimulatedNetwork"]

#: One-way latency between two routers, most of them in different availability zones.
_LATENCY_S = 0.0015

#: Delay until the other routers read the row of a newly started router.
_ROW_DELAY_S = 0.3

#: Each router has its own host, so one port suffices.
_PORT = 1

Datagram = tuple[bytes, tuple[str, int]]


@define(eq=False)
class SimulatedSocket:
    """Queue one router's datagrams until it reads them."""

    network: SimulatedNetwork
    host: str
    _inbox: asyncio.Queue[Datagram] = field(factory=asyncio.Queue)

    async def sendto(self, data: bytes, host: str, port: int) -> None:
        """Send one datagram."""
        self.network.carry(self.host, data, host, port)

    def put(self, datagram: Datagram) -> None:
        """Queue a datagram that arrived."""
        self._inbox.put_nowait(datagram)

    async def __aiter__(self) -> AsyncIterator[Datagram]:
        while True:
            yield await self._inbox.get()


@define(eq=False)
class SimulatedNetwork:
    """Deliver datagrams between routers.

    :ivar loss: share of the datagrams that is lost.
    :ivar groups: group of each host; hosts of different groups do not reach each other.
    :ivar sent: number of datagrams sent.
    """

    rng: random.Random
    loss: float = 0.0
    groups: dict[str, int] = field(factory=dict)
    sent: int = 0
    sent_bytes: int = 0
    _sockets: dict[str, SimulatedSocket] = field(factory=dict)

    def open(self, host: str) -> SimulatedSocket:
        """Return a host's socket; that of an earlier process receives nothing more."""
        self._sockets[host] = SimulatedSocket(self, host)
        return self._sockets[host]

    def close(self, host: str, socket: SimulatedSocket) -> None:
        """Discard further datagrams to a process that ended."""
        if self._sockets.get(host) is socket:
            del self._sockets[host]

    def carry(self, source: str, data: bytes, host: str, port: int) -> None:
        """Deliver a datagram after the latency, unless it is lost."""
        self.sent += 1
        self.sent_bytes += len(data)
        if self.groups.get(source) != self.groups.get(host):
            return
        if self.rng.random() >= self.loss:
            loop = asyncio.get_running_loop()
            loop.call_later(_LATENCY_S, self._deliver, host, (data, (source, port)))

    def _deliver(self, host: str, datagram: Datagram) -> None:
        socket = self._sockets.get(host)
        if socket is not None:
            socket.put(datagram)


class SimulatedLink(PeerLink):
    """Peer link over a simulated network."""

    network: SimulatedNetwork

    async def run(self) -> None:
        """Receive datagrams and report this router's figures, until cancelled."""
        socket = self.network.open(self.entry.host)
        self._socket = cast(UDPSocket, socket)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._listen, tasks)
                tasks.start_soon(self._send_statements_on_demand)
                tasks.start_soon(self._gossip.run)
                tasks.start_soon(self._permits.run)
                tasks.start_soon(self.streams.run)
                while True:
                    interval_s = self.interval_s()
                    await self._send_state(interval_s)
                    await anyio.sleep(interval_s)
        finally:
            self.network.close(self.entry.host, socket)


@define(eq=False)
class LinkedRouter(SimulatedRouter):
    """Run one router's allowance manager with a link to the others."""

    link: SimulatedLink = field(init=False)

    def __attrs_post_init__(self) -> None:
        # The manager requests loans through the link, which lends from the manager.
        self.link = _link(self, cast(LinkedWorld, self.world))
        super().__attrs_post_init__()

    def lending(self) -> SimulatedLink:
        """Return the interface through which the manager accesses its peers."""
        return self.link

    async def run(self) -> None:
        """Maintain the row and communicate with the others until killed."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.allowances.run)
                tasks.start_soon(self.link.run)


@define(eq=False)
class LinkedWorld(AllowanceWorld):
    """The linked routers and the network between them."""

    network: SimulatedNetwork = field(init=False)
    entries: dict[str, PeerEntry] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.network = SimulatedNetwork(self.rng)

    def new_router(self, vm: str, name: InstanceId) -> SimulatedRouter:
        """Return a router, and announce it to the others."""
        router = LinkedRouter(self, vm, name, self.clock())
        self.entries[vm] = router.link.entry
        for entry in self.entries.values():
            router.link.peers.put(entry)
        self.tasks.start_soon(self._announce, router.link.entry)
        return router

    async def _announce(self, entry: PeerEntry) -> None:
        await anyio.sleep(_ROW_DELAY_S)
        for router in self.routers.values():
            cast(LinkedRouter, router).link.peers.put(entry)


def _link(router: LinkedRouter, world: LinkedWorld) -> SimulatedLink:
    """Return a router's link, wired to its manager as in production."""
    ignore: Any = lambda *args: None  # noqa: E731
    link = SimulatedLink(
        PeerEntry(router.vm, router.instance_id, router.vm, _PORT),
        PeerTable(router.vm),
        lend=lambda account, min_tokens, wanted_tokens: router.allowances.lend(
            account, min_tokens, wanted_tokens
        ),
        surplus=lambda: router.allowances.surplus_tokens(),
        load=dict,
        pop_prefixes=list,
        on_prefixes_read=ignore,
        on_loan=lambda account, tokens: router.allowances.credit(account, tokens),
        on_lent=lambda account, tokens: router.allowances.record_lent(account, tokens),
        on_acknowledgement=lambda peer, sequence: (
            router.allowances.ledger.witnesses.acknowledge(peer, sequence)
        ),
        waives=lambda: router.allowances.waives(),
        on_waiver=lambda witness, sequence: (
            router.allowances.ledger.witnesses.record_waiver(witness, sequence)
        ),
        on_replacement=lambda witness, sequence: (
            router.allowances.ledger.witnesses.record_replacement(witness, sequence)
        ),
        make_statement=lambda sequence: router.allowances.next_statement(sequence),
        named_witnesses=lambda: router.allowances.ledger.witnesses.named(),
        clock=world.clock,
        log=EventLog("world"),
    )
    link.network = world.network
    return link
