"""A small fleet in virtual time with production budget code and simulated engines.

Managers, gates and recovery are the production classes. The tokens that engines consume
are counted independently of all accounting, as the reference for the budgets. Faults
are injected per process or link.
"""

from __future__ import annotations

import random
from typing import Iterable

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from endivegw.budgets import (
    BillLine,
    BudgetManager,
    BudgetOptions,
    Reservation,
    SealedGrant,
    TokenTransferRequest,
    TokenTransferResponse,
)
from endivegw.budgets.gate import GrantGate
from endivegw.budgets.recovery import ROUND_S, Recovery, SealAnswer
from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.types import (
    AttemptId,
    BudgetKey,
    GrantId,
    InstanceId,
    Outcome,
    RequestIdentity,
    TargetName,
    Usage,
)
from endivegw_standins.faulty_table import FaultyTable, TableFaults
from endivegw_standins.memory_table import MemoryTable

__all__ = ["Fleet", "FleetRouter", "FleetSidecar", "RequestSpec"]

#: Unix time at which the virtual clock starts.
EPOCH_S = 1_700_000_000.0

#: Tokens that an engine generates at a time.
CHUNK_TOKENS = 20

#: Mean one-way delay between two processes.
LINK_DELAY_S = 0.001


class NullLog:
    """Log that discards all events."""

    def emit(self, event, **fields):
        """Discard the event."""


@define
class RequestSpec:
    """A request as its caller sends it.

    :param key: idempotency key of the request.
    :param bound_tokens: upper bound of its usage, which the router reserves.
    :param prompt_tokens: prompt tokens that the engine counts.
    :param completion_tokens: tokens that the engine generates if it is not stopped.
    """

    key: str
    budget: BudgetKey
    bound_tokens: int
    prompt_tokens: int
    completion_tokens: int
    deadline_s: float = 10.0
    reserve_s: float = 60.0


@define(eq=False)
class FleetSidecar:
    """A sidecar with its engine, which counts the tokens it actually consumes.

    :ivar usages: usage of completed attempts.
    :ivar consumed_tokens_by_attempt: tokens consumed so far, by attempt.
    """

    fleet: Fleet
    target: TargetName
    number: int
    faults: TableFaults
    alive: bool = True
    terminated_at_s: float | None = None
    usages: dict[AttemptId, Usage] = field(factory=dict)
    consumed_tokens_by_attempt: dict[AttemptId, int] = field(factory=dict)
    running: set[AttemptId] = field(factory=set)
    gate: GrantGate = None
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)

    def __attrs_post_init__(self):
        fleet = self.fleet
        self.gate = GrantGate(
            self.instance_id,
            self.target,
            fleet.view(self.faults),
            fleet.clock,
            fleet.fork_rng(),
            NullLog(),
            checkpoint_s=fleet.checkpoint_s,
        )

    @property
    def instance_id(self):
        """Return the instance id of this incarnation of the sidecar."""
        return InstanceId(f"{self.target}.{self.number}")

    async def run(self):
        """Start the gate and run it until the sidecar is terminated."""
        with self.scope:
            await self.gate.start()
            await self.gate.run()

    async def execute(self, reservation, request):
        """Run one attempt; return its usage, a refusal or an unknown outcome."""
        fleet = self.fleet
        await fleet.network_delay()
        if not self.alive:
            return Unknown(Reason.UNREACHABLE)
        attempt_id = reservation.reservation_id
        refused = await self.gate.admit(
            reservation.grant_id,
            reservation.budget,
            attempt_id,
            reservation.tokens,
            fleet.clock(),
        )
        if refused is not None:
            return refused
        self.running.add(attempt_id)
        # The engine continues when the router that sent the request is terminated.
        done = anyio.Event()
        fleet.tasks.start_soon(self._generate, reservation, request, done)
        await done.wait()
        if not self.alive:
            return Unknown(Reason.UNREACHABLE)
        return Done(self.usages[attempt_id])

    async def _generate(self, reservation, request, done):
        ledger = self.gate.ledger
        attempt_id = reservation.reservation_id
        left_tokens = min(request.completion_tokens, reservation.tokens)
        used_tokens = 0
        try:
            self._consume(reservation, request.prompt_tokens)
            used_tokens += request.prompt_tokens
            while left_tokens and self.alive:
                await anyio.sleep(CHUNK_TOKENS / self.fleet.engine_tokens_per_s)
                if not self.alive:
                    break
                available_tokens = ledger.remaining_tokens(attempt_id)
                chunk_tokens = min(CHUNK_TOKENS, left_tokens, available_tokens)
                if chunk_tokens <= 0:
                    break
                self._consume(reservation, chunk_tokens)
                used_tokens += chunk_tokens
                left_tokens -= chunk_tokens
        finally:
            if self.alive:
                usage = Usage(
                    request.prompt_tokens, max(used_tokens - request.prompt_tokens, 0)
                )
                self.usages[attempt_id] = usage
                ledger.end(attempt_id, usage, self.fleet.clock())
            self.running.discard(attempt_id)
            done.set()

    def _consume(self, reservation, tokens):
        self.gate.ledger.consume(reservation.reservation_id, tokens, self.fleet.clock())
        attempt_id = reservation.reservation_id
        self.consumed_tokens_by_attempt[attempt_id] = (
            self.consumed_tokens_by_attempt.get(attempt_id, 0) + tokens
        )
        self.fleet.count(reservation.budget, tokens)

    def die(self):
        """Terminate the sidecar and its engine immediately."""
        self.alive = False
        self.scope.cancel()


