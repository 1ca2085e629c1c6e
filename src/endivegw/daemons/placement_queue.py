"""Wait for the dispatcher's decisions; the decisions themselves are pure."""

from __future__ import annotations

from typing import Callable

import anyio
from attrs import define, field

from endivegw.decisions import (
    AttemptEnd,
    AttemptKind,
    Dispatcher,
    Expired,
    Placement,
    Queued,
    WorkItem,
)
from endivegw.results import Reason, Refused

__all__ = ["PlacementQueue"]

#: A safety net: the dispatcher says when to look again, and each end of work
#: looks too. This bounds the harm of a wake-up that is missing.
_LONGEST_SLEEP_S = 0.25


@define
class _Waiter:
    decided: anyio.Event = field(factory=anyio.Event)
    decision: Placement | Refused | None = None


class PlacementQueue:
    """Hand work to the dispatcher and wait until it is placed or refused.

    :param clock: seconds on a clock that never goes back.
    """

    def __init__(self, dispatcher: Dispatcher, clock: Callable[[], float]) -> None:
        self.dispatcher = dispatcher
        self._clock = clock
        self._waiters: dict[str, _Waiter] = {}
        self._wake = anyio.Event()

    async def place(self, item: WorkItem) -> Placement | Refused:
        """Return where the work goes, or why it goes nowhere.

        Cancelling the wait takes the work out of the queue.
        """
        decision = self.dispatcher.submit(item, self._clock())
        match decision:
            case Placement() | Refused():
                return decision
            case Queued():
                return await self._wait(item)

    def kick(self) -> None:
        """Look at the queue again: something ended or changed."""
        self._wake.set()

    async def run(self) -> None:
        """Decide on queued work for as long as the router lives."""
        while True:
            now_s = self._clock()
            for decision in self.dispatcher.poll(now_s):
                self._deliver(decision)
            next_s = self.dispatcher.next_poll_s(now_s)
            sleep_s = _LONGEST_SLEEP_S
            if next_s is not None:
                sleep_s = min(sleep_s, max(0.0, next_s - now_s))
            with anyio.move_on_after(sleep_s):
                await self._wake.wait()
            self._wake = anyio.Event()
            # The loop yields even when each poll is due at once.
            await anyio.lowlevel.checkpoint()

    async def _wait(self, item: WorkItem) -> Placement | Refused:
        waiter = _Waiter()
        self._waiters[item.request_id] = waiter
        self.kick()
        taken = False
        try:
            await waiter.decided.wait()
            taken = True
        finally:
            self._waiters.pop(item.request_id, None)
            if waiter.decision is None:
                self.dispatcher.cancel(item.request_id, self._clock())
            elif not taken:
                self._give_back(waiter.decision)
        assert waiter.decision is not None
        return waiter.decision

    def _give_back(self, decision: Placement | Refused) -> None:
        """Free the place of work whose caller went away just as it was placed.

        The target would otherwise count as occupied until long after the
        request's deadline, which shows as a target that gets less and less work.
        """
        if isinstance(decision, Placement):
            end = AttemptEnd(AttemptKind.CANCELLED)
            self.dispatcher.ended(
                decision.item.request_id, decision.target, end, self._clock()
            )
            self.kick()

    def _deliver(self, decision: Placement | Expired) -> None:
        waiter = self._waiters.get(decision.item.request_id)
        if waiter is None:
            if isinstance(decision, Placement):
                self._give_back(decision)
            return
        match decision:
            case Placement():
                waiter.decision = decision
            case Expired():
                waiter.decision = Refused(
                    Reason.OVERLOADED, decision.reason_detail, decision.retry_after_s
                )
        waiter.decided.set()
