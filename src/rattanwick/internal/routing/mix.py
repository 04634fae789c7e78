"""Share of slots kept for short work, from the mix of the offered work."""

import math
from dataclasses import dataclass, field

MIX_SECONDS = 20.0  # time constant of the averages
RESERVE_DEVIATIONS = 2.5  # about the 99th percentile of slots that short work uses
LONG_MARGIN = 1.1  # long work above its average load, so that its queue drains
SHORT_MARGIN = 1.2


@dataclass(slots=True)
class DecayingSum:
    """Sum amounts that lose weight with time."""

    value: float = 0.0
    updated: float = 0.0  # monotonic seconds

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self.value = self.read(now) + amount
        self.updated = now

    def read(self, now: float) -> float:
        """Return the sum as it weighs now."""
        return self.value * math.exp((self.updated - now) / MIX_SECONDS)


@dataclass(slots=True)
class MixMeter:
    """Measure the slots that short and long work would use on average."""

    short: DecayingSum = field(default_factory=DecayingSum)
    long: DecayingSum = field(default_factory=DecayingSum)
    started: float | None = None  # monotonic seconds

    def add(self, short: bool, work: float, now: float) -> None:
        """Count the work of an arrival, in seconds."""
        if self.started is None:
            self.started = now
        (self.short if short else self.long).add(work, now)

    def loads(self, now: float) -> tuple[float, float]:
        """Return average slots in use by short and by long work."""
        if self.started is None:
            return 0.0, 0.0
        span = MIX_SECONDS * (1 - math.exp((self.started - now) / MIX_SECONDS))
        span = max(span, 1.0)
        return self.short.read(now) / span, self.long.read(now) / span


def long_limit(slots: int, short_load: float, long_load: float) -> int:
    """Return how many slots long work may use at once.

    Short work keeps its average use plus a few deviations, unless long work
    could then not keep up; it always keeps a margin over its average and one
    slot in eight.
    """
    if slots <= 1:
        return slots
    reserve = math.ceil(short_load + RESERVE_DEVIATIONS * math.sqrt(short_load))
    limit = slots - reserve
    least = min(
        math.ceil(long_load * LONG_MARGIN), slots - math.ceil(short_load * SHORT_MARGIN)
    )
    most = slots - max(slots // 8, 1)
    return max(1, min(max(limit, least), most))
