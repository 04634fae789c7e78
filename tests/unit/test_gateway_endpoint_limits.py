"""Limits that endpoints name, held by many nodes over a simulated network."""

import random
import unittest

from hypothesis import given, strategies as st

from bench.limits_lab import (
    CASES,
    CONTACT_SECONDS,
    EXCESS_REQUESTS,
    Network,
    allowed,
    make_head,
)
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.endpoint_limits import (
    MIN_RATE,
    PERMIT_SECONDS,
    Access,
    EndpointLimits,
)
from rattanwick.internal.gateway.grantor_choice import SILENT_MEMBER_SECONDS
from rattanwick.internal.gateway.limit_messages import (
    PermitGrant,
    limits_from_fields,
)
from rattanwick.internal.gateway.members import Members
from rattanwick.internal.gateway.permit_bucket import (
    BURST_SECONDS,
    MAX_WAIT_SECONDS,
    MIN_BURST,
    PermitBucket,
)
from tests.gateway_case import make_view

# What a node may spend on control traffic, sent and received.
CONTROL_BYTES_PER_SECOND = 9_000


class SharedLimitTests(unittest.TestCase):
    """Guard against nodes that together send more, or much less, than a limit."""

    def check(self, nodes: int, rate: float, load: float, **options) -> Network:
        """Check a limit and its use under a load above it; return the network."""
        network = Network(nodes, **options)
        network.run(2.0)
        network.rate = rate
        network.load(load)
        network.run(3.0)
        since = network.now
        network.run(20.0)
        self.assertLessEqual(network.busiest(since), allowed(rate))
        self.assertGreaterEqual(network.count(since), 0.8 * rate * 20.0)
        return network

    def test_nodes_hold_a_limit_and_use_it(self):
        for nodes, rate, load in CASES:
            with self.subTest(nodes=nodes, rate=rate):
                self.check(nodes, rate, load)

    def test_a_limit_holds_although_one_in_ten_messages_is_lost(self):
        for nodes in (3, 63):
            with self.subTest(nodes=nodes):
                self.check(nodes, 5.0, 60.0, loss=0.1)

    def test_messages_about_a_limit_stay_within_the_budget_of_a_node(self):
        """Guard against traffic that grows with the number of nodes."""
        network = Network(63)
        network.run(2.0)
        network.rate = 2.0
        network.load(300.0)
        network.run(3.0)
        before = dict(network.bytes)
        network.run(10.0)
        busiest = max(network.bytes[node] - before[node] for node in before)
        self.assertLess(busiest / 10.0, CONTROL_BYTES_PER_SECOND)

    def test_nothing_is_sent_while_no_endpoint_names_a_limit(self):
        network = Network(63)
        network.load(300.0)
        network.run(10.0)
        self.assertEqual(sum(network.bytes.values()), 0)
        self.assertEqual(network.passed_on, 0)

    def test_a_limit_that_has_ended_is_forgotten_by_all_nodes_soon(self):
        for nodes in (3, 63):
            with self.subTest(nodes=nodes):
                network = self.check(nodes, 2.0, 60.0)
                network.rate = None
                network.run(1.5)
                passed_on, since = network.passed_on, network.now
                network.run(5.0)
                self.assertEqual(network.passed_on, passed_on)
                self.assertGreater(network.count(since), 0.8 * 60.0 * 5.0)

    def test_an_endpoint_that_takes_no_requests_is_still_asked_now_and_then(self):
        """Guard against a limit of 0 that no response can ever lift."""
        network = Network(6)
        network.run(2.0)
        network.rate = 0.0
        network.load(40.0)
        network.run(20.0)
        self.assertLessEqual(network.busiest(5.0), EXCESS_REQUESTS)
        self.assertGreater(network.count(5.0), 0.5 * MIN_RATE * 15.0)
        network.rate = None
        network.run(8.0)
        since = network.now
        network.run(5.0)
        self.assertGreater(network.count(since), 0.8 * 40.0 * 5.0)

    def test_a_lower_limit_counts_at_once(self):
        network = self.check(6, 40.0, 200.0)
        network.rate = 2.0
        network.run(3.0)
        since = network.now
        network.run(10.0)
        self.assertLessEqual(network.busiest(since), allowed(2.0))


