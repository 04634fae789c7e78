"""Requests at a node that stops, in one process."""

import socket as std_socket
from dataclasses import replace
from unittest import mock

import gevent
from gevent import monkey, socket

from fakes.gateway_endpoint import FakeGatewayEndpoint
from rattanwick.internal.gateway.model import CallKind, Organisation
from rattanwick.internal.gateway.shutdown import GracefulShutdown
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

    # Guards against requests that are reset in the kernel's queue when it is closed.
    def test_connections_that_wait_to_be_accepted_are_served(self):
        self.add_endpoint("i-1")
        address = "127.0.0.1", self.server.port
        # Without gevent, so that the server cannot accept them meanwhile.
        make_socket = monkey.get_original("socket", "socket")
        waiting = [make_socket() for _ in range(8)]
        for number, sock in enumerate(waiting):
            sock.connect(address)
            sock.sendall(self.request_bytes("/safe/x", call_id=f"c-{number}"))
        self.server.drain()
        self.server.stop_accepting()
        statuses = []
        for sock in waiting:
            with socket.socket(fileno=sock.detach()) as conn:
                statuses.append(Answer(read_all(conn)).status)
        self.assertEqual(statuses, [200] * len(waiting))
        with self.assertRaises(OSError):
            socket.create_connection(address, 1.0)

    # Guards against connections that are accepted by the kernel until the process is
    # gone if its grace time is shorter than the usual time of accepting.
    def test_a_short_stop_closes_the_listening_socket_too(self):
        shutdown = GracefulShutdown(self.server, self.state.stop, grace=1.0)
        shutdown.begin()
        started = self.timers.now()
        shutdown.wait()
        self.assertLess(self.timers.now() - started, 0.7)
        with self.assertRaises(OSError):
            socket.create_connection(("127.0.0.1", self.server.port), 1.0)


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

    # Guards against long streams that expire and leave only the short ones to count.
    def test_a_stream_that_expires_counts_with_its_time(self):
        endpoint = self.add_endpoint("e-1", "engine")
        endpoint.event_seconds = 0.2
        self.configure(
            make_route("/stream/", CallKind.STREAM, "engine", max_attempts=1)
        )
        self.ask("/stream/x", method="POST", headers={"X-Deadline-Ms": "500"})
        times = self.state.stop.answer_times
        self.assertGreater(times.longest("stream", self.timers.now(), 0.0), 0.4)

    # Guards against callers that leave early and make their requests look short.
    def test_a_request_whose_caller_left_does_not_lower_the_estimate(self):
        self.endpoint.work_seconds = 1.0
        sock = self.connect()
        sock.sendall(self.post({}, b"body"))
        gevent.sleep(0.1)
        sock.close()
        gevent.sleep(0.1)
        times = self.state.stop.answer_times
        self.assertEqual(times.longest("slow", self.timers.now(), 7.0), 7.0)

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


class EndOfStopTests(RelayCase):
    """Guard against requests that end with the process, without a word."""

    KEEP_ALIVE = {"Connection": "keep-alive"}

    def send(self, path: str, body: bytes = b"body", **options):
        """Send a request and return the connection once the node has read it."""
        sock = self.connect()
        options.setdefault("headers", self.KEEP_ALIVE)
        sock.sendall(self.request_bytes(path, method="POST", body=body, **options))
        gevent.sleep(0.1)
        return sock

    def end(self, sock) -> Answer:
        """End the requests in progress and return the answer."""
        self.server.drain()
        self.server.end_requests()
        answer = Answer(read_all(sock))
        sock.close()
        return answer

    # Guards against a 504, after which a caller may not repeat the request, and against
    # no answer, for a request that was not sent.
    def test_a_request_that_waits_for_an_endpoint_gets_503(self):
        self.configure(make_route("/wait/", objective=8.0))
        answer = self.end(self.send("/wait/x"))
        self.assertEqual((answer.status, answer.body), (503, b"node_stopping\n"))
        self.assertEqual(answer.headers["connection"], "close")
        self.assertIn("retry-after", answer.headers)

    # Guards against the same while the connection to the endpoint is opened.
    def test_a_request_whose_endpoint_is_being_connected_gets_503(self):
        endpoint = self.add_endpoint("i-1")
        with mock.patch.object(
            self.state.connections, "acquire", lambda *_, **__: gevent.sleep(2.0)
        ):
            answer = self.end(self.send("/unsafe/x"))
        self.assertEqual(answer.status, 503)
        self.assertEqual(endpoint.executed_requests, [])

    # Guards against a 503, which says "not run", for a request that an endpoint has.
    def test_a_request_that_was_sent_gets_504(self):
        endpoint = self.add_endpoint("i-1")
        endpoint.work_seconds = 1.0
        answer = self.end(self.send("/unsafe/x"))
        self.assertEqual((answer.status, answer.body), (504, b"node_stopping\n"))
        self.assertEqual(len(endpoint.executed_requests), 1)

    # Guards against a caller that gets nothing because its body is not complete.
    def test_a_request_whose_body_is_incomplete_gets_503(self):
        headers = {**self.KEEP_ALIVE, "Content-Length": "9"}
        answer = self.end(self.send("/unsafe/x", headers=headers))
        self.assertEqual(answer.status, 503)

    # Guards against a stream that looks complete when it is broken off, and against a
    # second head inside it.
    def test_a_stream_that_has_begun_is_broken_off(self):
        endpoint = self.add_endpoint("i-1", "engine")
        for path in ("/stream/x", "/resume/x"):
            with self.subTest(path):
                endpoint.event_seconds = 0.08
                sock = self.send(path)
                with gevent.Timeout(3.0):
                    while b"piece 1" not in sock.recv(65536, std_socket.MSG_PEEK):
                        gevent.sleep(0.01)
                endpoint.event_seconds = 1.0
                answer = self.end(sock)
                self.assertEqual(answer.status, 200)
                self.assertIn(b"data: piece 1", answer.body)
                self.assertEqual(answer.raw.count(b"HTTP/1.1"), 1)
                self.assertFalse(answer.raw.endswith(b"0\r\n\r\n"))

    # Guards against a stream whose caller gets 200 for nothing.
    def test_a_stream_without_an_event_gets_504(self):
        self.add_endpoint("i-1", "engine").event_seconds = 1.0
        self.assertEqual(self.end(self.send("/stream/x")).status, 504)

    # Guards against an answer that is cut although it is on its way to the caller.
    def test_an_answer_that_a_caller_reads_slowly_is_not_cut(self):
        endpoint = self.add_endpoint("i-1")
        body = b"x" * (4 << 20)
        with mock.patch.object(
            FakeGatewayEndpoint,
            "_send_whole_response",
            lambda fake, sock, headers, fault: fake._send_response(
                sock, "200 OK", headers, body, {}
            ),
        ):
            answer = self.end(self.send("/unsafe/x"))
        self.assertEqual((answer.status, len(answer.body)), (200, len(body)))
        self.assertEqual(len(endpoint.executed_requests), 1)

    # Guards against a reset that discards an answer, since the node had bytes unread.
    def test_an_answer_arrives_although_the_caller_has_sent_more(self):
        endpoint = self.add_endpoint("i-1")
        endpoint.work_seconds = 0.2
        for number in range(5):
            sock = self.send("/safe/x", call_id=f"c-{number}")
            sock.sendall(self.request_bytes("/safe/x", call_id="later") * 20)
            self.server.drain()
            gevent.sleep(0.3)
            answer = Answer(read_all(sock))
            sock.close()
            self.assertEqual((answer.status, answer.body), (200, b"whole"))
        seen = {headers["x-request-id"] for headers in endpoint.executed_requests}
        self.assertNotIn("later", seen)

    # Guards against a process that ends while an answer is still in its buffers.
    def test_a_connection_counts_as_open_until_its_answer_is_read(self):
        sock = self.send("/none/x")
        self.server.drain()
        sock.sendall(self.request_bytes("/none/x"))
        gevent.sleep(0.1)
        self.assertEqual((self.server.busy, len(self.server.connections)), (0, 1))
        read_all(sock)
        sock.close()
        gevent.sleep(0.05)
        self.assertEqual(len(self.server.connections), 0)


