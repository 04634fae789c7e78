"""Metrics of placement."""

from rattanwick.internal.base.metrics import counter, gauge

PLACED = counter("routing_placed", "Placements", ("by", "reason"))
REFUSED = counter("routing_refused", "Requests refused a placement", ("reason",))
QUEUED = gauge("routing_queued", "Requests in the queue of a cell", ("cell",))
RUNNING = gauge("routing_running", "Placements in flight of a cell", ("cell",))
RETRIES = counter("routing_retries", "Retries asked for", ("reason",))
HEDGES = counter("routing_hedges", "Hedges placed or refused", ("result",))
EJECTED = gauge("routing_endpoints_aside", "Endpoints set aside as slow", ("cell",))
OWNER_LOST = counter("routing_owner_unreachable", "Asks that no owner answered")
