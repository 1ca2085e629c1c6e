"""Reserve tokens of budgets for requests of a router, and refill its grants.

Requests should not wait for the table, so a reservation is normally made from tokens
that the router already holds. Requests wait only on the first use of a budget, near its
end and during a long outage of the table.
"""

from __future__ import annotations

import random
from typing import Callable

import anyio
from anyio.abc import TaskGroup

from endivegw.budgets.accounts import Account, AccountRegistry, Waiter
from endivegw.budgets.bills import BillKind, BillLine, BillRecord
from endivegw.budgets.borrower import Borrower
from endivegw.budgets.options import BudgetOptions
from endivegw.budgets.pace import WriteRateLimiter
from endivegw.budgets.planning import is_closable, wants_draw
from endivegw.budgets.rows import HolderId
from endivegw.budgets.transfer import (
    ResponseCache,
    TokenTransferPort,
    TokenTransferRequest,
    TokenTransferResponse,
)
from endivegw.budgets.wallet import BudgetWallet, Reservation
from endivegw.budgets.writer import BudgetWriter
from endivegw.exceptions import InvariantError
from endivegw.results import Reason, Refused
from endivegw.services import TablePort
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import budgets as events
from endivegw.types import AttemptId, BudgetKey, GrantId, InstanceId, Usage

__all__ = ["BudgetManager"]

#: Seconds of its own demand for which a donor retains tokens.
_LEND_RESERVE_S = 5.0

#: Age at which a grant with only lent tokens is recovered. Borrowed tokens are spent
#: within minutes, so any that are left by then are stranded.
_MAX_LENT_GRANT_AGE_S = 1800.0

#: Loop interval while requests wait. Tokens returned by other routers become visible
#: only by reading the table.
_WAITING_TICK_S = 0.4


