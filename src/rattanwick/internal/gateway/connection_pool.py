"""Pool of HTTP connections from this node to endpoints."""

import socket as std_socket
import time
from collections import defaultdict

from gevent import socket

from rattanwick.internal.base.errors import (
    ConnectionLost,
    ConnectionRefused,
)
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.pacing import TurnQueue
from rattanwick.internal.gateway.endpoint_connection import EndpointConnection
from rattanwick.internal.gateway.model import Endpoint, Service

log = get_logger("links")

CONNECT_TIMEOUT_SECONDS = 0.6  # gives up after two lost SYN packets
# Idle connections are closed this long before the keep-alive time ends.
KEEP_ALIVE_MARGIN_SECONDS = 0.3
MAX_IDLE_CONNECTIONS = 24  # to one endpoint; ``release`` can lower the limit
# Share of the connections that an endpoint accepts. All nodes together keep at most
# this share idle.
MAX_IDLE_SHARE = 0.5

# If a reused connection fails this soon after a request was sent, the endpoint had
# closed it while it was idle.
STALE_FAILURE_WINDOW_SECONDS = 0.1
# Endpoints may close idle connections without notice. After such a loss, requests that
# are not retried use only connections that have been idle for less than this share of
# the idle time of the lost connection.
SAFE_IDLE_SHARE = 0.5
SAFE_IDLE_RETENTION_SECONDS = 30.0  # after the last such loss


def max_idle_connections(service: Service, nodes: int) -> int:
    """Return how many idle connections one of ``nodes`` may keep to an endpoint."""
    return max(1, int(MAX_IDLE_SHARE * service.max_connections / nodes))


class ConnectionPool:
    """Pool of idle connections to endpoints, which also opens new ones."""

    def __init__(self):
        self._turns = TurnQueue()
        self._idle: dict[str, list[EndpointConnection]] = defaultdict(list)
        self._safe_idle_seconds = float("inf")
        self._safe_idle_until = 0.0  # monotonic seconds
        self.opened = 0  # attempts to open a connection

    def acquire(
        self, endpoint: Endpoint, timeout: float, no_retry: bool
    ) -> EndpointConnection:
        """Return an idle connection, or a new one if none can be used.

        ``no_retry`` states that the request is not sent again if it is lost. Raises
        ConnectionLost if no new connection can be opened.
        """
        connection = self._take_idle(endpoint, no_retry)
        return connection if connection is not None else self.connect(endpoint, timeout)

    def note_lost(self, connection: EndpointConnection, seconds: float) -> None:
        """Lower the safe idle time if the endpoint closed the connection while idle.

        ``seconds`` is the time from sending the request to the loss of the connection.
        """
        if not connection.reused or seconds > STALE_FAILURE_WINDOW_SECONDS:
            return
        self._safe_idle_seconds = min(
            self._max_safe_idle(), SAFE_IDLE_SHARE * connection.previous_idle_seconds
        )
        self._safe_idle_until = time.monotonic() + SAFE_IDLE_RETENTION_SECONDS
        log.info(
            "endpoint closed an idle connection; reduced the idle limit of requests "
            "that are not retried",
            extra={
                "endpoint": connection.pool_key.rpartition("/")[0],
                "rested": round(connection.previous_idle_seconds, 3),
                "trusted_rest": round(self._safe_idle_seconds, 3),
                "seconds": SAFE_IDLE_RETENTION_SECONDS,
            },
        )

    def note_silent(self, connection: EndpointConnection) -> None:
        """Close the idle connections to an endpoint that was silent on a reused one.

        They may have gone silent at the same time, without a reset.
        """
        if connection.reused:
            for idle in self._idle.pop(connection.pool_key, []):
                idle.close()

    def _max_safe_idle(self) -> float:
        """Return the idle limit for requests that are not retried, in seconds."""
        expired = time.monotonic() >= self._safe_idle_until
        return float("inf") if expired else self._safe_idle_seconds

    def connect(self, endpoint: Endpoint, timeout: float) -> EndpointConnection:
        """Return a new connection; raise ConnectionLost if it cannot be opened.

        It is a ConnectionRefused if nothing accepts connections at the address.
        """
        self.opened += 1
        try:
            sock = socket.create_connection(
                endpoint.host_port, min(timeout, CONNECT_TIMEOUT_SECONDS)
            )
        except ConnectionRefusedError as exc:
            raise ConnectionRefused("connect", endpoint.id, str(exc), sent=False)
        except OSError as exc:
            raise ConnectionLost("connect", endpoint.id, str(exc), sent=False)
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
        return EndpointConnection(_connection_key(endpoint), sock, self._turns)

    def _take_idle(
        self, endpoint: Endpoint, no_retry: bool
    ) -> EndpointConnection | None:
        idle = self._idle.get(_connection_key(endpoint), [])
        limit = self._max_safe_idle() if no_retry else float("inf")
        while idle:
            # The last one has been idle for the shortest time.
            idle_for = time.monotonic() - idle[-1].idle_since
            if idle_for >= limit:
                return None
            connection = idle.pop()
            if idle_for < connection.idle_limit and connection.is_reusable():
                connection.reused, connection.previous_idle_seconds = True, idle_for
                return connection
            connection.close()
        return None

    def endpoints_with_idle_connection(self) -> set[str]:
        """Return the ids of endpoints to which there is an idle connection."""
        return {key.rpartition("/")[0] for key, idle in self._idle.items() if idle}

    def release(
        self,
        connection: EndpointConnection,
        keep_alive: float | None,
        max_idle: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        """Keep a connection for reuse after a complete response, or close it.

        ``keep_alive`` is the keep-alive time in seconds that the endpoint stated, None
        if it stated none. ``max_idle`` limits the idle connections to the endpoint.
        """
        idle = self._idle[connection.pool_key]
        if len(idle) >= min(max_idle, MAX_IDLE_CONNECTIONS) or not connection.finish():
            connection.close()
            return
        if keep_alive is not None:
            connection.idle_limit = keep_alive - KEEP_ALIVE_MARGIN_SECONDS
        connection.idle_since = time.monotonic()
        idle.append(connection)

    def close_stale(self, live: set[str]) -> None:
        """Close the idle connections that expired or whose key is not in ``live``."""
        now = time.monotonic()
        for key in list(self._idle):
            kept = []
            for connection in self._idle[key]:
                if key in live and now - connection.idle_since < connection.idle_limit:
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]


def _connection_key(endpoint: Endpoint) -> str:
    """Return a key that differs between processes at the same address."""
    return f"{endpoint.id}/{endpoint.born_ms}"


def connection_keys(endpoints: list[Endpoint]) -> set[str]:
    """Return the keys of the connections to endpoints, for ``close_stale``."""
    return {_connection_key(endpoint) for endpoint in endpoints}
