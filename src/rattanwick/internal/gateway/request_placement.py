"""Placement of a request: an endpoint that may be sent to now, or a refusal."""

from dataclasses import replace

from rattanwick.internal.gateway.active_request import ActiveRequest
from rattanwick.internal.gateway.endpoint_limits import Access
from rattanwick.internal.gateway.endpoint_view import EndpointView
from rattanwick.internal.gateway.node_state import NodeState
from rattanwick.internal.gateway.placement import (
    MIN_RETRY_AFTER_SECONDS,
    NotPlaced,
    Placed,
    RefusalReason,
    place_on_engine,
    place_on_service,
    sample_engines,
    sample_service_endpoints,
)
from rattanwick.internal.gateway.planned_stop import STOPPING_RETRY_AFTER_SECONDS

# Longest wait for a free endpoint, as a share of the route's objective. A wait of up to
# an eighth of the objective costs a caller less than a refusal.
MAX_PLACEMENT_WAIT_SHARE = 0.125
# Longest wait for a permit of the best endpoint while another one could be used.
MAX_PERMIT_WAIT_SHARE = MAX_PLACEMENT_WAIT_SHARE / 4
PLACEMENT_RETRY_INTERVAL_SECONDS = 0.01
PERMIT_CHECK_INTERVAL_SECONDS = 0.003
MIN_TIME_LEFT_SECONDS = 0.02  # with less time left, no endpoint could begin in time


