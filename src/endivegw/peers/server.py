"""Server for calls between the fleet's processes."""

from __future__ import annotations

import weakref
from typing import Any, Collection

import anyio
from anyio.abc import TaskStatus
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from endivegw.peers.limits import peer_configuration
from endivegw.peers.security import (
    PeerSecurity,
    PlainPeers,
    install_authentication,
    server_codec,
    server_tls,
)

__all__ = ["serve_peers"]


class _ClosingServer(Server):
    """Server that can close its open connections.

    grpclib cancels running calls on close but leaves their connections open. If a
    daemon stops inside a process that continues to run, its clients would wait for
    replies that never arrive.
    """

    def __init__(self, handlers: Collection[Any], security: PeerSecurity) -> None:
        codec = server_codec(security)
        super().__init__(handlers, codec=codec, config=peer_configuration())
        install_authentication(self, security)
        self._protocols: weakref.WeakSet[H2Protocol] = weakref.WeakSet()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        return protocol

    def close_connections(self) -> None:
        """Close all open connections."""
        for protocol in tuple(self._protocols):
            # The attribute exists only after the connection was established.
            connection = getattr(protocol, "connection", None)
            if connection is not None:
                connection.close()


async def serve_peers(
    handlers: Collection[Any],
    host: str,
    port: int,
    security: PeerSecurity = PlainPeers(),
    *,
    task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; report the bound port once the server listens.

    :param handlers: the service implementations.
    :param port: port to listen on, 0 for any free port.
    :param security: how calls are authenticated.
    """
    server = _ClosingServer(handlers, security)
    await server.start(host, port, ssl=server_tls(security))
    try:
        task_status.started(_bound_port(server))
        await anyio.sleep_forever()
    finally:
        server.close()
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            await server.wait_closed()
        server.close_connections()


def _bound_port(server: Server) -> int:
    # grpclib has no public API that returns the port that the system chose.
    listener: Any = server._server
    port: int = listener.sockets[0].getsockname()[1]
    return port
