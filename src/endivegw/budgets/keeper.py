"""The router's side of budgets: reservations out of grants, and what refills them.

Made for requests that must not wait for the table: as a rule a reservation is
taken from tokens in hand. Only a budget's first request, the end of a budget
and a long outage make a request wait.
"""

from __future__ import annotations

import random
from typing import Callable

import anyio
from anyio.abc import TaskGroup

from endivegw.budgets.accounts import Account, AccountBook, Waiter
from endivegw.budgets.bills import BillKind, BillLine, BillRecord
from endivegw.budgets.borrower import Borrower
from endivegw.budgets.options import KeeperOptions
from endivegw.budgets.pace import WritePace
from endivegw.budgets.planning import is_closable, wants_draw
from endivegw.budgets.rows import HolderId
from endivegw.budgets.transfer import (
    OfferMemory,
    TransferAsk,
    TransferOffer,
    TransferPort,
)
from endivegw.budgets.wallet import BudgetWallet, Reservation
from endivegw.budgets.writer import BudgetWriter
from endivegw.exceptions import InvariantError
from endivegw.results import Reason, Refused
from endivegw.services import TablePort
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import budgets as events
from endivegw.types import AttemptId, BudgetKey, GrantId, InstanceId, Usage

__all__ = ["BudgetKeeper"]

#: What a donor keeps for its own next moments, in seconds of its demand.
_LEND_KEEP_S = 5.0

#: A grant that only borrowers use is recovered when it is this old. Borrowed
#: tokens are spent within minutes; what is left by then is stranded.
_LENT_S = 1800.0

#: While requests wait the loop looks again this often: tokens that other
#: routers give back show only in the table.
_WAITING_TICK_S = 0.4


