"""Estimates of work, cached prefixes and external load follow the observations."""

import unittest

from rattanwick.internal.model.requests import RequestKind, Usage
from rattanwick.internal.routing.load_reports import LoadReports
from rattanwick.internal.routing.prefix_cache import PrefixCacheTracker
from rattanwick.internal.routing.work_estimates import WorkFeatures, WorkHistory
from rattanwick.internal.routing.workload_mix import WorkloadMix


class WorkHistoryTests(unittest.TestCase):
    def setUp(self):
        self.history = WorkHistory()

    def observe(self, output, first_block=1, organisation="taller", step=0.01):
        """Add a finished stream to the history and return its features."""
        features = WorkFeatures(
            "pool", RequestKind.CHAT, organisation, 1000, first_block
        )
        usage = Usage(100, 0, output, 0, 0.05, step, 1.0, True)
        self.history.observe(features, usage)
        return features

    def test_applications_of_one_organisation_are_told_apart(self):
        # Guards against long summaries that are queued as short requests, because
        # the organisation also asks short questions.
        for _ in range(20):
            questions = self.observe(20, first_block=1)
            summaries = self.observe(800, first_block=2)
        short = self.history.estimate(questions, 100)
        long = self.history.estimate(summaries, 100)
        self.assertLess(short.high_seconds, 0.5)
        self.assertGreater(long.seconds, 5.0)

    def test_an_unknown_application_uses_the_history_of_its_organisation(self):
        # Guards against default estimates for each new prompt of a known organisation.
        for _ in range(10):
            features = self.observe(20)
        features.first_block = 99
        self.assertLess(self.history.estimate(features, 100).seconds, 0.5)

    def test_a_slow_minority_does_not_move_the_rate(self):
        # Guards against a mean that rises with the slow endpoints, so that they no
        # longer look slow.
        for number in range(400):
            self.observe(20, step=0.05 if number % 5 == 0 else 0.01)
        self.assertLess(self.history.rates("pool").step.value, 0.013)


class PrefixCacheTests(unittest.TestCase):
    def test_learns_the_size_of_a_cache_from_misses(self):
        # Guards against requests that are placed at an endpoint because of blocks that
        # it has evicted.
        tracker = PrefixCacheTracker()
        cached: list[int] = []
        misses = expected_hits = 0
        for number in range(4000):
            half = number // 2
            block = half % 4 if number % 2 else 10 + (half * 7) % 20
            expected = tracker.cached_share("a", [block])
            hit = block in cached
            if number > 2000 and expected > 0:
                expected_hits += 1
                misses += not hit
            tracker.add("a", [block])
            tracker.learn("a", expected, 100 if hit else 0)
            cached = [item for item in cached if item != block][-7:] + [block]
        self.assertGreater(expected_hits, 100)
        self.assertLess(misses / expected_hits, 0.2)

    def test_prompt_ends_do_not_evict_shared_blocks(self):
        # Guards against the eviction of a prefix that all prompts share, when each
        # prompt also adds a block of its own.
        tracker = PrefixCacheTracker()
        for number in range(5000):
            tracker.add("a", [1, 2, 10_000 + number])
        self.assertAlmostEqual(tracker.cached_share("a", [1, 2, 3]), 2 / 3)


class LoadReportTests(unittest.TestCase):
    def test_a_late_report_is_compared_with_the_count_of_its_time(self):
        # Guards against placements that are counted twice because a report is late.
        reports = LoadReports()
        reports.record_count("a", 4, 10.0)
        reports.record_count("a", 0, 13.0)
        reports.add("a", 4, 2.0, 13.0)
        self.assertEqual(reports.external_requests("a", 13.0), 0.0)

    def test_external_requests_decay_with_the_age_of_the_report(self):
        # Guards against an endpoint that is avoided because of one old report.
        reports = LoadReports()
        reports.add("a", 4, 0.0, 10.0)
        self.assertEqual(reports.external_requests("a", 10.0), 4.0)
        self.assertEqual(reports.external_requests("a", 12.0), 2.0)


class WorkloadMixTests(unittest.TestCase):
    def test_average_slots_follow_arrivals_and_slot_times(self):
        # Guards against too few slots for work that takes longer than estimated.
        mix = WorkloadMix()
        for number in range(1000):
            mix.add(True, 0.1, 100.0 + number * 0.05)
            mix.add_slot_time(True, 0.1, 0.15)
        short, long = mix.average_slots(150.0)
        self.assertAlmostEqual(short, 3.0, delta=0.3)
        self.assertEqual(long, 0.0)


if __name__ == "__main__":
    unittest.main()
