"""Goodput, recovery and fairness under overload."""

import argparse
from collections.abc import Iterable
from dataclasses import replace

from bench.cluster import ENDPOINTS, SLOTS, Outcome
from bench.stats import make_histogram, summarize, summarize_ratios
from bench.workload import ORGANISATION_WEIGHTS, Arrival, Profile, Work, make_trace

NORMAL_LOAD = 0.6  # of the capacity
OVERLOAD_LOAD = 2.0  # of the capacity
NORMAL_SECONDS = 14.0
OVERLOAD_SECONDS = 30.0
RECOVERY_SECONDS = 15.0
OVERLOAD_SETTLE_SECONDS = 5.0  # at the start of the overload, left out of the goodput
OVERLOAD_DEADLINE_SECONDS = 12.0
MAX_RECOVERED_WAIT_FACTOR = 2.0  # of the p99 wait at normal load
FLOODING_ORGANISATION = "org-1"
FLOOD_RATE_FACTOR = 6.0
NODES = 6


def make_overload_trace(profile: Profile, seed: int) -> list[Arrival]:
    """Return a trace of normal load, overload and normal load again."""
    phases = (
        (NORMAL_LOAD, NORMAL_SECONDS),
        (OVERLOAD_LOAD, OVERLOAD_SECONDS),
        (NORMAL_LOAD, RECOVERY_SECONDS),
    )
    trace: list[Arrival] = []
    offset = 0.0
    for number, (load, seconds) in enumerate(phases):
        rate = profile.rate * load
        phase = replace(profile, rate=rate, seconds=seconds)
        for arrival in make_trace(phase, seed * 10 + number, NODES):
            index, at = len(trace), arrival.at + offset
            trace.append(replace(arrival, index=index, at=at))
        offset += seconds
    return trace


def measure_overload(outcomes: list[Outcome]) -> dict:
    """Return goodput as a share of the capacity, short waits and recovery time."""
    start = NORMAL_SECONDS + OVERLOAD_SETTLE_SECONDS
    end = NORMAL_SECONDS + OVERLOAD_SECONDS
    good = sum(
        _slot_seconds_within(item, start, end) for item in outcomes if item.in_time
    )
    normal_waits = _short_waits(outcomes, NORMAL_SECONDS / 2, NORMAL_SECONDS)
    normal_p99 = summarize(make_histogram(normal_waits))["p99"] / 1000
    overload_waits = _short_waits(outcomes, start, end)
    late = [item for item in outcomes if item.total is not None and not item.in_time]
    return {
        "goodput_over_capacity": round(good / (ENDPOINTS * SLOTS * (end - start)), 4),
        "answered_late": len(late),
        "calm_short_wait_p99_ms": round(normal_p99 * 1000, 1),
        "overload_short_wait": summarize(make_histogram(overload_waits)),
        "recovery_seconds": _seconds_to_recover(
            outcomes, normal_p99 * MAX_RECOVERED_WAIT_FACTOR
        ),
    }


def _slot_seconds_within(item: Outcome, start: float, end: float) -> float:
    """Return the seconds from ``start`` to ``end`` in which a request held a slot."""
    finish = item.arrival.at + item.total
    return max(min(finish, end) - max(finish - item.slot_seconds, start), 0.0)


def _short_waits(outcomes: Iterable[Outcome], start: float, end: float) -> list[float]:
    return [
        item.first_token
        for item in outcomes
        if item.arrival.work == Work.SHORT
        and item.first_token is not None
        and start <= item.arrival.at < end
    ]


def _seconds_to_recover(outcomes: list[Outcome], limit: float) -> float | None:
    """Return the seconds after the overload until waits stay within a limit, or None.

    One request in a hundred may exceed it. A refused request counts as exceeding it.
    """
    overload_end = NORMAL_SECONDS + OVERLOAD_SECONDS
    after = [
        item
        for item in outcomes
        if item.arrival.work == Work.SHORT and item.arrival.at >= overload_end
    ]
    for second in range(int(RECOVERY_SECONDS)):
        remaining = [item for item in after if item.arrival.at >= overload_end + second]
        exceeding = [item for item in remaining if _exceeds_limit(item, limit)]
        if remaining and len(exceeding) <= len(remaining) // 100:
            return float(second)
    return None


def _exceeds_limit(item: Outcome, limit: float) -> bool:
    return item.first_token is None or item.first_token > limit


def make_flood(profile: Profile) -> Profile:
    """Return the profile with more requests from one organisation, which floods."""
    index = int(FLOODING_ORGANISATION.removeprefix("org-"))
    extra = ORGANISATION_WEIGHTS[index] * (FLOOD_RATE_FACTOR - 1)
    return replace(
        profile,
        rate=profile.rate * (1 + extra),
        flood_organisation=FLOODING_ORGANISATION,
        flood_factor=FLOOD_RATE_FACTOR,
    )


def measure_others(outcomes: list[Outcome], after: float) -> dict:
    """Return waits and refusals of the other organisations after ``after`` seconds."""
    others = [
        item
        for item in outcomes
        if item.arrival.organisation != FLOODING_ORGANISATION
        and item.arrival.at >= after
    ]
    return {
        "short_wait": summarize(make_histogram(_short_waits(others, after, 1e9))),
        "refused": sum(bool(item.refused) for item in others),
        "requests": len(others),
    }


def summarize_overload(pairs: list[dict], options: argparse.Namespace) -> dict:
    """Return goodput ratios and recovery times of each arm over all pairs."""
    ratios = {}
    for name in ("owner", *options.baselines):
        runs = [pair["arms"][name]["overload"] for pair in pairs]
        goodput = [run["goodput_over_capacity"] for run in runs]
        ratios[f"goodput over capacity, {name}"] = summarize_ratios(goodput)
        recovery = [run["recovery_seconds"] for run in runs]
        ratios[f"seconds to recover, {name}"] = recovery
    return ratios
