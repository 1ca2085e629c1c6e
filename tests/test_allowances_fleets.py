"""Prepaid budgets in a fleet of dozens of routers, in virtual time."""

from __future__ import annotations

import unittest

import anyio
from benchmarks.allowance_fleets import Figures, run_startup

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
