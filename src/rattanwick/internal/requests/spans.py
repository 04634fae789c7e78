"""Tracing spans of a request and its steps."""

from contextlib import AbstractContextManager, ExitStack, nullcontext

from rattanwick.internal.base.tracing import Tracer
from rattanwick.internal.model.requests import ServingRequest

SAMPLED = "-01"  # end of a ``traceparent`` whose trace is sampled


class RequestSpans:
    """Spans for each request and each of its steps."""

    def __init__(self, tracer: Tracer):
        self._tracer = tracer

    def request(
        self, req: ServingRequest, callers_traceparent: str, stack: ExitStack
    ) -> None:
        """Open the span of a request; it ends when the stack is closed."""
        span = stack.enter_context(
            self._tracer.span(
                f"{req.kind} request",
                callers_traceparent,
                request_id=req.id,
                organisation=req.organisation,
                pool=req.pool,
            )
        )
        req.traceparent = self._tracer.header(span)

    def step(
        self, req: ServingRequest, name: str, **attributes
    ) -> AbstractContextManager:
        """Return a span for a step, or a null context if the trace is not sampled.

        An unsampled span costs as much as a sampled one, and a short call has six of
        them.
        """
        if not req.traceparent.endswith(SAMPLED):
            return nullcontext()
        return self._tracer.span(name, req.traceparent, **attributes)
