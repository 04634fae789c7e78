"""Collaborators of the request path, and what its resources share."""

from collections.abc import Callable
from dataclasses import dataclass, field

import falcon
import gevent

from rattanwick.internal.base.settings import CallerSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.base.tracing import HEADER as TRACE_HEADER, Tracer
from rattanwick.internal.model.transcripts import RequestTable
from rattanwick.internal.peers.fetch import RequestFetcher
from rattanwick.internal.peers.interfaces import (
    Keepers,
    Members,
    News,
    Ownership,
    PeerNetwork,
)
from rattanwick.internal.platform.interfaces import InstanceList
from rattanwick.internal.requests.caller_errors import (
    DEADLINE_HEADER,
    CallerError,
    invalid,
)
from rattanwick.internal.requests.drain import Drain
from rattanwick.internal.requests.identity import authenticate
from rattanwick.internal.requests.interfaces import (
    Allowance,
    Caller,
    Claims,
    Directory,
    Grants,
)
from rattanwick.internal.requests.validation import body_too_large, read_deadline
from rattanwick.internal.routing.interfaces import Router

BODY_READ_KEY = "rattanwick.body_read"  # WSGI environment, tells the server
BODY_SECONDS = 30.0  # time for a caller to send a body


def no_load(node_id: str) -> float:
    """Return the same load for every node."""
    return 0.0


@dataclass(slots=True, kw_only=True)
class RequestServices:
    """Hold what the request path works with."""

    settings: CallerSettings
    default_deadline_seconds: float
    directory: Directory
    grants: Grants
    claims: Claims
    router: Router
    instances: InstanceList
    members: Members
    ownership: Ownership
    peers: PeerNetwork
    news: News
    keepers: Keepers
    timers: TimerService
    tracer: Tracer
    table: RequestTable
    drain: Drain = field(default_factory=Drain)
    # Share of its capacity that a node uses, by id; orders /v1/entry.
    node_load: Callable[[str], float] = no_load
    # Finds answers at other nodes; None where there are no other nodes.
    fetcher: RequestFetcher | None = None


@dataclass(slots=True)
class Admitted:
    """Hold what admission found out about a request."""

    caller: Caller
    body: bytes
    traceparent: str


class Admission:
    """Check a request before its fields are read."""

    def __init__(self, services: RequestServices, in_flight: Callable[[], int]):
        self._services = services
        self._in_flight = in_flight

    def check(self, req: falcon.Request) -> Admitted:
        """Return the caller and the body of a request that may go on."""
        services = self._services
        services.drain.check()
        caller = authenticate(req, services.directory)
        if self._in_flight() >= services.settings.max_in_flight:
            message = "the node has as many requests in flight as it may"
            raise CallerError(503, "node_full", message, headers={"Retry-After": "1"})
        traceparent = req.get_header(TRACE_HEADER) or ""
        return Admitted(caller, self._read_body(req), traceparent[:128])

    def _read_body(self, req: falcon.Request) -> bytes:
        limit = self._services.settings.max_body_bytes
        if (req.content_length or 0) > limit:
            raise body_too_large(limit)
        late = invalid("body", f"took longer than {BODY_SECONDS:g} s", status=408)
        try:
            with gevent.Timeout(BODY_SECONDS, late):
                body = req.env["wsgi.input"].read(limit + 1)
        except OSError as exc:
            raise invalid("body", f"could not be read: {exc}")
        if len(body) > limit:
            raise body_too_large(limit)
        if req.content_length and len(body) < req.content_length:
            raise invalid("body", "ended before Content-Length")
        req.env[BODY_READ_KEY] = True
        return body

    def allowance(self, caller: Caller, pool: str, field: str) -> Allowance:
        """Return the allowance of a caller's plan for a pool."""
        allowance = self._services.directory.allowance(caller.plan, pool)
        if allowance is None:
            message = f"{field}: your plan has no allowance for {pool!r}"
            raise CallerError(403, "no_allowance", message, field)
        return allowance

    def deadline(self, req: falcon.Request, allowance: Allowance) -> float:
        """Return the Unix time at which a request must have ended."""
        seconds = read_deadline(
            req.get_header(DEADLINE_HEADER),
            self._services.default_deadline_seconds,
            allowance.max_deadline_seconds,
        )
        return self._services.timers.wall() + seconds
