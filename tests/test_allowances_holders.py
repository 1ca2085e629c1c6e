"""Which routers hold an account's budget, and what the other routers have of it."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from contextlib import asynccontextmanager
from typing import AsyncIterator, cast

import anyio

from endivegw.allowances import AllowanceLedger, AllowanceOptions, Reservation
from endivegw.allowances.holders import HOLDERS, holders_of
from endivegw.allowances.rows import BudgetTotal
from endivegw.gossip import PeerEntry, PeerState, PeerTable
from endivegw.rendezvous import rendezvous_order
from endivegw.types import AvailabilityZone, ClientAccountName, InstanceId
from endivegw_standins.allowance_world import Load
from endivegw_standins.linked_world import LinkedRouter, LinkedWorld
from endivegw_standins.virtual_time import VirtualLoop

ACCOUNT = ClientAccountName("hotel")
PREPAID = 1_000_000
ROUTERS = 29


def zones(routers: int, count: int) -> dict[str, AvailabilityZone]:
    """Return vms distributed evenly over availability zones."""
    return {
        f"vm-{number:03}": AvailabilityZone(f"zone-{number % count}")
        for number in range(routers)
    }


class HolderTests(unittest.TestCase):
    """Holders of an account are determined from the routers' rows alone."""

    # Guards against budgets spread over more routers the larger the fleet is.
    def test_a_few_routers_hold_an_account_in_a_fleet_of_any_size(self) -> None:
        """Each router of a small fleet holds all accounts."""
        for routers in (1, 4, 29, 370):
            with self.subTest(routers=routers):
                holders_found = holders_of(ACCOUNT, zones(routers, 3))
                self.assertEqual(len(holders_found), min(routers, HOLDERS))

    # Guards against a budget that routers in an isolated availability zone cannot
    # reach.
    def test_holders_stand_in_different_availability_zones(self) -> None:
        """In as many as there are, for each of many accounts."""
        for count in (1, 2, 3, 7):
            placed = zones(70, count)
            for number in range(50):
                holders_found = holders_of(
                    ClientAccountName(f"account-{number}"), placed
                )
                used = {placed[vm] for vm in holders_found}
                self.assertEqual(len(used), min(count, HOLDERS))

    # Guards against routers that disagree on the holders, and against a change of all
    # holders when one router joins.
    def test_one_router_more_changes_few_holders(self) -> None:
        """Independent of the order of routers; the new router gets its share."""
        before, after = zones(40, 1), zones(41, 1)
        backwards = dict(reversed(list(before.items())))
        changed = 0
        for number in range(200):
            account = ClientAccountName(f"account-{number}")
            self.assertEqual(
                holders_of(account, before), holders_of(account, backwards)
            )
            added = holders_of(account, after) - holders_of(account, before)
            self.assertLessEqual(added, {"vm-040"})
            changed += len(added)
        self.assertAlmostEqual(changed / 200, HOLDERS / 41, delta=0.05)

    # Guards against keys that all map to the same few machines.
    def test_rendezvous_orders_of_keys_differ(self) -> None:
        """Each of ten machines comes first about equally often."""
        vms = zones(10, 1)
        first = Counter(rendezvous_order(str(key), vms)[0] for key in range(1000))
        self.assertEqual(len(first), 10)
        self.assertLess(max(first.values()), 200)


class LenderTests(unittest.TestCase):
    """Which routers are asked for tokens."""

    def table(self) -> PeerTable:
        """Return a table of 28 peers that have not reported yet."""
        table = PeerTable("vm-000")
        for number in range(1, ROUTERS):
            name = InstanceId(f"i-{number}")
            table.put(PeerEntry(f"vm-{number:03}", name, "10.0.0.1", 7000))
        return table

    # Guards against a newly started borrower that is refused without asking any peer.
    def test_holders_that_never_reported_are_asked(self) -> None:
        """A newly started router asks the holders only."""
        table = self.table()
        asked = {entry.vm for entry in table.lenders(ACCOUNT, 1.0)}
        self.assertEqual(asked, table.holders(ACCOUNT) - {"vm-000"})

    # Guards against tokens left at routers that are not asked for loans.
    def test_leftovers_are_collected_by_one_holder(self) -> None:
        """From routers that report tokens of an account that they do not hold."""
        table = self.table()
        holders = table.holders(ACCOUNT)
        others = [entry for entry in table.entries() if entry.vm not in holders]
        for entry in table.entries():
            table.receive_state(PeerState(entry.instance_id, 1, {ACCOUNT: 70}), 1.0)
        holders_found = table.leftovers(ACCOUNT, 1.1)
        self.assertEqual(holders_found, [(entry, 70) for entry in others])
        self.assertEqual(table.is_collector(ACCOUNT, 1.1), "vm-000" == min(holders))

    # Guards against callers told to retry before an unresponsive router can be back.
    def test_how_long_a_router_has_been_unresponsive(self) -> None:
        """The duration determines the retry delay given to callers."""
        table = self.table()
        self.assertEqual(table.unresponsive_s(1.0), 0.0)
        for entry in table.entries():
            table.receive_state(PeerState(entry.instance_id, 1, {}), 1.0)
        self.assertIsNone(table.unresponsive_s(1.5))
        for entry in table.entries()[1:]:
            table.receive_state(PeerState(entry.instance_id, 2, {}), 4.0)
        self.assertEqual(table.unresponsive_s(4.5), 3.5)


