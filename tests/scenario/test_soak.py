"""A short run of the soak test, and a run of every seed that has failed once.

They guard against nodes that lose, repeat or mix up requests under random faults in
sequence and at the same time. The nodes run as processes.
"""

import sys
import tempfile
import unittest

from fakes.processes import module_environment, run_command
from soak.regressions import REGRESSIONS
from soak.run import SoakSize, run_soak

SEED = 20261204
SECONDS = 5.0
JOBS = 3
MAX_KNOWN_SEEDS_SECONDS = 600.0  # of all known seeds together


class SoakTests(unittest.TestCase):
    def test_a_short_run_with_a_fixed_seed(self):
        report = run_soak(SEED, SoakSize(seconds=SECONDS))
        self.assertEqual(report.failures, [], report.faults)
        self.assertGreater(report.answers[200], 0)

    def test_seeds_that_failed_once(self):
        command = [sys.executable, "-m", "soak", "--seeds=known", f"--jobs={JOBS}"]
        env = module_environment()
        with tempfile.TemporaryDirectory() as name:
            result = run_command(
                [*command, f"--logs={name}"], env, MAX_KNOWN_SEEDS_SECONDS
            )
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)
        self.assertEqual(result.stdout.count("passed"), len(REGRESSIONS))
