"""Models are loaded where demand is, and never unloaded while in use."""

import unittest

from endivegw.decisions import (
    DemandMeter,
    LoadedTarget,
    ScalingPolicy,
    plan_orders,
)
from endivegw.targets import OrderKind

POLICY = ScalingPolicy(replicas=1, store_bytes_per_s=1e9)
SIZES = {"badge": 10_000_000_000, "plan": 20_000_000_000}


def target(number, loaded, running=None, free_bytes=0, loading=()):
    """Return a target with sixteen slots."""
    return LoadedTarget(
        f"engine-{number}",
        f"zone-{number % 3}",
        16,
        frozenset(loaded),
        frozenset(loading),
        running or {},
        free_bytes,
    )


class PlanOrdersTests(unittest.TestCase):
    def test_demand_loads_into_free_memory_first(self):
        """A model in demand is loaded where memory is free, and nothing is unloaded."""
        targets = [
            target(0, ["badge"]),
            target(1, ["badge"], free_bytes=30_000_000_000),
        ]
        orders = plan_orders(POLICY, {"plan": 4.0, "badge": 4.0}, SIZES, targets, 0, 0)
        self.assertEqual(len(orders), 1)
        self.assertEqual(orders[0].kind, OrderKind.LOAD_MODEL)
        self.assertEqual((orders[0].target, orders[0].name), ("engine-1", "plan"))

    def test_a_model_in_use_is_never_unloaded(self):
        """An overload of one model does not unload another one that is in use.

        All memory is full, and demand for one model far exceeds what is loaded. If the
        planner unloaded the other model where requests run, their callers would lose
        their answers.
        """
        targets = [
            target(n, ["plan"], {"plan": 1}, free_bytes=1_000_000_000) for n in range(4)
        ]
        orders = plan_orders(POLICY, {"badge": 60.0}, SIZES, targets, 0, 0)
        self.assertEqual(orders, [])

    def test_copies_in_demand_stay_loaded(self):
        """Idle copies are unloaded only down to the number that demand requires."""
        targets = [target(n, ["plan"]) for n in range(3)]
        slots = {"badge": 60.0, "plan": 20.0}
        orders = plan_orders(POLICY, slots, SIZES, targets, 0, 0)
        unloaded = [o for o in orders if o.kind == OrderKind.UNLOAD_MODEL]
        self.assertEqual(len(unloaded), 1)

    def test_loads_stay_within_store_bandwidth(self):
        """Loads start one after the other, within the store's bandwidth."""
        targets = [target(n, [], free_bytes=30_000_000_000) for n in range(5)]
        orders = plan_orders(POLICY, {"plan": 60.0}, SIZES, targets, 7.0, 0.0)
        self.assertEqual(len(orders), POLICY.max_concurrent_loads)
        self.assertEqual(orders[0].not_before_s, 7.0)
        gap_s = orders[1].not_before_s - orders[0].not_before_s
        self.assertAlmostEqual(gap_s, SIZES[orders[0].name] / 1e9)

    def test_loads_in_progress_count(self):
        """A load in progress is not ordered a second time."""
        targets = [
            target(0, ["badge"], loading=["plan"]),
            target(1, ["badge"], free_bytes=30_000_000_000),
        ]
        orders = plan_orders(POLICY, {"plan": 4.0}, SIZES, targets, 0, 0)
        self.assertEqual(orders, [])


class DemandMeterTests(unittest.TestCase):
    def test_steady_demand_is_measured_in_slots(self):
        """Two requests per second of five seconds each keep ten slots busy."""
        meter = DemandMeter(60.0)
        for half_second in range(1200):
            meter.add("plan", 5.0, half_second / 2)
        self.assertAlmostEqual(meter.slots("plan", 600.0), 10.0, delta=0.2)
        self.assertLess(meter.slots("plan", 900.0), 0.2)
