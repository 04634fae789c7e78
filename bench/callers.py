"""Callers of the load tool: streamed chat requests and bookings over HTTP."""

import itertools
import json
import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

from bench.workload import Arrival, Work

MAX_CONNECTIONS_PER_TARGET = 512
CONNECT_TIMEOUT_SECONDS = 5.0
CHARACTERS_PER_TOKEN = 4
OUTCOME_HEADER = "rattanwick-outcome"
ENTRY_PATH = "/v1/entry"
STREAM_END = "[DONE]"


@dataclass(slots=True, frozen=True)
class Target:
    """Address of a node or an endpoint."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Target":
        """Parse HOST:PORT, with or without ``http://``."""
        host, _, port = text.removeprefix("http://").rstrip("/").rpartition(":")
        return cls(host, int(port))


@dataclass(slots=True)
class CallResult:
    """Result of one call; times are seconds from the intended send time."""

    arrival: Arrival
    outcome: str = "unknown"  # as in the header rattanwick-outcome
    reason: str = ""
    first_token: float | None = None
    total: float | None = None
    characters: int = 0


class Callers:
    """Callers that send the requests of a trace to targets."""

    def __init__(
        self,
        targets: list[Target],
        keys: dict[str, str],
        model: str,
        service_path: str,
    ):
        self._targets = targets
        self._keys = keys
        self._model = model
        self._service_path = service_path
        self._clients = {
            target: HTTPClient(
                target.host,
                target.port,
                concurrency=MAX_CONNECTIONS_PER_TARGET,
                connection_timeout=CONNECT_TIMEOUT_SECONDS,
                network_timeout=None,
            )
            for target in targets
        }

    def send(self, arrival: Arrival, started: float) -> CallResult:
        """Send one request and return its result.

        ``started`` is the monotonic time at which the trace started. Times count from
        the intended send time, so that a late send shows in them. A failed connection
        gives the outcome "unknown".
        """
        result = CallResult(arrival)
        intended = started + arrival.at
        client = self._clients[self._targets[arrival.node % len(self._targets)]]
        try:
            if arrival.work == Work.BOOKING:
                self._send_booking(client, arrival, result)
            else:
                self._send_chat(client, arrival, result, intended)
        except (OSError, ValueError, HTTPParseError) as exc:
            result.outcome = "unknown"
            result.reason = type(exc).__name__
        result.total = time.monotonic() - intended
        return result

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()

    def _headers(self, arrival: Arrival) -> dict[str, str]:
        deadline = str(int(arrival.deadline_seconds * 1000))
        headers = {
            "Content-Type": "application/json",
            "Rattanwick-Deadline-Ms": deadline,
        }
        key = self._keys.get(arrival.organisation)
        if key:
            headers["Authorization"] = f"Bearer {key}"
        return headers

    def _send_chat(
        self,
        client: HTTPClient,
        arrival: Arrival,
        result: CallResult,
        intended: float,
    ) -> None:
        body = {
            "model": self._model,
            "stream": True,
            "max_tokens": arrival.max_output_tokens,
            "messages": make_messages(arrival),
        }
        headers = self._headers(arrival)
        response = client.post("/v1/chat/completions", json.dumps(body), headers)
        with response:
            if response.status_code != 200:
                _note_refusal(response, result)
                return
            _read_stream(response, result, intended)

    def _send_booking(
        self, client: HTTPClient, arrival: Arrival, result: CallResult
    ) -> None:
        headers = self._headers(arrival)
        headers["Idempotency-Key"] = str(uuid.uuid4())
        body = json.dumps({"booking": arrival.index, "prefix": arrival.prefix})
        with client.post(self._service_path, body, headers) as response:
            response.read()
            if response.status_code >= 400:
                _note_refusal(response, result)
                return
            result.outcome = response.get(OUTCOME_HEADER) or "answered"


def make_messages(arrival: Arrival) -> list[dict[str, str]]:
    """Return messages with the shared prefix and a part of the request's own.

    The last message tells the fake endpoint how many output tokens to give.
    """
    shared = _fill(arrival.prefix, arrival.prefix_tokens)
    own_tokens = arrival.prompt_tokens - arrival.prefix_tokens
    own = _fill(f"request {arrival.index}", own_tokens)
    ask = f"{own} output_tokens={arrival.output_tokens}"
    return [{"role": "system", "content": shared}, {"role": "user", "content": ask}]


def _fill(text: str, tokens: int) -> str:
    return text.ljust(tokens * CHARACTERS_PER_TOKEN, ".")


def _note_refusal(response: HTTPSocketPoolResponse, result: CallResult) -> None:
    response.read()
    result.outcome = response.get(OUTCOME_HEADER) or "failed"
    result.reason = str(response.status_code)


def _read_stream(
    response: HTTPSocketPoolResponse, result: CallResult, intended: float
) -> None:
    """Read the SSE events; a stream without its end event counts as failed."""
    for line in iter_lines(response):
        if not line.startswith("data:"):
            continue
        data = line[5:].strip()
        if data == STREAM_END:
            result.outcome = response.get(OUTCOME_HEADER) or "answered"
            return
        text = _read_content(json.loads(data))
        if text and result.first_token is None:
            result.first_token = time.monotonic() - intended
        result.characters += len(text)
    result.outcome = "failed"
    result.reason = "truncated"


def iter_lines(response: HTTPSocketPoolResponse) -> Iterator[str]:
    """Yield the lines of a streamed body as they arrive."""
    while line := response.readline(b"\n"):
        yield bytes(line).decode().rstrip("\r\n")


def _read_content(event: dict) -> str:
    choices = event.get("choices") or [{}]
    choice = choices[0]
    delta = choice.get("delta") or {}
    return delta.get("content") or choice.get("text") or ""


def fetch_addresses(target: Target, keys: dict[str, str]) -> list[Target]:
    """Return the addresses that a node names at ``/v1/entry``."""
    client = HTTPClient(
        target.host, target.port, connection_timeout=CONNECT_TIMEOUT_SECONDS
    )
    key = next(itertools.chain(keys.values(), [""]))
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    try:
        with client.get(ENTRY_PATH, headers) as response:
            content = json.loads(response.read())
    finally:
        client.close()
    return [_parse_address(item) for item in content["addresses"]]


def _parse_address(item: str | dict) -> Target:
    if isinstance(item, str):
        return Target.parse(item)
    if "address" in item:
        return Target.parse(item["address"])
    return Target(item["host"], int(item["port"]))
