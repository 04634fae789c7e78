"""Connection to an endpoint, for one request and response at a time."""

import time

import gevent
import h11

from rattanwick.internal.base.errors import ConnectionLost, ProtocolError, TimedOut
from rattanwick.internal.base.pacing import BYTES_PER_UNIT, Pacer, TurnQueue
from rattanwick.internal.base.response_heads import (
    MalformedHead,
    check_framing,
    check_lines,
    check_start,
)
from rattanwick.internal.base.tcp import is_readable, wait_until_acknowledged
from rattanwick.internal.gateway.model import Headers

READ_BYTES = 65_536
# Chunks of a body, or of one event, beyond those that hold MIN_CHUNK_BYTES on average.
# Parsing a chunk takes far longer than forwarding its bytes.
MAX_SMALL_CHUNKS = 65_536
MIN_CHUNK_BYTES = 64
MAX_RESPONSE_HEAD_BYTES = 65_536
# Responses of status 1xx before the final one. An endpoint that sends them without end
# never sends the final one.
MAX_INTERIM_RESPONSES = 16
# A negative timeout is an error; the deadline may pass just before a request is sent.
MIN_SEND_TIMEOUT_SECONDS = 0.001
# Data up to this size fits into the buffers of a connection, so that sending it does
# not block if the endpoint responds before it reads the body.
DIRECT_SEND_BYTES = 16_384
DEFAULT_KEEP_ALIVE_SECONDS = 4.0  # used if an endpoint states no keep-alive time


