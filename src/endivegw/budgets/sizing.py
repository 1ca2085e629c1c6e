"""Determine how large a grant to draw, and when to draw and return tokens.

The sizes suit a few busy budgets that routers in every zone draw on, and many rarely
used ones. A grant that is too small costs table writes and refuses requests as soon as
the table is unavailable. One that is too large strands tokens with a router that does
not need them, so that others refuse requests near the end of a budget.
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
    "desired_free_tokens",
    "returnable_tokens",
]

#: Divisor of a router's even share of the available tokens that limits a single draw.
#: The draws of all routers thus shrink together as a budget ends, and the last tokens
#: are spread over the routers that need them.
_SHARE_DIVISOR = 2

#: A draw is due if the free tokens fall below this fraction of the desired number. An
#: outage may start just before the draw, so the fraction is high; a higher one draws
#: more often.
_LOW_WATERMARK = 0.9

#: Tokens are returned if the free tokens exceed this multiple of the desired number.
#: The gap to the low watermark prevents steady demand from alternating draws and
#: returns.
_HIGH_WATERMARK = 1.3

#: Minimum size of a draw that no request waits for, as a fraction of the desired free
#: tokens. Without it, a router would draw a few tokens every second near the end of a
#: budget.
_MIN_DRAW_FRACTION = 0.05


@frozen
class FixedSize:
    """Draw the same number of tokens each time."""

    tokens: int = field(default=20_000, validator=validators.gt(0))


@frozen
class ProportionalSize:
    """Draw a fraction of the available tokens, regardless of demand."""

    fraction: float = 0.05


@frozen
class DemandSize:
    """Draw the tokens that demand needs for the duration of the account's reserve."""


SizePolicy = FixedSize | ProportionalSize | DemandSize


@frozen
class GrantState:
    """Represent what a router knows of one budget when it decides on a draw.

    :param free_tokens: held by the router and not reserved.
    :param reserved_tokens: in reservations of running attempts.
    :param wanted_tokens: sum of the bounds of all waiting requests.
    :param smallest_wanted_tokens: the smallest of these bounds, or 0 if none waits.
    :param rate_tokens_per_s: recent consumption.
    :param largest_bound_tokens: the largest recent reservation.
    :param reserve_s: the account's parameter of that name.
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
    """Represent the decision on one draw.

    :param needed_tokens: without these no waiting request can run.
    :param tokens: how many tokens to draw.
    :param merges: whether the free tokens of all held grants move into the drawn one,
        because a reservation cannot be split over two grants.
    """

    needed_tokens: int
    tokens: int
    merges: bool


def desired_free_tokens(state: GrantState) -> int:
    """Return how many free tokens the router should hold.

    Demand over the account's reserve covers an outage of that length. One large
    reservation on top lets the next request start without a draw.
    """
    demand_tokens = int(state.rate_tokens_per_s * state.reserve_s)
    return demand_tokens + state.largest_bound_tokens


@frozen
class Remainder:
    """Represent the unspent tokens of a budget according to the table.

    :param available_tokens: tokens outside any grant.
    :param granted_tokens: tokens in the grants of all routers.
    :param drawers: number of routers that draw on the budget, including this one.
    """

    available_tokens: int
    granted_tokens: int
    drawers: int

    def even_share_tokens(self) -> int:
        """Return the unspent tokens divided evenly among the drawing routers."""
        unspent_tokens = self.available_tokens + self.granted_tokens
        return unspent_tokens // max(self.drawers, 1)


def draw_tokens(policy: SizePolicy, state: GrantState, remainder: Remainder) -> Draw:
    """Return how many of the available tokens to draw."""
    available_tokens = remainder.available_tokens
    needed_tokens = _needed_tokens(state, available_tokens)
    if needed_tokens > available_tokens:
        return Draw(needed_tokens, needed_tokens, merges=True)
    share_tokens = available_tokens // (_SHARE_DIVISOR * max(remainder.drawers, 1))
    match policy:
        case FixedSize(tokens):
            low = state.free_tokens < state.largest_bound_tokens
            requested_tokens = tokens if low or needed_tokens else 0
            size_tokens = min(requested_tokens, available_tokens)
        case ProportionalSize(fraction):
            low = state.free_tokens < state.largest_bound_tokens
            requested_tokens = int(available_tokens * fraction)
            size_tokens = requested_tokens if low or needed_tokens else 0
        case DemandSize():
            # Limited to an even share, however long the account's reserve is. Otherwise
            # the first router to draw would leave nothing for the others.
            desired_tokens = min(
                desired_free_tokens(state), remainder.even_share_tokens()
            )
            if desired_tokens < state.largest_bound_tokens:
                desired_tokens = 0
            low = state.free_tokens < desired_tokens * _LOW_WATERMARK
            missing_tokens = max(desired_tokens - state.free_tokens, 0)
            size_tokens = min(missing_tokens, share_tokens)
            if not low or size_tokens < desired_tokens * _MIN_DRAW_FRACTION:
                size_tokens = 0
            if needed_tokens:
                size_tokens = min(missing_tokens, share_tokens)
    return Draw(needed_tokens, max(size_tokens, needed_tokens), merges=False)


def _needed_tokens(state: GrantState, available_tokens: int) -> int:
    """Return the tokens for all waiting requests, else for the smallest, else 0.

    Tokens drawn for a request that they do not cover would be missing elsewhere.
    """
    affordable_tokens = available_tokens + state.free_tokens
    for tokens in (state.wanted_tokens, state.smallest_wanted_tokens):
        if tokens <= affordable_tokens:
            return tokens
    return 0


def returnable_tokens(
    policy: SizePolicy, state: GrantState, remainder: Remainder | None
) -> int:
    """Return how many free tokens to return to the budget.

    Only the demand-driven policy returns surplus tokens; the others return tokens only
    if the budget has no demand.

    :param remainder: None if the table was not read just now.
    """
    if remainder is not None and isinstance(policy, DemandSize):
        bound_tokens = max(state.largest_bound_tokens, state.smallest_wanted_tokens)
        if remainder.even_share_tokens() < bound_tokens:
            # Near the end of a budget, tokens spread over the routers would serve no
            # request, while in the table they can serve the next request at any router.
            return state.free_tokens
    if state.wanted_tokens:
        return 0
    desired_tokens = desired_free_tokens(state)
    if desired_tokens == 0:
        return state.free_tokens
    match policy:
        case DemandSize():
            if remainder is not None:
                desired_tokens = min(desired_tokens, remainder.even_share_tokens())
            if state.free_tokens > desired_tokens * _HIGH_WATERMARK:
                return state.free_tokens - desired_tokens
    return 0
