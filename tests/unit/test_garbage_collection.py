"""Garbage collection of a process that serves requests."""

import gc
import sys
import unittest

from fakes.processes import module_environment, run_command

PROGRAM = """
import gc, json
gc.disable()
import rattanwick.internal.gateway.node
from rattanwick.internal.base.garbage_collection import (
    GENERATION_0_THRESHOLD,
    tune_garbage_collector,
)
gc.collect()
before = len(gc.get_objects())
tune_garbage_collector()
assert gc.isenabled()
assert gc.get_threshold()[0] == GENERATION_0_THRESHOLD
print(json.dumps([before, gc.get_freeze_count(), len(gc.get_objects())]))
"""
TIMEOUT_SECONDS = 20.0


class CollectorTests(unittest.TestCase):
    """Guards against full collections that scan all modules and pause all requests.

    With 80 nodes, each collection paused its node for 40 ms, so a refusal took 60 ms.
    """

    def test_objects_made_during_the_start_are_excluded(self):
        # In another process, so that the collector of the test run stays unchanged.
        command = [sys.executable, "-c", PROGRAM]
        done = run_command(command, module_environment(), TIMEOUT_SECONDS)
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        before, frozen, left = map(int, done.stdout.strip("[]\n ").split(","))
        self.assertGreater(frozen, 0.9 * before)
        self.assertLess(left, 0.1 * before)
        self.assertEqual(gc.get_freeze_count(), 0)


if __name__ == "__main__":
    unittest.main()
