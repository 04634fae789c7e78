"""Run all tests except those listed in KNOWN-RED.txt, and print a summary.

Without arguments the tests are divided over several processes. With words, only the
tests whose ids contain one of them run, in this process.
"""

# The standard library must be patched before any module imports ssl or threading.
from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import os  # noqa: E402
import re  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import unittest  # noqa: E402
from collections.abc import Iterator  # noqa: E402
from pathlib import Path  # noqa: E402

from hypothesis import HealthCheck, given, settings, strategies  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "src")]

from fakes.processes import SpawnedProcess  # noqa: E402

KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_ID = re.compile(r"^test: (\S+)$", re.MULTILINE)
SUMMARY = re.compile(r"^(\d+) passed, (\d+) failed, (\d+) skipped$", re.MULTILINE)
# Tests of real processes mostly wait; each part runs one deployment at a time.
PARTS = 3
MAX_RUN_SECONDS = 1500.0  # allows for a whole run on a busy machine


def read_known_red() -> set[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists as failing."""
    if not KNOWN_RED.exists():
        return set()
    return set(TEST_ID.findall(KNOWN_RED.read_text(encoding="utf-8")))


def iter_tests(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield the tests of a suite and of the suites within it."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iter_tests(item)
        else:
            yield item


def group_of(test: unittest.TestCase) -> str:
    """Return the name of the group of tests that run in the same process.

    The tests of a class form a group. Each scenario is a group of its own, since
    scenarios take most of the time.
    """
    name = test.id()
    return name if ".test_scenarios." in name else name.rpartition(".")[0]


def choose_part(tests: list[unittest.TestCase], part: int) -> list[unittest.TestCase]:
    """Return the tests of one part, which has every PARTS-th group."""
    groups = list(dict.fromkeys(group_of(test) for test in tests))
    kept = set(groups[part::PARTS])
    return [test for test in tests if group_of(test) in kept]


# Hypothesis takes a constant of the modules under test in one of twenty draws.
@settings(max_examples=200, database=None, suppress_health_check=[HealthCheck.too_slow])
@given(strategies.integers())
def draw_constants(_: int) -> None:
    """Draw values until Hypothesis has read the constants of all modules.

    Hypothesis reads them once in a process, during some draw, and attributes the time
    to the strategy of the test that draws. On a busy machine that test then failed the
    health check for slow strategies.
    """


def run_in_process(words: list[str], part: int | None) -> int:
    """Run the tests of a part or with some words in this process; return the status."""
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=ROOT)
    tests = list(iter_tests(suite))
    if part is not None:
        tests = choose_part(tests, part)
    if words:
        tests = [test for test in tests if any(word in test.id() for word in words)]
    known_red = read_known_red()
    known_failing = [test for test in tests if test.id() in known_red]
    chosen = [test for test in tests if test.id() not in known_red]
    draw_constants()
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(
        unittest.TestSuite(chosen)
    )
    for test in known_failing:
        print(f"KNOWN-RED.txt, not run: {test.id()}")
    failed = len(result.failures) + len(result.errors)
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped
    print(f"{passed} passed, {failed} failed, {skipped + len(known_failing)} skipped")
    return 0 if failed == 0 and passed > 0 else 1


def run_parts() -> int:
    """Run all tests in PARTS processes and return the exit status."""
    with tempfile.TemporaryDirectory(prefix="rattanwick-tests-") as folder:
        processes = []
        for part in range(PARTS):
            command = [sys.executable, str(Path(__file__).resolve()), f"--part={part}"]
            output = Path(folder) / f"part-{part}"
            processes.append(SpawnedProcess(command, dict(os.environ), output))
        try:
            statuses = [process.wait(MAX_RUN_SECONDS) for process in processes]
        finally:
            for process in processes:
                process.kill()
        outputs = [process.read_output() for process in processes]
    totals = [0, 0, 0]
    for part, (status, output) in enumerate(zip(statuses, outputs, strict=True)):
        print(f"part {part + 1} of {PARTS}, exit {status}\n{output}")
        found = SUMMARY.search(output)
        counts = found.groups() if found else (0, 0, 0)
        totals = [
            total + int(count) for total, count in zip(totals, counts, strict=True)
        ]
    print("{} passed, {} failed, {} skipped".format(*totals))
    return 0 if all(status == 0 for status in statuses) else 1


def main() -> int:
    """Run the tests and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("words", nargs="*", help="parts of the ids of tests to run")
    parser.add_argument("--part", type=int, choices=range(PARTS))
    args = parser.parse_args()
    if args.words or args.part is not None:
        return run_in_process(args.words, args.part)
    return run_parts()


if __name__ == "__main__":
    sys.exit(main())
