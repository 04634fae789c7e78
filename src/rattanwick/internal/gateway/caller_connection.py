"""Connection of a caller: its requests are read and their responses written."""

import socket as std_socket
import struct
import time
from typing import TYPE_CHECKING

import gevent
import h11
from gevent import get_hub, getcurrent

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.pacing import BYTES_PER_UNIT, Pacer
from rattanwick.internal.base.tcp import is_readable
from rattanwick.internal.gateway.active_request import (
    CallerConnectionClosed,
    CallerStalled,
    NodeStopping,
    Phase,
)
from rattanwick.internal.gateway.body_memory import OutOfBodyMemory
from rattanwick.internal.gateway.caller_response import CallerResponseWriter
from rattanwick.internal.gateway.disconnect_watch import DisconnectWatch
from rattanwick.internal.gateway.endpoint_connection import (
    MAX_SMALL_CHUNKS,
    MIN_CHUNK_BYTES,
)
from rattanwick.internal.gateway.interfaces import InvalidRequest
from rattanwick.internal.gateway.model import Call
from rattanwick.internal.gateway.placement import RefusalReason
from rattanwick.internal.gateway.planned_stop import STOPPING_RETRY_AFTER_SECONDS
from rattanwick.internal.gateway.unanswered import log_unanswered

if TYPE_CHECKING:
    from rattanwick.internal.gateway.caller_server import CallerServer

log = get_logger("callers")

READ_BYTES = 65_536
SEND_TIMEOUT_SECONDS = 10.0  # without progress; then the connection counts as closed
# Time for a caller to read the last response of a connection. If the connection were
# closed with bytes unread, a reset would discard the response.
LINGER_TIMEOUT_SECONDS = 0.5
HTTP_1_0 = b"1.0"
MEMORY_RETRY_AFTER_SECONDS = 0.5
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger for 0 s
MAX_LINGER_BYTES = 1 << 20
MAX_LINGER_SECONDS = 5.0
# A caller that has just connected, or read a response, often sends a request at once.
# It would cross the close.
MIN_IDLE_SECONDS = 0.25
IDLE_GRACE_SECONDS = 1.0  # added to the configured limit of idle connections


class RequestNotReceived(Exception):
    """Raised if a connection ends or idles too long before a request has arrived."""


