"""What sets the pace of a router's budgets."""

from __future__ import annotations

from attrs import field, frozen

from endivegw.budgets.sizing import DemandSize, SizePolicy

__all__ = ["KeeperOptions"]


@frozen
class KeeperOptions:
    """Hold what the keeper's pace is set by.

    :param tick_s: how often the loop looks for work without being woken.
    :param writes_per_s: sustained writes of this router. 370 routers at this
        rate stay inside the several hundred writes that the table carries.
    :param write_burst: writes that may come at once after a quiet time, so that
        the first request of a cold budget does not wait for its draw.
    :param write_gap_s: least time between two writes. What is asked for
        meanwhile goes into one.
    :param table_timeout_s: how long one call of the table may take.
    :param retry_gap_s: pause before a write without an answer is tried again.
    :param wait_s: how long a request waits at most: near the end of a budget
        for reservations in flight, otherwise for the table or a peer.
    :param bill_flush_s: bill lines wait no longer than this for their write.
    :param peer_timeout_s: how long one ask of a peer may take.
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
