"""Comparison of the endpoints' ledgers with the allowances."""

import configparser
import time
from collections import Counter
from pathlib import Path

import gevent

from fakes.endpoint_faults import WINDOW_SECONDS


def wait_for_window(seconds: float) -> None:
    """Wait until the current window has at least ``seconds`` left."""
    seconds_left = WINDOW_SECONDS - time.time() % WINDOW_SECONDS
    if seconds_left < seconds:
        gevent.sleep(seconds_left + 0.1)


def read_list(path: Path) -> configparser.ConfigParser:
    """Return a list file, such as ``plans.ini``, without interpolation."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(path, encoding="utf-8")
    return parser


def units_over_limit(
    folder: Path, endpoints: dict[str, dict], entries: dict[str, list[dict]]
) -> int:
    """Return the tokens and requests that ran above an allowance, over all windows.

    ``folder`` holds the lists, ``entries`` the ledger of each endpoint. The prompt of
    a request is counted once, its output at every endpoint.
    """
    plan_of = _plans_by_organisation(read_list(folder / "plans.ini"))
    used: Counter = Counter()
    counted_requests = set()
    for endpoint_id, endpoint_entries in entries.items():
        pool = endpoints[endpoint_id]["pool"]
        for entry in endpoint_entries:
            plan = plan_of.get(entry["organisation"])
            if not entry["ran"] or plan is None:
                continue
            window_key = (plan, pool, entry["window"])
            used[*window_key, "tokens_per_minute"] += entry["output_tokens"]
            if entry["request_id"] not in counted_requests:
                counted_requests.add(entry["request_id"])
                used[*window_key, "tokens_per_minute"] += entry["prompt_tokens"]
                used[*window_key, "requests_per_minute"] += 1
    allowances = read_list(folder / "allowances.ini")
    excess = 0
    for (plan, pool, _, unit), amount in used.items():
        limit = allowances.getint(f"allowance {plan} {pool}", unit, fallback=0)
        excess += max(0, amount - limit)
    return excess


def _plans_by_organisation(plans: configparser.ConfigParser) -> dict[str, str]:
    prefix = "organisation "
    return {
        name.removeprefix(prefix): plans[name]["plan"]
        for name in plans.sections()
        if name.startswith(prefix)
    }
