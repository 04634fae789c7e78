"""Metrics of placement."""

from rattanwick.internal.base.metrics import counter, gauge

PLACED = counter("routing_placed", "Placements", ("by", "reason"))
REFUSED = counter("routing_refused", "Requests refused a placement", ("reason",))
QUEUED = gauge("routing_queued", "Requests in the queue of a cell", ("cell",))
RUNNING = gauge("routing_running", "Running placements of a cell", ("cell",))
RETRIES = counter("routing_retries", "Decisions on retries", ("reason",))
HEDGES = counter("routing_hedges", "Hedges that were placed or refused", ("result",))
EJECTED = gauge("routing_endpoints_aside", "Endpoints ejected as slow", ("cell",))
OWNER_CALL_FAILURES = counter(
    "routing_owner_unreachable", "Placement requests that no owner answered"
)
