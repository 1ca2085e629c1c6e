"""Admit work only if it can end in time, and say when to come back.

The load it is made for is an overload of minutes. Work that is admitted and
ends late has used a slot, and its caller asks again; with enough of it no work
ends in time although all slots are busy. Refusing at once costs nothing and
tells the caller while it still has time to act.
"""

from __future__ import annotations

from endivegw.decisions.policy import Policy
from endivegw.decisions.work import WorkItem
from endivegw.results import Reason, Refused

__all__ = ["excess_s", "overloaded", "too_short"]


def too_short(item: WorkItem, finish_s: float, now_s: float) -> Refused:
    """Refuse work whose deadline is too short even without any wait."""
    left_s = item.deadline_s - now_s
    detail = f"takes about {finish_s:.1f} s, the deadline leaves {left_s:.1f} s"
    return Refused(Reason.DEADLINE, detail)


def overloaded(wait_s: float, held_s: float, retry_s: float) -> Refused:
    """Refuse work that would end after its deadline for the wait before it.

    :param retry_s: when the caller should come back.
    """
    detail = f"would wait {wait_s:.1f} s and take {held_s:.1f} s"
    return Refused(Reason.OVERLOADED, detail, retry_s)


def excess_s(
    item: WorkItem, wait_s: float, held_s: float, policy: Policy, now_s: float
) -> float | None:
    """Return by how much queued work would miss its deadline, 0 where it won't.

    :param wait_s: how long it would wait for a slot.
    :param held_s: how long it would then take.
    :returns: None where it would miss it without any wait.
    """
    left_s = item.deadline_s - now_s
    needed_s = held_s * policy.queue_margin
    if needed_s > left_s:
        return None
    return max(0.0, wait_s * policy.wait_margin + needed_s - left_s)
