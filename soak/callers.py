"""Callers that reuse their connections and record the result of each request."""

import random
import time
from dataclasses import dataclass

import gevent
import h11
from gevent import socket

from fakes.addresses import split_address
from fakes.gateway_deployment import HOST, KEY, GatewayDeployment

READ_BYTES = 65_536
CONNECT_TIMEOUT_SECONDS = 1.0
DEADLINE_SECONDS = 2.5  # sent in the X-Deadline-Ms header, in milliseconds
CALLERS_PER_LONG_PROMPT = 3  # one caller of so many sends long prompts
LONG_PROMPT = [f"{number:08x}" for number in range(0x5000, 0x5190)]
TIMEOUT_MARGIN_SECONDS = 1.5  # a caller waits this long beyond the deadline
ADDRESS_CACHE_SECONDS = 2.0
REQUEST_INTERVAL_SECONDS = 0.03  # between the requests of a caller
# A caller waits no longer than this, even where Retry-After asks for more.
MAX_RETRY_DELAY_SECONDS = 0.3
CHUNKED = ("Transfer-Encoding", "chunked")
STREAM_KINDS = ("stream", "resume")
REQUEST_KINDS = ("safe", "unsafe", *STREAM_KINDS)
EXTRA_PART_INTERVAL_SECONDS = (
    0.15  # between requests with a part that crashes endpoints
)
GROUPS = 7  # parts that some of the prompts share


@dataclass(slots=True)
class CallResult:
    """One request of a caller and the response to it."""

    id: str
    kind: str
    node: tuple[str, int] | None  # address; None if no connection was tried
    started: float  # monotonic seconds
    ended: float = 0.0
    deadline: float = DEADLINE_SECONDS
    sent_at: float | None = None  # time at which its last byte had been sent
    paused: float = 0.0  # seconds for which the caller did not read a response
    # Whether the connection ended with the response to an earlier pipelined request.
    follows_close: bool = False
    sound_endpoints: bool = False  # whether no fault is injected into its endpoints
    status: int = 0  # HTTP status; 0 if there was no response
    answer_id: str = ""
    retry_after: float | None = None
    body: bytes = b""
    body_copies: int = 1  # of its id, in the body of a response that is not streamed
    complete: bool = False
    error: str = ""

    @property
    def succeeded(self) -> bool:
        """Return whether the status is 200 and the body was read to its end."""
        return self.status == 200 and self.complete


