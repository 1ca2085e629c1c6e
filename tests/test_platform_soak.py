"""A short run of the soak test with a fixed seed, and tests of its checks."""

from __future__ import annotations

import random
import unittest

import anyio

from endivegw_standins.platform_target import PlatformTarget
from endivegw_standins.platform_worker import PlatformWorker, WorkerRun
from tests.caller_promises import Evidence, IdleClose, Outcome, SentRequest
from tests.platform_soak import Soak, SoakReport, run_seed
from tests.soak_configuration import SoakConfiguration


class SoakTests(unittest.TestCase):
    """Run separate processes under external faults."""

    def test_a_short_seed_breaks_no_promise(self) -> None:
        """Routers are killed, stopped and paused, and lose the store and targets.

        Possible failures are a request that runs twice, an answer that belongs to
        another caller, a refusal of a request that ran, an overspent budget, and a
        whole request without an answer.
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
        soak.report, soak.rng = SoakReport(0), random.Random(0)
        soak.configuration = SoakConfiguration(1000, soak.rng)
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

    def test_an_unanswered_request_is_named_unless_it_is_excused(self) -> None:
        """The check uses what the faults and the targets have recorded."""
        request = SentRequest("print-1", "print", "0.1", 100.0, 100.0)
        request.outcome, request.ended_s = Outcome.CUT, 101.0
        for ended_s, violations in (([], 1), ([90.0], 1), ([100.9], 0)):
            soak = Soak.__new__(Soak)
            soak.report = SoakReport(0)
            soak.evidence, soak.sent = Evidence(), [request]
            soak.idle_closes = [IdleClose("0.1", 100.0, 101.0)]
            soak.evidence.idle_limits = [(0.0, 1.0)]
            runs = [WorkerRun("print-1", {}, b"")]
            worker = PlatformWorker("p-1", runs=runs)
            soak.workers = {"p-1": worker}
            target = PlatformTarget("p-1", "plain", worker, ended_s=ended_s)
            soak.targets = [target]

            async def check() -> None:
                soak.check_promises()

            anyio.run(check)
            self.assertEqual(len(soak.report.violations), violations)
            self.assertEqual(soak.report.excuses["target"], 1 - violations)


if __name__ == "__main__":
    unittest.main()
