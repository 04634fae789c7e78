"""Limits of requests per second that endpoints name in their responses."""

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter, gauge
from rattanwick.internal.gateway.endpoint_view import EndpointView
from rattanwick.internal.gateway.model import ResponseHead

log = get_logger("limits")

limited_endpoints = gauge(
    "limited_endpoints", "Endpoints known to limit their requests per second"
)
limited_requests_total = counter(
    "limited_requests", "Requests sent to endpoints that limit them", ()
)


class EndpointLimits:
    """Limits that endpoints have named, by endpoint id."""

    def __init__(self):
        self._rates: dict[str, float] = {}

    def note_response(self, view: EndpointView, head: ResponseHead) -> None:
        """Record whether a response names a limit, and log a change."""
        endpoint = view.endpoint
        if head.malformed_rate_limit:
            log.warning(
                "malformed limit ignored",
                extra={"endpoint": endpoint.id, "value": head.malformed_rate_limit},
            )
            return
        known = self._rates.get(endpoint.id)
        if head.rate_limit == known:
            return
        if head.rate_limit is None:
            del self._rates[endpoint.id]
        else:
            self._rates[endpoint.id] = head.rate_limit
        limited_endpoints.set(len(self._rates))
        log.info(
            "limit changed",
            extra={
                "endpoint": endpoint.id,
                "requests_per_s": head.rate_limit,
                "former": known,
            },
        )

    def note_sent(self, view: EndpointView) -> None:
        """Count a request sent to an endpoint, if it has named a limit."""
        if view.endpoint.id in self._rates:
            limited_requests_total.inc()
