"""Fault switches, counters, requests and responses shared by the fake platform."""

import json
import time
from collections import Counter
from dataclasses import asdict, dataclass, field, fields


@dataclass(slots=True)
class Faults:
    """Fault switches; the defaults mean no fault."""

    table_down: bool = False  # calls get 503 and are not applied
    table_hang: bool = False  # calls get no response while it is set
    table_errors: int = 0  # number of calls that get 500 and are not applied
    table_delay_seconds: float = 0.0  # before a call takes effect
    table_answer_delay_seconds: float = 0.0  # before the response, also an error
    lose_table_answers: int = 0  # number of writes that are applied without a response
    table_writes_per_second: int = 0  # writes above it are throttled; 0 for no limit
    object_down: bool = False
    object_delay_seconds: float = 0.0
    lose_object_answers: int = 0
    list_down: bool = False
    list_lag_seconds: float = 0.0
    cloud_down: bool = False
    refuse_starts: bool = False
    lose_cloud_answers: int = 0
    metadata_down: bool = False
    weights_per_second: int = 0  # calls of the weight store; 0 for no limit

    def update(self, values: dict) -> None:
        """Set switches by name; raise ValueError for an unknown name."""
        known = {item.name: item.type for item in fields(self)}
        for name, value in values.items():
            if name not in known:
                raise ValueError(f"{name} is not a fault; known: {', '.join(known)}")
            setattr(self, name, known[name](value))

    def consume(self, name: str) -> bool:
        """Decrement a fault's counter; return False if it was 0 already."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0


class RateLimit:
    """Rate limit over whole seconds of the monotonic clock."""

    def __init__(self):
        self._second = 0
        self._count = 0

    def exceeded(self, limit: int) -> bool:
        """Count a call; return whether it exceeds ``limit`` per second (0: none)."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._count = second, 0
        self._count += 1
        return bool(limit) and self._count > limit


@dataclass(slots=True)
class FakeState:
    """State that all services of the fake platform share."""

    faults: Faults = field(default_factory=Faults)
    counters: Counter = field(default_factory=Counter)

    def to_json(self) -> dict:
        """Return the fault switches by name."""
        return asdict(self.faults)


@dataclass(slots=True)
class HttpRequest:
    """One HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]  # lower-case names
    body: bytes


@dataclass(slots=True)
class HttpResponse:
    """One HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = "application/octet-stream"


class AnswerLost(Exception):
    """Raised by a service to close the connection without a response."""


def json_response(
    value: object, status: int = 200, content_type: str = "application/json"
) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status, json.dumps(value).encode(), content_type)
