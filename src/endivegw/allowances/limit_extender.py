"""Extend the limits in the row and at the witnesses before tokens are used."""

from __future__ import annotations

import contextlib
from typing import Callable, Iterator

import anyio

from endivegw.allowances.ledger import AllowanceLedger
from endivegw.allowances.lending import LendingPort
from endivegw.allowances.row_writer import RowWriter
from endivegw.allowances.store_clock import StoreClock
from endivegw.types import ClientAccountName

__all__ = ["LimitExtender"]

#: A store that has not answered for this long counts as unavailable; several writes
#: lack answers by then.
_UNAVAILABLE_AFTER_S = 0.5

#: Shortest wait for a write; the store takes longer for any answer.
_MIN_WAIT_S = 0.001

#: Pause between the writes of a request that waits longer than usual; the routers that
#: draw on a budget need as long for one write each.
_LONG_WAIT_PAUSE_S = 0.04


class LimitExtender:
    """Extend a router's limits before it uses or lends tokens."""

    def __init__(
        self,
        ledger: AllowanceLedger,
        writer: RowWriter,
        lending: LendingPort,
        store_clock: StoreClock,
        clock: Callable[[], float],
    ) -> None:
        self._ledger = ledger
        self._writer = writer
        self._lending = lending
        self._store_clock = store_clock
        self._clock = clock

    def is_store_unavailable(self) -> bool:
        """Return whether the store has stopped answering writes."""
        return self._writer.store_age_s(self._clock()) >= _UNAVAILABLE_AFTER_S

    def is_expired(self, account: ClientAccountName) -> bool:
        """Return whether another router may have taken over this router's row."""
        latest_ms = self._store_clock.latest_ms(self._clock())
        return self._ledger.is_expired(account, latest_ms)

    def available_tokens(self, account: ClientAccountName) -> int:
        """Return how many tokens of an account may be used now."""
        if self.is_expired(account):
            return 0
        return self._ledger.available_tokens(account, self._store_ms())

    def row_available_tokens(self, account: ClientAccountName) -> int:
        """Return how many tokens the row permits now, given acknowledged statements."""
        if self.is_expired(account):
            return 0
        return self._ledger.row_available_tokens(account, self._store_ms())

    async def send_statement(self, account: ClientAccountName, tokens: int) -> None:
        """Send the witnesses a limit that covers waiting requests or a loan."""
        with self.wanting(account, tokens):
            await self._lending.send_statement(
                lambda: self.available_tokens(account) >= tokens,
                timeout_s=self._ledger.options.statement_timeout_s,
            )

    def min_retry_s(self) -> float:
        """Return the shortest delay after which a refused caller should retry.

        A write may be in progress, and the next one covers the request.
        """
        return max(self._ledger.options.min_retry_s, 2.0 * self._writer.last_write_s)

    async def write(
        self, account: ClientAccountName, tokens: int, wait_s: float | None = None
    ) -> None:
        """Write until the row covers the tokens, while another write may help.

        Routers that draw on the same budget at once conflict, and a write that lost
        such a conflict does not return the tokens left in the budget.

        :param wait_s: how long to wait while the store answers; by default the time
            after which other sources are tried.
        """
        pause_s = 0.0 if wait_s is None else _LONG_WAIT_PAUSE_S
        if wait_s is None:
            wait_s = self._ledger.options.wait_s
        deadline_s = self._clock() + wait_s
        with self.wanting(account, tokens):
            while (left_s := self._wait_left_s(deadline_s)) > _MIN_WAIT_S:
                with anyio.move_on_after(left_s):
                    await self._writer.write_now()
                covered = self.row_available_tokens(account) >= tokens
                if covered or not self._may_succeed(account, tokens):
                    return
                await anyio.sleep(pause_s)

    def _wait_left_s(self, deadline_s: float) -> float:
        """Return how long to wait for a write that the store may still answer."""
        now_s = self._clock()
        answers_s = _UNAVAILABLE_AFTER_S - self._writer.store_age_s(now_s)
        return min(deadline_s - now_s, answers_s)

    @contextlib.contextmanager
    def wanting(self, account: ClientAccountName, tokens: int) -> Iterator[None]:
        """Include tokens in statements and writes while a request waits for them."""
        wanted = self._ledger.wanted_tokens
        wanted[account] = wanted.get(account, 0) + tokens
        try:
            yield
        finally:
            wanted[account] -= tokens

    def _may_succeed(self, account: ClientAccountName, tokens: int) -> bool:
        """Return whether a further write can provide the missing tokens."""
        left_tokens = max(0, self._ledger.left_tokens(account))
        return self._ledger.of(account).hand_tokens + left_tokens >= tokens

    def _store_ms(self) -> float:
        return self._store_clock.now_ms(self._clock())
