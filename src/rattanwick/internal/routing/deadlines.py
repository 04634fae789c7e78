"""Early refusal of requests that cannot meet their deadline."""

from dataclasses import dataclass
from enum import StrEnum

from rattanwick.internal.recording.decisions import DecisionKind, decides
from rattanwick.internal.routing.messages import Message


class AdmissionReason(StrEnum):
    """Tell why a request was queued or refused."""

    FITS = "fits"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no_endpoint"


@dataclass(slots=True)
class AdmissionInputs(Message):
    """Hold all that the refusal of a request is decided from."""

    endpoints: int  # that may run it
    slots: int  # that its class may use
    work_ahead: float  # seconds of work that runs before it
    work: float  # seconds, median
    seconds_left: float


def decide_admission(inputs: AdmissionInputs) -> tuple[bool, str]:
    """Return (whether to queue, reason)."""
    if inputs.endpoints == 0:
        return False, AdmissionReason.NO_ENDPOINT
    wait = inputs.work_ahead / max(inputs.slots, 1)
    if wait + inputs.work > inputs.seconds_left:
        return False, AdmissionReason.DEADLINE
    return True, AdmissionReason.FITS


@decides(DecisionKind.REFUSE)
def replay_admission(inputs: dict) -> tuple[object, str]:
    """Run a recorded refusal again."""
    return decide_admission(AdmissionInputs.from_message(inputs))
