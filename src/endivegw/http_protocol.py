"""Bound what a connection may send without getting anywhere.

uvicorn's fast parser keeps header fields, trailers and chunk extensions of any
length, complete or not. One stranger, without a key, could grow the process past
its 64 MB with a header that never ends, and the machine would stop it with every
answer in it. The bytes are therefore counted as they come, before the
application sees the request.
"""

from __future__ import annotations

from typing import Any

from attrs import frozen
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

__all__ = ["BoundedHttpProtocol", "HeaderBound"]

_TOO_LARGE = 431

#: What a field takes beside its name and value: colon, blank and line end.
_FIELD_OVERHEAD_BYTES = 4


@frozen
class HeaderBound:
    """Hold how long the head of a request may be, and the answer beyond it.

    :ivar fields: header fields of that answer.
    """

    max_bytes: int
    fields: tuple[tuple[str, str], ...]
    body: bytes


class _HeadTooLarge(Exception):
    """Stop the parser; it comes back as a parser error."""


class BoundedHttpProtocol(HttpToolsProtocol):
    """Refuse a request whose head is too long, and close its connection.

    Beyond the bound the process holds at most one read of the socket.
    """

    def __init__(self, *args: Any, bound: HeaderBound, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._bound = bound
        self._field_bytes = 0
        #: Bytes of whole reads that made no message begin, go on or end.
        self._idle_bytes = 0
        self._moved = False
        self._in_message = False
        self._refused = False

    def data_received(self, data: bytes) -> None:
        """Parse what came, and count what the parser only keeps."""
        if self._refused:
            return
        self._moved = False
        super().data_received(data)
        if not self._in_message or self._moved:
            return
        self._idle_bytes += len(data)
        if self._idle_bytes > self._bound.max_bytes:
            self._refuse()

    def on_message_begin(self) -> None:
        """Begin to count."""
        super().on_message_begin()
        self._field_bytes = 0
        self._in_message = True
        self._move()

    def on_url(self, url: bytes) -> None:
        """Count the target of the request."""
        self._count(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header field, or a trailer field after the body."""
        self._count(len(name) + len(value) + _FIELD_OVERHEAD_BYTES)
        super().on_header(name, value)

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body, which has a bound of its own."""
        self._move()
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Stop counting until the next request."""
        self._in_message = False
        self._move()
        super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Answer what could not be parsed, or what was too long."""
        if self._field_bytes > self._bound.max_bytes:
            self._refuse()
            return
        super().send_400_response(msg)

    def _move(self) -> None:
        self._moved = True
        self._idle_bytes = 0

    def _count(self, size_bytes: int) -> None:
        self._field_bytes += size_bytes
        if self._field_bytes > self._bound.max_bytes:
            raise _HeadTooLarge

    def _refuse(self) -> None:
        self._refused = True
        if self.cycle is None or self.cycle.response_complete:
            self.transport.write(_answer(self._bound))
        # An answer that has begun can only be cut off.
        self.transport.close()


def _answer(bound: HeaderBound) -> bytes:
    fields = (
        *bound.fields,
        ("content-length", str(len(bound.body))),
        ("connection", "close"),
    )
    lines = [f"{name}: {value}\r\n".encode("latin-1") for name, value in fields]
    return b"".join([STATUS_LINE[_TOO_LARGE], *lines, b"\r\n", bound.body])
