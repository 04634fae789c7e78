"""Share of slots kept for short work, from the mix of the offered work."""

import math
from dataclasses import dataclass, field

MIX_SECONDS = 10.0  # time constant of the averages
RESERVE_DEVIATIONS = 2.5  # about the 99th percentile of slots that short work uses
HELD_MEMORY = 0.995  # weight that is left of a request after the next one
LONG_MARGIN = 1.1  # long work above its average load, so that its queue drains
LEAST_DEVIATIONS = 1.5  # kept for short work although long work must wait


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
class HeldRatio:
    """Hold the mean time that slots are held over the estimated work.

    It is above 1 by the links, by work that is not like its median, and by slow
    endpoints.
    """

    work: float = 0.0
    held: float = 0.0

    @property
    def value(self) -> float:
        """Return the ratio; 1 where nothing is known."""
        return self.held / self.work if self.work > 0 else 1.0

    def add(self, work: float, held: float) -> None:
        """Take in one request; older ones weigh less."""
        self.work = self.work * HELD_MEMORY + work
        self.held = self.held * HELD_MEMORY + held


@dataclass(slots=True)
class WorkloadMix:
    """Measure the slots that short and long work would use on average."""

    short: DecayingSum = field(default_factory=DecayingSum)
    long: DecayingSum = field(default_factory=DecayingSum)
    started: float | None = None  # monotonic seconds
    short_held: HeldRatio = field(default_factory=HeldRatio)
    long_held: HeldRatio = field(default_factory=HeldRatio)

    def add(self, short: bool, work: float, now: float) -> None:
        """Count the work of an arrival, in seconds."""
        if self.started is None:
            self.started = now
        (self.short if short else self.long).add(work, now)

    def average_slots(self, now: float) -> tuple[float, float]:
        """Return average slots in use by short and by long work."""
        if self.started is None:
            return 0.0, 0.0
        span = MIX_SECONDS * (1 - math.exp((self.started - now) / MIX_SECONDS))
        span = max(span, 1.0)
        short = self.short.read(now) / span * self.short_held.value
        return short, self.long.read(now) / span * self.long_held.value

    def slot_time_ratio(self, short: bool) -> float:
        """Return the time that slots are held over the estimated work."""
        return (self.short_held if short else self.long_held).value

    def add_slot_time(self, short: bool, work: float, held: float) -> None:
        """Take in how long a slot was held for estimated work, in seconds."""
        (self.short_held if short else self.long_held).add(work, held)


def max_long_slots(
    slots: int, short_load: float, long_load: float, weight_short: float = 1.0
) -> int:
    """Return how many slots long work may use at once.

    Short work keeps its average use plus a few deviations, unless long work
    could then not keep up; it always keeps a margin over its average and one
    slot in eight.
    """
    if slots <= 1:
        return slots
    deviations = RESERVE_DEVIATIONS * weight_short
    reserve = math.ceil(short_load + deviations * math.sqrt(short_load))
    limit = slots - reserve
    deviations = LEAST_DEVIATIONS * weight_short
    least_reserve = math.ceil(short_load + deviations * math.sqrt(short_load))
    least = min(math.ceil(long_load * LONG_MARGIN), slots - least_reserve)
    most = slots - max(slots // 8, 1)
    return max(1, min(max(limit, least), most))
