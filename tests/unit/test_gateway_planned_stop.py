"""Which requests can be done before a node stops; virtual time, no network."""

import unittest

from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.answer_times import MAX_TIMES, AnswerTimes
from rattanwick.internal.gateway.model import CallKind
from rattanwick.internal.gateway.planned_stop import PlannedStop
from tests.gateway_case import make_route


class AnswerTimesTests(unittest.TestCase):
    """Guard against an estimate that is far from what requests take now."""

    def setUp(self):
        self.times = AnswerTimes()

    def note(self, *seconds: float, route: str = "safe") -> None:
        """Record requests that took these times."""
        for number, duration in enumerate(seconds):
            self.times.start(route, number, 0.0)
            self.times.end(route, number, duration, counts=True)

    def test_the_default_stands_for_a_route_without_times(self):
        self.note(1.0, route="other")
        self.assertEqual(self.times.longest("safe", 0.0, 7.0), 7.0)

    # Guards against a request that counts as quick because it has just begun.
    def test_a_request_in_progress_does_not_lower_the_default(self):
        self.times.start("safe", 1, 0.0)
        self.assertEqual(self.times.longest("safe", 0.1, 7.0), 7.0)
        self.assertEqual(self.times.longest("safe", 8.0, 7.0), 8.0)

    # Guards against streams that are taken and cut because most others are short.
    def test_the_longest_decides(self):
        self.note(*[0.1] * 40, 3.0, *[0.1] * 40)
        self.assertEqual(self.times.longest("safe", 0.0, 7.0), 3.0)

    def test_old_times_are_forgotten(self):
        self.note(*[9.0] * MAX_TIMES, *[0.1] * MAX_TIMES)
        self.assertEqual(self.times.longest("safe", 0.0, 7.0), 0.1)

    # Guards against requests that are taken because no answer has told yet that the
    # endpoints have become slow.
    def test_requests_in_progress_count_once_they_take_longer(self):
        self.note(*[0.1] * 10)
        for number in range(100, 110):
            self.times.start("safe", number, 50.0)
        self.assertEqual(self.times.longest("safe", 50.01, 7.0), 0.1)
        self.assertAlmostEqual(self.times.longest("safe", 54.0, 7.0), 4.0)

    # Guards against refusals, or callers that left, that are taken for quick answers.
    def test_requests_without_an_answer_do_not_count(self):
        self.note(2.0)
        for number in range(100, 150):
            self.times.start("safe", number, 0.0)
            self.times.end("safe", number, 0.001, counts=False)
        self.assertEqual(self.times.longest("safe", 0.0, 7.0), 2.0)


class PlannedStopTests(unittest.TestCase):
    """Guard against requests taken in vain, and against needless refusals."""

    def setUp(self):
        self.timers = ManualTimerService()
        self.stop = PlannedStop(self.timers)
        self.now = self.timers.now()
        self.route = make_route("/safe/", timeout=8.0, objective=0.5)

    def test_without_a_stop_every_request_is_taken(self):
        self.assertTrue(self.stop.can_finish(self.route, self.now + 1000.0))
        self.assertIsNone(self.stop.time_left())

    def test_a_deadline_before_the_end_is_enough(self):
        self.stop.begin(self.now + 2.0)
        self.note_times(5.0)
        self.assertTrue(self.stop.can_finish(self.route, self.now + 2.0))
        self.assertFalse(self.stop.can_finish(self.route, self.now + 2.1))

    def test_the_time_of_such_requests_decides_if_the_deadline_is_later(self):
        self.note_times(1.0)
        self.stop.begin(self.now + 1.5)
        self.assertTrue(self.stop.can_finish(self.route, self.now + 8.0))
        self.timers.advance(0.6)
        self.assertFalse(self.stop.can_finish(self.route, self.now + 8.0))

    def test_the_objective_counts_while_no_answer_is_known(self):
        self.stop.begin(self.now + 0.6)
        self.assertTrue(self.stop.can_finish(self.route, self.now + 8.0))
        self.timers.advance(0.2)
        self.assertFalse(self.stop.can_finish(self.route, self.now + 8.0))

    # Guards against streams that begin late and can only be broken off.
    def test_a_stream_of_unknown_length_needs_the_time_to_its_deadline(self):
        stream = make_route("/stream/", CallKind.STREAM, "engine", objective=0.5)
        self.stop.begin(self.now + 5.0)
        self.assertFalse(self.stop.can_finish(stream, self.now + 8.0))
        self.assertTrue(self.stop.can_finish(stream, self.now + 4.0))

    def test_after_the_end_nothing_is_taken(self):
        self.note_times(0.0)
        self.stop.begin(self.now + 1.0)
        self.timers.advance(1.5)
        self.assertFalse(self.stop.can_finish(self.route, self.now + 8.0))

    def note_times(self, seconds: float) -> None:
        """Record requests of the route that took this time."""
        times = self.stop.answer_times
        for number in range(20):
            times.start(self.route.name, number, self.now - seconds)
            times.end(self.route.name, number, self.now, counts=True)
