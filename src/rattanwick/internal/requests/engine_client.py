"""Client for one attempt at a model engine, over chat-completion SSE."""

import json
from collections.abc import Callable

from rattanwick.internal.base.errors import (
    ConnectionLost,
    ProtocolError,
    Refused,
    TimedOut,
    Unavailable,
)
from rattanwick.internal.base.event_stream import EventLineReader, LineTooLong
from rattanwick.internal.model.instances import Endpoint
from rattanwick.internal.model.requests import RequestKind, ServingRequest, Usage
from rattanwick.internal.requests.caller_errors import ORGANISATION_HEADER
from rattanwick.internal.requests.connections import (
    EndpointConnection,
    EndpointConnectionPool,
    check_response_id,
    encode_http_request,
    timed_out,
)

FIRST_TOKEN_TIMEOUT_SECONDS = 60.0  # longest silence before the first token
NEXT_TOKEN_TIMEOUT_SECONDS = 20.0  # longest silence after it
END_TIMEOUT_SECONDS = 0.005  # wait for the end of the response after [DONE]
MAX_EVENT_BYTES = 1 << 20
MAX_ERROR_BYTES = 65_536  # read of an error response
PATHS = {
    RequestKind.CHAT: "/v1/chat/completions",
    RequestKind.COMPLETION: "/v1/completions",
}
BUSY_STATUSES = (429, 503)  # the engine did not run the request


class EngineRefused(Refused):
    """Refusal of a request body that no engine will run."""


