"""Usage of idle nodes and of list changes, by number of nodes and endpoints."""

import os
import time

from bench.capacity_deployment import (
    REQUESTS_PER_MINUTE,
    CapacityDeployment,
    open_deployment,
)
from bench.capacity_sampling import (
    compute_usage,
    fit_least_squares,
    mean_and_range,
    take_first_snapshot,
    take_last_snapshot,
)

SETTLE_SECONDS = 10.0
LIST_CHANGES = 6
POLL_SECONDS = 0.05
CHANGE_LIMIT_SECONDS = 60.0


def summarize_idle(window: dict) -> dict:
    """Return usage per node and second, and platform calls per second in total."""
    seconds, rows = window["seconds"], list(window["nodes"].values())
    return {
        "seconds": round(seconds, 2),
        "cpu_percent": mean_and_range(
            [100 * row["cpu_seconds"] / seconds for row in rows]
        ),
        "megabytes": mean_and_range([row["megabytes"] for row in rows], 1),
        "peer_bytes_per_second": mean_and_range(
            [row["peer_bytes"] / seconds for row in rows], 1
        ),
        "links": mean_and_range([row["links"] for row in rows], 1),
        "load_reads_per_second": mean_and_range(
            [row["load_reads"] / seconds for row in rows], 2
        ),
        "platform_per_second": {
            name: round(count / seconds, 3)
            for name, count in window["platform"].items()
        },
    }


def measure_idle(deployment: CapacityDeployment, seconds: float) -> dict:
    """Return the usage of all nodes while no request runs."""
    before = take_first_snapshot(deployment)
    time.sleep(seconds)
    window = compute_usage(before, take_last_snapshot(deployment))
    return {
        **summarize_idle(window),
        "rows": [
            {
                "cpu_percent": round(100 * row["cpu_seconds"] / window["seconds"], 4),
                "bytes_per_second": round(row["peer_bytes"] / window["seconds"], 1),
                "links": row["links"],
                "load_reads_per_second": round(
                    row["load_reads"] / window["seconds"], 3
                ),
                "megabytes": round(row["megabytes"], 2),
            }
            for row in window["nodes"].values()
        ],
    }


def measure_changes(deployment: CapacityDeployment, rest: dict) -> dict:
    """Return time, bytes and CPU of list changes, less the usage of idle nodes."""
    before = take_first_snapshot(deployment)
    confirmed, unconfirmed = [], 0
    for number in range(LIST_CHANGES):
        started = time.monotonic()
        answer = deployment.change_lists(REQUESTS_PER_MINUTE - number)
        confirmed.append(time.monotonic() - started)
        unconfirmed += answer["result"] != "accepted"
        time.sleep(1.0)
    window = compute_usage(before, take_last_snapshot(deployment))
    seconds, rows = window["seconds"], list(window["nodes"].values())
    cpu = sum(row["cpu_seconds"] for row in rows) / len(rows)
    payload = sum(row["peer_bytes"] for row in rows) / len(rows)
    idle_cpu = rest["cpu_percent"]["mean"] / 100 * seconds
    idle_bytes = rest["peer_bytes_per_second"]["mean"] * seconds
    idle_calls = rest["platform_per_second"]
    return {
        "changes": LIST_CHANGES,
        "not_confirmed_in_16_s": unconfirmed,
        "seconds_to_confirm": mean_and_range(confirmed, 3),
        "cpu_ms_per_node": round(1000 * (cpu - idle_cpu) / LIST_CHANGES, 3),
        "peer_bytes_per_node": round((payload - idle_bytes) / LIST_CHANGES, 1),
        "platform_calls": {
            name: round((count - idle_calls.get(name, 0) * seconds) / LIST_CHANGES, 2)
            for name, count in window["platform"].items()
        },
    }


def run_size(nodes: int, endpoints: int, seconds: float, changes: bool) -> dict:
    """Return the figures of a deployment of one size."""
    with open_deployment(nodes, listed_endpoints=endpoints) as deployment:
        deployment.change_lists()
        time.sleep(SETTLE_SECONDS)
        load = os.getloadavg()[0]
        result = {
            "nodes": nodes,
            "listed_endpoints": endpoints,
            "load_average": round(load, 2),
            "rest": measure_idle(deployment, seconds),
        }
        if changes:
            result["changes"] = measure_changes(deployment, result["rest"])
    return result


def fit_idle(runs: list[dict]) -> dict:
    """Return the slopes fitted over all nodes of all runs."""
    rows = [(run, row) for run in runs for row in run["rest"]["rows"]]
    columns = {
        "per_link": [row["links"] for _, row in rows],
        "per_listed_endpoint": [run["listed_endpoints"] for run, _ in rows],
        "per_load_read_a_second": [row["load_reads_per_second"] for _, row in rows],
    }
    return {
        name: fit_least_squares(columns, [row[name] for _, row in rows])
        for name in ("cpu_percent", "bytes_per_second", "megabytes")
    }


def run_idle(sizes: list[int], listed: list[int], seconds: float, log) -> dict:
    """Run all sizes with 12 endpoints, and 6 nodes with more endpoints."""
    runs = []
    cases = [(size, 12, True) for size in sizes]
    cases += [(min(sizes), count, False) for count in listed if count != 12]
    for nodes, endpoints, changes in cases:
        runs.append(run_size(nodes, endpoints, seconds, changes))
        log({key: runs[-1][key] for key in ("nodes", "listed_endpoints")})
        log({k: v for k, v in runs[-1]["rest"].items() if k != "rows"})
        log(runs[-1].get("changes"))
    slopes = fit_idle(runs) if len(runs) > 3 else {}
    return {"runs": runs, "slopes": slopes}
