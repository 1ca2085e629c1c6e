"""Prepaid budgets in a fleet of dozens of routers, in virtual time."""

from __future__ import annotations

import unittest

import anyio
from benchmarks.allowance_fleets import Figures, play_start

from endivegw_standins.virtual_time import VirtualLoop

SMALL, LARGE = 4, 29

#: The most requests that are refused although the budget covers them.
MOST_FALSE_REFUSALS = 1 / 200

#: What a router sends may vary with its callers, and not with the fleet.
MOST_GROWTH = 1.25


def started(routers: int) -> Figures:
    """Return what a fleet did in its first ten seconds under load."""
    figures = Figures()
    virtual = {"loop_factory": VirtualLoop}
    anyio.run(play_start, routers, 0, figures, backend_options=virtual)
    return figures


class FleetTests(unittest.TestCase):
    """
    Many routers share each account's budget, and each draws an equal part of it. A long
    prompt needs more than one of them holds. Its router asks those that it has heard of
    in the last second, one loan after the other, and refuses the request when its time
    is up; the tokens are there all the while, in hands that nobody asks for. Event 9004
    shows it: hand_tokens near 0, spare_tokens at peers, exhausted false.
    """

    def test_a_large_fleet_refuses_almost_nothing_that_budgets_cover(self) -> None:
        """Nothing fails, and the store answers all the while."""
        figures = started(LARGE)
        for span in ("start", "usual"):
            with self.subTest(span=span):
                self.assertLessEqual(figures.false_share(span), MOST_FALSE_REFUSALS)

    def test_what_a_router_sends_does_not_grow_with_the_fleet(self) -> None:
        """Seven times as many routers serve seven times as many callers. Each sends
        its figures to all others, so that control outgrows its share of the link."""
        small, large = started(SMALL), started(LARGE)
        most = small.bytes_per_s * MOST_GROWTH
        self.assertLessEqual(large.bytes_per_s, most)


if __name__ == "__main__":
    unittest.main()
