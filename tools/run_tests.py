"""Runs the unittest suites of all packages and prints a summary line.

Tests that KNOWN-RED.txt lists as failing are not run but printed, so that known faults stay
visible without hiding new failures.
"""

import argparse
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_PATH = ROOT / "KNOWN-RED.txt"


def read_known_failures(path):
    """Returns the ids of the tests that the file lists as known failures."""
    ids = set()
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.startswith("test:"):
            ids.add(line.partition(":")[2].strip())
    return ids


def flatten(suite):
    """Yields the test cases of a nested suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from flatten(item)
        else:
            yield item


def collect(pattern, packages):
    """Returns the tests of the packages, each discovered from its own test directory.

    Args:
        pattern: Glob pattern of the names of test modules.
        packages: Names of the folders that contain the test directories; empty for all. The name
            ``platform`` selects both ``packages/platform`` and ``platform``.
    """
    tests = []
    for directory in sorted([*ROOT.glob("packages/*/tests"), *ROOT.glob("platform/tests")]):
        if packages and directory.parent.name not in packages:
            continue
        loader = unittest.TestLoader()
        tests.extend(flatten(loader.discover(str(directory), pattern=pattern)))
    return tests


def main():
    """Runs the tests and returns the exit code.

    The exit code is 1 if a test failed, if no test ran, or if a run of all tests does not find a
    test that KNOWN-RED.txt lists.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--pattern", default="test_*.py")
    parser.add_argument("--package", action="append", default=[])
    options = parser.parse_args()
    known_failures = read_known_failures(KNOWN_FAILURES_PATH)
    tests = collect(options.pattern, options.package)
    skipped_ids = sorted(test.id() for test in tests if test.id() in known_failures)
    suite = unittest.TestSuite(test for test in tests if test.id() not in known_failures)
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    for test_id in skipped_ids:
        print(f"known failure, not run: {test_id}")
    missing = sorted(known_failures - set(skipped_ids))
    if not options.package and options.pattern == "test_*.py":
        for test_id in missing:
            print(f"KNOWN-RED.txt names a test that does not exist: {test_id}")
    else:
        missing = []
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    skipped = len(result.skipped) + len(skipped_ids)
    # Each failed subtest counts as a failure, so there may be more failures than tests.
    passed = max(0, result.testsRun - failed - len(result.skipped))
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or missing or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
