"""Run the complete fleet under load and faults, with callers and engines as oracle."""

import unittest

import anyio

from endivegw.dev.exercise import run_exercise


class ExerciseTests(unittest.TestCase):
    def test_faults_break_no_promise(self):
        """
        A router is killed with open streams, the table fails, another router is
        partitioned from the table while an account is topped up, a target is
        drained, another target is slow, a sidecar is killed with work in progress,
        and answers of the table are lost. Callers get each answer complete and
        once, no account exceeds its budget, and the bill matches the consumption
        at the engines.
        """
        figures = anyio.run(run_exercise, 8.0, 11)
        self.assertEqual(figures.violations, [])
        self.assertEqual(figures.overspend_tokens, 0)
        self.assertEqual(figures.doubled, 0)
        self.assertEqual(figures.wrong_not_run, 0)
        self.assertEqual(len(figures.faults), 15)


if __name__ == "__main__":
    unittest.main()
