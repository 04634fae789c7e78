"""HTTP resource that resumes or repeats an answer, wherever its request runs."""

import falcon

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.model.request_records import RequestOutput, RequestRecord
from rattanwick.internal.model.requests import RequestKind, ServingRequest
from rattanwick.internal.requests.authentication import authenticate
from rattanwick.internal.requests.caller_errors import CallerError
from rattanwick.internal.requests.dependencies import RequestDependencies
from rattanwick.internal.requests.interfaces import Caller
from rattanwick.internal.requests.model_requests import (
    redirect,
    set_stream_headers,
    write_model_answer,
)
from rattanwick.internal.requests.relay import (
    AnswerSource,
    FollowedRunSource,
    StoredAnswerSource,
    relay_events,
)
from rattanwick.internal.requests.remote_answers import find_answer
from rattanwick.internal.requests.runs import LiveRequests
from rattanwick.internal.requests.service_calls import write_service_answer
from rattanwick.internal.requests.validation import ResumePoint, parse_resume_point

log = get_logger("stored")

MAX_ID_CHARS = 64


class StoredAnswerResource:
    """HTTP resource that serves GET /v1/requests/ID."""

    def __init__(self, dependencies: RequestDependencies, live: LiveRequests):
        self._dependencies = dependencies
        self._live = live

    def on_get(self, req: falcon.Request, resp: falcon.Response, request_id: str):
        """Resume or repeat an answer for the organisation that made the request."""
        caller = authenticate(req, self._dependencies.directory)
        if len(request_id) > MAX_ID_CHARS:
            raise _not_found()
        point = parse_resume_point(
            req.get_param("offset"),
            req.get_param("generation"),
            req.get_header("Last-Event-ID"),
            request_id,
        )
        address = self._live.moved_address(request_id)
        if address:
            redirect(resp, address, request_id + point.query())
            return
        source = self._find_source(request_id, caller)
        offset = self._offset_in(request_id, source.output, point)
        if self._is_streamed(req, source.req):
            set_stream_headers(resp, source.record, offset)
            timers = self._dependencies.timers
            resp.stream = relay_events(source, offset, timers.now, timers.wall_time)
            return
        try:
            self._await_outcome(source)
        finally:
            source.close()
        self._write_answer(source, resp)

    def _find_source(self, request_id: str, caller: Caller) -> AnswerSource:
        record = self._dependencies.requests.get(request_id)
        if record is not None:
            if record.req.organisation != caller.organisation:
                raise _not_found()
            run = self._live.get(request_id)
            if run is not None:
                return FollowedRunSource(run)
            return StoredAnswerSource(record)
        fetcher = self._dependencies.fetcher
        if fetcher is None:
            raise _not_found()
        source = find_answer(fetcher, request_id, caller.organisation)
        if source is None:
            raise _not_found()
        return source

    def _offset_in(
        self, request_id: str, output: RequestOutput, point: ResumePoint
    ) -> int:
        """Return the offset to continue at; 0 if the caller has another text."""
        if not point.offset:
            return 0
        # Without a generation, an offset is only valid if there has been only one.
        single_generation = len(output.generations) == 1 and not output.restarted
        if not point.generation and single_generation:
            return min(point.offset, output.length)
        if output.contains(point.generation, point.offset):
            return point.offset
        log.warning(
            "answer of %s starts again: offset %d of generation %s not in %s of %d",
            request_id,
            point.offset,
            point.generation or "unknown",
            output.generations,
            output.length,
        )
        output.restarted = True
        return 0

    def _is_streamed(self, req: falcon.Request, serving: ServingRequest) -> bool:
        if serving.kind is RequestKind.SERVICE:
            return False
        return serving.stream or "text/event-stream" in (req.accept or "")

    def _await_outcome(self, source: AnswerSource) -> None:
        deadline = source.req.deadline + 5.0
        while source.output.outcome is None and not source.moved_address():
            if self._dependencies.timers.wall_time() > deadline:
                break
            source.advance()

    def _write_answer(self, source: AnswerSource, resp: falcon.Response) -> None:
        record: RequestRecord = source.record
        address = source.moved_address()
        if address:
            redirect(resp, address, record.req.id)
        elif record.output.outcome is None:
            message = "the answer is not complete; ask again"
            raise CallerError(
                503, "not_complete", message, outcome="", headers={"Retry-After": "1"}
            )
        elif record.req.kind is RequestKind.SERVICE:
            outcome = record.output.outcome
            write_service_answer(outcome, record.answer, record.req.id, resp)
        else:
            write_model_answer(record, resp)


def _not_found() -> CallerError:
    message = "ID: no such request, or its answer is no longer kept"
    return CallerError(404, "not_found", message, "ID", outcome="")
