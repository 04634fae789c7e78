"""Tests of the soak test's checks.

They guard against a soak test that passes because its checks miss a violation.
"""

import json
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from soak.callers import DEADLINE_SECONDS, CallResult
from soak.checks import (
    CONFIGURATION_EVENT,
    STARTED_EVENT,
    check_answers,
    check_crashing_requests,
    check_limits,
    check_log,
    check_recovery,
    check_responses,
)
from soak.system import NamedLimit, NodeOutage

NODE = ("127.0.0.1", 1)
EVENTS = b"".join(b"id: %d\ndata: c-1 %d\n\n" % (n, n) for n in range(1, 5))


def make_result(**changes) -> CallResult:
    """Return the result of a successful call, with fields changed."""
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
    """Return a ledger in which one endpoint ran these requests."""
    return {"e-1": [{"x-request-id": request_id} for request_id in request_ids]}


class AnswerCheckTests(unittest.TestCase):
    def check(self, result: CallResult, *ran: str) -> str:
        """Return the violations in one text."""
        return "; ".join(check_answers([result], make_ledger(*ran)))

    def test_correct_responses_are_no_violation(self):
        """Guard against checks that fail a soak run without a fault in the nodes."""
        self.assertEqual(self.check(make_result(), "c-1"), "")
        stream = make_result(kind="resume", body=EVENTS)
        self.assertEqual(self.check(stream, "c-1", "c-1"), "")
        cut = make_result(kind="stream", body=EVENTS[:30], complete=False)
        self.assertEqual(self.check(cut, "c-1"), "")
        self.assertEqual(self.check(make_result(status=503, body=b"")), "")

    def test_each_violation_is_reported(self):
        """Guard against wrong responses and repeated runs that go unnoticed."""
        cases = [
            (make_result(), ("c-1", "c-1"), "ran 2 times"),
            (make_result(kind="safe"), ("c-1",) * 3, "ran 3 times"),
            (make_result(status=503), ("c-1",), "ran and was answered 503"),
            (make_result(answer_id="c-2"), ("c-1",), "response to 'c-2'"),
            (make_result(body=b"c-2"), ("c-1",), "got a wrong body"),
            (make_result(), (), "ran at no endpoint"),
            (
                make_result(kind="stream", body=EVENTS[:30]),
                ("c-1",),
                "complete stream of other text",
            ),
            (
                make_result(kind="stream", body=EVENTS[20:], complete=False),
                ("c-1",),
                "wrong or reordered events",
            ),
        ]
        for result, ran, words in cases:
            with self.subTest(words=words):
                self.assertIn(words, self.check(result, *ran))


class ResponseCheckTests(unittest.TestCase):
    LATE = make_result(ended=10.0 + DEADLINE_SECONDS + 1.0)
    NONE = make_result(status=0, error="reset")

    def test_late_and_missing_responses_are_reported(self):
        """Guard against nodes that do not respond and go unnoticed."""
        self.assertIn("took", check_responses([self.LATE], [])[0])
        self.assertIn("no response", check_responses([self.NONE], [])[0])
        self.assertEqual(check_responses([make_result()], []), [])

    def test_only_an_outage_of_the_same_node_and_time_excuses_them(self):
        """Guard against an outage that excuses other nodes or later requests."""
        calls = [self.LATE, self.NONE]
        during = NodeOutage(NODE, 9.0, 10.05)
        before = NodeOutage(NODE, 8.0, 9.9)
        other = NodeOutage(("127.0.0.1", 2), 9.0, 10.05)
        self.assertEqual(check_responses(calls, [during]), [])
        self.assertEqual(len(check_responses(calls, [before, other])), 2)

    def test_failures_after_the_recovery_are_reported(self):
        """Guard against a system that stays broken after the last fault."""
        self.assertEqual(check_recovery([make_result()]), [])
        for result in (make_result(status=502), make_result(complete=False)):
            self.assertEqual(len(check_recovery([result])), 1)


