"""HTTP resource that lists the nodes that a caller should use."""

import falcon
import xxhash

from rattanwick.internal.model.instances import Node
from rattanwick.internal.requests.dependencies import RequestDependencies

MAX_ADDRESSES = 3


class EntryResource:
    """HTTP resource that serves GET /v1/entry."""

    def __init__(self, dependencies: RequestDependencies):
        self._dependencies = dependencies

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Write the live nodes in the order in which the caller should try them."""
        nodes = self.nodes_for(req.remote_addr or "")
        resp.media = {
            "addresses": [self.address(node) for node in nodes],
            "keep_seconds": self._dependencies.settings.entry_keep_seconds,
        }
        resp.set_header("Cache-Control", "no-store")

    def nodes_for(self, caller_address: str) -> list[Node]:
        """Return up to three nodes: those of this data centre first, then by load."""
        dependencies = self._dependencies
        own = dependencies.members.self_node
        draining = dependencies.drain.refusing

        def rank(node: Node) -> tuple:
            # A hash of the caller's address spreads callers over equal nodes.
            address_hash = xxhash.xxh64_intdigest(
                f"{caller_address}/{node.id}".encode()
            )
            load = round(dependencies.node_load(node.id), 1)
            return (node.data_centre != own.data_centre, load, address_hash)

        nodes = [
            node
            for node in dependencies.members.live()
            if not node.leaving and not (draining and node.id == own.id)
        ]
        return sorted(nodes, key=rank)[:MAX_ADDRESSES]

    def address(self, node: Node) -> str:
        """Return the base URL of a node's interface for callers."""
        scheme = "https" if self._dependencies.settings.tls_certificate else "http"
        host = f"[{node.host}]" if ":" in node.host else node.host
        return f"{scheme}://{host}:{node.caller_port}"
