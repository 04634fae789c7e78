"""Rate limits of organisations that nodes share without a call per request."""

import unittest

from hypothesis import given, settings, strategies as st

from rattanwick.internal.gateway.rate_limits import SharedRateLimiter, cost_of
from tests.gateway_case import make_call, make_organisation

RATE, BURST = 20_000.0, 40_000.0
WINDOW = 8.0  # seconds
COST = 1000.0


def make_nodes(count: int) -> list[SharedRateLimiter]:
    """Return the rate limiters of nodes that know each other."""
    nodes = [SharedRateLimiter(first_start=True) for _ in range(count)]
    for node in nodes:
        node.configure((make_organisation(rate=RATE, burst=BURST),), 0.0)
        node.set_share(count, count, 0.0)
    return nodes


def exchange(nodes: list[SharedRateLimiter], now: float, low: bool = False) -> None:
    """Send every node's spending to all others; with ``low`` only of low buckets."""
    sent = [node.spent_near_limit(now) if low else node.spent(now) for node in nodes]
    for index, node in enumerate(nodes):
        for other, figures in enumerate(sent):
            if other != index:
                node.update_from_peer((f"n{other}", 1), figures, now)


class RollingRestartTests(unittest.TestCase):
    """Guard against bucket levels that fall with each restart of a node.

    40 of 80 nodes restart one after the other while an organisation uses 55 of 100 of
    its rate at three nodes. Those three send their state every 0.8 s, the standby nodes
    every 2.4 s. All nodes had refused the organisation for ten seconds.
    """

    NODES, SERVING, STEP = 80, 3, 0.2
    USED_SHARE = 0.55

    def test_an_organisation_within_its_rate_is_not_refused(self):
        nodes, boots = make_nodes(self.NODES), [0] * self.NODES
        now, number, refused, restarted = 0.0, 0, 0, self.SERVING
        owed = 0.0
        while now < 40.0:
            now, number = now + self.STEP, number + 1
            owed += RATE * self.USED_SHARE * self.STEP
            while owed >= COST:
                owed -= COST
                node = nodes[int(now * 7) % self.SERVING]
                refused += node.admit("org", COST, now) is not None
            if 5.0 < now < 25.0 and number % 2 == 0 and restarted < self.NODES // 2:
                nodes[restarted] = self.restarted_node(nodes, boots, now)
                boots[restarted] = number
                restarted += 1
            self.exchange(nodes, boots, number, now)
        self.assertEqual(refused, 0)
        for node in nodes[: self.SERVING]:
            node.spent(now)
            self.assertGreater(node.level("org"), 0.5 * BURST)

    def restarted_node(self, nodes, boots, now: float) -> SharedRateLimiter:
        """Return the rate limiter of a node that has just restarted.

        It receives states of peers before it has read the limits.
        """
        node = SharedRateLimiter(first_start=False)
        for index, peer in enumerate(nodes):
            node.update_from_peer((f"n{index}", boots[index]), peer.spent(now), now)
        node.configure((make_organisation(rate=RATE, burst=BURST),), now)
        node.set_share(self.NODES, self.NODES, now)
        return node

    def exchange(self, nodes, boots, number: int, now: float) -> None:
        """Send states to peers in turn, those of standby nodes less often."""
        for index, node in enumerate(nodes):
            period = 4 if index < self.SERVING else 12
            if (number + index) % period:
                continue
            figures = node.spent(now)
            for other, peer in enumerate(nodes):
                if other != index:
                    later = boots[index] > boots[other]
                    peer.update_from_peer(
                        (f"n{index}", boots[index]), figures, now, later
                    )


