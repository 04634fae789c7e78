"""Progress of the streams of a node: which of them are slow."""

from dataclasses import dataclass, field

from rattanwick.internal.routing.messages import ProgressNote
from rattanwick.internal.routing.work_estimates import Features, WorkHistory

SLOW_RATIO = 1.5  # ratios below it are reported only after one above it
LATE_RATIO = 2.0  # of the usual time to the first token
USUAL_QUANTILE = 0.95


@dataclass(slots=True)
class StreamProgress:
    """Hold how one stream goes."""

    cell: str
    endpoint_id: str
    features: Features
    prompt_tokens: int
    sent: float  # monotonic seconds
    first_token: bool = False
    slow: bool = False


@dataclass(slots=True)
class ProgressTracker:
    """Turn progress into notes for owners, only where something is slow."""

    streams: dict[str, StreamProgress] = field(default_factory=dict)
    in_use: bool = False  # the request path reports progress at all

    def report(
        self,
        ticket: str,
        history: WorkHistory,
        first_token_seconds: float | None,
        seconds_between_tokens: float | None,
    ) -> ProgressNote | None:
        """Take in how a stream goes; return a note where the owner should know."""
        stream = self.streams.get(ticket)
        if stream is None:
            return None
        self.in_use = True
        ratio = None
        if seconds_between_tokens is not None:
            usual = history.rates(stream.features.pool).step.value
            ratio = seconds_between_tokens / usual
        elif first_token_seconds is not None and not stream.first_token:
            usual = self._usual_seconds(stream, history)
            ratio = first_token_seconds / usual if usual else None
        stream.first_token = True
        return self._note(ticket, stream, ratio)

    def late(self, history: WorkHistory, cell: str, now: float) -> list[ProgressNote]:
        """Return notes on streams of a cell whose first token is overdue."""
        if not self.in_use:
            return []
        notes = []
        for ticket, stream in self.streams.items():
            if stream.first_token or stream.cell != cell:
                continue
            usual = self._usual_seconds(stream, history)
            ratio = (now - stream.sent) / usual if usual else 0.0
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
