"""Server for calls between the fleet's processes."""

from __future__ import annotations

import asyncio
import resource
import weakref
from typing import Any, Collection

import anyio
from anyio.abc import TaskStatus
from grpclib.events import RecvRequest, listen
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from endivegw.capacity import ConnectionLimit, ConnectionState
from endivegw.peers.limits import peer_configuration
from endivegw.peers.security import (
    PeerSecurity,
    PlainPeers,
    install_authentication,
    server_codec,
    server_tls,
)

__all__ = ["serve_peers"]

#: Most connections that have not brought an authenticated call, as a number and as a
#: share of the process's descriptors. Each may hold a fifth of a megabyte.
_MAX_UNPROVEN_CONNECTIONS = 256
_UNPROVEN_DESCRIPTORS_SHARE = 0.125


class _UnprovenConnections:
    """Bound the connections that have not brought an authenticated call.

    Anybody may open one. The oldest is closed for a new one: a peer sends its first
    call at once.
    """

    def __init__(self, max_connections: float) -> None:
        self._limit = ConnectionLimit[H2Protocol](max_connections)
        self._by_address: dict[Any, H2Protocol] = {}

    def add(self, protocol: H2Protocol, address: Any) -> None:
        """Add a new connection, and close another one for it if there are too many."""
        if self._limit.is_full:
            oldest = self._limit.pop_waiting()
            assert oldest is not None
            oldest.connection.close()
        self._limit.set_state(protocol, ConnectionState.UNUSED)
        self._by_address[address] = protocol

    def remove(self, protocol: H2Protocol, address: Any) -> None:
        """Forget a connection that has ended."""
        self._limit.remove(protocol)
        if self._by_address.get(address) is protocol:
            del self._by_address[address]

    async def record_call(self, event: RecvRequest) -> None:
        """Count the connection of an authenticated call no more."""
        protocol = self._by_address.get(event.peer.addr())
        if protocol is not None:
            self._limit.remove(protocol)


class _CountedProtocol(H2Protocol):
    """Report when the connection opens and ends."""

    unproven: _UnprovenConnections
    address: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self.address = transport.get_extra_info("peername")
        self.unproven.add(self, self.address)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Count the connection no more."""
        self.unproven.remove(self, self.address)
        super().connection_lost(exc)


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
        # Listeners are called in this order, and those that follow a refusal are not.
        self._unproven = _UnprovenConnections(_max_unproven_connections())
        listen(self, RecvRequest, self._unproven.record_call)
        self._protocols: weakref.WeakSet[H2Protocol] = weakref.WeakSet()

    def _protocol_factory(self) -> H2Protocol:
        made = super()._protocol_factory()
        protocol = _CountedProtocol(made.handler, made.config, made.h2_config)
        protocol.unproven = self._unproven
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


def _max_unproven_connections() -> float:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return _MAX_UNPROVEN_CONNECTIONS
    return min(_MAX_UNPROVEN_CONNECTIONS, soft_limit * _UNPROVEN_DESCRIPTORS_SHARE)


def _bound_port(server: Server) -> int:
    # grpclib has no public API that returns the port that the system chose.
    listener: Any = server._server
    port: int = listener.sockets[0].getsockname()[1]
    return port
