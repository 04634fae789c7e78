"""Requests before endpoints that announce their end, or ask for a rest."""

import time
import unittest

import gevent

from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.endpoint_notices import (
    MAX_REST_SECONDS,
    MAX_RETURN_SPREAD_SECONDS,
)
from rattanwick.internal.gateway.interfaces import StoredRow, Version
from rattanwick.internal.gateway.model import ResponseHead
from rattanwick.platform.messages import decode_response_head
from tests.gateway_case import RelayCase, make_state, make_view

# Above the spread of returns in a deployment of one node, in seconds.
REST_MARGIN_SECONDS = 0.1


def entry(state: str = "ready", born: int = 1) -> bytes:
    """Return the entry of an endpoint in the store."""
    return (
        '{"service": "plain", "address": "127.0.0.1:1", "zone": "a", "slots": 8, '
        f'"state": "{state}", "born": {born}}}'
    ).encode()


class DecodingTests(unittest.TestCase):
    """Guard against announcements that are misread, or harmful if malformed."""

    def decode(self, status: int, *headers: tuple[bytes, bytes]) -> ResponseHead:
        return decode_response_head(status, list(headers))

    def test_only_the_value_1_sent_once_announces_the_end(self):
        header = b"Server-Leaving"
        self.assertTrue(self.decode(200, (header, b"1")).leaving)
        self.assertTrue(self.decode(503, (b"server-leaving", b" 1 ")).leaving)
        for values in ([b"0"], [b"yes"], [b""], [b"1", b"1"], [b"1, 1"], []):
            headers = [(header, value) for value in values]
            self.assertFalse(self.decode(200, *headers).leaving, values)

    def test_another_endpoint_at_the_address_announces_nothing(self):
        self.assertFalse(self.decode(421, (b"Server-Leaving", b"1")).leaving)

    def test_a_rest_is_a_decimal_number_beside_status_503(self):
        header = b"Retry-After"
        self.assertEqual(self.decode(503, (header, b"1.5")).rest_seconds, 1.5)
        self.assertIsNone(self.decode(200, (header, b"1.5")).rest_seconds)
        date = b"Sat, 05 Dec 2026 10:00:00 GMT"
        for value in (b"-1", b"nan", b"inf", b"1e9", b"", date, b"9" * 400):
            self.assertIsNone(self.decode(503, (header, value)).rest_seconds, value)
        twice = self.decode(503, (header, b"1"), (header, b"2"))
        self.assertIsNone(twice.rest_seconds)


class LeavingEndpointTests(RelayCase):
    """Guard against requests to an endpoint that has announced its end."""

    def test_each_kind_of_answer_announces_the_end(self):
        for fault, status in (("", 200), ("error", 500), ("shed", 503)):
            with self.subTest(fault=fault):
                self.endpoints.clear()
                leaving, other = self.replace_endpoints(f"{fault}-1", f"{fault}-2")
                leaving.leaving, leaving.fault = "1", fault
                self.prefer(leaving.id)
                answer = self.ask("/unsafe/x", method="POST", body=b"b")
                self.assertEqual(answer.status, status)
                self.prefer(leaving.id)
                for _ in range(3):
                    answer = self.ask("/unsafe/x", method="POST", body=b"b")
                    self.assertEqual(answer.status, 200)
                self.assertEqual(len(leaving.arrivals), 1)
                self.assertEqual(len(other.arrivals), 3)

    def test_the_head_of_a_stream_announces_the_end_and_the_stream_goes_on(self):
        leaving, other = self.replace_endpoints("i-1", "i-2", service="engine")
        leaving.leaving, leaving.event_seconds = "1", 0.05
        self.prefer("i-1")
        first = gevent.spawn(self.ask, "/stream/x", method="POST", body=b"b")
        gevent.sleep(0.08)
        self.prefer("i-1")
        self.ask("/stream/x", call_id="call-2", method="POST", body=b"b")
        self.assertTrue(first.get().body.endswith(b"0\r\n\r\n"))
        self.assertEqual((len(leaving.arrivals), len(other.arrivals)), (1, 1))

    def test_a_request_that_connects_meanwhile_goes_to_another_endpoint(self):
        """Guard against a request that was placed before the announcement."""
        self.replace_endpoints("i-1", "i-2")
        leaving, other = self.endpoints
        self.prefer("i-1")
        connect = self.state.connections.connect

        def announce_first(endpoint, timeout):
            self.state.endpoints.note_leaving("i-1", 1, "test")
            return connect(endpoint, timeout)

        self.state.connections.connect = announce_first
        answer = self.ask("/unsafe/x", method="POST", body=b"b")
        self.assertEqual(answer.status, 200)
        self.assertEqual((len(leaving.arrivals), len(other.arrivals)), (0, 1))


