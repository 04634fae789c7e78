"""Decision on each stream of an endpoint that will be reclaimed."""

from dataclasses import dataclass
from enum import StrEnum

from rattanwick.internal.recording.decisions import (
    Decision,
    DecisionKind,
    Recorder,
    decision_function,
)
from rattanwick.internal.routing.messages import Message

STOP_MARGIN_SECONDS = 1.0  # work must end this long before the reclaim
# Streams with fewer tokens to recompute are resumed. Others are exported even if
# recomputing a short prompt would be faster: recomputed tokens are a cost of their own.
MIN_EXPORT_TOKENS = 64
FINISH_MARGIN = 1.2  # times the expected time, which is only a median


class ReclaimAction(StrEnum):
    """What is done with a stream: run to its end, export its KV cache, or resume."""

    FINISH = "finish"
    EXPORT = "export"
    RESUME = "resume"


class ReclaimReason(StrEnum):
    """Reason for the action on a stream."""

    FITS_NOTICE = "fits_notice"
    KEEPS_TOKENS = "keeps_tokens"
    NO_TIME_TO_EXPORT = "no_time_to_export"
    NO_EXPORT = "no_export"
    CHEAP_TO_RECOMPUTE = "cheap_to_recompute"


@dataclass(slots=True)
class StreamState(Message):
    """Stream in flight at a leaving endpoint."""

    request_id: str
    prompt_tokens: int
    output_tokens: int  # produced so far
    expected_tokens: float  # still to be produced
    cached_elsewhere: int = 0  # prompt tokens that another endpoint has cached


@dataclass(slots=True)
class LeavingEndpoint:
    """Endpoint that will be reclaimed, with its streams."""

    endpoint_id: str
    seconds_left: float
    step_seconds: float  # between tokens, as observed there
    can_export: bool
    streams: list[StreamState]
    export_overhead_seconds: float = 0.05  # for each stream
    export_tokens_per_second: float = 20_000.0  # KV cache over the endpoint's link

    def to_message(self) -> dict:
        """Return a map for msgpack."""
        message = {name: getattr(self, name) for name in self.__slots__}
        message["streams"] = [item.to_message() for item in self.streams]
        return message

    @classmethod
    def from_message(cls, message: dict) -> "LeavingEndpoint":
        """Return the endpoint that a map describes."""
        streams = [StreamState.from_message(item) for item in message["streams"]]
        return cls(**{**message, "streams": streams})


@dataclass(slots=True, frozen=True)
class StreamChoice:
    """Action chosen for a stream, and its reason."""

    request_id: str
    action: ReclaimAction
    reason: ReclaimReason


def choose_stream_actions(endpoint: LeavingEndpoint) -> list[StreamChoice]:
    """Return a choice for each stream of a leaving endpoint.

    Streams that are expected to end in time run to their end. The others share
    the link, so those with the most tokens to recompute are exported first, while
    time is left. A resumed stream starts at another endpoint at once and
    recomputes its tokens there.
    """
    seconds = max(endpoint.seconds_left - STOP_MARGIN_SECONDS, 0.0)
    choices = []
    unfinished = []
    for stream in endpoint.streams:
        needed = stream.expected_tokens * endpoint.step_seconds * FINISH_MARGIN
        if needed <= seconds:
            reason = ReclaimReason.FITS_NOTICE
            choices.append(
                StreamChoice(stream.request_id, ReclaimAction.FINISH, reason)
            )
        else:
            unfinished.append(stream)
    unfinished.sort(key=lambda stream: (-recomputed_tokens(stream), stream.request_id))
    for stream in unfinished:
        action, reason, seconds = _choose_move(endpoint, stream, seconds)
        choices.append(StreamChoice(stream.request_id, action, reason))
    return choices


def recomputed_tokens(stream: StreamState) -> int:
    """Return the tokens that another endpoint computes again after a resume."""
    return max(stream.prompt_tokens + stream.output_tokens - stream.cached_elsewhere, 0)


def _choose_move(
    endpoint: LeavingEndpoint, stream: StreamState, seconds: float
) -> tuple[ReclaimAction, ReclaimReason, float]:
    """Return the action, the reason and the seconds left for other exports."""
    if not endpoint.can_export:
        return ReclaimAction.RESUME, ReclaimReason.NO_EXPORT, seconds
    tokens = stream.prompt_tokens + stream.output_tokens
    transfer = tokens / endpoint.export_tokens_per_second
    export = endpoint.export_overhead_seconds + transfer
    if recomputed_tokens(stream) < MIN_EXPORT_TOKENS:
        return ReclaimAction.RESUME, ReclaimReason.CHEAP_TO_RECOMPUTE, seconds
    if export > seconds:
        return ReclaimAction.RESUME, ReclaimReason.NO_TIME_TO_EXPORT, seconds
    return ReclaimAction.EXPORT, ReclaimReason.KEEPS_TOKENS, seconds - export


@decision_function(DecisionKind.RECLAIM)
def replay_reclaim(inputs: dict) -> tuple[object, str]:
    """Repeat a recorded reclaim decision."""
    choices = choose_stream_actions(LeavingEndpoint.from_message(inputs))
    return _as_choice(choices), _main_reason(choices)


def decide_reclaim(endpoint: LeavingEndpoint, recorder: Recorder) -> list[StreamChoice]:
    """Return a choice for each stream of a leaving endpoint, and record them."""
    choices = choose_stream_actions(endpoint)
    recorder.record(
        Decision(
            DecisionKind.RECLAIM,
            endpoint.to_message(),
            _as_choice(choices),
            _main_reason(choices),
        )
    )
    return choices


def _as_choice(choices: list[StreamChoice]) -> list[list[str]]:
    return [[item.request_id, str(item.action), str(item.reason)] for item in choices]


def _main_reason(choices: list[StreamChoice]) -> str:
    """Return the reason of the last choice, recorded for the whole decision."""
    return str(choices[-1].reason) if choices else ""