class CallerConnection:
    """Connection of a caller, whose requests are served one after the other."""

    def __init__(self, server: "CallerServer", sock):
        self._server = server
        self._sock = sock
        self._limits = server.limits()
        self.busy = False
        self._call: Call | None = None  # the request in progress
        self._response = CallerResponseWriter(self)
        self._held = server.request_memory.hold("callers")  # for the body
        self._received = False  # the request in progress was read to its end
        self._idle_since = time.monotonic()  # last response, or the start
        self._task = getcurrent()
        self._interruptible = False  # whether ``end_request`` may end the request
        self._closing = False
        self.answers_head_request = False
        self._ending = False  # the last response was sent; the caller may still send
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes + 1024
        )

    @property
    def draining(self) -> bool:
        """Return whether each response closes its connection."""
        return self._server.draining

    def run(self) -> None:
        """Serve requests until either side ends the connection."""
        try:
            while self._serve_one():
                pass
        except RequestNotReceived:
            pass
        finally:
            self._ending, self.busy, self._call = True, False, None
            if self._response.started:
                self._end_response()
            self._sock.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request has arrived or may be on its way."""
        idle_seconds = time.monotonic() - self._idle_since
        if self.busy or self._ending or idle_seconds < MIN_IDLE_SECONDS:
            return
        if is_readable(self._sock):
            return
        # A request that arrives after this is not read: the connection could not carry
        # the response, but the request would run.
        self._closing = True
        try:
            self._sock.shutdown(std_socket.SHUT_RDWR)
        except OSError:
            pass  # the caller has closed the connection already

    def end_request(self) -> None:
        """Answer the request in progress, if any, because the process ends.

        A complete response that is being written is not interrupted.
        """
        get_hub().loop.run_callback(self._interrupt)

    def _interrupt(self) -> None:
        if self.busy and self._interruptible and not self._response.completing:
            # Called by the hub, so that it takes effect before the request can end.
            self._task.throw(NodeStopping())

    @property
    def _call_id(self) -> str:
        return self._call.id if self._call else ""

    @property
    def _phase(self) -> Phase:
        if not self._received:
            return Phase.BODY
        request = self._response.request
        return request.phase if request else Phase.CHECKS

    def log_unanswered(self, cause: str) -> None:
        """Log that the request in progress, if any, gets no complete answer."""
        if self._call is not None:
            log_unanswered(
                self._call_id,
                self._phase,
                cause,
                self._response.status,
                self._server.stop,
            )

    def write(self, data: bytes) -> None:
        """Send bytes to the caller; raise CallerConnectionClosed if that fails."""
        unsent = memoryview(data)
        try:
            while unsent:
                self._sock.settimeout(SEND_TIMEOUT_SECONDS)
                unsent = unsent[self._sock.send(unsent) :]
        except TimeoutError:
            seconds = SEND_TIMEOUT_SECONDS
            raise CallerStalled(f"caller has read nothing for {seconds:g} s")
        except OSError as exc:
            raise CallerConnectionClosed(str(exc))

    def _serve_one(self) -> bool:
        """Serve one request; return whether the connection may carry another."""
        self._call, self._received = None, False
        response = self._response = CallerResponseWriter(self)
        try:
            self._interruptible = True
            try:
                self._receive_call()
                self._answer_call()
            finally:
                self._interruptible = False
                self._held.release()
        except InvalidRequest as exc:
            self._refuse(exc)
            return False
        except RequestNotReceived:
            raise
        except (Exception, gevent.Timeout, gevent.GreenletExit) as exc:
            if not self.busy:
                raise  # no request has arrived that could be answered
            self._server.guard.answer(self._call_id, self._phase, response, exc)
            return False
        self.busy, self._call = False, None
        self._idle_since = time.monotonic()
        if response.closes:
            return False
        try:
            self.http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    def _receive_call(self) -> None:
        """Read a request to its end."""
        request, arrived = self._read_head()
        self._call = self._server.codec.decode_call(
            request.method, request.target, list(request.headers.raw_items()), arrived
        )
        self._check_stop()
        self._call.body = self._read_body()
        self._received = True

    def _answer_call(self) -> None:
        watch = DisconnectWatch(self._sock)
        watch.start()
        try:
            self._server.relay.serve(self._call, self._response)
        finally:
            watch.stop()

    def _read_head(self) -> tuple[h11.Request, float]:
        limit = self._limits.idle_seconds + IDLE_GRACE_SECONDS
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                self.busy = True
                self.answers_head_request = event.method == b"HEAD"
                self._check_size(event)
                return event, time.monotonic()
            if event is not h11.NEED_DATA:
                raise RequestNotReceived()
            if self.http.trailing_data[0]:
                self.busy = True
                limit = self._limits.header_seconds
            self._receive(limit, idle=not self.busy)

    def _check_size(self, request: h11.Request) -> None:
        """Raise InvalidRequest if the header is too large.

        The parser limits only a header that arrives in several pieces.
        """
        size = len(request.target)
        size += sum(len(n) + len(v) + 4 for n, v in request.headers.raw_items())
        max_bytes = self._limits.header_bytes
        if size > max_bytes:
            raise InvalidRequest(431, f"header: must be at most {max_bytes} bytes")

    def _check_stop(self) -> None:
        """Raise InvalidRequest if the request cannot be done before the node stops."""
        if not self._server.relay.can_finish(self._call):
            raise InvalidRequest(
                503, RefusalReason.NODE_STOPPING, STOPPING_RETRY_AFTER_SECONDS
            )

    def _read_body(self) -> bytes:
        body, chunks = bytearray(), 0
        pacer = Pacer(self._server.turns)
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                size, chunks = len(body) + len(event.data), chunks + 1
                if chunks > MAX_SMALL_CHUNKS + size // MIN_CHUNK_BYTES:
                    raise InvalidRequest(
                        400, f"body: must not have over {MAX_SMALL_CHUNKS} small chunks"
                    )
                pacer.spend(1 + len(event.data) / BYTES_PER_UNIT, float("inf"))
                if size > self._limits.body_bytes:
                    max_bytes = self._limits.body_bytes
                    raise InvalidRequest(
                        413, f"body: must be at most {max_bytes} bytes"
                    )
                try:
                    self._held.resize(size)
                except OutOfBodyMemory as exc:
                    raise InvalidRequest(503, str(exc), MEMORY_RETRY_AFTER_SECONDS)
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            elif event is h11.NEED_DATA:
                if self.http.they_are_waiting_for_100_continue:
                    interim = h11.InformationalResponse(status_code=100, headers=[])
                    self.write(self.http.send(interim))
                self._receive(self._limits.header_seconds, idle=False)
                self._check_stop()
            else:
                raise RequestNotReceived()

    def _next_event(self):
        try:
            return self.http.next_event()
        except h11.RemoteProtocolError as exc:
            if (
                self.http.their_state is h11.ERROR
                and not self.busy
                and not (self.http.trailing_data[0])
            ):
                raise RequestNotReceived()
            raise InvalidRequest(exc.error_status_hint, f"request: {exc}")

    def _receive(self, seconds: float, idle: bool) -> None:
        self._sock.settimeout(seconds)
        try:
            data = self._sock.recv(READ_BYTES)
        except TimeoutError:
            if idle:
                raise RequestNotReceived()
            raise InvalidRequest(408, f"request: not sent within {seconds:g} s")
        except OSError:
            raise RequestNotReceived()
        if self._closing:
            raise RequestNotReceived()
        if data:
            self.busy = True
        elif not self.busy:
            raise RequestNotReceived()
        self.http.receive_data(data)

    def _refuse(self, exc: InvalidRequest) -> None:
        log.info(
            "refused",
            extra={
                "request": self._call_id,
                "status": exc.status,
                "reason": exc.reason,
                "return_after": exc.retry_after,
            },
        )
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers, body = self._server.codec.encode_refusal(
            self._call_id, exc.status, exc.reason, exc.retry_after
        )
        self._response.closes = True
        try:
            self._response.send_complete(exc.status, headers, body)
        except CallerConnectionClosed as closed:
            log.info(
                "refusal not sent",
                extra={"request": self._call_id, "reason": str(closed)},
            )

    def _end_response(self) -> None:
        """Let the caller read the last response, or see that it is incomplete."""
        if (
            self.http.our_state is h11.SEND_BODY
            and self.http.their_http_version == HTTP_1_0
        ):
            # Without chunks, the end of the connection would look like that of the
            # response.
            self._sock.setsockopt(
                std_socket.SOL_SOCKET, std_socket.SO_LINGER, RESET_ON_CLOSE
            )
        else:
            self._linger()

    def _linger(self) -> None:
        """Read what the caller still sends, so that no reset discards the response."""
        # A caller may read the response only once it has sent its whole body.
        sending = self.http.their_state is h11.SEND_BODY
        pause = self._limits.header_seconds if sending else LINGER_TIMEOUT_SECONDS
        ends_at = time.monotonic() + MAX_LINGER_SECONDS
        try:
            self._sock.shutdown(std_socket.SHUT_WR)
            read = 0
            while read < MAX_LINGER_BYTES and time.monotonic() < ends_at:
                self._sock.settimeout(pause)
                data = self._sock.recv(READ_BYTES)
                if not data:
                    break
                read += len(data)
        except OSError:
            pass  # the caller has closed the connection; nothing more can be sent
