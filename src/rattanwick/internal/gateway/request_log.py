"""Log line and metrics of each request."""

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter, histogram
from rattanwick.internal.gateway.active_request import ActiveRequest
from rattanwick.internal.gateway.endpoint_connection import EndpointConnection
from rattanwick.internal.gateway.endpoint_view import EndpointView
from rattanwick.internal.gateway.node_state import NodeState
from rattanwick.internal.gateway.outcomes import Outcome

log = get_logger("relay")
attempts_log = get_logger("attempts")

requests_total = counter(
    "relay_requests",
    "Requests of callers, by kind of route and outcome",
    ("route_kind", "outcome"),
)
answer_seconds = histogram(
    "relay_answer_seconds",
    "Seconds to the answer, or to a stream's first event",
    ("route_kind",),
    (0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0),
)

MAX_LOGGED_ENDPOINTS = 8


def log_request_end(
    state: NodeState, request: ActiveRequest, outcome: str, status: int
) -> None:
    """Log and count the end of a request."""
    call, placed, not_placed = request.call, request.placed, request.not_placed
    kind = str(request.route.kind)
    requests_total.labels(kind, outcome.partition(":")[0]).inc()
    now = state.timers.now()
    seconds = now - call.arrived
    first = request.first_event_seconds
    if outcome.startswith("answered"):
        answer_seconds.labels(kind).observe(seconds if first is None else first)
    log.info(
        "ended",
        extra={
            "request": call.id,
            "route": request.route.name,
            "organisation": request.organisation.name if request.organisation else "",
            "outcome": outcome,
            "status": status,
            "ms": round(seconds * 1000),
            "first_ms": _to_ms(first),
            "pause_ms": round(request.longest_pause * 1000),
            "attempts": request.attempts,
            "endpoint": placed.view.endpoint.id if placed else None,
            "expected_ms": _to_ms(placed.expected_seconds) if placed else None,
            "read_tokens": placed.prefill_tokens if placed else None,
            "backlog_tokens": placed.backlog if placed else None,
            "usable_endpoints": not_placed.usable if not_placed else None,
            "limited_endpoints": request.limited_endpoints[:MAX_LOGGED_ENDPOINTS]
            or None,
            "permit": request.permit is not None or None,
            "soonest_ms": _to_ms(not_placed.expected_seconds) if not_placed else None,
            "configuration": request.configuration_version,
            "endpoints_version": state.endpoints.version,
            "endpoints_age_s": round(now - state.endpoints.changed_at, 2),
        },
    )


def log_failed_attempt(
    request: ActiveRequest,
    view: EndpointView,
    connection: EndpointConnection | None,
    outcome: Outcome,
    ejected: bool,
) -> None:
    """Log an attempt that got no answer which ends its request."""
    idle = connection.previous_idle_seconds if connection else None
    attempts_log.info(
        "attempt failed",
        extra={
            "request": request.call.id,
            "endpoint": view.endpoint.id,
            "attempt": request.attempts,
            "reused": connection.reused if connection else None,
            "rested": None if idle is None else round(idle, 2),
            "outcome": type(outcome).__name__,
            "reason": getattr(outcome, "reason", None)
            or f"status {outcome.head.status}",
            "paced_ms": _to_ms(connection.paced_seconds) if connection else None,
            "events": request.events.events,
            "last_event_id": request.events.resume_id,
            "failure_rate": round(view.failure_rate, 2),
            "set_aside": ejected,
        },
    )


def _to_ms(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * 1000)
