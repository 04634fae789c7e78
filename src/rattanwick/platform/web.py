"""Interfaces that callers and the platform ask: entry, readiness, metrics."""

import falcon

from rattanwick.internal.base.metrics import METRICS_CONTENT_TYPE, render_metrics
from rattanwick.internal.gateway.node_directory import NodeDirectory
from rattanwick.internal.gateway.node_state import NodeState


class NodeDirectoryResource:
    """Tell callers which addresses to use."""

    def __init__(self, entry: NodeDirectory):
        self._entry = entry

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer with addresses and the time for which they may be kept."""
        addresses = self._entry.addresses(req.get_param("zone") or "")
        if not addresses:
            resp.status = falcon.HTTP_503
            return
        resp.media = {"addresses": addresses, "ttl_s": self._entry.lifetime()}


class ReadinessResource:
    """Tell the platform whether this node serves."""

    def __init__(self, state: NodeState):
        self._state = state

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer 200 where this node serves."""
        resp.status = falcon.HTTP_200 if self._state.ready else falcon.HTTP_503


class MetricsResource:
    """Serve the metrics of the process."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer with all metrics in the text format."""
        resp.content_type = METRICS_CONTENT_TYPE
        resp.data = render_metrics()


def build_web(state: NodeState, entry: NodeDirectory) -> falcon.App:
    """Return the application of all three interfaces."""
    app = falcon.App()
    app.add_route("/api/resolve", NodeDirectoryResource(entry))
    app.add_route("/api/ready", ReadinessResource(state))
    app.add_route("/metrics", MetricsResource())
    return app
