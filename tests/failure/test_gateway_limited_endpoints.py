"""Requests through the relay before endpoints that limit their requests per second."""

import time

import gevent

from rattanwick.internal.gateway.endpoint_limits import MIN_RATE
from rattanwick.internal.gateway.model import ResponseHead
from tests.gateway_case import RelayCase

# No permit comes within a test at such a limit.
SCARCE = str(MIN_RATE)
# "At once": well below an eighth of the objective, and time for a busy machine.
REFUSAL_SECONDS = 0.3


class LimitedEndpointTests(RelayCase):
    """Guard against requests beyond a limit, and against needless refusals."""

    def learn_limit(self, rate: str = SCARCE, service: str = "plain") -> None:
        """Let all endpoints name a limit, and the node learn it from a response."""
        path = "/safe/x" if service == "plain" else "/stream/x"
        for endpoint in self.endpoints:
            endpoint.rate_limit = rate
            self.prefer(endpoint.id)
            self.ask(path, method="POST", body=b"b")

    def test_requests_go_to_another_endpoint_first(self):
        for service, path in (("plain", "/unsafe/x"), ("engine", "/stream/x")):
            with self.subTest(service):
                ids = f"{service}-1", f"{service}-2"
                self.endpoints.clear()
                limited, other = self.replace_endpoints(*ids, service=service)
                limited.rate_limit = SCARCE
                self.prefer(ids[0])
                statuses = [
                    self.ask(path, method="POST", body=b"b").status for _ in range(6)
                ]
                self.assertEqual(statuses, [200] * 6)
                self.assertEqual(len(limited.executed_requests), 1)
                self.assertEqual(len(other.executed_requests), 5)

    def test_a_request_waits_for_a_busy_endpoint_beside_a_limited_one(self):
        """Guard against a refusal although a slot elsewhere is free within moments."""
        limited, _ = self.add_endpoint("i-1"), self.add_endpoint("i-2")
        limited.rate_limit = SCARCE
        self.prefer("i-1")
        self.assertEqual(self.ask("/safe/x", call_id="c-0").status, 200)
        busy = self.state.endpoints.get("i-2")
        busy.running = 1000
        gevent.spawn_later(0.03, setattr, busy, "running", 0)
        self.assertEqual(self.ask("/safe/x", call_id="c-1").status, 200)

    def test_without_a_place_left_a_request_is_refused_at_once_as_not_run(self):
        self.add_endpoint("i-1")
        self.learn_limit()
        ran = len(self.endpoints[0].executed_requests)
        for path in ("/safe/x", "/unsafe/x"):
            started = time.monotonic()
            with self.assertLogs("rattanwick.relay", "INFO") as logs:
                answer = self.ask(path, method="POST", body=b"b")
            self.assertLess(time.monotonic() - started, REFUSAL_SECONDS)
            self.assertEqual(answer.status, 503)
            self.assertEqual(answer.body, b"endpoints_limited\n")
            # A token comes every 4 s.
            self.assertGreater(float(answer.headers["retry-after"]), 1.0)
            (ended,) = [record for record in logs.records if "ended" in record.msg]
            self.assertEqual(ended.limited_endpoints, ("i-1",))
        self.assertEqual(len(self.endpoints[0].executed_requests), ran)

    def test_a_second_attempt_needs_a_permit_too(self):
        failing, limited = self.add_endpoint("i-1"), self.add_endpoint("i-2")
        limited.rate_limit = SCARCE
        self.prefer("i-2")
        self.assertEqual(self.ask("/safe/x", call_id="c-0").status, 200)
        failing.fault = "reset"
        for number in range(1, 5):
            self.prefer("i-1")
            answer = self.ask("/safe/x", call_id=f"c-{number}")
            self.assertEqual(answer.status, 502)
        self.assertEqual(len(limited.executed_requests), 1)

    def test_an_error_response_is_delivered_if_the_retry_finds_no_place(self):
        """The caller got 502, although an endpoint had answered."""
        failing, limited = self.add_endpoint("i-1"), self.add_endpoint("i-2")
        limited.rate_limit = SCARCE
        self.prefer("i-2")
        self.assertEqual(self.ask("/safe/x", call_id="c-0").status, 200)
        failing.fault = "error"
        self.prefer("i-1")
        answer = self.ask("/safe/x", call_id="c-1")
        self.assertEqual((answer.status, answer.body), (500, b"no"))

    def test_a_resumed_stream_needs_a_permit_too(self):
        ids = "i-1", "i-2"
        failing, limited = self.replace_endpoints(*ids, service="engine")
        limited.rate_limit = SCARCE
        self.prefer("i-2")
        self.ask("/resume/x", method="POST", body=b"p", call_id="c-0")
        failing.fault = "cut_between_events"
        self.prefer("i-1")
        answer = self.ask("/resume/x", method="POST", body=b"p", call_id="c-1")
        self.assertFalse(answer.raw.endswith(b"0\r\n\r\n"))
        self.assertEqual(len(limited.executed_requests), 1)

    def test_all_requests_are_sent_again_once_the_limit_has_ended(self):
        endpoint = self.add_endpoint("i-1")
        self.learn_limit("5")
        endpoint.rate_limit = ""
        deadline = time.monotonic() + 3.0
        while self.ask("/safe/x").status != 200:
            self.assertLess(time.monotonic(), deadline)
            gevent.sleep(0.05)
        for number in range(10):
            self.assertEqual(self.ask("/safe/x", call_id=f"c-{number}").status, 200)

    def test_a_malformed_limit_does_no_harm(self):
        endpoint = self.add_endpoint("i-1")
        for value in ("nan", "inf", "-1", "1e400", "two", "1,2", "1_0", "9" * 400, "."):
            with self.subTest(value=value):
                endpoint.rate_limit = value
                for number in range(3):
                    answer = self.ask("/safe/x", call_id=f"c-{number}")
                    self.assertEqual((answer.status, answer.body), (200, b"whole"))

    def test_a_limit_learned_while_connecting_holds_and_blames_no_endpoint(self):
        """Guard against a send, or an ejection, because of a permit that is missing."""
        endpoint = self.add_endpoint("i-1")
        self.assertEqual(self.ask("/safe/x", call_id="c-0").status, 200)
        view, limits = self.state.endpoints.get("i-1"), self.state.endpoint_limits
        acquire = self.state.connections.acquire

        def acquire_slowly(*args, **options):
            head = ResponseHead(200, [], "c", True, False, None, None, MIN_RATE)
            limits.note_response(view, head)
            return acquire(*args, **options)

        self.state.connections.acquire = acquire_slowly
        self.assertEqual(self.ask("/safe/x", call_id="c-1").status, 503)
        self.assertEqual(len(endpoint.executed_requests), 1)
        self.assertEqual(view.failure_rate, 0.0)

    def test_a_permit_of_a_request_that_was_not_sent_is_used_by_the_next(self):
        gone, limited = self.add_endpoint("i-1"), self.add_endpoint("i-2")
        limited.rate_limit = "1000"
        self.prefer("i-2")
        self.assertEqual(self.ask("/safe/x", call_id="c-0").status, 200)
        gone.stop()
        gevent.sleep(0.1)
        self.prefer("i-1")
        self.assertEqual(self.ask("/safe/x", call_id="c-1").status, 200)
        self.assertEqual(len(limited.executed_requests), 2)
