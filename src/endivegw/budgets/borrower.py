"""Borrow tokens from peers where the table has none or does not answer."""

from __future__ import annotations

import random
from typing import Callable

import anyio

from endivegw.budgets.accounts import Account
from endivegw.budgets.transfer import TransferAsk, TransferOffer, TransferPort
from endivegw.results import Done, Unknown
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import budgets as events
from endivegw.types import InstanceId, TransferId

__all__ = ["Borrower"]

#: Peers asked for one shortage. With a hot budget each router has tokens and
#: the first answers; with a cold one more asking costs more than it finds.
_PEERS_ASKED = 4

#: How often an ask whose answer was lost is repeated with the same id. After
#: that the tokens, if there were any, lie with the donor's grant until recovery.
_ASK_TRIES = 3

#: Pause after peers had too little. A budget that is used up by all would cost
#: each of its requests some asks else.
_FRUITLESS_WAIT_S = 1.0

#: Borrow for this many seconds of demand at once, so that a long outage does
#: not turn each request into an ask.
_BORROW_AHEAD_S = 10.0


class Borrower:
    """Ask peers, one shortage of one budget at a time."""

    def __init__(
        self,
        peers: TransferPort,
        clock: Callable[[], float],
        rng: random.Random,
        log: EventLog,
        timeout_s: float,
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._log = log
        self._timeout_s = timeout_s

    async def borrow(self, account: Account) -> None:
        """Ask some peers until who waits is served; nothing where nobody does."""
        if account.borrowing:
            return
        account.borrowing = True
        try:
            await self._ask_in_turn(account)
        finally:
            account.borrowing = False
            if account.waiters:
                account.borrow_after_s = self._clock() + _FRUITLESS_WAIT_S

    async def _ask_in_turn(self, account: Account) -> None:
        names = list(self._peers.peers())
        self._rng.shuffle(names)
        for peer in names[:_PEERS_ASKED]:
            wallet = account.wallet
            short_tokens = wallet.wanted_tokens - wallet.free_tokens
            if not account.waiters or short_tokens <= 0:
                return
            rate = wallet.demand.rate_tokens_per_s(self._clock())
            wish = TransferAsk(
                TransferId(f"{self._rng.getrandbits(96):024x}"),
                wallet.budget,
                short_tokens + int(rate * _BORROW_AHEAD_S),
            )
            offer = await self._ask(peer, wish)
            if offer is not None and offer.tokens > 0:
                self._credit(account, wish, offer)

    async def _ask(self, peer: InstanceId, wish: TransferAsk) -> TransferOffer | None:
        for _ in range(_ASK_TRIES):
            result = await self._peers.ask(peer, wish, timeout_s=self._timeout_s)
            match result:
                case Done(offer):
                    return offer
                case Unknown():
                    # The donor answers a repeated id as before, so the tokens
                    # are debited and credited once.
                    await anyio.sleep(0)
                case _:
                    return None
        return None

    def _credit(
        self, account: Account, wish: TransferAsk, offer: TransferOffer
    ) -> None:
        if offer.transfer_id != wish.transfer_id:
            return
        now_s = self._clock()
        account.wallet.borrow(offer.grant_id, offer.tokens, now_s)
        self._log.emit(
            events.TOKENS_BORROWED,
            budget=str(wish.budget),
            transfer_id=offer.transfer_id,
            grant_id=offer.grant_id,
            tokens=offer.tokens,
        )
        account.serve(now_s)
