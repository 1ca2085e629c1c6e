"""Read a caller's request body within size limits."""

from __future__ import annotations

from typing import Any, AsyncIterator, Awaitable, Callable

from endivegw.results import Reason, Refused

__all__ = ["CallerDisconnected", "Receive", "read_body", "read_leading"]

Receive = Callable[[], Awaitable[dict[str, Any]]]


class CallerDisconnected(Exception):
    """The caller closed its connection before its body was complete."""


async def _chunks(receive: Receive) -> AsyncIterator[bytes]:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnected
        yield message.get("body", b"")
        if not message.get("more_body", False):
            return


async def read_body(receive: Receive, max_body_bytes: int) -> bytes | Refused:
    """Return the complete body, or refuse it as soon as it exceeds the limit."""
    parts: list[bytes] = []
    size = 0
    async for chunk in _chunks(receive):
        size += len(chunk)
        if size > max_body_bytes:
            return Refused(
                Reason.BODY_TOO_LARGE,
                f"the body exceeds the limit of {max_body_bytes} bytes",
            )
        parts.append(chunk)
    return b"".join(parts)


async def read_leading(
    receive: Receive, max_buffered_bytes: int
) -> tuple[bytes, AsyncIterator[bytes] | None]:
    """Return the start of the body, and an iterator over the rest of a long one.

    A body within the limit is buffered completely, so that the call can be sent
    again to another target. A longer one is streamed and can be sent only once.

    :returns: the bytes read, and None in place of the iterator if they are the
        complete body.
    """
    parts: list[bytes] = []
    size = 0
    chunks = _chunks(receive)
    async for chunk in chunks:
        parts.append(chunk)
        size += len(chunk)
        if size > max_buffered_bytes:
            return b"".join(parts), chunks
    return b"".join(parts), None
