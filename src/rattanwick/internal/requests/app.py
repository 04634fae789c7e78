"""Falcon application for callers."""

import falcon
import gevent

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.model.request_records import RequestOutput, RequestRecord
from rattanwick.internal.model.requests import RequestKind, ServingRequest
from rattanwick.internal.requests.admission import Admission
from rattanwick.internal.requests.attempts import AttemptRunner
from rattanwick.internal.requests.caller_errors import (
    CallerError,
    answer_caller_error,
    error_body,
)
from rattanwick.internal.requests.charges import RestartCharge
from rattanwick.internal.requests.connections import EndpointConnectionPool
from rattanwick.internal.requests.crashes import CrashTracker
from rattanwick.internal.requests.dependencies import RequestDependencies
from rattanwick.internal.requests.endpoint_index import EndpointIndex
from rattanwick.internal.requests.entry import EntryResource
from rattanwick.internal.requests.model_dispatch import ModelDispatcher
from rattanwick.internal.requests.model_requests import ModelResource
from rattanwick.internal.requests.relocation import StreamRelocator
from rattanwick.internal.requests.runs import LiveRequests, RequestRun, RunControl
from rattanwick.internal.requests.service_calls import ServiceResource
from rattanwick.internal.requests.service_client import ServiceClient
from rattanwick.internal.requests.service_dispatch import ServiceDispatcher
from rattanwick.internal.requests.spans import RequestSpans
from rattanwick.internal.requests.stored_answers import StoredAnswerResource

log = get_logger("requests")

CLEAN_SECONDS = 2.0


class CallerApplication(falcon.App):
    """Serve callers; other parts use its dispatcher and its live requests."""

    def __init__(self, services: RequestDependencies):
        super().__init__()
        timers = services.timers
        self._services = services
        endpoints = EndpointIndex(services.instances, services.gossip)
        self.connections = EndpointConnectionPool()
        self.live = LiveRequests(services.table, timers)
        self.crashes = CrashTracker(services.gossip, timers, services.recorder)
        self.spans = RequestSpans(services.tracer)
        attempts = AttemptRunner(
            services.router, endpoints, self.connections, timers, self.spans
        )
        self.dispatcher = ModelDispatcher(
            services.router,
            attempts,
            self.crashes,
            timers,
            self.spans,
            services.recorder,
        )
        self.service_dispatcher = ServiceDispatcher(
            services.router,
            endpoints,
            ServiceClient(self.connections, timers.wall_time),
            services.claims,
            timers,
            self.spans,
            services.recorder,
        )
        self._relocator = StreamRelocator(
            services.gossip, self.live, endpoints, timers, services.recorder
        )
        self._add_resources(services)
        timers.subscribe("requests.clean", CLEAN_SECONDS, self._clean)
        self.endpoints = endpoints

    def _add_resources(self, services: RequestDependencies) -> None:
        admission = Admission(services, self.live.__len__, self.spans)
        paths = {
            RequestKind.CHAT: "/v1/chat/completions",
            RequestKind.COMPLETION: "/v1/completions",
        }
        for kind, path in paths.items():
            resource = ModelResource(
                kind, services, admission, self.dispatcher, self.live, self.spans
            )
            self.add_route(path, resource)
        calls = ServiceResource(
            services, admission, self.service_dispatcher, self.live, self.spans
        )
        self.add_route("/v1/services/{name}/{path:path}", calls)
        stored = StoredAnswerResource(services, self.live)
        self.add_route("/v1/requests/{request_id}", stored)
        self.add_route("/v1/entry", EntryResource(services))
        self.add_error_handler(CallerError, answer_caller_error)
        self.add_error_handler(Exception, _answer_fault)
        self.set_error_serializer(_serialize_http_error)

    def take_over(self, req: ServingRequest, output: RequestOutput) -> RequestRun:
        """Run a request of another node from its text so far, in its own task.

        The node that accepted it has charged its allowance, but for a run from the
        start. A request that is already here is not run a second time.
        """
        run = self.live.get(req.id)
        if run is not None:
            return run
        record = RequestRecord(req, output)
        control = RunControl()
        steps = self.dispatcher.steps(req, output, control)
        charge = RestartCharge(self._services.grants, self._services.timers)
        if output.restarted and output.length == 0:
            steps = charge.steps(req, output, control, steps)

        def end(run: RequestRun) -> None:
            charge.settle(req, output)
            if output.outcome is not None:
                self._services.replicator.drop(req.id)

        run = self.live.start(record, steps, control, end)
        gevent.spawn(run.finish)
        return run

    def _clean(self) -> None:
        self.live.drop_expired()
        self.connections.close_idle(self.endpoints.by_id)


def build_application(services: RequestDependencies) -> CallerApplication:
    """Return the application for callers."""
    return CallerApplication(services)


def _serialize_http_error(
    req: falcon.Request, resp: falcon.Response, exc: falcon.HTTPError
) -> None:
    """Write falcon's own errors, such as an unknown path, in the usual format."""
    message = exc.description or exc.title or "the request cannot be served"
    resp.media = error_body(message, "invalid_request")


def _answer_fault(
    req: falcon.Request, resp: falcon.Response, exc: Exception, params: dict
) -> None:
    """Answer a fault of ours without telling that the call did not run."""
    if isinstance(exc, falcon.HTTPError):
        raise exc
    log.error("request failed", exc_info=exc)
    error = CallerError(500, "internal", "internal error", outcome="unknown")
    answer_caller_error(req, resp, error, params)
