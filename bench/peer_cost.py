"""Measure the cost of the peer protocol: bytes, CPU, memory and gossip delay."""

import argparse
import json
import statistics
import time

import numpy as np

from bench.peer_process import HEADER_BYTES
from bench.peer_processes import ROOT, PeerProcesses
from rattanwick.internal.model.instances import Node
from rattanwick.internal.peers.heartbeat_links import MAX_EXTRA_INBOUND_LINKS
from rattanwick.internal.peers.ownership import choose_links, rank_nodes

RESULTS = ROOT / "bench" / "results"
SETTLE_SECONDS = 12.0
GOSSIP_ITEMS_PER_SECOND = 5
PROPAGATED_ITEMS = 20
TARGET_NODES = 390
TARGET_LINKS = 18  # the most that a node keeps if max_links is 8


def measure_usage(peers: PeerProcesses, seconds: float, work=None) -> dict:
    """Return the usage per node over an interval, while ``work`` is repeated if given.

    Bytes are per second; memory, links and items are those at the end.
    """
    before = peers.ask_all("stats")
    end = time.monotonic() + seconds
    done = 0
    while time.monotonic() < end:
        if work is None:
            time.sleep(end - time.monotonic())
        else:
            work(done)
            done += 1
            time.sleep(1 / GOSSIP_ITEMS_PER_SECOND)
    after = peers.ask_all("stats")
    rows = [compute_usage(*pair) for pair in zip(before, after, strict=True)]
    return {
        "seconds": seconds,
        "items_published": done,
        "cpu_percent": mean_and_range([row["cpu_percent"] for row in rows]),
        "payload_bytes_per_second": mean_and_range([row["payload"] for row in rows]),
        "wire_bytes_per_second": mean_and_range([row["wire"] for row in rows]),
        "links": mean_and_range([stats["links"] for stats in after]),
        "rss_mib": mean_and_range([stats["rss_kib"] / 1024 for stats in after]),
        "news_items": mean_and_range([stats["news"] for stats in after]),
    }


def compute_usage(before: dict, after: dict) -> dict:
    """Return the usage of one process per second; bytes are sent plus received."""
    seconds = after["at"] - before["at"]
    payload = after["payload_bytes"] - before["payload_bytes"]
    segments = after["segments"] - before["segments"]
    return {
        "cpu_percent": 100 * (after["cpu_seconds"] - before["cpu_seconds"]) / seconds,
        "payload": payload / seconds,
        "wire": (payload + HEADER_BYTES * segments) / seconds,
    }


def mean_and_range(values: list[float]) -> dict:
    """Return the mean, the smallest and the largest value."""
    return {
        "mean": round(statistics.fmean(values), 4),
        "min": round(min(values), 4),
        "max": round(max(values), 4),
    }


def measure_propagation(peers: PeerProcesses) -> dict:
    """Return the time in milliseconds that single items take to reach all nodes."""
    sent = {}
    for number in range(PROPAGATED_ITEMS):
        index = number % len(peers.nodes)
        key = f"probe-{number}"
        sent[key] = peers.ask(index, "publish", key=key, version=1)["at"]
        time.sleep(0.25)
    time.sleep(1.0)
    arrivals = [answer["arrivals"] for answer in peers.ask_all("arrivals")]
    reached = sum(all(key in item for item in arrivals) for key in sent)
    delays = [
        1000 * (max(item[key] for item in arrivals if key in item) - at)
        for key, at in sent.items()
    ]
    return {
        "items": len(sent),
        "reached_all": reached,
        "milliseconds_p50": round(statistics.median(delays), 2),
        "milliseconds_max": round(max(delays), 2),
    }


def run_size(count: int, max_links: int, seconds: float, gossip: bool) -> dict:
    """Return the figures of ``count`` nodes, with those of gossip if asked for."""
    data_centres = 3 if count < 12 else 6
    peers = PeerProcesses(count, data_centres, max_links=max_links)
    try:
        all_live = peers.wait_live(list(range(count)), count)
        time.sleep(SETTLE_SECONDS)
        result = {
            "nodes": count,
            "data_centres": data_centres,
            "max_links": max_links,
            "all_live_seconds": round(all_live, 2),
            "rss_imported_mib": mean_and_range(
                [kib / 1024 for kib in peers.rss_imported_kib]
            ),
            "idle": measure_usage(peers, seconds),
        }
        if gossip:
            result["news"] = measure_usage(
                peers,
                seconds,
                lambda n: peers.ask(n % count, "publish", key=f"k{n % 50}", version=n),
            )
            result["propagation"] = measure_propagation(peers)
    finally:
        peers.stop()
    return result