class DirectoryTests(unittest.TestCase):
    """Guard against entries that hide an announcement, or outlast their process."""

    def setUp(self):
        self.timers = ManualTimerService()
        self.state = make_state(self.timers)
        self.endpoints = self.state.endpoints

    def put(self, version: int, **options) -> None:
        """Write the entry of an endpoint."""
        row = StoredRow("i-1", entry(**options), Version(1, version))
        self.endpoints.apply({"i-1": row}, {"i-1"}, None)

    def test_an_entry_written_later_does_not_hide_the_announcement(self):
        self.put(1)
        self.endpoints.note_leaving("i-1", 1, "answer")
        self.put(2)
        self.assertTrue(self.endpoints.get("i-1").endpoint.leaving)

    def test_an_announcement_that_arrives_before_the_entry_is_kept(self):
        self.state.endpoint_notices.update_from_peer("n2", [("i-1", 1)])
        self.put(1)
        self.assertTrue(self.endpoints.get("i-1").endpoint.leaving)

    def test_a_later_process_under_the_same_id_is_not_leaving(self):
        self.put(1)
        self.endpoints.note_leaving("i-1", 1, "answer")
        self.put(2, born=2)
        self.assertFalse(self.endpoints.get("i-1").endpoint.leaving)
        self.assertEqual(self.endpoints.announced_leaving(), [])

    def test_peers_are_told_once_and_at_once(self):
        self.put(1)
        view = self.endpoints.get("i-1")
        head = decode_response_head(200, [(b"Server-Leaving", b"1")])
        self.state.endpoint_notices.note_response(view, head)
        self.assertTrue(self.state.load_changed.is_set())
        self.assertEqual(self.endpoints.announced_leaving(), [("i-1", 1)])
        self.state.load_changed.clear()
        self.state.endpoint_notices.note_response(view, head)
        self.assertFalse(self.state.load_changed.is_set())


class RestingEndpointTests(RelayCase):
    """Guard against requests to an endpoint that has asked for a rest."""

    def rest(self, endpoint, seconds: str, fault: str = "shed") -> None:
        """Let an endpoint refuse one request with a time to rest."""
        endpoint.fault, endpoint.faults_left = fault, 1
        endpoint.retry_after = seconds
        self.prefer(endpoint.id)
        self.ask("/unsafe/x", method="POST", body=b"b")
        self.prefer(endpoint.id)

    def test_requests_go_to_the_others_until_the_rest_ends(self):
        resting, other = self.replace_endpoints("i-1", "i-2")
        self.rest(resting, "0.4")
        for _ in range(4):
            self.assertEqual(self.ask("/safe/x").status, 200)
        self.assertEqual((len(resting.arrivals), len(other.arrivals)), (1, 4))
        gevent.sleep(0.4 + REST_MARGIN_SECONDS)
        self.prefer("i-1")
        self.assertEqual(self.ask("/safe/x").status, 200)
        self.assertEqual(len(resting.arrivals), 2)

    def test_a_rest_is_neither_a_failure_nor_a_crash(self):
        for fault in ("shed", "busy"):
            with self.subTest(fault=fault):
                (resting,) = self.replace_endpoints("i-1")
                view = self.state.endpoints.get("i-1")
                self.rest(resting, "0.2", fault)
                self.assertEqual((view.failure_rate, view.ejected_until), (0.0, 0.0))
                self.assertIsNotNone(view.last_response_at)

    def test_a_request_waits_for_the_first_endpoint_that_is_back_in_time(self):
        (resting,) = self.replace_endpoints("i-1")
        self.rest(resting, "0.2")
        started = time.monotonic()
        self.assertEqual(self.ask("/safe/x").status, 200)
        self.assertGreaterEqual(time.monotonic() - started, 0.2)

    def test_a_request_that_cannot_be_in_time_is_refused_at_once(self):
        (resting,) = self.replace_endpoints("i-1")
        self.rest(resting, "3")
        started = time.monotonic()
        answer = self.ask("/safe/x")
        self.assertLess(time.monotonic() - started, 0.3)
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.body, b"endpoints_resting\n")
        self.assertGreater(float(answer.headers["retry-after"]), 2.5)

    def test_a_huge_rest_ends_after_the_bound(self):
        view = make_view()
        head = decode_response_head(503, [(b"Retry-After", b"99999999999")])
        self.state.endpoint_notices.note_response(view, head)
        longest = MAX_REST_SECONDS + MAX_RETURN_SPREAD_SECONDS
        self.assertLessEqual(view.rests_until, self.timers.now() + longest)

    def test_nodes_do_not_return_in_the_same_moment(self):
        """Guard against a burst of all nodes at the end of a rest."""
        view = make_view()
        ends = set()
        for _ in range(3):
            head = decode_response_head(503, [(b"Retry-After", b"5")])
            view.rests_until = 0.0
            self.state.endpoint_notices.note_response(view, head)
            ends.add(round(view.rests_until - self.timers.now(), 4))
        self.assertGreater(len(ends), 1)
