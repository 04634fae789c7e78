"""Proxy on loopback that delays, resets, cuts or silences connections."""

import random
import time

import gevent
from gevent import socket
from gevent.server import StreamServer

from fakes.addresses import LOOPBACK, address_of
from fakes.gateway_endpoint import reset_connection

READ_BYTES = 65_536
HOLD_SECONDS = 0.02  # between looks at a cut that may have healed


class _Connection:
    __slots__ = ("ended", "forgotten", "last_data", "near", "upstream")

    def __init__(self, near, upstream):
        self.near = near
        self.upstream = upstream
        self.ended = False
        self.forgotten = False
        self.last_data = time.monotonic()

    def reset(self) -> None:
        """End both sides with a reset."""
        if self.ended:
            return
        self.ended = True
        for sock in (self.near, self.upstream):
            reset_connection(sock)


class LoopbackProxy:
    """Pass connections on to one address; attributes switch faults on."""

    def __init__(self, upstream: tuple[str, int], host: str = LOOPBACK):
        self.upstream = upstream
        self.delay = 0.0  # seconds for each piece, in both directions
        self.cut_forward = False  # pieces wait until the cut heals
        self.cut_backward = False
        self.refuses = False
        self._connections: set[_Connection] = set()
        self._server = StreamServer((host, 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return IP:PORT."""
        return address_of(self._server)

    def heal(self) -> None:
        """Switch all lasting faults off."""
        self.delay = 0.0
        self.cut_forward = self.cut_backward = self.refuses = False
        for connection in list(self._connections):
            if connection.forgotten:
                connection.reset()

    def reset_share(self, share: float, rng: random.Random) -> None:
        """Reset a share of the open connections."""
        count = round(share * len(self._connections))
        for connection in rng.sample(list(self._connections), count):
            connection.reset()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.reset()

    def expire_idle(self, seconds: float) -> None:
        """Reset what is sent next on connections that have rested for some time."""
        limit = time.monotonic() - seconds
        for connection in self._connections:
            if connection.last_data < limit:
                connection.forgotten = True

    def close(self) -> None:
        """Stop to listen and end all connections."""
        self._server.stop(timeout=0.1)
        self.reset_all()

    def _serve(self, near, _address) -> None:
        if self.refuses:
            reset_connection(near)
            return
        try:
            upstream = socket.create_connection(self.upstream, 1.0)
        except OSError:
            reset_connection(near)
            return
        upstream.settimeout(None)
        connection = _Connection(near, upstream)
        self._connections.add(connection)
        pumps = [
            gevent.spawn(self._pump, connection, near, upstream, "cut_forward"),
            gevent.spawn(self._pump, connection, upstream, near, "cut_backward"),
        ]
        gevent.joinall(pumps)
        self._connections.discard(connection)
        near.close()
        upstream.close()

    def _pump(self, connection: _Connection, source, target, cut: str) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if connection.forgotten:
                    connection.reset()
                    return
                connection.last_data = time.monotonic()
                if self.delay:
                    gevent.sleep(self.delay)
                while getattr(self, cut):
                    gevent.sleep(HOLD_SECONDS)
                target.sendall(data)
            while getattr(self, cut):
                gevent.sleep(HOLD_SECONDS)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            # A reset of one side is one of the other side too.
            connection.reset()
