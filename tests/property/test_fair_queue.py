"""Properties of the fair queue, the capacity plan, reclaim choices and cells."""

import unittest

import msgpack
from hypothesis import given, settings, strategies as st

from rattanwick.internal.recording.decisions import NullRecorder
from rattanwick.internal.routing.capacity_plan import (
    CapacityPlanInputs,
    InstanceOffer,
    decide_capacity_plan,
    make_capacity_plan,
    replay_capacity_plan,
    slots_after_loss,
)
from rattanwick.internal.routing.cells import group_cells
from rattanwick.internal.routing.messages import PlacementRequest
from rattanwick.internal.routing.queues import FairQueue, QueuedRequest
from rattanwick.internal.routing.reclaim import (
    LeavingEndpoint,
    ReclaimAction,
    StreamState,
    choose_stream_actions,
)
from rattanwick.internal.routing.work_estimates import QuantileHistogram, WorkEstimate
from tests.unit.routing_support import make_endpoints

MAX_FLOOD_WAIT_RATIO = 2.0  # wait of a plan during a flood over that without one
DATA_CENTRES = ("gye-norte", "gye-sur", "duran")


def make_queued(ticket, plan, work=0.1, short=True):
    """Return a waiting request."""
    request = PlacementRequest(
        "c", ticket, ticket, "org", plan, "chat", 1, 1, 5, 60.0, "gye"
    )
    estimate = WorkEstimate(work, work, work, 0.0)
    return QueuedRequest(request, "node", estimate, short, 0.0, 60.0)


def drain(queue):
    """Remove all requests in the order of their turns; return their tickets."""
    order = []
    while len(queue):
        item, _ = min(queue.heads(), key=lambda head: (head[1], head[0].order))
        queue.remove(item.request.ticket)
        queue.charge(item)
        order.append(item.request.ticket)
    return order


class FairQueueTests(unittest.TestCase):
    @given(st.integers(1, 20), st.integers(0, 200))
    @settings(max_examples=50, deadline=None, derandomize=True)
    def test_a_flood_at_most_doubles_the_wait_of_another_plan(self, quiet, flood):
        # Guards against turns in the order of arrival, with which a plan with many
        # requests delays all others.
        queue = FairQueue()
        for number in range(flood):
            queue.add(make_queued(f"flood-{number}", "flood"))
        for number in range(quiet):
            queue.add(make_queued(f"quiet-{number}", "quiet"))
        order = drain(queue)
        for number in range(quiet):
            position_without_flood = number + 1
            position = order.index(f"quiet-{number}") + 1
            self.assertLessEqual(
                position, MAX_FLOOD_WAIT_RATIO * position_without_flood + 1
            )

    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 3), st.floats(0.01, 9))))
    @settings(max_examples=50, deadline=None, derandomize=True)
    def test_every_request_is_removed_once_and_no_work_is_left(self, requests):
        # Guards against lost requests, and a sum of waiting work that does not return
        # to zero.
        queue = FairQueue()
        for number, (short, plan, work) in enumerate(requests):
            queue.add(make_queued(str(number), f"plan-{plan}", work, short))
        order = drain(queue)
        self.assertEqual(sorted(order, key=int), [str(n) for n in range(len(requests))])
        self.assertEqual(queue.work_ahead(False, "plan-0"), 0.0)

    def test_long_work_is_a_head_however_many_plans_have_short_work(self):
        # Guards against long work that the placement decision never sees, because
        # short work uses up the limit of heads.
        queue = FairQueue()
        for number in range(40):
            queue.add(make_queued(f"short-{number}", f"plan-{number}"))
        queue.add(make_queued("long", "plan-0", 9.0, short=False))
        self.assertIn("long", [item.request.ticket for item, _ in queue.heads()])


