"""Resource that resumes or repeats an answer, wherever the request runs."""

import falcon

from rattanwick.internal.model.requests import RequestKind, ServingRequest
from rattanwick.internal.model.transcripts import RequestRecord
from rattanwick.internal.requests.caller_errors import CallerError
from rattanwick.internal.requests.chat import (
    answer_whole,
    redirect,
    set_stream_headers,
)
from rattanwick.internal.requests.fetch import AnswerFetch
from rattanwick.internal.requests.identity import authenticate
from rattanwick.internal.requests.interfaces import Caller
from rattanwick.internal.requests.relay import (
    AnswerSource,
    FollowedRun,
    KeptRecord,
    relay_events,
)
from rattanwick.internal.requests.runs import LiveRequests
from rattanwick.internal.requests.service_calls import answer_service
from rattanwick.internal.requests.services import RequestServices
from rattanwick.internal.requests.validation import read_offset

MAX_ID_CHARS = 64


class StoredAnswerResource:
    """Answer GET /v1/requests/ID."""

    def __init__(
        self, services: RequestServices, live: LiveRequests, fetch: AnswerFetch
    ):
        self._services = services
        self._live = live
        self._fetch = fetch

    def on_get(self, req: falcon.Request, resp: falcon.Response, request_id: str):
        """Resume or repeat an answer for the organisation that asked for it."""
        caller = authenticate(req, self._services.directory)
        if len(request_id) > MAX_ID_CHARS:
            raise _not_found()
        offset = read_offset(
            req.get_param("offset"), req.get_header("Last-Event-ID"), request_id
        )
        address = self._live.moved_address(request_id)
        if address:
            if offset:
                request_id = f"{request_id}?offset={offset}"
            redirect(resp, address, request_id)
            return
        source = self._source(request_id, caller)
        if source.transcript.restarted:
            offset = 0  # the text before the offset may have been another one
        if self._is_streamed(req, source.req):
            set_stream_headers(resp, source.record)
            timers = self._services.timers
            resp.stream = relay_events(source, offset, timers.now, timers.wall)
            return
        try:
            self._await_outcome(source)
        finally:
            source.close()
        self._answer(source, resp)

    def _source(self, request_id: str, caller: Caller) -> AnswerSource:
        record = self._services.table.get(request_id)
        if record is not None:
            if record.req.organisation != caller.organisation:
                raise _not_found()
            run = self._live.get(request_id)
            if run is not None:
                return FollowedRun(run)
            return KeptRecord(record)
        found = self._fetch.find(request_id, caller.organisation)
        if found is None:
            raise _not_found()
        return found

    def _is_streamed(self, req: falcon.Request, serving: ServingRequest) -> bool:
        if serving.kind is RequestKind.SERVICE:
            return False
        return serving.stream or "text/event-stream" in (req.accept or "")

    def _await_outcome(self, source: AnswerSource) -> None:
        deadline = source.req.deadline + 5.0
        while source.transcript.outcome is None and not source.moved_address():
            if self._services.timers.wall() > deadline:
                break
            source.advance()

    def _answer(self, source: AnswerSource, resp: falcon.Response) -> None:
        record: RequestRecord = source.record
        address = source.moved_address()
        if address:
            redirect(resp, address, record.req.id)
        elif record.transcript.outcome is None:
            message = "the answer is not complete; ask again"
            raise CallerError(
                503, "not_complete", message, outcome="", headers={"Retry-After": "1"}
            )
        elif record.req.kind is RequestKind.SERVICE:
            outcome = record.transcript.outcome
            answer_service(outcome, record.answer, record.req.id, resp)
        else:
            answer_whole(record, resp)


def _not_found() -> CallerError:
    message = "ID: no such request, or its answer is not kept any more"
    return CallerError(404, "not_found", message, "ID", outcome="")
