"""Errors that callers get, each with the invalid field and an outcome."""

import json

import falcon

from rattanwick.internal.base.outcomes import NotRun, Outcome

REQUEST_ID_HEADER = "Rattanwick-Request-Id"
OUTCOME_HEADER = "Rattanwick-Outcome"
COPIES_HEADER = "Rattanwick-Copies"
RESTARTED_HEADER = "Rattanwick-Restarted"
DEADLINE_HEADER = "Rattanwick-Deadline-Ms"
ORGANISATION_HEADER = "Rattanwick-Organisation"

STATUS_OF_REASON = {
    "no_allowance": 403,
    "allowance_exhausted": 429,
    "larger_than_allowance": 403,
    "refused_by_endpoint": 400,
    "deadline": 504,
    "key_in_progress": 409,
    "key_with_other_body": 422,
}
STATUS_OF_TAG = {"not_run": 503, "failed": 502, "unknown": 504}


class CallerError(Exception):
    """Error response to a caller; by default its outcome is ``not_run``."""

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        field: str = "",
        outcome: str = NotRun.tag,
        headers: dict[str, str] | None = None,
    ):
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.field = field
        self.outcome = outcome  # empty for a response without an outcome
        self.headers = headers or {}


def invalid(field: str, message: str, status: int = 400) -> CallerError:
    """Return the error for a value that cannot be accepted."""
    return CallerError(status, "invalid_request", f"{field}: {message}", field)


def error_body(message: str, code: str, field: str = "") -> dict:
    """Return an error body in the widely used chat-completion format."""
    kind = "invalid_request_error" if code == "invalid_request" else "server_error"
    error = {"message": message, "type": kind, "code": code, "param": field or None}
    return {"error": error}


def outcome_status(outcome: Outcome) -> int:
    """Return the HTTP status for an outcome that is not ``answered``."""
    reason = getattr(outcome, "reason", "").split(":")[0]
    return STATUS_OF_REASON.get(reason, STATUS_OF_TAG.get(outcome.tag, 200))


def outcome_message(outcome: Outcome) -> str:
    """Return a message that explains an outcome."""
    meaning = {
        "not_run": "the call did not run and will not run",
        "failed": "the call started but gave no complete answer",
        "unknown": "it is not known whether the call ran; do not assume either",
    }
    return f"{meaning[outcome.tag]}: {outcome.reason}"


def outcome_error(outcome: Outcome) -> CallerError:
    """Return the error response for an outcome that is not ``answered``."""
    headers = {}
    retry_after = getattr(outcome, "retry_after", None)
    if retry_after is not None:
        headers["Retry-After"] = str(max(1, round(retry_after)))
    return CallerError(
        outcome_status(outcome),
        outcome.reason.split(":")[0],
        outcome_message(outcome),
        outcome=outcome.tag,
        headers=headers,
    )


def answer_caller_error(
    req: falcon.Request, resp: falcon.Response, exc: CallerError, params: dict
) -> None:
    """Write an error as the response."""
    resp.status = exc.status
    resp.content_type = falcon.MEDIA_JSON
    resp.data = json.dumps(error_body(exc.message, exc.code, exc.field)).encode()
    request_id = getattr(req.context, "request_id", "")
    if request_id:
        resp.set_header(REQUEST_ID_HEADER, request_id)
    if exc.outcome:
        resp.set_header(OUTCOME_HEADER, exc.outcome)
    for name, value in exc.headers.items():
        resp.set_header(name, value)
