"""Carry out a call with a timeout, safe retries, a circuit and a rate cap."""

from __future__ import annotations

import random
from typing import Awaitable, Callable, TypeVar

import anyio
from attrs import define, field, frozen

from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.services.circuit import Circuit, Held
from endivegw.services.rate_cap import RateCap
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue.platform import CIRCUIT_CLOSED, CIRCUIT_OPENED

__all__ = ["Guard", "RetrySettings"]

T = TypeVar("T")

#: Reasons that say that the service did not answer as it should. A conflict
#: or a missing row is an answer.
_NO_ANSWER = frozenset({Reason.UNREACHABLE, Reason.TIMEOUT, Reason.ANSWER_LOST})

#: Refusals of which the call provably had no effect, and a new try may help.
_SAFE_AGAIN = frozenset({Reason.UNREACHABLE, Reason.THROTTLED})


@frozen
class RetrySettings:
    """Hold how often and how soon a call is tried again.

    :param tries: in all. Three get past a machine that restarts; more would
        multiply the load on a service that is failing.
    :param first_wait_s: upper end of the first wait; it doubles, and each is
        drawn between zero and the end so that callers spread out.
    """

    tries: int = 3
    first_wait_s: float = 0.1


@define
class Guard:
    """Guard all calls of one kind to one service.

    Only a refusal is tried again, for a refusal says that nothing took effect.
    A write whose outcome is unknown goes back to the caller, which knows the
    id to read back; a blind repetition would do it twice.
    """

    service: str
    circuit: Circuit
    cap: RateCap
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
        """Return the outcome within ``timeout_s``, whatever the service does.

        :param attempt: makes one call within the seconds that it is given.
        :param changes: whether the call may change something.
        """
        end_s = anyio.current_time() + timeout_s
        result: Result[T] = Refused(Reason.TIMEOUT, "no try was made in time")
        for number in range(self.retries.tries):
            held = await self._wait_for_place(end_s)
            if held is not None:
                return result if number else held
            result = await self._try_once(attempt, end_s, changes)
            if not self._again(result):
                return result
            if number + 1 == self.retries.tries:
                return result
            wait_s = self._retry_wait_s(number, result)
            if anyio.current_time() + wait_s >= end_s:
                return result
            await anyio.sleep(wait_s)
        return result

    async def _wait_for_place(self, end_s: float) -> Refused | None:
        now_s = anyio.current_time()
        match self.circuit.admit(now_s):
            case Held(retry_after_s):
                detail = f"the {self.service} does not answer"
                return Refused(Reason.CIRCUIT_OPEN, detail, retry_after_s)
        wait_s = self.cap.wait_s(now_s, max(0.0, end_s - now_s))
        if wait_s is None:
            self.circuit.withdrawn(now_s)
            detail = f"this daemon's share of the {self.service} is used up"
            return Refused(Reason.THROTTLED, detail, 1.0 / self.cap.per_s)
        if wait_s > 0:
            await anyio.sleep(wait_s)
        return None

    async def _try_once(
        self,
        attempt: Callable[[float], Awaitable[Result[T]]],
        end_s: float,
        changes: bool,
    ) -> Result[T]:
        remaining_s = max(0.0, end_s - anyio.current_time())
        result: Result[T] | None = None
        try:
            with anyio.move_on_after(remaining_s):
                result = await attempt(remaining_s)
        except anyio.get_cancelled_exc_class():
            # The caller went away, which says nothing about the service.
            self.circuit.withdrawn(anyio.current_time())
            raise
        if result is None:
            # The adapter overran its time. Whether a write had left is not
            # known here.
            detail = f"the {self.service} gave no answer"
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
            case Refused(reason) | Unknown(reason) if reason in _NO_ANSWER:
                if self.circuit.failed(now_s):
                    self._log.emit(
                        CIRCUIT_OPENED, service=self.service, reason=reason.value
                    )
            case Done() | Refused() | Unknown():
                if self.circuit.succeeded(now_s):
                    self._log.emit(CIRCUIT_CLOSED, service=self.service)

    def _again(self, result: Result[T]) -> bool:
        return isinstance(result, Refused) and result.reason in _SAFE_AGAIN

    def _retry_wait_s(self, number: int, result: Result[T]) -> float:
        wait_s = self._random.uniform(0, self.retries.first_wait_s * 2**number)
        if isinstance(result, Refused) and result.retry_after_s is not None:
            return max(wait_s, result.retry_after_s)
        return wait_s
