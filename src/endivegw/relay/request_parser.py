"""Cut a caller's bytes into whole requests, strictly.

Two readers of the same bytes that disagree on where a request ends let a caller
hide one request in another: the hidden one would run under nobody's name. What
leaves room for that (two lengths, a length beside chunks, bare line feeds) is
refused here, before a parser sees it that would choose one reading.
"""

from __future__ import annotations

import re

import h11
from attrs import define, field, frozen

from endivegw.relay.messages import CallerRequest
from endivegw.relay.wire import HeaderFields
from endivegw.routing import CallerLimits

__all__ = ["Malformed", "RequestParser"]

_BAD_REQUEST = 400
_BODY_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431

_HEAD_END = b"\r\n\r\n"
_LENGTH_FIELD = re.compile(rb"\r\ncontent-length[ \t]*:", re.IGNORECASE)


@frozen
class Malformed:
    """Say that what a caller sent is not a request, and with which status."""

    status: int
    detail: str


@define
class RequestParser:
    """Take bytes in, give whole requests out.

    :ivar wants_continue: whether the caller waits for leave to send its body.
    """

    limits: CallerLimits
    wants_continue: bool = False
    _buffer: bytearray = field(factory=bytearray)
    _parser: h11.Connection | None = None
    _head: h11.Request | None = None
    _body: bytearray = field(factory=bytearray)

    @property
    def idle(self) -> bool:
        """Return whether no byte of a next request has come."""
        return self._parser is None and not self._buffer

    @property
    def in_body(self) -> bool:
        """Return whether a whole head was read and the body is not complete."""
        return self._parser is not None

    @property
    def buffered_bytes(self) -> int:
        """Return what is held."""
        return len(self._buffer) + len(self._body)

    def feed(self, data: bytes) -> None:
        """Take in bytes as they came."""
        self._buffer += data

    def next_request(self, now_s: float) -> CallerRequest | Malformed | None:
        """Return the next request, None until more bytes come."""
        try:
            if self._parser is None:
                refusal = self._begin()
                if refusal is not None or self._parser is None:
                    return refusal
            else:
                self._parser.receive_data(bytes(self._buffer))
                self._buffer.clear()
            return self._read_body(now_s)
        except h11.RemoteProtocolError as error:
            return Malformed(error.error_status_hint, str(error))

    def _begin(self) -> Malformed | None:
        """Read a head as soon as all of it is there."""
        while self._buffer[:2] == b"\r\n":
            # Blank lines before a request are allowed.
            del self._buffer[:2]
        end = self._buffer.find(_HEAD_END)
        head = self._buffer if end < 0 else self._buffer[: end + len(_HEAD_END)]
        if len(head) > self.limits.head_bytes:
            return Malformed(_HEAD_TOO_LARGE, "the head is too long")
        if head.count(b"\n") != head.count(b"\r\n"):
            return Malformed(_BAD_REQUEST, "a bare line feed in the head")
        if end < 0:
            return None
        if len(_LENGTH_FIELD.findall(head)) > 1:
            # The parser makes one of equal lengths; a target may take the second
            # for part of something else.
            return Malformed(_BAD_REQUEST, "more than one length of the body")
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.head_bytes
        )
        self._parser.receive_data(bytes(self._buffer))
        self._buffer.clear()
        event = self._parser.next_event()
        if not isinstance(event, h11.Request):
            return Malformed(_BAD_REQUEST, "not a request")
        self._head = event
        self.wants_continue = self._parser.they_are_waiting_for_100_continue
        return _check(event, self.limits)

    def _read_body(self, now_s: float) -> CallerRequest | Malformed | None:
        assert self._parser is not None and self._head is not None
        while True:
            event = self._parser.next_event()
            match event:
                case h11.Data():
                    self._body += event.data
                    if len(self._body) > self.limits.body_bytes:
                        return Malformed(_BODY_TOO_LARGE, "the body is too large")
                case h11.EndOfMessage():
                    return self._end(now_s)
                case _:
                    return None

    def _end(self, now_s: float) -> CallerRequest:
        assert self._parser is not None and self._head is not None
        head = self._head
        request = CallerRequest(
            method=head.method,
            target=head.target,
            fields=list(head.headers),
            body=bytes(self._body),
            http_version=head.http_version,
            last=self._parser.our_state is h11.MUST_CLOSE
            or _closes(list(head.headers), head.http_version),
            arrived_s=now_s,
        )
        rest, _ = self._parser.trailing_data
        self._buffer += rest
        self._parser = None
        self._head = None
        self._body = bytearray()
        self.wants_continue = False
        return request


def _check(head: h11.Request, limits: CallerLimits) -> Malformed | None:
    names = [name for name, _ in head.headers]
    lengths = names.count(b"content-length")
    encodings = names.count(b"transfer-encoding")
    if lengths > 1 or encodings > 1 or (lengths and encodings):
        return Malformed(_BAD_REQUEST, "more than one length of the body")
    if names.count(b"host") != 1:
        return Malformed(_BAD_REQUEST, "not exactly one host")
    if not head.target.startswith(b"/"):
        return Malformed(_BAD_REQUEST, "the target is not a path")
    for name, value in head.headers:
        if name == b"content-length" and int(value) > limits.body_bytes:
            return Malformed(_BODY_TOO_LARGE, "the body is too large")
    return None


def _closes(fields: HeaderFields, http_version: bytes) -> bool:
    options = b",".join(value for name, value in fields if name == b"connection")
    return http_version < b"1.1" or b"close" in options.lower()
