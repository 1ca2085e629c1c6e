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

__all__ = ["refuse", "too_short"]


def too_short(item: WorkItem, finish_s: float, now_s: float) -> Refused:
    """Refuse work whose deadline is too short even without any wait."""
    left_s = item.deadline_s - now_s
    detail = f"takes about {finish_s:.1f} s, the deadline leaves {left_s:.1f} s"
    return Refused(Reason.DEADLINE, detail)


def refuse(
    item: WorkItem, wait_s: float, held_s: float, policy: Policy, now_s: float
) -> Refused | None:
    """Return a refusal where queued work would end after its deadline.

    :param wait_s: how long it would wait for a slot.
    :param held_s: how long it would then take.
    """
    left_s = item.deadline_s - now_s
    needed_s = held_s * policy.queue_margin
    if needed_s > left_s:
        return too_short(item, held_s, now_s)
    excess_s = wait_s * policy.wait_margin + needed_s - left_s
    if excess_s <= 0.0:
        return None
    detail = f"would wait {wait_s:.1f} s and take {held_s:.1f} s"
    return Refused(Reason.OVERLOADED, detail, excess_s)
