"""Resources for chat and completion requests."""

from contextlib import ExitStack

import falcon

from rattanwick.internal.base.fingerprints import fingerprint
from rattanwick.internal.base.ids import new_request_id
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.base.outcomes import Answered
from rattanwick.internal.model.request_records import RequestRecord
from rattanwick.internal.model.requests import RequestKind, ServingRequest
from rattanwick.internal.requests.admission import Admission, AdmittedRequest
from rattanwick.internal.requests.answer_format import AnswerFormat
from rattanwick.internal.requests.caller_errors import (
    COPIES_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    RESTARTED_HEADER,
    outcome_error,
)
from rattanwick.internal.requests.charges import settle_charge
from rattanwick.internal.requests.copies import COPY_ACK_SECONDS, RequestCopy
from rattanwick.internal.requests.dependencies import RequestDependencies
from rattanwick.internal.requests.disconnects import DisconnectDetector
from rattanwick.internal.requests.interfaces import Reservation
from rattanwick.internal.requests.metrics import REQUESTS, SECONDS
from rattanwick.internal.requests.model_dispatch import ModelDispatcher
from rattanwick.internal.requests.relay import DrivenRun, relay_events
from rattanwick.internal.requests.runs import (
    CALLER_LEFT,
    RECONNECT_GRACE_SECONDS,
    LiveRequests,
    RequestRun,
    RunControl,
)
from rattanwick.internal.requests.spans import RequestSpans
from rattanwick.internal.requests.validation import (
    check_chat_body,
    check_completion_body,
    estimate_prompt_tokens,
    output_limit,
    parse_json_body,
)

# A streamed answer gets its headers with its first text, so that a refusal can
# have its own status; a caller that waits longer gets them now, with the id.
HEADERS_SECONDS = 1.0

TOKENS = counter("output_tokens", "Tokens of answers", ("pool",))


