"""Allowance managers of several routers: kills, store outages and lost tokens."""

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
    scenario: Callable[[AllowanceWorld], Awaitable[None]],
    seed: int = 1,
    loads: tuple[Load, ...] = (),
) -> AllowanceWorld:
    """Run a scenario in virtual time, starting three seconds after the routers."""
    worlds: list[AllowanceWorld] = []

    async def simulate() -> None:
        rng = random.Random(seed)
        async with anyio.create_task_group() as tasks:
            used_loads = loads or (Load(ACCOUNT, 1_000_000, 4.0, EVEN),)
            options = AllowanceOptions()
            world = AllowanceWorld(used_loads, options, rng, anyio.current_time, tasks)
            worlds.append(world)
            for vm in world.vms:
                world.start(vm)
            await anyio.sleep(3.0)
            await scenario(world)
            tasks.cancel_scope.cancel()

    anyio.run(simulate, backend_options={"loop_factory": VirtualLoop})
    return worlds[0]


def total_held_tokens(world: AllowanceWorld) -> int:
    """Return the unused tokens that the routers hold together."""
    return sum(router.unused_tokens(ACCOUNT) for router in world.routers.values())


class DemandTests(unittest.TestCase):
    """An exhausted account whose callers are refused and retry."""

    def test_refused_requests_add_no_demand(self) -> None:
        """An account's budget is exhausted, and its callers continue to send requests.

        Counted as demand, their requests would raise the limits of all routers and
        cause tokens to be borrowed ahead, although none of the requests is ever served.
        """

        async def scenario(world: AllowanceWorld) -> None:
            allowances = world.routers["a"].allowances
            for _ in range(20):
                refusal = await allowances.reserve(ACCOUNT, 2_000_000)
                self.assertIsInstance(refusal, Refused)
            funds = allowances.ledger.of(ACCOUNT)
            now_s = anyio.current_time()
            self.assertEqual(funds.demand_tokens_per_s(now_s, 8.0), 0.0)
            reservation = await allowances.reserve(ACCOUNT, 1000)
            self.assertIsInstance(reservation, Reservation)
            self.assertGreater(funds.demand_tokens_per_s(now_s, 8.0), 0.0)

        run(scenario)

    def test_retry_delays_during_an_outage_match_the_growth(self) -> None:
        """All routers lose the store, and a request of 60,000 tokens arrives.

        The limits grow and cover it some seconds later. A caller told to retry after
        0.4 s would be refused once more. Callers refused together get different delays.
        """

        async def scenario(world: AllowanceWorld) -> None:
            allowances = world.routers["a"].allowances
            for _ in range(4):
                reservation = await allowances.reserve(ACCOUNT, 12_000)
                assert isinstance(reservation, Reservation)
                allowances.settle(reservation, 12_000)
            await anyio.sleep(0.3)
            world.store.cut = set(world.vms)
            await anyio.sleep(1.2)
            delays_s = []
            for _ in range(5):
                refusal = await allowances.reserve(ACCOUNT, 60_000)
                assert isinstance(refusal, Refused)
                self.assertIs(refusal.reason, Reason.BUDGET_UNAVAILABLE)
                assert refusal.retry_after_s is not None
                delays_s.append(refusal.retry_after_s)
            self.assertGreater(min(delays_s), 0.8)
            self.assertEqual(len(set(delays_s)), 5)

        run(scenario)

    def test_callers_do_not_come_back_while_the_store_stays_away(self) -> None:
        """Guards against a second refusal of callers whose tokens nobody can reach."""

        async def scenario(world: AllowanceWorld) -> None:
            allowances = world.routers["a"].allowances
            world.store.cut = set(world.vms)
            for away_s, least_s in ((1.0, 0.8), (2.5, 2.0), (20.0, 3.0)):
                await anyio.sleep(away_s)
                refusal = await allowances.reserve(ACCOUNT, 2_000_000)
                assert isinstance(refusal, Refused)
                if refusal.reason is Reason.BUDGET_EXHAUSTED:
                    continue
                assert refusal.retry_after_s is not None
                self.assertGreater(refusal.retry_after_s, least_s)
                self.assertLess(refusal.retry_after_s, 4.0)

        run(scenario)


