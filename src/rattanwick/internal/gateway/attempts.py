"""One attempt to have a request answered by an endpoint."""

import gevent
import h11

from rattanwick.internal.base.errors import ConnectionLost, ProtocolError, TimedOut
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.gateway.active_request import ActiveRequest, ResponseWriter
from rattanwick.internal.gateway.connection_pool import EndpointConnection
from rattanwick.internal.gateway.endpoint_view import EndpointView
from rattanwick.internal.gateway.interfaces import MessageCodec
from rattanwick.internal.gateway.model import CallKind, ForwardContext, ResponseHead
from rattanwick.internal.gateway.node_state import NodeState
from rattanwick.internal.gateway.outcomes import (
    Answered,
    Expired,
    FailedAnswer,
    Interrupted,
    Lost,
    NotRun,
    Outcome,
)
from rattanwick.internal.gateway.stream_events import EventSplitter

log = get_logger("attempts")

attempts_total = counter(
    "relay_attempts", "Attempts at endpoints by outcome", ("outcome",)
)

MAX_RESPONSE_BYTES = 16 << 20  # of an answer that is passed on whole
# A repeatable call that is silent this share of its time is tried elsewhere.
SILENCE_SHARE = 0.5
TOLD_TOKENS = 1000  # prompts from this size on are told to peers at once
# Of the connections that an endpoint accepts, kept idle by all nodes together.
IDLE_SHARE = 0.5
CRASH_CHECK_SECONDS = 0.5  # to connect to an endpoint that dropped a request


