"""Simulate callers, routers and sidecars with faults in virtual time, in memory.

The decisions are made by production code: at the routers the state machine of a
request and its driver, at the sidecars the gate, the start registry and the service for
key slots. This module injects the faults and counts the results of the callers.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any, AsyncIterator, Callable

import anyio
from anyio.abc import TaskGroup
from attrs import define, evolve, field

from endivegw.daemons.claim_client import ClaimClient
from endivegw.daemons.request_driver import PlacedTarget, RequestDriver
from endivegw.daemons.sidecar import Sidecar
from endivegw.daemons.sidecar_jobs import ServiceTarget
from endivegw.daemons.sidecar_ports import SidecarSettings
from endivegw.daemons.slot_claim_service import SlotClaimService, SlotClaimSettings
from endivegw.daemons.slot_map_reader import SlotMapReader
from endivegw.decisions.retry import RetryBudget, RetryPolicy
from endivegw.exceptions import PeerError
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.attempt_limits import AttemptLimits
from endivegw.requests.attempts import RequestStateMachine
from endivegw.requests.claims import ClaimAnswer, ClaimProposal
from endivegw.requests.slots import AcquisitionRule
from endivegw.requests.starts import StartRegistry
from endivegw.requests.steps import Ending, HandOver, RequestFacts
from endivegw.results import Done, Reason, Refused, Result
from endivegw.services import ListedVm, VmState
from endivegw.targets.ports import ServiceAnswerHead, ServiceRequest
from endivegw.telemetry import EventLog, NoMetrics
from endivegw.types import (
    AttemptId,
    AvailabilityZone,
    ClientAccountName,
    ConfigRevision,
    InstanceId,
    Outcome,
    RequestIdentity,
    TargetName,
)
from endivegw_standins.faulty_table import FaultyTable, TableFaults
from endivegw_standins.memory_table import MemoryTable
from endivegw_standins.request_net import FaultyClient, Host, NetFaults
from endivegw_standins.request_report import WorldLimits, WorldReport
from endivegw_standins.virtual_time import VirtualLoop

__all__ = ["RequestWorld", "WorldLimits", "WorldReport", "run_world"]

_CHUNKS = 4
_BODY_DIGEST = b"digest"


class _Service:
    """A plain service that records each call and answers in chunks."""

    def __init__(self, world: RequestWorld) -> None:
        self._world = world

    async def call(
        self, request: ServiceRequest, body: AsyncIterator[bytes]
    ) -> AsyncIterator[ServiceAnswerHead | bytes]:
        self._world.record_start(request.attempt_id)
        yield ServiceAnswerHead(200, ())
        for chunk in range(_CHUNKS):
            await anyio.sleep(self._world.limits.service_s / _CHUNKS)
            yield _chunk(request.attempt_id, chunk)


class _Grants:
    """Grants that admit everything, because plain services need none."""

    def consume(self, attempt_id: AttemptId, tokens: int, now_s: float) -> None:
        pass

    def admit(self, *order: Any) -> Refused | None:
        return None

    def end(self, *order: Any) -> None:
        pass

    def seal(self, *order: Any) -> tuple[()]:
        return ()


class _Configuration:
    revision = ConfigRevision(1)

    def receive_header(self, header: pb.Header) -> None:
        pass

    def newer_than(self, revision: ConfigRevision) -> bytes:
        return b""


@define(eq=False)
class _Router:
    """A router process. A paused one blocks at its next call."""

    number: int
    maps: SlotMapReader
    claims: ClaimClient
    retries: RetryBudget
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    died: anyio.Event = field(factory=anyio.Event)
    running: anyio.Event = field(factory=anyio.Event)


@define
class _Ports:
    """The ports of a router that the driver of one request uses."""

    world: RequestWorld
    router: _Router
    facts: RequestFacts
    received: bytearray = field(factory=bytearray)

    async def place(self, avoid: frozenset[TargetName]) -> PlacedTarget | Refused:
        await self.router.running.wait()
        known = self.world.heartbeats
        usable = sorted(set(known) - avoid) or sorted(known)
        if not usable:
            return Refused(Reason.NO_TARGET, "no target is known")
        target = self.world.rng.choice(usable)
        return PlacedTarget(target, known[target])

    def client(self, target: TargetName) -> Any:
        host = self.world.hosts.get(target)
        return None if host is None else self.world.client(host)

    def header(self) -> pb.Header:
        return self.world.header()

    def start(self, step: HandOver) -> pb.ExecuteStart:
        identity = self.facts.identity
        self.world.identities[step.attempt_id] = identity
        remaining_s = self.facts.deadline_s - self.world.now_s()
        start = pb.ExecuteStart(
            header=self.header(),
            client_account=identity.client_account,
            idempotency_key=identity.idempotency_key,
            body_digest=self.facts.body_digest,
            repeatable=self.facts.repeatable,
            remaining_s=max(remaining_s, 0.0),
        )
        start.service.service = "s"
        return start

    def cancel_if_caller_left(self) -> None:
        pass

    def may_start(self) -> bool:
        return True

    def body(self) -> None:
        return None

    async def claim(self, proposal: ClaimProposal) -> ClaimAnswer | None:
        await self.router.running.wait()
        started_s = self.world.now_s()
        answer = await self.router.claims.claim(self.facts.identity, proposal)
        self.world.report.claim_s.append(self.world.now_s() - started_s)
        # A pause at this point is the worst case: the claim is held but the order has
        # not been sent.
        await self.router.running.wait()
        return answer

    async def head(self, status: int, fields: tuple[tuple[str, str], ...]) -> None:
        pass

    async def data(self, data: bytes) -> None:
        self.received += data

    def reset(self) -> None:
        self.received.clear()

    def on_header(self, header: pb.Header) -> None:
        pass

    def target_ended(self, end: str) -> None:
        pass

    def refused(self, step: HandOver, refused: Refused) -> None:
        pass


class RequestWorld:
    """A simulated fleet whose faults can be changed while it runs.

    :ivar heartbeats: incarnations known to the routers, which lag slightly.
    """

    def __init__(self, limits: WorldLimits, seed: int, background: TaskGroup) -> None:
        self.limits = limits
        self.rng = random.Random(seed)
        self.background = background
        self.table = MemoryTable()
        self.table_faults = TableFaults()
        self.net_faults = NetFaults()
        self.hosts: dict[TargetName, Host] = {}
        self.heartbeats: dict[TargetName, str] = {}
        self.routers: list[_Router] = []
        self.identities: dict[AttemptId, RequestIdentity] = {}
        self.starts: Counter[RequestIdentity] = Counter()
        self.started: set[AttemptId] = set()
        self.report = WorldReport()
        self._not_run: list[frozenset[AttemptId]] = []
        self._attempts_by_identity: dict[RequestIdentity, set[AttemptId]] = {}
        self._non_repeatable: set[RequestIdentity] = set()
        self._vms = 0
        self._ids = 0

    def now_s(self) -> float:
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    def header(self) -> pb.Header:
        """Return the header of messages sent by routers."""
        return pb.Header(protocol_version=1, instance_id="r", config_revision=1)

    def client(self, host: Host) -> FaultyClient:
        """Return a connection to a host."""
        return FaultyClient(host, self.net_faults, self.rng, self.background)

    def record_start(self, attempt_id: AttemptId) -> None:
        """Record that a target started to run an attempt."""
        self.starts[self.identities[attempt_id]] += 1
        self.started.add(attempt_id)

    async def start(self) -> None:
        """Start all processes and wait until the slots have owners."""
        for number in range(self.limits.targets):
            self.add_target(f"t{number}")
        for _ in range(self.limits.routers):
            self.add_router()
        self.background.start_soon(self._heartbeat)
        await anyio.sleep(60.0)

    def add_target(self, target: str) -> None:
        """Add a new machine beside a target."""
        self._vms += 1
        vm = f"vm{self._vms}"
        host = Host(vm, target, vm)
        self.hosts[TargetName(target)] = host
        self.start_process(host)

    def start_process(self, host: Host) -> None:
        """Start a sidecar on a host whose previous one, if any, has stopped."""
        host.instances += 1
        host.scope = anyio.CancelScope()
        self.background.start_soon(self._run_process, host, host.scope)

    def stop_process(self, host: Host) -> None:
        """Kill a sidecar process without notice."""
        if host.scope is not None:
            host.scope.cancel()
        host.process = host.tasks = host.claim_service = None

    async def replace_machine(self, host: Host) -> None:
        """Terminate a machine, remove it from the list after a lag, and replace it."""
        self.stop_process(host)
        await anyio.sleep(self.limits.list_lag_s)
        host.listed = False
        self.add_target(host.target)

    def add_router(self) -> None:
        """Start a router process."""
        table = self._table()
        maps = SlotMapReader(table, self.now_s)
        claims = ClaimClient(maps, self._connect, self.header, self.limits.slots)
        router = _Router(len(self.routers), maps, claims, RetryBudget())
        router.running.set()
        self.routers.append(router)
        self.background.start_soon(self._run_router, router)

    async def kill_router(self, router: _Router) -> None:
        """Kill and replace a router; its callers' connections break."""
        self.routers.remove(router)
        router.scope.cancel()
        router.died.set()
        self.add_router()

    async def pause_router(self, router: _Router, duration_s: float) -> None:
        """Pause a router for a while, then resume it."""
        router.running = anyio.Event()
        await anyio.sleep(duration_s)
        router.running.set()

    async def call(self, number: int, *, repeatable: bool) -> None:
        """Send a request as one caller, retrying with the same key."""
        identity = RequestIdentity(ClientAccountName("a"), f"key-{number}")
        self.report.requests += 1
        ending: Ending | None = None
        died_s: float | None = None
        for attempt in range(self.limits.tries):
            router = self.rng.choice(self.routers)
            ending = await self._try(router, identity, repeatable)
            result = "router died" if ending is None else ending.outcome.value
            if attempt == 0:
                self.report.first[result] += 1
            if ending is None and died_s is None:
                died_s = self.now_s()
            if ending is not None and ending.outcome is Outcome.ANSWERED:
                if died_s is not None:
                    self.report.retry_s.append(self.now_s() - died_s)
                break
            # A broken connection is retried at once, a reported result after a delay.
            if ending is not None:
                await anyio.sleep(self.rng.uniform(0.0, 2.0))
        self._record_last(ending)

    def verify(self) -> WorldReport:
        """Compare the reported results with what ran; call at the end."""
        report = self.report
        report.ran_twice = sum(
            count > 1
            for identity, count in self.starts.items()
            if identity in self._non_repeatable
        )
        for attempts in self._not_run:
            report.false_not_run += bool(attempts & self.started)
        return report

    def _record_last(self, ending: Ending | None) -> None:
        if ending is None:
            self.report.lost += 1
            return
        self.report.last[ending.outcome.value] += 1
        if ending.reason is not None:
            self.report.reasons[f"{ending.outcome.value}: {ending.reason.value}"] += 1

    async def _try(
        self, router: _Router, identity: RequestIdentity, repeatable: bool
    ) -> Ending | None:
        if not repeatable:
            self._non_repeatable.add(identity)
        deadline_s = self.now_s() + self.limits.deadline_s
        facts = RequestFacts(identity, _BODY_DIGEST, True, repeatable, deadline_s)
        ports = _Ports(self, router, facts)
        attempts: set[AttemptId] = set()
        machine = RequestStateMachine(
            facts,
            AttemptLimits(),
            RetryPolicy(),
            router.retries,
            self.rng,
            self._new_id(identity, attempts),
        )
        driver = RequestDriver(machine, ports, self.now_s)
        ending = await self._until_death(router, driver)
        if ending is None:
            return None
        if ending.outcome is Outcome.NOT_RUN:
            # For a repeatable request, *not run* refers to this try only; otherwise it
            # refers to every try with the key so far.
            all_tries = self._attempts_by_identity.get(identity, set())
            covered = attempts if repeatable else all_tries
            self._not_run.append(frozenset(covered))
        if ending.outcome is Outcome.ANSWERED:
            self._check_bytes(bytes(ports.received), identity)
        return ending

    async def _until_death(
        self, router: _Router, driver: RequestDriver
    ) -> Ending | None:
        endings: list[Ending] = []

        async def drive() -> None:
            endings.append(await driver.run())
            await router.running.wait()
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drive)
            await router.died.wait()
            tasks.cancel_scope.cancel()
            return None
        return endings[0] if endings else None

    def _check_bytes(self, received: bytes, identity: RequestIdentity) -> None:
        attempt_id = AttemptId(received.split(b"/")[0].decode())
        expected = b"".join(_chunk(attempt_id, chunk) for chunk in range(_CHUNKS))
        belongs = self.identities.get(attempt_id) == identity
        if received != expected or not belongs or attempt_id not in self.started:
            self.report.wrong_bytes += 1

    def _new_id(
        self, identity: RequestIdentity, attempts: set[AttemptId]
    ) -> Callable[[], AttemptId]:
        def new_id() -> AttemptId:
            self._ids += 1
            attempt_id = AttemptId(f"a{self._ids}")
            attempts.add(attempt_id)
            self._attempts_by_identity.setdefault(identity, set()).add(attempt_id)
            return attempt_id

        return new_id

    def _table(self) -> FaultyTable:
        return FaultyTable(self.table, self.table_faults, self.rng, self.background)

    def _connect(self, address: str) -> Any:
        for host in self.hosts.values():
            if host.address == address:
                return self.client(host)
        return self.client(Host(address, "", address))

    async def list_vms(self, *, timeout_s: float) -> Result[tuple[ListedVm, ...]]:
        """Return the VM list, which shows terminations after a lag."""
        zone = AvailabilityZone("z")
        return Done(
            tuple(
                ListedVm(host.vm, host.address, zone, "target", VmState.LIVE)
                for host in self.hosts.values()
                if host.listed
            )
        )

    async def _run_process(self, host: Host, scope: anyio.CancelScope) -> None:
        instance = InstanceId(f"{host.vm}-{host.instances}")
        settings = SidecarSettings(
            TargetName(host.target), instance, AvailabilityZone("z")
        )
        claim_service = SlotClaimService(
            SlotClaimSettings(
                host.vm,
                settings.target,
                instance,
                host.address,
                rule=AcquisitionRule(self.limits.slots),
                limits=self.limits.claims,
            ),
            self._table(),
            self,
            self.now_s,
            lambda: self.now_s() + 1e9,
            EventLog("sidecar"),
        )
        registry = StartRegistry(instance, settings.starts, self.now_s())
        sidecar = Sidecar(
            ServiceTarget(_Service(self)),
            _Grants(),
            registry,
            _Configuration(),
            self.now_s,
            EventLog("sidecar"),
            NoMetrics(),
            settings,
            claims=claim_service,
        )
        with scope:
            async with anyio.create_task_group() as tasks:
                sidecar.start(tasks)
                tasks.start_soon(claim_service.run)
                host.process, host.tasks, host.claim_service = (
                    sidecar,
                    tasks,
                    claim_service,
                )
                await anyio.sleep_forever()

    async def _run_router(self, router: _Router) -> None:
        with router.scope:
            await router.maps.run()

    async def _heartbeat(self) -> None:
        while True:
            for target, host in tuple(self.hosts.items()):
                if host.process is None:
                    self.heartbeats.pop(target, None)
                    continue
                request = pb.HeartbeatRequest(header=self.header())
                client = evolve(self.client(host), faults=NetFaults())
                try:
                    reply = await client.heartbeat(request, 1.0)
                except PeerError:
                    continue
                self.heartbeats[target] = reply.start_incarnation
            await anyio.sleep(0.5)


def run_world(
    limits: WorldLimits,
    seed: int,
    scenario: Callable[[RequestWorld], Any],
) -> WorldReport:
    """Run a world in virtual time.

    :param scenario: a coroutine function that sends requests and injects faults.
    """

    async def main() -> WorldReport:
        async with anyio.create_task_group() as tasks:
            world = RequestWorld(limits, seed, tasks)
            await world.start()
            await scenario(world)
            # Wait for late orders that may still arrive.
            await anyio.sleep(world.net_faults.late_by_s + 1.0)
            report = world.verify()
            tasks.cancel_scope.cancel()
        return report

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main())


def _chunk(attempt_id: AttemptId, chunk: int) -> bytes:
    return f"{attempt_id}/{chunk};".encode()
