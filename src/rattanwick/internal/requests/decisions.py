"""Decisions of the request path, each a function of its recorded inputs."""

from dataclasses import dataclass
from enum import StrEnum

from rattanwick.internal.recording.decisions import (
    Decision,
    DecisionKind,
    Recorder,
    decision_function,
)


class AdmissionReason(StrEnum):
    """Reasons to admit or refuse a request; a refusing grant has its own reasons."""

    ADMITTED = "admitted"
    DRAINING = "draining"
    UNAUTHORISED = "unauthorised"
    NODE_FULL = "node_full"
    NO_ALLOWANCE = "no_allowance"
    DEADLINE = "deadline"


class AttemptChoice(StrEnum):
    """What follows a failed attempt of a model request."""

    AGAIN = "again"
    ASK_BUDGET = "ask_budget"  # attempt again if the retry budget allows it
    STOP = "stop"


class AttemptReason(StrEnum):
    """Reasons for another attempt of a model request, or for stopping."""

    REFUSED_BY_ENDPOINT = "refused_by_endpoint"
    DEADLINE = "deadline"
    RESUMED = "resumed"
    ENDPOINT_LEAVING = "endpoint_leaving"
    NOT_SENT = "not_sent"
    UNAVAILABLE = "unavailable"
    RETRY = "retry"


class CrashReason(StrEnum):
    """Reasons to refuse or run a request that may crash endpoints."""

    CRASHES_ENDPOINTS = "crashes_endpoints"
    TOO_FEW_CRASHES = "too_few_crashes"


class CallChoice(StrEnum):
    """What follows a failed attempt to send a service call."""

    AGAIN = "again"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class CallReason(StrEnum):
    """Reasons to send a service call again or to end it."""

    MAY_HAVE_RUN = "may_have_run"
    DEADLINE = "deadline"
    CLAIM_OVER = "claim_over"
    NO_ENDPOINT = "no_endpoint"
    NOT_SENT = "not_sent"


@dataclass(slots=True)
class AdmissionInputs:
    """Inputs of the admission of a request; None for a check not made yet."""

    draining: bool
    in_flight: int = 0
    max_in_flight: int = 0
    caller_known: bool | None = None
    has_allowance: bool | None = None
    grant_refusal: str | None = None  # reason; empty once tokens are reserved
    seconds_left: float | None = None  # until the deadline
    # These identify the request in the record; the decision does not read them.
    organisation: str = ""
    plan: str = ""
    pool: str = ""
    tokens: int = 0
    unrecorded: int = 0  # earlier refusals of unknown callers, not recorded

    def to_message(self) -> dict:
        """Return the fields as a map for msgpack."""
        return {name: getattr(self, name) for name in self.__slots__}


@decision_function(DecisionKind.ADMIT)
def decide_admission(inputs: dict) -> tuple[bool, str]:
    """Return (whether to admit the request, reason); a check not made yet passes."""
    if inputs["draining"]:
        return False, AdmissionReason.DRAINING
    if inputs["caller_known"] is False:
        return False, AdmissionReason.UNAUTHORISED
    if inputs["in_flight"] >= inputs["max_in_flight"]:
        return False, AdmissionReason.NODE_FULL
    if inputs["has_allowance"] is False:
        return False, AdmissionReason.NO_ALLOWANCE
    if inputs["grant_refusal"]:
        return False, inputs["grant_refusal"]
    if inputs["seconds_left"] is not None and inputs["seconds_left"] <= 0:
        return False, AdmissionReason.DEADLINE
    return True, AdmissionReason.ADMITTED


@decision_function(DecisionKind.ATTEMPT)
def decide_attempt(inputs: dict) -> tuple[str, str]:
    """Return what follows a failed attempt of a model request, and the reason.

    Inputs: ``refused`` (the endpoint will not run this request body),
    ``seconds_left`` (until the deadline), ``has_text`` (the request has produced
    text), ``endpoint_leaving``, ``lost`` (the connection was lost), ``sent`` (the
    endpoint may have received the request), ``unavailable`` (the endpoint did not
    run it).

    A resumed stream does not use the retry budget: when a data centre is reclaimed,
    all its streams resume at once and would exhaust the budget. An attempt that
    cost no endpoint any work does not use it either.
    """
    if inputs["refused"]:
        return AttemptChoice.STOP, AttemptReason.REFUSED_BY_ENDPOINT
    if inputs["seconds_left"] <= 0:
        return AttemptChoice.STOP, AttemptReason.DEADLINE
    if inputs["has_text"]:
        return AttemptChoice.AGAIN, AttemptReason.RESUMED
    if inputs["endpoint_leaving"]:
        return AttemptChoice.AGAIN, AttemptReason.ENDPOINT_LEAVING
    if inputs["lost"] and not inputs["sent"]:
        return AttemptChoice.AGAIN, AttemptReason.NOT_SENT
    if inputs["unavailable"]:
        return AttemptChoice.AGAIN, AttemptReason.UNAVAILABLE
    return AttemptChoice.ASK_BUDGET, AttemptReason.RETRY


@decision_function(DecisionKind.CRASH)
def decide_crash_refusal(inputs: dict) -> tuple[bool, str]:
    """Return (whether to refuse a request that may crash endpoints, reason).

    Inputs: ``loss_ages`` (seconds since each endpoint was lost while it ran the
    request), ``allowed`` (lost endpoints at which the request is refused),
    ``remembered_seconds`` (age from which a loss no longer counts).
    """
    limit = inputs["remembered_seconds"]
    recent = sum(1 for age in inputs["loss_ages"] if age < limit)
    if recent >= inputs["allowed"]:
        return True, CrashReason.CRASHES_ENDPOINTS
    return False, CrashReason.TOO_FEW_CRASHES


@decision_function(DecisionKind.CALL)
def decide_call(inputs: dict) -> tuple[str, str]:
    """Return what follows a failed attempt to send a service call, and the reason.

    Inputs: ``not_run`` (the call provably did not run), ``seconds_left`` (until the
    deadline), ``may_dispatch`` (the claim still permits it), ``placements_left``
    (further endpoints that may be tried).
    """
    if not inputs["not_run"]:
        return CallChoice.UNKNOWN, CallReason.MAY_HAVE_RUN
    if inputs["seconds_left"] <= 0:
        return CallChoice.NOT_RUN, CallReason.DEADLINE
    if not inputs["may_dispatch"]:
        return CallChoice.NOT_RUN, CallReason.CLAIM_OVER
    if inputs["placements_left"] <= 0:
        return CallChoice.NOT_RUN, CallReason.NO_ENDPOINT
    return CallChoice.AGAIN, CallReason.NOT_SENT


def record_decision(
    recorder: Recorder,
    kind: DecisionKind,
    inputs: dict,
    decided: tuple[object, str],
    request_id: str,
) -> None:
    """Record what a decision function returned, with its inputs."""
    choice, reason = decided
    recorder.record(Decision(kind, inputs, choice, reason, request_id))
