"""Types of the gateway: configuration, endpoints, calls and responses."""

from dataclasses import dataclass, field
from enum import StrEnum

Headers = list[tuple[bytes, bytes]]


class CallKind(StrEnum):
    """Whether a route's requests are safe to retry, unsafe to retry, or streams."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class RouteTarget:
    """Service that gets a share of a route's requests."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Target services and rules for requests under a host and path prefix."""

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout: float  # seconds
    objective: float  # seconds to the response, or to a stream's first event
    priority: int  # 0 is the most urgent
    targets: tuple[RouteTarget, ...]
    max_attempts: int
    public: bool  # callers need no API key
    resumable: bool  # a broken stream may continue at another endpoint

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is CallKind.SAFE or (
            self.kind is CallKind.STREAM and self.resumable
        )


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """Model engines of a service."""

    slots: int
    kv_tokens: int  # tokens that fit into an engine's memory


@dataclass(slots=True, frozen=True)
class ScalingSpec:
    """Endpoints that may be ordered for a service, and their prices."""

    min_endpoints: int  # per data centre, reclaimable and full-price together
    max_endpoints: int
    reclaimable_price: float | None  # share of the full price; None: not offered
    data_centre_prices: dict[str, float]


@dataclass(slots=True, frozen=True)
class Service:
    """Pool of endpoints; a plain service has no model engines."""

    name: str
    max_connections: int  # of one endpoint, from all nodes together
    engine: EngineSpec | None  # None for a plain service
    scaling: ScalingSpec | None  # None if the service is not autoscaled


@dataclass(slots=True, frozen=True)
class Organisation:
    """Organisation of callers, and its rate limit."""

    name: str
    keys: frozenset[str]
    priority: int | None
    rate: float  # requests (or tokens, see below) per second; 0 for no limit
    burst: float
    counts_tokens: bool  # the limit counts tokens instead of requests
    default_tokens: int  # charged for a request that states no tokens


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits of what a caller may send and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_seconds: float  # longest wait for the next bytes of a request
    idle_seconds: float  # longest wait for the next request


@dataclass(slots=True)
class Configuration:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits
    _by_host: dict[str, list[Route]] = field(init=False, repr=False)
    _by_key: dict[str, Organisation] = field(init=False, repr=False)

    def __post_init__(self):
        self._by_host = {}
        for route in sorted(self.routes, key=lambda item: -len(item.prefix)):
            self._by_host.setdefault(route.host, []).append(route)
        self._by_key = {key: org for org in self.organisations for key in org.keys}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation_of(self, key: str) -> Organisation | None:
        """Return the organisation with an API key, or None."""
        return self._by_key.get(key)


@dataclass(slots=True, frozen=True)
class Endpoint:
    """Endpoint, as it registered itself."""

    id: str
    service: str
    address: str  # IP:PORT
    data_centre: str
    slots: int
    leaving: bool
    reclaimable: bool
    born_ms: int  # Unix milliseconds of its start; 0 if unknown

    @property
    def host_port(self) -> tuple[str, int]:
        """Return the address as a socket address."""
        host, _, port = self.address.rpartition(":")
        return host, int(port)


@dataclass(slots=True, frozen=True)
class PromptPart:
    """Part of a prompt that requests may share."""

    id: str
    tokens: int


@dataclass(slots=True)
class Call:
    """Decoded request of a caller."""

    id: str
    method: str
    target: bytes  # path and query as sent
    path: str
    host: str
    headers: Headers  # to be forwarded
    body: bytes
    api_key: str
    timeout_seconds: float | None  # caller's wait, counted from sending
    input_tokens: int | None
    output_tokens: int | None  # maximum that the caller states
    expected_output: int  # tokens; 0 if the caller states none
    prompt: tuple[PromptPart, ...]
    last_event_id: str
    arrived: float  # monotonic seconds


@dataclass(slots=True)
class ResponseHead:
    """Decoded head of an endpoint's response."""

    status: int
    headers: Headers  # to be forwarded to the caller
    request_id: str
    signed: bool
    not_run: bool  # the endpoint states that the request did not run
    load: "LoadReport | None"
    keep_alive: float | None  # seconds that an idle connection is kept
    # Requests per second that the endpoint takes from all nodes together; None if it
    # names no limit.
    rate_limit: float | None = None
    malformed_rate_limit: str = ""  # a limit that cannot be decoded, as sent
    leaving: bool = False  # the endpoint says that it has begun to stop
    # Of a refusal: seconds in which the endpoint takes no request of this node.
    rest_seconds: float | None = None


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load that an endpoint reports with a response."""

    running: int
    queued: int
    slots: int
    slowdown: float  # ratio to the usual time of a request; 1.0 is normal


@dataclass(slots=True, frozen=True)
class ForwardContext:
    """What the gateway adds to a request that it sends to an endpoint."""

    endpoint_id: str
    organisation: str
    time_left: float  # seconds
    urgency: int  # 0 is served first
    last_event_id: str
