"""Write log lines without ever waiting for whoever reads them.

A pipe that nobody reads fills up, and the next write to it would hold the whole
process, with every request in it. Lines therefore wait in a bounded buffer, and
what does not fit is left out and counted.
"""

from __future__ import annotations

import os
from collections import deque
from typing import Callable

import anyio
import logbook

from endivegw.telemetry.log import format_line

__all__ = ["BoundedLines", "bounded_handler"]

#: Lines that wait at most: some 3 MB, and seconds of a router in an overload.
_MOST_LINES = 10_000

#: Of these, how many ordinary lines may fill; the rest is kept for warnings and
#: errors, which explain a failure.
_MOST_ORDINARY = 7_000

#: How often what waits is written. A process that is killed loses this much.
_FLUSH_S = 0.05

#: Bytes of one write; a pipe takes 64 KiB.
_CHUNK_BYTES = 65_536


class BoundedLines:
    """Hold lines until the descriptor takes them.

    :param write: writes some of the bytes and returns how many; raises
        :exc:`BlockingIOError` where it would have to wait.
    """

    def __init__(self, write: Callable[[bytes], int]) -> None:
        self._write = write
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self.left_out = 0

    def add(self, line: str, important: bool) -> None:
        """Take a line, or leave it out where too many wait."""
        most = _MOST_LINES if important else _MOST_ORDINARY
        if len(self._lines) >= most:
            self.left_out += 1
            return
        self._lines.append(line.encode() + b"\n")

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._rest or self._lines:
            if not self._rest:
                parts = []
                size_bytes = 0
                while self._lines and size_bytes < _CHUNK_BYTES:
                    parts.append(self._lines.popleft())
                    size_bytes += len(parts[-1])
                self._rest = b"".join(parts)
            try:
                written = self._write(self._rest)
            except BlockingIOError:
                return
            self._rest = self._rest[written:]

    async def run(self) -> None:
        """Flush at intervals until cancelled."""
        try:
            while True:
                await anyio.sleep(_FLUSH_S)
                if self.left_out:
                    count, self.left_out = self.left_out, 0
                    self.add(f'{{"event":9130,"left_out":{count}}}', True)
                self.flush()
        finally:
            self.flush()


def bounded_handler(
    descriptor: int, level: int
) -> tuple[logbook.Handler, BoundedLines]:
    """Return a handler for a descriptor, and the lines to be flushed."""
    os.set_blocking(descriptor, False)
    lines = BoundedLines(lambda data: os.write(descriptor, data))

    class _Handler(logbook.Handler):  # type: ignore[misc]
        def emit(self, record: logbook.LogRecord) -> None:
            important = record.level >= logbook.WARNING
            lines.add(format_line(record, self), important)

    return _Handler(level=level), lines
