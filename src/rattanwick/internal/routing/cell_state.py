"""State of the endpoints of a cell, as its owner or another node knows it."""

from dataclasses import dataclass, field

from rattanwick.internal.model.requests import Usage
from rattanwick.internal.routing.cells import Cell
from rattanwick.internal.routing.health import (
    FAILURE_SLOWNESS,
    HealthTracker,
    SlownessSample,
)
from rattanwick.internal.routing.load_reports import LoadReports
from rattanwick.internal.routing.messages import PlacementRequest, ProgressNote
from rattanwick.internal.routing.prefix_cache import PrefixCacheTracker
from rattanwick.internal.routing.snapshots import EndpointState
from rattanwick.internal.routing.work_estimates import (
    WorkFeatures,
    WorkHistory,
    features_of,
)

OVERDUE_RATIO = 2.0  # times the longest short work; then a request counts as long
MAX_MEAN_AGE_SECONDS = 2.0  # longest attempt whose mean speed is recent enough to use
NEUTRAL_REASONS = frozenset(("", "cancelled"))  # no sign of the endpoint's health


@dataclass(slots=True)
class RunningPlacement:
    """Placement in flight, counted at its endpoint."""

    ticket: str
    node: str
    request_id: str
    endpoint_id: str
    short: bool
    work: float  # seconds
    placed_at: float  # monotonic seconds
    request: PlacementRequest | None = None
    queued_seconds: float = 0.0
    trial: bool = False  # the endpoint was ejected when it was placed
    cached: float = 0.0  # share of the prompt that is probably cached


@dataclass(slots=True)
class EndpointCounts:
    """Counts of the placements in flight at one endpoint."""

    short: int = 0
    long: int = 0
    finish: float = 0.0  # sum of expected finish times, monotonic seconds


@dataclass(slots=True)
class CellState:
    """Placements in flight, health, load reports and cached prefixes of a cell."""

    cell: Cell
    history: WorkHistory
    health: HealthTracker
    running: dict[str, RunningPlacement] = field(default_factory=dict)
    prefixes: PrefixCacheTracker = field(default_factory=PrefixCacheTracker)
    reports: LoadReports = field(default_factory=LoadReports)
    _counts: dict[str, EndpointCounts] = field(default_factory=dict)

    def add(self, item: RunningPlacement, now: float) -> None:
        """Add a placement to the counts of its endpoint."""
        self.running[item.ticket] = item
        counts = self._counts.setdefault(item.endpoint_id, EndpointCounts())
        if item.short:
            counts.short += 1
        else:
            counts.long += 1
        counts.finish += item.placed_at + item.work
        self.reports.record_count(item.endpoint_id, counts.short + counts.long, now)
        item.trial = self.health.begin_trial(item.endpoint_id, item.ticket)
        if item.request is not None:
            self.prefixes.add(item.endpoint_id, item.request.prefix)

    def remove(self, ticket: str, now: float) -> RunningPlacement | None:
        """Remove a placement from the counts, and return it."""
        item = self.running.pop(ticket, None)
        if item is None:
            return None
        counts = self._counts[item.endpoint_id]
        if item.short:
            counts.short -= 1
        else:
            counts.long -= 1
        counts.finish -= item.placed_at + item.work
        self.reports.record_count(item.endpoint_id, counts.short + counts.long, now)
        return item

    def finish(self, ticket: str, usage: Usage, now: float) -> RunningPlacement | None:
        """Remove a placement and learn from its usage.

        The request of a placement that a former owner made is not known, so
        nothing is learned from it.
        """
        item = self.remove(ticket, now)
        if item is None:
            return None
        if item.request is not None:
            self._learn(item, item.request, usage, now)
        self.health.abandon_trial(item.endpoint_id, ticket, now)
        return item

    def _learn(
        self,
        item: RunningPlacement,
        request: PlacementRequest,
        usage: Usage,
        now: float,
    ) -> None:
        features = features_of(request, self.cell.pool)
        ratio = self._ratio(features, usage, now - item.placed_at)
        if ratio is not None:
            sample = SlownessSample(item.ticket, now, ratio)
            self.health.observe(item.endpoint_id, sample, now)
        self.history.observe(features, usage)
        if usage.ok:
            cached = usage.cached_tokens
            self.prefixes.learn(item.endpoint_id, item.cached, cached)

    def reclassify(self, short_seconds: float, now: float) -> None:
        """Count short requests as long once they ran longer than short work may."""
        limit = short_seconds * OVERDUE_RATIO
        for item in self.running.values():
            if item.short and now - item.placed_at > limit:
                item.short = False
                self._counts[item.endpoint_id].short -= 1
                self._counts[item.endpoint_id].long += 1

    def observe(self, note: ProgressNote, now: float) -> None:
        """Update the health of an endpoint with the progress of a stream."""
        sample = SlownessSample(note.ticket, now, note.ratio)
        self.health.observe(note.endpoint_id, sample, now)

    def endpoint_states(self, usable: set[str], now: float) -> list[EndpointState]:
        """Return the state of each usable endpoint as input of a decision."""
        states = []
        for item in self.cell.endpoints:
            if item.id not in usable:
                continue
            counts = self._counts.get(item.id) or EndpointCounts()
            own = counts.short + counts.long
            external = self.reports.external_requests(item.id, now)
            running = own + round(external)
            states.append(
                EndpointState(
                    id=item.id,
                    data_centre=item.data_centre,
                    slots=item.slots,
                    short_running=counts.short,
                    long_running=counts.long,
                    remaining_seconds=max(counts.finish - own * now, 0.0),
                    foreign=external,
                    slowness=self.health.slowness(item.id, now),
                    open_slots=self.health.open_slots(item, running, now),
                    price=item.price,
                    aside=self.health.is_ejected(item.id),
                    trial_overdue=self.health.is_trial_overdue(item.id, now),
                )
            )
        return states

    def usable_slots(self, usable: set[str]) -> int:
        """Return the number of slots that the usable endpoints may use."""
        return sum(
            self.health.allowed_slots(item)
            for item in self.cell.endpoints
            if item.id in usable
        )

    def cached_shares(
        self, states: list[EndpointState], prefix: list[int]
    ) -> list[float]:
        """Return the share of a prompt that is probably cached, for each endpoint."""
        return [self.prefixes.cached_share(item.id, prefix) for item in states]

    def _ratio(self, features: WorkFeatures, usage: Usage, age: float) -> float | None:
        """Return observed over expected time, or None if the attempt does not show it.

        The mean speed of a long stream is not used, since most of it is old. A
        failed attempt counts as very slow.
        """
        if usage.ok:
            slowness = self.history.slowness(features, usage)
            return slowness if age <= MAX_MEAN_AGE_SECONDS else None
        return None if usage.reason in NEUTRAL_REASONS else FAILURE_SLOWNESS
