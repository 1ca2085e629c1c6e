"""Decide what the next table write of a router carries."""

from __future__ import annotations

from attrs import define, field, frozen

from endivegw.budgets.rows import BudgetRow, grant_id_of
from endivegw.budgets.sizing import (
    Draw,
    Remainder,
    SizePolicy,
    draw_tokens,
    returnable_tokens,
)
from endivegw.budgets.wallet import BudgetWallet, GrantChange, HeldGrant
from endivegw.exceptions import InvariantError
from endivegw.types import BudgetKey, GrantId

__all__ = [
    "DrawDecision",
    "Plan",
    "is_closable",
    "is_removable",
    "is_idle",
    "max_items_of",
    "next_check_s",
    "plan_wallet",
    "wants_draw",
    "wants_write",
]

#: Age after which a grant takes no further draws. If a sidecar is lost, only the grants
#: it may have used are in doubt, so grants must have a limited lifetime.
ROTATE_S = 600.0

#: Idle period after which a budget returns all its free tokens. The account's reserve
#: applies if it is longer.
IDLE_S = 120.0

#: Minimum time between two reads of a budget's row while no request waits for it. Each
#: request lowers the free tokens a little, so a router with thousands of rarely used
#: budgets would otherwise draw on each of them with every request.
REFILL_GAP_S = 10.0

#: Interval at which a budget with free tokens is checked for decreased demand.
_DECAY_CHECK_S = 15.0

#: Minimum time between two checks of a budget that is not marked as due.
_MIN_CHECK_GAP_S = 0.5


@frozen
class DrawDecision:
    """Represent one draw with the figures it is based on."""

    budget: BudgetKey
    grant_id: GrantId
    tokens: int
    needed_tokens: int
    available_tokens: int
    drawers: int
    rate_tokens_per_s: float

    def figures(self) -> dict[str, float]:
        """Return the figures that determined the size, for the log."""
        return {
            "needed_tokens": self.needed_tokens,
            "available_tokens": self.available_tokens,
            "drawers": self.drawers,
            "rate_tokens_per_s": round(self.rate_tokens_per_s, 1),
        }


@define
class Plan:
    """Collect the changes of one write.

    :ivar next_number: number of the next grant that the holder opens.
    """

    holder: str
    next_number: int
    changes: list[GrantChange] = field(factory=list)
    drawers: dict[BudgetKey, int] = field(factory=dict)
    draws: list[DrawDecision] = field(factory=list)

    def items(self) -> int:
        """Return how many rows the changes touch."""
        return len(self.changes) + len({change.budget for change in self.changes})


def wants_draw(policy: SizePolicy, wallet: BudgetWallet, now_s: float) -> bool:
    """Return whether to read the budget's row for a possible draw."""
    if wallet.wanted_tokens:
        return True
    if is_idle(wallet, now_s):
        return False
    # Also limits how often a scarce budget is read.
    if now_s - wallet.read_at_s < REFILL_GAP_S:
        return False
    if _is_scarce(wallet):
        return True
    # The available tokens are unknown here, so assume more than any router requests.
    unlimited = Remainder(1 << 60, 0, 1)
    return draw_tokens(policy, wallet.state(now_s), unlimited).tokens > 0


def is_idle(wallet: BudgetWallet, now_s: float) -> bool:
    """Return whether no request arrived within the token retention period."""
    return now_s - wallet.used_at_s > max(IDLE_S, wallet.reserve_s)


def _is_scarce(wallet: BudgetWallet) -> bool:
    """Return whether the table has fewer tokens available than this router holds."""
    known_tokens = wallet.known_available_tokens
    return known_tokens is not None and known_tokens < wallet.free_tokens


def wants_write(
    policy: SizePolicy, wallet: BudgetWallet, now_s: float, closing: bool
) -> bool:
    """Return whether tokens are due to be returned or grants to be closed."""
    if closing and is_closable(wallet):
        return True
    if any(_can_close(grant) for grant in wallet.grants.values()):
        return True
    return _tokens_to_return(policy, wallet, None, now_s, closing) > 0


def max_items_of(wallet: BudgetWallet) -> int:
    """Return the most rows that the changes of one budget touch in a write."""
    return len(wallet.grants) + 2


def next_check_s(wallet: BudgetWallet, now_s: float) -> float:
    """Return when to check a budget that is not marked as due before."""
    times_s = [now_s + IDLE_S]
    if wallet.free_tokens:
        times_s.append(now_s + _DECAY_CHECK_S)
        if wallet.read_at_s + REFILL_GAP_S > now_s or _is_scarce(wallet):
            times_s.append(max(wallet.read_at_s, now_s) + REFILL_GAP_S)
    return max(min(times_s), now_s + _MIN_CHECK_GAP_S)


def is_removable(wallet: BudgetWallet, now_s: float) -> bool:
    """Return whether a budget is idle and holds no grants and no reservations."""
    empty = not wallet.grants and not wallet.reservations
    return empty and is_idle(wallet, now_s)


def is_closable(wallet: BudgetWallet) -> bool:
    """Return whether a budget needs a write at a planned shutdown."""
    return any(_needs_closing_write(grant) for grant in wallet.grants.values())


def _needs_closing_write(grant: HeldGrant) -> bool:
    if grant.sealed:
        return False
    if grant.free_tokens or grant.consumed_tokens or grant.transit_tokens:
        return True
    return _can_close(grant)


