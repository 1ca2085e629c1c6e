"""One attempt to send a request to one target."""

from __future__ import annotations

import enum
from typing import Awaitable, Callable

import anyio
from attrs import define, frozen

from endivegw.relay.events import EventOrder, EventSplitter, StreamEvent
from endivegw.relay.held_answers import HeldAnswers
from endivegw.relay.messages import TargetHead, end_to_end
from endivegw.relay.target_connection import (
    AnswerBroken,
    OutgoingRequest,
    TargetConnection,
)
from endivegw.relay.target_pool import ConnectFailed, TargetPool
from endivegw.relay.wire import AnswerMetadata, HeaderFields, WirePort

__all__ = [
    "Attempt",
    "AttemptLimits",
    "AttemptResult",
    "AttemptOutcome",
    "CompleteAnswer",
]

_OK = 200

#: Number of bytes of a stream after which other requests get their turn. A sound target
#: sends far less at once.
_SLICE_BYTES = 16384

#: Events that a stream may have beyond twice its tokens: some carry no token, and some
#: keep the connection alive.
_SPARE_EVENTS = 1000


class AttemptOutcome(enum.Enum):
    """Outcome of an attempt."""

    #: A complete answer was received, or a stream was relayed to its end.
    ANSWERED = "answered"
    #: Nothing was sent because no connection could be opened.
    NOT_SENT = "not-sent"
    #: Nothing was sent because the target had stopped accepting work.
    HELD_BACK = "held-back"
    #: The target states that it did not run the request.
    NOT_RUN = "not-run"
    #: No complete answer was received; the request may have run.
    LOST = "lost"


@frozen
class CompleteAnswer:
    """Hold a target's complete answer."""

    head: TargetHead
    body: bytes


@frozen
class AttemptResult:
    """Hold the outcome of an attempt, and its answer if not yet relayed.

    :param replaced: whether another instance answered at the target's address.
    :param broken: whether the connection broke before the answer was complete.
    :param paused: whether the target asked to receive no requests for some time.
    """

    outcome: AttemptOutcome
    detail: str = ""
    answer: CompleteAnswer | None = None
    replaced: bool = False
    broken: bool = False
    paused: bool = False


@frozen
class AttemptLimits:
    """Hold the limits of an attempt.

    :param silence_s: seconds without data after which a further target may be sent a
        repeatable request. Callers disconnect after 2 s at the earliest, so that target
        still has time to continue the stream. Fully loaded engines pause for less.
    :param overlap_s: maximum time for which two targets that both respond have one
        stream. A target that has no room refuses a request sooner.
    """

    silence_s: float = 1.2
    overlap_s: float = 0.25


@define
class StreamProgress:
    """Track the part of a stream that was relayed to the caller, over all attempts.

    :ivar order: sequence check that drops repeated events.
    :ivar max_tokens: most tokens that the answer may have; 0 if that is not known.
    :ivar started: whether the head of the answer was relayed.
    :ivar events: number of events that were relayed.
    """

    order: EventOrder
    max_tokens: int = 0
    started: bool = False
    events: int = 0

    def count(self, events: int) -> None:
        """Count events that are about to be relayed.

        :raises AnswerBroken: if they are more than an answer to the request can have.
        """
        self.events += events
        max_events = 2 * self.max_tokens + _SPARE_EVENTS
        if self.max_tokens and self.events > max_events:
            raise AnswerBroken(
                f"got {self.events} events for {self.max_tokens} tokens, the limit is "
                f"{max_events}"
            )


