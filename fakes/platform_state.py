"""Fault switches, counters and replies shared by the parts of the platform fake."""

import json
import time
from collections import Counter
from dataclasses import asdict, dataclass, field, fields


@dataclass(slots=True)
class Faults:
    """Hold the fault switches; the defaults mean no fault."""

    table_down: bool = False  # 503, nothing is applied
    table_hang: bool = False  # accepts requests and answers none
    table_errors: int = 0  # so many calls give 500, nothing is applied
    table_delay_seconds: float = 0.0  # before the call takes effect
    table_answer_delay_seconds: float = 0.0  # before the answer, good or bad
    lose_table_answers: int = 0  # so many writes are applied and not answered
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
    weights_per_second: int = 0  # 0 for no limit

    def update(self, values: dict) -> None:
        """Set switches; raise ValueError for one that is not known."""
        known = {item.name: item.type for item in fields(self)}
        for name, value in values.items():
            if name not in known:
                raise ValueError(f"{name} is not a fault; known: {', '.join(known)}")
            setattr(self, name, known[name](value))

    def consume(self, name: str) -> bool:
        """Use up one of a counted fault and tell whether there was one."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0


class RateLimit:
    """Count calls in each second of the clock."""

    def __init__(self):
        self._second = 0
        self._count = 0

    def exceeded(self, limit: int) -> bool:
        """Count a call and tell whether it is above the limit; 0 is no limit."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._count = second, 0
        self._count += 1
        return bool(limit) and self._count > limit


@dataclass(slots=True)
class FakeState:
    """Hold what all parts of the fake share."""

    faults: Faults = field(default_factory=Faults)
    counters: Counter = field(default_factory=Counter)

    def to_json(self) -> dict:
        """Return the fault switches as a map."""
        return asdict(self.faults)


@dataclass(slots=True)
class Call:
    """Hold one HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]  # lower-case names
    body: bytes


@dataclass(slots=True)
class Reply:
    """Hold one HTTP answer."""

    status: int
    body: bytes = b""
    content_type: str = "application/octet-stream"


class AnswerLost(Exception):
    """Close the connection without an answer."""


def json_reply(
    value: object, status: int = 200, content_type: str = "application/json"
) -> Reply:
    """Return a JSON answer."""
    return Reply(status, json.dumps(value).encode(), content_type)
