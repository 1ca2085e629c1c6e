"""Find out how attempts ended whose end this router did not hear.

A stream broke, a deadline passed or a caller went away, and the sidecar could
not confirm at once what was consumed. The tokens stay reserved meanwhile: the
engine may still be at it, and tokens given back early would be spent twice.
"""

from __future__ import annotations

from typing import Callable

import anyio
from attrs import evolve, frozen

from endivegw.budgets import BudgetManager, Reservation
from endivegw.daemons.background import Background
from endivegw.daemons.request_plan import RequestPlan
from endivegw.daemons.sidecar_links import (
    CancelWord,
    SidecarDirectory,
    cancel_attempt,
)
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.steps import CancelAttempt, HandOver
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import router as events
from endivegw.types import Usage

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
    """Hold an attempt whose end is not known.

    :param to_cancel: whether nobody waits for its answer any more.
    """

    step: HandOver
    reservation: Reservation | None
    plan: RequestPlan
    to_cancel: bool


class HeldAttempts:
    """Ask sidecars until each held attempt's consumption is known."""

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
        #: Attempts whose tokens are reserved for an end that is not known.
        self.count = 0

    def add(self, held: HeldAttempt) -> None:
        """Keep the tokens reserved and find out in the background."""
        if held.reservation is not None:
            self._budget_manager.hold(held.reservation, self._clock())
        self.count += 1
        self._tasks.start_soon(self._resolve, held)

    async def _resolve(self, held: HeldAttempt) -> None:
        step = CancelAttempt(
            held.step.attempt_id,
            held.step.target,
            held.step.incarnation,
            bar_only=not held.to_cancel,
        )
        wait_s = 0.0
        missing_since_s: float | None = None
        while True:
            await anyio.sleep(wait_s)
            wait_s = min(max(wait_s * 2, _FIRST_WAIT_S), _LONGEST_WAIT_S)
            now_s = self._clock()
            link = self._sidecars.find(held.step.target)
            if link is None:
                missing_since_s = missing_since_s or now_s
                if now_s - missing_since_s > _GONE_S:
                    self._charge(held, self._bound(held), "target-gone")
                    return
                continue
            missing_since_s = None
            word = await cancel_attempt(link.client, self._header(), step)
            if word is not None and self._take(held, word):
                return
            step = evolve(step, bar_only=True)

    def _take(self, held: HeldAttempt, word: CancelWord) -> bool:
        """Settle by a sidecar's word; return whether it settles anything."""
        if word.never_started:
            self._charge(held, Usage(), "never-started")
        elif word.ended:
            self._charge(held, word.usage, "counted")
        elif word.running:
            return False
        else:
            # The sidecar's process was replaced: nobody can count it any more.
            self._charge(held, self._bound(held), "replaced")
        return True

    def _bound(self, held: HeldAttempt) -> Usage:
        """Return the most that the attempt can have consumed.

        Charging less could let the account spend beyond its budget.
        """
        tokens = held.reservation.tokens if held.reservation is not None else 0
        prompt_tokens = min(held.plan.bound.prompt_tokens, tokens)
        return Usage(prompt_tokens, tokens - prompt_tokens)

    def _charge(self, held: HeldAttempt, usage: Usage, how: str) -> None:
        self.count -= 1
        if held.reservation is not None:
            self._budget_manager.resolve(held.reservation, usage, self._clock())
        self._log.emit(
            events.ATTEMPT_RESOLVED,
            attempt_id=held.step.attempt_id,
            target=held.step.target,
            how=how,
            total_tokens=usage.total_tokens,
        )
