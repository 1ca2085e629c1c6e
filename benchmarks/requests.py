"""Measure requests under faults: outcomes, claims, and an outage of the table.

Everything but the table's size runs in virtual time with the product's own
parts; see :mod:`endivegw_standins.request_world`.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import multiprocessing
import random
import statistics
import time
import tracemalloc
from collections import Counter

import anyio
import logbook
from attrs import frozen

from endivegw.daemons.claim_slot import OwnedSlot
from endivegw.requests.claims import (
    Claim,
    ClaimLimits,
    ClaimProposal,
    Granted,
    SlotOwner,
)
from endivegw.requests.slots import Slot, SlotHeartbeat
from endivegw.types import AttemptId, InstanceId, Outcome, TargetName
from endivegw_standins.faulty_table import FaultyTable, TableFaults
from endivegw_standins.memory_table import MemoryTable
from endivegw_standins.request_faults import FAULTS, fault_scenario
from endivegw_standins.request_world import (
    RequestWorld,
    WorldLimits,
    WorldReport,
    run_world,
)
from endivegw_standins.virtual_time import VirtualLoop

PROCESSES = 4

#: Requests of one world, and how many worlds make the figure of one fault.
WORLD_REQUESTS = 1000
WORLDS = 10

OUTAGE_S = 3600.0
OUTAGE_REQUESTS_PER_S = 1.0


@frozen
class FaultJob:
    """Name one world to run."""

    fault: str
    seed: int


@frozen
class OutageJob:
    """Name one outage to run.

    :param grace_s: before claims are granted from memory.
    :param deaths: machines that end for good while the table is away.
    """

    grace_s: float
    deaths: int
    seed: int


def run_fault(job: FaultJob) -> tuple[FaultJob, WorldReport]:
    """Run one world under one fault."""
    logbook.NullHandler(level=0).push_application()
    run = fault_scenario(job.fault, WORLD_REQUESTS, 10.0, 0.3)
    return job, run_world(WorldLimits(), job.seed, run)


def run_outage(job: OutageJob) -> tuple[OutageJob, Counter[str]]:
    """Run an outage of an hour; count outcomes of single tries that fall in it."""
    logbook.NullHandler(level=0).push_application()
    claims = ClaimLimits(grace_s=job.grace_s)
    limits = WorldLimits(targets=8, slots=8, tries=1, claims=claims)
    report = run_world(limits, job.seed, lambda world: _outage(world, job))
    return job, report.first


async def _outage(world: RequestWorld, job: OutageJob) -> None:
    world.table_faults.unavailable = True
    rng = random.Random(job.seed)
    end_s = world.now_s() + OUTAGE_S
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_end_machines, world, job.deaths, rng)
        number = 0
        while world.now_s() < end_s:
            tasks.start_soon(_call_once, world, number)
            number += 1
            await anyio.sleep(rng.expovariate(OUTAGE_REQUESTS_PER_S))


async def _call_once(world: RequestWorld, number: int) -> None:
    await world.call(number, repeatable=False)


async def _end_machines(world: RequestWorld, deaths: int, rng: random.Random) -> None:
    for host in rng.sample(list(world.hosts.values()), deaths):
        await anyio.sleep(OUTAGE_S / (deaths + 1))
        await world.replace_machine(host)


def print_faults(seed: int) -> None:
    """Print what callers were told, per 10,000 requests under each fault."""
    jobs = [
        FaultJob(fault, seed + number) for fault in FAULTS for number in range(WORLDS)
    ]
    reports: dict[str, list[WorldReport]] = {fault: [] for fault in FAULTS}
    with multiprocessing.Pool(PROCESSES) as pool:
        for job, report in pool.imap_unordered(run_fault, jobs):
            reports[job.fault].append(report)
    print(
        "| fault | requests | doubled | wrongly told not run | mixed or cut |", end=""
    )
    print(" unknown, first try | unknown in the end | not run in the end |", end="")
    print(" no word | router death to whole answer, p50 / p95 s |")
    print("|---|---|---|---|---|---|---|---|---|---|")
    for fault, found in reports.items():
        print(_fault_line(fault, found))


def _fault_line(fault: str, reports: list[WorldReport]) -> str:
    first: Counter[str] = Counter()
    last: Counter[str] = Counter()
    retries_s: list[float] = []
    for report in reports:
        first.update(report.first)
        last.update(report.last)
        retries_s.extend(report.retry_s)
    figures = (
        sum(report.requests for report in reports),
        sum(report.ran_twice for report in reports),
        sum(report.false_not_run for report in reports),
        sum(report.wrong_bytes for report in reports),
        first[Outcome.UNKNOWN.value],
        last[Outcome.UNKNOWN.value],
        last[Outcome.NOT_RUN.value],
        sum(report.lost for report in reports),
    )
    cells = " | ".join(map(str, figures))
    return f"| {fault} | {cells} | {_percentiles(retries_s)} |"


def _percentiles(values: list[float]) -> str:
    if len(values) < 2:
        return "-"
    ordered = sorted(values)
    p50 = ordered[len(ordered) // 2]
    p95 = ordered[int(len(ordered) * 0.95)]
    return f"{p50:.2f} / {p95:.2f}"


def print_outages(seed: int) -> None:
    """Print the share that is not served while the table is away for an hour."""
    jobs = [
        OutageJob(10.0, 0, seed),
        OutageJob(45.0, 0, seed),
        OutageJob(90.0, 0, seed),
        OutageJob(45.0, 1, seed),
        OutageJob(45.0, 3, seed),
    ]
    print("| grace s | machines of 8 that end | requests | not served | share |")
    print("|---|---|---|---|---|")
    print("| baseline: refuse all | | | | 100 % |")
    with multiprocessing.Pool(PROCESSES) as pool:
        for job, first in pool.imap(run_outage, jobs):
            total = sum(first.values())
            unserved = total - first[Outcome.ANSWERED.value]
            share = 100.0 * unserved / total
            head = f"| {job.grace_s:.0f} | {job.deaths} | {total} "
            print(f"{head}| {unserved} | {share:.2f} % |")


def print_claims(seed: int) -> None:
    """Print what a claim adds to a request, and the rows that it costs."""
    print("| claims/s, one slot | claims/s, 32 slots | p50 ms | p95 ms |", end="")
    print(" rows/s, one slot | rows/s, 32 slots |")
    print("|---|---|---|---|---|---|")
    for claims_per_s in (0.5, 4.0, 12.0, 122.0):
        print(_claims_line(claims_per_s, seed))


def _claims_line(claims_per_s: float, seed: int) -> str:
    async def main() -> tuple[list[float], int, float]:
        return await _load_slot(claims_per_s, seed)

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        waits_s, writes, elapsed_s = runner.run(main())
    waits_s.sort()
    rows_per_s = writes / elapsed_s
    return (
        f"| {claims_per_s:g} | {claims_per_s * 32:g} "
        f"| {1000 * waits_s[len(waits_s) // 2]:.0f} "
        f"| {1000 * waits_s[int(len(waits_s) * 0.95)]:.0f} "
        f"| {rows_per_s:.2f} | {rows_per_s * 32:.0f} |"
    )


async def _load_slot(
    claims_per_s: float, seed: int, duration_s: float = 120.0
) -> tuple[list[float], int, float]:
    rng = random.Random(seed)
    clock = asyncio.get_running_loop().time
    waits_s: list[float] = []
    async with anyio.create_task_group() as tasks:
        memory = MemoryTable()
        table = FaultyTable(memory, TableFaults(latency_s=0.005), rng, tasks)
        slot = Slot(0, TargetName("t"), InstanceId("i"), "vm", "a", 1, False, 0)
        owner = SlotOwner(0, ClaimLimits(), last_heartbeat_s=clock())
        kept = OwnedSlot(slot, owner, SlotHeartbeat(0, 0, 0), table, clock, clock)
        tasks.start_soon(kept.maintain)
        await anyio.sleep(1.0)
        began_s, before = clock(), memory.writes

        async def ask(number: int) -> None:
            asked_s = clock()
            answer = await kept.ask(ClaimProposal(_claim(number)), 5.0)
            if not isinstance(answer, Granted):
                raise SystemExit(f"a claim was not granted: {answer}")
            waits_s.append(clock() - asked_s)

        async with anyio.create_task_group() as callers:
            number = 0
            while clock() < began_s + duration_s:
                callers.start_soon(ask, number)
                number += 1
                await anyio.sleep(rng.expovariate(claims_per_s))
        elapsed_s, writes = clock() - began_s, memory.writes - before
        tasks.cancel_scope.cancel()
    return waits_s, writes, elapsed_s


def _claim(number: int) -> Claim:
    key = number.to_bytes(16, "big")
    attempt_id = AttemptId(f"{number:032x}")
    return Claim(key, attempt_id, TargetName("planner-17"), "instance.0", bytes(32))


def print_owner_cost() -> None:
    """Print processor time and memory of an owner's claims, in real time."""
    count = 20_000
    gc.collect()
    tracemalloc.start()
    owner = SlotOwner(0, ClaimLimits(commit_interval_s=0.0), last_heartbeat_s=0.0)
    for number in range(count):
        owner.ask(ClaimProposal(_claim(number)), 0.0)
    while (commit := owner.next_commit(0.0)) is not None:
        owner.committed(commit)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    samples_us: list[float] = []
    for _ in range(5):
        owner = SlotOwner(0, ClaimLimits(commit_interval_s=0.0), last_heartbeat_s=0.0)
        began_s = time.process_time()
        for number in range(count):
            owner.ask(ClaimProposal(_claim(number)), 0.0)
        while (commit := owner.next_commit(0.0)) is not None:
            owner.committed(commit)
        samples_us.append(1e6 * (time.process_time() - began_s) / count)
    print(f"bytes of memory a claim: {size_bytes / count:.0f}")
    print(f"processor time a claim, decisions only: {min(samples_us):.1f} us")
    print(f"median of five: {statistics.median(samples_us):.1f} us")


def main() -> None:
    """Run the parts that are named, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "parts", nargs="*", default=["faults", "outages", "claims", "owner"]
    )
    options = parser.parse_args()
    for part in options.parts:
        print(f"\n{part}, seed {options.seed}")
        match part:
            case "faults":
                print_faults(options.seed)
            case "outages":
                print_outages(options.seed)
            case "claims":
                print_claims(options.seed)
            case "owner":
                print_owner_cost()


if __name__ == "__main__":
    main()
