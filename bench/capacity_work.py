"""Usage per request, streamed token, booking and request in flight."""

import os
import time

import gevent

from bench.capacity_client import Caller, send_open_loop
from bench.capacity_deployment import CapacityDeployment, open_deployment
from bench.capacity_sampling import (
    compute_usage,
    cpu_seconds,
    fit_least_squares,
    resident_megabytes,
    take_first_snapshot,
    take_last_snapshot,
)

NODES = 6
SETTLE_SECONDS = 6.0
REQUEST_SECONDS = 5.0
REQUEST_RATE = 60.0
BOOKING_RATE = 40.0
STREAM_COUNTS = (0, 20, 60, 120)
STREAM_SECONDS = 6.0
STREAM_TOKENS = 400
IN_FLIGHT_COUNTS = (0, 100, 200, 400, 800)
IN_FLIGHT_TOKENS = 600
FAST_ENGINE = {"first_token_seconds": 0.01, "token_seconds": 0.0}
PACED_ENGINE = {"first_token_seconds": 0.02, "token_seconds": 0.025}
SLOW_ENGINE = {"first_token_seconds": 0.02, "token_seconds": 1.0}
QUICK_SERVICE = {"call_seconds": 0.02}


def measure_in_deployment(measure, *args, **settings) -> dict:
    """Run a measurement in a deployment of its own and return its figures."""
    with open_deployment(NODES, **settings) as deployment:
        deployment.change_lists()
        time.sleep(SETTLE_SECONDS)
        load = os.getloadavg()[0]
        return {"load_average": round(load, 2), **measure(deployment, *args)}


def measure_idle(deployment: CapacityDeployment) -> dict:
    """Return the usage of idle nodes per second: CPU by node, bytes as a mean."""
    before = take_first_snapshot(deployment)
    gevent.sleep(2 * REQUEST_SECONDS)
    window = compute_usage(before, take_last_snapshot(deployment))
    rows, seconds = window["nodes"].values(), window["seconds"]
    return {
        "seconds": seconds,
        "cpu": {k: r["cpu_seconds"] / seconds for k, r in window["nodes"].items()},
        "peer_bytes": sum(row["peer_bytes"] for row in rows) / len(rows) / seconds,
        "platform": {k: v / seconds for k, v in window["platform"].items()},
    }


def measure_by_role(deployment: CapacityDeployment, work, rate: float) -> dict:
    """Send requests to each node in turn and fit the usage of each role.

    A node serves a request, owns its cell or is its backup node. The counts of these
    roles differ between nodes and windows, so the fit tells them apart.
    """
    idle = measure_idle(deployment)
    rows, windows = [], []
    for name, node in deployment.nodes.items():
        before = take_first_snapshot(deployment)
        count = send_open_loop(node, work, rate, REQUEST_SECONDS)
        window = compute_usage(before, take_last_snapshot(deployment))
        seconds = window["seconds"]
        calls = {
            key: (value - idle["platform"].get(key, 0.0) * seconds) / count
            for key, value in window["platform"].items()
        }
        windows.append({"node": name, "requests": count, "platform_per_request": calls})
        for other, row in window["nodes"].items():
            rows.append(
                {
                    "serving": count if other == name else 0,
                    "owner": row["owned"],
                    "keeper": row["kept"],
                    "cpu_ms": 1000
                    * (row["cpu_seconds"] - idle["cpu"][other] * seconds),
                    "peer_bytes": row["peer_bytes"] - idle["peer_bytes"] * seconds,
                }
            )
    columns = {
        role: [row[role] for row in rows] for role in ("serving", "owner", "keeper")
    }
    total = sum(item["requests"] for item in windows)
    return {
        "rate_per_second": rate,
        "idle": idle,
        "requests": total,
        "kept": sum(columns["keeper"]),
        "owned": sum(columns["owner"]),
        "cpu_ms_all_nodes": sum(row["cpu_ms"] for row in rows) / total,
        "peer_bytes_all_nodes": sum(row["peer_bytes"] for row in rows) / total,
        "cpu_ms": fit_least_squares(columns, [row["cpu_ms"] for row in rows]),
        "peer_bytes": fit_least_squares(columns, [row["peer_bytes"] for row in rows]),
        "windows": windows,
        "rows": rows,
    }