class KillTests(unittest.TestCase):
    """What remains of a budget after a kill."""

    def test_a_router_killed_right_after_a_loan_loses_little(self) -> None:
        """A router borrows half of what a peer holds and is killed at once.

        Its row in the store does not record the loan yet. If its successor relied on
        the row, a tenth of the budget would be lost, and the account's callers would be
        refused that much earlier.
        """

        async def scenario(world: AllowanceWorld) -> None:
            borrower = world.routers["a"]
            world.store.cut = {"a"}
            await anyio.sleep(0.3)
            received_tokens = await borrower.request_loan(
                ACCOUNT, 0, 120_000, timeout_s=0.1
            )
            self.assertGreater(received_tokens, 40_000)
            await anyio.sleep(0.01)
            world.kill("a")
            world.store.cut = set()
            await anyio.sleep(2.0)
            world.start("a")
            await anyio.sleep(3.0)
            self.assertGreater(total_held_tokens(world), 990_000)

        run(scenario)

    def test_a_loan_extends_the_limit_only_by_its_size(self) -> None:
        """Peers ask a router for far more than it lends, and all are killed.

        No witness is left, so each successor counts the limits in the rows as used. A
        limit extended by the amount requested, instead of the amount lent, would strand
        all that the router held.
        """

        async def scenario(world: AllowanceWorld) -> None:
            for _ in range(3):
                await world.routers["a"].request_loan(
                    ACCOUNT, 0, 900_000, timeout_s=0.1
                )
            await anyio.sleep(0.02)
            for vm in world.vms:
                world.kill(vm)
            await anyio.sleep(1.0)
            for vm in world.vms:
                world.start(vm)
            await anyio.sleep(3.0)
            self.assertGreater(total_held_tokens(world), 980_000)

        run(scenario)

    def test_a_conflict_over_a_budget_does_not_repeat_the_takeover(self) -> None:
        """A router starts while its peers draw, and its first write conflicts.

        The conflict is over the budget's row; the router's own row is still that of its
        predecessor. Taking that over a second time would discard its reservations.
        """

        async def scenario(world: AllowanceWorld) -> None:
            world.kill("a")
            await anyio.sleep(0.5)
            world.start("a")
            await anyio.sleep(0.02)
            router = world.routers["a"]
            reservation = None
            for _ in range(40):
                reservation = reservation or await router.allowances.reserve(
                    ACCOUNT, 1000
                )
                if not isinstance(reservation, Reservation):
                    reservation = None
                row = world.store.rows["token-budgets", ACCOUNT]
                world.store.revision += 1
                world.store.rows["token-budgets", ACCOUNT] = type(row)(
                    row.table, row.key, row.value, world.store.revision
                )
                await anyio.sleep(0.01)
            assert reservation is not None
            self.assertIs(reservation.funds, router.allowances.ledger.of(ACCOUNT))

        run(scenario)


class RowTests(unittest.TestCase):
    """Rows that a router cannot decode."""

    def test_an_unreadable_row_loses_only_its_tokens(self) -> None:
        """Another program overwrote a router's row before the router started.

        It cannot know what its predecessor used. It still serves requests with tokens
        lent by the other routers, and the lost tokens are never handed out again.
        """

        async def scenario(world: AllowanceWorld) -> None:
            world.kill("a")
            row = world.store.rows["token-holders", "a"]
            world.store.revision += 1
            world.store.rows["token-holders", "a"] = type(row)(
                row.table, row.key, b"no row", world.store.revision
            )
            world.start("a")
            await anyio.sleep(3.0)
            reservation = await world.routers["a"].allowances.reserve(ACCOUNT, 5000)
            self.assertIsInstance(reservation, Reservation)
            self.assertLess(total_held_tokens(world), 800_000)

        run(scenario)


