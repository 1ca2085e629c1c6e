"""Named faults for a world of requests, alone and together."""

from __future__ import annotations

import random
from typing import Any, Awaitable, Callable, Coroutine

import anyio

from endivegw_standins.request_net import NetFaults
from endivegw_standins.request_world import RequestWorld

__all__ = ["FAULTS", "play"]

Fault = Callable[[RequestWorld, random.Random], Coroutine[Any, Any, None]]


async def _nothing(world: RequestWorld, rng: random.Random) -> None:
    await anyio.sleep_forever()


async def _bad_network(world: RequestWorld, rng: random.Random) -> None:
    world.net_faults.lose_order = 0.05
    world.net_faults.double = 0.05
    world.net_faults.break_stream = 0.1
    world.net_faults.lose_call = 0.05
    await anyio.sleep_forever()


async def _router_deaths(world: RequestWorld, rng: random.Random) -> None:
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


async def _bad_table(world: RequestWorld, rng: random.Random) -> None:
    world.table_faults.lose_answer = 0.1
    world.table_faults.late = 0.05
    world.table_faults.double = 0.05
    await anyio.sleep_forever()


async def _table_away(world: RequestWorld, rng: random.Random) -> None:
    await anyio.sleep(rng.uniform(0.0, 10.0))
    world.table_faults.away = True
    await anyio.sleep_forever()


async def _all(world: RequestWorld, rng: random.Random) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_bad_network, world, rng)
        tasks.start_soon(_bad_table, world, rng)
        for fault in (_router_deaths, _router_pauses, _sidecar_restarts):
            tasks.start_soon(fault, world, rng)
        tasks.start_soon(_machine_replacements, world, rng)
        while True:
            await anyio.sleep(rng.uniform(0.0, 60.0))
            world.table_faults.away = not world.table_faults.away


#: By name, in the order in which the measures list them.
FAULTS: dict[str, Fault] = {
    "none": _nothing,
    "orders lost, late and doubled; streams broken": _bad_network,
    "routers die": _router_deaths,
    "routers pause and wake up": _router_pauses,
    "sidecars restart": _sidecar_restarts,
    "target machines are replaced": _machine_replacements,
    "table writes late, doubled, unanswered": _bad_table,
    "table away": _table_away,
    "all together": _all,
}


def play(
    fault: str, requests: int, requests_per_s: float, repeatable_share: float
) -> Callable[[RequestWorld], Awaitable[None]]:
    """Return what sends requests while a fault goes on.

    Faults end with the last request, and what still runs is left to end.
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
