"""The bench's virtual time: arrivals, routers, targets, lagged reports."""

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

__all__ = ["MakeRouter", "Outcome", "Record", "World"]

#: One way between a router and a target.
HOP_S = 0.001

#: What a target that fails fast takes to fail.
FAIL_S = 0.005

#: How often a router tries a failed request again.
ATTEMPTS = 3

MakeRouter = Callable[[AvailabilityZone, random.Random], Router]


class Outcome:
    """How a request ended for its caller."""

    GOOD = "good"
    LATE = "late"
    REFUSED = "refused"
    EXPIRED = "expired"
    FAILED = "failed"


@define(eq=False)
class Record:
    """Hold what a caller saw of one request.

    :param room: whether a target could have taken and finished it in time when
        it was refused or given up.
    :param told_s: how long the caller waited for its final answer.
    """

    arrival: Arrival
    submitted_s: float
    outcome: str = ""
    first_s: float | None = None
    told_s: float = 0.0
    room: bool = False
    target: TargetName | None = None
    placed_s: float = 0.0
    attempts: int = 0
    comebacks: int = 0
    retry_after_s: float | None = None
    told_back: bool = False
    job: Job | None = None
    item: WorkItem | None = None


class World:
    """Run one load against one kind of router.

    :param oracle: whether one router with perfect knowledge serves all.
    """

    def __init__(
        self, load: Load, make_router: MakeRouter, seed: int, oracle: bool = False
    ) -> None:
        self.load = load
        self.now_s = 0.0
        self.records: list[Record] = []
        self.placements = 0
        self._rng = random.Random(f"world/{seed}")
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._open: dict[str, Record] = {}
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
            self.routers.append(make_router(zones[number % len(zones)], rng))
        self._retries = [RetryBudget(RetryPolicy()) for _ in self.routers]
        self._polls: list[float | None] = [None] * len(self.routers)
        self._draining: set[TargetName] = set()
        self._sent: dict[tuple[int, TargetName], int] = {}
        self._made: dict[tuple[int, TargetName], tuple[float, float]] = {}
        self._stuck: dict[TargetName, LoadFigures] = {}
        for router in self.routers:
            if isinstance(router, Oracle):
                router.engines = self.engines

    # Running.

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Plan an action."""
        self._order += 1
        heapq.heappush(self._events, (at_s, self._order, action))

    def run(self) -> list[Record]:
        """Run the load to its end; every request has an outcome then."""
        self._set_targets()
        for arrival in self.load.arrivals:
            self.at(arrival.at_s, partial(self._arrive, arrival, 0))
        for fault in self.load.faults:
            self.at(fault.begin_s, partial(self._apply, fault, True))
            self.at(fault.end_s, partial(self._apply, fault, False))
        for number in range(len(self.routers)):
            for name in self._seen(number):
                offset_s = self._rng.random() * self.load.report_interval_s
                self.at(offset_s, partial(self._read, number, name))
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        assert not self._open, "a request has no outcome"
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
                    if name in self._seen(number)
                ],
                self.now_s,
            )
        for number in range(len(self.routers)):
            self._poll(number)

    def _seen(self, number: int) -> tuple[TargetName, ...]:
        """Return the targets that a router talks to."""
        if self.load.subsets and len(self.routers) > 1:
            return self.load.subsets[number]
        return tuple(self.engines)

    def _apply(self, fault: Fault, begins: bool) -> None:
        engine = self.engines[TargetName(fault.target)]
        engine.advance(self.now_s)
        engine.speed = fault.speed if begins else 1.0
        engine.failing = fault.failing and begins
        engine.frozen = fault.frozen and begins
        if fault.draining:
            self._draining.symmetric_difference_update({engine.name})
            self._set_targets()
        self._plan_wake(engine)

    # Load reports.

    def _read(self, number: int, name: TargetName) -> None:
        engine = self.engines[name]
        if engine.frozen and name in self._stuck:
            figures = self._stuck[name]
        else:
            figures = self._figures(number, engine, self.load.report_lag_s)
            self._stuck[name] = figures
        lag_s = self.load.report_lag_s
        self.at(self.now_s + lag_s, lambda: self._report(number, name, figures))
        if self.now_s < self.load.duration_s + 60.0:
            wait_s = self.load.report_interval_s * self._rng.uniform(0.9, 1.1)
            self.at(self.now_s + wait_s, lambda: self._read(number, name))

    def _figures(self, number: int, engine: Engine, age_s: float) -> LoadFigures:
        """Return what a target says of itself now."""
        engine.advance(self.now_s)
        since = self._sent.get((number, engine.name), 0)
        self._sent[(number, engine.name)] = len(engine.changes)
        changes: tuple[CacheChange, ...] = tuple(
            change
            for change in engine.changes[since:]
            if self._rng.random() >= self.load.event_loss
        )
        return LoadFigures(
            engine.running,
            engine.waiting,
            engine.spec.slots,
            self._rate(number, engine),
            age_s,
            tuple(sorted(engine.models)),
            engine.sequence,
            changes,
        )

    def _rate(self, number: int, engine: Engine) -> float:
        """Return the tokens per second since this router's last reading."""
        read_s, tokens = self._made.get((number, engine.name), (0.0, 0.0))
        self._made[(number, engine.name)] = (self.now_s, engine.tokens)
        return (engine.tokens - tokens) / max(1e-6, self.now_s - read_s)

    def _report(self, number: int, name: TargetName, figures: LoadFigures) -> None:
        self.routers[number].report(name, figures, self.now_s)
        self._poll(number)

    # Requests.

    def _arrive(
        self, arrival: Arrival, comebacks: int, told_back: bool = False
    ) -> None:
        if comebacks:
            kept_s = arrival.item.deadline_s - arrival.item.arrived_s
            item = evolve(
                arrival.item,
                request_id=f"{arrival.item.request_id}'{comebacks}",
                arrived_s=self.now_s,
                deadline_s=self.now_s + kept_s,
            )
            arrival = evolve(arrival, item=item)
        record = Record(
            arrival,
            self.now_s,
            comebacks=comebacks,
            told_back=told_back,
            item=arrival.item,
        )
        self.records.append(record)
        number = self._number(record)
        self._open[arrival.item.request_id] = record
        self._retries[number].first_attempt(self.now_s)
        router = self.routers[number]
        if isinstance(router, Oracle):
            known = arrival.mean_output if router.blind else arrival.output_tokens
            router.outputs[arrival.item.request_id] = known
        request_id = arrival.item.request_id
        self.at(arrival.item.deadline_s, lambda: self._time_out(request_id))
        self._submit(record)

    def _number(self, record: Record) -> int:
        return record.arrival.router % len(self.routers)

    def _submit(self, record: Record) -> None:
        if record.outcome:
            return
        number = self._number(record)
        assert record.item is not None
        decided = self.routers[number].submit(record.item, self.now_s)
        match decided:
            case Placement():
                self._hand_over(decided)
            case Refused():
                record.retry_after_s = decided.retry_after_s
                self._finish(record, Outcome.REFUSED)
            case Queued():
                pass
        self._poll(number)

    def _hand_over(self, placement: Placement) -> None:
        record = self._open[placement.item.request_id]
        record.target = placement.target
        record.placed_s = self.now_s
        record.attempts += 1
        self.placements += 1
        engine = self.engines[placement.target]
        if engine.failing:
            self.at(self.now_s + FAIL_S, lambda: self._fail(record))
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
            self._plan_wake(engine)
            return
        self.at(self.now_s + HOP_S, lambda: self._deliver(engine, job))

    def _deliver(self, engine: Engine, job: Job) -> None:
        if job.gone:
            return
        engine.add(job, self.now_s)
        self._plan_wake(engine)

    def _fail(self, record: Record) -> None:
        if record.outcome:
            return
        number = self._number(record)
        router = self.routers[number]
        assert record.target is not None and record.item is not None
        end = AttemptEnd(AttemptKind.FAILED)
        router.ended(record.item.request_id, record.target, end, self.now_s)
        record.item = evolve(
            record.item, excluded=record.item.excluded | {record.target}
        )
        record.target = None
        wait_s = None
        if record.attempts < ATTEMPTS:
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
            self.at(self.now_s + wait_s, lambda: self._submit(record))
        self._poll(number)

    def _time_out(self, request_id: str) -> None:
        record = self._open.get(request_id)
        if record is None:
            return
        number = self._number(record)
        router = self.routers[number]
        self._finish(record, Outcome.LATE)
        if record.target is None:
            router.cancel(request_id, self.now_s)
        else:
            engine = self.engines[record.target]
            if record.job is not None:
                engine.cancel(record.job, self.now_s)
                self._plan_wake(engine)
            end = AttemptEnd(AttemptKind.CANCELLED)
            router.ended(request_id, record.target, end, self.now_s)
        self._poll(number)

    def _notify(self, job: Job, what: str, now_s: float) -> None:
        record = self._open.get(job.request_id)
        if record is None:
            return
        number = self._number(record)
        router = self.routers[number]
        match what:
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
                self.at(now_s, lambda: self._answered(number, target))

    def _answered(self, number: int, target: TargetName) -> None:
        engine = self.engines[target]
        if self.load.report_with_answers and not engine.frozen:
            figures = self._figures(number, engine, 0.0)
            self.routers[number].report(target, figures, self.now_s)
        self._poll(number)

    def _finish(self, record: Record, outcome: str) -> None:
        record.outcome = outcome
        record.told_s = self.now_s - record.submitted_s
        item = record.arrival.item
        del self._open[item.request_id]
        if outcome in (Outcome.REFUSED, Outcome.EXPIRED):
            record.room = self._room(record)
        if outcome == Outcome.GOOD or record.comebacks >= self.load.caller_retries:
            return
        wait_s = record.retry_after_s
        if wait_s is None:
            wait_s = 0.5
        arrival = record.arrival
        again = record.comebacks + 1
        original = item.request_id.split("'")[0]
        fresh = evolve(arrival, item=evolve(item, request_id=original))
        told = record.retry_after_s is not None
        self.at(self.now_s + wait_s, lambda: self._arrive(fresh, again, told))

    def _room(self, record: Record) -> bool:
        """Return whether capacity was there for it.

        Targets with a free slot on which it would end in time, and more such
        slots than there is queued work that could use them: a slot that was
        free for a moment, in front of a queue, is not capacity to spare.
        """
        item = record.arrival.item
        rivals: set[str] = set()
        for engine in self.engines.values():
            if item.model in engine.models:
                rivals |= engine.models
        queued = sum(
            1
            for other in self._open.values()
            if other.target is None and other.arrival.item.model in rivals
        )
        free = 0
        for engine in self.engines.values():
            if item.model not in engine.models or engine.failing:
                continue
            if engine.name in self._draining:
                continue
            slots = engine.spec.slots - engine.running - engine.waiting
            if slots <= 0:
                continue
            engine.advance(self.now_s)
            taken_s = engine.remaining_s(
                item.prompt_tokens, record.arrival.output_tokens, item.prefix_digests
            )
            if self.now_s + taken_s <= item.deadline_s:
                free += slots
        return free > queued

    # Wakes.

    def _plan_wake(self, engine: Engine) -> None:
        engine.version += 1
        at_s = engine.next_event_s()
        if at_s is None:
            return
        version = engine.version
        self.at(max(at_s, self.now_s), lambda: self._wake(engine, version))

    def _wake(self, engine: Engine, version: int) -> None:
        if version != engine.version:
            return
        engine.wake(self.now_s)
        self._plan_wake(engine)

    def _poll(self, number: int) -> None:
        router = self.routers[number]
        while True:
            decided = router.poll(self.now_s)
            if not decided:
                break
            for decision in decided:
                match decision:
                    case Placement():
                        self._hand_over(decision)
                    case Expired():
                        record = self._open[decision.item.request_id]
                        record.retry_after_s = decision.retry_after_s
                        self._finish(record, Outcome.EXPIRED)
        at_s = router.next_poll_s(self.now_s)
        planned = self._polls[number]
        if at_s is None or (planned is not None and planned <= max(at_s, self.now_s)):
            return
        at_s = max(at_s, self.now_s + 1e-3)
        self._polls[number] = at_s
        self.at(at_s, lambda: self._timed_poll(number))

    def _timed_poll(self, number: int) -> None:
        self._polls[number] = None
        self._poll(number)
