"""Several peer networks or nodes in one process over loopback sockets, for tests."""

import time

import gevent
from gevent import socket

from rattanwick.internal.base.settings import PeerSettings
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.model.instances import Endpoint, Node
from rattanwick.internal.peers.gossip import FloodGossip
from rattanwick.internal.peers.members import HeartbeatMembers
from rattanwick.internal.peers.network import TcpPeerNetwork
from rattanwick.internal.platform.interfaces import InstanceList

SECRET = b"a secret for tests"
LOOPBACK = "127.0.0.1"


def free_port() -> int:
    """Return a TCP port that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


def make_node(node_id: str, data_centre: str = "dc-a", port: int = 0) -> Node:
    """Return a node whose peer port is free."""
    return Node(
        id=node_id,
        data_centre=data_centre,
        region="test",
        host=LOOPBACK,
        caller_port=1,
        peer_port=port or free_port(),
        operator_port=2,
        incarnation=int(time.time() * 1000),
    )


def make_settings(node: Node, **values) -> PeerSettings:
    """Return peer settings with short timeouts."""
    times = {"heartbeat_seconds": 0.07, "suspect_seconds": 0.3, "dead_seconds": 0.5}
    return PeerSettings(
        address=node.host, port=node.peer_port, secret_file="", **(times | values)
    )


def wait_until(condition, timeout: float = 5.0) -> bool:
    """Wait until a condition holds; return False after ``timeout`` seconds."""
    limit = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > limit:
            return False
        gevent.sleep(0.005)
    return True


class Networks:
    """Peer networks that find each other by id, without membership."""

    def __init__(self):
        self.timers = GeventTimerService()
        self.nodes: dict[str, Node] = {}
        self.networks: dict[str, TcpPeerNetwork] = {}

    def add(self, node_id: str, data_centre: str = "dc-a", secret: bytes = SECRET):
        """Start the network of a new node, with the handler ``echo``."""
        node = self.nodes[node_id] = make_node(node_id, data_centre)
        network = TcpPeerNetwork(
            make_settings(node), node, self.nodes.get, self.timers, secret
        )
        network.handle("echo", lambda peer, body: {"peer": peer, **body})
        network.start()
        self.networks[node_id] = network
        return network

    def stop(self) -> None:
        """Stop all networks."""
        for network in self.networks.values():
            network.stop()
        self.timers.stop()


class StaticInstances(InstanceList):
    """Instance list with the nodes of a dict, which the test may change later."""

    def __init__(self, listed: dict[str, Node]):
        self._listed = listed

    def endpoints(self, pool: str | None = None) -> tuple[Endpoint, ...]:
        """Return no endpoints."""
        return ()

    def nodes(self) -> tuple[Node, ...]:
        """Return the listed nodes."""
        return tuple(self._listed.values())

    def age(self) -> float:
        """Return 0 seconds, as for a list that was just read."""
        return 0.0

    def subscribe(self, callback) -> None:
        """Ignore the callback; changes of the list are not reported."""


class Peer:
    """Network, gossip and members of one node."""

    def __init__(self, node: Node, listed: dict[str, Node], timers, **settings):
        self.node = node
        self.list_version = 1
        self.blocked: set[str] = set()
        cfg = make_settings(node, **settings)
        self.network = TcpPeerNetwork(cfg, node, self._resolve, timers, SECRET)
        self.gossip = FloodGossip(self.network, timers, node.id)
        instances = StaticInstances(listed)
        self.members = HeartbeatMembers(
            cfg, self.network, self.gossip, instances, timers, lambda: self.list_version
        )

    def start(self) -> "Peer":
        """Listen for peers and announce the node."""
        self.network.start()
        self.members.start()
        return self

    def live_ids(self) -> list[str]:
        """Return the ids of the nodes that this peer counts as live."""
        return [node.id for node in self.members.live()]

    def cut(self, *node_ids: str) -> None:
        """Close the connections to nodes and block new ones from this side."""
        self.blocked.update(node_ids)
        for node_id in node_ids:
            self.network.disconnect(node_id, "cut by the test")

    def crash(self) -> None:
        """Stop without a message to the other nodes."""
        for subscription in self.members._subscriptions:
            subscription.cancel()
        self.network.stop()

    def _resolve(self, node_id: str) -> Node | None:
        return None if node_id in self.blocked else self.members.get(node_id)


class Cluster:
    """Several peers in one process, with a common instance list."""

    def __init__(self, **settings):
        self.timers = GeventTimerService()
        self.listed: dict[str, Node] = {}
        self.peers: dict[str, Peer] = {}
        self._settings = settings

    def add(self, node_id: str, data_centre: str = "dc-a", listed: bool = True) -> Peer:
        """Start a peer, which the instance list contains if ``listed``."""
        node = make_node(node_id, data_centre)
        if listed:
            self.listed[node_id] = node
        peer = Peer(node, self.listed, self.timers, **self._settings)
        self.peers[node_id] = peer
        return peer.start()

    def add_many(self, count: int, data_centres: int = 3) -> list[Peer]:
        """Start peers and wait until each of them counts all as live."""
        peers = [self.add(f"n{i}", f"dc-{i % data_centres}") for i in range(count)]
        if not wait_until(lambda: self.agree(self.peers)):
            raise AssertionError("the peers do not count each other as live")
        return peers

    def agree(self, node_ids) -> bool:
        """Return whether each of these nodes counts exactly these nodes as live."""
        wanted = sorted(node_ids)
        return all(self.peers[item].live_ids() == wanted for item in wanted)

    def partition(self, *sides: set[str]) -> None:
        """Cut all connections between the sides."""
        for side in sides:
            others = set().union(*sides) - side
            for node_id in side:
                self.peers[node_id].cut(*others)

    def heal(self) -> None:
        """Allow all connections again."""
        for peer in self.peers.values():
            peer.blocked.clear()

    def stop(self) -> None:
        """Stop all networks and timers."""
        for peer in self.peers.values():
            peer.network.stop()
        self.timers.stop()
