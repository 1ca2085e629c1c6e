"""One caller's connection: read requests, write answers, notice that it left."""

from __future__ import annotations

from http import HTTPStatus
from typing import Awaitable, Callable

import anyio
from anyio.abc import ByteStream

from endivegw.relay.messages import CallerRequest
from endivegw.relay.request_parser import Malformed, RequestParser
from endivegw.relay.sockets import has_hung_up
from endivegw.relay.wire import HeaderFields
from endivegw.routing import CallerLimits

__all__ = ["Answerer", "CallerConnection", "Handler"]

#: Bytes of further requests that are held while one is answered; a caller that
#: sends more is not read until then.
_MOST_AHEAD_BYTES = 65536

#: How long a caller whose request was refused midway may still send, so that
#: closing does not reset the connection before the answer was read.
_LINGER_S = 0.3

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Answerer:
    """Write one answer to a caller.

    :param cancel_if_left: what :meth:`CallerConnection.cancel_if_left` says.
    :ivar begun: whether any byte of the answer may have left.
    :ivar cut: whether the answer ended before its end; the connection then
        closes without looking complete.
    """

    def __init__(
        self,
        stream: ByteStream,
        request: CallerRequest,
        last: bool,
        cancel_if_left: Callable[[], None],
    ) -> None:
        self._stream = stream
        self.cancel_if_left = cancel_if_left
        self._chunked = request.http_version >= b"1.1"
        self._bodyless = request.method == b"HEAD"
        self.last = last or request.last
        self.begun = False
        self.ended = False

    @property
    def cut(self) -> bool:
        """Return whether an answer was begun and not ended."""
        return self.begun and not self.ended

    async def whole(self, status: int, fields: HeaderFields, body: bytes) -> None:
        """Write an answer in one go."""
        length = [(b"content-length", str(len(body)).encode())]
        head = _head(status, fields + length, self.last)
        self.begun = True
        await self._stream.send(head if self._bodyless else head + body)
        self.ended = True

    async def start(self, status: int, fields: HeaderFields, body: bytes) -> None:
        """Write the head of an answer of unknown length, and its first piece."""
        if self._chunked:
            fields = fields + [(b"transfer-encoding", b"chunked")]
        else:
            self.last = True
        self.begun = True
        head = _head(status, fields, self.last)
        await self._stream.send(head + self._framed(body))

    async def piece(self, body: bytes) -> None:
        """Write one more piece."""
        await self._stream.send(self._framed(body))

    async def end(self) -> None:
        """End an answer of unknown length."""
        if self._chunked:
            await self._stream.send(b"0\r\n\r\n")
        self.ended = True

    def _framed(self, body: bytes) -> bytes:
        if not self._chunked or not body:
            return body
        return b"%x\r\n%b\r\n" % (len(body), body)


Handler = Callable[[CallerRequest, Answerer], Awaitable[None]]


class CallerConnection:
    """Serve one connection until either side ends it.

    :param limits: returns the limits in force.
    :param draining: returns whether the router is about to stop.
    """

    def __init__(
        self,
        stream: ByteStream,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        draining: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._draining = draining
        self._clock = clock
        self._parser = RequestParser(limits())
        self._news = anyio.Event()
        self._room = anyio.Event()
        self._left = False
        self._closing = False
        self._scope: anyio.CancelScope | None = None
        #: Whether a request is being read or answered.
        self.busy = False

    async def serve(self) -> None:
        """Read and answer requests in turn."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump)
                await self._converse()
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(_LINGER_S):
                await self._stream.aclose()

    def close_when_idle(self) -> None:
        """Close now, or after the request that is being read or answered."""
        self._closing = True
        self._news.set()

    def cancel_if_left(self) -> None:
        """Cancel the request that is answered where its caller has closed.

        After the process stood still, a request and the end of its connection lie
        unread together. The loop reads the request in one turn and the end in the
        next, and a request that needs nothing more is on its way to a target by then:
        targets work for nobody, seconds after the callers left. Asked right before
        the send, the kernel knows of the end already.
        """
        if not self._left and has_hung_up(self._stream):
            self._leave()

    def _leave(self) -> None:
        self._left = True
        self._news.set()
        if self._scope is not None:
            self._scope.cancel()

    async def _pump(self) -> None:
        """Read all the time, so that a caller that leaves is noticed at once.

        An engine would otherwise go on generating for nobody.
        """
        try:
            while True:
                while self._parser.buffered_bytes > _MOST_AHEAD_BYTES and self._scope:
                    self._room = anyio.Event()
                    await self._room.wait()
                self._parser.feed(await self._stream.receive())
                self._news.set()
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            self._leave()

    async def _converse(self) -> None:
        while True:
            request = await self._next()
            match request:
                case None:
                    return
                case Malformed():
                    await self._refuse(request)
                    return
                case CallerRequest():
                    if not await self._answer(request):
                        return

    async def _next(self) -> CallerRequest | Malformed | None:
        """Return the next request, None where none will come."""
        limits = self._limits()
        self._parser.limits = limits
        self.busy = False
        timeout_s = limits.idle_timeout_s
        head_due_s: float | None = None
        while True:
            self._news = anyio.Event()
            request = self._parser.next_request(self._clock())
            if request is not None:
                self.busy = True
                return request
            if self._left or (self._closing and self._parser.idle):
                return None
            if self._parser.wants_continue:
                self._parser.wants_continue = False
                await self._stream.send(_CONTINUE)
            if not self._parser.idle:
                self.busy = True
                now_s = self._clock()
                if head_due_s is None:
                    head_due_s = now_s + limits.head_timeout_s
                timeout_s = max(0.0, head_due_s - now_s)
                if self._parser.in_body:
                    timeout_s = limits.idle_timeout_s
            with anyio.move_on_after(timeout_s) as waited:
                await self._news.wait()
            if waited.cancelled_caught and not self._news.is_set():
                if self._parser.idle:
                    return None
                return Malformed(HTTPStatus.REQUEST_TIMEOUT, "the request did not end")

    async def _answer(self, request: CallerRequest) -> bool:
        """Answer one request; return whether the connection goes on."""
        answerer = Answerer(
            self._stream, request, self._draining(), self.cancel_if_left
        )
        try:
            with anyio.CancelScope() as scope:
                self._scope = scope
                if self._left:
                    scope.cancel()
                await self._handler(request, answerer)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            return False
        finally:
            self._scope = None
            self._room.set()
        return answerer.ended and not answerer.last and not self._left

    async def _refuse(self, malformed: Malformed) -> None:
        """Answer what is no request, and close."""
        body = f"{malformed.detail}\n".encode()
        fields = [(b"content-type", b"text/plain")]
        fields.append((b"content-length", str(len(body)).encode()))
        head = _head(malformed.status, fields, True)
        try:
            await self._stream.send(head + body)
            await self._stream.send_eof()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            return
        with anyio.move_on_after(_LINGER_S):
            while not self._left:
                await self._news.wait()
                self._news = anyio.Event()


def _head(status: int, fields: HeaderFields, last: bool) -> bytes:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = ""
    lines = [f"HTTP/1.1 {status} {phrase}\r\n".encode("latin-1")]
    lines += [b"%b: %b\r\n" % field for field in fields]
    if last:
        lines.append(b"connection: close\r\n")
    lines.append(b"\r\n")
    return b"".join(lines)
