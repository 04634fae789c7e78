"""Callers that follow the interface: retry, resume by id, follow a redirect."""

import json
import random
import time
from dataclasses import dataclass, field
from urllib.parse import urlsplit

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

NETWORK_TIMEOUT_SECONDS = 30.0
MIN_RETRY_DELAY_SECONDS = 0.1
ANSWERED = "answered"
NOT_RUN = "not_run"
UNKNOWN = "unknown"
FAILED = "failed"
LOST = "lost"  # accepted, but no node had the answer until the deadline


class IncompleteStream(Exception):
    """A stream ended before its last event."""


INCOMPLETE_RESPONSE_ERRORS = (OSError, HTTPParseError, ValueError, IncompleteStream)


@dataclass(slots=True)
class CallRecord:
    """One call of a caller, over all its attempts, and the answer to it."""

    number: int
    kind: str  # name of the model pool, or "booking"
    organisation: str
    prompt: str = ""
    key: str = ""
    max_tokens: int = 0
    poison: bool = False  # crashes the endpoints that run it
    # Ids that nodes have assigned to it; the last one is resumed.
    request_ids: list[str] = field(default_factory=list)
    not_run_ids: list[str] = field(default_factory=list)
    accepted: bool = False
    text: str = ""
    last_event: str = ""  # id of the last event with text
    outcome: str = ""
    reason: str = ""
    restarts: int = 0
    moves: int = 0
    resumes: int = 0
    repeats: int = 0  # attempts without an answer before the call was accepted
    withdrawn: int = 0  # times that it was accepted and later reported as not run
    retry_after: float = 0.0  # seconds, from the last answer
    refusals: int = 0  # times that it was reported as not run
    sent_at: float = 0.0  # Unix seconds
    ended_at: float = 0.0


