"""Settings of prepaid budgets at routers."""

from __future__ import annotations

from attrs import frozen

from endivegw.allowances.funds import Growth

__all__ = ["AllowanceOptions"]


@frozen
class AllowanceOptions:
    """Settings of prepaid budgets, with the reason for each.

    :param spread_rows: whether each router's row has its own partition. The store
        writes the rows of a partition one after another, about 300 a second; twenty
        routers in one partition need 200 for their periodic writes alone, and requests
        that wait for a write are then refused although their tokens are held.
    :param write_every_s: interval at which a router updates its recorded limits. Four
        routers then make 27 writes a second, a thirtieth of the store's rate.
    :param write_timeout_s: time after which an unanswered write is repeated unchanged.
        It exceeds the response time of a store that is a hundred times slower than
        usual, so that writes still succeed there.
    :param wait_s: how long one request waits for a write. A healthy store answers
        within a tenth of it; the request then turns to peers.
    :param min_retry_s: shortest delay after which a refused caller should retry; by
        then several more writes and loans have been tried.
    :param expected_retry_s: how long limits cover a request that was refused for lack
        of a limit.
    :param lead_s: seconds of demand by which the limit exceeds the use, equal to two
        write intervals. If all routers are killed, this lead is lost for the budget; a
        request that finds too little waits for one write, or for the witnesses during
        an outage of the store.
    :param stated_lead_s: the same lead in statements to witnesses. Statements are sent
        ten times a second, and two of them may be lost.
    :param growth_factor: how much faster than its demand a router isolated from the
        store may spend once its limit grows at the full rate. Peers lend if the callers
        of one account concentrate on one router.
    :param growth: how limits grow during an outage of the store. Designed for outages
        of up to 9 s; beyond the longest growth, a router depends on what peers lend.
    :param statement_timeout_s: how long a request waits for the witnesses; four
        round trips to another availability zone.
    :param demand_s: time constant of the measured demand.
    :param min_draw_tokens: smallest number of tokens that is drawn unless a request
        needs less; smaller remainders stay in the budget, since each draw is a write.
    :param draw_ahead: multiple of the missing tokens that a router draws while it does
        not know yet how many others there are. Four routers that start together under
        load serve all of 80 requests; with 1 they conflict over the draw of each
        request and serve 57.
    :param clock_margin: factor on the local clock between two readings of the store's
        clock. A local clock that runs fast by less than this is harmless.
    :param budgets_every_s: interval at which the rows of the budgets are read.
    :param growth_share_per_s: share of the tokens it holds that an isolated router may
        spend or lend per second if its own demand is lower. During an outage of the
        store, callers of an account may need what another router holds.
    :param max_growth_share_per_s: share of the tokens it holds by which a router's
        limit grows at the most. All of them can be used in an outage as long as most.
    :param max_lead_share: share of the tokens it holds by which a router's limit
        exceeds the use at the most, unless requests wait for more.
    :param hold_s: seconds of its demand that a router holds of each account, by
        borrowing ahead while the store answers. Designed for outages of up to 9 s,
        during which peers can lend only as fast as their limits grow.
    :param borrow_ahead_s: seconds of its demand that a router that does not hold an
        account borrows if that is more than a request lacks. Each loan costs messages
        to the lender and to the witnesses; the tokens are lost if all routers are
        killed.
    :param low_share: share of ``hold_s`` below which it borrows ahead.
    :param balance_every_s: interval at which it checks whether to borrow ahead.
    :param min_balance_tokens: smallest loan requested ahead, a few requests' worth;
        less is not worth a datagram and a write at the lender.
    :param loan_ahead_share: largest share of a budget that is lent ahead of requests at
        once. Until the borrower's row records a loan, it counts as used; if all routers
        are killed in this time, it is lost.
    :param startup_s: how long a newly started router draws nothing ahead of requests,
        because it does not know yet how many others there are.
    :param validity_s: how long a row's limits are valid without a further write. Then
        another router may settle the row, and this one uses nothing that it drew. It
        is longer than limits grow during an outage, after which little is left to use.
    :param takeover_every_s: interval at which a router checks for rows to settle.
    :param borrow_timeout_s: how long one request waits for loans from peers.
    """

    spread_rows: bool = False
    write_every_s: float = 0.15
    write_timeout_s: float = 1.0
    wait_s: float = 0.06
    min_retry_s: float = 0.4
    expected_retry_s: float = 2.0
    lead_s: float = 0.3
    stated_lead_s: float = 0.25
    growth_factor: float = 1.2
    growth: Growth = Growth(ramp_s=4.0, max_s=15.0)
    statement_timeout_s: float = 0.02
    demand_s: float = 8.0
    min_draw_tokens: int = 500
    draw_ahead: int = 8
    clock_margin: float = 0.99
    budgets_every_s: float = 1.0
    borrow_timeout_s: float = 0.12
    growth_share_per_s: float = 0.02
    max_growth_share_per_s: float = 0.125
    max_lead_share: float = 0.05
    hold_s: float = 12.0
    borrow_ahead_s: float = 0.2
    low_share: float = 0.6
    balance_every_s: float = 0.5
    min_balance_tokens: int = 4000
    loan_ahead_share: float = 0.002
    startup_s: float = 1.5
    validity_s: float = 20.0
    takeover_every_s: float = 1.0
