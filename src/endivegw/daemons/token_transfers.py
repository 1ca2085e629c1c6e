"""Ask other routers for tokens, over the calls between processes."""

from __future__ import annotations

from typing import Callable

from endivegw.budgets import TokenTransferRequest, TokenTransferResponse
from endivegw.daemons.peer_book import PeerBook
from endivegw.exceptions import PeerError
from endivegw.peers import NotDelivered
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.types import GrantId, InstanceId, TransferId

__all__ = ["TokenTransfers"]

#: Routers exchange heartbeats every few seconds; one that missed three is not
#: worth the wait of a request that is short of tokens.
_HEARD_WITHIN_S = 16.0


class TokenTransfers:
    """Implement the port through which the keeper borrows."""

    def __init__(self, book: PeerBook, header: Callable[[], pb.Header]) -> None:
        self._book = book
        self._header = header

    def peers(self) -> tuple[InstanceId, ...]:
        """Return the routers that were heard lately."""
        return self._book.routers(_HEARD_WITHIN_S)

    async def transfer(
        self, peer: InstanceId, transfer: TokenTransferRequest, *, timeout_s: float
    ) -> Result[TokenTransferResponse]:
        """Send an ask; unknown where no answer came, to be repeated as it is."""
        client = self._book.router(peer)
        if client is None:
            return Refused(Reason.UNREACHABLE, f"router {peer} is not known")
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
