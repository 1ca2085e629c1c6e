"""Resolve attempts whose outcome this router has not received.

A stream broke, a deadline passed or a caller disconnected, and the sidecar could
not confirm immediately how many tokens were consumed. The tokens stay reserved in
the meantime: the engine may still be generating, and tokens that are released
early could be spent twice.
"""

from __future__ import annotations

from typing import Callable

import anyio
from attrs import evolve, frozen

from endivegw.budgets import BudgetManager, Reservation
from endivegw.daemons.background import Background
from endivegw.daemons.request_plan import RequestPlan
from endivegw.daemons.sidecar_links import (
    CancelStatus,
    SidecarDirectory,
    cancel_attempt,
)
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.steps import CancelAttempt, HandOver
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import router as events
from endivegw.types import Usage

__all__ = ["UnresolvedAttempt", "AttemptResolver"]

#: The first query is sent soon, since most outcomes are merely delayed. The interval
#: then doubles up to the maximum, so that the cost of a region that stays isolated
#: for long is negligible.
_INITIAL_WAIT_S = 0.25
_MAX_WAIT_S = 10.0

#: How long a target must be missing before its attempts are charged in full. The
#: platform's vm list lags and heartbeats get lost; a target that is merely isolated
#: may still consume tokens, and reports the actual figure once it is reachable.
_TERMINATED_AFTER_S = 120.0


@frozen
class UnresolvedAttempt:
    """Hold an attempt whose outcome is not known.

    :param to_cancel: whether no caller waits for its answer any more.
    """

    step: HandOver
    reservation: Reservation | None
    plan: RequestPlan
    to_cancel: bool


class AttemptResolver:
    """Query sidecars until the consumption of each unresolved attempt is known."""

    def __init__(
        self,
        budget_manager: BudgetManager,
        sidecars: SidecarDirectory,
        header: Callable[[], pb.Header],
        tasks: Background,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        self._budget_manager = budget_manager
        self._sidecars = sidecars
        self._header = header
        self._tasks = tasks
        self._clock = clock
        self._log = log
        #: Number of attempts whose outcome is not known.
        self.count = 0

    def add(self, attempt: UnresolvedAttempt) -> None:
        """Keep the attempt's tokens reserved and resolve it in the background."""
        if attempt.reservation is not None:
            self._budget_manager.hold(attempt.reservation, self._clock())
        self.count += 1
        self._tasks.start_soon(self._resolve, attempt)

    async def _resolve(self, attempt: UnresolvedAttempt) -> None:
        step = CancelAttempt(
            attempt.step.attempt_id,
            attempt.step.target,
            attempt.step.incarnation,
            bar_only=not attempt.to_cancel,
        )
        wait_s = 0.0
        missing_since_s: float | None = None
        while True:
            await anyio.sleep(wait_s)
            now_s = self._clock()
            wait_s = max(wait_s * 2, _INITIAL_WAIT_S)
            wait_s = min(wait_s, _max_wait_s(attempt, step, now_s))
            link = self._sidecars.find(attempt.step.target)
            if link is None:
                missing_since_s = missing_since_s or now_s
                if now_s - missing_since_s > _TERMINATED_AFTER_S:
                    self._charge(attempt, self._max_usage(attempt), "target-gone")
                    return
                continue
            missing_since_s = None
            reply = await cancel_attempt(link.client, self._header(), step)
            if reply is None:
                continue
            if self._apply_reply(attempt, reply):
                return
            step = evolve(step, bar_only=True)

    def _apply_reply(self, attempt: UnresolvedAttempt, reply: CancelStatus) -> bool:
        """Settle the attempt by a sidecar's reply; return whether it is settled."""
        if reply.never_started:
            self._charge(attempt, Usage(), "never-started")
        elif reply.ended:
            self._charge(attempt, reply.usage, "counted")
        elif reply.running:
            return False
        else:
            # The sidecar's process was replaced: the consumption can no longer be
            # determined.
            self._charge(attempt, self._max_usage(attempt), "replaced")
        return True

    def _max_usage(self, attempt: UnresolvedAttempt) -> Usage:
        """Return the maximum that the attempt can have consumed.

        Charging less could let the account spend beyond its budget.
        """
        tokens = attempt.reservation.tokens if attempt.reservation is not None else 0
        prompt_tokens = min(attempt.plan.bound.prompt_tokens, tokens)
        return Usage(prompt_tokens, tokens - prompt_tokens)

    def _charge(self, attempt: UnresolvedAttempt, usage: Usage, how: str) -> None:
        self.count -= 1
        if attempt.reservation is not None:
            self._budget_manager.resolve(attempt.reservation, usage, self._clock())
        self._log.emit(
            events.ATTEMPT_RESOLVED,
            attempt_id=attempt.step.attempt_id,
            target=attempt.step.target,
            how=how,
            total_tokens=usage.total_tokens,
        )


def _max_wait_s(attempt: UnresolvedAttempt, step: CancelAttempt, now_s: float) -> float:
    """Return the maximum time between two queries.

    A target may work for a caller that has left until a stop is answered or the
    request's deadline has passed.
    """
    may_work = not step.bar_only and now_s < attempt.plan.facts.deadline_s
    return _INITIAL_WAIT_S if may_work else _MAX_WAIT_S
