"""Checks of what must hold while the store fails or comes back older."""

from dataclasses import dataclass
from pathlib import Path

from fakes.gateway_platform import LeaderCall
from rattanwick.internal.gateway.explanation import read_lines
from soak.callers import CallResult
from soak.checks import (
    CONFIGURATION_EVENT,
    CONTACT_SECONDS,
    LATENESS_TOLERANCE_SECONDS,
    STARTED_EVENT,
)
from soak.store_restores import DRAIN_SECONDS
from soak.system import Acknowledgement, Departure, Disruption, NodeOutage

# Time from the acknowledgement of a configuration until it is in force.
APPLY_SECONDS = 2.0
LEASE_SECONDS = 3.0  # a node must know by then that its calls are refused
MAX_REFUSED_CALLS = 3  # of a node with the same fence, later than that
DENIED_STATUSES = (401, 403, 404)


@dataclass(slots=True)
class NodeTimeline:
    """Starts of a node's processes and the configurations that they adopted."""

    node: tuple[str, int]  # address for callers
    name: str
    versions: list[tuple[float, int]]  # monotonic seconds; version 0 at a start

    def version_at(self, moment: float) -> int:
        """Return the version of the configuration in force at a moment."""
        return next(
            (version for at, version in reversed(self.versions) if at <= moment), 0
        )


def read_timeline(
    path: Path, node: tuple[str, int], clock_offset: float
) -> NodeTimeline:
    """Read the timeline of a node from its log.

    ``clock_offset`` is the wall clock minus the monotonic clock.
    """
    text = path.read_text(encoding="utf-8", errors="replace")
    versions = []
    for line in read_lines(text.splitlines())[0]:
        if line.message == STARTED_EVENT:
            versions.append((line.time - clock_offset, 0))
        elif line.message == CONFIGURATION_EVENT:
            versions.append((line.time - clock_offset, line.fields["version"]))
    return NodeTimeline(node, path.stem, versions)


def calm_moments(since: float, disruptions: list[Disruption]) -> list[float]:
    """Return the first calm moment from a time on, and the first after each disruption.

    A moment is calm if no disruption overlaps with the time of contact before it.
    """
    moments = [since, *(item.ended + CONTACT_SECONDS for item in disruptions)]
    return [
        moment
        for moment in sorted(moments)
        if moment >= since
        and not any(
            item.started < moment and moment - CONTACT_SECONDS < item.ended
            for item in disruptions
        )
    ]


def check_configurations(
    timelines: list[NodeTimeline],
    acknowledgements: list[Acknowledgement],
    outages: list[NodeOutage],
    disruptions: list[Disruption],
    until: float,
) -> list[str]:
    """Return the nodes in which an acknowledged configuration was not in force.

    It must be in force, or a later one, within its bound and at each calm moment after.
    """
    violations = []
    for timeline in timelines:
        own = [
            *disruptions,
            *(
                Disruption(item.started, item.ended)
                for item in outages
                if item.node == timeline.node
            ),
        ]
        for ack in acknowledgements:
            due = ack.at + APPLY_SECONDS
            for moment in calm_moments(due, own):
                moment += LATENESS_TOLERANCE_SECONDS
                version = timeline.version_at(moment)
                if moment < until and version < ack.version:
                    violations.append(
                        f"{timeline.name} had configuration {version} in force "
                        f"{moment - ack.at:.2f} s after version {ack.version} was "
                        f"acknowledged"
                    )
                    break
    return violations


def check_departures(
    departures: list[Departure],
    results: list[CallResult],
    outages: list[NodeOutage],
    disruptions: list[Disruption],
) -> list[str]:
    """Return the endpoints that were used after all nodes knew that they had left.

    Nodes that were in an outage since then are passed over.
    """
    nodes = {result.id: result.node for result in results}
    violations = []
    for departure in departures:
        late = [
            request_id
            for arrived, request_id in departure.endpoint.arrivals
            if _has_left(departure, arrived, disruptions)
            and not any(
                nodes.get(request_id) == outage.node
                and outage.started < arrived
                and departure.at - CONTACT_SECONDS < outage.ended
                for outage in outages
            )
        ]
        if late:
            violations.append(
                f"{departure.endpoint.id} got {len(late)} requests after it had left: "
                f"{late[:8]}"
            )
    return violations


def _has_left(
    departure: Departure, moment: float, disruptions: list[Disruption]
) -> bool:
    """Return whether nodes must know by a moment that an endpoint has left.

    They must if the store has been calm ever since, or had been for long enough for the
    nodes to hear of it. Then a later disruption excuses nothing.
    """
    drained = DRAIN_SECONDS + LATENESS_TOLERANCE_SECONDS
    if moment <= departure.at + drained:
        return False
    if not any(
        item.started < moment and departure.at - CONTACT_SECONDS < item.ended
        for item in disruptions
    ):
        return True
    heard = calm_moments(departure.at + CONTACT_SECONDS, disruptions)
    return bool(heard) and moment > heard[0] + drained


def check_fences(calls: list[LeaderCall]) -> list[str]:
    """Return the fences that two holders sent, or that went back, and repeated calls.

    A holder that is refused must not go on with the same fence for long.
    """
    violations = []
    holders: dict[tuple[str, int], str] = {}
    newest: dict[tuple[str, str], int] = {}
    refused: dict[tuple[str, str, int], list[float]] = {}
    for call in calls:
        holder = holders.setdefault((call.duty, call.fence), call.holder)
        if holder != call.holder:
            violations.append(
                f"{holder} and {call.holder} sent fence {call.fence} for {call.duty}"
            )
        before = newest.get((call.duty, call.holder), 0)
        if call.fence < before:
            violations.append(
                f"{call.holder} sent fence {call.fence} after {before} for {call.duty}"
            )
        newest[call.duty, call.holder] = max(before, call.fence)
        if call.refused:
            key = call.duty, call.holder, call.fence
            refused.setdefault(key, []).append(call.at)
    for (duty, holder, fence), times in refused.items():
        late = [at for at in times if at > times[0] + LEASE_SECONDS]
        if len(late) > MAX_REFUSED_CALLS:
            violations.append(
                f"{holder} sent the refused fence {fence} {len(late)} times for {duty}"
            )
    return list(dict.fromkeys(violations))  # each once


def check_denials(results: list[CallResult]) -> list[str]:
    """Return the requests that were denied, though each configuration allows them."""
    return [
        f"{result.id} was denied: {result.status}"
        for result in results
        if result.status in DENIED_STATUSES
    ]
