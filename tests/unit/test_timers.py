"""Timer services run due callbacks, also after one has failed.

Guards against periodic work that stops for good: because a callback raised once, or
because calls are skipped when the time advances by several periods.
"""

import unittest

import gevent

from rattanwick.internal.base.timers import GeventTimerService, ManualTimerService


class ManualTimerTests(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimerService()
        self.calls = []

    def test_a_callback_runs_at_each_period(self):
        self.timers.subscribe("tick", 1.0, lambda: self.calls.append(self.timers.now()))
        self.timers.advance(3.5)
        self.assertEqual(self.calls, [1001.0, 1002.0, 1003.0])

    def test_a_cancelled_callback_does_not_run(self):
        subscription = self.timers.subscribe("tick", 1.0, lambda: self.calls.append(1))
        subscription.cancel()
        self.timers.advance(5)
        self.assertEqual(self.calls, [])

    def test_a_failing_callback_runs_again_at_its_next_period(self):
        def fail():
            self.calls.append(1)
            raise ValueError("fault")

        self.timers.subscribe("tick", 1.0, fail)
        self.timers.advance(2.5)
        self.assertEqual(len(self.calls), 2)


class AlignedTimerTests(unittest.TestCase):
    def test_equal_periods_subscribed_at_different_times_share_wake_ups(self):
        # Guards against one wake-up of the process for each subscription, which costs
        # more than most callbacks.
        timers = GeventTimerService()
        self.addCleanup(timers.stop)
        calls: dict[str, list[float]] = {"first": [], "second": []}
        timers.subscribe("1", 0.1, lambda: calls["first"].append(timers.now()))
        gevent.sleep(0.03)
        timers.subscribe("2", 0.1, lambda: calls["second"].append(timers.now()))
        gevent.sleep(0.55)
        # The second timer starts a period later if the process is paused for 20 ms
        # between the subscriptions, so calls are paired by time and not by number.
        self.assertGreaterEqual(min(map(len, calls.values())), 3)
        time_differences = sorted(
            min(abs(first - second) for first in calls["first"])
            for second in calls["second"]
        )
        self.assertLess(time_differences[len(time_differences) // 2], 0.02)
