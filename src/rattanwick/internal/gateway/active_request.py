"""What is known of a request while it is served, and where its answer goes."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from rattanwick.internal.gateway.model import (
    Call,
    Headers,
    Organisation,
    Route,
    Service,
)
from rattanwick.internal.gateway.placement import NotPlaced, Placed


class CallerGone(Exception):
    """Report that the caller's connection has ended, or must be ended."""


class ReplyBroken(CallerGone):
    """Report that the relay ended the caller's connection inside an answer."""


class ResponseWriter(ABC):
    """Write the answer to one request."""

    started: bool
    status: int

    @abstractmethod
    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""

    @abstractmethod
    def send_part(self, data: bytes, head: tuple[int, Headers] | None) -> None:
        """Send a part of a stream, the first one after its head."""

    @abstractmethod
    def finish(self) -> None:
        """End a stream as complete."""


@dataclass(slots=True)
class ActiveRequest:
    """Hold what is known of a request while it is served."""

    call: Call
    route: Route
    organisation: Organisation | None
    service: Service
    deadline: float  # monotonic seconds
    urgency: int
    fingerprint: str
    configuration_version: int
    attempts: int = 0
    may_have_run: bool = False
    misdirected: int = 0
    waited: float = 0.0
    tried: set[str] = field(default_factory=set)
    last_event_id: str = ""
    placed: Placed | None = None
    not_placed: NotPlaced | None = None
    first_event_seconds: float | None = None
    last_event_at: float | None = None  # monotonic seconds
    longest_pause: float = 0.0  # seconds between two events

    def can_retry(self, more: int = 0) -> bool:
        """Tell whether the route allows a repeat after ``more`` further attempts."""
        return self.route.idempotent and self.attempts + more < self.route.max_attempts