class FailingPeerTests(unittest.TestCase):
    """Guard against limits that are exceeded, or unused, while nodes come and go."""

    RATE, LOAD = 10.0, 100.0

    def setUp(self):
        self.network = Network(6)
        self.network.run(2.0)
        self.network.rate = self.RATE
        self.network.load(self.LOAD)
        self.network.run(3.0)
        self.since = self.network.now
        node = next(iter(self.network.nodes.values()))
        self.grantor = node.limits._grantors.grantor_of("i-1", self.network.now)

    def check(self, used_share: float = 0.6) -> None:
        """Check that the limit held and that this share of it was used."""
        network = self.network
        self.assertLessEqual(network.busiest(self.since), allowed(self.RATE))
        least = used_share * self.RATE * (network.now - self.since)
        self.assertGreaterEqual(network.count(self.since), least)

    def test_while_the_grantor_is_killed_and_starts_again(self):
        boot = 1
        for _ in range(4):
            boot += 1
            del self.network.nodes[self.grantor]
            self.network.run(1.0)
            self.network.disturb(self.grantor)
            self.network.add(self.grantor, boot)
            self.network.run(5.0)
        self.check()

    def test_while_nodes_freeze_one_after_the_other(self):
        for node in list(self.network.nodes.values()):
            node.frozen_until = self.network.now + 4.0
            self.network.run(6.0)
        self.check()

    def test_while_nodes_are_added(self):
        for number in range(6, 30):
            self.network.add(f"n{number}")
            self.network.run(0.5)
        self.check()

    def test_while_the_grantor_is_cut_off(self):
        """The nodes on both sides of a partition together stay within the limit."""
        self.network.cut = {self.grantor}
        self.network.run(15.0)
        self.network.cut = set()
        self.network.run(5.0)
        self.check()

    def test_all_of_a_limit_is_used_again_after_a_node_was_lost_for_good(self):
        del self.network.nodes[self.grantor]
        self.network.run(SILENT_MEMBER_SECONDS + 2.0)
        since = self.network.now
        self.network.run(10.0)
        self.assertGreater(self.network.count(since), 0.9 * self.RATE * 10.0)
        self.check()

    def test_while_everything_happens_at_random(self):
        for seed in range(8):
            with self.subTest(seed=seed):
                self.setUp()
                self.shake(random.Random(seed))
                self.check(used_share=0.4)

    def shake(self, rng: random.Random) -> None:
        """Kill, start, freeze and cut random nodes for a minute."""
        network, boot = self.network, 1
        for _ in range(60):
            node_id = rng.choice(sorted(network.nodes))
            boot += 1
            match rng.choice(("kill", "freeze", "cut", "heal", "add", "none")):
                case "kill":
                    network.disturb(node_id)
                    del network.nodes[node_id]
                    network.add(node_id, boot)
                case "freeze":
                    node = network.nodes[node_id]
                    seconds = rng.uniform(0.3, 4.0)
                    network.disturb(node_id, seconds)
                    node.frozen_until = network.now + seconds
                case "cut":
                    self.heal()
                    network.cut = {node_id}
                    self.cut_at = network.now
                case "heal":
                    self.heal()
                case "add":
                    node_id = f"n{len(network.nodes)}"
                    network.disturb(node_id)
                    network.add(node_id)
            network.run(rng.uniform(0.2, 1.8))

    def heal(self) -> None:
        """End a cut; the node was excused since its start."""
        network = self.network
        for node_id in network.cut:
            end = network.now + CONTACT_SECONDS
            network.excused.append((node_id, self.cut_at, end))
        network.cut = set()