def _tokens_to_return(
    policy: SizePolicy,
    wallet: BudgetWallet,
    remainder: Remainder | None,
    now_s: float,
    closing: bool,
) -> int:
    if closing or is_idle(wallet, now_s):
        return 0 if wallet.wanted_tokens else wallet.free_tokens
    return returnable_tokens(policy, wallet.state(now_s), remainder)


def plan_wallet(
    plan: Plan,
    policy: SizePolicy,
    wallet: BudgetWallet,
    row: BudgetRow | None,
    settle_tokens: int,
    now_s: float,
    closing: bool,
) -> None:
    """Add the changes of one budget to a plan and debit their tokens.

    :param row: the row just read, or None if no draw is wanted.
    :param settle_tokens: tokens charged by the bill records of the same write.
    """
    remainder = _remainder(wallet, row)
    draw = _plan_draw(plan, policy, wallet, remainder, now_s)
    return_tokens = 0
    if draw is None:
        return_tokens = _tokens_to_return(policy, wallet, remainder, now_s, closing)
    elif draw.merges:
        return_tokens = wallet.free_tokens
    draws = {change.grant_id: change for change in plan.changes if change.draw_tokens}
    for grant in list(wallet.grants.values()):
        if grant.sealed:
            continue
        returned_tokens = min(return_tokens, grant.free_tokens)
        if not returned_tokens and _is_unusable_remainder(wallet, grant, now_s):
            returned_tokens = grant.free_tokens
        return_tokens -= min(returned_tokens, return_tokens)
        settled_tokens = min(settle_tokens, grant.consumed_tokens)
        settle_tokens -= settled_tokens
        grant_change = wallet.debit(grant, settled_tokens, returned_tokens)
        drawn = draws.get(grant.grant_id)
        if drawn is not None:
            plan.changes.remove(drawn)
            grant_change = GrantChange(
                grant.grant_id,
                wallet.budget,
                draw_tokens=drawn.draw_tokens,
                settle_tokens=grant_change.settle_tokens,
                return_tokens=grant_change.return_tokens,
            )
        elif _can_close(grant):
            grant_change = _with_close(grant_change, grant)
        if _has_effect(grant_change):
            plan.changes.append(grant_change)
    if settle_tokens:
        raise InvariantError(
            f"budget {wallet.budget}: {settle_tokens} more tokens billed than consumed"
        )
    _count_drawers(plan, wallet)


def _remainder(wallet: BudgetWallet, row: BudgetRow | None) -> Remainder | None:
    if row is None:
        return None
    drawers = row.drawers + (0 if wallet.counted_as_drawer else 1)
    return Remainder(row.available_tokens, row.granted_tokens, drawers)


def _plan_draw(
    plan: Plan,
    policy: SizePolicy,
    wallet: BudgetWallet,
    remainder: Remainder | None,
    now_s: float,
) -> Draw | None:
    if remainder is None:
        return None
    state = wallet.state(now_s)
    draw = draw_tokens(policy, state, remainder)
    if draw.tokens <= 0:
        return None
    active = wallet.active_grant(now_s, ROTATE_S)
    if active is not None:
        grant_id = active.grant_id
    else:
        grant_id = grant_id_of(plan.holder, plan.next_number)
        plan.next_number += 1
    plan.changes.append(
        GrantChange(
            grant_id, wallet.budget, opens=active is None, draw_tokens=draw.tokens
        )
    )
    plan.draws.append(
        DrawDecision(
            wallet.budget,
            grant_id,
            draw.tokens,
            draw.needed_tokens,
            remainder.available_tokens,
            remainder.drawers,
            state.rate_tokens_per_s,
        )
    )
    return draw


def _is_unusable_remainder(
    wallet: BudgetWallet, grant: HeldGrant, now_s: float
) -> bool:
    """Return whether the free tokens of an old grant are too few for a reservation."""
    if not grant.owned or now_s - grant.opened_at_s < ROTATE_S:
        return False
    return grant.free_tokens < wallet.demand.bound_tokens(now_s)


def _can_close(grant: HeldGrant) -> bool:
    remaining_tokens = grant.free_tokens + grant.reserved_tokens + grant.lent_tokens
    is_used_up = remaining_tokens + grant.consumed_tokens == 0
    return grant.owned and grant.version > 0 and is_used_up and not grant.sealed


def _with_close(change: GrantChange, grant: HeldGrant) -> GrantChange:
    return GrantChange(
        change.grant_id,
        change.budget,
        closes_version=grant.version,
        settle_tokens=change.settle_tokens,
        return_tokens=change.return_tokens,
    )


def _has_effect(change: GrantChange) -> bool:
    moved_tokens = change.draw_tokens + change.settle_tokens + change.return_tokens
    return moved_tokens > 0 or change.closes_version is not None


def _count_drawers(plan: Plan, wallet: BudgetWallet) -> None:
    """Count this router as a drawer while it has a grant of the budget."""
    changes = [change for change in plan.changes if change.budget == wallet.budget]
    opened = sum(change.opens for change in changes)
    closed = sum(change.closes_version is not None for change in changes)
    owned = sum(grant.owned and not grant.sealed for grant in wallet.grants.values())
    is_drawer = owned + opened - closed > 0
    if changes and is_drawer != wallet.counted_as_drawer:
        plan.drawers[wallet.budget] = 1 if is_drawer else -1
