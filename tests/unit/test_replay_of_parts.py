"""Decisions of the routers and leases survive storage and repeat in a replay."""

import unittest

from fakes.memory import MemoryObjects, MemoryTable
from rattanwick.internal.base.settings import RecordingSettings
from rattanwick.internal.recording.decisions import DecisionKind
from rattanwick.internal.recording.recorder import ObjectRecorder
from rattanwick.internal.recording.replay import (
    Decided,
    Query,
    Replay,
    load_decision_functions,
)
from rattanwick.internal.routing.costplan import Offer, PlanInputs, decide_plan
from rattanwick.internal.routing.reclaim import (
    LeavingEndpoint,
    StreamState,
    decide_reclaim,
)
from rattanwick.internal.state.leases import Leases
from tests.unit.routing_support import RoutingCluster
from tests.unit.test_recording import NODE


class ReplayOfPartsTests(unittest.TestCase):
    def setUp(self):
        load_decision_functions()
        self.objects = MemoryObjects()
        self.cluster = RoutingCluster(endpoints=4)
        settings = RecordingSettings()
        timers = self.cluster.timers
        self.recorder = ObjectRecorder(self.objects, NODE, timers, settings)

    def replay(self) -> list[Decided]:
        self.recorder.flush()
        findings = list(Replay(self.objects, Query()).run())
        self.assertTrue(all(isinstance(item, Decided) for item in findings))
        return findings

    def check_repeats(self, decided: list[Decided]) -> None:
        for item in decided:
            self.assertEqual(item.difference, "")
            self.assertFalse(item.record.altered)

    def test_placements_and_refusals_repeat(self):
        for router in self.cluster.routers.values():
            for part in vars(router).values():
                if getattr(part, "recorder", None) is self.cluster.recorder:
                    part.recorder = self.recorder
        owner, other = self.cluster.owner_id(), self.cluster.other_id()
        for number in range(6):
            node = (owner, other)[number % 2]
            placement = self.cluster.place(node, prompt_tokens=10 + 900 * number)
            self.cluster.release(node, placement)
            self.cluster.advance(0.3)
        now = self.cluster.timers.wall()
        refused = self.cluster.start(owner, deadline=now + 0.001)
        self.assertIsNotNone(refused.exception)
        decided = self.replay()
        kinds = [item.record.kind for item in decided]
        self.assertGreaterEqual(kinds.count(DecisionKind.ROUTE), 6)
        self.assertIn(DecisionKind.REFUSE, kinds)
        self.check_repeats(decided)

    def test_plans_and_reclaim_choices_repeat(self):
        offers = [Offer(f"dc-{index}", "small", True, 1.0, 8) for index in range(3)]
        decide_plan(PlanInputs(20, offers), self.recorder)
        streams = [StreamState(f"r{index}", 90, 9, 400.0 * index) for index in range(3)]
        decide_reclaim(LeavingEndpoint("e1", 6.0, 0.02, True, streams), self.recorder)
        decided = self.replay()
        kinds = [item.record.kind for item in decided]
        self.assertEqual(kinds, [DecisionKind.PLAN, DecisionKind.RECLAIM])
        self.check_repeats(decided)

    def test_taken_leases_repeat(self):
        table = MemoryTable()
        leases = Leases(table, "node-1.7", recorder=self.recorder)
        leases.release(leases.acquire("orders"))
        leases.acquire("orders")
        decided = self.replay()
        self.assertEqual(len(decided), 2)
        self.check_repeats(decided)
