"""The whole fleet under load and faults, judged by engines and callers."""

import unittest

import anyio

from endivegw.dev.exercise import run_exercise


class ExerciseTests(unittest.TestCase):
    def test_faults_break_no_promise(self):
        """
        A router is killed with streams open, the table goes away, another
        router is cut off from it while an account is topped up, a target is
        drained, another one is slow, a sidecar is killed with work running, and
        answers of the table get lost. Callers get each answer whole and once,
        no account spends past its budget, and the bill holds what the engines
        consumed.
        """
        figures = anyio.run(run_exercise, 8.0, 11)
        self.assertEqual(figures.violations, [])
        self.assertEqual(figures.overspend_tokens, 0)
        self.assertEqual(figures.doubled, 0)
        self.assertEqual(figures.wrong_not_run, 0)
        self.assertEqual(len(figures.faults), 15)


if __name__ == "__main__":
    unittest.main()
