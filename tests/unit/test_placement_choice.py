"""The placement decision orders the queue and chooses endpoints from a snapshot."""

import unittest

import msgpack

from rattanwick.internal.recording.decisions import DECISION_FUNCTIONS, DecisionKind
from rattanwick.internal.routing.placement_policy import choose_next_placement
from rattanwick.internal.routing.snapshots import (
    CellSnapshot,
    EndpointState,
    PlacementWeights,
    WaitingRequest,
)
from rattanwick.internal.routing.workload_mix import max_long_slots
from tests.unit.routing_support import RoutingCluster


def make_endpoint(name, **fields):
    """Return an idle endpoint with four slots."""
    defaults = {
        "id": name,
        "data_centre": "gye-norte",
        "slots": 4,
        "short_running": 0,
        "long_running": 0,
        "remaining_seconds": 0.0,
        "foreign": 0.0,
        "slowness": 1.0,
        "open_slots": 4,
        "price": 1.0,
    }
    return EndpointState(**{**defaults, **fields})


def make_waiting(ticket, short=True, **fields):
    """Return a waiting request."""
    defaults = {
        "ticket": ticket,
        "short": short,
        "plan": "plan-a",
        "plan_time": 0.0,
        "work": 0.1 if short else 5.0,
        "low_work": 0.1,
        "prefill": 0.05,
        "waited": 0.0,
        "seconds_left": 60.0,
        "data_centre": "gye-norte",
        "excluded": [],
        "cached": [],
    }
    return WaitingRequest(**{**defaults, **fields})


def make_snapshot(endpoints, waiting, **fields):
    """Return a snapshot of a cell."""
    defaults = {"long_limit": 2, "long_wait_seconds": 30.0, "seed": 1}
    weights = PlacementWeights(1.0, 1.0, 1.0)
    return CellSnapshot(
        "cell", endpoints, waiting, weights=weights, **{**defaults, **fields}
    )


class QueueOrderTests(unittest.TestCase):
    def test_short_work_overtakes_long_work(self):
        # Guards against short requests that wait for seconds of long work.
        waiting = [make_waiting("long", False, waited=5.0), make_waiting("short")]
        choice = choose_next_placement(make_snapshot([make_endpoint("a")], waiting))
        self.assertEqual(choice.ticket, "short")

    def test_long_work_leaves_slots_for_short_work(self):
        # Guards against long work that uses all slots, so that short work must wait.
        busy = make_endpoint("a", long_running=2, open_slots=2)
        waiting = [make_waiting("long", False)]
        self.assertIsNone(choose_next_placement(make_snapshot([busy], waiting)))

    def test_long_work_past_the_wait_limit_goes_first(self):
        # Guards against long work that starves while short work keeps arriving.
        busy = make_endpoint("a", long_running=2, open_slots=1)
        waiting = [make_waiting("short"), make_waiting("long", False, waited=31.0)]
        self.assertEqual(
            choose_next_placement(make_snapshot([busy], waiting)).ticket, "long"
        )

    def test_aged_long_work_does_not_take_all_slots(self):
        # Guards against a flood of long work that stops short work of all plans.
        busy = make_endpoint("a", slots=8, long_running=3, open_slots=5)
        waiting = [make_waiting("short"), make_waiting("long", False, waited=31.0)]
        self.assertEqual(
            choose_next_placement(make_snapshot([busy], waiting)).ticket, "short"
        )

    def test_plans_take_turns_by_virtual_time(self):
        # Guards against a flood of one plan that delays the requests of another.
        waiting = [
            make_waiting("flood", plan="a", plan_time=9.0, waited=3.0),
            make_waiting("quiet", plan="b", plan_time=1.0),
        ]
        choice = choose_next_placement(make_snapshot([make_endpoint("a")], waiting))
        self.assertEqual(choice.ticket, "quiet")

    def test_work_that_would_end_after_its_deadline_is_not_started(self):
        # Guards against slots used for answers that no caller waits for any more.
        waiting = [make_waiting("late", seconds_left=0.05), make_waiting("fits")]
        choice = choose_next_placement(make_snapshot([make_endpoint("a")], waiting))
        self.assertEqual(choice.ticket, "fits")


