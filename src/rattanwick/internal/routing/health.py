"""Outlier ejection: detection of slow endpoints from observed time per token."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from statistics import median

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.model.instances import Endpoint
from rattanwick.internal.routing import metrics

log = get_logger("routing")

MAX_SAMPLES = 8
MEDIAN_SAMPLES = 3  # one outlier among three has no effect on the median
MAX_SAMPLE_AGE_SECONDS = 20.0
REDUCTION_SLOWNESS = 1.8
EJECTION_SLOWNESS = 3.0
MAX_RECOVERY_SLOWNESS = 1.5
FAILURE_SLOWNESS = 10.0
# An endpoint must look slow for this long, since a pause of one node makes all its
# streams look slow for a moment.
MIN_SLOW_SECONDS = 0.1
FIRST_TRIAL_DELAY_SECONDS = 1.0
MAX_TRIAL_DELAY_SECONDS = 16.0
TRIAL_OVERDUE_SECONDS = 5.0
TRIAL_SLOTS = 1


class HealthState(StrEnum):
    """State of an endpoint, which limits the slots that it may use."""

    ACTIVE = "active"
    REDUCED = "reduced"  # half of its slots
    EJECTED = "aside"  # no slots, except one for a trial


@dataclass(slots=True)
class SlownessSample:
    """Latest ratio of observed to expected time of a request at an endpoint."""

    ticket: str
    observed_at: float  # monotonic seconds
    ratio: float


@dataclass(slots=True)
class EndpointHealth:
    """Samples and state of one endpoint."""

    state: HealthState = HealthState.ACTIVE
    samples: list[SlownessSample] = field(default_factory=list)
    changed_at: float = 0.0  # monotonic seconds, last change of state
    slow_since: float | None = None  # monotonic seconds; None if it does not look slow
    trial_delay: float = FIRST_TRIAL_DELAY_SECONDS
    trial_at: float = 0.0  # monotonic seconds, when the next trial is due
    trial_ticket: str = ""  # placement that is the trial in flight

    def slowness(self, now: float) -> float:
        """Return the median of the latest ratios, or 1 if they are too few."""
        recent = [
            sample.ratio
            for sample in self.samples[-MEDIAN_SAMPLES:]
            if now - sample.observed_at <= MAX_SAMPLE_AGE_SECONDS
        ]
        return median(recent) if len(recent) == MEDIAN_SAMPLES else 1.0


class HealthTracker:
    """Reduce and eject slow endpoints, and restore them after successful trials."""

    def __init__(self, cell: str, probation_share: float):
        self._cell = cell
        self._probation_share = probation_share
        self._endpoints: dict[str, EndpointHealth] = {}

    def observe(self, endpoint_id: str, sample: SlownessSample, now: float) -> None:
        """Add a sample; it replaces an earlier one of the same request."""
        health = self._endpoints.setdefault(endpoint_id, EndpointHealth())
        health.samples = [old for old in health.samples if old.ticket != sample.ticket]
        health.samples.append(sample)
        del health.samples[:-MAX_SAMPLES]
        if health.state != HealthState.EJECTED:
            return
        if sample.ticket == health.trial_ticket:
            self._judge_trial(endpoint_id, health, sample, now)
        elif sample.ratio < MAX_RECOVERY_SLOWNESS:
            self._restore(endpoint_id, health, sample, now)

    def update(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Update the states from the present slowness, the slowest endpoints first."""
        listed = [endpoint.id for endpoint in endpoints]
        for removed in self._endpoints.keys() - set(listed):
            del self._endpoints[removed]
        ranked = sorted(
            (health.slowness(now), endpoint_id)
            for endpoint_id, health in self._endpoints.items()
        )
        for slowness, endpoint_id in reversed(ranked):
            self._update_one(endpoint_id, slowness, len(listed), now)
        metrics.EJECTED.labels(self._cell).set(self.count_ejected())

    def begin_trial(self, endpoint_id: str, ticket: str) -> bool:
        """Make a placement the trial of its endpoint if that is ejected.

        Returns whether the endpoint is ejected.
        """
        ejected = self.is_ejected(endpoint_id)
        if ejected:
            self._endpoints[endpoint_id].trial_ticket = ticket
        return ejected

    def abandon_trial(self, endpoint_id: str, ticket: str, now: float) -> None:
        """End a trial that gave no sample, and delay the next one."""
        health = self._endpoints.get(endpoint_id)
        if health is not None and health.trial_ticket == ticket:
            health.trial_ticket = ""
            health.trial_at = now + health.trial_delay

    def open_slots(self, endpoint: Endpoint, running: float, now: float) -> int:
        """Return how many requests may be placed in addition to ``running`` ones.

        An ejected endpoint is tried only while it is idle, since streams in
        flight already show how fast it is.
        """
        if not self.is_ejected(endpoint.id):
            return max(int(self.allowed_slots(endpoint) - running), 0)
        health = self._endpoints[endpoint.id]
        may_try = not health.trial_ticket and now >= health.trial_at
        return TRIAL_SLOTS if may_try and running < 1 else 0

    def allowed_slots(self, endpoint: Endpoint) -> int:
        """Return the slots that an endpoint may use in its present state."""
        health = self._endpoints.get(endpoint.id)
        if health is None or health.state == HealthState.ACTIVE:
            return endpoint.slots
        reduced = health.state == HealthState.REDUCED
        return max(endpoint.slots // 2, 1) if reduced else 0

    def is_ejected(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is ejected and gets only trials."""
        health = self._endpoints.get(endpoint_id)
        return health is not None and health.state == HealthState.EJECTED

    def is_trial_overdue(self, endpoint_id: str, now: float) -> bool:
        """Return whether a trial has been due for too long."""
        health = self._endpoints.get(endpoint_id)
        if health is None or health.state != HealthState.EJECTED:
            return False
        return now - health.trial_at >= TRIAL_OVERDUE_SECONDS

    def slowness(self, endpoint_id: str, now: float) -> float:
        """Return the ratio of observed to expected time, at least 1."""
        health = self._endpoints.get(endpoint_id)
        return max(health.slowness(now), 1.0) if health else 1.0

    def count_ejected(self) -> int:
        """Return the number of ejected endpoints."""
        return sum(self.is_ejected(endpoint_id) for endpoint_id in self._endpoints)

    def _update_one(
        self, endpoint_id: str, slowness: float, endpoint_count: int, now: float
    ) -> None:
        health = self._endpoints[endpoint_id]
        if health.state == HealthState.EJECTED:
            return
        if not self._is_confirmed(health, slowness, now):
            slowness = min(slowness, REDUCTION_SLOWNESS - 0.01)
        within_limit = (
            self.count_ejected() + 1 <= self._probation_share * endpoint_count
        )
        if slowness >= EJECTION_SLOWNESS and within_limit:
            health.trial_at = now + health.trial_delay
            self._change(endpoint_id, health, HealthState.EJECTED, slowness, now)
        elif slowness >= REDUCTION_SLOWNESS:
            if health.state == HealthState.ACTIVE:
                self._change(endpoint_id, health, HealthState.REDUCED, slowness, now)
        elif health.state == HealthState.REDUCED and slowness < MAX_RECOVERY_SLOWNESS:
            samples_since_change = [
                sample
                for sample in health.samples
                if sample.observed_at >= health.changed_at
            ]
            if len(samples_since_change) >= MEDIAN_SAMPLES:
                health.trial_delay = FIRST_TRIAL_DELAY_SECONDS
                self._change(endpoint_id, health, HealthState.ACTIVE, slowness, now)

    @staticmethod
    def _is_confirmed(health: EndpointHealth, slowness: float, now: float) -> bool:
        """Return whether an endpoint has looked slow for long enough."""
        if slowness < REDUCTION_SLOWNESS:
            health.slow_since = None
        elif health.slow_since is None:
            health.slow_since = now
        slow_since = health.slow_since
        return slow_since is not None and now - slow_since >= MIN_SLOW_SECONDS

    def _judge_trial(
        self,
        endpoint_id: str,
        health: EndpointHealth,
        sample: SlownessSample,
        now: float,
    ) -> None:
        health.trial_ticket = ""
        if sample.ratio < MAX_RECOVERY_SLOWNESS:
            self._restore(endpoint_id, health, sample, now)
        else:
            health.trial_delay = min(health.trial_delay * 2, MAX_TRIAL_DELAY_SECONDS)
            health.trial_at = now + health.trial_delay

    def _restore(
        self,
        endpoint_id: str,
        health: EndpointHealth,
        sample: SlownessSample,
        now: float,
    ) -> None:
        health.samples = [sample]
        health.trial_ticket = ""
        self._change(endpoint_id, health, HealthState.REDUCED, sample.ratio, now)

    def _change(
        self,
        endpoint_id: str,
        health: EndpointHealth,
        state: HealthState,
        slowness: float,
        now: float,
    ) -> None:
        log.info(
            "endpoint %s is now %s, %.1f times as slow as expected",
            endpoint_id,
            state,
            slowness,
        )
        health.state = state
        health.changed_at = now
