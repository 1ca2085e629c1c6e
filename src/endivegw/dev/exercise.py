"""Run the development fleet under load with faults and evaluate the results."""

from __future__ import annotations

import random
import time

import anyio

from endivegw.budgets.rows import HOLDER_PARTITION, HolderRow
from endivegw.dev.calls import Caller, new_call
from endivegw.dev.faults import FaultPlan, FaultRunner
from endivegw.dev.figures import ExerciseFigures
from endivegw.dev.fleet import DevFleet
from endivegw.dev.oracle import Oracle, RecordedTopUp
from endivegw.dev.patience import StallAwareTimeouts
from endivegw_standins.ports import reserve_port

__all__ = ["run_exercise"]

#: Requests per second. This is about a fifth of the capacity of the three fake engines,
#: so that no refusal is justified by lack of capacity.
_RATE_PER_S = 30.0

#: Budget of each account. The second one is small enough to run out before its top-up.
_BUDGET_TOKENS = (400_000, 2_500)

#: Time limits after the load: for the callers' last retries, and for the recovery of
#: the terminated router's tokens.
_LOAD_DRAIN_TIMEOUT_S = 25.0
_RECOVERY_TIMEOUT_S = 90.0


async def run_exercise(
    exercise_s: float, seed: int, plan: FaultPlan = FaultPlan()
) -> ExerciseFigures:
    """Run load and faults for the given time and return the figures."""
    figures = ExerciseFigures(seed)
    ports = (reserve_port(), reserve_port())
    fleet = DevFleet(http_ports=ports, budget_tokens=_BUDGET_TOKENS)
    async with anyio.create_task_group() as tasks:
        await fleet.start(tasks)
        budgets = [
            RecordedTopUp(account.client_account, tokens, 0.0)
            for account, tokens in zip(fleet.accounts, _BUDGET_TOKENS)
        ]
        oracle = Oracle(fleet, budgets)
        faults = FaultRunner(fleet, oracle, tasks, exercise_s, plan)
        timeouts = StallAwareTimeouts()
        tasks.start_soon(timeouts.run)
        caller = Caller(
            lambda: [router.url for router in fleet.routers],
            time.monotonic,
            random.Random(seed),
            timeouts,
        )
        async with anyio.create_task_group() as load_tasks:
            load_tasks.start_soon(faults.run)
            with timeouts.move_on_after(exercise_s + _LOAD_DRAIN_TIMEOUT_S):
                await _load(caller, oracle, exercise_s, seed)
        await caller.close()
        await _wait_for_recovery(fleet)
        with anyio.move_on_after(30):
            await fleet.drain()
        figures.faults = faults.log
        await oracle.evaluate(figures)
        tasks.cancel_scope.cancel()
    return figures


async def _load(caller: Caller, oracle: Oracle, exercise_s: float, seed: int) -> None:
    """Send calls at random times; return when all have ended."""
    rng = random.Random(seed)
    end_s = time.monotonic() + exercise_s
    number = 0
    async with anyio.create_task_group() as calls:
        while time.monotonic() < end_s:
            number += 1
            account = rng.choices(oracle.fleet.accounts, (3, 2))[0]
            call = new_call(number, account, rng)
            oracle.calls.append(call)
            calls.start_soon(caller.send, call)
            await anyio.sleep(rng.expovariate(_RATE_PER_S))


async def _wait_for_recovery(fleet: DevFleet) -> None:
    """Wait until no terminated router holds tokens, or until the time limit."""
    live = {router.router.instance_id for router in fleet.routers}
    with anyio.move_on_after(_RECOVERY_TIMEOUT_S):
        while _unrecovered_holders(fleet) - live:
            await anyio.sleep(0.5)


def _unrecovered_holders(fleet: DevFleet) -> set[str]:
    page = fleet.platform.table.page(HOLDER_PARTITION, "", None, 1000)
    holders = [HolderRow.of(row) for row in page.rows]
    return {holder.instance_id for holder in holders if not holder.recovered}
