"""Whole keepers of several routers, in virtual time: kills, cuts, what is stranded."""

from __future__ import annotations

import random
import unittest
from typing import Awaitable, Callable

import anyio

from endivegw.allowances import AllowanceOptions, Reservation
from endivegw.results import Reason, Refused
from endivegw.types import ClientAccountName
from endivegw_standins.allowance_world import AllowanceWorld, Load
from endivegw_standins.virtual_time import VirtualLoop

ACCOUNT = ClientAccountName("airline")
EVEN = (0.25, 0.25, 0.25, 0.25)


def run(
    play: Callable[[AllowanceWorld], Awaitable[None]],
    seed: int = 1,
    loads: tuple[Load, ...] = (),
) -> AllowanceWorld:
    """Play one world in virtual time, from three seconds after its start."""
    found: list[AllowanceWorld] = []

    async def whole() -> None:
        rng = random.Random(seed)
        async with anyio.create_task_group() as tasks:
            played = loads or (Load(ACCOUNT, 1_000_000, 4.0, EVEN),)
            options = AllowanceOptions()
            world = AllowanceWorld(played, options, rng, anyio.current_time, tasks)
            found.append(world)
            for vm in world.vms:
                world.start(vm)
            await anyio.sleep(3.0)
            await play(world)
            tasks.cancel_scope.cancel()

    anyio.run(whole, backend_options={"loop_factory": VirtualLoop})
    return found[0]


def spendable_tokens(world: AllowanceWorld) -> int:
    """Return what the routers hold together."""
    return sum(router.free(ACCOUNT) for router in world.routers.values())


class DemandTests(unittest.TestCase):
    """Pattern: a spent account whose callers are refused and ask again."""

    def test_refused_requests_raise_no_demand(self) -> None:
        """An account's budget is spent, and its callers go on asking.

        Counted as demand, their requests raise the limits of all routers and have
        tokens borrowed ahead, while nothing of it is ever served.
        """

        async def play(world: AllowanceWorld) -> None:
            keeper = world.routers["a"].keeper
            for _ in range(20):
                refused = await keeper.reserve(ACCOUNT, 2_000_000)
                self.assertIsInstance(refused, Refused)
            funds = keeper.book.of(ACCOUNT)
            now_s = anyio.current_time()
            self.assertEqual(funds.demand_tokens_per_s(now_s, 8.0), 0.0)
            held = await keeper.reserve(ACCOUNT, 1000)
            self.assertIsInstance(held, Reservation)
            self.assertGreater(funds.demand_tokens_per_s(now_s, 8.0), 0.0)

        run(play)

    def test_callers_refused_in_a_cut_come_back_when_it_helps(self) -> None:
        """All routers lose the store, and a request of 60,000 tokens comes.

        The limits grow, so that it fits some seconds later. Told to come back after
        0.4 s the caller is refused once more. Callers who were refused together are
        told different times.
        """

        async def play(world: AllowanceWorld) -> None:
            keeper = world.routers["a"].keeper
            for _ in range(4):
                held = await keeper.reserve(ACCOUNT, 12_000)
                assert isinstance(held, Reservation)
                keeper.settle(held, 12_000)
            await anyio.sleep(0.3)
            world.store.cut = set(world.vms)
            await anyio.sleep(1.2)
            told = []
            for _ in range(5):
                refused = await keeper.reserve(ACCOUNT, 60_000)
                assert isinstance(refused, Refused)
                self.assertIs(refused.reason, Reason.BUDGET_UNAVAILABLE)
                assert refused.retry_after_s is not None
                told.append(refused.retry_after_s)
            self.assertGreater(min(told), 0.8)
            self.assertEqual(len(set(told)), 5)

        run(play)


