"""Course of one request, and what its node believed then, from log lines."""

import json
from collections.abc import Iterable
from dataclasses import dataclass

BELIEF_SECONDS = 10.0  # before a request, for lost and regained dependencies
NODE_MESSAGES = ("lost", "regained", "started", "stopping", "copy fetched")

# What an outcome or a reason means, by its first words.
CAUSES = {
    "answered": "an endpoint answered and the caller has the whole answer",
    "failed_": "an endpoint ran the request and answered with this failure",
    "refused: first_event_too_late": "every engine had so many prompts waiting that "
    "the first event would have missed the objective",
    "refused: endpoints_full": "every endpoint's slots and queue were taken",
    "refused: no_endpoint": "the node knew no endpoint of the service",
    "refused: endpoint declined": "the endpoint stated that it did not run the request",
    "expired": "no answer came from the endpoint in the request's time",
    "stream_expired": "the stream was still running at the end of the request's time",
    "stream_broken": "the endpoint ended the stream before its last event",
    "unknown": "the request was sent and its result is not known",
    "caller_gone": "the caller closed its connection before the answer was whole",
    "over_limit": "the organisation had used up its limit",
    "unknown_key": "the configuration in force held no such key",
    "no_route": "the configuration in force held no such route",
    "no_configuration": "the node had not read a configuration yet",
    "crashes_endpoints": "the same request had crashed as many endpoints as allowed",
}


@dataclass(slots=True, frozen=True)
class LogLine:
    """Hold one decoded line of a node's log."""

    time: float  # Unix seconds
    node: str
    message: str
    fields: dict

    @property
    def event(self) -> str:
        """Return the message without the prefix of its part."""
        return self.message.partition(": ")[2]


@dataclass(slots=True, frozen=True)
class Explanation:
    """Hold what the logs tell of a request."""

    request_lines: list[LogLine]
    related_lines: list[LogLine]
    cause: str


def read_lines(texts: Iterable[str]) -> tuple[list[LogLine], int]:
    """Return the lines that can be read, and how many cannot."""
    lines, unread = [], 0
    for text in texts:
        start = text.find("{")
        if start < 0:
            unread += bool(text.strip())
            continue
        try:
            fields = json.loads(text[start:])
            line = LogLine(
                float(fields.pop("time")),
                str(fields.pop("node", "")),
                str(fields.pop("message")),
                fields,
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            unread += 1
            continue
        lines.append(line)
    return lines, unread


def explain(request_id: str, lines: list[LogLine]) -> Explanation | None:
    """Return what the logs tell of a request, or None where it is not in them."""
    course = [line for line in lines if line.fields.get("request") == request_id]
    if not course:
        return None
    course.sort(key=lambda line: line.time)
    begin, end = course[0].time, course[-1].time
    nodes = {line.node for line in course}
    endpoints = {line.fields.get("endpoint") for line in course} - {None}
    versions = {line.fields.get("configuration") for line in course} - {None}
    beliefs = [
        line
        for line in lines
        if line.node in nodes
        and (
            (line.event in NODE_MESSAGES and begin - BELIEF_SECONDS <= line.time <= end)
            or (
                line.message.startswith("endpoints:")
                and line.fields.get("endpoint") in endpoints
                and line.time <= end + BELIEF_SECONDS
            )
            or (
                line.message == "node: configuration"
                and line.fields.get("version") in versions
            )
        )
    ]
    beliefs.sort(key=lambda line: line.time)
    return Explanation(course, beliefs, _cause(course))


def _cause(course: list[LogLine]) -> str:
    """Return the cause that the last decision on a request gives."""
    for line in reversed(course):
        stated = line.fields.get("outcome") or line.fields.get("reason")
        if line.event in ("ended", "refused") and stated:
            # The longest words that fit: "unknown" begins other reasons too.
            words = max(
                (w for w in CAUSES if stated.startswith(w)), key=len, default=""
            )
            return f"{stated}: {CAUSES[words]}" if words else stated
    return (
        "the node's log ends before the request does: it stopped, or lines are missing"
    )
