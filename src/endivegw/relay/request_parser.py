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
from endivegw.relay.request_body import (
    ChunkedBody,
    LengthBody,
    MalformedBody,
    RequestBody,
)
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
    _head: h11.Request | None = None
    _body: RequestBody | None = None

    @property
    def idle(self) -> bool:
        """Return whether no byte of a next request has been received."""
        return self._head is None and not self._buffer

    @property
    def in_body(self) -> bool:
        """Return whether the head was parsed and the body is incomplete."""
        return self._head is not None

    @property
    def buffered_bytes(self) -> int:
        """Return the number of buffered bytes."""
        body_bytes = 0 if self._body is None else self._body.size
        return len(self._buffer) + body_bytes

    @property
    def unparsed_bytes(self) -> int:
        """Return the number of buffered bytes that were not parsed yet."""
        return len(self._buffer)

    def request_head(self, now_s: float) -> CallerRequest | None:
        """Return the request whose body is incomplete, without it; None if none is."""
        return None if self._head is None else _request(self._head, b"", now_s)

    def feed(self, data: bytes) -> None:
        """Add received bytes to the buffer."""
        self._buffer += data
        self._skip_blank_lines()

    def discard(self) -> None:
        """Drop what is buffered; what follows cannot be parsed any more."""
        self._buffer.clear()
        self._head = None
        if self._body is not None:
            self._body.clear()
        self._body = None

    def next_request(self, now_s: float) -> CallerRequest | MalformedRequest | None:
        """Return the next request, None if more bytes are needed."""
        try:
            if self._head is None:
                refusal = self._parse_head()
                if refusal is not None or self._head is None:
                    return refusal
            return self._read_body(now_s)
        except h11.RemoteProtocolError as error:
            return MalformedRequest(error.error_status_hint, str(error))
        except MalformedBody as error:
            return MalformedRequest(_BAD_REQUEST, str(error))

    def _skip_blank_lines(self) -> None:
        """Skip blank lines before a request line (RFC 9112, section 2.2)."""
        if self._head is None:
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
        parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.head_bytes
        )
        parser.receive_data(bytes(head))
        event = parser.next_event()
        if not isinstance(event, h11.Request):
            return MalformedRequest(_BAD_REQUEST, "the input is not an HTTP request")
        del self._buffer[: len(head)]
        refusal = _validate_head(event, self.limits)
        if refusal is None:
            self._head = event
            self._body = _expected_body(event, self.limits)
            self.expects_continue = parser.they_are_waiting_for_100_continue
        return refusal

    def _read_body(self, now_s: float) -> CallerRequest | MalformedRequest | None:
        assert self._head is not None and self._body is not None
        self._body.take(self._buffer)
        size = self._body.size
        if size > self.limits.body_bytes:
            return MalformedRequest(
                _BODY_TOO_LARGE,
                f"request body of {size} bytes exceeds the limit of "
                f"{self.limits.body_bytes}",
            )
        if not self._body.complete:
            return None
        request = _request(self._head, self._body.take_data(), now_s)
        self._head = None
        self._body = None
        self.expects_continue = False
        self._skip_blank_lines()
        return request


def _request(head: h11.Request, body: bytes, now_s: float) -> CallerRequest:
    fields = list(head.headers)
    return CallerRequest(
        method=head.method,
        target=head.target,
        fields=fields,
        body=body,
        http_version=head.http_version,
        close_after=_requests_close(fields, head.http_version),
        arrived_s=now_s,
    )


def _expected_body(head: h11.Request, limits: CallerLimits) -> RequestBody:
    """Return the decoder of the body that a valid head announces."""
    for name, value in head.headers:
        if name == b"transfer-encoding":
            return ChunkedBody(limits.head_bytes)
        if name == b"content-length":
            return LengthBody(int(value))
    return LengthBody(0)


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
