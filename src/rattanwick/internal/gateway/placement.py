"""Choice of the endpoint for a request, and the decision to refuse it."""

from collections.abc import Set
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b
from random import Random

from rattanwick.internal.gateway.endpoint_view import EndpointView, TotalLoad
from rattanwick.internal.gateway.model import Call, Route, RouteTarget
from rattanwick.internal.gateway.prefill import PrefillModel

# Up to so many nodes, what each has sent is known to all before the next request is
# placed. With more of them, nodes that read the same reports would all choose the
# engine that looked best; each request then has a sample of the engines, the smaller
# the more nodes there are.
NODES_IN_STEP = 12
LEAST_SAMPLE = 4
PLAIN_SAMPLE = 2  # the power of two choices
REMOTE_SECONDS = 0.008  # extra time through another data centre
CONNECT_SECONDS = 0.005  # handshake and round trip of a new connection
REREAD_WEIGHT = 0.5  # reading shared parts again delays the requests behind
SLOT_SHARE = 0.95  # of an engine's slots that are filled
QUEUE_SHARE = 1.5  # of a plain endpoint's slots that may be taken or waited for
DECODE_SECONDS_PER_TOKEN = 0.006  # of decoding at an engine that reads no prompts
# Chunks of prompts hold up the streams that run beside them. The weights turn the
# expected hold-up into seconds of a first event.
PAUSED_WEIGHT = 1.0  # of the time that this stream runs beside prompts
PAUSING_WEIGHT = 0.1  # of the time by which this prompt holds up other streams
RECLAIM_WEIGHT = 0.1  # of the time that a stream runs where it may be reclaimed
MIN_RETRY_AFTER_SECONDS = 0.05  # shortest time after which a caller is asked back
ASIDE_SECONDS = 5.0  # added to the score of an endpoint that is set aside
LATE_SHARE = 1.2  # of the objective above which a first event is too late to start
PLAIN_WORK_SECONDS = 0.05  # usual work of a call to a plain service


class RefusalReason(StrEnum):
    """Tell why no endpoint takes a request now."""

    NO_ENDPOINT = "no_endpoint"
    ENDPOINTS_FULL = "endpoints_full"
    TOO_LATE = "first_event_too_late"


@dataclass(slots=True, frozen=True)
class Placed:
    """Name the endpoint that serves a request and what was expected of it."""

    view: EndpointView
    read_tokens: int  # prompt tokens that it is expected to read
    backlog_tokens: int
    expected_seconds: float  # to the first event, or to the answer


@dataclass(slots=True, frozen=True)
class NotPlaced:
    """Tell why a request has no endpoint and when to try again."""

    reason: RefusalReason
    retry_after: float  # seconds
    usable: int = 0  # endpoints that are not leaving
    expected_seconds: float | None = None  # to the first event at the best of them


