"""What a router answers to the fleet's other processes."""

from __future__ import annotations

from typing import Any, Callable, Protocol

from endivegw.budgets import BudgetManager, TokenTransferRequest
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.peers._generated.endivegw_peers_grpc import RouterBase
from endivegw.types import BudgetKey, ClientAccountName, ConfigRevision, TransferId

__all__ = ["RouterService"]


class _HandsOutConfiguration(Protocol):
    def newer_than(self, revision: ConfigRevision) -> bytes:
        """Return what a peer at a revision lacks; empty where it lacks nothing."""


class RouterService(RouterBase):  # type: ignore[misc]
    """Serve heartbeats, moves of tokens and the configuration.

    :param leaving: returns whether this router takes no new work.
    :param on_news: takes what another router passes on.
    """

    def __init__(
        self,
        budget_manager: BudgetManager,
        configuration: _HandsOutConfiguration,
        header: Callable[[], pb.Header],
        on_header: Callable[[pb.Header], None],
        leaving: Callable[[], bool],
        on_news: Callable[[bytes], None],
        clock: Callable[[], float],
    ) -> None:
        self._budget_manager = budget_manager
        self._configuration = configuration
        self._header = header
        self._on_header = on_header
        self._leaving = leaving
        self._on_news = on_news
        self._clock = clock

    async def Heartbeat(self, stream: Any) -> None:
        """Tell that this router lives, and which configuration it has."""
        async for request in stream:
            self._on_header(request.header)
            reply = pb.HeartbeatReply(header=self._header(), leaving=self._leaving())
            await stream.send_message(reply)

    async def Transfer(self, stream: Any) -> None:
        """Lend tokens; they are debited here before the answer leaves."""
        request = await stream.recv_message()
        self._on_header(request.header)
        ask = TokenTransferRequest(
            TransferId(request.transfer_id),
            BudgetKey(ClientAccountName(request.client_account), request.budget),
            request.wanted_tokens,
        )
        offer = self._budget_manager.lend(ask, self._clock())
        reply = pb.TransferReply(
            header=self._header(),
            transfer_id=offer.transfer_id,
            grant_id=offer.grant_id,
            tokens=offer.tokens,
        )
        await stream.send_message(reply)

    async def News(self, stream: Any) -> None:
        """Take in what another router passes on."""
        request = await stream.recv_message()
        self._on_header(request.header)
        self._on_news(request.news)
        await stream.send_message(pb.NewsReply(header=self._header()))

    async def Configuration(self, stream: Any) -> None:
        """Hand out the configuration to a process that has an older one."""
        request = await stream.recv_message()
        self._on_header(request.header)
        revision = ConfigRevision(request.header.config_revision)
        snapshot = self._configuration.newer_than(revision)
        await stream.send_message(
            pb.ConfigReply(header=self._header(), snapshot=snapshot)
        )
