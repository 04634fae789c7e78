"""The placement decision: which request runs next, and where."""

from abc import ABC, abstractmethod
from enum import StrEnum

from rattanwick.internal.recording.decisions import DecisionKind, decides
from rattanwick.internal.routing.ranks import hash_rank
from rattanwick.internal.routing.snapshots import (
    CellSnapshot,
    Choice,
    EndpointState,
    WaitingRequest,
)

OTHER_DATA_CENTRE_SECONDS = 0.005  # one round trip between data centres
LOAD_PENALTY = 0.25  # slowing of a stream in a full batch, as a part of its work
PRICE_SECONDS = 0.002  # seconds of delay that one currency unit an hour is worth
UNLIMITED_SLOTS = 1 << 30
TRIAL_RANK = -1.0  # a trial that is due comes first


class RouteReason(StrEnum):
    """Tell why a request was placed where it was."""

    SHORT_FIRST = "short_first"
    LONG = "long"
    LONG_AGED = "long_aged"
    ALONE = "alone"
    LEAST_IN_FLIGHT = "least_in_flight"
    ROUND_ROBIN = "round_robin"
    NONE = "none"


class PlacementPolicy(ABC):
    """Choose an endpoint for one request."""

    reason: RouteReason

    @abstractmethod
    def choose(self, snapshot: CellSnapshot, req: WaitingRequest) -> str | None:
        """Return the endpoint, or None where none is allowed."""


class LeastFinish(PlacementPolicy):
    """Choose the endpoint with the least expected finish time."""

    reason = RouteReason.ALONE

    def choose(self, snapshot: CellSnapshot, req: WaitingRequest) -> str | None:
        """Return the endpoint, or None where none is allowed."""
        best = None
        best_rank = None
        for index, endpoint in enumerate(snapshot.endpoints):
            if not may_run(endpoint, req):
                continue
            cached = req.cached[index] if index < len(req.cached) else 0.0
            finish = expected_finish(snapshot, endpoint, req, cached)
            if endpoint.aside:
                finish = TRIAL_RANK
            rank = (finish, hash_rank(str(snapshot.seed), endpoint.id))
            if best_rank is None or rank < best_rank:
                best, best_rank = endpoint.id, rank
        return best


class LeastInFlight(PlacementPolicy):
    """Choose the endpoint with the fewest requests of this node."""

    reason = RouteReason.LEAST_IN_FLIGHT

    def choose(self, snapshot: CellSnapshot, req: WaitingRequest) -> str | None:
        """Return the endpoint, or None where none is allowed."""
        allowed = [item for item in snapshot.endpoints if item.id not in req.excluded]
        if not allowed:
            return None
        return min(allowed, key=lambda item: _in_flight_rank(snapshot, item)).id


class RoundRobin(PlacementPolicy):
    """Choose endpoints in turn; the seed counts requests."""

    reason = RouteReason.ROUND_ROBIN

    def choose(self, snapshot: CellSnapshot, req: WaitingRequest) -> str | None:
        """Return the endpoint, or None where none is allowed."""
        allowed = [item for item in snapshot.endpoints if item.id not in req.excluded]
        if not allowed:
            return None
        return allowed[snapshot.seed % len(allowed)].id


POLICIES: dict[str, PlacementPolicy] = {
    "owner": LeastFinish(),
    "alone": LeastFinish(),
    "least-in-flight": LeastInFlight(),
    "round-robin": RoundRobin(),
}


def _in_flight_rank(snapshot: CellSnapshot, item: EndpointState) -> tuple:
    running = item.short_running + item.long_running
    return running, hash_rank(str(snapshot.seed), item.id)


def may_run(endpoint: EndpointState, req: WaitingRequest) -> bool:
    """Tell whether a request may be placed on an endpoint now.

    Only short idempotent requests try an endpoint that is set aside, since a
    hedge can make up for a trial that fails.
    """
    if endpoint.id in req.excluded or endpoint.open_slots <= 0:
        return False
    return not endpoint.aside or (req.short and req.idempotent)


def expected_finish(
    snapshot: CellSnapshot,
    endpoint: EndpointState,
    req: WaitingRequest,
    cached: float,
) -> float:
    """Return expected seconds until the request finishes there, with price added."""
    slots = max(endpoint.slots, 1)
    over = max(endpoint.running + 1 - slots, 0.0)
    running = max(endpoint.running, 1.0)
    wait = over * endpoint.remaining_seconds / running / slots
    load = min(endpoint.running / slots, 1.0)
    work = req.work * (1 + LOAD_PENALTY * load) - req.prefill * cached
    link = 0.0
    if req.data_centre and req.data_centre != endpoint.data_centre:
        link = OTHER_DATA_CENTRE_SECONDS
    price = snapshot.weights.cost * PRICE_SECONDS * endpoint.price
    slowness = max(endpoint.slowness, 1.0) ** snapshot.weights.tail
    return link + price + (wait + work) * slowness


def choose_next(snapshot: CellSnapshot) -> Choice | None:
    """Return the next placement of a cell's queue, or None.

    Long requests that waited past the bound come first, then short ones, then
    long ones while fewer than the limit run. Plans take turns by virtual time.
    """
    policy = POLICIES["owner"]
    long_running = sum(item.long_running for item in snapshot.endpoints)
    for req in sorted(snapshot.waiting, key=lambda item: _queue_rank(snapshot, item)):
        aged = is_aged(snapshot, req)
        if not req.short and not aged and long_running >= snapshot.long_limit:
            continue
        if req.seconds_left < req.work:
            continue
        endpoint_id = policy.choose(snapshot, req)
        if endpoint_id is not None:
            return Choice(req.ticket, endpoint_id, _reason(req, aged))
    return None


def is_aged(snapshot: CellSnapshot, req: WaitingRequest) -> bool:
    """Tell whether a long request waited past the bound."""
    return not req.short and req.waited >= snapshot.long_wait_seconds


def _queue_rank(snapshot: CellSnapshot, req: WaitingRequest) -> tuple:
    group = 0 if is_aged(snapshot, req) else 1 if req.short else 2
    return group, req.plan_time, -req.waited


def _reason(req: WaitingRequest, aged: bool) -> str:
    if req.short:
        return RouteReason.SHORT_FIRST
    return RouteReason.LONG_AGED if aged else RouteReason.LONG


@decides(DecisionKind.ROUTE)
def replay_route(inputs: dict) -> tuple[object, str]:
    """Run a recorded placement decision again."""
    snapshot = CellSnapshot.from_message(inputs["snapshot"])
    if inputs["policy"] == "owner":
        choice = choose_next(snapshot)
        if choice is None:
            return None, RouteReason.NONE
        return [choice.ticket, choice.endpoint_id], choice.reason
    return choose_alone(inputs["policy"], snapshot)


def choose_alone(policy_name: str, snapshot: CellSnapshot) -> tuple[object, str]:
    """Return (ticket and endpoint, reason) for a single request without a queue."""
    policy = POLICIES[policy_name]
    req = snapshot.waiting[0]
    endpoint_id = policy.choose(snapshot, req)
    if endpoint_id is None:
        return None, RouteReason.NONE
    return [req.ticket, endpoint_id], policy.reason
