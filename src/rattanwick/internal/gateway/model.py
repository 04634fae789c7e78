"""Types of the relay: configuration, endpoints, calls and answers."""

from dataclasses import dataclass, field
from enum import StrEnum

Headers = list[tuple[bytes, bytes]]


class CallKind(StrEnum):
    """Tell how a route's requests are answered and whether they may repeat."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class RouteTarget:
    """Name a service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Describe where requests under a host and path prefix go."""

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout: float  # seconds
    objective: float  # seconds to the answer, or to a stream's first event
    priority: int  # 0 is the most urgent
    targets: tuple[RouteTarget, ...]
    max_attempts: int
    public: bool
    resumable: bool

    @property
    def idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is CallKind.SAFE or (
            self.kind is CallKind.STREAM and self.resumable
        )


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """Describe the model engines of a service."""

    slots: int
    kv_tokens: int  # tokens that fit into an engine's memory


@dataclass(slots=True, frozen=True)
class ScalingSpec:
    """Describe which endpoints of a service may be ordered."""

    min_endpoints: int  # per data centre, both classes together
    max_endpoints: int
    reclaimable_price: float | None  # share of the full price; None for no such class
    data_centre_prices: dict[str, float]


@dataclass(slots=True, frozen=True)
class Service:
    """Describe a pool of endpoints."""

    name: str
    max_connections: int  # of one endpoint, from all nodes together
    engine: EngineSpec | None
    scaling: ScalingSpec | None


@dataclass(slots=True, frozen=True)
class Organisation:
    """Describe a caller's organisation and its limit."""

    name: str
    keys: frozenset[str]
    priority: int | None
    rate: float  # per second, in the unit of the limit; 0 for no limit
    burst: float
    counts_tokens: bool
    default_tokens: int  # charged for a request that states no tokens


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bound what a caller may send and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclass(slots=True)
class Configuration:
    """Hold one version of the operator's configuration."""

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
        """Return the route with the longest prefix of the path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation_of(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key."""
        return self._by_key.get(key)


@dataclass(slots=True, frozen=True)
class Endpoint:
    """Describe one endpoint as it registered itself."""

    id: str
    service: str
    address: str  # IP:PORT
    data_centre: str
    slots: int
    leaving: bool
    reclaimable: bool
    born_ms: int  # Unix milliseconds of its start; 0 where unknown

    @property
    def host_port(self) -> tuple[str, int]:
        """Return the address as a socket address."""
        host, _, port = self.address.rpartition(":")
        return host, int(port)


@dataclass(slots=True, frozen=True)
class PromptPart:
    """Name a part of a prompt that requests may share."""

    id: str
    tokens: int


@dataclass(slots=True)
class Call:
    """Hold one request of a caller, decoded once."""

    id: str
    method: str
    target: bytes  # path and query as sent
    path: str
    host: str
    headers: Headers  # to be forwarded
    body: bytes
    api_key: str
    timeout_seconds: float | None  # seconds that the caller waits from its sending
    input_tokens: int | None
    output_tokens: int | None  # at most
    expected_output: int  # tokens; 0 where the caller states none
    prompt: tuple[PromptPart, ...]
    last_event_id: str
    arrived: float  # monotonic seconds


@dataclass(slots=True)
class ResponseHead:
    """Hold the head of an endpoint's answer, decoded once."""

    status: int
    headers: Headers  # to be returned
    request_id: str
    signed: bool
    not_run: bool  # the endpoint states that the request did not run
    load: "LoadReport | None"
    keep_alive: float | None  # seconds that an idle connection is kept


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Hold the load that an endpoint stated with an answer."""

    running: int
    queued: int
    slots: int
    slowdown: float  # 1.0 as usual


@dataclass(slots=True, frozen=True)
class ForwardContext:
    """Hold what the relay adds to a request for one endpoint."""

    endpoint_id: str
    organisation: str
    time_left: float  # seconds
    urgency: int  # 0 is served first
    last_event_id: str
