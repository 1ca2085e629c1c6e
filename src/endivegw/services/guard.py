"""Make calls with a timeout, safe retries, a circuit breaker and a rate limit."""

from __future__ import annotations

import random
from typing import Awaitable, Callable, TypeVar

import anyio
from attrs import define, field, frozen

from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.services.circuit import CircuitBreaker, Rejected
from endivegw.services.rate_cap import RateLimiter
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue.platform import CIRCUIT_CLOSED, CIRCUIT_OPENED

__all__ = ["Guard", "RetrySettings"]

T = TypeVar("T")

#: Reasons that count as failures of the service. A conflict or a missing row is a
#: regular response and does not count.
_FAILURES = frozenset({Reason.UNREACHABLE, Reason.TIMEOUT, Reason.ANSWER_LOST})

#: Reasons of refusals that may be retried: the call had no effect, and a further
#: attempt may succeed.
_RETRYABLE = frozenset({Reason.UNREACHABLE, Reason.THROTTLED})


@frozen
class RetrySettings:
    """Configure how often and how soon a call is retried.

    :param max_attempts: first attempt and retries together. Three are enough to
        outlast the restart of a machine; more would multiply the load on a failing
        service.
    :param first_wait_s: upper limit of the first delay, which doubles with each
        retry. Each delay is drawn between zero and its limit, so that callers do
        not retry in step.
    """

    max_attempts: int = 3
    first_wait_s: float = 0.1


@define
class Guard:
    """Guard all calls of one kind to one service.

    Only refusals are retried, because a refused call had no effect. A write with
    an unknown outcome is reported to the caller, which knows the id to read back;
    retrying such a write blindly could apply it twice.
    """

    service: str
    circuit: CircuitBreaker
    rate_limiter: RateLimiter
    retries: RetrySettings = RetrySettings()
    _random: random.Random = field(factory=lambda: random.Random(), repr=False)
    _log: EventLog = field(factory=lambda: EventLog("platform"), repr=False)

    async def call(
        self,
        attempt: Callable[[float], Awaitable[Result[T]]],
        *,
        timeout_s: float,
        changes: bool,
    ) -> Result[T]:
        """Return the outcome of a call within ``timeout_s`` in every case.

        :param attempt: makes one call within the number of seconds that it receives.
        :param changes: whether the call may modify data.
        """
        deadline_s = anyio.current_time() + timeout_s
        result: Result[T] = Refused(Reason.TIMEOUT, "no attempt was made in time")
        for number in range(self.retries.max_attempts):
            refused = await self._wait_for_admission(deadline_s)
            if refused is not None:
                return result if number else refused
            result = await self._attempt_once(attempt, deadline_s, changes)
            if not self._is_retryable(result):
                return result
            if number + 1 == self.retries.max_attempts:
                return result
            wait_s = self._retry_wait_s(number, result)
            if anyio.current_time() + wait_s >= deadline_s:
                return result
            await anyio.sleep(wait_s)
        return result

    async def _wait_for_admission(self, deadline_s: float) -> Refused | None:
        now_s = anyio.current_time()
        match self.circuit.admit(now_s):
            case Rejected(retry_after_s):
                detail = f"circuit open: the {self.service} does not respond"
                return Refused(Reason.CIRCUIT_OPEN, detail, retry_after_s)
        wait_s = self.rate_limiter.wait_s(now_s, max(0.0, deadline_s - now_s))
        if wait_s is None:
            self.circuit.record_withdrawal(now_s)
            detail = (
                f"{self.service} calls exceed this daemon's limit of"
                f" {self.rate_limiter.per_s:g} per second"
            )
            return Refused(Reason.THROTTLED, detail, 1.0 / self.rate_limiter.per_s)
        if wait_s > 0:
            await anyio.sleep(wait_s)
        return None

    async def _attempt_once(
        self,
        attempt: Callable[[float], Awaitable[Result[T]]],
        deadline_s: float,
        changes: bool,
    ) -> Result[T]:
        remaining_s = max(0.0, deadline_s - anyio.current_time())
        result: Result[T] | None = None
        try:
            with anyio.move_on_after(remaining_s):
                result = await attempt(remaining_s)
        except anyio.get_cancelled_exc_class():
            # Cancelled by the caller, so nothing is known about the service.
            self.circuit.record_withdrawal(anyio.current_time())
            raise
        if result is None:
            # The adapter exceeded its timeout. It is not known here whether a
            # write was sent.
            detail = f"no response from the {self.service} within {remaining_s:.3g} s"
            result = (
                Unknown(Reason.TIMEOUT, detail)
                if changes
                else Refused(Reason.TIMEOUT, detail)
            )
        self._record(result)
        return result

    def _record(self, result: Result[T]) -> None:
        now_s = anyio.current_time()
        match result:
            case Refused(reason) | Unknown(reason) if reason in _FAILURES:
                if self.circuit.record_failure(now_s):
                    self._log.emit(
                        CIRCUIT_OPENED, service=self.service, reason=reason.value
                    )
            case Done() | Refused() | Unknown():
                if self.circuit.record_success(now_s):
                    self._log.emit(CIRCUIT_CLOSED, service=self.service)

    def _is_retryable(self, result: Result[T]) -> bool:
        return isinstance(result, Refused) and result.reason in _RETRYABLE

    def _retry_wait_s(self, number: int, result: Result[T]) -> float:
        wait_s = self._random.uniform(0, self.retries.first_wait_s * 2**number)
        if isinstance(result, Refused) and result.retry_after_s is not None:
            return max(wait_s, result.retry_after_s)
        return wait_s
