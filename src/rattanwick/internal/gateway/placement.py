"""Choice of the endpoint for a request, or of the reason to refuse it."""

from collections.abc import Set
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b
from random import Random

from rattanwick.internal.gateway.endpoint_view import EndpointView, TotalLoad
from rattanwick.internal.gateway.model import Call, Route, RouteTarget
from rattanwick.internal.gateway.prefill import PrefillModel

# With more nodes than this, loads reach the peers only after they have placed further
# requests, so that all nodes would choose the same engine. Each request is then placed
# among a random sample of the engines; the more nodes, the smaller the sample.
MAX_NODES_WITHOUT_SAMPLING = 12
MIN_ENGINE_SAMPLE_SIZE = 4
SERVICE_SAMPLE_SIZE = 2  # "power of two choices" load balancing
CROSS_DATA_CENTRE_SECONDS = 0.008  # extra time to another data centre
NEW_CONNECTION_SECONDS = 0.005  # handshake and round trip of a new connection
# Weight of the request's prefill time in an engine's score, in addition to its part in
# the expected time: repeated prefill of shared parts delays the requests behind it.
PREFILL_WEIGHT = 0.5
MAX_ENGINE_SLOT_SHARE = 0.95  # share of an engine's slots up to which it gets requests
# Highest ratio of requests that run or wait at an endpoint of a plain service to its
# slots.
MAX_SERVICE_LOAD_RATIO = 1.5
DECODE_SECONDS_PER_TOKEN = 0.006  # while the engine runs no prefill
# The prefill of a prompt delays the streams that run at the engine. These weights
# express the delays as equivalent delay of the first event.
DELAY_BY_OTHERS_WEIGHT = 1.0  # time in which other prompts' prefill delays this stream
DELAY_TO_OTHERS_WEIGHT = 0.1  # time by which this prefill delays the other streams
RECLAIM_WEIGHT = 0.1  # time for which a stream runs at a reclaimable endpoint
MIN_RETRY_AFTER_SECONDS = 0.05  # shortest Retry-After of a refused caller
# Added to the score of an endpoint that was ejected, or whose entry in the store
# expired while the store failed.
EJECTED_PENALTY_SECONDS = 5.0
# A request that would wait for other prompts is refused if the expected time from its
# arrival to its first event is more than this multiple of the route's objective.
MAX_FIRST_EVENT_RATIO = 1.2
SERVICE_WORK_SECONDS = 0.05  # usual time of a call to a plain service


class RefusalReason(StrEnum):
    """Why no endpoint can take a request now."""

    NO_ENDPOINT = "no_endpoint"
    ENDPOINTS_FULL = "endpoints_full"
    TOO_LATE = "first_event_too_late"
    ENDPOINTS_LIMITED = "endpoints_limited"
    PERMIT_PENDING = "permit_pending"
    ENDPOINTS_RESTING = "endpoints_resting"
    NODE_STOPPING = "node_stopping"


@dataclass(slots=True, frozen=True)
class Placed:
    """The endpoint chosen for a request, and the estimates used to choose it."""

    view: EndpointView
    prefill_tokens: int  # prompt tokens that the endpoint has not cached
    # Prompt tokens whose prefill comes first; at a plain service, running requests.
    backlog: int
    expected_seconds: float  # to the first event, or to the response


@dataclass(slots=True, frozen=True)
class NotPlaced:
    """The reason why no endpoint was chosen for a request, and when to try again."""

    reason: RefusalReason
    retry_after: float  # seconds
    usable: int = 0  # endpoints that are not leaving
    expected_seconds: float | None = None  # to the first event at the best endpoint


def choose_target(targets: tuple[RouteTarget, ...], call_id: str) -> str:
    """Return the service for a request, drawn by the weights of a route's targets.

    The same id always gives the same service.
    """
    if len(targets) == 1:
        return targets[0].service
    total = sum(target.weight for target in targets)
    digest = blake2b(call_id.encode(), digest_size=8).digest()
    point = int.from_bytes(digest, "big") / 2**64 * total
    for target in targets:
        point -= target.weight
        if point < 0:
            return target.service
    return targets[-1].service


def sample_engines(
    views: list[EndpointView], call: Call, node_id: str, nodes: int
) -> list[EndpointView]:
    """Return the engines among which a request is placed.

    Engines that have cached the last shared part of the prompt are always included. The
    sample depends only on the node and the request, so that it can be reproduced.
    """
    count = max(
        MIN_ENGINE_SAMPLE_SIZE, round(len(views) * MAX_NODES_WITHOUT_SAMPLING / nodes)
    )
    usable = [view for view in views if not view.endpoint.leaving]
    if count >= len(usable):
        return views
    chosen = Random(f"{node_id} {call.id}").sample(usable, count)
    # The last part belongs to this request only.
    shared = call.prompt[-2].id if len(call.prompt) > 1 else None
    known = {view.endpoint.id for view in chosen}
    chosen += [
        view
        for view in usable
        if shared in view.cached and view.endpoint.id not in known
    ]
    return chosen


