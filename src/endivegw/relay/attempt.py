"""One send of a request to one target."""

from __future__ import annotations

import enum
from typing import Awaitable, Callable

import anyio
from attrs import define, frozen

from endivegw.relay.events import EventCutter, EventOrder
from endivegw.relay.messages import TargetHead, end_to_end
from endivegw.relay.target_connection import (
    AnswerBroken,
    Outgoing,
    TargetConnection,
)
from endivegw.relay.target_pool import ConnectFailed, TargetPool
from endivegw.relay.wire import AnswerMarks, HeaderFields, WirePort

__all__ = ["Attempt", "AttemptLimits", "AttemptResult", "End", "WholeAnswer"]

_OK = 200


class End(enum.Enum):
    """How an attempt ended."""

    #: A whole answer came; a stream was passed on to its end.
    ANSWERED = "answered"
    #: Nothing was sent.
    NOT_SENT = "not-sent"
    #: Nothing was sent: by then the target took no more work.
    HELD_BACK = "held-back"
    #: The target says that it did not run the request.
    NOT_RUN = "not-run"
    #: No whole answer came; the request may have run.
    LOST = "lost"


@frozen
class WholeAnswer:
    """Hold a target's whole answer."""

    head: TargetHead
    body: bytes


@frozen
class AttemptResult:
    """Hold how an attempt ended, and its answer where that is not passed on yet.

    :param replaced: whether another instance answered at the target's address.
    :param broken: whether the connection ended before the answer did.
    :param paused: whether the target wants nothing for a while.
    """

    end: End
    detail: str = ""
    answer: WholeAnswer | None = None
    replaced: bool = False
    broken: bool = False
    paused: bool = False


@frozen
class AttemptLimits:
    """Hold how long a target may say nothing.

    :param silence_s: within a stream that another target can go on with. A
        caller leaves after two seconds at the earliest, so that the other one
        still has time; engines that are full pause for less.
    """

    silence_s: float = 1.2


@define
class StreamPassed:
    """Count what a caller has of a stream, over all attempts.

    :ivar begun: whether the head of the answer was passed on.
    """

    order: EventOrder
    begun: bool = False
    events: int = 0


class Attempt:
    """Send a request once, and read or pass on the answer.

    :param pass_head: called with the head and the first whole event.
    :param pass_events: called with whole events.
    :param on_first: called when the answer has begun.
    :param may_send: called right before the request is sent; returns whether the target
        still takes work. It may have said otherwise while a connection came about.
    :param on_marks: takes what the head of an answer says, of an answer to an earlier
        request on the connection too: the same target says it.
    :param cancel_if_left: called right before the request is sent; cancels it where
        its caller has left.
    :ivar sent: whether any byte of the request may have reached the target.
    """

    def __init__(
        self,
        pool: TargetPool,
        wire: WirePort,
        request_id: str,
        passed: StreamPassed,
        pass_head: Callable[[TargetHead, bytes], Awaitable[None]],
        pass_events: Callable[[bytes], Awaitable[None]],
        on_first: Callable[[], None],
        may_send: Callable[[], bool],
        on_marks: Callable[[AnswerMarks], None],
        cancel_if_left: Callable[[], None],
    ) -> None:
        self._pool = pool
        self._wire = wire
        self._request_id = request_id
        self._passed = passed
        self._pass_head = pass_head
        self._pass_events = pass_events
        self._on_first = on_first
        self._may_send = may_send
        self._on_marks = on_marks
        self._cancel_if_left = cancel_if_left
        self._marks = AnswerMarks(None, False)
        self.sent = False

    async def run(
        self,
        address: str,
        outgoing: Outgoing,
        *,
        fresh: bool,
        stream: bool,
        silence_s: float | None,
    ) -> AttemptResult:
        """Make the attempt.

        :param stream: whether a good answer is passed on event by event.
        :param silence_s: None where only the request's deadline ends a silence.
        """
        try:
            connection = await self._pool.acquire(address, fresh)
        except ConnectFailed as error:
            return AttemptResult(End.NOT_SENT, str(error))
        # A connection that carried nothing of this request is as good as before.
        clean = True
        try:
            self._cancel_if_left()
            await anyio.lowlevel.checkpoint_if_cancelled()
            if not self._may_send():
                return AttemptResult(End.HELD_BACK, "the target takes no more work")
            clean = False
            self.sent = True
            result = await self._exchange(connection, outgoing, stream, silence_s)
            clean = result.end in (End.ANSWERED, End.NOT_RUN)
            return result
        except AnswerBroken as error:
            return AttemptResult(End.LOST, str(error), broken=True)
        finally:
            # Also where the caller left: closing makes the target stop.
            if clean:
                await self._pool.release(connection)
            else:
                await connection.close()

    async def _exchange(
        self,
        connection: TargetConnection,
        outgoing: Outgoing,
        stream: bool,
        silence_s: float | None,
    ) -> AttemptResult:
        try:
            with anyio.fail_after(silence_s):
                head = await connection.ask(outgoing, self._is_own)
        except TimeoutError:
            return AttemptResult(End.LOST, f"silent for {silence_s:g} s")
        marks = self._marks
        if stream and head.status == _OK:
            return await self._pass_stream(connection, head, silence_s)
        body = await self._read_whole(connection)
        self._on_first()
        answer = WholeAnswer(TargetHead(head.status, end_to_end(head.fields)), body)
        if marks.not_run:
            detail = f"status {head.status}"
            return AttemptResult(
                End.NOT_RUN,
                detail,
                answer,
                marks.replaced,
                paused=marks.pause_s is not None,
            )
        return AttemptResult(End.ANSWERED, f"status {head.status}", answer)

    def _is_own(self, status: int, fields: HeaderFields) -> bool:
        """Return whether an answer is this request's.

        Answers by which a target refuses before it read the request may bear no
        id; one that bears another request's id is that request's.
        """
        marks = self._marks = self._wire.read_answer(status, fields)
        self._on_marks(marks)
        if marks.request_id is None:
            return status >= 400
        return marks.request_id == self._request_id

    async def _read_whole(self, connection: TargetConnection) -> bytes:
        parts: list[bytes] = []
        while (part := await connection.body()) is not None:
            parts.append(part)
        return b"".join(parts)

    async def _pass_stream(
        self,
        connection: TargetConnection,
        head: TargetHead,
        silence_s: float | None,
    ) -> AttemptResult:
        """Pass whole events on as they come, each once and in order."""
        cutter = EventCutter()
        passed_head = TargetHead(head.status, end_to_end(head.fields))
        while True:
            try:
                with anyio.fail_after(silence_s):
                    data = await connection.body()
            except TimeoutError:
                return AttemptResult(End.LOST, f"silent for {silence_s:g} s")
            if data is None:
                break
            ready: list[bytes] = []
            for event in cutter.feed(data):
                accepted = self._passed.order.accept(event)
                if accepted is None:
                    return AttemptResult(End.LOST, "an event is missing")
                if accepted:
                    ready.append(event.data)
            if ready:
                await self._pass(passed_head, ready)
        if cutter.has_rest:
            return AttemptResult(End.LOST, "the stream ended within an event")
        if not self._passed.begun:
            await self._pass(passed_head, [])
        return AttemptResult(End.ANSWERED, f"status {head.status}")

    async def _pass(self, head: TargetHead, events: list[bytes]) -> None:
        # Counted before they are sent: a caller that leaves in this moment may
        # have them.
        self._passed.events += len(events)
        self._on_first()
        data = b"".join(events)
        if self._passed.begun:
            await self._pass_events(data)
            return
        self._passed.begun = True
        await self._pass_head(head, data)
