"""Find out how attempts ended whose end this router did not hear.

A stream broke, a deadline passed or a caller went away, and the sidecar could
not confirm at once what was consumed. The tokens stay reserved meanwhile: the
engine may still be at it, and tokens given back early would be spent twice.
"""

from __future__ import annotations

from typing import Callable

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from endivegw.budgets import BudgetKeeper, Reservation
from endivegw.daemons.attempt_runner import (
    AttemptLost,
    AttemptNotRun,
    AttemptPlan,
    AttemptRunner,
    SidecarDirectory,
)
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import router as events
from endivegw.types import TargetName, Usage

__all__ = ["HeldAttempt", "HeldAttempts"]

#: The first ask comes soon, since most ends are merely late; later ones are
#: rare, so that a region that is cut off for long costs next to nothing.
_FIRST_WAIT_S = 0.25
_LONGEST_WAIT_S = 10.0

#: How long a target must be missing before its attempts are charged in full.
#: The platform's list lags and heartbeats get lost; a target that is merely
#: cut off may still consume, and comes back with the true figure.
_GONE_S = 120.0


@frozen
class HeldAttempt:
    """Hold an attempt whose end is not known."""

    plan: AttemptPlan
    target: TargetName
    reservation: Reservation


class HeldAttempts:
    """Ask sidecars until each held attempt's consumption is known."""

    def __init__(
        self,
        keeper: BudgetKeeper,
        attempts: AttemptRunner,
        sidecars: SidecarDirectory,
        tasks: TaskGroup,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        self._keeper = keeper
        self._attempts = attempts
        self._sidecars = sidecars
        self._tasks = tasks
        self._clock = clock
        self._log = log
        #: Attempts whose tokens are reserved for an end that is not known.
        self.count = 0

    def add(self, held: HeldAttempt) -> None:
        """Keep the tokens reserved and find out in the background."""
        self._keeper.hold(held.reservation, self._clock())
        self.count += 1
        self._tasks.start_soon(self._resolve, held)

    async def _resolve(self, held: HeldAttempt) -> None:
        wait_s = _FIRST_WAIT_S
        missing_since_s: float | None = None
        while True:
            await anyio.sleep(wait_s)
            wait_s = min(wait_s * 2, _LONGEST_WAIT_S)
            now_s = self._clock()
            link = self._sidecars.find(held.target)
            if link is None:
                missing_since_s = missing_since_s or now_s
                if now_s - missing_since_s > _GONE_S:
                    self._charge(held, self._bound(held), "target-gone")
                    return
                continue
            missing_since_s = None
            match await self._attempts.cancel(link.client, held.plan):
                case AttemptNotRun():
                    self._charge(held, Usage(), "never-started")
                    return
                case AttemptLost(usage=Usage() as usage):
                    self._charge(held, usage, "counted")
                    return
                case AttemptLost(replaced=True):
                    # The sidecar's process was replaced and its target does
                    # not know the attempt: nobody can count it any more.
                    self._charge(held, self._bound(held), "replaced")
                    return

    def _bound(self, held: HeldAttempt) -> Usage:
        """Return the most that the attempt can have consumed.

        Charging less could let the account spend beyond its budget.
        """
        prompt_tokens = min(held.plan.prompt_bound_tokens, held.reservation.tokens)
        return Usage(prompt_tokens, held.reservation.tokens - prompt_tokens)

    def _charge(self, held: HeldAttempt, usage: Usage, how: str) -> None:
        self.count -= 1
        self._keeper.resolve(held.reservation, usage, self._clock())
        self._log.emit(
            events.ATTEMPT_RESOLVED,
            attempt_id=held.plan.attempt_id,
            target=held.target,
            how=how,
            total_tokens=usage.total_tokens,
        )
