"""HTTP server of one endpoint, which can drop all its connections and come back."""

import json
import select
import socket
import time

import gevent
from gevent import monkey
from gevent.pywsgi import WSGIHandler, WSGIServer

CHECK_SECONDS = 0.01
CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
poll = monkey.get_original("select", "poll")
STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    503: "503 Service Unavailable",
}


class AnswerLost(Exception):
    """Close the connection without an answer."""


class TrackedHandler(WSGIHandler):
    """Register the connection, so that it can be dropped from outside."""

    def handle(self):
        """Serve one connection."""
        conn = self.socket  # the base class deletes the attribute at the end
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.live.add(conn)
        try:
            super().handle()
        finally:
            self.server.live.discard(conn)

    def get_environ(self):
        """Return the environment with the connection added."""
        environ = super().get_environ()
        environ["fake.socket"] = self.socket
        return environ

    def handle_error(self, t, v, tb):
        """Drop the connection where the answer is lost."""
        if isinstance(v, AnswerLost):
            drop(self.socket)
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


class EndpointServer(WSGIServer):
    """Listen for one endpoint."""

    def __init__(self, address: tuple[str, int], application):
        super().__init__(
            address, application, handler_class=TrackedHandler, log=None, backlog=1024
        )
        self.live: set = set()


class Listener:
    """Hold the address of an endpoint while its server comes and goes."""

    def __init__(self, host: str, port: int, application):
        self._host = host
        self._application = application
        self._server: EndpointServer | None = None
        self._revival: gevent.Greenlet | None = None
        self.port = port

    def start(self) -> None:
        """Listen, on the same port as before."""
        if self._server is not None:
            return
        self._server = EndpointServer((self._host, self.port), self._application)
        self._server.start()
        self.port = self._server.server_port

    def crash(self, seconds: float) -> None:
        """Drop all connections and stay down; come back after ``seconds`` unless 0."""
        server, self._server = self._server, None
        if server is not None:
            server.close()
            for conn in list(server.live):
                drop(conn)
        if self._revival is not None:
            self._revival.kill(block=False)
            self._revival = None
        if seconds > 0:
            self._revival = gevent.spawn_later(seconds, self.start)


class CloseWatch:
    """Tell whether the caller of a request closed its connection.

    It polls: an event-loop watcher that outlives its descriptor ends the process.
    """

    __slots__ = ("_closed", "_conn", "_next_check")

    def __init__(self, conn):
        self._conn = conn
        self._closed = False
        self._next_check = 0.0

    def closed(self) -> bool:
        """Tell whether it is closed, as looked up every few milliseconds."""
        now = time.monotonic()
        if not self._closed and now >= self._next_check:
            self._next_check = now + CHECK_SECONDS
            fd = self._conn.fileno()
            poller = poll()
            if fd >= 0:
                poller.register(fd, CLOSED)
            self._closed = fd < 0 or bool(poller.poll(0))
        return self._closed


def drop(conn) -> None:
    """Close a connection at once, in both directions."""
    try:
        conn.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def read_json(environ: dict) -> dict:
    """Return the JSON body; raise ValueError where it is no object."""
    body = json.loads(environ["wsgi.input"].read() or b"{}")
    if not isinstance(body, dict):
        raise ValueError("body: must be an object")
    return body


def answer_json(start_response, status: int, body, headers=()) -> list[bytes]:
    """Answer with a JSON body."""
    data = json.dumps(body).encode()
    all_headers = [("Content-Type", "application/json"), *headers]
    all_headers.append(("Content-Length", str(len(data))))
    start_response(STATUS_LINES.get(status, f"{status} Status"), all_headers)
    return [data]
