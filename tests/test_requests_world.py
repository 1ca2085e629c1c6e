"""Long randomised runs of routers, sidecars and callers with injected faults."""

import unittest

import logbook

from endivegw_standins.request_faults import FAULTS, fault_scenario
from endivegw_standins.request_world import WorldLimits, run_world

REQUESTS = 100


class WorldTests(unittest.TestCase):
    def run_fault(self, fault, seed, repeatable_share=0.3):
        with logbook.NullHandler().applicationbound():
            run = fault_scenario(fault, REQUESTS, 10.0, repeatable_share)
            report = run_world(WorldLimits(), seed, run)
        self.assertEqual(report.ran_twice, 0, fault)
        self.assertEqual(report.false_not_run, 0, fault)
        self.assertEqual(report.wrong_bytes, 0, fault)
        return report

    def test_guarantees_hold_under_any_fault(self):
        """
        Networks lose, delay and duplicate messages; routers crash and pause; sidecars
        restart; machines are replaced; the table is slow, loses answers to writes, or
        is unavailable. No non-repeatable request runs twice, *not run* is never
        reported for a request that ran, and no answer is truncated or mixed up.
        """
        for fault in FAULTS:
            seeds = (101, 102, 103) if fault == "all together" else (101,)
            for seed in seeds:
                with self.subTest(fault=fault, seed=seed):
                    self.run_fault(fault, seed)

    def test_all_requests_are_answered_without_faults(self):
        """Without faults each caller gets its answer at the first try."""
        report = self.run_fault("none", 103)
        self.assertEqual(report.first, {"answered": REQUESTS})

    def test_retries_are_answered_after_router_crashes(self):
        """
        Routers crash with open streams. Each caller gets its complete answer through
        another router by sending the same key again.
        """
        report = self.run_fault("routers die", 104)
        self.assertEqual(report.last, {"answered": REQUESTS})

    def test_slow_and_lossy_table_costs_no_answers(self):
        """
        The table applies writes late or twice, or does not answer them. Callers
        still get all answers, only later.
        """
        report = self.run_fault("table writes late, doubled, unanswered", 105, 0.0)
        self.assertEqual(report.last, {"answered": REQUESTS})