def sample_service_endpoints(
    views: list[EndpointView], call: Call, node_id: str, nodes: int, now: float
) -> list[EndpointView]:
    """Return the endpoints of a plain service among which a request is placed.

    A random pair spreads the requests of many nodes that see the same loads.
    """
    healthy = [
        view
        for view in views
        if not view.endpoint.leaving
        and now >= view.ejected_until
        and view.last_resort_until is None
    ]
    if nodes <= MAX_NODES_WITHOUT_SAMPLING or len(healthy) <= SERVICE_SAMPLE_SIZE:
        return views
    return Random(f"{node_id} {call.id}").sample(healthy, SERVICE_SAMPLE_SIZE)


def place_on_engine(
    call: Call,
    route: Route,
    views: list[EndpointView],
    data_centre: str,
    prefill: PrefillModel,
    age_seconds: float,
    now: float,
    connected: Set[str] = frozenset(),
) -> Placed | NotPlaced:
    """Return the engine with the lowest expected time to the first event, or a refusal.

    ``age_seconds`` is the time since the request arrived. ``connected`` holds the ids
    of the endpoints to which this node has an idle connection.
    """
    best, best_score = None, 0.0
    rate = prefill.rate
    usable = [view for view in views if not view.endpoint.leaving]
    total = call.input_tokens or 0
    duration = call.expected_output * DECODE_SECONDS_PER_TOKEN
    for view in usable:
        load = view.total_load(now)
        if load.running >= MAX_ENGINE_SLOT_SHARE * view.endpoint.slots:
            continue
        backlog = load.pending_tokens
        uncached = view.uncached_tokens(call.prompt, total)
        expected = prefill.seconds(backlog + uncached)
        score = expected + PREFILL_WEIGHT * uncached / rate
        score += _interference_penalty(view, load, uncached / rate, duration, rate)
        if view.endpoint.data_centre != data_centre:
            score += CROSS_DATA_CENTRE_SECONDS
        if view.endpoint.id not in connected:
            score += NEW_CONNECTION_SECONDS
        if now < view.ejected_until:
            score += EJECTED_PENALTY_SECONDS
        if view.last_resort_until is not None:
            score += EJECTED_PENALTY_SECONDS
        if best is None or score < best_score:
            best, best_score = Placed(view, uncached, backlog, expected), score
    if best is None:
        reason = RefusalReason.ENDPOINTS_FULL if usable else RefusalReason.NO_ENDPOINT
        return NotPlaced(reason, route.objective, len(usable))
    if (
        age_seconds + best.expected_seconds > MAX_FIRST_EVENT_RATIO * route.objective
        and best.backlog
    ):
        # By then, the engine is expected to need half of the objective.
        retry_after = best.expected_seconds - route.objective / 2
        return NotPlaced(
            RefusalReason.TOO_LATE,
            max(retry_after, MIN_RETRY_AFTER_SECONDS),
            len(usable),
            best.expected_seconds,
        )
    return best


def _interference_penalty(
    view: EndpointView,
    load: TotalLoad,
    prefill_seconds: float,
    duration: float,
    rate: float,
) -> float:
    """Return the penalty for delays between a request and other streams at an engine.

    ``prefill_seconds`` is the time of the request's prefill, ``duration`` that of its
    output, and ``rate`` the engine's prefill rate in tokens a second. The penalty
    includes the risk that the endpoint is reclaimed.
    """
    prefill_share = min(load.prefill_rate / rate, 1.0)
    other_streams_seconds = load.output_tokens * DECODE_SECONDS_PER_TOKEN
    penalty = (
        DELAY_BY_OTHERS_WEIGHT * prefill_share * duration
        + DELAY_TO_OTHERS_WEIGHT * prefill_seconds * other_streams_seconds
    )
    if view.endpoint.reclaimable:
        penalty += RECLAIM_WEIGHT * duration
    return penalty


def place_on_service(
    route: Route,
    views: list[EndpointView],
    data_centre: str,
    now: float,
    connected: Set[str] = frozenset(),
) -> Placed | NotPlaced:
    """Return the endpoint with the lowest expected response time, or a refusal."""
    best, best_score = None, 0.0
    usable = [view for view in views if not view.endpoint.leaving]
    for view in usable:
        running = view.total_load(now).running
        slots = view.endpoint.slots
        if running >= MAX_SERVICE_LOAD_RATIO * slots + 1:
            continue
        slowdown = view.load.slowdown if view.load else 1.0
        # Calls wait for a slot in rounds. The share of used slots makes the endpoint
        # with more free ones the better one within a round.
        rounds = 1 + running // slots
        expected = SERVICE_WORK_SECONDS * slowdown * (rounds + running / slots)
        score = expected
        if view.endpoint.data_centre != data_centre:
            score += CROSS_DATA_CENTRE_SECONDS
        if view.endpoint.id not in connected:
            score += NEW_CONNECTION_SECONDS
        if now < view.ejected_until or view.last_resort_until is not None:
            score += EJECTED_PENALTY_SECONDS
        score += view.failure_rate * SERVICE_WORK_SECONDS
        if best is None or score < best_score:
            best, best_score = Placed(view, 0, running, expected), score
    if best is None:
        reason = RefusalReason.ENDPOINTS_FULL if usable else RefusalReason.NO_ENDPOINT
        return NotPlaced(reason, route.objective, len(usable))
    return best
