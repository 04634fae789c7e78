"""HTTP connections from this node to endpoints."""

import socket as std_socket
import time
from collections import defaultdict

import gevent
import h11
from gevent import monkey, socket

from rattanwick.internal.base.errors import ConnectionLost, ProtocolError, TimedOut
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.model import Endpoint, Headers

log = get_logger("links")

CONNECT_SECONDS = 0.6  # two lost opening packets are waited for no longer
READ_BYTES = 65_536
MAX_ANSWER_HEAD_BYTES = 65_536
# A body up to this size fits into the buffers of a connection, so that sending
# it cannot block on an endpoint that answers before it reads.
SEND_AT_ONCE_BYTES = 16_384
IDLE_SECONDS = 4.0  # where an endpoint states no keep-alive time
IDLE_MARGIN_SECONDS = 0.3  # before the end of a stated keep-alive time
MAX_IDLE = 24  # connections that a node keeps to one endpoint, however few nodes

# A reset that follows a request so soon tells that the connection was dead before.
DEAD_SECONDS = 0.1
# Endpoints may drop resting connections without notice. Once one was found dead,
# calls that are sent only once take connections that have rested for less.
TRUSTED_SHARE = 0.5  # of the shortest rest after which a connection was dead
DISTRUST_SECONDS = 30.0  # since the last connection that was dead

poll = monkey.get_original("select", "poll")
READABLE = 1


def is_readable(sock) -> bool:
    """Tell whether a connection has bytes to read, has ended or has failed."""
    poller = poll()
    try:
        poller.register(sock.fileno(), READABLE)
        return bool(poller.poll(0))
    except (OSError, ValueError):
        return True


class EndpointConnection:
    """Hold one connection to an endpoint, for one exchange at a time."""

    __slots__ = (
        "_http",
        "_sender",
        "_sock",
        "endpoint_id",
        "idle_limit",
        "idle_since",
        "idle_seconds",
        "reused",
    )

    def __init__(self, endpoint_id: str, sock):
        self.endpoint_id = endpoint_id
        self._sock = sock
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES
        )
        self._sender: gevent.Greenlet | None = None
        self.reused = False
        self.idle_since = 0.0
        self.idle_seconds = 0.0  # seconds before the present exchange
        self.idle_limit = IDLE_SECONDS

    def send(
        self, method: str, target: bytes, headers: Headers, body: bytes, timeout: float
    ) -> None:
        """Send a request; ConnectionLost tells whether any byte had left."""
        try:
            head = self._http.send(
                h11.Request(method=method, target=target, headers=headers)
            )
            rest = self._http.send(h11.Data(data=body)) if body else b""
            rest += self._http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            raise ProtocolError("encode", self.endpoint_id, str(exc))
        data = head + rest
        self._sock.settimeout(timeout)
        try:
            sent = self._sock.send(data[:SEND_AT_ONCE_BYTES])
        except OSError as exc:
            raise ConnectionLost("send", self.endpoint_id, str(exc), sent=False)
        if sent < len(data):
            # The answer may come before the body is read; both go on at once.
            self._sender = gevent.spawn(self._send_rest, data[sent:])

    def _send_rest(self, data: bytes) -> bool:
        try:
            self._sock.sendall(data)
        except OSError:
            # The reader of the answer sees the same connection fail.
            return False
        return True

    def next_event(self, timeout: float):
        """Return the next event of the answer."""
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                raise ProtocolError("receive", self.endpoint_id, str(exc))
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.InformationalResponse):
                    continue
                if isinstance(event, h11.ConnectionClosed):
                    reason = "closed before the answer"
                    raise ConnectionLost("receive", self.endpoint_id, reason, True)
                return event
            if timeout <= 0:
                raise TimedOut("receive", self.endpoint_id, "no time left")
            started = time.monotonic()
            self._http.receive_data(self._receive(timeout))
            timeout -= time.monotonic() - started

    def _receive(self, timeout: float) -> bytes:
        self._sock.settimeout(timeout)
        try:
            return self._sock.recv(READ_BYTES)
        except TimeoutError:
            raise TimedOut("receive", self.endpoint_id, f"silent for {timeout:.2f} s")
        except OSError as exc:
            raise ConnectionLost("receive", self.endpoint_id, str(exc), True)

    def finish(self) -> bool:
        """Make the connection ready for another exchange; tell whether it is."""
        if self._sender is not None and not (
            self._sender.ready() and self._sender.value
        ):
            return False
        self._sender = None
        if self._http.trailing_data[0]:
            return False  # bytes after an answer belong to no request
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    def is_reusable(self) -> bool:
        """Tell whether an idle connection is open and has nothing to read."""
        return not is_readable(self._sock)

    def close(self) -> None:
        """Close the connection; an endpoint then drops what it runs for it."""
        if self._sender is not None:
            self._sender.kill(block=False)
        self._sock.close()


