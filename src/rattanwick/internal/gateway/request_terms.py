"""Deadline and urgency of a request, from its route and organisation."""

from rattanwick.internal.gateway.model import Call, Organisation, Route

ROUTE_PRIORITY_LEVELS = 3  # route priorities within each organisation priority
MAX_URGENCY = 9


def deadline_of(route: Route, call: Call) -> float:
    """Return the end of the time that a caller and its route allow, monotonic."""
    timeout = route.timeout
    if call.timeout_seconds is not None:
        timeout = min(timeout, call.timeout_seconds)
    return call.arrived + timeout


def urgency_of(route: Route, org: Organisation | None) -> int:
    """Return the urgency of a request at endpoints; 0 is served first.

    The organisation's priority counts before the route's.
    """
    rank = min(route.priority, ROUTE_PRIORITY_LEVELS - 1)
    if org is not None and org.priority is not None:
        rank += ROUTE_PRIORITY_LEVELS * org.priority
    return min(rank, MAX_URGENCY)
