"""Prepaid budgets in a fleet of dozens of routers, in virtual time."""

from __future__ import annotations

import random
import unittest

import anyio
from benchmarks.allowance_fleets import Figures, run_startup

from endivegw.allowances import AllowanceManager, AllowanceOptions
from endivegw.gossip.peers import PeerEntry
from endivegw.types import ClientAccountName
from endivegw_standins.allowance_world import Load
from endivegw_standins.linked_world import LinkedWorld
from endivegw_standins.virtual_time import VirtualLoop

SMALL, LARGE = 4, 29

#: Maximum share of requests that are refused although the budget covers them.
MAX_FALSE_REFUSAL_SHARE = 1 / 200

#: The traffic of a router may vary with its callers, but not with the fleet.
MAX_GROWTH = 1.25


def run_start(routers: int) -> Figures:
    """Return the figures of a fleet's first ten seconds under load."""
    figures = Figures()
    virtual = {"loop_factory": VirtualLoop}
    anyio.run(run_startup, routers, 0, figures, backend_options=virtual)
    return figures


class _OutageWorld(LinkedWorld):
    """Routers that learn no address during an outage of the store."""

    async def _announce(self, entry: PeerEntry) -> None:
        if not self.store.cut:
            await super()._announce(entry)


class OutageTests(unittest.TestCase):
    """A router is killed in an outage of the store, and restarts."""

    # Guards against limits that wait for a witness whose process has ended.
    def test_limits_grow_on_when_a_witness_restarts(self) -> None:
        """The new process is at the same address, and no row can name it.

        The router reached the store until it was killed, so that it had not waived.
        """
        self.assertEqual(self._grown({"a", "b", "c"}), [True, False, True])

    # Guards against limits that wait for a dark machine until the store answers.
    def test_limits_grow_on_while_a_witness_is_gone(self) -> None:
        """The router had lost the store like all others, and had waived."""
        self.assertEqual(self._grown({"a", "b", "c", "d"}), [True, True, True])

    def _grown(self, cut: set[str]) -> list[bool]:
        """Return whether the limits of a grow before d is killed, then, and after."""
        grown: list[bool] = []

        async def simulate() -> None:
            rng = random.Random(1)
            async with anyio.create_task_group() as tasks:
                load = Load(ClientAccountName("hotel"), 1_000_000, 4.0, (0.25,) * 4)
                world = _OutageWorld(
                    (load,), AllowanceOptions(), rng, anyio.current_time, tasks
                )
                for vm in world.vms:
                    world.start(vm)
                await anyio.sleep(3.0)
                world.store.cut = cut
                await anyio.sleep(1.0)
                allowances = world.routers["a"].allowances
                for kill in (lambda: None, lambda: world.kill("d")):
                    kill()
                    await anyio.sleep(1.0)
                    grown.append(_grows(allowances))
                world.start("d")
                await anyio.sleep(0.5)
                grown.append(_grows(allowances))
                tasks.cancel_scope.cancel()

        anyio.run(simulate, backend_options={"loop_factory": VirtualLoop})
        return grown


def _grows(allowances: AllowanceManager) -> bool:
    """Return whether a router's limits grow now."""
    store_ms = allowances.store_clock.now_ms(anyio.current_time())
    return allowances.ledger.witnesses.growth_until_ms(store_ms) == store_ms


class FleetTests(unittest.TestCase):
    """
    Many routers share each account's budget, and each draws an equal share of it. A
    long prompt needs more than one of them holds. Its router asks the responsive peers
    one after the other for loans and refuses the request when its time is up, although
    routers that were not asked hold enough tokens. Event 9004 shows it: hand_tokens
    near 0, spare_tokens at peers, exhausted false.
    """

    def test_a_large_fleet_refuses_almost_nothing_that_budgets_cover(self) -> None:
        """No component fails, and the store answers throughout."""
        figures = run_start(LARGE)
        for span in ("start", "usual"):
            with self.subTest(span=span):
                self.assertLessEqual(
                    figures.false_refusal_share(span), MAX_FALSE_REFUSAL_SHARE
                )

    def test_what_a_router_sends_does_not_grow_with_the_fleet(self) -> None:
        """Seven times as many routers serve seven times as many callers.

        Each router sends its figures to all others, so without a longer interval the
        control traffic would grow faster than its share of the link.
        """
        small, large = run_start(SMALL), run_start(LARGE)
        max_bytes_per_s = small.bytes_per_s * MAX_GROWTH
        self.assertLessEqual(large.bytes_per_s, max_bytes_per_s)


if __name__ == "__main__":
    unittest.main()
