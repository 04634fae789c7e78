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
