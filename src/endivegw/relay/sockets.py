"""Ask the kernel about a connection, past what the event loop has read of it."""

from __future__ import annotations

import select

from anyio.abc import ByteStream, SocketAttribute

__all__ = ["has_hung_up", "is_quiet"]


def is_quiet(stream: ByteStream) -> bool:
    """Return whether neither bytes nor an end wait to be read."""
    return not _poll(stream, select.POLLIN)


def has_hung_up(stream: ByteStream) -> bool:
    """Return whether the other side has closed, also behind bytes that are unread."""
    return bool(_poll(stream, select.POLLRDHUP))


def _poll(stream: ByteStream, events: int) -> list[tuple[int, int]]:
    """Return at once with what holds now; an error or a reset always counts."""
    poll = select.poll()
    poll.register(stream.extra(SocketAttribute.raw_socket), events)
    return poll.poll(0)