@define(eq=False)
class _PeerConnection:
    """Connection of one router to the other routers.

    :ivar lose: probability that a request or a response is lost.
    :ivar double: probability that a request is delivered twice.
    """

    fleet: Fleet
    owner: InstanceId
    lose: float = 0.0
    double: float = 0.0

    def peers(self):
        """Return the live routers on this side of network partitions."""
        return tuple(
            router.instance_id
            for router in self.fleet.routers
            if router.alive
            and router.instance_id != self.owner
            and self.fleet.can_reach(self.owner, router.instance_id)
        )

    async def transfer(
        self, peer, transfer: TokenTransferRequest, *, timeout_s
    ) -> Result[TokenTransferResponse]:
        """Deliver a transfer request; messages may be lost or duplicated."""
        router = self.fleet.find_router(peer)
        rng = self.fleet.rng
        await self.fleet.network_delay()
        if not router.alive or not self.fleet.can_reach(self.owner, peer):
            await anyio.sleep(timeout_s)
            return Unknown(Reason.TIMEOUT)
        if rng.random() < self.lose:
            await anyio.sleep(timeout_s)
            return Unknown(Reason.TIMEOUT)
        await router.wait_until_resumed()
        response = router.budget_manager.lend(transfer, self.fleet.clock())
        if rng.random() < self.double:
            response = router.budget_manager.lend(transfer, self.fleet.clock())
        await self.fleet.network_delay()
        if rng.random() < self.lose:
            await anyio.sleep(timeout_s)
            return Unknown(Reason.TIMEOUT)
        return Done(response)


