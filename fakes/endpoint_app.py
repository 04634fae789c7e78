"""WSGI application of one fake endpoint: engine, service and admin paths."""

import hashlib
import itertools
import json
import time
from collections.abc import Iterator
from urllib.parse import parse_qs

import gevent

from fakes.endpoint_engine import Engine, EngineSpec, Job
from fakes.endpoint_faults import Faults, Ledger, LedgerEntry
from fakes.endpoint_http import (
    AnswerLost,
    DisconnectDetector,
    Listener,
    read_json,
    respond_json,
)
from fakes.endpoint_orders import OrderReceiver

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
OTHER_REQUEST_ID = "req_of_another_caller"


class FakeEndpoint:
    """An engine or a plain service with its listener, faults and ledger.

    ``registry`` holds all endpoints of the process by id. The keys of ``config`` are
    described in ``fakes.endpoints``.
    """

    def __init__(self, config: dict, registry: "dict[str, FakeEndpoint]"):
        self.id: str = config["id"]
        self.kind: str = config["kind"]
        self.registry = registry
        self.faults = Faults()
        self.faults.update(config.get("faults", {}))
        self.ledger = Ledger()
        names = EngineSpec.__slots__
        spec = EngineSpec(**{name: config[name] for name in names if name in config})
        self.engine = Engine(spec, self.faults)
        self.orders = OrderReceiver(self.faults)
        self.call_seconds = float(config.get("call_seconds", 0.01))
        self._booking_numbers = itertools.count(1)
        self._stored: dict[str, list[str]] = {}
        self.listener = Listener(
            config.get("host", "127.0.0.1"), int(config.get("port", 0)), self
        )

    def __call__(self, environ: dict, start_response):
        """Serve one request; invalid ones get status 400."""
        path = environ["PATH_INFO"]
        try:
            if path.startswith("/_fake/"):
                return self._admin(environ, start_response, path)
            if self.kind == "engine":
                return self._engine_call(environ, start_response, path)
            return self._service_call(environ, start_response, path)
        except (KeyError, TypeError, ValueError) as exc:
            error = {"error": {"message": f"{type(exc).__name__}: {exc}"}}
            return respond_json(start_response, 400, error)

    def crash(self, seconds: float) -> None:
        """Close the listener and all connections, and forget the prefix cache.

        The endpoint restarts after ``seconds``, or not at all if that is 0.
        """
        self.engine.cache.clear()
        self.listener.crash(seconds)

    # Admin paths

    def _admin(self, environ: dict, start_response, path: str):
        parts = path.split("/")[2:]
        target = self
        if parts[0] == "endpoints" and len(parts) == 3:
            target = self.registry[parts[1]]
            parts = parts[2:]
        method = environ["REQUEST_METHOD"]
        if parts == ["ledger"] and method == "GET":
            entries = target.ledger.after(_query_number(environ, "after"))
            body = {"entries": entries, "dropped": target.ledger.dropped}
        elif parts == ["ledger"] and method == "DELETE":
            target.ledger.clear()
            body = {}
        elif parts == ["faults"] and method == "PUT":
            target.set_faults(read_json(environ))
            body = target.faults.to_dict()
        elif parts == ["faults"] and method == "GET":
            body = target.faults.to_dict()
        else:
            body = {"error": {"message": f"no admin path {path}"}}
            return respond_json(start_response, 404, body)
        return respond_json(start_response, 200, body)

    def set_faults(self, changes: dict) -> None:
        """Set fault switches; ``down`` takes effect at once."""
        was_down = self.faults.down
        self.faults.update(changes)
        self.engine.record_load()
        if self.faults.down:
            seconds, self.faults.down_seconds = self.faults.down_seconds, 0.0
            if seconds > 0:
                self.faults.down = False
            # The delay lets the response to this request be sent first.
            gevent.spawn_later(0.02, self.crash, seconds)
        elif was_down:
            self.listener.start()

    # Engine paths

    def _engine_call(self, environ: dict, start_response, path: str):
        method = environ["REQUEST_METHOD"]
        if method == "POST" and path in (CHAT_PATH, COMPLETION_PATH):
            return self._generate_response(environ, start_response, path)
        if path == "/load":
            return respond_json(start_response, 200, self.engine.load())
        if path == "/v1/cache_events":
            after = _query_number(environ, "after")
            events = self.engine.cache.events(after, self.faults)
            return respond_json(start_response, 200, events)
        if method == "POST" and path == "/kv/export":
            return self._kv_export(environ, start_response)
        if method == "POST" and path == "/kv/import":
            blocks = read_json(environ)["blocks"]
            self.engine.cache.add([str(block) for block in blocks])
            return respond_json(start_response, 200, {"blocks": len(blocks)})
        if method == "POST" and path == "/v1/orders":
            status, body = self.orders.accept(read_json(environ))
            return respond_json(start_response, status, body)
        if path == "/v1/orders/state":
            return respond_json(start_response, 200, self.orders.state())
        error = {"error": {"message": f"no path {path}"}}
        return respond_json(start_response, 404, error)

    def _kv_export(self, environ: dict, start_response):
        request_id = read_json(environ)["request_id"]
        exported = self.engine.export_blocks(request_id)
        if exported is None:
            error = {"error": {"message": "request_id: not running here"}}
            return respond_json(start_response, 404, error)
        return respond_json(start_response, 200, exported)

    def _generate_response(self, environ: dict, start_response, path: str):
        raw = environ["wsgi.input"].read()
        entry = self.ledger.open(environ, path, self.faults.leaving)
        self._apply_arrival_faults(raw, entry)
        if self.faults.consume("busy_times"):
            entry.outcome = "busy"
            return _refuse_busy(start_response, entry)
        body = json.loads(raw)
        chat = path == CHAT_PATH
        job = self.engine.open_job(body, chat, entry)
        detector = DisconnectDetector(environ["fake.socket"])
        job.caller_disconnected = detector.is_disconnected
        formatter = AnswerFormatter(self, entry, chat, str(body.get("model", "")))
        tokens = self._truncated_tokens(self.engine.generate(job), entry, job)
        if body.get("stream"):
            start_response("200 OK", formatter.headers("text/event-stream"))
            return self._stream(formatter, job, tokens, detector)
        return self._send_whole(formatter, job, tokens, detector, start_response)

    def _apply_arrival_faults(self, raw: bytes, entry: LedgerEntry) -> None:
        marker = self.faults.crash_marker
        if marker and marker.encode() in raw:
            entry.outcome, entry.ran = "crashed", True
            self.crash(self.faults.crash_seconds)
            raise AnswerLost
        if self.faults.stall_seconds and self.faults.consume("stall_times"):
            gevent.sleep(self.faults.stall_seconds)

    def _truncated_tokens(
        self, tokens: Iterator[str], entry: LedgerEntry, job: Job
    ) -> Iterator[str]:
        limit = self.faults.truncate_after
        truncate = limit > 0 and self.faults.consume("truncate_times")
        try:
            for count, token in enumerate(tokens):
                if truncate and count >= limit:
                    entry.outcome = "truncated"
                    raise AnswerLost
                job.text.append(token)
                yield token
        finally:
            tokens.close()

    def _stream(
        self, formatter: "AnswerFormatter", job: Job, tokens, detector
    ) -> Iterator[bytes]:
        per_write = max(self.engine.spec.tokens_per_write, 1)
        batch = []
        try:
            for token in tokens:
                batch.append(formatter.chunk(token))
                if len(batch) >= per_write:
                    yield "".join(batch).encode()
                    batch.clear()
            if detector.is_disconnected() or self.faults.consume("lose_answers"):
                raise AnswerLost
            batch.append(formatter.final_chunk(job))
            yield "".join(batch).encode()
        finally:
            tokens.close()

    def _send_whole(
        self, formatter: "AnswerFormatter", job: Job, tokens, detector, start_response
    ):
        text = "".join(tokens)
        if detector.is_disconnected() or self.faults.consume("lose_answers"):
            raise AnswerLost
        data = json.dumps(formatter.response_body(text, job)).encode()
        headers = formatter.headers("application/json")
        start_response("200 OK", [*headers, ("Content-Length", str(len(data)))])
        return [data]

    # Service paths

    def _service_call(self, environ: dict, start_response, path: str):
        if environ["REQUEST_METHOD"] == "GET" and path == "/load":
            return respond_json(start_response, 200, self.engine.load())
        raw = environ["wsgi.input"].read()
        entry = self.ledger.open(environ, path, self.faults.leaving)
        entry.body_digest = hashlib.sha256(raw).hexdigest()
        self._apply_arrival_faults(raw, entry)
        if self.faults.consume("busy_times"):
            entry.outcome = "busy"
            return _refuse_busy(start_response, entry)
        self.engine.acquire_slot(entry)
        entry.ran, entry.ran_at = True, time.time()
        try:
            gevent.sleep(self.call_seconds * self.faults.slowdown_factor())
        finally:
            self.engine.release_slot()
        booking_number = next(self._booking_numbers)
        entry.outcome, entry.ended = "done", time.time()
        if self.faults.consume("lose_answers"):
            raise AnswerLost
        formatter = AnswerFormatter(self, entry, False, "")
        body = {"booking": booking_number, "endpoint": self.id, "path": path}
        return respond_json(start_response, 200, body, [formatter.id_header()])


