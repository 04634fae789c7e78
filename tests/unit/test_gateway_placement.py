"""Placement of requests on engines and plain services under typical load patterns."""

import random
import unittest
from dataclasses import replace

from rattanwick.internal.gateway.endpoint_view import PeerLoad, RecentRate
from rattanwick.internal.gateway.model import CallKind, PromptPart, RouteTarget
from rattanwick.internal.gateway.placement import (
    NotPlaced,
    Placed,
    RefusalReason,
    choose_target,
    place_on_engine,
    place_on_service,
    sample_engines,
    sample_service_endpoints,
)
from rattanwick.internal.gateway.prefill import PrefillModel
from tests.gateway_case import make_call, make_route, make_view

RATE = 30_000.0
SPEED = PrefillModel(RATE, 0.02)
ROUTE = make_route("/engine/", CallKind.STREAM, "engine", objective=0.8)
SHARED = (PromptPart("system", 2500), PromptPart("session", 3800))


def place(call, *views, data_centre="a", waited=0.0, route=ROUTE, now=1.0):
    """Place a request on one of the engines."""
    return place_on_engine(call, route, list(views), data_centre, SPEED, waited, now)


class ServiceHerdTests(unittest.TestCase):
    """Guard against many nodes that all choose the endpoint with the best score.

    24 nodes send 58 calls per second, each of 45 ms, to 3 endpoints of 6 slots. What
    a node knows of the others' calls is up to 0.25 s old.
    """

    NODES, SLOTS, WORK, STALE_SECONDS = 24, 6, 0.045, 0.25
    GAP_SECONDS, SECONDS = 1 / 58, 60.0

    def mean_wait(self, sampled: bool) -> float:
        """Return the mean seconds for which calls waited for a slot."""
        rng = random.Random(7)
        views = [make_view(f"p-{n}", "plain", slots=self.SLOTS) for n in range(3)]
        free = [[0.0] * self.SLOTS for _ in views]  # when each slot is free
        ends: list[list[float]] = [[] for _ in views]
        reported_at, waited, count = 0.0, 0.0, int(self.SECONDS / self.GAP_SECONDS)
        for number in range(count):
            now = number * self.GAP_SECONDS
            if now - reported_at >= self.STALE_SECONDS:
                reported_at = now
                for view, ending in zip(views, ends, strict=True):
                    view.running = sum(end > now for end in ending)
            call = make_call(call_id=f"call-{number}")
            node, candidates = f"n{rng.randrange(self.NODES)}", views
            if sampled:
                candidates = sample_service_endpoints(
                    views, call, node, self.NODES, now
                )
            placed = place_on_service(ROUTE, candidates, "a", now)
            index = views.index(placed.view)
            slot = min(range(self.SLOTS), key=lambda n: free[index][n])
            begin = max(now, free[index][slot])
            waited += begin - now
            free[index][slot] = begin + self.WORK * rng.uniform(0.5, 2.5)
            ends[index].append(free[index][slot])
        return waited / count

    def test_a_random_pair_of_endpoints_spreads_calls(self):
        unsampled, sampled = self.mean_wait(False), self.mean_wait(True)
        self.assertLess(sampled, unsampled / 2)
        self.assertLess(sampled, 0.1 * self.WORK)

    def test_an_ejected_endpoint_is_not_in_the_sample(self):
        views = [make_view(f"p-{n}", "plain") for n in range(4)]
        views[1].ejected_until = 9.0
        for number in range(40):
            call = make_call(call_id=f"call-{number}")
            self.assertNotIn(
                views[1], sample_service_endpoints(views, call, "n1", 24, 1.0)
            )

    def test_few_nodes_choose_among_all_endpoints(self):
        views = [make_view(f"p-{n}", "plain") for n in range(4)]
        self.assertEqual(
            sample_service_endpoints(views, make_call(), "n1", 6, 1.0), views
        )


