"""Spread news to all routers, each passing it on to a few others.

Each router that hears something new sends it on a few times to a few peers that it
draws by lot, so that what one of them sends does not grow with the fleet. See Demers
et al., "Epidemic algorithms for replicated database maintenance", 1987.
"""

from __future__ import annotations

import random
from typing import Awaitable, Callable, Generic, TypeVar

import anyio
from attrs import define, frozen

__all__ = ["RumourLimits", "Rumours"]

#: How a peer is named to whoever sends.
_Peer = TypeVar("_Peer")


@frozen
class RumourLimits:
    """Hold how news is passed on.

    With four peers four times each router is sent everything sixteen times at the mean;
    with half of the datagrams lost, one in 3,000 misses it.

    :param peers: how many peers are told at a time.
    :param rounds: how often.
    :param every_s: between two times.
    :param most: news that wait to be passed on; the oldest are dropped.
    """

    peers: int = 4
    rounds: int = 4
    every_s: float = 0.05
    most: int = 256


@define
class _Rumour:
    data: bytes
    rounds_left: int


class Rumours(Generic[_Peer]):
    """Pass news on.

    :param send: sends one datagram to a peer.
    :param peers: returns all known peers.
    """

    def __init__(
        self,
        send: Callable[[bytes, _Peer], Awaitable[None]],
        peers: Callable[[], list[_Peer]],
        rng: random.Random,
        limits: RumourLimits = RumourLimits(),
    ) -> None:
        self._send = send
        self._peers = peers
        self._rng = rng
        self._limits = limits
        self._waiting: list[_Rumour] = []
        self._news = anyio.Event()

    def tell(self, data: bytes) -> None:
        """Pass a datagram on from now on."""
        self._waiting.append(_Rumour(data, self._limits.rounds))
        del self._waiting[: -self._limits.most]
        self._news.set()

    def take(self) -> list[tuple[bytes, _Peer]]:
        """Return the datagrams of one round."""
        peers = self._peers()
        count = min(self._limits.peers, len(peers))
        found = []
        for rumour in self._waiting:
            rumour.rounds_left -= 1
            found += [(rumour.data, peer) for peer in self._rng.sample(peers, count)]
        self._waiting = [rumour for rumour in self._waiting if rumour.rounds_left > 0]
        return found

    async def run(self) -> None:
        """Send round after round while there is news, until cancelled."""
        while True:
            await self._news.wait()
            self._news = anyio.Event()
            while self._waiting:
                for data, peer in self.take():
                    await self._send(data, peer)
                await anyio.sleep(self._limits.every_s)
