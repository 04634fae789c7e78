"""Checks of what must hold under any faults.

They compare the callers' results, the endpoints' ledgers and the nodes' logs.
"""

from collections import Counter
from collections.abc import Collection
from pathlib import Path

from fakes.gateway_deployment import GRACE_SECONDS
from fakes.gateway_endpoint import EVENTS, LIMIT_WINDOW_SECONDS, busiest_window
from rattanwick.internal.gateway.explanation import read_lines
from soak.callers import STREAM_KINDS, CallResult
from soak.system import NamedLimit, NodeOutage

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Time that a response may take beyond its deadline. Timers fire late on a busy
# machine, and the response still has to reach the caller.
LATENESS_TOLERANCE_SECONDS = 0.5
# A request has been read if its connection ends later than this after its last byte.
READ_SECONDS = 0.2 + LATENESS_TOLERANCE_SECONDS
# A stream may be broken off at the end of a planned stop if its endpoint is still at
# work in the last part of the grace period on a request sent early in the stop.
EARLY_SECONDS = 3.0
LAST_PART_SECONDS = GRACE_SECONDS * 5 / 6
# What the platform allows beyond the limit that an endpoint names, and the time until
# it binds a node.
EXCESS_RATIO = 1.5
EXCESS_REQUESTS = 5
CONTACT_SECONDS = 3.0
# Requests with a part that crashes endpoints may reach them so often after so many
# crashes and the time of contact.
CRASHES_BEFORE_BOUND = 5
MAX_CRASHING_REQUESTS = 3
MAX_RUNS = 2  # of a repeatable request; its routes allow two attempts
CONFIGURATION_EVENT = "node: configuration"
STARTED_EVENT = "node: started"


def check_answers(
    results: list[CallResult], ledger: dict[str, list[dict]]
) -> list[str]:
    """Return the responses that contradict the endpoints' ledgers, described.

    ``ledger`` holds the headers of the requests that ran, by endpoint id.
    """
    runs = count_runs(ledger)
    violations = []
    for result in results:
        max_runs = 1 if result.kind in ("unsafe", "stream") else MAX_RUNS
        if runs[result.id] > max_runs:
            violations.append(
                f"{result.id} ({result.kind}) ran {runs[result.id]} times"
            )
        if result.status in NOT_RUN_STATUSES and runs[result.id]:
            violations.append(f"{result.id} ran and was answered {result.status}")
        if result.status and result.answer_id != result.id:
            violations.append(f"{result.id} got the response to {result.answer_id!r}")
        if result.status == 200:
            violations.extend(_check_body(result))
            if result.complete and not runs[result.id]:
                violations.append(f"{result.id} was answered but ran at no endpoint")
    return violations


def count_runs(ledger: dict[str, list[dict]]) -> Counter:
    """Return the number of runs of each request over all endpoints."""
    return Counter(
        headers["x-request-id"] for entries in ledger.values() for headers in entries
    )


def _check_body(result: CallResult) -> list[str]:
    if result.kind in ("safe", "unsafe"):
        if result.complete and result.body != result.id.encode() * result.body_copies:
            return [f"{result.id} got a wrong body: {result.body[:40]!r}"]
        return []
    expected = b"".join(
        f"id: {number}\ndata: {result.id} {number}\n\n".encode()
        for number in range(1, EVENTS + 1)
    )
    if result.complete and result.body != expected:
        return [f"{result.id} got a complete stream of other text: {result.body!r}"]
    if not expected.startswith(result.body):
        return [f"{result.id} got wrong or reordered events: {result.body!r}"]
    return []


def check_responses(
    results: list[CallResult],
    outages: list[NodeOutage],
    passed_on: Collection[str] = (),
) -> list[str]:
    """Return the requests with a late, incomplete or no response.

    Requests that overlap with an unplanned outage of their node are passed over. During
    a planned stop, a response is owed only to requests that the node has read.
    ``passed_on`` holds the ids of requests that reached an endpoint.
    """
    violations = []
    for result in results:
        overlapping = [
            outage
            for outage in outages
            if result.node == outage.node
            and result.started < outage.ended
            and outage.started < result.ended
        ]
        if not all(outage.planned for outage in overlapping):
            continue
        if not _is_owed(result, bool(overlapping), result.id in passed_on):
            continue
        seconds = result.ended - result.started - result.paused
        if seconds > result.deadline + LATENESS_TOLERANCE_SECONDS:
            violations.append(
                f"{result.id} took {seconds:.2f} s: {result.status} {result.error}"
            )
        elif not result.status and result.node:
            place = "at an endpoint" if result.id in passed_on else "not passed on"
            violations.append(
                f"{result.id} ({result.kind}, {place}) got no response"
                f"{_describe_stop(overlapping, result)}: {result.error}"
            )
        elif (
            result.sound_endpoints
            and not result.complete
            and result.ended - result.started < result.deadline
            and not any(_may_break_stream(outage, result) for outage in overlapping)
        ):
            violations.append(
                f"{result.id} ({result.kind}) was broken off"
                f"{_describe_stop(overlapping, result)}: {result.error}"
            )
    return violations


