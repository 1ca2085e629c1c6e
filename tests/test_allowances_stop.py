"""A router that stops returns all tokens that it did not use, in virtual time."""

from __future__ import annotations

import os
import random
import unittest

import anyio

from endivegw.allowances import AllowanceOptions, Reservation
from endivegw.allowances.rows import (
    BUDGETS_TABLE,
    HOLDERS_TABLE,
    decode_budget,
    decode_holder,
)
from endivegw.types import ClientAccountName
from endivegw_standins.allowance_world import AllowanceWorld, Load
from endivegw_standins.virtual_time import VirtualLoop

ACCOUNT = ClientAccountName("hotel")
PREPAID = 1_000_000
VMS = ("a", "b", "c")

#: Seeds of the random orders: a few dozen in CI, a thousand by hand.
SEEDS = int(os.environ.get("ENDIVEGW_STOP_SEEDS", "40"))


def lost_tokens(world: AllowanceWorld, used_tokens: int) -> int:
    """Return what is drawn from the budget, in no row, and was not used."""
    budget = world.store.rows[BUDGETS_TABLE, ACCOUNT]
    drawn_tokens = decode_budget(budget.value, budget.revision).drawn_tokens
    rows = world.store.listed(HOLDERS_TABLE).rows
    held_tokens = sum(
        holder.terms[ACCOUNT].drawn_tokens
        for holder in (decode_holder(row.value) for row in rows)
        if ACCOUNT in holder.terms
    )
    return drawn_tokens - held_tokens - used_tokens


class StopWorld:
    """Three routers under load, of which one stops."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.lost_tokens: int | None = None
        self.is_stopped = False

    async def _configure(self, world: AllowanceWorld) -> None:
        """Put configurations into force, some of which lack the account."""
        while True:
            await anyio.sleep(self.rng.random() * 0.3)
            removed = self.rng.random() < 0.2
            for router in world.routers.values():
                router.allowances.set_prepaid({} if removed else world.prepaid)

    async def _disturb(self, world: AllowanceWorld) -> None:
        """Slow the store down, or lose answers of the router that stops."""
        store = world.store
        while True:
            await anyio.sleep(self.rng.random() * 0.5)
            store.answer_s = self.rng.choice((0.004, 0.1, 0.4))
            faults = self.rng.choice((store.unanswered, store.late, store.cut))
            faults.clear() if self.rng.random() < 0.7 else faults.add("a")

    async def _request(self, world: AllowanceWorld) -> None:
        """Hold a request of the stopping router until after the stop."""
        allowances = world.routers["a"].allowances
        reservation = await allowances.reserve(ACCOUNT, 3000)
        await anyio.sleep(self.rng.random() * 2.0)
        if isinstance(reservation, Reservation):
            allowances.settle(reservation, self.rng.randrange(3000))

    async def run(self, disturbs: bool) -> None:
        """Stop a router among configurations, and count what is in no row."""
        load = Load(ACCOUNT, PREPAID, 20.0, (0.5, 0.3, 0.2))
        async with anyio.create_task_group() as tasks:
            world = AllowanceWorld(
                (load,), AllowanceOptions(), self.rng, anyio.current_time, tasks, VMS
            )
            for vm in VMS:
                world.start(vm)
            await anyio.sleep(3.0)
            with anyio.move_on_after(3.0):
                await world.call(load)
            # The requests of the load end within two seconds.
            await anyio.sleep(2.0)
            allowances = world.routers["a"].allowances
            async with anyio.create_task_group() as disturbances:
                disturbances.start_soon(self._configure, world)
                if disturbs:
                    disturbances.start_soon(self._disturb, world)
                await anyio.sleep(self.rng.random())
                for _ in range(3):
                    disturbances.start_soon(self._request, world)
                await anyio.sleep(self.rng.random() * 0.5)
                with anyio.move_on_after(6.0):
                    await allowances.stop()
                    self.is_stopped = True
                disturbances.cancel_scope.cancel()
            if self.is_stopped:
                await anyio.sleep(6.0)
                funds = allowances.ledger.of(ACCOUNT)
                self.lost_tokens = lost_tokens(world, funds.used_tokens)
            tasks.cancel_scope.cancel()


class StopTests(unittest.TestCase):
    """The row of a router is removed with nothing in it."""

    def run_seed(self, seed: int, disturbs: bool) -> StopWorld:
        """Run one order of events; check what the row took with it."""
        world = StopWorld(seed)
        anyio.run(world.run, disturbs, backend_options={"loop_factory": VirtualLoop})
        if world.is_stopped:
            with self.subTest(seed=seed):
                self.assertEqual(world.lost_tokens, 0)
        return world

    # Guards against a row that is removed with its tokens, among configurations.
    def test_configurations_do_not_undo_the_return(self) -> None:
        """The store answers in four milliseconds."""
        worlds = [self.run_seed(seed, False) for seed in range(SEEDS)]
        self.assertTrue(all(world.is_stopped for world in worlds))

    # Guards against the row of another process that a stopping router deletes.
    def test_a_row_of_another_process_stays(self) -> None:
        """A process stops right after another one has taken its row over."""
        lost: list[int] = []

        async def simulate() -> None:
            load = Load(ACCOUNT, PREPAID, 20.0, (1.0,))
            async with anyio.create_task_group() as tasks:
                world = AllowanceWorld(
                    (load,),
                    AllowanceOptions(),
                    random.Random(1),
                    anyio.current_time,
                    tasks,
                    ("a",),
                )
                world.start("a")
                await anyio.sleep(3.0)
                before = world.routers["a"].allowances
                world.start("a")
                while not world.routers["a"].allowances.ready:
                    await anyio.sleep(0.001)
                await before.stop()
                await anyio.sleep(0.5)
                lost.append(lost_tokens(world, 0))
                tasks.cancel_scope.cancel()

        anyio.run(simulate, backend_options={"loop_factory": VirtualLoop})
        self.assertEqual(lost, [0])

    # Guards against tokens lost by a slow store, lost answers, conflicts, late ends.
    def test_nothing_is_lost_in_any_order(self) -> None:
        """A stop that completes has returned all; one that cannot keeps its row."""
        worlds = [self.run_seed(seed, True) for seed in range(1000, 1000 + SEEDS)]
        self.assertGreater(sum(world.is_stopped for world in worlds), SEEDS // 2)


if __name__ == "__main__":
    unittest.main()
