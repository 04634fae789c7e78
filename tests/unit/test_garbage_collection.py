"""Tuning of the garbage collector in a serving process."""

import gc
import sys
import unittest

from fakes.processes import module_environment, run_command

PROGRAM = """
import gc, json
gc.disable()
import rattanwick.internal.gateway.node
from rattanwick.internal.base.garbage_collection import (
    YOUNG_OBJECTS,
    tune_garbage_collector,
)
gc.collect()
before = len(gc.get_objects())
tune_garbage_collector()
assert gc.isenabled()
assert gc.get_threshold()[0] == YOUNG_OBJECTS
print(json.dumps([before, gc.get_freeze_count(), len(gc.get_objects())]))
"""
TIMEOUT_SECONDS = 20.0


class CollectorTests(unittest.TestCase):
    """Guard against full collections of all modules' objects while requests wait.

    Such a collection delayed each of 80 nodes by 40 ms, so that a refusal took 60 ms.
    """

    def test_objects_created_at_startup_are_not_collected_again(self):
        # In a separate process, so that the collector of the test run is not changed.
        command = [sys.executable, "-c", PROGRAM]
        completed = run_command(command, module_environment(), TIMEOUT_SECONDS)
        self.assertEqual(completed.returncode, 0, completed.stdout + completed.stderr)
        before, frozen, remaining = map(int, completed.stdout.strip("[]\n ").split(","))
        self.assertGreater(frozen, 0.9 * before)
        self.assertLess(remaining, 0.1 * before)
        self.assertEqual(gc.get_freeze_count(), 0)


if __name__ == "__main__":
    unittest.main()
