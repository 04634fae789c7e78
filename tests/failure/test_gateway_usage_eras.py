"""Reports of usage while the store returns with older rows."""

import unittest
from random import Random

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.gateway.usage_reports import REPORT_DELAY_SECONDS
from tests.failure.test_gateway_leadership_eras import EraCase, Node

# More than a window, its delay and the time in which a leader is replaced.
SETTLE_SECONDS = 20.0


class UsageEraCase(EraCase):
    """Test case in which each node would count differently."""

    def setUp(self):
        super().setUp()
        self.random = Random(7)
        self.play_usage(3.0)
        self.first = self.leader()
        self.assertIsNotNone(self.first)

    def play_usage(self, seconds: float) -> None:
        """Let the nodes count requests and report usage for some seconds."""
        end = self.timers.now() + seconds
        while self.timers.now() < end:
            wall = self.timers.wall_time()
            for node in self.live():
                for _ in range(self.random.randrange(1, 4)):
                    node.state.usage.note_began(node.node_id, wall)
                node.usage.step()
            self.play(0.1)

    def window(self) -> int:
        """Return the present window."""
        return self.first.state.usage.window_of(self.timers.wall_time())

    def play_until_reported(self) -> int:
        """Let the nodes report until a new window is; return it."""
        known = set(self.cloud.reports)
        while not set(self.cloud.reports) - known:
            self.play_usage(0.5)
        return max(self.cloud.reports)

    def play_until_due(self, window: int) -> None:
        """Let time pass, without steps, until a window is due."""
        length = self.first.state.settings.bounds.usage_window
        due = (window + 1) * length + REPORT_DELAY_SECONDS + 0.1
        self.timers.advance(due - self.timers.wall_time())

    def check_reports(self) -> None:
        """Check that no window was reported with two different counts."""
        for window, reports in self.cloud.reports.items():
            self.assertEqual([reports[0]] * len(reports), reports, window)


class LostRecordTests(UsageEraCase):
    """Guard against a window that is reported again with other counts.

    The record of its counts is lost when the store returns with older rows.
    """

    def test_a_new_leader_does_not_report_a_window_whose_record_is_lost(self):
        for number in (0, None):
            with self.subTest(number=number):
                self.setUp()
                before = self.store.version.number
                window = self.play_until_reported()
                self.store.restore(before if number is None else number)
                self.silent.add(self.first.node_id)
                self.learn_era()
                self.play_usage(SETTLE_SECONDS)
                self.assertIsNot(self.leader(), self.first)
                self.assertEqual(len(self.cloud.reports[window]), 1)
                self.check_reports()

    def test_the_leader_that_goes_on_reports_what_it_had_recorded(self):
        self.play_until_reported()
        window = max(self.cloud.reports) + 1
        self.play_until_due(window)
        self.first.leadership.confirm()
        report = self.cloud.report_usage
        self.cloud.report_usage = self.fail_report
        self.first.usage.step()
        self.cloud.report_usage = report
        expected = self.first.state.usage.total(window)
        self.store.restore(0)
        self.learn_era()
        self.first.state.usage.note_began("late", self.timers.wall_time() - 7.0)
        self.first.leadership.step()
        self.first.usage.step()
        self.assertEqual(self.cloud.reports[window], [expected])

    def test_a_leader_that_goes_on_reports_windows_due_while_the_store_was_away(self):
        """The store is away for less than the lease, and no window is withheld."""
        window = self.play_until_reported() + 1
        self.play_until_due(window)
        self.first.leadership.confirm()
        self.store.restore(0)
        self.learn_era()
        self.play_usage(1.0)
        self.assertIn(window, self.cloud.reports)

    def test_windows_that_become_due_after_the_return_are_reported(self):
        self.play_until_reported()
        self.store.restore(0)
        self.silent.add(self.first.node_id)
        self.learn_era()
        returned = self.window()
        self.play_usage(SETTLE_SECONDS)
        for window in range(returned, self.window() - 2):
            self.assertIn(window, self.cloud.reports)

    def test_the_next_leader_withholds_what_the_first_one_of_the_era_withheld(self):
        window = self.play_until_reported()
        self.store.restore(0)
        self.silent.add(self.first.node_id)
        self.learn_era()
        self.play_usage(SETTLE_SECONDS / 2)
        self.silent.add(self.leader().node_id)
        self.play_usage(SETTLE_SECONDS)
        self.assertEqual(len(self.cloud.reports[window]), 1)
        self.check_reports()

    def test_a_record_of_an_earlier_era_that_arrives_late_has_no_effect(self):
        self.play_until_reported()
        window = max(self.cloud.reports) + 1
        self.play_until_due(window)
        self.first.leadership.confirm()
        self.first.store.delay_writes = 1
        self.first.usage.step()
        self.store.restore(self.store.version.number)
        self.silent.add(self.first.node_id)
        self.learn_era()
        self.first.store.deliver()
        self.play_usage(SETTLE_SECONDS)
        self.assertNotIn(window, self.cloud.reports)
        self.check_reports()

    def test_counts_of_eras_before_the_previous_one_are_not_believed(self):
        """Another leader may have recorded other counts in an era between."""
        window = self.play_until_reported()
        self.assertIn(window, self.first.usage._recorded)
        self.silent.add(self.first.node_id)
        for _ in range(2):
            self.store.restore(0)
            self.learn_era(*self.nodes[1:])
            self.play_usage(2.0)
        self.silent = {node.node_id for node in self.nodes if node is not self.first}
        self.learn_era(self.first)
        self.play_usage(SETTLE_SECONDS)
        self.assertTrue(self.first.leadership.is_leader)
        self.assertNotIn(window, self.first.usage._recorded)

    def test_on_a_day_without_a_return_all_windows_are_reported(self):
        first = self.window()
        self.play_usage(SETTLE_SECONDS)
        self.silent.add(self.first.node_id)
        self.play_usage(2 * SETTLE_SECONDS)
        for window in range(first, self.window() - 2):
            self.assertIn(window, self.cloud.reports)
        self.check_reports()

    def fail_report(self, *args) -> None:
        """Fail a report, which the cloud has not received."""
        raise StepError("report usage", "cloud", "unavailable")


