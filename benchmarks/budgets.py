"""Measure budgets under faults: overspend, false refusals, writes, stranded tokens.

Runs the production managers, gates and recovery in virtual time with simulated engines,
for two deployments and three policies for the size of grants, with and without token
transfers between routers. Engines and arrivals are derived from the seed, so that all
policies are measured with the same requests.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import csv
import math
import pathlib
import random
import statistics
import time

import anyio
from attrs import define, field, frozen
from benchmarks.budget_fleet import Fleet, RequestSpec

from endivegw.budgets import BudgetOptions, read_budgets, top_up
from endivegw.budgets.reconcile import read_bill, reconcile
from endivegw.budgets.rows import budget_row_key
from endivegw.budgets.sizing import (
    DemandSize,
    FixedSize,
    ProportionalSize,
    SizePolicy,
)
from endivegw.results import Refused
from endivegw.types import BudgetKey, ClientAccountName, Outcome
from endivegw_standins.memory_table import MemoryTable
from endivegw_standins.virtual_time import VirtualLoop

#: Start and end of the fault, and end of the run.
FAULT_START_S = 420.0
FAULT_END_S = 1020.0
RUN_END_S = 1320.0

#: Time until the vm list reports a terminated vm.
TERMINATION_LAG_S = 120.0

#: Time for which the load balancer still sends to an unresponsive router.
BALANCER_LAG_S = 5.0

ROUTERS = 3
SIDECARS = 10

POLICIES: dict[str, SizePolicy] = {
    "fixed": FixedSize(20_000),
    "proportional": ProportionalSize(0.05),
    "demand": DemandSize(),
}

FAULTS = (
    "none",
    "table away",
    "router-table cut",
    "router dies",
    "router paused",
    "router-sidecar cut",
    "sidecar-table cut",
    "answers lost",
    "router+sidecar die",
    "table away+router dies",
)


@frozen
class BudgetLoad:
    """Load on the budget of one account.

    :param limit_tokens: maximum number of answer tokens.
    :param duration_s: time after which the budget is exhausted at this load.
    """

    name: str
    requests_per_s: float
    prompt_tokens: int
    answer_tokens: int
    limit_tokens: int
    duration_s: float


def registra() -> tuple[BudgetLoad, ...]:
    """Return a load with short prompts and answers and a few large accounts."""
    large = [
        BudgetLoad(f"hospital{n}", 1.6, 120, 90, 200, 30_000.0 if n else 1150.0)
        for n in range(3)
    ]
    small = [
        BudgetLoad(f"tower{n}", 0.08, 120, 90, 200, 30_000.0 if n else 900.0)
        for n in range(7)
    ]
    return tuple(large + small)


def lakeshore() -> tuple[BudgetLoad, ...]:
    """Return a load with long prompts and answers and a few large accounts."""
    large = [
        BudgetLoad(f"carrier{n}", 0.7, 700, 300, 800, 30_000.0 if n else 1150.0)
        for n in range(3)
    ]
    small = [
        BudgetLoad(f"handler{n}", 0.04, 700, 300, 800, 30_000.0 if n else 900.0)
        for n in range(7)
    ]
    return tuple(large + small)


DEPLOYMENTS = {"registra": registra(), "lakeshore": lakeshore()}


class CountingTable(MemoryTable):
    """Memory table that counts the rows written as well as the transactions."""

    def __init__(self):
        super().__init__()
        self.rows_written = 0

    def transact_now(self, transaction):
        """Execute a transaction and count its rows."""
        self.rows_written += len(transaction.writes)
        return super().transact_now(transaction)


@frozen
class RunParameters:
    """Parameters of one run."""

    deployment: str
    policy: str
    transfers: bool
    fault: str
    reserve_s: float
    seed: int


@define
class RunCounts:
    """Counts of one run.

    :ivar bound_refusals: false refusals of requests whose actual usage, but not the
        reserved bound, fitted into the remaining tokens.
    :ivar reservation_refusals: false refusals in which reservations of other requests
        held the tokens.
    :ivar unknown: requests with an unknown outcome.
    :ivar stranded_tokens: samples of granted tokens that are neither reserved nor
        consumed.
    """

    requests: int = 0
    answered: int = 0
    correct_refusals: int = 0
    false_refusals: int = 0
    bound_refusals: int = 0
    reservation_refusals: int = 0
    unknown: int = 0
    stranded_tokens: list[int] = field(factory=list)
    recovery_s: list[float] = field(factory=list)
    first_false_s: float | None = None


class Run:
    """One run of the simulation."""

    def __init__(self, parameters: RunParameters) -> None:
        self.parameters = parameters
        self.counts = RunCounts()
        self.loads = DEPLOYMENTS[parameters.deployment]
        self.prepaid_tokens: dict[BudgetKey, int] = {}
        self.started_s = 0.0
        self.excluded_routers = set()

    async def simulate(self):
        """Run the simulation and return its row of results."""
        options = BudgetOptions(policy=POLICIES[self.parameters.policy])
        async with anyio.create_task_group() as tasks:
            self.fleet = Fleet(
                tasks,
                random.Random(self.parameters.seed),
                routers=ROUTERS,
                sidecars=SIDECARS,
                options=options,
                transfers=self.parameters.transfers,
                table=CountingTable(),
            )
            self.started_s = self.fleet.clock()
            await self._top_up()
            await anyio.sleep(1)
            async with anyio.create_task_group() as load_tasks:
                for number, load in enumerate(self.loads):
                    load_tasks.start_soon(self._generate_load, load, number, tasks)
                load_tasks.start_soon(self._sample_stranded)
                load_tasks.start_soon(self._inject_fault)
            writes = self.fleet.table.writes
            rows_written = self.fleet.table.rows_written
            reads = self.fleet.table.reads
            row = await self._finish(writes, rows_written, reads)
            tasks.cancel_scope.cancel()
        return row

    def now_s(self):
        """Return the seconds since the start of the run."""
        return self.fleet.clock() - self.started_s

    async def _top_up(self):
        for load in self.loads:
            used = load.prompt_tokens + load.answer_tokens
            tokens = int(load.requests_per_s * used * load.duration_s)
            budget = _budget(load)
            self.prepaid_tokens[budget] = tokens
            await top_up(
                self.fleet.table, budget, "first", tokens, timeout_s=1, now_s=0
            )

    async def _generate_load(self, load, number, tasks):
        rng = random.Random(f"{self.parameters.seed}/{load.name}")
        sent = 0
        while True:
            await anyio.sleep(rng.expovariate(load.requests_per_s))
            if self.now_s() > RUN_END_S:
                return
            sent += 1
            prompt = max(int(rng.gauss(1, 0.25) * load.prompt_tokens), 10)
            answer = int(rng.lognormvariate(0, 0.5) * load.answer_tokens * 0.88)
            answer = min(max(answer, 5), load.limit_tokens)
            request = RequestSpec(
                key=f"{load.name}-{sent}",
                budget=_budget(load),
                # Plain text has about four bytes per token.
                bound_tokens=prompt * 4 + 24 + load.limit_tokens,
                prompt_tokens=prompt,
                completion_tokens=answer,
                reserve_s=self.parameters.reserve_s,
            )
            router = self._choose_router(rng)
            if router is not None:
                tasks.start_soon(self._send, router, request)

    def _choose_router(self, rng):
        live = [
            router
            for router in self.fleet.live_routers()
            if router.instance_id not in self.excluded_routers
        ]
        return rng.choice(live) if live else None

    async def _send(self, router, request):
        counts = self.counts
        counts.requests += 1
        outcome = await router.handle(request)
        if isinstance(outcome, Refused):
            self._count_refusal(request)
        elif outcome is Outcome.ANSWERED:
            counts.answered += 1
        else:
            counts.unknown += 1

    def _count_refusal(self, request):
        needed_tokens = request.prompt_tokens + request.completion_tokens
        # Tokens that running work is going to consume count as consumed.
        remaining_tokens = self.prepaid_tokens[request.budget]
        remaining_tokens -= self.fleet.consumed_tokens.get(request.budget, 0)
        remaining_tokens -= self.fleet.expected_tokens.get(request.budget, 0)
        if remaining_tokens < needed_tokens:
            self.counts.correct_refusals += 1
            return
        self.counts.false_refusals += 1
        if remaining_tokens < request.bound_tokens:
            self.counts.bound_refusals += 1
        elif self._free_tokens(request.budget) < request.bound_tokens:
            self.counts.reservation_refusals += 1
        if self.counts.first_false_s is None:
            self.counts.first_false_s = self.now_s()

    def _free_tokens(self, budget):
        """Return the unreserved tokens in the table and at all routers."""
        row = self.fleet.table.get(budget_row_key(budget))
        return row.fields["available"] + sum(
            router.budget_manager.free_tokens_of(budget)
            for router in self.fleet.live_routers()
        )

    async def _sample_stranded(self):
        while self.now_s() < RUN_END_S:
            await anyio.sleep(10)
            if self.now_s() < 120:
                continue
            granted = 0
            for budget in self.prepaid_tokens:
                granted += self.fleet.table.get(budget_row_key(budget)).fields[
                    "granted"
                ]
            in_use_tokens = 0
            for router in self.fleet.live_routers():
                for wallet in router.budget_manager.wallets():
                    in_use_tokens += wallet.reserved_tokens + wallet.consumed_tokens
            self.counts.stranded_tokens.append(max(granted - in_use_tokens, 0))

    async def _inject_fault(self):
        await anyio.sleep(FAULT_START_S - self.now_s())
        fleet = self.fleet
        first_router = fleet.routers[0]
        match self.parameters.fault:
            case "table away":
                await self._make_unavailable(fleet.routers + fleet.all_sidecars)
            case "router-table cut":
                await self._make_unavailable([first_router])
            case "sidecar-table cut":
                await self._make_unavailable(fleet.all_sidecars[:3])
            case "answers lost":
                for router in fleet.routers:
                    router.faults.lost_answer_share = 0.2
                    router.faults.double = 0.1
                    router.faults.delayed_share = 0.1
                await self._sleep_until(FAULT_END_S)
                for router in fleet.routers:
                    router.faults.lost_answer_share = router.faults.double = 0.0
                    router.faults.delayed_share = 0.0
            case "router-sidecar cut":
                first_router.unreachable_targets.update(
                    sidecar.target for sidecar in fleet.all_sidecars[:5]
                )
                await self._sleep_until(FAULT_END_S)
                first_router.unreachable_targets.clear()
            case "router dies":
                await self._replace_router(first_router)
            case "router paused":
                await self._pause_router(first_router)
            case "router+sidecar die":
                terminated_sidecar = fleet.all_sidecars[0]
                terminated_sidecar.die()
                await self._replace_router(first_router, terminated_sidecar)
            case "table away+router dies":
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        self._make_unavailable, fleet.routers[1:] + fleet.all_sidecars
                    )
                    first_router.faults.unavailable = (
                        fleet.operator_faults.unavailable
                    ) = True
                    await anyio.sleep(120)
                    await self._replace_router(first_router)
        await self._sleep_until(RUN_END_S)

    async def _sleep_until(self, at_s):
        await anyio.sleep(max(at_s - self.now_s(), 0))

    async def _make_unavailable(self, processes):
        for process in processes:
            process.faults.unavailable = True
        await self._sleep_until(FAULT_END_S)
        for process in processes:
            process.faults.unavailable = False
        self.fleet.operator_faults.unavailable = False

    async def _replace_router(self, router, sidecar=None):
        self.fleet.kill(router)
        await anyio.sleep(BALANCER_LAG_S)
        replacement = self.fleet.add_router()
        replacement.faults.unavailable = router.faults.unavailable
        await anyio.sleep(TERMINATION_LAG_S)
        if sidecar is not None:
            sidecar.terminated_at_s = self.fleet.clock()
            self.fleet.add_sidecar(sidecar.target)
        await self._recover_router(router)
        replacement.faults.unavailable = False

    async def _pause_router(self, router):
        router.pause()
        await anyio.sleep(BALANCER_LAG_S)
        self.excluded_routers.add(router.instance_id)
        await anyio.sleep(TERMINATION_LAG_S)
        await self._recover_router(router)
        await self._sleep_until(FAULT_END_S)
        router.resume()
        await anyio.sleep(1)
        self.excluded_routers.clear()

    async def _recover_router(self, router):
        took_s = await self.fleet.recover(router.instance_id, within_s=900)
        self.counts.recovery_s.append(math.inf if took_s is None else took_s)

    async def _finish(self, writes, rows_written, reads):
        overspend = 0
        for budget, prepaid_tokens in self.prepaid_tokens.items():
            consumed = self.fleet.consumed_tokens.get(budget, 0)
            overspend += max(consumed - prepaid_tokens, 0)
        await anyio.sleep(60)
        for router in self.fleet.live_routers():
            with anyio.move_on_after(120):
                await router.budget_manager.close(self.fleet.clock())
        for router in self.fleet.routers:
            await self.fleet.recover(router.instance_id, within_s=120)
        charged_beyond_use, unsettled, bill_difference = await self._reconcile()
        counts = self.counts
        recovery = max(counts.recovery_s, default=None)
        return {
            "deployment": self.parameters.deployment,
            "fault": self.parameters.fault,
            "policy": self.parameters.policy,
            "transfers": "yes" if self.parameters.transfers else "no",
            "reserve_s": int(self.parameters.reserve_s),
            "requests": counts.requests,
            "overspend_tokens": overspend,
            "false_refusals": counts.false_refusals,
            "of_these_loose": counts.bound_refusals,
            "of_these_tied": counts.reservation_refusals,
            "right_refusals": counts.correct_refusals,
            "first_false_s": _rounded(counts.first_false_s),
            "writes_per_s": round(writes / RUN_END_S, 2),
            "rows_per_s": round(rows_written / RUN_END_S, 2),
            "reads_per_s": round(reads / RUN_END_S, 2),
            "stranded_mean_tokens": int(statistics.mean(counts.stranded_tokens)),
            "stranded_max_tokens": max(counts.stranded_tokens),
            "recovery_s": _rounded(recovery),
            "charged_beyond_use_tokens": charged_beyond_use,
            "unsettled_tokens": unsettled,
            "bill_difference_tokens": bill_difference,
        }

    async def _reconcile(self):
        """Return tokens charged beyond use, still granted, and missing in the bill."""
        beyond = granted = difference = 0
        keys = tuple(self.prepaid_tokens)
        rows = (await read_budgets(self.fleet.table, keys, timeout_s=1)).value
        records = [record async for record in read_bill(self.fleet.table)]
        for row in rows:
            consumed = self.fleet.consumed_tokens.get(row.budget, 0)
            if row.settled_tokens < consumed:
                raise AssertionError(
                    f"{row}: {consumed} tokens consumed, "
                    f"only {row.settled_tokens} settled"
                )
            beyond += row.settled_tokens - consumed
            granted += row.granted_tokens
            difference += abs(reconcile(row, records).difference_tokens)
        return beyond, granted, difference


def _budget(load):
    return BudgetKey(ClientAccountName(load.name), "main")


def _rounded(value):
    return "" if value is None else round(value, 1)


def simulate(parameters: RunParameters):
    """Run one simulation in a new event loop."""
    return anyio.run(
        Run(parameters).simulate, backend_options={"loop_factory": VirtualLoop}
    )


def all_runs(reserve_s: float, seed: int, faults) -> list[RunParameters]:
    """Return the runs of the complete table."""
    return [
        RunParameters(deployment, policy, transfers, fault, reserve_s, seed)
        for deployment in DEPLOYMENTS
        for fault in faults
        for policy in POLICIES
        for transfers in (False, True)
    ]


def sweep(seed: int) -> list[RunParameters]:
    """Return the runs that compare values of ``reserve_s``."""
    return [
        RunParameters(deployment, "demand", True, fault, reserve_s, seed)
        for deployment in DEPLOYMENTS
        for reserve_s in (30.0, 60.0, 120.0, 300.0, 600.0, 700.0, 900.0, 1200.0)
        for fault in ("none", "table away", "router-table cut", "router+sidecar die")
    ]


def main() -> int:
    """Run, print and save the table; return 1 if any token was overspent."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=20)
    parser.add_argument("--reserve-s", type=float, default=700.0)
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--fault", action="append", choices=FAULTS)
    parser.add_argument("--sweep", action="store_true")
    options = parser.parse_args()
    runs = all_runs(options.reserve_s, options.seed, options.fault or FAULTS)
    if options.sweep:
        runs = sweep(options.seed)
    started_at_s = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(options.processes) as pool:
        rows = list(pool.map(simulate, runs))
    name = "budgets-sweep" if options.sweep else "budgets"
    path = pathlib.Path("results") / f"{name}.csv"
    path.parent.mkdir(exist_ok=True)
    with path.open("w", newline="") as file:
        writer = csv.DictWriter(file, rows[0])
        writer.writeheader()
        writer.writerows(rows)
    for row in rows:
        print("  ".join(f"{value}" for value in row.values()))
    overspent = sum(row["overspend_tokens"] for row in rows)
    took_s = time.monotonic() - started_at_s
    print(f"{len(rows)} cells, {overspent} tokens overspent, {took_s:.0f} s, {path}")
    return 1 if overspent else 0


if __name__ == "__main__":
    raise SystemExit(main())
