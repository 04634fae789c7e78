"""Connections of callers: malformed requests, reuse, and a node that stops."""

import unittest

import gevent
from gevent import socket

from rattanwick.internal.gateway.active_request import CallerConnectionClosed
from rattanwick.internal.gateway.caller_connection import MIN_IDLE_SECONDS
from rattanwick.internal.gateway.disconnect_watch import DisconnectWatch
from tests.gateway_case import Answer, RelayCase, read_all


class InvalidRequestTests(RelayCase):
    """Guard against requests that an endpoint would parse in a different way."""

    def assert_refused(self, data: bytes, status: int) -> None:
        """Check the status of the response and that the endpoint got no request."""
        endpoint = self.add_endpoint("i-1")
        self.assertEqual(self.exchange(data).status, status)
        self.assertEqual(endpoint.executed_requests, [])

    def test_a_content_length_with_transfer_encoding_is_refused(self):
        data = self.request_bytes(
            "/unsafe/x",
            method="POST",
            headers={"Content-Length": "5", "Transfer-Encoding": "chunked"},
        )
        self.assert_refused(data + b"0\r\n\r\nGET /safe/x HTTP/1.1\r\n\r\n", 400)

    def test_a_request_without_an_id_is_refused(self):
        self.assert_refused(self.request_bytes("/safe/x", call_id=""), 400)

    def test_a_deadline_that_is_not_a_number_is_refused(self):
        data = self.request_bytes("/safe/x", headers={"X-Deadline-Ms": "soon"})
        self.assert_refused(data, 400)

    def test_a_header_above_the_limit_is_refused(self):
        data = self.request_bytes("/safe/x", headers={"X-Long": "a" * 9000})
        self.assert_refused(data, 431)

    def test_a_body_above_the_limit_is_refused(self):
        data = self.request_bytes("/unsafe/x", method="POST", body=b"a" * 100_001)
        self.assert_refused(data, 413)

    def test_bytes_that_are_not_http_are_refused(self):
        self.assert_refused(b"hello\r\n\r\n", 400)

    def test_a_chunked_body_reaches_the_endpoint_whole(self):
        endpoint = self.add_endpoint("i-1")
        data = self.request_bytes(
            "/unsafe/x", method="POST", headers={"Transfer-Encoding": "chunked"}
        )
        answer = self.exchange(data + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertEqual(answer.status, 200)
        self.assertEqual(endpoint.bodies, [b"abcde"])


class ConnectionTests(RelayCase):
    """Guard against requests that are lost when their connection ends."""

    def keep_alive_request(self, call_id: str) -> bytes:
        """Return a request that keeps its connection open."""
        headers = {"Connection": "keep-alive"}
        return self.request_bytes("/safe/x", call_id=call_id, headers=headers)

    def test_a_connection_carries_many_requests(self):
        endpoint = self.add_endpoint("i-1")
        sock = self.connect()
        for number in range(3):
            sock.sendall(self.keep_alive_request(f"c-{number}"))
            self.assertEqual(Answer(sock.recv(65536)).body, b"whole")
        sock.close()
        self.assertEqual(
            [seen["x-request-id"] for seen in endpoint.executed_requests],
            ["c-0", "c-1", "c-2"],
        )
        self.assertEqual(self.state.connections.opened, 1)

    def test_a_received_request_is_served_when_idle_connections_are_closed(self):
        self.add_endpoint("i-1")
        sock = self.connect()
        gevent.sleep(0.05)
        sock.sendall(self.keep_alive_request("c-0"))
        # The node has not read the bytes yet when it closes idle connections.
        self.server.drain()
        self.server.close_idle()
        answer = Answer(read_all(sock))
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["connection"], "close")

    # Guards against a connection that is closed as idle between its start, or the last
    # response, and the request that follows at once.
    def test_a_connection_is_not_idle_just_after_its_start_or_a_response(self):
        self.add_endpoint("i-1")
        sock = self.connect()
        for number in range(2):
            gevent.sleep(0.01)
            self.server.close_idle()
            gevent.sleep(0.01)
            sock.sendall(self.keep_alive_request(f"c-{number}"))
            self.assertEqual(Answer(sock.recv(65536)).body, b"whole")
        sock.close()

    def test_a_request_sent_while_its_connection_is_closed_does_not_run(self):
        endpoint = self.add_endpoint("i-1")
        sock = self.connect()
        gevent.sleep(MIN_IDLE_SECONDS + 0.05)
        self.server.close_idle()
        try:
            sock.sendall(self.keep_alive_request("c-0"))
        except OSError:
            pass  # the connection may be closed already
        gevent.sleep(0.1)
        self.assertEqual(read_all(sock), b"")
        self.assertEqual(endpoint.executed_requests, [])

    def test_idle_connections_are_closed_after_the_configured_limit(self):
        sock = self.connect()
        sock.settimeout(5.0)
        with gevent.Timeout(5.0):
            self.assertEqual(sock.recv(10), b"")

    def test_an_incomplete_request_is_refused_after_the_time_limit(self):
        sock = self.connect()
        sock.sendall(b"GET /safe/x HTT")
        self.assertEqual(Answer(read_all(sock)).status, 408)


class DisconnectTests(unittest.TestCase):
    """Guard against a disconnection that ends something else than its request."""

    def serve(self, caller, endpoint, outcomes: list[str]) -> None:
        """Wait for an endpoint as a request does, then do something else."""
        watch = DisconnectWatch(caller)
        watch.start()
        try:
            endpoint.recv(1)
            outcomes.append("answered")
        except CallerConnectionClosed:
            outcomes.append("ended")
        finally:
            watch.stop()
        try:
            gevent.sleep(0.02)
        except CallerConnectionClosed:
            outcomes.append("hit the next request")

    # Guards against an exception that arrives after the response, or within the next
    # request, if the caller disconnects at the moment when the endpoint answers.
    def test_a_disconnection_has_no_effect_after_the_response(self):
        for closes_first in (False, True):
            with self.subTest(closes_first=closes_first):
                caller, peer = socket.socketpair()
                endpoint, sender = socket.socketpair()
                outcomes = []
                task = gevent.spawn(self.serve, caller, endpoint, outcomes)
                gevent.sleep(0.01)
                # Both are seen by the same iteration of the event loop.
                if closes_first:
                    peer.close()
                sender.send(b"x")
                peer.close()
                task.join()
                self.assertIn(outcomes, (["answered"], ["ended"]))
                for sock in (caller, endpoint, sender):
                    sock.close()