class HotOrganisationTests(unittest.TestCase):
    """Guard against large requests that keep out an organisation's small ones.

    One organisation sends five times its rate through 8 nodes for eight seconds, a
    tenth of it in small requests and the rest in prompts of up to 54,000 tokens. Its
    bucket was overdrawn by more than the rate of a second, so that all its requests
    were refused for as long.
    """

    NODES, RATE, BURST, SLACK = 8, 126_000.0, 126_000.0, 140_000.0
    SMALL, LARGE = 2_000.0, (6_000.0, 12_000.0, 54_000.0)
    STEP = 0.01  # seconds
    # Steps between messages of low and of all buckets.
    LOW_EXCHANGE_EVERY, EXCHANGE_EVERY = 4, 20
    SMALL_EVERY, LARGE_EVERY = 0.0317, 0.0423  # seconds

    def run_load(self, seconds: float) -> tuple[list[bool], list[tuple[float, float]]]:
        """Return whether each small request was admitted, and (time, cost) of all."""
        nodes = [SharedRateLimiter(True, self.SLACK) for _ in range(self.NODES)]
        for node in nodes:
            org = make_organisation(rate=self.RATE, burst=self.BURST)
            node.configure((org,), 0.0)
            node.set_share(self.NODES, self.NODES, 0.0)
        exchange(nodes, 0.0)
        small, spent = [], []
        now, step, next_small, next_large, turn = 0.0, 0, 0.0, 0.0, 0
        while now < seconds:
            step, now = step + 1, now + self.STEP
            while next_small <= now:
                node = nodes[turn * 5 % self.NODES]
                small.append(node.admit("org", self.SMALL, now) is None)
                if small[-1]:
                    spent.append((now, self.SMALL))
                next_small, turn = next_small + self.SMALL_EVERY, turn + 1
            while next_large <= now:
                cost = self.LARGE[turn % len(self.LARGE)]
                if nodes[turn * 3 % self.NODES].admit("org", cost, now) is None:
                    spent.append((now, cost))
                next_large, turn = next_large + self.LARGE_EVERY, turn + 1
            if step % self.EXCHANGE_EVERY == 0:
                exchange(nodes, now)
            elif step % self.LOW_EXCHANGE_EVERY == 0:
                exchange(nodes, now, low=True)
        return small, spent

    def test_small_requests_within_the_limit_are_admitted(self):
        small, _ = self.run_load(8.0)
        self.assertGreaterEqual(sum(small), 0.95 * len(small))

    def test_the_rate_is_used_and_the_allowed_excess_is_not(self):
        _, spent = self.run_load(16.0)
        used = sum(cost for _, cost in spent)
        self.assertGreaterEqual(used, 0.95 * self.RATE * 16.0)
        for start, _ in spent:
            within = sum(cost for at, cost in spent if start <= at < start + WINDOW)
            allowed = (self.RATE * WINDOW + self.BURST) * 1.1 + self.SLACK
            self.assertLessEqual(within, allowed)

    def test_a_large_request_is_admitted_after_its_retry_after(self):
        node = SharedRateLimiter(True, self.SLACK)
        node.configure((make_organisation(rate=self.RATE, burst=self.BURST),), 0.0)
        while (wait := node.admit("org", self.LARGE[-1], 0.0)) is None:
            pass
        self.assertIsNone(node.admit("org", self.LARGE[-1], wait + 0.01))


