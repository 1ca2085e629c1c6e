"""Loopback proxy that simulates network faults."""

from __future__ import annotations

import contextlib
import socket
import struct

import anyio
from anyio.abc import SocketAttribute, SocketStream
from attrs import define, field

__all__ = ["Proxy"]


@define
class Proxy:
    """Forward connections to a port and simulate network faults.

    :ivar mode: ``pass`` forwards data; ``drop_all`` drops data in both directions;
        ``drop_answers`` drops answers only; ``reset`` refuses and resets connections.
    """

    port: int
    mode: str = "pass"
    delay_s: float = 0.0
    _open: set[SocketStream] = field(factory=set)

    async def serve(self, client: SocketStream) -> None:
        """Forward one connection."""
        if self.mode == "reset":
            return _reset(client)
        try:
            upstream = await anyio.connect_tcp("127.0.0.1", self.port)
        except OSError:
            return _reset(client)
        self._open |= {client, upstream}
        try:
            async with client, upstream, anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._forward, client, upstream, False, tasks.cancel_scope
                )
                tasks.start_soon(
                    self._forward, upstream, client, True, tasks.cancel_scope
                )
        finally:
            self._open -= {client, upstream}

    def reset_all(self) -> None:
        """Reset every open connection."""
        for stream in list(self._open):
            _reset(stream)

    async def _forward(
        self,
        source: SocketStream,
        sink: SocketStream,
        answers: bool,
        scope: anyio.CancelScope,
    ) -> None:
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            while True:
                data = await source.receive()
                await anyio.sleep(self.delay_s)
                if self.mode == "drop_all" or (self.mode == "drop_answers" and answers):
                    continue
                await sink.send(data)
        scope.cancel()


def _reset(stream: SocketStream) -> None:
    raw = stream.extra(SocketAttribute.raw_socket)
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        raw.shutdown(socket.SHUT_RD)
