"""Entry point of a node on the users' platform."""

from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.gateway.json_log import configure_json_log
from rattanwick.internal.gateway.node import GatewayNode
from rattanwick.internal.gateway.settings import GatewaySettings
from rattanwick.platform.cloud import PlatformCloud
from rattanwick.platform.codec import PlatformCodec
from rattanwick.platform.store import PlatformStore
from rattanwick.platform.web import build_web


def serve_on_platform(settings: GatewaySettings) -> None:
    """Run a gateway node until the platform stops the process."""
    timers = GeventTimerService()
    configure_json_log("INFO", settings.node_id, timers)
    cloud = PlatformCloud(settings.cloud) if settings.cloud else None
    node = GatewayNode(
        settings, PlatformStore(settings.store), cloud, PlatformCodec(), timers
    )
    app = build_web(node.state, node.entry)
    metrics = (settings.ip, settings.metrics_port)
    node.run([(settings.entry, app), (settings.readiness, app), (metrics, app)])
