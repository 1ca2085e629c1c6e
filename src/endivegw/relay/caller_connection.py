"""One caller's connection: read requests, write answers, detect disconnects."""

from __future__ import annotations

import contextlib
from http import HTTPStatus
from typing import Awaitable, Callable

import anyio
from anyio.abc import SocketAttribute
from attrs import evolve

from endivegw.capacity import ConnectionState
from endivegw.relay.answer_writer import (
    CONNECTION_ERRORS,
    AnswerWriter,
    CallerGone,
    encode_head,
)
from endivegw.relay.answers import router_answer
from endivegw.relay.connection_end import ConnectionEnd, EndCause
from endivegw.relay.held_input import HeldInput
from endivegw.relay.messages import CallerRequest
from endivegw.relay.request_intake import ANY_BODY, BodyPlan, RequestIntake
from endivegw.relay.request_parser import MalformedRequest, RequestParser
from endivegw.relay.request_wait import RequestPhase, RequestWait
from endivegw.relay.wire import HeaderFields
from endivegw.results import Reason, Refused
from endivegw.routing import CallerLimits
from endivegw.sockets import (
    has_no_pending_input,
    last_input_age_s,
    peer_has_closed,
)
from endivegw.tcp_stream import TcpStream

__all__ = ["CallerConnection", "Handler"]

#: Maximum bytes of pipelined requests that are buffered while a request is answered.
#: Beyond it, reading from the caller pauses until the answer is finished.
_MAX_READ_AHEAD_BYTES = 65536

#: Bytes of one connection that are parsed before others get their turn.
_PIECE_BYTES = 16384

#: Retry-after for requests that gave way to others; callers' retries reach other
#: routers.
_GAVE_WAY_RETRY_S = 0.2

#: How long a connection that is to close waits for the rest of a request.
_LAST_BODY_S = 1.0

#: Interval of the checks whether a caller has disconnected while reading is paused.
_CLOSE_CHECK_INTERVAL_S = 0.2

#: How long to read on after a request was rejected before its end. Closing at once
#: would reset the connection before the caller has read the answer.
_LINGER_TIMEOUT_S = 0.3

#: Minimum wait for input that has arrived and is about to be read.
_MIN_WAIT_S = 0.01

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


_GAVE_WAY = Refused(
    Reason.ROUTER_FULL, "too much is held for requests", _GAVE_WAY_RETRY_S
)

_STOPPING = Refused(Reason.NOT_READY, "the router stops")

Handler = Callable[[CallerRequest, AnswerWriter], Awaitable[None]]


