"""Read a caller's body within bounds."""

from __future__ import annotations

from typing import Any, AsyncIterator, Awaitable, Callable

from endivegw.results import Reason, Refused

__all__ = ["CallerGone", "Receive", "read_body", "read_leading"]

Receive = Callable[[], Awaitable[dict[str, Any]]]


class CallerGone(Exception):
    """The caller closed its connection before its body was whole."""


async def _chunks(receive: Receive) -> AsyncIterator[bytes]:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGone
        yield message.get("body", b"")
        if not message.get("more_body", False):
            return


async def read_body(receive: Receive, max_body_bytes: int) -> bytes | Refused:
    """Return the whole body, or refuse it as soon as it is too large."""
    parts: list[bytes] = []
    size = 0
    async for chunk in _chunks(receive):
        size += len(chunk)
        if size > max_body_bytes:
            return Refused(
                Reason.BODY_TOO_LARGE, f"the body is over {max_body_bytes} bytes"
            )
        parts.append(chunk)
    return b"".join(parts)


async def read_leading(
    receive: Receive, max_held_bytes: int
) -> tuple[bytes, AsyncIterator[bytes] | None]:
    """Return the body's beginning, and what follows where it is long.

    A body that fits is held whole, so that the call can be sent again to
    another target. A longer one flows through and is sent once.
    """
    parts: list[bytes] = []
    size = 0
    chunks = _chunks(receive)
    async for chunk in chunks:
        parts.append(chunk)
        size += len(chunk)
        if size > max_held_bytes:
            return b"".join(parts), chunks
    return b"".join(parts), None
