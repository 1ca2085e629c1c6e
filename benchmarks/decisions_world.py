"""Event simulation of routers and targets, with delayed load reports."""

from __future__ import annotations

import heapq
import random
from functools import partial
from typing import Callable

from attrs import define, evolve
from benchmarks.decisions_baselines import Oracle, Router
from benchmarks.decisions_engine import Engine, Job
from benchmarks.decisions_loads import Fault, Load
from benchmarks.decisions_streams import Arrival

from endivegw.decisions import (
    AttemptEnd,
    AttemptKind,
    Expired,
    LoadFigures,
    Placement,
    Queued,
    RetryBudget,
    RetryPolicy,
    TargetView,
    WorkItem,
    backoff_s,
)
from endivegw.results import Refused
from endivegw.targets import CacheChange
from endivegw.types import AvailabilityZone, InstanceId, TargetName

__all__ = ["RouterFactory", "Outcome", "Record", "World"]

#: One-way delay between a router and a target.
HOP_DELAY_S = 0.001

#: Time after which a failing target returns an error.
FAILURE_DELAY_S = 0.005

#: Maximum number of attempts of a router per request.
MAX_ATTEMPTS = 3

RouterFactory = Callable[[AvailabilityZone, random.Random], Router]


class Outcome:
    """Outcomes of a request for its caller."""

    GOOD = "good"
    LATE = "late"
    REFUSED = "refused"
    EXPIRED = "expired"
    FAILED = "failed"


@define(eq=False)
class Record:
    """A request and its outcome for the caller.

    :param first_s: time from submission to the first token.
    :param response_s: time from submission to the final answer.
    :param had_capacity: whether a target had the capacity to complete the request in
        time when it was refused or expired.
    :param retry_number: number of earlier tries of the caller.
    :param is_advised_retry: whether the caller retried after the ``retry_after_s`` of
        its last refusal.
    """

    arrival: Arrival
    submitted_s: float
    outcome: str = ""
    first_s: float | None = None
    response_s: float = 0.0
    had_capacity: bool = False
    target: TargetName | None = None
    placed_s: float = 0.0
    attempts: int = 0
    retry_number: int = 0
    retry_after_s: float | None = None
    is_advised_retry: bool = False
    job: Job | None = None
    item: WorkItem | None = None


