"""Transfer tokens between routers without the table.

While the table is unavailable, or unreachable for some routers because of a network
partition, one router may hold unused tokens that another one lacks. The donor debits
the tokens before it answers and caches its response; the receiver credits them once per
id. A lost message strands tokens until the grant is recovered, but never creates any.
"""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from endivegw.results import Result
from endivegw.types import BudgetKey, GrantId, InstanceId, TransferId

__all__ = [
    "ResponseCache",
    "TokenTransferRequest",
    "TokenTransferResponse",
    "TokenTransferPort",
]

#: Seconds for which a donor caches its response. A receiver abandons an id long before,
#: so an id is never debited twice.
RESPONSE_RETENTION_S = 600.0

#: Maximum number of cached responses. At 64 bytes each and a few per second, the cache
#: stays far below this limit.
_MAX_RESPONSES = 20_000


@frozen
class TokenTransferRequest:
    """Request tokens from a peer.

    :param transfer_id: chosen by the requester; the same in each retry.
    """

    transfer_id: TransferId
    budget: BudgetKey
    wanted_tokens: int


@frozen
class TokenTransferResponse:
    """Answer a transfer request; the donor has already debited the tokens.

    :param tokens: 0 if the donor has no surplus.
    """

    transfer_id: TransferId
    grant_id: GrantId
    tokens: int


class TokenTransferPort(Protocol):
    """Access the other routers on this side of a network partition."""

    def peers(self) -> tuple[InstanceId, ...]:
        """Return the routers that responded recently."""

    async def transfer(
        self, peer: InstanceId, transfer: TokenTransferRequest, *, timeout_s: float
    ) -> Result[TokenTransferResponse]:
        """Send a request; if the result is unknown, it may be retried unchanged."""


class ResponseCache:
    """Cache responses by transfer id, so that a retry is not debited again."""

    def __init__(self) -> None:
        self._responses: dict[TransferId, tuple[float, TokenTransferResponse]] = {}

    def find(self, transfer_id: TransferId) -> TokenTransferResponse | None:
        """Return the earlier response to a transfer id, or None."""
        entry = self._responses.get(transfer_id)
        return entry[1] if entry else None

    def add(self, response: TokenTransferResponse, now_s: float) -> None:
        """Store a response and evict expired ones."""
        self._responses[response.transfer_id] = (now_s, response)
        while self._responses:
            oldest = next(iter(self._responses))
            is_expired = now_s - self._responses[oldest][0] > RESPONSE_RETENTION_S
            if not is_expired and len(self._responses) <= _MAX_RESPONSES:
                return
            del self._responses[oldest]