class BudgetManager:
    """Reserve, settle and bill tokens for one router.

    Request methods are passed the current time.

    :param clock: Unix time; used by the background loop and while a request waits.
    :param peers: port to routers that may lend tokens, or None to disable borrowing.
    :ivar refusals: number of requests that got no tokens, by reason.
    """

    def __init__(
        self,
        instance_id: InstanceId,
        table: TablePort,
        clock: Callable[[], float],
        rng: random.Random,
        peers: TokenTransferPort | None = None,
        log: EventLog | None = None,
        options: BudgetOptions | None = None,
    ) -> None:
        self.refusals: dict[Reason, int] = {}
        self._clock = clock
        self._rng = rng
        self._log = log or EventLog("budgets")
        self._options = options or BudgetOptions()
        self._accounts = AccountRegistry()
        self._responses = ResponseCache()
        self._rate_limiter = WriteRateLimiter(
            self._options.writes_per_s, self._options.write_burst
        )
        self._wake = anyio.Event()
        self._closing = False
        self._tasks: TaskGroup | None = None
        self._borrower: Borrower | None = None
        if peers is not None:
            timeout_s = self._options.peer_timeout_s
            self._borrower = Borrower(peers, clock, rng, self._log, timeout_s)
        self._writer = BudgetWriter(
            self._accounts,
            table,
            instance_id,
            clock,
            rng,
            self._log,
            self._options,
            self._borrow,
        )

    @property
    def announced_holder(self) -> HolderId:
        """Return the id that sidecars may prefetch, or "" before the first draw.

        A sidecar refuses work of a holder whose state it cannot read. If it has read
        the state before the table becomes unavailable, it can admit the first work of
        the holder during the outage.
        """
        return self._writer.holder if self._writer.holder_exists else HolderId("")

    @property
    def holder(self) -> HolderId:
        """Return the id under which this router currently draws grants."""
        return self._writer.holder

    # Methods for requests.

    async def reserve(
        self,
        budget: BudgetKey,
        bound_tokens: int,
        *,
        deadline_s: float,
        reserve_s: float,
        now_s: float,
    ) -> Reservation | Refused:
        """Reserve the upper bound of one attempt.

        :param deadline_s: time, by the manager's clock, beyond which the request must
            not wait.
        :param reserve_s: the account's parameter of that name.
        :returns: the reservation, or refused with ``BUDGET_EXHAUSTED``,
            ``BUDGET_UNAVAILABLE`` (the table is unavailable and neither this router nor
            its peers have tokens) or ``BUDGET_UNKNOWN``. Nothing is reserved then.
        """
        account = self._accounts.get(budget)
        wallet = account.wallet
        wallet.reserve_s = reserve_s
        wallet.used_at_s = now_s
        wallet.demand.record_reserved(bound_tokens, now_s)
        self._accounts.mark_due(account)
        reservation_id = AttemptId(f"{self._rng.getrandbits(96):024x}")
        reservation = wallet.reserve(reservation_id, bound_tokens, now_s)
        if reservation is not None:
            if wants_draw(self._options.policy, wallet, now_s):
                self._wake.set()
            return reservation
        waiter = Waiter(reservation_id, bound_tokens)
        return await self._wait_for_tokens(account, waiter, deadline_s, now_s)

    def release(self, reservation: Reservation, now_s: float) -> None:
        """Return all tokens of an attempt that provably did not run."""
        self._end_reservation(reservation, 0, now_s)

    def finish(self, reservation: Reservation, usage: Usage, now_s: float) -> None:
        """Charge the final usage of an attempt and release the remaining tokens.

        The charged tokens must appear on the request's bill line. Repeated calls have
        no effect.
        """
        settled_tokens = self._end_reservation(reservation, usage.total_tokens, now_s)
        if settled_tokens is None:
            return
        budget = reservation.budget
        self._accounts.get(budget).wallet.unbilled_tokens += usage.total_tokens
        recovered_tokens = usage.total_tokens - settled_tokens
        self._accounts.bill_queue.record_settled_by_recovery(budget, recovered_tokens)

    def hold(self, reservation: Reservation, now_s: float) -> None:
        """Keep the tokens of an attempt reserved while its outcome is unknown."""
        self._accounts.get(reservation.budget).wallet.used_at_s = now_s

    def resolve(self, reservation: Reservation, usage: Usage, now_s: float) -> None:
        """End a held attempt; its tokens get a separate bill record.

        Charge the full reservation only if the sidecar has terminated for good; one
        that is merely unreachable still knows the usage. Repeated calls have no effect.
        """
        charged_tokens = self._end_reservation(reservation, usage.total_tokens, now_s)
        if charged_tokens:
            record = BillRecord(
                BillKind.RESOLVED,
                reservation.budget,
                reservation.reservation_id,
                charged_tokens,
                now_s,
            )
            self._accounts.bill_queue.add(record, now_s)

    def bill(self, line: BillLine) -> None:
        """Queue the single bill line of a request, after its attempts were finished.

        :raises InvariantError: if the request was billed already, or would be billed
            more than its attempts consumed.
        """
        wallet = self._accounts.get(line.budget).wallet
        if line.charged_tokens > wallet.unbilled_tokens:
            raise InvariantError(
                f"request {line.identity} would be billed {line.charged_tokens} "
                f"tokens, but only {wallet.unbilled_tokens} consumed ones are unbilled"
            )
        self._accounts.bill_queue.add_line(line, line.ended_at_s)
        wallet.unbilled_tokens -= line.charged_tokens

    def grant_sealed(self, grant_id: GrantId, now_s: float) -> None:
        """Drop a grant that a sidecar refused as sealed.

        The caller must also release the reservation of the refused attempt and reserve
        again.
        """
        self._accounts.seal(grant_id)
        self._log.emit(events.GRANT_SEALED_LOCALLY, grant_id=grant_id)
        self._wake.set()

    def lend(
        self, request: TokenTransferRequest, now_s: float
    ) -> TokenTransferResponse:
        """Answer a peer's transfer request; a retry gets the same answer."""
        earlier = self._responses.find(request.transfer_id)
        if earlier is not None:
            return earlier
        response = self._lend(request, now_s)
        self._responses.add(response, now_s)
        return response

    def stranded_grants(self, now_s: float) -> tuple[GrantId, ...]:
        """Return grants of this router to recover although the router is alive.

        Only tokens lent to peers are open in these grants. If a peer died or a transfer
        response was lost, the tokens would be stranded permanently.
        """
        if self._writer.has_unwritten:
            return ()
        return self._accounts.find_stranded(
            self._writer.holder, now_s - _MAX_LENT_GRANT_AGE_S
        )

    def record_recovered_grant(self, grant_id: GrantId) -> None:
        """Record that recovery has closed a stranded grant."""
        self._accounts.record_recovered(grant_id)

    def free_tokens_of(self, budget: BudgetKey) -> int:
        """Return the free tokens of a budget, for metrics and tests."""
        account = self._accounts.find(budget)
        return account.wallet.free_tokens if account else 0

    def wallets(self) -> list[BudgetWallet]:
        """Return the wallets of all budgets, for metrics and tests."""
        return [account.wallet for account in self._accounts]

    # Background loop.

    async def run(self) -> None:
        """Draw, return, settle and write bill lines until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                while True:
                    with anyio.move_on_after(self._tick_s()):
                        await self._wake.wait()
                    self._wake = anyio.Event()
                    if await self._writer.write_once(self._closing):
                        self._rate_limiter.record_write(self._clock())
                    await anyio.sleep(self._gap_s())
            finally:
                self._tasks = None

    async def close(self, now_s: float) -> None:
        """Settle and return all tokens and write the remaining bill lines.

        Call it after the last request has ended. If the table does not answer, it
        retries until cancelled; recovery then settles the remaining tokens.
        """
        self._closing = True
        while not self._is_closed():
            await self._writer.write_once(True)
            unavailable = self._writer.unavailable_since_s is not None
            gap_s = (
                self._options.retry_gap_s if unavailable else self._options.write_gap_s
            )
            await anyio.sleep(gap_s)

    def _is_closed(self) -> bool:
        if self._writer.has_unwritten or len(self._accounts.bill_queue):
            return False
        return not any(is_closable(account.wallet) for account in self._accounts)

    def _tick_s(self) -> float:
        waiting = any(account.waiters for account in self._accounts)
        return _WAITING_TICK_S if waiting else self._options.tick_s

    def _gap_s(self) -> float:
        if self._writer.unavailable_since_s is not None:
            return self._options.retry_gap_s
        wait_s = self._rate_limiter.wait_s(self._clock())
        return max(wait_s, self._options.write_gap_s)

    # Helpers.

    def _lend(
        self, request: TokenTransferRequest, now_s: float
    ) -> TokenTransferResponse:
        empty = TokenTransferResponse(request.transfer_id, GrantId(""), 0)
        account = self._accounts.find(request.budget)
        if account is None or account.waiters or self._closing:
            return empty
        rate_tokens_per_s = account.wallet.demand.rate_tokens_per_s(now_s)
        loan = account.wallet.lend(
            request.wanted_tokens, int(rate_tokens_per_s * _LEND_RESERVE_S)
        )
        if loan is None:
            return empty
        self._log.emit(
            events.TOKENS_LENT,
            budget=str(request.budget),
            transfer_id=request.transfer_id,
            grant_id=loan[0],
            tokens=loan[1],
        )
        return TokenTransferResponse(request.transfer_id, loan[0], loan[1])

    async def _wait_for_tokens(
        self, account: Account, waiter: Waiter, deadline_s: float, now_s: float
    ) -> Reservation | Refused:
        account.enqueue(waiter)
        self._wake.set()
        if self._writer.unavailable_since_s is not None:
            self._borrow(account)
        until_s = min(deadline_s, now_s + self._options.wait_s)
        try:
            with anyio.move_on_after(max(until_s - now_s, 0.0)):
                await waiter.done.wait()
        finally:
            if waiter in account.waiters:
                account.dequeue(waiter)
        if waiter.result is None:
            reason = self._shortage_reason(account)
            waiter.result = Refused(reason, f"budget {account.wallet.budget}", 1.0)
        if isinstance(waiter.result, Refused):
            self._record_refusal(account, waiter, waiter.result, now_s)
        return waiter.result

    def _shortage_reason(self, account: Account) -> Reason:
        if account.exhausted and self._writer.unavailable_since_s is None:
            return Reason.BUDGET_EXHAUSTED
        return Reason.BUDGET_UNAVAILABLE

    def _record_refusal(
        self, account: Account, waiter: Waiter, refused: Refused, since_s: float
    ) -> None:
        reason = refused.reason
        self.refusals[reason] = self.refusals.get(reason, 0) + 1
        wallet = account.wallet
        self._log.emit(
            events.BUDGET_REFUSED,
            budget=str(wallet.budget),
            reason=reason.value,
            bound_tokens=waiter.bound_tokens,
            waited_s=round(self._clock() - since_s, 3),
            figures={
                "free_tokens": wallet.free_tokens,
                "reserved_tokens": wallet.reserved_tokens,
                "known_available_tokens": wallet.known_available_tokens,
                "waiting": len(account.waiters),
            },
        )

    def _end_reservation(
        self, reservation: Reservation, used_tokens: int, now_s: float
    ) -> int | None:
        """End a reservation and return how many used tokens this router settles.

        Returns None if the reservation had ended before.
        """
        account = self._accounts.get(reservation.budget)
        charged_tokens = account.wallet.end_reservation(reservation, used_tokens, now_s)
        account.serve_waiters(now_s)
        self._accounts.mark_due(account)
        return charged_tokens

    def _borrow(self, account: Account) -> None:
        if self._borrower is None or self._tasks is None:
            return
        is_cooling_down = self._clock() < account.borrow_retry_at_s
        if account.waiters and not account.borrowing and not is_cooling_down:
            self._tasks.start_soon(self._borrower.borrow, account)