class World:
    """Simulation of one load with one kind of router.

    :param oracle: whether a single router with perfect knowledge serves all requests.
    """

    def __init__(
        self, load: Load, router_factory: RouterFactory, seed: int, oracle: bool = False
    ) -> None:
        self.load = load
        self.now_s = 0.0
        self.records: list[Record] = []
        self.placements = 0
        self._rng = random.Random(f"world/{seed}")
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._open_records: dict[str, Record] = {}
        self.engines = {
            TargetName(spec.name): Engine(
                TargetName(spec.name),
                spec.availability_zone,
                spec.models,
                spec.spec,
                self._notify,
            )
            for spec in load.targets
        }
        for engine in self.engines.values():
            engine.peers = tuple(
                peer for peer in self.engines.values() if peer.models == engine.models
            )
        zones = sorted({spec.availability_zone for spec in load.targets})
        self.routers: list[Router] = []
        for number in range(1 if oracle else load.routers):
            rng = random.Random(f"router/{seed}/{number}")
            self.routers.append(router_factory(zones[number % len(zones)], rng))
        self._retries = [RetryBudget(RetryPolicy()) for _ in self.routers]
        self._scheduled_polls_s: list[float | None] = [None] * len(self.routers)
        self._draining: set[TargetName] = set()
        self._reported_changes: dict[tuple[int, TargetName], int] = {}
        self._last_token_readings: dict[tuple[int, TargetName], tuple[float, float]] = (
            {}
        )
        self._frozen_figures: dict[TargetName, LoadFigures] = {}
        for router in self.routers:
            if isinstance(router, Oracle):
                router.engines = self.engines

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self._order += 1
        heapq.heappush(self._events, (at_s, self._order, action))

    def run(self) -> list[Record]:
        """Run until every request has an outcome, and return their records."""
        self._set_targets()
        for arrival in self.load.arrivals:
            self.schedule(arrival.at_s, partial(self._arrive, arrival, 0))
        for fault in self.load.faults:
            self.schedule(fault.start_s, partial(self._apply_fault, fault, True))
            self.schedule(fault.end_s, partial(self._apply_fault, fault, False))
        for number in range(len(self.routers)):
            for name in self._known_targets(number):
                offset_s = self._rng.random() * self.load.report_interval_s
                self.schedule(offset_s, partial(self._read_load, number, name))
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        assert not self._open_records, "requests without an outcome remain"
        return self.records

    def _set_targets(self) -> None:
        for number, router in enumerate(self.routers):
            router.set_targets(
                [
                    TargetView(
                        name,
                        InstanceId("1"),
                        name,
                        engine.availability_zone,
                        engine.models,
                        engine.spec.slots,
                        name in self._draining,
                    )
                    for name, engine in self.engines.items()
                    if name in self._known_targets(number)
                ],
                self.now_s,
            )
        for number in range(len(self.routers)):
            self._poll(number)

    def _known_targets(self, number: int) -> tuple[TargetName, ...]:
        """Return the targets that a router knows."""
        if self.load.subsets and len(self.routers) > 1:
            return self.load.subsets[number]
        return tuple(self.engines)

    def _apply_fault(self, fault: Fault, active: bool) -> None:
        engine = self.engines[TargetName(fault.target)]
        engine.advance(self.now_s)
        engine.speed = fault.speed if active else 1.0
        engine.failing = fault.failing and active
        engine.frozen = fault.frozen and active
        if fault.draining:
            self._draining.symmetric_difference_update({engine.name})
            self._set_targets()
        self._schedule_wake(engine)

    # Load reports.

    def _read_load(self, number: int, name: TargetName) -> None:
        engine = self.engines[name]
        if engine.frozen and name in self._frozen_figures:
            figures = self._frozen_figures[name]
        else:
            figures = self._load_figures(number, engine, self.load.report_lag_s)
            self._frozen_figures[name] = figures
        lag_s = self.load.report_lag_s
        self.schedule(
            self.now_s + lag_s, lambda: self._deliver_report(number, name, figures)
        )
        if self.now_s < self.load.duration_s + 60.0:
            wait_s = self.load.report_interval_s * self._rng.uniform(0.9, 1.1)
            self.schedule(self.now_s + wait_s, lambda: self._read_load(number, name))

    def _load_figures(self, number: int, engine: Engine, age_s: float) -> LoadFigures:
        """Return the current load report of a target for a router."""
        engine.advance(self.now_s)
        first_new_change = self._reported_changes.get((number, engine.name), 0)
        self._reported_changes[(number, engine.name)] = len(engine.changes)
        changes: tuple[CacheChange, ...] = tuple(
            change
            for change in engine.changes[first_new_change:]
            if self._rng.random() >= self.load.event_loss
        )
        return LoadFigures(
            engine.running,
            engine.waiting,
            engine.spec.slots,
            self._tokens_per_s(number, engine),
            age_s,
            tuple(sorted(engine.models)),
            engine.sequence,
            changes,
        )

    def _tokens_per_s(self, number: int, engine: Engine) -> float:
        """Return the tokens per second since the last reading for this router."""
        read_s, tokens = self._last_token_readings.get(
            (number, engine.name), (0.0, 0.0)
        )
        self._last_token_readings[(number, engine.name)] = (self.now_s, engine.tokens)
        return (engine.tokens - tokens) / max(1e-6, self.now_s - read_s)

    def _deliver_report(
        self, number: int, name: TargetName, figures: LoadFigures
    ) -> None:
        self.routers[number].report(name, figures, self.now_s)
        self._poll(number)

    # Requests.

    def _arrive(
        self, arrival: Arrival, retry_number: int, is_advised_retry: bool = False
    ) -> None:
        if retry_number:
            timeout_s = arrival.item.deadline_s - arrival.item.arrived_s
            item = evolve(
                arrival.item,
                request_id=f"{arrival.item.request_id}'{retry_number}",
                arrived_s=self.now_s,
                deadline_s=self.now_s + timeout_s,
            )
            arrival = evolve(arrival, item=item)
        record = Record(
            arrival,
            self.now_s,
            retry_number=retry_number,
            is_advised_retry=is_advised_retry,
            item=arrival.item,
        )
        self.records.append(record)
        number = self._router_number(record)
        self._open_records[arrival.item.request_id] = record
        self._retries[number].first_attempt(self.now_s)
        router = self.routers[number]
        if isinstance(router, Oracle):
            expected_output_tokens = (
                arrival.mean_output_tokens if router.blind else arrival.output_tokens
            )
            router.outputs[arrival.item.request_id] = expected_output_tokens
        request_id = arrival.item.request_id
        self.schedule(arrival.item.deadline_s, lambda: self._time_out(request_id))
        self._submit(record)

    def _router_number(self, record: Record) -> int:
        return record.arrival.router % len(self.routers)

    def _submit(self, record: Record) -> None:
        if record.outcome:
            return
        number = self._router_number(record)
        assert record.item is not None
        decided = self.routers[number].submit(record.item, self.now_s)
        match decided:
            case Placement():
                self._dispatch(decided)
            case Refused():
                record.retry_after_s = decided.retry_after_s
                self._finish(record, Outcome.REFUSED)
            case Queued():
                pass
        self._poll(number)

    def _dispatch(self, placement: Placement) -> None:
        record = self._open_records[placement.item.request_id]
        record.target = placement.target
        record.placed_s = self.now_s
        record.attempts += 1
        self.placements += 1
        engine = self.engines[placement.target]
        if engine.failing:
            self.schedule(self.now_s + FAILURE_DELAY_S, lambda: self._fail(record))
            return
        job = Job(
            placement.item.request_id,
            int(placement.item.priority),
            placement.item.prompt_tokens,
            record.arrival.output_tokens,
            placement.item.prefix_digests,
        )
        record.job = job
        if isinstance(self.routers[0], Oracle):
            engine.add(job, self.now_s)
            self._schedule_wake(engine)
            return
        self.schedule(self.now_s + HOP_DELAY_S, lambda: self._deliver(engine, job))

    def _deliver(self, engine: Engine, job: Job) -> None:
        if job.finished:
            return
        engine.add(job, self.now_s)
        self._schedule_wake(engine)

    def _fail(self, record: Record) -> None:
        if record.outcome:
            return
        number = self._router_number(record)
        router = self.routers[number]
        assert record.target is not None and record.item is not None
        end = AttemptEnd(AttemptKind.FAILED)
        router.ended(record.item.request_id, record.target, end, self.now_s)
        record.item = evolve(
            record.item, excluded=record.item.excluded | {record.target}
        )
        record.target = None
        wait_s = None
        if record.attempts < MAX_ATTEMPTS:
            if self._retries[number].may_retry(self.now_s) is True:
                wait_s = backoff_s(
                    RetryPolicy(),
                    record.attempts,
                    self.now_s,
                    record.item.deadline_s,
                    0.5,
                    self._rng,
                )
        if wait_s is None:
            self._finish(record, Outcome.FAILED)
        else:
            self.schedule(self.now_s + wait_s, lambda: self._submit(record))
        self._poll(number)

    def _time_out(self, request_id: str) -> None:
        record = self._open_records.get(request_id)
        if record is None:
            return
        number = self._router_number(record)
        router = self.routers[number]
        self._finish(record, Outcome.LATE)
        if record.target is None:
            router.cancel(request_id, self.now_s)
        else:
            engine = self.engines[record.target]
            if record.job is not None:
                engine.cancel(record.job, self.now_s)
                self._schedule_wake(engine)
            end = AttemptEnd(AttemptKind.CANCELLED)
            router.ended(request_id, record.target, end, self.now_s)
        self._poll(number)

    def _notify(self, job: Job, event: str, now_s: float) -> None:
        record = self._open_records.get(job.request_id)
        if record is None:
            return
        number = self._router_number(record)
        router = self.routers[number]
        match event:
            case "started":
                router.started(job.request_id, now_s)
            case "first":
                if record.first_s is None:
                    record.first_s = now_s - record.submitted_s
                router.first_token(job.request_id, now_s)
            case _:
                assert record.target is not None
                end = AttemptEnd(AttemptKind.OK, job.prompt_tokens, job.output_tokens)
                target = record.target
                router.ended(job.request_id, target, end, now_s)
                self._finish(record, Outcome.GOOD)
                self.schedule(now_s, lambda: self._on_answered(number, target))

    def _on_answered(self, number: int, target: TargetName) -> None:
        engine = self.engines[target]
        if self.load.report_with_answers and not engine.frozen:
            figures = self._load_figures(number, engine, 0.0)
            self.routers[number].report(target, figures, self.now_s)
        self._poll(number)

    def _finish(self, record: Record, outcome: str) -> None:
        record.outcome = outcome
        record.response_s = self.now_s - record.submitted_s
        item = record.arrival.item
        del self._open_records[item.request_id]
        if outcome in (Outcome.REFUSED, Outcome.EXPIRED):
            record.had_capacity = self._had_capacity(record)
        if outcome == Outcome.GOOD or record.retry_number >= self.load.caller_retries:
            return
        wait_s = record.retry_after_s
        if wait_s is None:
            wait_s = 0.5
        arrival = record.arrival
        next_retry_number = record.retry_number + 1
        original = item.request_id.split("'")[0]
        next_arrival = evolve(arrival, item=evolve(item, request_id=original))
        is_advised_retry = record.retry_after_s is not None
        self.schedule(
            self.now_s + wait_s,
            lambda: self._arrive(next_arrival, next_retry_number, is_advised_retry),
        )

    def _had_capacity(self, record: Record) -> bool:
        """Return whether there was capacity to complete a request in time.

        That is the case if the slots on which it would end in time outnumber the queued
        requests that could use them: a slot that is free only until the next queued
        request takes it is not spare capacity.
        """
        item = record.arrival.item
        shared_models: set[str] = set()
        for engine in self.engines.values():
            if item.model in engine.models:
                shared_models |= engine.models
        queued = sum(
            1
            for other in self._open_records.values()
            if other.target is None and other.arrival.item.model in shared_models
        )
        free_slots = 0
        for engine in self.engines.values():
            if item.model not in engine.models or engine.failing:
                continue
            if engine.name in self._draining:
                continue
            slots = engine.spec.slots - engine.running - engine.waiting
            if slots <= 0:
                continue
            engine.advance(self.now_s)
            duration_s = engine.remaining_s(
                item.prompt_tokens, record.arrival.output_tokens, item.prefix_digests
            )
            if self.now_s + duration_s <= item.deadline_s:
                free_slots += slots
        return free_slots > queued

    # Scheduling.

    def _schedule_wake(self, engine: Engine) -> None:
        engine.wake_version += 1
        at_s = engine.next_event_s()
        if at_s is None:
            return
        wake_version = engine.wake_version
        self.schedule(max(at_s, self.now_s), lambda: self._wake(engine, wake_version))

    def _wake(self, engine: Engine, wake_version: int) -> None:
        if wake_version != engine.wake_version:
            return
        engine.wake(self.now_s)
        self._schedule_wake(engine)

    def _poll(self, number: int) -> None:
        router = self.routers[number]
        while True:
            decided = router.poll(self.now_s)
            if not decided:
                break
            for decision in decided:
                match decision:
                    case Placement():
                        self._dispatch(decision)
                    case Expired():
                        record = self._open_records[decision.item.request_id]
                        record.retry_after_s = decision.retry_after_s
                        self._finish(record, Outcome.EXPIRED)
        at_s = router.next_poll_s(self.now_s)
        scheduled_s = self._scheduled_polls_s[number]
        if at_s is None or (
            scheduled_s is not None and scheduled_s <= max(at_s, self.now_s)
        ):
            return
        at_s = max(at_s, self.now_s + 1e-3)
        self._scheduled_polls_s[number] = at_s
        self.schedule(at_s, lambda: self._timed_poll(number))

    def _timed_poll(self, number: int) -> None:
        self._scheduled_polls_s[number] = None
        self._poll(number)
