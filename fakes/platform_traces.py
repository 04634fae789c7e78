"""Trace receiver of the fake platform: OTLP over HTTP, spans returned as JSON."""

import gzip
from collections import deque

from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import (
    ExportTraceServiceRequest,
)

from fakes.platform_state import HttpRequest, HttpResponse, json_response

MAX_SPANS = 20_000


def _value(value) -> object:
    kind = value.WhichOneof("value")
    return getattr(value, kind) if kind != "array_value" else str(value)


def _attributes(pairs) -> dict[str, object]:
    return {
        pair.key: _value(pair.value) for pair in pairs if pair.value.WhichOneof("value")
    }


class FakeTraces:
    """Store of the newest MAX_SPANS spans."""

    def __init__(self):
        self._spans: deque[dict] = deque(maxlen=MAX_SPANS)

    def handle(self, http_request: HttpRequest) -> HttpResponse:
        """Store the spans of an export request."""
        body = http_request.body
        if http_request.headers.get("content-encoding") == "gzip":
            body = gzip.decompress(body)
        request = ExportTraceServiceRequest.FromString(body)
        for resource_spans in request.resource_spans:
            resource = _attributes(resource_spans.resource.attributes)
            for scope_spans in resource_spans.scope_spans:
                for span in scope_spans.spans:
                    self._spans.append(self._to_json(span, resource))
        return HttpResponse(200, b"", "application/x-protobuf")

    def spans(self, trace_id: str) -> HttpResponse:
        """Return the spans of a trace, or all for an empty id, ordered by start."""
        found = [
            span for span in self._spans if not trace_id or span["trace_id"] == trace_id
        ]
        return json_response(sorted(found, key=lambda span: span["start_nanoseconds"]))

    def _to_json(self, span, resource: dict) -> dict:
        return {
            "trace_id": span.trace_id.hex(),
            "span_id": span.span_id.hex(),
            "parent_id": span.parent_span_id.hex(),
            "name": span.name,
            "node": resource.get("service.instance.id", ""),
            "start_nanoseconds": span.start_time_unix_nano,
            "end_nanoseconds": span.end_time_unix_nano,
            "attributes": _attributes(span.attributes),
            "status": span.status.code,
        }
