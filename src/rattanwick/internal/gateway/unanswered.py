"""Log line and counter of requests whose connection ends without an answer."""

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.gateway.active_request import Phase
from rattanwick.internal.gateway.planned_stop import PlannedStop

log = get_logger("callers")

unanswered_total = counter(
    "relay_unanswered_requests",
    "Requests whose connection this node ended without a complete answer, by phase",
    ("phase",),
)


def log_unanswered(
    request_id: str, phase: Phase, cause: str, status: int, stop: PlannedStop
) -> None:
    """Log and count a request; ``status`` is that of an incomplete answer, or 0."""
    unanswered_total.labels(str(phase)).inc()
    left = stop.time_left()
    log.warning(
        "request ended without a complete answer",
        extra={
            "request": request_id,
            "phase": str(phase),
            "cause": cause,
            "status": status,
            "stop_ends_in_s": None if left is None else round(left, 2),
        },
    )
