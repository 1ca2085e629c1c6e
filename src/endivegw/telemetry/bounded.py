"""Log lines that are written without blocking on their reader.

Once a pipe that nobody reads is full, the next blocking write to it would stop the
process and all requests in it. Lines are therefore queued in a bounded buffer, and
lines that do not fit are dropped and counted.
"""

from __future__ import annotations

import os
from collections import deque
from typing import Callable

import anyio
import logbook

from endivegw.telemetry.log import format_line

__all__ = ["BoundedLineBuffer", "bounded_handler"]

#: Maximum number of queued lines: about 3 MB, which an overloaded router writes
#: within seconds.
_MAX_LINES = 10_000

#: Number of queued lines from which on lines below warning level are dropped. The
#: rest of the buffer is reserved for warnings and errors, which explain a failure.
_MAX_ORDINARY_LINES = 7_000

#: Interval between two flushes. A process that is killed loses the lines of one.
_FLUSH_S = 0.05

#: Size from which on no further line is added to a write; a pipe holds 64 KiB.
_CHUNK_BYTES = 65_536


class BoundedLineBuffer:
    """Queue lines until the descriptor accepts them.

    :param write: writes some of the bytes and returns how many; raises
        :exc:`BlockingIOError` if it would block.
    """

    def __init__(self, write: Callable[[bytes], int]) -> None:
        self._write = write
        self._lines: deque[bytes] = deque()
        self._unsent = b""
        self.dropped = 0

    def add(self, line: str, important: bool) -> None:
        """Queue a line, or drop and count it if the buffer is full.

        :param important: whether the line may use the reserved part of the buffer.
        """
        max_lines = _MAX_LINES if important else _MAX_ORDINARY_LINES
        if len(self._lines) >= max_lines:
            self.dropped += 1
            return
        self._lines.append(line.encode() + b"\n")

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._unsent or self._lines:
            if not self._unsent:
                parts = []
                size_bytes = 0
                while self._lines and size_bytes < _CHUNK_BYTES:
                    parts.append(self._lines.popleft())
                    size_bytes += len(parts[-1])
                self._unsent = b"".join(parts)
            try:
                written = self._write(self._unsent)
            except BlockingIOError:
                return
            self._unsent = self._unsent[written:]

    async def run(self) -> None:
        """Flush at a fixed interval until cancelled."""
        try:
            while True:
                await anyio.sleep(_FLUSH_S)
                if self.dropped:
                    count, self.dropped = self.dropped, 0
                    self.add(f'{{"event":9130,"left_out":{count}}}', True)
                self.flush()
        finally:
            self.flush()


def bounded_handler(
    descriptor: int, level: int
) -> tuple[logbook.Handler, BoundedLineBuffer]:
    """Return a log handler for a descriptor, and the buffer that it fills.

    The caller has to run or flush the buffer. The descriptor becomes non-blocking.
    """
    os.set_blocking(descriptor, False)
    lines = BoundedLineBuffer(lambda data: os.write(descriptor, data))

    class _Handler(logbook.Handler):  # type: ignore[misc]
        def emit(self, record: logbook.LogRecord) -> None:
            important = record.level >= logbook.WARNING
            lines.add(format_line(record, self), important)

    return _Handler(level=level), lines
