"""Capacity plan: how many endpoints of each class a data centre should have."""

from collections import Counter
from dataclasses import dataclass, field, replace
from math import ceil

from rattanwick.internal.gateway.model import ScalingSpec

# Engines assumed to be needed before the load is known. The assumption grows with the
# number of nodes, since large deployments have more load: that of 6 nodes needed 8
# engines, that of 80 nodes (550,000 prompt tokens per second) needed 29. With too few
# at the start, the 29 were ordered only after a first reclaim had taken 14.
START_ENGINES = 8
START_ENGINES_PER_NODE = 0.375
MIN_ENGINES = 4
# Reclaimable endpoints for each engine needed. They cost about a fifth of the full
# price, a reclaim takes a third of them, and they are already booted when a burst
# comes. They also keep queues shorter than the needed engines alone would.
RECLAIMABLE_RATIO = 2.75
# Above this share of the full price, spare reclaimable endpoints cost more than the
# late requests that they prevent.
EXPENSIVE_PRICE_SHARE = 0.6
EXPENSIVE_RECLAIMABLE_RATIO = 0.8
# Full-price endpoints that are always ordered, one in each of the cheapest data
# centres; they are never reclaimed.
MIN_FULL_PRICE_ENDPOINTS = 2
# After a reclaim, only this share of the other reclaimable endpoints is counted:
# reclaims come in waves over the data centres, faster than replacements boot.
RECLAIM_WAVE_SHARE = 0.5
RECLAIM_WAVE_SECONDS = 8.0  # time after a reclaim in which others are likely
# Time after a reclaim in which its data centre has no reclaimable endpoints.
RECLAIM_PAUSE_SECONDS = 2.0
# Time between orders while orders are declined. Each call is billed, but costs far
# less than a second of the full-price endpoints that replace reclaimable ones until
# then.
DECLINED_RETRY_INTERVAL_SECONDS = 1.0
SHRINK_SECONDS = 3.0  # a lower number must suffice for this long to be ordered
ORDER_RETRY_INTERVAL_SECONDS = 9.0  # after it, an order without effect is repeated


@dataclass(slots=True, frozen=True)
class ClassCount:
    """Number of endpoints of one class that serve in a data centre."""

    data_centre: str
    reclaimable: bool
    live: int


@dataclass(slots=True, frozen=True)
class DesiredCount:
    """Number of endpoints of one class that a data centre should have."""

    data_centre: str
    reclaimable: bool
    count: int


@dataclass(slots=True)
class ReclaimableAvailability:
    """Supply of reclaimable endpoints, learned from reclaims and declined orders.

    Reclaimable endpoints are usually short in all data centres at once. So while orders
    are declined, one data centre is tried at a time, the one declined longest ago.
    """

    # All times are in monotonic seconds. By data centre: end of the pause after its
    # last reclaim.
    reclaimed_until: dict[str, float] = field(default_factory=dict)
    wave_until: float = 0.0  # time until which further reclaims are likely
    # By data centre: the last declined order, if none was accepted since.
    _declined: dict[str, float] = field(default_factory=dict)

    def note_reclaim(self, data_centre: str, now: float) -> None:
        """Record that a data centre's reclaimable endpoints are being reclaimed."""
        self.reclaimed_until[data_centre] = now + RECLAIM_PAUSE_SECONDS
        self.wave_until = now + RECLAIM_WAVE_SECONDS

    def note_declined(self, data_centre: str, now: float) -> None:
        """Record that an order for reclaimable endpoints was declined."""
        self._declined[data_centre] = now

    def note_accepted(self) -> None:
        """Record that an order for reclaimable endpoints was accepted."""
        self._declined.clear()

    def is_available(self, data_centre: str, now: float) -> bool:
        """Return whether a data centre had no reclaim recently."""
        return now >= self.reclaimed_until.get(data_centre, 0.0)

    def centres_to_try(self, centres: list[str], now: float) -> list[str]:
        """Return the data centres where reclaimable endpoints may be ordered now."""
        available = [name for name in centres if self.is_available(name, now)]
        if not available or not self._declined:
            return available
        if now - max(self._declined.values()) < DECLINED_RETRY_INTERVAL_SECONDS:
            return []
        return [min(available, key=lambda name: self._declined.get(name, 0.0))]


def engines_needed(
    tokens_per_second: float | None,
    prefill_rate: float,
    utilisation: float,
    nodes: int,
) -> int:
    """Return the number of engines needed for a load of prompt tokens.

    ``tokens_per_second`` is None before the load is known. Above the share
    ``utilisation`` of an engine's ``prefill_rate``, requests miss their objectives.
    """
    if tokens_per_second is None:
        return max(START_ENGINES, round(START_ENGINES_PER_NODE * nodes))
    needed = ceil(tokens_per_second / (prefill_rate * utilisation))
    return max(needed, MIN_ENGINES)


