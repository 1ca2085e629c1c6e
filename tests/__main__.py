"""Run every test module and print one closing line that tools can read."""

import sys
import unittest


def main() -> int:
    """Return 0 when each test passed, else 1."""
    patterns = sys.argv[1:]
    loader = unittest.TestLoader()
    if patterns:
        suite = loader.loadTestsFromNames(patterns)
    else:
        suite = loader.discover("tests", top_level_dir=".")
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    broken = [test for test, _ in result.failures + result.errors]
    broken += result.unexpectedSuccesses
    # A test with several failing parts is one failed test.
    failed = len({getattr(test, "test_case", test) for test in broken})
    passed = max(0, result.testsRun - failed - len(result.skipped))
    print(f"{passed} passed, {failed} failed, {len(result.skipped)} skipped")
    return 0 if result.wasSuccessful() and passed else 1


if __name__ == "__main__":
    raise SystemExit(main())
