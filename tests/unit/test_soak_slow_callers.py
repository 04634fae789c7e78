"""Tests of the soak test's slow callers.

They guard against callers that send no slow or pipelined requests, with which the soak
test would pass whatever a stopping node does with them.
"""

import unittest
from unittest import mock

import gevent
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

from soak import slow_callers
from soak.slow_callers import BODY_COPIES, SlowCaller

RUN_SECONDS = 2.0


class OneNode:
    """Deployment with one node, which listens at an address."""

    def __init__(self, port: int):
        self.nodes = {"n-1": None}
        self._address = f"127.0.0.1:{port}"

    def addresses(self, _name: str) -> list[str]:
        """Return the address of the node."""
        return [self._address]


class SlowCallerTests(unittest.TestCase):
    def setUp(self):
        self.requests = []
        for name, value in (
            ("BODY_SECONDS", (0.02, 0.1)),
            ("MAX_INTERVAL_SECONDS", 0.01),
            ("READ_PAUSE_SECONDS", 0.001),
        ):
            patch = mock.patch.object(slow_callers, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def call(self, server) -> list:
        """Let a caller send requests to a server and return the results."""
        server.start()
        self.addCleanup(server.stop, 0.1)
        caller = SlowCaller(OneNode(server.server_port), 1, "seed")
        task = gevent.spawn(caller.run)
        gevent.sleep(RUN_SECONDS)
        caller.stopping = True
        task.get(timeout=10.0)
        return caller.results

    def answer(self, environ, start_response):
        """Respond with the id of the request, as slow endpoints do."""
        body = environ["wsgi.input"].read().decode()
        self.requests.append(environ)
        request_id = environ["HTTP_X_REQUEST_ID"]
        if environ["REQUEST_METHOD"] == "POST":
            self.assertEqual(body, request_id)
        start_response("200 OK", [("X-Request-Id", request_id)])
        return [request_id.encode() * BODY_COPIES]

    def test_requests_of_all_kinds_are_sent_and_their_responses_read(self):
        server = WSGIServer(("127.0.0.1", 0), self.answer, log=None)
        results = self.call(server)
        self.assertEqual([item for item in results if not item.succeeded], [])
        for result in results:
            self.assertEqual(result.body, result.id.encode() * BODY_COPIES)
            self.assertIsNotNone(result.sent_at)
        self.assertTrue(any("HTTP_TRANSFER_ENCODING" in item for item in self.requests))
        self.assertTrue(any("HTTP_EXPECT" in item for item in self.requests))
        self.assertTrue(any(item.paused for item in results))
        sent = [item.sent_at for item in results]
        self.assertLess(len(set(sent)), len(sent), "no request was pipelined")

    def test_a_whole_request_without_a_response_is_recorded_as_sent(self):
        def drop(sock, _address) -> None:
            sock.recv(65_536)
            sock.close()

        results = self.call(StreamServer(("127.0.0.1", 0), drop))
        self.assertTrue(any(item.sent_at is not None for item in results))
        for result in results:
            self.assertEqual(result.status, 0)
            self.assertTrue(result.error)