def make_chat_work(stream: bool, seed: int):
    """Return a function that makes the chat of a number, each with its own prompt."""

    def work(number: int):
        prompt = f"blade steel {seed} {number} #tokens=2"
        return lambda caller: caller.chat(prompt, stream)

    return work


def make_booking_work(seed: int):
    """Return a function that makes the booking of a number, each with its own key."""
    unique_prefix = time.time_ns()

    def work(number: int):
        key = f"capacity-{seed}-{unique_prefix}-{number}-{time.monotonic_ns()}"
        return lambda caller: caller.book(key)

    return work


def start_streams(deployment: CapacityDeployment, count: int, tokens: int, on_tokens):
    """Start streams at the first node and return their tasks."""
    node = next(iter(deployment.nodes.values()))

    def run(number: int) -> None:
        caller = Caller(node.host, node.caller_port, on_tokens)
        caller.chat(f"route summary {number} #tokens={tokens}", True, tokens)

    return [gevent.spawn(run, number) for number in range(count)]


def measure_tokens(deployment: CapacityDeployment) -> dict:
    """Return the serving node's CPU time per token if tokens arrive one by one."""
    node = next(iter(deployment.nodes.values()))
    rows = []
    for count in STREAM_COUNTS:
        seen = [0]

        def add(tokens: int, seen: list[int] = seen) -> None:
            seen[0] += tokens

        tasks = start_streams(deployment, count, STREAM_TOKENS, add)
        gevent.sleep(2.0)
        started, before = time.monotonic(), cpu_seconds(node.process.pid)
        tokens = seen[0]
        gevent.sleep(STREAM_SECONDS)
        seconds = time.monotonic() - started
        used = cpu_seconds(node.process.pid) - before
        rows.append(
            {
                "streams": count,
                "tokens_per_second": (seen[0] - tokens) / seconds,
                "cpu_percent": 100 * used / seconds,
            }
        )
        gevent.joinall(tasks, raise_error=True)
    rates = [row["tokens_per_second"] for row in rows]
    return {
        "rows": rows,
        "cpu_percent": fit_least_squares(
            {"per_token_a_second": rates}, [row["cpu_percent"] for row in rows]
        ),
    }


def measure_in_flight(deployment: CapacityDeployment) -> dict:
    """Return the resident memory of nodes by the number of requests in flight."""
    node = next(iter(deployment.nodes.values()))
    rows, tasks = [], []
    for count in IN_FLIGHT_COUNTS:
        tasks += start_streams(deployment, count - len(tasks), IN_FLIGHT_TOKENS, None)
        gevent.sleep(4.0)
        others = [
            resident_megabytes(item.process.pid)
            for item in deployment.nodes.values()
            if item is not node
        ]
        rows.append(
            {
                "in_flight": count,
                "megabytes": resident_megabytes(node.process.pid),
                "others_mean_megabytes": sum(others) / len(others),
            }
        )
    failed = [task for task in tasks if task.ready()]
    gevent.killall(tasks)
    counts = [row["in_flight"] for row in rows]
    return {
        "ended_early": len(failed),
        "rows": rows,
        "megabytes": fit_least_squares(
            {"per_request": counts}, [row["megabytes"] for row in rows]
        ),
        "keeper_megabytes": fit_least_squares(
            {"per_request_of_five_nodes": counts},
            [row["others_mean_megabytes"] for row in rows],
        ),
    }


def run_work(seed: int, log) -> dict:
    """Return the figures of chats, bookings, tokens and requests in flight."""
    result = {}
    for name, stream in (("chat", False), ("chat_streamed", True)):
        work = make_chat_work(stream, seed)
        result[name] = measure_in_deployment(
            measure_by_role, work, REQUEST_RATE, engine=FAST_ENGINE
        )
        log({name: {k: v for k, v in result[name].items() if k not in RAW_KEYS}})
    work = make_booking_work(seed)
    result["booking"] = measure_in_deployment(
        measure_by_role, work, BOOKING_RATE, service=QUICK_SERVICE
    )
    booking = result["booking"]
    log({"booking": {k: v for k, v in booking.items() if k not in RAW_KEYS}})
    log(booking["windows"][0])
    result["tokens"] = measure_in_deployment(measure_tokens, engine=PACED_ENGINE)
    log({"tokens": result["tokens"]})
    result["in_flight"] = measure_in_deployment(measure_in_flight, engine=SLOW_ENGINE)
    log({"in_flight": result["in_flight"]})
    return result


RAW_KEYS = ("rows", "windows", "idle")