class SharedLimitTests(unittest.TestCase):
    """Guard against organisations that use their limit once at each node."""

    def test_requests_are_charged_by_their_tokens(self):
        org = make_organisation(rate=RATE, burst=BURST)
        self.assertEqual(cost_of(org, make_call(900, 100)), 1000.0)
        call = make_call()
        call.input_tokens = None
        self.assertEqual(cost_of(org, call), 200.0)

    def test_skewed_load_may_use_the_whole_limit(self):
        nodes = make_nodes(6)
        admitted, now = 0.0, 0.0
        while now < 20.0:
            while nodes[0].admit("org", COST, now) is None:
                admitted += COST
            now += 0.2
            exchange(nodes, now)
        self.assertGreaterEqual(admitted, 0.95 * (RATE * 20.0 + BURST))

    @settings(max_examples=40, deadline=None)
    @given(st.lists(st.integers(0, 5), min_size=60, max_size=200), st.integers(1, 3))
    def test_the_sum_of_all_nodes_stays_within_the_limit(
        self, arrivals, exchange_every
    ):
        # By design, buckets may be overdrawn by one request a node and one exchange.
        nodes = make_nodes(6)
        spent: list[tuple[float, float]] = []
        for step, busy in enumerate(arrivals):
            now = step * 0.1
            for node in (nodes[busy], nodes[(busy + 1) % 6]):
                for _ in range(10):
                    if node.admit("org", COST, now) is None:
                        spent.append((now, COST))
            if step % exchange_every == 0:
                exchange(nodes, now)
        slack = 6 * COST + 2 * 10 * COST * exchange_every
        for start, _ in spent:
            window = sum(c for at, c in spent if start <= at < start + WINDOW)
            self.assertLessEqual(window, (RATE * WINDOW + BURST) * 1.1 + slack)

    def test_a_disconnected_node_spends_only_its_share(self):
        node = SharedRateLimiter(first_start=True)
        node.configure((make_organisation(rate=RATE, burst=BURST),), 0.0)
        node.set_share(1, 6, 0.0)
        while node.admit("org", COST, 0.0) is None:
            pass
        admitted, now = 0.0, 0.0
        while now < 12.0:
            now += 0.1
            while node.admit("org", COST, now) is None:
                admitted += COST
        self.assertLessEqual(admitted, RATE / 6 * 12.0 + COST)

    def test_a_peer_is_charged_once_for_what_it_spent_before(self):
        first, second = make_nodes(2)
        while first.admit("org", COST, 0.0) is None:
            pass
        second.update_from_peer(("n0", 1), first.spent(0.0), 0.0)
        second.update_from_peer(("n0", 1), first.spent(0.0), 0.0)
        self.assertLessEqual(abs(second.level("org") - first.level("org")), 1)

    def test_a_bucket_is_refilled_before_a_peer_is_charged(self):
        # The bucket of a node that gets no request of an organisation must not be
        # overdrawn by the requests of its peers alone.
        first, second = make_nodes(2)
        exchange([first, second], 0.0)
        for step in range(1, 60):
            now = step * 0.5
            first.admit("org", RATE * 0.5, now)
            exchange([first, second], now)
        self.assertGreater(second.level("org"), 0)

    def test_a_peer_state_received_before_the_limit_is_charged_once(self):
        """A restarted node charged all that its peers had spent since their start.

        Other nodes adopted its level as the lowest and refused every request.
        """
        (peer,) = make_nodes(1)
        now = 0.0
        for _ in range(100):
            now += 0.1
            peer.admit("org", COST, now)
        node = SharedRateLimiter(first_start=False)
        node.update_from_peer(("n0", 1), peer.spent(now), now)
        node.configure((make_organisation(rate=RATE, burst=BURST),), now)
        for _ in range(2):
            node.update_from_peer(("n0", 1), peer.spent(now), now)
        self.assertGreater(node.level("org"), 0)
        self.assertLessEqual(node.level("org"), peer.level("org"))

    def test_a_restarted_peer_is_charged_for_all_that_it_spent(self):
        node, peer = make_nodes(2)
        for _ in range(5):
            peer.admit("org", COST, 0.0)
        node.update_from_peer(("n1", 2), peer.spent(0.0), 0.0, started_later=True)
        self.assertEqual(node.level("org"), BURST - 5 * COST)

    def test_a_lower_limit_applies_at_once(self):
        (node,) = make_nodes(1)
        node.configure((make_organisation(rate=100.0, burst=200.0),), 1.0)
        self.assertIsNone(node.admit("org", COST, 1.0))
        wait = node.admit("org", COST, 1.0)
        # 900 must be refilled at 100 a second until half of the burst is reached.
        self.assertAlmostEqual(wait, 9.0, delta=0.1)
        self.assertIsNotNone(node.admit("org", COST, 1.0 + wait - 0.1))
        self.assertIsNone(node.admit("org", COST, 1.0 + wait + 0.01))

    def test_a_restarted_node_does_not_start_with_a_full_burst(self):
        node = SharedRateLimiter(first_start=False)
        node.configure((make_organisation(rate=RATE, burst=BURST),), 0.0)
        self.assertLessEqual(node.level("org"), BURST / 4)
