"""Run tests, the modules in processes of their own and several at a time."""

from __future__ import annotations

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest

from attrs import asdict, frozen

__all__ = ["Outcome", "discover_modules", "run_here", "run_modules"]

_TESTS = pathlib.Path(__file__).resolve().parent

#: Modules that check the memory of processes under load; each runs while no other does.
_APART = (
    "tests.test_calm_bodies",
    "tests.test_crowds_direct",
    "tests.test_crowds_peers",
    "tests.test_crowds_sidecars",
)

#: Modules that run at a time, per processor. Tests of real processes use several.
_MODULES_PER_PROCESSOR = 0.5


@frozen
class Outcome:
    """Hold what became of some tests.

    :param run: number of tests that were run, including those that were skipped.
    :param failed: ids of those that failed.
    """

    run: int
    failed: tuple[str, ...]
    skipped: int

    def __add__(self, other: Outcome) -> Outcome:
        """Return the outcome of both."""
        return Outcome(
            self.run + other.run,
            self.failed + other.failed,
            self.skipped + other.skipped,
        )


def discover_modules() -> list[str]:
    """Return the names of all test modules."""
    return sorted(f"tests.{path.stem}" for path in _TESTS.glob("test_*.py"))


def run_here(names: list[str]) -> Outcome:
    """Run the tests of modules, classes or methods in this process."""
    suite = unittest.TestLoader().loadTestsFromNames(names)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    broken = [test for test, _ in result.failures + result.errors]
    broken += result.unexpectedSuccesses
    # A test with several failing subtests counts as one failed test.
    failed = {getattr(test, "test_case", test).id() for test in broken}
    return Outcome(result.testsRun, tuple(sorted(failed)), len(result.skipped))


def run_modules(names: list[str]) -> Outcome:
    """Run modules, and print the output of each when it ends."""
    processors = len(os.sched_getaffinity(0))
    jobs = max(1, int(processors * _MODULES_PER_PROCESSOR))
    together = [name for name in names if name not in _APART]
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        outcomes = list(pool.map(_run_module, together))
    outcomes += [_run_module(name) for name in names if name in _APART]
    return sum(outcomes, Outcome(0, (), 0))


def _run_module(name: str) -> Outcome:
    """Run one module in a process; one that ends without a report has failed."""
    began_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        done = subprocess.run(
            [sys.executable, "-m", "tests.module_runner", name, str(report)],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        lasted_s = time.monotonic() - began_s
        print(f"{name}: {lasted_s:.1f} s\n{done.stdout}", flush=True)
        if done.returncode != 0 or not report.exists():
            return Outcome(1, (name,), 0)
        fields = json.loads(report.read_text())
        return Outcome(fields["run"], tuple(fields["failed"]), fields["skipped"])


def main() -> None:
    """Run the module that is named, and write its outcome to a file."""
    name, report = sys.argv[1:]
    outcome = run_here([name])
    pathlib.Path(report).write_text(json.dumps(asdict(outcome)))


if __name__ == "__main__":
    main()
