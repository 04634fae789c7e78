"""HTTP server that accepts callers' connections."""

import socket as std_socket
from collections.abc import Callable

import gevent
from gevent.server import StreamServer

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.pacing import TurnQueue
from rattanwick.internal.gateway.answer_guard import AnswerGuard
from rattanwick.internal.gateway.body_memory import BodyMemory
from rattanwick.internal.gateway.caller_connection import CallerConnection
from rattanwick.internal.gateway.interfaces import MessageCodec
from rattanwick.internal.gateway.model import CallerLimits
from rattanwick.internal.gateway.planned_stop import PlannedStop
from rattanwick.internal.gateway.relay import Relay

log = get_logger("callers")

LISTEN_BACKLOG = 1024
# Used until a configuration has been read.
DEFAULT_LIMITS = CallerLimits(16_384, 4 << 20, 3.0, 15.0)


class CallerServer:
    """Server that listens for callers.

    ``limits`` returns the CallerLimits in force for a new connection;
    ``request_memory`` bounds the bodies of all requests.
    """

    def __init__(
        self,
        address: tuple[str, int],
        codec: MessageCodec,
        relay: Relay,
        limits: Callable[[], CallerLimits],
        stop: PlannedStop,
        request_memory: BodyMemory,
    ):
        self.codec = codec
        self.relay = relay
        self.limits = limits
        self.stop = stop
        self.guard = AnswerGuard(codec, stop)
        self.request_memory = request_memory
        self.turns = TurnQueue()
        self.draining = False
        self.connections: set[CallerConnection] = set()
        self._server = StreamServer(address, self._serve, backlog=LISTEN_BACKLOG)

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    def drain(self) -> None:
        """Close each connection after its next response."""
        self.draining = True

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for conn in list(self.connections):
            conn.close_if_idle()

    def end_requests(self) -> None:
        """Answer the requests in progress now, because the process is about to end."""
        for conn in list(self.connections):
            conn.end_request()

    def log_unanswered(self, cause: str) -> None:
        """Log the requests in progress, which get no complete answer."""
        for conn in self.connections:
            conn.log_unanswered(cause)

    def stop_accepting(self) -> None:
        """Serve the connections that the kernel has accepted; accept no more.

        The kernel would reset them, although their requests may have arrived whole.
        """
        if self._server.closed:
            return
        try:
            while (accepted := self._server.do_read()) is not None:
                self._server.do_handle(*accepted)
        except OSError as exc:
            log.warning("connection not accepted", extra={"error": str(exc)})
        self._server.close()

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.server_port

    @property
    def busy(self) -> int:
        """Return the number of requests in progress."""
        return sum(conn.busy for conn in self.connections)

    def _serve(self, sock, _address) -> None:
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
        conn = CallerConnection(self, sock)
        self.connections.add(conn)
        try:
            conn.run()
        except gevent.GreenletExit:
            raise
        except Exception:
            log.exception("connection failed")
        finally:
            self.connections.discard(conn)
