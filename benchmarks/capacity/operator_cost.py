"""Cost of one command of the operator client, run in a separate process."""

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
    """Cost of loading the complete configuration and of one change.

    :param reads: rows or pages read by a complete load, over the number of accounts.
    :param cpu_s: CPU time of a complete load, over the number of accounts.
    :param change_reads: rows that one change reads.
    :param change_writes: transactions that one change commits.
    :param memory_bytes: peak resident memory of the client.
    """

    reads: Fit
    cpu_s: Fit
    change_reads: float
    change_writes: float
    memory_bytes: int


def measure_operator() -> OperatorCost:
    """Measure three numbers of accounts, with twice as many targets as accounts."""
    sizes = (70, 140, 280)
    rows = [_measure_in_processes(size) for size in sizes]
    return OperatorCost(
        reads=fit_line([Point(s, row["reads"]) for s, row in zip(sizes, rows)]),
        cpu_s=fit_line([Point(s, row["cpu_s"]) for s, row in zip(sizes, rows)]),
        change_reads=rows[-1]["change_reads"],
        change_writes=rows[-1]["change_writes"],
        memory_bytes=int(rows[-1]["memory"]),
    )


def _measure_in_processes(accounts: int) -> dict[str, float]:
    context = multiprocessing.get_context("spawn")
    platform_end, platform_child_end = context.Pipe()
    platform = context.Process(
        target=_run_platform, args=(platform_child_end, accounts)
    )
    platform.start()
    client_end, client_child_end = context.Pipe()
    try:
        url = platform_end.recv()
        client = context.Process(target=_run_client, args=(client_child_end, url))
        client.start()
        row: dict[str, float] = client_end.recv()
        client.join()
        platform_end.send("counts")
        row.update(platform_end.recv())
    finally:
        platform.terminate()
        platform.join()
    return row


def _operation(number: int) -> Operation:
    return Operation(f"operation-{number}", "bench", time.time(), timeout_s=5.0)


def _run_platform(pipe: Connection, accounts: int) -> None:
    async def main() -> None:
        platform = StandinPlatform()
        await _populate(platform.table, accounts)
        platform.table.reads = platform.table.writes = 0
        marked_counts: list[tuple[int, int]] = []
        async with served(_counting(platform, marked_counts), lifespan=False) as url:
            pipe.send(url)
            await anyio.to_thread.run_sync(pipe.recv)
            reads, writes = platform.table.reads, platform.table.writes
            loaded_counts = marked_counts[0]
            pipe.send(
                {
                    "reads": float(loaded_counts[0]),
                    "change_reads": float(reads - loaded_counts[0]),
                    "change_writes": float(writes - loaded_counts[1]),
                }
            )

    anyio.run(main)


def _counting(platform: StandinPlatform, marked_counts: list[tuple[int, int]]) -> Any:
    """Wrap the platform to record the table counts at each request for ``/vms``.

    The client sends that request between loading the configuration and the change.
    """

    async def app(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "http" and scope["path"] == "/vms":
            marked_counts.append((platform.table.reads, platform.table.writes))
        await platform(scope, receive, send)

    return app


async def _populate(table: Any, accounts: int) -> None:
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
        started_s = time.process_time()
        loaded = await load_documents(table, timeout_s=30.0)
        cpu_s = time.process_time() - started_s
        if not isinstance(loaded, Done):
            raise RuntimeError(f"configuration could not be loaded: {loaded}")
        await _mark_loaded(url)
        target = TargetParameters(TargetName("engine-new"), TargetKind.ENGINE)
        change_result = await set_target(table, _operation(99_999), target)
        if not isinstance(change_result, Done):
            raise RuntimeError(f"target could not be changed: {change_result}")
        peak_memory_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
        pipe.send({"cpu_s": cpu_s, "memory": float(peak_memory_bytes)})

    anyio.run(main)


async def _mark_loaded(url: str) -> None:
    """Send the request at which ``_counting`` records the table counts."""
    import httpcore

    async with httpcore.AsyncConnectionPool() as pool:
        await pool.request("GET", f"{url}/vms")
