"""Connections that read on after their last response, in a stop."""

import gevent

from rattanwick.internal.gateway.model import CallKind
from rattanwick.internal.gateway.shutdown import GracefulShutdown
from tests.gateway_case import Answer, RelayCase, make_route, read_all


class LingerTests(RelayCase):
    """Guard against a refusal that a reset discards while the body is still sent.

    Idle connections are closed 1.6 s after the start of a stop, and one that reads on
    after its last response is not idle.
    """

    def test_a_caller_can_send_its_whole_body_after_a_refusal(self):
        self.configure(
            make_route("/slow/", CallKind.UNSAFE, timeout=8.0, objective=8.0)
        )
        shutdown = GracefulShutdown(self.server, self.state.stop, 8.0)
        shutdown.begin()
        shutdown._started -= 1.7
        task = gevent.spawn(shutdown.wait)
        self.addCleanup(task.kill)
        sock = self.connect()
        self.addCleanup(sock.close)
        headers = {"Content-Length": "10", "X-Deadline-Ms": "30000"}
        sock.sendall(self.request_bytes("/slow/x", method="POST", headers=headers))
        for _ in range(10):
            gevent.sleep(0.12)
            sock.sendall(b"b")
        self.assertEqual(Answer(read_all(sock)).status, 503)
