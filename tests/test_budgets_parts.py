"""Unit tests of the budget components, and fleet tests of single mechanisms."""

import random
import unittest

import anyio
from benchmarks.budget_fleet import Fleet

from endivegw.budgets import GrantLedger, TokenTransferRequest
from endivegw.budgets.bound import prompt_bound_tokens, request_bound
from endivegw.budgets.checkpoint import decode_uses, uses_row_key
from endivegw.budgets.demand import DemandEstimate
from endivegw.budgets.sizing import (
    DemandSize,
    FixedSize,
    GrantState,
    Remainder,
    draw_tokens,
    returnable_tokens,
)
from endivegw.budgets.wallet import BudgetWallet, HeldGrant
from endivegw.exceptions import InvariantError
from endivegw.results import Reason
from endivegw.types import BudgetKey, ClientAccountName, Usage
from tests.test_budgets_faults import BUDGET, FleetCase, budget_row


def state(free=0, wanted=0, rate=10.0, bound=100, reserve_s=60.0):
    """Return a router's state of a budget."""
    return GrantState(free, 0, wanted, wanted, rate, bound, reserve_s)


class SizingTests(unittest.TestCase):
    def test_waiting_request_takes_precedence_over_even_share(self):
        """The last tokens go to a waiting request despite the even share."""
        draw = draw_tokens(DemandSize(), state(wanted=90), Remainder(100, 900, 50))
        self.assertEqual((draw.needed_tokens, draw.tokens), (90, 90))

    def test_insufficient_tokens_are_not_drawn(self):
        """Two routers that each drew half of a request's bound could not serve it."""
        waiting = state(free=30, wanted=100, bound=100)
        self.assertEqual(
            draw_tokens(DemandSize(), waiting, Remainder(60, 30, 2)).tokens, 0
        )
        self.assertEqual(
            returnable_tokens(DemandSize(), waiting, Remainder(60, 30, 2)), 30
        )
        merged = draw_tokens(DemandSize(), waiting, Remainder(70, 30, 2))
        self.assertEqual((merged.tokens, merged.merges), (100, True))

    def test_draws_shrink_with_available_tokens_and_routers(self):
        """No draw exceeds half of an even share of the available tokens."""
        small = draw_tokens(DemandSize(), state(), Remainder(1000, 0, 5)).tokens
        large = draw_tokens(DemandSize(), state(), Remainder(1000, 0, 1)).tokens
        self.assertEqual((small, large), (100, 500))

    def test_sufficient_free_tokens_cause_no_draw(self):
        """Free tokens that cover the account's reserve cause no write."""
        left = Remainder(1_000_000, 0, 3)
        self.assertEqual(draw_tokens(DemandSize(), state(free=700), left).tokens, 0)
        self.assertGreater(draw_tokens(DemandSize(), state(free=600), left).tokens, 0)

    def test_tokens_beyond_even_share_are_returned(self):
        """The first router to draw returns tokens that the others are short of."""
        left = Remainder(0, 300, 3)
        back_tokens = returnable_tokens(DemandSize(), state(free=300, bound=20), left)
        self.assertEqual(back_tokens, 200)
        self.assertEqual(returnable_tokens(FixedSize(), state(free=300), left), 0)


class DemandTests(unittest.TestCase):
    def test_steady_demand_is_estimated_within_a_tenth(self):
        """Demand of 10 tokens/s is estimated as 10, and as 0 an hour after its end."""
        demand = DemandEstimate()
        for second in range(1200):
            demand.record_consumed(10, float(second))
        self.assertAlmostEqual(demand.rate_tokens_per_s(1200.0), 10.0, delta=1.0)
        self.assertEqual(demand.rate_tokens_per_s(4800.0), 0.0)

    def test_single_request_is_not_a_stream(self):
        """A first request of 600 tokens is estimated at no more than 10 per second."""
        demand = DemandEstimate()
        demand.record_consumed(600, 0.0)
        self.assertLess(demand.rate_tokens_per_s(0.1), 12.0)


