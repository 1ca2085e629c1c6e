"""A short seeded run of the soak, and the checks that it makes."""

from __future__ import annotations

import unittest

import anyio

from endivegw_standins.platform_worker import PlatformWorker, WorkerRun
from tests.platform_soak import Soak, SoakReport, play_seed


class SoakTests(unittest.TestCase):
    """Play real processes under faults from outside."""

    def test_a_short_seed_breaks_no_promise(self) -> None:
        """Routers are killed, stopped and paused, and lose the store and targets.

        A caller would notice a booking made twice, an answer that is another's, or a
        refusal of what ran; an operator a budget that was overspent.
        """
        report = anyio.run(play_seed, 1, 4.0)
        self.assertEqual(report.broken, [])
        self.assertGreater(report.answers["200"], 0)
        self.assertTrue(report.faults)


class CheckTests(unittest.TestCase):
    """The checks find what they are for."""

    def broken(self, runs: list[WorkerRun], refused: str = "") -> list[str]:
        """Return what the checks say of some runs."""
        soak = Soak.__new__(Soak)
        soak.report = SoakReport(0)
        soak.prepaid = 1000
        soak.refused = {refused} - {""}
        soak.workers = {"e-1": PlatformWorker("e-1", runs=runs)}
        soak.check()
        return soak.report.broken

    def test_each_broken_promise_is_named(self) -> None:
        """An overspent budget, a second run, a run that was told not to have been."""
        large = {"endivegw-token-counts": "990,40"}
        self.assertEqual(self.broken([WorkerRun("chat-1", large, b"", 2)]), [])
        self.assertIn("spent", self.broken([WorkerRun("chat-1", large, b"", 5)])[0])
        once = WorkerRun("print-2", {}, b"")
        self.assertIn("ran 2 times", self.broken([once, once])[0])
        self.assertIn("told", self.broken([once], refused="print-2")[0])
        twice = WorkerRun("notice-3", {}, b"")
        self.assertEqual(self.broken([twice, twice]), [])


if __name__ == "__main__":
    unittest.main()
