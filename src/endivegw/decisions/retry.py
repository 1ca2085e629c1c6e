"""Retries and hedges, limited to a share of traffic and by the deadline."""

from __future__ import annotations

import random

from attrs import frozen

from endivegw.results import Reason, Refused

__all__ = ["RetryBudget", "RetryPolicy", "backoff_s"]


@frozen
class RetryPolicy:
    """Hold the limits of retries.

    :param share: retries and hedges per first attempt. In an overload each failed
        attempt asks for another one; a tenth lets single failures be retried and adds
        no more than a tenth to the load that caused them.
    :param burst: retries allowed beyond the share, so that a router with little traffic
        can retry its first failure.
    :param base_s: upper bound of the first wait, whose mean is half of it.
    :param cap_s: upper bound of any wait.
    """

    share: float = 0.1
    burst: float = 10.0
    base_s: float = 0.05
    cap_s: float = 2.0


class RetryBudget:
    """Limit retries and hedges to a share of first attempts.

    If a target or a rack fails, many attempts fail at once and each asks for another
    one. Without this limit the retries would keep the surviving targets overloaded
    after the cause is removed: the number of attempts grows while the number of answers
    does not.
    """

    def __init__(self, policy: RetryPolicy = RetryPolicy()) -> None:
        self._policy = policy
        self._tokens = policy.burst

    def first_attempt(self, now_s: float) -> None:
        """Credit the share of one first attempt."""
        self._tokens = min(self._policy.burst, self._tokens + self._policy.share)

    @property
    def exhausted(self) -> bool:
        """Return whether no retry is left at present."""
        return self._tokens < 1.0

    def may_retry(self, now_s: float) -> bool | Refused:
        """Spend one retry, or return a refusal if the budget is used up."""
        if self.exhausted:
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
    """Return the wait before a retry, or None if the retry would be late.

    The wait is drawn uniformly from zero to an exponentially growing bound (full
    jitter), so that attempts that failed together are not retried together.

    :param attempt: 1 for the first retry.
    :param service_s: expected time of the retry.
    """
    max_wait_s = min(policy.cap_s, policy.base_s * 2.0 ** (attempt - 1))
    wait_s = rng.uniform(0.0, max_wait_s)
    if now_s + service_s > deadline_s:
        return None
    return min(wait_s, deadline_s - service_s - now_s)
