"""Goodput, recovery and fairness under overload."""

import argparse
from collections.abc import Iterable
from dataclasses import replace

from bench.cluster import ENDPOINTS, SLOTS, Outcome
from bench.stats import make_histogram, summarize, summarize_ratios
from bench.workload import ORGANISATION_WEIGHTS, Arrival, Profile, Work, make_trace

CALM_LOAD = 0.6
OVERLOAD = 2.0
CALM_SECONDS = 14.0
OVERLOAD_SECONDS = 30.0
RECOVERY_SECONDS = 15.0
SETTLE_SECONDS = 5.0  # of the overload that goodput leaves out
OVERLOAD_DEADLINE_SECONDS = 12.0
RECOVERED_FACTOR = 2.0  # over the calm p99 wait
FLOODING = "org-1"
FLOOD_FACTOR = 6.0
NODES = 6


def make_overload_trace(profile: Profile, seed: int) -> list[Arrival]:
    """Return calm, twice the capacity, and calm again."""
    phases = (
        (CALM_LOAD, CALM_SECONDS),
        (OVERLOAD, OVERLOAD_SECONDS),
        (CALM_LOAD, RECOVERY_SECONDS),
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
    """Return goodput over capacity and seconds to recover."""
    start = CALM_SECONDS + SETTLE_SECONDS
    end = CALM_SECONDS + OVERLOAD_SECONDS
    good = sum(_overlap(item, start, end) for item in outcomes if item.in_time)
    calm = _short_waits(outcomes, CALM_SECONDS / 2, CALM_SECONDS)
    calm_p99 = summarize(make_histogram(calm))["p99"] / 1000
    during = _short_waits(outcomes, start, end)
    late = [item for item in outcomes if item.total is not None and not item.in_time]
    return {
        "goodput_over_capacity": round(good / (ENDPOINTS * SLOTS * (end - start)), 4),
        "answered_late": len(late),
        "calm_short_wait_p99_ms": round(calm_p99 * 1000, 1),
        "overload_short_wait": summarize(make_histogram(during)),
        "recovery_seconds": _recovery(outcomes, calm_p99 * RECOVERED_FACTOR),
    }


def _overlap(item: Outcome, start: float, end: float) -> float:
    """Return the part of an answer's time in a slot that lies in a span."""
    finish = item.arrival.at + item.total
    return max(min(finish, end) - max(finish - item.busy, start), 0.0)


def _short_waits(outcomes: Iterable[Outcome], start: float, end: float) -> list[float]:
    return [
        item.first_token
        for item in outcomes
        if item.arrival.work == Work.SHORT
        and item.first_token is not None
        and start <= item.arrival.at < end
    ]


def _recovery(outcomes: list[Outcome], limit: float) -> float | None:
    """Return seconds after the overload from which every wait is within a limit.

    A request that was refused in that time counts as one beyond the limit.
    """
    over = CALM_SECONDS + OVERLOAD_SECONDS
    after = [
        item
        for item in outcomes
        if item.arrival.work == Work.SHORT and item.arrival.at >= over
    ]
    for second in range(int(RECOVERY_SECONDS)):
        rest = [item for item in after if item.arrival.at >= over + second]
        beyond = [item for item in rest if _is_beyond(item, limit)]
        if rest and len(beyond) <= len(rest) // 100:
            return float(second)
    return None


def _is_beyond(item: Outcome, limit: float) -> bool:
    return item.first_token is None or item.first_token > limit


def make_flood(profile: Profile) -> Profile:
    """Return a profile in which one organisation sends many times its share."""
    index = int(FLOODING.removeprefix("org-"))
    extra = ORGANISATION_WEIGHTS[index] * (FLOOD_FACTOR - 1)
    return replace(
        profile,
        rate=profile.rate * (1 + extra),
        flood_organisation=FLOODING,
        flood_factor=FLOOD_FACTOR,
    )


def measure_others(outcomes: list[Outcome], after: float) -> dict:
    """Return the waits and refusals of the organisations that do not flood."""
    others = [
        item
        for item in outcomes
        if item.arrival.organisation != FLOODING and item.arrival.at >= after
    ]
    return {
        "short_wait": summarize(make_histogram(_short_waits(others, after, 1e9))),
        "refused": sum(bool(item.refused) for item in others),
        "requests": len(others),
    }


def summarize_overload(pairs: list[dict], options: argparse.Namespace) -> dict:
    """Return medians and spreads of the figures of each arm."""
    ratios = {}
    for name in ("owner", *options.baselines):
        runs = [pair["arms"][name]["overload"] for pair in pairs]
        goodput = [run["goodput_over_capacity"] for run in runs]
        ratios[f"goodput over capacity, {name}"] = summarize_ratios(goodput)
        recovery = [run["recovery_seconds"] for run in runs]
        ratios[f"seconds to recover, {name}"] = recovery
    return ratios
