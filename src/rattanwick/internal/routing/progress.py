"""Detection of slow streams of this node from their progress."""

from dataclasses import dataclass, field

from rattanwick.internal.routing.messages import ProgressNote
from rattanwick.internal.routing.work_estimates import WorkFeatures, WorkHistory

SLOW_RATIO = 1.5  # a lower ratio is reported only if the stream was slow before
LATE_RATIO = 2.0  # times the usual time to the first token
USUAL_QUANTILE = 0.95


@dataclass(slots=True)
class StreamProgress:
    """Progress of one stream."""

    cell: str
    endpoint_id: str
    features: WorkFeatures
    prompt_tokens: int
    sent_at: float  # monotonic seconds
    has_first_token: bool = False
    slow: bool = False


@dataclass(slots=True)
class ProgressTracker:
    """Track the progress of this node's streams, and make notes on slow ones."""

    streams: dict[str, StreamProgress] = field(default_factory=dict)
    has_reports: bool = False  # whether the request path reports progress

    def report(
        self,
        ticket: str,
        history: WorkHistory,
        first_token_seconds: float | None,
        seconds_between_tokens: float | None,
    ) -> ProgressNote | None:
        """Record a stream's progress; return a note if the owner needs it."""
        stream = self.streams.get(ticket)
        if stream is None:
            return None
        self.has_reports = True
        ratio = None
        if seconds_between_tokens is not None:
            usual = history.rates(stream.features.pool).step.value
            ratio = seconds_between_tokens / usual
        elif first_token_seconds is not None and not stream.has_first_token:
            usual = self._usual_seconds(stream, history)
            ratio = first_token_seconds / usual if usual else None
        stream.has_first_token = True
        return self._note(ticket, stream, ratio)

    def find_late(
        self, history: WorkHistory, cell: str, now: float
    ) -> list[ProgressNote]:
        """Return notes on the streams of a cell whose first token is overdue."""
        if not self.has_reports:
            return []
        notes = []
        for ticket, stream in self.streams.items():
            if stream.has_first_token or stream.cell != cell:
                continue
            usual = self._usual_seconds(stream, history)
            ratio = (now - stream.sent_at) / usual if usual else 0.0
            if ratio >= LATE_RATIO:
                stream.slow = True
                notes.append(
                    ProgressNote(stream.cell, ticket, stream.endpoint_id, ratio)
                )
        return notes

    def _note(
        self, ticket: str, stream: StreamProgress, ratio: float | None
    ) -> ProgressNote | None:
        if ratio is None or (ratio < SLOW_RATIO and not stream.slow):
            return None
        stream.slow = ratio >= SLOW_RATIO
        return ProgressNote(stream.cell, ticket, stream.endpoint_id, ratio)

    @staticmethod
    def _usual_seconds(stream: StreamProgress, history: WorkHistory) -> float | None:
        return history.latency_quantile(
            stream.features, stream.prompt_tokens, USUAL_QUANTILE
        )