class Attempt:
    """Send a request once, and read or relay the answer.

    :param relay_head: called with the head and the first complete events.
    :param relay_events: called with complete events.
    :param on_first_data: called when the first data of the answer has arrived.
    :param start_send: called right before the request is sent; returns whether the
        target still accepts work, which may have changed while a connection was opened.
    :param on_metadata: called with the status and the metadata of each answer head,
        including late answers to earlier requests on the connection, which the same
        target sent.
    :param cancel_if_caller_left: called right before the request is sent; cancels the
        request if its caller has disconnected.
    :param is_cancelled: returns whether another attempt was preferred to this one.
    :param on_silent: called whenever the target has sent nothing for some time.
    :param held_answers: bounds the answers that are read whole.
    :ivar sent: whether any byte of the request may have reached the target.
    :ivar connection: number of the connection that was used; None if there was none.
    :ivar exchange: which request on that connection this one was, counted from 1; 0 if
        it was not sent.
    """

    def __init__(
        self,
        pool: TargetPool,
        wire: WirePort,
        request_id: str,
        stream_progress: StreamProgress,
        relay_head: Callable[[TargetHead, bytes], Awaitable[None]],
        relay_events: Callable[[bytes], Awaitable[None]],
        on_first_data: Callable[[], None],
        start_send: Callable[[], bool],
        on_metadata: Callable[[int, AnswerMetadata], None],
        cancel_if_caller_left: Callable[[], None],
        is_cancelled: Callable[[], bool],
        on_silent: Callable[[], None],
        held_answers: HeldAnswers,
    ) -> None:
        self._pool = pool
        self._wire = wire
        self._request_id = request_id
        self._stream_progress = stream_progress
        self._relay_head = relay_head
        self._relay_events = relay_events
        self._on_first_data = on_first_data
        self._start_send = start_send
        self._on_metadata = on_metadata
        self._cancel_if_caller_left = cancel_if_caller_left
        self._is_cancelled = is_cancelled
        self._on_silent = on_silent
        self._held_answers = held_answers
        self._metadata = AnswerMetadata(None, False)
        self.sent = False
        self.connection: int | None = None
        self.exchange = 0

    async def run(
        self,
        address: str,
        outgoing: OutgoingRequest,
        *,
        require_fresh: bool,
        require_new: bool,
        stream: bool,
        silence_s: float | None,
    ) -> AttemptResult:
        """Send the request and return the result.

        :param require_fresh: whether the request must not run twice, so that only a
            recently used connection may be reused.
        :param require_new: whether the address was sent the request before. The id
            tells an answer to that send from the next one only on another connection.
        :param stream: whether a successful answer is relayed event by event.
        :param silence_s: time without data after which the target counts as silent;
            None if it never does.
        """
        try:
            connection = await self._pool.acquire(address, require_fresh, require_new)
        except ConnectFailed as error:
            return AttemptResult(AttemptOutcome.NOT_SENT, str(error))
        # A connection that carried no byte of this request can be reused.
        clean = True
        try:
            self._cancel_if_caller_left()
            await anyio.lowlevel.checkpoint_if_cancelled()
            if not self._start_send():
                return AttemptResult(
                    AttemptOutcome.HELD_BACK, "the target accepts no more work"
                )
            clean = False
            self.sent = True
            self.connection = connection.number
            self.exchange = connection.request_count + 1
            connection.watch_silence(silence_s, self._on_silent)
            result = await self._exchange(connection, outgoing, stream)
            clean = result.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.NOT_RUN)
            return result
        except AnswerBroken as error:
            return AttemptResult(AttemptOutcome.LOST, str(error), broken=True)
        finally:
            # This also runs if the caller disconnected: closing the connection makes
            # the target stop generating.
            if clean:
                # A pooled connection must not keep the request in memory.
                connection.watch_silence(None)
                await self._pool.release(connection)
            else:
                await connection.close()

    async def _exchange(
        self,
        connection: TargetConnection,
        outgoing: OutgoingRequest,
        stream: bool,
    ) -> AttemptResult:
        head = await connection.send_request(outgoing, self._matches_request)
        metadata = self._metadata
        if stream and head.status == _OK:
            return await self._relay_stream(connection, head)
        body = await self._read_body(connection)
        self._on_first_data()
        answer = CompleteAnswer(TargetHead(head.status, end_to_end(head.fields)), body)
        if metadata.not_run:
            detail = f"status {head.status}"
            return AttemptResult(
                AttemptOutcome.NOT_RUN,
                detail,
                answer,
                metadata.replaced,
                paused=metadata.pause_s is not None,
            )
        return AttemptResult(AttemptOutcome.ANSWERED, f"status {head.status}", answer)

    def _matches_request(self, status: int, fields: HeaderFields) -> bool:
        """Return whether an answer belongs to this request.

        Only its id shows that. A faulty target sends additional answers, which may
        arrive where the next one is due.
        """
        metadata = self._metadata = self._wire.read_answer_fields(status, fields)
        self._on_metadata(status, metadata)
        return metadata.request_id == self._request_id

    async def _read_body(self, connection: TargetConnection) -> bytes:
        with self._held_answers.open() as held:
            while (part := await connection.body()) is not None:
                held.add(part)
            return held.body()

    async def _relay_stream(
        self,
        connection: TargetConnection,
        head: TargetHead,
    ) -> AttemptResult:
        """Relay complete events as they arrive, each once and in order."""
        splitter = EventSplitter()
        relayed_head = TargetHead(head.status, end_to_end(head.fields))
        while True:
            data = await connection.body()
            # Another attempt may have relayed the next events at the same moment.
            if self._is_cancelled():
                await anyio.lowlevel.checkpoint()
            if data is None:
                break
            for at in range(0, len(data), _SLICE_BYTES):
                if at:
                    await anyio.lowlevel.checkpoint()
                events = splitter.feed(data[at : at + _SLICE_BYTES])
                if not await self._relay_in_order(relayed_head, events):
                    return AttemptResult(
                        AttemptOutcome.LOST, "an event is missing from the stream"
                    )
        if splitter.has_partial_event:
            return AttemptResult(
                AttemptOutcome.LOST, "the stream ended in the middle of an event"
            )
        if not self._stream_progress.started:
            await self._relay_batch(relayed_head, [])
        return AttemptResult(AttemptOutcome.ANSWERED, f"status {head.status}")

    async def _relay_in_order(
        self, head: TargetHead, events: list[StreamEvent]
    ) -> bool:
        """Relay the events that are due; return False if one is missing."""
        ready: list[bytes] = []
        has_gap = False
        for event in events:
            accepted = self._stream_progress.order.accept(event)
            if accepted is None:
                has_gap = True
                break
            if accepted:
                ready.append(event.data)
        if ready:
            await self._relay_batch(head, ready)
        return not has_gap

    async def _relay_batch(self, head: TargetHead, events: list[bytes]) -> None:
        # Events are counted before they are sent, because a caller that disconnects
        # during the send may have received them.
        self._stream_progress.count(len(events))
        self._on_first_data()
        data = b"".join(events)
        if self._stream_progress.started:
            await self._relay_events(data)
            return
        self._stream_progress.started = True
        await self._relay_head(head, data)
