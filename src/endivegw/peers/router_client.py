"""Calls from one process of the fleet to a router."""

from __future__ import annotations

from typing import Any

from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.peers._generated.endivegw_peers_grpc import RouterStub
from endivegw.peers.call import DEFAULT_CONNECT_TIMEOUT_S, call_once
from endivegw.peers.heartbeat_stream import HeartbeatStream
from endivegw.peers.security import PeerSecurity, PlainPeers, open_channel

__all__ = ["RouterClient"]


class RouterClient:
    """Call one router over one connection, which is made anew when it breaks.

    Each call raises :exc:`NotDelivered` where the router cannot have seen it,
    and :exc:`Broken` where it may have.
    """

    def __init__(
        self,
        host: str,
        port: int,
        security: PeerSecurity = PlainPeers(),
        *,
        sender: str = "",
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
    ) -> None:
        self._channel = open_channel(host, port, security, sender=sender)
        self._stub = RouterStub(self._channel)
        self._connect_timeout_s = connect_timeout_s
        self._heartbeats = HeartbeatStream(self._stub.Heartbeat, connect_timeout_s)

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    async def heartbeat(self, request: pb.HeartbeatRequest, timeout_s: float) -> Any:
        """Return the :class:`pb.HeartbeatReply`."""
        return await self._heartbeats.exchange(request, timeout_s)

    async def transfer(self, request: pb.TransferRequest, timeout_s: float) -> Any:
        """Return the :class:`pb.TransferReply`."""
        return await self._call(self._stub.Transfer, request, timeout_s)

    async def configuration(self, request: pb.ConfigRequest, timeout_s: float) -> Any:
        """Return the :class:`pb.ConfigReply`."""
        return await self._call(self._stub.Configuration, request, timeout_s)

    async def _call(self, method: Any, request: Any, timeout_s: float) -> Any:
        return await call_once(method, request, timeout_s, self._connect_timeout_s)
