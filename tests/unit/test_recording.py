"""Recordings are bounded, report their gaps, replay, and show changed records."""

import unittest
import zlib
from unittest import mock

import msgpack

from fakes.memory import MemoryObjectStore
from rattanwick.internal.base.settings import RecordingSettings
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.model.instances import Node
from rattanwick.internal.recording.decisions import (
    DECISION_FUNCTIONS,
    Decision,
    DecisionKind,
    decision_function,
)
from rattanwick.internal.recording.recorder import ObjectStoreRecorder
from rattanwick.internal.recording.records import RecordBatch
from rattanwick.internal.recording.replay import (
    CorruptRecords,
    MissingRecords,
    Replay,
    ReplayedDecision,
    ReplayQuery,
    load_decision_functions,
)

NODE = Node("node-1", "dc-1", "region", "127.0.0.1", 1, 2, 3, incarnation=7)


def decide(inputs: dict) -> tuple[object, str]:
    return (min(inputs["loads"]), 1), "least"


def decision(loads=(3, 1), request_id="req_1", **more) -> Decision:
    inputs = {"loads": list(loads)} | more
    return Decision(DecisionKind.ROUTE, inputs, *decide(inputs), request_id)


class RegistrationTests(unittest.TestCase):
    """Guards against a kind whose replay depends on the order of imports."""

    def test_every_kind_has_one_decision_function(self):
        load_decision_functions()
        self.assertEqual(set(DECISION_FUNCTIONS), set(DecisionKind))
        with self.assertRaisesRegex(ValueError, "decide_order; add another kind"):
            decision_function(DecisionKind.ORDER)(decide)


