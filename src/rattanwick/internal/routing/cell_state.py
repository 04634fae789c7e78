"""What runs on the endpoints of a cell, as its owner or one node knows it."""

from dataclasses import dataclass, field

from rattanwick.internal.model.requests import Usage
from rattanwick.internal.routing.cells import Cell
from rattanwick.internal.routing.health import (
    FAILURE_RATIO,
    HealthTracker,
    SlownessSample,
)
from rattanwick.internal.routing.load_reports import LoadReports
from rattanwick.internal.routing.messages import PlacementRequest, ProgressNote
from rattanwick.internal.routing.prefix_cache import PrefixCacheTracker
from rattanwick.internal.routing.snapshots import EndpointState
from rattanwick.internal.routing.work_estimates import (
    Features,
    WorkHistory,
    features_of,
)

OVERDUE_RATIO = 2.0  # over the longest short work, at which a request is long
LATEST_MEAN_SECONDS = 2.0  # longest stream whose mean still tells of the present
NEUTRAL_REASONS = frozenset(("", "cancelled"))  # reasons that say nothing of health


@dataclass(slots=True)
class RunningPlacement:
    """Hold a placement that is in flight."""

    ticket: str
    node: str
    request_id: str
    endpoint_id: str
    short: bool
    work: float  # seconds
    placed: float  # monotonic seconds
    request: PlacementRequest | None = None
    queued_seconds: float = 0.0
    trial: bool = False  # the endpoint was set aside as slow
    cached: float = 0.0  # share of the prompt believed to be cached


@dataclass(slots=True)
class Counts:
    """Count what runs on one endpoint."""

    short: int = 0
    long: int = 0
    finish: float = 0.0  # sum of expected finish times, monotonic seconds


@dataclass(slots=True)
class CellState:
    """Hold placements in flight, health, reports and prefixes of a cell."""

    cell: Cell
    history: WorkHistory
    health: HealthTracker
    running: dict[str, RunningPlacement] = field(default_factory=dict)
    prefixes: PrefixCacheTracker = field(default_factory=PrefixCacheTracker)
    reports: LoadReports = field(default_factory=LoadReports)
    _counts: dict[str, Counts] = field(default_factory=dict)

    def add(self, item: RunningPlacement, now: float) -> None:
        """Count a placement."""
        self.running[item.ticket] = item
        counts = self._counts.setdefault(item.endpoint_id, Counts())
        if item.short:
            counts.short += 1
        else:
            counts.long += 1
        counts.finish += item.placed + item.work
        self.reports.note_count(item.endpoint_id, counts.short + counts.long, now)
        item.trial = self.health.begin_trial(item.endpoint_id, item.ticket)
        if item.request is not None:
            self.prefixes.add(item.endpoint_id, item.request.prefix)

    def remove(self, ticket: str, now: float) -> RunningPlacement | None:
        """Stop counting a placement."""
        item = self.running.pop(ticket, None)
        if item is None:
            return None
        counts = self._counts[item.endpoint_id]
        if item.short:
            counts.short -= 1
        else:
            counts.long -= 1
        counts.finish -= item.placed + item.work
        self.reports.note_count(item.endpoint_id, counts.short + counts.long, now)
        return item

    def finish(self, ticket: str, usage: Usage, now: float) -> RunningPlacement | None:
        """Stop counting a placement and learn from what was observed.

        Of a placement taken over from another owner the ask is not known, so
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
        ratio = self._ratio(features, usage, now - item.placed)
        if ratio is not None:
            evidence = SlownessSample(item.ticket, now, ratio)
            self.health.observe(item.endpoint_id, evidence, now)
        self.history.observe(features, usage)
        if usage.ok:
            cached = usage.cached_tokens
            self.prefixes.learn(item.endpoint_id, item.cached, cached)

    def reclassify(self, short_seconds: float, now: float) -> None:
        """Count requests that ran longer than short work may as long."""
        limit = short_seconds * OVERDUE_RATIO
        for item in self.running.values():
            if item.short and now - item.placed > limit:
                item.short = False
                self._counts[item.endpoint_id].short -= 1
                self._counts[item.endpoint_id].long += 1

    def observe(self, note: ProgressNote, now: float) -> None:
        """Take in how a stream goes."""
        evidence = SlownessSample(note.ticket, now, note.ratio)
        self.health.observe(note.endpoint_id, evidence, now)

    def endpoint_states(self, usable: set[str], now: float) -> list[EndpointState]:
        """Return the usable endpoints as a decision reads them."""
        states = []
        for item in self.cell.endpoints:
            if item.id not in usable:
                continue
            counts = self._counts.get(item.id) or Counts()
            own = counts.short + counts.long
            foreign = self.reports.foreign(item.id, now)
            running = own + round(foreign)
            states.append(
                EndpointState(
                    id=item.id,
                    data_centre=item.data_centre,
                    slots=item.slots,
                    short_running=counts.short,
                    long_running=counts.long,
                    remaining_seconds=max(counts.finish - own * now, 0.0),
                    foreign=foreign,
                    slowness=self.health.slowness(item.id, now),
                    open_slots=self.health.open_slots(item, running, now),
                    price=item.price,
                    aside=self.health.is_ejected(item.id),
                    trial_overdue=self.health.is_trial_overdue(item.id, now),
                )
            )
        return states

    def usable_slots(self, usable: set[str]) -> int:
        """Return the slots of endpoints that are usable and not set aside."""
        return sum(
            self.health.full_slots(item)
            for item in self.cell.endpoints
            if item.id in usable
        )

    def cached_shares(
        self, states: list[EndpointState], prefix: list[int]
    ) -> list[float]:
        """Return the share of a prompt that each endpoint probably has cached."""
        return [self.prefixes.cached_share(item.id, prefix) for item in states]

    def _ratio(self, features: Features, usage: Usage, age: float) -> float | None:
        """Return observed over expected time; the mean of a long stream is old."""
        if usage.ok:
            slowness = self.history.slowness(features, usage)
            return slowness if age <= LATEST_MEAN_SECONDS else None
        return None if usage.reason in NEUTRAL_REASONS else FAILURE_RATIO