def measure_loss(count: int, seconds: float) -> dict:
    """Kill a data centre; return when the other nodes agree, and their usage since."""
    data_centres = 6
    peers = PeerProcesses(count, data_centres)
    try:
        peers.wait_live(list(range(count)), count)
        time.sleep(SETTLE_SECONDS)
        killed = [index for index in range(count) if index % data_centres == 0]
        remaining = [index for index in range(count) if index not in killed]
        before = [peers.ask(index, "stats") for index in remaining]
        for index in killed:
            peers.processes[index].kill()
        agreed_seconds = peers.wait_live(remaining, len(remaining))
        time.sleep(seconds)
        after = [peers.ask(index, "stats") for index in remaining]
        live = [stats["live"] for stats in after]
    finally:
        peers.stop()
    rows = [compute_usage(*pair) for pair in zip(before, after, strict=True)]
    return {
        "nodes": count,
        "killed": len(killed),
        "agreed_seconds": round(agreed_seconds, 2),
        "measured_seconds": round(agreed_seconds + seconds, 1),
        "live_at_the_end": mean_and_range(live),
        "payload_bytes_per_second": mean_and_range([row["payload"] for row in rows]),
        "cpu_percent": mean_and_range([row["cpu_percent"] for row in rows]),
    }


def model_target(count: int, data_centres: int, max_links: int) -> dict:
    """Return link counts, and CPU times of functions that grow with the nodes."""
    nodes = [
        Node(f"node-{i:03d}", f"dc-{i % data_centres}", "region", "ip", 1, 2, 3)
        for i in range(count)
    ]
    pairs = set()
    started = time.process_time()
    for node in nodes:
        candidates = [item for item in nodes if item is not node]
        for peer in choose_links(node, candidates, max_links):
            pairs.add(frozenset((node.id, peer.id)))
    choosing = time.process_time() - started
    degrees = [sum(node.id in pair for pair in pairs) for node in nodes]
    started = time.process_time()
    for index in range(count):
        rank_nodes(f"key-{index}", nodes)
    ranking = time.process_time() - started
    return {
        "nodes": count,
        "links_without_refusals": mean_and_range(degrees),
        "links_limit": 2 * max_links + MAX_EXTRA_INBOUND_LINKS,
        "choose_links_ms": round(1000 * choosing / count, 3),
        "rank_key_ms": round(1000 * ranking / count, 3),
    }


def fit_slopes(runs: list[dict]) -> dict:
    """Return slopes per link and per item, and what they give at 390 nodes."""
    links = [run["idle"]["links"]["mean"] for run in runs]
    slopes = {}
    for name in ("cpu_percent", "wire_bytes_per_second", "payload_bytes_per_second"):
        values = [run["idle"][name]["mean"] for run in runs]
        slope, base = np.polyfit(links, values, 1)
        slopes[name] = {
            "per_link": round(float(slope), 5),
            "base": round(float(base), 5),
            f"at_{TARGET_NODES}_nodes": round(float(base + slope * TARGET_LINKS), 3),
        }
    for run in (run for run in runs if "news" in run):
        rate = run["news"]["items_published"] / run["news"]["seconds"]
        for name in ("cpu_percent", "wire_bytes_per_second"):
            added = run["news"][name]["mean"] - run["idle"][name]["mean"]
            per_item = slopes.setdefault(f"{name}_per_item_per_second", {})
            per_item[f"{run['nodes']}_nodes"] = round(added / rate, 4)
    return slopes


def main() -> None:
    """Run all sizes, or the loss of a data centre, and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=[6, 12, 24, 48])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--loss", action="store_true", help="kill a data centre")
    parser.add_argument("--name", default="peer_cost")
    args = parser.parse_args()
    if args.loss:
        write_result(args.name, measure_loss(max(args.nodes), args.seconds))
        return
    runs = []
    for count in args.nodes:
        runs.append(run_size(count, 8, args.seconds, gossip=True))
        print(json.dumps(runs[-1]), flush=True)
    for max_links in (2, 4):
        runs.append(run_size(24, max_links, args.seconds, gossip=False))
        print(json.dumps(runs[-1]), flush=True)
    model = model_target(TARGET_NODES, 6, 8)
    result = {"runs": runs, "slopes": fit_slopes(runs), "model": model}
    print(json.dumps({"slopes": result["slopes"], "model": model}, indent=1))
    write_result(args.name, result)


def write_result(name: str, result: dict) -> None:
    """Write a result as JSON to the results directory."""
    RESULTS.mkdir(exist_ok=True)
    text = json.dumps(result, indent=1) + "\n"
    (RESULTS / f"{name}.json").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
