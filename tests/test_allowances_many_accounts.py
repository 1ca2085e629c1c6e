"""More accounts than one transaction of the store can hold, in virtual time."""

from __future__ import annotations

import random
import unittest

import anyio

from endivegw.allowances import AllowanceOptions, Reservation
from endivegw.allowances.rows import BUDGETS_TABLE, decode_budget
from endivegw.types import ClientAccountName
from endivegw_standins.allowance_world import AllowanceWorld, Load
from endivegw_standins.virtual_time import VirtualLoop

ACCOUNTS = 130
PREPAID = 100_000


async def _simulate() -> tuple[int, int]:
    """Return how many accounts are served, and the tokens drawn after all stop."""
    loads = tuple(
        Load(ClientAccountName(f"account-{number}"), PREPAID, 1.0, (0.25,) * 4)
        for number in range(ACCOUNTS)
    )
    async with anyio.create_task_group() as tasks:
        world = AllowanceWorld(
            loads, AllowanceOptions(), random.Random(1), anyio.current_time, tasks
        )
        for vm in world.vms:
            world.start(vm)
        await anyio.sleep(5.0)
        served = 0
        for load in loads:
            allowances = world.routers["a"].allowances
            reservation = await allowances.reserve(load.account, 2000)
            if isinstance(reservation, Reservation):
                served += 1
                allowances.settle(reservation, 0)
        for vm in world.vms:
            with anyio.fail_after(10.0):
                await world.routers[vm].allowances.stop()
        rows = world.store.listed(BUDGETS_TABLE).rows
        drawn = sum(decode_budget(row.value, 0).drawn_tokens for row in rows)
        tasks.cancel_scope.cancel()
    return served, drawn


class ManyAccountsTests(unittest.TestCase):
    """A transaction takes 100 entries, two for each budget that it draws on."""

    # Guards against writes that the store always rejects, leaving routers without
    # tokens.
    def test_budgets_are_drawn_and_returned_in_several_writes(self) -> None:
        """Each account is served; a router that stops returns the tokens of all."""
        served, drawn = anyio.run(
            _simulate, backend_options={"loop_factory": VirtualLoop}
        )
        self.assertEqual(served, ACCOUNTS)
        self.assertEqual(drawn, 0)


if __name__ == "__main__":
    unittest.main()
