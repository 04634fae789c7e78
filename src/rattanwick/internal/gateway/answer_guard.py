"""Guarantee that a request that was read gets an answer, whatever ends it."""

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.gateway.active_request import (
    CallerConnectionClosed,
    CallerStalled,
    NodeStopping,
    Phase,
    ResponseAborted,
    ResponseWriter,
)
from rattanwick.internal.gateway.interfaces import MessageCodec
from rattanwick.internal.gateway.placement import (
    MIN_RETRY_AFTER_SECONDS,
    RefusalReason,
)
from rattanwick.internal.gateway.planned_stop import (
    STOPPING_RETRY_AFTER_SECONDS,
    PlannedStop,
)
from rattanwick.internal.gateway.unanswered import log_unanswered

log = get_logger("callers")

exceptions_total = counter(
    "relay_unexpected_exceptions",
    "Requests that an unexpected exception ended, by phase",
    ("phase",),
)
ended_by_stop_total = counter(
    "relay_requests_ended_by_stop",
    "Requests that were answered because the process ends, by phase",
    ("phase",),
)


class AnswerGuard:
    """Answers to requests that ended with an exception instead of an answer."""

    def __init__(self, codec: MessageCodec, stop: PlannedStop):
        self._codec = codec
        self._stop = stop

    def answer(
        self, call_id: str, phase: Phase, response: ResponseWriter, exc: BaseException
    ) -> None:
        """Answer a request that ended with an exception.

        The status is 503 if the request has certainly not run, otherwise 504 at the end
        of a stop and 502 after an unexpected exception. A response that has started is
        not continued: the caller must see it break off.
        """
        if isinstance(exc, CallerConnectionClosed):
            if isinstance(exc, ResponseAborted | CallerStalled):
                self._log_unanswered(call_id, phase, response, exc)
            elif not response.started:
                self._answer_closed_caller(call_id, response)
            return
        ran = _may_have_run(response)
        if isinstance(exc, NodeStopping):
            ended_by_stop_total.labels(str(phase)).inc()
            status, reason = 504 if ran else 503, RefusalReason.NODE_STOPPING
            retry_after = None if ran else STOPPING_RETRY_AFTER_SECONDS
            self._send(call_id, phase, response, exc, status, reason, retry_after)
            log.info(
                "ended",
                extra={
                    "request": call_id,
                    "outcome": f"ended_by_stop: {phase}",
                    "status": status,
                    "may_have_run": ran,
                },
            )
            return
        exceptions_total.labels(str(phase)).inc()
        status, retry_after = (502, None) if ran else (503, MIN_RETRY_AFTER_SECONDS)
        # The answer comes before the log, which may fail on such an exception, too.
        self._send(call_id, phase, response, exc, status, "internal_error", retry_after)
        log.error(
            "ended",
            extra={
                "request": call_id,
                "outcome": f"exception: {_describe(exc)}",
                "status": status,
                "phase": str(phase),
            },
            exc_info=exc,
        )

    def _answer_closed_caller(self, call_id: str, response: ResponseWriter) -> None:
        """Answer a caller that may have closed only its sending side.

        The two ways of closing cannot be distinguished, so the work has ended.
        """
        status = 502 if _may_have_run(response) else 503
        headers, body = self._codec.encode_refusal(
            call_id, status, "connection_closed", None
        )
        response.closes = True
        try:
            response.send_complete(status, headers, body)
        except CallerConnectionClosed as exc:
            log.debug("caller is gone", extra={"request": call_id, "reason": str(exc)})

    def _send(
        self,
        call_id: str,
        phase: Phase,
        response: ResponseWriter,
        exc: BaseException,
        status: int,
        reason: str,
        retry_after: float | None,
    ) -> None:
        """Send an answer, or log that there is none if a response has started."""
        if response.started:
            self._log_unanswered(call_id, phase, response, exc)
            return
        headers, body = self._codec.encode_refusal(call_id, status, reason, retry_after)
        response.closes = True
        try:
            response.send_complete(status, headers, body)
        except Exception as failure:
            self._log_unanswered(call_id, phase, response, failure)

    def _log_unanswered(
        self,
        call_id: str,
        phase: Phase,
        response: ResponseWriter,
        exc: BaseException,
    ) -> None:
        log_unanswered(call_id, phase, _describe(exc), response.status, self._stop)


def _describe(exc: BaseException) -> str:
    """Return an exception as text, or only its type if it cannot be printed."""
    try:
        return repr(exc)
    except Exception:
        return type(exc).__name__


def _may_have_run(response: ResponseWriter) -> bool:
    return response.request is not None and response.request.may_have_run
