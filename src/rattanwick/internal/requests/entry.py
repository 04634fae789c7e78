"""Resource that tells callers which nodes to use."""

import falcon
import xxhash

from rattanwick.internal.model.instances import Node
from rattanwick.internal.requests.dependencies import RequestDependencies

MAX_ADDRESSES = 3


class EntryResource:
    """Answer GET /v1/entry."""

    def __init__(self, services: RequestDependencies):
        self._services = services

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return live nodes in the order in which the caller is to try them."""
        nodes = self.nodes_for(req.remote_addr or "")
        resp.media = {
            "addresses": [self.address(node) for node in nodes],
            "keep_seconds": self._services.settings.entry_keep_seconds,
        }
        resp.set_header("Cache-Control", "no-store")

    def nodes_for(self, caller_address: str) -> list[Node]:
        """Return up to three nodes, the own data centre first, then by load."""
        services = self._services
        own = services.members.self_node
        draining = services.drain.refusing

        def rank(node: Node) -> tuple:
            # Callers of equal nodes spread by a hash of their address.
            spread = xxhash.xxh64_intdigest(f"{caller_address}/{node.id}".encode())
            load = round(services.node_load(node.id), 1)
            return (node.data_centre != own.data_centre, load, spread)

        nodes = [
            node
            for node in services.members.live()
            if not node.leaving and not (draining and node.id == own.id)
        ]
        return sorted(nodes, key=rank)[:MAX_ADDRESSES]

    def address(self, node: Node) -> str:
        """Return the URL of a node's interface for callers."""
        scheme = "https" if self._services.settings.tls_certificate else "http"
        host = f"[{node.host}]" if ":" in node.host else node.host
        return f"{scheme}://{host}:{node.caller_port}"
