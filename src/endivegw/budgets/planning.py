"""Decide what a router's next write to the table carries."""

from __future__ import annotations

from attrs import define, field, frozen

from endivegw.budgets.rows import BudgetRow, grant_id_of
from endivegw.budgets.sizing import SizePolicy, draw_tokens, idle_tokens
from endivegw.budgets.wallet import BudgetWallet, GrantChange, HeldGrant
from endivegw.types import BudgetKey, GrantId

__all__ = ["DrawDecision", "Plan", "plan_wallet", "wants_draw", "wants_write"]

#: A grant older than this takes no further draws. A sidecar that is gone for
#: good leaves in doubt only the grants that it may have seen, and those end.
ROTATE_S = 600.0

#: Use that is known waits no longer than this for its settlement. Shorter costs
#: writes for budgets that draw seldom; longer lets ``budget show`` lag.
SETTLE_S = 15.0

#: A budget without a request for this long gives all its free tokens back.
IDLE_S = 120.0


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
    if now_s - wallet.used_at_s > IDLE_S:
        return False
    # What is left does not matter here; ask with more than anyone wants.
    plenty_tokens = 1 << 60
    return draw_tokens(policy, wallet.state(now_s), plenty_tokens, 1).tokens > 0


def wants_write(
    policy: SizePolicy, wallet: BudgetWallet, now_s: float, closing: bool
) -> bool:
    """Return whether there is something to settle, give back or close by now."""
    if closing:
        return bool(wallet.grants)
    since_s = wallet.unsettled_since_s
    if since_s is not None and now_s - since_s >= SETTLE_S:
        return True
    return _give_back_tokens(policy, wallet, now_s, closing) > 0


def _give_back_tokens(
    policy: SizePolicy, wallet: BudgetWallet, now_s: float, closing: bool
) -> int:
    if closing or now_s - wallet.used_at_s > IDLE_S:
        return 0 if wallet.wanted_tokens else wallet.free_tokens
    return idle_tokens(policy, wallet.state(now_s))


def plan_wallet(
    plan: Plan,
    policy: SizePolicy,
    wallet: BudgetWallet,
    row: BudgetRow | None,
    now_s: float,
    closing: bool,
) -> None:
    """Add what one budget needs to a plan, and move its tokens out.

    :param row: as read just now, None where no draw is wanted.
    """
    drew = _plan_draw(plan, policy, wallet, row, now_s)
    give_back_tokens = 0
    if not drew:
        give_back_tokens = _give_back_tokens(policy, wallet, now_s, closing)
    draws = {change.grant_id: change for change in plan.changes if change.draw_tokens}
    for grant in list(wallet.grants.values()):
        if grant.sealed:
            continue
        back_tokens = min(give_back_tokens, grant.free_tokens)
        if not back_tokens and _is_leftover(wallet, grant, now_s):
            back_tokens = grant.free_tokens
        give_back_tokens -= min(back_tokens, give_back_tokens)
        moved = wallet.move_out(grant, back_tokens)
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
        elif _can_close(grant, now_s, closing):
            moved = _closing(moved, grant)
        if _is_worth_writing(moved):
            plan.changes.append(moved)
    wallet.unsettled_since_s = None
    _count_drawers(plan, wallet)


def _plan_draw(
    plan: Plan,
    policy: SizePolicy,
    wallet: BudgetWallet,
    row: BudgetRow | None,
    now_s: float,
) -> bool:
    if row is None:
        return False
    state = wallet.state(now_s)
    own = any(grant.owned for grant in wallet.grants.values())
    drawers = row.drawers + (0 if own else 1)
    draw = draw_tokens(policy, state, row.available_tokens, drawers)
    if draw.tokens <= 0:
        return False
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
            row.available_tokens,
            drawers,
            state.rate_tokens_per_s,
        )
    )
    return True


def _is_leftover(wallet: BudgetWallet, grant: HeldGrant, now_s: float) -> bool:
    """Return whether an old grant's rest is too small to be reserved from."""
    if not grant.owned or now_s - grant.opened_at_s < ROTATE_S:
        return False
    return grant.free_tokens < wallet.demand.bound_tokens(now_s)


def _can_close(grant: HeldGrant, now_s: float, closing: bool) -> bool:
    held_tokens = grant.free_tokens + grant.reserved_tokens + grant.lent_tokens
    return grant.owned and grant.version > 0 and held_tokens == 0


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
    own = sum(grant.owned for grant in wallet.grants.values())
    before = own > 0
    after = own + opened - closed > 0
    if before != after:
        plan.drawers[wallet.budget] = 1 if after else -1
