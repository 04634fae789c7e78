"""Pool of HTTP connections to one service.

Errors show whether a request may have reached the service.
"""

import select
import socket
import time
from dataclasses import dataclass
from urllib.parse import urlsplit

import gevent
import gevent.socket
from geventhttpclient.connectionpool import ConnectionPool, SSLConnectionPool
from geventhttpclient.response import HTTPParseError

from rattanwick.internal.base.errors import ConnectionLost, ProtocolError, TimedOut
from rattanwick.internal.base.pacing import UNIT_SECONDS, Pacer, TurnQueue
from rattanwick.internal.base.strict_responses import StrictPoolResponse

MAX_RESPONSE_BYTES = 16 << 20
DEFAULT_CONNECTIONS = 8
BLOCK_BYTES = 64 * 1024
READ_BYTES = 16 * 1024
MAX_HEAD_BYTES = 64 * 1024
# Bytes in which a block of a body arrives. Chunks of one byte take six.
MAX_FRAMED_BLOCK_BYTES = 8 * BLOCK_BYTES
# Each request has its own time-out. That of the pool is long, so that it does not
# end a long poll before the request's time-out does.
SOCKET_TIMEOUT_SECONDS = 60.0


@dataclass(slots=True)
class HttpResponse:
    """An HTTP response.

    Header names are in lower case; repeated headers are joined by commas.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class ResponseTooLarge(OSError):
    """More bytes have arrived than a part of a response may have."""


class _ResponseSocket(gevent.socket.socket):
    """Socket that bounds the bytes of a response and lets other tasks run.

    The library reads heads of any length, and does not wait while bytes arrive.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._pacer: Pacer | None = None
        self._allowed_bytes = 0
        self._received_at: float | None = None  # monotonic seconds

    def start_response(self, turns: TurnQueue) -> None:
        """Prepare for reading a response."""
        self._pacer, self._received_at = Pacer(turns), None

    def allow(self, size: int) -> None:
        """Set how many bytes may arrive until this is called again."""
        self._allowed_bytes = size

    def recv(self, *args) -> bytes:
        if self._pacer is not None and self._received_at is not None:
            # The library has parsed the former bytes in this time.
            seconds = time.monotonic() - self._received_at
            self._pacer.spend(seconds / UNIT_SECONDS, float("inf"))
        data = super().recv(min(args[0], READ_BYTES), *args[1:])
        self._received_at = time.monotonic()
        self._allowed_bytes -= len(data)
        if self._allowed_bytes < 0:
            raise ResponseTooLarge("part of the response is too large")
        return data


class _PoolMixin:
    def _create_tcp_socket(self, family, socktype, protocol):
        return _ResponseSocket(family, socktype, protocol)

    def after_connect(self, sock) -> None:
        # Otherwise the last segment of a large body waits for an acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close_idle(self) -> None:
        while not self._socket_queue.empty():
            self._socket_queue.get(block=False).close()

    # The library uses select(), which fails for descriptors from 1024 on; a busy
    # node would then open a new connection for each call.
    def _is_socket_alive(self, sock) -> bool:
        if sock is None or sock.fileno() < 0:
            return False
        poller = select.poll()
        poller.register(sock.fileno(), select.POLLIN)
        return not poller.poll(0)


class _PlainPool(_PoolMixin, ConnectionPool):
    pass


class _TlsPool(_PoolMixin, SSLConnectionPool):
    pass


