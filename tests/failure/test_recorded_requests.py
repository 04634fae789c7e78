"""Decisions of the request path are recorded without secrets, and replay.

Guards against an incident after which a refusal, a repeated attempt or the outcome of
a service call cannot be explained.
"""

import json

import gevent

from fakes.memory import MemoryObjectStore
from rattanwick.internal.base.settings import RecordingSettings
from rattanwick.internal.recording.decisions import DecisionKind
from rattanwick.internal.recording.recorder import ObjectStoreRecorder
from rattanwick.internal.recording.replay import (
    Replay,
    ReplayQuery,
    load_decision_functions,
)
from rattanwick.internal.requests import admission
from tests.request_case import SERVICE, RequestCase
from tests.unit.test_recording import NODE

PROMPT = "which steel for salt water"


class RecordedRequestTests(RequestCase):
    settings = {"max_in_flight": 1}

    def recorder(self) -> ObjectStoreRecorder:
        self.objects = MemoryObjectStore()
        settings = RecordingSettings()
        self.recordings = ObjectStoreRecorder(self.objects, NODE, self.timers, settings)
        return self.recordings

    def reasons(self, kind: DecisionKind, request_id: str = "") -> list[str]:
        """Return the reasons of a kind in order; check that all decisions repeat."""
        load_decision_functions()
        self.recordings.flush()
        findings = list(Replay(self.objects, ReplayQuery(request_id=request_id)).run())
        self.assertEqual([item.difference for item in findings], [""] * len(findings))
        text = json.dumps([(f.record.inputs, f.record.choice) for f in findings])
        self.assertNotIn("key-a", text)
        self.assertNotIn(PROMPT, text)
        self.assertFalse([item for item in findings if item.record.altered])
        records = [item.record for item in findings]
        return [record.reason for record in records if record.kind == kind]

    def test_admission_and_each_refusal_are_recorded(self):
        admitted = self.chat(PROMPT)
        unknown = self.call("POST", "/v1/completions", Authorization="Bearer key-x")
        self.assertEqual(unknown.status, 401)
        self.services.directory.pools["other"] = None
        other = {"model": "other", "messages": [{"role": "user", "content": PROMPT}]}
        no_pool = self.call("POST", "/v1/chat/completions", other)
        self.assertEqual(no_pool.status, 403)
        stream = self.stream("slow #tokens=2000", 1)
        full = self.chat(PROMPT)
        stream.close()
        self.services.drain.refuse_new("")
        draining = self.chat(PROMPT)
        answers = {
            "admitted": admitted,
            "unauthorised": unknown,
            "no_allowance": no_pool,
            "node_full": full,
            "draining": draining,
        }
        for reason, answer in answers.items():
            with self.subTest(reason=reason):
                found = self.reasons(DecisionKind.ADMIT, answer.request_id)
                self.assertEqual(found, [reason])

    def test_a_flood_of_unknown_callers_does_not_fill_the_recording(self):
        self.patch_limit(2)
        for _ in range(5):
            self.call("POST", "/v1/completions", Authorization="Bearer key-x")
        self.assertEqual(self.reasons(DecisionKind.ADMIT), ["unauthorised"] * 2)

    def patch_limit(self, limit: int) -> None:
        for name, value in (
            ("MAX_RECORDED_UNKNOWN_CALLERS", limit),
            ("UNKNOWN_WINDOW_SECONDS", 9),
        ):
            self.addCleanup(setattr, admission, name, getattr(admission, name))
            setattr(admission, name, value)

    def test_attempts_and_the_refusal_of_a_crashing_request_are_recorded(self):
        for name in ("e1", "e2", "e3"):
            self.fault(name, crash_marker="#crash", crash_seconds=0.2)
        answer = self.chat(f"{PROMPT} #crash")
        self.assertEqual(answer.outcome, "failed")
        attempts = self.reasons(DecisionKind.ATTEMPT, answer.request_id)
        self.assertEqual(attempts, ["retry", "retry"])
        crashes = self.reasons(DecisionKind.CRASH, answer.request_id)
        self.assertEqual(crashes, ["too_few_crashes", "crashes_endpoints"])

    def test_a_failed_service_call_records_why_it_was_not_sent_again(self):
        for name in ("s1", "s2"):
            self.fault(name, down=True)
        gevent.sleep(0.05)
        answer = self.call("POST", SERVICE, {"day": 1}, Idempotency_Key="k1")
        self.assertEqual(answer.outcome, "not_run")
        found = self.reasons(DecisionKind.CALL, answer.request_id)
        self.assertEqual(found, ["not_sent", "not_sent"])
