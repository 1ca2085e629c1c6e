"""A router is stopped while configurations arrive and the store is slow."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import time

from budget import Clients, accounts, configuration
from fleet import Fleet, Record, run_case

#: The dose of ``platform_slow`` and ``config_storm`` in the site file.
SLOW_X, SLOW_S = 97.0, 5.5
STORM_GAP_S, STORM_S = 0.33, 4.0


async def stop_and_start(fleet: Fleet, record: Record, number: int) -> None:
    """Stop a router like the platform, and start it again."""
    router = fleet.routers[number]
    record.add(f"SIGTERM to {router.name}")
    router.signal(signal.SIGTERM)
    code = await router.wait_end(8.0)
    record.add(f"{router.name} ended with {code}")
    if code is None:
        await router.kill()
    await router.start()


async def case(fleet: Fleet, record: Record, trouble: bool) -> int:
    """Stop one router in order, then use up the budget."""
    if not await fleet.start(configuration(1), routers=4, workers=3):
        record.add("not every router became ready")
        return 2
    await asyncio.sleep(4.0)
    clients = Clients(fleet, record)
    for number in range(8):
        await clients.send(number % 4)
    if clients.answers[200] != 8:
        record.add(f"no calm start: {dict(clients.answers)}")
        return 2
    record.add(accounts(fleet))

    async def storm() -> None:
        await asyncio.sleep(1.0)
        version = 1
        end_s = time.monotonic() + STORM_S
        while time.monotonic() < end_s:
            version += 1
            fleet.store.put("op", "config", configuration(version))
            await asyncio.sleep(STORM_GAP_S)
        record.add(f"{version - 1} configurations were written")

    async def slow() -> None:
        fleet.store.slow_x = SLOW_X if trouble else 1.0
        record.add(f"the store answers {fleet.store.slow_x:g} times slower")
        await asyncio.sleep(SLOW_S)
        fleet.store.slow_x = 1.0
        record.add("the store is calm")

    await asyncio.gather(storm(), slow(), stop_and_start(fleet, record, 0))
    if not await fleet.routers[0].wait_ready():
        record.add("the router did not come back")
        return 2
    # ContactMs, so that all machines are in touch.
    await asyncio.sleep(4.0)
    record.add(accounts(fleet))
    await clients.use_up()
    return clients.judge()


run_case(pathlib.Path(__file__).resolve().parent, case)
