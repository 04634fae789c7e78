"""Each request that was read gets an answer, whatever ends it."""

from unittest import mock

import gevent
from gevent import socket

from rattanwick.internal.gateway.caller_response import CallerResponseWriter
from rattanwick.internal.gateway.endpoint_connection import EndpointConnection
from rattanwick.platform.codec import PlatformCodec
from tests.gateway_case import Answer, RelayCase, make_route, read_all

# What no part of the relay expects: faults of the code or of a value, a timer that was
# not stopped, and the end of the greenlet.
EXCEPTIONS = (OverflowError("number"), gevent.Timeout(0.1), gevent.GreenletExit())


class UnexpectedExceptionTests(RelayCase):
    """Guard against a caller that gets nothing because of an unexpected exception."""

    def ask_with(self, target, method: str, exc: BaseException) -> Answer:
        """Send an unsafe request while a method raises an exception."""
        with mock.patch.object(target, method, side_effect=exc):
            return self.ask("/unsafe/x", method="POST", body=b"b")

    # Guards against a connection that ends without an answer if a decision fails.
    def test_an_exception_before_a_request_is_sent_gets_503(self):
        endpoint = self.add_endpoint("i-1")
        for exc in EXCEPTIONS:
            with self.subTest(repr(exc)):
                answer = self.ask_with(self.state.endpoints, "of_service", exc)
                self.assertEqual(answer.status, 503)
                self.assertIn("retry-after", answer.headers)
        self.assertEqual(endpoint.executed_requests, [])

    # Guards against a 503, which says "not run", for a request that may have run.
    def test_an_exception_after_a_request_was_sent_gets_502(self):
        self.add_endpoint("i-1")
        for exc in EXCEPTIONS:
            with self.subTest(repr(exc)):
                answer = self.ask_with(PlatformCodec, "decode_response_head", exc)
                self.assertEqual(answer.status, 502)

    # Guards against an exception while the bytes are on their way, when it is not
    # known whether the endpoint got the request.
    def test_an_exception_while_a_request_is_sent_gets_502(self):
        self.add_endpoint("i-1")
        for exc in EXCEPTIONS:
            with self.subTest(repr(exc)):
                answer = self.ask_with(EndpointConnection, "send", exc)
                self.assertEqual(answer.status, 502)

    # Guards against a request that is dropped by the code that reads it.
    def test_an_exception_in_the_decoding_of_a_request_gets_503(self):
        for exc in EXCEPTIONS:
            with self.subTest(repr(exc)):
                answer = self.ask_with(PlatformCodec, "decode_call", exc)
                self.assertEqual(answer.status, 503)

    # Guards against an answer that nobody has asked for, which a caller would take for
    # that of its next request.
    def test_an_exception_on_an_idle_connection_writes_nothing(self):
        for exc in (gevent.GreenletExit(), OverflowError("number")):
            with self.subTest(repr(exc)):
                sock = self.connect()
                gevent.sleep(0.05)
                for conn in self.server.connections:
                    conn._task.kill(exc, block=False)
                self.assertEqual(read_all(sock), b"")
                sock.close()

    # Guards against a stream that looks complete, or has a second head inside.
    def test_an_exception_in_a_stream_breaks_it(self):
        endpoint = self.add_endpoint("i-1", "engine")
        endpoint.event_seconds = 0.01
        send = CallerResponseWriter.send_chunk

        def fail_after_head(writer, data, head):
            if head is None:
                raise OverflowError("number")
            send(writer, data, head)

        with mock.patch.object(CallerResponseWriter, "send_chunk", fail_after_head):
            answer = self.ask("/stream/x", method="POST", body=b"b")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.raw.count(b"HTTP/1.1"), 1)
        self.assertFalse(answer.raw.endswith(b"0\r\n\r\n"))


class HalfClosedTests(RelayCase):
    """Guard against a caller that closes its sending side and gets nothing."""

    def ask_and_close_sending(self, path: str) -> Answer:
        """Send a request, close the sending side and read the answer."""
        sock = self.connect()
        try:
            sock.sendall(self.request_bytes(path, method="POST", body=b"b"))
            gevent.sleep(0.1)
            sock.shutdown(socket.SHUT_WR)
            return Answer(read_all(sock))
        finally:
            sock.close()

    def test_a_request_that_was_sent_gets_502(self):
        endpoint = self.add_endpoint("i-1")
        endpoint.work_seconds = 1.0
        self.assertEqual(self.ask_and_close_sending("/unsafe/x").status, 502)

    def test_a_request_that_waits_gets_503(self):
        self.configure(make_route("/wait/", objective=8.0))
        self.assertEqual(self.ask_and_close_sending("/wait/x").status, 503)


class BrokenStreamTests(RelayCase):
    """Guard against a stream that ends early and looks complete."""

    # Guards against the end of a connection that looks like the end of a response which
    # has neither a length nor chunks.
    def test_a_broken_stream_of_http_1_0_is_reset(self):
        endpoint = self.add_endpoint("i-1", "engine")
        endpoint.event_seconds = 0.05
        data = self.request_bytes("/stream/x", method="POST", body=b"b")
        for fault, is_complete in (("", True), ("cut_between_events", False)):
            with self.subTest(fault):
                endpoint.fault = fault
                sock = self.connect()
                sock.sendall(data.replace(b"HTTP/1.1", b"HTTP/1.0"))
                self.assertEqual(self.read_to_end(sock), is_complete)
                sock.close()

    def read_to_end(self, sock) -> bool:
        """Read a connection; return whether it ends without a reset."""
        try:
            while sock.recv(65536):
                pass
        except ConnectionResetError:
            return False
        return True
