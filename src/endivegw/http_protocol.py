"""Limit the size of HTTP header sections, and detect clients that disconnect early.

uvicorn's httptools parser buffers header fields, trailers and chunk extensions of
any length, complete or not. An unauthenticated client could grow the process past
its limit of 64 MB with an endless header field, and the machine would kill the
process together with all responses in progress. The bytes are therefore counted as
they arrive, before the application receives the request.

An offer to change the protocol is ignored, as HTTP allows. The parser would take all
bytes after the header section for the other protocol, and the body would be lost. The
header section is therefore parsed once more without the offer.
"""

from __future__ import annotations

import asyncio
from typing import Any, Mapping, cast

import httptools
from attrs import frozen
from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    HttpToolsProtocol,
    RequestResponseCycle,
)

from endivegw.sockets import (
    has_no_pending_input,
    last_input_age_s,
    peer_has_closed,
)

__all__ = [
    "BoundedHttpProtocol",
    "HeaderLimit",
    "closing_response",
    "client_has_disconnected",
    "seconds_since_arrival",
    "wait_reading_stopped",
]

#: Extension of the ASGI scope with the state of the connection.
_EXTENSION = "endivegw.connection"
_HAS_DISCONNECTED = "has_disconnected"
_READING_STOPPED = "reading_stopped"
_ARRIVED_S = "arrived_s"

_BAD_REQUEST = 400
_TOO_LARGE = 431

_CONNECT = b"CONNECT"
_CONNECTION = b"connection"
_UPGRADE = b"upgrade"

#: Bytes of a field besides its name and value: colon, space and CRLF.
_FIELD_OVERHEAD_BYTES = 4


@frozen
class HeaderLimit:
    """Hold the size limit of a request's header section and the error response.

    :ivar max_bytes: limit for the request target, header fields and trailer fields
        together.
    :ivar fields: header fields of the response to a request that exceeds the limit.
    :ivar body: body of that response.
    """

    max_bytes: int
    fields: tuple[tuple[str, str], ...]
    body: bytes


class _HeaderTooLarge(Exception):
    """Stop the parser, which reports the exception as a parser error."""


def client_has_disconnected(scope: Mapping[str, Any]) -> bool:
    """Return whether the client of a request has closed its connection.

    The kernel is queried, because the event loop may not have read the end of the
    connection yet.

    :param scope: the ASGI scope of the request. False is returned if its connection
        is not served by :class:`BoundedHttpProtocol`.
    """
    extension = scope.get("extensions", {}).get(_EXTENSION)
    return extension is not None and extension[_HAS_DISCONNECTED]()


async def wait_reading_stopped(scope: Mapping[str, Any]) -> None:
    """Wait until disconnects of the client may not be reported to the application.

    :param scope: the ASGI scope of the request. The wait does not end if its connection
        is not served by :class:`BoundedHttpProtocol`.
    """
    extension = scope.get("extensions", {}).get(_EXTENSION)
    stopped = asyncio.Event() if extension is None else extension[_READING_STOPPED]
    await stopped.wait()


def seconds_since_arrival(scope: Mapping[str, Any]) -> float:
    """Return how long ago the start of a request arrived.

    It may have been unread for some time, or waited behind a pipelined request.

    :param scope: the ASGI scope of the request. 0 is returned if its connection is not
        served by :class:`BoundedHttpProtocol`.
    """
    extension = scope.get("extensions", {}).get(_EXTENSION)
    if extension is None:
        return 0.0
    return asyncio.get_running_loop().time() - float(extension[_ARRIVED_S])