class CapacityPlanTests(unittest.TestCase):
    offers = st.builds(
        InstanceOffer,
        st.sampled_from(DATA_CENTRES),
        st.sampled_from(["small", "large"]),
        st.booleans(),
        st.floats(0.1, 9.0),
        st.sampled_from([4, 8]),
        st.integers(0, 3),
        st.integers(0, 20),
        st.one_of(st.none(), st.floats(0, 900)),
    )

    @given(st.integers(1, 80), st.lists(offers, min_size=1, max_size=8))
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_a_plan_holds_if_any_data_centre_is_lost(self, needed, offers):
        # Guards against a plan that counts on more instances than the cloud provides.
        inputs = CapacityPlanInputs(needed, offers)
        plan = make_capacity_plan(inputs)
        kept = slots_after_loss(inputs, plan.counts)
        self.assertEqual(plan.holds, kept >= needed)
        for offer, count in zip(offers, plan.counts, strict=True):
            self.assertLessEqual(count, offer.limit)

    def test_replaces_instances_whose_start_was_refused(self):
        # Guards against a plan that counts on an instance which the cloud refused.
        cheap = InstanceOffer("duran", "spot", True, 1.0, 8)
        others = [InstanceOffer(name, "od", False, 3.0, 8) for name in DATA_CENTRES]
        self.assertGreater(
            make_capacity_plan(CapacityPlanInputs(16, [cheap, *others])).counts[0], 0
        )
        cheap.refused_seconds_ago = 10.0
        plan = make_capacity_plan(CapacityPlanInputs(16, [cheap, *others]))
        self.assertEqual(plan.counts[0], 0)
        self.assertTrue(plan.holds)

    def test_a_recorded_plan_replays_to_the_same_counts(self):
        # Guards against inputs that the plan reads but does not record.
        inputs = CapacityPlanInputs(
            8, [InstanceOffer(name, "od", False, 3.0, 8) for name in "abc"]
        )
        plan = decide_capacity_plan(inputs, NullRecorder())
        recorded = msgpack.unpackb(msgpack.packb(inputs.to_message()))
        self.assertEqual(replay_capacity_plan(recorded), (plan.counts, plan.reason))


class ReclaimTests(unittest.TestCase):
    def choose(self, streams, seconds, can_export=True):
        endpoint = LeavingEndpoint("a", seconds, 0.03, can_export, streams)
        return {
            item.request_id: item.action for item in choose_stream_actions(endpoint)
        }

    def test_finishes_exports_or_resumes_by_time_and_tokens(self):
        # Guards against an export of a few tokens that are cheap to recompute, and
        # against one from an endpoint that cannot export.
        streams = [
            StreamState("ends", 100, 50, 100.0),
            StreamState("large", 4000, 900, 5000.0),
            StreamState("small", 20, 5, 5000.0),
        ]
        chosen = self.choose(streams, 10.0)
        self.assertEqual(chosen["ends"], ReclaimAction.FINISH)
        self.assertEqual(chosen["large"], ReclaimAction.EXPORT)
        self.assertEqual(chosen["small"], ReclaimAction.RESUME)
        self.assertEqual(
            self.choose(streams, 10.0, False)["large"], ReclaimAction.RESUME
        )

    @given(st.lists(st.integers(1, 60_000), max_size=12), st.floats(0, 30))
    @settings(max_examples=50, deadline=None, derandomize=True)
    def test_exports_fit_into_the_notice(self, prompts, seconds):
        # Guards against exports that share the link and do not end before the reclaim.
        streams = [
            StreamState(str(number), prompt, 10, 1e6)
            for number, prompt in enumerate(prompts)
        ]
        chosen = self.choose(streams, seconds)
        tokens = [
            item.prompt_tokens + item.output_tokens
            for item in streams
            if chosen[item.request_id] == ReclaimAction.EXPORT
        ]
        spent = sum(0.05 + count / 20_000 for count in tokens)
        self.assertLessEqual(spent, seconds)


class CellAndHistogramTests(unittest.TestCase):
    @given(st.integers(1, 60), st.integers(1, 12))
    @settings(max_examples=40, deadline=None, derandomize=True)
    def test_cells_are_limited_and_hold_all_endpoints(self, count, limit):
        # Guards against a cell that is too large for one owner, and lost endpoints.
        endpoints = make_endpoints(count)
        cells = group_cells(endpoints, limit)
        sizes = [len(cell.endpoints) for cell in cells]
        self.assertLessEqual(max(sizes), limit)
        self.assertEqual(sum(sizes), count)

    @given(st.lists(st.floats(0.001, 1000), min_size=1, max_size=200))
    @settings(max_examples=40, deadline=None, derandomize=True)
    def test_quantiles_are_exact_to_a_bucket(self, values):
        # Guards against estimates that are wrong by a bucket or more.
        histogram = QuantileHistogram(0.001)
        for value in values:
            histogram.add(value)
        largest = histogram.quantile(1.0)
        self.assertLess(abs(largest / max(max(values), 0.001) - 1), 0.2)


if __name__ == "__main__":
    unittest.main()
