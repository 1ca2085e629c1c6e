"""Measure budgets under faults: overspend, false refusals, writes, stranded tokens.

Runs the real keepers, gates and recovery in virtual time before fake engines,
for two deployments, three ways to size grants, with and without peer transfer.
Engines and arrivals are drawn from the seed, so that each cell of a column sees
the same requests.
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
from benchmarks.budget_fleet import Fleet, Work

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

#: When the fault begins, when it ends, and when the run ends.
FAULT_AT_S = 420.0
MENDED_AT_S = 1020.0
END_AT_S = 1320.0

#: How long until a machine that is gone is taken for gone: the list's lag.
GONE_AFTER_S = 120.0

#: How long the balancer goes on sending to a router that does not answer.
BALANCER_S = 5.0

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
class Demand:
    """Hold the load of one account's budget.

    :param lasts_s: for how long the budget lasts at this demand.
    """

    name: str
    requests_per_s: float
    prompt_tokens: int
    answer_tokens: int
    limit_tokens: int
    lasts_s: float


def registra() -> tuple[Demand, ...]:
    """Return kiosks: short prompts and badge notes, a few large accounts."""
    large = [
        Demand(f"hospital{n}", 1.6, 120, 90, 200, 30_000.0 if n else 1150.0)
        for n in range(3)
    ]
    small = [
        Demand(f"tower{n}", 0.08, 120, 90, 200, 30_000.0 if n else 900.0)
        for n in range(7)
    ]
    return tuple(large + small)


def lakeshore() -> tuple[Demand, ...]:
    """Return dispatchers: long prompts and replans, a few large accounts."""
    large = [
        Demand(f"carrier{n}", 0.7, 700, 300, 800, 30_000.0 if n else 1150.0)
        for n in range(3)
    ]
    small = [
        Demand(f"handler{n}", 0.04, 700, 300, 800, 30_000.0 if n else 900.0)
        for n in range(7)
    ]
    return tuple(large + small)


DEPLOYMENTS = {"registra": registra(), "lakeshore": lakeshore()}


class CountingTable(MemoryTable):
    """Count the rows that writes touch as well as the writes."""

    def __init__(self):
        super().__init__()
        self.items = 0

    def transact_now(self, transaction):
        """Carry a transaction out and count its rows."""
        self.items += len(transaction.writes)
        return super().transact_now(transaction)


@frozen
class Cell:
    """Name one run."""

    deployment: str
    policy: str
    transfers: bool
    fault: str
    reserve_s: float
    seed: int


@define
class Tally:
    """Add up what became of one run."""

    requests: int = 0
    answered: int = 0
    refused_rightly: int = 0
    false_refusals: int = 0
    loose_refusals: int = 0
    tied_refusals: int = 0
    lost: int = 0
    stranded: list[int] = field(factory=list)
    recovery_s: list[float] = field(factory=list)
    first_false_s: float | None = None


class Run:
    """Play one cell."""

    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        self.tally = Tally()
        self.demands = DEPLOYMENTS[cell.deployment]
        self.prepaid: dict[BudgetKey, int] = {}
        self.started_s = 0.0
        self.unbalanced = set()

    async def play(self):
        """Run to the end and return the row of results."""
        options = BudgetOptions(policy=POLICIES[self.cell.policy])
        async with anyio.create_task_group() as tasks:
            self.fleet = Fleet(
                tasks,
                random.Random(self.cell.seed),
                routers=ROUTERS,
                sidecars=SIDECARS,
                options=options,
                transfers=self.cell.transfers,
                table=CountingTable(),
            )
            self.started_s = self.fleet.clock()
            await self._top_up()
            await anyio.sleep(1)
            async with anyio.create_task_group() as load:
                for number, demand in enumerate(self.demands):
                    load.start_soon(self._arrive, demand, number, tasks)
                load.start_soon(self._sample)
                load.start_soon(self._fault)
            writes = self.fleet.table.writes
            items = self.fleet.table.items
            reads = self.fleet.table.reads
            row = await self._end(writes, items, reads)
            tasks.cancel_scope.cancel()
        return row

    def now_s(self):
        """Return seconds since the run began."""
        return self.fleet.clock() - self.started_s

    async def _top_up(self):
        for demand in self.demands:
            used = demand.prompt_tokens + demand.answer_tokens
            tokens = int(demand.requests_per_s * used * demand.lasts_s)
            budget = _budget(demand)
            self.prepaid[budget] = tokens
            await top_up(
                self.fleet.table, budget, "first", tokens, timeout_s=1, now_s=0
            )

    async def _arrive(self, demand, number, tasks):
        rng = random.Random(f"{self.cell.seed}/{demand.name}")
        sent = 0
        while True:
            await anyio.sleep(rng.expovariate(demand.requests_per_s))
            if self.now_s() > END_AT_S:
                return
            sent += 1
            prompt = max(int(rng.gauss(1, 0.25) * demand.prompt_tokens), 10)
            answer = int(rng.lognormvariate(0, 0.5) * demand.answer_tokens * 0.88)
            answer = min(max(answer, 5), demand.limit_tokens)
            work = Work(
                key=f"{demand.name}-{sent}",
                budget=_budget(demand),
                # Four bytes a token is usual for plain text.
                bound_tokens=prompt * 4 + 24 + demand.limit_tokens,
                prompt_tokens=prompt,
                completion_tokens=answer,
                reserve_s=self.cell.reserve_s,
            )
            router = self._balance(rng)
            if router is not None:
                tasks.start_soon(self._one, router, work)

    def _balance(self, rng):
        live = [
            router
            for router in self.fleet.live_routers()
            if router.instance_id not in self.unbalanced
        ]
        return rng.choice(live) if live else None

    async def _one(self, router, work):
        tally = self.tally
        tally.requests += 1
        outcome = await router.handle(work)
        if isinstance(outcome, Refused):
            self._refused(work)
        elif outcome is Outcome.ANSWERED:
            tally.answered += 1
        else:
            tally.lost += 1

    def _refused(self, work):
        needed = work.prompt_tokens + work.completion_tokens
        # What runs will consume counts as gone already.
        left = self.prepaid[work.budget]
        left -= self.fleet.consumed_tokens.get(work.budget, 0)
        left -= self.fleet.expected_tokens.get(work.budget, 0)
        if left < needed:
            self.tally.refused_rightly += 1
            return
        self.tally.false_refusals += 1
        if left < work.bound_tokens:
            self.tally.loose_refusals += 1
        elif self._free_tokens(work.budget) < work.bound_tokens:
            self.tally.tied_refusals += 1
        if self.tally.first_false_s is None:
            self.tally.first_false_s = self.now_s()

    def _free_tokens(self, budget):
        """Return what no reservation holds, in the table and at all routers."""
        row = self.fleet.table.get(budget_row_key(budget))
        return row.fields["available"] + sum(
            router.budget_manager.free_tokens_of(budget)
            for router in self.fleet.live_routers()
        )

    async def _sample(self):
        while self.now_s() < END_AT_S:
            await anyio.sleep(10)
            if self.now_s() < 120:
                continue
            granted = 0
            for budget in self.prepaid:
                granted += self.fleet.table.get(budget_row_key(budget)).fields[
                    "granted"
                ]
            busy = 0
            for router in self.fleet.live_routers():
                for wallet in router.budget_manager.wallets():
                    busy += wallet.reserved_tokens + wallet.consumed_tokens
            self.tally.stranded.append(max(granted - busy, 0))

    async def _fault(self):
        await anyio.sleep(FAULT_AT_S - self.now_s())
        fleet = self.fleet
        first = fleet.routers[0]
        match self.cell.fault:
            case "table away":
                await self._away(fleet.routers + fleet.all_sidecars)
            case "router-table cut":
                await self._away([first])
            case "sidecar-table cut":
                await self._away(fleet.all_sidecars[:3])
            case "answers lost":
                for router in fleet.routers:
                    router.faults.lost_answer_share = 0.2
                    router.faults.double = 0.1
                    router.faults.delayed_share = 0.1
                await self._until(MENDED_AT_S)
                for router in fleet.routers:
                    router.faults.lost_answer_share = router.faults.double = 0.0
                    router.faults.delayed_share = 0.0
            case "router-sidecar cut":
                first.cut_from.update(one.target for one in fleet.all_sidecars[:5])
                await self._until(MENDED_AT_S)
                first.cut_from.clear()
            case "router dies":
                await self._replace(first)
            case "router paused":
                await self._pause(first)
            case "router+sidecar die":
                lost = fleet.all_sidecars[0]
                lost.die()
                await self._replace(first, lost)
            case "table away+router dies":
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._away, fleet.routers[1:] + fleet.all_sidecars)
                    first.faults.unavailable = fleet.operator_faults.unavailable = True
                    await anyio.sleep(120)
                    await self._replace(first)
        await self._until(END_AT_S)

    async def _until(self, at_s):
        await anyio.sleep(max(at_s - self.now_s(), 0))

    async def _away(self, processes):
        for one in processes:
            one.faults.unavailable = True
        await self._until(MENDED_AT_S)
        for one in processes:
            one.faults.unavailable = False
        self.fleet.operator_faults.unavailable = False

    async def _replace(self, router, sidecar=None):
        self.fleet.kill(router)
        await anyio.sleep(BALANCER_S)
        fresh = self.fleet.add_router()
        fresh.faults.unavailable = router.faults.unavailable
        await anyio.sleep(GONE_AFTER_S)
        if sidecar is not None:
            sidecar.terminated_at_s = self.fleet.clock()
            self.fleet.add_sidecar(sidecar.target)
        await self._recover(router)
        fresh.faults.unavailable = False

    async def _pause(self, router):
        router.pause()
        await anyio.sleep(BALANCER_S)
        self.unbalanced.add(router.instance_id)
        await anyio.sleep(GONE_AFTER_S)
        await self._recover(router)
        await self._until(MENDED_AT_S)
        router.resume()
        await anyio.sleep(1)
        self.unbalanced.clear()

    async def _recover(self, router):
        took_s = await self.fleet.recover(router.instance_id, within_s=900)
        self.tally.recovery_s.append(math.inf if took_s is None else took_s)

    async def _end(self, writes, items, reads):
        overspend = 0
        for budget, prepaid in self.prepaid.items():
            consumed = self.fleet.consumed_tokens.get(budget, 0)
            overspend += max(consumed - prepaid, 0)
        await anyio.sleep(60)
        for router in self.fleet.live_routers():
            with anyio.move_on_after(120):
                await router.budget_manager.close(self.fleet.clock())
        for router in self.fleet.routers:
            await self.fleet.recover(router.instance_id, within_s=120)
        wrote_off, unsettled, unbilled = await self._books()
        tally = self.tally
        recovery = max(tally.recovery_s, default=None)
        return {
            "deployment": self.cell.deployment,
            "fault": self.cell.fault,
            "policy": self.cell.policy,
            "transfers": "yes" if self.cell.transfers else "no",
            "reserve_s": int(self.cell.reserve_s),
            "requests": tally.requests,
            "overspend_tokens": overspend,
            "false_refusals": tally.false_refusals,
            "of_these_loose": tally.loose_refusals,
            "of_these_tied": tally.tied_refusals,
            "right_refusals": tally.refused_rightly,
            "first_false_s": _rounded(tally.first_false_s),
            "writes_per_s": round(writes / END_AT_S, 2),
            "rows_per_s": round(items / END_AT_S, 2),
            "reads_per_s": round(reads / END_AT_S, 2),
            "stranded_mean_tokens": int(statistics.mean(tally.stranded)),
            "stranded_max_tokens": max(tally.stranded),
            "recovery_s": _rounded(recovery),
            "charged_beyond_use_tokens": wrote_off,
            "unsettled_tokens": unsettled,
            "bill_difference_tokens": unbilled,
        }

    async def _books(self):
        """Return what is charged beyond use, left granted, and off the bill."""
        beyond = granted = difference = 0
        keys = tuple(self.prepaid)
        rows = (await read_budgets(self.fleet.table, keys, timeout_s=1)).value
        records = [one async for one in read_bill(self.fleet.table)]
        for row in rows:
            consumed = self.fleet.consumed_tokens.get(row.budget, 0)
            if row.settled_tokens < consumed:
                raise AssertionError(f"{row} and {consumed} consumed")
            beyond += row.settled_tokens - consumed
            granted += row.granted_tokens
            difference += abs(reconcile(row, records).difference_tokens)
        return beyond, granted, difference


def _budget(demand):
    return BudgetKey(ClientAccountName(demand.name), "main")


def _rounded(value):
    return "" if value is None else round(value, 1)


def play(cell: Cell):
    """Run one cell in a fresh loop."""
    return anyio.run(Run(cell).play, backend_options={"loop_factory": VirtualLoop})


def cells(reserve_s: float, seed: int, faults) -> list[Cell]:
    """Return the whole table's cells."""
    return [
        Cell(deployment, policy, transfers, fault, reserve_s, seed)
        for deployment in DEPLOYMENTS
        for fault in faults
        for policy in POLICIES
        for transfers in (False, True)
    ]


def sweep(seed: int) -> list[Cell]:
    """Return the cells that argue the default of the reserve."""
    return [
        Cell(deployment, "demand", True, fault, reserve_s, seed)
        for deployment in DEPLOYMENTS
        for reserve_s in (30.0, 60.0, 120.0, 300.0, 600.0, 700.0, 900.0, 1200.0)
        for fault in ("none", "table away", "router-table cut", "router+sidecar die")
    ]


def main() -> int:
    """Run, print and keep the table; return 1 where a token was overspent."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=20)
    parser.add_argument("--reserve-s", type=float, default=700.0)
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--fault", action="append", choices=FAULTS)
    parser.add_argument("--sweep", action="store_true")
    options = parser.parse_args()
    wanted = cells(options.reserve_s, options.seed, options.fault or FAULTS)
    if options.sweep:
        wanted = sweep(options.seed)
    began_s = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(options.processes) as pool:
        rows = list(pool.map(play, wanted))
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
    took_s = time.monotonic() - began_s
    print(f"{len(rows)} cells, {overspent} tokens overspent, {took_s:.0f} s, {path}")
    return 1 if overspent else 0


if __name__ == "__main__":
    raise SystemExit(main())
