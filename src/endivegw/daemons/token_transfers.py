"""Request tokens from other routers, over the calls between processes."""

from __future__ import annotations

from typing import Callable

from endivegw.budgets import TokenTransferRequest, TokenTransferResponse
from endivegw.daemons.peer_directory import PeerDirectory
from endivegw.exceptions import PeerError
from endivegw.peers import NotDelivered
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.types import GrantId, InstanceId, TransferId

__all__ = ["TokenTransfers"]

#: Routers exchange heartbeats every few seconds. A request that lacks tokens does not
#: wait for a router that missed three.
_RESPONSIVE_WITHIN_S = 16.0


class TokenTransfers:
    """Implement the port through which the budget manager borrows tokens."""

    def __init__(
        self, peer_directory: PeerDirectory, header: Callable[[], pb.Header]
    ) -> None:
        self._peer_directory = peer_directory
        self._header = header

    def peers(self) -> tuple[InstanceId, ...]:
        """Return the routers that sent a message recently."""
        return self._peer_directory.routers(_RESPONSIVE_WITHIN_S)

    async def transfer(
        self, peer: InstanceId, transfer: TokenTransferRequest, *, timeout_s: float
    ) -> Result[TokenTransferResponse]:
        """Request a transfer.

        The result is unknown if no reply was received; the same request must then be
        repeated unchanged.
        """
        client = self._peer_directory.router(peer)
        if client is None:
            return Refused(Reason.UNREACHABLE, f"no connection to router {peer}")
        request = pb.TransferRequest(
            header=self._header(),
            transfer_id=transfer.transfer_id,
            client_account=transfer.budget.client_account,
            budget=transfer.budget.budget,
            wanted_tokens=transfer.wanted_tokens,
        )
        try:
            reply = await client.transfer(request, timeout_s)
        except NotDelivered as error:
            return Refused(Reason.UNREACHABLE, error.message)
        except PeerError as error:
            return Unknown(Reason.ANSWER_LOST, error.message)
        return Done(
            TokenTransferResponse(
                TransferId(reply.transfer_id), GrantId(reply.grant_id), reply.tokens
            )
        )
