"""Keep records of streams at few routers, and ask these routers for them."""

from __future__ import annotations

from typing import Awaitable, Callable, Iterable

import anyio
from attrs import define, field

from endivegw.gossip.message_types import StreamQuery, StreamResponse
from endivegw.gossip.messages import encode, stream_datagrams
from endivegw.gossip.peers import PeerEntry, PeerTable
from endivegw.streams import StreamKey, StreamRecord, VersionSeen
from endivegw.types import InstanceId

__all__ = ["StreamExchange"]

#: Number of times that a query is sent, and the time until it is sent again: a round
#: trip between two regions.
_TRIES = 3
_RESEND_S = 0.06

#: Maximum number of datagrams that wait to be sent.
_MAX_QUEUED = 4096

#: Maximum number of queries in progress.
_MAX_QUERIES = 256


@define
class _Query:
    unanswered: set[InstanceId]
    software_version: str | None = None
    decided: anyio.Event = field(factory=anyio.Event)


class StreamExchange:
    """Send records of streams to the routers that keep them, and query these.

    :param send: sends one datagram to a peer.
    :param broadcast: sends an update to all routers.
    """

    def __init__(
        self,
        own_id: InstanceId,
        peers: PeerTable,
        send: Callable[[bytes, PeerEntry], Awaitable[None]],
        broadcast: Callable[[VersionSeen], None],
        clock: Callable[[], float],
    ) -> None:
        self._own_id = own_id
        self.broadcast = broadcast
        self._clock = clock
        self._peers = peers
        self._send = send
        self._numbers = 0
        self._queries: dict[int, _Query] = {}
        self._sender, self._receiver = anyio.create_memory_object_stream[
            tuple[bytes, PeerEntry]
        ](_MAX_QUEUED)

    def keep(self, records: Iterable[StreamRecord]) -> None:
        """Send records to their keepers; those that find no room are dropped."""
        by_keeper: dict[PeerEntry, list[StreamRecord]] = {}
        for record in records:
            for keeper in self._peers.keepers(record.key):
                by_keeper.setdefault(keeper, []).append(record)
        for keeper, kept in by_keeper.items():
            for datagram in stream_datagrams(self._own_id, kept):
                try:
                    self._sender.send_nowait((datagram, keeper))
                except anyio.WouldBlock:
                    return

    def is_writer(self, key: str) -> bool:
        """Return whether this router is among the few that write a row."""
        return self._peers.is_writer(key, self._clock())

    def would_tell(self) -> bool:
        """Return whether another router would tell this one of a version.

        A router without peers has nobody to tell it and nobody who serves otherwise.
        """
        live = bool(self._peers.live(self._clock()))
        return live or (self._peers.listed and not self._peers.entries())

    async def run(self) -> None:
        """Send datagrams until cancelled."""
        async for datagram, keeper in self._receiver:
            await self._send(datagram, keeper)

    async def find(self, key: StreamKey) -> str | None:
        """Ask the keepers of a stream which software version began it."""
        keepers = self._peers.keepers(key)
        if not keepers or len(self._queries) >= _MAX_QUERIES:
            return None
        self._numbers += 1
        number = self._numbers
        query = _Query({keeper.instance_id for keeper in keepers})
        self._queries[number] = query
        message = encode(StreamQuery(self._own_id, number, key))
        try:
            for _ in range(_TRIES):
                for keeper in keepers:
                    if keeper.instance_id in query.unanswered:
                        await self._send(message, keeper)
                with anyio.move_on_after(_RESEND_S):
                    await query.decided.wait()
                    break
        finally:
            del self._queries[number]
        return query.software_version

    def receive(self, response: StreamResponse) -> None:
        """Apply a keeper's answer."""
        query = self._queries.get(response.number)
        if query is None:
            return
        query.unanswered.discard(response.sender)
        if response.software_version is not None:
            query.software_version = response.software_version
        if query.software_version is not None or not query.unanswered:
            query.decided.set()
