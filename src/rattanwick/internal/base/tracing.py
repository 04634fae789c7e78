"""OpenTelemetry traces with a span for each hop, exported over OTLP."""

from collections.abc import Iterator
from contextlib import contextmanager

from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import Span, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import set_span_in_context
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from rattanwick import __version__

TRACEPARENT_HEADER = "traceparent"
MAX_QUEUED_SPANS = 2048


class Tracer:
    """Spans of a node, with their context carried in the ``traceparent`` header.

    Without ``otlp_url`` no span is sampled or sent.
    """

    def __init__(self, node_id: str, otlp_url: str = "", sample_ratio: float = 1.0):
        self._provider = TracerProvider(
            resource=Resource.create(
                {
                    "service.name": "rattanwick",
                    "service.instance.id": node_id,
                    "service.version": __version__,
                }
            ),
            sampler=ParentBased(TraceIdRatioBased(sample_ratio if otlp_url else 0.0)),
            shutdown_on_exit=False,
        )
        if otlp_url:
            exporter = OTLPSpanExporter(endpoint=otlp_url, timeout=2)
            self._provider.add_span_processor(
                BatchSpanProcessor(exporter, max_queue_size=MAX_QUEUED_SPANS)
            )
        self._tracer = self._provider.get_tracer("rattanwick")
        self._propagator = TraceContextTextMapPropagator()

    @contextmanager
    def span(
        self, name: str, parent: str | Span | None = None, **attributes
    ) -> Iterator[Span]:
        """Open a span under a parent span or a ``traceparent`` value."""
        context = None
        if isinstance(parent, str) and parent:
            context = self._propagator.extract({TRACEPARENT_HEADER: parent})
        elif parent is not None and not isinstance(parent, str):
            context = set_span_in_context(parent)
        with self._tracer.start_as_current_span(
            name, context=context, attributes=attributes
        ) as span:
            yield span

    def header(self, span: Span) -> str:
        """Return the ``traceparent`` value of a span."""
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, context=set_span_in_context(span))
        return carrier.get(TRACEPARENT_HEADER, "")

    def stop(self) -> None:
        """Send the queued spans and stop."""
        self._provider.shutdown()