class EngineHerdTests(unittest.TestCase):
    """Guard against many nodes that all choose the engine with the best score.

    80 nodes place 230 requests a second on 54 engines, and each knows what the others
    had sent up to 0.4 s ago.
    """

    NODES, ENGINES, STALE_SECONDS = 80, 54, 0.4
    GAP_SECONDS = 1 / 230
    SECONDS = 8.0

    def sorted_waits(self, sampled: bool) -> list[float]:
        """Return the sorted seconds for which prompts waited."""
        rng = random.Random(5)
        views = [make_view(f"i-{number}") for number in range(self.ENGINES)]
        backlog = [0.0] * self.ENGINES
        index = {view.endpoint.id: number for number, view in enumerate(views)}
        waits, reported_at = [], 0.0
        for number in range(int(self.SECONDS / self.GAP_SECONDS)):
            now = number * self.GAP_SECONDS
            drained = RATE * self.GAP_SECONDS
            backlog = [max(tokens - drained, 0.0) for tokens in backlog]
            if now - reported_at >= self.STALE_SECONDS:
                reported_at = now
                for view, tokens in zip(views, backlog, strict=True):
                    view.pending_tokens = tokens
            call = make_call(4000, call_id=f"call-{number}")
            node = f"n{rng.randrange(self.NODES)}"
            sample = views
            if sampled:
                sample = sample_engines(views, call, node, self.NODES)
            chosen = index[place(call, *sample, now=now).view.endpoint.id]
            waits.append(backlog[chosen] / RATE)
            backlog[chosen] += 4000
        return sorted(waits)

    def test_a_sample_of_the_engines_spreads_requests(self):
        unsampled, sampled = self.sorted_waits(False), self.sorted_waits(True)
        # The objective of the route with the longest prompts is 0.8 s; it covers the
        # wait and the prefill.
        tail = int(0.95 * len(sampled))
        self.assertLess(sampled[tail] + 4000 / RATE, 0.8)
        self.assertLess(sampled[tail], unsampled[tail] / 2)

    def test_few_nodes_choose_among_all_engines(self):
        views = [make_view(f"i-{number}") for number in range(self.ENGINES)]
        self.assertEqual(sample_engines(views, make_call(), "n1", 6), views)

    def test_an_engine_that_has_cached_the_session_is_in_the_sample(self):
        views = [make_view(f"i-{number}") for number in range(self.ENGINES)]
        views[40].note_cached(SHARED)
        for number in range(50):
            call = make_call(prompt=(*SHARED, PromptPart("own", 10)))
            call = replace(call, id=f"call-{number}")
            self.assertIn(views[40], sample_engines(views, call, "n1", self.NODES))

    def test_the_same_request_has_the_same_sample(self):
        views = [make_view(f"i-{number}") for number in range(self.ENGINES)]
        first, again = (
            sample_engines(views, make_call(), "n1", self.NODES) for _ in range(2)
        )
        self.assertEqual(first, again)


