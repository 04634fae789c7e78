"""Metrics registry of the process."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

REGISTRY = CollectorRegistry()
METRIC_PREFIX = "rattanwick_"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def counter(name: str, documentation: str, labels: tuple[str, ...] = ()) -> Counter:
    """Register a counter; the exported name gets the suffix ``_total``."""
    return Counter(METRIC_PREFIX + name, documentation, labels, registry=REGISTRY)


def gauge(name: str, documentation: str, labels: tuple[str, ...] = ()) -> Gauge:
    """Register a gauge."""
    return Gauge(METRIC_PREFIX + name, documentation, labels, registry=REGISTRY)


def histogram(
    name: str,
    documentation: str,
    labels: tuple[str, ...] = (),
    buckets: tuple[float, ...] = Histogram.DEFAULT_BUCKETS,
) -> Histogram:
    """Register a histogram; ``name`` ends with the unit, such as ``_seconds``."""
    return Histogram(
        METRIC_PREFIX + name, documentation, labels, buckets=buckets, registry=REGISTRY
    )


def render_metrics() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
