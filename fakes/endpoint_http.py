"""HTTP server of one fake endpoint, which can close all connections and restart."""

import json
import select
import socket
import time

import gevent
from gevent import monkey
from gevent.pywsgi import WSGIHandler, WSGIServer

CHECK_INTERVAL_SECONDS = 0.01
DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
poll = monkey.get_original("select", "poll")
STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    503: "503 Service Unavailable",
}


class AnswerLost(Exception):
    """Raised by the application to close the connection without a response."""


class TrackedHandler(WSGIHandler):
    """Handler that registers its connection with the server, which may close it."""

    def handle(self):
        """Serve one connection."""
        conn = self.socket  # the base class deletes the attribute at the end
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(conn)
        try:
            super().handle()
        finally:
            self.server.connections.discard(conn)

    def get_environ(self):
        """Return the environment with the connection added."""
        environ = super().get_environ()
        environ["fake.socket"] = self.socket
        return environ

    def handle_error(self, t, v, tb):
        """Close the connection after AnswerLost; report other exceptions."""
        if isinstance(v, AnswerLost):
            close_connection(self.socket)
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


class EndpointServer(WSGIServer):
    """Server of one endpoint, with the set of its open connections."""

    def __init__(self, address: tuple[str, int], application):
        super().__init__(
            address, application, handler_class=TrackedHandler, log=None, backlog=1024
        )
        self.connections: set = set()


class Listener:
    """Address of an endpoint, which stays the same when its server restarts."""

    def __init__(self, host: str, port: int, application):
        self._host = host
        self._application = application
        self._server: EndpointServer | None = None
        self._restart: gevent.Greenlet | None = None
        self.port = port

    def start(self) -> None:
        """Listen, on the same port as before, unless it listens already."""
        if self._server is not None:
            return
        self._server = EndpointServer((self._host, self.port), self._application)
        self._server.start()
        self.port = self._server.server_port

    def crash(self, seconds: float) -> None:
        """Close the listener and all connections.

        Restart after ``seconds``, or not at all if that is 0.
        """
        server, self._server = self._server, None
        if server is not None:
            server.close()
            for conn in list(server.connections):
                close_connection(conn)
        if self._restart is not None:
            self._restart.kill(block=False)
            self._restart = None
        if seconds > 0:
            self._restart = gevent.spawn_later(seconds, self.start)


class DisconnectDetector:
    """Detects that the caller of a request has closed its connection.

    It polls the descriptor, since an event-loop watcher that outlives its descriptor
    ends the process.
    """

    __slots__ = ("_disconnected", "_conn", "_next_check")

    def __init__(self, conn):
        self._conn = conn
        self._disconnected = False
        self._next_check = 0.0

    def is_disconnected(self) -> bool:
        """Return whether the connection is closed; look at most every 10 ms."""
        now = time.monotonic()
        if not self._disconnected and now >= self._next_check:
            self._next_check = now + CHECK_INTERVAL_SECONDS
            fd = self._conn.fileno()
            poller = poll()
            if fd >= 0:
                poller.register(fd, DISCONNECT_EVENTS)
            self._disconnected = fd < 0 or bool(poller.poll(0))
        return self._disconnected


def close_connection(conn) -> None:
    """Shut a connection down in both directions."""
    try:
        conn.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def read_json(environ: dict) -> dict:
    """Return the JSON body; raise ValueError if it is not an object."""
    body = json.loads(environ["wsgi.input"].read() or b"{}")
    if not isinstance(body, dict):
        raise ValueError("body: must be a JSON object")
    return body


def respond_json(start_response, status: int, body, headers=()) -> list[bytes]:
    """Start a response with a JSON body and return the body."""
    data = json.dumps(body).encode()
    all_headers = [("Content-Type", "application/json"), *headers]
    all_headers.append(("Content-Length", str(len(data))))
    start_response(STATUS_LINES.get(status, f"{status} Status"), all_headers)
    return [data]
