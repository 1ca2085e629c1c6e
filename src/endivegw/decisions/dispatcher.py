"""The one object through which a router admits, queues and places work."""

from __future__ import annotations

import random
from collections import deque
from typing import Iterable

from attrs import define, field

from endivegw.decisions.policy import Policy
from endivegw.decisions.work import (
    AttemptEnd,
    Expired,
    LoadFigures,
    Placement,
    PlacementFigures,
    Queued,
    TargetView,
    WorkItem,
)
from endivegw.results import Reason, Refused
from endivegw.types import AvailabilityZone, TargetName

__all__ = ["Dispatcher"]


@define
class _TargetState:
    view: TargetView
    figures: LoadFigures | None = None
    own: set[str] = field(factory=set)
    own_at_report: int = 0

    def slots(self) -> int:
        return self.figures.slots if self.figures else self.view.slots

    def occupied(self) -> int:
        others = 0
        if self.figures is not None:
            reported = self.figures.running + self.figures.waiting
            others = max(0, reported - self.own_at_report)
        return others + len(self.own)


class Dispatcher:
    """Admit, queue, refuse and place the work of one router.

    :param availability_zone: where the router runs.
    :param rng: the only source of chance.
    """

    def __init__(
        self, policy: Policy, availability_zone: AvailabilityZone, rng: random.Random
    ) -> None:
        self._policy = policy
        self._zone = availability_zone
        self._rng = rng
        self._targets: dict[TargetName, _TargetState] = {}
        self._queue: deque[WorkItem] = deque()

    def set_targets(self, views: Iterable[TargetView], now_s: float) -> None:
        """Take over what membership says now; draining targets get no work."""
        known = self._targets
        self._targets = {}
        for view in views:
            state = known.get(view.target)
            if state is None or state.view.instance_id != view.instance_id:
                state = _TargetState(view)
            state.view = view
            self._targets[view.target] = state

    def report(self, target: TargetName, figures: LoadFigures, now_s: float) -> None:
        """Take in a lagged load report."""
        state = self._targets.get(target)
        if state is not None:
            state.figures = figures
            state.own_at_report = len(state.own)

    def submit(self, item: WorkItem, now_s: float) -> Placement | Queued | Refused:
        """Decide on new work: place it, queue it or refuse it."""
        if item.deadline_s <= now_s:
            return Refused(Reason.DEADLINE, "the deadline has passed")
        if not any(self._eligible(s, item) for s in self._targets.values()):
            return Refused(Reason.NO_TARGET, "no target serves this", 1.0)
        placement = self._place(item, now_s)
        if placement is not None:
            return placement
        if len(self._queue) >= self._policy.queue_items:
            return Refused(Reason.OVERLOADED, "the queue is full", 1.0)
        self._queue.append(item)
        return Queued(0.0, len(self._queue) - 1)

    def poll(self, now_s: float) -> list[Placement | Expired]:
        """Return what became decided about queued work."""
        decided: list[Placement | Expired] = []
        waiting = self._queue
        self._queue = deque()
        for item in waiting:
            if item.deadline_s <= now_s:
                decided.append(Expired(item, "the deadline passed in the queue", None))
                continue
            placement = self._place(item, now_s)
            if placement is None:
                self._queue.append(item)
            else:
                decided.append(placement)
        return decided

    def next_poll_s(self, now_s: float) -> float | None:
        """Return when :meth:`poll` must be called at the latest."""
        if not self._queue:
            return None
        return max(now_s, min(item.deadline_s for item in self._queue))

    def started(self, request_id: str, now_s: float) -> None:
        """Note that the target took the work."""

    def first_token(self, request_id: str, now_s: float) -> None:
        """Note that the answer has begun."""

    def ended(
        self, request_id: str, target: TargetName, result: AttemptEnd, now_s: float
    ) -> None:
        """Note that an attempt ended; its place is free."""
        state = self._targets.get(target)
        if state is not None:
            state.own.discard(request_id)

    def cancel(self, request_id: str, now_s: float) -> None:
        """Drop queued work whose caller went away."""
        self._queue = deque(i for i in self._queue if i.request_id != request_id)

    def _eligible(self, state: _TargetState, item: WorkItem) -> bool:
        view = state.view
        if view.draining or view.target in item.excluded:
            return False
        if state.figures is not None and state.figures.draining:
            return False
        return item.model in view.models

    def _place(self, item: WorkItem, now_s: float) -> Placement | None:
        room = [
            state
            for state in self._targets.values()
            if self._eligible(state, item) and state.occupied() < state.slots()
        ]
        if not room:
            return None
        chosen = self._rng.sample(room, min(self._policy.choices, len(room)))
        best = min(chosen, key=lambda state: state.occupied() / state.slots())
        figures = PlacementFigures(
            load=best.occupied() / best.slots(),
            own_outstanding=len(best.own),
            cached_tokens=0,
            queued_s=now_s - item.arrived_s,
            finish_s=0.0,
            slack_s=item.deadline_s - now_s,
            candidates=len(chosen),
        )
        best.own.add(item.request_id)
        view = best.view
        return Placement(
            item, view.target, view.instance_id, view.address, "least-loaded", figures
        )
