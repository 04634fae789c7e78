"""Dispatch of service calls, which are claimed before sending and run at most once."""

from rattanwick.internal.base.errors import ConnectionLost, StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.outcomes import Answered, NotRun, Outcome, Unknown
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.request_records import RequestRecord, StoredResponse
from rattanwick.internal.model.requests import Placement, ServingRequest, Usage
from rattanwick.internal.recording.decisions import (
    DecisionKind,
    NullRecorder,
    Recorder,
)
from rattanwick.internal.requests.decisions import (
    CallChoice,
    CallReason,
    decide_call,
    record_decision,
)
from rattanwick.internal.requests.endpoint_index import EndpointIndex
from rattanwick.internal.requests.interfaces import (
    BodyMismatch,
    Claimed,
    Claims,
    InProgress,
    Replayed,
    ServiceCall,
)
from rattanwick.internal.requests.service_client import (
    ServiceClient,
    provably_not_run,
)
from rattanwick.internal.requests.spans import RequestSpans
from rattanwick.internal.routing.interfaces import Router

log = get_logger("requests")

MAX_PLACEMENTS = 8  # endpoints tried while the call has provably not run
DEADLINE = "deadline"
CLAIMS_UNAVAILABLE = "claims_unavailable"
KEY_IN_PROGRESS = "key_in_progress"
KEY_WITH_OTHER_BODY = "key_with_other_body"

KnownKey = Replayed | InProgress | BodyMismatch


class ServiceDispatcher:
    """Dispatcher that runs service calls under a claim of their key."""

    def __init__(
        self,
        router: Router,
        endpoints: EndpointIndex,
        client: ServiceClient,
        claims: Claims,
        timers: TimerService,
        spans: RequestSpans,
        recorder: Recorder | None = None,
    ):
        self._recorder = recorder or NullRecorder()
        self._spans = spans
        self._router = router
        self._endpoints = endpoints
        self._client = client
        self._claims = claims
        self._timers = timers

    def run(
        self, call: ServiceCall, record: RequestRecord, key_from_caller: bool
    ) -> KnownKey | None:
        """Run a call, and set the outcome and the answer in the record.

        If an earlier call used the key, run nothing and return the state of the key.
        """
        if key_from_caller:
            key_state = self._look_up(call)
            if key_state is not None:
                return key_state
        try:
            with self._spans.step(record.req, "place"):
                placement = self._router.place(record.req, frozenset())
        except StepError as exc:
            self._finish(record, NotRun(exc.reason, retry_after=1.0))
            return None
        claimed = None
        try:
            with self._spans.step(record.req, "claim"):
                claimed = self._claims.claim(call)
        except StepError as exc:
            # Even if the claim was written, this node does not dispatch the call and
            # no other node may, so the call can never run.
            log.warning("claim failed", extra={"request": call.request_id, "why": exc})
            self._finish(record, NotRun(CLAIMS_UNAVAILABLE, retry_after=1.0))
            return None
        finally:
            if not isinstance(claimed, Claimed):
                self._router.release(placement, Usage(reason="not_claimed"))
        if not isinstance(claimed, Claimed):
            return claimed
        outcome, answer = self._dispatch(claimed, record, placement)
        with self._spans.step(record.req, "settle"):
            self._claims.settle(claimed, outcome, answer)
        self._finish(record, outcome, answer)
        return None

    def _look_up(self, call: ServiceCall) -> KnownKey | None:
        try:
            return self._claims.look_up(call)
        except StepError:
            return None  # the claim decides

    def _finish(
        self,
        record: RequestRecord,
        outcome: Outcome,
        answer: StoredResponse | None = None,
    ) -> None:
        record.answer = answer
        record.output.finish(outcome)

    def _dispatch(
        self, claimed: Claimed, record: RequestRecord, placement: Placement
    ) -> tuple[Outcome, StoredResponse | None]:
        """Send the call; try another endpoint only if it provably has not run."""
        excluded: set[str] = set()
        req = record.req
        for placements_left in reversed(range(MAX_PLACEMENTS)):
            record.endpoint_id = placement.endpoint_id
            started = self._timers.now()
            reason = "stopped"
            try:
                with self._spans.step(req, "call", endpoint=placement.endpoint_id):
                    answer = self._send(placement, req, claimed)
                reason = ""
                return Answered(), answer
            except StepError as exc:
                reason = exc.reason
                self._log_failure(req, exc)
                choice, decided_reason = self._decide(
                    claimed, req, exc, placements_left
                )
            finally:
                seconds = self._timers.now() - started
                usage = Usage(total_seconds=seconds, ok=not reason, reason=reason)
                self._router.release(placement, usage)
            if choice == CallChoice.UNKNOWN:
                return Unknown(reason), None
            if choice == CallChoice.NOT_RUN:
                return NotRun(decided_reason), None
            excluded.add(placement.endpoint_id)
            try:
                placement = self._router.place(req, frozenset(excluded))
            except StepError as exc:
                return NotRun(exc.reason, retry_after=1.0), None
        return NotRun(str(CallReason.NO_ENDPOINT), retry_after=1.0), None

    def _decide(
        self,
        claimed: Claimed,
        req: ServingRequest,
        error: StepError,
        placements_left: int,
    ) -> tuple[str, str]:
        """Return what follows a failed attempt to send the call, and the reason."""
        inputs = {
            "endpoint": error.peer,
            "error": type(error).__name__,
            "not_run": provably_not_run(error),
            "seconds_left": req.deadline - self._timers.wall_time(),
            "may_dispatch": self._claims.may_dispatch(claimed),
            "placements_left": placements_left,
        }
        decided = decide_call(inputs)
        record_decision(self._recorder, DecisionKind.CALL, inputs, decided, req.id)
        return decided

    def _send(
        self, placement: Placement, req: ServingRequest, claimed: Claimed
    ) -> StoredResponse:
        endpoint = self._endpoints.get(placement.endpoint_id)
        if endpoint is None:
            reason = "endpoint is no longer listed"
            raise ConnectionLost("connect", placement.endpoint_id, reason, False)
        on_time = self._timers.wall_time() < req.deadline
        if not on_time or not self._claims.may_dispatch(claimed):
            raise ConnectionLost("connect", endpoint.id, DEADLINE, False)
        return self._client.call(endpoint, req, claimed.call.key)

    def _log_failure(self, req: ServingRequest, error: StepError) -> None:
        log.warning(
            "service call failed",
            extra={
                "request": req.id,
                "endpoint": error.peer,
                "step": error.step,
                "reason": error.reason,
            },
        )
