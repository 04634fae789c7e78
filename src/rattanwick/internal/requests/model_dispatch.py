"""Dispatch of model requests: placement, attempts and resumption."""

from collections.abc import Iterator
from contextlib import ExitStack

from rattanwick.internal.base.errors import (
    ConnectionLost,
    StepError,
    TimedOut,
    Unavailable,
)
from rattanwick.internal.base.ids import new_generation_id
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter, histogram
from rattanwick.internal.base.outcomes import Answered, Failed, NotRun, Outcome
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.request_records import RequestOutput
from rattanwick.internal.model.requests import ServingRequest, Usage
from rattanwick.internal.recording.decisions import (
    DecisionKind,
    NullRecorder,
    Recorder,
)
from rattanwick.internal.requests.attempts import (
    Attempt,
    AttemptRunner,
    append_texts,
)
from rattanwick.internal.requests.crashes import CRASHES_ENDPOINTS, CrashTracker
from rattanwick.internal.requests.decisions import (
    AttemptChoice,
    AttemptReason,
    decide_attempt,
    record_decision,
)
from rattanwick.internal.requests.engine_client import EngineRefused
from rattanwick.internal.requests.runs import STEP_TIMEOUT_SECONDS, RunControl
from rattanwick.internal.requests.spans import RequestSpans
from rattanwick.internal.routing.interfaces import Router

log = get_logger("requests")

MAX_ATTEMPTS = 8
DEADLINE = "deadline"
STOPPED = "stopped"

ATTEMPTS = counter("attempts", "Attempts at endpoints by result", ("result",))
FIRST_TOKEN = histogram(
    "first_token_seconds", "Seconds from the start of an attempt to its first text"
)
RELOCATIONS = counter("relocations", "Streams moved off a leaving endpoint")
RECOMPUTED = counter("recomputed_tokens", "Tokens computed again after a resumption")


class _AttemptState:
    """State that the attempts of one request share."""

    __slots__ = (
        "started_before",
        "excluded",
        "hedge_considered",
        "kv",
        "sent",
        "tokens_before",
    )

    def __init__(self):
        self.excluded: set[str] = set()
        self.started_before = False  # an earlier run may have reached an endpoint
        self.sent = False  # an endpoint may have received the request
        self.hedge_considered = False
        self.kv: dict | None = None  # exported KV cache for the next endpoint
        self.tokens_before = 0  # output tokens before this attempt


