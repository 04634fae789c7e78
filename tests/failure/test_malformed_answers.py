"""Endpoints of the own interface whose answers are not in the protocol."""

import unittest

import gevent
from gevent.server import StreamServer

from fakes.collaborators import (
    FirstNodeOwnership,
    StaticInstances,
    StaticMembers,
    endpoint,
    node,
)
from rattanwick.internal.base.errors import ConnectionLost
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.platform.http import HttpPool
from rattanwick.internal.routing.load_poller import LoadPoller
from tests.request_case import SERVICE, RequestCase

BODY = b'{"booked": true}'
EVENTS = (
    b'data: {"choices": [{"delta": {"content": "ok"}, "finish_reason": "stop"}]}\n\n'
    b"data: [DONE]\n\n"
)


class RawServer:
    """Server that sends fixed bytes in place of ``{id}`` and ends the connection."""

    def __init__(self, answer: bytes):
        self.answer = answer
        self.interim = b""  # sent first
        self.pause_seconds = 0.0  # after it
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.port = self._server.server_port

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.stop(timeout=0.1)

    def _serve(self, sock, _address) -> None:
        reader = sock.makefile("rb")
        fields = {}
        reader.readline()
        while (line := reader.readline().strip()) != b"":
            name, _, value = line.partition(b":")
            fields[name.lower()] = value.strip()
        reader.read(int(fields.get(b"content-length", 0)))
        own_id = fields.get(b"x-request-id", b"")
        sock.sendall(self.interim.replace(b"{id}", own_id))
        gevent.sleep(self.pause_seconds)
        sock.sendall(self.answer.replace(b"{id}", own_id))
        reader.close()
        sock.close()


def make_answer(status_line: bytes, body: bytes, fields: bytes = b"") -> bytes:
    """Return a response with a length to the request ``{id}``."""
    length = b"Content-Length: %d\r\n" % len(body)
    if b"transfer-encoding" in fields.lower():
        length = b""
    head = status_line + b"\r\nX-Request-Id: {id}\r\n" + length + fields
    return head + b"\r\n" + body


class OwnInterfaceCase(RequestCase):
    """Test case with one endpoint that sends fixed bytes."""

    def serve(self, answer: bytes, kind: str) -> RawServer:
        """Put an endpoint that answers like this in place of all others."""
        server = RawServer(answer)
        self.addCleanup(server.stop)
        pool = {"service": "agenda", "engine": "rattan"}[kind]
        listed = endpoint(f"x{server.port}", pool, kind, server.port)
        self.services.instances.replace([listed])
        return server

    def call_service(self, status_line: bytes, fields: bytes = b"", body=BODY):
        """Return the answer to a call of a service that responds like this."""
        self.serve(make_answer(status_line, body, fields), "service")
        return self.call("POST", SERVICE, b"{}")

    def ask_engine(
        self, status_line: bytes, fields: bytes = b"", body=EVENTS, stream=False
    ):
        """Return the answer to a chat with an engine that responds like this."""
        self.serve(make_answer(status_line, body, fields), "engine")
        return self.chat("hello", stream=stream)

    def check_no_chat(self, *response) -> None:
        """Check that a chat and a stream with such an engine are not answered."""
        for stream in (False, True):
            answer = self.ask_engine(*response, stream=stream)
            self.assertNotEqual(answer.outcome, "answered")
            self.assertNotIn(b"ok", answer.body)
            self.assertNotIn(b"[DONE]", answer.body)


class StatusTests(OwnInterfaceCase):
    """Guard against an answer with a status that the protocol does not have."""

    STATUSES = (b"000", b"001", b"099", b"600", b"999")

    def test_a_call_with_an_invalid_status_has_an_unknown_outcome(self):
        for status in self.STATUSES:
            with self.subTest(status=status):
                answer = self.call_service(b"HTTP/1.1 %s X" % status)
                self.assertEqual((answer.status, answer.outcome), (504, "unknown"))

    def test_a_chat_with_an_invalid_status_is_not_answered(self):
        for status in self.STATUSES:
            with self.subTest(status=status):
                self.check_no_chat(b"HTTP/1.1 %s X" % status)

    def test_answers_with_valid_statuses_reach_the_caller(self):
        self.assertEqual(self.ask_engine(b"HTTP/1.1 200").status, 200)
        for status in (200, 299, 404, 599):
            with self.subTest(status=status):
                answer = self.call_service(b"HTTP/1.1 %d" % status)
                self.assertEqual((answer.status, answer.body), (status, BODY))


