"""Measure the resources that a node uses, as slopes that CAPACITY.md extrapolates.

    python -m bench.capacity [--part rest|work|latency|model|all] [--seconds N]

Starts real nodes (``rattanwick serve``), the platform fake and the endpoint fake
as processes on loopback. Raw figures are written to ``bench/results``, together with
the command, the seed and the load average of the machine.
"""

import argparse
import json
import os
import signal
import sys
import time

from bench.capacity_latency import run_latency
from bench.capacity_model import run_model
from bench.capacity_rest import run_idle
from bench.capacity_work import run_work
from fakes.deployment import ROOT

RESULTS = ROOT / "bench" / "results"
PARTS = ("rest", "work", "latency", "model")


def print_json(value) -> None:
    """Print one line of JSON."""
    print(json.dumps(value), flush=True)


def run_part(name: str, args: argparse.Namespace) -> dict:
    """Return the figures of one part."""
    if name == "rest":
        return run_idle(args.nodes, args.endpoints, args.seconds, print_json)
    if name == "work":
        return run_work(args.seed, print_json)
    if name == "model":
        return run_model(RESULTS)
    return run_latency(args.rounds, args.seed, print_json)


def write_result(name: str, result: dict) -> None:
    """Write a result as JSON to the results directory."""
    RESULTS.mkdir(exist_ok=True)
    text = json.dumps(result, indent=1) + "\n"
    (RESULTS / f"{name}.json").write_text(text, encoding="utf-8")


def main() -> int:
    """Run the chosen parts and write their figures."""
    parser = argparse.ArgumentParser(prog="bench.capacity", description=__doc__)
    parser.add_argument("--part", choices=(*PARTS, "all"), default="all")
    parser.add_argument("--nodes", type=int, nargs="+", default=[6, 12, 24, 48])
    parser.add_argument("--endpoints", type=int, nargs="+", default=[12, 200, 600])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--name", default="capacity")
    args = parser.parse_args()
    # Make SIGTERM end the started processes too, as an interrupt does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    for part in PARTS if args.part == "all" else (args.part,):
        result = {
            "command": "python -m bench.capacity " + " ".join(sys.argv[1:]),
            "seed": args.seed,
            "date": time.strftime("%Y-%m-%d"),
            "cores": os.cpu_count(),
            "load_average_before": round(os.getloadavg()[0], 2),
        }
        result |= run_part(part, args)
        result["load_average_after"] = round(os.getloadavg()[0], 2)
        write_result(f"{args.name}_{part}", result)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