class Caller:
    """Caller that sends requests one after another and reuses its connection."""

    def __init__(
        self,
        deployment: GatewayDeployment,
        number: int,
        seed: int | str,
        extra_part: str = "",
        sound_endpoints: bool = False,
    ):
        """``extra_part`` is a part that all prompts hold; then all are streams.

        ``sound_endpoints`` tells that no fault is injected into the endpoints.
        """
        self._sound_endpoints = sound_endpoints
        self._deadline = DEADLINE_SECONDS
        self._extra_part = extra_part
        self._kinds = STREAM_KINDS if extra_part else REQUEST_KINDS
        self._interval = (
            EXTRA_PART_INTERVAL_SECONDS if extra_part else (REQUEST_INTERVAL_SECONDS)
        )
        self._deployment = deployment
        self._number = number
        self._random = random.Random(seed)
        self._sent_count = 0
        self._addresses: list[tuple[str, int]] = []
        self._addresses_read_at = float("-inf")
        self._sock = None
        self._http: h11.Connection | None = None
        self._node: tuple[str, int] | None = None
        self.results: list[CallResult] = []
        self.stopping = False

    def run(self) -> None:
        """Send requests until ``stopping`` is set."""
        while not self.stopping:
            self._refresh_addresses()
            if self._addresses:
                results = self._send_next()
                self.results += results
                delay = min(results[-1].retry_after or 0.0, MAX_RETRY_DELAY_SECONDS)
                gevent.sleep(delay)
            gevent.sleep(self._next_interval())
        self._close_connection()

    def _send_next(self) -> list[CallResult]:
        """Send the next request and return its result."""
        return [self._send_request(self._random.choice(self._kinds))]

    def _next_interval(self) -> float:
        """Return the seconds until the next request."""
        return self._interval

    def _refresh_addresses(self) -> None:
        """Read the callers' addresses from a random node if they are out of date."""
        now = time.monotonic()
        if now - self._addresses_read_at < ADDRESS_CACHE_SECONDS and self._addresses:
            return
        name = self._random.choice(sorted(self._deployment.nodes))
        addresses = self._deployment.addresses(name)
        if addresses:
            self._addresses = [split_address(item) for item in addresses]
            self._addresses_read_at = now

    def _send_request(self, kind: str) -> CallResult:
        result = self._make_result(kind)
        try:
            with gevent.Timeout(
                self._deadline + TIMEOUT_MARGIN_SECONDS,
                TimeoutError("no response in time"),
            ):
                self._connect(result)
                self._exchange(result)
        except (OSError, h11.RemoteProtocolError) as exc:
            result.error = f"{type(exc).__name__}: {exc}"
            self._close_connection()
        result.ended = time.monotonic()
        return result

    def _make_result(self, kind: str) -> CallResult:
        self._sent_count += 1
        return CallResult(
            f"c{self._number}-{self._sent_count}",
            kind,
            None,
            time.monotonic(),
            deadline=self._deadline,
            sound_endpoints=self._sound_endpoints,
        )

    def _connect(self, result: CallResult) -> None:
        if self._sock is None:
            self._node = self._random.choice(self._addresses)
            result.node = self._node
            self._sock = socket.create_connection(self._node, CONNECT_TIMEOUT_SECONDS)
            self._sock.settimeout(None)
            self._http = h11.Connection(h11.CLIENT)
        result.node = self._node

    def _exchange(self, result: CallResult) -> None:
        data, body = self._make_request(result)
        data += self._http.send(h11.Data(data=body)) if body else b""
        self._sock.sendall(data + self._http.send(h11.EndOfMessage()))
        result.sent_at = time.monotonic()
        self._read_response(result)
        self._end_exchange()

    def _make_request(
        self, result: CallResult, prefix: str = "", more_headers: tuple = ()
    ) -> tuple[bytes, bytes]:
        """Return the encoded head of a request and its body.

        ``prefix`` precedes the kind of request in the path.
        """
        method = "GET" if result.kind == "safe" else "POST"
        headers = [
            ("Host", HOST),
            ("X-Request-Id", result.id),
            ("X-Api-Key", KEY),
            ("X-Deadline-Ms", str(int(self._deadline * 1000))),
            *more_headers,
        ]
        if result.kind in STREAM_KINDS:
            headers.append(("X-Prompt-Prefix", self._make_prompt(result.id)))
        body = b"" if method == "GET" else self._make_body(result)
        if body and CHUNKED not in headers:
            headers.append(("Content-Length", str(len(body))))
        request = h11.Request(
            method=method, target=f"/{prefix}{result.kind}/x", headers=headers
        )
        return self._http.send(request), body

    def _make_body(self, result: CallResult) -> bytes:
        """Return the body of a request that is not a GET."""
        return result.id.encode()

    def _end_exchange(self) -> None:
        """Prepare the connection for the next request, or close it."""
        if self._http.our_state is self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self._close_connection()

    def _make_prompt(self, request_id: str) -> str:
        parts = ["first", f"group-{self._sent_count % GROUPS}", self._extra_part]
        if self._number % CALLERS_PER_LONG_PROMPT == 0:
            parts += LONG_PROMPT
        return ",".join(f"{part}:10" for part in (*parts, request_id) if part)

    def _read_response(self, result: CallResult) -> None:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(self._receive(result))
            elif isinstance(event, h11.Response):
                values = {name.lower(): value for name, value in event.headers}
                result.status = event.status_code
                result.answer_id = values.get(b"x-request-id", b"").decode()
                if b"retry-after" in values:
                    result.retry_after = float(values[b"retry-after"])
            elif isinstance(event, h11.Data):
                result.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                result.complete = True
                return
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError(
                    "connection closed before the response ended"
                )

    def _receive(self, result: CallResult) -> bytes:
        """Return the next bytes of a response."""
        return self._sock.recv(READ_BYTES)

    def _close_connection(self) -> None:
        if self._sock is not None:
            self._sock.close()
        self._sock = self._http = self._node = None
