"""Simulation of routers that share prepaid budgets, with callers, outages and kills.

The routers' allowance managers and ledgers are the production code; the store and the
datagrams between routers are simulated, in virtual time. The tokens that callers
consume are counted separately, independent of the routers.
"""

from __future__ import annotations

import random
from typing import Callable

import anyio
from anyio.abc import TaskGroup
from attrs import define, evolve, field, frozen

from endivegw.allowances import AllowanceManager, AllowanceOptions, Reservation
from endivegw.allowances.lending import LendingPort, PeerSurplus
from endivegw.allowances.witnesses import Statement
from endivegw.rendezvous import rendezvous_order
from endivegw.telemetry import EventLog
from endivegw.types import ClientAccountName, InstanceId
from endivegw_standins.row_store import MemoryRows, RowStoreClient

__all__ = ["REACHABLE_SHARE", "AllowanceWorld", "Load", "Outcome", "SimulatedRouter"]

#: One-way latency between two routers.
_LATENCY_S = 0.001

#: Interval at which routers report their tokens, as in production.
_STATE_INTERVAL_S = 0.1

_MAX_WITNESSES = 3

_NO_STATEMENT = Statement(0, 0.0)

#: Share of a budget up to which a refusal counts as false. No mechanism that survives a
#: kill of all routers makes the rest available.
REACHABLE_SHARE = 0.97


@frozen
class Load:
    """Requests of the callers of one account.

    :param per_s: requests per second over all routers.
    :param shares: share of its callers by router.
    :param prompt_tokens: largest prompt; lengths are uniformly distributed up to it.
    :param duration_s: longest duration of an answer.
    """

    account: ClientAccountName
    prepaid_tokens: int
    per_s: float
    shares: tuple[float, ...]
    prompt_tokens: int = 8000
    output_tokens: int = 700
    duration_s: float = 2.0


@define
class Outcome:
    """What callers received.

    :ivar false_refusals: requests refused although :data:`REACHABLE_SHARE` of the
        budget covered them in addition to all requests in progress.
    :ivar consumed_tokens: by account.
    :ivar open_tokens: reserved by requests in progress, by account.
    """

    asked: int = 0
    refused: int = 0
    false_refusals: int = 0
    consumed_tokens: dict[ClientAccountName, int] = field(factory=dict)
    open_tokens: dict[ClientAccountName, int] = field(factory=dict)


