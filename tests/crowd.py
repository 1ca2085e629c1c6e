"""Clients that misbehave, and what a process uses while they are connected."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
from typing import AsyncIterator, Callable

from attrs import define, frozen

__all__ = [
    "KIB",
    "MIB",
    "Crowd",
    "ProcessUse",
    "ask",
    "chunk",
    "open_chunks",
    "repeat",
    "tiny_chunks",
    "trickle",
]

KIB = 1024
MIB = 1024 * KIB

#: Time within which an ordinary request is answered, however slow the machine is.
_ANSWER_TIMEOUT_S = 40.0

#: Size of one write; the kernel's buffers hold several.
_PIECE_BYTES = 64 * KIB

_SAMPLE_S = 0.05

#: Bytes that one client sends; the connection stays open afterwards.
Pieces = Callable[[], AsyncIterator[bytes]]


@define
class ProcessUse:
    """Watch the descriptors and the memory of a process.

    :ivar descriptors: largest number of open descriptors that was seen.
    """

    pid: int
    descriptors: int = 0

    @property
    def peak_mb(self) -> float:
        """Return the largest resident memory of the process so far."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        (line,) = (row for row in status.splitlines() if row.startswith("VmHWM"))
        return int(line.split()[1]) * KIB / 1e6

    async def watch(self) -> None:
        """Sample the descriptors until cancelled."""
        while True:
            with contextlib.suppress(OSError):
                entries = list(pathlib.Path(f"/proc/{self.pid}/fd").iterdir())
                self.descriptors = max(self.descriptors, len(entries))
            await asyncio.sleep(_SAMPLE_S)


@frozen
class Crowd:
    """Clients that all send the same and stay connected.

    :param port: port of a listener on a loopback address.
    :param clients: number of connections that are open at once.
    :param span_s: time for which they send; a client that the process does not read
        from has sent less by then.
    :param pieces: what a client sends.
    :param rounds: how often a client connects again after the process has closed its
        connection.
    """

    port: int
    clients: int
    span_s: float
    pieces: Pieces
    rounds: int = 0
    host: str = "127.0.0.1"

    @contextlib.asynccontextmanager
    async def connected(self) -> AsyncIterator[list[asyncio.Task[None]]]:
        """Connect and send; yield while the connections are still open."""
        clients = [asyncio.create_task(self._run()) for _ in range(self.clients)]
        try:
            await asyncio.wait(clients, timeout=self.span_s)
            yield clients
        finally:
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)

    async def _run(self) -> None:
        """Return once the process has closed each of the connections."""
        for _ in range(self.rounds + 1):
            with contextlib.suppress(OSError):
                await self._connect()

    async def _connect(self) -> None:
        reader, writer = await asyncio.open_connection(self.host, self.port)
        sending = asyncio.create_task(self._send(writer))
        try:
            while await reader.read(_PIECE_BYTES):
                pass
        finally:
            sending.cancel()
            writer.transport.abort()

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            async for piece in self.pieces():
                writer.write(piece)
                await writer.drain()


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def open_chunks(head: bytes, body_bytes: int) -> Pieces:
    """Return chunks of a body that does not end."""

    async def pieces() -> AsyncIterator[bytes]:
        yield head
        sent_bytes = 0
        while sent_bytes < body_bytes:
            size = min(_PIECE_BYTES, body_bytes - sent_bytes)
            yield chunk(b"x" * size)
            sent_bytes += size

    return pieces


def tiny_chunks(head: bytes, body_bytes: int) -> Pieces:
    """Return a body that does not end, in chunks of one byte."""

    async def pieces() -> AsyncIterator[bytes]:
        yield head
        piece = chunk(b"x") * (8 * KIB)
        for _ in range(body_bytes // (8 * KIB)):
            yield piece

    return pieces


def repeat(head: bytes, piece: bytes) -> Pieces:
    """Return a head, and then the same piece without end."""

    async def pieces() -> AsyncIterator[bytes]:
        yield head
        while True:
            yield piece

    return pieces


def trickle(head: bytes, piece: bytes, pause_s: float) -> Pieces:
    """Return a head, and then a small piece now and then without end."""

    async def pieces() -> AsyncIterator[bytes]:
        yield head
        while True:
            yield piece
            await asyncio.sleep(pause_s)

    return pieces


async def ask(port: int, request: bytes, *parts: tuple[float, bytes]) -> int:
    """Send a request on a new connection; return the status of its whole answer.

    :param parts: further parts of the request, each after a pause in seconds.
    :returns: 0 if there is no whole answer within a long time.
    """
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(request)
                for pause_s, part in parts:
                    await asyncio.sleep(pause_s)
                    writer.write(part)
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length:")[2]
                if length:
                    await reader.readexactly(int(length.split(b"\r\n")[0]))
                elif b"chunked" in head.lower():
                    await _read_chunks(reader)
                return int(head.split()[1])
            finally:
                writer.transport.abort()
    return 0


async def _read_chunks(reader: asyncio.StreamReader) -> None:
    """Read the body of an answer in chunks."""
    while size := int(await reader.readline(), 16):
        await reader.readexactly(size + len(b"\r\n"))
    await reader.readline()
