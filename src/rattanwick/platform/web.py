"""HTTP resources for callers and the platform: addresses, readiness, metrics."""

import falcon

from rattanwick.internal.base.metrics import METRICS_CONTENT_TYPE, render_metrics
from rattanwick.internal.gateway.node_directory import NodeDirectory
from rattanwick.internal.gateway.node_state import NodeState


class NodeDirectoryResource:
    """Resource that lists the addresses that callers should use."""

    def __init__(self, entry: NodeDirectory):
        self._entry = entry

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with addresses and the seconds for which they may be used.

        Responds with 503 if there are none.
        """
        addresses = self._entry.addresses(req.get_param("zone") or "")
        if not addresses:
            resp.status = falcon.HTTP_503
            return
        resp.media = {"addresses": addresses, "ttl_s": self._entry.lifetime()}


class ReadinessResource:
    """Resource that states whether this node is ready to serve callers."""

    def __init__(self, state: NodeState):
        self._state = state

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with 200 if this node is ready, else with 503."""
        resp.status = falcon.HTTP_200 if self._state.ready else falcon.HTTP_503


class MetricsResource:
    """Resource with the metrics of the process."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with all metrics in the Prometheus text format."""
        resp.content_type = METRICS_CONTENT_TYPE
        resp.data = render_metrics()


def build_web(state: NodeState, entry: NodeDirectory) -> falcon.App:
    """Return the WSGI application with all three resources."""
    app = falcon.App()
    app.add_route("/api/resolve", NodeDirectoryResource(entry))
    app.add_route("/api/ready", ReadinessResource(state))
    app.add_route("/metrics", MetricsResource())
    return app