class WitnessTests(unittest.TestCase):
    """Which routers receive another router's limits."""

    # Guards against three machines that receive the limits of a whole fleet.
    def test_routers_choose_different_witnesses(self) -> None:
        """Of thirty routers that know each other, none is a witness of many."""
        named = anyio.run(_witnesses, backend_options={"loop_factory": VirtualLoop})
        self.assertEqual(sum(named.values()), 3 * ROUTERS)
        self.assertLessEqual(max(named.values()), ROUTERS // 3)


async def _witnesses() -> Counter[InstanceId]:
    """Return how many routers name each router as a witness."""
    holders_found: Counter[InstanceId] = Counter()
    async with _started_fleet() as world:
        await anyio.sleep(2.0)
        for router in world.routers.values():
            holders_found.update(router.allowances.ledger.witnesses.confirmed)
    return holders_found


class LedgerTests(unittest.TestCase):
    """A router's ledger for an account that it may not hold."""

    # Guards against an equal share of each budget at each of hundreds of routers.
    def test_only_holders_draw_ahead_of_requests(self) -> None:
        """Each draws a share by the number of holders."""
        for is_holder, drawn in ((True, PREPAID // HOLDERS), (False, None)):
            with self.subTest(is_holder=is_holder):
                ledger = self.ledger(is_holder)
                write = ledger.plan_write(1000.0, 1.0, ROUTERS)
                self.assertEqual(write.budgets.get(ACCOUNT), drawn)

    # Guards against tokens that stay at a router which no longer holds the account.
    def test_a_former_holder_returns_tokens(self) -> None:
        """It returns what its requests do not wait for."""
        ledger = self.ledger(True)
        ledger.commit(ledger.plan_write(1000.0, 1.0, ROUTERS), 1)
        ledger.is_holder = lambda account: False
        write = ledger.plan_write(1100.0, 1.1, ROUTERS)
        self.assertEqual(write.budgets, {ACCOUNT: 0})
        self.assertEqual(write.row.terms[ACCOUNT].drawn_tokens, 0)

    def ledger(self, is_holder: bool) -> AllowanceLedger:
        """Return a ledger of one account that nobody has drawn on."""
        ledger = AllowanceLedger(InstanceId("own"), is_holder=lambda account: is_holder)
        ledger.set_prepaid({ACCOUNT: PREPAID})
        ledger.totals[ACCOUNT] = BudgetTotal()
        return ledger


class BorrowerTests(unittest.TestCase):
    """Requests at routers that do not hold their account, in virtual time."""

    # Guards against leftovers of single requests that add up over a large fleet.
    def test_tokens_return_to_the_holders(self) -> None:
        """Each router serves one request, which uses a tenth of its reservation."""
        left, served = anyio.run(
            _borrow_and_return, backend_options={"loop_factory": VirtualLoop}
        )
        self.assertEqual(served, ROUTERS)
        self.assertEqual(left, 0)


async def _borrow_and_return() -> tuple[int, int]:
    """Return the tokens left at non-holders, and the number of requests served."""
    served = 0
    async with _started_fleet(Load(ACCOUNT, PREPAID, 1.0, (1.0,) * ROUTERS)) as world:
        for vm in world.vms:
            allowances = world.routers[vm].allowances
            reservation = await allowances.reserve(ACCOUNT, 2000)
            if isinstance(reservation, Reservation):
                served += 1
                allowances.settle(reservation, 200)
        await anyio.sleep(3.0)
        routers = [cast(LinkedRouter, router) for router in world.routers.values()]
        left = sum(
            router.allowances.surplus_tokens().get(ACCOUNT, 0)
            for router in routers
            if not router.link.is_holder(ACCOUNT)
        )
    return left, served


@asynccontextmanager
async def _started_fleet(*loads: Load) -> AsyncIterator[LinkedWorld]:
    """Run a large fleet that has been up for three seconds."""
    vms = tuple(zones(ROUTERS, 1))
    async with anyio.create_task_group() as tasks:
        world = LinkedWorld(
            loads,
            AllowanceOptions(spread_rows=True),
            random.Random(1),
            anyio.current_time,
            tasks,
            vms,
        )
        for vm in vms:
            world.start(vm)
        await anyio.sleep(3.0)
        yield world
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    unittest.main()