class EngineTests(unittest.TestCase):
    """Guard against requests that queue at an engine known to be busy."""

    def test_the_shorter_queue_is_chosen(self):
        busy, idle = make_view("i-1"), make_view("i-2")
        busy.pending_tokens = 20_000
        self.assertIs(place(make_call(), busy, idle).view, idle)

    def test_recent_loads_of_peers_count(self):
        busy, idle = make_view("i-1"), make_view("i-2")
        busy.peers["n2"] = PeerLoad(20_000, 3, 100, 0.0, last_heard_at=0.9)
        self.assertIs(place(make_call(), busy, idle).view, idle)
        busy.peers["n2"].last_heard_at = -5.0
        self.assertIs(place(make_call(), busy, idle).view, busy)

    def test_an_idle_connection_decides_between_equal_engines(self):
        """Guard against new connections while an equal engine has an idle one.

        With 80 nodes, two of three requests opened a new connection.
        """
        views = [make_view("i-1"), make_view("i-2")]
        placed = place_on_engine(
            make_call(), ROUTE, views, "a", SPEED, 0.0, 1.0, connected={"i-2"}
        )
        self.assertEqual(placed.view.endpoint.id, "i-2")
        views[1].pending_tokens = 2000
        placed = place_on_engine(
            make_call(), ROUTE, views, "a", SPEED, 0.0, 1.0, connected={"i-2"}
        )
        self.assertEqual(placed.view.endpoint.id, "i-1")

    def test_a_session_stays_at_the_engine_that_has_cached_its_prompt(self):
        cached, other = make_view("i-1"), make_view("i-2")
        cached.note_cached(SHARED)
        cached.pending_tokens = 2000
        call = make_call(9000, prompt=(*SHARED, PromptPart("own", 2700)))
        placed = place(call, other, cached)
        self.assertIs(placed.view, cached)
        self.assertEqual(placed.prefill_tokens, 9000 - 6300)

    def test_a_frequent_prompt_does_not_overload_its_engine(self):
        cached, other = make_view("i-1"), make_view("i-2")
        cached.note_cached(SHARED)
        cached.pending_tokens = 60_000
        call = make_call(9000, prompt=(*SHARED, PromptPart("own", 2700)))
        self.assertIs(place(call, cached, other).view, other)

    def test_long_outputs_avoid_engines_with_recent_prefill(self):
        prefilling, other = make_view("i-1"), make_view("i-2", data_centre="b")
        prefilling.prefill.add(40_000, 1.0)
        self.assertIs(place(make_call(600, 280), prefilling, other).view, other)

    def test_long_prompts_avoid_engines_with_long_outputs(self):
        decoding, other = make_view("i-1"), make_view("i-2", data_centre="b")
        decoding.output_tokens = 5000
        self.assertIs(place(make_call(9000, 50), decoding, other).view, other)

    def test_long_outputs_prefer_endpoints_that_are_not_reclaimable(self):
        reclaimable, full_price = make_view("i-1", reclaimable=True), make_view("i-2")
        self.assertIs(
            place(make_call(600, 280), reclaimable, full_price).view, full_price
        )

    def test_leaving_and_full_endpoints_are_not_used(self):
        leaving, full = make_view("i-1", leaving=True), make_view("i-2")
        full.running = 64
        placed = place(make_call(), leaving, full)
        self.assertEqual(placed.reason, RefusalReason.ENDPOINTS_FULL)
        placed = place(make_call(), leaving)
        self.assertEqual(placed.reason, RefusalReason.NO_ENDPOINT)

    def test_a_burst_is_refused_with_retry_after(self):
        busy = make_view("i-1")
        busy.pending_tokens = 60_000
        placed = place(make_call(), busy)
        self.assertIsInstance(placed, NotPlaced)
        self.assertEqual(placed.reason, RefusalReason.TOO_LATE)
        self.assertGreater(placed.retry_after, 0)

    def test_an_idle_engine_serves_a_large_prompt_that_misses_the_objective(self):
        placed = place(make_call(50_000), make_view("i-1"))
        self.assertIsInstance(placed, Placed)

    def test_an_endpoint_that_fails_is_ejected_and_tried_again(self):
        failing, healthy = make_view("i-1"), make_view("i-2", data_centre="b")
        for _ in range(6):
            failing.note_outcome(failed=True, now=1.0)
        self.assertIs(place(make_call(), failing, healthy).view, healthy)
        self.assertIs(place(make_call(), failing, healthy, now=30.0).view, failing)

    def test_the_oldest_parts_are_assumed_to_be_dropped(self):
        view = make_view()
        view.cache_capacity_tokens = 5000
        view.note_cached((PromptPart("one", 3000),))
        view.note_cached((PromptPart("two", 3000),))
        self.assertEqual(view.uncached_tokens((PromptPart("one", 3000),), 3000), 3000)
        self.assertEqual(view.uncached_tokens((PromptPart("two", 3000),), 3000), 0)


class ServiceTests(unittest.TestCase):
    """Guard against calls that queue at one endpoint while another has a free slot."""

    ROUTE = make_route()

    def test_the_endpoint_with_free_slots_is_chosen(self):
        busy, free = (make_view(i, "plain", slots=6) for i in ("i-1", "i-2"))
        busy.running = 6
        placed = place_on_service(self.ROUTE, [busy, free], "a", 1.0)
        self.assertIs(placed.view, free)

    def test_a_call_is_refused_if_all_queues_are_long(self):
        busy = make_view("i-1", "plain", slots=6)
        busy.running = 10
        placed = place_on_service(self.ROUTE, [busy], "a", 1.0)
        self.assertEqual(placed.reason, RefusalReason.ENDPOINTS_FULL)


class TargetWeightAndRateTests(unittest.TestCase):
    """Guard against ignored weights of targets and rates that do not decay."""

    def test_requests_are_split_by_target_weight(self):
        targets = (RouteTarget("x", 90.0), RouteTarget("y", 10.0))
        chosen = [choose_target(targets, f"c-{n}") for n in range(2000)]
        self.assertAlmostEqual(chosen.count("y") / 2000, 0.1, delta=0.03)

    def test_a_recent_rate_decays(self):
        rate = RecentRate()
        rate.add(3000, 0.0)
        self.assertAlmostEqual(rate.per_second(0.0), 1000.0)
        self.assertLess(rate.per_second(9.0), 100.0)
