"""Client for the calls to a router."""

from __future__ import annotations

from typing import Any

from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.peers._generated.endivegw_peers_grpc import RouterStub
from endivegw.peers.peer_client import PeerClient

__all__ = ["RouterClient"]


class RouterClient(PeerClient):
    """Call one router; takes the parameters of :class:`PeerClient` except the stub."""

    def __init__(self, *address: Any, **options: Any) -> None:
        super().__init__(RouterStub, *address, **options)

    async def transfer(self, request: pb.TransferRequest, timeout_s: float) -> Any:
        """Return the :class:`pb.TransferReply`."""
        return await self._call(self._stub.Transfer, request, timeout_s)

    async def news(self, request: pb.NewsRequest, timeout_s: float) -> Any:
        """Return the :class:`pb.NewsReply`."""
        return await self._call(self._stub.News, request, timeout_s)
