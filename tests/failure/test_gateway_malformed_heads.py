"""Endpoints that send heads which are no answers in the protocol."""

import unittest
from collections.abc import Callable

import gevent

from fakes.gateway_endpoint import SIGNATURE
from fakes.scripted_endpoint import ScriptedEndpoint, chunk
from tests.gateway_case import Answer, RelayCase, make_view

EVENT = b"id: 1\ndata: a\n\n"
ROUTES = ("/unsafe/x", "/safe/x", "/stream/x", "/resume/x")
FRAMINGS = ("length", "chunks", "none")


def frame(framing: str, body: bytes, trailers: bytes) -> tuple[bytes, bytes]:
    """Return the fields of a framing and the framed body."""
    if framing == "length":
        return b"Content-Length: %d\r\n" % len(body), body
    if framing == "chunks":
        return b"Transfer-Encoding: chunked\r\n", chunk(
            body
        ) + b"0\r\n" + trailers + b"\r\n"
    return b"", body


class HeadCase(RelayCase):
    """Test case with one endpoint that sends fixed bytes."""

    trailers = b""  # after a body in chunks
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
        framing_fields, data = frame(framing, body, self.trailers)

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

    def check_rejected(self, *args, **options) -> None:
        """Check that an answer counts as a failure; see ``ask_all``."""

        def check(answer: Answer) -> None:
            self.assertEqual(answer.status, 502)
            self.assertNotIn("x-server-stamp", answer.headers)
            self.assertGreater(self.view.failure_rate, 0)
            idle = self.state.connections.endpoints_with_idle_connection()
            self.assertNotIn(self.view.endpoint.id, idle)

        self.ask_all(check, *args, **options)

    def check_accepted(self, *args, **options) -> None:
        """Check that an answer reaches the caller; see ``ask_all``."""

        def check(answer: Answer) -> None:
            self.assertEqual(answer.status, 200)
            self.assertIn(options.get("body", EVENT), answer.body)

        self.ask_all(check, *args, **options)

    def ask_all(
        self,
        check: Callable[[Answer], None],
        status_line: bytes = b"HTTP/1.1 200 OK",
        fields: bytes = b"",
        body: bytes = EVENT,
        framings: tuple[str, ...] = FRAMINGS,
    ) -> None:
        """Check what callers get on each kind of route and in each framing."""
        for path in ROUTES:
            for framing in framings:
                with self.subTest(status_line, fields=fields, path=path, body=framing):
                    self.serve(path, status_line, framing, fields, body)
                    check(self.ask(path, method="POST", body=b"b"))


class MalformedHeadTests(HeadCase):
    """Guard against an answer that is not in the protocol but reaches a caller."""

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

    def test_a_version_of_another_protocol_is_a_failure(self):
        for version in (b"HTTP/0.9", b"HTTP/2.0", b"HTTP/3.7", b"RTSP/1.0"):
            self.check_rejected(version + b" 200 OK")

    def test_a_control_byte_in_a_reason_or_a_value_is_a_failure(self):
        for byte in (b"\x01", b"\x0b", b"\x1f", b"\x7f", b"\x00", b"\r"):
            self.check_rejected(b"HTTP/1.1 200 O" + byte + b"K")
            self.check_rejected(fields=b"A: b" + byte + b"c\r\n")

    def test_ambiguous_framing_is_a_failure(self):
        chunked, length = b"Transfer-Encoding: chunked\r\n", b"Content-Length: 14\r\n"
        chunks = chunk(EVENT) + chunk(b"")
        for fields in (chunked + length, length + chunked, chunked + chunked):
            self.check_rejected(fields=fields, body=chunks, framings=("none",))
        self.check_rejected(b"HTTP/1.0 200 OK", framings=("chunks",))

    def test_framing_that_cannot_be_read_is_a_failure(self):
        for fields in (
            b"Transfer-Encoding: gzip\r\n",
            b"Transfer-Encoding: identity\r\n",
            b"Content-Length: 14\r\nContent-Length: 15\r\n",
            b"Content-Length: +14\r\n",
            b"Content-Length:\r\n",
        ):
            self.check_rejected(fields=fields, framings=("none",))


class SoundHeadTests(HeadCase):
    """Guard against sound answers that strict checks would reject."""

    def test_heads_of_sound_endpoints_are_accepted(self):
        for start in (b"HTTP/1.1 200", b"HTTP/1.1 200 Fine \xe9\t!", b"HTTP/1.1 200 "):
            self.check_accepted(start)
        for line in (b"A:", b"A: b\tc \xe9", b"A: 1\r\nA: 2", b"A: 1\nB: 2", b"A:b \t"):
            self.check_accepted(fields=line + b"\r\n")

    def test_a_body_line_that_begins_with_a_blank_is_sound(self):
        self.check_accepted(body=b"id: 1\n data: a\ndata: b\n\n \n\n")

    def test_other_framings_are_accepted(self):
        length = b"Content-Length: %d\r\n" % len(EVENT)
        for fields in (length, length + length):
            self.check_accepted(fields=fields, framings=("none",))
        self.check_accepted(b"HTTP/1.0 200 OK", framings=("length", "none"))
        # A later minor version is read as the latest one that the reader knows.
        self.check_accepted(b"HTTP/1.2 200 OK")

    def test_interim_responses_and_trailers_are_accepted(self):
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        self.check_accepted(interim + b"HTTP/1.1 200 OK")
        self.trailers = b"Checksum: 1\r\n"
        self.check_accepted(framings=("chunks",))


if __name__ == "__main__":
    unittest.main()