def plan_capacity(
    needed: int,
    scaling: ScalingSpec,
    counts: list[ClassCount],
    availability: ReclaimableAvailability,
    now: float,
    idle: bool = False,
    unusable: Counter[tuple[str, bool]] | None = None,
) -> list[DesiredCount]:
    """Return the desired counts of all data centres and classes.

    A few full-price endpoints survive any reclaim. The others are reclaimable while
    such endpoints are available, and full-price otherwise. ``idle`` means that no
    request has arrived yet: full-price endpoints then need not serve while the
    reclaimable ones boot. ``unusable`` endpoints, by data centre and whether
    reclaimable, take up room but serve nothing.
    """
    unusable = unusable or Counter()
    prices = scaling.data_centre_prices
    centres = sorted(prices, key=lambda name: (prices[name], name))
    room = {
        name: scaling.max_endpoints - unusable[name, False] - unusable[name, True]
        for name in centres
    }
    live = Counter({c.data_centre: c.live for c in counts if c.reclaimable})
    live.subtract({name: unusable[name, True] for name in centres})
    # Reclaimable endpoints that do not serve yet are no capacity. Until they do, the
    # full-price ones that replace them count against a data centre's limit.
    serving = sum(live.values())
    if now < availability.wave_until:
        serving = int(RECLAIM_WAVE_SHARE * serving)
    full_price_counts = _min_full_price_counts(scaling, centres, room)
    if not idle:
        # Reclaimable endpoints that serve are kept: their replacements would need
        # seconds to boot.
        left = {name: room[name] - live[name] for name in centres}
        _add_full_price(full_price_counts, needed - serving, centres, prices, left)
    reclaimable_counts = dict.fromkeys(centres, 0)
    if scaling.reclaimable_price is not None:
        is_expensive = scaling.reclaimable_price > EXPENSIVE_PRICE_SHARE
        wanted = ceil(
            (EXPENSIVE_RECLAIMABLE_RATIO if is_expensive else RECLAIMABLE_RATIO)
            * needed
        )
        _spread_reclaimable(
            wanted,
            centres,
            full_price_counts,
            reclaimable_counts,
            room,
            availability,
            now,
        )
    growing = [name for name in centres if reclaimable_counts[name] > live[name]]
    postponed = set(growing) - set(availability.centres_to_try(growing, now))
    return [
        DesiredCount(name, reclaimable, count[name] + unusable[name, reclaimable])
        for reclaimable, count in (
            (False, full_price_counts),
            (True, reclaimable_counts),
        )
        for name in centres
        # While no reclaimable endpoints are available, their order is left unchanged.
        if not reclaimable
        or (availability.is_available(name, now) and name not in postponed)
    ]


def keep_live_endpoints(
    plan: list[DesiredCount], counts: list[ClassCount]
) -> list[DesiredCount]:
    """Return a plan that removes no endpoint that serves."""
    live = live_by_class(counts)
    return [
        replace(item, count=max(item.count, live[item.data_centre, item.reclaimable]))
        for item in plan
    ]


def limited_share(rate: float | None, requests_per_engine: float) -> float:
    """Return the share of an engine's capacity that its request limit leaves.

    ``rate`` is the limit, None for none; ``requests_per_engine`` is what an engine
    without a limit serves. Both are in requests per second.
    """
    if rate is None or requests_per_engine <= 0:
        return 1.0
    return min(rate / requests_per_engine, 1.0)


def live_by_class(counts: list[ClassCount]) -> Counter[tuple[str, bool]]:
    """Return the endpoints that serve, by data centre and whether reclaimable."""
    return Counter({(c.data_centre, c.reclaimable): c.live for c in counts})


def _min_full_price_counts(
    scaling: ScalingSpec, centres: list[str], room: dict[str, int]
) -> dict[str, int]:
    """Return the full-price endpoints that are always ordered, by data centre."""
    if scaling.reclaimable_price is None:
        least = max(scaling.min_endpoints, 1)
        return {name: min(least, room[name]) for name in centres}
    chosen = [name for name in centres if room[name] > 0][:MIN_FULL_PRICE_ENDPOINTS]
    return {name: int(name in chosen) for name in centres}


def _add_full_price(
    full_price_counts: dict[str, int],
    wanted: int,
    centres: list[str],
    prices: dict[str, float],
    room: dict[str, int],
) -> None:
    """Add full-price endpoints up to a total, evenly, cheapest data centres first."""
    while sum(full_price_counts.values()) < wanted:
        free = [name for name in centres if full_price_counts[name] < room[name]]
        if not free:
            return
        full_price_counts[
            min(free, key=lambda name: (full_price_counts[name], prices[name]))
        ] += 1


def _spread_reclaimable(
    wanted: int,
    centres: list[str],
    full_price_counts: dict[str, int],
    reclaimable_counts: dict[str, int],
    room: dict[str, int],
    availability: ReclaimableAvailability,
    now: float,
) -> None:
    """Add reclaimable endpoints evenly, so that one reclaim takes few of them."""
    while wanted > 0:
        free = [
            name
            for name in centres
            if availability.is_available(name, now)
            and full_price_counts[name] + reclaimable_counts[name] < room[name]
        ]
        if not free:
            return
        name = min(free, key=lambda item: reclaimable_counts[item])
        reclaimable_counts[name] += 1
        wanted -= 1
