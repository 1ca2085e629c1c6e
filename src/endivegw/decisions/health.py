"""Health of targets: shed load from unhealthy ones and restore it gradually.

A target may become slow, or it may fail each request within milliseconds; the latter
looks like the least loaded target and attracts the requests of the whole fleet. Both
show as answers that take longer than the peers', as overdue first tokens and as failed
attempts. Each router judges by its own requests alone, so no message can be lost and
routers need not agree.
"""

from __future__ import annotations

import math

from endivegw.decisions.estimates import Estimates
from endivegw.decisions.policy import Policy
from endivegw.decisions.pool import Pool
from endivegw.decisions.target_state import TargetState
from endivegw.decisions.work import AttemptKind

__all__ = [
    "desired_weight",
    "record_attempt_end",
    "record_reported_speed",
    "record_speed",
    "sweep",
]

#: Weight of one attempt in the moving share of failures: a single failure sheds little
#: load, five in a row shed most of it.
_ERROR_STEP = 0.2

#: Weight of one answer in the moving average of a target's slowness.
_SLOWNESS_STEP = 0.15

#: A first token overdue by this factor counts as slowness before it arrives; ordinary
#: variation of queueing stays below it.
_OVERDUE_FACTOR = 4.0
_OVERDUE_FLOOR_S = 0.5

#: A reported time per token counts as slowness above this multiple of the peers' time;
#: batches that are filling or emptying stay below it.
_REPORT_FACTOR = 1.5

#: An unfinished answer overdue by this factor counts as slowness as well; lengths of
#: answers vary much more than times to the first token.
_OVERDUE_END_FACTOR = 3.0

#: Limit on a single sample of slowness, so that one long pause of a virtual machine
#: does not look like a target that is fifty times slower.
_MAX_SLOWNESS = 16.0


def record_attempt_end(state: TargetState, kind: AttemptKind) -> None:
    """Update a target's error share with the end of an attempt.

    A refusal without execution counts as half a failure: a target that refuses all
    requests is useless, but a full or draining target refuses some in normal operation.
    """
    match kind:
        case AttemptKind.OK:
            failure = 0.0
        case AttemptKind.REFUSED:
            failure = 0.5
        case AttemptKind.FAILED:
            failure = 1.0
        case AttemptKind.CANCELLED:
            return
    state.errors += _ERROR_STEP * (failure - state.errors)


def record_speed(state: TargetState, ratio: float) -> None:
    """Update a target's slowness with a time as a multiple of its peers' time."""
    ratio = min(_MAX_SLOWNESS, max(1.0 / _MAX_SLOWNESS, ratio))
    log = math.log(state.slowness)
    log += _SLOWNESS_STEP * (math.log(ratio) - log)
    state.slowness = math.exp(log)


def record_reported_speed(state: TargetState, pool: Pool, ratio: float) -> None:
    """Update slowness with a reported time per token over the measured one."""
    relative = ratio / max(0.1, pool.peer_ratio.mean)
    if relative > _REPORT_FACTOR or state.slowness > _REPORT_FACTOR:
        record_speed(state, relative)
        return
    pool.peer_ratio.add(ratio)


def desired_weight(state: TargetState, policy: Policy) -> float:
    """Return the share of its slots that a target should keep.

    A target that takes twice the time does half the work, and each request there is
    late; the square covers both effects. Failures count with the fourth power: at one
    failure in five, less than half of the slots are left.
    """
    weight = (1.0 - state.errors) ** 4
    if state.slowness > policy.slow_factor:
        weight /= (state.slowness / policy.slow_factor) ** 2
    return max(policy.min_weight, weight)


def _record_overdue(state: TargetState, now_s: float) -> None:
    """Update slowness with answers that are overdue, before they end."""
    oldest = next(iter(state.unread.values()), None)
    if oldest is not None:
        waited_s = now_s - oldest.placed_s
        if waited_s > _OVERDUE_FACTOR * oldest.expected_first_s + _OVERDUE_FLOOR_S:
            record_speed(state, waited_s / (oldest.expected_first_s + _OVERDUE_FLOOR_S))
            return
    oldest = next(iter(state.local_attempts.values()), None)
    if oldest is not None:
        waited_s = now_s - oldest.placed_s
        if waited_s > _OVERDUE_END_FACTOR * oldest.finish_s + _OVERDUE_FLOOR_S:
            record_speed(state, waited_s / (oldest.finish_s + _OVERDUE_FLOOR_S))


def sweep(pool: Pool, estimates: Estimates, policy: Policy, now_s: float) -> None:
    """Move each member's weight one step towards its desired weight.

    Steps down are geometric, steps up are small and of equal size. A target that
    recovered is empty and looks best to every router at once, and would be overloaded
    by all of them. Probes continue at the minimum weight, without which no router would
    notice a recovery.
    """
    members = pool.members
    if not members:
        return
    oldest_s = now_s - policy.stale_report_s
    reported = [
        state.reported_remote_work
        for state in members
        if state.trusted and state.reported_s is not None
        if state.reported_s >= oldest_s
    ]
    if reported:
        pool.mean_remote_work = sum(reported) / len(reported)
    for state in members:
        _record_overdue(state, now_s)
        state.decay_report(
            pool.mean_remote_work, estimates.overall_service_time_s.mean, now_s
        )
    weights = [desired_weight(state, policy) for state in members]
    total_shed = sum(1.0 - weight for weight in weights)
    max_shed = policy.max_shed_share * len(members)
    scale = min(1.0, max_shed / total_shed) if total_shed > 0.0 else 1.0
    for state, weight in zip(members, weights):
        goal = 1.0 - (1.0 - weight) * scale
        if goal < state.weight:
            state.weight = max(goal, state.weight * policy.shed_step)
        else:
            state.weight = min(goal, state.weight + policy.recover_step)
        if state.weight < 0.5 and state.next_probe_s <= now_s:
            if state not in pool.probe_due:
                pool.probe_due.append(state)
