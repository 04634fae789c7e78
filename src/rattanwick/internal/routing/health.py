"""Detection of slow endpoints from observed time per token."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from statistics import median

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.model.instances import Endpoint
from rattanwick.internal.routing import metrics

log = get_logger("routing")

EVIDENCE_KEPT = 8
EVIDENCE_USED = 3  # the median needs two of three, so one odd request is no proof
EVIDENCE_SECONDS = 20.0
REDUCED_SLOWNESS = 1.8
ASIDE_SLOWNESS = 3.0
RECOVERED_SLOWNESS = 1.5
FAILURE_RATIO = 10.0
FIRST_TRIAL_SECONDS = 1.0
LONGEST_TRIAL_SECONDS = 16.0
TRIAL_SLOTS = 1


class HealthState(StrEnum):
    """Tell how much work an endpoint gets."""

    ACTIVE = "active"
    REDUCED = "reduced"  # half of its slots
    ASIDE = "aside"  # one trial at a time


@dataclass(slots=True)
class Evidence:
    """Hold observed over expected time of one request, as seen last."""

    ticket: str
    seen: float  # monotonic seconds
    ratio: float


@dataclass(slots=True)
class EndpointHealth:
    """Hold what was observed of one endpoint."""

    state: HealthState = HealthState.ACTIVE
    evidence: list[Evidence] = field(default_factory=list)
    changed: float = 0.0  # monotonic seconds of the last change of state
    trial_delay: float = FIRST_TRIAL_SECONDS
    trial_at: float = 0.0  # monotonic seconds
    trial_ticket: str = ""  # the trial in flight

    def slowness(self, now: float) -> float:
        """Return the median of the latest ratios."""
        recent = [
            item.ratio
            for item in self.evidence[-EVIDENCE_USED:]
            if now - item.seen <= EVIDENCE_SECONDS
        ]
        return median(recent) if len(recent) == EVIDENCE_USED else 1.0


class HealthView:
    """Reduce and set aside slow endpoints, and try them again cautiously."""

    def __init__(self, cell: str, probation_share: float):
        self._cell = cell
        self._probation_share = probation_share
        self._endpoints: dict[str, EndpointHealth] = {}

    def observe(self, endpoint_id: str, item: Evidence, now: float) -> None:
        """Take in a ratio; it replaces an earlier one of the same request."""
        health = self._endpoints.setdefault(endpoint_id, EndpointHealth())
        health.evidence = [old for old in health.evidence if old.ticket != item.ticket]
        health.evidence.append(item)
        del health.evidence[:-EVIDENCE_KEPT]
        if health.state != HealthState.ASIDE:
            return
        if item.ticket == health.trial_ticket:
            self._judge_trial(endpoint_id, health, item, now)
        elif item.ratio < RECOVERED_SLOWNESS:
            self._take_back(endpoint_id, health, item, now)

    def update(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Change states by the present slowness, the slowest endpoints first."""
        listed = [item.id for item in endpoints]
        for gone in self._endpoints.keys() - set(listed):
            del self._endpoints[gone]
        ranked = sorted(
            (health.slowness(now), name) for name, health in self._endpoints.items()
        )
        for slowness, name in reversed(ranked):
            self._update_one(name, slowness, len(listed), now)
        metrics.ASIDE.labels(self._cell).set(self.count_aside())

    def note_placed(self, endpoint_id: str, ticket: str) -> bool:
        """Take a placement on an endpoint that is set aside as its trial."""
        aside = self.is_aside(endpoint_id)
        if aside:
            self._endpoints[endpoint_id].trial_ticket = ticket
        return aside

    def note_dropped(self, endpoint_id: str, ticket: str, now: float) -> None:
        """End a trial that gave no evidence."""
        health = self._endpoints.get(endpoint_id)
        if health is not None and health.trial_ticket == ticket:
            health.trial_ticket = ""
            health.trial_at = now + health.trial_delay

    def open_slots(self, endpoint: Endpoint, running: float, now: float) -> int:
        """Return the slots that may be filled now.

        An endpoint that is set aside is tried only when it is idle, since its
        streams in flight tell how fast it is.
        """
        health = self._endpoints.get(endpoint.id)
        if health is None or health.state == HealthState.ACTIVE:
            return max(int(endpoint.slots - running), 0)
        if health.state == HealthState.REDUCED:
            return max(int(max(endpoint.slots // 2, 1) - running), 0)
        may_try = not health.trial_ticket and now >= health.trial_at
        return TRIAL_SLOTS if may_try and running < 1 else 0

    def is_aside(self, endpoint_id: str) -> bool:
        """Tell whether an endpoint gets only trials."""
        health = self._endpoints.get(endpoint_id)
        return health is not None and health.state == HealthState.ASIDE

    def slowness(self, endpoint_id: str, now: float) -> float:
        """Return observed over expected time, at least 1."""
        health = self._endpoints.get(endpoint_id)
        return max(health.slowness(now), 1.0) if health else 1.0

    def count_aside(self) -> int:
        """Return the endpoints that are set aside."""
        return sum(self.is_aside(name) for name in self._endpoints)

    def _update_one(self, name: str, slowness: float, total: int, now: float) -> None:
        health = self._endpoints[name]
        if health.state == HealthState.ASIDE:
            return
        room = self.count_aside() + 1 <= self._probation_share * total
        if slowness >= ASIDE_SLOWNESS and room:
            health.trial_at = now + health.trial_delay
            self._change(name, health, HealthState.ASIDE, slowness, now)
        elif slowness >= REDUCED_SLOWNESS:
            if health.state == HealthState.ACTIVE:
                self._change(name, health, HealthState.REDUCED, slowness, now)
        elif health.state == HealthState.REDUCED and slowness < RECOVERED_SLOWNESS:
            since = [item for item in health.evidence if item.seen >= health.changed]
            if len(since) >= EVIDENCE_USED:
                health.trial_delay = FIRST_TRIAL_SECONDS
                self._change(name, health, HealthState.ACTIVE, slowness, now)

    def _judge_trial(
        self, name: str, health: EndpointHealth, item: Evidence, now: float
    ) -> None:
        health.trial_ticket = ""
        if item.ratio < RECOVERED_SLOWNESS:
            self._take_back(name, health, item, now)
        else:
            health.trial_delay = min(health.trial_delay * 2, LONGEST_TRIAL_SECONDS)
            health.trial_at = now + health.trial_delay

    def _take_back(
        self, name: str, health: EndpointHealth, item: Evidence, now: float
    ) -> None:
        health.evidence = [item]
        health.trial_ticket = ""
        self._change(name, health, HealthState.REDUCED, item.ratio, now)

    def _change(
        self,
        name: str,
        health: EndpointHealth,
        state: HealthState,
        slowness: float,
        now: float,
    ) -> None:
        log.info("endpoint %s is %s, %.1f times slower", name, state, slowness)
        health.state = state
        health.changed = now
