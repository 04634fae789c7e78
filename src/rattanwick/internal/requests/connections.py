"""Connections to endpoints: kept alive, checked before reuse, exact about sending."""

import socket as std_socket
import time
from collections.abc import Mapping

from gevent import monkey, socket
from geventhttpclient.response import HTTPParseError, HTTPResponse

from rattanwick.internal.base.errors import ConnectionLost, ProtocolError, TimedOut
from rattanwick.internal.model.instances import Endpoint

CONNECT_SECONDS = 2.0
IDLE_KEPT = 64  # idle connections of one endpoint
# Shorter than the keep-alive time of common HTTP servers, so that a connection is
# rarely closed by the other side at the moment at which it is used again.
IDLE_SECONDS = 4.0
READ_BYTES = 65_536
MAX_HEADER_BYTES = 65_536

poll = monkey.get_original("select", "poll")


class ResponseReader(HTTPResponse):
    """Parse a response and hand its body out as it arrives."""

    def __init__(self):
        super().__init__()
        self._arrived = bytearray()
        self.received = 0

    def _on_body(self, buf) -> None:
        self._arrived += buf

    def feed_bytes(self, data: bytes) -> None:
        """Parse bytes from the connection; empty for its end."""
        self.received += len(data)
        if not self.headers_complete and self.received > MAX_HEADER_BYTES:
            raise HTTPParseError("header is too large")
        self.feed(data)

    def take(self) -> bytes:
        """Return the body bytes that arrived since the last call."""
        data = bytes(self._arrived)
        self._arrived.clear()
        return data

    def header(self, name: str) -> str:
        """Return a header, empty where it is absent or repeated."""
        value = self.get(name, "")
        return value if isinstance(value, str) else ""


class EndpointConnection:
    """Hold one connection to an endpoint for one exchange at a time."""

    __slots__ = ("_sock", "_timeout", "endpoint_id", "idle_since", "reader", "reused")

    def __init__(self, endpoint_id: str, sock):
        self.endpoint_id = endpoint_id
        self._sock = sock
        self._timeout: float | None = None
        self.reused = False
        self.idle_since = 0.0
        self.reader = ResponseReader()

    def send(self, data: bytes) -> None:
        """Send a request; the error tells whether any byte had left."""
        self.reader = ResponseReader()
        left = memoryview(data)
        sent = False
        try:
            while left:
                count = self._sock.send(left)
                sent = sent or count > 0
                left = left[count:]
        except OSError as exc:
            raise ConnectionLost("send", self.endpoint_id, str(exc), sent)

    def receive(self, timeout: float) -> bool:
        """Read once; tell whether anything came within ``timeout`` seconds."""
        if timeout != self._timeout:
            self._sock.settimeout(timeout)
            self._timeout = timeout
        try:
            data = self._sock.recv(READ_BYTES)
        except TimeoutError:
            return False
        except OSError as exc:
            raise ConnectionLost("receive", self.endpoint_id, str(exc), True)
        try:
            self.reader.feed_bytes(data)
        except HTTPParseError as exc:
            if not data:
                raise ConnectionLost("receive", self.endpoint_id, "ended early", True)
            raise ProtocolError("receive", self.endpoint_id, str(exc))
        if not data and not self.reader.message_complete:
            raise ConnectionLost("receive", self.endpoint_id, "ended early", True)
        return True

    def is_reusable(self) -> bool:
        """Tell whether an idle connection is open and has nothing to read."""
        poller = poll()
        try:
            poller.register(self._sock.fileno(), 1)
            return not poller.poll(0)
        except (OSError, ValueError):
            return False

    def reusable(self) -> bool:
        """Tell whether the answer ended such that another one can follow."""
        return not self.reader.should_close()

    def abort(self) -> None:
        """Wake the task that reads; it sees the connection end."""
        try:
            self._sock.shutdown(std_socket.SHUT_RDWR)
        except OSError:
            pass

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


class EndpointConnectionPool:
    """Open connections to endpoints and keep idle ones."""

    def __init__(self):
        self._idle: dict[str, list[EndpointConnection]] = {}

    def open(self, endpoint: Endpoint, fresh: bool = False) -> EndpointConnection:
        """Return a connection; ``fresh`` asks for a new one.

        ConnectionLost means that nothing was sent.
        """
        if not fresh:
            conn = self._take_idle(endpoint.id)
            if conn is not None:
                return conn
        try:
            sock = socket.create_connection(
                (endpoint.host, endpoint.port), CONNECT_SECONDS
            )
        except OSError as exc:
            raise ConnectionLost("connect", endpoint.id, str(exc), False)
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
        return EndpointConnection(endpoint.id, sock)

    def _take_idle(self, endpoint_id: str) -> EndpointConnection | None:
        idle = self._idle.get(endpoint_id, [])
        while idle:
            conn = idle.pop()
            recent = time.monotonic() - conn.idle_since < IDLE_SECONDS
            # Bytes on an idle connection are a late answer to somebody else.
            if recent and conn.is_reusable():
                conn.reused = True
                return conn
            conn.close()
        return None

    def give_back(self, conn: EndpointConnection) -> None:
        """Keep a connection whose exchange ended whole, or close it."""
        idle = self._idle.setdefault(conn.endpoint_id, [])
        if not conn.reusable() or len(idle) >= IDLE_KEPT:
            conn.close()
            return
        conn.idle_since = time.monotonic()
        idle.append(conn)

    def close_idle(self, keep: Mapping[str, object] | None = None) -> None:
        """Close old idle connections, and all of endpoints not in ``keep``."""
        limit = time.monotonic() - IDLE_SECONDS
        for endpoint_id in list(self._idle):
            known = keep is None or endpoint_id in keep
            conns = self._idle.pop(endpoint_id)
            kept = [conn for conn in conns if known and conn.idle_since >= limit]
            for conn in conns:
                if conn not in kept:
                    conn.close()
            if kept:
                self._idle[endpoint_id] = kept


def encode_http_request(
    method: str, path: str, host: str, headers: Mapping[str, str], body: bytes
) -> bytes:
    """Return an HTTP/1.1 request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines.extend(f"{name}: {value}" for name, value in headers.items() if value)
    lines.append(f"Content-Length: {len(body)}")
    if any("\r" in line or "\n" in line for line in lines):
        raise ValueError("line break in a request header")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def check_response_id(conn: EndpointConnection, request_id: str) -> None:
    """Raise ProtocolError where the answer is not to this request."""
    echoed = conn.reader.header("x-request-id")
    if echoed != request_id:
        reason = f"answer is for request {echoed[:64]!r}"
        raise ProtocolError("match", conn.endpoint_id, reason)


def timed_out(step: str, endpoint_id: str, seconds: float) -> TimedOut:
    """Return the error for silence of an endpoint."""
    return TimedOut(step, endpoint_id, f"no answer for {seconds:.1f} s")
