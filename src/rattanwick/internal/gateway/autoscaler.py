"""Orders for endpoints, made by the holder of the duties."""

from collections.abc import Callable
from dataclasses import dataclass

from rattanwick.internal.base.errors import Conflict, StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.gateway.capacity import (
    REPEAT_SECONDS,
    SHRINK_SECONDS,
    ClassCount,
    DesiredCount,
    ReclaimableAvailability,
    engines_needed,
    keep_live_endpoints,
    live_by_class,
    plan_capacity,
)
from rattanwick.internal.gateway.interfaces import Cloud, EndpointOrder
from rattanwick.internal.gateway.leadership import Leadership
from rattanwick.internal.gateway.model import Service
from rattanwick.internal.gateway.node_state import NodeState

log = get_logger("orders")

endpoint_orders_total = counter(
    "endpoint_orders", "Orders for endpoints by outcome", ("outcome",)
)

LOAD_SECONDS = 3.0  # over which the load is measured
LOAD_MARGIN = 1.15  # the load rises for some seconds before new endpoints serve
FALL_WEIGHT = 0.1  # of a lower measurement; a higher one counts at once

Subject = tuple[str, str, bool]  # service, data centre, reclaimable


@dataclass(slots=True)
class LastOrder:
    """Hold the last order for a subject."""

    count: int
    at: float
    unknown: bool = False  # it may be carried out late


@dataclass(slots=True, frozen=True)
class Demand:
    """State what a service needs and why."""

    needed: int  # engines
    serving: int
    load: float | None  # prompt tokens a second; None before it is known
    rate: float  # prompt tokens a second that an engine reads
    utilisation: float  # share of it that may be used


class LoadMeter:
    """Measure prompt tokens a second from growing sums."""

    def __init__(self):
        self._samples: list[tuple[float, float]] = []
        self._smoothed: float | None = None

    def observe(self, total: float, now: float) -> float | None:
        """Return tokens a second, or None while there was no load."""
        samples = self._samples
        if samples and total < samples[-1][1]:
            samples.clear()  # a peer's process started anew
        samples.append((now, total))
        while len(samples) > 2 and samples[1][0] <= now - LOAD_SECONDS:
            samples.pop(0)
        elapsed = now - samples[0][0]
        if elapsed < LOAD_SECONDS / 2:
            return self._smoothed
        rate = (total - samples[0][1]) / elapsed
        if self._smoothed is None:
            self._smoothed = rate if rate > 0 else None
        elif rate >= self._smoothed:
            self._smoothed = rate
        else:
            self._smoothed += FALL_WEIGHT * (rate - self._smoothed)
        return self._smoothed


