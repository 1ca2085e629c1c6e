"""Broadcast quarantine evidence between routers by gossip, over peer calls."""

from __future__ import annotations

import random
from typing import Callable

from endivegw.daemons.peer_directory import PeerDirectory
from endivegw.exceptions import PeerError
from endivegw.gossip.gossip_queue import GossipQueue
from endivegw.gossip.messages import BroadcastMessage, decode, encode
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.quarantine import Evidence, RequestRecord, TargetTerminated
from endivegw.types import InstanceId

__all__ = ["EvidenceBroadcaster", "RESPONSIVE_WITHIN_S"]

#: Routers exchange heartbeats every few seconds; one that missed three is skipped.
RESPONSIVE_WITHIN_S = 16.0

#: Short, so that an unresponsive peer does not delay the message to the next one.
_TIMEOUT_S = 0.3


class EvidenceBroadcaster:
    """Exchange evidence on requests that terminate targets with other routers.

    :param on_evidence: called with evidence received from a peer.
    """

    def __init__(
        self,
        local_instance: InstanceId,
        peer_directory: PeerDirectory,
        header: Callable[[], pb.Header],
        on_evidence: Callable[[Evidence], None],
        rng: random.Random,
    ) -> None:
        self._local_instance = local_instance
        self._peer_directory = peer_directory
        self._header = header
        self._on_evidence = on_evidence
        self._gossip: GossipQueue[InstanceId] = GossipQueue(
            self._send, self._peers, rng
        )

    async def run(self) -> None:
        """Send gossip messages until cancelled."""
        await self._gossip.run()

    def broadcast(self, evidence: Evidence) -> None:
        """Send evidence to all routers; those that receive it forward it."""
        self._gossip.broadcast(encode(BroadcastMessage(self._local_instance, evidence)))

    def receive(self, data: bytes) -> None:
        """Process a message from a peer; one that cannot be decoded is dropped."""
        match decode(data):
            case BroadcastMessage(_, TargetTerminated() | RequestRecord() as evidence):
                self._on_evidence(evidence)

    def _peers(self) -> list[InstanceId]:
        return list(self._peer_directory.routers(RESPONSIVE_WITHIN_S))

    async def _send(self, data: bytes, peer: InstanceId) -> None:
        client = self._peer_directory.router(peer)
        if client is None:
            return
        try:
            request = pb.NewsRequest(header=self._header(), news=data)
            await client.news(request, _TIMEOUT_S)
        except PeerError:
            # Other routers send this message to the peer as well.
            return
