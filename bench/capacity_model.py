"""Figures at the target scale, extrapolated from the measured slopes.

Reads ``bench/results/capacity_{rest,work,latency}.json`` and returns what
CAPACITY.md marks as extrapolated.
"""

import json
from pathlib import Path

from bench.capacity_rest import fit_idle

NODES = 390
ENDPOINTS = 600
CELL_ENDPOINTS = 12
MAX_NODE_LINKS = 18  # the most that a node keeps if max_links is 8
REQUESTS_PER_SECOND = 5700.0
TOKENS_PER_SECOND = 1_900_000.0
SECONDS_BETWEEN_TOKENS = 0.029
ANSWER_RETENTION_SECONDS = 600.0
CLAIM_WRITES_PER_SECOND = 90.0  # share of claims in the write budget of the table
PARTITIONS = (6, 12, 24)
BOOKING_SHARES = (0.008, 0.01, 0.05, 0.1)
CLAIM_BYTES = 250
ANSWER_BYTES = 600


def read_slope(part: dict, name: str) -> float:
    """Return a fitted slope by its name."""
    return part[name]["slope"]


def model_idle(rest: dict) -> dict:
    """Return the usage of an idle node at the target scale."""
    result = {}
    for name, fitted in fit_idle(rest["runs"]).items():
        links = read_slope(fitted, "per_link") * MAX_NODE_LINKS
        listed = read_slope(fitted, "per_listed_endpoint") * (
            ENDPOINTS - CELL_ENDPOINTS
        )
        reads = read_slope(fitted, "per_load_read_a_second") * CELL_ENDPOINTS
        base = fitted["base"]["slope"]
        base += read_slope(fitted, "per_listed_endpoint") * CELL_ENDPOINTS
        result[name] = {
            "base": base,
            "links": links,
            "listed_endpoints": listed,
            "load_reads_of_one_cell": reads,
            "without_a_cell": base + links + listed,
            "with_one_cell": base + links + listed + reads,
        }
    return result


def model_work(work: dict, latency: dict) -> dict:
    """Return the mean usage of a node by requests at the peak load."""
    rate = REQUESTS_PER_SECOND / NODES
    tokens = TOKENS_PER_SECOND / NODES
    chat = work["chat_streamed"]
    cells = ENDPOINTS / CELL_ENDPOINTS
    tokens_each = TOKENS_PER_SECOND / REQUESTS_PER_SECOND
    in_flight = rate * tokens_each * SECONDS_BETWEEN_TOKENS
    calls = latency["calls"]
    finished = rate * ANSWER_RETENTION_SECONDS / 1000  # MB per KB of an answer
    per_token = read_slope(work["tokens"]["cpu_percent"], "per_token_a_second")
    return {
        "requests_per_second": rate,
        "tokens_per_second": tokens,
        "serving_cpu_percent": rate * read_slope(chat["cpu_ms"], "serving") / 10,
        "token_cpu_percent": tokens * per_token,
        "keeper_cpu_percent": rate * read_slope(chat["cpu_ms"], "keeper") / 10,
        "placements_per_cell": REQUESTS_PER_SECOND / cells,
        "owner_cpu_percent_per_cell": (
            REQUESTS_PER_SECOND / cells * read_slope(chat["cpu_ms"], "owner") / 10
        ),
        "owner_cpu_percent_mean": rate * read_slope(chat["cpu_ms"], "owner") / 10,
        "peer_bytes_per_second": rate * chat["peer_bytes_all_nodes"],
        "in_flight": in_flight,
        "in_flight_megabytes": (
            in_flight * read_slope(work["in_flight"]["megabytes"], "per_request")
        ),
        "finished_megabytes": finished * calls["finished_kb_serving"]["median"],
        "kept_megabytes": finished * calls["finished_kb_keeping"]["median"],
    }


def model_claims() -> list[dict]:
    """Return the write interval, mean wait and row size of batched claims."""
    rows = []
    for share in BOOKING_SHARES:
        calls = share * REQUESTS_PER_SECOND
        for partitions in PARTITIONS:
            interval = partitions / CLAIM_WRITES_PER_SECOND
            per_row = calls / CLAIM_WRITES_PER_SECOND
            rows.append(
                {
                    "share": share,
                    "calls_per_second": calls,
                    "unbatched_writes_per_second": 2 * calls,
                    "partitions": partitions,
                    "interval_ms": 1000 * interval,
                    "mean_wait_ms": 1000 * interval / 2,
                    "claims_in_a_row": per_row,
                    "row_bytes": per_row * (CLAIM_BYTES + ANSWER_BYTES),
                }
            )
    return rows


def run_model(results: Path) -> dict:
    """Read the measured figures and return all extrapolated ones."""
    rest, work, latency = (
        json.loads((results / f"capacity_{name}.json").read_text(encoding="utf-8"))
        for name in ("rest", "work", "latency")
    )
    return {
        "rest": model_idle(rest),
        "work": model_work(work, latency),
        "claims": model_claims(),
    }