class PermitTests(unittest.TestCase):
    """Guard against permits that are used late, twice or by the wrong process."""

    def setUp(self):
        self.network = Network(2)
        self.network.run(2.0)
        self.nodes = self.network.nodes
        self.view, self.endpoint = self.network.view, self.network.view.endpoint
        grantor = self.nodes["n0"].limits._grantors.grantor_of("i-1", self.network.now)
        self.requester = next(n for key, n in self.nodes.items() if key != grantor)
        self.grantor = self.nodes[grantor]
        for node in self.nodes.values():
            node.limits.note_response(self.view, make_head(4.0))
        self.network.run(1.0)

    def test_a_permit_is_not_used_after_a_pause(self):
        limits = self.requester.limits
        limits.request_permits(self.endpoint)
        self.network.run(0.1)
        permit = limits.take(self.endpoint)
        self.assertTrue(limits.may_send(self.endpoint, permit))
        self.network.run(PERMIT_SECONDS)
        self.assertFalse(limits.may_send(self.endpoint, permit))

    def test_a_request_placed_before_the_limit_was_known_needs_a_permit(self):
        self.assertFalse(self.requester.limits.may_send(self.endpoint, None))

    def test_a_permit_that_was_not_used_serves_the_next_request(self):
        limits = self.requester.limits
        limits.request_permits(self.endpoint)
        self.network.run(0.1)
        permit = limits.take(self.endpoint)
        self.assertIsNot(limits.access(self.endpoint), Access.OPEN)
        limits.give_back(permit)
        self.assertIs(limits.access(self.endpoint), Access.OPEN)

    def test_a_late_or_repeated_reply_gives_no_permit(self):
        limits = self.requester.limits
        sent = []
        limits.transmit = lambda target, message: sent.append(message)
        limits.request_permits(self.endpoint)
        reply = self.grantor.limits.receive(self.requester.id, sent[0])
        self.assertEqual(reply.grants[0].count, 1)
        self.network.timers.advance(PERMIT_SECONDS)
        limits.receive(self.grantor.id, reply)
        self.assertIsNot(limits.access(self.endpoint), Access.OPEN)
        limits.request_permits(self.endpoint)
        reply = self.grantor.limits.receive(self.requester.id, sent[1])
        limits.receive(self.grantor.id, reply)
        limits.receive(self.grantor.id, reply)
        self.assertIsNotNone(limits.take(self.endpoint))
        self.assertIsNone(limits.take(self.endpoint))

    def test_a_node_that_is_not_the_grantor_grants_nothing(self):
        sent = []
        self.grantor.limits.transmit = lambda target, message: sent.append(message)
        self.grantor.members = None
        self.requester.limits.transmit = lambda target, message: sent.append(message)
        self.requester.limits.request_permits(self.endpoint)
        # The question reaches the node that asked it.
        reply = self.requester.limits.receive("n9", sent[0])
        self.assertEqual(reply.grants[0].count, 0)

    def test_a_grantor_that_wakes_from_a_pause_has_saved_no_permits(self):
        self.network.run(60.0)
        self.grantor.limits.request_permits(self.endpoint)
        taken = 0
        for _ in range(20):
            if self.grantor.limits.access(self.endpoint) is Access.REQUESTABLE:
                self.grantor.limits.request_permits(self.endpoint)
            taken += self.grantor.limits.take(self.endpoint) is not None
        self.assertLessEqual(taken, MIN_BURST)


class PermitBucketTests(unittest.TestCase):
    """Guard against buckets that grant more than their rate and burst."""

    @given(
        st.floats(0.25, 200.0),
        st.lists(
            st.tuples(st.floats(0.0, 3.0), st.integers(0, 8), st.integers(0, 3)),
            max_size=60,
        ),
    )
    def test_no_time_has_more_permits_than_its_tokens(self, rate, asks):
        bucket, now, granted = PermitBucket(0.0), 0.0, []
        for pause, count, node in asks:
            now += pause
            permits, wait = bucket.grant(f"n{node}", count, rate, now)
            self.assertGreaterEqual(permits, 0)
            self.assertTrue(0.0 <= wait <= MAX_WAIT_SECONDS)
            granted.append((now, permits))
        burst = max(MIN_BURST, BURST_SECONDS * rate)
        for index, (start, _) in enumerate(granted):
            total = 0
            for when, permits in granted[index:]:
                total += permits
                self.assertLessEqual(total, (when - start) * rate + burst + 1e-6)


