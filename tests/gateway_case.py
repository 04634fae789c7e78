"""Components of a gateway node for tests, and a test case with a running relay."""

import unittest

import gevent
from gevent import socket

from fakes.gateway_endpoint import FakeGatewayEndpoint
from fakes.gateway_settings import make_settings
from rattanwick.internal.base.timers import GeventTimerService, ManualTimerService
from rattanwick.internal.gateway.caller_server import CallerServer
from rattanwick.internal.gateway.endpoint_view import EndpointView
from rattanwick.internal.gateway.model import (
    Call,
    CallerLimits,
    CallKind,
    Configuration,
    Endpoint,
    EngineSpec,
    Organisation,
    PromptPart,
    Route,
    RouteTarget,
    ScalingSpec,
    Service,
)
from rattanwick.internal.gateway.node_state import NodeState, make_node_state
from rattanwick.internal.gateway.relay import Relay
from rattanwick.internal.gateway.settings import GatewaySettings
from rattanwick.platform.codec import PlatformCodec

KEY = "key-1"
LIMITS = CallerLimits(
    header_bytes=4096, body_bytes=100_000, header_seconds=1.0, idle_seconds=2.0
)


def make_route(
    prefix: str = "/plain/",
    kind: CallKind = CallKind.SAFE,
    service: str = "plain",
    max_attempts: int = 2,
    resumable: bool = False,
    timeout: float = 2.0,
    objective: float = 0.5,
    public: bool = False,
) -> Route:
    """Return a route of the host ``api.example``."""
    return Route(
        name=prefix.strip("/"),
        host="api.example",
        prefix=prefix,
        kind=kind,
        timeout=timeout,
        objective=objective,
        priority=1,
        targets=(RouteTarget(service, 1.0),),
        max_attempts=max_attempts,
        public=public,
        resumable=resumable,
    )


SCALING = ScalingSpec(
    min_endpoints=1,
    max_endpoints=6,
    reclaimable_price=0.22,
    data_centre_prices={"a": 0.85, "b": 1.2, "c": 1.0},
)
SERVICES = {
    "plain": Service("plain", 96, None, None),
    "engine": Service("engine", 360, EngineSpec(64, 374_000), SCALING),
}


def make_organisation(
    name: str = "org", rate: float = 0.0, burst: float = 0.0
) -> Organisation:
    """Return an organisation whose key is ``KEY``."""
    return Organisation(name, frozenset((KEY,)), 1, rate, burst, True, 200)


def make_configuration(
    *routes: Route, version: int = 1, organisation: Organisation | None = None
) -> Configuration:
    """Return a configuration with these routes and one organisation."""
    org = organisation or make_organisation()
    return Configuration(version, routes, SERVICES, (org,), LIMITS)


def make_call(
    input_tokens: int = 1000,
    output_tokens: int = 50,
    prompt: tuple[PromptPart, ...] = (),
    call_id: str = "call-1",
    arrived: float = 0.0,
) -> Call:
    """Return a caller's request for a stream of the service ``engine``."""
    return Call(
        id=call_id,
        method="POST",
        target=b"/engine/x",
        path="/engine/x",
        host="api.example",
        headers=[],
        body=b"body",
        api_key=KEY,
        timeout_seconds=4.0,
        input_tokens=input_tokens,
        output_tokens=output_tokens,
        expected_output=output_tokens,
        prompt=prompt,
        last_event_id="",
        arrived=arrived,
    )


def make_view(
    endpoint_id: str = "i-1",
    service: str = "engine",
    address: str = "127.0.0.1:1",
    data_centre: str = "a",
    slots: int = 64,
    leaving: bool = False,
    reclaimable: bool = False,
) -> EndpointView:
    """Return the view of an endpoint that has not been used yet."""
    endpoint = Endpoint(
        endpoint_id, service, address, data_centre, slots, leaving, reclaimable, 1
    )
    return EndpointView(endpoint, cache_capacity_tokens=200_000)


def make_state(timers=None, settings: GatewaySettings | None = None) -> NodeState:
    """Return the state of a node that knows no endpoint yet."""
    settings = settings or make_settings()
    return make_node_state(settings, timers or ManualTimerService(), PlatformCodec())


