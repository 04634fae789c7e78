"""Orders for endpoints according to the load, made by the leader."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from rattanwick.internal.base.errors import Conflict, StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.gateway.capacity import (
    ORDER_RETRY_INTERVAL_SECONDS,
    SHRINK_SECONDS,
    ClassCount,
    DesiredCount,
    ReclaimableAvailability,
    engines_needed,
    keep_live_endpoints,
    limited_share,
    live_by_class,
    plan_capacity,
)
from rattanwick.internal.gateway.interfaces import Cloud, EndpointOrder
from rattanwick.internal.gateway.leadership import Leadership
from rattanwick.internal.gateway.model import Service
from rattanwick.internal.gateway.node_state import NodeState

log = get_logger("orders")

endpoint_orders_total = counter(
    "endpoint_orders", "Orders for endpoints, by outcome", ("outcome",)
)

LOAD_WINDOW_SECONDS = 3.0  # time over which the load is measured
# Ratio of the planned to the measured load. The load may rise further until the newly
# ordered endpoints serve.
LOAD_MARGIN = 1.15
# Weight of a new measurement that is below the smoothed load; a higher one replaces it.
LOAD_DECREASE_WEIGHT = 0.1

OrderKey = tuple[str, str, bool]  # service, data centre, reclaimable


@dataclass(slots=True)
class LastOrder:
    """Last order for a service's endpoints of one class (reclaimable or full-price)."""

    count: int  # ordered endpoints; -1 if the order was declined
    ordered_at: float  # monotonic seconds
    unconfirmed: bool = False  # no answer came; the order may still be carried out


@dataclass(slots=True, frozen=True)
class Demand:
    """Number of engines that a service needs, and the values it was computed from."""

    needed: int  # engines
    serving: int  # engines that are not leaving
    unusable: int  # of them, hardly usable because of the limits that they name
    load: float | None  # prompt tokens per second; None before it is known
    rate: float  # prefill rate of an engine, in prompt tokens per second
    utilisation: float  # target utilisation of that rate, between 0 and 1


class LoadMeter:
    """Meter of prompt tokens per second, from a running total of prompt tokens.

    A higher rate counts at once; a lower one is smoothed.
    """

    def __init__(self):
        self._samples: list[tuple[float, float]] = []
        self._smoothed: float | None = None

    def observe(self, total: float, now: float) -> float | None:
        """Add a reading of the running total; return tokens per second.

        Returns None if there was no load yet. ``now`` is in monotonic seconds.
        """
        samples = self._samples
        if samples and total < samples[-1][1]:
            samples.clear()  # a peer has restarted and counts from 0
        samples.append((now, total))
        while len(samples) > 2 and samples[1][0] <= now - LOAD_WINDOW_SECONDS:
            samples.pop(0)
        elapsed = now - samples[0][0]
        if elapsed < LOAD_WINDOW_SECONDS / 2:
            return self._smoothed
        rate = (total - samples[0][1]) / elapsed
        if self._smoothed is None:
            self._smoothed = rate if rate > 0 else None
        elif rate >= self._smoothed:
            self._smoothed = rate
        else:
            self._smoothed += LOAD_DECREASE_WEIGHT * (rate - self._smoothed)
        return self._smoothed


