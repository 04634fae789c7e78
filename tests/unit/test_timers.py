"""Timers call subscribers in order and survive a failing callback."""

import unittest

from rattanwick.internal.base.timers import ManualTimerService


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
