"""Pass news on between routers, over the calls between processes."""

from __future__ import annotations

import random
from typing import Callable

from endivegw.daemons.peer_book import PeerBook
from endivegw.exceptions import PeerError
from endivegw.gossip.messages import BroadcastMessage, decode, encode
from endivegw.gossip.rumours import GossipQueue
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.quarantine import Evidence, RequestRecord, TargetTerminated
from endivegw.types import InstanceId

__all__ = ["RouterNews"]

#: Routers exchange heartbeats every few seconds; one that missed three is not told.
_HEARD_WITHIN_S = 16.0

#: A peer that does not answer must not keep the news from the next one.
_TIMEOUT_S = 0.3


class RouterNews:
    """Tell other routers what ends targets, and take in what they tell.

    :param on_evidence: takes what a peer passes on.
    """

    def __init__(
        self,
        own: InstanceId,
        book: PeerBook,
        header: Callable[[], pb.Header],
        on_evidence: Callable[[Evidence], None],
        rng: random.Random,
    ) -> None:
        self._own = own
        self._book = book
        self._header = header
        self._on_evidence = on_evidence
        self._rumours: GossipQueue[InstanceId] = GossipQueue(
            self._send, self._peers, rng
        )

    async def run(self) -> None:
        """Pass news on until cancelled."""
        await self._rumours.run()

    def broadcast(self, evidence: Evidence) -> None:
        """Tell all routers, with the help of those that hear it."""
        self._rumours.broadcast(encode(BroadcastMessage(self._own, evidence)))

    def hear(self, data: bytes) -> None:
        """Take in what a peer passes on; what cannot be read is dropped."""
        match decode(data):
            case BroadcastMessage(_, TargetTerminated() | RequestRecord() as evidence):
                self._on_evidence(evidence)

    def _peers(self) -> list[InstanceId]:
        return list(self._book.routers(_HEARD_WITHIN_S))

    async def _send(self, data: bytes, peer: InstanceId) -> None:
        client = self._book.router(peer)
        if client is None:
            return
        try:
            request = pb.NewsRequest(header=self._header(), news=data)
            await client.news(request, _TIMEOUT_S)
        except PeerError:
            # Others tell it too.
            return
