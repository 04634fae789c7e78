"""One attempt to serve a request at an endpoint."""

import h11

from rattanwick.internal.base.errors import (
    ConnectionLost,
    ConnectionRefused,
    ProtocolError,
    TimedOut,
)
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.gateway.active_request import (
    ActiveRequest,
    Phase,
    ResponseWriter,
)
from rattanwick.internal.gateway.body_memory import OutOfBodyMemory
from rattanwick.internal.gateway.connection_pool import max_idle_connections
from rattanwick.internal.gateway.crash_check import CrashChecks, LostAttempt
from rattanwick.internal.gateway.endpoint_connection import EndpointConnection
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
    is_endpoint_failure,
)
from rattanwick.internal.gateway.part_guard import SOUND_STREAM_SECONDS
from rattanwick.internal.gateway.prompt_blocks import PromptBlocks
from rattanwick.internal.gateway.request_log import log_failed_attempt
from rattanwick.internal.gateway.stream_forwarder import StreamForwarder

log = get_logger("attempts")

attempts_total = counter(
    "relay_attempts",
    "Attempts to serve requests at endpoints, by outcome",
    ("outcome",),
)

MAX_RESPONSE_BYTES = 16 << 20  # of a body that is buffered before it is forwarded
# A request that may be retried is sent to another endpoint if no response arrives
# within this share of its remaining time.
ATTEMPT_TIMEOUT_SHARE = 0.5
# The load of a prompt with this many uncached tokens or more is sent to peers at once.
MIN_BROADCAST_TOKENS = 1000