class LimitKnowledgeTests(unittest.TestCase):
    """Guard against limits that stay, vanish or are invented."""

    def setUp(self):
        self.timers = ManualTimerService()
        self.limits = EndpointLimits(
            "n0", Members("n0"), self.timers, clock=self.timers.now
        )
        self.view = make_view("i-1")

    def note(self, rate: float | None, malformed: str = "") -> float | None:
        self.timers.advance(0.1)
        self.limits.note_response(self.view, make_head(rate, malformed))
        return self.limits.rate_of(self.view.endpoint)

    def test_a_malformed_value_neither_sets_nor_lifts_a_limit(self):
        self.assertIsNone(self.note(None, "nan"))
        self.assertEqual(self.note(2.0), 2.0)
        self.assertEqual(self.note(None, "-1"), 2.0)
        self.assertIsNone(self.note(None))

    def test_small_changes_of_a_limit_count_but_are_not_sent_at_once(self):
        """Guard against a broadcast, and a log line, for each response."""
        self.note(10.0)
        self.assertEqual(len(self.limits.take_unsent_updates()), 1)
        for rate in (10.1, 10.2, 10.3):
            self.assertEqual(self.note(rate), rate)
        self.assertEqual(self.limits.take_unsent_updates(), [])
        self.note(12.0)
        self.assertEqual(len(self.limits.take_unsent_updates()), 1)

    def test_an_absurd_wait_of_a_peer_is_cut(self):
        self.note(10.0)
        endpoint = self.view.endpoint
        self.limits._apply_grant(self.limits_reply(endpoint, 1e12), self.timers.now())
        self.timers.advance(MAX_WAIT_SECONDS)
        self.assertIs(self.limits.access(endpoint), Access.REQUESTABLE)

    def limits_reply(self, endpoint, wait: float) -> PermitGrant:
        """Ask for a permit and return a reply without one."""
        limit = self.limits._limits[endpoint.id, endpoint.born_ms]
        limit.request_number, limit.requested_at = 7, self.timers.now()
        return PermitGrant(endpoint.id, endpoint.born_ms, 7, 0, wait)

    def test_older_news_does_not_replace_a_later_response(self):
        key = self.view.endpoint.id, self.view.endpoint.born_ms
        self.note(2.0)
        self.note(None)
        message = limits_from_fields([[[*key, 2.0, 5.0]], [], []])
        self.limits.receive("n1", message)
        self.assertIsNone(self.limits.rate_of(self.view.endpoint))

    def test_a_limit_ends_with_the_process_of_its_endpoint(self):
        self.note(2.0)
        restarted = make_view("i-1")
        object.__setattr__(restarted.endpoint, "born_ms", 99)
        self.assertIsNone(self.limits.rate_of(restarted.endpoint))

    def test_a_limit_that_has_ended_is_dropped_although_responses_go_on(self):
        """Guard against messages about an endpoint that has no limit any more."""
        self.note(2.0)
        for _ in range(400):
            self.note(None)
            self.limits.forget([self.view.endpoint])
        self.assertFalse(self.limits.any_named())

    def test_limits_of_endpoints_that_left_are_dropped(self):
        self.note(2.0)
        self.timers.advance(60.0)
        self.limits.forget([self.view.endpoint])
        self.assertTrue(self.limits.any_named())
        self.limits.forget([])
        self.assertFalse(self.limits.any_named())

    def test_messages_with_strange_values_are_errors(self):
        """Guard against a node that ends, or divides by zero, by a peer's message."""
        for fields in (
            [],
            [[], []],
            [[["i-1", 1, -1.0, 0.0]], [], []],
            [[["i-1", 1, float("nan"), 0.0]], [], []],
            [[["i-1", 1, float("inf"), 0.0]], [], []],
            [[], [["i-1", 1, 1, -5]], []],
            [[], [["i-1", 1, 1, 1.5]], []],
            [[], [], [["i-1", 1, 1, 1, float("nan")]]],
            [[], [], [[b"i-1", 1, 1, 1, 0.0]]],
        ):
            with self.subTest(fields=fields), self.assertRaises(ValueError):
                limits_from_fields(fields)