def chunked(body: bytes) -> bytes:
    """Return a body in one chunk."""
    return b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


CHUNKED = b"Transfer-Encoding: chunked\r\n"
# Status lines, fields and whether the body is sent in chunks.
MALFORMED_HEADS = (
    (b"HTTP/2.0 200 OK", b"", False),
    (b"HTTP/0.9 200 OK", b"", False),
    (b"RTSP/1.0 200 OK", b"", False),
    (b"HTTP/1.1 200 O\x01K", b"", False),
    (b"HTTP/1.1 200 O\x7fK", b"", False),
    (b"HTTP/1.0 200 OK", CHUNKED, True),
    (b"HTTP/1.1 200 OK", CHUNKED * 2, True),
    (b"HTTP/1.1 200 OK", CHUNKED + b"Content-Length: 9\r\n", True),
    (b"HTTP/1.1 200 OK", b"Transfer-Encoding: gzip\r\n", False),
    (b"HTTP/1.1 200 OK", b"Transfer-Encoding: gzip, chunked\r\n", True),
    (b"HTTP/1.1 200 OK", b"X Y: v\r\n", False),
    (b"HTTP/1.1 200 OK", b"X\x01Y: v\r\n", False),
    (b"HTTP/1.1 200 OK", b"A: b\r\n X: v\r\n", False),
    (b"HTTP/1.1 200 OK", b"A: b\r\n\tTransfer-Encoding: chunked\r\n", True),
    (b"HTTP/1.1 200 OK", b"A: b\x01c\r\n", False),
)
SOUND_HEADS = (
    (b"HTTP/1.1 200", b"A:\r\nB: c\td \xe9\r\nB: 2\r\n", False),
    (b"HTTP/1.1 200 Fine \xe9", b"Transfer-Encoding: Chunked\r\n", True),
    (b"HTTP/1.0 200 OK", b"", False),
)


class HeadTests(OwnInterfaceCase):
    """Guard against an answer whose head is not in the protocol."""

    def test_a_call_with_a_malformed_head_has_an_unknown_outcome(self):
        for status_line, fields, in_chunks in MALFORMED_HEADS:
            with self.subTest(status_line, fields=fields):
                body = chunked(BODY) if in_chunks else BODY
                answer = self.call_service(status_line, fields, body)
                self.assertEqual((answer.status, answer.outcome), (504, "unknown"))

    def test_a_chat_with_a_malformed_head_is_not_answered(self):
        for status_line, fields, in_chunks in MALFORMED_HEADS:
            with self.subTest(status_line, fields=fields):
                body = chunked(EVENTS) if in_chunks else EVENTS
                self.check_no_chat(status_line, fields, body)

    def test_sound_heads_are_accepted(self):
        for status_line, fields, in_chunks in SOUND_HEADS:
            with self.subTest(status_line, fields=fields):
                body = chunked(BODY) if in_chunks else BODY
                answer = self.call_service(status_line, fields, body)
                self.assertEqual((answer.status, answer.body), (200, BODY))
                body = chunked(EVENTS) if in_chunks else EVENTS
                self.assertEqual(self.ask_engine(status_line, fields, body).status, 200)


class InterimResponseTests(OwnInterfaceCase):
    """Guard against an interim response that is taken as the final one."""

    INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Request-Id: {id}\r\n\r\n"

    def test_the_final_response_of_a_service_reaches_the_caller(self):
        for pause_seconds in (0.0, 0.05):
            with self.subTest(pause_seconds=pause_seconds):
                server = self.serve(make_answer(b"HTTP/1.1 200 OK", BODY), "service")
                server.interim, server.pause_seconds = self.INTERIM, pause_seconds
                answer = self.call("POST", SERVICE, b"{}")
                self.assertEqual((answer.status, answer.body), (200, BODY))

    def test_a_large_final_response_reaches_the_caller(self):
        body = bytes(200_000)
        server = self.serve(make_answer(b"HTTP/1.1 200 OK", body), "service")
        server.interim, server.pause_seconds = self.INTERIM, 0.05
        self.assertEqual(self.call("POST", SERVICE, b"{}").body, body)

    def test_the_final_response_of_an_engine_reaches_the_caller(self):
        for pause_seconds in (0.0, 0.05):
            with self.subTest(pause_seconds=pause_seconds):
                server = self.serve(make_answer(b"HTTP/1.1 200 OK", EVENTS), "engine")
                server.interim, server.pause_seconds = self.INTERIM, pause_seconds
                self.assertEqual(self.chat("hello").status, 200)

    def test_interim_responses_alone_are_no_answer(self):
        for count in (1, 1000):
            with self.subTest(count=count):
                self.serve(self.INTERIM * count, "service")
                answer = self.call("POST", SERVICE, b"{}")
                self.assertEqual((answer.status, answer.outcome), (504, "unknown"))
                self.serve(self.INTERIM * count, "engine")
                self.assertGreaterEqual(self.chat("hello").status, 500)


