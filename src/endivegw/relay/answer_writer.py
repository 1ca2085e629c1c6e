"""Write the answer to one request to its caller."""

from __future__ import annotations

from http import HTTPStatus
from typing import Callable

import anyio

from endivegw.relay.messages import CallerRequest
from endivegw.relay.wire import HeaderFields
from endivegw.tcp_stream import TcpStream
from endivegw.types import ClientAccountName

__all__ = ["AnswerWriter", "CONNECTION_ERRORS", "CallerGone", "encode_head"]

#: Errors of a connection that is closed or broken.
CONNECTION_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class CallerGone(Exception):
    """Raised by a write of an answer whose caller's connection is closed."""


class AnswerWriter:
    """Write one answer to a caller.

    :param closing: returns whether the connection closes after the answer; called when
        its head is written, which tells the caller so.
    :param cancel_if_caller_left: see :meth:`CallerConnection.cancel_if_caller_left`.
    :param caller_left: returns whether the caller is known to have closed the
        connection.
    :ivar withdraw: refuses the request, which has not run; None if it may have run.
    :ivar body_bytes: size of the body so far.
    :ivar started: whether any byte of the answer may have been sent.
    :ivar finished: whether the answer was sent completely.
    """

    def __init__(
        self,
        stream: TcpStream,
        request: CallerRequest,
        closing: Callable[[], bool],
        cancel_if_caller_left: Callable[[], None],
        caller_left: Callable[[], bool],
    ) -> None:
        self._stream = stream
        self.caller_left = caller_left
        self.cancel_if_caller_left = cancel_if_caller_left
        self._chunked = request.http_version >= b"1.1"
        self._head_only = request.method == b"HEAD"
        self._closing = closing
        self.close_after = request.close_after
        self.withdraw: Callable[[], None] | None = None
        self.body_bytes = 0
        self.started = False
        self.finished = False

    def set_account(self, account: ClientAccountName | None) -> None:
        """Record to which client account the request belongs."""
        self._stream.held.account = account

    @property
    def truncated(self) -> bool:
        """Return whether the answer was started but not finished.

        The connection then closes without the marker of a complete answer.
        """
        return self.started and not self.finished

    async def send_complete(
        self, status: int, fields: HeaderFields, body: bytes
    ) -> None:
        """Write a complete answer.

        :raises CallerGone: if the caller's connection is closed.
        """
        length = [(b"content-length", str(len(body)).encode())]
        head = self._encode_head(status, fields + length)
        self.body_bytes = len(body)
        await self._send(head if self._head_only else head + body)
        self.finished = True

    async def start(self, status: int, fields: HeaderFields, body: bytes) -> None:
        """Write the head and the first chunk of an answer of unknown length."""
        if self._chunked:
            fields = fields + [(b"transfer-encoding", b"chunked")]
        else:
            self.close_after = True
        head = self._encode_head(status, fields)
        if not self._head_only:
            self.body_bytes = len(body)
            head += self._encode_chunk(body)
        await self._send(head)

    async def send_chunk(self, body: bytes) -> None:
        """Write a further chunk of the answer."""
        if self._head_only:
            return
        self.body_bytes += len(body)
        await self._send(self._encode_chunk(body))

    async def finish(self) -> None:
        """Finish an answer of unknown length."""
        if self._chunked and not self._head_only:
            await self._send(b"0\r\n\r\n")
        self.finished = True

    async def _send(self, data: bytes) -> None:
        self.started = True
        try:
            await self._stream.send(data)
        except CONNECTION_ERRORS as error:
            raise CallerGone(f"{type(error).__name__}: {error}") from error

    def _encode_head(self, status: int, fields: HeaderFields) -> bytes:
        self.close_after = self.close_after or self._closing()
        return encode_head(status, fields, self.close_after)

    def _encode_chunk(self, body: bytes) -> bytes:
        if not self._chunked or not body:
            return body
        return b"%x\r\n%b\r\n" % (len(body), body)


def encode_head(status: int, fields: HeaderFields, close_after: bool) -> bytes:
    """Return the head of an answer."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = ""
    lines = [f"HTTP/1.1 {status} {phrase}\r\n".encode("latin-1")]
    lines += [b"%b: %b\r\n" % field for field in fields]
    if close_after:
        lines.append(b"connection: close\r\n")
    lines.append(b"\r\n")
    return b"".join(lines)
