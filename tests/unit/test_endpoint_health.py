"""Slow endpoints are reduced, set aside, tried again and taken back."""

import unittest

from rattanwick.internal.routing.health import (
    CONFIRM_SECONDS,
    HealthState,
    HealthTracker,
    SlownessSample,
)
from tests.unit.routing_support import make_endpoints


class HealthTests(unittest.TestCase):
    def setUp(self):
        self.endpoints = make_endpoints(9, slots=4)
        self.view = HealthTracker("cell", 0.34)
        self.now = 100.0
        self.tickets = 0

    def observe(self, index, ratio, times=3):
        """Observe a ratio at an endpoint in several requests."""
        for _ in range(times):
            self.tickets += 1
            evidence = SlownessSample(f"t{self.tickets}", self.now, ratio)
            self.view.observe(self.endpoints[index].id, evidence, self.now)
        self.view.update(self.endpoints, self.now)
        self.now += CONFIRM_SECONDS * 2
        self.view.update(self.endpoints, self.now)

    def open_slots(self, index):
        """Return the open slots of an idle endpoint."""
        return self.view.open_slots(self.endpoints[index], 0, self.now)

    def test_removal_is_gradual(self):
        self.observe(0, 2.0)
        self.assertEqual(self.open_slots(0), 2)
        self.observe(0, 5.0)
        self.assertEqual(self.open_slots(0), 0)

    def test_one_odd_request_is_no_proof(self):
        # Guards against one straggler that removes a healthy endpoint.
        self.observe(0, 1.0, times=2)
        self.observe(0, 30.0, times=1)
        self.assertEqual(self.open_slots(0), 4)

    def test_a_moment_of_slowness_changes_nothing(self):
        # Guards against a pause of a node that reduces all endpoints at once.
        self.observe(0, 1.0)
        for ratio in (5.0, 1.0):
            for number in range(3):
                evidence = SlownessSample(f"paused-{number}", self.now, ratio)
                self.view.observe(self.endpoints[0].id, evidence, self.now)
            self.view.update(self.endpoints, self.now)
            self.now += CONFIRM_SECONDS / 2
        self.view.update(self.endpoints, self.now + 1.0)
        self.assertEqual(self.open_slots(0), 4)

    def test_at_most_a_third_of_a_pool_is_set_aside(self):
        # Guards against a slow pool that removes all of its endpoints.
        for index in range(9):
            self.observe(index, 5.0)
        self.assertEqual(self.view.count_ejected(), 3)
        usable = [item for item in self.endpoints if self.view.full_slots(item) > 0]
        self.assertEqual(len(usable), 6)

    def test_trials_are_single_and_grow_rarer(self):
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
            self.view.begin_trial(name, f"trial-{trial}")
            self.assertEqual(self.open_slots(0), 0)
            failed = SlownessSample(f"trial-{trial}", self.now, 5.0)
            self.view.observe(name, failed, self.now)
        self.assertEqual(waits, [1.0, 2.0, 4.0, 8.0])

    def test_a_trial_that_is_cancelled_does_not_block_the_next(self):
        self.observe(0, 5.0)
        name = self.endpoints[0].id
        self.now += 1.0
        self.view.begin_trial(name, "trial")
        self.view.abandon_trial(name, "trial", self.now)
        self.now += 1.0
        self.assertEqual(self.open_slots(0), 1)

    def test_recovery_passes_through_half_of_the_slots(self):
        self.observe(0, 5.0)
        name = self.endpoints[0].id
        self.now += 1.0
        self.view.begin_trial(name, "trial")
        self.view.observe(name, SlownessSample("trial", self.now, 1.0), self.now)
        self.assertEqual(self.open_slots(0), 2)
        self.now += 0.5
        self.observe(0, 1.0)
        self.assertEqual(self.open_slots(0), 4)
        self.assertFalse(self.view.is_ejected(name))
        self.assertEqual(HealthState.ACTIVE, "active")


if __name__ == "__main__":
    unittest.main()
