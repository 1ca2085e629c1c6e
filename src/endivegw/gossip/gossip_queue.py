"""Spread messages to all routers by gossip.

Each router that receives a new message forwards it a few times to a few random peers,
so that the traffic of one router does not grow with the fleet. See Demers et al.,
"Epidemic algorithms for replicated database maintenance", 1987.
"""

from __future__ import annotations

import random
from typing import Awaitable, Callable, Generic, TypeVar

import anyio
from attrs import define, frozen

__all__ = ["GossipLimits", "GossipQueue"]

#: The sender's type of peer identifier.
_Peer = TypeVar("_Peer")


@frozen
class GossipLimits:
    """Limits on how messages are forwarded.

    With four peers in each of four rounds, every router is sent each message sixteen
    times on average; with half of the datagrams lost, one router in 3,000 misses it.

    :param peers: number of peers per round.
    :param rounds: number of rounds.
    :param interval_s: time between two rounds.
    :param max_messages: maximum number of queued messages; the oldest are dropped.
    """

    peers: int = 4
    rounds: int = 4
    interval_s: float = 0.05
    max_messages: int = 256


@define
class _GossipMessage:
    data: bytes
    rounds_left: int


class GossipQueue(Generic[_Peer]):
    """Queue of messages to forward to random peers.

    :param send: sends one datagram to a peer.
    :param peers: returns all known peers.
    """

    def __init__(
        self,
        send: Callable[[bytes, _Peer], Awaitable[None]],
        peers: Callable[[], list[_Peer]],
        rng: random.Random,
        limits: GossipLimits = GossipLimits(),
    ) -> None:
        self._send = send
        self._peers = peers
        self._rng = rng
        self._limits = limits
        self._messages: list[_GossipMessage] = []
        self._message_added = anyio.Event()

    def broadcast(self, data: bytes) -> None:
        """Queue a datagram for forwarding."""
        self._messages.append(_GossipMessage(data, self._limits.rounds))
        del self._messages[: -self._limits.max_messages]
        self._message_added.set()

    def next_round(self) -> list[tuple[bytes, _Peer]]:
        """Return the datagrams of one round with their peers."""
        peers = self._peers()
        count = min(self._limits.peers, len(peers))
        found = []
        for message in self._messages:
            message.rounds_left -= 1
            found += [(message.data, peer) for peer in self._rng.sample(peers, count)]
        self._messages = [
            message for message in self._messages if message.rounds_left > 0
        ]
        return found

    async def run(self) -> None:
        """Send rounds while messages are queued, until cancelled."""
        while True:
            await self._message_added.wait()
            self._message_added = anyio.Event()
            while self._messages:
                for data, peer in self.next_round():
                    await self._send(data, peer)
                await anyio.sleep(self._limits.interval_s)
