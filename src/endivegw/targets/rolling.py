"""Roll out a new version over the targets of a model within spare capacity.

This module does no I/O. It is called repeatedly with current figures and returns only
the next steps. Versions are changed during working hours, so the roll must not take
out engines that are needed: callers would be refused or answered late.
"""

from __future__ import annotations

import enum
from typing import Iterable

from attrs import frozen

from endivegw.exceptions import InvariantError
from endivegw.types import AvailabilityZone, TargetName

__all__ = ["RollAction", "RollPolicy", "RollStep", "RollTarget", "next_steps"]


class RollAction(enum.Enum):
    """Next action for one target."""

    DRAIN = "drain"
    EXCHANGE = "exchange"
    RESUME = "resume"


@frozen
class RollTarget:
    """Hold the state of one target in the roll.

    :param slots: number of requests that the target can run concurrently.
    :param in_use: occupied slots plus queued requests.
    :param serving: whether the target accepts new requests.
    :param reachable: False if its sidecar is unresponsive.
    :param has_new_version: whether its engine has loaded the new version.
    """

    target: TargetName
    availability_zone: AvailabilityZone
    slots: int
    in_use: int
    serving: bool
    reachable: bool
    has_new_version: bool


@frozen
class RollPolicy:
    """Hold the limits of a roll.

    :param headroom: spare capacity to retain, as a share of the slots in use. Demand
        may rise while an engine is out of service for minutes, and full batches are
        slow.
    :param max_out_of_service: maximum number of targets that are out of service at a
        time. The weight store serves no more loads concurrently, so further targets
        would only wait out of service.
    """

    headroom: float = 0.2
    max_out_of_service: int = 2


@frozen
class RollStep:
    """Hold the next action for one target."""

    target: TargetName
    action: RollAction


def next_steps(
    targets: Iterable[RollTarget], policy: RollPolicy
) -> tuple[RollStep, ...]:
    """Return the next steps; empty while the roll waits or is complete."""
    ordered = sorted(targets, key=lambda entry: entry.target)
    steps = [step for entry in ordered if (step := _next_step(entry)) is not None]
    out = sum(1 for entry in ordered if _is_out_of_service(entry))
    needed = _needed_slots(ordered, policy)
    serving = sum(entry.slots for entry in ordered if _counts_as_capacity(entry))
    for entry in _drain_candidates(ordered):
        if out >= policy.max_out_of_service:
            break
        # A target whose capacity is needed is skipped: a smaller one may not be needed.
        if serving - entry.slots < needed:
            continue
        serving -= entry.slots
        out += 1
        steps.append(RollStep(entry.target, RollAction.DRAIN))
    _check_capacity(serving, needed, steps)
    return tuple(steps)


def _counts_as_capacity(entry: RollTarget) -> bool:
    # An unresponsive target may be dead. Counted as capacity, it would let the roll
    # take out the targets that carry the load.
    return entry.serving and entry.reachable


def _is_out_of_service(entry: RollTarget) -> bool:
    return not entry.serving


def _next_step(entry: RollTarget) -> RollStep | None:
    """Return the next step of a target that is already out of service, if any."""
    if entry.serving or not entry.reachable:
        return None
    if entry.has_new_version:
        return RollStep(entry.target, RollAction.RESUME)
    if entry.in_use == 0:
        return RollStep(entry.target, RollAction.EXCHANGE)
    # Answers in progress must end first: an exchange would truncate them.
    return None


def _needed_slots(ordered: list[RollTarget], policy: RollPolicy) -> float:
    return sum(entry.in_use for entry in ordered) * (1 + policy.headroom)


def _drain_candidates(ordered: list[RollTarget]) -> list[RollTarget]:
    """Return the targets in the order in which they may be drained.

    Targets in the availability zone with the most capacity come first, the least busy
    ones among them before the others. This keeps the zones balanced, so that the
    failure of a zone during the roll costs no more than at other times.
    """
    zone_slots: dict[AvailabilityZone, int] = {}
    for entry in ordered:
        if _counts_as_capacity(entry):
            zone = entry.availability_zone
            zone_slots[zone] = zone_slots.get(zone, 0) + entry.slots
    candidates = [
        entry
        for entry in ordered
        if _counts_as_capacity(entry) and not entry.has_new_version
    ]
    return sorted(
        candidates,
        key=lambda entry: (-zone_slots[entry.availability_zone], entry.in_use),
    )


def _check_capacity(serving: int, needed: float, steps: list[RollStep]) -> None:
    drains = any(step.action is RollAction.DRAIN for step in steps)
    if drains and serving < needed:
        raise InvariantError(f"the roll would leave {serving} slots of {needed} needed")
