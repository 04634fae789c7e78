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

# A short request is overdue if it runs longer than this many times the limit of
# short work.
OVERDUE_RATIO = 2.0
# The mean speed of a longer attempt says too little about the present speed.
MAX_MEAN_SPEED_ATTEMPT_SECONDS = 2.0
# Failure reasons that say nothing about the health of the endpoint.
NEUTRAL_REASONS = frozenset(("", "cancelled"))


@dataclass(slots=True)
class RunningPlacement:
    """Running placement, counted at its endpoint."""

    ticket: str
    node: str
    request_id: str
    endpoint_id: str
    short: bool
    work: float  # seconds
    placed_at: float  # monotonic seconds
    request: PlacementRequest | None = None
    queued_seconds: float = 0.0
    trial: bool = False  # whether the endpoint was ejected at the time of placement
    cached: float = 0.0  # share of the prompt that is probably cached


@dataclass(slots=True)
class EndpointCounts:
    """Counts of the running placements at one endpoint."""

    short: int = 0
    long: int = 0
    finish_time_sum: float = 0.0  # expected finish times, monotonic seconds


@dataclass(slots=True)
class CellState:
    """Running placements, health, load reports and cached prefixes of a cell."""

    cell: Cell
    history: WorkHistory
    health: HealthTracker
    running: dict[str, RunningPlacement] = field(default_factory=dict)
    prefixes: PrefixCacheTracker = field(default_factory=PrefixCacheTracker)
    reports: LoadReports = field(default_factory=LoadReports)
    _counts: dict[str, EndpointCounts] = field(default_factory=dict)

    def add(self, placement: RunningPlacement, now: float) -> None:
        """Add a placement to the counts of its endpoint."""
        self.running[placement.ticket] = placement
        counts = self._counts.setdefault(placement.endpoint_id, EndpointCounts())
        if placement.short:
            counts.short += 1
        else:
            counts.long += 1
        counts.finish_time_sum += placement.placed_at + placement.work
        self.reports.record_count(
            placement.endpoint_id, counts.short + counts.long, now
        )
        placement.trial = self.health.begin_trial(
            placement.endpoint_id, placement.ticket
        )
        if placement.request is not None:
            self.prefixes.add(placement.endpoint_id, placement.request.prefix)

    def remove(self, ticket: str, now: float) -> RunningPlacement | None:
        """Remove a placement from the counts, and return it."""
        placement = self.running.pop(ticket, None)
        if placement is None:
            return None
        counts = self._counts[placement.endpoint_id]
        if placement.short:
            counts.short -= 1
        else:
            counts.long -= 1
        counts.finish_time_sum -= placement.placed_at + placement.work
        self.reports.record_count(
            placement.endpoint_id, counts.short + counts.long, now
        )
        return placement

    def finish(self, ticket: str, usage: Usage, now: float) -> RunningPlacement | None:
        """Remove a placement and learn from its usage.

        A placement that a previous owner made has no request here, so its usage
        updates no statistics.
        """
        placement = self.remove(ticket, now)
        if placement is None:
            return None
        if placement.request is not None:
            self._learn(placement, placement.request, usage, now)
        self.health.abandon_trial(placement.endpoint_id, ticket, now)
        return placement

    def _learn(
        self,
        placement: RunningPlacement,
        request: PlacementRequest,
        usage: Usage,
        now: float,
    ) -> None:
        features = features_of(request, self.cell.pool)
        ratio = self._slowness_ratio(features, usage, now - placement.placed_at)
        if ratio is not None:
            sample = SlownessSample(placement.ticket, now, ratio)
            self.health.observe(placement.endpoint_id, sample, now)
        self.history.observe(features, usage)
        if usage.ok:
            cached = usage.cached_tokens
            self.prefixes.learn(placement.endpoint_id, placement.cached, cached)

    def reclassify(self, short_seconds: float, now: float) -> None:
        """Count overdue short requests as long ones."""
        limit = short_seconds * OVERDUE_RATIO
        for placement in self.running.values():
            if placement.short and now - placement.placed_at > limit:
                placement.short = False
                self._counts[placement.endpoint_id].short -= 1
                self._counts[placement.endpoint_id].long += 1

    def observe(self, note: ProgressNote, now: float) -> None:
        """Update the health of an endpoint with the progress of a stream."""
        sample = SlownessSample(note.ticket, now, note.ratio)
        self.health.observe(note.endpoint_id, sample, now)

    def endpoint_states(self, usable: set[str], now: float) -> list[EndpointState]:
        """Return the state of each usable endpoint as input of a decision."""
        states = []
        for endpoint in self.cell.endpoints:
            if endpoint.id not in usable:
                continue
            counts = self._counts.get(endpoint.id) or EndpointCounts()
            placements = counts.short + counts.long
            external = self.reports.external_requests(endpoint.id, now)
            running = placements + round(external)
            states.append(
                EndpointState(
                    id=endpoint.id,
                    data_centre=endpoint.data_centre,
                    slots=endpoint.slots,
                    short_running=counts.short,
                    long_running=counts.long,
                    remaining_seconds=max(
                        counts.finish_time_sum - placements * now, 0.0
                    ),
                    foreign=external,
                    slowness=self.health.slowness(endpoint.id, now),
                    open_slots=self.health.open_slots(endpoint, running, now),
                    price=endpoint.price,
                    aside=self.health.is_ejected(endpoint.id),
                    trial_overdue=self.health.is_trial_overdue(endpoint.id, now),
                )
            )
        return states

    def usable_slots(self, usable: set[str]) -> int:
        """Return the number of slots that the usable endpoints may use."""
        return sum(
            self.health.allowed_slots(endpoint)
            for endpoint in self.cell.endpoints
            if endpoint.id in usable
        )

    def cached_shares(
        self, states: list[EndpointState], prefix: list[int]
    ) -> list[float]:
        """Return the share of a prompt that is probably cached, for each endpoint."""
        return [self.prefixes.cached_share(state.id, prefix) for state in states]

    def _slowness_ratio(
        self, features: WorkFeatures, usage: Usage, attempt_seconds: float
    ) -> float | None:
        """Return observed divided by expected time of an attempt, or None if unknown.

        The mean speed of a long stream is not used, since most of its tokens were
        produced too long ago. A failed attempt counts as very slow.
        """
        if usage.ok:
            slowness = self.history.slowness(features, usage)
            return (
                slowness if attempt_seconds <= MAX_MEAN_SPEED_ATTEMPT_SECONDS else None
            )
        return None if usage.reason in NEUTRAL_REASONS else FAILURE_SLOWNESS
