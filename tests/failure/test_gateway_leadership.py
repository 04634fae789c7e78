"""Leadership, and the usage reports and orders of the leader, under failure."""

import unittest
from dataclasses import replace

from fakes.gateway_rows import MemoryRowStore
from fakes.gateway_settings import make_settings
from rattanwick.internal.base.errors import Conflict, TimedOut
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.autoscaler import Autoscaler
from rattanwick.internal.gateway.endpoint_directory import RETURN_SECONDS
from rattanwick.internal.gateway.interfaces import Cloud, EndpointOrder
from rattanwick.internal.gateway.leader_row import FENCES_PER_ERA
from rattanwick.internal.gateway.leadership import Leadership
from rattanwick.internal.gateway.members import Member
from rattanwick.internal.gateway.model import ResponseHead
from rattanwick.internal.gateway.usage_reports import UsageReports
from tests.gateway_case import (
    SCALING,
    make_configuration,
    make_route,
    make_state,
    make_view,
)


class MemoryCloud(Cloud):
    """Cloud in memory that checks fences; each call raises ``fault`` if it is set."""

    def __init__(self):
        self.fence = 0
        self.reports: list[tuple[int, dict[str, int]]] = []
        self.orders: list[tuple[int, EndpointOrder]] = []
        self.fault: Exception | None = None
        self.reclaimable_unavailable = False

    def report_usage(self, holder, fence, window, counts):
        """Record a report."""
        self._check(fence)
        self.reports.append((window, dict(counts)))

    def order(self, holder, fence, order):
        """Record an order."""
        self._check(fence)
        if order.reclaimable and self.reclaimable_unavailable:
            raise Conflict("order endpoints", "cloud", "no capacity")
        self.orders.append((fence, order))

    def _check(self, fence: int) -> None:
        if self.fault is not None:
            raise self.fault
        if fence < self.fence:
            raise Conflict("call", "cloud", "a higher fence was seen")
        self.fence = fence


def no_tokens(service: str) -> int:
    """Return 0: the node has no peers that count prompt tokens."""
    return 0


class Node:
    """The components of a node that concern leadership."""

    def __init__(self, node_id: str, store: MemoryRowStore, cloud: Cloud, timers):
        self.state = make_state(timers, make_settings(node_id))
        self.state.configuration = make_configuration(make_route())
        self.leadership = Leadership(self.state, store, boot=1)
        self.usage = UsageReports(self.state, store, cloud, self.leadership)
        self.autoscaler = Autoscaler(
            self.state, cloud, self.leadership, lambda service: 0
        )

    def update_from_peer(self, other: "Node") -> None:
        """Update this node's members from another node's state."""
        now = self.state.timers.now()
        node_id = other.state.settings.node_id
        self.state.members.put(
            Member(node_id, 1, ("x", 1), "x:1", "a", now, now, fence=other.state.fence)
        )


class LeadershipCase(unittest.TestCase):
    """Test case with two nodes that share a store and a cloud."""

    def setUp(self):
        self.timers = ManualTimerService()
        self.store, self.cloud = MemoryRowStore(), MemoryCloud()
        self.first, self.second = (
            Node(name, self.store, self.cloud, self.timers) for name in ("n1", "n2")
        )
        self.timers.advance(1.0)

    def acquire(self, node: Node) -> None:
        """Make a node the leader."""
        node.leadership.step()
        self.timers.advance(1.0)
        node.leadership.step()
        self.assertTrue(node.leadership.is_leader)

    def acquire_now(self, node: Node) -> None:
        """Make a node the leader before the other one has received its new state."""
        node.leadership._no_leader_since = -100.0
        node.leadership.step()
        self.assertTrue(node.leadership.is_leader)

    def exchange_states(self) -> None:
        """Let both nodes receive each other's state."""
        self.first.update_from_peer(self.second)
        self.second.update_from_peer(self.first)


