"""Each short scenario as a test; all of them run side by side.

They guard the promises R1 to R7 over real processes: accepted requests that are
lost or answered with wrong text, calls told ``not_run`` that ran, bookings that run
twice, units over a limit, and nodes that return to older lists.
"""

import unittest

from gevent.pool import Pool

from scenarios.language import load_scenario
from scenarios.runner import run_scenario
from scenarios.suite import PARALLEL, SHORT_CASES
from scripts.run_tests import read_known_red

TIMEOUT = 200.0
_pool = Pool(PARALLEL)
_results: dict = {}


class ScenarioTests(unittest.TestCase):
    def check(self, name: str) -> None:
        report = _results[name].get(timeout=TIMEOUT)
        self.assertEqual(report.failures, [])


def test_name(name: str) -> str:
    """Return the name of the test method of a case."""
    return f"test_{name.replace('-', '_')}"


def _add_test(name: str) -> None:
    def method(self):
        self.check(name)

    method.__name__ = test_name(name)
    setattr(ScenarioTests, method.__name__, method)


for _name in SHORT_CASES:
    _add_test(_name)


def setUpModule():  # noqa: N802
    known_red = read_known_red()
    for name, path in SHORT_CASES.items():
        if f"{__name__}.ScenarioTests.{test_name(name)}" not in known_red:
            _results[name] = _pool.spawn(run_scenario, load_scenario(path))


def tearDownModule():  # noqa: N802
    _pool.kill()
