"""Duties of one node: who holds them, usage reports and orders under failure."""

import unittest
from dataclasses import replace

from fakes.gateway_rows import MemoryRowStore
from fakes.gateway_settings import make_settings
from rattanwick.internal.base.errors import Conflict, TimedOut
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.autoscaler import Autoscaler
from rattanwick.internal.gateway.interfaces import Cloud, EndpointOrder
from rattanwick.internal.gateway.leadership import Leadership
from rattanwick.internal.gateway.members import Member
from rattanwick.internal.gateway.usage_reports import UsageReports
from tests.gateway_case import (
    make_configuration,
    make_route,
    make_state,
    make_view,
)


class MemoryCloud(Cloud):
    """Take calls under a fence; ``fault`` raises instead or after."""

    def __init__(self):
        self.fence = 0
        self.reports: list[tuple[int, dict[str, int]]] = []
        self.orders: list[tuple[int, EndpointOrder]] = []
        self.fault: Exception | None = None
        self.none_to_be_had = False

    def report_usage(self, holder, fence, window, counts):
        """Take a report."""
        self._check(fence)
        self.reports.append((window, dict(counts)))

    def order(self, holder, fence, order):
        """Take an order."""
        self._check(fence)
        if order.reclaimable and self.none_to_be_had:
            raise Conflict("order endpoints", "cloud", "none to be had")
        self.orders.append((fence, order))

    def _check(self, fence: int) -> None:
        if self.fault is not None:
            raise self.fault
        if fence < self.fence:
            raise Conflict("call", "cloud", "a higher fence was seen")
        self.fence = fence


def no_tokens(service: str) -> int:
    """Return what peers read where there are none."""
    return 0


class Node:
    """Hold the parts of a node that concern duties."""

    def __init__(self, node_id: str, store: MemoryRowStore, cloud: Cloud, timers):
        self.state = make_state(timers, make_settings(node_id))
        self.state.configuration = make_configuration(make_route())
        self.leadership = Leadership(self.state, store, boot=1)
        self.usage = UsageReports(self.state, store, cloud, self.leadership)
        self.orders = Autoscaler(self.state, cloud, self.leadership, lambda service: 0)

    def update_from_peer(self, other: "Node") -> None:
        """Take what another node tells of itself."""
        now = self.state.timers.now()
        node_id = other.state.settings.node_id
        self.state.members.put(
            Member(node_id, 1, ("x", 1), "x:1", "a", now, now, fence=other.state.fence)
        )


class DutyCase(unittest.TestCase):
    """Two nodes over one store."""

    def setUp(self):
        self.timers = ManualTimerService()
        self.store, self.cloud = MemoryRowStore(), MemoryCloud()
        self.first, self.second = (
            Node(name, self.store, self.cloud, self.timers) for name in ("n1", "n2")
        )
        self.timers.advance(1.0)

    def acquire(self, node: Node) -> None:
        """Let a node become the holder."""
        node.leadership.step()
        self.timers.advance(1.0)
        node.leadership.step()
        self.assertTrue(node.leadership.is_leader)

    def acquire_now(self, node: Node) -> None:
        """Let a node become the holder while the others do not hear of it."""
        node.leadership._no_holder_since = -100.0
        node.leadership.step()
        self.assertTrue(node.leadership.is_leader)

    def hear_each_other(self) -> None:
        """Exchange what both tell."""
        self.first.update_from_peer(self.second)
        self.second.update_from_peer(self.first)


class LeadershipTests(DutyCase):
    """Guard against two holders and against a fence that is used twice."""

    def test_one_node_holds_the_duties(self):
        self.acquire(self.first)
        self.hear_each_other()
        self.second.leadership.step()
        self.assertFalse(self.second.leadership.is_leader)

    def test_a_silent_holder_is_replaced_after_its_lease(self):
        self.acquire(self.first)
        old = self.first.leadership.confirm()
        self.second.leadership.step()
        self.timers.advance(1.0)
        self.second.leadership.step()
        self.assertFalse(self.second.leadership.is_leader)
        self.timers.advance(3.5)
        self.second.leadership.step()
        self.assertTrue(self.second.leadership.is_leader)
        self.assertGreater(self.second.leadership.confirm(), old)

    def test_a_replaced_holder_does_not_act(self):
        self.acquire(self.first)
        for _ in range(3):
            self.second.leadership.step()
            self.timers.advance(3.5)
        self.assertTrue(self.second.leadership.is_leader)
        self.first.leadership._confirmed = -100.0  # as after a suspension
        self.assertIsNone(self.first.leadership.confirm())
        self.assertFalse(self.first.leadership.is_leader)

    def test_a_confirmation_without_an_answer_is_looked_up(self):
        self.acquire(self.first)
        self.first.leadership._confirmed = -100.0
        self.store.lose_answers = 1
        self.assertIsNone(self.first.leadership.confirm())
        self.assertTrue(self.first.leadership.is_leader)
        self.assertIsNotNone(self.first.leadership.confirm())

    def test_a_holder_that_the_store_turns_away_lets_another_act(self):
        self.acquire(self.first)
        self.first.leadership._confirmed = -100.0
        self.store.down = True
        self.first.leadership.confirm()
        self.timers.advance(1.1)
        self.first.leadership.confirm()
        self.assertFalse(self.first.leadership.is_leader)
        self.store.down = False
        # The lease has not run out, but the former holder says that it holds nothing.
        for _ in range(3):
            self.hear_each_other()
            self.first.leadership.step()
            self.second.leadership.step()
            self.timers.advance(0.7)
        self.assertFalse(self.first.leadership.is_leader)
        self.assertTrue(self.second.leadership.is_leader)

    def test_a_new_holder_is_not_taken_for_one_that_gave_up(self):
        # What the new holder told its peers before it acquired the duties is no
        # sign that it gave them up.
        self.hear_each_other()
        self.timers.advance(0.7)
        self.second.leadership.step()
        self.timers.advance(0.7)
        self.hear_each_other()
        self.acquire_now(self.first)
        self.second.leadership.step()
        self.assertFalse(self.second.leadership.is_leader)

    def test_a_leaving_holder_gives_the_duties_up(self):
        self.acquire(self.first)
        self.first.state.leaving = True
        self.first.leadership.step()
        self.assertFalse(self.first.leadership.is_leader)
        self.acquire(self.second)

    def test_nothing_is_held_while_the_store_is_down(self):
        self.store.down = True
        self.first.leadership.step()
        self.timers.advance(1.0)
        self.first.leadership.step()
        self.assertFalse(self.first.leadership.is_leader)


