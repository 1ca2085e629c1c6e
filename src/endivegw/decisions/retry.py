"""Retries and hedges: a share of traffic, spread in time, inside the deadline."""

from __future__ import annotations

import random

from attrs import frozen

from endivegw.results import Reason, Refused

__all__ = ["RetryBudget", "RetryPolicy", "backoff_s"]


@frozen
class RetryPolicy:
    """Hold the limits of retries.

    :param share: retries and hedges per first attempt. In an overload each
        failed attempt asks for another one; a tenth lets single failures be
        mended and adds no more than a tenth to the load that caused them.
    :param burst: retries allowed on top of the share, so that the first
        failure of a quiet router can be retried at all.
    :param base_s: the mean of the first wait is half of this.
    :param cap_s: no wait is longer than this.
    """

    share: float = 0.1
    burst: float = 10.0
    base_s: float = 0.05
    cap_s: float = 2.0


class RetryBudget:
    """Allow retries and hedges as a share of first attempts.

    Where a target or a rack dies, many attempts fail at once and each asks for
    another one. Without this bound the retries keep the surviving targets
    overloaded after the cause has gone, which shows as attempts growing while
    answers do not.
    """

    def __init__(self, policy: RetryPolicy = RetryPolicy()) -> None:
        self._policy = policy
        self._tokens = policy.burst

    def first_attempt(self, now_s: float) -> None:
        """Earn the share of one first attempt."""
        self._tokens = min(self._policy.burst, self._tokens + self._policy.share)

    def may_retry(self, now_s: float) -> bool | Refused:
        """Spend one retry; refused where the share is used up."""
        if self._tokens < 1.0:
            return Refused(Reason.OVERLOADED, "the retry budget is used up")
        self._tokens -= 1.0
        return True


def backoff_s(
    policy: RetryPolicy,
    attempt: int,
    now_s: float,
    deadline_s: float,
    service_s: float,
    rng: random.Random,
) -> float | None:
    """Return how long to wait before a retry, None where it would be late.

    The wait is drawn evenly from zero to an exponentially growing bound (full
    jitter), so that attempts which failed together do not return together.

    :param attempt: 1 for the first retry.
    :param service_s: how long the retry is expected to take.
    """
    ceiling_s = min(policy.cap_s, policy.base_s * 2.0 ** (attempt - 1))
    wait_s = rng.uniform(0.0, ceiling_s)
    if now_s + service_s > deadline_s:
        return None
    return min(wait_s, deadline_s - service_s - now_s)
