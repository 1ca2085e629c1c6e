"""A small fleet in virtual time: real keepers, gates and recovery, fake engines.

What the engines consumed is counted apart from all accounting: it is what the
budgets are held against. Faults are switched on one process or one link.
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

__all__ = ["Fleet", "FleetRouter", "FleetSidecar", "Work"]

#: Unix time at which the virtual clock begins.
EPOCH_S = 1_700_000_000.0

#: Tokens come in pieces of this many.
PIECE_TOKENS = 20

LINK_S = 0.001


class QuietLog:
    """Drop all lines."""

    def emit(self, event, **fields):
        """Do nothing."""


@define
class Work:
    """Hold one request as its caller sends it.

    :param bound_tokens: what the router reserves for it.
    :param prompt_tokens: what the engine counts for the prompt.
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
    """A sidecar with its engine, which counts what it really consumes."""

    fleet: Fleet
    target: TargetName
    number: int
    faults: TableFaults
    alive: bool = True
    terminated_at_s: float | None = None
    usages: dict[AttemptId, Usage] = field(factory=dict)
    used: dict[AttemptId, int] = field(factory=dict)
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
            QuietLog(),
            checkpoint_s=fleet.checkpoint_s,
        )

    @property
    def instance_id(self):
        """Return the id of this start of the sidecar."""
        return InstanceId(f"{self.target}.{self.number}")

    async def run(self):
        """Register and look after the ledger until it dies."""
        with self.scope:
            await self.gate.start()
            await self.gate.run()

    async def execute(self, reservation, work):
        """Run one attempt; return its usage, a refusal, or unknown."""
        fleet = self.fleet
        await fleet.link()
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
        # The engine goes on when its router goes away.
        done = anyio.Event()
        fleet.tasks.start_soon(self._generate, reservation, work, done)
        await done.wait()
        if not self.alive:
            return Unknown(Reason.UNREACHABLE)
        return Done(self.usages[attempt_id])

    async def _generate(self, reservation, work, done):
        ledger = self.gate.ledger
        attempt_id = reservation.reservation_id
        left_tokens = min(work.completion_tokens, reservation.tokens)
        used_tokens = 0
        try:
            self._consume(reservation, work.prompt_tokens)
            used_tokens += work.prompt_tokens
            while left_tokens and self.alive:
                await anyio.sleep(PIECE_TOKENS / self.fleet.engine_tokens_per_s)
                if not self.alive:
                    break
                available_tokens = ledger.remaining_tokens(attempt_id)
                piece_tokens = min(PIECE_TOKENS, left_tokens, available_tokens)
                if piece_tokens <= 0:
                    break
                self._consume(reservation, piece_tokens)
                used_tokens += piece_tokens
                left_tokens -= piece_tokens
        finally:
            if self.alive:
                usage = Usage(
                    work.prompt_tokens, max(used_tokens - work.prompt_tokens, 0)
                )
                self.usages[attempt_id] = usage
                ledger.end(attempt_id, usage, self.fleet.clock())
            self.running.discard(attempt_id)
            done.set()

    def _consume(self, reservation, tokens):
        self.gate.ledger.consume(reservation.reservation_id, tokens, self.fleet.clock())
        attempt_id = reservation.reservation_id
        self.used[attempt_id] = self.used.get(attempt_id, 0) + tokens
        self.fleet.count(reservation.budget, tokens)

    def die(self):
        """End at once, with the engine beside it."""
        self.alive = False
        self.scope.cancel()


@define(eq=False)
class _PeerLink:
    """The other routers as one router reaches them."""

    fleet: Fleet
    owner: InstanceId
    lose: float = 0.0
    double: float = 0.0

    def peers(self):
        """Return the routers on this side."""
        return tuple(
            router.instance_id
            for router in self.fleet.routers
            if router.alive
            and router.instance_id != self.owner
            and self.fleet.linked(self.owner, router.instance_id)
        )

    async def transfer(
        self, peer, transfer: TokenTransferRequest, *, timeout_s
    ) -> Result[TokenTransferResponse]:
        """Carry an ask, which may be lost, doubled or answered in vain."""
        router = self.fleet.router_named(peer)
        rng = self.fleet.rng
        await self.fleet.link()
        if not router.alive or not self.fleet.linked(self.owner, peer):
            await anyio.sleep(timeout_s)
            return Unknown(Reason.TIMEOUT)
        if rng.random() < self.lose:
            await anyio.sleep(timeout_s)
            return Unknown(Reason.TIMEOUT)
        await router.awake()
        offer = router.budget_manager.lend(transfer, self.fleet.clock())
        if rng.random() < self.double:
            offer = router.budget_manager.lend(transfer, self.fleet.clock())
        await self.fleet.link()
        if rng.random() < self.lose:
            await anyio.sleep(timeout_s)
            return Unknown(Reason.TIMEOUT)
        return Done(offer)


