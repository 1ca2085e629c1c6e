"""Keep records of streams at few routers, and ask these routers for them."""

from __future__ import annotations

from typing import Awaitable, Callable, Iterable, Sequence

import anyio
from attrs import define, field

from endivegw.gossip.message_types import (
    Message,
    StreamQuery,
    StreamResponse,
    VersionQuery,
    VersionResponse,
)
from endivegw.gossip.messages import encode, stream_datagrams
from endivegw.gossip.peers import PeerEntry, PeerTable
from endivegw.streams import StreamKey, StreamRecord, VersionPoll, VersionSeen
from endivegw.types import InstanceId

__all__ = ["StreamExchange"]

#: Number of times that a query is sent, and the time until it is sent again: a round
#: trip between two regions.
_TRIES = 3
_RESEND_S = 0.06

#: How long routers that ask the store first are waited for after the last try, so that
#: its time of an answer may pass there.
_CONFIRMATION_S = 0.3

#: Maximum number of datagrams that wait to be sent.
_MAX_QUEUED = 4096

#: Maximum number of queries in progress.
_MAX_QUERIES = 256

Response = StreamResponse | VersionResponse


@define
class _Query:
    unanswered: set[InstanceId]
    responses: list[Response] = field(factory=list)
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

    async def run(self) -> None:
        """Send datagrams until cancelled."""
        async for datagram, keeper in self._receiver:
            await self._send(datagram, keeper)

    async def find(self, key: StreamKey) -> str | None:
        """Ask the keepers of a stream which software version began it."""
        keepers = self._peers.keepers(key)
        responses = await self._ask(
            keepers, lambda number: StreamQuery(self._own_id, number, key), 0.0
        )
        for response in responses:
            if isinstance(response, StreamResponse) and response.software_version:
                return response.software_version
        return None

    async def poll_sole(self, service: str) -> VersionPoll:
        """Ask a few routers for the only version of a service.

        They ask the store before they answer.
        """
        now_s = self._clock()
        asked = self._peers.advisers(service, now_s)
        responses = await self._ask(
            asked,
            lambda number: VersionQuery(self._own_id, number, service),
            _CONFIRMATION_S,
        )
        return VersionPoll(
            tuple(
                response.version
                for response in responses
                if isinstance(response, VersionResponse)
            ),
            len(asked),
            self._peers.reachable_share(now_s),
        )

    async def _ask(
        self,
        asked: Sequence[PeerEntry],
        make_query: Callable[[int], Message],
        patience_s: float,
    ) -> list[Response]:
        """Send a query to routers, and return the responses up to a decisive one.

        :param patience_s: how long to wait after the last try.
        """
        if not asked or len(self._queries) >= _MAX_QUERIES:
            return []
        self._numbers += 1
        number = self._numbers
        query = _Query({entry.instance_id for entry in asked})
        self._queries[number] = query
        message = encode(make_query(number))
        try:
            for _ in range(_TRIES):
                for entry in asked:
                    if entry.instance_id in query.unanswered:
                        await self._send(message, entry)
                with anyio.move_on_after(_RESEND_S):
                    await query.decided.wait()
                    break
            with anyio.move_on_after(patience_s):
                await query.decided.wait()
        finally:
            del self._queries[number]
        return query.responses

    def receive(self, response: Response) -> None:
        """Apply a response of another router."""
        query = self._queries.get(response.number)
        if query is None or response.sender not in query.unanswered:
            return
        query.unanswered.discard(response.sender)
        query.responses.append(response)
        if _is_decisive(response) or not query.unanswered:
            query.decided.set()


def _is_decisive(response: Response) -> bool:
    """Return whether no further response is needed."""
    match response:
        case StreamResponse(_, _, software_version):
            return software_version is not None
        case VersionResponse(_, _, version):
            return version.is_confirmed and version.software_version is not None
