"""Demand for permits of targets that limit their requests, and its queue.

While all targets of a model limit their requests, callers are served at the rate that
these targets accept together. More requests than permits can be expected are refused
at once, each with another time to retry, because a queue would only grow until its
requests are late.
"""

from __future__ import annotations

import math
import random

from endivegw.decisions.availability import is_backing_off
from endivegw.decisions.policy import Policy
from endivegw.decisions.pool import Pool
from endivegw.decisions.send_permits import PermitRequest
from endivegw.decisions.target_state import TargetState

__all__ = ["held_permits", "permit_requests", "queue_capacity", "schedule_retry_s"]

#: Maximum number of targets that are asked for permits at once, and of permits asked of
#: one. They bound the messages for one model, however many targets have limits.
_MAX_TARGETS = 4
_MAX_PERMITS = 16

#: Time over which the retries of refused callers are spread.
_MAX_RETRY_SPREAD_S = 4.0


def queue_capacity(pool: Pool, policy: Policy, now_s: float) -> int | None:
    """Return how many requests may wait for permits.

    :returns: None if a target accepts requests without permits.
    """
    if not pool.limited:
        return None
    capacity = 0
    for state in pool.members:
        if is_backing_off(state, now_s):
            continue
        if state.limit_at(now_s) is None:
            return None
        permits = state.permits
        expected = permits.held(now_s) + permits.requested - state.unsent()
        if expected <= 0 and state.send_wait_s(now_s) <= policy.max_backoff_wait_s:
            expected = 1
        capacity += max(0, expected)
    return capacity


def held_permits(pool: Pool, now_s: float) -> int:
    """Return the number of permits for requests that are not placed yet."""
    return sum(
        max(0, state.permits.held(now_s) - state.unsent()) for state in pool.limited
    )


def permit_requests(
    pool: Pool, rng: random.Random, now_s: float
) -> list[PermitRequest]:
    """Return the permits to ask for, for queued requests or for the next one."""
    wanted = max(len(pool.queue), int(pool.permits_wanted))
    pool.permits_wanted = False
    candidates = [state for state in pool.limited if _may_request(state, now_s)]
    if not wanted or not candidates:
        return []
    chosen = rng.sample(candidates, min(_MAX_TARGETS, len(candidates)))
    portion = min(_MAX_PERMITS, math.ceil(wanted / len(chosen)))
    requests = []
    for state in chosen:
        limit = state.limit_at(now_s)
        missing = portion - state.permits.held(now_s) + state.unsent()
        if limit is None or missing <= 0:
            continue
        state.permits.requested = missing
        view = state.view
        requests.append(PermitRequest(view.target, view.started_ms, limit, missing))
    return requests


def schedule_retry_s(pool: Pool, wait_s: float, now_s: float) -> float:
    """Return the time after which a caller refused for lack of permits should retry.

    Each caller gets a time after those given before, at the rate of this router's part
    of the limits. Callers who wait do not get precedence, so later times than a few
    seconds would only make them wait longer.
    """
    limits = (state.limit_at(now_s) for state in pool.limited)
    part_per_s = sum(limit.part_per_s for limit in limits if limit is not None)
    earliest_s = max(pool.limit_retries_until_s, now_s + wait_s)
    if earliest_s > now_s + wait_s + _MAX_RETRY_SPREAD_S:
        earliest_s = now_s + wait_s
    interval_s = 1.0 / part_per_s if part_per_s > 0.0 else 0.0
    pool.limit_retries_until_s = earliest_s + min(interval_s, _MAX_RETRY_SPREAD_S)
    return pool.limit_retries_until_s - now_s


def _may_request(state: TargetState, now_s: float) -> bool:
    if state.limit_at(now_s) is None or is_backing_off(state, now_s):
        return False
    return state.permits.may_request(now_s)