class CallerConnection:
    """Serve one connection until either side closes it.

    :param handler: answers one request.
    :param limits: returns the limits that are currently configured.
    :param closing: returns whether callers should open new connections elsewhere.
    :param on_end: called once, when the connection has ended.
    :param intake: decides on the bodies of requests.
    :param on_state: called with the connection and each state that it comes into.
    """

    def __init__(
        self,
        stream: TcpStream,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        closing: Callable[[], bool],
        clock: Callable[[], float],
        on_end: Callable[[ConnectionEnd], None] = lambda end: None,
        intake: RequestIntake = ANY_BODY,
        on_state: Callable[
            [CallerConnection, ConnectionState], None
        ] = lambda connection, state: None,
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._callers_should_leave = closing
        self._clock = clock
        self._parser = RequestParser(limits())
        self._state_changed = anyio.Event()
        self._read_resumed = anyio.Event()
        self._caller_left = False
        self._closing = False
        #: Time from which on the connection is to close.
        self._closing_s = 0.0
        self._scope: anyio.CancelScope | None = None
        self._on_end = on_end
        self._cause: EndCause | None = None
        #: The request in progress and its answer.
        self._current: tuple[CallerRequest, AnswerWriter] | None = None
        self._opened_s = clock()
        self._answered_s: float | None = None
        self._last_input_s = self._opened_s
        self._in_request = False
        #: Ends the task that reads. Had the task group cancelled it, the error would
        #: keep the connection in memory until the next garbage collection.
        self._reading = anyio.CancelScope()
        self._intake = intake
        self._on_state = on_state
        self._plan: BodyPlan | None = None
        #: Whether the request in progress is answered without its body.
        self._without_body = False
        self._held = HeldInput(stream, self._parser, clock, self._handle_give_up)

    async def serve(self) -> None:
        """Read and answer requests one after the other."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read_input)
                await self._serve_requests()
                self._reading.cancel()
        finally:
            self._report_end()
            self._held.close()
            with anyio.CancelScope(shield=True), anyio.move_on_after(_LINGER_TIMEOUT_S):
                await self._stream.aclose()

    @property
    def busy(self) -> bool:
        """Return whether a request is being received, read or answered."""
        return self._in_request or not self._is_idle()

    def close_when_idle(self) -> None:
        """Close the connection now, or after the request in progress.

        A request that is not complete soon is refused.
        """
        self._closing = True
        self._closing_s = self._clock()
        self._state_changed.set()

    def close_for_another(self) -> None:
        """Close the connection, which waits for its caller, to open another one."""
        self._record_cause(EndCause.GAVE_WAY)
        self._stream.abort()
        self._handle_caller_left()

    def _handle_give_up(self) -> None:
        self._read_resumed.set()
        self._state_changed.set()

    def handle_new_limits(self) -> None:
        """Apply limits that have just come into force to the wait for the caller."""
        self._state_changed.set()

    def cancel_if_caller_left(self) -> None:
        """Cancel the request in progress if its caller has closed the connection.

        After the process was paused, a request and the end of its connection may both
        be unread. The event loop reads the request in one iteration and the end in the
        next, by which time the request may have been sent to a target: targets would
        work for callers that disconnected seconds ago. The kernel already knows of the
        end, so it is queried right before the send.
        """
        if self._caller_left:
            return
        if peer_has_closed(self._stream.extra(SocketAttribute.raw_socket)):
            self._handle_caller_left()

    def _record_cause(self, cause: EndCause) -> None:
        """Record why the connection ends; the first cause counts."""
        if self._cause is None:
            self._cause = cause

    def _report_end(self) -> None:
        """Report the end of the connection, and what was read and not answered."""
        unanswered: list[CallerRequest] = []
        answer_bytes = 0
        if self._current is not None:
            request, writer = self._current
            unanswered.append(request)
            answer_bytes = writer.body_bytes
        now_s = self._clock()
        # The rest of malformed input cannot be split into requests.
        while self._cause is not EndCause.MALFORMED:
            waiting = self._parser.next_request(now_s)
            if not isinstance(waiting, CallerRequest):
                break
            unanswered.append(waiting)
        answered_s = self._answered_s
        self._on_end(
            ConnectionEnd(
                self._cause or EndCause.CANCELLED,
                tuple(unanswered),
                answer_bytes,
                self._parser.buffered_bytes,
                now_s - self._opened_s,
                None if answered_s is None else now_s - answered_s,
            )
        )

    def _handle_caller_left(self) -> None:
        self._record_cause(EndCause.CALLER_CLOSED)
        self._caller_left = True
        self._state_changed.set()
        if self._scope is not None:
            self._scope.cancel()

    async def _read_input(self) -> None:
        """Read continuously, so that a disconnect is detected at once.

        An engine would otherwise continue to generate an answer that nobody reads.
        """
        try:
            with self._reading:
                while True:
                    await self._wait_buffered_requests()
                    size = self._feed(await self._stream.receive(_PIECE_BYTES))
                    if size == _PIECE_BYTES:
                        await anyio.lowlevel.checkpoint()
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            self._handle_caller_left()
        except anyio.ClosedResourceError:
            # This process closed the connection.
            self._record_cause(EndCause.READER_CLOSED)
            self._handle_caller_left()

    def _feed(self, data: bytes) -> int:
        """Give received bytes to the parser; return their number."""
        self._parser.feed(data)
        self._last_input_s = self._clock()
        self._held.update()
        self._state_changed.set()
        return len(data)

    async def _wait_buffered_requests(self) -> None:
        """Wait while too much is buffered; detect a disconnect meanwhile."""
        while self._parser.buffered_bytes > _MAX_READ_AHEAD_BYTES and self._scope:
            self._read_resumed = anyio.Event()
            with anyio.move_on_after(_CLOSE_CHECK_INTERVAL_S):
                await self._read_resumed.wait()
            self.cancel_if_caller_left()

    async def _serve_requests(self) -> None:
        while True:
            request = await self._next_request()
            match request:
                case None:
                    return
                case Refused(reason=reason):
                    stopping = reason is Reason.NOT_READY
                    self._record_cause(
                        EndCause.STOPPING if stopping else EndCause.GAVE_WAY
                    )
                    await self._refuse_given_up(request)
                    return
                case MalformedRequest():
                    self._record_cause(EndCause.MALFORMED)
                    await self._reject(request)
                    return
                case CallerRequest():
                    is_open = await self._handle_request(request)
                    if self._without_body:
                        await self._linger()
                    if not is_open:
                        return

    async def _next_request(
        self,
    ) -> CallerRequest | MalformedRequest | Refused | None:
        """Return the next request, None if the connection delivers no more."""
        self._in_request = False
        self._plan = None
        is_used = self._answered_s is not None
        idle_since_s = self._clock()
        head_since_s: float | None = None
        began_s: float | None = None
        wait = RequestWait(self._limits())
        while True:
            self._state_changed = anyio.Event()
            if self._parser.idle:
                phase, since_s = RequestPhase.IDLE, idle_since_s
            elif self._parser.in_body:
                phase, since_s = RequestPhase.BODY, self._last_input_s
            else:
                head_since_s = self._clock() if head_since_s is None else head_since_s
                phase, since_s = RequestPhase.HEAD, head_since_s
            wait.update(phase, since_s, self._limits(), self._clock())
            self._parser.limits = wait.limits
            request = self._parser.next_request(self._arrived_s())
            if request is None and self._parser.in_body:
                request = self._plan_body()
            if request is not None:
                self._in_request = True
                return request
            if self._caller_left:
                return None
            if self._held.gave_way:
                return _GAVE_WAY
            if not self._parser.idle:
                began_s = self._clock() if began_s is None else began_s
                self._on_state(self, ConnectionState.RECEIVING)
            elif is_used:
                self._on_state(self, ConnectionState.IDLE)
            else:
                self._on_state(self, ConnectionState.UNUSED)
            if self._closing and self._is_idle():
                self._record_cause(EndCause.STOPPING)
                return None
            left_s = wait.due_s - self._clock()
            if left_s <= 0.0 and not self._has_unread_input():
                return self._time_out()
            if self._plan is not None:
                left_s = min(left_s, self._plan.due_s - self._clock())
                if self._clock() >= self._plan.due_s:
                    return self._time_out()
            if self._closing and began_s is not None:
                last_s = max(self._closing_s, began_s) + _LAST_BODY_S
                left_s = min(left_s, last_s - self._clock())
                if self._clock() >= last_s:
                    self._held.drop_request()
                    return _STOPPING
            await self._invite_body()
            with anyio.move_on_after(max(_MIN_WAIT_S, left_s)):
                await self._state_changed.wait()

    def _plan_body(self) -> CallerRequest | None:
        """Decide on an incomplete body; return a request to answer without it."""
        if self._plan is not None:
            return None
        request = self._parser.request_head(self._arrived_s())
        assert request is not None
        self._plan = self._intake.plan_body(request)
        if self._plan is not None:
            self._stream.held.account = self._plan.account
            return None
        self._without_body = True
        self._held.discard()
        return evolve(request, close_after=True)

    def _time_out(self) -> MalformedRequest | None:
        """Return the answer to a request that is late, None if none has begun."""
        if self._parser.idle:
            self._record_cause(EndCause.IDLE_LIMIT)
            return None
        return MalformedRequest(
            HTTPStatus.REQUEST_TIMEOUT,
            "the request was not received completely in time",
        )

    def _is_idle(self) -> bool:
        """Return whether no byte of a next request has arrived, read or not."""
        return self._parser.idle and not self._has_unread_input()

    def _has_unread_input(self) -> bool:
        """Return whether data or an end of the stream has arrived and is not read yet.

        After the process was paused, a wait may be over although what it waits for has
        arrived in time.
        """
        if self._stream.has_input:
            return True
        raw_socket = self._stream.extra(SocketAttribute.raw_socket)
        return raw_socket.fileno() >= 0 and not has_no_pending_input(raw_socket)

    async def _invite_body(self) -> None:
        """Tell a caller that waits for it to send the body of its request."""
        if not self._parser.expects_continue:
            return
        self._parser.expects_continue = False
        with contextlib.suppress(*CONNECTION_ERRORS):
            # A caller that has left is noticed by the task that reads.
            await self._stream.send(_CONTINUE)

    def _arrived_s(self) -> float:
        """Return when the last data arrived, which may have been unread since then."""
        raw_socket = self._stream.extra(SocketAttribute.raw_socket)
        return self._clock() - last_input_age_s(raw_socket)

    def _closes_after_answer(self) -> bool:
        """Return whether an answer that begins now is the connection's last.

        Requests that were received behind it are answered first: the caller would
        never learn whether they ran.
        """
        return self._callers_should_leave() and self._is_idle()

    async def _handle_request(self, request: CallerRequest) -> bool:
        """Answer one request; return whether the connection stays open."""
        writer = self._new_writer(request)
        self._current = request, writer
        self._held.begin(request, writer)
        self._on_state(self, ConnectionState.BUSY)
        try:
            with anyio.CancelScope() as scope:
                self._scope = scope
                if self._caller_left:
                    scope.cancel()
                await self._handler(request, writer)
        except CallerGone:
            self._record_cause(EndCause.WRITE_FAILED)
            return False
        except Exception:
            self._record_cause(EndCause.HANDLER_FAILED)
            await self._answer_failure(writer)
            raise
        finally:
            self._scope = None
            self._read_resumed.set()
        if not writer.finished:
            self._record_cause(EndCause.ANSWER_CUT)
            return False
        self._current = None
        self._held.end()
        self._answered_s = self._clock()
        if writer.close_after:
            self._record_cause(EndCause.ANSWER_CLOSES)
        return not writer.close_after and not self._caller_left

    async def _answer_failure(self, writer: AnswerWriter) -> None:
        """Answer a request whose handler failed; it may have run."""
        if writer.started:
            return
        writer.close_after = True
        with contextlib.suppress(CallerGone):
            await writer.send_complete(HTTPStatus.BAD_GATEWAY, [], b"")
            self._current = None

    def _new_writer(self, request: CallerRequest) -> AnswerWriter:
        return AnswerWriter(
            self._stream,
            request,
            self._closes_after_answer,
            self.cancel_if_caller_left,
            lambda: self._caller_left,
        )

    async def _refuse_given_up(self, refused: Refused) -> None:
        """Refuse the request that gave way to others."""
        request = self._held.given_up
        if request is None:
            answer = router_answer(refused)
            await self._reject(
                MalformedRequest(answer.status, refused.detail), answer.fields()
            )
            return
        writer = self._new_writer(evolve(request, close_after=True))
        with contextlib.suppress(CallerGone):
            await self._intake.refuse(request, refused, writer)
            await self._linger()

    async def _reject(
        self, malformed: MalformedRequest, more_fields: HeaderFields | None = None
    ) -> None:
        """Answer a malformed request, then wait briefly for the caller to close."""
        body = f"{malformed.detail}\n".encode()
        fields = more_fields or [(b"content-type", b"text/plain")]
        fields = [*fields, (b"content-length", str(len(body)).encode())]
        head = encode_head(malformed.status, fields, True)
        try:
            await self._stream.send(head + body)
        except CONNECTION_ERRORS:
            return
        await self._linger()

    async def _linger(self) -> None:
        """Wait briefly for the caller to close, and drop what it sends."""
        self._held.discard()
        with contextlib.suppress(*CONNECTION_ERRORS):
            await self._stream.send_eof()
        with anyio.move_on_after(_LINGER_TIMEOUT_S):
            while not self._caller_left:
                await self._state_changed.wait()
                self._state_changed = anyio.Event()
