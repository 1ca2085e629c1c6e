"""The gRPC service that a router provides to the fleet's other processes."""

from __future__ import annotations

from typing import Any, Callable, Protocol

from endivegw.budgets import BudgetManager, TokenTransferRequest
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.peers._generated.endivegw_peers_grpc import RouterBase
from endivegw.types import BudgetKey, ClientAccountName, ConfigRevision, TransferId

__all__ = ["RouterService"]


class _ConfigurationSource(Protocol):
    def newer_than(self, revision: ConfigRevision) -> bytes:
        """Return the changes that a peer at a revision lacks; empty if none."""


class RouterService(RouterBase):  # type: ignore[misc]
    """Serve heartbeats, token transfers, broadcast messages and the configuration.

    :param header: returns the header of this process for each message.
    :param on_header: called with the header of each request.
    :param leaving: returns whether this router refuses new requests.
    :param on_broadcast: called with each broadcast message from another router.
    """

    def __init__(
        self,
        budget_manager: BudgetManager,
        configuration: _ConfigurationSource,
        header: Callable[[], pb.Header],
        on_header: Callable[[pb.Header], None],
        leaving: Callable[[], bool],
        on_broadcast: Callable[[bytes], None],
        clock: Callable[[], float],
    ) -> None:
        self._budget_manager = budget_manager
        self._configuration = configuration
        self._header = header
        self._on_header = on_header
        self._leaving = leaving
        self._on_broadcast = on_broadcast
        self._clock = clock

    async def Heartbeat(self, stream: Any) -> None:
        """Reply with this router's state and configuration revision."""
        async for request in stream:
            self._on_header(request.header)
            reply = pb.HeartbeatReply(header=self._header(), leaving=self._leaving())
            await stream.send_message(reply)

    async def Transfer(self, stream: Any) -> None:
        """Lend tokens; they are debited here before the reply is sent."""
        request = await stream.recv_message()
        self._on_header(request.header)
        transfer = TokenTransferRequest(
            TransferId(request.transfer_id),
            BudgetKey(ClientAccountName(request.client_account), request.budget),
            request.wanted_tokens,
        )
        response = self._budget_manager.lend(transfer, self._clock())
        reply = pb.TransferReply(
            header=self._header(),
            transfer_id=response.transfer_id,
            grant_id=response.grant_id,
            tokens=response.tokens,
        )
        await stream.send_message(reply)

    async def News(self, stream: Any) -> None:
        """Process a broadcast message from another router."""
        request = await stream.recv_message()
        self._on_header(request.header)
        self._on_broadcast(request.news)
        await stream.send_message(pb.NewsReply(header=self._header()))

    async def Configuration(self, stream: Any) -> None:
        """Send the configuration to a process that has an older revision."""
        request = await stream.recv_message()
        self._on_header(request.header)
        revision = ConfigRevision(request.header.config_revision)
        snapshot = self._configuration.newer_than(revision)
        await stream.send_message(
            pb.ConfigReply(header=self._header(), snapshot=snapshot)
        )