class EndpointChoiceTests(unittest.TestCase):
    def choose(self, endpoints, **fields):
        snapshot = make_snapshot(endpoints, [make_waiting("one", **fields)])
        choice = choose_next_placement(snapshot)
        return choice.endpoint_id if choice else None

    def test_prefers_a_cached_prefix_near_and_cheap_endpoints(self):
        # Guards against a finish time that leaves out the cache, distance or price.
        two = [make_endpoint("a"), make_endpoint("b")]
        self.assertEqual(self.choose(two, cached=[0.0, 0.9]), "b")
        far = [make_endpoint("a", data_centre="duran"), make_endpoint("b")]
        self.assertEqual(self.choose(far), "b")
        expensive = [make_endpoint("a", price=3.0), make_endpoint("b")]
        self.assertEqual(self.choose(expensive), "b")

    def test_prefers_the_faster_endpoint(self):
        # Guards against a slow endpoint that attracts requests because it is idle.
        two = [make_endpoint("a", slowness=2.5), make_endpoint("b", short_running=3)]
        self.assertEqual(self.choose(two), "b")

    def test_only_short_idempotent_work_tries_an_ejected_endpoint(self):
        # Guards against a non-idempotent or long request on a slow endpoint.
        ejected = [make_endpoint("a", aside=True, open_slots=1)]
        self.assertEqual(self.choose(ejected, can_hedge=True), "a")
        self.assertIsNone(self.choose(ejected, can_hedge=True, idempotent=False))
        self.assertIsNone(self.choose(ejected, can_hedge=True, short=False))

    def test_an_overdue_trial_takes_a_request_that_cannot_be_hedged(self):
        # Guards against an endpoint that stays ejected because no request can be
        # hedged.
        ejected = make_endpoint("a", aside=True, open_slots=1)
        self.assertIsNone(self.choose([ejected]))
        ejected.trial_overdue = True
        self.assertEqual(self.choose([ejected]), "a")


class MaxLongSlotsTests(unittest.TestCase):
    def test_the_slots_reserved_for_short_work_follow_the_mix(self):
        # Guards against a fixed reserve that is idle where most work is long.
        mostly_long = max_long_slots(36, 2.0, 20.0)
        mostly_short = max_long_slots(36, 20.0, 2.0)
        self.assertGreater(mostly_long, mostly_short)
        self.assertLess(mostly_long, 36)

    def test_long_work_can_keep_up_if_short_work_leaves_slots(self):
        # Guards against a reserve with which the queue of long work grows without end.
        self.assertGreaterEqual(max_long_slots(36, 10.0, 18.0), 18)

    def test_the_limit_is_between_one_and_the_slots(self):
        # Guards against extreme loads that stop one of the two classes.
        for slots in (1, 2, 4, 36):
            for short in (0.0, 1.0, 50.0):
                for long in (0.0, 1.0, 50.0):
                    limit = max_long_slots(slots, short, long)
                    self.assertTrue(1 <= limit <= max(slots - 1, 1))


class ReplayTests(unittest.TestCase):
    def test_recorded_decisions_replay_to_the_same_choice(self):
        # Guards against inputs that a decision reads but does not record.
        cluster = RoutingCluster(nodes=3, endpoints=4, slots=1)
        names = list(cluster.routers)
        held = [(name, cluster.place(name)) for name in names]
        waiting = [cluster.start(name) for name in names]
        for name, placement in held:
            cluster.release(name, placement)
        self.assertTrue(all(task.ready() for task in waiting))
        cluster.settings.policy = "least-in-flight"
        cluster.place(names[0])
        cluster.routers[names[0]].may_retry(cluster.request())
        cluster.routers[names[0]].hedge_delay(cluster.request(hedge=True))
        kinds = {decision.kind for decision in cluster.recorder.decisions}
        expected = {DecisionKind.ROUTE, DecisionKind.RETRY, DecisionKind.HEDGE}
        self.assertEqual(kinds, expected)
        for decision in cluster.recorder.decisions:
            inputs = msgpack.unpackb(msgpack.packb(decision.inputs))
            choice, reason = DECISION_FUNCTIONS[decision.kind](inputs)
            self.assertEqual((choice, reason), (decision.choice, decision.reason))


if __name__ == "__main__":
    unittest.main()
