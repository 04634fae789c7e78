"""Endpoints that respond late, twice, without end, or a few bytes at a time.

Operators of similar systems have seen each of these faults; docs/proofs.md lists them.
"""

import time

import gevent

from fakes.gateway_endpoint import DUPLICATE_DELAY_SECONDS, EVENTS
from tests.gateway_case import RelayCase

# Allowed after a deadline, for timers of a busy machine and the response.
LATE_SECONDS = 0.5


class LateCopyTests(RelayCase):
    """Guard against a caller that gets another caller's answer.

    The endpoint sends an answer a second time, and the connection is reused. The copy
    arrives before the next request is sent, at the same time, or while that request
    waits for its response.
    """

    PAUSES = (
        0.0,
        0.5 * DUPLICATE_DELAY_SECONDS,
        DUPLICATE_DELAY_SECONDS,
        2.0 * DUPLICATE_DELAY_SECONDS,
    )

    def test_each_caller_gets_its_own_answer_or_none(self):
        for path, method in (("/safe/x", "GET"), ("/unsafe/x", "POST")):
            for pause in self.PAUSES:
                with self.subTest(path=path, pause=pause):
                    self.ask_twice(path, method, pause)

    def ask_twice(self, path: str, method: str, pause: float) -> None:
        """Send a second request around the time at which the copy arrives."""
        (endpoint,) = self.replace_endpoints(f"i-{path[1:3]}-{pause}")
        endpoint.echo_request_id = True
        endpoint.fault, endpoint.faults_left = "late_copy", 1
        body = b"b" if method == "POST" else b""
        first = self.ask(path, call_id="first", method=method, body=body)
        self.assertEqual((first.status, first.body), (200, b"first"))
        gevent.sleep(pause)
        endpoint.work_seconds = 2 * DUPLICATE_DELAY_SECONDS
        second = self.ask(path, call_id="second", method=method, body=body)
        self.assertNotIn(b"first", second.body)
        if second.status == 200:
            self.assertEqual(second.body, b"second")
        else:
            # The second request was sent before the copy arrived: it may have run.
            self.assertEqual(second.status, 502)
        seen = [headers["x-request-id"] for headers in endpoint.executed_requests]
        self.assertLessEqual(seen.count("second"), 1 if method == "POST" else 2)


class LateRefusalTests(RelayCase):
    """Guard against a caller that is told "not run" for a request that runs.

    The endpoint sends an earlier refusal once more on a connection in use again.
    """

    def test_a_copy_of_an_earlier_refusal_answers_no_request(self):
        for has_id in (True, False):
            for path in ("/unsafe/x", "/safe/x", "/stream/x"):
                with self.subTest(path=path, has_id=has_id):
                    self.refuse_twice(path, has_id)

    def refuse_twice(self, path: str, has_id: bool) -> None:
        """Send a request that is running while the copy arrives."""
        service = "engine" if path == "/stream/x" else "plain"
        name = f"i-{path[1:3]}-{has_id}"
        (endpoint,) = self.replace_endpoints(name, service=service)
        endpoint.fault, endpoint.faults_left = "late_refusal", 1
        first = self.ask(path, call_id="first", method="POST", body=b"1")
        self.assertEqual(first.status, 503)
        endpoint.refusal_has_id = has_id
        endpoint.work_seconds = endpoint.event_seconds = 2 * DUPLICATE_DELAY_SECONDS
        second = self.ask(path, call_id="second", method="POST", body=b"2")
        self.assertEqual(len(endpoint.executed_requests), 1)
        # The request runs, so no status may say that it does not.
        self.assertIn(second.status, (200, 502))


class CutHeadTests(RelayCase):
    """Guard against an empty answer, framed as whole, of an endpoint that ended.

    The endpoint closes its connection in the middle of the head of its response.
    """

    def test_a_head_that_is_cut_is_no_answer(self):
        for path, service in (("/unsafe/x", "plain"), ("/stream/x", "engine")):
            (endpoint,) = self.replace_endpoints(f"i-{service}", service=service)
            endpoint.fault = "cut_head"
            for head_bytes in range(0, 125, 7):
                with self.subTest(path=path, head_bytes=head_bytes):
                    endpoint.head_bytes = head_bytes
                    answer = self.ask(path, method="POST", body=b"b")
                    self.assertEqual(answer.status, 502)


