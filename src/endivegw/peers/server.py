"""The listening side of the calls between the fleet's processes."""

from __future__ import annotations

import ssl
from typing import Any, Collection

import anyio
from anyio.abc import TaskStatus
from grpclib.server import Server

from endivegw.peers.limits import BoundedCodec, peer_configuration

__all__ = ["serve_peers"]


async def serve_peers(
    handlers: Collection[Any],
    host: str,
    port: int,
    tls: ssl.SSLContext | None = None,
    *,
    task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; report the bound port when it listens.

    :param port: 0 for any free one.
    :param tls: None for plain TCP.
    """
    server = Server(handlers, codec=BoundedCodec(), config=peer_configuration())
    await server.start(host, port, ssl=tls)
    try:
        task_status.started(_bound_port(server))
        await anyio.sleep_forever()
    finally:
        server.close()
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            await server.wait_closed()


def _bound_port(server: Server) -> int:
    # grpclib has no public way to ask for the port that was chosen.
    listener: Any = server._server
    port: int = listener.sockets[0].getsockname()[1]
    return port