class ModelResource:
    """Answer POST of one kind of model request."""

    def __init__(
        self,
        kind: RequestKind,
        services: RequestDependencies,
        admission: Admission,
        dispatcher: ModelDispatcher,
        live: LiveRequests,
        spans: RequestSpans,
    ):
        self._spans = spans
        self._kind = kind
        self._services = services
        self._admission = admission
        self._dispatcher = dispatcher
        self._live = live

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Run a request and answer it."""
        req.context.request_id = new_request_id()
        admitted = self._admission.check(req)
        serving = self._serving_request(req, admitted)
        with ExitStack() as stack:
            self._spans.request(serving, admitted.traceparent, stack)
            tokens = serving.prompt_tokens + serving.max_output_tokens
            reservation = self._admission.reserve(admitted, serving, tokens)
            node_id = self._services.members.self_node.id
            copy = RequestCopy(self._services.replicator, serving, node_id, self._spans)
            run = self._start(serving, reservation, copy, stack.pop_all())
        if serving.stream:
            self._answer_stream(run, copy, resp)
        else:
            self._answer_whole(run, copy, req, resp)

    def _serving_request(
        self, req: falcon.Request, admitted: AdmittedRequest
    ) -> ServingRequest:
        body = parse_json_body(admitted.body)
        check = check_chat_body if self._kind is RequestKind.CHAT else None
        (check or check_completion_body)(body)
        caller, pool = admitted.caller, body["model"]
        request_id = req.context.request_id
        allowance = self._admission.allowance(admitted, pool, "model", request_id)
        return ServingRequest(
            id=request_id,
            kind=self._kind,
            organisation=caller.organisation,
            plan=caller.plan,
            pool=pool,
            body=body,
            stream=body.get("stream", False),
            deadline=self._admission.deadline(req, allowance),
            received=self._services.timers.wall_time(),
            prompt_tokens=estimate_prompt_tokens(body),
            max_output_tokens=output_limit(body, allowance),
            priority=allowance.priority,
            hedge=allowance.hedge,
            fingerprint=fingerprint(caller.organisation, admitted.body),
            data_centre=self._services.members.self_node.data_centre,
        )

    def _start(
        self,
        serving: ServingRequest,
        reservation: Reservation,
        copy: RequestCopy,
        span: ExitStack,
    ) -> RequestRun:
        record = RequestRecord(serving)
        control = RunControl()
        steps = self._dispatcher.steps(serving, record.output, control)
        started = self._services.timers.now()

        def end(run: RequestRun) -> None:
            output = record.output
            outcome = output.outcome
            with self._spans.step(serving, "settle"):
                grants = self._services.grants
                settle_charge(grants, reservation, serving, output)
            span.close()
            if outcome is None:
                return  # handed over: the keeper's copy is still needed
            copy.drop()
            REQUESTS.labels(self._kind, outcome.tag).inc()
            TOKENS.labels(serving.pool).inc(output.tokens)
            SECONDS.labels(self._kind).observe(self._services.timers.now() - started)

        return self._live.start(record, steps, control, end)

    def _await_copy(self, copy: RequestCopy, started: float) -> int:
        waited = self._services.timers.now() - started
        return copy.wait(COPY_ACK_SECONDS - waited)

    def _answer_stream(
        self, run: RequestRun, copy: RequestCopy, resp: falcon.Response
    ) -> None:
        now = self._services.timers.now
        started = now()
        output = run.record.output
        while output.length == 0 and output.outcome is None:
            if run.moved_address or now() - started >= HEADERS_SECONDS:
                break
            run.advance()
        if run.moved_address:
            redirect(resp, run.moved_address, run.record.req.id)
            return
        outcome = output.outcome
        refused = outcome is not None and not isinstance(outcome, Answered)
        if refused and output.length == 0:
            raise outcome_error(outcome)
        copies = self._await_copy(copy, started)
        set_stream_headers(resp, run.record)
        resp.set_header(COPIES_HEADER, str(copies))
        source = DrivenRun(self._live, run)
        resp.stream = relay_events(source, 0, now, self._services.timers.wall_time)

    def _answer_whole(
        self,
        run: RequestRun,
        copy: RequestCopy,
        req: falcon.Request,
        resp: falcon.Response,
    ) -> None:
        now = self._services.timers.now
        started = now()
        watch = DisconnectDetector.of(req.env)
        alone_since = None
        while run.advance() and not run.moved_address:
            moment = now()
            if watch is None or run.followers or not watch.closed(moment):
                alone_since = None
                continue
            alone_since = alone_since or moment
            if moment - alone_since > RECONNECT_GRACE_SECONDS:
                run.stop(CALLER_LEFT)
        if run.moved_address:
            redirect(resp, run.moved_address, run.record.req.id)
            return
        copies = self._await_copy(copy, started)
        resp.set_header(COPIES_HEADER, str(copies))
        write_model_answer(run.record, resp)


def set_stream_headers(
    resp: falcon.Response, record: RequestRecord, offset: int = 0
) -> None:
    """Set the headers of an answer that is streamed from an offset on.

    A caller that continues the text of a restarted run must not discard it.
    """
    resp.content_type = "text/event-stream"
    resp.set_header("Cache-Control", "no-store")
    resp.set_header(REQUEST_ID_HEADER, record.req.id)
    if record.output.restarted and offset == 0:
        resp.set_header(RESTARTED_HEADER, "true")


def write_model_answer(record: RequestRecord, resp: falcon.Response) -> None:
    """Answer with a finished model answer."""
    outcome = record.output.outcome
    if not isinstance(outcome, Answered):
        raise outcome_error(outcome)
    resp.content_type = falcon.MEDIA_JSON
    resp.set_header(REQUEST_ID_HEADER, record.req.id)
    resp.set_header(OUTCOME_HEADER, outcome.tag)
    if record.output.restarted:
        resp.set_header(RESTARTED_HEADER, "true")
    resp.data = AnswerFormat(record.req, record.output).whole()


def redirect(resp: falcon.Response, address: str, request_id: str) -> None:
    """Send a caller that waits to the node that has its request."""
    resp.status = 303
    resp.set_header("Location", f"{address}/v1/requests/{request_id}")
    resp.set_header(REQUEST_ID_HEADER, request_id)
