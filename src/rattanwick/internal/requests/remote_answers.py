"""Answers of requests that run or ran at another node."""

import gevent

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.outcomes import Unknown
from rattanwick.internal.model.request_records import RequestRecord
from rattanwick.internal.model.requests import ServingRequest
from rattanwick.internal.peers.fetch import FetchReply, FetchState, RequestFetcher
from rattanwick.internal.requests.relay import AnswerSource

FIND_TIMEOUT_SECONDS = 2.0
POLL_TIMEOUT_SECONDS = 1.0  # of a long poll for more text
RETRY_INTERVAL_SECONDS = 0.2
MAX_FAILURES = 30  # in a row


class RemoteAnswerSource(AnswerSource):
    """Source of an answer that another node produces.

    If the request moves, its answer is read from the new serving node.
    """

    def __init__(self, fetcher: RequestFetcher, first_reply: FetchReply):
        self._fetcher = fetcher
        self._failures = 0
        self.record = RequestRecord(ServingRequest.from_message(first_reply.request))
        self._apply(first_reply)

    def advance(self) -> None:
        """Wait for more text."""
        req, output = self.record.req, self.output
        try:
            reply = self._fetcher.fetch(
                req.id,
                req.organisation,
                output.length,
                POLL_TIMEOUT_SECONDS,
                output.generation,
            )
        except StepError as exc:
            self._fail(exc.reason)
            return
        if reply.state is not FetchState.HERE:
            self._fail(f"no node has the request: {reply.state}")
            return
        if reply.mismatch:
            # The text is from another generation, so the relay ends. A caller that
            # resumes is told that the text starts again.
            self.mismatch = True
            return
        self._failures = 0
        self._apply(reply)

    def moved_address(self) -> str:
        """Return empty, since this node follows a request that moves."""
        return ""

    def close(self) -> None:
        """Do nothing; the request goes on at its serving node."""

    def _fail(self, reason: str) -> None:
        """Count a failure; after ``MAX_FAILURES`` the outcome is unknown."""
        self._failures += 1
        if self._failures >= MAX_FAILURES:
            self.output.finish(Unknown(f"holder_lost: {reason}"))
        else:
            gevent.sleep(RETRY_INTERVAL_SECONDS)

    def _apply(self, reply: FetchReply) -> None:
        output = self.output
        output.append(reply.text)
        output.generations = list(reply.generations)
        output.tokens = reply.tokens
        output.restarted = reply.restarted
        if reply.outcome is None:
            return
        self.record.answer = reply.answer
        output.finish(reply.outcome, reply.finish_reason or "stop")


def find_answer(
    fetcher: RequestFetcher, request_id: str, organisation: str
) -> RemoteAnswerSource | None:
    """Return the source of an answer at another node, or None if no node has it."""
    try:
        reply = fetcher.fetch(request_id, organisation, 0, FIND_TIMEOUT_SECONDS)
    except StepError:
        return None
    if reply.state is not FetchState.HERE or not reply.request:
        return None
    return RemoteAnswerSource(fetcher, reply)
