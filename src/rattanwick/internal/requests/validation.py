"""Validation of what callers send; each error names the invalid field."""

import json
import math
import re
from dataclasses import dataclass

from rattanwick.internal.requests.caller_errors import (
    DEADLINE_HEADER,
    CallerError,
    invalid,
)
from rattanwick.internal.requests.interfaces import Allowance

MAX_MESSAGES = 4096
MAX_STOPS = 16
MAX_STOP_CHARS = 256
MAX_NAME_CHARS = 63
MAX_KEY_CHARS = 255
MAX_PATH_CHARS = 1024
MAX_NUMBER = 2**31 - 1
ROLES = ("system", "developer", "user", "assistant")
BYTES_PER_TOKEN = 3  # below the average of tokenizers on prose, to estimate high
TOKENS_PER_MESSAGE = 4
GENERATION = re.compile(r"[0-9a-f]{1,32}")
PRINTABLE = re.compile(r"[\x21-\x7e]+")
SERVICE_PATH = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@%/-]+")

# Sampling fields, passed to the engine unchanged: (lowest, highest value).
NUMBER_FIELDS = {
    "temperature": (0.0, 2.0),
    "top_p": (0.0, 1.0),
    "presence_penalty": (-2.0, 2.0),
    "frequency_penalty": (-2.0, 2.0),
}
LENGTH_FIELDS = ("max_completion_tokens", "max_tokens")
COMMON_FIELDS = frozenset(
    ("model", "stream", "stream_options", "stop", "seed", "user", "n")
    + LENGTH_FIELDS
    + tuple(NUMBER_FIELDS)
)


