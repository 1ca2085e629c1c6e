"""Ledger of one router's share of all budgets.

Reserves and settles tokens, lends and borrows, and plans the next write to the store.
Pure state: the current time and the store's time are passed as arguments.
"""

from __future__ import annotations

import enum
import math
from typing import Callable

from attrs import define, field

from endivegw.allowances.expected import ExpectedRequests
from endivegw.allowances.funds import Funds, Terms
from endivegw.allowances.holders import HOLDERS
from endivegw.allowances.options import AllowanceOptions
from endivegw.allowances.reservation import Reservation
from endivegw.allowances.rows import BudgetTotal, HolderRow, PlannedWrite
from endivegw.allowances.succession import max_used_tokens
from endivegw.allowances.witness_reports import WitnessReport
from endivegw.allowances.witnesses import Statement, Witnesses
from endivegw.types import ClientAccountName, InstanceId

__all__ = ["AllowanceLedger", "Shortage"]


class Shortage(enum.Enum):
    """Why tokens cannot be reserved for a request."""

    #: The tokens are held, but the recorded limit does not cover them yet.
    LIMIT = "limit"
    #: The router holds too few tokens.
    TOKENS = "tokens"


#: Maximum number of accounts in one statement, so that it fits a datagram. For the
#: other accounts, only the row bounds what a dead router may have used.
_MAX_STATED_ACCOUNTS = 40


#: Maximum number of budgets that one write draws on or returns tokens to. Each takes
#: two entries, its revision check and its new value; together with the router's own row
#: these stay below the store's limit of 100 entries per transaction.
_MAX_BUDGETS_PER_WRITE = 45


