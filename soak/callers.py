"""Callers that keep their connections and record what they are told."""

import random
import time
from dataclasses import dataclass

import gevent
import h11
from gevent import socket

from fakes.addresses import split_address
from fakes.gateway_deployment import HOST, KEY, GatewayDeployment

READ_BYTES = 65_536
CONNECT_SECONDS = 1.0
DEADLINE_SECONDS = 2.5  # seconds, sent as the deadline of a request
SILENCE_SECONDS = 1.5  # beyond the deadline, before a caller gives up
ADDRESSES_SECONDS = 2.0  # for which a caller keeps the addresses
PAUSE_SECONDS = 0.03  # between the requests of a caller
LONGEST_RETURN_SECONDS = 0.3  # callers come back sooner than asked
KINDS = ("safe", "unsafe", "stream", "resume")


@dataclass(slots=True)
class CallResult:
    """Hold one attempt of a caller and what it was told."""

    id: str
    kind: str
    node: tuple[str, int] | None  # None where no connection was tried
    started: float  # monotonic seconds
    ended: float = 0.0
    status: int = 0  # 0 without an answer
    answer_id: str = ""
    retry_after: float | None = None
    body: bytes = b""
    complete: bool = False
    error: str = ""

    @property
    def succeeded(self) -> bool:
        """Tell whether the caller has a good answer, whole."""
        return self.status == 200 and self.complete


class Caller:
    """Send requests one after another, over one kept connection where possible."""

    def __init__(self, deployment: GatewayDeployment, number: int, seed: int):
        self._deployment = deployment
        self._number = number
        self._random = random.Random(seed)
        self._sent = 0
        self._addresses: list[tuple[str, int]] = []
        self._asked_at = float("-inf")
        self._sock = None
        self._http: h11.Connection | None = None
        self._node: tuple[str, int] | None = None
        self.results: list[CallResult] = []
        self.stopping = False

    def run(self) -> None:
        """Send requests until told to stop."""
        while not self.stopping:
            self._renew_addresses()
            if self._addresses:
                told = self._ask(self._random.choice(KINDS))
                self.results.append(told)
                after = min(told.retry_after or 0.0, LONGEST_RETURN_SECONDS)
                gevent.sleep(after)
            gevent.sleep(PAUSE_SECONDS)
        self._drop()

    def _renew_addresses(self) -> None:
        """Ask any node which addresses to use, and keep the answer for a while."""
        now = time.monotonic()
        if now - self._asked_at < ADDRESSES_SECONDS and self._addresses:
            return
        name = self._random.choice(sorted(self._deployment.nodes))
        told = self._deployment.addresses(name)
        if told:
            self._addresses = [split_address(item) for item in told]
            self._asked_at = now

    def _ask(self, kind: str) -> CallResult:
        self._sent += 1
        told = CallResult(f"c{self._number}-{self._sent}", kind, None, time.monotonic())
        try:
            with gevent.Timeout(
                DEADLINE_SECONDS + SILENCE_SECONDS, TimeoutError("silent")
            ):
                self._connect(told)
                self._exchange(told)
        except (OSError, h11.RemoteProtocolError) as exc:
            told.error = f"{type(exc).__name__}: {exc}"
            self._drop()
        told.ended = time.monotonic()
        return told

    def _connect(self, told: CallResult) -> None:
        if self._sock is None:
            self._node = self._random.choice(self._addresses)
            told.node = self._node
            self._sock = socket.create_connection(self._node, CONNECT_SECONDS)
            self._sock.settimeout(None)
            self._http = h11.Connection(h11.CLIENT)
        told.node = self._node

    def _exchange(self, told: CallResult) -> None:
        method = "GET" if told.kind == "safe" else "POST"
        headers = [
            ("Host", HOST),
            ("X-Request-Id", told.id),
            ("X-Api-Key", KEY),
            ("X-Deadline-Ms", str(int(DEADLINE_SECONDS * 1000))),
        ]
        body = b"" if method == "GET" else told.id.encode()
        if body:
            headers.append(("Content-Length", str(len(body))))
        request = h11.Request(method=method, target=f"/{told.kind}/x", headers=headers)
        data = self._http.send(request)
        data += self._http.send(h11.Data(data=body)) if body else b""
        self._sock.sendall(data + self._http.send(h11.EndOfMessage()))
        self._read(told)
        if self._http.our_state is h11.MUST_CLOSE or (
            self._http.their_state is not h11.DONE
        ):
            self._drop()
        else:
            self._http.start_next_cycle()

    def _read(self, told: CallResult) -> None:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(self._sock.recv(READ_BYTES))
            elif isinstance(event, h11.Response):
                values = {name.lower(): value for name, value in event.headers}
                told.status = event.status_code
                told.answer_id = values.get(b"x-request-id", b"").decode()
                if b"retry-after" in values:
                    told.retry_after = float(values[b"retry-after"])
            elif isinstance(event, h11.Data):
                told.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                told.complete = True
                return
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed without an answer")

    def _drop(self) -> None:
        if self._sock is not None:
            self._sock.close()
        self._sock = self._http = self._node = None