class KillTests(unittest.TestCase):
    """What a kill leaves of a budget."""

    def test_a_router_killed_right_after_a_loan_loses_little(self) -> None:
        """A router borrows half of what a peer holds and is killed in that moment.

        Its row in the store does not tell of the loan yet. If its successor went by
        the row, a tenth of the budget would be gone, and the account's callers would
        be refused that much earlier.
        """

        async def play(world: AllowanceWorld) -> None:
            borrower = world.routers["a"]
            world.store.cut = {"a"}
            await anyio.sleep(0.3)
            got = await borrower.ask(ACCOUNT, 0, 120_000, timeout_s=0.1)
            self.assertGreater(got, 40_000)
            await anyio.sleep(0.01)
            world.kill("a")
            world.store.cut = set()
            await anyio.sleep(2.0)
            world.start("a")
            await anyio.sleep(3.0)
            self.assertGreater(spendable_tokens(world), 990_000)

        run(play)

    def test_a_loan_ahead_does_not_open_the_whole_hand(self) -> None:
        """Peers ask a router for far more than it lends, and all are killed.

        Nobody remembers what was used, so that each successor counts the limits in
        the rows as used. A limit that is moved on by what was asked for, and not by
        what is lent, strands all that the router held.
        """

        async def play(world: AllowanceWorld) -> None:
            for _ in range(3):
                await world.routers["a"].ask(ACCOUNT, 0, 900_000, timeout_s=0.1)
            await anyio.sleep(0.02)
            for vm in world.vms:
                world.kill(vm)
            await anyio.sleep(1.0)
            for vm in world.vms:
                world.start(vm)
            await anyio.sleep(3.0)
            self.assertGreater(spendable_tokens(world), 980_000)

        run(play)

    def test_a_conflict_over_a_budget_is_no_takeover(self) -> None:
        """A router starts while its peers draw, and its first write conflicts.

        The conflict is over the budget's row. Its own row is still its predecessor's;
        to take that over once more would end what it has in progress.
        """

        async def play(world: AllowanceWorld) -> None:
            world.kill("a")
            await anyio.sleep(0.5)
            world.start("a")
            await anyio.sleep(0.02)
            router = world.routers["a"]
            held = None
            for _ in range(40):
                held = held or await router.keeper.reserve(ACCOUNT, 1000)
                if not isinstance(held, Reservation):
                    held = None
                row = world.store.rows["token-budgets", ACCOUNT]
                world.store.revision += 1
                world.store.rows["token-budgets", ACCOUNT] = type(row)(
                    row.table, row.key, row.value, world.store.revision
                )
                await anyio.sleep(0.01)
            assert held is not None
            self.assertIs(held.funds, router.keeper.book.of(ACCOUNT))

        run(play)


class RowTests(unittest.TestCase):
    """What a router makes of rows that it cannot read."""

    def test_an_unreadable_row_of_its_own_costs_its_tokens_only(self) -> None:
        """Another program wrote over a router's row before it started.

        It cannot know what its predecessor used. It serves all the same, with what
        the other routers lend it, and the lost tokens are never handed out again.
        """

        async def play(world: AllowanceWorld) -> None:
            world.kill("a")
            row = world.store.rows["token-holders", "a"]
            world.store.revision += 1
            world.store.rows["token-holders", "a"] = type(row)(
                row.table, row.key, b"no row", world.store.revision
            )
            world.start("a")
            await anyio.sleep(3.0)
            held = await world.routers["a"].keeper.reserve(ACCOUNT, 5000)
            self.assertIsInstance(held, Reservation)
            self.assertLess(spendable_tokens(world), 800_000)

        run(play)


class CutTests(unittest.TestCase):
    """What callers get while all routers are cut off from the store."""

    def test_callers_are_served_through_a_cut(self) -> None:
        """The store is out of reach for eight seconds; budgets are far from spent.

        Callers of a small account press on one router, those of a large one come to
        all. Refused callers stand at the door although their account has money.
        """
        small = Load(ClientAccountName("kiosk"), 400_000, 1.0, (0.7, 0.1, 0.1, 0.1))
        large = Load(ACCOUNT, 3_000_000, 8.0, (0.5, 0.2, 0.2, 0.1))

        async def play(world: AllowanceWorld) -> None:
            for load in world.loads:
                world.tasks.start_soon(world.call, load)
            await anyio.sleep(6.0)
            world.store.cut = set(world.vms)
            await anyio.sleep(8.0)
            world.store.cut = set()
            await anyio.sleep(2.0)

        asked = refused = 0
        for seed in range(5):
            outcome = run(play, seed, (small, large)).outcome
            asked += outcome.asked
            refused += outcome.false_refusals
        self.assertLess(refused / asked, 0.04)


class SafetyTests(unittest.TestCase):
    """Nothing is overspent, whatever dies and whoever is apart."""

    def test_random_cuts_and_kills_never_overspend(self) -> None:
        """Routers are cut off, parted and killed at any moment, until money is gone.

        An account must not consume more than it paid for, and most of it is spent.
        """
        spent_tokens = 0
        for seed in range(8):
            chance = random.Random(100 + seed)

            async def play(world: AllowanceWorld) -> None:
                for load in world.loads:
                    world.tasks.start_soon(world.call, load)
                for _ in range(25):
                    await anyio.sleep(chance.random() * 2)
                    match chance.randrange(5):
                        case 0:
                            world.store.cut = set(chance.sample(world.vms, 3))
                        case 1:
                            world.store.cut, world.store.deaf = set(), set()
                        case 2:
                            world.store.deaf = {chance.choice(world.vms)}
                        case 3:
                            world.apart = set(chance.sample(world.vms, 2))
                        case 4:
                            vm = chance.choice(world.vms)
                            world.kill(vm)
                            await anyio.sleep(0.4)
                            world.apart = set()
                            world.start(vm)

            load = Load(ACCOUNT, 350_000, 6.0, (0.4, 0.3, 0.2, 0.1))
            outcome = run(play, seed, (load,)).outcome
            spent = outcome.consumed_tokens[ACCOUNT]
            self.assertLessEqual(spent, load.prepaid_tokens, seed)
            spent_tokens += spent
        self.assertGreater(spent_tokens / 8, 350_000 * 0.6)


if __name__ == "__main__":
    unittest.main()
