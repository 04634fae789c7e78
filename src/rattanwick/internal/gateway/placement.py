"""Choice of the endpoint for a request, or of the reason to refuse it."""

from collections.abc import Set
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b
from random import Random

from rattanwick.internal.gateway.endpoint_view import EndpointView, TotalLoad
from rattanwick.internal.gateway.model import Call, Route, RouteTarget
from rattanwick.internal.gateway.prefill import PrefillModel

# Up to this number of nodes, each node's load reaches all others before the next
# request is placed. With more, nodes that see the same reports would all choose the
# engine with the best score; each request is then placed within a random sample of the
# engines, which is smaller the more nodes there are.
MAX_NODES_WITHOUT_SAMPLING = 12
MIN_ENGINE_SAMPLE_SIZE = 4
SERVICE_SAMPLE_SIZE = 2  # "power of two choices" load balancing
CROSS_DATA_CENTRE_SECONDS = 0.008  # extra time to another data centre
NEW_CONNECTION_SECONDS = 0.005  # handshake and round trip of a new connection
# Of the time in which an engine reads the prompt: reading shared parts again delays the
# requests that wait behind it.
PREFILL_WEIGHT = 0.5
MAX_ENGINE_SLOT_SHARE = 0.95  # of an engine's slots that are used
# Requests that run or wait at an endpoint of a plain service, as a share of its slots.
MAX_SERVICE_LOAD_SHARE = 1.5
DECODE_SECONDS_PER_TOKEN = 0.006  # at an engine that reads no prompts meanwhile
# An engine that reads chunks of a prompt delays the streams that run there. The weights
# convert the expected delays into seconds of a first event.
DELAYED_WEIGHT = 1.0  # of the time in which prompts delay this stream
DELAYING_WEIGHT = 0.1  # of the time by which this prompt delays other streams
RECLAIM_WEIGHT = 0.1  # of the time that a stream runs at a reclaimable endpoint
MIN_RETRY_AFTER_SECONDS = 0.05  # shortest Retry-After of a refused caller
EJECTED_PENALTY_SECONDS = 5.0  # added to the score of an ejected or lapsed endpoint
# A request is refused if its first event is expected later than this share of the
# objective.
MAX_FIRST_EVENT_SHARE = 1.2
SERVICE_WORK_SECONDS = 0.05  # usual time of a call to a plain service


class RefusalReason(StrEnum):
    """Why no endpoint can take a request now."""

    NO_ENDPOINT = "no_endpoint"
    ENDPOINTS_FULL = "endpoints_full"
    TOO_LATE = "first_event_too_late"


@dataclass(slots=True, frozen=True)
class Placed:
    """The endpoint chosen for a request, and the expectations behind the choice."""

    view: EndpointView
    read_tokens: int  # prompt tokens that it is expected to read
    backlog_tokens: int  # read before them; for a plain service its running requests
    expected_seconds: float  # to the first event, or to the response


@dataclass(slots=True, frozen=True)
class NotPlaced:
    """Why no endpoint was chosen for a request, and when to try again."""

    reason: RefusalReason
    retry_after: float  # seconds
    usable: int = 0  # endpoints that are not leaving
    expected_seconds: float | None = None  # to the first event at the best of them


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

    Engines that have read the last shared part of the prompt are always included. The
    sample depends on node and request only, so that it can be reproduced.
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

    A random pair spreads the requests of many nodes that know the same loads.
    """
    healthy = [
        view
        for view in views
        if not view.endpoint.leaving
        and now >= view.ejected_until
        and view.lapsed_until is None
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
    waited: float,
    now: float,
    connected: Set[str] = frozenset(),
) -> Placed | NotPlaced:
    """Return the engine with the lowest expected time to the first event, or a refusal.

    ``waited`` is the seconds since the request arrived, ``connected`` the ids of
    endpoints to which this node has an idle connection.
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
        backlog = load.backlog
        read = view.uncached_tokens(call.prompt, total)
        expected = prefill.seconds(backlog + read)
        score = expected + PREFILL_WEIGHT * read / rate
        score += _interference_penalty(view, load, read / rate, duration, rate)
        if view.endpoint.data_centre != data_centre:
            score += CROSS_DATA_CENTRE_SECONDS
        if view.endpoint.id not in connected:
            score += NEW_CONNECTION_SECONDS
        if now < view.ejected_until:
            score += EJECTED_PENALTY_SECONDS
        if view.lapsed_until is not None:
            score += EJECTED_PENALTY_SECONDS
        if best is None or score < best_score:
            best, best_score = Placed(view, read, backlog, expected), score
    if best is None:
        reason = RefusalReason.ENDPOINTS_FULL if usable else RefusalReason.NO_ENDPOINT
        return NotPlaced(reason, route.objective, len(usable))
    if (
        waited + best.expected_seconds > MAX_FIRST_EVENT_SHARE * route.objective
        and best.backlog_tokens
    ):
        overdue = best.expected_seconds - route.objective / 2
        return NotPlaced(
            RefusalReason.TOO_LATE,
            max(overdue, MIN_RETRY_AFTER_SECONDS),
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

    ``prefill_seconds`` is the time to read the request's prompt, ``duration`` the time
    of its output. The penalty includes the risk that the endpoint is reclaimed.
    """
    prefilling = min(load.prefill_rate / rate, 1.0)
    other_seconds = load.output_tokens * DECODE_SECONDS_PER_TOKEN
    penalty = (
        DELAYED_WEIGHT * prefilling * duration
        + DELAYING_WEIGHT * prefill_seconds * other_seconds
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
        if running >= MAX_SERVICE_LOAD_SHARE * slots + 1:
            continue
        slowdown = view.load.slowdown if view.load else 1.0
        rounds = 1 + running // slots
        expected = SERVICE_WORK_SECONDS * slowdown * (rounds + running / slots)
        score = expected
        if view.endpoint.data_centre != data_centre:
            score += CROSS_DATA_CENTRE_SECONDS
        if view.endpoint.id not in connected:
            score += NEW_CONNECTION_SECONDS
        if now < view.ejected_until or view.lapsed_until is not None:
            score += EJECTED_PENALTY_SECONDS
        score += view.failure_rate * SERVICE_WORK_SECONDS
        if best is None or score < best_score:
            best, best_score = Placed(view, 0, running, expected), score
    if best is None:
        reason = RefusalReason.ENDPOINTS_FULL if usable else RefusalReason.NO_ENDPOINT
        return NotPlaced(reason, route.objective, len(usable))
    return best
