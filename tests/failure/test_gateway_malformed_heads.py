"""Endpoints that send heads which are no answers in the protocol."""

import unittest

from fakes.gateway_endpoint import SIGNATURE
from fakes.scripted_endpoint import ScriptedEndpoint, chunk
from tests.gateway_case import RelayCase, make_view

EVENT = b"id: 1\ndata: a\n\n"
ROUTES = ("/unsafe/x", "/safe/x", "/stream/x", "/resume/x")
FRAMINGS = {
    "length": (b"Content-Length: %d\r\n" % len(EVENT), EVENT),
    "chunks": (b"Transfer-Encoding: chunked\r\n", chunk(EVENT) + chunk(b"")),
    "none": (b"", EVENT),
}


class MalformedHeadTests(RelayCase):
    """Guard against an answer that is not in the protocol but reaches a caller."""

    def serve(
        self, path: str, status_line: bytes, framing: str, fields: bytes = b""
    ) -> None:
        """Put an endpoint that sends such a head in place of all others.

        ``fields`` stand before the framing.
        """
        framing_fields, body = FRAMINGS[framing]

        def send_answer(_endpoint, sock, headers: dict[str, str]) -> None:
            own_id = headers["x-request-id"].encode()
            sock.sendall(
                b"%s\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\n%s%s\r\n%s"
                % (
                    status_line,
                    own_id,
                    SIGNATURE.encode(),
                    fields,
                    framing_fields,
                    body,
                )
            )

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
        self, status_line: bytes = b"HTTP/1.1 200 OK", fields: bytes = b""
    ) -> None:
        """Check that such an answer reaches the caller, on all routes and framings."""
        for path in ROUTES:
            for framing in FRAMINGS:
                with self.subTest(status_line, fields=fields, path=path, body=framing):
                    self.serve(path, status_line, framing, fields)
                    answer = self.ask(path, method="POST", body=b"b")
                    self.assertEqual(answer.status, 200)
                    self.assertIn(EVENT, answer.body)

    def test_a_status_outside_the_protocol_is_a_failure(self):
        for status in (b"000", b"001", b"099", b"101", b"600", b"999", b"20", b"2000"):
            self.check_rejected(b"HTTP/1.1 %s X" % status)

    def test_a_name_with_a_blank_or_a_control_byte_is_a_failure(self):
        for line in (b"X Y: v", b"X\tY: v", b"X : v", b"X\x01Y: v", b"X\x7f: v"):
            self.check_rejected(fields=line + b"\r\n")

    def test_heads_of_sound_endpoints_are_accepted(self):
        self.check_accepted(b"HTTP/1.1 200")
        for line in (b"A:", b"A: b\tc \xe9", b"A: 1\r\nA: 2", b"A:b \t"):
            self.check_accepted(fields=line + b"\r\n")


if __name__ == "__main__":
    unittest.main()
