"""Limits of the HTTP server for callers, and the reload of its TLS key."""

import ssl
import time
from pathlib import Path

import gevent
from gevent import socket
from gevent.ssl import SSLContext

from rattanwick.internal.base.settings import CallerSettings
from rattanwick.internal.requests import admission, server
from rattanwick.internal.requests.server import CallerServer, ReloadingTlsContext
from tests.request_case import RequestCase

# Certificates and keys made for these tests; no deployment trusts them.
DATA = Path(__file__).resolve().parent.parent / "data"


class LimitTests(RequestCase):
    """Guard against callers that occupy a node with large, slow or malformed input."""

    settings = {"max_body_bytes": 2048, "max_in_flight": 1}

    def exchange(self, data: bytes) -> bytes:
        conn = socket.create_connection(("127.0.0.1", self.server.server_port), 5.0)
        self.addCleanup(conn.close)
        conn.sendall(data)
        received = b""
        while piece := conn.recv(65536):
            received += piece
        return received

    def test_an_oversized_body_is_refused_with_the_field(self):
        answer = self.chat("x" * 3000)
        self.assertEqual((answer.status, answer.outcome), (413, "not_run"))
        self.assertEqual(answer.json()["error"]["param"], "body")

    def test_an_oversized_chunked_body_is_refused_without_reading_it_all(self):
        chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
        head = (
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nConnection: close\r\n"
            b"Authorization: Bearer key-a\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        self.assertIn(b" 413 ", self.exchange(head + chunk * 4 + b"0\r\n\r\n"))

    def test_the_body_of_a_refused_request_is_not_read_to_its_end(self):
        head = (
            b"POST /v1/completions HTTP/1.1\r\nHost: n\r\nContent-Length: 99999999999"
        )
        started = time.monotonic()
        received = self.exchange(head + b"\r\n\r\n" + b"x" * 50_000)
        self.assertIn(b" 401 ", received)
        self.assertLess(time.monotonic() - started, 3.0)

    def test_oversized_headers_are_refused_with_a_clear_error(self):
        head = b"GET /v1/entry HTTP/1.1\r\nHost: n\r\nX-Long: " + b"x" * 20_000
        received = self.exchange(head + b"\r\n\r\n")
        self.assertTrue(received.startswith(b"HTTP/1.1 431 "), received[:80])
        self.assertIn(b"header", received)

    def test_headers_that_could_smuggle_a_request_are_refused(self):
        cases = (
            b"Content-Length: 2\r\nContent-Length: 3",
            b"X-One: 1\r\n folded: 2",
            b"Content-Length : 2",
            b"Content-Length: -1",
            b"no colon",
        )
        for case in cases:
            with self.subTest(case=case):
                head = b"POST /v1/completions HTTP/1.1\r\nHost: n\r\n" + case
                received = self.exchange(head + b"\r\n\r\nxx")
                self.assertTrue(received.startswith(b"HTTP/1.1 400 "), received[:80])

    def test_a_body_that_does_not_arrive_in_time_is_refused(self):
        self.addCleanup(
            setattr, admission, "BODY_TIMEOUT_SECONDS", admission.BODY_TIMEOUT_SECONDS
        )
        admission.BODY_TIMEOUT_SECONDS = 0.05
        head = (
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nConnection: close\r\n"
            b"Authorization: Bearer key-a\r\nContent-Length: 9\r\n\r\n{"
        )
        self.assertIn(b" 408 ", self.exchange(head))

    def test_a_header_that_does_not_end_in_time_ends_the_connection(self):
        self.addCleanup(
            setattr, server, "HEADER_TIMEOUT_SECONDS", server.HEADER_TIMEOUT_SECONDS
        )
        server.HEADER_TIMEOUT_SECONDS = 0.05
        self.assertEqual(self.exchange(b"GET /v1/en"), b"")
        self.assertIn(b" 400 ", self.exchange(b"GET /v1/entry HTTP/1.1\r\nHost: n\r\n"))

    def test_a_request_above_the_limit_in_flight_is_not_run(self):
        self.fakes["e1"].engine.spec.first_token_seconds = 0.2
        first = gevent.spawn(self.chat, "one #tokens=1")
        self.wait_until(lambda: self.ledger("e1"))
        second = self.chat("two")
        self.assertEqual((second.status, second.outcome), (503, "not_run"))
        self.assertEqual(second.json()["error"]["code"], "node_full")
        self.assertEqual(first.get().outcome, "answered")


class TlsTests(RequestCase):
    """Guard against a renewed certificate that is not used, or an invalid one that is.

    An operator may replace the two files one after the other, so that for a time they
    do not match.
    """

    def settings_for(self, name: str) -> CallerSettings:
        return CallerSettings(
            address="127.0.0.1",
            port=1,
            tls_certificate=str(DATA / f"tls_{name}.pem"),
            tls_key=str(DATA / f"tls_{name}.key"),
        )

    def certificate(self, port: int) -> bytes:
        context = SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
        raw = socket.create_connection(("127.0.0.1", port), 5.0)
        with context.wrap_socket(raw) as conn:
            conn.sendall(b"GET /v1/entry HTTP/1.1\r\nHost: n\r\n\r\n")
            self.assertIn(b"200 OK", conn.recv(4096))
            return conn.getpeercert(binary_form=True)

    def test_a_changed_key_is_used_for_new_connections(self):
        server = CallerServer(self.settings_for("a"), self.app, self.timers, 0)
        server.start()
        self.addCleanup(server.close_gracefully, 0.2)
        before = self.certificate(server.server_port)
        tls: ReloadingTlsContext = server._tls
        self.assertFalse(tls.reload())
        other = self.settings_for("b")
        tls._files = (other.tls_certificate, str(DATA / "tls_a.key"))
        self.assertFalse(tls.reload(), "a certificate of another key was loaded")
        self.assertEqual(self.certificate(server.server_port), before)
        tls._files = (other.tls_certificate, other.tls_key)
        self.assertTrue(tls.reload())
        self.assertNotEqual(self.certificate(server.server_port), before)
