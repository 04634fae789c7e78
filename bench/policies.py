"""Compare placement policies in pairs of runs: ``python -m bench.policies``.

Every pair runs all arms on the same seed; the order of the arms alternates from pair
to pair. Raw results are written to ``bench/results``.
"""

import argparse
import gc
import json
import statistics
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from pathlib import Path

from bench.bound import bound_short_waits, reference_short_waits
from bench.cluster import ENDPOINTS, SLOTS, BenchCluster, Outcome
from bench.endpoint import Slowdown, nominal_seconds
from bench.overload import (
    NODES,
    OVERLOAD_DEADLINE_SECONDS,
    make_flood,
    make_overload_trace,
    measure_others,
    measure_overload,
    summarize_overload,
)
from bench.stats import make_histogram, summarize, summarize_ratios
from bench.workload import Arrival, Profile, Work, make_trace
from rattanwick.internal.base.settings import RoutingSettings

RESULTS = Path(__file__).parent / "results"
WARM_UP_SECONDS = 10.0
# One way between data centres, by deployment.
LINK_LATENCY_SECONDS = {"guayas": 0.003, "bortolini": 0.007}
SHORT_SECONDS = 0.35
LONG_WAIT_SECONDS = 15.0
LOAD_SEED = 7


@dataclass(slots=True, frozen=True)
class Arm:
    """One side of a comparison: a policy and what happens to its endpoints."""

    name: str
    policy: str
    slowdowns: tuple[Slowdown, ...] = ()
    flood: bool = False
    # Seconds from the start at which all endpoints of a data centre leave.
    data_centre_leaves_at: float | None = None


def make_lasting_slowdowns(seconds: float) -> tuple[Slowdown, ...]:
    """Return a fivefold slowdown of two endpoints from the warm-up to the end."""
    start = WARM_UP_SECONDS + 1.0
    return tuple(Slowdown(endpoint, start, seconds + 60.0, 5.0) for endpoint in (0, 4))


