"""The placement decision: which request runs next, and on which endpoint."""

from abc import ABC, abstractmethod
from enum import StrEnum

from rattanwick.internal.base.ids import rendezvous_weight
from rattanwick.internal.recording.decisions import DecisionKind, decision_function
from rattanwick.internal.routing.snapshots import (
    CellSnapshot,
    EndpointState,
    PlacementChoice,
    WaitingRequest,
)

OTHER_DATA_CENTRE_SECONDS = 0.005  # one round trip between data centres
LOAD_PENALTY = 0.25  # slowdown of a stream in a full batch, as a share of its work
SHORT_REQUEST_WEIGHT = 0.25  # weight of a short request when long work is spread
SECONDS_PER_PRICE_UNIT = 0.002  # delay worth one currency unit an hour
# A request with a cached prefix may overtake requests that arrived up to this much
# earlier, and plans whose virtual time is up to this much smaller.
MAX_REORDER_SECONDS = 0.5
MAX_REORDER_WORK_SECONDS = 0.5
MIN_REORDER_GAIN_SECONDS = 0.002  # overtaking must save more than this
AGED_SLOTS_DIVISOR = 8  # aged long work may use one slot in 8 above the limit
UNLIMITED_SLOTS = 1 << 30
TRIAL_FINISH_SECONDS = -1.0  # below all finish times: a due trial comes first


class RouteReason(StrEnum):
    """Reason for a placement: the class of the request, or the policy."""

    SHORT_FIRST = "short_first"
    LONG = "long"
    LONG_AGED = "long_aged"
    ALONE = "alone"
    LEAST_IN_FLIGHT = "least_in_flight"
    ROUND_ROBIN = "round_robin"
    NONE = "none"


class PlacementPolicy(ABC):
    """Policy that chooses an endpoint for one request."""

    reason: RouteReason

    @abstractmethod
    def choose(self, snapshot: CellSnapshot, req: WaitingRequest) -> str | None:
        """Return the id of an endpoint, or None if none may run the request."""


class EarliestFinish(PlacementPolicy):
    """Choose the endpoint with the earliest expected finish time, or a due trial."""

    reason = RouteReason.ALONE

    def choose(self, snapshot: CellSnapshot, req: WaitingRequest) -> str | None:
        """Return the id of an endpoint, or None if none may run the request."""
        best = None
        best_rank = None
        for index, endpoint in enumerate(snapshot.endpoints):
            if not may_run(endpoint, req):
                continue
            cached = req.cached[index] if index < len(req.cached) else 0.0
            finish = expected_finish(snapshot, endpoint, req, cached)
            if endpoint.aside:
                finish = TRIAL_FINISH_SECONDS
            rank = (finish, rendezvous_weight(str(snapshot.seed), endpoint.id))
            if best_rank is None or rank < best_rank:
                best, best_rank = endpoint.id, rank
        return best


class LeastInFlight(PlacementPolicy):
    """Choose the endpoint that runs the fewest requests of this node."""

    reason = RouteReason.LEAST_IN_FLIGHT

    def choose(self, snapshot: CellSnapshot, req: WaitingRequest) -> str | None:
        """Return the id of an endpoint, or None if none may run the request."""
        allowed = [item for item in snapshot.endpoints if item.id not in req.excluded]
        if not allowed:
            return None
        return min(allowed, key=lambda item: _in_flight_rank(snapshot, item)).id


class RoundRobin(PlacementPolicy):
    """Choose the endpoints in turn; the seed of the snapshot counts requests."""

    reason = RouteReason.ROUND_ROBIN

    def choose(self, snapshot: CellSnapshot, req: WaitingRequest) -> str | None:
        """Return the id of an endpoint, or None if none may run the request."""
        allowed = [item for item in snapshot.endpoints if item.id not in req.excluded]
        if not allowed:
            return None
        return allowed[snapshot.seed % len(allowed)].id


POLICIES: dict[str, PlacementPolicy] = {
    "owner": EarliestFinish(),
    "alone": EarliestFinish(),
    "least-in-flight": LeastInFlight(),
    "round-robin": RoundRobin(),
}


def _in_flight_rank(snapshot: CellSnapshot, item: EndpointState) -> tuple:
    running = item.short_running + item.long_running
    return running, rendezvous_weight(str(snapshot.seed), item.id)


def may_run(endpoint: EndpointState, req: WaitingRequest) -> bool:
    """Return whether a request may be placed on an endpoint now.

    An ejected endpoint is tried with short idempotent requests that can be
    hedged, since the hedge makes up for a failed trial. An overdue trial takes
    any request, so that one that excludes all other endpoints can run.
    """
    if endpoint.id in req.excluded or endpoint.open_slots <= 0:
        return False
    if not endpoint.aside:
        return True
    hedged = req.short and req.idempotent and req.can_hedge
    return hedged or endpoint.trial_overdue


