"""Slow endpoints are reduced, ejected, tried again and restored."""

import unittest

from rattanwick.internal.routing.health import (
    MIN_SLOW_SECONDS,
    HealthState,
    HealthTracker,
    SlownessSample,
)
from tests.unit.routing_support import make_endpoints


class HealthTests(unittest.TestCase):
    def setUp(self):
        self.endpoints = make_endpoints(9, slots=4)
        self.tracker = HealthTracker("cell", 0.34)
        self.now = 100.0
        self.tickets = 0

    def observe(self, index, ratio, times=3):
        """Observe a ratio of slowness in several requests at an endpoint."""
        for _ in range(times):
            self.tickets += 1
            sample = SlownessSample(f"t{self.tickets}", self.now, ratio)
            self.tracker.observe(self.endpoints[index].id, sample, self.now)
        self.tracker.update(self.endpoints, self.now)
        self.now += MIN_SLOW_SECONDS * 2
        self.tracker.update(self.endpoints, self.now)

    def open_slots(self, index):
        """Return the open slots of an idle endpoint."""
        return self.tracker.open_slots(self.endpoints[index], 0, self.now)

    def test_an_endpoint_is_reduced_before_it_is_ejected(self):
        # Guards against the loss of all slots of an endpoint that is a little slow.
        self.observe(0, 2.0)
        self.assertEqual(self.open_slots(0), 2)
        self.observe(0, 5.0)
        self.assertEqual(self.open_slots(0), 0)

    def test_one_outlier_does_not_reduce_an_endpoint(self):
        # Guards against one slow request that takes slots from a healthy endpoint.
        self.observe(0, 1.0, times=2)
        self.observe(0, 30.0, times=1)
        self.assertEqual(self.open_slots(0), 4)

    def test_a_short_slow_phase_changes_nothing(self):
        # Guards against a pause of a node, in which all its streams look slow, that
        # reduces all endpoints at once.
        self.observe(0, 1.0)
        for ratio in (5.0, 1.0):
            for number in range(3):
                sample = SlownessSample(f"paused-{number}", self.now, ratio)
                self.tracker.observe(self.endpoints[0].id, sample, self.now)
            self.tracker.update(self.endpoints, self.now)
            self.now += MIN_SLOW_SECONDS / 2
        self.tracker.update(self.endpoints, self.now + 1.0)
        self.assertEqual(self.open_slots(0), 4)

    def test_at_most_a_third_of_a_pool_is_ejected(self):
        # Guards against a pool whose endpoints are all slow and are all ejected.
        for index in range(9):
            self.observe(index, 5.0)
        self.assertEqual(self.tracker.count_ejected(), 3)
        usable = [
            item for item in self.endpoints if self.tracker.allowed_slots(item) > 0
        ]
        self.assertEqual(len(usable), 6)

    def test_trials_run_one_at_a_time_with_doubled_delays(self):
        # Guards against a slow endpoint that gets requests at a steady rate.
        self.observe(0, 5.0)
        name = self.endpoints[0].id
        waits = []
        for trial in range(4):
            waited = 0.0
            while self.open_slots(0) == 0:
                self.now += 0.25
                waited += 0.25
            waits.append(waited)
            self.assertEqual(self.open_slots(0), 1)
            self.tracker.begin_trial(name, f"trial-{trial}")
            self.assertEqual(self.open_slots(0), 0)
            failed = SlownessSample(f"trial-{trial}", self.now, 5.0)
            self.tracker.observe(name, failed, self.now)
        self.assertEqual(waits, [1.0, 2.0, 4.0, 8.0])

    def test_a_cancelled_trial_does_not_block_the_next(self):
        # Guards against an ejected endpoint that waits for a sample which never comes.
        self.observe(0, 5.0)
        name = self.endpoints[0].id
        self.now += 1.0
        self.tracker.begin_trial(name, "trial")
        self.tracker.abandon_trial(name, "trial", self.now)
        self.now += 1.0
        self.assertEqual(self.open_slots(0), 1)

    def test_an_endpoint_is_restored_to_half_of_its_slots_first(self):
        # Guards against full load on an endpoint after one fast trial.
        self.observe(0, 5.0)
        name = self.endpoints[0].id
        self.now += 1.0
        self.tracker.begin_trial(name, "trial")
        self.tracker.observe(name, SlownessSample("trial", self.now, 1.0), self.now)
        self.assertEqual(self.open_slots(0), 2)
        self.now += 0.5
        self.observe(0, 1.0)
        self.assertEqual(self.open_slots(0), 4)
        self.assertFalse(self.tracker.is_ejected(name))
        self.assertEqual(HealthState.ACTIVE, "active")


if __name__ == "__main__":
    unittest.main()
