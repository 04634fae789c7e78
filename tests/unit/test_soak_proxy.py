"""Tests of the soak test's proxy.

They guard against faults that have no effect, with which the soak test would pass
whatever the nodes do.
"""

import random
import unittest

import gevent
from gevent import socket
from gevent.server import StreamServer

from fakes.addresses import split_address
from soak.proxy import LoopbackProxy

WAIT_SECONDS = 2.0
CUT_SECONDS = 0.15  # for which nothing may pass a cut


class ProxyTests(unittest.TestCase):
    """A connection through the proxy to a server that sends everything back."""

    def setUp(self):
        self.server = StreamServer(("127.0.0.1", 0), self.echo)
        self.server.start()
        self.addCleanup(self.server.stop, 0.1)
        self.proxy = LoopbackProxy(("127.0.0.1", self.server.server_port))
        self.addCleanup(self.proxy.close)

    def echo(self, sock, _address) -> None:
        """Send all received data back."""
        try:
            while data := sock.recv(100):
                sock.sendall(data)
        except OSError:
            pass  # the proxy has reset the connection
        finally:
            sock.close()

    def connect(self):
        """Return a connection through the proxy that has already carried data."""
        address = split_address(self.proxy.address)
        sock = socket.create_connection(address, WAIT_SECONDS)
        self.addCleanup(sock.close)
        self.assertEqual(self.ask(sock, b"first"), b"first")
        return sock

    def ask(self, sock, data: bytes) -> bytes:
        """Send data and return the response."""
        sock.sendall(data)
        return sock.recv(100)

    def assert_delayed_until_healed(self, sock) -> None:
        """Check that data waits until the cut heals and then arrives."""
        sock.sendall(b"late")
        with gevent.Timeout(CUT_SECONDS, False):
            self.fail(f"{sock.recv(100)!r} passed the cut")
        self.proxy.heal()
        self.assertEqual(sock.recv(100), b"late")

    def test_a_cut_in_one_direction_delays_data(self):
        """Guard against cuts that let data pass or lose it."""
        for direction in ("cut_forward", "cut_backward"):
            with self.subTest(direction):
                sock = self.connect()
                setattr(self.proxy, direction, True)
                self.assert_delayed_until_healed(sock)

    def test_an_expired_connection_is_reset_by_the_next_data(self):
        """Guard against idle connections that go on working after they expired."""
        sock = self.connect()
        gevent.sleep(0.05)
        self.proxy.expire_idle(0.01)
        with self.assertRaises(ConnectionResetError):
            self.ask(sock, b"next")

    def test_open_connections_are_reset(self):
        """Guard against resets that miss an open connection."""
        sock = self.connect()
        self.proxy.reset_share(1.0, random.Random(1))
        with self.assertRaises(ConnectionResetError):
            sock.recv(100)

    def test_new_connections_are_refused_until_the_proxy_heals(self):
        """Guard against a proxy that accepts connections while it should refuse."""
        self.proxy.refuses = True
        with self.assertRaises(ConnectionResetError):
            self.connect()
        self.proxy.heal()
        self.connect()

    def test_the_end_of_a_connection_is_forwarded(self):
        """Guard against a proxy that keeps a connection open after its end.

        The caller would then wait for data until its deadline.
        """
        sock = self.connect()
        sock.shutdown(socket.SHUT_WR)
        self.assertEqual(sock.recv(100), b"")
