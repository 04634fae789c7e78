"""Streams that break, and are resumed at another endpoint."""

import re
from collections.abc import Callable

import gevent

from fakes.gateway_endpoint import reset_connection
from fakes.scripted_endpoint import ScriptedEndpoint, chunk
from tests.gateway_case import Answer, RelayCase, make_view

TEXTS = ("Van: 3.", "Amount paid: 18.00.", "Receipt valid: yes.", "End.")
EventEncoder = Callable[[int, str], bytes]


def encode_event(number: int, text: str) -> bytes:
    """Return an event as most engines write it."""
    return f"id: {number}\ndata: {text}\n\n".encode()


class ResumedStreamTests(RelayCase):
    """Guard against a stream that is left to the end of the process.

    The kernel would then end a response of HTTP/1.0 as if it were complete.
    """

    def test_a_stream_that_is_being_resumed_is_broken_off(self):
        first = self.add_endpoint("i-1", "engine")
        second = self.add_endpoint("i-2", "engine")
        self.prefer("i-1")
        first.event_seconds, first.fault = 0.02, "cut_between_events"
        second.event_seconds = 5.0
        sock = self.connect()
        self.addCleanup(sock.close)
        data = self.request_bytes("/resume/x", method="POST", body=b"b")
        sock.sendall(data.replace(b"HTTP/1.1", b"HTTP/1.0"))
        gevent.sleep(0.5)
        self.server.drain()
        self.server.end_requests()
        gevent.sleep(0.1)
        self.assertEqual(len(self.server.connections), 0)
        with self.assertRaises(ConnectionResetError):
            while sock.recv(65536):
                pass


class ResumedEventTests(RelayCase):
    """Guard against events that come twice, or never, once a stream is resumed."""

    def add_engine(
        self,
        encode: EventEncoder = encode_event,
        breaks_after: int | None = None,
        shift: int = 0,
        size: int = 1000,
        name: str = "",
    ) -> ScriptedEndpoint:
        """Start an engine that sends events in pieces of ``size`` bytes.

        It resets each connection after some events, and resumes ``shift`` events too
        late.
        """

        def run(endpoint, sock, headers):
            first = int(headers.get("last-event-id") or 0) + shift
            last = len(TEXTS) if breaks_after is None else breaks_after
            data = b"".join(
                encode(number, text)
                for number, text in enumerate(TEXTS[:last], 1)
                if number > first
            )
            endpoint.send_head(sock, headers, "Transfer-Encoding: chunked\r\n")
            for at in range(0, len(data), size):
                endpoint.send(sock, chunk(data[at : at + size]))
            if breaks_after is None:
                endpoint.send(sock, b"0\r\n\r\n")
                return
            gevent.sleep(0.1)
            reset_connection(sock)

        engine = ScriptedEndpoint(run)
        self.endpoints.append(engine)
        name = name or f"i-{len(self.endpoints)}"
        view = make_view(name, "engine", engine.address)
        self.state.endpoints._views[name] = view
        return engine

    def stream(self, **options) -> Answer:
        """Ask for a resumed stream, whose first attempt reaches the first engine."""
        self.prefer("i-1")
        return self.ask("/resume/x", method="POST", body=b"b", **options)

    def texts_in(self, answer: Answer) -> list[str]:
        """Return the texts of the events that the caller got."""
        return re.findall(r"data: ([^\r\n]*)", answer.body.decode())

    def test_text_that_looks_like_an_id_does_not_hide_the_id(self):
        for breaks_after in (1, 2, 3):
            with self.subTest(breaks_after=breaks_after):
                self.state.endpoints._views.clear()
                self.endpoints.clear()
                self.add_engine(breaks_after=breaks_after)
                second = self.add_engine()
                answer = self.stream()
                self.assertEqual(self.texts_in(answer), list(TEXTS))
                resumed = second.requests[0]["last-event-id"]
                self.assertEqual(resumed, str(breaks_after))

    def test_line_ends_that_are_cut_between_chunks(self):
        """The caller got no event until the deadline."""
        for end in ("\n", "\r\n", "\r"):
            with self.subTest(end=end):
                self.state.endpoints._views.clear()
                self.endpoints.clear()

                def encode(number, text, end=end):
                    return encode_event(number, text).replace(b"\n", end.encode())

                self.add_engine(encode, breaks_after=2, size=1)
                self.add_engine(encode, size=1)
                answer = self.stream()
                self.assertEqual(self.texts_in(answer), list(TEXTS))
                self.assertTrue(answer.raw.endswith(b"0\r\n\r\n"))

    def test_an_event_without_an_id_ends_the_response(self):
        """A second run would begin anew and send the first events again."""

        def encode(number, text):
            return f"data: {text}\n\n".encode()

        self.add_engine(encode, breaks_after=2)
        second = self.add_engine(encode)
        answer = self.stream()
        self.assertEqual(self.texts_in(answer), list(TEXTS[:2]))
        self.assertFalse(answer.raw.endswith(b"0\r\n\r\n"))
        self.assertEqual(second.requests, [])

    def test_an_engine_that_resumes_at_another_event_fails_the_attempt(self):
        for shift in (-2, -1, 1):
            with self.subTest(shift=shift):
                self.state.endpoints._views.clear()
                self.endpoints.clear()
                self.add_engine(breaks_after=3)
                self.add_engine(shift=shift)
                answer = self.stream()
                self.assertEqual(self.texts_in(answer), list(TEXTS[:3]))
                complete = answer.raw.endswith(b"0\r\n\r\n")
                # After the last event, nothing tells a gap from the end.
                self.assertEqual(complete, shift == 1)

    def test_a_caller_that_resumes_gets_each_event_once(self):
        self.add_engine(breaks_after=3)
        second = self.add_engine()
        answer = self.stream(headers={"Last-Event-Id": "1"})
        self.assertEqual(self.texts_in(answer), list(TEXTS[1:]))
        self.assertEqual(second.requests[0]["last-event-id"], "3")

    def test_an_engine_that_repeats_events_to_a_resuming_caller_fails(self):
        for shift in (-2, -1):
            with self.subTest(shift=shift):
                self.state.endpoints._views.clear()
                self.endpoints.clear()
                self.add_engine(shift=shift)
                self.add_engine()
                answer = self.stream(headers={"Last-Event-Id": "2"})
                self.assertEqual(self.texts_in(answer), list(TEXTS[2:]))
