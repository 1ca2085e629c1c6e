"""Routers of an allowance world that speak by the product's own datagrams.

What a router knows of the others is what they stated, as old as the statements are:
in a fleet of hundreds that decides who is asked and what is told to callers.
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
from endivegw_standins.allowance_world import AllowanceWorld, PlayedRouter

__all__ = ["LinkedRouter", "LinkedWorld", "PlayedNetwork"]

#: One way between two routers, with an availability zone between most of them.
_HOP_S = 0.0015

#: Until the other routers' feeds bring the row of a router that has started.
_ROW_S = 0.3

#: Each router is a host of its own.
_PORT = 1

Datagram = tuple[bytes, tuple[str, int]]


@define(eq=False)
class PlayedSocket:
    """Hold one router's datagrams until it reads them."""

    network: PlayedNetwork
    host: str
    _inbox: asyncio.Queue[Datagram] = field(factory=asyncio.Queue)

    async def sendto(self, data: bytes, host: str, port: int) -> None:
        """Send one datagram."""
        self.network.carry(self.host, data, host, port)

    def put(self, datagram: Datagram) -> None:
        """Take one that arrived."""
        self._inbox.put_nowait(datagram)

    async def __aiter__(self) -> AsyncIterator[Datagram]:
        while True:
            yield await self._inbox.get()


@define(eq=False)
class PlayedNetwork:
    """Carry datagrams between routers.

    :ivar loss: share of them that is lost.
    :ivar sent: how many were sent.
    """

    rng: random.Random
    loss: float = 0.0
    sent: int = 0
    sent_bytes: int = 0
    _sockets: dict[str, PlayedSocket] = field(factory=dict)

    def open(self, host: str) -> PlayedSocket:
        """Return a host's socket; an earlier process's gets nothing any more."""
        self._sockets[host] = PlayedSocket(self, host)
        return self._sockets[host]

    def close(self, host: str, socket: PlayedSocket) -> None:
        """Drop what is sent to a process that ended."""
        if self._sockets.get(host) is socket:
            del self._sockets[host]

    def carry(self, source: str, data: bytes, host: str, port: int) -> None:
        """Deliver a datagram after its way, unless it is lost."""
        self.sent += 1
        self.sent_bytes += len(data)
        if self.rng.random() >= self.loss:
            loop = asyncio.get_running_loop()
            loop.call_later(_HOP_S, self._deliver, host, (data, (source, port)))

    def _deliver(self, host: str, datagram: Datagram) -> None:
        socket = self._sockets.get(host)
        if socket is not None:
            socket.put(datagram)


class PlayedLink(PeerLink):
    """Speak over a played network."""

    network: PlayedNetwork

    async def run(self) -> None:
        """Listen, and state the own figures at intervals, until cancelled."""
        socket = self.network.open(self.entry.host)
        self._socket = cast(UDPSocket, socket)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._listen, tasks)
                tasks.start_soon(self._tell_when_asked)
                while True:
                    interval_s = self.interval_s()
                    await self._state(interval_s)
                    await anyio.sleep(interval_s)
        finally:
            self.network.close(self.entry.host, socket)


@define(eq=False)
class LinkedRouter(PlayedRouter):
    """Run one router's keeper with a link to the others."""

    link: PlayedLink = field(init=False)

    def __attrs_post_init__(self) -> None:
        # The keeper asks its peers by the link, which lends from the keeper.
        self.link = _link(self, cast(LinkedWorld, self.world))
        super().__attrs_post_init__()

    def lending(self) -> PlayedLink:
        """Return the port through which the keeper sees its peers."""
        return self.link

    async def run(self) -> None:
        """Keep the row and speak with the others until killed."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.keeper.run)
                tasks.start_soon(self.link.run)


@define(eq=False)
class LinkedWorld(AllowanceWorld):
    """Hold linked routers and the network between them."""

    network: PlayedNetwork = field(init=False)
    entries: dict[str, PeerEntry] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.network = PlayedNetwork(self.rng)

    def new_router(self, vm: str, name: InstanceId) -> PlayedRouter:
        """Return a router, and have the others learn of it."""
        router = LinkedRouter(self, vm, name, self.clock())
        self.entries[vm] = router.link.entry
        for entry in self.entries.values():
            router.link.peers.put(entry)
        self.tasks.start_soon(self._announce, router.link.entry)
        return router

    async def _announce(self, entry: PeerEntry) -> None:
        await anyio.sleep(_ROW_S)
        for router in self.routers.values():
            cast(LinkedRouter, router).link.peers.put(entry)


def _link(router: LinkedRouter, world: LinkedWorld) -> PlayedLink:
    """Return a router's link, wired to its keeper as in the product."""
    nothing: Any = lambda *given: None  # noqa: E731
    link = PlayedLink(
        PeerEntry(router.vm, router.instance_id, router.vm, _PORT),
        PeerTable(router.vm),
        lend=lambda account, least, most: router.keeper.lend(account, least, most),
        spare=lambda: router.keeper.spare_tokens(),
        load=dict,
        pop_prefixes=list,
        on_read=nothing,
        on_offer=lambda account, tokens: router.keeper.credit(account, tokens),
        on_lent=lambda account, tokens: router.keeper.note_lent(account, tokens),
        on_acknowledgement=lambda peer, sequence: (
            router.keeper.book.witnesses.acknowledge(peer, sequence)
        ),
        state_limits=lambda sequence: router.keeper.state(sequence),
        named_witnesses=lambda: router.keeper.book.witnesses.named(),
        clock=world.clock,
        log=EventLog("world"),
    )
    link.network = world.network
    return link
