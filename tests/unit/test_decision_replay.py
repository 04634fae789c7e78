"""Recorded decisions of routers and leases give the same result in a replay."""

import unittest

from fakes.memory import MemoryObjectStore, MemoryTable
from rattanwick.internal.base.settings import RecordingSettings
from rattanwick.internal.recording.decisions import DecisionKind
from rattanwick.internal.recording.recorder import ObjectStoreRecorder
from rattanwick.internal.recording.replay import (
    Replay,
    ReplayedDecision,
    ReplayQuery,
    load_decision_functions,
)
from rattanwick.internal.routing.capacity_plan import (
    CapacityPlanInputs,
    InstanceOffer,
    decide_capacity_plan,
)
from rattanwick.internal.routing.reclaim import (
    LeavingEndpoint,
    StreamState,
    decide_reclaim,
)
from rattanwick.internal.state.leases import Leases
from tests.unit.routing_support import RoutingCluster
from tests.unit.test_recording import NODE


class DecisionReplayTests(unittest.TestCase):
    def setUp(self):
        load_decision_functions()
        self.objects = MemoryObjectStore()
        self.cluster = RoutingCluster(endpoints=4)
        settings = RecordingSettings()
        timers = self.cluster.timers
        self.recorder = ObjectStoreRecorder(self.objects, NODE, timers, settings)

    def replay(self) -> list[ReplayedDecision]:
        self.recorder.flush()
        findings = list(Replay(self.objects, ReplayQuery()).run())
        self.assertTrue(all(isinstance(item, ReplayedDecision) for item in findings))
        return findings

    def assert_no_difference(self, decided: list[ReplayedDecision]) -> None:
        for item in decided:
            self.assertEqual(item.difference, "")
            self.assertFalse(item.record.altered)

    def test_placements_and_refusals_repeat(self):
        # Guards against inputs that a decision reads but its stored record lacks.
        for router in self.cluster.routers.values():
            for component in vars(router).values():
                if getattr(component, "recorder", None) is self.cluster.recorder:
                    component.recorder = self.recorder
        owner, other = self.cluster.owner_id(), self.cluster.non_owner_id()
        for number in range(6):
            node = (owner, other)[number % 2]
            placement = self.cluster.place(node, prompt_tokens=10 + 900 * number)
            self.cluster.release(node, placement)
            self.cluster.advance(0.3)
        now = self.cluster.timers.wall_time()
        refused = self.cluster.start(owner, deadline=now + 0.001)
        self.assertIsNotNone(refused.exception)
        decided = self.replay()
        kinds = [item.record.kind for item in decided]
        self.assertGreaterEqual(kinds.count(DecisionKind.ROUTE), 6)
        self.assertIn(DecisionKind.REFUSE, kinds)
        self.assert_no_difference(decided)

    def test_capacity_plans_and_reclaim_choices_repeat(self):
        # Guards against inputs that a decision reads but its stored record lacks.
        offers = [
            InstanceOffer(f"dc-{index}", "small", True, 1.0, 8) for index in range(3)
        ]
        decide_capacity_plan(CapacityPlanInputs(20, offers), self.recorder)
        streams = [StreamState(f"r{index}", 90, 9, 400.0 * index) for index in range(3)]
        decide_reclaim(LeavingEndpoint("e1", 6.0, 0.02, True, streams), self.recorder)
        decided = self.replay()
        kinds = [item.record.kind for item in decided]
        self.assertEqual(kinds, [DecisionKind.PLAN, DecisionKind.RECLAIM])
        self.assert_no_difference(decided)

    def test_acquired_leases_repeat(self):
        # Guards against a lease that is granted on state that the record lacks.
        table = MemoryTable()
        leases = Leases(table, "node-1.7", recorder=self.recorder)
        leases.release(leases.acquire("orders"))
        leases.acquire("orders")
        decided = self.replay()
        self.assertEqual(len(decided), 2)
        self.assert_no_difference(decided)
