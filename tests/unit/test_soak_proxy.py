"""The soak's proxy does to connections what its faults name."""

import random
import unittest

import gevent
from gevent import socket
from gevent.server import StreamServer

from fakes.addresses import split_address
from soak.proxy import LoopbackProxy

WAIT_SECONDS = 2.0
HELD_SECONDS = 0.15


class ProxyTests(unittest.TestCase):
    """Guard against faults of the soak that do nothing."""

    def setUp(self):
        self.server = StreamServer(("127.0.0.1", 0), self.echo)
        self.server.start()
        self.addCleanup(self.server.stop, 0.1)
        self.proxy = LoopbackProxy(("127.0.0.1", self.server.server_port))
        self.addCleanup(self.proxy.close)

    def echo(self, sock, _address) -> None:
        """Send back what comes."""
        try:
            while data := sock.recv(100):
                sock.sendall(data)
        except OSError:
            pass  # the proxy has reset the connection
        finally:
            sock.close()

    def connect(self):
        """Return a connection through the proxy that has carried data."""
        address = split_address(self.proxy.address)
        sock = socket.create_connection(address, WAIT_SECONDS)
        self.addCleanup(sock.close)
        self.assertEqual(self.ask(sock, b"first"), b"first")
        return sock

    def ask(self, sock, data: bytes) -> bytes:
        """Send data and return what comes back."""
        sock.sendall(data)
        return sock.recv(100)

    def assert_held(self, sock) -> None:
        """Check that data waits until the cut heals, and is not lost."""
        sock.sendall(b"late")
        with gevent.Timeout(HELD_SECONDS, False):
            self.fail(f"{sock.recv(100)!r} passed the cut")
        self.proxy.heal()
        self.assertEqual(sock.recv(100), b"late")

    def test_a_cut_in_one_direction_holds_data_back(self):
        for direction in ("cut_forward", "cut_backward"):
            with self.subTest(direction):
                sock = self.connect()
                setattr(self.proxy, direction, True)
                self.assert_held(sock)

    def test_a_forgotten_connection_is_reset_by_what_is_sent_next(self):
        sock = self.connect()
        gevent.sleep(0.05)
        self.proxy.expire_idle(0.01)
        with self.assertRaises(ConnectionResetError):
            self.ask(sock, b"next")

    def test_open_connections_are_reset(self):
        sock = self.connect()
        self.proxy.reset_share(1.0, random.Random(1))
        with self.assertRaises(ConnectionResetError):
            sock.recv(100)

    def test_new_connections_are_refused_until_it_heals(self):
        self.proxy.refuses = True
        with self.assertRaises(ConnectionResetError):
            self.connect()
        self.proxy.heal()
        self.connect()

    def test_the_end_of_a_connection_is_passed_on(self):
        sock = self.connect()
        sock.shutdown(socket.SHUT_WR)
        self.assertEqual(sock.recv(100), b"")
