"""Leadership while the store returns with older rows."""

import time
import unittest
from random import Random
from unittest.mock import patch

from fakes.gateway_rows import MemoryRowStore
from fakes.gateway_settings import make_settings
from fakes.gateway_store_client import StoreClient
from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.interfaces import Cloud, EndpointOrder
from rattanwick.internal.gateway.leader_row import FENCES_PER_ERA
from rattanwick.internal.gateway.leadership import (
    CONFIRMATION_LIFETIME_SECONDS,
    ERA_WAIT_SECONDS,
    Leadership,
)
from rattanwick.internal.gateway.members import Member
from rattanwick.internal.gateway.usage_reports import UsageReports
from tests.gateway_case import make_configuration, make_route, make_state

STEP_SECONDS = 0.5
ORDER = EndpointOrder("engine", "a", 1, False)


class LedgerCloud(Cloud):
    """Cloud that accepts calls whatever their fence, and records them."""

    def __init__(self):
        self.calls: list[tuple[str, int]] = []  # holder, fence
        self.reports: dict[int, list[dict[str, int]]] = {}

    def report_usage(self, holder, fence, window, counts):
        """Record a report."""
        self.calls.append((holder, fence))
        self.reports.setdefault(window, []).append(dict(counts))

    def order(self, holder, fence, order):
        """Record an order."""
        self.calls.append((holder, fence))


class Node:
    """Components of a node that concern leadership, with a client of its own."""

    def __init__(self, node_id: str, store, cloud: Cloud, timers, boot: int = 1):
        self.node_id, self.boot, self.cloud = node_id, boot, cloud
        self.store = StoreClient(store)
        self.state = make_state(timers, make_settings(node_id))
        self.state.configuration = make_configuration(make_route())
        self.leadership = Leadership(self.state, self.store, boot)
        self.usage = UsageReports(self.state, self.store, cloud, self.leadership)

    def hear(self, other: "Node") -> None:
        """Receive another node's state."""
        now, fence = self.state.timers.now(), other.state.fence
        self.state.members.put(
            Member(
                other.node_id, other.boot, ("x", 1), "x:1", "a", now, now, fence=fence
            )
        )

    def act(self) -> int | None:
        """Make a call as the leader, if the node is confirmed; return its fence."""
        fence = self.leadership.confirm()
        if fence is not None:
            self.cloud.order(self.node_id, fence, ORDER)
        return fence


class EraCase(unittest.TestCase):
    """Test case with three nodes; CLOCK_BOOTTIME follows the manual timers."""

    def setUp(self):
        self.timers = ManualTimerService()
        clock = patch.object(time, "clock_gettime", lambda _: self.timers.now())
        clock.start()
        self.addCleanup(clock.stop)
        self.store, self.cloud = MemoryRowStore(), LedgerCloud()
        self.nodes = [
            Node(name, self.store, self.cloud, self.timers)
            for name in ("n1", "n2", "n3")
        ]
        self.silent: set[str] = set()  # ids of nodes that are dead or frozen
        self.learn_era()

    def play(self, seconds: float, acts: bool = False) -> None:
        """Let the live nodes step and hear each other for some seconds."""
        end = self.timers.now() + seconds
        while self.timers.now() < end:
            for node in self.live():
                node.leadership.step()
                if acts:
                    node.act()
            for node in self.nodes:
                for other in self.live():
                    if other is not node:
                        node.hear(other)
            self.timers.advance(STEP_SECONDS)

    def live(self) -> list[Node]:
        """Return the nodes that run."""
        return [node for node in self.nodes if node.node_id not in self.silent]

    def leader(self) -> Node | None:
        """Return the only live node that believes that it is the leader."""
        leaders = [node for node in self.live() if node.leadership.is_leader]
        self.assertLessEqual(len(leaders), 1)
        return leaders[0] if leaders else None

    def learn_era(self, *nodes: Node) -> None:
        """Let nodes learn of the store's era, as from a watch of a table."""
        for node in nodes or self.live():
            node.store.read("servers")

    def check_fences(self) -> None:
        """Check that a fence belongs to one node, and that no call has a lower one."""
        holders = {}
        for holder, fence in self.cloud.calls:
            self.assertEqual(holders.setdefault(fence, holder), holder)
        fences = [fence for _, fence in self.cloud.calls]
        self.assertEqual(fences, sorted(fences))


