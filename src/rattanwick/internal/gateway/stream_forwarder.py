"""Forwarding of a stream's events from an endpoint to a caller."""

from collections.abc import Callable

import h11

from rattanwick.internal.base.errors import ConnectionLost, ProtocolError, TimedOut
from rattanwick.internal.base.pacing import LINES_PER_UNIT
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.gateway.active_request import ActiveRequest, ResponseWriter
from rattanwick.internal.gateway.body_memory import OutOfBodyMemory
from rattanwick.internal.gateway.endpoint_connection import EndpointConnection
from rattanwick.internal.gateway.model import ResponseHead
from rattanwick.internal.gateway.outcomes import (
    Answered,
    Expired,
    Interrupted,
    Lost,
    Outcome,
)
from rattanwick.internal.gateway.stream_events import EventSplitter

PART_BYTES = 4096  # of a piece of the body


class StreamForwarder:
    """Forwarder of one stream; ``complete`` is true once it was read to its end.

    ``note_event`` is called before events are sent to the caller.
    """

    __slots__ = (
        "_connection",
        "_events",
        "_note_event",
        "_request",
        "_response",
        "_timers",
        "complete",
    )

    def __init__(
        self,
        request: ActiveRequest,
        response: ResponseWriter,
        connection: EndpointConnection,
        timers: TimerService,
        note_event: Callable[[], None],
    ):
        self._request = request
        self._response = response
        self._connection = connection
        self._timers = timers
        self._note_event = note_event
        self._events = EventSplitter(request.events, resumes=response.started)
        self.complete = False

    def run(self, head: ResponseHead) -> Outcome:
        """Forward each event of a stream once it is complete."""
        while True:
            try:
                event = self._connection.next_event(
                    self._request.deadline - self._timers.now()
                )
            except TimedOut as exc:
                return Expired(exc.reason)
            except ConnectionLost as exc:
                return self._failure(exc.reason, disconnected=True)
            except ProtocolError as exc:
                return self._failure(exc.reason)
            if isinstance(event, h11.EndOfMessage):
                if self._events.partial:
                    return self._failure("stream ended inside an event")
                if not self._response.started:
                    return Lost("stream ended without an event", disconnected=False)
                self.complete = True
                self._response.finish()
                return Answered(head.status)
            if not isinstance(event, h11.Data):
                return self._failure(f"unexpected HTTP event {type(event).__name__}")
            outcome = self._forward(bytes(event.data), head)
            if outcome is not None:
                return outcome

    def _forward(self, data: bytes, head: ResponseHead) -> Outcome | None:
        """Forward the events that these bytes complete; return the outcome if it fails.

        A large piece is read in parts, between which other tasks can run.
        """
        sequence = self._request.events
        for start in range(0, len(data), PART_BYTES):
            events, lines = sequence.events, self._events.lines
            try:
                complete = self._events.feed(data[start : start + PART_BYTES])
                self._request.body.resize(self._events.partial_size + len(complete))
            except (ValueError, OutOfBodyMemory) as exc:
                return self._failure(str(exc))
            if sequence.events > events:
                self._connection.note_progress()
                self._note_event()
            if complete:
                first = None if self._response.started else (200, head.headers)
                self._response.send_chunk(complete, first)
            lines = self._events.lines - lines
            if lines <= LINES_PER_UNIT:
                continue
            try:
                self._connection.spend(lines / LINES_PER_UNIT, self._request.deadline)
            except TimedOut as exc:
                return Expired(exc.reason)
        return None

    def _failure(self, reason: str, disconnected: bool = False) -> Outcome:
        if self._response.started:
            return Interrupted(reason, disconnected)
        return Lost(reason, disconnected)