class ChangesDuringStopTests(RelayCase):
    """Guard against changes in a stop that end a request that was taken."""

    def setUp(self):
        super().setUp()
        self.endpoint = self.add_endpoint("i-1")
        self.endpoint.work_seconds = 0.3

    def ask_while(self, change) -> Answer:
        """Begin a stop and make a change while a request is at an endpoint."""
        task = gevent.spawn(self.ask, "/unsafe/x", method="POST", body=b"b")
        gevent.sleep(0.1)
        self.server.drain()
        self.state.stop.begin(self.timers.now() + 2.0)
        change()
        return task.get(timeout=2.0)

    # Guards against a configuration that takes a request's route from under it.
    def test_a_configuration_without_the_route(self):
        answer = self.ask_while(lambda: self.configure(make_route("/other/")))
        self.assertEqual((answer.status, answer.body), (200, b"whole"))

    # Guards against a key that is withdrawn while its request runs.
    def test_a_configuration_without_the_key(self):
        others = Organisation("other", frozenset(("k",)), 1, 0.0, 0.0, True, 200)
        answer = self.ask_while(
            lambda: self.configure(make_route("/unsafe/"), organisation=others)
        )
        self.assertEqual(answer.status, 200)

    # Guards against an endpoint that leaves, whose requests still end there.
    def test_an_endpoint_that_leaves(self):
        view = self.state.endpoints.get("i-1")

        def leave():
            view.endpoint = replace(view.endpoint, leaving=True)

        self.assertEqual(self.ask_while(leave).status, 200)

    def test_an_endpoint_that_is_removed(self):
        answer = self.ask_while(self.state.endpoints._views.clear)
        self.assertEqual(answer.status, 200)

    # Guards against an endpoint that is lost in the stop, after which a caller must not
    # be told that its request did not run.
    def test_an_endpoint_that_crashes(self):
        answer = self.ask_while(self.endpoint.crash)
        self.assertEqual(answer.status, 502)

    # Guards against a body that arrives after its route was removed: there must be an
    # answer.
    def test_a_body_that_is_complete_after_its_route_was_removed(self):
        sock = self.connect()
        headers = {"Content-Length": "2"}
        sock.sendall(self.request_bytes("/unsafe/x", method="POST", headers=headers))
        gevent.sleep(0.05)
        self.configure(make_route("/other/"))
        sock.sendall(b"hi")
        self.assertEqual(Answer(read_all(sock)).status, 404)
        sock.close()

    # Guards against two requests in one packet, of which the second is passed on
    # although its connection closes.
    def test_a_pipelined_request_is_not_passed_on(self):
        sock = self.connect()
        headers = {"Connection": "keep-alive"}
        for call_id in ("first", "second"):
            sock.sendall(self.request_bytes("/safe/x", call_id, headers=headers))
        gevent.sleep(0.1)
        self.server.drain()
        answer = Answer(read_all(sock))
        sock.close()
        self.assertEqual((answer.status, answer.body), (200, b"whole"))
        seen = [headers["x-request-id"] for headers in self.endpoint.executed_requests]
        self.assertEqual(seen, ["first"])