class Answer:
    """Response as a caller has read it; ``status`` is 0 if it read nothing."""

    __slots__ = ("body", "headers", "raw", "status")

    def __init__(self, raw: bytes):
        self.raw = raw
        head, _, self.body = raw.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split()[1]) if raw else 0
        pairs = [line.partition(":") for line in lines[1:]]
        self.headers = {name.lower(): value.strip() for name, _, value in pairs}


class RelayCase(unittest.TestCase):
    """Test case with a relay on loopback in front of fake endpoints."""

    def setUp(self):
        self.timers = GeventTimerService()
        self.state = make_state(self.timers)
        self.configure(
            make_route("/safe/"),
            make_route("/unsafe/", CallKind.UNSAFE, max_attempts=1),
            make_route("/stream/", CallKind.STREAM, "engine", max_attempts=1),
            make_route(
                "/resume/", CallKind.STREAM, "engine", max_attempts=2, resumable=True
            ),
        )
        self.server = CallerServer(
            ("127.0.0.1", 0),
            PlatformCodec(),
            Relay(self.state, PlatformCodec()),
            lambda: self.state.configuration.limits,
            self.state.stop,
            self.state.request_memory,
        )
        self.server.start()
        self.endpoints: list[FakeGatewayEndpoint] = []

    def tearDown(self):
        self.server.stop_accepting()
        for endpoint in self.endpoints:
            endpoint.stop()
        self.timers.stop()

    def configure(self, *routes: Route, organisation: Organisation | None = None):
        """Put a configuration with these routes into force."""
        cfg = make_configuration(*routes, organisation=organisation)
        self.state.configuration = cfg
        self.state.limits.configure(cfg.organisations, self.timers.now())

    def add_endpoint(
        self, endpoint_id: str, service: str = "plain"
    ) -> FakeGatewayEndpoint:
        """Start a fake endpoint and add it to the node's directory."""
        endpoint = FakeGatewayEndpoint(endpoint_id, stream=service == "engine")
        self.endpoints.append(endpoint)
        view = make_view(endpoint_id, service, endpoint.address)
        self.state.endpoints._views[endpoint_id] = view
        return endpoint

    def replace_endpoints(self, *endpoint_ids: str, service: str = "plain"):
        """Start fake endpoints that replace all others in the node's directory."""
        self.state.endpoints._views.clear()
        return [self.add_endpoint(endpoint_id, service) for endpoint_id in endpoint_ids]

    def prefer(self, endpoint_id: str) -> None:
        """Make all other endpoints look busier, so that this one is chosen."""
        for view in self.state.endpoints.all():
            busier = view.endpoint.id != endpoint_id
            view.running, view.pending_tokens = 16 * busier, 5000 * busier

    def connect(self):
        """Return a new connection to the relay."""
        return socket.create_connection(("127.0.0.1", self.server.port), 2.0)

    def request_bytes(
        self,
        path: str,
        call_id: str = "call-1",
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> bytes:
        """Return a valid request; ``headers`` replaces values, an empty one removes."""
        fields = {
            "Host": "api.example",
            "X-Request-Id": call_id,
            "X-Api-Key": KEY,
            "X-Deadline-Ms": "1500",
            "Connection": "close",
        }
        if body:
            fields["Content-Length"] = str(len(body))
        fields.update(headers or {})
        lines = [f"{method} {path} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in fields.items() if value)
        return "\r\n".join((*lines, "", "")).encode() + body

    def ask(self, path: str, **options) -> Answer:
        """Send a request and read until the connection ends."""
        return self.exchange(self.request_bytes(path, **options))

    def exchange(self, data: bytes) -> Answer:
        """Send bytes and read until the connection ends."""
        sock = self.connect()
        try:
            sock.sendall(data)
            return Answer(read_all(sock))
        finally:
            sock.close()


def read_all(sock) -> bytes:
    """Return what arrives until the connection ends, or for three seconds."""
    data = b""
    with gevent.Timeout(3.0, False):
        try:
            while part := sock.recv(65536):
                data += part
        except OSError:
            pass  # a reset ends a response too
    return data