class HttpPool:
    """Connection pool for one address; sends requests without retries.

    A connection on which a request failed or timed out is closed. ``peer`` names the
    service in errors.
    """

    def __init__(self, url: str, peer: str, connections: int = DEFAULT_CONNECTIONS):
        parts = urlsplit(url)
        self.url = url
        self._peer = peer
        tls = parts.scheme == "https"
        port = parts.port or (443 if tls else 80)
        host = parts.hostname
        pool_class = _TlsPool if tls else _PlainPool
        self._pool = pool_class(
            host,
            port,
            host,
            port,
            size=connections,
            network_timeout=SOCKET_TIMEOUT_SECONDS,
        )
        self._turns = TurnQueue()
        self._base_path = parts.path
        self._host_header = parts.netloc

    def request(
        self,
        step: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout: float,
    ) -> HttpResponse:
        """Send a request and return the response, whatever its status.

        Raises ConnectionLost if the connection fails (``sent`` is False if no byte was
        sent), TimedOut if there is no response within ``timeout`` seconds, and
        ProtocolError if the response is too large.
        """
        request_timeout = gevent.Timeout.start_new(timeout)
        sent = False
        try:
            conn = self._connect(step)
            sent = True
            return self._exchange(step, conn, method, path, headers, body)
        except gevent.Timeout as exc:
            if exc is not request_timeout:
                raise
            if not sent:
                raise ConnectionLost(step, self._peer, "no connection in time", False)
            # Other connections may have gone silent with this one.
            self.close_idle()
            raise TimedOut(step, self._peer, f"no response within {timeout:g} s")
        finally:
            request_timeout.close()

    def close_idle(self) -> None:
        """Close idle connections, so that the next request opens a new one."""
        self._pool.close_idle()

    def close(self) -> None:
        """Close idle connections, and open no more."""
        self._pool.close()

    def _connect(self, step: str):
        try:
            return self._pool.get_socket()
        except (OSError, RuntimeError) as exc:
            raise ConnectionLost(step, self._peer, str(exc), sent=False)

    def _exchange(
        self, step: str, conn, method: str, path: str, headers: dict, body: bytes
    ) -> HttpResponse:
        try:
            conn.sendall(self._head(method, path, headers, body) + body)
        except BaseException as exc:
            self._pool.release_socket(conn)
            if isinstance(exc, OSError):
                raise ConnectionLost(step, self._peer, str(exc), sent=True)
            raise
        try:
            return self._read(step, conn, method)
        except HTTPParseError as exc:
            raise ConnectionLost(step, self._peer, str(exc), sent=True)
        except OSError as exc:
            raise ConnectionLost(step, self._peer, str(exc), sent=True)

    def _head(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> bytes:
        lines = [f"{method} {self._base_path}{path} HTTP/1.1"]
        lines.append(f"Host: {self._host_header}")
        lines.append(f"Content-Length: {len(body)}")
        lines.extend(f"{name}: {value}" for name, value in headers.items())
        return "\r\n".join((*lines, "", "")).encode("latin-1")

    def _read(self, step: str, conn, method: str) -> HttpResponse:
        bounded = isinstance(conn, _ResponseSocket)  # connections with TLS are not
        if bounded:
            conn.start_response(self._turns)
            conn.allow(MAX_HEAD_BYTES + READ_BYTES)
        response = StrictPoolResponse(
            conn, self._pool, block_size=BLOCK_BYTES, method=method
        )
        try:
            length = response.content_length
            if length is not None and length > MAX_RESPONSE_BYTES:
                raise ProtocolError(
                    step, self._peer, f"response of {length} bytes is too large"
                )
            parts, size = [], 0
            while True:
                if bounded:
                    conn.allow(MAX_FRAMED_BLOCK_BYTES)
                part = response.read(BLOCK_BYTES)
                if not part:
                    break
                parts.append(part)
                size += len(part)
                if size > MAX_RESPONSE_BYTES:
                    raise ProtocolError(step, self._peer, "response is too large")
            if not response.message_complete:
                raise ConnectionLost(step, self._peer, "truncated response", sent=True)
            headers: dict[str, str] = {}
            for name, value in response.items():
                key = name.lower()
                headers[key] = f"{headers[key]}, {value}" if key in headers else value
            return HttpResponse(response.status_code, headers, b"".join(parts))
        finally:
            response.release()
