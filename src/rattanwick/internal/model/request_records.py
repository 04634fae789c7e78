"""Output of a request while it is produced, and the registry of a node's requests."""

import bisect
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from gevent.event import Event

from rattanwick.internal.base.outcomes import Outcome
from rattanwick.internal.model.requests import ServingRequest

FINISHED_RETENTION_SECONDS = 600.0


class RequestOutput:
    """Text that a request has produced so far; tasks can wait for more of it."""

    __slots__ = (
        "_changed",
        "_parts",
        "_starts",
        "finish_reason",
        "length",
        "generations",
        "outcome",
        "restarted",
        "tokens",
    )

    def __init__(self):
        self._parts: list[str] = []
        self._starts: list[int] = []
        self._changed = Event()
        self.length = 0  # characters
        # (id, offset at which it started) of each generation, that is, each run that
        # produced text. Two nodes can run the same request and get different texts.
        self.generations: list[tuple[str, int]] = []
        self.tokens = 0
        self.outcome: Outcome | None = None
        self.finish_reason = ""
        self.restarted = False

    def append(self, text: str) -> None:
        """Add text that an endpoint produced."""
        if not text:
            return
        self._starts.append(self.length)
        self._parts.append(text)
        self.length += len(text)
        self.tokens += 1
        self._changed.set()

    @property
    def generation(self) -> str:
        """Return the id of the current generation."""
        return self.generations[-1][0] if self.generations else ""

    def start_generation(self, generation: str) -> None:
        """Record that the text from here on is produced by a new generation."""
        self.generations.append((generation, self.length))

    def contains(self, generation: str, offset: int) -> bool:
        """Return whether this text equals that of a generation up to an offset."""
        if not self.generations:
            return False  # the run has not started
        ends = [start for _, start in self.generations[1:]] + [self.length]
        for (generation_id, _), end in zip(self.generations, ends, strict=True):
            if generation_id == generation:
                return offset <= end
        return False

    def finish(self, outcome: Outcome, finish_reason: str = "stop") -> None:
        """Set the outcome; only the first one counts."""
        if self.outcome is None:
            self.outcome = outcome
            self.finish_reason = finish_reason
        self._changed.set()

    def text(self) -> str:
        """Return the whole text so far."""
        return "".join(self._parts)

    def parts_after(self, offset: int) -> Iterator[tuple[str, int]]:
        """Yield the texts after ``offset`` characters, each with its end offset."""
        index = max(bisect.bisect_right(self._starts, offset) - 1, 0)
        while index < len(self._parts):
            part, start = self._parts[index], self._starts[index]
            end = start + len(part)
            if end > offset:
                yield part[max(offset - start, 0) :], end
            index += 1

    def wait(self, offset: int, timeout: float | None) -> bool:
        """Wait for text after an offset or the outcome; return False on a time-out."""
        if self.length > offset or self.outcome is not None:
            return True
        self._changed.clear()
        self._changed.wait(timeout)
        return self.length > offset or self.outcome is not None


@dataclass(slots=True)
class StoredResponse:
    """Response of a service to a call."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class RequestRecord:
    """A request of this node, in flight or finished recently."""

    req: ServingRequest
    output: RequestOutput = field(default_factory=RequestOutput)
    answer: StoredResponse | None = None  # response, if it is a service call
    finished_at: float | None = None  # monotonic seconds
    moved_to: str = ""  # node that runs the request now
    endpoint_id: str = ""
    last_polled_at: float = 0.0  # monotonic seconds, when another node last polled it
    started_at: float = 0.0  # monotonic seconds


class RequestRegistry:
    """Requests of this node by id."""

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._records: dict[str, RequestRecord] = {}

    def put(self, record: RequestRecord) -> None:
        """Add a request."""
        record.started_at = self._now()
        self._records[record.req.id] = record

    def get(self, request_id: str) -> RequestRecord | None:
        """Return the request with an id, or None."""
        return self._records.get(request_id)

    def finish(self, request_id: str) -> None:
        """Mark a request as finished; it is dropped after the retention time."""
        record = self._records.get(request_id)
        if record is not None:
            record.finished_at = self._now()

    def drop(self, request_id: str) -> None:
        """Remove a request."""
        self._records.pop(request_id, None)

    def in_flight(self) -> list[RequestRecord]:
        """Return the requests that are not finished."""
        return [item for item in self._records.values() if item.finished_at is None]

    def drop_expired(self) -> None:
        """Remove the requests that finished longer ago than the retention time."""
        limit = self._now() - FINISHED_RETENTION_SECONDS
        expired = [
            request_id
            for request_id, record in self._records.items()
            if record.finished_at is not None and record.finished_at < limit
        ]
        for request_id in expired:
            del self._records[request_id]