class AnswerFormatter:
    """Formats the response to one request, streamed or not."""

    __slots__ = ("_chat", "_entry", "_head", "_id", "_model", "_tail")

    def __init__(
        self, endpoint: FakeEndpoint, entry: LedgerEntry, chat: bool, model: str
    ):
        wrong = endpoint.faults.consume("wrong_id_times")
        self._id = OTHER_REQUEST_ID if wrong else entry.request_id
        self._entry = entry
        self._chat = chat
        self._model = model
        kind = "chat.completion.chunk" if chat else "text_completion"
        base = {"id": self._id, "object": kind, "created": int(time.time())}
        opening = json.dumps({**base, "model": model})[:-1]
        before = '{"content": "' if chat else '"'
        after = '"}' if chat else '"'
        name = "delta" if chat else "text"
        self._head = f'data: {opening}, "choices": [{{"index": 0, "{name}": {before}'
        self._tail = f'{after}, "finish_reason": null}}]}}\n\n'

    def id_header(self) -> tuple[str, str]:
        """Return the X-Request-Id header, with a wrong id if that fault is on."""
        return ("X-Request-Id", self._id)

    def headers(self, content_type: str) -> list[tuple[str, str]]:
        """Return the headers of the response except its length."""
        return [("Content-Type", content_type), self.id_header()]

    def chunk(self, token: str) -> str:
        """Return the event of one token, which must need no JSON escapes."""
        return f"{self._head}{token}{self._tail}"

    def usage(self) -> dict:
        """Return the token counts of the request."""
        entry = self._entry
        total = entry.prompt_tokens + entry.output_tokens
        return {
            "prompt_tokens": entry.prompt_tokens,
            "completion_tokens": entry.output_tokens,
            "total_tokens": total,
            "prompt_tokens_details": {"cached_tokens": entry.cached_tokens},
        }

    def final_chunk(self, job: Job) -> str:
        """Return the event with the finish reason, the usage and ``[DONE]``."""
        choice = {"index": 0, "finish_reason": job.finish_reason}
        choice["delta" if self._chat else "text"] = {} if self._chat else ""
        last = {"id": self._id, "choices": [choice], "usage": self.usage()}
        return f"data: {json.dumps(last)}\n\ndata: [DONE]\n\n"

    def response_body(self, text: str, job: Job) -> dict:
        """Return the body of a response that is not streamed."""
        choice: dict = {"index": 0, "finish_reason": job.finish_reason}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            "id": self._id,
            "object": "chat.completion" if self._chat else "text_completion",
            "created": int(time.time()),
            "model": self._model,
            "choices": [choice],
            "usage": self.usage(),
        }


def _refuse_busy(start_response, entry: LedgerEntry) -> list[bytes]:
    """Refuse a call with 503 and the outcome ``not_run``."""
    headers = [
        ("Retry-After", "1"),
        ("Rattanwick-Outcome", "not_run"),
        ("X-Request-Id", entry.request_id),
    ]
    error = {"error": {"message": "all slots are busy; the call was not run"}}
    return respond_json(start_response, 503, error, headers)


def _query_number(environ: dict, name: str) -> int:
    """Return an integer parameter of the query string, 0 if it is absent."""
    return int(parse_qs(environ.get("QUERY_STRING", "")).get(name, ["0"])[0])