@define
class AllowanceLedger:
    """Record one router's share of all budgets.

    :ivar prepaid_tokens: total tokens that each account may consume, by the active
        configuration.
    :ivar totals: tokens drawn by all routers, as last read from the store.
    :ivar wanted_tokens: tokens that waiting requests need, by account.
    :ivar is_holder: whether this router draws on an account's budget ahead of
        requests. A router that is not a holder borrows what a request lacks.
    :ivar ended: whether this router has stopped using tokens.
    :ivar is_returning: whether each further write returns all unused tokens, whatever
        configuration is active.
    """

    instance_id: InstanceId
    options: AllowanceOptions = field(factory=AllowanceOptions)
    funds: dict[ClientAccountName, Funds] = field(factory=dict)
    prepaid_tokens: dict[ClientAccountName, int] = field(factory=dict)
    totals: dict[ClientAccountName, BudgetTotal] = field(factory=dict)
    wanted_tokens: dict[ClientAccountName, int] = field(factory=dict)
    expected: ExpectedRequests = field(factory=ExpectedRequests)
    witnesses: Witnesses = field(factory=Witnesses)
    is_holder: Callable[[ClientAccountName], bool] = lambda account: True
    ended: bool = False
    is_returning: bool = False
    _sequence: int = 0

    def set_prepaid(self, prepaid: dict[ClientAccountName, int]) -> None:
        """Apply the budgets of the active configuration."""
        self.prepaid_tokens = dict(prepaid)

    def of(self, account: ClientAccountName) -> Funds:
        """Return the funds of an account, creating empty ones on first use."""
        return self.funds.setdefault(account, Funds())

    # Requests.

    def available_tokens(self, account: ClientAccountName, store_ms: float) -> int:
        """Return how many tokens of an account may be used now."""
        if self.ended:
            return 0
        funds = self.of(account)
        witnessed = self.witnesses.limit_tokens(account)
        row_tokens = self.row_available_tokens(account, store_ms)
        if self.witnesses.outright:
            witnessed = max(witnessed, funds.limit_tokens())
        if witnessed == -math.inf:
            return min(0, row_tokens)
        return int(min(row_tokens, witnessed - funds.used_tokens))

    def row_available_tokens(self, account: ClientAccountName, store_ms: float) -> int:
        """Return how many tokens the row permits now, given acknowledged statements."""
        growth_until_ms = self.witnesses.growth_until_ms(store_ms)
        return self.of(account).available_tokens(growth_until_ms, self.options.growth)

    def is_expired(self, account: ClientAccountName, latest_ms: float) -> bool:
        """Return whether another router may have taken over this router's row.

        :param latest_ms: upper bound of the store's clock.
        """
        return self.of(account).expires_ms(self.options.validity_s) <= latest_ms

    def covered_in_s(
        self, account: ClientAccountName, tokens: int, store_ms: float
    ) -> float | None:
        """Return in how many seconds the growing limit covers tokens that are held.

        Returns None if the tokens are not held, or if the limit stops growing first.
        """
        funds = self.of(account)
        if self.ended or funds.hand_tokens < tokens:
            return None
        return funds.covered_in_s(tokens, store_ms, self.options.growth)

    def reserve(
        self,
        account: ClientAccountName,
        tokens: int,
        store_ms: float,
    ) -> Reservation | Shortage:
        """Reserve tokens for a request, or return the kind of shortage."""
        funds = self.of(account)
        if self.available_tokens(account, store_ms) >= tokens:
            funds.reserved_tokens += tokens
            return Reservation(funds, tokens)
        if funds.hand_tokens >= tokens:
            return Shortage.LIMIT
        return Shortage.TOKENS

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Close a reservation and record what the request consumed."""
        if not reservation.open:
            return
        reservation.open = False
        funds = reservation.funds
        funds.reserved_tokens -= reservation.tokens
        funds.settled_tokens += min(used_tokens, reservation.tokens)

    # Peers.

    def lend(
        self,
        account: ClientAccountName,
        min_tokens: int,
        wanted_tokens: int,
        store_ms: float,
    ) -> int:
        """Debit tokens for a peer and return how many.

        :param wanted_tokens: the result of :meth:`loan_tokens`. If the limits cover
            less, the peer gets what its request lacks, or half of what the limits cover
            if that is more. The rest stays for this router's own callers.
        """
        available = self.available_tokens(account, store_ms)
        tokens = wanted_tokens
        if available < wanted_tokens:
            tokens = min(wanted_tokens, max(min(min_tokens, available), available // 2))
        if tokens <= 0:
            return 0
        self.of(account).lent_tokens += tokens
        return tokens

    def loan_tokens(
        self, account: ClientAccountName, min_tokens: int, wanted_tokens: int
    ) -> int:
        """Return how many of the held tokens a peer may borrow.

        The peer gets the tokens that its request lacks, or half of the unused tokens of
        this router if that is more, so that it need not ask again for each request of
        an account whose callers have moved to it.
        """
        unused = max(0, self.of(account).hand_tokens)
        return min(wanted_tokens, max(min(min_tokens, unused), unused // 2))

    def max_loan_ahead_tokens(self, account: ClientAccountName) -> int:
        """Return the most to borrow at once beyond what requests lack."""
        prepaid_tokens = self.prepaid_tokens.get(account, 0)
        share_tokens = int(prepaid_tokens * self.options.loan_ahead_share)
        return max(self.options.min_balance_tokens, share_tokens)

    def borrow(self, account: ClientAccountName, tokens: int) -> None:
        """Credit tokens that a peer has debited."""
        self.of(account).borrowed_tokens += tokens

    def low_accounts(self, now_s: float) -> list[tuple[ClientAccountName, int]]:
        """Return the accounts that hold too few tokens, with the tokens to borrow."""
        options = self.options
        found = []
        for account, funds in self.funds.items():
            if not self.is_holder(account):
                continue
            demand = funds.demand_tokens_per_s(now_s, options.demand_s)
            wanted = int(demand * options.hold_s)
            if funds.hand_tokens < wanted * options.low_share:
                found.append((account, wanted - funds.hand_tokens))
        return found

    # Witnesses.

    def next_statement(self, sequence: int, store_ms: float, now_s: float) -> Statement:
        """Return the statement to send to the witnesses now, and record it as sent."""
        demands = {
            account: funds.demand_tokens_per_s(now_s, self.options.demand_s)
            for account, funds in self.funds.items()
        }
        named = sorted(demands, key=lambda account: -demands[account])[
            :_MAX_STATED_ACCOUNTS
        ]
        limits = {
            account: self.of(account).used_tokens
            + self._ahead_tokens(account, demands[account], now_s)
            for account in named
        }
        statement = Statement(sequence, store_ms, limits, self.ended)
        self.witnesses.record_sent(statement)
        return statement

    def _ahead_tokens(
        self, account: ClientAccountName, demand: float, now_s: float
    ) -> int:
        """Return by how many tokens a statement's limit exceeds the current use."""
        if self.ended:
            return 0
        held = max(0, self.of(account).hand_tokens)
        if not self.is_holder(account):
            return held
        lead = int(demand * self.options.stated_lead_s)
        return lead + self._lead_tokens(account, 0, held, now_s)

    def _lead_tokens(
        self,
        account: ClientAccountName,
        lead_tokens: int,
        held_tokens: int,
        now_s: float,
    ) -> int:
        """Return by how many tokens a limit exceeds the current use.

        Tokens that requests wait for count only if they are held. Otherwise, near the
        end of a budget, the limit would be ahead of the use by all that is left.
        """
        wanted = self.wanted_tokens.get(account, 0)
        expected = wanted + self.expected.tokens(account, now_s)
        if expected <= held_tokens:
            return max(lead_tokens, expected)
        return max(lead_tokens, wanted) if wanted <= held_tokens else lead_tokens

    # The store.

    def left_tokens(self, account: ClientAccountName) -> int:
        """Return what the routers have not drawn of the budget, as last read."""
        prepaid = self.prepaid_tokens.get(account, 0)
        total = self.totals.get(account, BudgetTotal())
        return prepaid - total.drawn_tokens

    def plan_write(
        self,
        store_ms: float,
        now_s: float,
        routers: int,
        witnesses: tuple[InstanceId, ...] = (),
        *,
        draws: bool = True,
    ) -> PlannedWrite:
        """Return the next write and mark its terms as pending.

        :param routers: number of routers that share the budgets; 0 if it is not known
            yet, in which case nothing is drawn ahead of requests.
        :param witnesses: routers that can be this router's witnesses.
        :param draws: whether the write may draw on budgets. Without draws it can only
            conflict with another write to this router's own row.
        """
        terms: dict[ClientAccountName, Terms] = {}
        budgets: dict[ClientAccountName, int] = {}
        expected: dict[ClientAccountName, int] = {}
        accounts = sorted(set(self.prepaid_tokens) | set(self.funds))
        # Accounts with waiting requests come first.
        accounts.sort(key=lambda account: not self.wanted_tokens.get(account))
        is_complete = True
        for account in accounts:
            funds = self.of(account)
            change = self._change(account, funds, routers, draws)
            if change and len(budgets) >= _MAX_BUDGETS_PER_WRITE:
                change, is_complete = 0, False
            if change:
                total = self.totals.get(account, BudgetTotal())
                budgets[account] = total.drawn_tokens + change
                expected[account] = total.revision
            drawn = funds.confirmed.drawn_tokens + change
            funds.pending = self._terms(account, funds, drawn, store_ms, now_s)
            terms[account] = funds.pending
        self._sequence += 1
        named = self.witnesses.select(witnesses, store_ms)
        outright = not self.witnesses.has_enough(store_ms) or self._lacks_witnesses()
        self.witnesses.plan(named, outright, store_ms)
        row = HolderRow(
            self.instance_id,
            self._sequence,
            terms,
            named,
            outright,
            self.options.validity_s,
            needed=len(named),
        )
        is_last = self.is_returning and all(
            recorded.drawn_tokens <= self.of(account).used_tokens
            for account, recorded in terms.items()
        )
        return PlannedWrite(row, budgets, expected, is_complete, is_last)

    def _lacks_witnesses(self) -> bool:
        """Return whether requests wait for more than the witnesses acknowledged.

        A row whose limits hold outright serves them even if a witness has just died.
        """
        return any(
            tokens > self.witnesses.limit_tokens(account) - self.of(account).used_tokens
            for account, tokens in self.wanted_tokens.items()
            if tokens > 0
        )

    def commit(self, write: PlannedWrite, revision: int) -> None:
        """Apply a write that took effect."""
        self.witnesses.commit()
        for account, terms in write.row.terms.items():
            funds = self.of(account)
            funds.confirmed = terms
            funds.pending = None
        for account, drawn in write.budgets.items():
            self.totals[account] = BudgetTotal(drawn, revision)

    def roll_back(self) -> None:
        """Discard a pending write that did not and never will take effect."""
        self.witnesses.roll_back()
        for funds in self.funds.values():
            funds.pending = None

    def succeed(
        self, row: HolderRow, report: WitnessReport
    ) -> dict[ClientAccountName, int]:
        """Take over the tokens of this router's previous process, which has ended.

        The most that it may have used counts as used.

        :param report: the combined report of its witnesses.
        :returns: the tokens counted as used, by account.
        """
        used = max_used_tokens(row, report, self.options.growth)
        for account, terms in row.terms.items():
            funds = self.of(account)
            used_tokens = used[account]
            funds.confirmed = Terms(terms.drawn_tokens, used_tokens, 0, terms.as_of_ms)
            funds.settled_tokens = used_tokens
        return used

    def return_all(self) -> None:
        """Have all further writes return unused tokens and record the exact use."""
        self.is_returning = True

    @property
    def has_unused(self) -> bool:
        """Return whether tokens are drawn that are not in use."""
        return any(funds.hand_tokens > 0 for funds in self.funds.values())

    def _change(
        self, account: ClientAccountName, funds: Funds, routers: int, draws: bool
    ) -> int:
        """Return the tokens to draw from a budget now, negative to return some."""
        change = self._draw(account, funds, routers)
        if draws and not change and not self.is_holder(account):
            change = -self._surplus(account, funds)
        return change if draws else min(0, change)

    def _draw(self, account: ClientAccountName, funds: Funds, routers: int) -> int:
        """Return the tokens to draw now, negative to return some.

        The holders of a budget draw all of it as soon as it is available: during an
        outage of the store they can lend to each other within milliseconds, but nobody
        can draw. Each first draws an equal share of the whole budget, so that a router
        whose writes lose every conflict is not left without tokens.
        """
        if self.is_returning:
            return -max(0, funds.hand_tokens)
        left = self.left_tokens(account)
        if left < 0:
            return -max(0, min(-left, funds.hand_tokens))
        wanted = self.wanted_tokens.get(account, 0) - max(0, funds.hand_tokens)
        share = self._share(account, funds, left, routers)
        if wanted <= 0 and share < self.options.min_draw_tokens:
            return 0
        if not routers:
            # Any draw may conflict with another router's, so it requests more than the
            # waiting request needs.
            wanted *= self.options.draw_ahead
        return min(left, max(wanted, share))

    def _share(
        self, account: ClientAccountName, funds: Funds, left: int, routers: int
    ) -> int:
        """Return the tokens to draw ahead of requests."""
        if not routers or not self.is_holder(account):
            return 0
        sharers = min(routers, HOLDERS)
        equal = self.prepaid_tokens.get(account, 0) // sharers
        missing = equal - funds.confirmed.drawn_tokens
        if missing >= self.options.min_draw_tokens:
            return missing
        return -(-left // sharers)

    def _surplus(self, account: ClientAccountName, funds: Funds) -> int:
        """Return what a router that is not a holder drew and does not need."""
        if self.wanted_tokens.get(account, 0) > 0:
            return 0
        tokens = min(funds.hand_tokens, funds.confirmed.drawn_tokens)
        return tokens if tokens >= self.options.min_draw_tokens else 0

    def _terms(
        self,
        account: ClientAccountName,
        funds: Funds,
        drawn_tokens: int,
        store_ms: float,
        now_s: float,
    ) -> Terms:
        """Return the terms that the next write records for an account."""
        options = self.options
        if self.is_returning:
            return Terms(drawn_tokens, funds.used_tokens, 0, int(store_ms))
        demand = funds.demand_tokens_per_s(now_s, options.demand_s)
        held = max(0, drawn_tokens - funds.used_tokens)
        if not self.is_holder(account):
            return Terms(drawn_tokens, funds.used_tokens + held, 0, int(store_ms))
        # Near the end of a budget, a kill of all routers then strands little of it.
        lead_tokens = int(min(demand * options.lead_s, held * options.max_lead_share))
        lead = self._lead_tokens(account, lead_tokens, held, now_s)
        wanted_tokens_per_s = max(
            demand * options.growth_factor, held * options.growth_share_per_s
        )
        growth_tokens_per_s = int(
            min(wanted_tokens_per_s, held * options.max_growth_share_per_s)
        )
        return Terms(
            drawn_tokens, funds.used_tokens + lead, growth_tokens_per_s, int(store_ms)
        )
