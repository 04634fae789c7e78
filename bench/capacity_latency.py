"""Latency that a real node adds, and short calls per second of node CPU time."""

import itertools
import os
import statistics
import time

from bench.capacity_client import Caller, send_closed_loop
from bench.capacity_deployment import CapacityDeployment, open_deployment
from bench.capacity_sampling import cpu_seconds, resident_megabytes
from bench.stats import make_histogram

NODES = 6
SETTLE_SECONDS = 10.0
CALLS_PER_SIDE = 300  # in a round
CALLERS = 16
CALLS_PER_CALLER = 100
ENGINE = {"first_token_seconds": 0.02, "token_seconds": 0.005}
FAST_ENGINE = {"first_token_seconds": 0.0, "token_seconds": 0.0}


def open_callers(deployment: CapacityDeployment) -> dict[str, itertools.cycle]:
    """Return endless cycles of callers to the engines and to the nodes."""
    engines = [e for e in deployment.endpoints.values() if e["kind"] == "engine"]
    direct = [Caller(engine["host"], engine["port"]) for engine in engines]
    nodes = [Caller(n.host, n.caller_port) for n in deployment.nodes.values()]
    return {"direct": itertools.cycle(direct), "node": itertools.cycle(nodes)}


def measure_round(callers: dict, stream: bool, label: str) -> dict:
    """Call both sides in turn and return their percentiles in milliseconds.

    Raise RuntimeError if a status is not 200.
    """
    firsts = {side: [] for side in callers}
    totals = {side: [] for side in callers}
    for index in range(CALLS_PER_SIDE):
        for side, cycle in callers.items():
            prompt = f"blade steel {label} {index} {side} #tokens=3"
            answer = next(cycle).chat(prompt, stream)
            if answer.status != 200:
                raise RuntimeError(f"{side}: status {answer.status}")
            firsts[side].append(answer.first)
            totals[side].append(answer.total)
    values_by_part = {"first": firsts, "total": totals} if stream else {"total": totals}
    return {name: compare(values) for name, values in values_by_part.items()}


def compare(seconds: dict[str, list[float]]) -> dict:
    """Return the percentiles of both sides in milliseconds, and their differences."""
    row = {}
    for side, values in seconds.items():
        histogram = make_histogram(values)
        row[side] = {
            f"p{p}": round(histogram.get_value_at_percentile(p) / 1000, 3)
            for p in (50, 90, 99, 99.9, 100)
        }
    row["added_p50"] = round(row["node"]["p50"] - row["direct"]["p50"], 3)
    row["added_p99"] = round(row["node"]["p99"] - row["direct"]["p99"], 3)
    return row


def measure_latency(deployment: CapacityDeployment, rounds: int, seed: int) -> dict:
    """Return the latency that nodes add in all rounds, streamed and not streamed."""
    result = {}
    callers = open_callers(deployment)
    for name, stream in (("streamed", True), ("not_streamed", False)):
        rows = []
        for number in range(rounds):
            rows.append(measure_round(callers, stream, f"{seed}-{number}"))
        result[name] = {"rounds": rows}
        for part in rows[0]:
            for key in ("added_p50", "added_p99"):
                values = [row[part][key] for row in rows]
                result[name][f"{part}_{key}"] = median_and_range(values)
    return result


def measure_calls(deployment: CapacityDeployment, rounds: int, seed: int) -> dict:
    """Return short calls per second of CPU time, each round at another node."""
    rows = []
    nodes = list(deployment.nodes.values())
    for number in range(rounds):
        node = nodes[number % len(nodes)]
        pids = [item.process.pid for item in nodes]
        before = {pid: cpu_seconds(pid) for pid in pids}
        memory_before = {pid: resident_megabytes(pid) for pid in pids}

        def work(index: int, number: int = number):
            prompt = f"blade steel {seed} {number} {index} #tokens=2"
            return lambda caller: caller.chat(prompt, False)

        seconds = send_closed_loop(node, work, CALLERS, CALLS_PER_CALLER)
        used = {pid: cpu_seconds(pid) - before[pid] for pid in pids}
        calls = CALLERS * CALLS_PER_CALLER
        memory_rise_kb = {
            pid: 1000 * (resident_megabytes(pid) - memory_before[pid]) for pid in pids
        }
        serving_rise_kb = memory_rise_kb.pop(node.process.pid)
        rows.append(
            {
                "calls": calls,
                "calls_per_second": calls / seconds,
                "per_core_of_serving_node": calls / used[node.process.pid],
                "per_core_of_all_nodes": calls / sum(used.values()),
                "finished_kb_serving": serving_rise_kb / calls,
                "finished_kb_keeping": sum(memory_rise_kb.values()) / calls,
            }
        )
    names = [name for name in rows[0] if name != "calls"]
    return {"rows": rows} | {
        n: median_and_range([row[n] for row in rows]) for n in names
    }


def median_and_range(values: list[float]) -> dict:
    """Return the median, the lowest and the highest value."""
    return {
        "median": round(statistics.median(values), 3),
        "low": round(min(values), 3),
        "high": round(max(values), 3),
    }


def run_latency(rounds: int, seed: int, log) -> dict:
    """Return latency, call rate and idle memory of a deployment of 6 nodes."""
    result = {"load_averages": {}}
    parts = (
        ("latency", ENGINE, measure_latency),
        ("calls", FAST_ENGINE, measure_calls),
    )
    for name, engine, measure in parts:
        with open_deployment(NODES, engine=engine) as deployment:
            deployment.change_lists()
            time.sleep(SETTLE_SECONDS)
            result["load_averages"][name] = round(os.getloadavg()[0], 2)
            pids = [node.process.pid for node in deployment.nodes.values()]
            idle = [resident_megabytes(pid) for pid in pids]
            result[f"idle_megabytes_{name}"] = median_and_range(idle)
            result[name] = measure(deployment, rounds, seed)
            after = [resident_megabytes(pid) for pid in pids]
            result[f"megabytes_after_{name}"] = median_and_range(after)
    raw_keys = ("rounds", "rows")
    log({k: v for k, v in result.items() if k not in ("latency", "calls")})
    for name, values in result["latency"].items():
        log({name: {k: v for k, v in values.items() if k not in raw_keys}})
    log({k: v for k, v in result["calls"].items() if k not in raw_keys})
    return result