class PlannedStopCheckTests(unittest.TestCase):
    """Guard against a planned stop that excuses requests which got no response."""

    STOP = NodeOutage(NODE, 5.0, 15.0, planned=True)

    def check(self, result: CallResult, *passed_on: str) -> str:
        """Return the violations of one request in one text."""
        return "; ".join(check_responses([result], [self.STOP], passed_on))

    def test_a_request_at_an_endpoint_is_owed_a_response(self):
        cut = make_result(status=0, sent_at=10.09)
        self.assertIn("no response", self.check(cut, "c-1"))
        self.assertEqual(self.check(cut, "c-2"), "")

    def test_a_request_is_owed_a_response_if_the_node_held_it_for_long(self):
        held = make_result(status=0, sent_at=10.0, ended=12.0)
        self.assertIn("no response", self.check(held))
        unsent = make_result(status=0, sent_at=None, ended=12.0)
        self.assertEqual(self.check(unsent), "")

    def test_a_pipelined_request_behind_a_close_is_owed_no_response(self):
        cut = make_result(status=0, sent_at=9.0, follows_close=True)
        self.assertEqual(self.check(cut), "")
        self.assertIn("no response", self.check(cut, "c-1"))

    def test_late_responses_are_reported(self):
        late = make_result(started=6.0, ended=10.0, sent_at=6.0)
        self.assertIn("took 4.00 s", self.check(late))
        late.paused = 2.0
        self.assertEqual(self.check(late), "")

    def test_a_response_from_a_sound_endpoint_must_be_complete(self):
        cut = make_result(complete=False, sent_at=10.0, deadline=9.0)
        self.assertEqual(self.check(cut), "")
        cut.sound_endpoints = True
        self.assertIn("was broken off", self.check(cut))

    def test_only_a_stream_that_lasts_to_the_end_of_the_stop_may_break_off(self):
        values = {"complete": False, "sound_endpoints": True, "deadline": 9.0}
        stream = make_result(
            kind="stream", started=7.0, sent_at=8.0, ended=12.6, **values
        )
        self.assertEqual(self.check(stream), "")
        for change in ({"ended": 11.0}, {"sent_at": 8.5}, {"kind": "unsafe"}):
            with self.subTest(change):
                self.assertIn("was broken off", self.check(replace(stream, **change)))

    def test_a_stream_may_break_off_at_its_deadline(self):
        values = {"complete": False, "sound_endpoints": True, "deadline": 2.0}
        stream = make_result(kind="stream", started=8.0, ended=10.1, **values)
        self.assertEqual(self.check(stream), "")

    def test_a_kill_during_the_stop_excuses_the_request(self):
        cut = make_result(status=0, sent_at=10.0)
        outages = [self.STOP, NodeOutage(NODE, 9.0, 11.0)]
        self.assertEqual(check_responses([cut], outages, ["c-1"]), [])


class LogCheckTests(unittest.TestCase):
    def check(self, *lines: dict) -> str:
        """Return the violations in a log, with configuration 3 as the newest."""
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "n1.log"
            texts = [json.dumps({"time": 1.0, **line}) for line in lines]
            path.write_text("\n".join(texts))
            return "; ".join(check_log(path, 3))

    def test_versions_may_only_decrease_when_a_node_starts(self):
        """Guard against nodes that return to an older configuration."""
        first, second, third = (
            {"message": CONFIGURATION_EVENT, "version": number} for number in (1, 2, 3)
        )
        started = {"message": STARTED_EVENT}
        self.assertEqual(self.check(started, first, second, started, third), "")
        self.assertIn("went back to configuration 1", self.check(second, first, third))
        self.assertIn("has configuration 2, not 3", self.check(first, second))
        self.assertIn("has configuration 0", self.check(third, started))

    def test_exceptions_are_reported(self):
        """Guard against exceptions that a node only logs."""
        line = {"message": "node: duty failed", "exc_info": "Traceback"}
        self.assertIn("Traceback", self.check(line))


class LimitCheckTests(unittest.TestCase):
    """Guard against a soak that misses, or invents, a limit that was exceeded."""

    class Endpoint:
        """Endpoint that got a request every tenth of a second for ten seconds."""

        id = "e-1"
        arrivals = [(10.0 + number / 10, "c-1") for number in range(100)]

    def check(self, rate: float, outages=()) -> list[str]:
        """Return what the check finds at a limit that lasted from 10 to 20 s."""
        limit = NamedLimit(self.Endpoint, rate, 10.0, 20.0)
        return check_limits([limit], [make_result()], list(outages))

    def test_requests_beyond_the_allowed_excess_are_found(self):
        self.assertEqual(len(self.check(5.0)), 1)
        self.assertEqual(self.check(6.0), [])

    def test_requests_of_a_node_in_an_outage_are_passed_over(self):
        outage = NodeOutage(NODE, 12.0, 18.0)
        self.assertEqual(self.check(1.0, [outage]), [])
        other = NodeOutage(("127.0.0.9", 1), 12.0, 18.0)
        self.assertEqual(len(self.check(1.0, [other])), 1)

    def test_a_malformed_limit_allows_everything(self):
        self.assertEqual(self.check(float("inf")), [])


class CrashingRequestCheckTests(unittest.TestCase):
    """Guard against a soak that misses requests which crash endpoint after endpoint."""

    CRASHES = [1.0, 2.0, 3.0, 4.0, 5.0]
    NODES = {f"d-{number}": NODE for number in range(10)}

    def check(self, count: int, at: float = 9.0, outages=()) -> list[str]:
        """Return what the check finds if ``count`` requests arrive at a time."""
        arrivals = [(at, f"d-{number}") for number in range(count)]
        arrivals += [(at, "sound")] * 10
        return check_crashing_requests(
            self.CRASHES, arrivals, self.NODES, list(outages)
        )

    def test_a_fourth_request_after_the_bound_is_found(self):
        self.assertEqual(self.check(3), [])
        self.assertEqual(len(self.check(4)), 1)

    def test_requests_before_the_bound_and_after_few_crashes_are_passed_over(self):
        self.assertEqual(self.check(10, at=7.9), [])
        self.assertEqual(
            check_crashing_requests(
                self.CRASHES[:4], [(9.0, "d-1")] * 10, self.NODES, []
            ),
            [],
        )

    def test_requests_of_a_node_in_an_outage_are_passed_over(self):
        self.assertEqual(self.check(10, outages=[NodeOutage(NODE, 5.0, 6.5)]), [])
        other = NodeOutage(("127.0.0.9", 1), 5.0, 6.5)
        self.assertEqual(len(self.check(10, outages=[other])), 1)
