"""Waits of short requests that perfect knowledge of a trace would allow."""

import heapq

from bench.cluster import DATA_CENTRES, ENDPOINTS, LOCAL_LATENCY_SECONDS, SLOTS
from bench.endpoint import PREFILL_TOKEN_SECONDS, TOKEN_SECONDS, PrefixCache
from bench.workload import Arrival, Work


def bound_short_waits(trace: list[Arrival], after: float) -> list[float]:
    """Return a lower bound of the time to first token of each short request.

    It assumes that every prefix is cached everywhere, that links take no time and that
    long requests never hold a slot, so no policy can do better and none can reach it.
    Requests that arrive before ``after`` seconds are left out of the result.
    """
    free = [0.0] * (ENDPOINTS * SLOTS)
    waits = []
    for arrival in trace:
        if arrival.work == Work.LONG:
            continue
        own_tokens = arrival.prompt_tokens - arrival.prefix_tokens
        start = max(heapq.heappop(free), arrival.at)
        first = start + own_tokens * PREFILL_TOKEN_SECONDS
        heapq.heappush(free, first + arrival.output_tokens * TOKEN_SECONDS)
        if arrival.at >= after:
            waits.append(first - arrival.at)
    return waits


def reference_short_waits(
    trace: list[Arrival], link_seconds: float, after: float
) -> list[float]:
    """Return the waits under a scheduler with perfect knowledge.

    It knows all sizes, slots and caches without exchanging messages and preempts long
    requests at no cost. Caches and links are those of the endpoints, and each request
    goes to the slot that gives the earliest first token. Requests that arrive before
    ``after`` seconds are left out of the result.
    """
    slots = [[0.0] * SLOTS for _ in range(ENDPOINTS)]
    caches = [PrefixCache() for _ in range(ENDPOINTS)]
    waits = []
    for arrival in trace:
        if arrival.work == Work.LONG:
            continue
        options = [
            (
                _first_token(arrival, index, slots[index], caches[index], link_seconds),
                index,
            )
            for index in range(ENDPOINTS)
        ]
        first, chosen = min(options)
        caches[chosen].use(arrival.prefix)
        free = slots[chosen]
        free[free.index(min(free))] = first + arrival.output_tokens * TOKEN_SECONDS
        if arrival.at >= after:
            waits.append(
                first + _link_seconds(arrival, chosen, link_seconds) - arrival.at
            )
    return waits


def _first_token(
    arrival: Arrival,
    index: int,
    slots: list[float],
    cache: PrefixCache,
    link_seconds: float,
) -> float:
    """Return when an endpoint would give the first token, without the link back."""
    tokens = arrival.prompt_tokens
    if cache.has(arrival.prefix):
        tokens -= arrival.prefix_tokens
    start = max(min(slots), arrival.at + _link_seconds(arrival, index, link_seconds))
    return start + tokens * PREFILL_TOKEN_SECONDS


def _link_seconds(arrival: Arrival, endpoint: int, link_seconds: float) -> float:
    count = len(DATA_CENTRES)
    near = arrival.node % count == endpoint % count
    return LOCAL_LATENCY_SECONDS if near else link_seconds
