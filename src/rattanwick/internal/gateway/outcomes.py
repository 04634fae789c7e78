"""Outcomes of an attempt to serve a request at an endpoint."""

from dataclasses import dataclass

from rattanwick.internal.gateway.model import ResponseHead


@dataclass(slots=True, frozen=True)
class Answered:
    """The endpoint's complete response was sent to the caller."""

    status: int


@dataclass(slots=True, frozen=True)
class NotRun:
    """The request certainly did not run and will not run."""

    reason: str
    sent: bool  # the endpoint received the request and declined it
    endpoint_failed: bool = True  # the reason is a failure of the endpoint


@dataclass(slots=True, frozen=True)
class FailedAnswer:
    """The endpoint ran the request and responded with an error status."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True, frozen=True)
class Lost:
    """The request may have run; nothing was sent to the caller yet."""

    reason: str
    disconnected: bool  # the connection ended without a response, as after a crash


@dataclass(slots=True, frozen=True)
class Interrupted:
    """A stream ended before its last event, after some were sent to the caller."""

    reason: str
    disconnected: bool = False  # the connection ended, as after a crash


@dataclass(slots=True, frozen=True)
class Expired:
    """The deadline of the request has passed."""

    reason: str


Outcome = Answered | NotRun | FailedAnswer | Lost | Interrupted | Expired


def is_endpoint_failure(outcome: Outcome, leaving: bool) -> bool:
    """Return whether an outcome counts against its endpoint.

    A refusal that asks for a rest doesn't, nor does a stream that ends while its
    endpoint is ``leaving``.
    """
    match outcome:
        case Answered():
            return False
        case NotRun():
            return outcome.endpoint_failed
        case FailedAnswer(head, _):
            return head.rest_seconds is None
        case Interrupted():
            return not leaving
    return True