class EndpointConnection:
    """Connection to an endpoint, for one request and response at a time.

    ``pool_key`` is the key of the endpoint's process in the pool: "ID/BORN_MS".
    """

    __slots__ = (
        "_chunk_allowance",
        "_head",
        "_http",
        "_pacer",
        "_send_error",
        "_sender",
        "_sock",
        "_turns",
        "pool_key",
        "idle_limit",
        "idle_since",
        "previous_idle_seconds",
        "reused",
    )

    def __init__(self, pool_key: str, sock, turns: TurnQueue):
        self.pool_key = pool_key
        self._sock = sock
        self._turns = turns
        self._pacer = Pacer(turns)
        self._chunk_allowance = MAX_SMALL_CHUNKS
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES
        )
        # What has been received and not been checked, None once the head is complete.
        self._head: bytearray | None = bytearray()
        self._sender: gevent.Greenlet | None = None
        self._send_error = ""  # why the rest of the request could not be sent
        self.reused = False
        self.idle_since = 0.0  # monotonic seconds
        self.previous_idle_seconds = 0.0  # before the current request
        self.idle_limit = DEFAULT_KEEP_ALIVE_SECONDS  # longest idle time for reuse

    def send(
        self, method: str, target: bytes, headers: Headers, body: bytes, timeout: float
    ) -> None:
        """Send a request.

        Raises ProtocolError if it cannot be encoded, and ConnectionLost if the
        connection failed before a byte was sent.
        """
        try:
            head = self._http.send(
                h11.Request(method=method, target=target, headers=headers)
            )
            remaining = self._http.send(h11.Data(data=body)) if body else b""
            remaining += self._http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            raise ProtocolError("encode", self.pool_key, str(exc))
        data = head + remaining
        self._pacer, self._head = Pacer(self._turns), bytearray()
        self.note_progress()
        self._sock.settimeout(max(timeout, MIN_SEND_TIMEOUT_SECONDS))
        try:
            sent = self._sock.send(data[:DIRECT_SEND_BYTES])
        except OSError as exc:
            raise ConnectionLost("send", self.pool_key, str(exc), sent=False)
        if sent < len(data):
            # The response may arrive before the endpoint has read the whole body.
            self._sender = gevent.spawn(self._send_remaining, data[sent:])

    def _send_remaining(self, data: bytes) -> None:
        try:
            self._sock.sendall(data)
        except OSError as exc:
            # An endpoint may send a whole response and close the connection, so only
            # a response that ends with the connection depends on this.
            self._send_error = str(exc)

    def _is_sent(self) -> bool:
        """Return whether the system has accepted the whole request for sending."""
        if self._sender is None:
            return True
        return self._sender.successful() and not self._send_error

    def next_event(self, timeout: float):
        """Return the next h11 event of the response.

        Raises TimedOut after ``timeout`` seconds, ConnectionLost if the connection
        ends, and ProtocolError if the response is malformed.
        """
        deadline = time.monotonic() + timeout
        interim_responses = 0
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                if self._http.trailing_data[1]:
                    # The endpoint closed the connection, as a process that ends does.
                    raise ConnectionLost("receive", self.pool_key, str(exc), True)
                raise ProtocolError("receive", self.pool_key, str(exc))
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.InformationalResponse | h11.Response):
                    self._check_head(event)
                if isinstance(event, h11.InformationalResponse):
                    interim_responses += 1
                    if interim_responses > MAX_INTERIM_RESPONSES:
                        reason = f"more than {MAX_INTERIM_RESPONSES} interim responses"
                        raise ProtocolError("receive", self.pool_key, reason)
                    continue
                if isinstance(event, h11.ConnectionClosed):
                    reason = "connection closed before the end of the response"
                    raise ConnectionLost("receive", self.pool_key, reason, True)
                if type(event) is h11.Data:
                    size = len(event.data)
                    self._count_chunk(size)
                    self.spend(1 + size / BYTES_PER_UNIT, deadline)
                elif type(event) is h11.EndOfMessage and self._http.trailing_data[1]:
                    self._check_orderly_end(deadline)
                return event
            left = deadline - time.monotonic()
            if left <= 0:
                raise TimedOut("receive", self.pool_key, "deadline has passed")
            data = self._receive(left)
            if self._head is not None:
                self._head += data
            self._http.receive_data(data)

    def _check_head(self, event: h11.InformationalResponse | h11.Response) -> None:
        """Raise ProtocolError for a head that the parser should not have accepted."""
        unread = self._http.trailing_data[0]
        head = self._head.removesuffix(unread)
        self._head = None if type(event) is h11.Response else bytearray(unread)
        try:
            check_lines(head)
            version = event.http_version.decode()
            check_start(version, event.status_code, event.reason.decode("latin-1"))
            fields = list(event.headers)
            codings = [v.decode() for name, v in fields if name == b"transfer-encoding"]
            has_length = any(name == b"content-length" for name, _ in fields)
            check_framing(version, codings, has_length)
        except MalformedHead as exc:
            raise ProtocolError("receive", self.pool_key, str(exc))

    def _check_orderly_end(self, deadline: float) -> None:
        """Raise ConnectionLost if the connection was reset instead of closed.

        Its end delimits the response. That is taken as orderly only once the endpoint's
        system has acknowledged the whole request; see ``wait_until_acknowledged``.
        ``deadline`` is in monotonic seconds. Raises TimedOut if it passes before that.
        """
        step = "end of response"
        if self._sender is not None:
            self._sender.join(max(deadline - time.monotonic(), 0))
        try:
            if self._send_error:
                raise ConnectionResetError(self._send_error)
            if not self._is_sent():
                raise TimeoutError("the request was not read in time")
            wait_until_acknowledged(self._sock, deadline)
        except TimeoutError as exc:
            raise TimedOut(step, self.pool_key, str(exc))
        except OSError as exc:
            raise ConnectionLost(step, self.pool_key, str(exc), True)

    def spend(self, units: float, deadline: float) -> None:
        """Count work for the response, and let other tasks run if it is due.

        ``deadline`` is in monotonic seconds. Raises TimedOut if it has passed then.
        """
        if self._pacer.spend(units, deadline) and time.monotonic() >= deadline:
            raise TimedOut("receive", self.pool_key, "deadline has passed")

    @property
    def paced_seconds(self) -> float:
        """Return how long the response had to wait for turns of the processor."""
        return self._pacer.waited

    def note_progress(self) -> None:
        """Record that the chunks received so far have completed an event."""
        self._chunk_allowance = MAX_SMALL_CHUNKS

    def _count_chunk(self, size: int) -> None:
        self._chunk_allowance += size / MIN_CHUNK_BYTES - 1
        if self._chunk_allowance < 0:
            reason = f"more than {MAX_SMALL_CHUNKS} chunks that are too small"
            raise ProtocolError("receive", self.pool_key, reason)

    def _receive(self, timeout: float) -> bytes:
        self._sock.settimeout(timeout)
        try:
            return self._sock.recv(READ_BYTES)
        except TimeoutError:
            raise TimedOut("receive", self.pool_key, f"no data for {timeout:.2f} s")
        except OSError as exc:
            raise ConnectionLost("receive", self.pool_key, str(exc), True)

    def finish(self) -> bool:
        """Prepare for another request; return whether the connection is reusable."""
        if not self._is_sent():
            return False
        self._sender = None
        unread, closed = self._http.trailing_data
        if unread or closed:
            # Bytes after the response belong to no request. A response with neither
            # length nor chunks ends with its connection, which h11 does not tell.
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    def is_reusable(self) -> bool:
        """Return whether an idle connection is open and has nothing to read."""
        return not is_readable(self._sock)

    def close(self) -> None:
        """Close the connection; the endpoint then aborts the request that it runs."""
        if self._sender is not None:
            self._sender.kill(block=False)
        self._sock.close()