class ReclaimTests(EraCase):
    """Guard against a fence that is used again, or falls, after the store returned."""

    def setUp(self):
        super().setUp()
        self.play(3.0)
        self.first = self.leader()
        self.assertIsNotNone(self.first)

    def test_the_leader_goes_on_with_a_higher_fence(self):
        before = self.first.act()
        self.store.restore(0)
        self.learn_era()
        self.assertGreater(self.first.act(), before)
        self.play(6.0, acts=True)
        self.assertIs(self.leader(), self.first)
        self.check_fences()

    def test_a_leader_drops_its_confirmation_when_it_learns_of_the_return(self):
        self.first.act()
        self.store.restore(0)
        self.learn_era(self.first)
        self.store.down = True
        self.assertIsNone(self.first.act())

    def test_the_fence_rises_if_the_leader_ends_in_the_same_moment(self):
        for number in (0, 1):
            with self.subTest(number=number):
                self.setUp()
                before = self.first.act()
                self.store.restore(number)
                self.silent.add(self.first.node_id)
                self.learn_era()
                self.play(10.0, acts=True)
                self.assertGreater(self.leader().act(), before)
                self.check_fences()

    def test_no_node_acquires_before_confirmations_have_run_out(self):
        self.first.act()
        self.store.restore(0)
        self.silent.add(self.first.node_id)
        self.learn_era()
        returned = self.timers.now()
        while self.leader() is None:
            for node in self.live():
                node.state.members._members.clear()
                node.leadership.step()
            self.timers.advance(0.1)
        waited = self.timers.now() - returned
        self.assertGreater(waited, CONFIRMATION_LIFETIME_SECONDS)
        self.assertLess(waited, ERA_WAIT_SECONDS + 2 * STEP_SECONDS)

    def test_a_leader_that_was_replaced_in_the_new_era_steps_down(self):
        self.first.act()
        self.first.store.down = True
        self.store.restore(0)
        self.learn_era(*self.nodes[1:])
        self.play(4.0, acts=True)
        self.first.store.down = False
        self.learn_era(self.first)
        self.assertIsNone(self.first.act())
        self.play(1.0, acts=True)
        self.assertIsNotNone(self.leader())
        self.check_fences()

    def test_a_leader_that_may_have_been_replaced_does_not_reclaim(self):
        """Guard against a frozen leader that acts while its successor does."""
        self.first.act()
        self.silent.add(self.first.node_id)
        self.play(9.0, acts=True)
        second = self.leader()
        self.assertIsNotNone(second)
        self.store.restore(0)
        self.silent.clear()
        self.learn_era()
        self.assertIsNone(self.first.act())
        self.assertIsNotNone(second.act())
        self.check_fences()

    def test_a_write_of_an_earlier_era_that_arrives_late_has_no_effect(self):
        self.first.act()
        self.timers.advance(1.0)
        copy = self.store.version.number
        self.first.store.delay_writes = 1
        self.assertIsNone(self.first.act())
        self.store.restore(copy)
        self.silent.add(self.first.node_id)
        self.learn_era()
        self.play(4.0, acts=True)
        second = self.leader()
        self.first.store.deliver()
        self.assertIsNotNone(second.act())
        self.play(3.0, acts=True)
        self.assertIs(self.leader(), second)
        self.check_fences()

    def test_a_write_that_is_answered_in_the_new_era_confirms_nothing(self):
        self.first.act()
        self.timers.advance(1.0)
        self.first.store.before_answer = lambda: self.store.restore(0)
        fence = self.first.leadership.confirm()
        self.learn_era()
        if fence is not None:
            # The answer was of the earlier era.
            self.assertLess(fence, 2 * FENCES_PER_ERA)
        self.assertGreater(self.first.act(), 2 * FENCES_PER_ERA)

    def test_a_leader_releases_nothing_in_a_new_era(self):
        self.store.restore(0)
        self.learn_era()
        calls = len(self.store.calls)
        self.first.state.leaving = True
        self.first.leadership.step()
        self.assertFalse(self.first.leadership.is_leader)
        self.assertNotIn("write", self.store.calls[calls:])

    def test_a_peer_that_leads_in_an_earlier_era_does_not_count(self):
        self.store.restore(0)
        self.learn_era(*self.nodes[1:])
        self.first.store.down = True
        self.play(5.0)
        leaders = [node for node in self.nodes[1:] if node.leadership.is_leader]
        self.assertEqual(len(leaders), 1)


class RandomReturnTests(EraCase):
    """Guard against fences that fall, or are shared, over returns at any moment."""

    def test_fences_rise_through_returns_and_lost_leaders(self):
        for seed in range(60):
            with self.subTest(seed=seed):
                self.setUp()
                random = Random(seed)
                self.play(3.0)
                for _ in range(40):
                    self.disturb(random)
                    self.play(random.choice((0.5, 1.0, 2.5)), acts=True)
                    self.check_fences()
                self.store.down = False
                for node in self.nodes:
                    node.store.down = False
                self.silent.clear()
                self.learn_era()
                self.play(12.0, acts=True)
                self.assertIsNotNone(self.leader())
                self.check_fences()

    def disturb(self, random: Random) -> None:
        """Apply one random fault, or end one."""
        node = random.choice(self.nodes)
        kind = random.randrange(8)
        if kind < 2:
            self.store.restore(random.randint(0, self.store.version.number))
            if random.random() < 0.5 and self.leader_or_none():
                self.silent = {self.leader_or_none().node_id}
        elif kind == 2:
            self.silent = set() if self.silent else {node.node_id}
        elif kind == 3:
            node.store.down = not node.store.down
        elif kind == 4:
            node.store.delay_writes += 1
        elif kind == 5:
            self.store.lose_answers += 1
        elif kind == 6:
            node.store.deliver()
        else:
            self.store.down = not self.store.down
        for other in self.nodes:
            if random.random() < 0.6:
                try:
                    self.learn_era(other)
                except StepError:
                    continue

    def leader_or_none(self) -> Node | None:
        """Return a live node that believes that it is the leader."""
        leaders = [node for node in self.live() if node.leadership.is_leader]
        return leaders[0] if leaders else None


if __name__ == "__main__":
    unittest.main()
