"""Callers that read a large answer slowly."""

from unittest import mock

import gevent

from fakes.gateway_endpoint import FakeGatewayEndpoint
from rattanwick.internal.gateway import caller_connection
from tests.gateway_case import RelayCase


class SlowReaderTests(RelayCase):
    """Guard against an answer that is cut although its caller reads on.

    The limit of a write is for one without progress, not for a whole answer.
    """

    def test_an_answer_that_is_read_steadily_is_not_cut(self):
        self.add_endpoint("i-1")
        body = b"x" * (8 << 20)
        received = 0
        with (
            mock.patch.object(
                FakeGatewayEndpoint,
                "_send_whole_response",
                lambda fake, sock, headers, fault: fake._send_response(
                    sock, "200 OK", headers, body, {}
                ),
            ),
            mock.patch.object(caller_connection, "SEND_TIMEOUT_SECONDS", 1.0),
        ):
            sock = self.connect()
            self.addCleanup(sock.close)
            sock.sendall(self.request_bytes("/safe/x"))
            while part := sock.recv(65536):
                received += len(part)
                gevent.sleep(0.025)
        self.assertGreater(received, len(body))
