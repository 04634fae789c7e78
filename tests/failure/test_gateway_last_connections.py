"""Connections that are accepted as the last ones of a stop."""

from gevent import monkey

from rattanwick.internal.gateway.shutdown import GracefulShutdown
from tests.gateway_case import Answer, RelayCase


class LastConnectionTests(RelayCase):
    """Guard against a process that ends before it serves what it has accepted."""

    def test_a_connection_accepted_last_is_served(self):
        self.add_endpoint("i-1")
        shutdown = GracefulShutdown(self.server, self.state.stop, 8.0)
        shutdown.begin()
        shutdown._started -= 2.6
        # Without gevent, so that the server cannot accept it meanwhile.
        sock = monkey.get_original("socket", "socket")()
        self.addCleanup(sock.close)
        sock.connect(("127.0.0.1", self.server.port))
        sock.sendall(self.request_bytes("/safe/x"))
        shutdown.wait()
        sock.setblocking(False)
        try:
            data = sock.recv(65536)
        except BlockingIOError:
            data = b""
        self.assertEqual(Answer(data).status, 200)
