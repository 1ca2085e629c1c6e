"""Budgets stay consistent through crashes, pauses, partitions and lost answers."""

import random
import unittest

import anyio
from benchmarks.budget_fleet import Fleet, RequestSpec

from endivegw.budgets import read_budgets, top_up
from endivegw.budgets.reconcile import read_bill, reconcile
from endivegw.budgets.rows import check_budget
from endivegw.results import Reason, Refused
from endivegw.types import BudgetKey, ClientAccountName, Outcome
from endivegw_standins.virtual_time import VirtualLoop

BUDGET = BudgetKey(ClientAccountName("lobby"), "main")


def work(number, budget=BUDGET, bound_tokens=300, used_tokens=120, reserve_s=60.0):
    """Return a small request."""
    completion_tokens = used_tokens - 40
    return RequestSpec(
        f"k{number}",
        budget,
        bound_tokens,
        40,
        completion_tokens,
        reserve_s=reserve_s,
    )


async def budget_row(fleet, budget=BUDGET):
    """Return the row of a budget."""
    result = await read_budgets(fleet.table, (budget,), timeout_s=1)
    return result.value[0]


async def reconciliation(fleet, budget=BUDGET):
    """Return the sums of a budget's row and bill."""
    row = await budget_row(fleet, budget)
    records = [record async for record in read_bill(fleet.table, budget)]
    return reconcile(row, records)


class FleetCase(unittest.TestCase):
    """Run a fleet in virtual time with one topped-up budget."""

    def run_fleet(self, scenario, seed=1, tokens=50_000, **options):
        async def main():
            async with anyio.create_task_group() as tasks:
                fleet = Fleet(
                    tasks, random.Random(seed), routers=3, sidecars=3, **options
                )
                await self.top_up(fleet, "first", tokens)
                await anyio.sleep(1)
                await scenario(fleet)
                tasks.cancel_scope.cancel()

        anyio.run(main, backend_options={"loop_factory": VirtualLoop})

    async def top_up(self, fleet, operation, tokens, budget=BUDGET):
        return await top_up(
            fleet.table, budget, operation, tokens, timeout_s=1, now_s=fleet.clock()
        )

    async def send(self, fleet, routers, count, gap_s=0.1, **options):
        """Send requests and return their outcomes."""
        outcomes = []

        async def one(router, number):
            outcomes.append(await router.handle(work(number, **options)))

        start = len(fleet.billed) * 1000
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                router = routers[number % len(routers)]
                tasks.start_soon(one, router, start + number)
                await anyio.sleep(gap_s)
        return outcomes

    async def close_all(self, fleet):
        """Wait until running work has ended, then close all routers as planned."""
        await anyio.sleep(60)
        for router in fleet.live_routers():
            with anyio.fail_after(120):
                await router.budget_manager.close(fleet.clock())

    async def assert_settled(self, fleet, exact=True):
        """Compare the table with the tokens counted by the engines."""
        row = await budget_row(fleet)
        check_budget(row)
        consumed = fleet.consumed_tokens.get(BUDGET, 0)
        self.assertEqual(row.granted_tokens, 0)
        if exact:
            self.assertEqual(row.settled_tokens, consumed)
        self.assertGreaterEqual(row.settled_tokens, consumed)
        found = await reconciliation(fleet)
        self.assertEqual(found.doubled, [])
        self.assertEqual(found.difference_tokens, 0)


