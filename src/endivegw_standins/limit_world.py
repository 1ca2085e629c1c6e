"""Simulated routers that share the limits of targets, in virtual time.

Placement, permits and datagrams are those of production; targets answer after a fixed
time.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import Any, Callable

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from endivegw.allowances.witnesses import Statement
from endivegw.daemons.placement_queue import PlacementQueue
from endivegw.decisions import (
    SERVICE_PREFIX,
    AttemptEnd,
    AttemptKind,
    Dispatcher,
    LoadFigures,
    PermitRequest,
    Placement,
    Policy,
    SendLimit,
    TargetView,
    WorkItem,
)
from endivegw.gossip.peers import PeerEntry, PeerTable
from endivegw.routing import LimitReport, TargetLimits
from endivegw.telemetry import EventLog
from endivegw.types import (
    AvailabilityZone,
    ClientAccountName,
    InstanceId,
    Priority,
    TargetName,
    TargetStart,
)
from endivegw_standins.linked_world import SimulatedLink, SimulatedNetwork

__all__ = ["LimitRouter", "LimitWorld", "LimitedTarget"]

_MODEL = SERVICE_PREFIX + "app"
_ZONE = AvailabilityZone("z")
_PORT = 1


@define(eq=False)
class LimitedTarget:
    """A target that states a limit in its answers.

    :ivar limit_per_s: the limit; None to state none.
    :ivar arrivals_s: times at which requests arrived.
    """

    name: TargetName
    limit_per_s: float | None = None
    answer_s: float = 0.02
    slots: int = 64
    arrivals_s: list[float] = field(factory=list)


@define(eq=False)
class LimitRouter:
    """One router's placement, permits and knowledge of limits."""

    world: LimitWorld
    vm: str
    instance_id: InstanceId
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    queue: PlacementQueue = field(init=False)
    link: SimulatedLink = field(init=False)
    limits: TargetLimits = field(init=False)

    def __attrs_post_init__(self) -> None:
        rng = random.Random(self.world.rng.random())
        self.limits = TargetLimits(rng.random)
        self.link = _link(self, rng)
        dispatcher = Dispatcher(
            Policy(choices=32, frozen_reports=1_000_000_000), _ZONE, rng
        )
        way = self.world.way
        request = self.link.request_permits if way is None else way(self)
        self.queue = PlacementQueue(dispatcher, self.world.clock, request)

    async def run(self) -> None:
        """Exchange datagrams and poll the queue until killed."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.link.run)
                tasks.start_soon(self.queue.run)
                tasks.start_soon(self._report_load)

    def apply(self) -> None:
        """Pass the targets with their limits to the dispatcher."""
        now_s = self.world.clock()
        views = [self._view(target, now_s) for target in self.world.targets]
        self.queue.dispatcher.set_targets(views, now_s)
        self.queue.wake()

    def on_report(self, report: Any) -> None:
        """Apply another router's report of a limit."""
        if self.limits.on_report(report, self.world.clock()):
            self.apply()
            self.link.broadcast(report)

    def on_answer(
        self, target: LimitedTarget, limit: float | None, sent: float
    ) -> None:
        """Apply what an answer states."""
        start = TargetStart(InstanceId(target.name), None)
        report = self.limits.on_answer(start, limit, sent, self.world.clock())
        if report is not None:
            self.apply()
            self.link.broadcast(report)

    async def _report_load(self) -> None:
        """Report to the dispatcher what all routers have running at the targets."""
        dispatcher = self.queue.dispatcher
        while True:
            await anyio.sleep(self.link.interval_s())
            now_s = self.world.clock()
            others = self.link.peers.load(now_s)
            local = dispatcher.local_load()
            for target in self.world.targets:
                loads = (others.get(target.name), local.get(target.name))
                running = sum(load.running for load in loads if load is not None)
                figures = LoadFigures(running, 0, target.slots, 0.0, 0.0)
                dispatcher.report(target.name, figures, now_s)
            self.queue.wake()

    def _view(self, target: LimitedTarget, now_s: float) -> TargetView:
        start = TargetStart(InstanceId(target.name), None)
        applied = self.limits.applied(start, now_s)
        limit = None
        if applied is not None:
            part_per_s = applied.rate_per_s / self.link.peers.routers()
            limit = SendLimit(applied.rate_per_s, part_per_s, applied.ends_s)
        return TargetView(
            target.name,
            InstanceId(target.name),
            f"{target.name}:80",
            _ZONE,
            frozenset({_MODEL}),
            target.slots,
            limit=limit,
        )


