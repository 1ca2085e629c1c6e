"""Take work away from sick targets, a little at a time, and give it back slowly.

What goes wrong: a target becomes slow, or fails each request within
milliseconds and so looks like the emptiest of all and draws the whole fleet's
work. One notices it by answers that take longer than those of its peers, first
tokens that stay out, and attempts that fail. Each router judges by its own
work alone, so no message can be lost and no two routers need to agree.
"""

from __future__ import annotations

import math

from endivegw.decisions.estimates import Estimates
from endivegw.decisions.policy import Policy
from endivegw.decisions.pool import Pool
from endivegw.decisions.target_state import TargetState
from endivegw.decisions.work import AttemptKind

__all__ = ["desired_weight", "judge_end", "judge_report", "judge_speed", "sweep"]

#: Weight of one attempt in the moving share of failures: one failure alone
#: sheds little, five in a row most.
_ERROR_STEP = 0.2

#: Weight of one answer in a target's slowness.
_SLOWNESS_STEP = 0.15

#: A first token that is out this many times longer than expected counts as a
#: sign of slowness before it arrives; some variation of queues lies below it.
_OVERDUE_FACTOR = 4.0
_OVERDUE_FLOOR_S = 0.5

#: A reported time per token counts from this multiple of the peers' on; below
#: it lie batches that are just filling or emptying.
_REPORT_FACTOR = 1.5

#: An answer that is out this many times longer than expected counts likewise;
#: lengths of answers vary much more than first tokens do.
_OVERDUE_END_FACTOR = 3.0

#: No sample moves slowness further than this, so that one long pause of a
#: virtual machine doesn't look like a target that is fifty times slower.
_MOST_SLOW = 16.0


def judge_end(state: TargetState, kind: AttemptKind) -> None:
    """Learn from how an attempt ended.

    A refusal without running is half a failure: a target that refuses all is
    useless, but one refusal is how a full or draining target speaks.
    """
    match kind:
        case AttemptKind.OK:
            bad = 0.0
        case AttemptKind.REFUSED:
            bad = 0.5
        case AttemptKind.FAILED:
            bad = 1.0
        case AttemptKind.CANCELLED:
            return
    state.errors += _ERROR_STEP * (bad - state.errors)


def judge_speed(state: TargetState, ratio: float) -> None:
    """Learn from a time as a multiple of what the peers take."""
    ratio = min(_MOST_SLOW, max(1.0 / _MOST_SLOW, ratio))
    log = math.log(state.slowness)
    log += _SLOWNESS_STEP * (math.log(ratio) - log)
    state.slowness = math.exp(log)


def judge_report(state: TargetState, pool: Pool, ratio: float) -> None:
    """Learn from a reported time per token as a multiple of the measured one."""
    relative = ratio / max(0.1, pool.peer_ratio.mean)
    if relative > _REPORT_FACTOR or state.slowness > _REPORT_FACTOR:
        judge_speed(state, relative)
        return
    pool.peer_ratio.add(ratio)


def desired_weight(state: TargetState, policy: Policy) -> float:
    """Return the share of its slots that a target should keep.

    A target that takes twice the time makes half the work, and each piece of
    it is late; the square takes both into account. Failures weigh by the
    fourth power: at one failure in five, less than half is left.
    """
    weight = (1.0 - state.errors) ** 4
    if state.slowness > policy.slow_factor:
        weight /= (state.slowness / policy.slow_factor) ** 2
    return max(policy.min_weight, weight)


def _overdue(state: TargetState, now_s: float) -> None:
    """Learn from answers that stay out, before they end."""
    oldest = next(iter(state.unread.values()), None)
    if oldest is not None:
        waited_s = now_s - oldest.placed_s
        if waited_s > _OVERDUE_FACTOR * oldest.expected_s + _OVERDUE_FLOOR_S:
            judge_speed(state, waited_s / (oldest.expected_s + _OVERDUE_FLOOR_S))
            return
    oldest = next(iter(state.own.values()), None)
    if oldest is not None:
        waited_s = now_s - oldest.placed_s
        if waited_s > _OVERDUE_END_FACTOR * oldest.finish_s + _OVERDUE_FLOOR_S:
            judge_speed(state, waited_s / (oldest.finish_s + _OVERDUE_FLOOR_S))


def sweep(pool: Pool, estimates: Estimates, policy: Policy, now_s: float) -> None:
    """Move each member's weight one step towards what it should be.

    Steps down are geometric and steps up are small and equal: a target that
    came back is empty and looks best to every router at once, and would be
    overrun by all of them. Probes go on at the least weight, or it would never
    be seen to be well again.
    """
    members = pool.members
    if not members:
        return
    eldest_s = now_s - policy.stale_report_s
    reported = [
        state.reported_others
        for state in members
        if state.believed and state.reported_s is not None
        if state.reported_s >= eldest_s
    ]
    if reported:
        pool.mean_others = sum(reported) / len(reported)
    for state in members:
        _overdue(state, now_s)
        state.age(pool.mean_others, estimates.held_s_of_all.mean, now_s)
    wanted = [desired_weight(state, policy) for state in members]
    missing = sum(1.0 - weight for weight in wanted)
    allowed = policy.max_shed_share * len(members)
    scale = min(1.0, allowed / missing) if missing > 0.0 else 1.0
    for state, weight in zip(members, wanted):
        target = 1.0 - (1.0 - weight) * scale
        if target < state.weight:
            state.weight = max(target, state.weight * policy.shed_step)
        else:
            state.weight = min(target, state.weight + policy.recover_step)
        if state.weight < 0.5 and state.next_probe_s <= now_s:
            if state not in pool.probe_due:
                pool.probe_due.append(state)
