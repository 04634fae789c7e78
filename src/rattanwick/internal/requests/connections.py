"""Keep-alive connections to endpoints, which report whether anything was sent."""

import socket as std_socket
import time
from collections.abc import Mapping

from gevent import socket
from geventhttpclient.response import HTTPParseError

from rattanwick.internal.base.errors import ConnectionLost, ProtocolError, TimedOut
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.pacing import Pacer, TurnQueue
from rattanwick.internal.base.strict_responses import StrictResponse
from rattanwick.internal.base.tcp import is_readable, wait_until_acknowledged
from rattanwick.internal.model.instances import Endpoint

log = get_logger("requests")

CONNECT_TIMEOUT_SECONDS = 2.0
MAX_IDLE_CONNECTIONS = 64  # of one endpoint
# Shorter than the keep-alive time of common HTTP servers, so that an endpoint rarely
# closes a connection just as it is used again.
MAX_IDLE_SECONDS = 4.0
RECEIVE_BYTES = 65_536  # read at once
MAX_HEADER_BYTES = 65_536
PARSED_BYTES_PER_UNIT = 512  # of work; see ``pacing``


class ResponseReader(StrictResponse):
    """Parser of one response, which returns the body as it arrives."""

    def __init__(self):
        super().__init__()
        self._arrived = bytearray()
        self.received = 0

    def _on_body(self, buf) -> None:
        self._arrived += buf

    def feed_bytes(self, data: bytes) -> None:
        """Parse received bytes; empty bytes mean that the connection ended."""
        self.received += len(data)
        self.feed(data)
        if not self.final_status and self.received > MAX_HEADER_BYTES:
            raise HTTPParseError("header is too large")

    def take_body(self) -> bytes:
        """Return the body bytes that arrived since the last call."""
        data = bytes(self._arrived)
        self._arrived.clear()
        return data

    def header(self, name: str) -> str:
        """Return a header, or empty if it is absent or repeated."""
        value = self.get(name, "")
        return value if isinstance(value, str) else ""


class EndpointConnection:
    """Connection to an endpoint, for one request and response at a time."""

    __slots__ = (
        "_pacer",
        "_sock",
        "_timeout",
        "endpoint_id",
        "idle_since",
        "reader",
        "reused",
    )

    def __init__(self, endpoint_id: str, sock, turns: TurnQueue):
        self.endpoint_id = endpoint_id
        self._sock = sock
        self._timeout: float | None = None
        self._pacer = Pacer(turns)
        self.reused = False
        self.idle_since = 0.0
        self.reader = ResponseReader()

    def send(self, data: bytes) -> None:
        """Send a request; a ConnectionLost error states whether any byte was sent."""
        self.reader = ResponseReader()
        remaining = memoryview(data)
        sent = False
        try:
            while remaining:
                count = self._sock.send(remaining)
                sent = sent or count > 0
                remaining = remaining[count:]
        except OSError as exc:
            raise ConnectionLost("send", self.endpoint_id, str(exc), sent)

    def receive(self, timeout: float) -> bool:
        """Read once; return whether anything arrived within ``timeout`` seconds.

        Raises ConnectionLost, ProtocolError for a response that is not HTTP, and
        TimedOut if the connection has ended and the request was not read in time.
        """
        if timeout != self._timeout:
            self._sock.settimeout(timeout)
            self._timeout = timeout
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            return False
        except OSError as exc:
            raise ConnectionLost("receive", self.endpoint_id, str(exc), True)
        try:
            self.reader.feed_bytes(data)
        except HTTPParseError as exc:
            if not data:
                raise ConnectionLost("receive", self.endpoint_id, "ended early", True)
            if not self.reader.is_complete:
                raise ProtocolError("receive", self.endpoint_id, str(exc))
            # They belong to no request; the connection is not used again.
            log.info(
                "bytes after a response ignored",
                extra={"endpoint": self.endpoint_id, "error": str(exc)},
            )
        if not data:
            if not self.reader.is_complete:
                raise ConnectionLost("receive", self.endpoint_id, "ended early", True)
            self._check_orderly_end(time.monotonic() + timeout)
        self._pacer.spend(len(data) / PARSED_BYTES_PER_UNIT, float("inf"))
        return True

    def _check_orderly_end(self, deadline: float) -> None:
        """Raise an error unless the endpoint took the whole request and then closed.

        The end of the connection delimits the response.
        """
        step = "end of response"
        try:
            wait_until_acknowledged(self._sock, deadline)
        except TimeoutError as exc:
            raise TimedOut(step, self.endpoint_id, str(exc))
        except OSError as exc:
            raise ConnectionLost(step, self.endpoint_id, str(exc), True)

    def is_reusable(self) -> bool:
        """Return whether an idle connection is open and has no unread input."""
        return not is_readable(self._sock)

    def allows_keep_alive(self) -> bool:
        """Return whether the response allows another request on this connection."""
        return not self.reader.should_close()

    def abort(self) -> None:
        """Shut the connection down, which ends a read of another task."""
        try:
            self._sock.shutdown(std_socket.SHUT_RDWR)
        except OSError:
            pass

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


