"""Each router sees enough targets, and each target is seen by as many routers."""

import unittest
from collections import Counter

from endivegw.decisions import SubsetPolicy, choose_subset

POLICY = SubsetPolicy()


def fleet(routers, targets, zones=7):
    """Return router names and targets spread over zones."""
    names = [f"router-{number}" for number in range(routers)]
    placed = {f"engine-{n}": f"zone-{n % zones}" for n in range(targets)}
    return names, placed


def all_subsets(names, placed):
    """Return the subset of each router."""
    return {name: set(choose_subset(POLICY, name, names, placed)) for name in names}


class SubsetTests(unittest.TestCase):
    def test_small_fleets_see_everything(self):
        """With a few routers each one sees all targets."""
        names, placed = fleet(3, 13, zones=3)
        for subset in all_subsets(names, placed).values():
            self.assertEqual(subset, set(placed))

    def test_coverage_is_even_at_the_target_size(self):
        """370 routers see 18 of 650 targets; each target is seen by 10 or 11."""
        names, placed = fleet(370, 650)
        subsets = all_subsets(names, placed)
        self.assertEqual({len(subset) for subset in subsets.values()}, {18})
        seen = Counter(target for subset in subsets.values() for target in subset)
        self.assertEqual(set(seen), set(placed))
        self.assertLessEqual(max(seen.values()) - min(seen.values()), 2)
        self.assertGreaterEqual(min(seen.values()), 9)

    def test_each_subset_spans_all_zones(self):
        """The loss of one availability zone leaves every router most targets."""
        names, placed = fleet(370, 650)
        for subset in all_subsets(names, placed).values():
            zones = Counter(placed[target] for target in subset)
            self.assertEqual(len(zones), 7)
            self.assertLessEqual(max(zones.values()), 4)

    def test_one_change_moves_few_connections(self):
        """A target or router that leaves changes about one target per router.

        Virtual machines are replaced all day. If each replacement dealt all
        subsets anew, routers would lose what they know of their targets.
        """
        names, placed = fleet(370, 650)
        before = all_subsets(names, placed)
        without_target = {t: z for t, z in placed.items() if t != "engine-17"}
        without_router = [name for name in names if name != "router-17"]
        for after in (
            all_subsets(names, without_target),
            all_subsets(without_router, placed),
        ):
            changes = [len(after[name] - before[name]) for name in after]
            self.assertLess(sum(changes) / len(changes), 1.5)

    def test_few_routers_cover_many_targets(self):
        """With few routers the subsets grow until each target is covered."""
        names, placed = fleet(4, 100)
        seen = Counter(t for s in all_subsets(names, placed).values() for t in s)
        self.assertEqual(min(seen.values()), 4)