class Attempt:
    """Offer a request to the endpoint that was chosen for it."""

    def __init__(
        self,
        state: NodeState,
        codec: MessageCodec,
        request: ActiveRequest,
        response: ResponseWriter,
    ):
        self._state = state
        self._codec = codec
        self._request = request
        self._response = response
        self._view: EndpointView = request.placed.view
        self._pending = request.placed.read_tokens
        self._link: EndpointConnection | None = None
        self._whole = False  # the answer ended such that the link can be used again
        self._keep_alive: float | None = None
        self._began = False
        self._sent_at = 0.0
        self._seen_up = False  # the endpoint, when the request was sent
        self._ran_before = request.may_have_run

    def run(self) -> Outcome:
        """Return how the attempt ended."""
        view = self._view
        output = self._request.call.expected_output
        view.running += 1
        view.output_tokens += output
        view.pending_tokens += self._pending
        self._tell_load()
        try:
            outcome = self._exchange()
        finally:
            view.running -= 1
            view.output_tokens -= output
            self._settle_pending()
            self._release_link()
        self._note(outcome)
        return outcome

    def _exchange(self) -> Outcome:
        request, view = self._request, self._view
        request.tried.add(view.endpoint.id)
        try:
            self._link = self._state.connections.open(
                view.endpoint,
                self._time_left(),
                single_attempt=not request.can_retry(1),
            )
        except ConnectionLost as exc:
            view.note_unreachable(self._now())
            return NotRun(f"no connection: {exc.reason}", sent=False)
        self._sent_at = self._now()
        self._seen_up = view.seen_up(self._sent_at)
        try:
            self._send()
        except ProtocolError as exc:
            return NotRun(exc.reason, sent=False)
        except ConnectionLost as exc:
            if exc.sent:
                request.may_have_run = True
                return Lost(exc.reason, ended=True)
            return NotRun(f"connection was dead: {exc.reason}", sent=False)
        request.attempts += 1
        request.may_have_run = True
        objective = request.route.objective
        self._state.note_prompt(request.service.name, self._pending, objective)
        self._view.prefill.add(self._pending, self._now())
        if request.route.kind is CallKind.STREAM:
            return self._relay_stream()
        return self._relay_whole()

    def _send(self) -> None:
        request, call = self._request, self._request.call
        org = request.organisation
        ctx = ForwardContext(
            endpoint_id=self._view.endpoint.id,
            organisation=org.name if org else "",
            time_left=self._time_left(),
            urgency=request.urgency,
            last_event_id=request.last_event_id,
        )
        headers = self._codec.encode_call(call, ctx)
        self._link.send(call.method, call.target, headers, call.body, self._time_left())

    def _read_head(self, limit: float) -> tuple[ResponseHead | None, Outcome | None]:
        """Return the head of the answer, or how the attempt ended without one."""
        try:
            event = self._link.next_event(limit)
        except TimedOut as exc:
            return None, self._silent(exc.reason)
        except ConnectionLost as exc:
            self._state.connections.note_lost(self._link, self._now() - self._sent_at)
            return None, Lost(exc.reason, ended=True)
        except ProtocolError as exc:
            return None, Lost(f"not an answer: {exc.reason}", ended=False)
        if not isinstance(event, h11.Response):
            return None, Lost(f"unexpected {type(event).__name__}", ended=False)
        headers = list(event.headers.raw_items())
        head = self._codec.decode_response_head(event.status_code, headers)
        self._keep_alive = head.keep_alive
        if head.request_id != self._request.call.id:
            return None, Lost("answer to another request", ended=False)
        self._view.answered_at = self._now()
        if head.load is not None:
            self._view.load = head.load
        return head, None

    def _silent(self, reason: str) -> Outcome:
        if self._time_left() > 0:
            return Lost(reason, ended=False)
        return Expired(reason)

    def _patience(self) -> float:
        """Return seconds to wait for an answer at this endpoint."""
        left = self._time_left()
        return left * SILENCE_SHARE if self._request.can_retry() else left

    def _relay_whole(self) -> Outcome:
        limit = self._now() + self._patience()
        head, outcome = self._read_head(limit - self._now())
        if head is None:
            return outcome
        body, outcome = self._read_body(limit)
        if body is None:
            return outcome
        return self._judge_whole(head, body)

    def _judge_whole(self, head: ResponseHead, body: bytes) -> Outcome:
        if head.not_run:
            self._request.may_have_run = self._ran_before
            if head.status == 421:
                self._request.misdirected += 1
            return NotRun(f"endpoint declined with {head.status}", sent=True)
        self._note_began()
        if head.status >= 500 or head.status in (408, 429):
            return FailedAnswer(head, body)
        if head.status < 300 and not head.signed:
            return Lost("answer is not signed", ended=False)
        self._request.first_event_seconds = self._now() - self._request.call.arrived
        self._response.send_whole(head.status, head.headers, body)
        return Answered(head.status)

    def _read_body(self, limit: float) -> tuple[bytes | None, Outcome | None]:
        """Return the whole body, or how the attempt ended without it."""
        parts, size = [], 0
        while True:
            try:
                event = self._link.next_event(limit - self._now())
            except TimedOut as exc:
                return None, self._silent(exc.reason)
            except (ConnectionLost, ProtocolError) as exc:
                return None, Lost(f"answer broke off: {exc.reason}", ended=False)
            if isinstance(event, h11.EndOfMessage):
                self._whole = True
                return b"".join(parts), None
            if not isinstance(event, h11.Data):
                return None, Lost(f"unexpected {type(event).__name__}", ended=False)
            size += len(event.data)
            if size > MAX_RESPONSE_BYTES:
                return None, Lost("answer is too large", ended=False)
            parts.append(bytes(event.data))

    def _relay_stream(self) -> Outcome:
        head, outcome = self._read_head(self._patience())
        if head is None:
            return outcome
        if head.status != 200:
            body, outcome = self._read_body(self._now() + self._time_left())
            return outcome if body is None else self._judge_whole(head, body)
        if not head.signed:
            return Lost("answer is not signed", ended=False)
        return self._pass_events(head)

    def _pass_events(self, head: ResponseHead) -> Outcome:
        """Pass events on as they come, whole ones only."""
        events = EventSplitter(self._request.last_event_id)
        while True:
            try:
                event = self._link.next_event(self._time_left())
            except TimedOut as exc:
                return Expired(exc.reason)
            except (ConnectionLost, ProtocolError) as exc:
                return self._broken(events, exc.reason)
            if isinstance(event, h11.EndOfMessage):
                if events.partial:
                    return self._broken(events, "ended inside an event")
                if not self._response.started:
                    return Lost("stream without an event", ended=False)
                self._whole = True
                self._response.finish()
                return Answered(head.status)
            if not isinstance(event, h11.Data):
                return self._broken(events, f"unexpected {type(event).__name__}")
            try:
                whole = events.feed(bytes(event.data))
            except ValueError as exc:
                return self._broken(events, str(exc))
            if whole:
                self._note_event()
                start = None if self._response.started else (200, head.headers)
                self._response.send_part(whole, start)

    def _broken(self, events: EventSplitter, reason: str) -> Outcome:
        if self._response.started:
            return Interrupted(reason, events.last_id)
        return Lost(reason, ended=True)

    def _note_event(self) -> None:
        request, now = self._request, self._now()
        if request.last_event_at is not None:
            request.longest_pause = max(
                request.longest_pause, now - request.last_event_at
            )
        request.last_event_at = now
        if not self._began:
            self._note_first_event()

    def _note_first_event(self) -> None:
        self._note_began()
        request, now = self._request, self._now()
        if request.first_event_seconds is None:
            request.first_event_seconds = now - request.call.arrived
        placed = request.placed
        tokens = placed.backlog_tokens + placed.read_tokens
        self._state.prefill_estimator.observe(
            request.service.name, tokens, now - self._sent_at
        )
        self._view.note_cached(request.call.prompt)
        self._state.note_placement(self._view, request.call.prompt)
        self._settle_pending()

    def _note_began(self) -> None:
        if not self._began:
            self._began = True
            org = self._request.organisation
            self._state.usage.note_began(
                org.name if org else "", self._state.timers.wall_time()
            )

    def _settle_pending(self) -> None:
        self._view.pending_tokens -= self._pending
        self._tell_load()
        self._pending = 0

    def _tell_load(self) -> None:
        if self._pending >= TOLD_TOKENS:
            self._state.load_changed.set()

    def _release_link(self) -> None:
        if self._link is None:
            return
        if self._whole:
            self._state.connections.release(
                self._link, self._keep_alive, self._most_idle()
            )
        else:
            self._link.close()

    def _most_idle(self) -> int:
        """Return the idle connections that this node may keep to the endpoint."""
        most = self._request.service.max_connections
        return max(1, int(IDLE_SHARE * most / self._state.count_active_nodes()))

    def _note(self, outcome: Outcome) -> None:
        """Learn from the outcome, and log an attempt that did not answer."""
        attempts_total.labels(type(outcome).__name__).inc()
        if isinstance(outcome, Answered):
            self._view.note_outcome(failed=False, now=self._now())
            return
        endpoint = self._view.endpoint
        aside = False
        if not isinstance(outcome, Interrupted) or not endpoint.leaving:
            aside = self._view.note_outcome(failed=True, now=self._now())
        log.info(
            "attempt failed",
            extra={
                "request": self._request.call.id,
                "endpoint": endpoint.id,
                "attempt": self._request.attempts,
                "reused": self._link.reused if self._link else None,
                "rested": round(self._link.idle_seconds, 2) if self._link else None,
                "outcome": type(outcome).__name__,
                "reason": getattr(outcome, "reason", None)
                or f"status {outcome.head.status}",
                "failure_rate": round(self._view.failure_rate, 2),
                "set_aside": aside,
            },
        )
        if isinstance(outcome, Lost) and outcome.ended:
            self._view.answered_at = None
            if not endpoint.leaving:
                gevent.spawn(self._check_crash)

    def _check_crash(self) -> None:
        """Count a crash where the endpoint takes no connection any more.

        An endpoint that was not seen up before may have been down already, behind
        a proxy that accepts connections for it.
        """
        endpoint, now = self._view.endpoint, self._now()
        try:
            self._state.connections.connect(endpoint, CRASH_CHECK_SECONDS).close()
        except ConnectionLost:
            self._view.note_unreachable(now)
            if self._seen_up:
                self._state.crash_guard.note_crash(
                    self._request.fingerprint, endpoint.id, now
                )
            log.warning(
                "endpoint crashed under a request",
                extra={
                    "request": self._request.call.id,
                    "endpoint": endpoint.id,
                    "counted": self._seen_up,
                },
            )

    def _now(self) -> float:
        return self._state.timers.now()

    def _time_left(self) -> float:
        return self._request.deadline - self._now()
