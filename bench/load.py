"""Open-loop load on real nodes or endpoints: ``python -m bench.load``."""

import argparse
import configparser
import json
import sys
import time
from dataclasses import replace
from pathlib import Path

import gevent

from bench.callers import Callers, CallResult, Target, fetch_addresses
from bench.stats import make_histogram, summarize
from bench.workload import Arrival, Profile, Work, make_trace

RESULTS = Path(__file__).parent / "results"
KEYS_SECTION = "keys"
MAX_SEND_DELAY_SECONDS = 0.01
BOOKING_PATH = "/v1/services/agenda-vans/bookings"


def read_keys(path: str) -> dict[str, str]:
    """Return caller keys by organisation from the [keys] section of an INI file.

    Without a path there are no keys.
    """
    if not path:
        return {}
    parser = configparser.ConfigParser(interpolation=None, delimiters=("=",))
    parser.optionxform = str
    parser.read_string(Path(path).read_text(encoding="utf-8"), source=path)
    return dict(parser[KEYS_SECTION])


def rename_organisations(trace: list[Arrival], names: list[str]) -> list[Arrival]:
    """Replace the organisations of a trace, in sorted order, by ``names`` in turn."""
    if not names:
        return trace
    known = sorted({arrival.organisation for arrival in trace})
    mapping = {old: names[index % len(names)] for index, old in enumerate(known)}
    return [
        replace(arrival, organisation=mapping[arrival.organisation])
        for arrival in trace
    ]


def run_trace(callers: Callers, trace: list[Arrival]) -> tuple[list[CallResult], float]:
    """Send each arrival at its time; return the results and the largest send delay.

    The delay is in seconds. Requests do not wait for the answers of earlier ones.
    """
    started = time.monotonic()
    largest_delay = 0.0
    tasks = []
    for arrival in trace:
        delay = started + arrival.at - time.monotonic()
        if delay > 0:
            gevent.sleep(delay)
        largest_delay = max(largest_delay, time.monotonic() - started - arrival.at)
        tasks.append(gevent.spawn(callers.send, arrival, started))
    gevent.joinall(tasks)
    return [task.value for task in tasks], largest_delay


def summarize_results(results: list[CallResult], warm_up: float) -> dict:
    """Return outcomes and latencies by kind of work, without the warm-up."""
    measured = [item for item in results if item.arrival.at >= warm_up]
    report: dict = {"requests": len(measured), "outcomes": _count_outcomes(measured)}
    for work in Work:
        results_of_kind = [item for item in measured if item.arrival.work == work]
        if not results_of_kind:
            continue
        answered = [item for item in results_of_kind if item.outcome == "answered"]
        first = [item.first_token for item in answered if item.first_token is not None]
        total = [item.total for item in answered if item.total is not None]
        report[str(work)] = {
            "outcomes": _count_outcomes(results_of_kind),
            "first_token_ms": summarize(make_histogram(first)),
            "total_ms": summarize(make_histogram(total)),
        }
    return report


def _count_outcomes(results: list[CallResult]) -> dict[str, int]:
    counts = dict.fromkeys(("answered", "not_run", "failed", "unknown"), 0)
    for item in results:
        counts[item.outcome] = counts.get(item.outcome, 0) + 1
    return counts


def print_report(report: dict) -> None:
    """Print the latencies and outcomes of each kind of work."""
    for work in Work:
        part = report.get(str(work))
        if part is None:
            continue
        for name in ("first_token_ms", "total_ms"):
            row = part[name]
            if not row["count"]:
                continue
            print(
                f"{work:8} {name:15} p50 {row['p50']:9.1f} p90 {row['p90']:9.1f} "
                f"p99 {row['p99']:9.1f} p99.9 {row['p99.9']:9.1f} max {row['max']:9.1f}"
            )
        print(f"{work:8} outcomes        {part['outcomes']}")


def make_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(prog="python -m bench.load", description=__doc__)
    parser.add_argument("targets", nargs="+", help="HOST:PORT of nodes or endpoints")
    parser.add_argument(
        "--entry",
        action="store_true",
        help="ask the targets for the addresses of nodes",
    )
    parser.add_argument(
        "--keys", default="", help="INI file with caller keys in [keys]"
    )
    parser.add_argument("--model", default="rattan-afila", help="pool of the engines")
    parser.add_argument(
        "--service",
        default="/v1/services/agenda-vans/bookings",
        help="path of bookings",
    )
    parser.add_argument("--rate", type=float, default=20.0, help="requests per second")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument(
        "--warm-up", type=float, default=5.0, help="seconds at the start to leave out"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--long-share", type=float, default=0.04)
    parser.add_argument("--booking-share", type=float, default=0.1)
    parser.add_argument(
        "--output-tokens", type=int, default=20, help="median of short requests"
    )
    parser.add_argument(
        "--exact-max-tokens",
        action="store_true",
        help="send the drawn output as the limit, for endpoints that always use it up",
    )
    parser.add_argument("--deadline", type=float, default=60.0, help="seconds")
    parser.add_argument(
        "--skew", type=float, default=0.0, help="share of arrivals for the first target"
    )
    parser.add_argument("--name", default="load", help="name of the results file")
    return parser


def find_targets(options: argparse.Namespace, keys: dict[str, str]) -> list[Target]:
    """Return the targets, or with ``--entry`` the nodes that they name."""
    targets = [Target.parse(text) for text in options.targets]
    if not options.entry:
        return targets
    found = [item for target in targets for item in fetch_addresses(target, keys)]
    return list(dict.fromkeys(found))


def main(arguments: list[str] | None = None) -> int:
    """Run a load, print a summary and write it as JSON."""
    options = make_parser().parse_args(arguments)
    keys = read_keys(options.keys)
    targets = find_targets(options, keys)
    profile = Profile(
        rate=options.rate,
        seconds=options.seconds,
        long_share=options.long_share,
        booking_share=options.booking_share,
        short_output_tokens=options.output_tokens,
        deadline_seconds=options.deadline,
        skew=options.skew,
    )
    trace = make_trace(profile, options.seed, len(targets))
    trace = rename_organisations(trace, sorted(keys))
    if options.exact_max_tokens:
        trace = [replace(item, max_output_tokens=item.output_tokens) for item in trace]
    callers = Callers(targets, keys, options.model, options.service)
    results, largest_delay = run_trace(callers, trace)
    callers.close()
    report = summarize_results(results, options.warm_up)
    report["options"] = vars(options)
    report["largest_send_delay_ms"] = round(largest_delay * 1000, 3)
    print_report(report)
    if largest_delay > MAX_SEND_DELAY_SECONDS:
        print(
            f"a request was sent {largest_delay * 1000:.0f} ms late; "
            "the load tool was busy"
        )
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{options.name}.json"
    path.write_text(json.dumps(report, indent=1) + "\n", encoding="utf-8")
    print(f"wrote bench/results/{path.name}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
