"""Usage of node processes between two snapshots, and a least-squares fit of it."""

import os
import time
from dataclasses import dataclass, field
from pathlib import Path

import numpy as np
from prometheus_client.parser import text_string_to_metric_families

from bench.capacity_deployment import CapacityDeployment
from fakes.deployment import http_json

NANOSECONDS_PER_SECOND = 1e9
SENT_BYTES_METRIC = "rattanwick_peer_sent_bytes_total"
RECEIVED_BYTES_METRIC = "rattanwick_peer_received_bytes_total"


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process from schedstat, which is finer than ticks."""
    total = 0
    for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total += int(path.read_text(encoding="ascii").split()[0])
    return total / NANOSECONDS_PER_SECOND


def resident_megabytes(pid: int) -> float:
    """Return the resident memory of a process in units of 1,000,000 bytes."""
    fields = Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def read_metrics(node) -> dict[str, float]:
    """Return the metrics of a node, each added up over its labels.

    Placed requests are also given by the label "by".
    """
    _, text = http_json("GET", node.host, node.operator_port, "/metrics")
    values: dict[str, float] = {}
    for family in text_string_to_metric_families(str(text)):
        for sample in family.samples:
            values[sample.name] = values.get(sample.name, 0.0) + sample.value
            if sample.name == "rattanwick_routing_placed_total":
                name = f"{sample.name}/{sample.labels['by']}"
                values[name] = values.get(name, 0.0) + sample.value
    return values


@dataclass(slots=True)
class Snapshot:
    """Counters of all nodes and of the platform at one moment."""

    at: float  # monotonic seconds
    cpu: dict[str, float] = field(default_factory=dict)
    megabytes: dict[str, float] = field(default_factory=dict)
    metrics: dict[str, dict[str, float]] = field(default_factory=dict)
    platform: dict[str, int] = field(default_factory=dict)


def read_cpu(deployment: CapacityDeployment) -> dict[str, float]:
    """Return the CPU time of each node in seconds."""
    return {name: cpu_seconds(n.process.pid) for name, n in deployment.nodes.items()}


def take_first_snapshot(deployment: CapacityDeployment) -> Snapshot:
    """Start a measurement; reading the metrics is not part of the CPU figures."""
    nodes = deployment.nodes
    metrics = {name: read_metrics(node) for name, node in nodes.items()}
    platform = deployment.counters()
    return Snapshot(time.monotonic(), read_cpu(deployment), {}, metrics, platform)


def take_last_snapshot(deployment: CapacityDeployment) -> Snapshot:
    """End a measurement; reading the metrics is not part of the CPU figures."""
    nodes = deployment.nodes
    snapshot = Snapshot(time.monotonic(), read_cpu(deployment))
    snapshot.platform = deployment.counters()
    for name, node in nodes.items():
        snapshot.megabytes[name] = resident_megabytes(node.process.pid)
        snapshot.metrics[name] = read_metrics(node)
    return snapshot


def compute_usage(before: Snapshot, after: Snapshot) -> dict:
    """Return the elapsed seconds, the usage of each node, and the platform calls."""
    rows = {}
    for name, values in after.metrics.items():
        changes = {
            key: value - before.metrics[name].get(key, 0.0)
            for key, value in values.items()
        }
        rows[name] = {
            "cpu_seconds": after.cpu[name] - before.cpu[name],
            "megabytes": after.megabytes[name],
            "peer_bytes": changes.get(SENT_BYTES_METRIC, 0.0)
            + changes.get(RECEIVED_BYTES_METRIC, 0.0),
            "links": values.get("rattanwick_peer_connections", 0.0),
            "load_reads": changes.get("rattanwick_load_reads_total", 0.0),
            "owned": changes.get("rattanwick_routing_placed_total/owner", 0.0),
            "kept": changes.get("rattanwick_peer_kept_requests", 0.0),
        }
    calls = {
        key: after.platform[key] - before.platform.get(key, 0) for key in after.platform
    }
    return {"seconds": after.at - before.at, "nodes": rows, "platform": calls}


def fit_least_squares(columns: dict[str, list[float]], values: list[float]) -> dict:
    """Return the least-squares slope of each column with its standard error.

    "base" is the constant term.
    """
    matrix = np.column_stack([*columns.values(), np.ones(len(values))])
    target = np.asarray(values)
    solution, _, rank, _ = np.linalg.lstsq(matrix, target, rcond=None)
    residuals = target - matrix @ solution
    freedom = max(len(values) - matrix.shape[1], 1)
    variance = float(residuals @ residuals) / freedom
    errors = np.sqrt(np.diag(variance * np.linalg.pinv(matrix.T @ matrix)))
    result = {
        name: {"slope": float(solution[i]), "error": float(errors[i])}
        for i, name in enumerate([*columns, "base"])
    }
    result["rows"] = len(values)
    result["full_rank"] = bool(rank == matrix.shape[1])
    return result


def mean_and_range(values: list[float], digits: int = 4) -> dict:
    """Return the mean, the smallest and the largest value."""
    return {
        "mean": round(float(np.mean(values)), digits),
        "min": round(float(min(values)), digits),
        "max": round(float(max(values)), digits),
    }
