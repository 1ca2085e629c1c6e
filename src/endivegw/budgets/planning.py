"""Decide what a router's next write to the table carries."""

from __future__ import annotations

from attrs import define, field, frozen

from endivegw.budgets.rows import BudgetRow, grant_id_of
from endivegw.budgets.sizing import (
    Draw,
    Remainder,
    SizePolicy,
    draw_tokens,
    idle_tokens,
)
from endivegw.budgets.wallet import BudgetWallet, GrantChange, HeldGrant
from endivegw.exceptions import InvariantError
from endivegw.types import BudgetKey, GrantId

__all__ = [
    "DrawDecision",
    "Plan",
    "is_closable",
    "is_forgettable",
    "is_idle",
    "items_of",
    "next_look_s",
    "plan_wallet",
    "wants_draw",
    "wants_write",
]

#: A grant older than this takes no further draws. A sidecar that is gone for
#: good leaves in doubt only the grants that it may have seen, and those end.
ROTATE_S = 600.0

#: A budget without a request for this long, or for the account's reserve where
#: that is longer, gives all its free tokens back.
IDLE_S = 120.0

#: Least time between two looks at a budget's row while no request waits for
#: it. Each request lowers a hand a little, and a router with thousands of cold
#: budgets would draw on each of them with each request.
REFILL_GAP_S = 10.0

#: How often a budget with tokens in hand is looked at for a demand that fell.
_DECAY_LOOK_S = 15.0

#: No budget is looked at more often than this without being touched.
_LEAST_LOOK_S = 0.5


@frozen
class DrawDecision:
    """Hold one draw with the figures it was decided on."""

    budget: BudgetKey
    grant_id: GrantId
    tokens: int
    needed_tokens: int
    available_tokens: int
    drawers: int
    rate_tokens_per_s: float

    def figures(self) -> dict[str, float]:
        """Return what the size was decided on, for the log."""
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
    """Return whether the budget's row is worth reading for a draw."""
    if wallet.wanted_tokens:
        return True
    if is_idle(wallet, now_s):
        return False
    # Also bounds how often a budget that others may be short of is looked at.
    if now_s - wallet.read_at_s < REFILL_GAP_S:
        return False
    if _is_scarce(wallet):
        return True
    # What is left does not matter here; ask with more than anyone wants.
    plenty = Remainder(1 << 60, 0, 1)
    return draw_tokens(policy, wallet.state(now_s), plenty).tokens > 0


def is_idle(wallet: BudgetWallet, now_s: float) -> bool:
    """Return whether no request came for as long as tokens are kept for one."""
    return now_s - wallet.used_at_s > max(IDLE_S, wallet.reserve_s)


def _is_scarce(wallet: BudgetWallet) -> bool:
    """Return whether the table has less left than this router holds."""
    known_tokens = wallet.known_available_tokens
    return known_tokens is not None and known_tokens < wallet.free_tokens


def wants_write(
    policy: SizePolicy, wallet: BudgetWallet, now_s: float, closing: bool
) -> bool:
    """Return whether there is something to give back or close by now."""
    if closing and is_closable(wallet):
        return True
    if any(_can_close(grant) for grant in wallet.grants.values()):
        return True
    return _give_back_tokens(policy, wallet, None, now_s, closing) > 0


def items_of(wallet: BudgetWallet) -> int:
    """Return the most rows that a budget's part of a write touches."""
    return len(wallet.grants) + 2


def next_look_s(wallet: BudgetWallet, now_s: float) -> float:
    """Return when a budget that nothing happens to needs to be looked at."""
    times_s = [now_s + IDLE_S]
    if wallet.free_tokens:
        times_s.append(now_s + _DECAY_LOOK_S)
        if wallet.read_at_s + REFILL_GAP_S > now_s or _is_scarce(wallet):
            times_s.append(max(wallet.read_at_s, now_s) + REFILL_GAP_S)
    return max(min(times_s), now_s + _LEAST_LOOK_S)


def is_forgettable(wallet: BudgetWallet, now_s: float) -> bool:
    """Return whether nothing of a budget is in hand and none will be wanted."""
    empty = not wallet.grants and not wallet.reservations
    return empty and is_idle(wallet, now_s)


def is_closable(wallet: BudgetWallet) -> bool:
    """Return whether a write at a planned stop has something to do for a budget."""
    return any(_has_rest(grant) for grant in wallet.grants.values())


def _has_rest(grant: HeldGrant) -> bool:
    if grant.sealed:
        return False
    if grant.free_tokens or grant.consumed_tokens or grant.transit_tokens:
        return True
    return _can_close(grant)


