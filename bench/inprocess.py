"""In-process implementations of the peer network, members, gossip and instance list."""

from collections.abc import Callable

import gevent
import msgpack
from gevent.event import AsyncResult

from rattanwick.internal.base.errors import Refused, TimedOut, Unavailable
from rattanwick.internal.base.ids import rendezvous_weight
from rattanwick.internal.model.instances import Endpoint, Node
from rattanwick.internal.peers.interfaces import (
    Gossip,
    GossipCallback,
    Handler,
    Members,
    Ownership,
    PeerNetwork,
)
from rattanwick.internal.platform.interfaces import InstanceList

Latency = Callable[[Node, Node], float]  # one way, in seconds


def no_latency(sender: Node, receiver: Node) -> float:
    """Return zero, so that messages are delivered at once."""
    return 0.0


class LocalMesh:
    """Connection of nodes in one process; ``down``, ``cut`` and ``lose`` are faults."""

    def __init__(self, nodes: list[Node], latency: Latency = no_latency):
        self.nodes = {node.id: node for node in nodes}
        self.latency = latency
        self.down: set[str] = set()  # ids of stopped nodes
        self.cut: set[frozenset[str]] = set()  # pairs of ids that cannot connect
        self.lose: list[str] = []  # kinds; the next notification of each is lost
        self.handlers: dict[str, dict[str, Handler]] = {name: {} for name in self.nodes}
        self.gossip: dict[str, list[GossipCallback]] = {}
        self.items: dict[tuple[str, str], tuple[int, dict]] = {}
        self.member_callbacks: list[Callable[[], None]] = []
        self.messages = 0
        self.bytes = 0

    def live(self) -> tuple[Node, ...]:
        """Return the nodes that are up."""
        return tuple(node for name, node in self.nodes.items() if name not in self.down)

    def set_down(self, node_id: str, down: bool = True) -> None:
        """Stop or start a node and call the subscribers of the members."""
        if down:
            self.down.add(node_id)
        else:
            self.down.discard(node_id)
        for callback in self.member_callbacks:
            callback()

    def reachable(self, sender: str, receiver: str) -> bool:
        """Return whether messages pass between two nodes."""
        pair = frozenset((sender, receiver))
        return not ({sender, receiver} & self.down) and pair not in self.cut

    def delay(self, sender: str, receiver: str) -> float:
        """Return the latency in seconds from one node to another."""
        return self.latency(self.nodes[sender], self.nodes[receiver])


class LocalNetwork(PeerNetwork):
    """Peer network over a mesh; messages are encoded as they would be on the wire."""

    def __init__(self, mesh: LocalMesh, node_id: str):
        self._mesh = mesh
        self._id = node_id

    def call(self, node_id: str, kind: str, body: dict, timeout: float) -> dict:
        """Send a message and return the reply.

        Raise Unavailable if the node is not reachable, TimedOut if no reply comes in
        time, and Refused if its handler fails. On a mesh with latency a handler that
        fails gives no reply.
        """
        if not self._mesh.reachable(self._id, node_id):
            raise Unavailable(kind, node_id, "not reachable")
        delay = self._mesh.delay(self._id, node_id)
        if delay == 0:
            return self._run(node_id, kind, self._encode(body))
        reply_event: AsyncResult = AsyncResult()
        packed = self._encode(body)
        gevent.spawn_later(
            delay, self._run_and_reply, node_id, kind, packed, reply_event
        )
        try:
            return reply_event.get(timeout=timeout)
        except gevent.Timeout:
            raise TimedOut(kind, node_id, "no reply")

    def notify(self, node_id: str, kind: str, body: dict) -> None:
        """Send a notification; it is dropped if the node is not reachable."""
        if kind in self._mesh.lose:
            self._mesh.lose.remove(kind)
            return
        if not self._mesh.reachable(self._id, node_id):
            return
        delay = self._mesh.delay(self._id, node_id)
        packed = self._encode(body)
        if delay == 0:
            self._run(node_id, kind, packed)
        else:
            gevent.spawn_later(delay, self._run, node_id, kind, packed)

    def handle(self, kind: str, handler: Handler) -> None:
        """Register the handler of a message kind."""
        self._mesh.handlers[self._id][kind] = handler

    def _encode(self, body: dict) -> bytes:
        packed = msgpack.packb(body)
        self._mesh.messages += 1
        self._mesh.bytes += len(packed)
        return packed

    def _run(self, node_id: str, kind: str, packed: bytes) -> dict:
        if not self._mesh.reachable(self._id, node_id):
            return {}
        try:
            reply = self._mesh.handlers[node_id][kind](
                self._id, msgpack.unpackb(packed)
            )
        except Exception as exc:
            raise Refused(kind, node_id, str(exc))
        return msgpack.unpackb(self._encode(reply or {}))

    def _run_and_reply(
        self, node_id: str, kind: str, packed: bytes, reply_event: AsyncResult
    ) -> None:
        reply = self._run(node_id, kind, packed)
        gevent.spawn_later(self._mesh.delay(node_id, self._id), reply_event.set, reply)