def expected_finish(
    snapshot: CellSnapshot,
    endpoint: EndpointState,
    req: WaitingRequest,
    cached: float,
) -> float:
    """Return the expected seconds until a request finishes at an endpoint.

    The endpoint's price is added as seconds of delay.
    """
    slots = max(endpoint.slots, 1)
    excess = max(endpoint.running + 1 - slots, 0.0)
    running = max(endpoint.running, 1.0)
    wait = excess * endpoint.remaining_seconds / running / slots
    load = min(_load_count(endpoint, req) / slots, 1.0)
    work = req.work * (1 + LOAD_PENALTY * load) - req.prefill * cached
    network = 0.0
    if req.data_centre and req.data_centre != endpoint.data_centre:
        network = OTHER_DATA_CENTRE_SECONDS
    price = snapshot.weights.cost * SECONDS_PER_PRICE_UNIT * endpoint.price
    slowness = max(endpoint.slowness, 1.0) ** snapshot.weights.tail
    return network + price + (wait + work) * slowness


def _load_count(endpoint: EndpointState, req: WaitingRequest) -> float:
    """Return the weighted number of requests at an endpoint, to spread the load.

    Short work ends soon, so long work is spread mostly by the number of running
    long requests: an endpoint full of long work makes no use of its cached prefixes.
    """
    if req.short:
        return endpoint.running
    return endpoint.long_running + SHORT_REQUEST_WEIGHT * endpoint.short_running


def choose_next_placement(snapshot: CellSnapshot) -> PlacementChoice | None:
    """Return the next placement from a cell's queue, or None if there is none.

    Long requests that waited past the limit (aged ones) come first, then short ones,
    then other long ones while fewer than the limit run. Aged long requests may use
    a few slots above that limit, but not all slots; otherwise a flood of long work
    would stop short work. Plans take turns by virtual time.
    """
    policy = POLICIES["owner"]
    active = [item for item in snapshot.endpoints if not item.aside]
    long_running = sum(item.long_running for item in active)
    extra_slots = max(sum(item.slots for item in active) // AGED_SLOTS_DIVISOR, 1)
    ranked = sorted(snapshot.waiting, key=lambda item: _queue_rank(snapshot, item))
    for index, req in enumerate(ranked):
        aged = is_aged(snapshot, req)
        limit = snapshot.long_limit + (extra_slots if aged else 0)
        if not req.short and long_running >= limit:
            continue
        if req.seconds_left < req.work:
            continue
        endpoint_id = policy.choose(snapshot, req)
        if endpoint_id is None:
            continue
        if req.short:
            req, endpoint_id = _prefer_cached(snapshot, ranked[index:], endpoint_id)
        return PlacementChoice(req.ticket, endpoint_id, _reason(req, aged))
    return None


def _prefer_cached(
    snapshot: CellSnapshot, ranked: list[WaitingRequest], endpoint_id: str
) -> tuple[WaitingRequest, str]:
    """Return the first request, or one close behind it with a longer cached prefix.

    With few open slots, the first request's prefix is rarely cached at their endpoints.
    """
    first = ranked[0]
    best, best_endpoint = first, endpoint_id
    best_saving = _cached_saving(snapshot, first, endpoint_id)
    for req in ranked[1:]:
        near_plan = req.plan_time - first.plan_time <= MAX_REORDER_WORK_SECONDS
        near_time = first.waited - req.waited <= MAX_REORDER_SECONDS
        if not (req.short and near_plan and near_time):
            continue
        if req.seconds_left < req.work:
            continue
        other_endpoint = POLICIES["owner"].choose(snapshot, req)
        saving = (
            _cached_saving(snapshot, req, other_endpoint) if other_endpoint else 0.0
        )
        if saving > best_saving + MIN_REORDER_GAIN_SECONDS:
            best, best_endpoint, best_saving = req, other_endpoint, saving
    return best, best_endpoint


def _cached_saving(
    snapshot: CellSnapshot, req: WaitingRequest, endpoint_id: str
) -> float:
    """Return the seconds that the cached prefix at an endpoint saves."""
    for index, endpoint in enumerate(snapshot.endpoints):
        if endpoint.id == endpoint_id and index < len(req.cached):
            return req.prefill * req.cached[index]
    return 0.0


def is_aged(snapshot: CellSnapshot, req: WaitingRequest) -> bool:
    """Return whether a long request has waited for the maximum time."""
    return not req.short and req.waited >= snapshot.long_wait_seconds


def _queue_rank(snapshot: CellSnapshot, req: WaitingRequest) -> tuple:
    group = 0 if is_aged(snapshot, req) else 1 if req.short else 2
    return group, req.plan_time, -req.waited


def _reason(req: WaitingRequest, aged: bool) -> str:
    if req.short:
        return RouteReason.SHORT_FIRST
    return RouteReason.LONG_AGED if aged else RouteReason.LONG


@decision_function(DecisionKind.ROUTE)
def replay_route(inputs: dict) -> tuple[object, str]:
    """Repeat a recorded placement decision."""
    snapshot = CellSnapshot.from_message(inputs["snapshot"])
    if inputs["policy"] == "owner":
        choice = choose_next_placement(snapshot)
        if choice is None:
            return None, RouteReason.NONE
        return [choice.ticket, choice.endpoint_id], choice.reason
    return choose_locally(inputs["policy"], snapshot)


def choose_locally(policy_name: str, snapshot: CellSnapshot) -> tuple[object, str]:
    """Return ([ticket, endpoint id] or None, reason) for a snapshot of one request."""
    policy = POLICIES[policy_name]
    req = snapshot.waiting[0]
    endpoint_id = policy.choose(snapshot, req)
    if endpoint_id is None:
        return None, RouteReason.NONE
    return [req.ticket, endpoint_id], policy.reason
