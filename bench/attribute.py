"""Tell where callers were not served, and why, from nodes' logs.

    python -m bench.attribute LOG... [--window SECONDS] [--worst N]

The logs may hold other text before each line. Times are seconds since the first
request. A request counts where it ended, so a caller that was refused and came back
counts twice.
"""

import argparse
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from rattanwick.internal.gateway.explanation import LogLine, read_lines

SERVED = "answered_2"
# Ends that say something of the caller alone; no better decision would change them.
CALLERS_OWN = ("unknown_key", "no_route", "caller_gone")
ENDS = ("relay: ended", "relay: refused")
LISTED = "endpoints: entry"
REMOVED = "endpoints: entry removed"
PERCENTILES = (0.05, 0.5, 0.95, 0.99)


@dataclass(slots=True)
class FailureReport:
    """Hold what the logs tell of a day."""

    began: float
    ended: float
    ends: dict[int, Counter] = field(default_factory=lambda: defaultdict(Counter))
    by_route: dict[str, Counter] = field(default_factory=lambda: defaultdict(Counter))
    errors_ms: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    engine_seconds: Counter = field(default_factory=Counter)  # by class
    orders: Counter = field(default_factory=Counter)  # by class and outcome


def reason_of(line: LogLine) -> str:
    """Return why a request ended as it did, without its details."""
    stated = line.fields.get("outcome") or line.fields.get("reason") or "not stated"
    first, _, rest = stated.partition(": ")
    return f"{first}: {rest.partition(':')[0]}" if first == "refused" else first


def is_loss(reason: str) -> bool:
    """Tell whether a request that ended so could have been served."""
    return not reason.startswith((SERVED, *CALLERS_OWN))


def attribute_failures(lines: list[LogLine], window: float) -> FailureReport:
    """Return the account of a day, in windows of so many seconds."""
    lines = sorted(lines, key=lambda line: line.time)
    ends = [line for line in lines if line.message in ENDS]
    if not ends:
        raise SystemExit("no request ended in these logs")
    account = FailureReport(ends[0].time, ends[-1].time)
    for line in ends:
        reason = reason_of(line)
        number = int((line.time - account.began) / window)
        account.ends[number][reason] += 1
        account.by_route[line.fields.get("route", "")][reason] += 1
        fields = line.fields
        first, expected = fields.get("first_ms"), fields.get("expected_ms")
        if reason.startswith(SERVED) and None not in (first, expected):
            account.errors_ms[fields["route"]].append(first - expected)
    _note_engines(account, lines)
    for line in lines:
        if line.message == "orders: order":
            outcome = line.fields["outcome"].partition(":")[0]
            account.orders[_class_of(line), outcome] += 1
    return account


def _class_of(line: LogLine) -> str:
    return "reclaimable" if line.fields["reclaimable"] else "full price"


def _note_engines(account: FailureReport, lines: list[LogLine]) -> None:
    """Sum the seconds in which any node had each class of endpoints listed."""
    listed: dict[str, tuple[float, str]] = {}
    for line in lines:
        if line.message not in (LISTED, REMOVED):
            continue
        name = line.fields["endpoint"]
        if line.message == LISTED and not line.fields["leaving"]:
            listed.setdefault(name, (max(line.time, account.began), _class_of(line)))
        elif name in listed:
            since, kind = listed.pop(name)
            account.engine_seconds[kind] += max(line.time - since, 0.0)
    for since, kind in listed.values():
        account.engine_seconds[kind] += account.ended - since


def show(account: FailureReport, window: float, worst: int) -> None:
    """Print the account."""
    losses = {
        number: sum(count for reason, count in ends.items() if is_loss(reason))
        for number, ends in account.ends.items()
    }
    print(f"the {worst} windows with most requests that were not served")
    for number in sorted(losses, key=lambda n: -losses[n])[:worst]:
        told = ", ".join(f"{r} {n}" for r, n in account.ends[number].most_common())
        print(f"  from {number * window:5.1f} s  {losses[number]:4} not served: {told}")
    print("ends by route")
    for route, ends in sorted(account.by_route.items()):
        told = ", ".join(f"{reason} {n}" for reason, n in ends.most_common())
        print(f"  {route or 'before a route was found'}: {told}")
    print("first event or answer later than expected, ms")
    for route, errors in sorted(account.errors_ms.items()):
        errors.sort()
        told = "  ".join(
            f"p{share * 100:g} {errors[int(share * (len(errors) - 1))]}"
            for share in PERCENTILES
        )
        print(f"  {route}: {len(errors)} requests  {told}")
    print("seconds of endpoints listed and not leaving, by class")
    for kind, seconds in account.engine_seconds.most_common():
        print(f"  {kind}: {seconds:.0f}")
    print("orders")
    for (kind, outcome), count in account.orders.most_common():
        print(f"  {kind}, {outcome}: {count}")


def main() -> None:
    """Read the logs and print the account."""
    parser = argparse.ArgumentParser(prog="python -m bench.attribute")
    parser.add_argument("logs", nargs="+", type=Path)
    parser.add_argument("--window", type=float, default=2.0, help="seconds")
    parser.add_argument("--worst", type=int, default=5, help="windows to show")
    args = parser.parse_args()
    texts = []
    for path in args.logs:
        texts += path.read_text(encoding="utf-8", errors="replace").splitlines()
    lines, unread = read_lines(texts)
    show(attribute_failures(lines, args.window), args.window, args.worst)
    print(f"{unread} lines could not be read")


if __name__ == "__main__":
    main()
