"""Slots reserved for short work, from the mix of short and long arrivals."""

import math
from dataclasses import dataclass, field

MIX_TIME_CONSTANT_SECONDS = 10.0  # of the moving averages of load
RESERVE_DEVIATIONS = 2.5  # about the 99th percentile of the slots that short work uses
SLOT_TIME_DECAY = 0.995  # weight of a request is multiplied by this with each later one
LONG_MARGIN = 1.1  # times the average load of long work, so that its queue drains
MIN_RESERVE_DEVIATIONS = 1.5  # reserved for short work even if long work must wait


@dataclass(slots=True)
class DecayingSum:
    """Sum of amounts whose weight decays exponentially with time."""

    value: float = 0.0
    updated: float = 0.0  # monotonic seconds

    def add(self, amount: float, now: float) -> None:
        """Add an amount, dated ``now``."""
        self.value = self.read(now) + amount
        self.updated = now

    def read(self, now: float) -> float:
        """Return the sum, decayed to ``now``."""
        return self.value * math.exp((self.updated - now) / MIX_TIME_CONSTANT_SECONDS)


@dataclass(slots=True)
class SlotTimeRatio:
    """Mean of slot time divided by estimated work.

    Slot time is the time for which a request holds its slot. The ratio is above 1
    because of network delays, work above its median and slow endpoints.
    """

    work: float = 0.0
    slot_time: float = 0.0

    @property
    def value(self) -> float:
        """Return the ratio, or 1 if no request was added."""
        return self.slot_time / self.work if self.work > 0 else 1.0

    def add(self, work: float, slot_time: float) -> None:
        """Add one request, in seconds; older requests have less weight."""
        self.work = self.work * SLOT_TIME_DECAY + work
        self.slot_time = self.slot_time * SLOT_TIME_DECAY + slot_time


@dataclass(slots=True)
class WorkloadMix:
    """Estimates, from arrivals, how many slots short and long work need on average."""

    short: DecayingSum = field(default_factory=DecayingSum)
    long: DecayingSum = field(default_factory=DecayingSum)
    started: float | None = None  # monotonic seconds
    short_ratio: SlotTimeRatio = field(default_factory=SlotTimeRatio)
    long_ratio: SlotTimeRatio = field(default_factory=SlotTimeRatio)

    def add(self, short: bool, work: float, now: float) -> None:
        """Add the estimated work of an arrival, in seconds."""
        if self.started is None:
            self.started = now
        (self.short if short else self.long).add(work, now)

    def average_slots(self, now: float) -> tuple[float, float]:
        """Return the average slots that short work and long work need."""
        if self.started is None:
            return 0.0, 0.0
        span = MIX_TIME_CONSTANT_SECONDS * (
            1 - math.exp((self.started - now) / MIX_TIME_CONSTANT_SECONDS)
        )
        span = max(span, 1.0)
        short = self.short.read(now) / span * self.short_ratio.value
        return short, self.long.read(now) / span * self.long_ratio.value

    def slot_time_ratio(self, short: bool) -> float:
        """Return the mean of slot time divided by estimated work, for a class."""
        return (self.short_ratio if short else self.long_ratio).value

    def add_slot_time(self, short: bool, work: float, slot_time: float) -> None:
        """Add the time that a slot was held for a request's work, both in seconds."""
        (self.short_ratio if short else self.long_ratio).add(work, slot_time)


def max_long_slots(
    slots: int, short_load: float, long_load: float, weight_short: float = 1.0
) -> int:
    """Return the number of slots that long work may use at once.

    Short work keeps the slots that it needs on average plus some standard deviations.
    It keeps fewer deviations if long work could not keep up otherwise, but always
    one slot in eight.
    """
    if slots <= 1:
        return slots
    deviations = RESERVE_DEVIATIONS * weight_short
    reserve = math.ceil(short_load + deviations * math.sqrt(short_load))
    limit = slots - reserve
    deviations = MIN_RESERVE_DEVIATIONS * weight_short
    min_reserve = math.ceil(short_load + deviations * math.sqrt(short_load))
    min_limit = min(math.ceil(long_load * LONG_MARGIN), slots - min_reserve)
    max_limit = slots - max(slots // 8, 1)
    return max(1, min(max(limit, min_limit), max_limit))
