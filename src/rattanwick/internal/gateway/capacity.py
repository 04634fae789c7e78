"""Plan of endpoints to order: how many, of which class, in which data centre."""

from collections import Counter
from dataclasses import dataclass, field, replace
from math import ceil

from rattanwick.internal.gateway.model import ScalingSpec

# Counted as needed before the load is known. Nodes are sized with the load: 6 of them
# met one that needed 8 engines, and 80 one of 550,000 prompt tokens a second, for which
# 29 were then ordered while the first reclaim had already taken 14.
START_ENGINES = 8
START_ENGINES_PER_NODE = 0.375
LEAST_ENGINES = 4
# Reclaimable endpoints for each engine needed: they cost about a fifth, a reclaim
# takes a third of them, and a burst finds them booted. They keep queues short beside
# what is needed at full price.
RECLAIMABLE_RATIO = 2.75
# Where they cost more than this share of the full price, spare ones beside the need
# cost more than the late requests that they prevent.
DEAR_PRICE = 0.6
DEAR_RATIO = 0.8
MIN_FULL_PRICE_ENDPOINTS = 2  # at full price, which no reclaim takes
# While endpoints are being reclaimed, the rest is counted at this share: reclaims
# come in waves over the data centres, faster than replacements boot.
WAVE_SHARE = 0.5
WAVE_SECONDS = 8.0  # after a reclaim, in which others are likely
RECLAIM_SECONDS = 2.0  # after a reclaim, in which its data centre gives no others
# Between tries while orders are declined. Calls are priced, but far below a second of
# the full-price endpoints that stand in meanwhile.
DECLINED_SECONDS = 1.0
SHRINK_SECONDS = 3.0  # for which fewer must suffice before the order shrinks
REPEAT_SECONDS = 9.0  # after which an order that had no effect is made again


@dataclass(slots=True, frozen=True)
class ClassCount:
    """Count the endpoints of one class in a data centre that serve."""

    data_centre: str
    reclaimable: bool
    live: int


@dataclass(slots=True, frozen=True)
class DesiredCount:
    """State how many endpoints of one class a data centre should have."""

    data_centre: str
    reclaimable: bool
    count: int


@dataclass(slots=True)
class ReclaimableAvailability:
    """Remember when reclaimable endpoints were last declined or taken away.

    The class is short in all data centres at once, mostly. So while orders are
    declined, one data centre is tried at a time, the one that was declined longest ago.
    """

    reclaimed_until: dict[str, float] = field(default_factory=dict)  # by data centre
    wave_until: float = 0.0
    _declined: dict[str, float] = field(default_factory=dict)  # since one was taken

    def note_reclaim(self, data_centre: str, now: float) -> None:
        """Note that a data centre's reclaimable endpoints are being taken away."""
        self.reclaimed_until[data_centre] = now + RECLAIM_SECONDS
        self.wave_until = now + WAVE_SECONDS

    def note_declined(self, data_centre: str, now: float) -> None:
        """Note that an order for reclaimable endpoints was declined."""
        self._declined[data_centre] = now

    def note_taken(self) -> None:
        """Note that an order for reclaimable endpoints was taken."""
        self._declined.clear()

    def is_open(self, data_centre: str, now: float) -> bool:
        """Tell whether a data centre is not being reclaimed."""
        return now >= self.reclaimed_until.get(data_centre, 0.0)

    def centres_to_try(self, centres: list[str], now: float) -> list[str]:
        """Return those data centres in which more may be ordered now."""
        tried = [name for name in centres if self.is_open(name, now)]
        if not tried or not self._declined:
            return tried
        if now - max(self._declined.values()) < DECLINED_SECONDS:
            return []
        return [min(tried, key=lambda name: self._declined.get(name, 0.0))]


def engines_needed(
    tokens_per_second: float | None,
    prefill_rate: float,
    utilisation: float,
    nodes: int,
) -> int:
    """Return the engines that a load of prompt tokens needs.

    ``utilisation`` is the share of their speed above which queues exceed objectives.
    """
    if tokens_per_second is None:
        return max(START_ENGINES, round(START_ENGINES_PER_NODE * nodes))
    needed = ceil(tokens_per_second / (prefill_rate * utilisation))
    return max(needed, LEAST_ENGINES)


