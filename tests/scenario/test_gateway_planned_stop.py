"""Planned stops of a gateway node as a process, with endpoints that take long."""

import signal
import tempfile
import time
import unittest
from pathlib import Path

import gevent

from fakes.gateway_deployment import GatewayDeployment, make_configuration
from tests.planned_stop import RecordingCaller, SentRequest

NODES = ("front-a-1", "front-b-1")
ENDPOINTS = 4
WORK_SECONDS = 6.0  # of an endpoint; close to the grace time
GRACE_SECONDS = 8.0


class PlannedStopTests(unittest.TestCase):
    """Guard against requests that arrived whole and get no answer in a stop."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = GatewayDeployment(Path(folder.name), NODES)
        self.addCleanup(self.deployment.close)
        self.deployment.configure(make_configuration(3))
        for number in range(ENDPOINTS):
            endpoint = self.deployment.add_endpoint(f"i-{number}", stream=False)
            endpoint.work_seconds = WORK_SECONDS
        for name in NODES:
            self.deployment.start_node(name)
        self.assertTrue(self.deployment.wait_joined())
        self.node = self.deployment.nodes[NODES[0]]
        self.address = self.deployment.callers_address(NODES[0])

    def caller(self, name: str, path: str = "/unsafe/x") -> RecordingCaller:
        """Return a caller of the node that stops."""
        return RecordingCaller(self.address, name, path)

    def assert_stopped(self, started: float) -> None:
        """Check that the node ends by itself before the platform would kill it."""
        self.assertEqual(self.node.wait(GRACE_SECONDS + 2.0), 0)
        self.assertLess(time.monotonic() - started, GRACE_SECONDS)

    def assert_answered(self, sent: list[SentRequest]) -> None:
        """Check that each request got a complete response."""
        self.assertEqual([request for request in sent if not request.complete], [])

    def ran(self) -> set[str]:
        """Return the ids of the requests that endpoints ran."""
        return {
            headers["x-request-id"]
            for endpoint in self.deployment.endpoints.values()
            for headers in endpoint.executed_requests
        }

    # Guards against a connection that stays open after an answer of the stop, so that
    # the next request on it is cut at the end of the grace time.
    def test_each_request_on_a_kept_connection_is_answered(self):
        callers = [self.caller(f"c{number}") for number in range(16)]
        tasks = [gevent.spawn(caller.run) for caller in callers]
        gevent.sleep(0.7)
        started = time.monotonic()
        self.node.terminate()
        self.assert_stopped(started)
        gevent.joinall(tasks, timeout=5.0, raise_error=True)
        sent = [request for caller in callers for request in caller.sent]
        self.assert_answered(sent)
        self.assertEqual([request.status for request in sent[:1]], [200])
        refused = {request.id for request in sent if request.status == 503}
        self.assertEqual(refused & self.ran(), set())

    # Guards against a request whose body is complete late in the grace time, and that
    # is sent to an endpoint although the node ends before the answer.
    def test_a_request_whose_body_arrives_late_is_refused(self):
        kept, slow = self.caller("kept"), self.caller("slow")
        first = gevent.spawn(kept.send)
        gevent.sleep(0.5)
        started = time.monotonic()
        self.node.terminate()
        task = gevent.spawn(slow.send, pauses=(2.0, 2.0), deadline_ms=9000)
        self.assert_stopped(started)
        gevent.joinall([first, task], timeout=5.0, raise_error=True)
        self.assert_answered(kept.sent + slow.sent)
        self.assertEqual([request.status for request in kept.sent], [200])
        self.assertNotIn("slow-0", self.ran())

    # Guards against a process that ends with requests in progress and says nothing.
    def test_a_request_that_still_runs_at_the_end_gets_504(self):
        caller, reader = self.caller("sent"), self.caller("reader")
        started = time.monotonic()
        self.node.terminate()
        tasks = [
            gevent.spawn_later(2.2, caller.send, deadline_ms=9000),
            gevent.spawn_later(2.2, reader.send, b"b" * 9, (1.0,) * 5),
        ]
        self.assert_stopped(started)
        gevent.joinall(tasks, timeout=5.0, raise_error=True)
        self.assertEqual([request.status for request in caller.sent], [504])
        self.assert_answered(caller.sent)
        for request in reader.sent:
            self.assertEqual(request.status, 503)
        self.assertEqual(self.ran(), {"sent-0"})

    # Guards against an error status of a complete stop, because a signal arrives while
    # the interpreter ends and has restored the default handlers.
    def test_signals_at_the_end_of_the_process_do_not_change_its_status(self):
        self.node.terminate()
        with gevent.Timeout(GRACE_SECONDS):
            while self.node.poll() is None:
                self.node.terminate()
        self.assertEqual(self.node.status, 0)

    # Guards against a second signal that ends the process in the middle of its stop.
    def test_signals_in_a_stop_change_nothing(self):
        for endpoint in self.deployment.endpoints.values():
            endpoint.work_seconds = 1.0
        callers = [self.caller(f"c{number}") for number in range(8)]
        tasks = [gevent.spawn(caller.run) for caller in callers]
        gevent.sleep(0.5)
        started = time.monotonic()
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            self.node.send_signal(number)
            gevent.sleep(0.3)
        self.node.send_signal(signal.SIGINT)
        self.assert_stopped(started)
        gevent.joinall(tasks, timeout=5.0, raise_error=True)
        sent = [request for caller in callers for request in caller.sent]
        self.assert_answered(sent)
        # Each request that can be done in time is served.
        self.assertEqual({request.status for request in sent}, {200})

    # Guards against requests that are lost if no other node is left.
    def test_all_nodes_stop_at_once(self):
        addresses = [self.deployment.callers_address(name) for name in NODES]
        callers = [
            RecordingCaller(addresses[number % 2], f"c{number}", "/safe/x")
            for number in range(12)
        ]
        tasks = [gevent.spawn(caller.run) for caller in callers]
        gevent.sleep(0.5)
        started = time.monotonic()
        nodes = list(self.deployment.nodes.values())
        for node in nodes:
            node.terminate()
        for node in nodes:
            self.assertEqual(node.wait(GRACE_SECONDS + 2.0), 0)
        self.assertLess(time.monotonic() - started, GRACE_SECONDS)
        gevent.joinall(tasks, timeout=5.0, raise_error=True)
        self.assert_answered([request for c in callers for request in c.sent])