class EngineStream:
    """One attempt at an engine, whose text is read as it arrives.

    ``open`` sends the request, ``read`` returns new texts, ``close`` ends the
    attempt. Closing the connection cancels the generation at the engine.
    """

    __slots__ = (
        "_body",
        "_conn",
        "_connections",
        "_endpoint",
        "_headers_checked",
        "_is_chat",
        "_last_text_at",
        "_lines",
        "_now",
        "_req",
        "_retry_fresh",
        "_started_at",
        "_tokens_before",
        "done",
        "finish_reason",
        "sent",
        "text_count",
        "usage",
    )

    def __init__(
        self,
        connections: EndpointConnectionPool,
        endpoint: Endpoint,
        req: ServingRequest,
        text_so_far: str,
        tokens_so_far: int,
        now: Callable[[], float],
    ):
        self._connections = connections
        self._endpoint = endpoint
        self._req = req
        self._body = build_engine_body(req, text_so_far, tokens_so_far)
        self._is_chat = req.kind is RequestKind.CHAT
        self._now = now
        self._lines = EventLineReader(MAX_EVENT_BYTES)
        self._conn: EndpointConnection | None = None
        self._headers_checked = False
        self._retry_fresh = False  # whether to send again on a new connection if lost
        self._started_at = now()
        self._last_text_at = self._started_at
        self._tokens_before = tokens_so_far
        self.sent = False  # the engine may have received the request
        self.done = False  # the engine has sent [DONE]
        self.finish_reason = ""
        self.text_count = 0
        self.usage = Usage()

    @property
    def endpoint_id(self) -> str:
        """Return the id of the endpoint of this attempt."""
        return self._endpoint.id

    def open(self) -> None:
        """Connect and send the request; raises ConnectionLost if either fails."""
        conn = self._connections.open(self._endpoint)
        try:
            self._send(conn)
        except ConnectionLost as exc:
            if not conn.reused or exc.sent:
                raise
            self._send(self._connections.open(self._endpoint, fresh=True))

    def _send(self, conn: EndpointConnection) -> None:
        self._conn = conn
        req = self._req
        headers = {
            "Content-Type": "application/json",
            "Accept": "text/event-stream",
            "X-Request-Id": req.id,
            ORGANISATION_HEADER: req.organisation,
            "traceparent": req.traceparent,
        }
        host = f"{self._endpoint.host}:{self._endpoint.port}"
        data = encode_http_request("POST", PATHS[req.kind], host, headers, self._body)
        self._retry_fresh = conn.reused
        try:
            conn.send(data)
        except ConnectionLost as exc:
            self.sent = self.sent or exc.sent
            conn.close()
            raise
        self.sent = True

    def read(self, timeout: float) -> list[str]:
        """Return new texts, or none if nothing arrives within ``timeout`` seconds.

        Raises a StepError if the attempt has failed.
        """
        conn = self._conn
        try:
            arrived = conn.receive(timeout)
        except ConnectionLost:
            if self._retry_fresh and conn.reader.received == 0:
                # The engine closed the idle connection while the request was sent.
                self._conn.close()
                self._send(self._connections.open(self._endpoint, fresh=True))
                return []
            raise
        if not arrived:
            self._check_silence()
            return []
        reader = conn.reader
        if not self._headers_checked:
            if not reader.final_status:
                return []
            self._check_headers()
        texts = self._parse(reader.take_body())
        if texts:
            self._record_texts(len(texts))
        if not self.done and reader.is_complete:
            reason = "stream ended without [DONE]"
            raise ConnectionLost("stream", self.endpoint_id, reason, True)
        return texts

    def _check_headers(self) -> None:
        """Check the status and the request id; raise the error of any other status."""
        conn = self._conn
        status = conn.reader.final_status
        if status == 200:
            check_response_id(conn, self._req.id)
            self._headers_checked = True
            return
        while not conn.reader.is_complete:
            if conn.reader.received > MAX_ERROR_BYTES or not conn.receive(1.0):
                break
        reason = f"status {status}: {_error_message(conn.reader.take_body())}"
        if status in BUSY_STATUSES:
            raise Unavailable("generate", self.endpoint_id, reason)
        if 400 <= status < 500:
            raise EngineRefused("generate", self.endpoint_id, reason)
        raise Refused("generate", self.endpoint_id, reason)

    def _parse(self, data: bytes) -> list[str]:
        try:
            lines = self._lines.feed(data)
        except LineTooLong as exc:
            raise ProtocolError("stream", self.endpoint_id, str(exc))
        texts = []
        for line in lines:
            if line[:5] != b"data:" or self.done:
                continue
            payload = line[5:].strip()
            if payload == b"[DONE]":
                self.done = True
                continue
            text = self._event_text(payload)
            if text:
                texts.append(text)
        return texts

    def _event_text(self, payload: bytes) -> str:
        try:
            event = json.loads(payload.decode())
            if "error" in event:
                reason = str(event["error"])[:200]
                raise Refused("stream", self.endpoint_id, reason)
            if event.get("usage"):
                self._record_usage(event["usage"])
            choices = event["choices"]
            if not choices:
                return ""
            choice = choices[0]
            self.finish_reason = choice.get("finish_reason") or self.finish_reason
            text = choice["delta"].get("content") if self._is_chat else choice["text"]
        except (ValueError, KeyError, TypeError, AttributeError, IndexError) as exc:
            reason = f"event is not a chunk: {type(exc).__name__}"
            raise ProtocolError("stream", self.endpoint_id, reason)
        if text is not None and not isinstance(text, str):
            raise ProtocolError("stream", self.endpoint_id, "text is not a string")
        return text or ""

    def _record_usage(self, usage: dict) -> None:
        details = usage.get("prompt_tokens_details") or {}
        self.usage.prompt_tokens = int(usage.get("prompt_tokens", 0))
        self.usage.output_tokens = int(usage.get("completion_tokens", 0))
        self.usage.cached_tokens = int(details.get("cached_tokens", 0))

    def _record_texts(self, count: int) -> None:
        self._last_text_at = self._now()
        if self.text_count == 0:
            self.usage.first_token_seconds = self._last_text_at - self._started_at
        self.text_count += count

    def _check_silence(self) -> None:
        first = self.text_count == 0
        limit = FIRST_TOKEN_TIMEOUT_SECONDS if first else NEXT_TOKEN_TIMEOUT_SECONDS
        if self._now() - self._last_text_at > limit:
            raise timed_out("stream", self.endpoint_id, limit)

    def finish_usage(self, reason: str) -> Usage:
        """Return the usage of the attempt; ``reason`` is empty if it succeeded."""
        usage = self.usage
        usage.ok = not reason
        usage.reason = reason
        usage.total_seconds = self._now() - self._started_at
        usage.output_tokens = max(usage.output_tokens, self.text_count)
        if self._tokens_before and usage.prompt_tokens:
            total_tokens = usage.prompt_tokens + self._tokens_before
            usage.recomputed_tokens = max(total_tokens - usage.cached_tokens, 0)
        if self.text_count > 1:
            streaming_seconds = usage.total_seconds - usage.first_token_seconds
            usage.seconds_between_tokens = streaming_seconds / (self.text_count - 1)
        return usage

    def abort(self) -> None:
        """Shut the connection down, which ends a read of another task."""
        if self._conn is not None:
            self._conn.abort()

    def close(self) -> None:
        """Release the connection after a complete answer, otherwise close it."""
        conn, self._conn = self._conn, None
        if conn is None:
            return
        if self.done and conn.reader.is_complete:
            self._connections.release(conn)
        else:
            conn.close()

    def read_end(self) -> None:
        """Read the end of the response after ``[DONE]``, to reuse the connection."""
        try:
            if not self._conn.reader.is_complete:
                self._conn.receive(END_TIMEOUT_SECONDS)
        except (ConnectionLost, ProtocolError, TimedOut):
            pass


def build_engine_body(req: ServingRequest, text: str, tokens: int) -> bytes:
    """Return the request body for an engine, which continues the text so far."""
    body = {
        name: value for name, value in req.body.items() if name not in _OMITTED_FIELDS
    }
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    body["max_tokens"] = max(req.max_output_tokens - tokens, 1)
    body["priority"] = req.priority
    if text and req.kind is RequestKind.CHAT:
        final = {"role": "assistant", "content": text}
        body["messages"] = [*body["messages"], final]
        body["continue_final_message"] = True
        body["add_generation_prompt"] = False
    elif text:
        body["prompt"] += text
    return json.dumps(body).encode()


_OMITTED_FIELDS = ("max_completion_tokens", "n", "stream_options", "user")


def _error_message(data: bytes) -> str:
    """Return the message of an engine's error body."""
    try:
        return str(json.loads(data)["error"]["message"])[:300]
    except (ValueError, KeyError, TypeError):
        return "no message"
