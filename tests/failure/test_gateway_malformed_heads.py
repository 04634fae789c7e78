"""Endpoints that send heads which are no answers in the protocol."""

import unittest

import gevent

from fakes.gateway_endpoint import SIGNATURE
from fakes.scripted_endpoint import ScriptedEndpoint, chunk
from tests.gateway_case import RelayCase, make_view

EVENT = b"id: 1\ndata: a\n\n"
ROUTES = ("/unsafe/x", "/safe/x", "/stream/x", "/resume/x")
FRAMINGS = ("length", "chunks", "none")


def frame(framing: str, body: bytes) -> tuple[bytes, bytes]:
    """Return the fields of a framing and the framed body."""
    if framing == "length":
        return b"Content-Length: %d\r\n" % len(body), body
    if framing == "chunks":
        return b"Transfer-Encoding: chunked\r\n", chunk(body) + chunk(b"")
    return b"", body


class MalformedHeadTests(RelayCase):
    """Guard against an answer that is not in the protocol but reaches a caller."""

    pause_after = b"\r\n\r\n"  # bytes after which the endpoint pauses

    def serve(
        self,
        path: str,
        status_line: bytes,
        framing: str,
        fields: bytes = b"",
        body: bytes = EVENT,
    ) -> None:
        """Put an endpoint that sends such a head in place of all others.

        ``fields`` stand before the framing.
        """
        framing_fields, data = frame(framing, body)

        def send_answer(_endpoint, sock, headers: dict[str, str]) -> None:
            own_id = headers["x-request-id"].encode()
            stamp = b"X-Server-Stamp: %s\r\n" % SIGNATURE.encode()
            head = b"%s\r\nX-Request-Id: %s\r\n" % (status_line, own_id)
            answer = head + stamp + fields + framing_fields + b"\r\n" + data
            first, mark, rest = answer.partition(self.pause_after)
            sock.sendall(first + mark)
            gevent.sleep(0.02)
            sock.sendall(rest)

        endpoint = ScriptedEndpoint(send_answer)
        self.addCleanup(endpoint.stop)
        endpoint_id = f"i-{endpoint.address}"
        service = "engine" if path in ("/stream/x", "/resume/x") else "plain"
        self.view = make_view(endpoint_id, service, endpoint.address)
        self.state.endpoints._views = {endpoint_id: self.view}

    def check_rejected(
        self, status_line: bytes = b"HTTP/1.1 200 OK", fields: bytes = b""
    ) -> None:
        """Check that such an answer counts as a failure, on all routes and framings."""
        for path in ROUTES:
            for framing in FRAMINGS:
                with self.subTest(status_line, fields=fields, path=path, body=framing):
                    self.serve(path, status_line, framing, fields)
                    answer = self.ask(path, method="POST", body=b"b")
                    self.assertEqual(answer.status, 502)
                    self.assertNotIn("x-server-stamp", answer.headers)
                    self.assertGreater(self.view.failure_rate, 0)
                    idle = self.state.connections.endpoints_with_idle_connection()
                    self.assertNotIn(self.view.endpoint.id, idle)

    def check_accepted(
        self,
        status_line: bytes = b"HTTP/1.1 200 OK",
        fields: bytes = b"",
        body: bytes = EVENT,
    ) -> None:
        """Check that such an answer reaches the caller, on all routes and framings."""
        for path in ROUTES:
            for framing in FRAMINGS:
                with self.subTest(status_line, fields=fields, path=path, body=framing):
                    self.serve(path, status_line, framing, fields, body)
                    answer = self.ask(path, method="POST", body=b"b")
                    self.assertEqual(answer.status, 200)
                    self.assertIn(body, answer.body)

    def test_a_status_outside_the_protocol_is_a_failure(self):
        for status in (b"000", b"001", b"099", b"101", b"600", b"999", b"20", b"2000"):
            self.check_rejected(b"HTTP/1.1 %s X" % status)

    def test_a_name_with_a_blank_or_a_control_byte_is_a_failure(self):
        for line in (b"X Y: v", b"X\tY: v", b"X : v", b"X\x01Y: v", b"X\x7f: v"):
            self.check_rejected(fields=line + b"\r\n")

    def test_a_line_that_begins_with_a_blank_is_a_failure(self):
        for blank in (b" ", b"\t"):
            for line in (b"X: v", b"Transfer-Encoding: chunked", b""):
                self.check_rejected(fields=b"A: b\r\n" + blank + line + b"\r\n")
            self.check_rejected(b"HTTP/1.1 200 OK\r\n" + blank + b"X: v")

    def test_a_folded_line_that_arrives_in_two_parts_is_a_failure(self):
        self.pause_after = b"A: b\r\n"
        self.check_rejected(fields=b"A: b\r\n Transfer-Encoding: chunked\r\n")

    def test_a_body_line_that_begins_with_a_blank_is_sound(self):
        self.check_accepted(body=b"id: 1\n data: a\ndata: b\n\n \n\n")

    def test_heads_of_sound_endpoints_are_accepted(self):
        self.check_accepted(b"HTTP/1.1 200")
        for line in (b"A:", b"A: b\tc \xe9", b"A: 1\r\nA: 2", b"A:b \t"):
            self.check_accepted(fields=line + b"\r\n")


if __name__ == "__main__":
    unittest.main()
