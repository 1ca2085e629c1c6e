"""A short run of the soak test with a fixed seed, and tests of its checks."""

from __future__ import annotations

import unittest

import anyio

from endivegw_standins.platform_worker import PlatformWorker, WorkerRun
from tests.platform_soak import Soak, SoakReport, run_seed


class SoakTests(unittest.TestCase):
    """Run separate processes under external faults."""

    def test_a_short_seed_breaks_no_promise(self) -> None:
        """Routers are killed, stopped and paused, and lose the store and targets.

        Possible failures are a request that runs twice, an answer that belongs to
        another caller, a refusal of a request that ran, and an overspent budget.
        """
        report = anyio.run(run_seed, 1, 4.0)
        self.assertEqual(report.violations, [])
        self.assertGreater(report.answers["200"], 0)
        self.assertTrue(report.faults)


class CheckTests(unittest.TestCase):
    """Each check of the soak test detects its kind of violation."""

    def violations(self, runs: list[WorkerRun], refused: str = "") -> list[str]:
        """Return the violations that the checks find in the given runs."""
        soak = Soak.__new__(Soak)
        soak.report = SoakReport(0)
        soak.prepaid = 1000
        soak.refused = {refused} - {""}
        soak.workers = {"e-1": PlatformWorker("e-1", runs=runs)}
        soak.check()
        return soak.report.violations

    def test_each_broken_promise_is_named(self) -> None:
        """The checks report overspending, a second run and a false "not run"."""
        large = {"endivegw-token-counts": "990,40"}
        self.assertEqual(self.violations([WorkerRun("chat-1", large, b"", 2)]), [])
        self.assertIn("spent", self.violations([WorkerRun("chat-1", large, b"", 5)])[0])
        once = WorkerRun("print-2", {}, b"")
        self.assertIn("ran 2 times", self.violations([once, once])[0])
        self.assertIn("told", self.violations([once], refused="print-2")[0])
        twice = WorkerRun("notice-3", {}, b"")
        self.assertEqual(self.violations([twice, twice]), [])


if __name__ == "__main__":
    unittest.main()
