"""Log lines of one request, related lines of its node, and why the request ended."""

import json
from collections.abc import Iterable
from dataclasses import dataclass

# Events of the node from this long before a request are related to it. So are lines
# of its endpoint until this long after it.
RELATED_SECONDS = 10.0
# Events of a node that may explain the end of any of its requests.
NODE_MESSAGES = (
    "lost",
    "regained",
    "started",
    "stopping",
    "copy fetched",
    "new era of the store",
    "table read in a new era",
    "older configuration ignored",
    "configuration row is missing",
)
# Lines of any node that show a crash which led to the refusal of a prompt.
CRASH_EVENT = "endpoint closed the connection of a request and accepts no new one"
ENDPOINT_LOGGERS = ("endpoints:", "limits:")  # whose lines each concern one endpoint

# Meaning of each outcome or reason, by its prefix.
OUTCOME_MEANINGS = {
    "answered": "an endpoint answered and the caller got the complete answer",
    "failed_": "an endpoint ran the request and answered with this status",
    "refused: first_event_too_late": "every engine had so many waiting prompts that "
    "the first event would have missed the objective",
    "refused: endpoints_full": "the slots and queues of all endpoints were full",
    "refused: endpoints_limited": "every usable endpoint had reached the limit of "
    "requests per second that it names; the related lines show each limit",
    "refused: endpoints_resting": "every usable endpoint had asked this node to send "
    "nothing for a time; the related lines show the times",
    "refused: no_endpoint": "the node knew no endpoint of the service",
    "refused: endpoint declined": "the endpoint stated that it did not run the request",
    "expired": "the endpoint did not answer before the request's deadline",
    "stream_expired": "the stream was still running at the request's deadline",
    "stream_broken": "the endpoint ended the stream before its last event",
    "unknown": "the request was sent and its result is not known",
    "caller_gone": "the caller closed its connection before the answer was complete",
    "over_limit": "the organisation had used up its rate limit",
    "unknown_key": "the configuration in force held no such key",
    "no_route": "the configuration in force held no such route",
    "no_configuration": "the node had not read a configuration yet",
    "blocked_part": "the prompt holds parts that had crashed several endpoints; the "
    "related lines show which parts, and the crashes",
    "refused: blocked_part": "the prompt holds parts that had crashed several "
    "endpoints, the one that ran this request among them",
    "node_stopping": "the node was stopping and had not enough time left for such a "
    "request",
    "refused: node_stopping": "the node was stopping and had not enough time left for "
    "such a request",
    "ended_by_stop": "the request was still in progress when the process had to end",
    "exception": "an exception that no part of the node expects; the line holds its "
    "traceback",
    "crashes_endpoints": "the same request had crashed as many endpoints as allowed",
}


@dataclass(slots=True, frozen=True)
class LogLine:
    """Decoded line of a node's log."""

    time: float  # Unix seconds
    node: str
    message: str
    fields: dict

    @property
    def event(self) -> str:
        """Return the message without the name of its logger."""
        return self.message.partition(": ")[2]


@dataclass(slots=True, frozen=True)
class Explanation:
    """Log lines of a request, related lines of its node, and why the request ended."""

    request_lines: list[LogLine]
    related_lines: list[LogLine]
    cause: str


def read_lines(texts: Iterable[str]) -> tuple[list[LogLine], int]:
    """Return the decoded lines, and the number of lines that cannot be decoded.

    Text before the JSON object of a line is ignored, and so are empty lines.
    """
    lines, unreadable = [], 0
    for text in texts:
        start = text.find("{")
        if start < 0:
            unreadable += bool(text.strip())
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
            unreadable += 1
            continue
        lines.append(line)
    return lines, unreadable


def explain(request_id: str, lines: list[LogLine]) -> Explanation | None:
    """Return the explanation of a request, or None if the logs do not name it."""
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    if not request_lines:
        return None
    request_lines.sort(key=lambda line: line.time)
    begin, end = request_lines[0].time, request_lines[-1].time
    nodes = {line.node for line in request_lines}
    endpoints = {line.fields.get("endpoint") for line in request_lines} - {None}
    for line in request_lines:
        endpoints.update(line.fields.get("limited_endpoints") or ())
    crashed = {
        endpoint
        for line in request_lines
        if line.fields.get("block")
        for endpoint in line.fields.get("endpoints") or ()
    }
    blocks = {line.fields.get("block") for line in request_lines} - {None}
    versions = {line.fields.get("configuration") for line in request_lines} - {None}
    related_lines = [
        line
        for line in lines
        if line.node in nodes
        and (
            (
                line.event in NODE_MESSAGES
                and begin - RELATED_SECONDS <= line.time <= end
            )
            or (
                line.message.startswith(ENDPOINT_LOGGERS)
                and line.fields.get("endpoint") in endpoints
                and line.time <= end + RELATED_SECONDS
            )
            or (
                line.message == "node: configuration"
                and line.fields.get("version") in versions
            )
            or (
                line.message.startswith("parts:")
                and line.fields.get("block") in blocks
                and line.time <= end
            )
        )
    ]
    related_lines += [
        line
        for line in lines
        if line.event == CRASH_EVENT
        and line.fields.get("endpoint") in crashed
        and line.time <= end
    ]
    related_lines.sort(key=lambda line: line.time)
    return Explanation(request_lines, related_lines, _find_cause(request_lines))


def _find_cause(request_lines: list[LogLine]) -> str:
    """Return the cause given by the last line that ends or refuses the request."""
    for line in reversed(request_lines):
        stated = line.fields.get("outcome") or line.fields.get("reason")
        if line.event in ("ended", "refused") and stated:
            # Use the longest matching prefix: "unknown" is a prefix of other reasons.
            prefix = max(
                (
                    candidate
                    for candidate in OUTCOME_MEANINGS
                    if stated.startswith(candidate)
                ),
                key=len,
                default="",
            )
            return f"{stated}: {OUTCOME_MEANINGS[prefix]}" if prefix else stated
    return (
        "the node's log has no line for the end of the request: the node stopped, "
        "or lines are missing"
    )
