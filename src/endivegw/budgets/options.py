"""What sets the pace of a router's budgets."""

from __future__ import annotations

from attrs import field, frozen

from endivegw.budgets.sizing import DemandSize, SizePolicy

__all__ = ["KeeperOptions"]


@frozen
class KeeperOptions:
    """Hold what the keeper's pace is set by.

    :param tick_s: how often the loop looks for work without being woken.
    :param write_gap_s: least time between two writes of this router. 370
        routers with one write a second stay inside the several hundred writes
        that the table carries; a request of a cold budget waits up to this long.
    :param table_timeout_s: how long one call of the table may take.
    :param retry_gap_s: pause before a write without an answer is tried again.
    :param wait_s: how long a request waits at most: near the end of a budget
        for reservations in flight, otherwise for the table or a peer.
    :param bill_flush_s: bill lines wait no longer than this for their write.
    :param peer_timeout_s: how long one ask of a peer may take.
    """

    policy: SizePolicy = field(factory=DemandSize)
    tick_s: float = 1.0
    write_gap_s: float = 0.25
    table_timeout_s: float = 1.0
    retry_gap_s: float = 0.5
    wait_s: float = 4.0
    bill_flush_s: float = 5.0
    peer_timeout_s: float = 0.25
