"""Sweeps run often with work and seldom without."""

import unittest

from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.routing.adaptive_timer import AdaptiveTimer


class BusySweepTests(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimerService()
        self.calls = 0
        self.busy = False
        self.sweep = AdaptiveTimer(
            "test", self.timers, self.run_once, lambda: self.busy
        )

    def run_once(self) -> None:
        self.calls += 1

    def test_an_idle_process_wakes_up_once_a_second(self):
        # Guards against wake-ups that cost a third of a percent of a core at rest.
        self.timers.advance(10.0)
        self.assertEqual(self.calls, 10)

    def test_work_is_swept_ten_times_a_second_until_it_ends(self):
        self.busy = True
        self.sweep.wake()
        self.timers.advance(1.05)
        self.assertEqual(self.calls, 10)
        self.busy = False
        self.timers.advance(0.1)
        self.assertEqual(self.calls, 11)
        self.timers.advance(0.5)
        self.assertEqual(self.calls, 11)

    def test_a_failing_sweep_does_not_end_the_sweeps(self):
        # Guards against waiters that never see their deadline after one fault.
        def fail() -> None:
            self.run_once()
            raise ValueError("fault")

        self.busy = True
        sweep = AdaptiveTimer("failing", self.timers, fail, lambda: self.busy)
        sweep.wake()
        self.timers.advance(0.55)
        self.assertEqual(self.calls, 5)