class Attempt:
    """One attempt to serve a request at the endpoint chosen for it."""

    def __init__(
        self,
        state: NodeState,
        codec: MessageCodec,
        request: ActiveRequest,
        response: ResponseWriter,
        crash_checks: CrashChecks,
        blocks: PromptBlocks,
    ):
        self._state = state
        self._codec = codec
        self._crash_checks = crash_checks
        self._blocks = blocks
        self._request = request
        self._response = response
        self._view: EndpointView = request.placed.view
        # Counted in the view as pending until the first event or the end.
        self._pending_tokens = request.placed.prefill_tokens
        self._connection: EndpointConnection | None = None
        self._complete = False  # the response was read to its end
        self._keep_alive: float | None = None  # seconds, as stated by the endpoint
        self._began = False  # the endpoint has begun to run the request
        self._sent_at = 0.0  # monotonic seconds
        self._began_at = 0.0  # first event of a stream, in monotonic seconds
        self._is_sound = False  # the stream has run for SOUND_STREAM_SECONDS
        # Whether the endpoint had responded recently when the request was sent.
        self._responded_before = False
        self._may_have_run_before = request.may_have_run

    def run(self) -> Outcome:
        """Make the attempt and return its outcome."""
        view = self._view
        output = self._request.call.expected_output
        view.running += 1
        view.output_tokens += output
        view.pending_tokens += self._pending_tokens
        self._signal_load_change()
        try:
            outcome = self._exchange()
        finally:
            view.running -= 1
            view.output_tokens -= output
            self._settle_pending()
            self._release_connection()
        self._record_outcome(outcome)
        return outcome

    def _exchange(self) -> Outcome:
        request, view = self._request, self._view
        request.tried.add(view.endpoint.id)
        request.phase = Phase.CONNECTING
        timeout = self._time_left()
        if timeout <= 0:
            return self._not_sent("deadline has passed", endpoint_failed=False)
        try:
            self._connection = self._state.connections.acquire(
                view.endpoint, timeout, no_retry=not request.can_retry(1)
            )
        except ConnectionLost as exc:
            view.note_unreachable(self._now(), isinstance(exc, ConnectionRefused))
            return self._not_sent(f"no connection: {exc.reason}")
        # The process may have been paused while it connected.
        if self._time_left() <= 0:
            return self._not_sent("deadline has passed", endpoint_failed=False)
        if not self._state.endpoint_limits.may_send(view.endpoint, request.permit):
            return self._not_sent(
                "no valid permit when the request was to be sent", endpoint_failed=False
            )
        reason = self._state.endpoint_notices.reason_not_to_send(view)
        if reason is not None:
            return self._not_sent(reason, endpoint_failed=False)
        if self._blocks.find(request) is not None:
            return self._not_sent("prompt part is blocked", endpoint_failed=False)
        request.trial = ""
        request.phase = Phase.SENT
        self._sent_at = self._now()
        self._responded_before = view.responded_recently(self._sent_at)
        try:
            self._send()
        except ProtocolError as exc:
            request.may_have_run = self._may_have_run_before
            return self._not_sent(exc.reason)
        except ConnectionLost as exc:
            if exc.sent:
                return Lost(exc.reason, disconnected=True)
            request.may_have_run = self._may_have_run_before
            return self._not_sent(f"connection was already closed: {exc.reason}")
        request.attempts += 1
        request.body = self._state.response_memory.hold(view.endpoint.id)
        self._state.endpoint_limits.count_sent(request.permit)
        objective = request.route.objective
        self._state.note_prompt(request.service.name, self._pending_tokens, objective)
        self._view.prefill.add(self._pending_tokens, self._now())
        if request.route.kind is CallKind.STREAM:
            return self._relay_stream()
        return self._relay_response()

    def _not_sent(self, reason: str, endpoint_failed: bool = True) -> NotRun:
        """Return the outcome of a request of which no byte was sent."""
        if self._request.permit is not None:
            self._state.endpoint_limits.give_back(self._request.permit)
        return NotRun(reason, sent=False, endpoint_failed=endpoint_failed)

    def _send(self) -> None:
        request, call = self._request, self._request.call
        org = request.organisation
        ctx = ForwardContext(
            endpoint_id=self._view.endpoint.id,
            organisation=org.name if org else "",
            time_left=self._time_left(),
            urgency=request.urgency,
            last_event_id=request.events.resume_id or "",
        )
        headers = self._codec.encode_call(call, ctx)
        # Whatever ends the sending, the endpoint may have got the request.
        request.may_have_run = True
        self._connection.send(
            call.method, call.target, headers, call.body, self._time_left()
        )

    def _read_head(self, timeout: float) -> tuple[ResponseHead | None, Outcome | None]:
        """Return the head of the response, or the outcome if there is none."""
        try:
            event = self._connection.next_event(timeout)
        except TimedOut as exc:
            self._state.connections.note_silent(self._connection)
            return None, self._timeout_outcome(exc.reason)
        except ConnectionLost as exc:
            self._state.connections.note_lost(
                self._connection, self._now() - self._sent_at
            )
            return None, Lost(exc.reason, disconnected=True)
        except ProtocolError as exc:
            return None, Lost(f"malformed response: {exc.reason}", disconnected=False)
        if not isinstance(event, h11.Response):
            return None, Lost(
                f"unexpected HTTP event {type(event).__name__}", disconnected=False
            )
        headers = list(event.headers.raw_items())
        head = self._codec.decode_response_head(event.status_code, headers)
        self._keep_alive = head.keep_alive
        if head.request_id != self._request.call.id:
            return None, Lost("response to another request", disconnected=False)
        self._view.last_response_at = self._now()
        if head.load is not None:
            self._view.load = head.load
        self._state.endpoint_limits.note_response(self._view, head)
        self._state.endpoint_notices.note_response(self._view, head)
        return head, None

    def _timeout_outcome(self, reason: str) -> Outcome:
        if self._time_left() > 0:
            return Lost(reason, disconnected=False)
        return Expired(reason)

    def _response_timeout(self) -> float:
        """Return the seconds to wait for a response from this endpoint."""
        left = self._time_left()
        return left * ATTEMPT_TIMEOUT_SHARE if self._request.can_retry() else left

    def _relay_response(self) -> Outcome:
        deadline = self._now() + self._response_timeout()
        head, outcome = self._read_head(deadline - self._now())
        if head is None:
            return outcome
        body, outcome = self._read_body(deadline)
        if body is None:
            return outcome
        return self._handle_response(head, body)

    def _handle_response(self, head: ResponseHead, body: bytes) -> Outcome:
        if head.not_run:
            self._request.may_have_run = self._may_have_run_before
            if head.status == 421:
                self._request.misdirected += 1
                # The address stays wrong until the endpoint's entry changes.
                self._view.note_unreachable(self._now())
            return NotRun(
                f"endpoint declined with {head.status}",
                sent=True,
                endpoint_failed=head.rest_seconds is None,
            )
        self._note_began()
        if self._response.started:
            # The caller has received a part of the stream; no other answer fits.
            reason = f"endpoint answered the rest of a stream with status {head.status}"
            return Interrupted(reason)
        if head.status >= 500 or head.status in (408, 429):
            return FailedAnswer(head, body)
        if head.status < 300 and not head.signed:
            return Lost("response is not signed", disconnected=False)
        self._request.first_event_seconds = self._now() - self._request.call.arrived
        self._response.send_complete(head.status, head.headers, body)
        return Answered(head.status)

    def _read_body(self, deadline: float) -> tuple[bytes | None, Outcome | None]:
        """Return the complete body, or the outcome if it did not arrive in time.

        ``deadline`` is in monotonic seconds.
        """
        body = bytearray()
        while True:
            try:
                event = self._connection.next_event(deadline - self._now())
            except TimedOut as exc:
                return None, self._timeout_outcome(exc.reason)
            except (ConnectionLost, ProtocolError) as exc:
                return None, Lost(
                    f"response ended early: {exc.reason}",
                    disconnected=isinstance(exc, ConnectionLost),
                )
            if isinstance(event, h11.EndOfMessage):
                self._complete = True
                return bytes(body), None
            if not isinstance(event, h11.Data):
                return None, Lost(
                    f"unexpected HTTP event {type(event).__name__}", disconnected=False
                )
            size = len(body) + len(event.data)
            if size > MAX_RESPONSE_BYTES:
                return None, Lost("response body is too large", disconnected=False)
            try:
                self._request.body.resize(size)
            except OutOfBodyMemory as exc:
                return None, Lost(str(exc), disconnected=False)
            body += event.data

    def _relay_stream(self) -> Outcome:
        head, outcome = self._read_head(self._response_timeout())
        if head is None:
            return outcome
        if head.status != 200:
            body, outcome = self._read_body(self._now() + self._time_left())
            return outcome if body is None else self._handle_response(head, body)
        if not head.signed:
            return Lost("response is not signed", disconnected=False)
        stream = StreamForwarder(
            self._request,
            self._response,
            self._connection,
            self._state.timers,
            self._note_event,
        )
        outcome = stream.run(head)
        self._complete = stream.complete
        return outcome

    def _note_event(self) -> None:
        request, now = self._request, self._now()
        if request.last_event_at is not None:
            request.longest_pause = max(
                request.longest_pause, now - request.last_event_at
            )
        request.last_event_at = now
        if not self._began:
            self._began_at = now
            request.phase = Phase.STREAMING
            self._note_first_event()
        elif not self._is_sound and now - self._began_at >= SOUND_STREAM_SECONDS:
            self._is_sound = True
            self._state.part_guard.note_answer(request.parts)

    def _note_first_event(self) -> None:
        self._note_began()
        request, now = self._request, self._now()
        if request.first_event_seconds is None:
            request.first_event_seconds = now - request.call.arrived
        placed = request.placed
        tokens = placed.backlog + placed.prefill_tokens
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
        self._view.pending_tokens -= self._pending_tokens
        self._signal_load_change()
        self._pending_tokens = 0

    def _signal_load_change(self) -> None:
        if self._pending_tokens >= MIN_BROADCAST_TOKENS:
            self._state.load_changed.set()

    def _release_connection(self) -> None:
        if self._connection is None:
            return
        if self._complete:
            max_idle = max_idle_connections(
                self._request.service, self._state.count_active_nodes()
            )
            self._state.connections.release(
                self._connection, self._keep_alive, max_idle
            )
        else:
            self._connection.close()

    def _record_outcome(self, outcome: Outcome) -> None:
        """Update the endpoint's failure rate, and log a failed attempt."""
        attempts_total.labels(type(outcome).__name__).inc()
        if isinstance(outcome, Answered):
            self._view.note_outcome(failed=False, now=self._now())
            return
        endpoint = self._view.endpoint
        ejected = False
        if is_endpoint_failure(outcome, endpoint.leaving):
            ejected = self._view.note_outcome(failed=True, now=self._now())
        log_failed_attempt(
            self._request, self._view, self._connection, outcome, ejected
        )
        if isinstance(outcome, Lost | Interrupted) and outcome.disconnected:
            self._view.last_response_at = None
            if not endpoint.leaving:
                attempt = LostAttempt(
                    self._request,
                    self._sent_at,
                    self._now(),
                    self._responded_before,
                    self._is_sound,
                )
                self._crash_checks.start(self._view, attempt)

    def _now(self) -> float:
        return self._state.timers.now()

    def _time_left(self) -> float:
        return self._request.deadline - self._now()