def make_slowdown_episodes(seconds: float) -> tuple[Slowdown, ...]:
    """Return fivefold slowdowns of two endpoints at a time, 6 s in every 9 s."""
    slowdowns = []
    pairs = ((0, 4), (2, 7), (3, 8), (1, 5))
    start = WARM_UP_SECONDS + 1.0
    for index in range(int(seconds // 9) + 1):
        for endpoint in pairs[index % len(pairs)]:
            slowdowns.append(Slowdown(endpoint, start, start + 6.0, 5.0))
        start += 9.0
    return tuple(slowdowns)


def measure(outcomes: list[Outcome]) -> dict:
    """Return the figures of the requests that arrived after the warm-up."""
    measured = [item for item in outcomes if item.arrival.at >= WARM_UP_SECONDS]
    short = [item for item in measured if item.arrival.work == Work.SHORT]
    long = [item for item in measured if item.arrival.work == Work.LONG]
    refused: dict[str, int] = {}
    for item in measured:
        if item.refused:
            refused[item.refused] = refused.get(item.refused, 0) + 1
    first_token_seconds = [
        item.first_token for item in short if item.first_token is not None
    ]
    return {
        "requests": len(measured),
        "refused": refused,
        "unknown": 0,
        "hedged": sum(item.hedged for item in measured),
        "short_wait": summarize(make_histogram(first_token_seconds)),
        "short_total": _summarize_totals(short),
        "long_total": _summarize_totals(long),
        "all_total": _summarize_totals(measured),
        "stretch_p99": _percentile(
            [item.stretch for item in measured if item.total], 99
        ),
        "good_work": sum(
            nominal_seconds(item.arrival) for item in measured if item.in_time
        ),
        "offered_work": sum(nominal_seconds(item.arrival) for item in measured),
    }


def _sum_nominal_seconds(outcomes: Iterable[Outcome]) -> float:
    return round(sum(nominal_seconds(item.arrival) for item in outcomes), 3)


def _summarize_totals(outcomes: list[Outcome]) -> dict:
    return summarize(make_histogram(item.total for item in outcomes if item.total))


def _percentile(values: list[float], percent: int) -> float:
    if len(values) < 2:
        return 0.0
    return round(statistics.quantiles(values, n=100)[percent - 1], 3)


def make_profile(load: float, seconds: float, **fields) -> Profile:
    """Return a profile whose mean work is ``load`` times the pool's capacity."""
    profile = Profile(rate=100.0, seconds=300.0, **fields)
    trace = make_trace(profile, LOAD_SEED, 1)
    mean = sum(nominal_seconds(item) for item in trace) / len(trace)
    rate = load * ENDPOINTS * SLOTS / mean
    return replace(profile, rate=rate, seconds=seconds)


def run_arm(
    arm: Arm, trace: list[Arrival], link: float, settings: RoutingSettings
) -> dict:
    """Run one arm on a trace and return its figures."""
    gc.collect()
    if arm.policy != "owner":
        settings = replace(settings, hedge_share=0.0)
    settings = replace(settings, policy=arm.policy)
    cluster = BenchCluster(settings, link, arm.slowdowns, arm.data_centre_leaves_at)
    cpu = time.process_time()
    started = time.monotonic()
    outcomes = cluster.run(trace)
    figures = measure(outcomes)
    figures["overload"] = measure_overload(outcomes)
    figures["others"] = measure_others(outcomes, WARM_UP_SECONDS)
    cpu_share = (time.process_time() - cpu) / (time.monotonic() - started)
    figures["process_cpu"] = round(cpu_share, 3)
    figures["messages_per_request"] = round(cluster.mesh.messages / len(trace), 2)
    figures["bytes_per_request"] = round(cluster.mesh.bytes / len(trace), 1)
    figures["reasons"] = cluster.recorder.reasons
    figures["replayed"] = cluster.recorder.replayed
    figures["replay_differences"] = cluster.recorder.differences
    return figures


def run_pairs(
    arms: list[Arm],
    options: argparse.Namespace,
    make_arm_trace: Callable[[Arm, int], list[Arrival]] | None = None,
) -> list[dict]:
    """Run all arms on each seed; every other seed runs them in reverse order.

    With ``make_arm_trace`` each arm has its own trace. The reference and the bound are
    those of the seed's common trace.
    """
    link = LINK_LATENCY_SECONDS[options.deployment]
    settings = RoutingSettings(
        short_seconds=SHORT_SECONDS, long_wait_seconds=LONG_WAIT_SECONDS
    )
    pairs = []
    for number in range(options.pairs):
        seed = options.seed + number
        profile = make_profile(options.load, options.seconds)
        trace = make_trace(profile, seed, NODES)
        order = arms if number % 2 == 0 else list(reversed(arms))
        pair: dict = {"seed": seed, "arms": {}}
        for arm in order:
            own_trace = make_arm_trace(arm, seed) if make_arm_trace else trace
            pair["arms"][arm.name] = run_arm(arm, own_trace, link, settings)
            _print_arm(seed, arm.name, pair["arms"][arm.name])
        waits = reference_short_waits(trace, link, WARM_UP_SECONDS)
        pair["reference_short_wait"] = summarize(make_histogram(waits))
        waits = bound_short_waits(trace, WARM_UP_SECONDS)
        pair["bound_short_wait"] = summarize(make_histogram(waits))
        pairs.append(pair)
    return pairs


def _print_arm(seed: int, name: str, figures: dict) -> None:
    wait = figures["short_wait"]
    total = figures["short_total"]
    long = figures["long_total"]
    print(
        f"seed {seed} {name:16} wait p50 {wait['p50']:.0f} p99 {wait['p99']:.0f} "
        f"p99.9 {wait['p99.9']:.0f} max {wait['max']:.0f} | short total "
        f"p99 {total['p99']:.0f} | long p50 {long['p50']:.0f} p99 {long['p99']:.0f} "
        f"| stretch {figures['stretch_p99']:.2f} | refused {figures['refused']} "
        f"hedged {figures['hedged']} | cpu {figures['process_cpu']:.2f}",
        flush=True,
    )


def ratio(pairs: list[dict], path: str, over: str, under: str) -> dict:
    """Return the ratios of a figure between two arms.

    ``path`` names the figure: KEY, or GROUP.KEY.
    """
    group, key = path.split(".") if "." in path else (path, "")

    def read(pair: dict, name: str) -> float:
        value = pair["arms"][name][group]
        return value[key] if key else value

    return summarize_ratios([read(pair, over) / read(pair, under) for pair in pairs])


def bench_wait(options: argparse.Namespace) -> tuple[list[dict], dict]:
    """Compare the waits of short requests that share endpoints with long ones."""
    arms = [Arm("owner", "owner")]
    arms += [Arm(name, name) for name in options.baselines]
    pairs = run_pairs(arms, options)
    ratios = {
        f"p99 wait of short, owner over {name}": ratio(
            pairs, "short_wait.p99", "owner", name
        )
        for name in options.baselines
    }
    for name in ("reference", "bound"):
        ratios[f"p99 wait of short, owner over the perfect-knowledge {name}"] = (
            summarize_ratios(
                [
                    pair["arms"]["owner"]["short_wait"]["p99"]
                    / pair[f"{name}_short_wait"]["p99"]
                    for pair in pairs
                ]
            )
        )
    return pairs, ratios


def bench_slow(options: argparse.Namespace) -> tuple[list[dict], dict]:
    """Compare the tail latency with two of nine endpoints slowed and with none."""
    kinds = {
        "slowed": make_lasting_slowdowns(options.seconds),
        "slowed in episodes": make_slowdown_episodes(options.seconds),
    }
    arms = []
    for policy in ("owner", *options.baselines):
        arms.append(Arm(policy, policy))
        arms += [Arm(f"{policy} {kind}", policy, kinds[kind]) for kind in kinds]
    pairs = run_pairs(arms, options)
    ratios = {}
    for policy in ("owner", *options.baselines):
        for kind in kinds:
            for path in ("short_wait.p99", "short_total.p99", "all_total.p99"):
                name = f"{path}, {policy} {kind} over not slowed"
                ratios[name] = ratio(pairs, path, f"{policy} {kind}", policy)
    return pairs, ratios


def bench_overload(options: argparse.Namespace) -> tuple[list[dict], dict]:
    """Measure the goodput at twice the capacity and the time to recover from it."""
    arms = [Arm(name, name) for name in ("owner", *options.baselines)]
    profile = make_profile(1.0, 0.0, deadline_seconds=OVERLOAD_DEADLINE_SECONDS)
    pairs = run_pairs(
        arms, options, lambda arm, seed: make_overload_trace(profile, seed)
    )
    return pairs, summarize_overload(pairs, options)


def bench_flood(options: argparse.Namespace) -> tuple[list[dict], dict]:
    """Compare the waits of other plans with and without one plan that floods."""
    arms = []
    for policy in ("owner", *options.baselines):
        arms.append(Arm(policy, policy))
        arms.append(Arm(f"{policy} flooded", policy, flood=True))
    normal = make_profile(options.load, options.seconds, deadline_seconds=20.0)
    flooded = make_flood(normal)

    def make_arm_trace(arm: Arm, seed: int) -> list[Arrival]:
        return make_trace(flooded if arm.flood else normal, seed, NODES)

    pairs = run_pairs(arms, options, make_arm_trace)
    ratios = {
        f"p99 wait of other plans, {policy} flooded over not": summarize_ratios(
            [
                _others_p99(pair, f"{policy} flooded") / _others_p99(pair, policy)
                for pair in pairs
            ]
        )
        for policy in ("owner", *options.baselines)
    }
    return pairs, ratios


def bench_loss(options: argparse.Namespace) -> tuple[list[dict], dict]:
    """Compare the waits with and without the loss of one of three data centres."""
    data_centre_leaves_at = WARM_UP_SECONDS + 1.0
    arms = [
        Arm("owner", "owner"),
        Arm("owner lost", "owner", data_centre_leaves_at=data_centre_leaves_at),
    ]
    pairs = run_pairs(arms, options)
    ratios = {
        f"{path}, one data centre lost over none": ratio(
            pairs, path, "owner lost", "owner"
        )
        for path in ("short_wait.p99", "short_total.p99", "all_total.p99")
    }
    return pairs, ratios


def _others_p99(pair: dict, arm: str) -> float:
    return pair["arms"][arm]["others"]["short_wait"]["p99"]


BENCHES = {
    "wait": bench_wait,
    "slow": bench_slow,
    "overload": bench_overload,
    "flood": bench_flood,
    "loss": bench_loss,
}


def main() -> int:
    """Run a bench, print its ratios and write its raw results."""
    parser = argparse.ArgumentParser(prog="python -m bench.policies")
    parser.add_argument("bench", choices=sorted(BENCHES))
    parser.add_argument("--pairs", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=32.0)
    parser.add_argument("--load", type=float, default=0.75)
    parser.add_argument("--seed", type=int, default=100)
    parser.add_argument(
        "--deployment", choices=sorted(LINK_LATENCY_SECONDS), default="guayas"
    )
    parser.add_argument("--baselines", nargs="*", default=["least-in-flight"])
    parser.add_argument("--name", default="", help="name of the results file")
    options = parser.parse_args()
    pairs, ratios = BENCHES[options.bench](options)
    for name, value in ratios.items():
        print(f"{name}: {value}")
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{options.name or options.bench}.json"
    content = {"options": vars(options), "ratios": ratios, "pairs": pairs}
    path.write_text(json.dumps(content, indent=1) + "\n", encoding="utf-8")
    print(f"wrote bench/results/{path.name}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
