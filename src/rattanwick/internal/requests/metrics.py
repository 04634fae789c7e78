"""Metrics shared by model requests and service calls."""

from rattanwick.internal.base.metrics import counter, histogram

REQUESTS = counter(
    "requests", "Requests that ended, by kind and outcome", ("kind", "outcome")
)
SECONDS = histogram(
    "request_seconds", "Seconds from the arrival of a request to its end", ("kind",)
)
REFUSED = counter("requests_refused", "Requests refused at admission", ("reason",))
