"""The limits of prepaid budgets at routers, each with its reason."""

from __future__ import annotations

from attrs import frozen

__all__ = ["AllowanceOptions"]


@frozen
class AllowanceOptions:
    """Hold the limits.

    :param write_every_s: how often a router moves its recorded limits on. Ten
        writes a second for a small fleet is a hundredth of the store's rate.
    :param write_timeout_s: a write without an answer is repeated as it is. It
        is longer than the answer of a store that is a hundred times slower than
        usual, so that a slow store still takes writes.
    :param wait_s: how long one request waits for a write. A store that is well
        answers within a tenth of it; the request then turns to peers.
    :param lead_s: seconds of demand that the limit is ahead of the use. What is
        ahead is lost for the budget if the router is killed.
    :param pace_factor: how much faster than its demand a router that is cut off
        may spend. Twice covers an account that suddenly sends twice as much;
        more would strand more when a router is killed.
    :param pace_most_s: the longest cut through which the limit grows. Cuts of up
        to 9 s were seen; a longer one is lived through on what peers can spare.
    :param demand_s: time constant of the measured demand.
    :param least_draw_tokens: less than this is left in the budget unless a
        request needs it: each draw is a write.
    :param clock_margin: factor on the own clock between two readings of the
        store's. A clock that runs fast by less than this stays harmless.
    :param pools_every_s: how often the budgets' rows are read.
    :param borrow_ahead_s: seconds of demand that are borrowed on top of what a
        request lacks, so that not each request asks.
    :param settle_s: a router that just started draws nothing unasked for this
        long: it does not know yet how many others there are.
    :param borrow_s: how long one request asks its peers for tokens.
    """

    write_every_s: float = 0.3
    write_timeout_s: float = 1.0
    wait_s: float = 0.06
    lead_s: float = 0.5
    pace_factor: float = 2.0
    pace_most_s: float = 15.0
    demand_s: float = 4.0
    least_draw_tokens: int = 500
    clock_margin: float = 0.99
    pools_every_s: float = 1.0
    borrow_s: float = 0.12
    borrow_ahead_s: float = 3.0
    settle_s: float = 1.5
