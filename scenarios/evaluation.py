"""Evaluation of the calls of a scenario against the endpoints' ledgers."""

import os
from collections import Counter, defaultdict
from dataclasses import dataclass, fields

from fakes.endpoint_text import expected_text, render_messages
from scenarios.caller import ANSWERED, FAILED, LOST, NOT_RUN, UNKNOWN, CallRecord

VIOLATIONS = ("lost", "wrong_text", "doubled_text", "wrongly_not_run")
VIOLATIONS += ("bookings_run_twice", "answered_not_run")
VIOLATIONS += ("units_over_limit", "versions_reverted")


@dataclass(slots=True)
class Tally:
    """Counts of one scenario or of several; those in VIOLATIONS must stay zero."""

    requests: int = 0
    bookings: int = 0
    faults: int = 0
    answered: int = 0
    not_run: int = 0
    failed: int = 0
    unknown: int = 0
    resumed: int = 0
    repeated: int = 0
    restarted: int = 0
    moved: int = 0
    refused: int = 0
    lost: int = 0
    wrong_text: int = 0
    doubled_text: int = 0
    wrongly_not_run: int = 0
    bookings_run_twice: int = 0
    answered_not_run: int = 0
    units_over_limit: int = 0
    versions_reverted: int = 0

    def add(self, other: "Tally") -> None:
        """Add the counts of another scenario."""
        for item in fields(self):
            total = getattr(self, item.name) + getattr(other, item.name)
            setattr(self, item.name, total)

    def violations(self) -> dict[str, int]:
        """Return the counters in VIOLATIONS that are not zero."""
        return {name: getattr(self, name) for name in VIOLATIONS if getattr(self, name)}


@dataclass(slots=True)
class Ledgers:
    """Ledgers of all endpoints, with the runs by request id and by key."""

    runs_by_request: Counter
    runs_by_key: Counter
    entries: dict[str, list[dict]]  # by endpoint id


def read_ledgers(deployment) -> Ledgers:
    """Return the ledgers of all endpoints of a deployment."""
    entries = {
        endpoint_id: deployment.endpoint(endpoint_id, "GET", "ledger")["entries"]
        for endpoint_id in deployment.endpoints
    }
    by_request: Counter = Counter()
    by_key: Counter = Counter()
    for endpoint_entries in entries.values():
        for entry in endpoint_entries:
            if entry["ran"]:
                by_request[entry["request_id"]] += 1
                by_key[entry["key"]] += bool(entry["key"])
    return Ledgers(by_request, by_key, entries)


def expected_answer(record: CallRecord) -> str:
    """Return the complete answer that the engines generate for a chat."""
    prompt = render_messages([{"role": "user", "content": record.prompt}])
    return expected_text(prompt, record.max_tokens)


def count_outcomes(records: list[CallRecord], ledgers: Ledgers, faults: int) -> Tally:
    """Return the counts of a scenario's calls, including violations in the ledgers."""
    tally = Tally(faults=faults)
    outcomes = {ANSWERED: "answered", NOT_RUN: "not_run", FAILED: "failed"}
    outcomes |= {UNKNOWN: "unknown", LOST: "lost"}
    bookings = defaultdict(list)
    for record in records:
        tally.requests += 1
        name = outcomes.get(record.outcome, "lost")
        setattr(tally, name, getattr(tally, name) + 1)
        tally.resumed += record.resumes
        tally.repeated += record.repeats
        tally.lost += record.withdrawn
        tally.restarted += record.restarts
        tally.moved += record.moves
        tally.refused += record.refusals
        not_run_ids = set(record.not_run_ids)
        tally.wrongly_not_run += sum(
            1 for name in not_run_ids if ledgers.runs_by_request[name]
        )
        if record.kind == "booking":
            bookings[record.key].append(record)
        else:
            _count_chat(tally, record)
    _count_bookings(tally, bookings, ledgers)
    return tally


def describe_wrong_answers(records: list[CallRecord]) -> list[str]:
    """Return a line for each accepted chat without its own complete answer."""
    lines = []
    for record in records:
        if record.kind == "booking" or record.poison:
            continue
        head = f"request {record.number} {' '.join(record.request_ids[-1:])}"
        if record.accepted and record.outcome in (FAILED, UNKNOWN, LOST):
            lines.append(f"{head}: {record.outcome} {record.reason}")
        elif record.outcome == ANSWERED and record.text != expected_answer(record):
            expected = expected_answer(record)
            common_length = len(os.path.commonprefix([record.text, expected]))
            sizes = f"{len(record.text)} characters, {len(expected)} expected"
            events = f"{record.restarts} restarts, {record.moves} moves"
            lines.append(f"{head}: {sizes}, equal up to {common_length}; {events}")
    return lines


def _count_chat(tally: Tally, record: CallRecord) -> None:
    """Count a chat that was accepted and lost, or whose text is wrong."""
    if record.outcome in (FAILED, UNKNOWN) and record.accepted and not record.poison:
        tally.lost += 1
    if record.outcome != ANSWERED:
        return
    expected = expected_answer(record)
    if len(record.text) > len(expected):
        tally.doubled_text += 1
    elif record.text != expected:
        tally.wrong_text += 1


def _count_bookings(tally: Tally, bookings: dict, ledgers: Ledgers) -> None:
    for key, calls in bookings.items():
        tally.bookings += 1
        runs = ledgers.runs_by_key[key]
        tally.bookings_run_twice += runs > 1
        answered = any(call.outcome == ANSWERED for call in calls)
        tally.answered_not_run += answered and runs == 0
