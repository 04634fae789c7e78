"""Requests at a node that stops, in one process."""

import gevent

from rattanwick.internal.gateway.model import CallKind
from tests.gateway_case import Answer, RelayCase, make_route, read_all


class ConnectionTests(RelayCase):
    """Guard against connections that invite requests that the node cannot answer."""

    # Guards against a decision that is made when the request is read and holds when it
    # is answered, after the stop has begun.
    def test_an_answer_during_the_stop_closes_its_connection(self):
        endpoint = self.add_endpoint("i-1")
        endpoint.work_seconds = 0.3
        sock = self.connect()
        keep_alive = {"Connection": "keep-alive"}
        sock.sendall(self.request_bytes("/safe/x", headers=keep_alive))
        gevent.sleep(0.1)
        self.server.drain()
        answer = Answer(read_all(sock))
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers.get("connection"), "close")


class AdmissionTests(RelayCase):
    """Guard against requests that are taken in a stop and cannot be done in time."""

    def setUp(self):
        super().setUp()
        self.endpoint = self.add_endpoint("i-1")
        self.configure(
            make_route("/slow/", CallKind.UNSAFE, timeout=8.0, objective=0.5),
            make_route("/retry/", timeout=8.0, objective=2.0),
        )

    def begin_stop(self, seconds: float) -> None:
        """Begin a stop whose requests must end within some seconds."""
        self.server.drain()
        self.state.stop.begin(self.timers.now() + seconds)

    def post(self, headers: dict[str, str], body: bytes = b"") -> bytes:
        """Return a request whose deadline is after the end of each stop here."""
        headers = {"X-Deadline-Ms": "8000", "Connection": "keep-alive", **headers}
        return self.request_bytes("/slow/x", method="POST", body=body, headers=headers)

    def assert_refused(self, data: bytes) -> None:
        """Check that the answer is a 503 and that nothing was sent."""
        answer = Answer(data)
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["connection"], "close")
        self.assertLess(float(answer.headers["retry-after"]), 0.2)
        self.assertEqual(self.endpoint.executed_requests, [])

    # Guards against a request on a new connection that would be cut.
    def test_a_request_that_cannot_be_done_is_refused(self):
        self.begin_stop(0.2)
        self.assert_refused(self.exchange(self.post({}, b"body")).raw)

    # Guards against refusals of requests that the node has the time for.
    def test_a_request_that_can_be_done_is_served(self):
        self.begin_stop(1.0)
        answer = self.exchange(self.post({}, b"body"))
        self.assertEqual((answer.status, answer.body), (200, b"whole"))
        self.assertEqual(answer.headers["connection"], "close")

    # Guards against a caller that is asked for a body that is of no use.
    def test_a_caller_that_waits_for_100_is_refused_at_once(self):
        self.begin_stop(0.2)
        headers = {"Expect": "100-continue", "Content-Length": "4"}
        data = self.exchange(self.post(headers)).raw
        self.assertNotIn(b"100", data.partition(b"\r\n")[0])
        self.assert_refused(data)

    # Guards against a body that holds up a caller whose request cannot be done.
    def test_a_request_is_refused_while_its_body_arrives(self):
        for headers, pieces in (
            ({"Content-Length": "4"}, (b"b", b"o")),
            ({"Transfer-Encoding": "chunked"}, (b"1\r\nb\r\n", b"1\r\no\r\n")),
        ):
            with self.subTest(headers):
                self.begin_stop(0.8)
                sock = self.connect()
                sock.sendall(self.post(headers))
                for piece in pieces:
                    gevent.sleep(0.2)
                    sock.sendall(piece)
                self.assert_refused(read_all(sock))
                sock.close()

    # Guards against a request that waits for an endpoint until the node ends.
    def test_a_request_that_waits_is_refused_when_its_time_is_up(self):
        self.state.endpoints._views.clear()
        task = gevent.spawn(self.ask, "/retry/x", headers={"X-Deadline-Ms": "8000"})
        gevent.sleep(0.05)
        self.begin_stop(2.1)
        answer = task.get(timeout=2.0)
        self.assertEqual((answer.status, answer.body), (503, b"node_stopping\n"))

    # Guards against a second attempt that the end of the node would cut.
    def test_a_retry_that_cannot_be_done_is_not_sent(self):
        self.endpoint.fault = "busy"
        other = self.add_endpoint("i-2")
        other.fault = "busy"
        self.endpoint.work_seconds = other.work_seconds = 0.3
        task = gevent.spawn(self.ask, "/retry/x", headers={"X-Deadline-Ms": "8000"})
        gevent.sleep(0.1)
        self.begin_stop(0.4)
        self.assertEqual(task.get(timeout=2.0).status, 502)
        ran = len(self.endpoint.executed_requests) + len(other.executed_requests)
        self.assertEqual(ran, 1)
