"""Callers of the capacity measurement, which reuse their connections."""

import itertools
import json
import time
from dataclasses import dataclass

import gevent
from gevent import socket

from bench.capacity_deployment import CALLER_KEY, CHAT_POOL, SERVICE_POOL

MAX_READ_BYTES = 262_144
FINAL_CHUNK = b"\r\n0\r\n\r\n"
CONTENT_MARKER = b'"content"'
ANSWERED = b"rattanwick-outcome: answered"


@dataclass(slots=True)
class Answer:
    """Times of an answer, in seconds from the sending of its request."""

    first: float  # until the first text of a stream, or else the complete answer
    total: float
    tokens: int
    status: int


class Caller:
    """Caller that sends one request at a time over one connection.

    ``on_tokens`` is called with the number of tokens of each piece received.
    """

    def __init__(self, host: str, port: int, on_tokens=None):
        self._sock = socket.create_connection((host, port))
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._host = host
        self._on_tokens = on_tokens

    def chat(self, prompt: str, stream: bool, tokens: int = 64) -> Answer:
        """Send a chat request and return the times of its answer."""
        messages = [{"role": "user", "content": prompt}]
        body = {"model": CHAT_POOL, "messages": messages, "max_tokens": tokens}
        return self._post("/v1/chat/completions", {**body, "stream": stream}, "")

    def book(self, key: str) -> Answer:
        """Send a booking with an idempotency key and return the times of its answer."""
        path = f"/v1/services/{SERVICE_POOL}/bookings"
        return self._post(path, {"van": key}, f"Idempotency-Key: {key}\r\n")

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def _post(self, path: str, body: dict, extra: str) -> Answer:
        data = json.dumps(body).encode()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self._host}\r\n"
            f"Authorization: Bearer {CALLER_KEY}\r\nX-Request-Id: bench\r\n{extra}"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        started = time.perf_counter()
        self._sock.sendall(head.encode() + data)
        return self._read(started)

    def _read(self, started: float) -> Answer:
        received = bytearray()
        first = None
        tokens = 0
        while not is_complete(received):
            piece = self._sock.recv(MAX_READ_BYTES)
            if not piece:
                raise RuntimeError("connection closed before the end of the answer")
            received += piece
            count = piece.count(CONTENT_MARKER)
            tokens += count
            if count and self._on_tokens is not None:
                self._on_tokens(count)
            if first is None and CONTENT_MARKER in received:
                first = time.perf_counter() - started
        total = time.perf_counter() - started
        status = int(received[9:12])
        return Answer(first or total, total, tokens, status)


def is_complete(received: bytearray) -> bool:
    """Return whether the response is complete, by its length or its final chunk."""
    end = received.find(b"\r\n\r\n")
    if end < 0:
        return False
    head = bytes(received[:end]).lower()
    marker = head.find(b"content-length:")
    if marker < 0:
        return received.endswith(FINAL_CHUNK)
    length = int(head[marker + 15 :].split(b"\r\n", 1)[0])
    return len(received) >= end + 4 + length


class CallerPool:
    """Pool of idle callers of one node, so that an open loop reuses connections."""

    def __init__(self, node):
        self._node = node
        self._idle: list[Caller] = []

    def run(self, work) -> Answer:
        """Send one request with an idle caller and return its answer.

        Raise RuntimeError if the status is not 200.
        """
        if not self._idle:
            self._idle.append(Caller(self._node.host, self._node.caller_port))
        caller = self._idle.pop()
        answer = work(caller)
        self._idle.append(caller)
        if answer.status != 200:
            raise RuntimeError(f"request answered with status {answer.status}")
        return answer

    def close(self) -> None:
        """Close the connections."""
        for caller in self._idle:
            caller.close()


def send_open_loop(node, work, rate: float, seconds: float) -> int:
    """Send requests at even intervals, whether earlier ones have ended or not.

    Return the number of requests, all of which were answered.
    """
    pool = CallerPool(node)
    count = int(rate * seconds)
    started = time.monotonic()
    tasks = []
    for number in range(count):
        gevent.sleep(max(0.0, started + number / rate - time.monotonic()))
        tasks.append(gevent.spawn(pool.run, work(number)))
    gevent.joinall(tasks, raise_error=True)
    pool.close()
    return count


def send_closed_loop(node, work, callers: int, calls_each: int) -> float:
    """Let each caller send its requests one by one; return the seconds taken."""
    numbers = itertools.count()

    def run() -> None:
        caller = Caller(node.host, node.caller_port)
        for _ in range(calls_each):
            answer = work(next(numbers))(caller)
            if answer.status != 200:
                raise RuntimeError(f"request answered with status {answer.status}")
        caller.close()

    started = time.perf_counter()
    gevent.joinall([gevent.spawn(run) for _ in range(callers)], raise_error=True)
    return time.perf_counter() - started