class BoundTests(unittest.TestCase):
    def test_byte_count_bounds_every_script(self):
        """One token per byte bounds the output of any tokenizer with byte fallback."""
        self.assertGreaterEqual(prompt_bound_tokens(["访客 Núñez"]), 6 + 1 + 7)

    def test_output_is_clamped_by_caller_and_account(self):
        """The lower of both limits applies to each requested choice."""
        self.assertEqual(request_bound(["a"], 50, 1024).completion_tokens, 50)
        self.assertEqual(request_bound(["a"], 5000, 1024).completion_tokens, 1024)
        self.assertEqual(
            request_bound(["a"], 50, 1024, choices=3).completion_tokens, 150
        )

    def test_engine_token_count_replaces_the_bound(self):
        """A token count of the engine is reserved exactly."""
        bound = request_bound(["x" * 400], 10, 100, known_prompt_tokens=93)
        self.assertEqual(bound.total_tokens, 103)


class WalletTests(unittest.TestCase):
    def wallet(self):
        wallet = BudgetWallet(BUDGET)
        grant = HeldGrant("r#0", owned=True, opened_at_s=0.0, free_tokens=100)
        wallet.grants["r#0"] = grant
        return wallet

    def test_usage_above_reservation_raises(self):
        """A router never charges more than it reserved."""
        wallet = self.wallet()
        reservation = wallet.reserve("a", 60, 0.0)
        with self.assertRaises(InvariantError):
            wallet.end_reservation(reservation, 61, 0.0)
        self.assertIsNone(wallet.reserve("b", 41, 0.0))

    def test_lent_tokens_cannot_be_reserved(self):
        """Lent tokens cannot be reserved."""
        wallet = self.wallet()
        self.assertEqual(wallet.lend(500, retained_tokens=30), ("r#0", 70))
        self.assertEqual(wallet.free_tokens, 30)
        self.assertIsNone(wallet.lend(500, retained_tokens=30))


class LedgerTests(unittest.TestCase):
    def setUp(self):
        self.ledger = GrantLedger()
        self.assertIsNone(self.ledger.admit("r#0", BUDGET, "a", 50, 0.0))

    def test_consumption_stops_at_reservation(self):
        """A token that would exceed the reservation is not delivered."""
        self.ledger.consume("a", 50, 0.0)
        with self.assertRaises(InvariantError):
            self.ledger.consume("a", 1, 0.0)
        self.assertEqual(self.ledger.remaining_tokens("a"), 0)

    def test_seal_counts_running_work_and_refuses_new_work(self):
        """A seal reports the most that running work may use and refuses new work."""
        self.ledger.consume("a", 20, 0.0)
        (sealed,) = self.ledger.seal(("r#*",), 1.0)
        self.assertEqual((sealed.consumed_tokens, sealed.running_tokens), (0, 50))
        refused = self.ledger.admit("r#1", BUDGET, "b", 1, 1.0)
        self.assertIs(refused.reason, Reason.GRANT_SEALED)
        self.ledger.end("a", Usage(10, 15), 2.0)
        (sealed,) = self.ledger.seal(("r#*",), 3.0)
        self.assertEqual((sealed.consumed_tokens, sealed.running), (25, 0))

    def test_closed_grants_are_dropped(self):
        """Closed grants are dropped; running and open ones are retained."""
        self.ledger.admit("r#1", BUDGET, "b", 50, 0.0)
        self.ledger.admit("r#2", BUDGET, "c", 50, 0.0)
        self.ledger.end("a", Usage(1, 1), 0.0)
        self.ledger.end("c", Usage(1, 1), 0.0)
        self.assertEqual(self.ledger.forget_closed("r", 2), 1)
        self.assertEqual(len(self.ledger), 2)


