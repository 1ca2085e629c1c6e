"""The runner of the test modules reports each failure."""

import contextlib
import io
import sys
import unittest
from unittest import mock

from tests import module_runner
from tests.module_runner import Outcome, discover_modules, run_modules


class ModuleRunnerTests(unittest.TestCase):
    """Modules that pass, that cannot be loaded and whose process ends."""

    def run_one(self, name: str) -> Outcome:
        with contextlib.redirect_stdout(io.StringIO()):
            return run_modules([name])

    def test_tests_of_a_module_are_counted(self) -> None:
        outcome = self.run_one("tests.test_answer_parser")
        self.assertGreater(outcome.run, 1)
        self.assertEqual((outcome.failed, outcome.skipped), ((), 0))

    # Guards against a module that cannot be loaded and counts as one without tests.
    def test_a_module_that_does_not_load_has_failed(self) -> None:
        outcome = self.run_one("tests.test_of_nothing")
        self.assertEqual((outcome.run, len(outcome.failed)), (1, 1))

    # Guards against a process that ends early and counts as one without failures.
    def test_a_process_that_ends_early_has_failed(self) -> None:
        for executable in ("/bin/true", "/bin/false"):
            with mock.patch.object(sys, "executable", executable):
                outcome = self.run_one("tests.test_answer_parser")
            self.assertEqual(outcome, Outcome(1, ("tests.test_answer_parser",), 0))

    # Guards against modules that the full run leaves out.
    def test_all_modules_are_found(self) -> None:
        names = discover_modules()
        loader = unittest.TestLoader()
        found = loader.discover("tests", top_level_dir=".").countTestCases()
        named = unittest.TestLoader().loadTestsFromNames(names).countTestCases()
        self.assertEqual(named, found)
        self.assertLessEqual(set(module_runner._APART), set(names))


if __name__ == "__main__":
    unittest.main()
