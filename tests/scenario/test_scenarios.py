"""Each short scenario as a test.

They guard the requirements R1 to R7 with nodes as processes. They fail for accepted
requests that are lost or answered with wrong text, calls reported as ``not_run`` that
ran, bookings that run twice, units over a limit, and nodes that return to older lists.

The deployments run one at a time. A process that is started while other greenlets of
this process run can continue their work until it executes its program. It then reads
from shared connections, and the callers here miss the text that it has read.
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
