"""Admission control: refuse requests that cannot finish before their deadline.

It is meant for overloads that last minutes. A request that is admitted and finishes
late has used a slot for nothing, and its caller sends it again. With enough such
requests none finishes in time although all slots are busy. A refusal on arrival costs
nothing, and the caller still has time to react.
"""

from __future__ import annotations

from typing import Iterable

from endivegw.decisions.policy import Policy
from endivegw.decisions.work import TargetView, WorkItem
from endivegw.results import Reason, Refused

__all__ = [
    "NO_TARGET_RETRY_S",
    "lateness_s",
    "refuse_overloaded",
    "refuse_short_deadline",
    "refuse_without_target",
    "refuse_without_version",
]

#: Retry time for requests of a model without targets; targets register within it.
NO_TARGET_RETRY_S = 1.0


def refuse_without_target(model: str, views: Iterable[TargetView]) -> Refused:
    """Return the refusal of a request that no target may get.

    :param views: all targets, including those that get no new requests.
    """
    detail = f"no target serves {model}"
    if any(view.evacuated and model in view.models for view in views):
        detail = f"all targets of {model} are in evacuated availability zones"
    return Refused(Reason.NO_TARGET, detail, NO_TARGET_RETRY_S)


def refuse_without_version(item: WorkItem) -> Refused:
    """Return the refusal of a stream whose software version no target runs."""
    detail = (
        f"no target runs software version {item.software_version}, which began the"
        " stream"
    )
    return Refused(Reason.VERSION_UNAVAILABLE, detail, NO_TARGET_RETRY_S)


def refuse_short_deadline(item: WorkItem, finish_s: float, now_s: float) -> Refused:
    """Return the refusal of a request that is late even without queueing."""
    remaining_s = item.deadline_s - now_s
    detail = f"expected to take {finish_s:.1f} s; {remaining_s:.1f} s are left"
    return Refused(Reason.DEADLINE, detail)


def refuse_overloaded(wait_s: float, service_time_s: float, retry_s: float) -> Refused:
    """Return the refusal of a request that queueing would make late.

    :param retry_s: seconds until the caller should retry.
    """
    detail = f"expected to wait {wait_s:.1f} s and to take {service_time_s:.1f} s"
    return Refused(Reason.OVERLOADED, detail, retry_s)


def lateness_s(
    item: WorkItem, wait_s: float, service_time_s: float, policy: Policy, now_s: float
) -> float | None:
    """Return by how much a queued request would miss its deadline.

    :param wait_s: expected time until the request gets a slot.
    :param service_time_s: expected time for which it then holds the slot.
    :returns: 0 if the deadline is met; None if it is missed even without queueing.
    """
    remaining_s = item.deadline_s - now_s
    needed_s = service_time_s * policy.queue_margin
    if needed_s > remaining_s:
        return None
    return max(0.0, wait_s * policy.wait_margin + needed_s - remaining_s)
