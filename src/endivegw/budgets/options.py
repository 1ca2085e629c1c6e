"""Limits and intervals of a router's budget manager."""

from __future__ import annotations

from attrs import field, frozen

from endivegw.budgets.sizing import DemandSize, SizePolicy

__all__ = ["BudgetOptions"]


@frozen
class BudgetOptions:
    """Configure the write rate, timeouts and intervals of the budget manager.

    :param policy: how grant sizes are determined.
    :param tick_s: interval, in seconds, at which the loop checks for due work when
        idle.
    :param writes_per_s: sustained table writes per second of this router. 370 routers
        at this rate stay within the several hundred writes per second that the table
        can carry.
    :param write_burst: number of consecutive writes allowed after an idle period, so
        that the first request of an unused budget does not wait for its draw.
    :param write_gap_s: minimum seconds between two writes. Changes that become due in
        the meantime are combined into one write.
    :param table_timeout_s: timeout of one table call, in seconds.
    :param retry_gap_s: seconds before a write without an answer is retried.
    :param wait_s: maximum seconds that a request waits for tokens: near the end of a
        budget for running reservations to end, otherwise for the table or a peer.
    :param bill_flush_s: maximum seconds that bill lines wait for their write.
    :param peer_timeout_s: timeout of one transfer request to a peer, in seconds.
    """

    policy: SizePolicy = field(factory=DemandSize)
    tick_s: float = 1.0
    writes_per_s: float = 1.0
    write_burst: int = 10
    write_gap_s: float = 0.02
    table_timeout_s: float = 1.0
    retry_gap_s: float = 0.5
    wait_s: float = 4.0
    bill_flush_s: float = 5.0
    peer_timeout_s: float = 0.25
