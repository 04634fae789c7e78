"""A short run of the soak test, and a run of every seed that has failed once.

They guard against nodes that lose, repeat or mix up requests under random faults in
sequence and at the same time. The nodes run as processes.
"""

import sys
import tempfile
import unittest

from fakes.processes import module_environment, run_command
from soak.regressions import PLANNED_REGRESSIONS, REGRESSIONS
from soak.run import SoakSize, run_soak

SEED = 20261204
PLANNED_SEED = 1
SECONDS = 5.0
JOBS = 3
MAX_KNOWN_SEEDS_SECONDS = 600.0  # of all known seeds together


class SoakTests(unittest.TestCase):
    def test_a_short_run_with_a_fixed_seed(self):
        report = run_soak(SEED, SoakSize(seconds=SECONDS))
        self.assertEqual(report.failures, [], report.faults)
        self.assertGreater(report.answers[200], 0)

    def test_a_short_run_of_planned_work(self):
        """Guard against stops that end requests which were read without a response."""
        size = SoakSize(seconds=SECONDS, planned_only=True)
        report = run_soak(PLANNED_SEED, size)
        self.assertEqual(report.failures, [], report.faults)
        self.assertGreater(report.answers[200], 0)

    def test_seeds_that_failed_once(self):
        self.run_seeds(REGRESSIONS, "--seeds=known")

    def test_seeds_of_planned_work_that_failed_once(self):
        self.run_seeds(PLANNED_REGRESSIONS, "--seeds=known-planned", "--planned-only")

    def run_seeds(self, seeds: dict[int, str], *options: str) -> None:
        """Run seeds in subprocesses and check that all of them pass."""
        command = [sys.executable, "-m", "soak", f"--jobs={JOBS}", *options]
        env = module_environment()
        with tempfile.TemporaryDirectory() as name:
            result = run_command(
                [*command, f"--logs={name}"], env, MAX_KNOWN_SEEDS_SECONDS
            )
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)
        self.assertEqual(result.stdout.count("passed"), len(seeds))
