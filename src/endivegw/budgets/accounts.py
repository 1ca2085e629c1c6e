"""Track the budgets of one router, their waiting requests and their next checks."""

from __future__ import annotations

import heapq
from typing import Iterator

import anyio
from attrs import define, field

from endivegw.budgets.bills import BillQueue
from endivegw.budgets.rows import HolderId, grant_id_of, grant_number_of
from endivegw.budgets.wallet import BudgetWallet, GrantChange, Reservation
from endivegw.results import Refused
from endivegw.types import AttemptId, BudgetKey, GrantId

__all__ = ["Account", "AccountRegistry", "Waiter"]


@define(eq=False)
class Waiter:
    """Represent one request that waits for tokens."""

    reservation_id: AttemptId
    bound_tokens: int
    done: anyio.Event = field(factory=anyio.Event)
    result: Reservation | Refused | None = None


@define(eq=False)
class Account:
    """Hold the wallet of one budget and the queue of requests that wait for it.

    :ivar exhausted: whether the table, when it was last read, had too few tokens left
        for a waiting request.
    :ivar borrow_retry_at_s: time before which peers are not asked for tokens again.
    :ivar next_check_s: when the account is checked next unless it is marked as due
        earlier.
    """

    wallet: BudgetWallet
    waiters: list[Waiter] = field(factory=list)
    exhausted: bool = False
    borrowing: bool = False
    borrow_retry_at_s: float = 0.0
    next_check_s: float | None = None

    def enqueue(self, waiter: Waiter) -> None:
        """Append a waiter to the queue."""
        self.waiters.append(waiter)
        self._update_wanted_tokens()

    def dequeue(self, waiter: Waiter) -> None:
        """Remove a waiter from the queue."""
        self.waiters.remove(waiter)
        self._update_wanted_tokens()

    def _update_wanted_tokens(self) -> None:
        bounds = [waiter.bound_tokens for waiter in self.waiters]
        self.wallet.wanted_tokens = sum(bounds)
        self.wallet.smallest_wanted_tokens = min(bounds, default=0)

    def serve_waiters(self, now_s: float) -> None:
        """Reserve free tokens for waiting requests, in order of arrival.

        A small request may overtake a larger one that does not fit. Strict order would
        refuse small requests near the end of a budget in favour of a large one that
        cannot be served either.
        """
        for waiter in list(self.waiters):
            reservation = self.wallet.reserve(
                waiter.reservation_id, waiter.bound_tokens, now_s
            )
            if reservation is not None:
                self.complete(waiter, reservation)

    def complete(self, waiter: Waiter, result: Reservation | Refused) -> None:
        """Remove a waiter from the queue and wake it with its result."""
        self.dequeue(waiter)
        waiter.result = result
        waiter.done.set()


class AccountRegistry:
    """Hold all budgets that one router uses.

    A fleet may have 99,000 budgets, of which a router uses hundreds. Checking all of
    them every second would exceed the overhead allowed for control work, so only
    accounts that are marked as due or whose scheduled time has come are checked.

    :ivar bill_queue: bill records that are not yet written to the table.
    """

    def __init__(self) -> None:
        self.bill_queue = BillQueue()
        self._accounts: dict[BudgetKey, Account] = {}
        self._due: set[BudgetKey] = set()
        self._open_numbers: set[int] = set()
        self._scheduled: list[tuple[float, BudgetKey]] = []

    def __iter__(self) -> Iterator[Account]:
        return iter(list(self._accounts.values()))

    def __len__(self) -> int:
        return len(self._accounts)

    def find(self, budget: BudgetKey) -> Account | None:
        """Return the account of a budget, or None if the router has none."""
        return self._accounts.get(budget)

    def get(self, budget: BudgetKey) -> Account:
        """Return the account of a budget, creating it on first use."""
        account = self._accounts.get(budget)
        if account is None:
            account = Account(BudgetWallet(budget))
            self._accounts[budget] = account
        return account

    def mark_due(self, account: Account) -> None:
        """Check an account in the next round."""
        self._due.add(account.wallet.budget)

    def schedule_check(self, account: Account, at_s: float) -> None:
        """Check an account at the given time, or earlier if it is marked as due."""
        account.next_check_s = at_s
        heapq.heappush(self._scheduled, (at_s, account.wallet.budget))

    def pop_due(self, now_s: float) -> list[Account]:
        """Return the accounts to check now, each once, and clear their due marks."""
        due = self._due
        self._due = set()
        while self._scheduled and self._scheduled[0][0] <= now_s:
            at_s, budget = heapq.heappop(self._scheduled)
            account = self._accounts.get(budget)
            if account is not None and account.next_check_s == at_s:
                due.add(budget)
        found = (self._accounts.get(budget) for budget in sorted(due))
        return [account for account in found if account is not None]

    def closed_below(self, next_number: int) -> int:
        """Return the number below which all grants of this holder are closed.

        :param next_number: number of the grant that would be opened next.
        """
        return min(self._open_numbers, default=next_number)

    def record_opened(self, grant_id: GrantId) -> None:
        """Record that the row of a grant of this holder is written or about to be."""
        self._open_numbers.add(grant_number_of(grant_id))

    def record_closed(self, grant_id: GrantId) -> None:
        """Record that the row of a grant of this holder is deleted."""
        self._open_numbers.discard(grant_number_of(grant_id))

    def find_stranded(self, holder: HolderId, before_s: float) -> tuple[GrantId, ...]:
        """Return grants of this holder whose open tokens are only lent or sealed ones.

        :param before_s: held grants that were opened at or after this time are skipped.
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

    def record_recovered(self, grant_id: GrantId) -> None:
        """Record that recovery has closed a grant of this holder in the table."""
        for account in self._accounts.values():
            account.wallet.grants.pop(grant_id, None)
        self.record_closed(grant_id)

    def clear_open_grants(self) -> None:
        """Forget the open grants before the router draws as a new holder."""
        self._open_numbers.clear()

    def remove(self, account: Account) -> None:
        """Remove an account that holds no tokens and no reservations."""
        del self._accounts[account.wallet.budget]

    def seal(self, grant_id: GrantId) -> None:
        """Seal a grant that recovery took over in every wallet that holds it."""
        for account in list(self._accounts.values()):
            if grant_id in account.wallet.grants:
                recovered_tokens = account.wallet.seal(grant_id)
                self.bill_queue.record_settled_by_recovery(
                    account.wallet.budget, recovered_tokens
                )
                self.mark_due(account)

    def roll_back(self, change: GrantChange, now_s: float) -> None:
        """Restore the tokens that a write without effect had debited."""
        account = self.get(change.budget)
        recovered_tokens = account.wallet.roll_back(change)
        self.bill_queue.record_settled_by_recovery(change.budget, recovered_tokens)
        account.serve_waiters(now_s)
        self.mark_due(account)