@define(eq=False)
class SimulatedRouter:
    """Run one router's allowance manager, and simulate its datagrams."""

    world: AllowanceWorld
    vm: str
    instance_id: InstanceId
    started_s: float
    allowances: AllowanceManager = field(init=False)
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    received_statements: dict[InstanceId, Statement] = field(factory=dict)
    _sequence: int = 0
    _witnesses: tuple[InstanceId, ...] = ()

    def __attrs_post_init__(self) -> None:
        world = self.world
        self.allowances = AllowanceManager(
            RowStoreClient(self.vm, world.store),
            self.vm,
            self.instance_id,
            self.lending(),
            lambda: world.clock_of(self.vm),
            EventLog("world"),
            world.options,
            started_s=self.started_s,
            on_removed=self.world.remove_vm,
        )
        self.allowances.set_prepaid(world.prepaid)

    def lending(self) -> LendingPort:
        """Return the interface through which the manager accesses its peers."""
        return self

    async def run(self) -> None:
        """Maintain the row and send statements until killed."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.allowances.run)
                while True:
                    await self._send_statement()
                    await anyio.sleep(_STATE_INTERVAL_S)

    def reachable_routers(self) -> list[SimulatedRouter]:
        """Return the routers that this one reaches."""
        if self.vm in self.world.isolated:
            return []
        return [
            router
            for router in self.world.routers.values()
            if router is not self and router.vm not in self.world.isolated
        ]

    # Interface through which the manager accesses its peers.

    async def request_loan(
        self,
        account: ClientAccountName,
        min_tokens: int,
        wanted_tokens: int,
        *,
        timeout_s: float,
    ) -> int:
        """Ask the other routers in turn, starting with the one that has the most."""
        received_tokens = 0
        lenders = sorted(
            self.reachable_routers(), key=lambda router: -router.unused_tokens(account)
        )
        for router in lenders:
            if received_tokens >= max(1, min_tokens):
                break
            await anyio.sleep(_LATENCY_S)
            min_needed = max(0, min_tokens - received_tokens)
            tokens = await router.allowances.lend(
                account, min_needed, wanted_tokens - received_tokens
            )
            await anyio.sleep(_LATENCY_S)
            if tokens:
                self.allowances.credit(account, tokens)
            received_tokens += tokens
        return received_tokens

    def unused_tokens(self, account: ClientAccountName) -> int:
        """Return the tokens that are held and not in use."""
        return self.allowances.surplus_tokens().get(account, 0)

    def surplus(self, account: ClientAccountName, now_s: float) -> PeerSurplus:
        """Return the unused tokens of the other routers."""
        reachable_routers = self.reachable_routers()
        tokens = sum(router.unused_tokens(account) for router in reachable_routers)
        return PeerSurplus(
            tokens, len(reachable_routers) == len(self.world.routers) - 1
        )

    async def collect(self, account: ClientAccountName, *, timeout_s: float) -> None:
        """Do nothing: all routers hold all budgets."""

    def is_holder(self, account: ClientAccountName) -> bool:
        """Return True: each of the few routers holds all budgets."""
        return True

    def unresponsive_vms(self, now_s: float) -> list[str]:
        """Return the unreachable vms whose rows this router checks.

        Two routers check each.
        """
        reachable = {router.vm for router in self.reachable_routers()} | {self.vm}
        return [
            vm
            for vm in sorted(
                self.world.registered_vms - reachable | self.world.unresponsive
            )
            if self.vm in rendezvous_order(vm, reachable - {vm})[:2]
        ]

    def routers(self, now_s: float) -> int:
        """Return the number of routers, including this one."""
        return len(self.reachable_routers()) + 1

    def witnesses(self, now_s: float) -> tuple[InstanceId, ...]:
        """Return routers that acknowledge this router's statements."""
        live = [router.instance_id for router in self.reachable_routers()]
        selected = [name for name in self._witnesses if name in live]
        selected += [name for name in sorted(live) if name not in selected]
        self._witnesses = tuple(selected[:_MAX_WITNESSES])
        return self._witnesses

    async def request_statements(
        self,
        witnesses: tuple[InstanceId, ...],
        about: InstanceId,
        *,
        timeout_s: float,
    ) -> dict[InstanceId, Statement]:
        """Return the last statement that each witness received."""
        await anyio.sleep(2 * _LATENCY_S)
        return {
            router.instance_id: router.received_statements.get(about, _NO_STATEMENT)
            for router in [self, *self.reachable_routers()]
            if router.instance_id in witnesses
        }

    def send_statement_soon(self) -> None:
        """Send a statement without waiting."""
        self.world.tasks.start_soon(self._send_statement)

    async def send_statement(
        self, is_sufficient: Callable[[], bool], *, timeout_s: float
    ) -> None:
        """Send a statement and wait for the acknowledgements."""
        with anyio.move_on_after(timeout_s):
            await self._send_statement()
            while not is_sufficient():
                await anyio.sleep(timeout_s)

    def receive_statement(self, sender: InstanceId, statement: Statement) -> bool:
        """Retain a router's statement; return whether this router waives."""
        waives = self.allowances.waives()
        known = self.received_statements.get(sender, _NO_STATEMENT)
        waived_ms = known.waived_ms
        if waives:
            waived_ms = max(waived_ms, statement.clock_ms)
        if known.sequence < statement.sequence:
            known = statement
        self.received_statements[sender] = evolve(known, waived_ms=waived_ms)
        return waives

    async def _send_statement(self) -> None:
        self._sequence += 1
        statement = self.allowances.next_statement(self._sequence)
        await anyio.sleep(_LATENCY_S)
        witnesses = self.allowances.ledger.witnesses
        named_vms = {self.world.vm_of(name): name for name in witnesses.named()}
        reachable = [
            router for router in self.reachable_routers() if router.vm in named_vms
        ]
        waiving: list[InstanceId] = []
        for router in reachable:
            if router.receive_statement(self.instance_id, statement):
                waiving.append(router.instance_id)
        await anyio.sleep(_LATENCY_S)
        for name in waiving:
            witnesses.record_waiver(name, statement.sequence)
        for router in reachable:
            witnesses.acknowledge(router.instance_id, statement.sequence)
            if named_vms[router.vm] != router.instance_id:
                witnesses.record_replacement(named_vms[router.vm], statement.sequence)