class Autoscaler:
    """Orders that keep the number of endpoints in line with the load."""

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
        self._availability = ReclaimableAvailability()
        self._meters: dict[str, LoadMeter] = {}
        self._last_orders: dict[OrderKey, LastOrder] = {}
        self._surplus_since: dict[OrderKey, float] = {}
        # Reclaimable endpoints that were leaving at the last step, by id.
        self._leaving: set[str] = set()

    def step(self) -> None:
        """Measure the load and, as the leader, order more or fewer endpoints."""
        cfg = self._state.configuration
        if cfg is None:
            return
        now = self._state.timers.now()
        self._note_reclaims(now)
        for service in cfg.services.values():
            if service.scaling is None:
                continue
            load = self._measure_load(service.name, now)
            if self._leadership.is_leader:
                self._order_service(service, load, now)

    def _note_reclaims(self, now: float) -> None:
        leaving = set()
        for view in self._state.endpoints.all():
            endpoint = view.endpoint
            if endpoint.leaving and endpoint.reclaimable:
                leaving.add(endpoint.id)
                if endpoint.id not in self._leaving:
                    self._availability.note_reclaim(endpoint.data_centre, now)
        self._leaving = leaving

    def _measure_load(self, service: str, now: float) -> float | None:
        total = self._state.prompt_tokens.get(service, 0)
        total += self._peer_prompt_tokens(service)
        return self._meters.setdefault(service, LoadMeter()).observe(total, now)

    def _order_service(self, service: Service, load: float | None, now: float) -> None:
        counts = self._count_live(service.name)
        rate = self._state.prefill_estimator.for_service(service.name).rate
        load_ahead = None if load is None else load * LOAD_MARGIN
        utilisation = self._state.utilisation_targets.for_service(service.name)
        nodes = self._state.members.count_nodes()
        needed = engines_needed(load_ahead, rate, utilisation, nodes)
        idle = load is None and self._state.settings.first_start
        unusable = self._count_unusable(service.name, rate * utilisation)
        plan = plan_capacity(
            needed, service.scaling, counts, self._availability, now, idle, unusable
        )
        if load is None and not idle:
            # A leader that has just started does not know the load yet.
            plan = keep_live_endpoints(plan, counts)
        live = live_by_class(counts)
        serving = live.total()
        demand = Demand(needed, serving, unusable.total(), load, rate, utilisation)
        # Orders that add endpoints come first, so that no endpoint is removed before
        # its replacement is ordered.
        plan.sort(key=lambda d: d.count <= live[d.data_centre, d.reclaimable])
        for desired in plan:
            order_key = (service.name, desired.data_centre, desired.reclaimable)
            present = live[desired.data_centre, desired.reclaimable]
            if not self._should_order(order_key, desired.count, present, now):
                continue
            grows = desired.reclaimable and desired.count > present
            if grows and not self._availability.centres_to_try(
                [desired.data_centre], now
            ):
                continue  # an earlier order of this plan was declined
            if not self._order(order_key, desired, present, demand, now):
                return

    def _count_live(self, service: str) -> list[ClassCount]:
        """Return how many endpoints serve, or will serve again after a crash."""
        views = self._state.endpoints.of_service(service)
        endpoints = [view.endpoint for view in views if not view.endpoint.leaving]
        endpoints += self._state.endpoints.returning(service)
        live: dict[tuple[str, bool], int] = {}
        for endpoint in endpoints:
            key = (endpoint.data_centre, endpoint.reclaimable)
            live[key] = live.get(key, 0) + 1
        return [ClassCount(*key, count) for key, count in live.items()]

    def _count_unusable(
        self, service: str, tokens_per_second: float
    ) -> Counter[tuple[str, bool]]:
        """Return how many engines are lost to request limits, by class.

        ``tokens_per_second`` is what an engine without a limit serves.
        """
        mean_tokens = self._state.utilisation_targets.mean_tokens(service)
        requests_per_engine = tokens_per_second / max(mean_tokens, 1.0)
        lost: dict[tuple[str, bool], float] = {}
        for view in self._state.endpoints.of_service(service):
            endpoint = view.endpoint
            if not endpoint.leaving:
                limit = self._state.endpoint_limits.rate_of(endpoint)
                key = (endpoint.data_centre, endpoint.reclaimable)
                share = limited_share(limit, requests_per_engine)
                lost[key] = lost.get(key, 0.0) + 1.0 - share
        return Counter({key: round(engines) for key, engines in lost.items()})

    def _should_order(
        self, order_key: OrderKey, desired: int, present: int, now: float
    ) -> bool:
        last = self._last_orders.get(order_key)
        if last is not None and last.count == desired and not last.unconfirmed:
            return (
                desired != present
                and now - last.ordered_at > ORDER_RETRY_INTERVAL_SECONDS
            )
        expected = max(present, last.count if last else 0)
        if desired >= expected:
            self._surplus_since.pop(order_key, None)
            return desired != present or last is not None
        since = self._surplus_since.setdefault(order_key, now)
        first = self._state.settings.first_start and last is None
        return first or now - since >= SHRINK_SECONDS

    def _order(
        self,
        order_key: OrderKey,
        desired: DesiredCount,
        present: int,
        demand: Demand,
        now: float,
    ) -> bool:
        """Make one order and return whether to continue with the next.

        The fence is advanced if the last order is unconfirmed, so that it cannot be
        carried out after this one.
        """
        last = self._last_orders.get(order_key)
        if last is not None and last.unconfirmed:
            fence = self._leadership.advance_fence()
        else:
            fence = self._leadership.confirm()
        if fence is None:
            return False
        order = EndpointOrder(*order_key[:2], desired.count, order_key[2])
        outcome = "ordered"
        last_order = LastOrder(desired.count, now)
        try:
            self._cloud.order(self._state.settings.node_id, fence, order)
        except Conflict as exc:
            outcome = f"declined: {exc.reason}"
            if not order.reclaimable or self._leadership.advance_fence() is None:
                self._leadership.step_down(str(exc))
                return False
            # This node is still the leader, so the cloud has no reclaimable endpoints.
            self._availability.note_declined(order.data_centre, now)
            last_order = LastOrder(-1, now)
        except StepError as exc:
            outcome = f"unknown: {exc}"
            last_order.unconfirmed = True
        else:
            if order.reclaimable and order.count > present:
                self._availability.note_accepted()
        self._last_orders[order_key] = last_order
        self._surplus_since.pop(order_key, None)
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
                "unusable": demand.unusable,
                "load_tokens_per_s": demand.load and round(demand.load),
                "engine_tokens_per_s": round(demand.rate),
                "utilisation": round(demand.utilisation, 2),
                "fence": fence,
                "outcome": outcome,
            },
        )
        return True
