"""Each router uses enough targets, and each target is used by as many routers."""

import unittest
from collections import Counter

from endivegw.decisions import SubsetPolicy, choose_subset

POLICY = SubsetPolicy()


def fleet(routers, targets, zones=7):
    """Return router names, and targets spread over availability zones."""
    names = [f"router-{number}" for number in range(routers)]
    placed = {f"engine-{n}": f"zone-{n % zones}" for n in range(targets)}
    return names, placed


def all_subsets(names, placed):
    """Return the subset of each router."""
    return {name: set(choose_subset(POLICY, name, names, placed)) for name in names}


class SubsetTests(unittest.TestCase):
    def test_small_fleets_use_all_targets(self):
        """In a small fleet, each router uses all targets."""
        names, placed = fleet(3, 13, zones=3)
        for subset in all_subsets(names, placed).values():
            self.assertEqual(subset, set(placed))

    def test_coverage_is_even_at_the_target_size(self):
        """Each of 370 routers uses 18 of 650 targets, each target has 10 or 11."""
        names, placed = fleet(370, 650)
        subsets = all_subsets(names, placed)
        self.assertEqual({len(subset) for subset in subsets.values()}, {18})
        users = Counter(target for subset in subsets.values() for target in subset)
        self.assertEqual(set(users), set(placed))
        self.assertLessEqual(max(users.values()) - min(users.values()), 2)
        self.assertGreaterEqual(min(users.values()), 9)

    def test_each_subset_spans_all_zones(self):
        """Each router keeps most of its targets if one availability zone is lost."""
        names, placed = fleet(370, 650)
        for subset in all_subsets(names, placed).values():
            zones = Counter(placed[target] for target in subset)
            self.assertEqual(len(zones), 7)
            self.assertLessEqual(max(zones.values()), 4)

    def test_one_change_moves_few_assignments(self):
        """Removing a target or a router changes about one target per router.

        Virtual machines are replaced continually. If each replacement reassigned all
        subsets, routers would lose what they have learnt about their targets.
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
        users = Counter(t for s in all_subsets(names, placed).values() for t in s)
        self.assertEqual(min(users.values()), 4)
