"""In-memory mesh of nodes: peer networks, members, gossip and instance list.

Switches of the mesh make nodes unreachable and lose replies.
"""

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
    """Mesh that connects the peer networks of several nodes in one process."""

    def __init__(self):
        self.nodes: dict[str, Node] = {}
        self.networks: dict[str, MeshNetwork] = {}
        self.gossip: list[MeshGossip] = []
        self.unreachable: set[str] = set()
        self.messages = 0
        self.incarnations = 0
        # Called with (sender, receiver, kind); if it returns True, the reply is lost
        # after the handler has run.
        self.lose_reply: Callable[[str, str, str], bool] = lambda *_: False

    def add(self, node_id: str, data_centre: str = "dc-1") -> "MeshNetwork":
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
        network = MeshNetwork(self, node_id)
        self.networks[node_id] = network
        return network


class MeshNetwork(PeerNetwork):
    """Peer network of one node, which calls the handlers of other nodes directly."""

    def __init__(self, mesh: MemoryMesh, node_id: str):
        self.mesh = mesh
        self.node_id = node_id
        self.handlers: dict[str, Handler] = {}

    def call(self, node_id: str, kind: str, body: dict, timeout: float) -> dict:
        """Return the reply of a peer's handler.

        Raises TimedOut if one of the nodes is unreachable or the reply is lost, and
        Refused if the peer has no handler for the kind.
        """
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
        """Send a message without waiting for a reply; ignore failures."""
        try:
            self.call(node_id, kind, body, 1.0)
        except (TimedOut, Refused):
            return

    def handle(self, kind: str, handler: Handler) -> None:
        """Register the handler of a kind of message."""
        self.handlers[kind] = handler


class MemoryMembers(Members):
    """Members of a mesh: every reachable node is live."""

    def __init__(self, mesh: MemoryMesh, node_id: str):
        self.mesh = mesh
        self.node_id = node_id

    @property
    def self_node(self) -> Node:
        """Return this node."""
        return self.mesh.nodes[self.node_id]

    def live(self, data_centre: str | None = None) -> tuple[Node, ...]:
        """Return the reachable nodes, or those of a data centre."""
        return tuple(
            node
            for node in self.mesh.nodes.values()
            if node.id not in self.mesh.unreachable
            and data_centre in (None, node.data_centre)
        )

    def get(self, node_id: str) -> Node | None:
        """Return a node, reachable or not, or None."""
        return self.mesh.nodes.get(node_id)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Ignore the callback; tests change membership between calls."""


class MeshGossip(Gossip):
    """Gossip that delivers items at once to all nodes of a mesh."""

    def __init__(self, mesh: MemoryMesh):
        self.mesh = mesh
        self.items: dict[tuple[str, str], int] = {}
        self.callbacks: dict[str, list[GossipCallback]] = {}
        mesh.gossip.append(self)

    def publish(self, topic: str, key: str, version: int, body: dict) -> None:
        """Deliver an item to each node that has no version or an older one."""
        for gossip in self.mesh.gossip:
            if gossip.items.get((topic, key), 0) >= version:
                continue
            gossip.items[topic, key] = version
            for callback in gossip.callbacks.get(topic, []):
                callback(key, version, body)

    def subscribe(self, topic: str, callback: GossipCallback) -> None:
        """Register a callback of a topic."""
        self.callbacks.setdefault(topic, []).append(callback)


class MemoryInstances(InstanceList):
    """Instance list with all nodes of a mesh, reachable or not."""

    def __init__(self, mesh: MemoryMesh):
        self.mesh = mesh

    def endpoints(self, pool: str | None = None) -> tuple[Endpoint, ...]:
        """Return no endpoints: a mesh has nodes only."""
        return ()

    def nodes(self) -> tuple[Node, ...]:
        """Return all nodes."""
        return tuple(self.mesh.nodes.values())

    def age(self) -> float:
        """Return 0: the list is always current."""
        return 0.0

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Ignore the callback; tests add nodes between calls."""