class BudgetKeeper:
    """Reserve, settle and bill for one router; the present time is passed in.

    :param clock: Unix time; used by the background loop and while a request
        waits.
    :param peers: where tokens may be borrowed, None without peer transfer.
    :ivar refusals: how many requests got no tokens, by reason.
    """

    def __init__(
        self,
        instance_id: InstanceId,
        table: TablePort,
        clock: Callable[[], float],
        rng: random.Random,
        peers: TransferPort | None = None,
        log: EventLog | None = None,
        options: KeeperOptions | None = None,
    ) -> None:
        self.refusals: dict[Reason, int] = {}
        self._clock = clock
        self._rng = rng
        self._log = log or EventLog("budgets")
        self._options = options or KeeperOptions()
        self._book = AccountBook()
        self._offers = OfferMemory()
        self._pace = WritePace(self._options.writes_per_s, self._options.write_burst)
        self._wake = anyio.Event()
        self._closing = False
        self._tasks: TaskGroup | None = None
        self._borrower: Borrower | None = None
        if peers is not None:
            timeout_s = self._options.peer_timeout_s
            self._borrower = Borrower(peers, clock, rng, self._log, timeout_s)
        self._writer = BudgetWriter(
            self._book,
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
        """Return the id that sidecars may ask the table about, "" before a draw.

        A sidecar that hears of it early knows it when the table goes away; it
        would refuse the first work of a holder that it cannot ask about.
        """
        return self._writer.holder if self._writer.holder_exists else HolderId("")

    @property
    def holder(self) -> HolderId:
        """Return the id under which this router draws at present."""
        return self._writer.holder

    # What requests call.

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

        :param deadline_s: the moment, by the keeper's clock, beyond which the
            request must not wait.
        :param reserve_s: the account's parameter of that name.
        :returns: refused with ``BUDGET_EXHAUSTED``, ``BUDGET_UNAVAILABLE`` (the
            table is away and there are no tokens in hand or at peers) or
            ``BUDGET_UNKNOWN``. Nothing is reserved then.
        """
        account = self._book.get(budget)
        wallet = account.wallet
        wallet.reserve_s = reserve_s
        wallet.used_at_s = now_s
        wallet.demand.reserved(bound_tokens, now_s)
        self._book.touch(account)
        reservation_id = AttemptId(f"{self._rng.getrandbits(96):024x}")
        taken = wallet.take(reservation_id, bound_tokens, now_s)
        if taken is not None:
            if wants_draw(self._options.policy, wallet, now_s):
                self._wake.set()
            return taken
        waiter = Waiter(reservation_id, bound_tokens)
        return await self._wait_for_tokens(account, waiter, deadline_s, now_s)

    def release(self, reservation: Reservation, now_s: float) -> None:
        """Put all tokens back: the attempt did not run, provably."""
        self._end(reservation, 0, now_s)

    def finish(self, reservation: Reservation, usage: Usage, now_s: float) -> None:
        """Charge an attempt's final usage and put the rest back.

        The tokens belong on the request's bill line. Repeated calls do nothing.
        """
        settled_tokens = self._end(reservation, usage.total_tokens, now_s)
        if settled_tokens is None:
            return
        budget = reservation.budget
        self._book.get(budget).wallet.unbilled_tokens += usage.total_tokens
        recovered_tokens = usage.total_tokens - settled_tokens
        self._book.lines.settled_by_recovery(budget, recovered_tokens)

    def hold(self, reservation: Reservation, now_s: float) -> None:
        """Keep an attempt's tokens reserved: its end is not known yet."""
        self._book.get(reservation.budget).wallet.used_at_s = now_s

    def resolve(self, reservation: Reservation, usage: Usage, now_s: float) -> None:
        """End a held attempt; its tokens get a record of their own on the bill.

        Charge the whole reservation only where the sidecar is gone for good;
        one that merely cannot be reached still knows. Repeated calls do nothing.
        """
        charged_tokens = self._end(reservation, usage.total_tokens, now_s)
        if charged_tokens:
            record = BillRecord(
                BillKind.RESOLVED,
                reservation.budget,
                reservation.reservation_id,
                charged_tokens,
                now_s,
            )
            self._book.lines.add(record, now_s)

    def bill(self, line: BillLine) -> None:
        """Queue the one line of a request, after its attempts were finished.

        :raises InvariantError: where the request was billed already, or is
            billed more than its attempts consumed.
        """
        wallet = self._book.get(line.budget).wallet
        if line.charged_tokens > wallet.unbilled_tokens:
            raise InvariantError(
                f"request {line.identity} would be billed {line.charged_tokens} "
                f"tokens, and only {wallet.unbilled_tokens} were consumed"
            )
        self._book.lines.add_line(line, line.ended_at_s)
        wallet.unbilled_tokens -= line.charged_tokens

    def grant_sealed(self, grant_id: GrantId, now_s: float) -> None:
        """Drop a grant that a sidecar refused as sealed.

        Release the refused attempt's reservation as well and reserve anew.
        """
        self._book.seal(grant_id)
        self._log.emit(events.GRANT_SEALED_HERE, grant_id=grant_id)
        self._wake.set()

    def lend(self, ask: TransferAsk, now_s: float) -> TransferOffer:
        """Answer a peer's ask; a repeated ask gets the same answer."""
        earlier = self._offers.find(ask.transfer_id)
        if earlier is not None:
            return earlier
        offer = self._offer(ask, now_s)
        self._offers.keep(offer, now_s)
        return offer

    def stuck_grants(self, now_s: float) -> tuple[GrantId, ...]:
        """Return own grants to be recovered although this router lives.

        Of these only what peers borrowed is open. A peer that died, or an offer
        whose answer was lost, would strand the tokens for good.
        """
        if self._writer.has_unwritten:
            return ()
        return self._book.stuck(self._writer.holder, now_s - _LENT_S)

    def grant_recovered(self, grant_id: GrantId) -> None:
        """Take in that recovery has closed a stuck grant."""
        self._book.recovered(grant_id)

    def tokens_in_hand(self, budget: BudgetKey) -> int:
        """Return the free tokens of a budget, for metrics and tests."""
        account = self._book.find(budget)
        return account.wallet.free_tokens if account else 0

    def wallets(self) -> list[BudgetWallet]:
        """Return what is held of each budget, for metrics and tests."""
        return [account.wallet for account in self._book]

    # The background loop.

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
                        self._pace.take(self._clock())
                    await anyio.sleep(self._gap_s())
            finally:
                self._tasks = None

    async def close(self, now_s: float) -> None:
        """Settle and return everything and write the lines that are left.

        Call it after the last request has ended. Where the table does not
        answer it goes on trying until it is cancelled; recovery settles what is
        left then.
        """
        self._closing = True
        while not self._is_closed():
            await self._writer.write_once(True)
            away = self._writer.away_since_s is not None
            gap_s = self._options.retry_gap_s if away else self._options.write_gap_s
            await anyio.sleep(gap_s)

    def _is_closed(self) -> bool:
        if self._writer.has_unwritten or len(self._book.lines):
            return False
        return not any(is_closable(account.wallet) for account in self._book)

    def _tick_s(self) -> float:
        waiting = any(account.waiters for account in self._book)
        return _WAITING_TICK_S if waiting else self._options.tick_s

    def _gap_s(self) -> float:
        if self._writer.away_since_s is not None:
            return self._options.retry_gap_s
        wait_s = self._pace.wait_s(self._clock())
        return max(wait_s, self._options.write_gap_s)

    # Helpers.

    def _offer(self, ask: TransferAsk, now_s: float) -> TransferOffer:
        nothing = TransferOffer(ask.transfer_id, GrantId(""), 0)
        account = self._book.find(ask.budget)
        if account is None or account.waiters or self._closing:
            return nothing
        rate = account.wallet.demand.rate_tokens_per_s(now_s)
        lent = account.wallet.lend(ask.wanted_tokens, int(rate * _LEND_KEEP_S))
        if lent is None:
            return nothing
        self._log.emit(
            events.TOKENS_LENT,
            budget=str(ask.budget),
            transfer_id=ask.transfer_id,
            grant_id=lent[0],
            tokens=lent[1],
        )
        return TransferOffer(ask.transfer_id, lent[0], lent[1])

    async def _wait_for_tokens(
        self, account: Account, waiter: Waiter, deadline_s: float, now_s: float
    ) -> Reservation | Refused:
        account.join(waiter)
        self._wake.set()
        if self._writer.away_since_s is not None:
            self._borrow(account)
        until_s = min(deadline_s, now_s + self._options.wait_s)
        try:
            with anyio.move_on_after(max(until_s - now_s, 0.0)):
                await waiter.done.wait()
        finally:
            if waiter in account.waiters:
                account.leave(waiter)
        if waiter.result is None:
            reason = self._why_short(account)
            waiter.result = Refused(reason, f"budget {account.wallet.budget}", 1.0)
        if isinstance(waiter.result, Refused):
            self._note_refusal(account, waiter, waiter.result, now_s)
        return waiter.result

    def _why_short(self, account: Account) -> Reason:
        if account.exhausted and self._writer.away_since_s is None:
            return Reason.BUDGET_EXHAUSTED
        return Reason.BUDGET_UNAVAILABLE

    def _note_refusal(
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

    def _end(
        self, reservation: Reservation, used_tokens: int, now_s: float
    ) -> int | None:
        """Return how many of the used tokens this router settles itself.

        None where the reservation had ended before.
        """
        account = self._book.get(reservation.budget)
        charged_tokens = account.wallet.give(reservation, used_tokens, now_s)
        account.serve(now_s)
        self._book.touch(account)
        return charged_tokens

    def _borrow(self, account: Account) -> None:
        if self._borrower is None or self._tasks is None:
            return
        asked_lately = self._clock() < account.borrow_after_s
        if account.waiters and not account.borrowing and not asked_lately:
            self._tasks.start_soon(self._borrower.borrow, account)