def parse_json_body(raw: bytes) -> dict:
    """Return the JSON object in a request body, or raise CallerError."""
    try:
        body = json.loads(raw, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as exc:
        raise invalid("body", f"is not JSON: {str(exc)[:200]}")
    if not isinstance(body, dict):
        raise invalid("body", "must be a JSON object")
    return body


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def check_chat_body(body: dict) -> None:
    """Raise CallerError if a field of a chat request is not valid."""
    _check_known(body, COMMON_FIELDS | {"messages"})
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise invalid("messages", "must be a list of at least one message")
    if len(messages) > MAX_MESSAGES:
        raise invalid("messages", f"must be at most {MAX_MESSAGES} messages")
    for index, message in enumerate(messages):
        _check_message(f"messages[{index}]", message)
    _check_common(body)


def check_completion_body(body: dict) -> None:
    """Raise CallerError if a field of a completion request is not valid."""
    _check_known(body, COMMON_FIELDS | {"prompt"})
    if not _is_text(body.get("prompt")) or not body["prompt"]:
        raise invalid("prompt", "must be a non-empty string")
    _check_common(body)


def _check_known(body: dict, supported: frozenset[str]) -> None:
    for name in body:
        if name not in supported:
            shown = name[:MAX_NAME_CHARS]
            raise invalid(
                shown, f"is not supported; known: {', '.join(sorted(supported))}"
            )


def _check_message(field: str, message: object) -> None:
    if not isinstance(message, dict):
        raise invalid(field, "must be an object with role and content")
    for name in message:
        if name not in ("role", "content", "name"):
            raise invalid(f"{field}.{name[:MAX_NAME_CHARS]}", "is not supported")
    if message.get("role") not in ROLES:
        raise invalid(f"{field}.role", f"must be one of {', '.join(ROLES)}")
    if not _is_text(message.get("content")):
        raise invalid(f"{field}.content", "must be a string")


def _check_common(body: dict) -> None:
    model = body.get("model")
    if not _is_text(model) or not 0 < len(model) <= MAX_NAME_CHARS:
        raise invalid("model", "must be the name of a pool")
    if not isinstance(body.get("stream", False), bool):
        raise invalid("stream", "must be true or false")
    if not isinstance(body.get("stream_options", {}), dict):
        raise invalid("stream_options", "must be an object")
    if body.get("n", 1) != 1 or isinstance(body.get("n", 1), bool):
        raise invalid("n", "must be 1")
    for name, (low, high) in NUMBER_FIELDS.items():
        value = body.get(name, low)
        if not _is_number(value) or not low <= value <= high:
            raise invalid(name, f"must be a number from {low:g} to {high:g}")
    if not _is_whole(body.get("seed", 0)):
        raise invalid("seed", "must be a whole number")
    if not isinstance(body.get("user", ""), str):
        raise invalid("user", "must be a string")
    _check_stop(body.get("stop", []))


def _check_stop(stop: object) -> None:
    stops = [stop] if isinstance(stop, str) else stop
    if not isinstance(stops, list) or len(stops) > MAX_STOPS:
        raise invalid("stop", f"must be a string or at most {MAX_STOPS} strings")
    for item in stops:
        if not _is_text(item) or not 0 < len(item) <= MAX_STOP_CHARS:
            raise invalid(
                "stop", f"must hold strings of 1 to {MAX_STOP_CHARS} characters"
            )


def _is_text(value: object) -> bool:
    """Return whether a value is a string without unpaired surrogates."""
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _is_whole(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int):
        return False
    return abs(value) <= MAX_NUMBER


def _is_number(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return math.isfinite(value)


def output_limit(body: dict, allowance: Allowance) -> int:
    """Return the maximum number of tokens that the answer may have."""
    limit = allowance.max_output_tokens
    for name in LENGTH_FIELDS:
        if name not in body:
            continue
        value = body[name]
        if not _is_whole(value) or value < 1:
            raise invalid(name, "must be a whole number of at least 1")
        if value > allowance.max_output_tokens:
            raise invalid(name, f"must be at most {allowance.max_output_tokens}")
        limit = min(limit, value)
    return limit


def estimate_prompt_tokens(body: dict) -> int:
    """Return an estimate of the prompt's tokens, too high rather than too low."""
    if "prompt" in body:
        return 1 + len(body["prompt"].encode()) // BYTES_PER_TOKEN
    size = sum(len(item["content"].encode()) for item in body["messages"])
    return size // BYTES_PER_TOKEN + TOKENS_PER_MESSAGE * len(body["messages"])


def parse_deadline(
    header: str | None, default_seconds: float, limit_seconds: float
) -> float:
    """Return the seconds that a request may take, by its header or the default."""
    if header is None:
        return min(default_seconds, limit_seconds)
    if not header.isascii() or not header.isdigit() or len(header) > 12:
        raise invalid(DEADLINE_HEADER, "must be a whole number of milliseconds")
    seconds = int(header) / 1000
    if not 0 < seconds <= limit_seconds:
        max_milliseconds = int(limit_seconds * 1000)
        raise invalid(
            DEADLINE_HEADER, f"must be from 1 to {max_milliseconds} milliseconds"
        )
    return seconds


def check_idempotency_key(key: str) -> str:
    """Return the caller's idempotency key, or raise CallerError if not valid."""
    if len(key) > MAX_KEY_CHARS or not PRINTABLE.fullmatch(key):
        message = f"must be 1 to {MAX_KEY_CHARS} printable ASCII characters"
        raise invalid("Idempotency-Key", message)
    return key


def check_service_path(path: str) -> str:
    """Return a percent-encoded service path, or raise CallerError if not valid."""
    if len(path) > MAX_PATH_CHARS or not SERVICE_PATH.fullmatch(path):
        raise invalid("PATH", f"must be 1 to {MAX_PATH_CHARS} characters of a URL path")
    if any(part in ("", ".", "..") for part in path.split("/")):
        raise invalid("PATH", "must not have empty, '.' or '..' parts")
    return path


@dataclass(slots=True, frozen=True)
class ResumePoint:
    """Position up to which a caller has an answer."""

    offset: int = 0  # characters
    generation: str = ""  # empty if the caller does not name it

    def query(self) -> str:
        """Return the URL query for this position, or empty for the start."""
        if not self.offset:
            return ""
        named = f"generation={self.generation}&" if self.generation else ""
        return f"?{named}offset={self.offset}"


def parse_resume_point(
    offset: str | None, generation: str | None, event_id: str | None, request_id: str
) -> ResumePoint:
    """Return the position after which a caller wants the answer.

    The id of the last event is used if there is no ``offset``.
    """
    field = "offset"
    if offset is None and event_id is not None:
        field = "Last-Event-ID"
        event_request_id, _, rest = event_id.partition(":")
        generation, _, offset = rest.rpartition(":")
        if event_request_id != request_id:
            raise invalid(field, "belongs to another request")
    if offset is None:
        return ResumePoint()
    if not offset.isascii() or not offset.isdigit() or len(offset) > 10:
        raise invalid(field, "must be a whole number of characters")
    if generation and not GENERATION.fullmatch(generation):
        raise invalid("generation", "is not a generation id")
    return ResumePoint(int(offset), generation or "")


def body_too_large(limit: int) -> CallerError:
    """Return the error for a body above ``limit`` bytes."""
    return invalid("body", f"must be at most {limit} bytes", status=413)
