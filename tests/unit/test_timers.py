"""Timers call subscribers in order and survive a failing callback."""

import unittest

import gevent

from rattanwick.internal.base.timers import GeventTimerService, ManualTimerService


class ManualTimerTests(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimerService()
        self.calls = []

    def test_calls_at_each_period(self):
        self.timers.subscribe("tick", 1.0, lambda: self.calls.append(self.timers.now()))
        self.timers.advance(3.5)
        self.assertEqual(self.calls, [1001.0, 1002.0, 1003.0])

    def test_a_cancelled_subscription_is_not_called(self):
        subscription = self.timers.subscribe("tick", 1.0, lambda: self.calls.append(1))
        subscription.cancel()
        self.timers.advance(5)
        self.assertEqual(self.calls, [])

    def test_a_failing_callback_is_called_again(self):
        def fail():
            self.calls.append(1)
            raise ValueError("fault")

        self.timers.subscribe("tick", 1.0, fail)
        self.timers.advance(2.5)
        self.assertEqual(len(self.calls), 2)


class AlignedTimerTests(unittest.TestCase):
    def test_periods_that_started_apart_share_a_wake_up(self):
        # Guards against one wake-up of the process for each subscription.
        timers = GeventTimerService()
        self.addCleanup(timers.stop)
        calls: dict[str, list[float]] = {"first": [], "second": []}
        timers.subscribe("1", 0.1, lambda: calls["first"].append(timers.now()))
        gevent.sleep(0.03)
        timers.subscribe("2", 0.1, lambda: calls["second"].append(timers.now()))
        gevent.sleep(0.55)
        pairs = list(zip(calls["first"], calls["second"], strict=False))
        self.assertGreaterEqual(len(pairs), 3)
        apart = sorted(abs(first - second) for first, second in pairs)
        self.assertLess(apart[len(apart) // 2], 0.02)