class ExtraBytesTests(OwnInterfaceCase):
    """Guard against bytes after an answer that become a part of it."""

    def test_a_second_answer_is_not_added_to_the_first(self):
        answer = make_answer(b"HTTP/1.1 200 OK", BODY)
        for extra in (answer, answer[:-3], b"HTTP/1.1 200 OK\r\n", b"bytes"):
            with self.subTest(extra=extra):
                self.serve(answer + extra, "service")
                got = self.call("POST", SERVICE, b"{}")
                self.assertEqual((got.status, got.body), (200, BODY))


class PoolTests(unittest.TestCase):
    """Guard against a malformed answer of the store, the cloud or an order's engine."""

    def ask(self, answer: bytes):
        """Return the response to a call of a server that sends these bytes."""
        server = RawServer(answer)
        self.addCleanup(server.stop)
        pool = HttpPool(f"http://127.0.0.1:{server.port}", "store")
        return pool.request("write", "POST", "/x", {}, b"{}", 2.0)

    def check_rejected(self, answer: bytes) -> None:
        """Check that the outcome of a call is unknown."""
        with self.assertRaises(ConnectionLost) as caught:
            self.ask(answer)
        self.assertTrue(caught.exception.sent)

    def test_an_invalid_status_is_no_answer(self):
        for status in StatusTests.STATUSES:
            with self.subTest(status=status):
                self.check_rejected(make_answer(b"HTTP/1.1 %s X" % status, BODY))

    def test_a_malformed_head_is_no_answer(self):
        for status_line, fields, in_chunks in MALFORMED_HEADS:
            with self.subTest(status_line, fields=fields):
                body = chunked(BODY) if in_chunks else BODY
                self.check_rejected(make_answer(status_line, body, fields))

    def test_a_valid_status_is_an_answer(self):
        for status in (200, 404, 599):
            response = self.ask(make_answer(b"HTTP/1.1 %d" % status, BODY))
            self.assertEqual((response.status, response.body), (status, BODY))
        for status_line, fields, in_chunks in SOUND_HEADS:
            body = chunked(BODY) if in_chunks else BODY
            response = self.ask(make_answer(status_line, body, fields))
            self.assertEqual((response.status, response.body), (200, BODY))

    def test_a_second_answer_is_not_added_to_the_first(self):
        answer = make_answer(b"HTTP/1.1 200 OK", BODY)
        for extra in (answer, answer[:-3]):
            self.check_rejected(answer + extra)


class LoadPollerTests(unittest.TestCase):
    """Guard against a load report that is no answer, and one that ends the polling."""

    def poll(self, *answers: bytes) -> list[str]:
        """Poll endpoints that answer like this; return those with a report."""
        listed = []
        for number, answer in enumerate(answers):
            server = RawServer(answer)
            self.addCleanup(server.stop)
            listed.append(endpoint(f"e{number}", "rattan", "engine", server.port))
        members = StaticMembers([node("n1", "dc-a")])
        reported = []
        poller = LoadPoller(
            StaticInstances(listed),
            members,
            FirstNodeOwnership(members),
            ManualTimerService(),
            8,
            lambda endpoint_id, *_: reported.append(endpoint_id),
        )
        poller.read_all()
        return reported

    def test_only_sound_reports_are_taken(self):
        report = b'{"time": 1, "running": 2, "queued": 3}'
        status_lines = (
            b"HTTP/1.1 000 X",
            b"HTTP/1.1 099 X",
            b"HTTP/1.1 500 X",
            b"HTTP/1.1 999 X",
            b"no HTTP",
            b"HTTP/1.1 200 OK",
        )
        answers = [make_answer(line, report) for line in status_lines]
        self.assertEqual(self.poll(*answers), ["e5"])


if __name__ == "__main__":
    unittest.main()