def choose_target(targets: tuple[RouteTarget, ...], call_id: str) -> str:
    """Return the service of a request, by the weights of a route's targets."""
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

    Engines that have read the last shared part of the prompt are always among them.
    The sample depends on node and request alone, so that it can be made again.
    """
    count = max(LEAST_SAMPLE, round(len(views) * NODES_IN_STEP / nodes))
    usable = [view for view in views if not view.endpoint.leaving]
    if count >= len(usable):
        return views
    chosen = Random(f"{node_id} {call.id}").sample(usable, count)
    # The last part is the request's own.
    shared = call.prompt[-2].id if len(call.prompt) > 1 else None
    known = {view.endpoint.id for view in chosen}
    chosen += [
        view
        for view in usable
        if shared in view.cached and view.endpoint.id not in known
    ]
    return chosen


def sample_plain(
    views: list[EndpointView], call: Call, node_id: str, nodes: int, now: float
) -> list[EndpointView]:
    """Return the plain endpoints among which a request is placed.

    Two at random spread the requests of many nodes that have heard the same loads.
    """
    sound = [
        view
        for view in views
        if not view.endpoint.leaving
        and now >= view.ejected_until
        and view.lapsed_until is None
    ]
    if nodes <= NODES_IN_STEP or len(sound) <= PLAIN_SAMPLE:
        return views
    return Random(f"{node_id} {call.id}").sample(sound, PLAIN_SAMPLE)


def place_on_engine(
    call: Call,
    route: Route,
    views: list[EndpointView],
    data_centre: str,
    speed: PrefillModel,
    waited: float,
    now: float,
    connected: Set[str] = frozenset(),
) -> Placed | NotPlaced:
    """Return the engine that is expected to give the first event soonest.

    ``connected`` holds the ids of endpoints to which a connection is idle.
    """
    best, best_score = None, 0.0
    rate = speed.rate
    usable = [view for view in views if not view.endpoint.leaving]
    total = call.input_tokens or 0
    duration = call.expected_output * DECODE_SECONDS_PER_TOKEN
    for view in usable:
        load = view.total_load(now)
        if load.running >= SLOT_SHARE * view.endpoint.slots:
            continue
        backlog = load.backlog
        read = view.uncached_tokens(call.prompt, total)
        expected = speed.seconds(backlog + read)
        score = expected + REREAD_WEIGHT * read / rate
        score += _interference(view, load, read / rate, duration, rate)
        if view.endpoint.data_centre != data_centre:
            score += REMOTE_SECONDS
        if view.endpoint.id not in connected:
            score += CONNECT_SECONDS
        if now < view.ejected_until:
            score += ASIDE_SECONDS
        if view.lapsed_until is not None:
            score += ASIDE_SECONDS
        if best is None or score < best_score:
            best, best_score = Placed(view, read, backlog, expected), score
    if best is None:
        reason = RefusalReason.ENDPOINTS_FULL if usable else RefusalReason.NO_ENDPOINT
        return NotPlaced(reason, route.objective, len(usable))
    if (
        waited + best.expected_seconds > LATE_SHARE * route.objective
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


def _interference(
    view: EndpointView, load: TotalLoad, reading: float, duration: float, rate: float
) -> float:
    """Return seconds of harm between a request and the streams at an engine.

    ``reading`` and ``duration`` are the seconds of the request's prompt and output.
    """
    prefilling = min(load.prefill_rate / rate, 1.0)
    others = load.output_tokens * DECODE_SECONDS_PER_TOKEN
    harm = PAUSED_WEIGHT * prefilling * duration + PAUSING_WEIGHT * reading * others
    if view.endpoint.reclaimable:
        harm += RECLAIM_WEIGHT * duration
    return harm


def place_on_service(
    route: Route,
    views: list[EndpointView],
    data_centre: str,
    now: float,
    connected: Set[str] = frozenset(),
) -> Placed | NotPlaced:
    """Return the plain endpoint that is expected to answer soonest."""
    best, best_score = None, 0.0
    usable = [view for view in views if not view.endpoint.leaving]
    for view in usable:
        taken = view.total_load(now).running
        slots = view.endpoint.slots
        if taken >= QUEUE_SHARE * slots + 1:
            continue
        slowdown = view.load.slowdown if view.load else 1.0
        rounds = 1 + taken // slots
        expected = PLAIN_WORK_SECONDS * slowdown * (rounds + taken / slots)
        score = expected
        if view.endpoint.data_centre != data_centre:
            score += REMOTE_SECONDS
        if view.endpoint.id not in connected:
            score += CONNECT_SECONDS
        if now < view.ejected_until or view.lapsed_until is not None:
            score += ASIDE_SECONDS
        score += view.failure_rate * PLAIN_WORK_SECONDS
        if best is None or score < best_score:
            best, best_score = Placed(view, 0, taken, expected), score
    if best is None:
        reason = RefusalReason.ENDPOINTS_FULL if usable else RefusalReason.NO_ENDPOINT
        return NotPlaced(reason, route.objective, len(usable))
    return best
