"""Queue admission: refusal of requests that cannot meet their deadline."""

from dataclasses import dataclass
from enum import StrEnum

from rattanwick.internal.recording.decisions import DecisionKind, decision_function
from rattanwick.internal.routing.messages import Message

# Estimates are medians and more urgent work may still arrive, so the wait may be
# twice the estimate. The margin also keeps the queue short after an overload.
WAIT_MARGIN = 2.0


class QueueAdmissionReason(StrEnum):
    """Reason for queueing or refusing a request."""

    FITS = "fits"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no_endpoint"


@dataclass(slots=True)
class QueueAdmissionInputs(Message):
    """Inputs of the decision to queue or refuse a request."""

    endpoints: int  # number that may run the request
    slots: int  # number that its class may use
    work_ahead: float  # seconds of work that runs before it
    work: float  # seconds of its own work, median
    seconds_left: float


def decide_queue_admission(inputs: QueueAdmissionInputs) -> tuple[bool, str]:
    """Return (whether to queue, reason)."""
    if inputs.endpoints == 0:
        return False, QueueAdmissionReason.NO_ENDPOINT
    wait = inputs.work_ahead / max(inputs.slots, 1)
    if wait * WAIT_MARGIN + inputs.work > inputs.seconds_left:
        return False, QueueAdmissionReason.DEADLINE
    return True, QueueAdmissionReason.FITS


@decision_function(DecisionKind.REFUSE)
def replay_queue_admission(inputs: dict) -> tuple[object, str]:
    """Repeat a recorded refusal."""
    return decide_queue_admission(QueueAdmissionInputs.from_message(inputs))
