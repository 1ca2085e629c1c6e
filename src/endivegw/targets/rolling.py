"""Roll a new version over the targets of a model, within spare capacity.

Pure: it is asked again and again with fresh figures, and names the next steps
only. Each decision here is for a change of version in working hours: the
harm it prevents is refusing callers, or answering them late, because engines
were taken out that were needed.
"""

from __future__ import annotations

import enum
from typing import Iterable

from attrs import frozen

from endivegw.exceptions import InvariantError
from endivegw.types import AvailabilityZone, TargetName

__all__ = ["RollAction", "RollPolicy", "RollStep", "RollTarget", "next_steps"]


class RollAction(enum.Enum):
    """What to do next with one target."""

    DRAIN = "drain"
    EXCHANGE = "exchange"
    RESUME = "resume"


@frozen
class RollTarget:
    """Hold what is known of one target in the roll.

    :param slots: how much it can run at once.
    :param in_use: slots taken, and work that waits.
    :param serving: whether it takes new work now.
    :param reachable: False where its sidecar is silent.
    :param has_new: whether its engine has the new version loaded.
    """

    target: TargetName
    availability_zone: AvailabilityZone
    slots: int
    in_use: int
    serving: bool
    reachable: bool
    has_new: bool


@frozen
class RollPolicy:
    """Hold the limits of a roll.

    :param headroom: spare capacity that stays beside what is in use. Demand
        rises while an engine is out for minutes, and a full batch is slow.
    :param at_once: how many may be out together, at most; the weight store
        loads no more at a time, so that more would only wait outside.
    """

    headroom: float = 0.2
    at_once: int = 2


@frozen
class RollStep:
    """Name the next thing to do with one target."""

    target: TargetName
    action: RollAction


def next_steps(
    targets: Iterable[RollTarget], policy: RollPolicy
) -> tuple[RollStep, ...]:
    """Return what to do now; empty while the roll waits or is over."""
    known = sorted(targets, key=lambda one: one.target)
    steps = [step for one in known if (step := _forward(one)) is not None]
    out = sum(1 for one in known if _is_out(one))
    needed = _needed_slots(known, policy)
    serving = sum(one.slots for one in known if _gives_capacity(one))
    for one in _drain_order(known):
        if out >= policy.at_once:
            break
        # A target that does not fit is passed over: a smaller one may fit.
        if serving - one.slots < needed:
            continue
        serving -= one.slots
        out += 1
        steps.append(RollStep(one.target, RollAction.DRAIN))
    _check_capacity(serving, needed, steps)
    return tuple(steps)


def _gives_capacity(one: RollTarget) -> bool:
    # A silent target may be dead. Counted as capacity, it would let the roll
    # take out the ones that carry the load.
    return one.serving and one.reachable


def _is_out(one: RollTarget) -> bool:
    return not one.serving


def _forward(one: RollTarget) -> RollStep | None:
    """Return the next step of a target that is already out of service."""
    if one.serving or not one.reachable:
        return None
    if one.has_new:
        return RollStep(one.target, RollAction.RESUME)
    if one.in_use == 0:
        return RollStep(one.target, RollAction.EXCHANGE)
    # Its running answers end first: an exchange would cut them off.
    return None


def _needed_slots(known: list[RollTarget], policy: RollPolicy) -> float:
    return sum(one.in_use for one in known) * (1 + policy.headroom)


def _drain_order(known: list[RollTarget]) -> list[RollTarget]:
    """Return who may go out next: from the zone with most capacity, least busy.

    Taking the next one from the richest zone keeps the zones even, so that a
    zone's failure during the roll costs no more than at other times.
    """
    zone_slots: dict[AvailabilityZone, int] = {}
    for one in known:
        if _gives_capacity(one):
            zone = one.availability_zone
            zone_slots[zone] = zone_slots.get(zone, 0) + one.slots
    old = [one for one in known if _gives_capacity(one) and not one.has_new]
    return sorted(old, key=lambda one: (-zone_slots[one.availability_zone], one.in_use))


def _check_capacity(serving: int, needed: float, steps: list[RollStep]) -> None:
    drains = any(step.action is RollAction.DRAIN for step in steps)
    if drains and serving < needed:
        raise InvariantError(f"the roll would leave {serving} of {needed} slots")
