"""Callers with slow requests: bodies in pieces, slow reading, pipelined requests.

They keep their connections open while a node stops, until the node closes them.
"""

import time

import gevent
import h11
from gevent import socket

from fakes.gateway_deployment import GatewayDeployment
from rattanwick.internal.base.tcp import is_readable
from soak.callers import (
    CHUNKED,
    REQUEST_KINDS,
    TIMEOUT_MARGIN_SECONDS,
    Caller,
    CallResult,
)

SLOW_PREFIX = "slow-"  # of the routes to slow endpoints
DEADLINES_SECONDS = (6.0, 9.0, 9.0)
MAX_INTERVAL_SECONDS = 1.0  # between a response and the next request
PIPELINED_SHARE = 0.15  # of the requests, by which others are sent at once
SLOW_BODY_SHARE = 0.5
CONTINUE_SHARE = 0.3  # of the slow bodies
BODY_SECONDS = (0.5, 4.0)  # from the first to the last piece of a slow body
BODY_PIECES = 8
BODY_COPIES = 20_000  # of the request id in a response; more than the socket buffers
CONTINUE_TIMEOUT_SECONDS = 1.0  # a caller then sends the body without being asked
INTERIM_RESPONSE = b"HTTP/1.1 100"
SLOW_READ_SHARE = 0.3
READ_PAUSE_SECONDS = 0.05
SLOW_READ_BYTES = 8_192
RECEIVE_BUFFER_BYTES = 16_384


class SlowCaller(Caller):
    """Caller of slow endpoints that sends and reads slowly."""

    def __init__(self, deployment: GatewayDeployment, number: int, seed: str):
        super().__init__(deployment, number, seed, sound_endpoints=True)
        self._reads_slowly = False

    def _next_interval(self) -> float:
        return self._random.uniform(0.0, MAX_INTERVAL_SECONDS)

    def _send_next(self) -> list[CallResult]:
        self._deadline = self._random.choice(DEADLINES_SECONDS)
        self._reads_slowly = False
        if self._sock is not None and self._random.random() < PIPELINED_SHARE:
            return self._send_pipelined(self._random.randint(2, 3))
        self._reads_slowly = self._random.random() < SLOW_READ_SHARE
        return [self._send_request(self._random.choice(REQUEST_KINDS))]

    def _connect(self, result: CallResult) -> None:
        super()._connect(result)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def _exchange(self, result: CallResult) -> None:
        result.body_copies = BODY_COPIES
        if result.kind == "safe" or self._random.random() >= SLOW_BODY_SHARE:
            head, body = self._make_request(result, SLOW_PREFIX)
            self._sock.sendall(head + self._send_rest(body))
            result.sent_at = time.monotonic()
        else:
            self._send_slowly(result)
        self._read_response(result)
        self._end_exchange()

    def _send_rest(self, body: bytes) -> bytes:
        """Return the encoded rest of a request after its head."""
        data = self._http.send(h11.Data(data=body)) if body else b""
        return data + self._http.send(h11.EndOfMessage())

    def _send_slowly(self, result: CallResult) -> None:
        """Send a request in pieces, until it is sent or answered."""
        headers = [CHUNKED] if self._random.random() < 0.5 else []
        asks = self._random.random() < CONTINUE_SHARE
        if asks:
            headers.append(("Expect", "100-continue"))
        pause = self._random.uniform(*BODY_SECONDS) / (BODY_PIECES - 1)
        head, body = self._make_request(result, SLOW_PREFIX, tuple(headers))
        self._sock.sendall(head)
        if asks and self._is_answered(CONTINUE_TIMEOUT_SECONDS):
            return
        size = -(-len(body) // BODY_PIECES)
        for start in range(0, len(body), size):
            if start:
                gevent.sleep(pause)
            if self._is_answered():
                return
            self._sock.sendall(
                self._http.send(h11.Data(data=body[start : start + size]))
            )
        self._sock.sendall(self._http.send(h11.EndOfMessage()))
        result.sent_at = time.monotonic()

    def _is_answered(self, seconds: float = 0.0) -> bool:
        """Wait until the node sends something; return whether it is a final response.

        The end of the connection counts as one.
        """
        limit = time.monotonic() + seconds
        while not (readable := is_readable(self._sock)) and time.monotonic() < limit:
            gevent.sleep(0.01)
        if not readable:
            return False
        start = self._sock.recv(len(INTERIM_RESPONSE), socket.MSG_PEEK)
        if start != INTERIM_RESPONSE:
            return True
        self._http.receive_data(self._sock.recv(SLOW_READ_BYTES))
        return not isinstance(self._http.next_event(), h11.InformationalResponse)

    def _receive(self, result: CallResult) -> bytes:
        if not self._reads_slowly:
            return super()._receive(result)
        data = self._sock.recv(SLOW_READ_BYTES)
        started = time.monotonic()
        gevent.sleep(READ_PAUSE_SECONDS)
        result.paused += time.monotonic() - started
        return data

    def _send_pipelined(self, count: int) -> list[CallResult]:
        """Send several requests at once and read their responses in order."""
        results, connections, data = [], [], b""
        for _ in range(count):
            self._sent_count += 1
            kind = self._random.choice(REQUEST_KINDS)
            result = self._make_result(kind)
            result.node, result.body_copies = self._node, BODY_COPIES
            # The parser of a client supports no pipelining.
            self._http = h11.Connection(h11.CLIENT)
            head, body = self._make_request(result, SLOW_PREFIX)
            data += head + self._send_rest(body)
            results.append(result)
            connections.append(self._http)
        rest = b""
        try:
            self._sock.sendall(data)
            sent_at = time.monotonic()
            for result in results:
                result.sent_at = sent_at
            for result, self._http in zip(results, connections, strict=True):
                result.started = time.monotonic()
                if rest:
                    self._http.receive_data(rest)
                with gevent.Timeout(
                    self._deadline + TIMEOUT_MARGIN_SECONDS,
                    TimeoutError("no response in time"),
                ):
                    self._read_response(result)
                rest = self._http.trailing_data[0]
                result.ended = time.monotonic()
                if self._http.their_state is not h11.DONE:
                    raise ConnectionResetError("connection ended before the response")
        except (OSError, h11.RemoteProtocolError) as exc:
            unfinished = [item for item in results if not item.ended]
            for item in unfinished:
                item.ended = time.monotonic()
                item.error = f"{type(exc).__name__}: {exc}"
                # Only the first request without a response may have been read, and only
                # if the last response did not announce the close.
                item.follows_close = result.complete or item is not unfinished[0]
            self._close_connection()
        else:
            self._end_exchange()
        return results