class Caller:
    """Caller of one organisation that sends requests to the nodes of a deployment."""

    def __init__(
        self,
        nodes: list[tuple[str, int]],
        organisation: str,
        seed: int,
        deadline_seconds: float,
    ):
        self._nodes = nodes
        self._organisation = organisation
        self._random = random.Random(seed)
        self._deadline_seconds = deadline_seconds  # seconds until the caller gives up

    def headers(self, **more: str) -> dict[str, str]:
        """Return the headers of a request, with ``more`` added."""
        return {
            "Authorization": f"Bearer demo-key-{self._organisation}",
            "Content-Type": "application/json",
            **more,
        }

    def chat(self, record: CallRecord, first: tuple[str, int] | None, stream: bool):
        """Send a chat request until it has an outcome or the deadline passes.

        The first attempt goes to the node at ``first``, or to a random one.
        """
        body = {
            "model": record.kind,
            "messages": [{"role": "user", "content": record.prompt}],
            "max_tokens": record.max_tokens,
            "stream": stream,
        }
        record.sent_at = time.time()
        deadline = time.monotonic() + self._deadline_seconds
        address = first or self._random.choice(self._nodes)
        while time.monotonic() < deadline and not record.outcome:
            try:
                self._send_chat(record, address, body)
            except INCOMPLETE_RESPONSE_ERRORS:
                if record.accepted:
                    record.resumes += 1
                    self._resume_until(record, deadline)
                else:
                    record.repeats += 1
            if record.outcome == NOT_RUN:
                record.refusals += 1
                record.withdrawn += record.accepted
                record.accepted = False
                record.outcome = ""
            if not record.outcome:
                self._wait_before_retry(record, deadline)
                address = self._random.choice(self._nodes)
        if not record.outcome:
            record.outcome = LOST if record.accepted else NOT_RUN
        record.ended_at = time.time()

    def book(self, record: CallRecord, first: tuple[str, int] | None, pool: str):
        """Send a booking with its key until it has an outcome or the deadline passes.

        The first attempt goes to the node at ``first``, or to a random one.
        """
        body = json.dumps({"booking": record.number})
        record.sent_at = time.time()
        deadline = time.monotonic() + self._deadline_seconds
        address = first or self._random.choice(self._nodes)
        while time.monotonic() < deadline:
            try:
                self._send_booking(record, address, body, pool)
            except INCOMPLETE_RESPONSE_ERRORS:
                # The answer was lost. Only a repeat with the key shows the outcome.
                record.repeats += 1
                record.outcome = UNKNOWN
            if record.outcome in (ANSWERED, FAILED):
                break
            if record.outcome == UNKNOWN and record.reason not in ("", "in_progress"):
                break
            if record.outcome == NOT_RUN:
                record.refusals += 1
            self._wait_before_retry(record, deadline)
            address = self._random.choice(self._nodes)
        record.ended_at = time.time()

    def _wait_before_retry(self, record: CallRecord, deadline: float) -> None:
        """Wait for the Retry-After of the last answer, but not beyond the deadline."""
        seconds = max(MIN_RETRY_DELAY_SECONDS, record.retry_after)
        record.retry_after = 0.0
        gevent.sleep(min(seconds, max(deadline - time.monotonic(), 0.0)))

    def _send_booking(self, record, address, body: str, pool: str) -> None:
        client = _connect(address)
        try:
            headers = self.headers(**{"Idempotency-Key": record.key})
            path = f"/v1/services/{pool}/bookings"
            response = client.request("POST", path, body=body, headers=headers)
            record.text = response.read().decode("utf-8", "replace")
            record.outcome = response.get("rattanwick-outcome") or FAILED
            self._record_headers(record, response)
            record.reason = ""
            if response.status_code == 409:
                record.reason = "in_progress"
            elif record.outcome == UNKNOWN:
                record.reason = "told"
        finally:
            client.close()

    def _send_chat(self, record, address, body: dict) -> None:
        client = _connect(address)
        try:
            headers = self.headers()
            response = client.request(
                "POST", "/v1/chat/completions", body=json.dumps(body), headers=headers
            )
            self._read_chat_response(record, response)
        finally:
            client.close()

    def _record_headers(self, record: CallRecord, response) -> None:
        record.retry_after = float(response.get("retry-after") or 0)
        request_id = response.get("rattanwick-request-id") or ""
        if request_id and request_id not in record.request_ids:
            record.request_ids.append(request_id)
        if response.get("rattanwick-outcome") == NOT_RUN and request_id:
            record.not_run_ids.append(request_id)

    def _read_chat_response(self, record: CallRecord, response) -> None:
        """Read an answer, streamed or not, and follow a redirect to another node."""
        self._record_headers(record, response)
        if response.status_code == 303:
            record.accepted = True
            record.moves += 1
            location = response.get("location")
            self._resume_at(record, urlsplit(location))
            return
        kind = response.get("content-type") or ""
        if response.status_code == 200 and kind.startswith("text/event-stream"):
            record.accepted = True
            self._read_events(record, response)
            return
        reply = json.loads(response.read() or b"{}")
        outcome = response.get("rattanwick-outcome") or ""
        if response.status_code == 200:
            record.accepted = True
            record.text = reply["choices"][0]["message"]["content"]
        else:
            record.reason = str(reply.get("error", {}).get("code", ""))
        record.outcome = outcome

    def _read_events(self, record: CallRecord, response) -> None:
        if response.get("rattanwick-restarted") == "true":
            record.text = record.last_event = ""
            record.restarts += 1
        for event in iter_events(response):
            if event.get("event") == "rattanwick.moved":
                moved = json.loads(event["data"])
                record.moves += 1
                url = f"//{moved['address'].removeprefix('http://')}"
                path = f"/v1/requests/{moved['request_id']}"
                self._resume_at(record, urlsplit(url + path))
                return
            if event.get("data") == "[DONE]":
                return
            self._apply_event(record, json.loads(event.get("data", "{}")))
            record.last_event = event.get("id", record.last_event)
            if record.outcome and record.outcome != ANSWERED:
                return
        if not record.outcome:
            raise IncompleteStream

    def _apply_event(self, record: CallRecord, data: dict) -> None:
        for choice in data.get("choices", ()):
            record.text += choice.get("delta", {}).get("content", "")
        report = data.get("rattanwick")
        if report:
            record.outcome = report["outcome"]
            record.reason = report.get("reason", "")
            if record.outcome == NOT_RUN:
                record.not_run_ids.append(report["request_id"])

    def _resume_until(self, record: CallRecord, deadline: float) -> None:
        """Request the answer from random nodes until there is an outcome."""
        while time.monotonic() < deadline and not record.outcome:
            host, port = self._random.choice(self._nodes)
            url = urlsplit(f"//{host}:{port}/v1/requests/{record.request_ids[-1]}")
            try:
                self._resume_at(record, url)
            except INCOMPLETE_RESPONSE_ERRORS:
                record.resumes += 1
            if not record.outcome:
                gevent.sleep(MIN_RETRY_DELAY_SECONDS)

    def _resume_at(self, record: CallRecord, url) -> None:
        """Resume the request at a URL, after the last event that was received."""
        client = _connect((url.hostname, url.port))
        headers = self.headers()
        if record.last_event:
            headers["Last-Event-ID"] = record.last_event
        path = url.path + (f"?{url.query}" if url.query else "")
        try:
            response = client.request("GET", path, headers=headers)
            if response.status_code == 404:
                return
            self._read_chat_response(record, response)
        finally:
            client.close()


def _connect(address: tuple[str, int]) -> HTTPClient:
    return HTTPClient(
        *address, connection_timeout=3.0, network_timeout=NETWORK_TIMEOUT_SECONDS
    )


def iter_events(response):
    """Yield the server-sent events of a response, each with its fields by name."""
    event: dict[str, str] = {}
    while line := response.readline(b"\n"):
        line = line.rstrip(b"\r\n")
        if not line:
            if event:
                yield event
            event = {}
            continue
        name, _, value = line.decode().partition(":")
        if name:
            event[name] = value.removeprefix(" ")
