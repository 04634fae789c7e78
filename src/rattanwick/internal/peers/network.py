"""Peer network over TCP, which dials on demand, authenticates and dispatches."""

import itertools
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import AsyncResult
from gevent.server import StreamServer
from gevent.socket import IPPROTO_TCP, TCP_NODELAY, create_connection

from rattanwick.internal.base.errors import (
    ProtocolError,
    Refused,
    StepError,
    TimedOut,
    Unavailable,
)
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.settings import PeerSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.instances import Node
from rattanwick.internal.peers.connection import ERROR, REPLY, Connection, Flusher
from rattanwick.internal.peers.connection_table import ConnectionTable
from rattanwick.internal.peers.frames import (
    MAX_FRAME_BYTES,
    Frame,
    FrameReader,
    encode_frame,
)
from rattanwick.internal.peers.handshake import (
    HANDSHAKE_TIMEOUT_SECONDS,
    MAX_HANDSHAKE_FRAME_BYTES,
    Handshake,
    Hello,
)
from rattanwick.internal.peers.interfaces import Handler, PeerNetwork
from rattanwick.internal.peers.metrics import DROPPED_MESSAGES, HANDSHAKES
from rattanwick.internal.peers.tls import PeerTls

log = get_logger("peers")

MAX_UNAUTHENTICATED = 64
MAX_CONCURRENT_CALLS_PER_PEER = 2048
MAX_NOTIFICATIONS_WHILE_DIALLING = 256
SWEEP_INTERVAL_SECONDS = 2.0
STOP_TIMEOUT_SECONDS = 0.5  # for sending queued frames
ConnectionCallback = Callable[[Node, bool], None]  # (node, whether it is connected)