@define(eq=False)
class FleetRouter:
    """A router with the production budget manager and a minimal request path."""

    fleet: Fleet
    instance_id: InstanceId
    faults: TableFaults
    peers: _PeerConnection | None
    alive: bool = True
    unreachable_targets: set[TargetName] = field(factory=set)
    budget_manager: BudgetManager = None
    unresolved: list[tuple[FleetSidecar, Reservation]] = field(factory=list)
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    resumed: anyio.Event | None = None
    in_progress: int = 0

    def __attrs_post_init__(self):
        fleet = self.fleet
        self.budget_manager = BudgetManager(
            self.instance_id,
            _PausableTable(self, fleet.view(self.faults)),
            fleet.clock,
            fleet.fork_rng(),
            self.peers,
            NullLog(),
            fleet.options,
        )

    async def run(self):
        """Run the budget manager and resolve unknown attempts until terminated."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.budget_manager.run)
                tasks.start_soon(self._resolve_all)

    async def wait_until_resumed(self):
        """Wait until the process is not paused."""
        while self.resumed is not None:
            await self.resumed.wait()

    def pause(self):
        """Suspend the process at its current state."""
        self.resumed = self.resumed or anyio.Event()

    def resume(self):
        """Resume a suspended process."""
        if self.resumed is not None:
            self.resumed.set()
            self.resumed = None

    def die(self):
        """Terminate the router immediately."""
        self.alive = False
        self.scope.cancel()
        self.resume()

    async def handle(self, request: RequestSpec) -> Outcome | Refused:
        """Process one request and return its outcome."""
        self.in_progress += 1
        try:
            with anyio.CancelScope() as scope:
                self.fleet.scopes.setdefault(self.instance_id, set()).add(scope)
                try:
                    return await self._handle(request)
                finally:
                    self.fleet.scopes[self.instance_id].discard(scope)
            return Outcome.UNKNOWN
        finally:
            self.in_progress -= 1

    async def _handle(self, request):
        clock = self.fleet.clock
        deadline_s = clock() + request.deadline_s
        refused = Refused(Reason.NO_TARGET)
        for _ in range(6):
            await self.wait_until_resumed()
            reservation = await self.budget_manager.reserve(
                request.budget,
                request.bound_tokens,
                deadline_s=deadline_s,
                reserve_s=request.reserve_s,
                now_s=clock(),
            )
            if isinstance(reservation, Refused):
                return reservation
            refused = await self._try_sidecar(request, reservation)
            if not isinstance(refused, Refused):
                return refused
        return refused

    async def _try_sidecar(self, request, reservation):
        clock = self.fleet.clock
        sidecar = self.fleet.choose_sidecar(self.unreachable_targets)
        if sidecar is None:
            self.budget_manager.release(reservation, clock())
            return Refused(Reason.NO_TARGET)
        await self.wait_until_resumed()
        needed_tokens = request.prompt_tokens + request.completion_tokens
        self.fleet.adjust_expected(request.budget, needed_tokens)
        try:
            result = await sidecar.execute(reservation, request)
        finally:
            consumed_tokens = sidecar.consumed_tokens_by_attempt.get(
                reservation.reservation_id, 0
            )
            if reservation.reservation_id not in sidecar.running:
                self.fleet.adjust_expected(
                    request.budget, consumed_tokens - needed_tokens
                )
        await self.wait_until_resumed()
        if sidecar.target in self.unreachable_targets and not isinstance(
            result, Refused
        ):
            result = Unknown(Reason.ANSWER_LOST)
        match result:
            case Done(usage):
                self.budget_manager.finish(reservation, usage, clock())
                self._bill(request, usage, Outcome.ANSWERED)
                return Outcome.ANSWERED
            case Refused(reason=reason):
                self.budget_manager.release(reservation, clock())
                if reason is Reason.GRANT_SEALED:
                    self.budget_manager.grant_sealed(reservation.grant_id, clock())
                return result
            case Unknown():
                self.budget_manager.hold(reservation, clock())
                self.unresolved.append((sidecar, reservation))
                self._bill(request, Usage(), Outcome.UNKNOWN)
                return Outcome.UNKNOWN

    def _bill(self, request, usage, outcome):
        identity = RequestIdentity(request.budget.client_account, request.key)
        self.budget_manager.bill(
            BillLine(
                identity,
                request.budget,
                usage.prompt_tokens,
                usage.completion_tokens,
                0,
                outcome,
                self.fleet.clock(),
            )
        )
        self.fleet.billed.append(request.key)

    async def _resolve_all(self):
        while True:
            await anyio.sleep(1.0)
            await self.wait_until_resumed()
            still_unresolved = []
            for sidecar, reservation in self.unresolved:
                if not self._resolve(sidecar, reservation):
                    still_unresolved.append((sidecar, reservation))
            self.unresolved = still_unresolved

    def _resolve(self, sidecar, reservation):
        now_s = self.fleet.clock()
        if sidecar.terminated_at_s is not None:
            # The sidecar cannot report the usage any more: charge the full reservation.
            self.budget_manager.resolve(
                reservation, Usage(reservation.tokens, 0), now_s
            )
            return True
        if not sidecar.alive or sidecar.target in self.unreachable_targets:
            return False
        attempt_id = reservation.reservation_id
        if attempt_id in sidecar.running:
            return False
        usage = sidecar.usages.get(attempt_id, Usage())
        self.budget_manager.resolve(reservation, usage, now_s)
        return True


@define(eq=False)
class _PausableTable:
    """Table that suspends the calls of a paused router, before and after the call."""

    router: FleetRouter
    table: FaultyTable

    async def transact(self, transaction, *, timeout_s):
        """Execute a transaction."""
        await self.router.wait_until_resumed()
        result = await self.table.transact(transaction, timeout_s=timeout_s)
        await self.router.wait_until_resumed()
        return result

    async def read(self, keys, *, timeout_s):
        """Read rows."""
        await self.router.wait_until_resumed()
        result = await self.table.read(keys, timeout_s=timeout_s)
        await self.router.wait_until_resumed()
        return result

    async def scan(self, partition, *, prefix="", after=None, limit=1000, timeout_s):
        """Read a page of a partition."""
        await self.router.wait_until_resumed()
        return await self.table.scan(
            partition, prefix=prefix, after=after, limit=limit, timeout_s=timeout_s
        )


@define(eq=False)
class _SealClient:
    """Seal client of a recovery process."""

    fleet: Fleet

    async def seal(
        self, target: TargetName, grant_ids: tuple[GrantId, ...], *, timeout_s: float
    ) -> Result[SealAnswer]:
        """Seal grants at the sidecar that currently serves the target."""
        await self.fleet.network_delay()
        sidecar = self.fleet.live_sidecar(target)
        if sidecar is None or target in self.fleet.unsealable:
            await anyio.sleep(timeout_s)
            return Unknown(Reason.TIMEOUT)
        grants: tuple[SealedGrant, ...] = sidecar.gate.ledger.seal(
            grant_ids, self.fleet.clock()
        )
        await self.fleet.network_delay()
        return Done(SealAnswer(sidecar.instance_id, grants))

    def terminated_at_s(self, target, sidecar):
        """Return when the vm of a sidecar was terminated, according to the platform."""
        for candidate in self.fleet.all_sidecars:
            if candidate.instance_id == sidecar:
                return candidate.terminated_at_s
        return None


class Fleet:
    """Routers, sidecars and one table, with a count of the tokens consumed by engines.

    :param tasks: task group in which all processes run.
    :param transfers: whether routers transfer tokens to each other.
    :param checkpoint_s: checkpoint interval of the sidecars.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        rng: random.Random,
        *,
        routers: int,
        sidecars: int,
        options: BudgetOptions | None = None,
        transfers: bool = True,
        checkpoint_s: float = 30.0,
        engine_tokens_per_s: float = 60.0,
        table: MemoryTable | None = None,
    ) -> None:
        self.tasks = tasks
        self.rng = rng
        self.table = table or MemoryTable()
        self.options = options or BudgetOptions()
        self.transfers = transfers
        self.checkpoint_s = checkpoint_s
        self.engine_tokens_per_s = engine_tokens_per_s
        self.consumed_tokens: dict[BudgetKey, int] = {}
        self.expected_tokens: dict[BudgetKey, int] = {}
        self.billed: list[str] = []
        self.scopes: dict[InstanceId, set[anyio.CancelScope]] = {}
        self.unsealable: set[TargetName] = set()
        self.partitions: set[frozenset[InstanceId]] = set()
        self.operator_faults = TableFaults()
        self.routers: list[FleetRouter] = []
        self.all_sidecars: list[FleetSidecar] = []
        self._router_number = 0
        self._loop_time = anyio.current_time
        for number in range(sidecars):
            self.add_sidecar(TargetName(f"t{number}"))
        for _ in range(routers):
            self.add_router()

    def clock(self):
        """Return Unix time."""
        return EPOCH_S + self._loop_time()

    def fork_rng(self):
        """Return an independent random generator seeded from that of the fleet."""
        return random.Random(self.rng.getrandbits(64))

    def view(self, faults):
        """Return the table with the faults of one process."""
        return FaultyTable(self.table, faults, self.fork_rng(), self.tasks)

    async def network_delay(self):
        """Sleep for the one-way delay between two processes."""
        await anyio.sleep(LINK_DELAY_S * (0.5 + self.rng.random()))

    def can_reach(self, one, other):
        """Return whether two routers can reach each other."""
        return frozenset((one, other)) not in self.partitions

    def count(self, budget, tokens):
        """Count tokens that an engine consumed."""
        known = self.consumed_tokens.get(budget, 0)
        self.consumed_tokens[budget] = known + tokens
        self.adjust_expected(budget, -tokens)

    def adjust_expected(self, budget, tokens):
        """Adjust the number of tokens that running work is still going to consume."""
        self.expected_tokens[budget] = self.expected_tokens.get(budget, 0) + tokens

    def add_router(self):
        """Start a router."""
        name = InstanceId(f"r{self._router_number}")
        self._router_number += 1
        peers = _PeerConnection(self, name) if self.transfers else None
        router = FleetRouter(self, name, TableFaults(), peers)
        self.routers.append(router)
        self.tasks.start_soon(router.run)
        return router

    def add_sidecar(self, target):
        """Start a sidecar for a target, which must not have a live one."""
        number = sum(known.target == target for known in self.all_sidecars)
        sidecar = FleetSidecar(self, target, number, TableFaults())
        self.all_sidecars.append(sidecar)
        self.tasks.start_soon(sidecar.run)
        return sidecar

    def live_sidecar(self, target):
        """Return the live sidecar of a target, or None."""
        for sidecar in self.all_sidecars:
            if sidecar.target == target and sidecar.alive:
                return sidecar
        return None

    def find_router(self, name):
        """Return the router with an instance id."""
        return next(router for router in self.routers if router.instance_id == name)

    def live_routers(self):
        """Return the routers that are not terminated."""
        return [router for router in self.routers if router.alive]

    def choose_sidecar(self, unreachable_targets: Iterable[TargetName]):
        """Return a random live and reachable sidecar, or None."""
        live = [
            sidecar
            for sidecar in self.all_sidecars
            if sidecar.alive and sidecar.target not in unreachable_targets
        ]
        return self.rng.choice(live) if live else None

    def kill(self, router):
        """Terminate a router and cancel its requests in progress."""
        router.die()
        for scope in list(self.scopes.get(router.instance_id, ())):
            scope.cancel()

    def recovery(self):
        """Return a recovery as run by a process with the operator's faults."""
        return Recovery(
            self.view(self.operator_faults), _SealClient(self), self.clock, NullLog()
        )

    async def recover(self, instance_id, *, within_s=600.0):
        """Recover an instance; return the duration, or None after ``within_s``."""
        started_s = self.clock()
        recovery = self.recovery()
        while self.clock() - started_s < within_s:
            if (await recovery.recover(instance_id)).done:
                return self.clock() - started_s
            await anyio.sleep(ROUND_S)
        return None