class LeadershipTests(LeadershipCase):
    """Guard against two leaders that act, and against a fence that is used twice."""

    def test_only_one_node_becomes_the_leader(self):
        self.acquire(self.first)
        self.exchange_states()
        self.second.leadership.step()
        self.assertFalse(self.second.leadership.is_leader)

    def test_a_silent_leader_is_replaced_after_its_lease(self):
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

    def test_a_replaced_leader_does_not_act(self):
        self.acquire(self.first)
        for _ in range(3):
            self.second.leadership.step()
            self.timers.advance(3.5)
        self.assertTrue(self.second.leadership.is_leader)
        self.first.leadership._confirmed_at = -100.0  # as after a suspension
        self.assertIsNone(self.first.leadership.confirm())
        self.assertFalse(self.first.leadership.is_leader)

    def test_a_leader_reads_its_lease_after_a_confirmation_without_an_answer(self):
        self.acquire(self.first)
        self.first.leadership._confirmed_at = -100.0
        self.store.lose_answers = 1
        self.assertIsNone(self.first.leadership.confirm())
        self.assertTrue(self.first.leadership.is_leader)
        self.assertIsNotNone(self.first.leadership.confirm())

    def test_a_leader_that_is_stopped_while_it_confirms_ends_without_an_error(self):
        """Guard against leadership that is kept, or an error, after its release.

        A stop releases leadership while a confirmation waits for the store.
        """
        for answer_lost in (False, True):
            with self.subTest(answer_lost=answer_lost):
                self.setUp()
                self.acquire(self.first)
                leadership = self.first.leadership
                leadership._confirmed_at = -100.0
                self.store.lose_answers = int(answer_lost)
                name = "read" if answer_lost else "write"
                call = getattr(self.store, name)

                def release_and_call(
                    *args, call=call, name=name, leadership=leadership
                ):
                    setattr(self.store, name, call)
                    result = call(*args)
                    self.first.state.leaving = True
                    leadership.step()
                    return result

                setattr(self.store, name, release_and_call)
                self.assertIsNone(leadership.confirm())
                self.assertFalse(leadership.is_leader)
                self.assertEqual(self.first.state.fence, 0)

    def test_an_unconfirmed_leader_is_replaced_before_its_lease_ends(self):
        self.acquire(self.first)
        self.first.leadership._confirmed_at = -100.0
        self.store.down = True
        self.first.leadership.confirm()
        self.timers.advance(1.1)
        self.first.leadership.confirm()
        self.assertFalse(self.first.leadership.is_leader)
        self.store.down = False
        # The lease has not ended, but the former leader reports that it is not leader.
        for _ in range(3):
            self.exchange_states()
            self.first.leadership.step()
            self.second.leadership.step()
            self.timers.advance(0.7)
        self.assertFalse(self.first.leadership.is_leader)
        self.assertTrue(self.second.leadership.is_leader)

    def test_a_new_leader_is_not_mistaken_for_one_that_stepped_down(self):
        # The state that the new leader sent before its election does not show that it
        # has stepped down.
        self.exchange_states()
        self.timers.advance(0.7)
        self.second.leadership.step()
        self.timers.advance(0.7)
        self.exchange_states()
        self.acquire_now(self.first)
        self.second.leadership.step()
        self.assertFalse(self.second.leadership.is_leader)

    def test_a_leaving_leader_releases_leadership(self):
        self.acquire(self.first)
        self.first.state.leaving = True
        self.first.leadership.step()
        self.assertFalse(self.first.leadership.is_leader)
        self.acquire(self.second)

    def test_no_node_becomes_the_leader_while_the_store_is_down(self):
        self.store.down = True
        self.first.leadership.step()
        self.timers.advance(1.0)
        self.first.leadership.step()
        self.assertFalse(self.first.leadership.is_leader)


class UsageReportTests(LeadershipCase):
    """Guard against two reports of one window with different counts."""

    def begin_window(self) -> int:
        """Let three requests begin; return their window after it has ended."""
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

    def test_the_next_leader_repeats_the_same_counts(self):
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

    def test_a_leader_reads_the_counts_after_a_write_without_an_answer(self):
        self.acquire(self.first)
        window = self.begin_window()
        self.first.leadership.confirm()
        self.store.lose_answers = 1
        self.first.usage.step()
        self.first.usage.step()
        self.assertEqual(self.reported(window), [{"org": 1}])


