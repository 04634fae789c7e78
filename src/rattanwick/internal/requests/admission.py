"""Admission of callers' requests at a node, recorded for each request."""

from collections.abc import Callable
from dataclasses import dataclass

import falcon
import gevent

from rattanwick.internal.base.outcomes import NotRun
from rattanwick.internal.base.tracing import TRACEPARENT_HEADER as TRACE_HEADER
from rattanwick.internal.model.requests import ServingRequest
from rattanwick.internal.recording.decisions import DecisionKind
from rattanwick.internal.requests.authentication import authenticate
from rattanwick.internal.requests.caller_errors import (
    DEADLINE_HEADER,
    CallerError,
    invalid,
    outcome_error,
)
from rattanwick.internal.requests.decisions import (
    AdmissionInputs,
    AdmissionReason,
    decide_admission,
    record_decision,
)
from rattanwick.internal.requests.dependencies import RequestDependencies
from rattanwick.internal.requests.interfaces import Allowance, Caller, Reservation
from rattanwick.internal.requests.metrics import REFUSED, REQUESTS
from rattanwick.internal.requests.spans import RequestSpans
from rattanwick.internal.requests.validation import body_too_large, parse_deadline

BODY_READ_KEY = "rattanwick.body_read"  # WSGI environment; set once the body is read
BODY_TIMEOUT_SECONDS = 30.0  # time limit for receiving a body
# Limits the recorded refusals of unknown callers in each window, so that a caller
# without a key cannot fill the recorder's memory.
MAX_RECORDED_UNKNOWN_CALLERS = 20
UNKNOWN_WINDOW_SECONDS = 1.0


@dataclass(slots=True)
class AdmittedRequest:
    """A request that passed the first checks, and what the later checks need."""

    caller: Caller
    body: bytes
    traceparent: str
    inputs: AdmissionInputs


class Admission:
    """Checks that a request must pass before it may start, the cheapest first."""

    def __init__(
        self,
        dependencies: RequestDependencies,
        in_flight: Callable[[], int],
        spans: RequestSpans,
    ):
        self._dependencies = dependencies
        self._in_flight = in_flight
        self._spans = spans
        self._window_end = 0.0  # monotonic seconds
        self._unknown_in_window = 0
        self._unrecorded = 0

    def check(self, req: falcon.Request) -> AdmittedRequest:
        """Return the authenticated caller and the body of a request.

        Raises CallerError if the node drains or is full, if the key is not valid,
        or if the body is too large, late or incomplete.
        """
        dependencies = self._dependencies
        request_id = req.context.request_id
        inputs = AdmissionInputs(
            draining=dependencies.drain.refusing,
            in_flight=self._in_flight(),
            max_in_flight=dependencies.settings.max_in_flight,
        )
        try:
            dependencies.drain.check()
            caller = authenticate(req, dependencies.directory)
        except CallerError:
            inputs.caller_known = None if inputs.draining else False
            self._refused(inputs, request_id)
            raise
        inputs.caller_known = True
        inputs.organisation, inputs.plan = caller.organisation, caller.plan
        if self._refused(inputs, request_id):
            message = "the node has reached its limit of requests in flight"
            raise CallerError(503, "node_full", message, headers={"Retry-After": "1"})
        traceparent = req.get_header(TRACE_HEADER) or ""
        return AdmittedRequest(caller, self._read_body(req), traceparent[:128], inputs)

    def _read_body(self, req: falcon.Request) -> bytes:
        limit = self._dependencies.settings.max_body_bytes
        if (req.content_length or 0) > limit:
            raise body_too_large(limit)
        timeout_error = invalid(
            "body", f"took longer than {BODY_TIMEOUT_SECONDS:g} s", status=408
        )
        try:
            with gevent.Timeout(BODY_TIMEOUT_SECONDS, timeout_error):
                body = req.env["wsgi.input"].read(limit + 1)
        except OSError as exc:
            raise invalid("body", f"could not be read: {exc}")
        if len(body) > limit:
            raise body_too_large(limit)
        if req.content_length and len(body) < req.content_length:
            raise invalid("body", "is shorter than its Content-Length")
        req.env[BODY_READ_KEY] = True
        return body

    def allowance(
        self, admitted: AdmittedRequest, pool: str, field: str, request_id: str
    ) -> Allowance:
        """Return the allowance of the caller's plan for a pool.

        Raises CallerError if there is none; ``field`` is where the caller named the
        pool.
        """
        inputs = admitted.inputs
        allowance = self._dependencies.directory.allowance(inputs.plan, pool)
        inputs.pool, inputs.has_allowance = pool, allowance is not None
        if self._refused(inputs, request_id):
            message = f"{field}: your plan has no allowance for {pool!r}"
            raise CallerError(403, "no_allowance", message, field)
        return allowance

    def deadline(self, req: falcon.Request, allowance: Allowance) -> float:
        """Return the Unix time by which a request must end."""
        seconds = parse_deadline(
            req.get_header(DEADLINE_HEADER),
            self._dependencies.default_deadline_seconds,
            allowance.max_deadline_seconds,
        )
        return self._dependencies.timers.wall_time() + seconds

    def reserve(
        self, admitted: AdmittedRequest, serving: ServingRequest, tokens: int
    ) -> Reservation:
        """Charge a request to its plan and admit it; raise CallerError if refused."""
        dependencies, inputs = self._dependencies, admitted.inputs
        with self._spans.step(serving, "reserve"):
            reserved = dependencies.grants.reserve(serving.plan, serving.pool, tokens)
        refused = isinstance(reserved, NotRun)
        inputs.tokens = tokens
        inputs.grant_refusal = reserved.reason if refused else ""
        # The reservation may have waited for tokens from peers or the table.
        inputs.seconds_left = serving.deadline - dependencies.timers.wall_time()
        if self._refused(inputs, serving.id):
            REQUESTS.labels(serving.kind, NotRun.tag).inc()
            if not refused:
                dependencies.grants.settle(reserved, 0)
                reserved = NotRun(str(AdmissionReason.DEADLINE))
            raise outcome_error(reserved)
        self._record(inputs, (True, AdmissionReason.ADMITTED), serving.id)
        return reserved

    def _refused(self, inputs: AdmissionInputs, request_id: str) -> bool:
        """Return whether the checks so far refuse the request; record a refusal."""
        admit, reason = decide_admission(inputs.to_message())
        if admit:
            return False
        REFUSED.labels(reason).inc()
        if inputs.caller_known or self._may_record_unknown():
            inputs.unrecorded, self._unrecorded = self._unrecorded, 0
            self._record(inputs, (admit, reason), request_id)
        else:
            self._unrecorded += 1
        return True

    def _may_record_unknown(self) -> bool:
        """Return whether another refusal of an unknown caller may be recorded."""
        now = self._dependencies.timers.now()
        if now >= self._window_end:
            self._window_end = now + UNKNOWN_WINDOW_SECONDS
            self._unknown_in_window = 0
        self._unknown_in_window += 1
        return self._unknown_in_window <= MAX_RECORDED_UNKNOWN_CALLERS

    def _record(
        self, inputs: AdmissionInputs, decided: tuple[bool, str], request_id: str
    ) -> None:
        recorder = self._dependencies.recorder
        values = inputs.to_message()
        record_decision(recorder, DecisionKind.ADMIT, values, decided, request_id)
