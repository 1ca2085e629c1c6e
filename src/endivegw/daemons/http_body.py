"""Read a caller's request body within size limits."""

from __future__ import annotations

import math
from typing import Any, AsyncIterator, Awaitable, Callable

import anyio

from endivegw.http_connections import RequestInput
from endivegw.results import Reason, Refused

__all__ = ["CallerDisconnected", "Receive", "read_body", "read_leading"]

Receive = Callable[[], Awaitable[dict[str, Any]]]

#: Retry-after for requests that gave way; other routers may have room at once.
_RETRY_S = 1.0

_NO_ROOM = Refused(Reason.ROUTER_FULL, "too much is held for requests", _RETRY_S)
_LATE = Refused(Reason.DEADLINE, "the body was not complete before the deadline")


class CallerDisconnected(Exception):
    """The caller closed its connection before its body was complete."""


class _GaveWay(Exception):
    """The body was dropped in favour of other requests."""


async def _chunks(
    receive: Receive, source: RequestInput | None
) -> AsyncIterator[bytes]:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnected
        if source is not None and source.gave_way:
            raise _GaveWay
        chunk = message.get("body", b"")
        yield chunk
        if source is not None and source.passed_on:
            source.take(len(chunk))
        if not message.get("more_body", False):
            return


async def read_body(
    receive: Receive,
    max_body_bytes: int,
    source: RequestInput | None = None,
    timeout_s: float = math.inf,
) -> bytes | Refused:
    """Return the complete body, or refuse it as soon as it exceeds the limit.

    :param source: input of the request; None if its server does not share memory.
    :param timeout_s: longest time for the body.
    """
    parts: list[bytes] = []
    size = 0
    with anyio.move_on_after(timeout_s):
        try:
            async for chunk in _chunks(receive, source):
                size += len(chunk)
                if size > max_body_bytes:
                    return Refused(
                        Reason.BODY_TOO_LARGE,
                        f"the body exceeds the limit of {max_body_bytes} bytes",
                    )
                parts.append(chunk)
        except _GaveWay:
            return _NO_ROOM
        return b"".join(parts)
    return _LATE


async def read_leading(
    receive: Receive,
    max_buffered_bytes: int,
    source: RequestInput | None = None,
    timeout_s: float = math.inf,
) -> tuple[bytes, AsyncIterator[bytes] | None] | Refused:
    """Return the start of the body, and an iterator over the rest of a long one.

    A body within the limit is buffered completely, so that the call can be sent
    again to another target. A longer one is streamed and can be sent only once.

    :param source: input of the request; None if its server does not share memory.
    :param timeout_s: longest time for the start of the body.
    :returns: the bytes read, and None in place of the iterator if they are the
        complete body.
    """
    parts: list[bytes] = []
    size = 0
    chunks = _chunks(receive, source)
    with anyio.move_on_after(timeout_s):
        try:
            async for chunk in chunks:
                parts.append(chunk)
                size += len(chunk)
                if size > max_buffered_bytes:
                    if source is not None:
                        source.passed_on = True
                    return b"".join(parts), chunks
        except _GaveWay:
            return _NO_ROOM
        return b"".join(parts), None
    return _LATE