class ConnectionPool:
    """Open connections to endpoints and keep idle ones."""

    def __init__(self):
        self._idle: dict[str, list[EndpointConnection]] = defaultdict(list)
        self._trusted_rest = float("inf")  # seconds
        self._distrust_until = 0.0  # monotonic seconds
        self.opened = 0

    def open(
        self, endpoint: Endpoint, timeout: float, single_attempt: bool
    ) -> EndpointConnection:
        """Return a connection; raise ConnectionLost with nothing sent.

        ``single_attempt`` states that the request must not be sent again if this one is
        lost.
        """
        link = self._take_idle(endpoint, single_attempt)
        return link if link is not None else self.connect(endpoint, timeout)

    def note_lost(self, link: EndpointConnection, seconds: float) -> None:
        """Learn from a connection that was lost ``seconds`` after a request."""
        if not link.reused or seconds > DEAD_SECONDS:
            return
        self._trusted_rest = min(self._rest_limit(), TRUSTED_SHARE * link.idle_seconds)
        self._distrust_until = time.monotonic() + DISTRUST_SECONDS
        log.info(
            "resting connections distrusted",
            extra={
                "endpoint": link.endpoint_id.rpartition("/")[0],
                "rested": round(link.idle_seconds, 3),
                "trusted_rest": round(self._trusted_rest, 3),
                "seconds": DISTRUST_SECONDS,
            },
        )

    def _rest_limit(self) -> float:
        """Return the rest up to which a connection is trusted, in seconds."""
        trusted = time.monotonic() >= self._distrust_until
        return float("inf") if trusted else self._trusted_rest

    def connect(self, endpoint: Endpoint, timeout: float) -> EndpointConnection:
        """Return a new connection; raise ConnectionLost with nothing sent."""
        self.opened += 1
        try:
            sock = socket.create_connection(
                endpoint.host_port, min(timeout, CONNECT_SECONDS)
            )
        except OSError as exc:
            raise ConnectionLost("connect", endpoint.id, str(exc), sent=False)
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
        return EndpointConnection(_link_key(endpoint), sock)

    def _take_idle(
        self, endpoint: Endpoint, single_attempt: bool
    ) -> EndpointConnection | None:
        idle = self._idle.get(_link_key(endpoint), [])
        limit = self._rest_limit() if single_attempt else float("inf")
        while idle:
            # The last one has rested for the shortest time.
            rested = time.monotonic() - idle[-1].idle_since
            if rested >= limit:
                return None
            link = idle.pop()
            if rested < link.idle_limit and link.is_reusable():
                link.reused, link.idle_seconds = True, rested
                return link
            link.close()
        return None

    def connected(self) -> set[str]:
        """Return the ids of endpoints to which a connection is idle."""
        return {key.rpartition("/")[0] for key, idle in self._idle.items() if idle}

    def release(
        self, link: EndpointConnection, keep_alive: float | None, most: int = MAX_IDLE
    ) -> None:
        """Keep a connection after a whole answer, or close it.

        ``most`` bounds the idle connections to the endpoint.
        """
        idle = self._idle[link.endpoint_id]
        if len(idle) >= min(most, MAX_IDLE) or not link.finish():
            link.close()
            return
        if keep_alive is not None:
            link.idle_limit = keep_alive - IDLE_MARGIN_SECONDS
        link.idle_since = time.monotonic()
        idle.append(link)

    def close_idle(self, known: set[str]) -> None:
        """Close old idle connections, and those to endpoints not in ``known``."""
        now = time.monotonic()
        for key in list(self._idle):
            kept = []
            for link in self._idle[key]:
                if key in known and now - link.idle_since < link.idle_limit:
                    kept.append(link)
                else:
                    link.close()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]


def _link_key(endpoint: Endpoint) -> str:
    """Return what tells the processes at an endpoint's address apart."""
    return f"{endpoint.id}/{endpoint.born_ms}"


def link_keys(endpoints: list[Endpoint]) -> set[str]:
    """Return the keys under which connections to endpoints are kept."""
    return {_link_key(endpoint) for endpoint in endpoints}