class RandomUsageTests(UsageEraCase):
    """Guard against two counts of a window over returns at any moment."""

    def test_windows_have_one_count_through_returns_and_lost_leaders(self):
        for seed in range(100):
            with self.subTest(seed=seed):
                self.setUp()
                self.random = Random(seed)
                for _ in range(30):
                    self.disturb()
                    self.play_usage(self.random.choice((0.5, 1.5, 4.0)))
                    self.check_reports()
                self.store.down = False
                for node in self.nodes:
                    node.store.down = False
                self.silent.clear()
                self.learn_era()
                known = set(self.cloud.reports)
                self.play_usage(2 * SETTLE_SECONDS)
                self.assertGreater(len(set(self.cloud.reports) - known), 2)
                self.check_reports()

    def disturb(self) -> None:
        """Apply one random fault, or end one."""
        random, node = self.random, self.random.choice(self.nodes)
        kind = random.randrange(9)
        if kind < 3:
            self.store.restore(random.randint(0, self.store.version.number))
            leaders = [n for n in self.live() if n.leadership.is_leader]
            if random.random() < 0.5 and leaders:
                self.silent = {leaders[0].node_id}
        elif kind == 3:
            self.silent = set() if self.silent else {node.node_id}
        elif kind == 4:
            node.store.down = not node.store.down
        elif kind == 5:
            node.store.delay_writes += 1
        elif kind == 6:
            self.store.lose_answers += 1
        elif kind == 7:
            node.store.deliver()
        else:
            self.restart(node)
        for other in self.nodes:
            if random.random() < 0.6:
                try:
                    self.learn_era(other)
                except StepError:
                    continue

    def restart(self, node: Node) -> None:
        """Replace a node by a new process of it."""
        index = self.nodes.index(node)
        boot = node.boot + 1
        self.nodes[index] = Node(
            node.node_id, self.store, self.cloud, self.timers, boot
        )


if __name__ == "__main__":
    unittest.main()