class FleetPartTests(FleetCase):
    def test_restarted_sidecar_without_table_refuses_work(self):
        """A sidecar is restarted while the table is unavailable and cannot know which
        routers were sealed. It refuses work as not run, so that the router can use
        another sidecar.
        """

        async def scenario(fleet):
            router, old = fleet.routers[0], fleet.all_sidecars[0]
            await self.send(fleet, [router], 3)
            old.die()
            fresh = fleet.add_sidecar(old.target)
            await anyio.sleep(2)
            fresh.faults.unavailable = True
            grant_id = next(iter(next(iter(router.budget_manager.wallets())).grants))
            now_s = fleet.clock()
            refused = await fresh.gate.admit(grant_id, BUDGET, "x", 9, now_s)
            self.assertIs(refused.reason, Reason.NOT_READY)
            fresh.faults.unavailable = False
            self.assertIsNone(await fresh.gate.admit(grant_id, BUDGET, "x", 9, now_s))

        self.run_fleet(scenario)

    def test_use_stops_at_ceiling_during_table_outage(self):
        """Recovery assumes that a lost sidecar consumed no more than its ceiling. If a
        sidecar ran work beyond it, the account could spend the same tokens twice; the
        work is refused as not run instead.
        """

        async def scenario(fleet):
            router, sidecar = fleet.routers[0], fleet.all_sidecars[0]
            await self.send(fleet, [router], 1)
            grant_id = next(iter(next(iter(router.budget_manager.wallets())).grants))
            sidecar.faults.unavailable = True
            results = []
            for number in range(4):
                refused = await sidecar.gate.admit(
                    grant_id, BUDGET, f"x{number}", 3_000, fleet.clock()
                )
                results.append(refused.reason if refused else None)
            self.assertEqual(results[:2], [None, None])
            self.assertEqual(results[2:], [Reason.NOT_READY] * 2)
            sidecar.faults.unavailable = False
            self.assertIsNone(
                await sidecar.gate.admit(grant_id, BUDGET, "y", 3_000, fleet.clock())
            )

        self.run_fleet(scenario)

    def test_lost_sidecar_charges_at_most_its_ceiling(self):
        """A rack fails with a router and a sidecar. Of the tokens held by the router,
        the account loses only those that the sidecar was allowed to consume after its
        last checkpoint.
        """

        async def scenario(fleet):
            dead, lost = fleet.routers[0], fleet.all_sidecars[0]
            await self.send(fleet, [dead], 60, reserve_s=900.0)
            await anyio.sleep(40)
            granted = (await budget_row(fleet)).granted_tokens
            uses = fleet.table.get(uses_row_key(lost.instance_id))
            (use,) = decode_uses(uses)
            unseen = use.ceiling_tokens - use.consumed_tokens
            self.assertLess(unseen, granted / 2)
            lost.die()
            fleet.kill(dead)
            lost.terminated_at_s = fleet.clock()
            self.assertIsNotNone(await fleet.recover(dead.instance_id))
            row = await budget_row(fleet)
            charged = row.settled_tokens - fleet.consumed_tokens[BUDGET]
            self.assertEqual(charged, unseen)
            await self.close_all(fleet)
            await self.assert_settled(fleet, exact=False)

        self.run_fleet(scenario, tokens=400_000)

    def test_router_is_fenced_before_its_recovery_ends(self):
        """A paused router resumes while its recovery still waits for a sidecar. A draw
        under its old holder name would open a grant that recovery never sees.
        """

        async def scenario(fleet):
            paused = fleet.routers[0]
            await self.send(fleet, [paused], 10)
            fleet.unsealable.add(fleet.all_sidecars[0].target)
            paused.pause()
            await fleet.recover(paused.instance_id, within_s=10)
            paused.resume()
            await self.send(fleet, [paused], 10)
            await anyio.sleep(10)
            self.assertEqual(paused.budget_manager.holder, "r0~1")
            rows = fleet.table.page("grant", "r0#", None, 10).rows
            self.assertTrue(all(row.fields["open"] == 0 for row in rows))
            fleet.unsealable.clear()
            self.assertIsNotNone(await fleet.recover("r0"))
            await self.close_all(fleet)
            await self.assert_settled(fleet)

        self.run_fleet(scenario)

    def test_borrower_does_not_settle_recovered_use(self):
        """A router that lent tokens dies while one sidecar cannot be sealed, so its
        grant is settled in part. If the borrower also settled its use of the grant, the
        account would pay for the same tokens twice.
        """

        async def scenario(fleet):
            donor, borrower = fleet.routers[:2]
            await self.send(fleet, [donor], 10)
            for router in fleet.routers:
                router.faults.unavailable = True
            await self.send(fleet, [borrower], 4, used_tokens=200)
            borrowed = [
                grant_id
                for wallet in borrower.budget_manager.wallets()
                for grant_id in wallet.grants
            ]
            self.assertTrue(any(name.startswith("r0#") for name in borrowed))
            fleet.unsealable.add(fleet.all_sidecars[0].target)
            fleet.kill(donor)
            await fleet.recover(donor.instance_id, within_s=20)
            for router in fleet.routers:
                router.faults.unavailable = False
            await anyio.sleep(60)
            fleet.unsealable.clear()
            self.assertIsNotNone(await fleet.recover(donor.instance_id))
            await self.close_all(fleet)
            await self.assert_settled(fleet)

        self.run_fleet(scenario)

    def test_use_of_open_grants_is_retained(self):
        """A router runs for an hour and then dies. If sidecars had dropped the count of
        a grant that is still open, its use would not be charged.
        """

        async def scenario(fleet):
            router = fleet.routers[0]
            await self.send(fleet, [router], 400, gap_s=9.0)
            # The use of these requests is not settled yet.
            await self.send(fleet, [router], 10, gap_s=0.01)
            fleet.kill(router)
            self.assertIsNotNone(await fleet.recover(router.instance_id))
            counted = [len(one.gate.ledger) for one in fleet.all_sidecars]
            self.assertLess(max(counted), 8)
            await self.close_all(fleet)
            await self.assert_settled(fleet)

        self.run_fleet(scenario, tokens=100_000)

    def test_lost_transfer_response_is_recovered(self):
        """A donor debits tokens and its response is lost permanently. The account lacks
        these tokens until the donor has its own grant recovered.
        """

        async def scenario(fleet):
            donor = fleet.routers[0]
            await self.send(fleet, [donor], 5)
            offer = donor.budget_manager.lend(
                TokenTransferRequest("t1", BUDGET, 700), fleet.clock()
            )
            again = donor.budget_manager.lend(
                TokenTransferRequest("t1", BUDGET, 700), fleet.clock()
            )
            self.assertEqual(offer, again)
            self.assertEqual(offer.tokens, 700)
            await anyio.sleep(1900)
            (stuck,) = donor.budget_manager.stranded_grants(fleet.clock())
            self.assertEqual((await budget_row(fleet)).granted_tokens, 700)
            while not (await fleet.recovery().recover_grant(stuck)).done:
                await anyio.sleep(1)
            donor.budget_manager.record_recovered_grant(stuck)
            self.assertEqual(donor.budget_manager.stranded_grants(fleet.clock()), ())
            await self.close_all(fleet)
            await self.assert_settled(fleet)

        self.run_fleet(scenario)

    def test_many_budgets_share_one_write(self):
        """Twenty budgets are drawn on at the same time, as after a restart. One write
        per budget would take twenty times the write rate that the table allows a
        router.
        """

        async def scenario(fleet):
            budgets = [
                BudgetKey(ClientAccountName(f"a{number}"), "main")
                for number in range(20)
            ]
            for budget in budgets:
                await self.top_up(fleet, "first", 5000, budget)
            before = fleet.table.writes
            async with anyio.create_task_group() as tasks:
                for budget in budgets:
                    tasks.start_soon(self.reserve, fleet, budget)
            self.assertLessEqual(fleet.table.writes - before, 4)

        self.run_fleet(scenario)

    async def reserve(self, fleet, budget):
        """Reserve tokens at one router."""
        now_s = fleet.clock()
        reservation = await fleet.routers[0].budget_manager.reserve(
            budget, 10, deadline_s=now_s + 5, reserve_s=60.0, now_s=now_s
        )
        self.assertEqual(reservation.tokens, 10)


class FleetTests(unittest.TestCase):
    def test_same_seed_gives_same_run(self):
        """A failing run can be reproduced by its seed."""

        async def main(seed):
            async with anyio.create_task_group() as tasks:
                fleet = Fleet(tasks, random.Random(seed), routers=1, sidecars=1)
                first = fleet.fork_rng().random()
                tasks.cancel_scope.cancel()
                return first

        self.assertEqual(anyio.run(main, 4), anyio.run(main, 4))


if __name__ == "__main__":
    unittest.main()
