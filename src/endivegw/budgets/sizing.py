"""How large a grant to draw, and when to draw and to give back.

Made for a few hot budgets drawn on from every zone and for many cold ones. A
grant that is too small costs table writes and refuses requests as soon as the
table is away; one that is too large strands tokens with a router that does not
need them, so that others refuse near the end of a budget.
"""

from __future__ import annotations

from attrs import field, frozen, validators

__all__ = [
    "DemandSize",
    "Draw",
    "FixedSize",
    "GrantState",
    "ProportionalSize",
    "Remainder",
    "SizePolicy",
    "draw_tokens",
    "hand_target_tokens",
    "idle_tokens",
]

#: A router takes at most this part of its even share of what is left at once,
#: so that the draws of all routers get smaller together as a budget ends and
#: the last tokens are spread over those who ask.
_SHARE_DIVISOR = 2

#: Free tokens below this part of what should be in hand cause a draw, since an
#: outage may begin just before it. Higher draws more often.
_LOW_WATER = 0.9

#: Free tokens above this multiple of what should be in hand go back; the gap to
#: the low water keeps a steady demand from drawing and returning in turns.
_HIGH_WATER = 1.3

#: A draw that no request waits for brings at least this part of what should be
#: in hand; near the end of a budget each second would bring a few tokens else.
_LEAST_PART = 0.05


@frozen
class FixedSize:
    """Draw the same number of tokens each time."""

    tokens: int = field(default=20_000, validator=validators.gt(0))


@frozen
class ProportionalSize:
    """Draw a part of what is left, whatever the demand is."""

    part: float = 0.05


@frozen
class DemandSize:
    """Draw what the demand of some time needs, by the account's reserve."""


SizePolicy = FixedSize | ProportionalSize | DemandSize


@frozen
class GrantState:
    """Hold what a router knows of one budget when it decides.

    :param free_tokens: in hand and not reserved.
    :param reserved_tokens: in reservations of attempts in flight.
    :param wanted_tokens: bounds of all requests that wait.
    :param smallest_wanted_tokens: the smallest of them, 0 where none waits.
    :param rate_tokens_per_s: recent consumption.
    :param largest_bound_tokens: the largest recent reservation.
    :param reserve_s: the account's parameter.
    """

    free_tokens: int
    reserved_tokens: int
    wanted_tokens: int
    smallest_wanted_tokens: int
    rate_tokens_per_s: float
    largest_bound_tokens: int
    reserve_s: float


@frozen
class Draw:
    """Hold the decision on one draw with its figures.

    :param needed_tokens: without these no waiting request can run.
    :param tokens: what to draw.
    :param merges: whether the free tokens of all grants in hand move into the
        drawn one; a reservation cannot be split over two grants.
    """

    needed_tokens: int
    tokens: int
    merges: bool


def hand_target_tokens(state: GrantState) -> int:
    """Return how many tokens the router should have in hand.

    Demand over the account's reserve rides out an outage of that length; one
    large reservation on top lets the next request start without a draw.
    """
    demand_tokens = int(state.rate_tokens_per_s * state.reserve_s)
    return demand_tokens + state.largest_bound_tokens


@frozen
class Remainder:
    """Hold what is left of a budget, as the table says.

    :param available_tokens: what no grant holds.
    :param granted_tokens: what all routers hold.
    :param drawers: how many routers draw on the budget, this one included.
    """

    available_tokens: int
    granted_tokens: int
    drawers: int

    def even_share_tokens(self) -> int:
        """Return what each drawing router would have if all was shared evenly."""
        unspent_tokens = self.available_tokens + self.granted_tokens
        return unspent_tokens // max(self.drawers, 1)


def draw_tokens(policy: SizePolicy, state: GrantState, left: Remainder) -> Draw:
    """Return how many tokens to draw of what the table has left."""
    available_tokens = left.available_tokens
    needed_tokens = _needed_tokens(state, available_tokens)
    if needed_tokens > available_tokens:
        return Draw(needed_tokens, needed_tokens, merges=True)
    share_tokens = available_tokens // (_SHARE_DIVISOR * max(left.drawers, 1))
    match policy:
        case FixedSize(tokens):
            low = state.free_tokens < state.largest_bound_tokens
            wish_tokens = tokens if low or needed_tokens else 0
            size_tokens = min(wish_tokens, available_tokens)
        case ProportionalSize(part):
            low = state.free_tokens < state.largest_bound_tokens
            wish_tokens = int(available_tokens * part)
            size_tokens = wish_tokens if low or needed_tokens else 0
        case DemandSize():
            # No more than an even share, however large the account's reserve
            # is: the first to draw would leave nothing for the others.
            target_tokens = min(hand_target_tokens(state), left.even_share_tokens())
            if target_tokens < state.largest_bound_tokens:
                target_tokens = 0
            low = state.free_tokens < target_tokens * _LOW_WATER
            missing_tokens = max(target_tokens - state.free_tokens, 0)
            size_tokens = min(missing_tokens, share_tokens)
            if not low or size_tokens < target_tokens * _LEAST_PART:
                size_tokens = 0
            if needed_tokens:
                size_tokens = min(missing_tokens, share_tokens)
    return Draw(needed_tokens, max(size_tokens, needed_tokens), merges=False)


def _needed_tokens(state: GrantState, available_tokens: int) -> int:
    """Return what serves all who wait, else one of them, else nothing.

    Tokens drawn for a request that they do not suffice for would be missing
    where they suffice.
    """
    affordable_tokens = available_tokens + state.free_tokens
    for tokens in (state.wanted_tokens, state.smallest_wanted_tokens):
        if tokens <= affordable_tokens:
            return tokens
    return 0


def idle_tokens(policy: SizePolicy, state: GrantState, left: Remainder | None) -> int:
    """Return how many free tokens to give back to the budget.

    Only the demand-driven size knows what idle means; the others give back all
    of a budget without demand.

    :param left: None where the table was not read just now.
    """
    if left is not None and isinstance(policy, DemandSize):
        bound_tokens = max(state.largest_bound_tokens, state.smallest_wanted_tokens)
        if left.even_share_tokens() < bound_tokens:
            # The end of the budget: spread over the routers it would serve no
            # request, and in the table it serves the next ones anywhere.
            return state.free_tokens
    if state.wanted_tokens:
        return 0
    target_tokens = hand_target_tokens(state)
    if target_tokens == 0:
        return state.free_tokens
    match policy:
        case DemandSize():
            if left is not None:
                target_tokens = min(target_tokens, left.even_share_tokens())
            if state.free_tokens > target_tokens * _HIGH_WATER:
                return state.free_tokens - target_tokens
    return 0