class ModelDispatcher:
    """Dispatcher that runs model requests at endpoints until they are answered."""

    def __init__(
        self,
        router: Router,
        attempts: AttemptRunner,
        crashes: CrashTracker,
        timers: TimerService,
        spans: RequestSpans,
        recorder: Recorder | None = None,
    ):
        self._recorder = recorder or NullRecorder()
        self._spans = spans
        self._router = router
        self._attempts = attempts
        self._crashes = crashes
        self._timers = timers

    def run(self, req: ServingRequest, output: RequestOutput) -> Outcome:
        """Run a request to its end, continuing the text that ``output`` already has."""
        for _ in self.steps(req, output, RunControl()):
            pass
        return output.outcome

    def steps(
        self, req: ServingRequest, output: RequestOutput, control: RunControl
    ) -> Iterator[None]:
        """Run a request in steps; each ends with new text or after a short wait."""
        state = _AttemptState()
        # An earlier run, here or at a lost node, may have reached an endpoint.
        state.sent = output.restarted or bool(output.generations)
        state.sent = state.sent or output.length > 0
        state.started_before = state.sent
        output.start_generation(new_generation_id())
        for _ in range(MAX_ATTEMPTS):
            if self._crashes.refuses(req.fingerprint, req.id):
                output.finish(Failed(CRASHES_ENDPOINTS))
                return
            if output.tokens >= req.max_output_tokens:
                output.finish(Answered(), "length")
                return
            error = yield from self._attempt(req, output, control, state)
            if control.stopped or output.outcome is not None:
                return
            if not self._may_try_again(req, output, state, error):
                return
        output.finish(self._unanswered_outcome(state, "too_many_attempts"))

    def _unanswered_outcome(self, state: _AttemptState, reason: str) -> Outcome:
        """Return ``failed``, or ``not_run`` if no endpoint received the request."""
        return Failed(reason) if state.sent else NotRun(reason, retry_after=1.0)

    def _attempt(
        self,
        req: ServingRequest,
        output: RequestOutput,
        control: RunControl,
        state: _AttemptState,
    ) -> Iterator[None]:
        """Run one attempt; return its error, or None if the request has ended."""
        try:
            excluded = frozenset(state.excluded)
            attempt = yield from self._attempts.place(req, excluded, control)
        except StepError as exc:
            output.finish(self._unanswered_outcome(state, exc.reason))
            return None
        if attempt is None:
            return None
        state.tokens_before = output.tokens
        error: StepError | None = None
        reason = STOPPED
        span = ExitStack()
        span.enter_context(
            self._spans.step(req, "attempt", endpoint=attempt.endpoint_id)
        )
        try:
            attempt = yield from self._open(attempt, req, output, control, state)
            yield from self._stream(attempt, req, output, control)
            reason = "" if output.outcome is not None else STOPPED
        except StepError as exc:
            error, reason = exc, exc.reason
        finally:
            control.abort = None
            control.endpoint_id = ""
            state.sent = state.sent or attempt.sent
            usage = attempt.end(reason)
            span.close()
            self._record_usage(usage, state, output)
        if error is None or control.stopped:
            return error
        if control.relocation is not None:
            # A requested move is neither a failure nor a crash of the endpoint.
            state.kv, control.relocation = control.relocation.kv, None
            state.excluded.add(attempt.endpoint_id)
            RELOCATIONS.inc()
        else:
            self._note_failure(req, attempt, error, state)
        return error

    def _open(
        self,
        attempt: Attempt,
        req: ServingRequest,
        output: RequestOutput,
        control: RunControl,
        state: _AttemptState,
    ) -> Iterator[None]:
        """Send the request, and return the attempt that answers.

        A request that may be hedged is sent to a second endpoint after a delay.
        """
        delay = None
        if req.hedge and req.idempotent and not state.hedge_considered:
            state.hedge_considered = True
            if output.length == 0:
                delay = self._router.hedge_delay(req)
        if delay is None:
            kv, state.kv = state.kv, None
            if kv is not None:
                self._attempts.import_kv(attempt, kv)
            self._attempts.open(attempt, req, output.text(), output.tokens)
            return attempt
        excluded = frozenset(state.excluded)

        def note_failure(loser: Attempt, error: StepError) -> None:
            self._note_failure(req, loser, error, state)

        winner = yield from self._attempts.race(
            attempt, req, delay, excluded, control, note_failure
        )
        if winner.error is not None:
            raise winner.error
        if not control.stopped:
            append_texts(output, winner.texts)
        return winner

    def _stream(
        self,
        attempt: Attempt,
        req: ServingRequest,
        output: RequestOutput,
        control: RunControl,
    ) -> Iterator[None]:
        """Append texts to the output until the answer is complete."""
        if control.stopped:
            return
        stream = attempt.stream
        control.abort = stream.abort
        control.endpoint_id = attempt.endpoint_id
        while not stream.done:
            if control.stopped:
                return
            seconds_left = req.deadline - self._timers.wall_time()
            if seconds_left <= 0:
                raise TimedOut("stream", attempt.endpoint_id, DEADLINE)
            texts = stream.read(min(STEP_TIMEOUT_SECONDS, max(seconds_left, 0.001)))
            if control.stopped:
                # The request was packed for handover during the read. The new
                # serving node would not get text that is appended now.
                return
            append_texts(output, texts)
            attempt.report_progress(self._timers.now())
            if not stream.done:
                yield
        stream.read_end()
        if stream.usage.prompt_tokens:
            req.prompt_tokens = stream.usage.prompt_tokens
        output.finish(Answered(), stream.finish_reason or "stop")

    def _record_usage(
        self, usage: Usage, state: _AttemptState, output: RequestOutput
    ) -> None:
        ATTEMPTS.labels("ok" if usage.ok else "failed").inc()
        if usage.first_token_seconds is not None:
            FIRST_TOKEN.observe(usage.first_token_seconds)
        if usage.ok and usage.output_tokens:
            output.tokens = state.tokens_before + usage.output_tokens
        RECOMPUTED.inc(usage.recomputed_tokens)

    def _note_failure(
        self,
        req: ServingRequest,
        attempt: Attempt,
        error: StepError,
        state: _AttemptState,
    ) -> None:
        log.warning(
            "attempt failed",
            extra={
                "request": req.id,
                "endpoint": attempt.endpoint_id,
                "step": error.step,
                "reason": error.reason,
            },
        )
        endpoint_id = attempt.endpoint_id
        state.sent = state.sent or attempt.sent
        state.excluded.add(endpoint_id)
        if self._is_crash(attempt, error):
            self._crashes.record_loss(req.fingerprint, endpoint_id)

    def _is_crash(self, attempt: Attempt, error: StepError) -> bool:
        """Return whether the request may have crashed the endpoint."""
        if not isinstance(error, ConnectionLost) or not error.sent:
            return False
        # An endpoint that was announced to leave was not lost because of the request.
        if self._attempts.is_leaving(attempt.endpoint_id):
            return False
        # If the endpoint still accepts connections, the network broke the stream. Two
        # such breaks must not end a harmless request.
        return attempt.text_count == 0 or not self._attempts.accepts_connections(
            attempt
        )

    def _may_try_again(
        self,
        req: ServingRequest,
        output: RequestOutput,
        state: _AttemptState,
        error: StepError,
    ) -> bool:
        """Return whether another attempt follows; set the outcome if none does."""
        inputs = {
            "endpoint": error.peer,
            "error": type(error).__name__,
            "refused": isinstance(error, EngineRefused),
            "seconds_left": req.deadline - self._timers.wall_time(),
            "has_text": output.length > 0,
            "endpoint_leaving": self._attempts.is_leaving(error.peer),
            "lost": isinstance(error, ConnectionLost),
            "sent": getattr(error, "sent", True),
            "unavailable": isinstance(error, Unavailable),
        }
        decided = choice, reason = decide_attempt(inputs)
        record_decision(self._recorder, DecisionKind.ATTEMPT, inputs, decided, req.id)
        if choice == AttemptChoice.AGAIN:
            return True
        if choice == AttemptChoice.ASK_BUDGET:
            if self._router.may_retry(req):
                return True
            output.finish(self._unanswered_outcome(state, "retry_budget"))
        elif reason == AttemptReason.REFUSED_BY_ENDPOINT:
            text = f"{reason}: {error.reason}"
            started = output.length > 0 or state.started_before
            output.finish(Failed(text) if started else NotRun(text))
        else:
            output.finish(self._unanswered_outcome(state, reason))
        return False
