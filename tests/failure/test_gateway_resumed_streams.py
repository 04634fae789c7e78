"""Streams that are being resumed when a stop ends."""

import gevent

from tests.gateway_case import RelayCase


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
