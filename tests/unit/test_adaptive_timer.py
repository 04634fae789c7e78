"""The adaptive timer has a short interval only while there is work."""

import unittest

from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.routing.adaptive_timer import AdaptiveTimer


class AdaptiveTimerTests(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimerService()
        self.calls = 0
        self.busy = False
        self.timer = AdaptiveTimer(
            "test", self.timers, self.run_once, lambda: self.busy
        )

    def run_once(self) -> None:
        self.calls += 1

    def test_an_idle_process_wakes_up_once_a_second(self):
        # Guards against needless wake-ups of an idle process: ten a second take 0.3 %
        # of a core.
        self.timers.advance(10.0)
        self.assertEqual(self.calls, 10)

    def test_the_callback_runs_ten_times_a_second_until_the_work_ends(self):
        # Guards against deadlines of waiting requests that are noticed a second
        # late, and against a short interval that goes on after the work ends.
        self.busy = True
        self.timer.wake()
        self.timers.advance(1.05)
        self.assertEqual(self.calls, 10)
        self.busy = False
        self.timers.advance(0.1)
        self.assertEqual(self.calls, 11)
        self.timers.advance(0.5)
        self.assertEqual(self.calls, 11)

    def test_an_error_in_the_callback_does_not_stop_the_timer(self):
        # Guards against deadlines that are no longer checked after one error.
        def fail() -> None:
            self.run_once()
            raise ValueError("fault")

        self.busy = True
        timer = AdaptiveTimer("failing", self.timers, fail, lambda: self.busy)
        timer.wake()
        self.timers.advance(0.55)
        self.assertEqual(self.calls, 5)
