"""Admission: whether a node takes a request, recorded for each one."""

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

BODY_READ_KEY = "rattanwick.body_read"  # WSGI environment, tells the server
BODY_TIMEOUT_SECONDS = 30.0  # time for a caller to send a body
# A stranger must not fill the recorder's memory with refusals.
UNKNOWN_RECORDED = 20
UNKNOWN_WINDOW_SECONDS = 1.0


@dataclass(slots=True)
class AdmittedRequest:
    """Hold what admission found out about a request."""

    caller: Caller
    body: bytes
    traceparent: str
    inputs: AdmissionInputs


class Admission:
    """Check a request step by step, cheapest first, until it may start."""

    def __init__(
        self,
        services: RequestDependencies,
        in_flight: Callable[[], int],
        spans: RequestSpans,
    ):
        self._services = services
        self._in_flight = in_flight
        self._spans = spans
        self._window_end = 0.0  # monotonic seconds
        self._unknown_in_window = 0
        self._unrecorded = 0

    def check(self, req: falcon.Request) -> AdmittedRequest:
        """Return the caller and the body of a request that may go on."""
        services = self._services
        request_id = req.context.request_id
        inputs = AdmissionInputs(
            draining=services.drain.refusing,
            in_flight=self._in_flight(),
            max_in_flight=services.settings.max_in_flight,
        )
        try:
            services.drain.check()
            caller = authenticate(req, services.directory)
        except CallerError:
            inputs.caller_known = None if inputs.draining else False
            self._refused(inputs, request_id)
            raise
        inputs.caller_known = True
        inputs.organisation, inputs.plan = caller.organisation, caller.plan
        if self._refused(inputs, request_id):
            message = "the node has as many requests in flight as it may"
            raise CallerError(503, "node_full", message, headers={"Retry-After": "1"})
        traceparent = req.get_header(TRACE_HEADER) or ""
        return AdmittedRequest(caller, self._read_body(req), traceparent[:128], inputs)

    def _read_body(self, req: falcon.Request) -> bytes:
        limit = self._services.settings.max_body_bytes
        if (req.content_length or 0) > limit:
            raise body_too_large(limit)
        late = invalid(
            "body", f"took longer than {BODY_TIMEOUT_SECONDS:g} s", status=408
        )
        try:
            with gevent.Timeout(BODY_TIMEOUT_SECONDS, late):
                body = req.env["wsgi.input"].read(limit + 1)
        except OSError as exc:
            raise invalid("body", f"could not be read: {exc}")
        if len(body) > limit:
            raise body_too_large(limit)
        if req.content_length and len(body) < req.content_length:
            raise invalid("body", "ended before Content-Length")
        req.env[BODY_READ_KEY] = True
        return body

    def allowance(
        self, admitted: AdmittedRequest, pool: str, field: str, request_id: str
    ) -> Allowance:
        """Return the allowance of a caller's plan for a pool."""
        inputs = admitted.inputs
        allowance = self._services.directory.allowance(inputs.plan, pool)
        inputs.pool, inputs.has_allowance = pool, allowance is not None
        if self._refused(inputs, request_id):
            message = f"{field}: your plan has no allowance for {pool!r}"
            raise CallerError(403, "no_allowance", message, field)
        return allowance

    def deadline(self, req: falcon.Request, allowance: Allowance) -> float:
        """Return the Unix time at which a request must have ended."""
        seconds = parse_deadline(
            req.get_header(DEADLINE_HEADER),
            self._services.default_deadline_seconds,
            allowance.max_deadline_seconds,
        )
        return self._services.timers.wall_time() + seconds

    def reserve(
        self, admitted: AdmittedRequest, serving: ServingRequest, tokens: int
    ) -> Reservation:
        """Charge a request to its plan and admit it, or raise CallerError."""
        services, inputs = self._services, admitted.inputs
        with self._spans.step(serving, "reserve"):
            reserved = services.grants.reserve(serving.plan, serving.pool, tokens)
        refused = isinstance(reserved, NotRun)
        inputs.tokens = tokens
        inputs.grant_refusal = reserved.reason if refused else ""
        # A node may have waited for peers or the table to lend it tokens.
        inputs.seconds_left = serving.deadline - services.timers.wall_time()
        if self._refused(inputs, serving.id):
            REQUESTS.labels(serving.kind, NotRun.tag).inc()
            if not refused:
                services.grants.settle(reserved, 0)
                reserved = NotRun(str(AdmissionReason.DEADLINE))
            raise outcome_error(reserved)
        self._record(inputs, (True, AdmissionReason.ADMITTED), serving.id)
        return reserved

    def _refused(self, inputs: AdmissionInputs, request_id: str) -> bool:
        """Decide by what is known so far; record a refusal and tell of it."""
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
        """Tell whether the refusal of another unknown caller is recorded."""
        now = self._services.timers.now()
        if now >= self._window_end:
            self._window_end = now + UNKNOWN_WINDOW_SECONDS
            self._unknown_in_window = 0
        self._unknown_in_window += 1
        return self._unknown_in_window <= UNKNOWN_RECORDED

    def _record(
        self, inputs: AdmissionInputs, decided: tuple[bool, str], request_id: str
    ) -> None:
        recorder = self._services.recorder
        values = inputs.to_message()
        record_decision(recorder, DecisionKind.ADMIT, values, decided, request_id)
