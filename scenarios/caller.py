"""Callers that follow the interface: retry, resume by id, follow a moved answer."""

import json
import random
import time
from dataclasses import dataclass, field
from urllib.parse import urlsplit

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

NETWORK_SECONDS = 30.0
PAUSE_SECONDS = 0.1
ANSWERED = "answered"
NOT_RUN = "not_run"
UNKNOWN = "unknown"
FAILED = "failed"
LOST = "lost"  # accepted, and no node knew the answer until the deadline


class Stopped(Exception):
    """Report an answer that broke off."""


CUT_OFF = (OSError, HTTPParseError, ValueError, Stopped)


@dataclass(slots=True)
class CallRecord:
    """Hold what a caller sent and was told."""

    number: int
    kind: str  # chat, completion or booking
    organisation: str
    prompt: str = ""
    key: str = ""
    max_tokens: int = 0
    poison: bool = False  # crashes the endpoints that run it
    request_ids: list[str] = field(default_factory=list)  # the last one counts
    not_run_ids: list[str] = field(default_factory=list)
    accepted: bool = False
    text: str = ""
    last_event: str = ""  # id of the last event with text
    outcome: str = ""
    reason: str = ""
    restarts: int = 0
    moves: int = 0
    resumes: int = 0
    repeats: int = 0  # of a request that got no answer and was not accepted
    withdrawn: int = 0  # accepted, then told that it did not run
    retry_after: float = 0.0  # seconds, as the last answer asked
    refusals: int = 0
    sent_at: float = 0.0  # Unix seconds
    ended_at: float = 0.0


class Caller:
    """Send requests of one organisation to the nodes of a deployment."""

    def __init__(
        self,
        nodes: list[tuple[str, int]],
        organisation: str,
        seed: int,
        patience: float,
    ):
        self._nodes = nodes
        self._organisation = organisation
        self._random = random.Random(seed)
        self._patience = patience  # seconds until the caller gives up

    def headers(self, **more: str) -> dict[str, str]:
        """Return the headers of each request."""
        return {
            "Authorization": f"Bearer demo-key-{self._organisation}",
            "Content-Type": "application/json",
            **more,
        }

    def chat(self, record: CallRecord, first: tuple[str, int] | None, stream: bool):
        """Send a chat request until it has an outcome."""
        body = {
            "model": record.kind,
            "messages": [{"role": "user", "content": record.prompt}],
            "max_tokens": record.max_tokens,
            "stream": stream,
        }
        record.sent_at = time.time()
        limit = time.monotonic() + self._patience
        address = first or self._random.choice(self._nodes)
        while time.monotonic() < limit and not record.outcome:
            try:
                self._send_chat(record, address, body)
            except CUT_OFF:
                if record.accepted:
                    record.resumes += 1
                    self._resume_until(record, limit)
                else:
                    record.repeats += 1
            if record.outcome == NOT_RUN:
                record.refusals += 1
                record.withdrawn += record.accepted
                record.accepted = False
                record.outcome = ""
            if not record.outcome:
                self._pause(record, limit)
                address = self._random.choice(self._nodes)
        if not record.outcome:
            record.outcome = LOST if record.accepted else NOT_RUN
        record.ended_at = time.time()

    def book(self, record: CallRecord, first: tuple[str, int] | None, pool: str):
        """Send a booking with its key until it has an outcome."""
        body = json.dumps({"booking": record.number})
        record.sent_at = time.time()
        limit = time.monotonic() + self._patience
        address = first or self._random.choice(self._nodes)
        while time.monotonic() < limit:
            try:
                self._send_booking(record, address, body, pool)
            except CUT_OFF:
                # The answer was lost; only a repeat of the key can tell.
                record.repeats += 1
                record.outcome = UNKNOWN
            if record.outcome in (ANSWERED, FAILED):
                break
            if record.outcome == UNKNOWN and record.reason not in ("", "in_progress"):
                break
            if record.outcome == NOT_RUN:
                record.refusals += 1
            self._pause(record, limit)
            address = self._random.choice(self._nodes)
        record.ended_at = time.time()

    def _pause(self, record: CallRecord, limit: float) -> None:
        """Wait as long as the last answer asked for, and not beyond the limit."""
        seconds = max(PAUSE_SECONDS, record.retry_after)
        record.retry_after = 0.0
        gevent.sleep(min(seconds, max(limit - time.monotonic(), 0.0)))

    def _send_booking(self, record, address, body: str, pool: str) -> None:
        client = _connect(address)
        try:
            headers = self.headers(**{"Idempotency-Key": record.key})
            path = f"/v1/services/{pool}/bookings"
            response = client.request("POST", path, body=body, headers=headers)
            record.text = response.read().decode("utf-8", "replace")
            record.outcome = response.get("rattanwick-outcome") or FAILED
            self._note_id(record, response)
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
            self._read_chat(record, response)
        finally:
            client.close()

    def _note_id(self, record: CallRecord, response) -> None:
        record.retry_after = float(response.get("retry-after") or 0)
        request_id = response.get("rattanwick-request-id") or ""
        if request_id and request_id not in record.request_ids:
            record.request_ids.append(request_id)
        if response.get("rattanwick-outcome") == NOT_RUN and request_id:
            record.not_run_ids.append(request_id)

    def _read_chat(self, record: CallRecord, response) -> None:
        """Read an answer, streamed or whole; follow it where it moved."""
        self._note_id(record, response)
        if response.status_code == 303:
            record.accepted = True
            record.moves += 1
            location = response.get("location")
            self._get(record, urlsplit(location))
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
                self._get(record, urlsplit(url + path))
                return
            if event.get("data") == "[DONE]":
                return
            self._apply(record, json.loads(event.get("data", "{}")))
            record.last_event = event.get("id", record.last_event)
            if record.outcome and record.outcome != ANSWERED:
                return
        if not record.outcome:
            raise Stopped

    def _apply(self, record: CallRecord, data: dict) -> None:
        for choice in data.get("choices", ()):
            record.text += choice.get("delta", {}).get("content", "")
        report = data.get("rattanwick")
        if report:
            record.outcome = report["outcome"]
            record.reason = report.get("reason", "")
            if record.outcome == NOT_RUN:
                record.not_run_ids.append(report["request_id"])

    def _resume_until(self, record: CallRecord, limit: float) -> None:
        """Ask any node for the answer until one has it."""
        while time.monotonic() < limit and not record.outcome:
            host, port = self._random.choice(self._nodes)
            url = urlsplit(f"//{host}:{port}/v1/requests/{record.request_ids[-1]}")
            try:
                self._get(record, url)
            except CUT_OFF:
                record.resumes += 1
            if not record.outcome:
                gevent.sleep(PAUSE_SECONDS)

    def _get(self, record: CallRecord, url) -> None:
        """Resume at an address, after the text that has been received."""
        client = _connect((url.hostname, url.port))
        headers = self.headers()
        if record.last_event:
            headers["Last-Event-ID"] = record.last_event
        path = url.path + (f"?{url.query}" if url.query else "")
        try:
            response = client.request("GET", path, headers=headers)
            if response.status_code == 404:
                return
            self._read_chat(record, response)
        finally:
            client.close()


def _connect(address: tuple[str, int]) -> HTTPClient:
    return HTTPClient(*address, connection_timeout=3.0, network_timeout=NETWORK_SECONDS)


def iter_events(response):
    """Yield server-sent events as maps of their fields."""
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
