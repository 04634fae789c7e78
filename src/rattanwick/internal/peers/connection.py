"""An authenticated connection with a reader task and a bounded send queue."""

import itertools
import time
from collections import deque
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult
from gevent.ssl import SSLSocket

from rattanwick.internal.base.errors import (
    ConnectionLost,
    Refused,
    StepError,
    TimedOut,
    Unavailable,
)
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.model.instances import Node
from rattanwick.internal.peers.frames import Frame, FrameReader, encode_frame
from rattanwick.internal.peers.metrics import RECEIVED_BYTES, SENT_BYTES

log = get_logger("peers")

MAX_QUEUED_BYTES = 4 << 20
MAX_PENDING_CALLS = 4096
FLUSH_POLL_INTERVAL_SECONDS = 0.005
REPLY = "reply"
ERROR = "error"
FrameHandler = Callable[["Connection", Frame], None]


class Flusher:
    """Writer of the data that connections queue in one pass of the event loop.

    One task writes to all sockets that accept the data without waiting. Starting a task
    per connection for each heartbeat would cost more than the writes.
    """

    def __init__(self):
        self._waiting: list[Connection] = []

    def add(self, conn: "Connection") -> None:
        """Write the queue of the connection in the next pass of the event loop."""
        if not self._waiting:
            gevent.spawn(self._run)
        self._waiting.append(conn)

    def _run(self) -> None:
        waiting, self._waiting = self._waiting, []
        for conn in waiting:
            if not conn.try_flush():
                gevent.spawn(conn.flush)


class Connection:
    """Connection that exchanges frames; the task that calls ``run`` reads it."""

    __slots__ = (
        "_flusher",
        "_flushing",
        "_on_frame",
        "_pending",
        "_queue",
        "_queued_bytes",
        "_reader",
        "_sequence",
        "_sock",
        "close_reason",
        "dialled",
        "last_used",
        "node",
        "active_calls",
    )

    def __init__(
        self,
        sock,
        reader: FrameReader,
        node: Node,
        dialled: bool,
        on_frame: FrameHandler,
        flusher: Flusher,
    ):
        self._sock = sock
        self._reader = reader
        self._on_frame = on_frame
        self._flusher = flusher
        self._pending: dict[int, AsyncResult] = {}
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._flushing = False
        self._sequence = itertools.count(1)
        self.node = node
        self.dialled = dialled
        self.close_reason = ""  # empty while open
        self.last_used = time.monotonic()  # monotonic seconds
        self.active_calls = 0  # calls of the peer that are served here

    def run(self) -> None:
        """Read and handle frames until the connection ends, then close it."""
        reason = "closed by the peer"
        counted_bytes = 0
        try:
            while (frame := self._reader.read()) is not None:
                RECEIVED_BYTES.inc(self._reader.received_bytes - counted_bytes)
                counted_bytes = self._reader.received_bytes
                self.last_used = time.monotonic()
                self._handle(frame)
        except StepError as exc:
            reason = exc.reason
        except OSError as exc:
            reason = exc.strerror or type(exc).__name__
        finally:
            self.close(reason)

    def call(self, kind: str, body: dict, timeout: float) -> dict:
        """Return the reply of the peer, within ``timeout`` seconds.

        Raises Unavailable if too many calls are waiting, Refused if the peer's handler
        failed, TimedOut, or ConnectionLost. ConnectionLost has ``sent`` False if the
        call was not sent.
        """
        if len(self._pending) >= MAX_PENDING_CALLS:
            raise Unavailable(
                kind, self.node.id, "too many calls are waiting for replies"
            )
        sequence = next(self._sequence)
        result = self._pending[sequence] = AsyncResult()
        try:
            self.send(Frame(kind, sequence, 0, body))
            reply = result.get(timeout=timeout)
        except gevent.Timeout:
            raise TimedOut(kind, self.node.id, f"no reply within {timeout:.3g} s")
        finally:
            self._pending.pop(sequence, None)
        if reply is None:
            reason = self.close_reason or "the node is considered dead"
            raise ConnectionLost(kind, self.node.id, reason, sent=True)
        if reply.kind == ERROR:
            raise Refused(kind, self.node.id, str(reply.body.get("reason", "")))
        return reply.body

    def send(self, frame: Frame) -> None:
        """Queue a frame.

        Raises ConnectionLost if the connection is closed or its queue is full, and
        ProtocolError if the frame is invalid or too large.
        """
        self.send_encoded(frame.kind, encode_frame(frame))

    def send_encoded(self, kind: str, data: bytes) -> None:
        """Queue an encoded frame.

        Raises ConnectionLost if the connection is closed or its queue is full.
        """
        if self.close_reason:
            raise ConnectionLost(kind, self.node.id, self.close_reason, sent=False)
        if self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self.close("the send queue is full")
            raise ConnectionLost(kind, self.node.id, self.close_reason, sent=False)
        self._queue.append(data)
        self._queued_bytes += len(data)
        self.last_used = time.monotonic()
        if not self._flushing:
            self._flushing = True
            self._flusher.add(self)

    def is_busy(self) -> bool:
        """Return whether a call is in progress in either direction."""
        return bool(self._pending) or self.active_calls > 0

    def wait_until_sent(self, timeout: float) -> None:
        """Wait until the queue is empty, for at most ``timeout`` seconds."""
        deadline = time.monotonic() + timeout
        while self._flushing and not self.close_reason and time.monotonic() < deadline:
            gevent.sleep(FLUSH_POLL_INTERVAL_SECONDS)

    def close(self, reason: str) -> None:
        """Close the socket and fail the calls that wait for replies."""
        if self.close_reason:
            return
        self.close_reason = reason
        self._queue.clear()
        self._sock.close()
        self.fail_calls()

    def fail_calls(self) -> None:
        """Make all calls that wait for replies raise ConnectionLost."""
        for result in list(self._pending.values()):
            result.set(None)

    def _handle(self, frame: Frame) -> None:
        if frame.kind not in (REPLY, ERROR):
            self._on_frame(self, frame)
            return
        # A late reply to a call that timed out finds no entry and is dropped.
        result = self._pending.get(frame.reply_to)
        if result is not None:
            result.set(frame)

    def try_flush(self) -> bool:
        """Write without waiting; return whether the socket accepted the whole queue."""
        if self.close_reason or isinstance(self._sock, SSLSocket):
            return False
        data = b"".join(self._queue)
        self._queue.clear()
        try:
            sent = self._sock.send(data, timeout=0.0)
        except OSError:
            # The buffer is full or the connection is broken; ``flush`` tries again.
            sent = 0
        self._count_sent(sent)
        if sent < len(data):
            self._queue.appendleft(data[sent:])
            return False
        self._flushing = False
        return True

    def flush(self) -> None:
        """Write the queue and wait for the socket; close the connection on an error."""
        try:
            while self._queue and not self.close_reason:
                data = b"".join(self._queue)
                self._queue.clear()
                self._sock.sendall(data)
                self._count_sent(len(data))
        except OSError as exc:
            self.close(exc.strerror or type(exc).__name__)
        finally:
            self._flushing = False

    def _count_sent(self, size: int) -> None:
        self._queued_bytes -= size
        SENT_BYTES.inc(size)