class StoreOutageTests(unittest.TestCase):
    """What callers get while no router can reach the store."""

    def test_callers_are_served_during_a_store_outage(self) -> None:
        """The store is unreachable for eight seconds; budgets are far from used.

        Callers of a small account concentrate on one router, those of a large one use
        all routers. Few of them may be refused, because their accounts have tokens.
        """
        small = Load(ClientAccountName("kiosk"), 400_000, 1.0, (0.7, 0.1, 0.1, 0.1))
        large = Load(ACCOUNT, 3_000_000, 8.0, (0.5, 0.2, 0.2, 0.1))

        async def scenario(world: AllowanceWorld) -> None:
            for load in world.loads:
                world.tasks.start_soon(world.call, load)
            await anyio.sleep(6.0)
            world.store.cut = set(world.vms)
            await anyio.sleep(8.0)
            world.store.cut = set()
            await anyio.sleep(2.0)

        asked = refused = 0
        for seed in range(5):
            outcome = run(scenario, seed, (small, large)).outcome
            asked += outcome.asked
            refused += outcome.false_refusals
        self.assertLess(refused / asked, 0.04)


class WitnessLossTests(unittest.TestCase):
    """A witness of the other routers dies while the store answers."""

    # Guards against loans that fail until a dead witness is left out of the row.
    def test_peers_lend_right_after_a_witness_died(self) -> None:
        """A router lends more than its witnesses have acknowledged."""

        async def scenario(world: AllowanceWorld) -> None:
            allowances = world.routers["b"].allowances
            now_s = anyio.current_time()
            allowances.ledger.of(ACCOUNT).record_demand(300_000, now_s, 8.0)
            await anyio.sleep(0.3)
            world.kill("d")
            lent = [await allowances.lend(ACCOUNT, 8_000, 8_000) for _ in range(8)]
            self.assertEqual(lent, [8_000] * 8)

        run(scenario)

    # Guards against requests that are refused until a dead witness is left out.
    def test_requests_are_served_right_after_a_witness_died(self) -> None:
        """Each of twenty requests lacks the acknowledgement of the dead witness."""

        async def scenario(world: AllowanceWorld) -> None:
            world.kill("d")
            allowances = world.routers["b"].allowances
            for _ in range(20):
                reservation = await allowances.reserve(ACCOUNT, 5_000)
                self.assertIsInstance(reservation, Reservation)
                await anyio.sleep(0.03)

        run(scenario)


class SafetyTests(unittest.TestCase):
    """Budgets are never overspent, whatever is killed or isolated."""

    def test_random_faults_never_overspend(self) -> None:
        """Routers lose the store, are isolated and killed until budgets are used.

        An account must not consume more than it paid for, and most of it is consumed.
        """
        total_consumed_tokens = 0
        for seed in range(8):
            fault_rng = random.Random(100 + seed)

            async def scenario(world: AllowanceWorld) -> None:
                for load in world.loads:
                    world.tasks.start_soon(world.call, load)
                for _ in range(25):
                    await anyio.sleep(fault_rng.random() * 2)
                    match fault_rng.randrange(5):
                        case 0:
                            world.store.cut = set(fault_rng.sample(world.vms, 3))
                        case 1:
                            world.store.cut, world.store.unanswered = set(), set()
                        case 2:
                            world.store.unanswered = {fault_rng.choice(world.vms)}
                        case 3:
                            world.isolated = set(fault_rng.sample(world.vms, 2))
                        case 4:
                            vm = fault_rng.choice(world.vms)
                            world.kill(vm)
                            await anyio.sleep(0.4)
                            world.isolated = set()
                            world.start(vm)

            load = Load(ACCOUNT, 350_000, 6.0, (0.4, 0.3, 0.2, 0.1))
            outcome = run(scenario, seed, (load,)).outcome
            consumed = outcome.consumed_tokens[ACCOUNT]
            self.assertLessEqual(consumed, load.prepaid_tokens, seed)
            total_consumed_tokens += consumed
        self.assertGreater(total_consumed_tokens / 8, 350_000 * 0.6)


if __name__ == "__main__":
    unittest.main()
