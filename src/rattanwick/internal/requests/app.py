"""Falcon application that serves callers."""

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

CLEANUP_INTERVAL_SECONDS = 2.0


class CallerApplication(falcon.App):
    """Application for callers; the node also uses its dispatcher and live requests."""

    def __init__(self, dependencies: RequestDependencies):
        super().__init__()
        timers = dependencies.timers
        self._dependencies = dependencies
        endpoints = EndpointIndex(dependencies.instances, dependencies.gossip)
        self.connections = EndpointConnectionPool()
        self.live = LiveRequests(dependencies.requests, timers)
        self.crashes = CrashTracker(dependencies.gossip, timers, dependencies.recorder)
        self.spans = RequestSpans(dependencies.tracer)
        attempts = AttemptRunner(
            dependencies.router, endpoints, self.connections, timers, self.spans
        )
        self.dispatcher = ModelDispatcher(
            dependencies.router,
            attempts,
            self.crashes,
            timers,
            self.spans,
            dependencies.recorder,
        )
        self.service_dispatcher = ServiceDispatcher(
            dependencies.router,
            endpoints,
            ServiceClient(self.connections, timers.wall_time),
            dependencies.claims,
            timers,
            self.spans,
            dependencies.recorder,
        )
        self._relocator = StreamRelocator(
            dependencies.gossip, self.live, endpoints, timers, dependencies.recorder
        )
        self._add_resources(dependencies)
        timers.subscribe("requests.clean", CLEANUP_INTERVAL_SECONDS, self._clean_up)
        self.endpoints = endpoints

    def _add_resources(self, dependencies: RequestDependencies) -> None:
        admission = Admission(dependencies, self.live.__len__, self.spans)
        paths = {
            RequestKind.CHAT: "/v1/chat/completions",
            RequestKind.COMPLETION: "/v1/completions",
        }
        for kind, path in paths.items():
            resource = ModelResource(
                kind, dependencies, admission, self.dispatcher, self.live, self.spans
            )
            self.add_route(path, resource)
        calls = ServiceResource(
            dependencies, admission, self.service_dispatcher, self.live, self.spans
        )
        self.add_route("/v1/services/{name}/{path:path}", calls)
        stored_answers = StoredAnswerResource(dependencies, self.live)
        self.add_route("/v1/requests/{request_id}", stored_answers)
        self.add_route("/v1/entry", EntryResource(dependencies))
        self.add_error_handler(CallerError, answer_caller_error)
        self.add_error_handler(Exception, _answer_internal_error)
        self.set_error_serializer(_serialize_http_error)

    def take_over(self, req: ServingRequest, output: RequestOutput) -> RequestRun:
        """Continue a request of another node from its text so far, in a new task.

        The node that accepted the request has charged its allowance; only a run that
        starts again without text is charged here. A request that already runs here is
        not run a second time.
        """
        run = self.live.get(req.id)
        if run is not None:
            return run
        record = RequestRecord(req, output)
        control = RunControl()
        steps = self.dispatcher.steps(req, output, control)
        charge = RestartCharge(self._dependencies.grants, self._dependencies.timers)
        if output.restarted and output.length == 0:
            steps = charge.steps(req, output, control, steps)

        def end(run: RequestRun) -> None:
            charge.settle(req, output)
            if output.outcome is not None:
                self._dependencies.replicator.drop(req.id)

        run = self.live.start(record, steps, control, end)
        gevent.spawn(run.finish)
        return run

    def _clean_up(self) -> None:
        self.live.drop_expired()
        self.connections.close_idle(self.endpoints.by_id)


def build_application(dependencies: RequestDependencies) -> CallerApplication:
    """Return the application for callers."""
    return CallerApplication(dependencies)


def _serialize_http_error(
    req: falcon.Request, resp: falcon.Response, exc: falcon.HTTPError
) -> None:
    """Write falcon's own errors, such as an unknown path, like all other errors."""
    message = exc.description or exc.title or "the request cannot be served"
    resp.media = error_body(message, "invalid_request")


def _answer_internal_error(
    req: falcon.Request, resp: falcon.Response, exc: Exception, params: dict
) -> None:
    """Answer an internal error; its outcome is unknown, as the call may have run."""
    if isinstance(exc, falcon.HTTPError):
        raise exc
    log.error("request failed", exc_info=exc)
    error = CallerError(500, "internal", "internal error", outcome="unknown")
    answer_caller_error(req, resp, error, params)
