"""TCP proxy on the loopback interface with faults that can be switched on."""

import random
import time

import gevent
from gevent import socket
from gevent.server import StreamServer

from fakes.addresses import LOOPBACK, address_of
from fakes.gateway_endpoint import reset_connection

READ_BYTES = 65_536
CUT_POLL_INTERVAL_SECONDS = 0.02  # between checks whether a cut has healed


class _Connection:
    __slots__ = (
        "ended",
        "expired",
        "last_data_at",
        "downstream",
        "silent",
        "upstream",
    )

    def __init__(self, downstream, upstream):
        self.downstream = downstream
        self.upstream = upstream
        self.ended = False
        self.expired = False
        self.silent = False  # what arrives is dropped, and so is an end
        self.last_data_at = time.monotonic()

    def reset(self) -> None:
        """Reset both sides."""
        if self.ended:
            return
        self.ended = True
        for sock in (self.downstream, self.upstream):
            reset_connection(sock)


class LoopbackProxy:
    """Proxy that forwards connections to one address; attributes switch faults on."""

    def __init__(self, upstream: tuple[str, int], host: str = LOOPBACK):
        self.upstream = upstream
        self.delay = 0.0  # seconds by which each read is forwarded late, both ways
        self.cut_forward = False  # data to the upstream waits until the cut heals
        self.cut_backward = False  # the same for data from the upstream
        self.refuses = False  # new connections are reset
        self._connections: set[_Connection] = set()
        self._address: tuple[str, int] = ("", 0)  # while it does not listen
        self._closed = False
        self._server = StreamServer((host, 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return the address of the proxy as IP:PORT."""
        return address_of(self._server)

    def heal(self) -> None:
        """Switch all faults off and reset the expired connections."""
        self.delay = 0.0
        self.cut_forward = self.cut_backward = self.refuses = False
        for connection in list(self._connections):
            if connection.expired:
                connection.reset()

    def reset_share(self, share: float, rng: random.Random) -> None:
        """Reset a random share (0 to 1) of the open connections."""
        count = round(share * len(self._connections))
        for connection in rng.sample(list(self._connections), count):
            connection.reset()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.reset()

    def expire_idle(self, seconds: float) -> None:
        """Expire connections without data for ``seconds``; the next data resets them.

        A NAT gateway or load balancer treats idle connections in this way.
        """
        limit = time.monotonic() - seconds
        for connection in self._connections:
            if connection.last_data_at < limit:
                connection.expired = True

    def silence_open(self) -> None:
        """Let the open connections go silent for good, without a reset.

        New connections work.
        """
        for connection in self._connections:
            connection.silent = True

    def stop_listening(self) -> None:
        """Refuse new connections and reset the open ones, as an ended process does."""
        if not self._server.closed:
            self._address = self._server.address
            self._server.close()
        self.reset_all()

    def listen_again(self) -> None:
        """Accept connections again at the same address, unless it does already."""
        if self._server.closed and not self._closed:
            self._server = StreamServer(self._address, self._serve)
            self._server.start()

    @property
    def is_faulty(self) -> bool:
        """Return whether connections are delayed, cut or refused."""
        return bool(self.delay or self.cut_forward or self.cut_backward or self.refuses)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._closed = True
        self._server.stop(timeout=0.1)
        self.reset_all()

    def _serve(self, downstream, _address) -> None:
        if self.refuses:
            reset_connection(downstream)
            return
        try:
            upstream = socket.create_connection(self.upstream, 1.0)
        except OSError:
            reset_connection(downstream)
            return
        upstream.settimeout(None)
        connection = _Connection(downstream, upstream)
        self._connections.add(connection)
        pumps = [
            gevent.spawn(self._pump, connection, downstream, upstream, "cut_forward"),
            gevent.spawn(self._pump, connection, upstream, downstream, "cut_backward"),
        ]
        gevent.joinall(pumps)
        self._connections.discard(connection)
        downstream.close()
        upstream.close()

    def _pump(self, connection: _Connection, source, target, cut: str) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if connection.silent:
                    continue
                if connection.expired:
                    connection.reset()
                    return
                connection.last_data_at = time.monotonic()
                if self.delay:
                    gevent.sleep(self.delay)
                while getattr(self, cut):
                    gevent.sleep(CUT_POLL_INTERVAL_SECONDS)
                target.sendall(data)
            while getattr(self, cut):
                gevent.sleep(CUT_POLL_INTERVAL_SECONDS)
            if not connection.silent:
                target.shutdown(socket.SHUT_WR)
        except OSError:
            # When one side is reset, the other one is reset too.
            connection.reset()