class LocalMembers(Members):
    """Members of a mesh: the nodes that are up."""

    def __init__(self, mesh: LocalMesh, node_id: str):
        self._mesh = mesh
        self._id = node_id

    @property
    def self_node(self) -> Node:
        """Return this node."""
        return self._mesh.nodes[self._id]

    def live(self, data_centre: str | None = None) -> tuple[Node, ...]:
        """Return the live nodes of a data centre, or all."""
        found = self._mesh.live()
        return tuple(node for node in found if data_centre in (None, node.data_centre))

    def get(self, node_id: str) -> Node | None:
        """Return a node, live or not, or None if its id is unknown."""
        return self._mesh.nodes.get(node_id)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change."""
        self._mesh.member_callbacks.append(callback)


class LocalOwnership(Ownership):
    """Ownership of keys by the live nodes of a mesh, by rendezvous hashing."""

    def __init__(self, mesh: LocalMesh):
        self._mesh = mesh

    def owner(self, key: str, data_centre: str | None = None) -> Node | None:
        """Return the live node that owns a key, or None if no node is live."""
        live = [
            node
            for node in self._mesh.live()
            if data_centre in (None, node.data_centre)
        ]
        return max(live, key=lambda node: rendezvous_weight(key, node.id), default=None)


class LocalGossip(Gossip):
    """Gossip that reaches all nodes of a mesh at once."""

    def __init__(self, mesh: LocalMesh):
        self._mesh = mesh

    def publish(self, topic: str, key: str, version: int, body: dict) -> None:
        """Publish an item, unless the same or a newer version of it is known."""
        known = self._mesh.items.get((topic, key))
        if known is not None and known[0] >= version:
            return
        self._mesh.items[topic, key] = (version, body)
        for callback in self._mesh.gossip.get(topic, []):
            callback(key, version, body)

    def subscribe(self, topic: str, callback: GossipCallback) -> None:
        """Call back for each known item of a topic and for each new one."""
        self._mesh.gossip.setdefault(topic, []).append(callback)
        for (known_topic, key), (version, body) in self._mesh.items.items():
            if known_topic == topic:
                callback(key, version, body)


class LocalInstances(InstanceList):
    """Instance list whose endpoints can be replaced."""

    def __init__(self, endpoints: list[Endpoint], nodes: tuple[Node, ...] = ()):
        self._endpoints = tuple(endpoints)
        self._nodes = nodes
        self._callbacks: list[Callable[[], None]] = []

    def endpoints(self, pool: str | None = None) -> tuple[Endpoint, ...]:
        """Return the endpoints of a pool, or all."""
        return tuple(item for item in self._endpoints if pool in (None, item.pool))

    def nodes(self) -> tuple[Node, ...]:
        """Return all nodes."""
        return self._nodes

    def age(self) -> float:
        """Return zero, as the list is always fresh."""
        return 0.0

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change."""
        self._callbacks.append(callback)

    def replace(self, endpoints: list[Endpoint]) -> None:
        """Replace the endpoints and call the subscribers."""
        self._endpoints = tuple(endpoints)
        for callback in self._callbacks:
            callback()
