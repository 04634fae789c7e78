"""Promises that must hold whatever faults came, from callers' and endpoints' view."""

from collections import Counter
from pathlib import Path

from fakes.gateway_endpoint import EVENTS
from rattanwick.internal.gateway.explanation import read_lines
from soak.callers import DEADLINE_SECONDS, CallResult
from soak.system import NodeOutage

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Beyond the deadline of a request: timers of a busy machine and the way back.
LATE_SECONDS = 0.5
MOST_RUNS = 2  # of a repeatable request, by its route
CONFIGURATION = "node: configuration"
STARTED = "node: started"


def check_answers(told: list[CallResult], ledger: dict[str, list[dict]]) -> list[str]:
    """Return broken promises on what callers were told."""
    runs = count_runs(ledger)
    broken = []
    for item in told:
        most = 1 if item.kind in ("unsafe", "stream") else MOST_RUNS
        if runs[item.id] > most:
            broken.append(f"{item.id} ({item.kind}) ran {runs[item.id]} times")
        if item.status in NOT_RUN_STATUSES and runs[item.id]:
            broken.append(f"{item.id} ran and was answered {item.status}")
        if item.status and item.answer_id != item.id:
            broken.append(f"{item.id} got the answer to {item.answer_id!r}")
        if item.status == 200:
            broken.extend(_check_body(item))
            if item.complete and not runs[item.id]:
                broken.append(f"{item.id} was answered and ran nowhere")
    return broken


def count_runs(ledger: dict[str, list[dict]]) -> Counter:
    """Return how often each request ran."""
    return Counter(
        headers["x-request-id"] for entries in ledger.values() for headers in entries
    )


def _check_body(item: CallResult) -> list[str]:
    if item.kind in ("safe", "unsafe"):
        if item.complete and item.body != item.id.encode():
            return [f"{item.id} got the body {item.body[:40]!r}"]
        return []
    wanted = b"".join(
        f"id: {number}\ndata: {item.id} {number}\n\n".encode()
        for number in range(1, EVENTS + 1)
    )
    if item.complete and item.body != wanted:
        return [f"{item.id} got a whole stream that differs: {item.body!r}"]
    if not wanted.startswith(item.body):
        return [f"{item.id} got events out of order: {item.body!r}"]
    return []


def check_response_times(
    told: list[CallResult], disturbances: list[NodeOutage]
) -> list[str]:
    """Return requests that had no answer in time while their node was well."""
    broken = []
    for item in told:
        if any(
            item.node == one.node
            and item.started < one.ended
            and one.started < item.ended
            for one in disturbances
        ):
            continue
        took = item.ended - item.started
        if took > DEADLINE_SECONDS + LATE_SECONDS:
            broken.append(f"{item.id} took {took:.2f} s: {item.status} {item.error}")
        elif not item.status and item.node:
            broken.append(f"{item.id} had no answer: {item.error}")
    return broken


def check_recovery(told: list[CallResult]) -> list[str]:
    """Return requests that failed after the faults had ended and been survived."""
    return [
        f"{item.id} failed after the recovery: {item.status} {item.error}"
        for item in told
        if not item.succeeded
    ]


def check_log(path: Path, version: int) -> list[str]:
    """Return what a node's log shows of older configurations and exceptions."""
    broken = []
    known = 0
    # A killed process may leave half a line, which cannot be read.
    text = path.read_text(encoding="utf-8", errors="replace")
    for line in read_lines(text.splitlines())[0]:
        if line.message == STARTED:
            known = 0
        elif line.message == CONFIGURATION:
            version_in_force = line.fields["version"]
            if version_in_force < known:
                broken.append(f"{path.stem} went back to {version_in_force}")
            known = version_in_force
        if "exc_info" in line.fields:
            trace = line.fields["exc_info"][-300:]
            broken.append(f"{path.stem}: {line.message}: {trace}")
    if known != version:
        broken.append(f"{path.stem} has configuration {known}, not {version}")
    return broken