class TcpPeerNetwork(PeerNetwork):
    """Network that exchanges frames over authenticated TCP or TLS connections."""

    def __init__(
        self,
        settings: PeerSettings,
        node: Node,
        resolve: Callable[[str], Node | None],
        timers: TimerService,
        secret: bytes,
    ):
        if not secret:
            raise ValueError("the secret of the nodes is empty; write one to the file")
        self.node = node
        self._settings = settings
        self._resolve = resolve
        self._timers = timers
        self._secret = secret
        self._tls = PeerTls(settings) if settings.tls_certificate else None
        self._connections = ConnectionTable(node.id)
        self._flusher = Flusher()
        self._handlers: dict[str, Handler] = {}
        self._inline: set[str] = set()
        self._callbacks: list[ConnectionCallback] = []
        self._dials: dict[str, AsyncResult] = {}
        self._unauthenticated: dict[int, socket.socket] = {}
        self._socket_numbers = itertools.count()
        self._dialling_notifications = 0
        self._server: StreamServer | None = None
        self._sweep = None
        self._stopped = False

    def start(self) -> None:
        """Listen for other nodes and close idle connections regularly."""
        address = (self._settings.address, self._settings.port)
        self._server = StreamServer(address, self._accept, backlog=256)
        self._server.start()
        self._sweep = self._timers.subscribe(
            "peer connections", SWEEP_INTERVAL_SECONDS, self._run_sweep
        )
        log.info("listening on %s:%d", *address)

    def stop(self) -> None:
        """Stop listening, send what is queued and close all connections."""
        self._stopped = True
        if self._sweep is not None:
            self._sweep.cancel()
        if self._server is not None:
            self._server.stop(timeout=0)
        for sock in list(self._unauthenticated.values()):
            sock.close()
        deadline = self._timers.now() + STOP_TIMEOUT_SECONDS
        for conn in self._connections:
            conn.wait_until_sent(max(deadline - self._timers.now(), 0.0))
            conn.close("this node is stopping")

    def call(self, node_id: str, kind: str, body: dict, timeout: float) -> dict:
        """Return the reply; raise StepError if there is none within ``timeout``."""
        if node_id == self.node.id:
            return self._call_self(kind, body)
        deadline = self._timers.now() + timeout
        conn = self._connect(node_id, kind, timeout)
        remaining = deadline - self._timers.now()
        if remaining <= 0:
            raise TimedOut(kind, node_id, "no time left after connecting")
        return conn.call(kind, body, remaining)

    def notify(self, node_id: str, kind: str, body: dict) -> None:
        """Send a notification; it is dropped if the peer is unreachable."""
        frame = Frame(kind, 0, 0, body)
        conn = self._connections.get(node_id)
        if conn is not None:
            self._send_or_drop(conn, frame)
        elif (
            self._dialling_notifications >= MAX_NOTIFICATIONS_WHILE_DIALLING
            or self._stopped
        ):
            DROPPED_MESSAGES.labels("queue_full").inc()
        else:
            self._dialling_notifications += 1
            gevent.spawn(self._connect_and_send, node_id, frame)

    def notify_connected(self, node_ids: list[str], kind: str, body: dict) -> None:
        """Send a notification to those of the nodes that are connected."""
        data = encode_frame(Frame(kind, 0, 0, body))
        for node_id in node_ids:
            conn = self._connections.get(node_id)
            if conn is not None:
                try:
                    conn.send_encoded(kind, data)
                except StepError:
                    DROPPED_MESSAGES.labels("not_sent").inc()

    def handle(self, kind: str, handler: Handler, inline: bool = False) -> None:
        """Register a handler; an inline one runs in the reader and must not block."""
        self._handlers[kind] = handler
        if inline:
            self._inline.add(kind)

    def subscribe_connections(self, callback: ConnectionCallback) -> None:
        """Call ``callback`` when a node becomes connected and when it no longer is."""
        self._callbacks.append(callback)

    def is_connected(self, node_id: str) -> bool:
        """Return whether a connection to the node is open."""
        return self._connections.get(node_id) is not None

    def connect(self, node_id: str, timeout: float) -> None:
        """Open a connection if there is none; raise Unavailable if that fails."""
        self._connect(node_id, "connect", timeout)

    def disconnect(self, node_id: str, reason: str) -> None:
        """Close all connections to a node."""
        while (conn := self._connections.get(node_id)) is not None:
            conn.close(reason)
            self._forget(conn)

    def fail_calls(self, node_id: str) -> None:
        """Fail the calls that wait for replies of a node that is considered dead."""
        for conn in self._connections:
            if conn.node.id == node_id:
                conn.fail_calls()

    def _connect(self, node_id: str, step: str, timeout: float) -> Connection:
        conn = self._connections.get(node_id)
        if conn is not None:
            return conn
        if self._stopped:
            raise Unavailable(step, node_id, "this node is stopping")
        dial = self._dials.get(node_id)
        if dial is None:
            dial = self._dials[node_id] = AsyncResult()
            gevent.spawn(self._dial, node_id, dial)
        try:
            result = dial.get(timeout=timeout)
        except gevent.Timeout:
            raise Unavailable(step, node_id, f"not connected within {timeout:.3g} s")
        if isinstance(result, Connection):
            return result
        raise Unavailable(step, node_id, result)

    def _dial(self, node_id: str, dial: AsyncResult) -> None:
        """Open a connection, pass it to the waiting tasks, and read until it ends."""
        conn = None
        sock = None
        reason = "not connected"
        try:
            with gevent.Timeout(HANDSHAKE_TIMEOUT_SECONDS):
                sock, conn = self._open(node_id)
        except gevent.Timeout:
            reason = f"no handshake within {HANDSHAKE_TIMEOUT_SECONDS:g} s"
        except StepError as exc:
            reason = exc.reason
        except (OSError, ValueError) as exc:
            reason = str(exc)
        del self._dials[node_id]
        if conn is None or self._stopped:
            if sock is not None:
                sock.close()
            HANDSHAKES.labels("dial_failed").inc()
            dial.set(reason)
            return
        HANDSHAKES.labels("dialled").inc()
        self._add(conn)
        dial.set(conn)
        self._read(conn)

    def _open(self, node_id: str) -> tuple[socket.socket, Connection]:
        node = self._resolve(node_id)
        if node is None:
            raise Unavailable("connect", node_id, "no address of the node is known")
        sock = create_connection((node.host, node.peer_port))
        try:
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            binding = b""
            if self._tls is not None:
                sock, binding = self._tls.wrap_dialled(sock)
            reader = FrameReader(sock.recv, node_id, MAX_HANDSHAKE_FRAME_BYTES)
            handshake = self._handshake(reader, sock, binding)
            other = handshake.dial(node_id)
        except BaseException:
            sock.close()
            raise
        return sock, self._connection(sock, reader, other, dialled=True)

    def _accept(self, sock: socket.socket, address: tuple) -> None:
        """Authenticate an accepted connection and read until it ends."""
        number = next(self._socket_numbers)
        if len(self._unauthenticated) >= MAX_UNAUTHENTICATED:
            # Closing the oldest one lets nodes connect although another client holds
            # many connections open.
            oldest = next(iter(self._unauthenticated))
            self._unauthenticated.pop(oldest).close()
            HANDSHAKES.labels("displaced").inc()
        self._unauthenticated[number] = sock
        conn = None
        peer = f"{address[0]}:{address[1]}"
        try:
            with gevent.Timeout(HANDSHAKE_TIMEOUT_SECONDS):
                sock, conn = self._authenticate(sock, peer)
        except gevent.Timeout:
            self._reject(
                peer, "timeout", f"no proof in {HANDSHAKE_TIMEOUT_SECONDS:g} s"
            )
        except StepError as exc:
            self._reject(peer, "refused", str(exc))
        except (OSError, ValueError) as exc:
            self._reject(peer, "failed", str(exc))
        finally:
            self._unauthenticated.pop(number, None)
            if conn is None:
                sock.close()
        if conn is not None and not self._stopped:
            HANDSHAKES.labels("accepted").inc()
            self._add(conn)
            self._read(conn)

    def _authenticate(
        self, sock: socket.socket, peer: str
    ) -> tuple[socket.socket, Connection]:
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        binding = b""
        if self._tls is not None:
            sock, binding = self._tls.wrap_accepted(sock)
        reader = FrameReader(sock.recv, peer, MAX_HANDSHAKE_FRAME_BYTES)
        other = self._handshake(reader, sock, binding).accept()
        return sock, self._connection(sock, reader, other, dialled=False)

    def _handshake(self, reader: FrameReader, sock, binding: bytes) -> Handshake:
        own = Hello.from_node(self.node)
        return Handshake(self._secret, own, reader, sock.sendall, binding)

    def _connection(
        self, sock, reader: FrameReader, other: Hello, dialled: bool
    ) -> Connection:
        reader.limit = MAX_FRAME_BYTES
        reader.peer = other.node_id
        return Connection(
            sock, reader, other.to_node(), dialled, self._on_frame, self._flusher
        )

    def _reject(self, peer: str, result: str, reason: str) -> None:
        HANDSHAKES.labels(result).inc()
        log.warning("connection from %s rejected: %s", peer, reason)

    def _add(self, conn: Connection) -> None:
        self._connections.add(conn)
        self._notify_subscribers(conn.node, True)

    def _read(self, conn: Connection) -> None:
        try:
            conn.run()
        finally:
            self._forget(conn)

    def _forget(self, conn: Connection) -> None:
        if self._connections.remove(conn):
            log.debug("connection to %s ended: %s", conn.node.id, conn.close_reason)
            self._notify_subscribers(conn.node, False)

    def _notify_subscribers(self, node: Node, connected: bool) -> None:
        for callback in self._callbacks:
            callback(node, connected)

    def _on_frame(self, conn: Connection, frame: Frame) -> None:
        """Serve a call or notification of an authenticated peer."""
        if frame.sequence == 0:
            if frame.kind in self._inline:
                self._serve_notification(conn.node.id, frame)
            else:
                gevent.spawn(self._serve_notification, conn.node.id, frame)
        elif conn.active_calls >= MAX_CONCURRENT_CALLS_PER_PEER:
            body = {"reason": "too many calls of this peer are in progress"}
            self._send_or_drop(conn, Frame(ERROR, 0, frame.sequence, body))
        else:
            conn.active_calls += 1
            gevent.spawn(self._serve_call, conn, frame)

    def _call_self(self, kind: str, body: dict) -> dict:
        try:
            return self._run_handler(kind, self.node.id, body)
        except StepError as exc:
            raise Refused(kind, self.node.id, exc.reason)

    def _serve_notification(self, node_id: str, frame: Frame) -> None:
        try:
            self._run_handler(frame.kind, node_id, frame.body)
        except StepError as exc:
            log.debug("%s from %s: %s", frame.kind, node_id, exc.reason)

    def _serve_call(self, conn: Connection, frame: Frame) -> None:
        try:
            body = self._run_handler(frame.kind, conn.node.id, frame.body)
            reply = Frame(REPLY, 0, frame.sequence, body)
        except StepError as exc:
            reply = Frame(ERROR, 0, frame.sequence, {"reason": exc.reason})
        finally:
            conn.active_calls -= 1
        try:
            conn.send(reply)
        except ProtocolError as exc:
            error = Frame(ERROR, 0, frame.sequence, {"reason": exc.reason})
            self._send_or_drop(conn, error)
        except StepError:
            DROPPED_MESSAGES.labels("not_sent").inc()

    def _run_handler(self, kind: str, node_id: str, body: dict) -> dict:
        handler = self._handlers.get(kind)
        if handler is None:
            raise Unavailable(kind, self.node.id, f"message kind {kind} is unknown")
        try:
            return handler(node_id, body) or {}
        except StepError:
            raise
        except Exception as exc:
            # A body with fields of wrong types must not end the reader or the process.
            log.exception("handler of %s failed for %s", kind, node_id)
            raise Unavailable(
                kind, self.node.id, f"handler raised {type(exc).__name__}"
            )

    def _connect_and_send(self, node_id: str, frame: Frame) -> None:
        try:
            conn = self._connect(node_id, frame.kind, HANDSHAKE_TIMEOUT_SECONDS)
            self._send_or_drop(conn, frame)
        except StepError:
            DROPPED_MESSAGES.labels("unreachable").inc()
        finally:
            self._dialling_notifications -= 1

    def _send_or_drop(self, conn: Connection, frame: Frame) -> None:
        try:
            conn.send(frame)
        except StepError:
            DROPPED_MESSAGES.labels("not_sent").inc()

    def _run_sweep(self) -> None:
        self._connections.close_idle()
        if self._tls is not None:
            self._tls.reload_if_changed()