class OrderTests(LeadershipCase):
    """Guard against orders that take effect late or under an old fence."""

    def setUp(self):
        super().setUp()
        self.acquire(self.first)
        for number in range(9):
            view = make_view(f"i-{number}", data_centre="abc"[number % 3])
            self.first.state.endpoints._views[f"i-{number}"] = view

    def test_only_the_leader_orders(self):
        self.second.autoscaler.step()
        self.assertEqual(self.cloud.orders, [])
        self.first.autoscaler.step()
        self.assertGreater(len(self.cloud.orders), 0)

    def test_a_satisfied_order_is_not_repeated(self):
        self.first.autoscaler.step()
        count = len(self.cloud.orders)
        self.timers.advance(0.5)
        self.first.autoscaler.step()
        self.assertEqual(len(self.cloud.orders), count)

    def test_the_fence_is_advanced_after_an_order_without_an_answer(self):
        self.cloud.fault = TimedOut("order endpoints", "cloud", "no answer")
        self.first.autoscaler.step()
        before = self.first.leadership.confirm()
        self.cloud.fault = None
        self.first.autoscaler.step()
        self.assertGreater(self.cloud.orders[0][0], before)

    def test_an_endpoint_that_crashed_is_not_replaced_while_it_starts_again(self):
        """Guard against orders for each endpoint that a request crashes."""
        directory, autoscaler = self.first.state.endpoints, self.first.autoscaler
        before = autoscaler._count_live("engine")
        directory.note_crash("i-0")
        directory._remove("i-0", self.timers.now(), may_have_lapsed=False)
        self.assertCountEqual(autoscaler._count_live("engine"), before)
        view = make_view("i-new", data_centre="a")
        directory._views["i-new"] = view
        directory._end_return(view.endpoint)
        self.assertCountEqual(autoscaler._count_live("engine"), before)

    def test_an_endpoint_that_does_not_come_back_is_replaced(self):
        directory, autoscaler = self.first.state.endpoints, self.first.autoscaler
        directory.note_crash("i-0")
        directory._remove("i-0", self.timers.now(), may_have_lapsed=False)
        self.timers.advance(RETURN_SECONDS + 0.1)
        live = sum(count.live for count in autoscaler._count_live("engine"))
        self.assertEqual(live, 8)

    def test_a_restarted_leader_orders_no_fewer_endpoints_than_are_serving(self):
        """A restarted leader knows no load yet and must not scale down for that."""
        settings = replace(self.first.state.settings, first_start=False)
        self.first.state.settings = settings
        for number in range(9, 18):
            view = make_view(f"i-{number}", data_centre="abc"[number % 3])
            self.first.state.endpoints._views[f"i-{number}"] = view
        for _ in range(8):
            self.first.autoscaler.step()
            self.timers.advance(0.5)
        full = {
            o.data_centre: o.count for _, o in self.cloud.orders if not o.reclaimable
        }
        self.assertTrue(all(count >= 6 for count in full.values()), full)

    def latest_orders(self) -> dict[tuple[str, bool], int]:
        """Run the autoscaler for some seconds; return counts by data centre and class.

        The load is low. Time passes, so that lower orders are made too.
        """
        tokens = self.first.state.prompt_tokens
        for _ in range(20):
            tokens["engine"] = tokens.get("engine", 0) + 500
            self.first.autoscaler.step()
            self.timers.advance(0.5)
        return {
            (order.data_centre, order.reclaimable): order.count
            for _, order in self.cloud.orders
        }

    def test_endpoints_are_ordered_for_those_that_limit_their_requests(self):
        """Guard against engines at their limits that count as free capacity.

        Replacements are ordered while the limit lasts, and given up after it.
        """
        limits = self.first.state.endpoint_limits
        before = self.latest_orders()
        for number in range(0, 9, 3):
            view = self.first.state.endpoints.get(f"i-{number}")
            head = ResponseHead(200, [], "c", True, False, None, None, 0.1)
            limits.note_response(view, head)
        with self.assertLogs("rattanwick.orders", "INFO") as logs:
            during = self.latest_orders()
        self.assertEqual(logs.records[-1].unusable, 3)
        self.assertGreater(sum(during.values()), sum(before.values()))
        for name in "abc":
            total = during[name, False] + during[name, True]
            self.assertLessEqual(total, SCALING.max_endpoints)
        for number in range(0, 9, 3):
            view = self.first.state.endpoints.get(f"i-{number}")
            head = ResponseHead(200, [], "c", True, False, None, None, None)
            limits.note_response(view, head)
        self.assertEqual(self.latest_orders(), before)

    def test_a_limit_above_what_an_engine_serves_orders_nothing(self):
        limits = self.first.state.endpoint_limits
        before = self.latest_orders()
        for view in self.first.state.endpoints.all():
            head = ResponseHead(200, [], "c", True, False, None, None, 1000.0)
            limits.note_response(view, head)
        self.assertEqual(self.latest_orders(), before)

    def test_a_lack_of_reclaimable_endpoints_does_not_end_leadership(self):
        self.cloud.reclaimable_unavailable = True
        self.first.autoscaler.step()
        self.assertTrue(self.first.leadership.is_leader)

    def test_an_order_under_an_old_fence_ends_leadership(self):
        self.cloud.fence = 99 * FENCES_PER_ERA
        self.first.autoscaler.step()
        self.assertFalse(self.first.leadership.is_leader)
