"""What one command of the operators' client costs, as a process of its own."""

from __future__ import annotations

import multiprocessing
import resource
import time
from multiprocessing.connection import Connection
from typing import Any

import anyio
from attrs import frozen
from benchmarks.capacity.fitting import Fit, Point, fit_line

from endivegw.commands.account import create_account
from endivegw.commands.changes import Operation
from endivegw.commands.target import set_target
from endivegw.configuration import TargetKind, TargetParameters
from endivegw.configuration.parameters import Parameters
from endivegw.configuration.store import load_documents
from endivegw.results import Done
from endivegw.services.dynamo_table import DynamoTable
from endivegw.types import TargetName
from endivegw_standins.platform_app import StandinPlatform
from endivegw_standins.serving import served

__all__ = ["OperatorCost", "measure_operator"]

_BUDGETS_PER_ACCOUNT = 354


@frozen
class OperatorCost:
    """Hold what reading the whole configuration and one change cost.

    :param reads: rows or pages read, by accounts in the table.
    :param cpu_s: processor time of reading everything, by accounts.
    :param change_reads: rows that one change reads.
    :param change_writes: transactions that one change makes.
    :param memory_bytes: the most that the client held.
    """

    reads: Fit
    cpu_s: Fit
    change_reads: float
    change_writes: float
    memory_bytes: int


def measure_operator() -> OperatorCost:
    """Measure at three numbers of accounts, with as many targets twice over."""
    sizes = (70, 140, 280)
    rows = [_in_process(size) for size in sizes]
    return OperatorCost(
        reads=fit_line([Point(s, row["reads"]) for s, row in zip(sizes, rows)]),
        cpu_s=fit_line([Point(s, row["cpu_s"]) for s, row in zip(sizes, rows)]),
        change_reads=rows[-1]["change_reads"],
        change_writes=rows[-1]["change_writes"],
        memory_bytes=int(rows[-1]["memory"]),
    )


def _in_process(accounts: int) -> dict[str, float]:
    context = multiprocessing.get_context("spawn")
    near, far = context.Pipe()
    platform = context.Process(target=_run_platform, args=(far, accounts))
    platform.start()
    client_near, client_far = context.Pipe()
    try:
        url = near.recv()
        client = context.Process(target=_run_client, args=(client_far, url))
        client.start()
        row: dict[str, float] = client_near.recv()
        client.join()
        near.send("counts")
        row.update(near.recv())
    finally:
        platform.terminate()
        platform.join()
    return row


def _operation(number: int) -> Operation:
    return Operation(f"operation-{number}", "bench", time.time(), timeout_s=5.0)


def _run_platform(pipe: Connection, accounts: int) -> None:
    async def main() -> None:
        platform = StandinPlatform()
        await _fill(platform.table, accounts)
        platform.table.reads = platform.table.writes = 0
        seen: list[tuple[int, int]] = []
        async with served(_counting(platform, seen), lifespan=False) as url:
            pipe.send(url)
            await anyio.to_thread.run_sync(pipe.recv)
            reads, writes = platform.table.reads, platform.table.writes
            marked = seen[0]
            pipe.send(
                {
                    "reads": float(marked[0]),
                    "change_reads": float(reads - marked[0]),
                    "change_writes": float(writes - marked[1]),
                }
            )

    anyio.run(main)


def _counting(platform: StandinPlatform, seen: list[tuple[int, int]]) -> Any:
    """Note the counts when the client marks the end of its first part."""

    async def app(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "http" and scope["path"] == "/vms":
            seen.append((platform.table.reads, platform.table.writes))
        await platform(scope, receive, send)

    return app


async def _fill(table: Any, accounts: int) -> None:
    for number in range(accounts):
        parameters = Parameters(
            budgets=tuple(
                f"tenant-{number:04d}-{budget:04d}"
                for budget in range(_BUDGETS_PER_ACCOUNT)
            )
        )
        name = f"account-{number:04d}"
        await create_account(
            table, _operation(number), name, template="", parameters=parameters
        )
    for number in range(2 * accounts):
        target = TargetParameters(TargetName(f"engine-{number}"), TargetKind.ENGINE)
        await set_target(table, _operation(10_000 + number), target)


def _run_client(pipe: Connection, url: str) -> None:
    async def main() -> None:
        table = DynamoTable(f"{url}/table", credentials=None, client_name="bench")
        began_s = time.process_time()
        loaded = await load_documents(table, timeout_s=30.0)
        cpu_s = time.process_time() - began_s
        if not isinstance(loaded, Done):
            raise RuntimeError(f"the configuration was not read: {loaded}")
        await _mark(url)
        target = TargetParameters(TargetName("engine-new"), TargetKind.ENGINE)
        changed = await set_target(table, _operation(99_999), target)
        if not isinstance(changed, Done):
            raise RuntimeError(f"the change was not made: {changed}")
        used = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
        pipe.send({"cpu_s": cpu_s, "memory": float(used)})

    anyio.run(main)


async def _mark(url: str) -> None:
    import httpcore

    async with httpcore.AsyncConnectionPool() as pool:
        await pool.request("GET", f"{url}/vms")
