"""Run each short scenario as a test.

They check the requirements R1 to R7 on real processes, and so guard against accepted
requests that are lost or answered with wrong text, calls reported as ``not_run`` that
ran, bookings that run twice, units over a limit, and nodes that return to older lists.

Only one deployment runs at a time: a process that is started while other tasks of this
one run can continue their work before it executes its program. It then reads from
shared connections, which appeared as missing text.
"""

import unittest

from scenarios.parser import load_scenario
from scenarios.runner import run_scenario
from scenarios.suite import SHORT_CASES


class ScenarioTests(unittest.TestCase):
    def check(self, path) -> None:
        report = run_scenario(load_scenario(path))
        self.assertEqual(report.failures, [])


def _add_test(name: str, path) -> None:
    def method(self):
        self.check(path)

    method.__name__ = f"test_{name.replace('-', '_')}"
    setattr(ScenarioTests, method.__name__, method)


for _name, _path in SHORT_CASES.items():
    _add_test(_name, _path)