@define(eq=False)
class LimitWorld:
    """Routers and targets of one service.

    :ivar outcomes: number of requests by outcome.
    :ivar retries_s: Retry-After of each refused request.
    :ivar longest_refusal_s: longest time after which a request was refused.
    :ivar way: returns how a router asks for permits; None for the way of production.
    """

    rng: random.Random
    tasks: TaskGroup
    targets: list[LimitedTarget]
    network: SimulatedNetwork = field(init=False)
    routers: dict[str, LimitRouter] = field(factory=dict)
    outcomes: Counter[str] = field(factory=Counter)
    retries_s: list[float] = field(factory=list)
    longest_refusal_s: float = 0.0
    deadline_s: float = 1.0
    way: Callable[[LimitRouter], Callable[[PermitRequest], None]] | None = None
    _entries: dict[str, PeerEntry] = field(factory=dict)
    _starts: int = 0
    _requests: int = 0

    def __attrs_post_init__(self) -> None:
        self.network = SimulatedNetwork(self.rng)

    def clock(self) -> float:
        """Return the virtual time."""
        return anyio.current_time()

    def start(self, vm: str) -> LimitRouter:
        """Start a router's process; it knows nothing of earlier processes."""
        self._starts += 1
        router = LimitRouter(self, vm, InstanceId(f"{vm}-{self._starts}"))
        self._entries[vm] = router.link.entry
        self.routers[vm] = router
        for other in self.routers.values():
            other.link.peers.put(router.link.entry)
        for entry in self._entries.values():
            router.link.peers.put(entry)
        router.link.peers.listed = True
        router.apply()
        self.tasks.start_soon(router.run)
        return router

    def kill(self, vm: str) -> None:
        """Kill a router; its row stays registered."""
        self.routers.pop(vm).scope.cancel()

    async def send(self, duration_s: float, per_s: float, weights: list[float]) -> None:
        """Send requests through routers drawn by weight."""
        end_s = self.clock() + duration_s
        vms = [f"vm-{number}" for number in range(len(weights))]
        while self.clock() < end_s:
            await anyio.sleep(self.rng.expovariate(per_s))
            (vm,) = self.rng.choices(vms, weights)
            if vm in self.routers:
                self.tasks.start_soon(self._request, self.routers[vm])

    async def _request(self, router: LimitRouter) -> None:
        self._requests += 1
        arrived_s = self.clock()
        item = WorkItem(
            f"r-{self._requests}",
            ClientAccountName("hotel"),
            Priority.NORMAL,
            1.0,
            _MODEL,
            arrived_s + self.deadline_s,
            0,
            0,
            arrived_s,
        )
        placement = await router.queue.place(item)
        if not isinstance(placement, Placement):
            self.outcomes[placement.reason.value] += 1
            self.retries_s.append(placement.retry_after_s or 0.0)
            waited_s = self.clock() - arrived_s
            self.longest_refusal_s = max(self.longest_refusal_s, waited_s)
            return
        await self._run(router, placement)

    async def _run(self, router: LimitRouter, placement: Placement) -> None:
        """Send a placed request, and apply the target's answer."""
        dispatcher = router.queue.dispatcher
        request_id, name = placement.item.request_id, placement.target
        sent_s = self.clock()
        kind = AttemptKind.CANCELLED
        if dispatcher.availability.start_send(request_id, name, sent_s):
            target = next(t for t in self.targets if t.name == name)
            target.arrivals_s.append(sent_s)
            limit_per_s = target.limit_per_s
            await anyio.sleep(target.answer_s)
            router.on_answer(target, limit_per_s, sent_s)
            kind = AttemptKind.OK
        self.outcomes[kind.value] += 1
        dispatcher.ended(request_id, name, AttemptEnd(kind), self.clock())
        router.queue.wake()


def _link(router: LimitRouter, rng: random.Random) -> SimulatedLink:
    """Return a router's link with its permits wired as in production."""
    ignore: Any = lambda *args: None  # noqa: E731

    async def lend(account: Any, min_tokens: int, wanted_tokens: int) -> int:
        return 0

    def on_broadcast(update: Any) -> None:
        if isinstance(update, LimitReport):
            router.on_report(update)

    link = SimulatedLink(
        PeerEntry(router.vm, router.instance_id, router.vm, _PORT),
        PeerTable(router.vm),
        lend=lend,
        surplus=dict,
        load=lambda: router.queue.dispatcher.local_load(),
        pop_prefixes=list,
        on_prefixes_read=ignore,
        on_loan=ignore,
        on_acknowledgement=ignore,
        make_statement=lambda sequence: Statement(sequence, 0.0),
        named_witnesses=tuple,
        clock=router.world.clock,
        log=EventLog("world"),
        on_broadcast=on_broadcast,
        on_permits=lambda *answer: router.queue.add_permits(*answer),
        rng=rng,
    )
    link.network = router.world.network
    return link
