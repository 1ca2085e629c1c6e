"""Three of four machines are lost for good at the same moment."""

from __future__ import annotations

import asyncio
import pathlib

from budget import Clients, accounts, configuration
from fleet import Fleet, Record, run_case

LOST_MACHINES = 3

#: Time after which the other routers have taken over what the lost ones held: the rows
#: of the routers last for 20 s, and ContactMs is 3 s.
WAIT_S = 28.0


async def case(fleet: Fleet, record: Record, trouble: bool) -> int:
    """Lose machines among steady requests, then use up the budget."""
    if not await fleet.start(configuration(1), routers=4, workers=3):
        record.add("not every router became ready")
        return 2
    await asyncio.sleep(4.0)
    clients = Clients(fleet, record)
    for number in range(80):
        await clients.send(number % 4)
    if clients.answers[200] != 80:
        record.add(f"no calm start: {dict(clients.answers)}")
        return 2
    record.add(f"{clients.consumed()} tokens used; {accounts(fleet)}")
    lost = fleet.routers[:LOST_MACHINES] if trouble else []
    for router in lost:
        await router.kill()
        record.add(f"{router.name} is lost for good")
    await asyncio.sleep(WAIT_S)
    # Clients open their connections to the routers that are left.
    fleet.routers = [router for router in fleet.routers if router not in lost]
    record.add(f"{clients.consumed()} tokens used; {accounts(fleet)}")
    await clients.use_up()
    return clients.judge()


run_case(pathlib.Path(__file__).resolve().parent, case)