class FaultTests(FleetCase):
    def test_planned_shutdown_settles_exactly(self):
        """Without faults, the tokens counted by the engines are settled and billed."""

        async def scenario(fleet):
            outcomes = await self.send(fleet, fleet.routers, 60)
            self.assertEqual(set(outcomes), {Outcome.ANSWERED})
            await self.close_all(fleet)
            await self.assert_settled(fleet)

        self.run_fleet(scenario)

    def test_crashed_router_is_recovered(self):
        """A router's machine fails while streams are open, so its callers lose their
        connections. Without recovery, the account would lose the tokens that the router
        had drawn, and the use of the open streams would never be charged.
        """

        async def scenario(fleet):
            dead = fleet.routers[0]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.send, fleet, fleet.routers, 60)
                await anyio.sleep(4)
                fleet.kill(dead)
            self.assertIsNotNone(await fleet.recover(dead.instance_id))
            await self.close_all(fleet)
            await self.assert_settled(fleet)

        self.run_fleet(scenario)

    def test_resumed_router_cannot_spend_recovered_grants(self):
        """A router is paused beyond its lease and its grants are recovered. After it
        resumes, it still uses these grants; if its work ran, the account would spend
        the same tokens twice. Callers see only a retry.
        """

        async def scenario(fleet):
            paused = fleet.routers[0]
            await self.send(fleet, fleet.routers, 30)
            paused.pause()
            self.assertIsNotNone(await fleet.recover(paused.instance_id))
            free_tokens = paused.budget_manager.free_tokens_of(BUDGET)
            self.assertGreater(free_tokens, 0)
            paused.resume()
            outcomes = await self.send(fleet, [paused], 10)
            self.assertEqual(set(outcomes), {Outcome.ANSWERED})
            self.assertEqual(paused.budget_manager.holder, "r0~1")
            await self.close_all(fleet)
            await self.assert_settled(fleet)

        self.run_fleet(scenario)

    def test_restarted_sidecar_refuses_recovered_holder(self):
        """Sidecars are restarted after the grants of a paused router were recovered, so
        they do not know of the seal. They would admit the work of the resumed router
        unless they read the state of the holder from the table first.
        """

        async def scenario(fleet):
            paused = fleet.routers[0]
            await self.send(fleet, [paused], 10)
            await anyio.sleep(30)
            paused.pause()
            await fleet.recover(paused.instance_id)
            for sidecar in list(fleet.all_sidecars):
                await sidecar.gate.close()
                sidecar.die()
                fleet.add_sidecar(sidecar.target)
            await anyio.sleep(1)
            paused.resume()
            grant_id = next(iter(next(iter(paused.budget_manager.wallets())).grants))
            refused = await fleet.all_sidecars[-1].gate.admit(
                grant_id, BUDGET, "late", 10, fleet.clock()
            )
            self.assertIs(refused.reason, Reason.GRANT_SEALED)
            await self.send(fleet, [paused], 10)
            await self.close_all(fleet)
            await self.assert_settled(fleet)

        self.run_fleet(scenario)

    def test_unreachable_sidecar_keeps_tokens_in_escrow(self):
        """A router dies while one sidecar is unreachable, so the use at that sidecar is
        unknown. If the remaining tokens were returned, they could be spent twice; they
        stay in escrow until the sidecar answers.
        """

        async def scenario(fleet):
            dead = fleet.routers[0]
            await self.send(fleet, [dead], 10)
            fleet.unsealable.add(fleet.all_sidecars[0].target)
            fleet.kill(dead)
            self.assertIsNone(await fleet.recover(dead.instance_id, within_s=60))
            self.assertGreater((await budget_row(fleet)).granted_tokens, 0)
            fleet.unsealable.clear()
            self.assertIsNotNone(await fleet.recover(dead.instance_id))
            await self.close_all(fleet)
            await self.assert_settled(fleet)

        self.run_fleet(scenario)

    def test_router_and_sidecar_crash_together(self):
        """A rack fails, and with it a router and a sidecar that ran its work. The
        tokens that the sidecar consumed after its last checkpoint are unknown, so the
        rest of the grant is charged and appears on the bill.
        """

        async def scenario(fleet):
            dead, lost = fleet.routers[0], fleet.all_sidecars[0]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.send, fleet, [dead], 40)
                await anyio.sleep(3)
                lost.die()
                fleet.kill(dead)
                lost.terminated_at_s = fleet.clock()
            self.assertIsNotNone(await fleet.recover(dead.instance_id))
            await self.close_all(fleet)
            await self.assert_settled(fleet, exact=False)

        self.run_fleet(scenario)

    def test_table_outage_of_ten_minutes_refuses_nothing(self):
        """The table does not answer for ten minutes. No request is refused while the
        routers hold enough tokens for that period.
        """

        async def scenario(fleet):
            await self.send(
                fleet,
                fleet.routers,
                300,
                gap_s=0.5,
                bound_tokens=100,
                used_tokens=60,
                reserve_s=700.0,
            )
            for router in fleet.routers:
                router.faults.unavailable = True
            outcomes = await self.send(
                fleet,
                fleet.routers,
                600,
                gap_s=1.0,
                bound_tokens=100,
                used_tokens=60,
                reserve_s=700.0,
            )
            refused = [one for one in outcomes if isinstance(one, Refused)]
            for router in fleet.routers:
                router.faults.unavailable = False
            self.assertEqual(len(refused), 0)
            await self.close_all(fleet)
            await self.assert_settled(fleet)

        self.run_fleet(scenario, tokens=500_000)


if __name__ == "__main__":
    unittest.main()
