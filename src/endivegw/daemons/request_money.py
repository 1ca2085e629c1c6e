"""The token reservations of one request: one unassigned, and one per attempt."""

from __future__ import annotations

from typing import Callable, Mapping

from attrs import define

from endivegw.budgets import BudgetManager, Reservation
from endivegw.daemons.request_plan import RequestPlan
from endivegw.requests.steps import HandOver
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, Usage

__all__ = ["AttemptReservation", "RequestReservations"]


@define
class AttemptReservation:
    """Hold an attempt sent to a sidecar, and the tokens reserved for it.

    :ivar reservation: None for a plain service, which consumes no tokens.
    :ivar settled: whether the attempt's consumption is known and was charged.
    """

    step: HandOver
    reservation: Reservation | None
    settled: bool = False


class RequestReservations:
    """Reserve tokens before each attempt, and settle once its consumption is known.

    An attempt whose outcome is not known keeps its reservation: releasing it could
    let the account spend the tokens twice. The next attempt gets a reservation of
    its own.
    """

    def __init__(
        self,
        plan: RequestPlan,
        budget_manager: BudgetManager,
        clock: Callable[[], float],
    ) -> None:
        self._plan = plan
        self._budget_manager = budget_manager
        self._clock = clock
        self._unassigned: Reservation | None = None
        self._by_attempt: dict[AttemptId, AttemptReservation] = {}
        #: Tokens consumed by all attempts whose consumption is known.
        self.consumed_tokens = 0

    @property
    def may_have_consumed(self) -> bool:
        """Return whether an attempt of this router may have consumed tokens."""
        return any(not attempt.settled for attempt in self._by_attempt.values()) or (
            self.consumed_tokens > 0
        )

    async def reserve(self) -> Refused | None:
        """Ensure that an unassigned reservation exists; return any refusal."""
        bound_tokens = self._plan.bound.total_tokens
        if bound_tokens == 0 or self._unassigned is not None:
            return None
        request = self._plan.request
        reserved = await self._budget_manager.reserve(
            request.budget,
            bound_tokens,
            deadline_s=request.deadline_s,
            reserve_s=request.account.reserve_s,
            now_s=self._clock(),
        )
        if isinstance(reserved, Refused):
            return reserved
        self._unassigned = reserved
        return None

    def assign(self, step: HandOver) -> Reservation | None:
        """Assign the reservation to an attempt; a resent attempt keeps its own."""
        attempt = self._by_attempt.get(step.attempt_id)
        if attempt is None:
            attempt = AttemptReservation(step, self._unassigned)
            self._unassigned = None
            self._by_attempt[step.attempt_id] = attempt
        return attempt.reservation

    def refused(self, attempt_id: AttemptId, refused: Refused) -> None:
        """Drop the attempt's grant if the sidecar refused it as sealed."""
        attempt = self._by_attempt.get(attempt_id)
        if refused.reason is not Reason.GRANT_SEALED or attempt is None:
            return
        if attempt.reservation is not None:
            self._budget_manager.grant_sealed(
                attempt.reservation.grant_id, self._clock()
            )

    def settle(self, charges: Mapping[AttemptId, Usage | None]) -> None:
        """Charge each attempt whose consumption has become known."""
        for attempt_id, attempt in self._by_attempt.items():
            usage = charges.get(attempt_id)
            if attempt.settled or usage is None:
                continue
            attempt.settled = True
            if attempt.reservation is None:
                continue
            if usage == Usage():
                self._budget_manager.release(attempt.reservation, self._clock())
                continue
            self.consumed_tokens += usage.total_tokens
            self._budget_manager.finish(attempt.reservation, usage, self._clock())

    def unsettled(self) -> list[AttemptReservation]:
        """Return the attempts whose consumption is not known."""
        return [attempt for attempt in self._by_attempt.values() if not attempt.settled]

    def release(self) -> None:
        """Release the unassigned reservation."""
        if self._unassigned is not None:
            self._budget_manager.release(self._unassigned, self._clock())
            self._unassigned = None
