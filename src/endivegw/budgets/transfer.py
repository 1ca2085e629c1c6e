"""Move tokens between routers without the table.

While the table is away, or a partition cuts routers off from it, tokens lie
unused with one router and are missing at another. The donor debits before it
answers and remembers its answer; the receiver credits once for an id. A message
that is lost strands tokens until the grant is recovered; none creates any.
"""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from endivegw.results import Result
from endivegw.types import BudgetKey, GrantId, InstanceId, TransferId

__all__ = ["OfferMemory", "TransferAsk", "TransferOffer", "TransferPort"]

#: How long a donor remembers its answer. A receiver gives an id up long before,
#: so that an id is never answered twice from two debits.
OFFER_MEMORY_S = 600.0

#: The most remembered answers; at 64 bytes and a few per second far from a limit.
_MAX_OFFERS = 20_000


@frozen
class TransferAsk:
    """Ask a peer for tokens.

    :param transfer_id: chosen by the asker; the same in each repetition.
    """

    transfer_id: TransferId
    budget: BudgetKey
    wanted_tokens: int


@frozen
class TransferOffer:
    """Answer an ask: the tokens are debited at the donor already.

    :param tokens: 0 where the donor has none to spare.
    """

    transfer_id: TransferId
    grant_id: GrantId
    tokens: int


class TransferPort(Protocol):
    """The other routers on this side of a partition."""

    def peers(self) -> tuple[InstanceId, ...]:
        """Return the routers that answered lately."""

    async def ask(
        self, peer: InstanceId, ask: TransferAsk, *, timeout_s: float
    ) -> Result[TransferOffer]:
        """Send an ask; unknown where no answer came, to be repeated as it is."""


class OfferMemory:
    """Remember what was offered under which id, so that a double debits once."""

    def __init__(self) -> None:
        self._offers: dict[TransferId, tuple[float, TransferOffer]] = {}

    def find(self, transfer_id: TransferId) -> TransferOffer | None:
        """Return the earlier answer to the same ask."""
        entry = self._offers.get(transfer_id)
        return entry[1] if entry else None

    def keep(self, offer: TransferOffer, now_s: float) -> None:
        """Remember an answer and drop old ones."""
        self._offers[offer.transfer_id] = (now_s, offer)
        while self._offers:
            oldest = next(iter(self._offers))
            is_old = now_s - self._offers[oldest][0] > OFFER_MEMORY_S
            if not is_old and len(self._offers) <= _MAX_OFFERS:
                return
            del self._offers[oldest]
