"""HTTP resource for calls to plain services."""

import hashlib
from contextlib import ExitStack
from urllib.parse import quote

import falcon

from rattanwick.internal.base.ids import new_request_id, new_write_token
from rattanwick.internal.base.outcomes import Answered, NotRun, Outcome
from rattanwick.internal.model.request_records import RequestRecord, StoredResponse
from rattanwick.internal.model.requests import RequestKind, ServingRequest
from rattanwick.internal.requests.admission import Admission, AdmittedRequest
from rattanwick.internal.requests.caller_errors import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    CallerError,
    outcome_error,
)
from rattanwick.internal.requests.dependencies import RequestDependencies
from rattanwick.internal.requests.interfaces import (
    BodyMismatch,
    InProgress,
    Replayed,
    Reservation,
    ServiceCall,
)
from rattanwick.internal.requests.metrics import REQUESTS, SECONDS
from rattanwick.internal.requests.runs import LiveRequests, RequestRun, RunControl
from rattanwick.internal.requests.service_dispatch import ServiceDispatcher
from rattanwick.internal.requests.spans import RequestSpans
from rattanwick.internal.requests.validation import (
    check_idempotency_key,
    check_service_path,
    invalid,
)

IDEMPOTENCY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "Rattanwick-Replayed"
MAX_CONTENT_TYPE_CHARS = 255


class ServiceResource:
    """HTTP resource that serves POST /v1/services/NAME/PATH."""

    def __init__(
        self,
        dependencies: RequestDependencies,
        admission: Admission,
        dispatcher: ServiceDispatcher,
        live: LiveRequests,
        spans: RequestSpans,
    ):
        self._spans = spans
        self._dependencies = dependencies
        self._admission = admission
        self._dispatcher = dispatcher
        self._live = live

    def on_post(
        self, req: falcon.Request, resp: falcon.Response, name: str, path: str
    ) -> None:
        """Run a call and write its answer."""
        req.context.request_id = new_request_id()
        admitted = self._admission.check(req)
        serving = self._serving_request(req, admitted, name, path)
        callers_key = req.get_header(IDEMPOTENCY_HEADER)
        key = (
            check_idempotency_key(callers_key)
            if callers_key is not None
            else new_write_token()
        )
        call = ServiceCall(
            request_id=serving.id,
            organisation=serving.organisation,
            service=name,
            key=key,
            body_digest=_body_digest(serving),
            deadline=serving.deadline,
        )
        resp.set_header(IDEMPOTENCY_HEADER, key)
        with ExitStack() as stack:
            self._spans.request(serving, admitted.traceparent, stack)
            reservation = self._admission.reserve(admitted, serving, 0)
            self._run(call, serving, reservation, callers_key is not None, resp)

    def _serving_request(
        self, req: falcon.Request, admitted: AdmittedRequest, name: str, path: str
    ) -> ServingRequest:
        caller = admitted.caller
        request_id = req.context.request_id
        allowance = self._admission.allowance(admitted, name, "NAME", request_id)
        path = check_service_path(quote(path, safe="/~!$&'()*+,;=:@"))
        content_type = req.content_type or "application/json"
        if len(content_type) > MAX_CONTENT_TYPE_CHARS:
            raise invalid("Content-Type", "is too long")
        body = {"path": path, "content_type": content_type, "data": admitted.body}
        return ServingRequest(
            id=request_id,
            kind=RequestKind.SERVICE,
            organisation=caller.organisation,
            plan=caller.plan,
            pool=name,
            body=body,
            stream=False,
            deadline=self._admission.deadline(req, allowance),
            received=self._dependencies.timers.wall_time(),
            prompt_tokens=0,
            max_output_tokens=0,
            priority=allowance.priority,
            idempotent=False,
            data_centre=self._dependencies.members.self_node.data_centre,
        )

    def _run(
        self,
        call: ServiceCall,
        serving: ServingRequest,
        reservation: Reservation,
        key_from_caller: bool,
        resp: falcon.Response,
    ) -> None:
        record = RequestRecord(serving)
        key_state = None
        started = self._dependencies.timers.now()

        def steps():
            nonlocal key_state
            key_state = self._dispatcher.run(call, record, key_from_caller)
            yield

        def end(run: RequestRun) -> None:
            ran = not isinstance(record.output.outcome, NotRun)
            self._dependencies.grants.settle(reservation, 0, ran)

        run = self._live.start(record, steps(), RunControl(), end)
        run.finish()
        if key_state is not None:
            record.output.finish(NotRun("key_was_used"))
            self._answer_known(key_state, call, resp)
            return
        outcome = record.output.outcome
        REQUESTS.labels(serving.kind, outcome.tag).inc()
        SECONDS.labels(serving.kind).observe(self._dependencies.timers.now() - started)
        write_service_answer(outcome, record.answer, serving.id, resp)

    def _answer_known(
        self,
        key_state: Replayed | InProgress | BodyMismatch,
        call: ServiceCall,
        resp: falcon.Response,
    ) -> None:
        """Write the answer to a call whose key an earlier call has used."""
        if isinstance(key_state, BodyMismatch):
            message = f"{IDEMPOTENCY_HEADER}: was used with another path or body"
            raise CallerError(422, "key_with_other_body", message, IDEMPOTENCY_HEADER)
        if isinstance(key_state, InProgress):
            # The earlier call may still run, so the outcome is not ``not_run``.
            raise CallerError(
                409,
                "key_in_progress",
                f"{IDEMPOTENCY_HEADER}: the earlier call with this key has not ended",
                IDEMPOTENCY_HEADER,
                outcome="unknown",
                headers={"Retry-After": str(max(1, round(key_state.retry_after)))},
            )
        resp.set_header(REPLAYED_HEADER, "true")
        request_id = key_state.request_id or call.request_id
        write_service_answer(key_state.outcome, key_state.answer, request_id, resp)


def _body_digest(serving: ServingRequest) -> str:
    body = serving.body
    head = f"{body['path']}\n{body['content_type']}\n".encode()
    return hashlib.sha256(head + body["data"]).hexdigest()


def write_service_answer(
    outcome: Outcome,
    answer: StoredResponse | None,
    request_id: str,
    resp: falcon.Response,
) -> None:
    """Write the response of a service call; raise CallerError if it has none."""
    if not isinstance(outcome, Answered):
        raise outcome_error(outcome)
    resp.set_header(REQUEST_ID_HEADER, request_id)
    resp.set_header(OUTCOME_HEADER, outcome.tag)
    resp.status = answer.status
    resp.content_type = answer.headers.get("content-type", falcon.MEDIA_JSON)
    for name, value in answer.headers.items():
        if name != "content-type":
            resp.set_header(name, value)
    resp.data = answer.body
