"""HTTP resources for chat and completion requests."""

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
from rattanwick.internal.requests.dependencies import RequestDependencies
from rattanwick.internal.requests.disconnects import DisconnectDetector
from rattanwick.internal.requests.interfaces import Reservation
from rattanwick.internal.requests.metrics import REQUESTS, SECONDS
from rattanwick.internal.requests.model_dispatch import ModelDispatcher
from rattanwick.internal.requests.relay import DrivenRunSource, relay_events
from rattanwick.internal.requests.request_replication import (
    REPLICA_ACK_TIMEOUT_SECONDS,
    RequestReplication,
)
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

# The headers of a streamed answer are sent with its first text, so that a refusal can
# have its own status. After this delay they are sent without text, with the request id.
MAX_HEADER_DELAY_SECONDS = 1.0

TOKENS = counter("output_tokens", "Output tokens of answers", ("pool",))


class ModelResource:
    """HTTP resource that serves POST for one kind of model request."""

    def __init__(
        self,
        kind: RequestKind,
        dependencies: RequestDependencies,
        admission: Admission,
        dispatcher: ModelDispatcher,
        live: LiveRequests,
        spans: RequestSpans,
    ):
        self._spans = spans
        self._kind = kind
        self._dependencies = dependencies
        self._admission = admission
        self._dispatcher = dispatcher
        self._live = live

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Run a request and write its answer."""
        req.context.request_id = new_request_id()
        admitted = self._admission.check(req)
        serving = self._serving_request(req, admitted)
        with ExitStack() as stack:
            self._spans.request(serving, admitted.traceparent, stack)
            tokens = serving.prompt_tokens + serving.max_output_tokens
            reservation = self._admission.reserve(admitted, serving, tokens)
            node_id = self._dependencies.members.self_node.id
            replication = RequestReplication(
                self._dependencies.replicator, serving, node_id, self._spans
            )
            run = self._start(serving, reservation, replication, stack.pop_all())
        if serving.stream:
            self._answer_stream(run, replication, resp)
        else:
            self._answer_complete(run, replication, req, resp)

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
            received=self._dependencies.timers.wall_time(),
            prompt_tokens=estimate_prompt_tokens(body),
            max_output_tokens=output_limit(body, allowance),
            priority=allowance.priority,
            hedge=allowance.hedge,
            fingerprint=fingerprint(caller.organisation, admitted.body),
            data_centre=self._dependencies.members.self_node.data_centre,
        )

    def _start(
        self,
        serving: ServingRequest,
        reservation: Reservation,
        replication: RequestReplication,
        span: ExitStack,
    ) -> RequestRun:
        record = RequestRecord(serving)
        control = RunControl()
        steps = self._dispatcher.steps(serving, record.output, control)
        started = self._dependencies.timers.now()

        def end(run: RequestRun) -> None:
            output = record.output
            outcome = output.outcome
            with self._spans.step(serving, "settle"):
                grants = self._dependencies.grants
                settle_charge(grants, reservation, serving, output)
            span.close()
            if outcome is None:
                return  # handed over: the replica is still needed
            replication.drop()
            REQUESTS.labels(self._kind, outcome.tag).inc()
            TOKENS.labels(serving.pool).inc(output.tokens)
            SECONDS.labels(self._kind).observe(
                self._dependencies.timers.now() - started
            )

        return self._live.start(record, steps, control, end)

    def _await_replicas(self, replication: RequestReplication, started: float) -> int:
        waited = self._dependencies.timers.now() - started
        return replication.wait(REPLICA_ACK_TIMEOUT_SECONDS - waited)

    def _answer_stream(
        self, run: RequestRun, replication: RequestReplication, resp: falcon.Response
    ) -> None:
        now = self._dependencies.timers.now
        started = now()
        output = run.record.output
        while output.length == 0 and output.outcome is None:
            if run.moved_address or now() - started >= MAX_HEADER_DELAY_SECONDS:
                break
            run.advance()
        if run.moved_address:
            redirect(resp, run.moved_address, run.record.req.id)
            return
        outcome = output.outcome
        refused = outcome is not None and not isinstance(outcome, Answered)
        if refused and output.length == 0:
            raise outcome_error(outcome)
        replicas = self._await_replicas(replication, started)
        set_stream_headers(resp, run.record)
        resp.set_header(COPIES_HEADER, str(replicas))
        source = DrivenRunSource(self._live, run)
        resp.stream = relay_events(source, 0, now, self._dependencies.timers.wall_time)

    def _answer_complete(
        self,
        run: RequestRun,
        replication: RequestReplication,
        req: falcon.Request,
        resp: falcon.Response,
    ) -> None:
        now = self._dependencies.timers.now
        started = now()
        detector = DisconnectDetector.from_environ(req.env)
        disconnected_since = None
        while run.advance() and not run.moved_address:
            moment = now()
            if detector is None or run.followers or not detector.is_closed(moment):
                disconnected_since = None
                continue
            disconnected_since = disconnected_since or moment
            if moment - disconnected_since > RECONNECT_GRACE_SECONDS:
                run.stop(CALLER_LEFT)
        if run.moved_address:
            redirect(resp, run.moved_address, run.record.req.id)
            return
        replicas = self._await_replicas(replication, started)
        resp.set_header(COPIES_HEADER, str(replicas))
        write_model_answer(run.record, resp)


def set_stream_headers(
    resp: falcon.Response, record: RequestRecord, offset: int = 0
) -> None:
    """Set the headers of an answer that is streamed from an offset on.

    The header of a restarted run is set only at offset 0: a caller that continues the
    text after that must not discard what it has.
    """
    resp.content_type = "text/event-stream"
    resp.set_header("Cache-Control", "no-store")
    resp.set_header(REQUEST_ID_HEADER, record.req.id)
    if record.output.restarted and offset == 0:
        resp.set_header(RESTARTED_HEADER, "true")


def write_model_answer(record: RequestRecord, resp: falcon.Response) -> None:
    """Write a finished model answer; raise CallerError for any other outcome."""
    outcome = record.output.outcome
    if not isinstance(outcome, Answered):
        raise outcome_error(outcome)
    resp.content_type = falcon.MEDIA_JSON
    resp.set_header(REQUEST_ID_HEADER, record.req.id)
    resp.set_header(OUTCOME_HEADER, outcome.tag)
    if record.output.restarted:
        resp.set_header(RESTARTED_HEADER, "true")
    resp.data = AnswerFormat(record.req, record.output).complete_body()


def redirect(resp: falcon.Response, address: str, request_id: str) -> None:
    """Redirect a waiting caller to the node that has its request."""
    resp.status = 303
    resp.set_header("Location", f"{address}/v1/requests/{request_id}")
    resp.set_header(REQUEST_ID_HEADER, request_id)
