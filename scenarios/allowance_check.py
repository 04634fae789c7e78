"""Compare the endpoints' ledgers with the allowances."""

import configparser
import time
from collections import Counter
from pathlib import Path

import gevent

from fakes.endpoint_faults import WINDOW_SECONDS


def wait_for_window(seconds: float) -> None:
    """Wait until a window has at least so many seconds left."""
    left = WINDOW_SECONDS - time.time() % WINDOW_SECONDS
    if left < seconds:
        gevent.sleep(left + 0.1)


def read_list(path: Path) -> configparser.ConfigParser:
    """Return the sections of a list."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(path, encoding="utf-8")
    return parser


def units_over_limit(
    folder: Path, endpoints: dict[str, dict], entries: dict[str, list[dict]]
) -> int:
    """Return tokens and requests that ran above an allowance in any window.

    The prompt of a request is counted once, its output at every endpoint.
    """
    plan_of = _plans_by_organisation(read_list(folder / "plans.ini"))
    used: Counter = Counter()
    seen = set()
    for endpoint_id, endpoint_entries in entries.items():
        pool = endpoints[endpoint_id]["pool"]
        for entry in endpoint_entries:
            plan = plan_of.get(entry["organisation"])
            if not entry["ran"] or plan is None:
                continue
            place = (plan, pool, entry["window"])
            used[*place, "tokens_per_minute"] += entry["output_tokens"]
            if entry["request_id"] not in seen:
                seen.add(entry["request_id"])
                used[*place, "tokens_per_minute"] += entry["prompt_tokens"]
                used[*place, "requests_per_minute"] += 1
    allowances = read_list(folder / "allowances.ini")
    over = 0
    for (plan, pool, _, unit), amount in used.items():
        limit = allowances.getint(f"allowance {plan} {pool}", unit, fallback=0)
        over += max(0, amount - limit)
    return over


def _plans_by_organisation(plans: configparser.ConfigParser) -> dict[str, str]:
    prefix = "organisation "
    return {
        name.removeprefix(prefix): plans[name]["plan"]
        for name in plans.sections()
        if name.startswith(prefix)
    }