@define(eq=False)
class FleetRouter:
    """A router: the real keeper, and the shortest possible request path."""

    fleet: Fleet
    instance_id: InstanceId
    faults: TableFaults
    peers: _PeerLink | None
    alive: bool = True
    cut_from: set[TargetName] = field(factory=set)
    budget_manager: BudgetManager = None
    held: list[tuple[FleetSidecar, Reservation]] = field(factory=list)
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
            QuietLog(),
            fleet.options,
        )

    async def run(self):
        """Run the keeper's loop and resolve held attempts until it dies."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.budget_manager.run)
                tasks.start_soon(self._resolve_held)

    async def awake(self):
        """Return once the process is not paused."""
        while self.resumed is not None:
            await self.resumed.wait()

    def pause(self):
        """Stop the process where it is."""
        self.resumed = self.resumed or anyio.Event()

    def resume(self):
        """Let the process go on as if nothing had happened."""
        if self.resumed is not None:
            self.resumed.set()
            self.resumed = None

    def die(self):
        """End at once."""
        self.alive = False
        self.scope.cancel()
        self.resume()

    async def handle(self, work: Work) -> Outcome | Refused:
        """Take one request to its end."""
        self.in_progress += 1
        try:
            with anyio.CancelScope() as scope:
                self.fleet.scopes.setdefault(self.instance_id, set()).add(scope)
                try:
                    return await self._handle(work)
                finally:
                    self.fleet.scopes[self.instance_id].discard(scope)
            return Outcome.UNKNOWN
        finally:
            self.in_progress -= 1

    async def _handle(self, work):
        clock = self.fleet.clock
        until_s = clock() + work.deadline_s
        refused = Refused(Reason.NO_TARGET)
        for _ in range(6):
            await self.awake()
            got = await self.budget_manager.reserve(
                work.budget,
                work.bound_tokens,
                deadline_s=until_s,
                reserve_s=work.reserve_s,
                now_s=clock(),
            )
            if isinstance(got, Refused):
                return got
            refused = await self._try(work, got)
            if not isinstance(refused, Refused):
                return refused
        return refused

    async def _try(self, work, reservation):
        clock = self.fleet.clock
        sidecar = self.fleet.pick(self.cut_from)
        if sidecar is None:
            self.budget_manager.release(reservation, clock())
            return Refused(Reason.NO_TARGET)
        await self.awake()
        needed = work.prompt_tokens + work.completion_tokens
        self.fleet.expect(work.budget, needed)
        try:
            result = await sidecar.execute(reservation, work)
        finally:
            used = sidecar.used.get(reservation.reservation_id, 0)
            if reservation.reservation_id not in sidecar.running:
                self.fleet.expect(work.budget, used - needed)
        await self.awake()
        if sidecar.target in self.cut_from and not isinstance(result, Refused):
            result = Unknown(Reason.ANSWER_LOST)
        match result:
            case Done(usage):
                self.budget_manager.finish(reservation, usage, clock())
                self._bill(work, usage, Outcome.ANSWERED)
                return Outcome.ANSWERED
            case Refused(reason=reason):
                self.budget_manager.release(reservation, clock())
                if reason is Reason.GRANT_SEALED:
                    self.budget_manager.grant_sealed(reservation.grant_id, clock())
                return result
            case Unknown():
                self.budget_manager.hold(reservation, clock())
                self.held.append((sidecar, reservation))
                self._bill(work, Usage(), Outcome.UNKNOWN)
                return Outcome.UNKNOWN

    def _bill(self, work, usage, outcome):
        identity = RequestIdentity(work.budget.client_account, work.key)
        self.budget_manager.bill(
            BillLine(
                identity,
                work.budget,
                usage.prompt_tokens,
                usage.completion_tokens,
                0,
                outcome,
                self.fleet.clock(),
            )
        )
        self.fleet.billed.append(work.key)

    async def _resolve_held(self):
        while True:
            await anyio.sleep(1.0)
            await self.awake()
            still = []
            for sidecar, reservation in self.held:
                if not self._resolve(sidecar, reservation):
                    still.append((sidecar, reservation))
            self.held = still

    def _resolve(self, sidecar, reservation):
        now_s = self.fleet.clock()
        if sidecar.terminated_at_s is not None:
            # It can never be asked: the whole reservation is charged.
            self.budget_manager.resolve(
                reservation, Usage(reservation.tokens, 0), now_s
            )
            return True
        if not sidecar.alive or sidecar.target in self.cut_from:
            return False
        attempt_id = reservation.reservation_id
        if attempt_id in sidecar.running:
            return False
        usage = sidecar.usages.get(attempt_id, Usage())
        self.budget_manager.resolve(reservation, usage, now_s)
        return True


@define(eq=False)
class _PausableTable:
    """Stop a paused router's calls on their way out and on their way in."""

    router: FleetRouter
    table: FaultyTable

    async def transact(self, transaction, *, timeout_s):
        """Write."""
        await self.router.awake()
        result = await self.table.transact(transaction, timeout_s=timeout_s)
        await self.router.awake()
        return result

    async def read(self, keys, *, timeout_s):
        """Read."""
        await self.router.awake()
        result = await self.table.read(keys, timeout_s=timeout_s)
        await self.router.awake()
        return result

    async def scan(self, partition, *, prefix="", after=None, limit=1000, timeout_s):
        """List."""
        await self.router.awake()
        return await self.table.scan(
            partition, prefix=prefix, after=after, limit=limit, timeout_s=timeout_s
        )


