"""Named faults for a simulated request world, injected singly and together."""

from __future__ import annotations

import random
from typing import Any, Awaitable, Callable, Coroutine

import anyio

from endivegw_standins.request_net import NetFaults
from endivegw_standins.request_world import RequestWorld

__all__ = ["FAULTS", "fault_scenario"]

Fault = Callable[[RequestWorld, random.Random], Coroutine[Any, Any, None]]


async def _no_fault(world: RequestWorld, rng: random.Random) -> None:
    await anyio.sleep_forever()


async def _faulty_network(world: RequestWorld, rng: random.Random) -> None:
    world.net_faults.lose_order = 0.05
    world.net_faults.duplicate_order = 0.05
    world.net_faults.break_stream = 0.1
    world.net_faults.lose_call = 0.05
    await anyio.sleep_forever()


async def _router_crashes(world: RequestWorld, rng: random.Random) -> None:
    while True:
        await anyio.sleep(rng.uniform(0.0, 6.0))
        await world.kill_router(rng.choice(world.routers))


async def _router_pauses(world: RequestWorld, rng: random.Random) -> None:
    while True:
        await anyio.sleep(rng.uniform(0.0, 5.0))
        router = rng.choice(world.routers)
        await world.pause_router(router, rng.uniform(0.5, 20.0))


async def _sidecar_restarts(world: RequestWorld, rng: random.Random) -> None:
    while True:
        await anyio.sleep(rng.uniform(0.0, 8.0))
        host = rng.choice(list(world.hosts.values()))
        world.stop_process(host)
        await anyio.sleep(rng.uniform(0.1, 3.0))
        world.start_process(host)


async def _machine_replacements(world: RequestWorld, rng: random.Random) -> None:
    while True:
        await anyio.sleep(rng.uniform(0.0, 30.0))
        await world.replace_machine(rng.choice(list(world.hosts.values())))


async def _faulty_table(world: RequestWorld, rng: random.Random) -> None:
    world.table_faults.lost_answer_share = 0.1
    world.table_faults.delayed_share = 0.05
    world.table_faults.double = 0.05
    await anyio.sleep_forever()


async def _table_unavailable(world: RequestWorld, rng: random.Random) -> None:
    await anyio.sleep(rng.uniform(0.0, 10.0))
    world.table_faults.unavailable = True
    await anyio.sleep_forever()


async def _all_faults(world: RequestWorld, rng: random.Random) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_faulty_network, world, rng)
        tasks.start_soon(_faulty_table, world, rng)
        for fault in (_router_crashes, _router_pauses, _sidecar_restarts):
            tasks.start_soon(fault, world, rng)
        tasks.start_soon(_machine_replacements, world, rng)
        while True:
            await anyio.sleep(rng.uniform(0.0, 60.0))
            world.table_faults.unavailable = not world.table_faults.unavailable


#: Faults by name, in the order in which reports list them.
FAULTS: dict[str, Fault] = {
    "none": _no_fault,
    "orders lost, late and doubled; streams broken": _faulty_network,
    "routers die": _router_crashes,
    "routers pause and wake up": _router_pauses,
    "sidecars restart": _sidecar_restarts,
    "target machines are replaced": _machine_replacements,
    "table writes late, doubled, unanswered": _faulty_table,
    "table away": _table_unavailable,
    "all together": _all_faults,
}


def fault_scenario(
    fault: str, requests: int, requests_per_s: float, repeatable_share: float
) -> Callable[[RequestWorld], Awaitable[None]]:
    """Return a coroutine function that sends requests while a fault is injected.

    Faults stop after the last request has completed. Orders that are still in transit
    may arrive later.
    """

    async def run(world: RequestWorld) -> None:
        rng = random.Random(world.rng.random())
        async with anyio.create_task_group() as faults:
            faults.start_soon(FAULTS[fault], world, rng)
            async with anyio.create_task_group() as callers:
                for number in range(requests):
                    repeatable = rng.random() < repeatable_share
                    callers.start_soon(_call, world, number, repeatable)
                    await anyio.sleep(rng.expovariate(requests_per_s))
            faults.cancel_scope.cancel()
        late_by_s = world.net_faults.late_by_s
        world.net_faults = NetFaults(late_by_s=late_by_s)

    return run


async def _call(world: RequestWorld, number: int, repeatable: bool) -> None:
    await world.call(number, repeatable=repeatable)
