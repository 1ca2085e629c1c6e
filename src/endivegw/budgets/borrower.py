"""Borrow tokens from peers if the table has none or does not answer."""

from __future__ import annotations

import random
from typing import Callable

import anyio

from endivegw.budgets.accounts import Account
from endivegw.budgets.transfer import (
    TokenTransferPort,
    TokenTransferRequest,
    TokenTransferResponse,
)
from endivegw.results import Done, Unknown
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import budgets as events
from endivegw.types import InstanceId, TransferId

__all__ = ["Borrower"]

#: Maximum number of peers asked for one shortage. For a busy budget every router holds
#: tokens and the first peer usually has some; for a rarely used one, further requests
#: cost more than they find.
_MAX_PEERS = 4

#: How often a request is sent with the same id if its answer is lost. After that, any
#: debited tokens stay with the donor's grant until it is recovered.
_MAX_REQUEST_ATTEMPTS = 3

#: Pause after peers had too few tokens. Without it, each request for an exhausted
#: budget would cause several requests to peers.
_RETRY_COOLDOWN_S = 1.0

#: Seconds of demand to borrow at once, so that a long outage does not cause one
#: transfer per request.
_BORROW_AHEAD_S = 10.0


class Borrower:
    """Request tokens from peers, one shortage per budget at a time."""

    def __init__(
        self,
        peers: TokenTransferPort,
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
        """Request tokens from several peers until no request waits."""
        if account.borrowing:
            return
        account.borrowing = True
        try:
            await self._request_from_peers(account)
        finally:
            account.borrowing = False
            if account.waiters:
                account.borrow_retry_at_s = self._clock() + _RETRY_COOLDOWN_S

    async def _request_from_peers(self, account: Account) -> None:
        names = list(self._peers.peers())
        self._rng.shuffle(names)
        for peer in names[:_MAX_PEERS]:
            wallet = account.wallet
            missing_tokens = wallet.wanted_tokens - wallet.free_tokens
            if not account.waiters or missing_tokens <= 0:
                return
            rate_tokens_per_s = wallet.demand.rate_tokens_per_s(self._clock())
            request = TokenTransferRequest(
                TransferId(f"{self._rng.getrandbits(96):024x}"),
                wallet.budget,
                missing_tokens + int(rate_tokens_per_s * _BORROW_AHEAD_S),
            )
            response = await self._request(peer, request)
            if response is not None and response.tokens > 0:
                self._credit(account, request, response)

    async def _request(
        self, peer: InstanceId, request: TokenTransferRequest
    ) -> TokenTransferResponse | None:
        for _ in range(_MAX_REQUEST_ATTEMPTS):
            result = await self._peers.transfer(
                peer, request, timeout_s=self._timeout_s
            )
            match result:
                case Done(response):
                    return response
                case Unknown():
                    # The donor repeats its response to a known id, so the tokens are
                    # debited and credited once.
                    await anyio.sleep(0)
                case _:
                    return None
        return None

    def _credit(
        self,
        account: Account,
        request: TokenTransferRequest,
        response: TokenTransferResponse,
    ) -> None:
        if response.transfer_id != request.transfer_id:
            return
        now_s = self._clock()
        account.wallet.borrow(response.grant_id, response.tokens, now_s)
        self._log.emit(
            events.TOKENS_BORROWED,
            budget=str(request.budget),
            transfer_id=response.transfer_id,
            grant_id=response.grant_id,
            tokens=response.tokens,
        )
        account.serve_waiters(now_s)