class RequestPlacement:
    """Choice of endpoints for requests, within the limits that endpoints name."""

    def __init__(self, state: NodeState):
        self._state = state

    def place(self, request: ActiveRequest) -> Placed | NotPlaced:
        """Return an endpoint for a request, after a short wait if none is free.

        The wait is limited by MAX_PLACEMENT_WAIT_SHARE. A request for which no permit
        can be had is refused at once.
        """
        max_wait = MAX_PLACEMENT_WAIT_SHARE * request.route.objective
        max_permit_wait = MAX_PERMIT_WAIT_SHARE * request.route.objective
        started = self._state.timers.now()
        while True:
            now = self._state.timers.now()
            waited = now - started
            request.age_seconds = now - request.call.arrived
            if request.deadline - now < MIN_TIME_LEFT_SECONDS:
                return NotPlaced(RefusalReason.TOO_LATE, 0.0)
            if not self._state.stop.can_finish(request.route, request.deadline):
                return NotPlaced(
                    RefusalReason.NODE_STOPPING, STOPPING_RETRY_AFTER_SECONDS
                )
            placed = self._choose(request, now, waited < max_permit_wait)
            if isinstance(placed, Placed):
                request.permit = self._state.endpoint_limits.take(placed.view.endpoint)
                return placed
            if placed.reason is RefusalReason.ENDPOINTS_RESTING:
                if not self._is_in_time_after(request, placed, now):
                    return placed
                self._state.timers.sleep(placed.retry_after)
                continue
            pending = placed.reason is RefusalReason.PERMIT_PENDING
            if waited >= max_wait and pending:
                return replace(placed, reason=RefusalReason.ENDPOINTS_LIMITED)
            if waited >= max_wait or placed.reason in (
                RefusalReason.TOO_LATE,
                RefusalReason.ENDPOINTS_LIMITED,
            ):
                return placed
            self._state.timers.sleep(
                PERMIT_CHECK_INTERVAL_SECONDS
                if pending
                else PLACEMENT_RETRY_INTERVAL_SECONDS
            )

    def _choose(
        self, request: ActiveRequest, now: float, may_await_permit: bool
    ) -> Placed | NotPlaced:
        name = request.service.name
        untried = [
            view
            for view in self._state.endpoints.of_service(name)
            if view.endpoint.id not in request.tried
        ]
        views = [view for view in untried if not view.is_resting(now)]
        if len(views) < len(untried) and all(v.endpoint.leaving for v in views):
            return self._explain_resting(request, untried, now)
        node_id, nodes = self._state.settings.node_id, self._state.count_active_nodes()
        if request.service.engine is None:
            sample = sample_service_endpoints(views, request.call, node_id, nodes, now)
        else:
            sample = sample_engines(views, request.call, node_id, nodes)
        placed = self._choose_within_limits(request, sample, now, may_await_permit)
        if isinstance(placed, NotPlaced) and len(sample) < len(views):
            # A request is not refused while an endpoint outside the sample is free.
            return self._choose_within_limits(request, views, now, may_await_permit)
        return placed

    def _explain_resting(
        self, request: ActiveRequest, views: list[EndpointView], now: float
    ) -> NotPlaced:
        """Return the refusal of a request whose usable endpoints all rest."""
        resting = [v for v in views if not v.endpoint.leaving and v.is_resting(now)]
        if not resting:
            return NotPlaced(RefusalReason.NO_ENDPOINT, request.route.objective)
        wait = min(view.rests_until for view in resting) - now
        best = self._best(request, resting, now)
        return NotPlaced(
            RefusalReason.ENDPOINTS_RESTING,
            max(wait, MIN_RETRY_AFTER_SECONDS),
            len(resting),
            best.expected_seconds,
        )

    def _is_in_time_after(
        self, request: ActiveRequest, refusal: NotPlaced, now: float
    ) -> bool:
        """Return whether a request that waits for a resting endpoint is in time."""
        if refusal.expected_seconds is None:
            return False
        seconds = now - request.call.arrived + refusal.retry_after
        return seconds + refusal.expected_seconds <= request.route.objective

    def _choose_within_limits(
        self,
        request: ActiveRequest,
        views: list[EndpointView],
        now: float,
        may_await_permit: bool,
    ) -> Placed | NotPlaced:
        """Return the best endpoint that may be sent to now, or the reason for none.

        If the best one needs a permit, one is asked for, and the reply is awaited while
        ``may_await_permit`` or if no other endpoint can be used. A permit that arrives
        later serves the next request.
        """
        limits = self._state.endpoint_limits
        request.limited_endpoints = ()
        if not limits.any_named():
            return self._best(request, views, now)
        access = {view.endpoint.id: limits.access(view.endpoint) for view in views}
        usable = [view for view in views if not view.endpoint.leaving]
        closed = [v for v in usable if access[v.endpoint.id] is Access.CLOSED]
        best = self._best(request, _without(views, closed), now)
        if isinstance(best, NotPlaced):
            return self._explain_limited(request, best, closed)
        endpoint = best.view.endpoint
        if access[endpoint.id] is Access.REQUESTABLE:
            limits.request_permits(endpoint)
            access[endpoint.id] = limits.access(endpoint)
        if access[endpoint.id] is Access.OPEN:
            return best
        limited = [v for v in usable if access[v.endpoint.id] is not Access.OPEN]
        if not may_await_permit or access[endpoint.id] is Access.CLOSED:
            other = self._best(request, _without(views, limited), now)
            if isinstance(other, Placed):
                request.limited_endpoints = _ids(limited)
                return other
        request.limited_endpoints = _ids(limited)
        return NotPlaced(RefusalReason.PERMIT_PENDING, MIN_RETRY_AFTER_SECONDS)

    def _explain_limited(
        self, request: ActiveRequest, refusal: NotPlaced, closed: list[EndpointView]
    ) -> NotPlaced:
        """Return a refusal that names the limits if they leave no other endpoint."""
        request.limited_endpoints = _ids(closed)
        if not closed or refusal.usable:
            return refusal
        retry_after = self._state.endpoint_limits.retry_after(
            view.endpoint for view in closed
        )
        return NotPlaced(
            RefusalReason.ENDPOINTS_LIMITED,
            max(retry_after, MIN_RETRY_AFTER_SECONDS),
            len(closed),
        )

    def _best(
        self, request: ActiveRequest, views: list[EndpointView], now: float
    ) -> Placed | NotPlaced:
        """Return the best endpoint without regard to limits."""
        if request.service.engine is None:
            data_centre = self._state.settings.data_centre
            connected = self._state.connections.endpoints_with_idle_connection()
            return place_on_service(request.route, views, data_centre, now, connected)
        return place_on_engine(
            request.call,
            request.route,
            views,
            self._state.settings.data_centre,
            self._state.prefill_estimator.for_service(request.service.name),
            request.age_seconds,
            now,
            self._state.connections.endpoints_with_idle_connection(),
        )


def _without(
    views: list[EndpointView], excluded: list[EndpointView]
) -> list[EndpointView]:
    ids = frozenset(_ids(excluded))
    return [view for view in views if view.endpoint.id not in ids]


def _ids(views: list[EndpointView]) -> tuple[str, ...]:
    return tuple(view.endpoint.id for view in views)
