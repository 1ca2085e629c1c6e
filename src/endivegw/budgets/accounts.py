"""The budgets that a router has in hand, who waits for their tokens, and when
to look at each of them again.
"""

from __future__ import annotations

import heapq
from typing import Iterator

import anyio
from attrs import define, field

from endivegw.budgets.bills import LineQueue
from endivegw.budgets.rows import HolderId, grant_id_of, grant_number_of
from endivegw.budgets.wallet import BudgetWallet, GrantChange, Reservation
from endivegw.results import Refused
from endivegw.types import AttemptId, BudgetKey, GrantId

__all__ = ["Account", "AccountBook", "Waiter"]


@define(eq=False)
class Waiter:
    """Hold one request that waits for tokens."""

    reservation_id: AttemptId
    bound_tokens: int
    done: anyio.Event = field(factory=anyio.Event)
    result: Reservation | Refused | None = None


@define(eq=False)
class Account:
    """Hold one budget's wallet and who waits for it.

    :ivar exhausted: whether the table had less left than the first waiter
        needs when it was last read.
    :ivar borrow_after_s: peers are not asked again before.
    :ivar next_look_s: when to look at it without being told to.
    """

    wallet: BudgetWallet
    waiters: list[Waiter] = field(factory=list)
    exhausted: bool = False
    borrowing: bool = False
    borrow_after_s: float = 0.0
    next_look_s: float | None = None

    def join(self, waiter: Waiter) -> None:
        """Queue a waiter behind the others."""
        self.waiters.append(waiter)
        self._count_wanted()

    def leave(self, waiter: Waiter) -> None:
        """Take a waiter out of the queue."""
        self.waiters.remove(waiter)
        self._count_wanted()

    def _count_wanted(self) -> None:
        bounds = [waiter.bound_tokens for waiter in self.waiters]
        self.wallet.wanted_tokens = sum(bounds)
        self.wallet.smallest_wanted_tokens = min(bounds, default=0)

    def serve(self, now_s: float) -> None:
        """Hand free tokens to who waits, in order; small ones may pass large.

        Keeping the order strictly would refuse small requests near the end of a
        budget for the sake of a large one that cannot be served either.
        """
        for waiter in list(self.waiters):
            taken = self.wallet.take(waiter.reservation_id, waiter.bound_tokens, now_s)
            if taken is not None:
                self.answer(waiter, taken)

    def answer(self, waiter: Waiter, result: Reservation | Refused) -> None:
        """Let a waiter go on with its result."""
        self.leave(waiter)
        waiter.result = result
        waiter.done.set()


class AccountBook:
    """Hold all budgets of one router.

    With 99,000 budgets in the fleet a router meets hundreds, and looking at all
    of them each second would cost more than control may. Only those that were
    touched, or whose time has come, are looked at.

    :ivar lines: bill records on their way to the table.
    """

    def __init__(self) -> None:
        self.lines = LineQueue()
        self._accounts: dict[BudgetKey, Account] = {}
        self._touched: set[BudgetKey] = set()
        self._open_numbers: set[int] = set()
        self._timed: list[tuple[float, BudgetKey]] = []

    def __iter__(self) -> Iterator[Account]:
        return iter(list(self._accounts.values()))

    def __len__(self) -> int:
        return len(self._accounts)

    def find(self, budget: BudgetKey) -> Account | None:
        """Return a budget's account, None where the router has none."""
        return self._accounts.get(budget)

    def get(self, budget: BudgetKey) -> Account:
        """Return a budget's account, made on first use."""
        account = self._accounts.get(budget)
        if account is None:
            account = Account(BudgetWallet(budget))
            self._accounts[budget] = account
        return account

    def touch(self, account: Account) -> None:
        """Look at a budget in the next round."""
        self._touched.add(account.wallet.budget)

    def look_again(self, account: Account, at_s: float) -> None:
        """Look at a budget at a time, unless something happens to it before."""
        account.next_look_s = at_s
        heapq.heappush(self._timed, (at_s, account.wallet.budget))

    def take_due(self, now_s: float) -> list[Account]:
        """Return the budgets to look at now, each once."""
        due = self._touched
        self._touched = set()
        while self._timed and self._timed[0][0] <= now_s:
            at_s, budget = heapq.heappop(self._timed)
            account = self._accounts.get(budget)
            if account is not None and account.next_look_s == at_s:
                due.add(budget)
        found = (self._accounts.get(budget) for budget in sorted(due))
        return [account for account in found if account is not None]

    def closed_below(self, next_number: int) -> int:
        """Return the number below which all own grants are closed.

        :param next_number: of the grant that would be opened next.
        """
        return min(self._open_numbers, default=next_number)

    def opened(self, grant_id: GrantId) -> None:
        """Take in that an own grant is written, or about to be."""
        self._open_numbers.add(grant_number_of(grant_id))

    def closed(self, grant_id: GrantId) -> None:
        """Take in that an own grant's row is gone."""
        self._open_numbers.discard(grant_number_of(grant_id))

    def stuck(self, holder: HolderId, before_s: float) -> tuple[GrantId, ...]:
        """Return own grants of which only what was lent, or sealed, is open.

        :param before_s: those opened after this are left alone.
        """
        held = {
            grant.grant_id: grant
            for account in self._accounts.values()
            for grant in account.wallet.grants.values()
        }
        found: list[GrantId] = []
        for number in sorted(self._open_numbers):
            grant_id = grant_id_of(holder, number)
            grant = held.get(grant_id)
            if grant is None:
                found.append(grant_id)
            elif grant.lent_tokens and grant.is_empty and grant.opened_at_s < before_s:
                found.append(grant_id)
        return tuple(found)

    def recovered(self, grant_id: GrantId) -> None:
        """Take in that nothing of an own grant is open in the table any more."""
        for account in self._accounts.values():
            account.wallet.grants.pop(grant_id, None)
        self.closed(grant_id)

    def forget_grants(self) -> None:
        """Begin anew under another holder's name."""
        self._open_numbers.clear()

    def forget(self, account: Account) -> None:
        """Drop a budget of which nothing is in hand."""
        del self._accounts[account.wallet.budget]

    def seal(self, grant_id: GrantId) -> None:
        """Drop a grant that recovery took over, wherever it is in hand."""
        for account in list(self._accounts.values()):
            if grant_id in account.wallet.grants:
                left_tokens = account.wallet.seal(grant_id)
                self.lines.settled_by_recovery(account.wallet.budget, left_tokens)
                self.touch(account)

    def undo(self, change: GrantChange, now_s: float) -> None:
        """Put back what a write that did not take effect had moved out."""
        account = self.get(change.budget)
        left_tokens = account.wallet.apply_void(change)
        self.lines.settled_by_recovery(change.budget, left_tokens)
        account.serve(now_s)
        self.touch(account)