class Autoscaler:
    """Keep the number of endpoints in line with the load."""

    def __init__(
        self,
        state: NodeState,
        cloud: Cloud,
        leadership: Leadership,
        peer_prompt_tokens: Callable[[str], int],
    ):
        self._state = state
        self._cloud = cloud
        self._leadership = leadership
        self._peer_prompt_tokens = peer_prompt_tokens
        self._market = ReclaimableAvailability()
        self._meters: dict[str, LoadMeter] = {}
        self._last: dict[Subject, LastOrder] = {}
        self._surplus_since: dict[Subject, float] = {}
        self._leaving: set[str] = set()

    def step(self) -> None:
        """Measure the load and order what is missing or too many."""
        cfg = self._state.configuration
        if cfg is None:
            return
        now = self._state.timers.now()
        self._note_reclaims(now)
        for service in cfg.services.values():
            if service.scaling is None:
                continue
            load = self._load(service.name, now)
            if self._leadership.is_leader:
                self._order_service(service, load, now)

    def _note_reclaims(self, now: float) -> None:
        leaving = set()
        for view in self._state.endpoints.all():
            endpoint = view.endpoint
            if endpoint.leaving and endpoint.reclaimable:
                leaving.add(endpoint.id)
                if endpoint.id not in self._leaving:
                    self._market.note_reclaim(endpoint.data_centre, now)
        self._leaving = leaving

    def _load(self, service: str, now: float) -> float | None:
        total = self._state.prompt_tokens.get(service, 0)
        total += self._peer_prompt_tokens(service)
        return self._meters.setdefault(service, LoadMeter()).observe(total, now)

    def _order_service(self, service: Service, load: float | None, now: float) -> None:
        counts = self._counts(service.name)
        rate = self._state.prefill_estimator.for_service(service.name).rate
        load_ahead = None if load is None else load * LOAD_MARGIN
        utilisation = self._state.utilisation_targets.for_service(service.name)
        nodes = self._state.members.count()
        needed = engines_needed(load_ahead, rate, utilisation, nodes)
        idle = load is None and self._state.settings.first_start
        plan = plan_capacity(needed, service.scaling, counts, self._market, now, idle)
        if load is None and not idle:
            # A holder that has just started does not know yet what is needed.
            plan = keep_live_endpoints(plan, counts)
        live = live_by_class(counts)
        demand = Demand(needed, live.total(), load, rate, utilisation)
        # Growth first: what shrinks must not leave before its replacement is ordered.
        plan.sort(key=lambda d: d.count <= live[d.data_centre, d.reclaimable])
        for desired in plan:
            subject = (service.name, desired.data_centre, desired.reclaimable)
            present = live[desired.data_centre, desired.reclaimable]
            if not self._should_order(subject, desired.count, present, now):
                continue
            grows = desired.reclaimable and desired.count > present
            if grows and not self._market.centres_to_try([desired.data_centre], now):
                continue  # an order before it was declined
            if not self._order(subject, desired, present, demand, now):
                return

    def _counts(self, service: str) -> list[ClassCount]:
        live: dict[tuple[str, bool], int] = {}
        for view in self._state.endpoints.of_service(service):
            endpoint = view.endpoint
            if not endpoint.leaving:
                key = (endpoint.data_centre, endpoint.reclaimable)
                live[key] = live.get(key, 0) + 1
        return [ClassCount(*key, count) for key, count in live.items()]

    def _should_order(
        self, subject: Subject, desired: int, present: int, now: float
    ) -> bool:
        last = self._last.get(subject)
        if last is not None and last.count == desired and not last.unknown:
            return desired != present and now - last.at > REPEAT_SECONDS
        expected = max(present, last.count if last else 0)
        if desired >= expected:
            self._surplus_since.pop(subject, None)
            return desired != present or last is not None
        since = self._surplus_since.setdefault(subject, now)
        first = self._state.settings.first_start and last is None
        return first or now - since >= SHRINK_SECONDS

    def _order(
        self,
        subject: Subject,
        desired: DesiredCount,
        present: int,
        demand: Demand,
        now: float,
    ) -> bool:
        """Make one order; tell whether to go on with the next."""
        last = self._last.get(subject)
        if last is not None and last.unknown:
            fence = self._leadership.advance_fence()
        else:
            fence = self._leadership.confirm()
        if fence is None:
            return False
        order = EndpointOrder(*subject[:2], desired.count, subject[2])
        outcome = "ordered"
        placed = LastOrder(desired.count, now)
        try:
            self._cloud.order(self._state.settings.node_id, fence, order)
        except Conflict as exc:
            outcome = f"declined: {exc.reason}"
            if not order.reclaimable or self._leadership.advance_fence() is None:
                self._leadership.step_down(str(exc))
                return False
            # The row still names this node: no such endpoints are to be had.
            self._market.note_declined(order.data_centre, now)
            placed = LastOrder(-1, now)
        except StepError as exc:
            outcome = f"unknown: {exc}"
            placed.unknown = True
        else:
            if order.reclaimable and order.count > present:
                self._market.note_taken()
        self._last[subject] = placed
        self._surplus_since.pop(subject, None)
        endpoint_orders_total.labels(outcome.partition(":")[0]).inc()
        log.info(
            "order",
            extra={
                "service": order.service,
                "data_centre": order.data_centre,
                "reclaimable": order.reclaimable,
                "count": order.count,
                "needed": demand.needed,
                "serving": demand.serving,
                "load_tokens_per_s": demand.load and round(demand.load),
                "engine_tokens_per_s": round(demand.rate),
                "utilisation": round(demand.utilisation, 2),
                "fence": fence,
                "outcome": outcome,
            },
        )
        return True