@define(eq=False)
class _Seals:
    """The sidecars as a recovering process reaches them."""

    fleet: Fleet

    async def seal(
        self, target: TargetName, grant_ids: tuple[GrantId, ...], *, timeout_s: float
    ) -> Result[SealAnswer]:
        """Seal at whatever sidecar stands beside the target now."""
        await self.fleet.link()
        sidecar = self.fleet.sidecar_of(target)
        if sidecar is None or target in self.fleet.unsealable:
            await anyio.sleep(timeout_s)
            return Unknown(Reason.TIMEOUT)
        grants: tuple[SealedGrant, ...] = sidecar.gate.ledger.seal(
            grant_ids, self.fleet.clock()
        )
        await self.fleet.link()
        return Done(SealAnswer(sidecar.instance_id, grants))

    def terminated_at_s(self, target, sidecar):
        """Return the platform's word on a sidecar's machine."""
        for one in self.fleet.all_sidecars:
            if one.instance_id == sidecar:
                return one.terminated_at_s
        return None


class Fleet:
    """Wire routers, sidecars and one table, and count what engines consume.

    :param tasks: where everything runs.
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
        """Return a source of randomness of its own for one part."""
        return random.Random(self.rng.getrandbits(64))

    def view(self, faults):
        """Return the table as one process reaches it."""
        return FaultyTable(self.table, faults, self.fork_rng(), self.tasks)

    async def link(self):
        """Take the time of one way between two processes."""
        await anyio.sleep(LINK_S * (0.5 + self.rng.random()))

    def linked(self, one, other):
        """Return whether two routers reach each other."""
        return frozenset((one, other)) not in self.partitions

    def count(self, budget, tokens):
        """Count what an engine really consumed."""
        known = self.consumed_tokens.get(budget, 0)
        self.consumed_tokens[budget] = known + tokens
        self.expect(budget, -tokens)

    def expect(self, budget, tokens):
        """Note that running work will consume so many tokens more."""
        self.expected_tokens[budget] = self.expected_tokens.get(budget, 0) + tokens

    def add_router(self):
        """Start a router."""
        name = InstanceId(f"r{self._router_number}")
        self._router_number += 1
        link = _PeerLink(self, name) if self.transfers else None
        router = FleetRouter(self, name, TableFaults(), link)
        self.routers.append(router)
        self.tasks.start_soon(router.run)
        return router

    def add_sidecar(self, target):
        """Start a sidecar beside a target, which must have none alive."""
        number = sum(one.target == target for one in self.all_sidecars)
        sidecar = FleetSidecar(self, target, number, TableFaults())
        self.all_sidecars.append(sidecar)
        self.tasks.start_soon(sidecar.run)
        return sidecar

    def sidecar_of(self, target):
        """Return the live sidecar beside a target, None where there is none."""
        for sidecar in self.all_sidecars:
            if sidecar.target == target and sidecar.alive:
                return sidecar
        return None

    def router_named(self, name):
        """Return a router."""
        return next(one for one in self.routers if one.instance_id == name)

    def live_routers(self):
        """Return the routers that were not killed."""
        return [router for router in self.routers if router.alive]

    def pick(self, cut_from: Iterable[TargetName]):
        """Return a live sidecar that can be reached, None where there is none."""
        live = [
            one for one in self.all_sidecars if one.alive and one.target not in cut_from
        ]
        return self.rng.choice(live) if live else None

    def kill(self, router):
        """Kill a router with the requests that it carries."""
        router.die()
        for scope in list(self.scopes.get(router.instance_id, ())):
            scope.cancel()

    def recovery(self):
        """Return a recovery as some live router would run it."""
        return Recovery(
            self.view(self.operator_faults), _Seals(self), self.clock, QuietLog()
        )

    async def recover(self, instance_id, *, within_s=600.0):
        """Recover an instance; return how long it took, None if it is not done."""
        began_s = self.clock()
        recovery = self.recovery()
        while self.clock() - began_s < within_s:
            if (await recovery.recover(instance_id)).done:
                return self.clock() - began_s
            await anyio.sleep(ROUND_S)
        return None