def _is_owed(result: CallResult, stopping: bool, passed_on: bool) -> bool:
    """Return whether a node must answer a request, of which it may be stopping."""
    if passed_on or result.status:
        return True
    if result.follows_close:
        return False
    was_read = (
        result.sent_at is not None and result.ended - result.sent_at > READ_SECONDS
    )
    return was_read or not stopping


def _describe_stop(stops: list[NodeOutage], result: CallResult) -> str:
    """Return when a request was sent and ended, in seconds after SIGTERM."""
    started = [stop.started for stop in stops if stop.started < result.ended]
    if not started or result.sent_at is None:
        return ""
    sent, ended = result.sent_at - max(started), result.ended - max(started)
    return f", sent {sent:.2f} s and ended {ended:.2f} s after SIGTERM"


def _may_break_stream(stop: NodeOutage, result: CallResult) -> bool:
    return (
        result.kind in STREAM_KINDS
        and result.sent_at is not None
        and result.sent_at - stop.started <= EARLY_SECONDS
        and result.ended - stop.started >= LAST_PART_SECONDS
    )


def check_limits(
    limits: list[NamedLimit], results: list[CallResult], outages: list[NodeOutage]
) -> list[str]:
    """Return the endpoints that got more requests than their limits allow.

    Requests of a node are passed over during its outage and until the node is in
    contact with the others again.
    """
    nodes = {result.id: result.node for result in results}
    violations = []
    for limit in limits:
        times = [
            arrived
            for arrived, request_id in limit.endpoint.arrivals
            if arrived < limit.ended
            and not any(
                nodes.get(request_id) == outage.node
                and outage.started <= arrived < outage.ended + CONTACT_SECONDS
                for outage in outages
            )
        ]
        most = busiest_window(times, limit.started + CONTACT_SECONDS)
        if most > limit.rate * EXCESS_RATIO * LIMIT_WINDOW_SECONDS + EXCESS_REQUESTS:
            violations.append(
                f"{limit.endpoint.id} got {most} requests in {LIMIT_WINDOW_SECONDS} s, "
                f"with a limit of {limit.rate} a second"
            )
    return violations


def check_crashing_requests(
    crashes: list[float],
    arrivals: list[tuple[float, str]],
    nodes: dict[str, tuple[str, int] | None],
    outages: list[NodeOutage],
) -> list[str]:
    """Return how many requests crashed endpoints after all nodes had to know better.

    ``arrivals`` are times and ids of requests at endpoints, ``nodes`` the nodes that
    the requests with the part were sent to, by id. Those of a node in an outage, or not
    yet in contact again, are passed over.
    """
    crashes = sorted(crashes)
    if len(crashes) < CRASHES_BEFORE_BOUND:
        return []
    bound = crashes[CRASHES_BEFORE_BOUND - 1] + CONTACT_SECONDS
    late = [
        request_id
        for arrived, request_id in arrivals
        if request_id in nodes
        and arrived > bound
        and not any(
            nodes[request_id] == outage.node
            and outage.started <= arrived < outage.ended + CONTACT_SECONDS
            for outage in outages
        )
    ]
    if len(late) <= MAX_CRASHING_REQUESTS:
        return []
    return [f"{len(late)} requests with a part that crashes endpoints: {late[:8]}"]


def check_recovery(results: list[CallResult]) -> list[str]:
    """Return the requests that failed after the system had recovered."""
    return [
        f"{result.id} failed after the recovery: {result.status} {result.error}"
        for result in results
        if not result.succeeded
    ]


def check_log(path: Path, version: int) -> list[str]:
    """Return what is wrong in a node's log.

    The configuration version must not decrease until the node starts again and
    must end at ``version``, and no line may hold an exception.
    """
    violations = []
    current = 0
    # A killed process may leave an incomplete last line, which is skipped.
    text = path.read_text(encoding="utf-8", errors="replace")
    for line in read_lines(text.splitlines())[0]:
        if line.message == STARTED_EVENT:
            current = 0
        elif line.message == CONFIGURATION_EVENT:
            adopted = line.fields["version"]
            if adopted < current:
                violations.append(f"{path.stem} went back to configuration {adopted}")
            current = adopted
        if "exc_info" in line.fields:
            trace = line.fields["exc_info"][-300:]
            violations.append(f"{path.stem}: {line.message}: {trace}")
    if current != version:
        violations.append(f"{path.stem} has configuration {current}, not {version}")
    return violations
