"""The soak's checks see each broken promise.

Guards against a soak that passes because it looks at nothing.
"""

import json
import tempfile
import unittest
from pathlib import Path

from soak.callers import DEADLINE_SECONDS, CallResult
from soak.checks import (
    CONFIGURATION,
    STARTED,
    check_answers,
    check_log,
    check_recovery,
    check_response_times,
)
from soak.system import NodeOutage

NODE = ("127.0.0.1", 1)
EVENTS = b"".join(b"id: %d\ndata: c-1 %d\n\n" % (n, n) for n in range(1, 5))


def make_told(**changes) -> CallResult:
    """Return a call that was answered well."""
    values = {
        "id": "c-1",
        "kind": "unsafe",
        "node": NODE,
        "started": 10.0,
        "ended": 10.1,
        "status": 200,
        "answer_id": "c-1",
        "body": b"c-1",
        "complete": True,
    }
    return CallResult(**{**values, **changes})


def make_ledger(*request_ids: str) -> dict:
    """Return the ledger of one endpoint that ran these requests."""
    return {"e-1": [{"x-request-id": request_id} for request_id in request_ids]}


class AnswerCheckTests(unittest.TestCase):
    def check(self, told: CallResult, *ran: str) -> str:
        """Return the broken promises in one text."""
        return "; ".join(check_answers([told], make_ledger(*ran)))

    def test_good_answers_break_no_promise(self):
        self.assertEqual(self.check(make_told(), "c-1"), "")
        stream = make_told(kind="resume", body=EVENTS)
        self.assertEqual(self.check(stream, "c-1", "c-1"), "")
        cut = make_told(kind="stream", body=EVENTS[:30], complete=False)
        self.assertEqual(self.check(cut, "c-1"), "")
        self.assertEqual(self.check(make_told(status=503, body=b"")), "")

    def test_broken_promises_are_told(self):
        cases = [
            (make_told(), ("c-1", "c-1"), "ran 2 times"),
            (make_told(kind="safe"), ("c-1",) * 3, "ran 3 times"),
            (make_told(status=503), ("c-1",), "ran and was answered 503"),
            (make_told(answer_id="c-2"), ("c-1",), "answer to 'c-2'"),
            (make_told(body=b"c-2"), ("c-1",), "got the body"),
            (make_told(), (), "ran nowhere"),
            (make_told(kind="stream", body=EVENTS[:30]), ("c-1",), "differs"),
            (
                make_told(kind="stream", body=EVENTS[20:], complete=False),
                ("c-1",),
                "out of order",
            ),
        ]
        for told, ran, words in cases:
            with self.subTest(words=words):
                self.assertIn(words, self.check(told, *ran))


class SilenceCheckTests(unittest.TestCase):
    LATE = make_told(ended=10.0 + DEADLINE_SECONDS + 1.0)
    NONE = make_told(status=0, error="reset")

    def test_late_and_missing_answers_are_told(self):
        self.assertIn("took", check_response_times([self.LATE], [])[0])
        self.assertIn("no answer", check_response_times([self.NONE], [])[0])
        self.assertEqual(check_response_times([make_told()], []), [])

    def test_only_faults_of_the_same_node_and_time_excuse_them(self):
        calls = [self.LATE, self.NONE]
        during = NodeOutage(NODE, 9.0, 10.05)
        before = NodeOutage(NODE, 8.0, 9.9)
        other = NodeOutage(("127.0.0.1", 2), 9.0, 10.05)
        self.assertEqual(check_response_times(calls, [during]), [])
        self.assertEqual(len(check_response_times(calls, [before, other])), 2)

    def test_failures_after_the_recovery_are_told(self):
        self.assertEqual(check_recovery([make_told()]), [])
        for told in (make_told(status=502), make_told(complete=False)):
            self.assertEqual(len(check_recovery([told])), 1)


class LogCheckTests(unittest.TestCase):
    def check(self, *lines: dict) -> str:
        """Return what is wrong with a log, with configuration 3 as the newest."""
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "n1.log"
            texts = [json.dumps({"time": 1.0, **line}) for line in lines]
            path.write_text("\n".join(texts))
            return "; ".join(check_log(path, 3))

    def test_versions_may_only_grow_in_one_life_of_a_node(self):
        first, second, third = (
            {"message": CONFIGURATION, "version": number} for number in (1, 2, 3)
        )
        started = {"message": STARTED}
        self.assertEqual(self.check(started, first, second, started, third), "")
        self.assertIn("went back to 1", self.check(second, first, third))
        self.assertIn("has configuration 2, not 3", self.check(first, second))
        self.assertIn("has configuration 0", self.check(third, started))

    def test_exceptions_are_told(self):
        line = {"message": "node: duty failed", "exc_info": "Traceback"}
        self.assertIn("Traceback", self.check(line))
