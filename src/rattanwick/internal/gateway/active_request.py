"""State of a request while it is served, and the writer of its response."""

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
    """The caller's connection has ended, or must be closed."""


class ResponseAborted(CallerGone):
    """The relay closes the caller's connection inside a response."""


class ResponseWriter(ABC):
    """Writer of the response to one request.

    ``started`` states that the head was sent, with status ``status``.
    """

    started: bool
    status: int

    @abstractmethod
    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""

    @abstractmethod
    def send_part(self, data: bytes, head: tuple[int, Headers] | None) -> None:
        """Send data of a stream, after the status and headers in ``head`` if given."""

    @abstractmethod
    def finish(self) -> None:
        """End a stream so that it is complete for the caller."""


@dataclass(slots=True)
class ActiveRequest:
    """State of a request while it is served."""

    call: Call
    route: Route
    organisation: Organisation | None
    service: Service
    deadline: float  # monotonic seconds
    urgency: int  # 0 is served first
    fingerprint: str
    configuration_version: int
    attempts: int = 0
    may_have_run: bool = False
    misdirected: int = 0  # attempts that reached another endpoint (status 421)
    waited: float = 0.0  # seconds since the request arrived
    tried: set[str] = field(default_factory=set)  # ids of endpoints
    last_event_id: str = ""
    placed: Placed | None = None
    not_placed: NotPlaced | None = None
    first_event_seconds: float | None = None
    last_event_at: float | None = None  # monotonic seconds
    longest_pause: float = 0.0  # seconds between two events

    def can_retry(self, extra_attempts: int = 0) -> bool:
        """Return whether the route allows a retry after ``more`` further attempts."""
        return (
            self.route.idempotent
            and self.attempts + extra_attempts < self.route.max_attempts
        )