def plan_capacity(
    needed: int,
    scaling: ScalingSpec,
    counts: list[ClassCount],
    market: ReclaimableAvailability,
    now: float,
    idle: bool = False,
) -> list[DesiredCount]:
    """Return the desired counts of all data centres and classes.

    A few full-price endpoints survive any reclaim. The rest is reclaimable where
    such are to be had, and full price while they are not. ``idle`` states that no
    request has come yet, so that nothing need serve before they have booted.
    """
    prices = scaling.data_centre_prices
    centres = sorted(prices, key=lambda name: (prices[name], name))
    live = Counter({c.data_centre: c.live for c in counts if c.reclaimable})
    # Reclaimable endpoints that do not serve yet are no capacity; until they do,
    # full-price ones keep their places under the limit of a data centre.
    serving = sum(live.values())
    if now < market.wave_until:
        serving = int(WAVE_SHARE * serving)
    base = _base(scaling, centres)
    if not idle:
        # Reclaimable endpoints that serve keep their places: what would replace them
        # boots for seconds first.
        room = {name: scaling.max_endpoints - live[name] for name in centres}
        _fill(base, needed - serving, centres, prices, room)
    cheap = dict.fromkeys(centres, 0)
    if scaling.reclaimable_price is not None:
        dear = scaling.reclaimable_price > DEAR_PRICE
        wanted = ceil((DEAR_RATIO if dear else RECLAIMABLE_RATIO) * needed)
        _spread(wanted, centres, base, cheap, scaling.max_endpoints, market, now)
    growing = [name for name in centres if cheap[name] > live[name]]
    shut = set(growing) - set(market.centres_to_try(growing, now))
    return [
        DesiredCount(name, reclaimable, count[name])
        for reclaimable, count in ((False, base), (True, cheap))
        for name in centres
        # Without reclaimable endpoints to be had, their order is left as it is.
        if not reclaimable or (market.is_open(name, now) and name not in shut)
    ]


def keep_live_endpoints(
    plan: list[DesiredCount], counts: list[ClassCount]
) -> list[DesiredCount]:
    """Return a plan that gives up no endpoint which serves."""
    live = live_by_class(counts)
    return [
        replace(item, count=max(item.count, live[item.data_centre, item.reclaimable]))
        for item in plan
    ]


def live_by_class(counts: list[ClassCount]) -> Counter[tuple[str, bool]]:
    """Return what serves, by data centre and whether it is reclaimable."""
    return Counter({(c.data_centre, c.reclaimable): c.live for c in counts})


def _base(scaling: ScalingSpec, centres: list[str]) -> dict[str, int]:
    """Return the full-price endpoints that are always there."""
    if scaling.reclaimable_price is None:
        return {name: max(scaling.min_endpoints, 1) for name in centres}
    return {
        name: int(index < MIN_FULL_PRICE_ENDPOINTS)
        for index, name in enumerate(centres)
    }


def _fill(
    base: dict[str, int],
    wanted: int,
    centres: list[str],
    prices: dict[str, float],
    room: dict[str, int],
) -> None:
    """Raise full-price endpoints to a number in all, evenly, the cheapest first."""
    while sum(base.values()) < wanted:
        free = [name for name in centres if base[name] < room[name]]
        if not free:
            return
        base[min(free, key=lambda name: (base[name], prices[name]))] += 1


def _spread(
    wanted: int,
    centres: list[str],
    base: dict[str, int],
    cheap: dict[str, int],
    most: int,
    market: ReclaimableAvailability,
    now: float,
) -> None:
    """Spread reclaimable endpoints, so that one reclaim takes few of them."""
    while wanted > 0:
        room = [
            name
            for name in centres
            if market.is_open(name, now) and base[name] + cheap[name] < most
        ]
        if not room:
            return
        name = min(room, key=lambda item: cheap[item])
        cheap[name] += 1
        wanted -= 1