class UsageReportTests(DutyCase):
    """Guard against two reports of one window with different counts."""

    def begin_window(self) -> int:
        """Let requests begin, and return their window when it has ended."""
        self.first.usage.step()  # earlier windows are reported
        usage, wall = self.first.state.usage, self.timers.wall_time()
        for node in (self.first, self.second):
            node.state.usage.note_began("org", wall)
        self.second.state.usage.note_began("org", wall)
        window = usage.window_of(wall)
        end = (window + 1) * self.first.state.settings.bounds.usage_window
        self.timers.advance(end - wall + 2.5)
        return window

    def reported(self, window: int) -> list[dict[str, int]]:
        """Return the reports of a window."""
        return [counts for number, counts in self.cloud.reports if number == window]

    def test_a_window_is_reported_once_with_all_counts(self):
        self.acquire(self.first)
        window = self.begin_window()
        peer = self.second.state.usage.own()
        self.first.state.usage.update_from_peer(("n2", 1), peer)
        self.first.usage.step()
        self.first.usage.step()
        self.assertEqual(self.reported(window), [{"org": 3}])

    def test_another_holder_repeats_the_same_counts(self):
        self.acquire(self.first)
        window = self.begin_window()
        self.first.usage.step()
        for _ in range(2):
            self.second.leadership.step()
            self.timers.advance(3.1)
        self.assertTrue(self.second.leadership.is_leader)
        self.second.usage.step()
        self.assertEqual(len({str(counts) for counts in self.reported(window)}), 1)

    def test_a_report_without_an_answer_is_repeated_unchanged(self):
        self.acquire(self.first)
        window = self.begin_window()
        self.cloud.fault = TimedOut("report usage", "cloud", "no answer")
        self.first.usage.step()
        self.first.state.usage.update_from_peer(
            ("n2", 1), self.second.state.usage.own()
        )
        self.cloud.fault = None
        self.first.usage.step()
        self.assertEqual(self.reported(window), [{"org": 1}])

    def test_a_record_without_an_answer_is_read_back(self):
        self.acquire(self.first)
        window = self.begin_window()
        self.first.leadership.confirm()
        self.store.lose_answers = 1
        self.first.usage.step()
        self.first.usage.step()
        self.assertEqual(self.reported(window), [{"org": 1}])


class OrderTests(DutyCase):
    """Guard against orders that are carried out late or under an old fence."""

    def setUp(self):
        super().setUp()
        self.acquire(self.first)
        for number in range(9):
            view = make_view(f"i-{number}", data_centre="abc"[number % 3])
            self.first.state.endpoints._views[f"i-{number}"] = view

    def test_the_holder_orders_and_others_do_not(self):
        self.second.orders.step()
        self.assertEqual(self.cloud.orders, [])
        self.first.orders.step()
        self.assertGreater(len(self.cloud.orders), 0)

    def test_a_satisfied_order_is_not_repeated(self):
        self.first.orders.step()
        count = len(self.cloud.orders)
        self.timers.advance(0.5)
        self.first.orders.step()
        self.assertEqual(len(self.cloud.orders), count)

    def test_after_an_order_without_an_answer_the_fence_is_higher(self):
        self.cloud.fault = TimedOut("order endpoints", "cloud", "no answer")
        self.first.orders.step()
        before = self.first.leadership.confirm()
        self.cloud.fault = None
        self.first.orders.step()
        self.assertGreater(self.cloud.orders[0][0], before)

    def test_a_holder_that_restarted_orders_no_fewer_than_serve(self):
        """It knows no load, and had given up half of what served."""
        settings = replace(self.first.state.settings, first_start=False)
        self.first.state.settings = settings
        for number in range(9, 18):
            view = make_view(f"i-{number}", data_centre="abc"[number % 3])
            self.first.state.endpoints._views[f"i-{number}"] = view
        for _ in range(8):
            self.first.orders.step()
            self.timers.advance(0.5)
        full = {
            o.data_centre: o.count for _, o in self.cloud.orders if not o.reclaimable
        }
        self.assertTrue(all(count >= 6 for count in full.values()), full)

    def test_a_market_without_reclaimable_endpoints_is_not_a_lost_fence(self):
        self.cloud.none_to_be_had = True
        self.first.orders.step()
        self.assertTrue(self.first.leadership.is_leader)

    def test_an_order_under_an_old_fence_ends_the_duties(self):
        self.cloud.fence = 99
        self.first.orders.step()
        self.assertFalse(self.first.leadership.is_leader)
