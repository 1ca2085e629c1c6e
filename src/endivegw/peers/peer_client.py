"""Common base of the clients for calls to sidecars and routers."""

from __future__ import annotations

from typing import Any, Callable

from grpclib.client import Channel

from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.peers.call import DEFAULT_CONNECT_TIMEOUT_S, call_unary
from endivegw.peers.heartbeat_stream import HeartbeatStream
from endivegw.peers.security import PeerSecurity, PlainPeers, open_channel

__all__ = ["PeerClient"]


class PeerClient:
    """Call one process over one connection, which is reopened after it breaks.

    Each call raises :exc:`NotDelivered` if the other process cannot have received it,
    and :exc:`OutcomeUnknown` if it may have.

    :param stub: returns the generated stub for a channel.
    :param security: how calls are authenticated.
    :param sender: the instance id of this process.
    :param connect_timeout_s: timeout for opening the connection.
    """

    def __init__(
        self,
        stub: Callable[[Channel], Any],
        host: str,
        port: int,
        security: PeerSecurity = PlainPeers(),
        *,
        sender: str = "",
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
    ) -> None:
        self._channel = open_channel(host, port, security, sender=sender)
        self._stub = stub(self._channel)
        self._connect_timeout_s = connect_timeout_s
        self._heartbeats = HeartbeatStream(self._stub.Heartbeat, connect_timeout_s)

    def close(self) -> None:
        """Close the connection; running calls raise :exc:`OutcomeUnknown`."""
        self._channel.close()

    async def heartbeat(self, request: pb.HeartbeatRequest, timeout_s: float) -> Any:
        """Return the :class:`pb.HeartbeatReply`."""
        return await self._heartbeats.exchange(request, timeout_s)

    async def configuration(self, request: pb.ConfigRequest, timeout_s: float) -> Any:
        """Return the :class:`pb.ConfigReply`."""
        return await self._call(self._stub.Configuration, request, timeout_s)

    async def _call(self, method: Any, request: Any, timeout_s: float) -> Any:
        return await call_unary(method, request, timeout_s, self._connect_timeout_s)
