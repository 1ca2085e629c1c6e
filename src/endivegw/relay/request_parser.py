"""Parse a caller's bytes into requests, strictly.

If two parsers disagree on where a request ends, a caller can smuggle one request
inside another, and the smuggled request would run without authentication. Ambiguous
framing (two lengths, a length together with chunks, bare line feeds) is therefore
rejected here, before a parser sees it that would choose one interpretation.
"""

from __future__ import annotations

import re

import h11
from attrs import define, field, frozen

from endivegw.relay.messages import CallerRequest
from endivegw.relay.wire import HeaderFields
from endivegw.routing import CallerLimits

__all__ = ["MalformedRequest", "RequestParser"]

_BAD_REQUEST = 400
_BODY_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431

_HEAD_END = b"\r\n\r\n"
_LENGTH_FIELD = re.compile(rb"\r\ncontent-length[ \t]*:", re.IGNORECASE)


@frozen
class MalformedRequest:
    """Hold the status and detail of the answer to input that is not a request."""

    status: int
    detail: str


@define
class RequestParser:
    """Parse received bytes into complete requests.

    :ivar expects_continue: whether the caller waits for ``100 Continue`` before it
        sends the body.
    """

    limits: CallerLimits
    expects_continue: bool = False
    _buffer: bytearray = field(factory=bytearray)
    _parser: h11.Connection | None = None
    _head: h11.Request | None = None
    _body: bytearray = field(factory=bytearray)

    @property
    def idle(self) -> bool:
        """Return whether no byte of a next request has been received."""
        return self._parser is None and not self._buffer

    @property
    def in_body(self) -> bool:
        """Return whether the head was parsed and the body is incomplete."""
        return self._parser is not None

    @property
    def buffered_bytes(self) -> int:
        """Return the number of buffered bytes."""
        return len(self._buffer) + len(self._body)

    def feed(self, data: bytes) -> None:
        """Add received bytes to the buffer."""
        self._buffer += data
        self._skip_blank_lines()

    def next_request(self, now_s: float) -> CallerRequest | MalformedRequest | None:
        """Return the next request, None if more bytes are needed."""
        try:
            if self._parser is None:
                refusal = self._parse_head()
                if refusal is not None or self._parser is None:
                    return refusal
            elif self._buffer:
                # h11 takes empty input for the end of the connection.
                self._parser.receive_data(bytes(self._buffer))
                self._buffer.clear()
            return self._read_body(now_s)
        except h11.RemoteProtocolError as error:
            return MalformedRequest(error.error_status_hint, str(error))

    def _skip_blank_lines(self) -> None:
        """Skip blank lines before a request line (RFC 9112, section 2.2)."""
        if self._parser is None:
            while self._buffer[:2] == b"\r\n":
                del self._buffer[:2]

    def _parse_head(self) -> MalformedRequest | None:
        """Parse the head once it has been received completely."""
        end = self._buffer.find(_HEAD_END)
        head = self._buffer if end < 0 else self._buffer[: end + len(_HEAD_END)]
        if len(head) > self.limits.head_bytes:
            return MalformedRequest(
                _HEAD_TOO_LARGE,
                f"request head of {len(head)} bytes exceeds the limit of "
                f"{self.limits.head_bytes}",
            )
        if head.count(b"\n") != head.count(b"\r\n"):
            return MalformedRequest(
                _BAD_REQUEST, "the request head contains a bare line feed"
            )
        if end < 0:
            return None
        if len(_LENGTH_FIELD.findall(head)) > 1:
            # h11 merges equal lengths into one; a target may interpret the second
            # field differently.
            return MalformedRequest(_BAD_REQUEST, "conflicting body lengths")
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.head_bytes
        )
        self._parser.receive_data(bytes(self._buffer))
        self._buffer.clear()
        event = self._parser.next_event()
        if not isinstance(event, h11.Request):
            return MalformedRequest(_BAD_REQUEST, "the input is not an HTTP request")
        self._head = event
        self.expects_continue = self._parser.they_are_waiting_for_100_continue
        return _validate_head(event, self.limits)

    def _read_body(self, now_s: float) -> CallerRequest | MalformedRequest | None:
        assert self._parser is not None and self._head is not None
        while True:
            event = self._parser.next_event()
            match event:
                case h11.Data():
                    self._body += event.data
                    if len(self._body) > self.limits.body_bytes:
                        return MalformedRequest(
                            _BODY_TOO_LARGE,
                            f"request body of {len(self._body)} bytes exceeds the "
                            f"limit of {self.limits.body_bytes}",
                        )
                case h11.EndOfMessage():
                    return self._finish_request(now_s)
                case _:
                    return None

    def _finish_request(self, now_s: float) -> CallerRequest:
        assert self._parser is not None and self._head is not None
        head = self._head
        request = CallerRequest(
            method=head.method,
            target=head.target,
            fields=list(head.headers),
            body=bytes(self._body),
            http_version=head.http_version,
            close_after=self._parser.our_state is h11.MUST_CLOSE
            or _requests_close(list(head.headers), head.http_version),
            arrived_s=now_s,
        )
        rest, _ = self._parser.trailing_data
        self._buffer += rest
        self._parser = None
        self._skip_blank_lines()
        self._head = None
        self._body = bytearray()
        self.expects_continue = False
        return request


def _validate_head(head: h11.Request, limits: CallerLimits) -> MalformedRequest | None:
    names = [name for name, _ in head.headers]
    lengths = names.count(b"content-length")
    encodings = names.count(b"transfer-encoding")
    if lengths > 1 or encodings > 1 or (lengths and encodings):
        return MalformedRequest(_BAD_REQUEST, "conflicting body lengths")
    if names.count(b"host") != 1:
        return MalformedRequest(
            _BAD_REQUEST, "the request must have exactly one Host field"
        )
    if not head.target.startswith(b"/"):
        return MalformedRequest(_BAD_REQUEST, "the request target is not a path")
    for name, value in head.headers:
        if name == b"content-length" and int(value) > limits.body_bytes:
            return MalformedRequest(
                _BODY_TOO_LARGE,
                f"request body of {int(value)} bytes exceeds the limit of "
                f"{limits.body_bytes}",
            )
    return None


def _requests_close(fields: HeaderFields, http_version: bytes) -> bool:
    options = b",".join(value for name, value in fields if name == b"connection")
    return http_version < b"1.1" or b"close" in options.lower()