class EndpointConnectionPool:
    """Pool of idle connections to endpoints, which also opens new ones."""

    def __init__(self):
        self._turns = TurnQueue()
        self._idle: dict[str, list[EndpointConnection]] = {}

    def open(self, endpoint: Endpoint, fresh: bool = False) -> EndpointConnection:
        """Return an idle or a new connection; with ``fresh``, always a new one.

        Raises ConnectionLost with ``sent`` false.
        """
        if not fresh:
            conn = self._take_idle(endpoint.id)
            if conn is not None:
                return conn
        try:
            sock = socket.create_connection(
                (endpoint.host, endpoint.port), CONNECT_TIMEOUT_SECONDS
            )
        except OSError as exc:
            raise ConnectionLost("connect", endpoint.id, str(exc), False)
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
        return EndpointConnection(endpoint.id, sock, self._turns)

    def _take_idle(self, endpoint_id: str) -> EndpointConnection | None:
        idle = self._idle.get(endpoint_id, [])
        while idle:
            conn = idle.pop()
            recent = time.monotonic() - conn.idle_since < MAX_IDLE_SECONDS
            # Unread bytes on an idle connection are a late answer to another request.
            if recent and conn.is_reusable():
                conn.reused = True
                return conn
            conn.close()
        return None

    def release(self, conn: EndpointConnection) -> None:
        """Keep a connection after a complete response, or close it."""
        idle = self._idle.setdefault(conn.endpoint_id, [])
        if not conn.allows_keep_alive() or len(idle) >= MAX_IDLE_CONNECTIONS:
            conn.close()
            return
        conn.idle_since = time.monotonic()
        idle.append(conn)

    def close_idle(self, keep: Mapping[str, object] | None = None) -> None:
        """Close connections idle for too long or to endpoints not in ``keep``."""
        limit = time.monotonic() - MAX_IDLE_SECONDS
        for endpoint_id in list(self._idle):
            is_kept = keep is None or endpoint_id in keep
            conns = self._idle.pop(endpoint_id)
            kept = [conn for conn in conns if is_kept and conn.idle_since >= limit]
            for conn in conns:
                if conn not in kept:
                    conn.close()
            if kept:
                self._idle[endpoint_id] = kept


def encode_http_request(
    method: str, path: str, host: str, headers: Mapping[str, str], body: bytes
) -> bytes:
    """Return an HTTP/1.1 request; headers with an empty value are left out.

    Raises ValueError for a line break in a header.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines.extend(f"{name}: {value}" for name, value in headers.items() if value)
    lines.append(f"Content-Length: {len(body)}")
    if any("\r" in line or "\n" in line for line in lines):
        raise ValueError("line break in a request header")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def check_response_id(conn: EndpointConnection, request_id: str) -> None:
    """Raise ProtocolError if the response is not for this request."""
    echoed = conn.reader.header("x-request-id")
    if echoed != request_id:
        reason = f"answer is for request {echoed[:64]!r}"
        raise ProtocolError("match", conn.endpoint_id, reason)


def timed_out(step: str, endpoint_id: str, seconds: float) -> TimedOut:
    """Return the error for an endpoint that sent nothing for ``seconds``."""
    return TimedOut(step, endpoint_id, f"no answer for {seconds:.1f} s")
