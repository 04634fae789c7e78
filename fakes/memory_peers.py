"""In-memory peers, news and instance list with fault switches, for unit tests."""

from collections.abc import Callable

from rattanwick.internal.base.errors import Refused, TimedOut
from rattanwick.internal.model.instances import Endpoint, Node
from rattanwick.internal.peers.interfaces import (
    Gossip,
    GossipCallback,
    Handler,
    Members,
    PeerNetwork,
)
from rattanwick.internal.platform.interfaces import InstanceList


class MemoryMesh:
    """Connect the peer networks of several nodes in one process."""

    def __init__(self):
        self.nodes: dict[str, Node] = {}
        self.networks: dict[str, MemoryNetwork] = {}
        self.gossip: list[MemoryGossip] = []
        self.unreachable: set[str] = set()
        self.messages = 0
        self.incarnations = 0
        # Called with (from, to, kind); True loses the reply after the handler ran.
        self.lose_reply: Callable[[str, str, str], bool] = lambda *_: False

    def add(self, node_id: str, data_centre: str = "dc-1") -> "MemoryNetwork":
        """Add a node, or a new incarnation of it, and return its network."""
        self.incarnations += 1
        self.nodes[node_id] = Node(
            node_id,
            data_centre,
            "region",
            "127.0.0.1",
            1,
            2,
            3,
            incarnation=self.incarnations,
        )
        network = MemoryNetwork(self, node_id)
        self.networks[node_id] = network
        return network


class MemoryNetwork(PeerNetwork):
    """Call handlers of other nodes directly."""

    def __init__(self, mesh: MemoryMesh, node_id: str):
        self.mesh = mesh
        self.node_id = node_id
        self.handlers: dict[str, Handler] = {}

    def call(self, node_id: str, kind: str, body: dict, timeout: float) -> dict:
        """Return the reply of a peer's handler."""
        gone = self.mesh.unreachable & {node_id, self.node_id}
        if gone or node_id not in self.mesh.networks:
            raise TimedOut(kind, node_id, "unreachable")
        handler = self.mesh.networks[node_id].handlers.get(kind)
        if handler is None:
            raise Refused(kind, node_id, "unknown kind")
        self.mesh.messages += 1
        reply = handler(self.node_id, body)
        if self.mesh.lose_reply(self.node_id, node_id, kind):
            raise TimedOut(kind, node_id, "reply lost")
        return reply or {}

    def notify(self, node_id: str, kind: str, body: dict) -> None:
        """Send without a reply."""
        try:
            self.call(node_id, kind, body, 1.0)
        except (TimedOut, Refused):
            return

    def handle(self, kind: str, handler: Handler) -> None:
        """Register a handler."""
        self.handlers[kind] = handler


class MemoryMembers(Members):
    """Show all reachable nodes of a mesh as live."""

    def __init__(self, mesh: MemoryMesh, node_id: str):
        self.mesh = mesh
        self.node_id = node_id

    @property
    def self_node(self) -> Node:
        """Return this node."""
        return self.mesh.nodes[self.node_id]

    def live(self, data_centre: str | None = None) -> tuple[Node, ...]:
        """Return reachable nodes."""
        return tuple(
            node
            for node in self.mesh.nodes.values()
            if node.id not in self.mesh.unreachable
            and data_centre in (None, node.data_centre)
        )

    def get(self, node_id: str) -> Node | None:
        """Return a node."""
        return self.mesh.nodes.get(node_id)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Ignore the callback; tests change membership between calls."""


class MemoryGossip(Gossip):
    """Spread items at once to all nodes of a mesh."""

    def __init__(self, mesh: MemoryMesh):
        self.mesh = mesh
        self.items: dict[tuple[str, str], int] = {}
        self.callbacks: dict[str, list[GossipCallback]] = {}
        mesh.gossip.append(self)

    def publish(self, topic: str, key: str, version: int, body: dict) -> None:
        """Spread an item that is newer than the known one."""
        for gossip in self.mesh.gossip:
            if gossip.items.get((topic, key), 0) >= version:
                continue
            gossip.items[topic, key] = version
            for callback in gossip.callbacks.get(topic, []):
                callback(key, version, body)

    def subscribe(self, topic: str, callback: GossipCallback) -> None:
        """Register a callback."""
        self.callbacks.setdefault(topic, []).append(callback)


class MemoryInstances(InstanceList):
    """List all nodes of a mesh, reachable or not."""

    def __init__(self, mesh: MemoryMesh):
        self.mesh = mesh

    def endpoints(self, pool: str | None = None) -> tuple[Endpoint, ...]:
        """Return no endpoints."""
        return ()

    def nodes(self) -> tuple[Node, ...]:
        """Return all nodes."""
        return tuple(self.mesh.nodes.values())

    def age(self) -> float:
        """Return no age."""
        return 0.0

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Ignore the callback; the list does not change by itself."""
