"""The reservations of one request: one in hand, one for each attempt."""

from __future__ import annotations

from typing import Callable, Mapping

from attrs import define

from endivegw.budgets import BudgetManager, Reservation
from endivegw.daemons.request_plan import RequestPlan
from endivegw.requests.steps import HandOver
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, Usage

__all__ = ["BoundReservation", "RequestMoney"]


@define
class BoundReservation:
    """Hold an attempt that was handed over, and the tokens that it may consume.

    :ivar reservation: None for a plain service, which consumes none.
    """

    step: HandOver
    reservation: Reservation | None
    settled: bool = False


class RequestMoney:
    """Reserve before each attempt, and settle when its consumption is known.

    An attempt whose end is not known keeps its tokens: giving them back could
    let the account spend them twice. The next attempt gets tokens of its own.
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
        self._in_hand: Reservation | None = None
        self._bound: dict[AttemptId, BoundReservation] = {}
        #: Tokens of all attempts whose consumption is known.
        self.finished_tokens = 0

    @property
    def any_bound(self) -> bool:
        """Return whether an attempt of this router may have consumed tokens."""
        return any(not b.settled for b in self._bound.values()) or (
            self.finished_tokens > 0
        )

    async def reserve(self) -> Refused | None:
        """Have a reservation in hand; None where there is one."""
        bound_tokens = self._plan.bound.total_tokens
        if bound_tokens == 0 or self._in_hand is not None:
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
        self._in_hand = reserved
        return None

    def bind(self, step: HandOver) -> Reservation | None:
        """Give the tokens in hand to an attempt; a repeated order keeps them."""
        bound = self._bound.get(step.attempt_id)
        if bound is None:
            bound = BoundReservation(step, self._in_hand)
            self._in_hand = None
            self._bound[step.attempt_id] = bound
        return bound.reservation

    def refused(self, attempt_id: AttemptId, refused: Refused) -> None:
        """Drop a grant that the sidecar knows to be sealed."""
        bound = self._bound.get(attempt_id)
        if refused.reason is not Reason.GRANT_SEALED or bound is None:
            return
        if bound.reservation is not None:
            self._budget_manager.grant_sealed(bound.reservation.grant_id, self._clock())

    def settle(self, charges: Mapping[AttemptId, Usage | None]) -> None:
        """Charge each attempt whose consumption is known by now."""
        for attempt_id, bound in self._bound.items():
            usage = charges.get(attempt_id)
            if bound.settled or usage is None:
                continue
            bound.settled = True
            if bound.reservation is None:
                continue
            if usage == Usage():
                self._budget_manager.release(bound.reservation, self._clock())
                continue
            self.finished_tokens += usage.total_tokens
            self._budget_manager.finish(bound.reservation, usage, self._clock())

    def unsettled(self) -> list[BoundReservation]:
        """Return the attempts whose consumption is not known."""
        return [bound for bound in self._bound.values() if not bound.settled]

    def release(self) -> None:
        """Give back the tokens in hand."""
        if self._in_hand is not None:
            self._budget_manager.release(self._in_hand, self._clock())
            self._in_hand = None
