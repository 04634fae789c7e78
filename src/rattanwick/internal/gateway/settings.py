"""Settings of a relay node."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Bounds:
    """Limits that the deployment states, in seconds unless noted."""

    grace: float
    retry_share: float  # of the requests to a service
    retry_window: float
    retry_slack: float  # attempts in a window beside the share
    lease: float
    usage_window: float
    usage_late: float
    address_lifetime: float
    limit_slack: float  # what may be spent in a window beside a limit, in its unit


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Who this node is, where it listens and what it talks to."""

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
    cores: float = 1.0  # processor time that the process may use, in seconds a second

    @property
    def callers_address(self) -> str:
        """Return IP:PORT for callers."""
        return "{}:{}".format(*self.callers)
