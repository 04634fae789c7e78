"""Settings of gateway nodes that run in the process of a test or tool."""

from rattanwick.internal.gateway.settings import Bounds, GatewaySettings

BOUNDS = Bounds(
    grace=8.0,
    retry_share=0.2,
    retry_window=10.0,
    retry_slack=52.0,
    lease=3.0,
    usage_window=5.0,
    usage_late=10.0,
    address_lifetime=5.0,
    apply=2.0,
    limit_slack=0.0,
)


def make_settings(node_id: str = "front-1", ip: str = "127.0.0.1") -> GatewaySettings:
    """Return the settings of a node on loopback with ports chosen by the system."""
    return GatewaySettings(
        node_id=node_id,
        data_centre="a",
        ip=ip,
        callers=(ip, 0),
        readiness=(ip, 0),
        entry=(ip, 0),
        peer_port=0,
        metrics_port=0,
        store=(ip, 1),
        cloud=None,
        first_start=True,
        reports_usage=True,
        orders_endpoints=True,
        bounds=BOUNDS,
    )
