"""What perfect knowledge of a trace allows for the wait of short work."""

import heapq

from bench.cluster import DATA_CENTRES, ENDPOINTS, LOCAL_LINK_SECONDS, SLOTS
from bench.endpoint import PREFILL_SECONDS, STEP_SECONDS, PrefixCache
from bench.workload import Arrival, Work


def bound_short_waits(trace: list[Arrival], after: float) -> list[float]:
    """Return a lower bound of the time to the first token of each short request.

    Every prefix is cached everywhere, links take no time and long work never
    holds a slot, so no policy can do better and none can reach it.
    """
    free = [0.0] * (ENDPOINTS * SLOTS)
    waits = []
    for arrival in trace:
        if arrival.work == Work.LONG:
            continue
        own_tokens = arrival.prompt_tokens - arrival.prefix_tokens
        start = max(heapq.heappop(free), arrival.at)
        first = start + own_tokens * PREFILL_SECONDS
        heapq.heappush(free, first + arrival.output_tokens * STEP_SECONDS)
        if arrival.at >= after:
            waits.append(first - arrival.at)
    return waits


def reference_short_waits(
    trace: list[Arrival], link: float, after: float
) -> list[float]:
    """Return the waits under a scheduler that knows everything at once.

    It knows all sizes, slots and caches without a message and preempts long
    work at no cost. Caches and links are those of the endpoints, and each
    request goes to the slot that gives the earliest first token.
    """
    slots = [[0.0] * SLOTS for _ in range(ENDPOINTS)]
    caches = [PrefixCache() for _ in range(ENDPOINTS)]
    waits = []
    for arrival in trace:
        if arrival.work == Work.LONG:
            continue
        options = [
            (_first_token(arrival, index, slots[index], caches[index], link), index)
            for index in range(ENDPOINTS)
        ]
        first, chosen = min(options)
        caches[chosen].use(arrival.prefix)
        free = slots[chosen]
        free[free.index(min(free))] = first + arrival.output_tokens * STEP_SECONDS
        if arrival.at >= after:
            waits.append(first + _link(arrival, chosen, link) - arrival.at)
    return waits


def _first_token(
    arrival: Arrival, index: int, slots: list[float], cache: PrefixCache, link: float
) -> float:
    """Return when an endpoint would give the first token, before the way back."""
    tokens = arrival.prompt_tokens
    if cache.has(arrival.prefix):
        tokens -= arrival.prefix_tokens
    start = max(min(slots), arrival.at + _link(arrival, index, link))
    return start + tokens * PREFILL_SECONDS


def _link(arrival: Arrival, endpoint: int, link: float) -> float:
    count = len(DATA_CENTRES)
    near = arrival.node % count == endpoint % count
    return LOCAL_LINK_SECONDS if near else link