@define(eq=False)
class AllowanceWorld:
    """The routers, the store and the callers of one simulation run.

    :ivar isolated: routers that reach no other router.
    :ivar unresponsive: vms that count as unresponsive although they reach others.
    :ivar registered_vms: vms whose address is in the store.
    :ivar clock_rates: relative speed of the clocks of vms, 1.0 by default.
    """

    loads: tuple[Load, ...]
    options: AllowanceOptions
    rng: random.Random
    clock: Callable[[], float]
    tasks: TaskGroup
    vms: tuple[str, ...] = ("a", "b", "c", "d")
    store: MemoryRows = field(init=False)
    routers: dict[str, SimulatedRouter] = field(factory=dict)
    outcome: Outcome = field(factory=Outcome)
    isolated: set[str] = field(factory=set)
    unresponsive: set[str] = field(factory=set)
    registered_vms: set[str] = field(factory=set)
    clock_rates: dict[str, float] = field(factory=dict)
    _starts: int = 0

    def __attrs_post_init__(self) -> None:
        self.store = MemoryRows(self.clock)

    @property
    def prepaid(self) -> dict[ClientAccountName, int]:
        """Return the budgets."""
        return {load.account: load.prepaid_tokens for load in self.loads}

    def start(self, vm: str) -> None:
        """Start a router's process."""
        self._starts += 1
        self.registered_vms.add(vm)
        name = InstanceId(f"{vm}-{self._starts}")
        router = self.new_router(vm, name)
        self.routers[vm] = router
        self.tasks.start_soon(router.run)

    def vm_of(self, name: InstanceId) -> str:
        """Return the vm of a process."""
        return name.rpartition("-")[0]

    def new_router(self, vm: str, name: InstanceId) -> SimulatedRouter:
        """Return a router that knows all others."""
        return SimulatedRouter(self, vm, name, self.clock_of(vm))

    def clock_of(self, vm: str) -> float:
        """Return the time on a vm's local clock."""
        return self.clock() * self.clock_rates.get(vm, 1.0)

    def kill(self, vm: str) -> None:
        """End a router's process without a shutdown."""
        router = self.routers.pop(vm, None)
        if router is not None:
            router.scope.cancel()

    async def remove_vm(self, vm: str) -> None:
        """Remove the address of a vm that left no tokens behind."""
        if vm not in self.routers:
            self.registered_vms.discard(vm)

    async def call(self, load: Load) -> None:
        """Send requests for an account's callers until cancelled."""
        while True:
            await anyio.sleep(self.rng.expovariate(load.per_s))
            vm = self.rng.choices(self.vms, load.shares)[0]
            if vm not in self.routers:
                vm = self.rng.choice(sorted(self.routers) or [vm])
            if vm in self.routers:
                self.tasks.start_soon(self._request, load, self.routers[vm])

    async def _request(self, load: Load, router: SimulatedRouter) -> None:
        outcome = self.outcome
        prompt = self.rng.randrange(1, load.prompt_tokens)
        max_tokens = prompt + load.output_tokens
        outcome.asked += 1
        consumed = outcome.consumed_tokens.get(load.account, 0)
        is_covered = (
            consumed + outcome.open_tokens.get(load.account, 0) + max_tokens
            <= load.prepaid_tokens * REACHABLE_SHARE
        )
        reservation = await router.allowances.reserve(load.account, max_tokens)
        if not isinstance(reservation, Reservation):
            outcome.refused += 1
            outcome.false_refusals += is_covered
            return
        self._open(load.account, max_tokens)
        await anyio.sleep(self.rng.random() * load.duration_s)
        self._open(load.account, -max_tokens)
        is_running = self.routers.get(router.vm) is router
        output = self.rng.randrange(0, load.output_tokens // 2) if is_running else 0
        consumed = outcome.consumed_tokens.get(load.account, 0) + prompt + output
        outcome.consumed_tokens[load.account] = consumed
        if is_running:
            router.allowances.settle(reservation, prompt + output)

    def _open(self, account: ClientAccountName, tokens: int) -> None:
        known = self.outcome.open_tokens.get(account, 0)
        self.outcome.open_tokens[account] = known + tokens
