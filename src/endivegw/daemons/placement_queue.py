"""Queue work until the dispatcher, which does no I/O itself, has placed it."""

from __future__ import annotations

from typing import Callable

import anyio
from attrs import define, field

from endivegw.decisions import (
    AttemptEnd,
    AttemptKind,
    Dispatcher,
    Expired,
    PermitRequest,
    Permits,
    Placement,
    Queued,
    WorkItem,
)
from endivegw.results import Refused
from endivegw.types import TargetName

__all__ = ["PlacementQueue"]

#: Upper limit of the wait between two polls. The dispatcher returns the time of the
#: next poll, and each end of work triggers one as well; the limit only bounds the
#: delay after a missed wake-up.
_MAX_SLEEP_S = 0.25


@define
class _Waiter:
    decided: anyio.Event = field(factory=anyio.Event)
    decision: Placement | Refused | None = None


class PlacementQueue:
    """Submit work to the dispatcher and wait until it is placed or refused.

    :param clock: returns seconds on a monotonic clock.
    :param on_permits_needed: called with permits to ask for; each call is answered by
        :meth:`add_permits`, possibly before it returns.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Callable[[], float],
        on_permits_needed: Callable[[PermitRequest], None] = lambda request: None,
    ) -> None:
        self.dispatcher = dispatcher
        self._on_permits_needed = on_permits_needed
        self._clock = clock
        self._waiters: dict[str, _Waiter] = {}
        self._wake_event = anyio.Event()

    async def place(self, item: WorkItem) -> Placement | Refused:
        """Return the placement of the work, or the reason why it is refused.

        Cancellation removes the work from the queue.
        """
        decision = self.dispatcher.submit(item, self._clock())
        self._request_permits()
        match decision:
            case Placement() | Refused():
                return decision
            case Queued():
                return await self._wait(item)

    def place_now(self, item: WorkItem) -> Placement | None:
        """Place work on a target that has room now, or return None."""
        placement = self.dispatcher.place_now(item, self._clock())
        self._request_permits()
        return placement

    def add_permits(
        self, target: TargetName, started_ms: int | None, permits: Permits
    ) -> None:
        """Apply the answer to a request for permits."""
        self.dispatcher.add_permits(target, started_ms, permits, self._clock())
        self.wake()

    def _request_permits(self) -> None:
        for request in self.dispatcher.permit_requests(self._clock()):
            self._on_permits_needed(request)

    def wake(self) -> None:
        """Trigger a poll of the queue after work has ended or a target has changed."""
        self._wake_event.set()

    async def run(self) -> None:
        """Poll the dispatcher for decisions on queued work until cancelled."""
        while True:
            now_s = self._clock()
            for decision in self.dispatcher.poll(now_s):
                self._deliver(decision)
            self._request_permits()
            next_s = self.dispatcher.next_poll_s(now_s)
            sleep_s = _MAX_SLEEP_S
            if next_s is not None:
                sleep_s = min(sleep_s, max(0.0, next_s - now_s))
            with anyio.move_on_after(sleep_s):
                await self._wake_event.wait()
            self._wake_event = anyio.Event()
            # Yield to other tasks even if the next poll is always due immediately.
            await anyio.lowlevel.checkpoint()

    async def _wait(self, item: WorkItem) -> Placement | Refused:
        waiter = _Waiter()
        self._waiters[item.request_id] = waiter
        self.wake()
        received = False
        try:
            await waiter.decided.wait()
            received = True
        finally:
            self._waiters.pop(item.request_id, None)
            if waiter.decision is None:
                self.dispatcher.cancel(item.request_id, self._clock())
            elif not received:
                self.release(waiter.decision)
        assert waiter.decision is not None
        return waiter.decision

    def release(self, decision: Placement | Refused) -> None:
        """Release the placement of work that is not sent, as its caller disconnected.

        Otherwise the target would count as occupied until long after the request's
        deadline, and would receive less and less work.
        """
        if isinstance(decision, Placement):
            end = AttemptEnd(AttemptKind.CANCELLED)
            self.dispatcher.ended(
                decision.item.request_id, decision.target, end, self._clock()
            )
            self.wake()

    def _deliver(self, decision: Placement | Expired) -> None:
        waiter = self._waiters.get(decision.item.request_id)
        if waiter is None:
            if isinstance(decision, Placement):
                self.release(decision)
            return
        match decision:
            case Placement():
                waiter.decision = decision
            case Expired():
                waiter.decision = Refused(
                    decision.reason, decision.reason_detail, decision.retry_after_s
                )
        waiter.decided.set()
