"""Settings of a gateway node."""

from dataclasses import dataclass

DEFAULT_MEMORY_BYTES = 256 << 20


@dataclass(slots=True, frozen=True)
class Bounds:
    """Limits that the platform sets for a deployment, in seconds unless noted."""

    grace: float
    retry_share: float  # of the requests to a service
    retry_window: float
    retry_slack: float  # attempts in a window in addition to the share
    lease: float
    usage_window: float
    usage_late: float  # age of a window at which its report is late
    address_lifetime: float  # of a list of nodes' addresses at a caller
    # Longest time from the acknowledgement of a change to its effect at all nodes.
    apply: float
    limit_slack: float  # spent in a window in addition to a rate limit, in its unit


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Identity of a node, its addresses, and those of the platform's services."""

    node_id: str
    data_centre: str
    ip: str
    callers: tuple[str, int]
    readiness: tuple[str, int]
    entry: tuple[str, int]
    peer_port: int
    metrics_port: int
    store: tuple[str, int]
    cloud: tuple[str, int] | None
    first_start: bool
    reports_usage: bool
    orders_endpoints: bool
    bounds: Bounds
    cores: float = 1.0  # its CPU limit, in cores
    memory: int = DEFAULT_MEMORY_BYTES  # limit of the process, in bytes

    @property
    def callers_address(self) -> str:
        """Return the address for callers as IP:PORT."""
        return "{}:{}".format(*self.callers)
