"""Manage one router's tokens: reserve for requests, write the row, request loans."""

from __future__ import annotations

import random
from typing import Awaitable, Callable

import anyio

from endivegw.allowances.fetching import TokenFetcher
from endivegw.allowances.ledger import AllowanceLedger, Shortage
from endivegw.allowances.lending import LendingPort
from endivegw.allowances.limit_extender import LimitExtender
from endivegw.allowances.options import AllowanceOptions
from endivegw.allowances.reservation import Reservation
from endivegw.allowances.row_writer import RowWriter
from endivegw.allowances.store_clock import StoreClock
from endivegw.allowances.takeover import RowTakeover
from endivegw.allowances.witnesses import Statement
from endivegw.results import Reason, Refused
from endivegw.services.row_store import RowsPort
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import allowances as events
from endivegw.types import ClientAccountName, InstanceId

__all__ = ["AllowanceManager"]

#: Longest retry delay sent to a caller. Few callers wait longer, and the store may
#: respond before then. The spread is added to it.
_MAX_RETRY_S = 3.0

#: Spread of the retries of callers refused together, as a share of the delay. If all
#: retried at once, the limit would again be too small for them.
_RETRY_SPREAD = 0.3


async def _ignore_removal(vm: str) -> None:
    return


class AllowanceManager:
    """Manage the budgets of one router and its row in the store.

    :param vm: names the row, so that the next process on the machine finds it.
    :param clock: monotonic, and running while the machine is suspended.
    :param started_s: when this process started, on that clock.
    :param on_removed: called with a vm that left no tokens behind.
    """

    def __init__(
        self,
        store: RowsPort,
        vm: str,
        instance_id: InstanceId,
        lending: LendingPort,
        clock: Callable[[], float],
        log: EventLog,
        options: AllowanceOptions = AllowanceOptions(),
        started_s: float | None = None,
        on_removed: Callable[[str], Awaitable[None]] = _ignore_removal,
    ) -> None:
        self.options = options
        self.ledger = AllowanceLedger(instance_id, options, is_holder=lending.is_holder)
        self._lending = lending
        self._clock = clock
        self._log = log
        self._rng = random.Random(instance_id)
        self.store_clock = StoreClock(options.clock_margin)
        self._writer = RowWriter(
            store, vm, self.ledger, self.store_clock, lending, clock, log, started_s
        )
        self._takeover = RowTakeover(store, options, lending, clock, log, on_removed)
        self._extender = LimitExtender(
            self.ledger, self._writer, lending, self.store_clock, clock
        )
        self._fetcher = TokenFetcher(
            self.ledger, self._extender, lending, self._try_reserve, clock
        )

    @property
    def ready(self) -> bool:
        """Return whether the router has its row and may reserve."""
        return self._writer.registered

    async def run(self) -> None:
        """Maintain the row until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._borrow_ahead)
            tasks.start_soon(self._takeover.run)
            await self._writer.run()
            tasks.cancel_scope.cancel()

    def set_prepaid(self, prepaid: dict[ClientAccountName, int]) -> None:
        """Apply the budgets of a configuration, drawing at once on a top-up."""
        self.ledger.set_prepaid(prepaid)
        self._writer.read_budgets_soon()

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Close a reservation with the tokens consumed."""
        if reservation.open and reservation.counted_s is not None:
            unused_tokens = max(0, reservation.tokens - used_tokens)
            reservation.funds.record_unused(
                unused_tokens,
                reservation.counted_s,
                self._clock(),
                self.options.demand_s,
            )
        self.ledger.settle(reservation, used_tokens)

    async def lend(
        self, account: ClientAccountName, min_tokens: int, wanted_tokens: int
    ) -> int:
        """Debit tokens for a peer that requests a loan; return how many.

        Lent tokens count as used, so the limits must cover them. If they do not, the
        limits are first extended by the loan and no more: any lead of the limits over
        the use is lost if all routers are killed at that time.
        """
        if self.ledger.ended:
            return 0
        loan_tokens = self.ledger.loan_tokens(account, min_tokens, wanted_tokens)
        if loan_tokens <= 0:
            return 0
        extender = self._extender
        if (
            extender.row_available_tokens(account) < loan_tokens
            and not extender.is_store_unavailable()
        ):
            await extender.write(account, loan_tokens)
        covered_tokens = min(loan_tokens, extender.row_available_tokens(account))
        if covered_tokens > 0 and extender.available_tokens(account) < covered_tokens:
            await extender.send_statement(account, covered_tokens)
            is_short = extender.available_tokens(account) < covered_tokens
            if is_short and not extender.is_store_unavailable():
                # A witness may have died; a row that holds outright covers the loan.
                await extender.write(account, covered_tokens)
        if extender.is_expired(account):
            return 0
        store_ms = self.store_clock.now_ms(self._clock())
        return self.ledger.lend(account, min_tokens, loan_tokens, store_ms)

    def record_lent(self, account: ClientAccountName, tokens: int) -> None:
        """Count tokens borrowed by a router that does not hold the account's budget.

        Such a router's limits do not run ahead of its use. Its callers' demand is met
        from this router's tokens, so this router's limits must lead by that demand.
        """
        funds = self.ledger.of(account)
        funds.record_demand(tokens, self._clock(), self.options.demand_s)

    def surplus_tokens(self) -> dict[ClientAccountName, int]:
        """Return the unused tokens of each account, to be reported to peers."""
        return {
            account: funds.hand_tokens
            for account, funds in self.ledger.funds.items()
            if funds.hand_tokens > 0
        }

    async def reserve(
        self, account: ClientAccountName, tokens: int, request_id: str = ""
    ) -> Reservation | Refused:
        """Reserve tokens for a request.

        :param request_id: for the log line of a refusal.
        :returns: a refusal with ``BUDGET_EXHAUSTED`` if the budget is known to lack the
            tokens, or with ``BUDGET_UNAVAILABLE`` if it may have them but they cannot
            be obtained now.
        """
        if not self.ready:
            return Refused(Reason.BUDGET_UNAVAILABLE, "no row in the store yet", 1.0)
        started_s = self._clock()
        reservation = self._try_reserve(account, tokens)
        if not isinstance(reservation, Reservation):
            reservation = await self._fetcher.fetch(account, tokens)
        if not isinstance(reservation, Reservation):
            return self._refuse(account, tokens, request_id, reservation, started_s)
        # Refused callers retry repeatedly. Counted as demand, they would raise the
        # limits just when a budget is nearly spent.
        reservation.counted_s = self._clock()
        reservation.funds.record_demand(
            tokens, reservation.counted_s, self.options.demand_s
        )
        return reservation

    async def stop(self) -> None:
        """Stop using tokens, notify the witnesses, and return the unused tokens.

        The store may be unreachable. The final statement at the witnesses then keeps a
        successor from counting the growth of the limits since the last write as used.
        """
        await self.send_final_statement()
        await self._writer.stop()

    def waives(self) -> bool:
        """Return whether routers need not wait for this one as their witness.

        While the store does not answer this router, it may not answer them either, and
        no row can leave this router out if it is lost.
        """
        return self._extender.is_store_unavailable()

    async def send_final_statement(self) -> None:
        """Stop using tokens and send the witnesses a final statement."""
        self.ledger.ended = True
        await self._lending.send_statement(
            lambda: False, timeout_s=self.options.statement_timeout_s
        )

    def next_statement(self, sequence: int) -> Statement:
        """Return the statement to send to the witnesses now."""
        now_s = self._clock()
        return self.ledger.next_statement(
            sequence, self.store_clock.now_ms(now_s), now_s
        )

    def _try_reserve(
        self, account: ClientAccountName, tokens: int
    ) -> Reservation | Shortage:
        if self._extender.is_expired(account):
            return Shortage.LIMIT
        now_s = self._clock()
        return self.ledger.reserve(account, tokens, self.store_clock.now_ms(now_s))

    async def _borrow_ahead(self) -> None:
        """Borrow ahead while the store answers, to have enough during an outage."""
        while True:
            await anyio.sleep(self.options.balance_every_s)
            now_s = self._clock()
            if not self.ready or self._extender.is_store_unavailable():
                continue
            for account, tokens in self.ledger.low_accounts(now_s):
                surplus = self._lending.surplus(account, now_s).surplus_tokens
                # At most half: the peers' own callers need the rest, and near the end
                # of a budget the same tokens would only circulate.
                await self._borrow(account, min(tokens, surplus // 2))
            for account in list(self.ledger.funds):
                if self._lending.is_holder(account):
                    await self._lending.collect(
                        account, timeout_s=self.options.borrow_timeout_s
                    )

    async def _borrow(self, account: ClientAccountName, tokens: int) -> None:
        """Borrow tokens in portions; the row records each before the next one."""
        options = self.options
        while tokens >= options.min_balance_tokens:
            portion = min(tokens, self.ledger.max_loan_ahead_tokens(account))
            received_tokens = await self._lending.request_loan(
                account, 0, portion, timeout_s=options.borrow_timeout_s
            )
            if received_tokens <= 0:
                return
            tokens -= received_tokens
            with anyio.move_on_after(options.wait_s):
                await self._writer.write_now()

    def credit(self, account: ClientAccountName, tokens: int) -> None:
        """Credit tokens that a peer debited for this router."""
        self.ledger.borrow(account, tokens)
        # Until the witnesses and the row record the loan, a successor counts the
        # tokens as used.
        self._lending.send_statement_soon()
        self._writer.wake()
        self._log.emit(
            events.TOKENS_BORROWED,
            client_account=account,
            tokens=tokens,
            hand_tokens=self.ledger.of(account).hand_tokens,
        )

    def _refuse(
        self,
        account: ClientAccountName,
        tokens: int,
        request_id: str,
        shortage: Shortage,
        started_s: float,
    ) -> Refused:
        """Return the refusal: budget exhausted, or not available now."""
        now_s = self._clock()
        funds = self.ledger.of(account)
        surplus = self._lending.surplus(account, now_s)
        left_tokens = self.ledger.left_tokens(account)
        is_current = surplus.all_responsive and self._writer.budgets_age_s(now_s) < 2.0
        is_short = (
            funds.hand_tokens + surplus.surplus_tokens + max(0, left_tokens) < tokens
        )
        exhausted = is_current and is_short
        self._log.emit(
            events.TOKENS_REFUSED,
            request_id=request_id,
            client_account=account,
            tokens=tokens,
            shortage=shortage.value,
            hand_tokens=funds.hand_tokens,
            reserved_tokens=funds.reserved_tokens,
            spare_tokens=surplus.surplus_tokens,
            left_tokens=left_tokens,
            exhausted=exhausted,
            store_age_s=round(self._writer.store_age_s(now_s), 3),
            waited_s=round(now_s - started_s, 4),
        )
        if exhausted:
            detail = "the prepaid budget does not cover the request"
            return Refused(Reason.BUDGET_EXHAUSTED, detail)
        if shortage is Shortage.LIMIT:
            until_s = now_s + self.options.expected_retry_s
            self.ledger.expected.add(account, tokens, until_s)
            self._writer.wake()
        detail = "the prepaid budget cannot be reached now"
        retry_s = self._retry_s(
            account, tokens, now_s, surplus.unresponsive_s if is_short else 0.0
        )
        return Refused(Reason.BUDGET_UNAVAILABLE, detail, retry_s)

    def _retry_s(
        self,
        account: ClientAccountName,
        tokens: int,
        now_s: float,
        unresponsive_s: float,
    ) -> float:
        """Return the delay after which a refused caller should retry.

        While the store is unavailable, the limit covers the request only once it has
        grown, and nobody can draw what is not held. A caller that retries earlier is
        refused again, and many retry only once. A store or a router that has not
        responded for a while is assumed to need as long again.

        :param unresponsive_s: for how long a router that may hold the missing tokens
            has been unresponsive.
        """
        wait_s = min(max(self._extender.min_retry_s(), unresponsive_s), _MAX_RETRY_S)
        if self._extender.is_store_unavailable():
            store_ms = self.store_clock.now_ms(now_s)
            covered_s = self.ledger.covered_in_s(account, tokens, store_ms)
            if covered_s is None:
                wait_s = max(wait_s, self._writer.store_age_s(now_s))
            else:
                wait_s = max(self.options.min_retry_s, covered_s)
            wait_s = min(wait_s, _MAX_RETRY_S)
        return wait_s * (1.0 + _RETRY_SPREAD * self._rng.random())
