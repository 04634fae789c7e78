"""Run all tests, pass over the entries of KNOWN-RED.txt, and print a summary."""

# The standard library must be patched before any module imports ssl or threading.
from gevent import monkey

monkey.patch_all()

import re  # noqa: E402
import sys  # noqa: E402
import unittest  # noqa: E402
from pathlib import Path  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_ID = re.compile(r"^test: (\S+)$", re.MULTILINE)


def read_known_red() -> set[str]:
    """Return the ids of tests that are listed as failing."""
    if not KNOWN_RED.exists():
        return set()
    return set(TEST_ID.findall(KNOWN_RED.read_text(encoding="utf-8")))


def iter_tests(suite: unittest.TestSuite):
    """Yield the single tests of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iter_tests(item)
        else:
            yield item


def main() -> int:
    """Run the tests and return the exit status."""
    sys.path[:0] = [str(ROOT), str(ROOT / "src")]
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=ROOT)
    known_red = read_known_red()
    wanted = sys.argv[1:]
    tests = list(iter_tests(suite))
    passed_over = [test for test in tests if test.id() in known_red]
    chosen = [test for test in tests if test.id() not in known_red]
    if wanted:
        chosen = [test for test in chosen if any(word in test.id() for word in wanted)]
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(
        unittest.TestSuite(chosen)
    )
    for test in passed_over:
        print(f"KNOWN-RED.txt, not run: {test.id()}")
    failed = len(result.failures) + len(result.errors)
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped
    print(f"{passed} passed, {failed} failed, {skipped + len(passed_over)} skipped")
    return 0 if failed == 0 and passed > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
