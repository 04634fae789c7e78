"""Attribute requests that were not served to causes, from the logs of nodes.

    python -m bench.attribute LOG... [--window SECONDS] [--worst N]

The lines of the logs may have other text before them. Times are seconds since the
first request ended. Each ended request counts once, so a caller that was refused and
tried again counts twice.
"""

import argparse
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from rattanwick.internal.gateway.explanation import LogLine, read_lines

SERVED_PREFIX = "answered_2"
# Outcomes that the caller caused; no other decision of the nodes would change them.
CALLER_FAULTS = ("unknown_key", "no_route", "caller_gone")
END_MESSAGES = ("relay: ended", "relay: refused")
ENTRY_MESSAGE = "endpoints: entry"
ENTRY_REMOVED_MESSAGE = "endpoints: entry removed"
PERCENTILES = (0.05, 0.5, 0.95, 0.99)


@dataclass(slots=True)
class FailureReport:
    """Outcomes of requests, lateness, engine time and orders found in the logs."""

    first_end: float  # wall time at which the first request ended
    last_end: float
    # Counts of outcomes, by number of the window.
    outcomes: dict[int, Counter] = field(default_factory=lambda: defaultdict(Counter))
    by_route: dict[str, Counter] = field(default_factory=lambda: defaultdict(Counter))
    # By route: how much later than expected the first event or answer came; negative
    # if earlier.
    lateness_ms: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    engine_seconds: Counter = field(default_factory=Counter)  # by class
    orders: Counter = field(default_factory=Counter)  # by class and outcome


def reason_of(line: LogLine) -> str:
    """Return the outcome or reason of a line without its details."""
    stated = line.fields.get("outcome") or line.fields.get("reason") or "not stated"
    first, _, rest = stated.partition(": ")
    return f"{first}: {rest.partition(':')[0]}" if first == "refused" else first


def is_avoidable(reason: str) -> bool:
    """Return whether a request with this outcome could have been served."""
    return not reason.startswith((SERVED_PREFIX, *CALLER_FAULTS))


def attribute_failures(lines: list[LogLine], window: float) -> FailureReport:
    """Return the report of all lines, in windows of ``window`` seconds.

    Raise SystemExit if no request ended in these logs.
    """
    lines = sorted(lines, key=lambda line: line.time)
    ends = [line for line in lines if line.message in END_MESSAGES]
    if not ends:
        raise SystemExit("no request ended in these logs")
    report = FailureReport(ends[0].time, ends[-1].time)
    for line in ends:
        reason = reason_of(line)
        number = int((line.time - report.first_end) / window)
        report.outcomes[number][reason] += 1
        report.by_route[line.fields.get("route", "")][reason] += 1
        fields = line.fields
        first, expected = fields.get("first_ms"), fields.get("expected_ms")
        if reason.startswith(SERVED_PREFIX) and None not in (first, expected):
            report.lateness_ms[fields["route"]].append(first - expected)
    _sum_engine_seconds(report, lines)
    for line in lines:
        if line.message == "orders: order":
            outcome = line.fields["outcome"].partition(":")[0]
            report.orders[_class_of(line), outcome] += 1
    return report


def _class_of(line: LogLine) -> str:
    return "reclaimable" if line.fields["reclaimable"] else "full price"


def _sum_engine_seconds(report: FailureReport, lines: list[LogLine]) -> None:
    """Add up, by class, the seconds in which endpoints were listed and not leaving.

    An endpoint counts from the first node that lists it to the first that drops it.
    """
    listed: dict[str, tuple[float, str]] = {}
    for line in lines:
        if line.message not in (ENTRY_MESSAGE, ENTRY_REMOVED_MESSAGE):
            continue
        name = line.fields["endpoint"]
        if line.message == ENTRY_MESSAGE and not line.fields["leaving"]:
            listed.setdefault(name, (max(line.time, report.first_end), _class_of(line)))
        elif name in listed:
            since, kind = listed.pop(name)
            report.engine_seconds[kind] += max(line.time - since, 0.0)
    for since, kind in listed.values():
        report.engine_seconds[kind] += report.last_end - since


def print_report(report: FailureReport, window: float, worst: int) -> None:
    """Print the report with the ``worst`` windows."""
    avoidable = {
        number: sum(count for reason, count in ends.items() if is_avoidable(reason))
        for number, ends in report.outcomes.items()
    }
    print(f"the {worst} windows with most requests that were not served")
    for number in sorted(avoidable, key=lambda n: -avoidable[n])[:worst]:
        counts = ", ".join(f"{r} {n}" for r, n in report.outcomes[number].most_common())
        print(
            f"  from {number * window:5.1f} s  {avoidable[number]:4} not served: "
            f"{counts}"
        )
    print("ends by route")
    for route, ends in sorted(report.by_route.items()):
        counts = ", ".join(f"{reason} {n}" for reason, n in ends.most_common())
        print(f"  {route or 'before a route was found'}: {counts}")
    print("first event or answer later than expected, ms")
    for route, errors in sorted(report.lateness_ms.items()):
        errors.sort()
        percentiles = "  ".join(
            f"p{share * 100:g} {errors[int(share * (len(errors) - 1))]}"
            for share in PERCENTILES
        )
        print(f"  {route}: {len(errors)} requests  {percentiles}")
    print("seconds of endpoints listed and not leaving, by class")
    for kind, seconds in report.engine_seconds.most_common():
        print(f"  {kind}: {seconds:.0f}")
    print("orders")
    for (kind, outcome), count in report.orders.most_common():
        print(f"  {kind}, {outcome}: {count}")


def main() -> None:
    """Read the logs and print the report."""
    parser = argparse.ArgumentParser(prog="python -m bench.attribute")
    parser.add_argument("logs", nargs="+", type=Path)
    parser.add_argument("--window", type=float, default=2.0, help="seconds")
    parser.add_argument(
        "--worst", type=int, default=5, help="number of windows to print"
    )
    args = parser.parse_args()
    texts = []
    for path in args.logs:
        texts += path.read_text(encoding="utf-8", errors="replace").splitlines()
    lines, unread = read_lines(texts)
    print_report(attribute_failures(lines, args.window), args.window, args.worst)
    print(f"{unread} lines could not be read")


if __name__ == "__main__":
    main()
