"""Query the kernel for connection state that the event loop has not read yet."""

from __future__ import annotations

import select

from anyio.abc import ByteStream, SocketAttribute

__all__ = ["peer_has_closed", "has_no_pending_input"]


def has_no_pending_input(stream: ByteStream) -> bool:
    """Return whether neither data nor an end of stream is waiting to be read."""
    return not _poll(stream, select.POLLIN)


def peer_has_closed(stream: ByteStream) -> bool:
    """Return whether the peer has closed, even if unread data is still pending."""
    return bool(_poll(stream, select.POLLRDHUP))


def _poll(stream: ByteStream, events: int) -> list[tuple[int, int]]:
    """Poll without waiting; an error or a reset is always reported."""
    poll = select.poll()
    poll.register(stream.extra(SocketAttribute.raw_socket), events)
    return poll.poll(0)
