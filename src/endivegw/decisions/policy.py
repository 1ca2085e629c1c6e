"""The numbers that decisions under load turn on, each with its reason."""

from __future__ import annotations

from attrs import frozen

__all__ = ["Policy"]


@frozen
class Policy:
    """Hold the limits of admission, queueing and placement.

    :param queue_items: bound of the router's queue; it keeps memory and the
        time that queued callers wait in vain from growing in an overload.
    :param choices: targets compared for one placement. Two take the peak off
        the load of the fullest target; many would all pick the same emptiest
        one while reports lag.
    :param overfill: work beyond a target's slots, as a share of them. A little
        keeps a continuous batch full while a report is on its way; more only
        moves the queue to where nothing can be placed anew.
    """

    queue_items: int = 512
    choices: int = 2
    overfill: float = 0.0