class BoundedHttpProtocol(HttpToolsProtocol):
    """Refuse a request whose header section is too large, and close the connection.

    Beyond the limit the process buffers at most one read of the socket.
    """

    def __init__(self, *args: Any, limit: HeaderLimit, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._limit = limit
        self._field_bytes = 0
        #: Bytes of consecutive reads in which no message started, continued or ended.
        self._buffered_bytes = 0
        self._progressed = False
        self._in_message = False
        #: Response to a request that cannot be read, sent after those before it.
        self._last_response: bytes | None = None
        self._in_body = False
        self._is_shutting_down = False
        #: The request that is being answered, or was answered last.
        self._answering: RequestResponseCycle | None = None
        #: Whether the header section just parsed offers to change the protocol.
        self._offers_upgrade = False
        #: Set once a pipelined request has stopped reading. From then on uvicorn
        #: reports a disconnect to the last request of the connection only.
        self._reading_stopped = asyncio.Event()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and count those that the parser only buffers."""
        if self._last_response is not None:
            return
        self._progressed = False
        self._parse(data)
        if not self._in_message or self._progressed:
            return
        self._buffered_bytes += len(data)
        if self._buffered_bytes > self._limit.max_bytes:
            self._refuse()

    def on_message_begin(self) -> None:
        """Start counting for a new request."""
        super().on_message_begin()
        self.scope["extensions"] = {
            _EXTENSION: {
                _HAS_DISCONNECTED: self._has_disconnected,
                _READING_STOPPED: self._reading_stopped,
                _ARRIVED_S: self._arrived_s(),
            }
        }
        self._field_bytes = 0
        self._in_message = True
        self._in_body = False
        self._record_progress()

    def on_url(self, url: bytes) -> None:
        """Count the request target."""
        self._count(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header field, or a trailer field after the body."""
        self._count(len(name) + len(value) + _FIELD_OVERHEAD_BYTES)
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the request, or queue it behind the one in progress."""
        if self.parser.should_upgrade() and self.parser.get_method() != _CONNECT:
            # The request starts once it was parsed without the offer.
            self._offers_upgrade = True
            return
        super().on_headers_complete()
        self._in_body = True
        if self.pipeline:
            self._reading_stopped.set()

    def on_body(self, body: bytes) -> None:
        """Record progress; the body has a separate limit."""
        self._record_progress()
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Stop counting until the next request."""
        if self._offers_upgrade:
            return
        self._in_message = False
        self._in_body = False
        self._record_progress()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Answer the next request, or the one that cannot be read."""
        super().on_response_complete()
        if self._last_response is not None:
            self._close_when_answered()
        elif self._is_shutting_down:
            self._close_if_idle()

    def shutdown(self) -> None:
        """Close the connection once every request received by then is answered."""
        self._is_shutting_down = True
        if self._answering is not None and not self._answering.response_complete:
            self._announce_close(self._answering)
        else:
            self._close_if_idle()

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, unless a request has arrived that is not read yet.

        After a pause of the process, timers may expire before such a request is read.
        """
        if self._has_no_pending_input():
            super().timeout_keep_alive_handler()

    def send_400_response(self, msg: str) -> None:
        """Respond to a request that is malformed or exceeds the limit."""
        if self._field_bytes > self._limit.max_bytes:
            self._refuse()
            return
        self._end_with(_bad_request_response(msg))

    def _parse(self, data: bytes) -> None:
        """Parse received bytes; parse each header section with an offer once more."""
        self._unset_keepalive_if_required()
        unparsed = memoryview(data)
        try:
            while (parsed_bytes := self._parse_until_offer(unparsed)) is not None:
                unparsed = unparsed[parsed_bytes:]
                head = self._head_without_upgrade()
                # The current parser reads no more after an offer on a connection that
                # is to be closed.
                self.parser = self._new_parser()
                self.parser.feed_data(head)
        except httptools.HttpParserError:
            self.send_400_response("Invalid HTTP request received.")

    def _parse_until_offer(self, unparsed: memoryview) -> int | None:
        """Parse up to the first header section with an offer; return where it ends.

        :return: an offset in bytes, or None if there is no offer.
        """
        try:
            self.parser.feed_data(unparsed)
        except httptools.HttpParserUpgrade as upgrade:
            if self._offers_upgrade:
                self._offers_upgrade = False
                (parsed_bytes,) = upgrade.args
                return int(parsed_bytes)
        return None

    def _new_parser(self) -> httptools.HttpRequestParser:
        """Return a parser with the same settings as uvicorn's."""
        parser = httptools.HttpRequestParser(self)
        # Pipelined requests may follow one that closes the connection.
        parser.set_dangerous_leniencies(lenient_data_after_close=True)
        return parser

    def _head_without_upgrade(self) -> bytes:
        """Return the last header section without the offer to change the protocol."""
        version = self.parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b" % (self.parser.get_method(), self.url, version)]
        for name, value in self.headers:
            if name == _CONNECTION:
                tokens = [token.strip() for token in value.split(b",")]
                value = b", ".join(t for t in tokens if t.lower() != _UPGRADE)
            if name != _UPGRADE and (value or name != _CONNECTION):
                lines.append(b"%b: %b" % (name, value))
        return b"\r\n".join([*lines, b"", b""])

    def _arrived_s(self) -> float:
        """Return when the last data arrived, on the event loop's clock."""
        age_s = last_input_age_s(self.transport.get_extra_info("socket"))
        return self.loop.time() - age_s

    def _has_disconnected(self) -> bool:
        """Return whether the client has closed the connection."""
        if self.transport.is_closing():
            return True
        return peer_has_closed(self.transport.get_extra_info("socket"))

    def _record_progress(self) -> None:
        self._progressed = True
        self._buffered_bytes = 0

    def _count(self, size_bytes: int) -> None:
        self._field_bytes += size_bytes
        if self._field_bytes > self._limit.max_bytes:
            raise _HeaderTooLarge

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self._answering = cycle
        if self._is_shutting_down:
            self._announce_close(cycle)
        super()._start_asgi_task(cycle, app)

    def _refuse(self) -> None:
        limit = self._limit
        self._end_with(closing_response(_TOO_LARGE, limit.fields, limit.body))

    def _end_with(self, response: bytes) -> None:
        """Respond to the request being received, which cannot be read, and close.

        The requests before it are whole, and are answered first.
        """
        self._last_response = response
        if self._in_body and self.pipeline:
            # The latest request will never be whole; uvicorn reports a disconnect to
            # the latest one only.
            self.pipeline.popleft()
            last = self.pipeline[0][0] if self.pipeline else self._answering
            self.cycle = cast(RequestResponseCycle, last)
        elif self._in_body and not self.cycle.response_complete:
            if not self.cycle.response_started:
                self.transport.write(response)
            # A response that has already started can only be truncated.
            self.transport.close()
            return
        self._close_when_answered()

    def _announce_close(self, cycle: RequestResponseCycle) -> None:
        """Let the response close the connection unless other requests follow it."""
        if not self.pipeline and self._has_no_pending_input():
            cycle.keep_alive = False

    def _close_if_idle(self) -> None:
        answering = self._answering
        if answering is None or answering.response_complete:
            if self._has_no_pending_input():
                self.transport.close()

    def _has_no_pending_input(self) -> bool:
        return has_no_pending_input(self.transport.get_extra_info("socket"))

    def _close_when_answered(self) -> None:
        answering = self._answering
        if self._last_response is None or self.transport.is_closing():
            return
        if answering is None or answering.response_complete:
            self._unset_keepalive_if_required()
            self.transport.write(self._last_response)
            self.transport.close()


def _bad_request_response(detail: str) -> bytes:
    fields = (("content-type", "text/plain; charset=utf-8"),)
    return closing_response(_BAD_REQUEST, fields, detail.encode())


def closing_response(
    status: int, fields: tuple[tuple[str, str], ...], body: bytes
) -> bytes:
    """Return a complete response after which the connection is closed."""
    fields = (
        *fields,
        ("content-length", str(len(body))),
        ("connection", "close"),
    )
    lines = [f"{name}: {value}\r\n".encode("latin-1") for name, value in fields]
    return b"".join([STATUS_LINE[status], *lines, b"\r\n", body])
