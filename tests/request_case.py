"""Test case with a node: a real HTTP server in front of endpoint fakes."""

import json
import unittest
from dataclasses import dataclass

import gevent
from gevent import socket

from fakes.collaborators import endpoint, request_dependencies
from fakes.endpoints import start_endpoints, stop_endpoints
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.recording.decisions import NullRecorder, Recorder
from rattanwick.internal.requests.app import build_application
from rattanwick.internal.requests.server import CallerServer

TIMEOUT_SECONDS = 10.0
CHAT = "/v1/chat/completions"
SERVICE = "/v1/services/agenda/book"


@dataclass
class Answer:
    """A complete HTTP response, as a caller receives it."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Return the JSON body."""
        return json.loads(self.body)

    @property
    def outcome(self) -> str:
        """Return the outcome header."""
        return self.headers.get("rattanwick-outcome", "")

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.headers["rattanwick-request-id"]


class Caller:
    """A caller that sends one request over a connection of its own."""

    def __init__(self, port: int):
        self._conn = socket.create_connection(("127.0.0.1", port), TIMEOUT_SECONDS)
        self.received = b""

    def send(self, method: str, path: str, body: bytes, headers: dict) -> None:
        """Send a request."""
        lines = [f"{method} {path} HTTP/1.1", "Host: node", "Connection: close"]
        all_headers = {"Authorization": "Bearer key-a", **headers}
        all_headers.setdefault("Content-Length", str(len(body)))
        lines.extend(f"{name}: {value}" for name, value in all_headers.items())
        self._conn.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def read_until(self, mark: bytes, count: int = 1) -> bytes:
        """Read until a mark has arrived ``count`` times; return all that was read."""
        while self.received.count(mark) < count:
            data = self._conn.recv(65536)
            if not data:
                break
            self.received += data
        return self.received

    def answer(self) -> Answer:
        """Read to the end of the connection and return the answer."""
        while data := self._conn.recv(65536):
            self.received += data
        head, _, body = self.received.partition(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        pairs = (line.split(": ", 1) for line in lines)
        headers = {name.lower(): value for name, value in pairs}
        if headers.get("transfer-encoding") == "chunked":
            body = _join_chunks(body)
        return Answer(int(first.split()[1]), headers, body)

    def close(self) -> None:
        """Close the connection."""
        self._conn.close()


def _join_chunks(data: bytes) -> bytes:
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size or b"0", 16)
        body, data = body + data[:length], data[length + 2 :]
    return body


def events_of(body: bytes) -> list[dict]:
    """Return the events of a stream by field, with ``data`` parsed as JSON."""
    events = []
    for block in body.decode().split("\n\n"):
        fields = dict(line.split(": ", 1) for line in block.splitlines() if line)
        if fields.get("data", "[DONE]") != "[DONE]":
            events.append({**fields, "data": json.loads(fields["data"])})
    return events


def text_of(body: bytes) -> str:
    """Return the text of a streamed chat answer."""
    texts = []
    for event in events_of(body):
        for choice in event["data"].get("choices", []):
            texts.append(choice["delta"].get("content", ""))
    return "".join(texts)


def chat_body(prompt: str, **more) -> dict:
    """Return the body of a chat request."""
    messages = [{"role": "user", "content": prompt}]
    return {"model": "rattan", "messages": messages, **more}


class RequestCase(unittest.TestCase):
    """Test case with three engines, two services and a node with its HTTP server."""

    engine = {"first_token_seconds": 0.0, "token_seconds": 0.001}
    settings: dict = {}

    def setUp(self):
        configs = [
            {"id": f"e{number}", "kind": "engine", "pool": "rattan", **self.engine}
            for number in (1, 2, 3)
        ]
        for number in (1, 2):
            service = {"id": f"s{number}", "kind": "service", "pool": "agenda"}
            configs.append({**service, "call_seconds": 0.002})
        self.fakes = start_endpoints(configs)
        self.addCleanup(stop_endpoints, self.fakes)
        self.timers = GeventTimerService()
        self.addCleanup(self.timers.stop)
        self.endpoints = [
            endpoint(item["id"], item["pool"], item["kind"], self.port(item["id"]))
            for item in configs
        ]
        self.services = request_dependencies(
            self.endpoints, self.timers, **self.settings
        )
        self.services.recorder = self.recorder()
        self.app = build_application(self.services)
        self.server = CallerServer(self.services.settings, self.app, self.timers, 0)
        self.server.start()
        self.addCleanup(self.server.close_gracefully, 0.2)

    def recorder(self) -> Recorder:
        """Return the recorder of the node; tests override it."""
        return NullRecorder()

    def port(self, name: str) -> int:
        """Return the port of an endpoint."""
        return self.fakes[name].listener.port

    def fault(self, name: str, **changes) -> None:
        """Set faults of an endpoint."""
        self.fakes[name].set_faults(changes)

    def ledger(self, *names: str) -> list:
        """Return the ledger entries of some endpoints."""
        return [entry for name in names for entry in self.fakes[name].ledger.entries]

    def caller(self) -> Caller:
        """Return a new caller, connected to the node."""
        caller = Caller(self.server.server_port)
        self.addCleanup(caller.close)
        return caller

    def call(self, method: str, path: str, body=b"", **headers) -> Answer:
        """Send a request and return the answer; ``_`` in header names means ``-``."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        caller = self.caller()
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        caller.send(method, path, data, named)
        return caller.answer()

    def chat(self, prompt: str, **more) -> Answer:
        """Send a chat request and return the answer."""
        return self.call("POST", CHAT, chat_body(prompt, **more))

    def stream(self, prompt: str, tokens_read: int) -> Caller:
        """Start a streamed chat, read some of its tokens and return the caller."""
        caller = self.caller()
        body = json.dumps(chat_body(prompt, stream=True)).encode()
        caller.send("POST", CHAT, body, {})
        caller.read_until(b'"content"', tokens_read)
        return caller

    def wait_until(self, condition, seconds: float = 2.0) -> None:
        """Wait until a condition is true, or fail after ``seconds``."""
        with gevent.Timeout(
            seconds, AssertionError("condition did not become true in time")
        ):
            while not condition():
                gevent.sleep(0.005)
