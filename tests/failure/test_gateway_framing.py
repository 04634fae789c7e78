"""Each framing of an endpoint's answer against each way in which it may end."""

import unittest

import gevent
from gevent.server import StreamServer

from fakes.addresses import address_of
from fakes.gateway_endpoint import SIGNATURE, prepare_reset
from tests.gateway_case import RelayCase, make_view

EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
FRAMINGS = ("length", "chunks", "none")
# How the connection ends after the last byte that the endpoint sends.
CLOSE, RESET, SILENCE = "close", "reset", "silence"
DEADLINE_MS = 400
BODY = b"the body"


class ScriptedEndpoint:
    """Endpoint that sends the head and some parts of one answer, and then ends it.

    ``whole`` states whether the framing marks the answer as complete before its end.
    """

    def __init__(self, status: int, framing: str, parts: tuple[bytes, ...]):
        self.status = status
        self.framing = framing
        self.parts = parts
        self.whole = True
        self.end = CLOSE
        self.requests = 0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return IP:PORT."""
        return address_of(self._server)

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.stop(timeout=0.1)

    def _serve(self, sock, _address) -> None:
        data = b""
        while not data.endswith(BODY):
            part = sock.recv(65536)
            if not part:
                return
            data += part
        self.requests += 1
        request_id = data.lower().split(b"x-request-id: ")[1].split(b"\r\n")[0]
        sock.sendall(self._head(request_id.decode()))
        for part in self.parts:
            chunk = b"%x\r\n%s\r\n" % (len(part), part)
            sock.sendall(chunk if self.framing == "chunks" else part)
            gevent.sleep(0.01)
        if self.framing == "chunks" and self.whole:
            sock.sendall(b"0\r\n\r\n")
        if self.end == SILENCE:
            gevent.sleep(3 * DEADLINE_MS / 1000)
        if self.end == RESET:
            prepare_reset(sock)
        sock.close()

    def _head(self, request_id: str) -> bytes:
        length = sum(map(len, self.parts)) + (0 if self.whole else 5)
        framing = {
            "length": f"Content-Length: {length}\r\n",
            "chunks": "Transfer-Encoding: chunked\r\n",
            "none": "",
        }[self.framing]
        return (
            f"HTTP/1.1 {self.status} X\r\nX-Request-Id: {request_id}\r\n"
            f"X-Server-Stamp: {SIGNATURE}\r\n{framing}\r\n"
        ).encode()


class FramingTests(RelayCase):
    """Guard against cut answers that look complete, and whole ones that are lost."""

    def serve(
        self,
        status: int,
        framing: str,
        end: str,
        whole: bool = True,
        parts: tuple[bytes, ...] = (b"who", b"le"),
        service: str = "plain",
    ) -> ScriptedEndpoint:
        """Put one endpoint that answers like this in place of all others."""
        endpoint = ScriptedEndpoint(status, framing, parts)
        endpoint.whole, endpoint.end = whole, end
        self.addCleanup(endpoint.stop)
        endpoint_id = f"i-{endpoint.address}"
        view = make_view(endpoint_id, service, endpoint.address)
        self.state.endpoints._views = {endpoint_id: view}
        return endpoint

    def ask_once(self, path: str):
        """Send a request that is not repeated."""
        headers = {"X-Deadline-Ms": str(DEADLINE_MS)}
        return self.ask(path, method="POST", body=BODY, headers=headers)

    def test_whole_answers_reach_the_caller(self):
        for status in (200, 500):
            for framing in FRAMINGS:
                with self.subTest(status=status, framing=framing):
                    self.serve(status, framing, CLOSE)
                    answer = self.ask_once("/unsafe/x")
                    self.assertEqual((answer.status, answer.body), (status, b"whole"))
                    self.assertEqual(answer.headers["content-length"], "5")

    def test_cut_answers_are_replaced_by_a_failure(self):
        ends = ((CLOSE, 502), (RESET, 502), (SILENCE, 504))
        for status in (200, 500):
            for framing in FRAMINGS:
                for end, expected in ends:
                    if (framing, end) == ("none", CLOSE):
                        continue  # an orderly close completes such an answer
                    with self.subTest(status=status, framing=framing, end=end):
                        self.serve(status, framing, end, whole=False)
                        answer = self.ask_once("/unsafe/x")
                        self.assertEqual(answer.status, expected)
                        self.assertNotIn("x-server-stamp", answer.headers)

    def test_a_connection_without_framing_is_not_used_again(self):
        endpoint = self.serve(200, "none", CLOSE)
        for _ in range(2):
            self.assertEqual(self.ask_once("/unsafe/x").status, 200)
        self.assertEqual(endpoint.requests, 2)
        self.assertEqual(self.state.connections.endpoints_with_idle_connection(), set())

    def test_whole_streams_reach_the_caller_as_complete(self):
        for framing in FRAMINGS:
            with self.subTest(framing=framing):
                self.serve(200, framing, CLOSE, parts=EVENTS, service="engine")
                answer = self.ask_once("/stream/x")
                self.assertEqual(answer.status, 200)
                self.assertIn(b"data: b", answer.body)
                self.assertTrue(answer.body.endswith(b"0\r\n\r\n"))

    def test_cut_streams_do_not_look_complete(self):
        cut_event = (*EVENTS, b"id: 3\nda")
        for framing in FRAMINGS:
            for end in (CLOSE, RESET, SILENCE):
                for parts in (EVENTS, cut_event):
                    if (framing, end, parts) == ("none", CLOSE, EVENTS):
                        continue  # an orderly close completes such a stream
                    with self.subTest(framing=framing, end=end, parts=len(parts)):
                        self.serve(200, framing, end, False, parts, "engine")
                        answer = self.ask_once("/stream/x")
                        self.assertIn(b"data: b", answer.body)
                        self.assertFalse(answer.body.endswith(b"0\r\n\r\n"))


if __name__ == "__main__":
    unittest.main()
