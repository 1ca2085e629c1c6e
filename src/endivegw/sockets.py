"""Query and set kernel state of connections that the event loop does not show."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios
from typing import Protocol

__all__ = [
    "has_no_pending_input",
    "has_unacknowledged_output",
    "last_input_age_s",
    "peer_has_closed",
    "reset_on_close",
]

#: Format of the queue length that the kernel returns.
_QUEUE_BYTES = struct.Struct("i")

#: Value of ``SO_LINGER``: a close discards unsent data at once.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

#: Position of ``tcpi_last_data_recv``, in milliseconds, in Linux's ``struct tcp_info``.
_LAST_INPUT = struct.Struct("52xI")


class _Socket(Protocol):
    """A socket, or the wrapper of one that a transport provides."""

    def fileno(self) -> int:
        """Return the file descriptor."""

    def getsockopt(self, level: int, option: int, size_bytes: int, /) -> bytes:
        """Return the value of a socket option."""

    def setsockopt(self, level: int, option: int, value: bytes, /) -> None:
        """Set a socket option."""


def has_no_pending_input(connection: _Socket) -> bool:
    """Return whether neither data nor an end of stream is waiting to be read."""
    return connection.fileno() >= 0 and not _poll(connection, select.POLLIN)


def peer_has_closed(connection: _Socket) -> bool:
    """Return whether the peer has closed, even if unread data is still pending.

    The peer of a socket that was closed here counts as gone as well.
    """
    return connection.fileno() < 0 or bool(_poll(connection, select.POLLRDHUP))


def has_unacknowledged_output(connection: _Socket) -> bool:
    """Return whether the peer has not acknowledged all sent data.

    The data may still be in this machine's buffers, in transit, or received.
    """
    if connection.fileno() < 0:
        return False
    empty = _QUEUE_BYTES.pack(0)
    queued = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, empty)
    length: int = _QUEUE_BYTES.unpack(queued)[0]
    return length > 0


def last_input_age_s(connection: _Socket) -> float:
    """Return how long ago the kernel received the last data, read or not.

    Data stays unread while the process is paused or short of processor time.
    """
    if connection.fileno() < 0:
        return 0.0
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_INPUT.size)
    age_ms: int = _LAST_INPUT.unpack(info)[0]
    return age_ms / 1000.0


def reset_on_close(connection: _Socket) -> None:
    """Let the close discard unsent data and reset the connection."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def _poll(connection: _Socket, events: int) -> list[tuple[int, int]]:
    """Poll without waiting; an error or a reset is always reported."""
    poll = select.poll()
    poll.register(connection.fileno(), events)
    return poll.poll(0)