def _give_back_tokens(
    policy: SizePolicy,
    wallet: BudgetWallet,
    left: Remainder | None,
    now_s: float,
    closing: bool,
) -> int:
    if closing or is_idle(wallet, now_s):
        return 0 if wallet.wanted_tokens else wallet.free_tokens
    return idle_tokens(policy, wallet.state(now_s), left)


def plan_wallet(
    plan: Plan,
    policy: SizePolicy,
    wallet: BudgetWallet,
    row: BudgetRow | None,
    settle_tokens: int,
    now_s: float,
    closing: bool,
) -> None:
    """Add what one budget needs to a plan, and move its tokens out.

    :param row: as read just now, None where no draw is wanted.
    :param settle_tokens: what the bill records of the same write charge.
    """
    left = _remainder(wallet, row)
    draw = _plan_draw(plan, policy, wallet, left, now_s)
    give_back_tokens = 0
    if draw is None:
        give_back_tokens = _give_back_tokens(policy, wallet, left, now_s, closing)
    elif draw.merges:
        give_back_tokens = wallet.free_tokens
    draws = {change.grant_id: change for change in plan.changes if change.draw_tokens}
    for grant in list(wallet.grants.values()):
        if grant.sealed:
            continue
        back_tokens = min(give_back_tokens, grant.free_tokens)
        if not back_tokens and _is_leftover(wallet, grant, now_s):
            back_tokens = grant.free_tokens
        give_back_tokens -= min(back_tokens, give_back_tokens)
        use_tokens = min(settle_tokens, grant.consumed_tokens)
        settle_tokens -= use_tokens
        moved = wallet.move_out(grant, use_tokens, back_tokens)
        drawn = draws.get(grant.grant_id)
        if drawn is not None:
            plan.changes.remove(drawn)
            moved = GrantChange(
                grant.grant_id,
                wallet.budget,
                draw_tokens=drawn.draw_tokens,
                settle_tokens=moved.settle_tokens,
                give_back_tokens=moved.give_back_tokens,
            )
        elif _can_close(grant):
            moved = _closing(moved, grant)
        if _is_worth_writing(moved):
            plan.changes.append(moved)
    if settle_tokens:
        raise InvariantError(
            f"budget {wallet.budget}: {settle_tokens} tokens billed, not consumed"
        )
    _count_drawers(plan, wallet)


def _remainder(wallet: BudgetWallet, row: BudgetRow | None) -> Remainder | None:
    if row is None:
        return None
    drawers = row.drawers + (0 if wallet.counted else 1)
    return Remainder(row.available_tokens, row.granted_tokens, drawers)


def _plan_draw(
    plan: Plan,
    policy: SizePolicy,
    wallet: BudgetWallet,
    left: Remainder | None,
    now_s: float,
) -> Draw | None:
    if left is None:
        return None
    state = wallet.state(now_s)
    draw = draw_tokens(policy, state, left)
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
            left.available_tokens,
            left.drawers,
            state.rate_tokens_per_s,
        )
    )
    return draw


def _is_leftover(wallet: BudgetWallet, grant: HeldGrant, now_s: float) -> bool:
    """Return whether an old grant's rest is too small to be reserved from."""
    if not grant.owned or now_s - grant.opened_at_s < ROTATE_S:
        return False
    return grant.free_tokens < wallet.demand.bound_tokens(now_s)


def _can_close(grant: HeldGrant) -> bool:
    held_tokens = grant.free_tokens + grant.reserved_tokens + grant.lent_tokens
    is_over = held_tokens + grant.consumed_tokens == 0
    return grant.owned and grant.version > 0 and is_over and not grant.sealed


def _closing(change: GrantChange, grant: HeldGrant) -> GrantChange:
    return GrantChange(
        change.grant_id,
        change.budget,
        closes_version=grant.version,
        settle_tokens=change.settle_tokens,
        give_back_tokens=change.give_back_tokens,
    )


def _is_worth_writing(change: GrantChange) -> bool:
    moved_tokens = change.draw_tokens + change.settle_tokens + change.give_back_tokens
    return moved_tokens > 0 or change.closes_version is not None


def _count_drawers(plan: Plan, wallet: BudgetWallet) -> None:
    """Count this router in with its first grant of a budget, out with its last."""
    changes = [change for change in plan.changes if change.budget == wallet.budget]
    opened = sum(change.opens for change in changes)
    closed = sum(change.closes_version is not None for change in changes)
    own = sum(grant.owned and not grant.sealed for grant in wallet.grants.values())
    draws = own + opened - closed > 0
    if changes and draws != wallet.counted:
        plan.drawers[wallet.budget] = 1 if draws else -1