class RecordingTests(unittest.TestCase):
    def setUp(self):
        self.objects = MemoryObjectStore()
        self.timers = ManualTimerService()
        settings = RecordingSettings(buffer_bytes=65_536)
        self.recorder = ObjectStoreRecorder(self.objects, NODE, self.timers, settings)
        self.recorder.start()
        functions = mock.patch.dict(DECISION_FUNCTIONS, {DecisionKind.ROUTE: decide})
        functions.start()
        self.addCleanup(functions.stop)

    def findings(self, kind: type, **query) -> list:
        found = Replay(self.objects, ReplayQuery(**query)).run()
        return [item for item in found if isinstance(item, kind)]

    def store(self, *decisions: Decision) -> None:
        for item in decisions:
            self.recorder.record(item)
        self.timers.advance(5)

    def test_a_recorded_decision_repeats(self):
        # Guards against stored inputs that differ from those of the decision.
        self.store(decision(), decision(loads=(9, 8), request_id="req_2"))
        decided = self.findings(ReplayedDecision)
        self.assertEqual([item.difference for item in decided], ["", ""])
        self.assertEqual(
            self.findings(MissingRecords) + self.findings(CorruptRecords), []
        )

    def test_a_decision_that_does_not_repeat_is_reported(self):
        # Guards against a replay that hides a changed decision function.
        self.store(Decision(DecisionKind.ROUTE, {"loads": [3, 1]}, [3, 1], "least"))
        self.assertIn("now (1, 1)", self.findings(ReplayedDecision)[0].difference)

    def test_records_are_selected_by_request_time_and_node(self):
        # Guards against queries that miss records or return those of others.
        self.store(decision())
        later = self.timers.wall_time()
        self.store(decision(request_id="req_2"))
        self.assertEqual(len(self.findings(ReplayedDecision, request_id="req_2")), 1)
        self.assertEqual(len(self.findings(ReplayedDecision, since=later)), 1)
        self.assertEqual(len(self.findings(ReplayedDecision, until=later - 1)), 1)
        self.assertEqual(self.findings(ReplayedDecision, node="node-2"), [])

    def test_memory_stays_bounded_in_an_outage_and_drops_are_reported(self):
        # Guards against a recorder that exhausts memory while the store is down, and
        # against dropped records that no gap mentions.
        self.objects.down = True
        for number in range(3000):
            self.recorder.record(decision(request_id=f"req_{number}"))
            if number % 500 == 0:
                self.timers.advance(5)
            self.assertLessEqual(self.recorder.status()["buffered_bytes"], 65_536)
        self.objects.down = False
        self.timers.advance(5)
        self.store(decision(request_id="req_last"))
        kept = [item.record.sequence for item in self.findings(ReplayedDecision)]
        dropped = self.recorder.status()["dropped"]
        self.assertGreater(dropped, 0)
        self.assertEqual(len(kept) + dropped, 3001)
        self.assertEqual(self.recorder.status()["buffered_bytes"], 0)
        stored_gaps = [
            gap
            for data in self.objects.objects.values()
            for gap in RecordBatch.unpack("", data).gaps
        ]
        missing = sorted(set(range(1, 3002)) - set(kept))
        reported = [n for gap in stored_gaps for n in range(gap.first, gap.last + 1)]
        self.assertEqual(sorted(reported), missing)
        self.assertEqual(sum(gap.kinds["route"] for gap in stored_gaps), dropped)
        self.assertIn("buffer_full", self.findings(MissingRecords)[0].detail)

    def test_inputs_that_cannot_be_packed_do_not_fail_the_caller(self):
        # Guards against a decision that fails because it cannot be recorded.
        self.store(decision(odd=object()), decision())
        self.assertEqual(len(self.findings(ReplayedDecision)), 1)
        self.assertIn("not_packable", self.findings(MissingRecords)[0].detail)

    def test_secrets_and_caller_text_are_never_stored(self):
        # Guards against keys and prompts of callers in the object store.
        secret = "sk-very-secret"
        inputs = {
            "Authorization": f"Bearer {secret}",
            "nested": [{"api-key": secret}, f"Bearer {secret}"],
            "messages": [{"content": secret}],
        }
        self.store(decision(**inputs))
        for data in self.objects.objects.values():
            self.assertNotIn(secret.encode(), zlib.decompress(data))
        self.assertTrue(self.findings(ReplayedDecision)[0].record.altered)

    def test_large_inputs_are_left_out_and_the_replay_reports_it(self):
        # Guards against one decision that fills the buffer.
        self.store(decision(extra="x" * 70_000))
        self.assertIn("too large", self.findings(ReplayedDecision)[0].difference)

    def test_a_changed_record_is_found_and_named(self):
        # Guards against a changed record in a batch whose own digest was updated.
        self.store(*[decision(request_id=f"req_{n}") for n in range(5)])
        name, data = next(iter(self.objects.objects.items()))
        batch = RecordBatch.unpack(name, data)
        record = msgpack.unpackb(batch.entries[2][0])
        record[-1] = "most"
        batch.entries[2] = (msgpack.packb(record), batch.entries[2][1])
        self.objects.objects[name] = batch.pack()
        found = self.findings(CorruptRecords)
        self.assertEqual(
            [item.detail for item in found], ["record 2 of batch 0 was changed"]
        )

    def test_a_removed_record_and_a_removed_batch_are_found(self):
        # Guards against removed records that only the chain of digests shows.
        for _ in range(3):
            self.store(decision(), decision())
        names = sorted(self.objects.objects)
        batch = RecordBatch.unpack(names[0], self.objects.objects[names[0]])
        del batch.entries[1]
        self.objects.objects[names[0]] = batch.pack()
        self.assertIn("does not continue", self.findings(CorruptRecords)[0].detail)
        del self.objects.objects[names[1]]
        self.assertIn("batches 1 to 1", self.findings(MissingRecords)[0].detail)

    def test_damaged_objects_are_reported_and_reading_continues(self):
        # Guards against one damaged object that makes all later ones unreadable.
        self.store(decision())
        self.store(decision())
        first, second = sorted(self.objects.objects)
        self.objects.objects[first] = self.objects.objects[first][:-9]
        self.assertEqual(len(self.findings(CorruptRecords)), 1)
        self.assertEqual(len(self.findings(ReplayedDecision)), 1)
        self.objects.objects[second] = zlib.compress(msgpack.packb([1, 2, 3]))
        self.assertEqual(len(self.findings(CorruptRecords)), 2)

    def test_all_modules_that_decide_can_be_imported(self):
        # Guards against a module whose import fails only in a replay.
        load_decision_functions()