class ErrorAfterStreamTests(RelayCase):
    """Guard against an error response in the middle of a caller's stream.

    The stream has begun and breaks off. The endpoint that should resume it responds
    with an error.
    """

    def test_an_error_ends_the_stream_as_incomplete(self):
        for fault in ("error", "busy", "shed", "teapot"):
            with self.subTest(fault=fault):
                self.break_off_and_fail(fault)

    def break_off_and_fail(self, fault: str) -> None:
        """Let a stream break off at one endpoint and fail at the next."""
        first, second = self.replace_endpoints(
            f"i-1-{fault}", f"i-2-{fault}", service="engine"
        )
        self.prefer(first.id)
        first.fault, second.fault = "cut_between_events", fault
        with self.assertNoLogs("rattanwick", "ERROR"):
            answer = self.ask("/resume/x", method="POST", body=b"b")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.raw.count(b"HTTP/1.1"), 1)
        self.assertIn(b"id: 1\n", answer.body)
        self.assertNotIn(b"no", answer.body)
        self.assertFalse(answer.body.endswith(b"0\r\n\r\n"))


class EndlessAnswerTests(RelayCase):
    """Guard against an endless response that uses up a node's memory or time."""

    def test_an_endless_head_is_not_forwarded(self):
        self.check_rejected_in_time("endless_head", "/unsafe/x", 502)

    def test_interim_responses_without_end_are_not_waited_for(self):
        """A node read them until the endpoint stopped, long after the deadline."""
        self.check_rejected_in_time("endless_interim", "/unsafe/x", 502)

    def test_an_endless_body_is_not_forwarded(self):
        self.check_rejected_in_time("endless_body", "/unsafe/x", 502)

    def test_a_stream_without_events_is_not_forwarded(self):
        (endpoint,) = self.replace_endpoints("i-stream", service="engine")
        endpoint.fault = "endless_body"
        answer = self.ask("/stream/x", method="POST", body=b"p")
        self.assertNotEqual(answer.status, 200)
        self.assert_closed(endpoint)

    def check_rejected_in_time(self, fault: str, path: str, status: int) -> None:
        """Check that a request is answered in time and the connection is closed."""
        (endpoint,) = self.replace_endpoints(f"i-{fault}")
        endpoint.fault = fault
        started = time.monotonic()
        answer = self.ask(path, method="POST", body=b"b")
        self.assertEqual(answer.status, status)
        self.assertLess(time.monotonic() - started, 1.5 + LATE_SECONDS)
        self.assert_closed(endpoint)

    def assert_closed(self, endpoint) -> None:
        """Wait until the endpoint has seen its connection end."""
        with gevent.Timeout(2.0):
            while not endpoint.closed_early:
                gevent.sleep(0.01)


class SlowStreamTests(RelayCase):
    """Guard against slow streams that are aborted and stalled ones that never end."""

    def test_a_slow_stream_is_forwarded_completely(self):
        (endpoint,) = self.replace_endpoints("i-slow", service="engine")
        endpoint.event_seconds = 1.2 / EVENTS
        answer = self.ask("/stream/x", method="POST", body=b"p")
        self.assertTrue(answer.raw.endswith(b"0\r\n\r\n"))
        self.assertEqual(answer.body.count(b"data:"), EVENTS)

    def test_a_stream_that_sends_single_bytes_ends_at_its_deadline(self):
        (endpoint,) = self.replace_endpoints("i-trickle", service="engine")
        endpoint.event_seconds, endpoint.fault = 0.03, "trickle"
        started = time.monotonic()
        answer = self.ask(
            "/stream/x", method="POST", body=b"p", headers={"X-Deadline-Ms": "600"}
        )
        self.assertLess(time.monotonic() - started, 0.6 + LATE_SECONDS)
        self.assertFalse(answer.raw.endswith(b"0\r\n\r\n"))
        self.assertEqual(answer.body.count(b"data:"), 1)
