"""State of a request while it is served, and the writer of its response."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import StrEnum

from rattanwick.internal.gateway.body_memory import HeldBody
from rattanwick.internal.gateway.endpoint_limits import Permit
from rattanwick.internal.gateway.event_sequence import EventSequence
from rattanwick.internal.gateway.model import (
    Call,
    Headers,
    Organisation,
    Route,
    Service,
)
from rattanwick.internal.gateway.outcomes import FailedAnswer
from rattanwick.internal.gateway.placement import NotPlaced, Placed


class CallerConnectionClosed(Exception):
    """The connection to the caller is closed or must be closed."""


class NodeStopping(Exception):
    """The process ends before the request can be done."""


class CallerStalled(CallerConnectionClosed):
    """The caller has stopped reading a response."""


class ResponseAborted(CallerConnectionClosed):
    """The caller's connection must be closed before the response is complete."""


class Phase(StrEnum):
    """How far a request has come."""

    BODY = "reading_body"
    CHECKS = "checks"  # of its route, key and limits
    WAITING = "waiting"  # for an endpoint
    CONNECTING = "connecting"
    SENT = "sent"
    STREAMING = "streaming"


class ResponseWriter(ABC):
    """Writer of the response to one request.

    ``started`` is true once the head has been sent; ``status`` is the status in it.
    ``request`` is the request's state once it has passed the checks. If ``closes`` is
    true, the connection carries no request after this one.
    """

    started: bool
    status: int
    closes: bool
    request: "ActiveRequest | None" = None

    @abstractmethod
    def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""

    @abstractmethod
    def send_chunk(self, data: bytes, head: tuple[int, Headers] | None) -> None:
        """Send some bytes of a stream, after the status and headers in ``head`` if any.

        ``head`` is given with the first bytes only.
        """

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
    # From the priorities of the organisation and the route; 0 is served first.
    urgency: int
    fingerprint: str  # of the organisation and the call; see ``call_fingerprint``
    configuration_version: int
    attempts: int = 0
    may_have_run: bool = False
    phase: Phase = Phase.CHECKS
    # Parts of the prompt that other prompts may hold; see ``shared_parts``.
    parts: tuple[str, ...] = ()
    trial: str = ""  # id of the block that does not hold for the next attempt
    misdirected: int = 0  # attempts that reached another endpoint (status 421)
    age_seconds: float = 0.0  # from its arrival to the last choice of an endpoint
    tried: set[str] = field(default_factory=set)  # ids of endpoints
    # Of a stream, as far as the caller has received it.
    events: EventSequence = field(default_factory=EventSequence)
    body: HeldBody | None = None  # account of the response in memory
    # Error response of an earlier attempt, if that was the last outcome.
    failed_answer: FailedAnswer | None = None
    placed: Placed | None = None
    not_placed: NotPlaced | None = None
    permit: Permit | None = None  # to send to the endpoint, if that one is limited
    # Ids of the endpoints passed over at the last choice for want of a permit.
    limited_endpoints: tuple[str, ...] = ()
    # From the request's arrival to the first event, or to a response that is no stream.
    first_event_seconds: float | None = None
    last_event_at: float | None = None  # monotonic seconds
    longest_pause: float = 0.0  # seconds between two events

    @property
    def organisation_name(self) -> str:
        """Return the name of the organisation, empty if there is none."""
        return self.organisation.name if self.organisation else ""

    def release_body(self) -> None:
        """Return the memory of the response."""
        if self.body is not None:
            self.body.release()
            self.body = None

    def can_retry(self, extra_attempts: int = 0) -> bool:
        """Return whether a retry is allowed after ``extra_attempts`` more attempts."""
        return (
            self.route.idempotent
            and self.attempts + extra_attempts < self.route.max_attempts
        )
