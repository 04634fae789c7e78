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
# A pause of one node makes all its streams look slow for a moment.
CONFIRM_SECONDS = 0.1
FIRST_TRIAL_SECONDS = 1.0
LONGEST_TRIAL_SECONDS = 16.0
OVERDUE_TRIAL_SECONDS = 5.0
TRIAL_SLOTS = 1


class HealthState(StrEnum):
    """Tell how much work an endpoint gets."""

    ACTIVE = "active"
    REDUCED = "reduced"  # half of its slots
    EJECTED = "aside"  # one trial at a time


@dataclass(slots=True)
class SlownessSample:
    """Hold observed over expected time of one request, as seen last."""

    ticket: str
    seen: float  # monotonic seconds
    ratio: float


@dataclass(slots=True)
class EndpointHealth:
    """Hold what was observed of one endpoint."""

    state: HealthState = HealthState.ACTIVE
    evidence: list[SlownessSample] = field(default_factory=list)
    changed: float = 0.0  # monotonic seconds of the last change of state
    suspected: float | None = None  # monotonic seconds, since it looks slow
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


class HealthTracker:
    """Reduce and set aside slow endpoints, and try them again cautiously."""

    def __init__(self, cell: str, probation_share: float):
        self._cell = cell
        self._probation_share = probation_share
        self._endpoints: dict[str, EndpointHealth] = {}

    def observe(self, endpoint_id: str, item: SlownessSample, now: float) -> None:
        """Take in a ratio; it replaces an earlier one of the same request."""
        health = self._endpoints.setdefault(endpoint_id, EndpointHealth())
        health.evidence = [old for old in health.evidence if old.ticket != item.ticket]
        health.evidence.append(item)
        del health.evidence[:-EVIDENCE_KEPT]
        if health.state != HealthState.EJECTED:
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
        metrics.EJECTED.labels(self._cell).set(self.count_ejected())

    def begin_trial(self, endpoint_id: str, ticket: str) -> bool:
        """Take a placement on an endpoint that is set aside as its trial."""
        aside = self.is_ejected(endpoint_id)
        if aside:
            self._endpoints[endpoint_id].trial_ticket = ticket
        return aside

    def abandon_trial(self, endpoint_id: str, ticket: str, now: float) -> None:
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
        if not self.is_ejected(endpoint.id):
            return max(int(self.full_slots(endpoint) - running), 0)
        health = self._endpoints[endpoint.id]
        may_try = not health.trial_ticket and now >= health.trial_at
        return TRIAL_SLOTS if may_try and running < 1 else 0

    def full_slots(self, endpoint: Endpoint) -> int:
        """Return the slots that an endpoint may use in its present state."""
        health = self._endpoints.get(endpoint.id)
        if health is None or health.state == HealthState.ACTIVE:
            return endpoint.slots
        reduced = health.state == HealthState.REDUCED
        return max(endpoint.slots // 2, 1) if reduced else 0

    def is_ejected(self, endpoint_id: str) -> bool:
        """Tell whether an endpoint gets only trials."""
        health = self._endpoints.get(endpoint_id)
        return health is not None and health.state == HealthState.EJECTED

    def is_trial_overdue(self, endpoint_id: str, now: float) -> bool:
        """Tell whether a trial has been due for long."""
        health = self._endpoints.get(endpoint_id)
        if health is None or health.state != HealthState.EJECTED:
            return False
        return now - health.trial_at >= OVERDUE_TRIAL_SECONDS

    def slowness(self, endpoint_id: str, now: float) -> float:
        """Return observed over expected time, at least 1."""
        health = self._endpoints.get(endpoint_id)
        return max(health.slowness(now), 1.0) if health else 1.0

    def count_ejected(self) -> int:
        """Return the endpoints that are set aside."""
        return sum(self.is_ejected(name) for name in self._endpoints)

    def _update_one(self, name: str, slowness: float, total: int, now: float) -> None:
        health = self._endpoints[name]
        if health.state == HealthState.EJECTED:
            return
        if not self._is_confirmed(health, slowness, now):
            slowness = min(slowness, REDUCED_SLOWNESS - 0.01)
        room = self.count_ejected() + 1 <= self._probation_share * total
        if slowness >= ASIDE_SLOWNESS and room:
            health.trial_at = now + health.trial_delay
            self._change(name, health, HealthState.EJECTED, slowness, now)
        elif slowness >= REDUCED_SLOWNESS:
            if health.state == HealthState.ACTIVE:
                self._change(name, health, HealthState.REDUCED, slowness, now)
        elif health.state == HealthState.REDUCED and slowness < RECOVERED_SLOWNESS:
            since = [item for item in health.evidence if item.seen >= health.changed]
            if len(since) >= EVIDENCE_USED:
                health.trial_delay = FIRST_TRIAL_SECONDS
                self._change(name, health, HealthState.ACTIVE, slowness, now)

    @staticmethod
    def _is_confirmed(health: EndpointHealth, slowness: float, now: float) -> bool:
        """Tell whether an endpoint has looked slow for long enough."""
        if slowness < REDUCED_SLOWNESS:
            health.suspected = None
        elif health.suspected is None:
            health.suspected = now
        since = health.suspected
        return since is not None and now - since >= CONFIRM_SECONDS

    def _judge_trial(
        self, name: str, health: EndpointHealth, item: SlownessSample, now: float
    ) -> None:
        health.trial_ticket = ""
        if item.ratio < RECOVERED_SLOWNESS:
            self._take_back(name, health, item, now)
        else:
            health.trial_delay = min(health.trial_delay * 2, LONGEST_TRIAL_SECONDS)
            health.trial_at = now + health.trial_delay

    def _take_back(
        self, name: str, health: EndpointHealth, item: SlownessSample, now: float
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
