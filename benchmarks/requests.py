"""Measure outcomes of requests under faults, claims, and outages of the table.

All parts except the cost of a slot owner run in virtual time with the production
classes; see :mod:`endivegw_standins.request_world`.
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

#: Requests per simulation, and simulations per fault.
WORLD_REQUESTS = 1000
WORLDS = 10

OUTAGE_S = 3600.0
OUTAGE_REQUESTS_PER_S = 1.0


@frozen
class FaultJob:
    """Parameters of one simulation under a fault."""

    fault: str
    seed: int


@frozen
class OutageJob:
    """Parameters of one simulated outage of the table.

    :param grace_s: time until claims are granted from memory.
    :param terminated_vms: number of vms terminated while the table is unavailable.
    """

    grace_s: float
    terminated_vms: int
    seed: int


def run_fault(job: FaultJob) -> tuple[FaultJob, WorldReport]:
    """Run one simulation under a fault."""
    logbook.NullHandler(level=0).push_application()
    scenario = fault_scenario(job.fault, WORLD_REQUESTS, 10.0, 0.3)
    return job, run_world(WorldLimits(), job.seed, scenario)


def run_outage(job: OutageJob) -> tuple[OutageJob, Counter[str]]:
    """Simulate an outage of one hour and count the outcomes of single attempts."""
    logbook.NullHandler(level=0).push_application()
    claims = ClaimLimits(grace_s=job.grace_s)
    limits = WorldLimits(targets=8, slots=8, tries=1, claims=claims)
    report = run_world(limits, job.seed, lambda world: _simulate_outage(world, job))
    return job, report.first


async def _simulate_outage(world: RequestWorld, job: OutageJob) -> None:
    world.table_faults.unavailable = True
    rng = random.Random(job.seed)
    end_s = world.now_s() + OUTAGE_S
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_terminate_vms, world, job.terminated_vms, rng)
        number = 0
        while world.now_s() < end_s:
            tasks.start_soon(_call_once, world, number)
            number += 1
            await anyio.sleep(rng.expovariate(OUTAGE_REQUESTS_PER_S))


async def _call_once(world: RequestWorld, number: int) -> None:
    await world.call(number, repeatable=False)


async def _terminate_vms(
    world: RequestWorld, terminated_vms: int, rng: random.Random
) -> None:
    for host in rng.sample(list(world.hosts.values()), terminated_vms):
        await anyio.sleep(OUTAGE_S / (terminated_vms + 1))
        await world.replace_machine(host)


def print_faults(seed: int) -> None:
    """Print the outcomes seen by callers, per 10,000 requests for each fault."""
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
    for fault, fault_reports in reports.items():
        print(_format_fault_row(fault, fault_reports))


def _format_fault_row(fault: str, reports: list[WorldReport]) -> str:
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
    """Print the share of requests not served during a table outage of one hour."""
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
            not_served = total - first[Outcome.ANSWERED.value]
            share = 100.0 * not_served / total
            prefix = f"| {job.grace_s:.0f} | {job.terminated_vms} | {total} "
            print(f"{prefix}| {not_served} | {share:.2f} % |")


def print_claims(seed: int) -> None:
    """Print the latency that claims add to requests, and the rows they write."""
    print("| claims/s, one slot | claims/s, 32 slots | p50 ms | p95 ms |", end="")
    print(" rows/s, one slot | rows/s, 32 slots |")
    print("|---|---|---|---|---|---|")
    for claims_per_s in (0.5, 4.0, 12.0, 122.0):
        print(_format_claims_row(claims_per_s, seed))


def _format_claims_row(claims_per_s: float, seed: int) -> str:
    async def main() -> tuple[list[float], int, float]:
        return await _measure_slot(claims_per_s, seed)

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


async def _measure_slot(
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
        owned_slot = OwnedSlot(slot, owner, SlotHeartbeat(0, 0, 0), table, clock, clock)
        tasks.start_soon(owned_slot.maintain)
        await anyio.sleep(1.0)
        started_s, before = clock(), memory.writes

        async def claim(number: int) -> None:
            sent_s = clock()
            response = await owned_slot.ask(ClaimProposal(_claim(number)), 5.0)
            if not isinstance(response, Granted):
                raise SystemExit(f"claim {number} was not granted: {response}")
            waits_s.append(clock() - sent_s)

        async with anyio.create_task_group() as callers:
            number = 0
            while clock() < started_s + duration_s:
                callers.start_soon(claim, number)
                number += 1
                await anyio.sleep(rng.expovariate(claims_per_s))
        elapsed_s, writes = clock() - started_s, memory.writes - before
        tasks.cancel_scope.cancel()
    return waits_s, writes, elapsed_s


def _claim(number: int) -> Claim:
    key = number.to_bytes(16, "big")
    attempt_id = AttemptId(f"{number:032x}")
    return Claim(key, attempt_id, TargetName("planner-17"), "instance.0", bytes(32))


def print_owner_cost() -> None:
    """Print the CPU time and memory that a slot owner needs per claim."""
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
        started_s = time.process_time()
        for number in range(count):
            owner.ask(ClaimProposal(_claim(number)), 0.0)
        while (commit := owner.next_commit(0.0)) is not None:
            owner.committed(commit)
        samples_us.append(1e6 * (time.process_time() - started_s) / count)
    print(f"bytes of memory a claim: {size_bytes / count:.0f}")
    print(f"processor time a claim, decisions only: {min(samples_us):.1f} us")
    print(f"median of five: {statistics.median(samples_us):.1f} us")


def main() -> None:
    """Run the parts named on the command line, by default all."""
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
