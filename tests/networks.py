"""Several peer networks in one process over loopback sockets, for tests."""

import time

import gevent
from gevent import socket

from rattanwick.internal.base.settings import PeerSettings
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.model.instances import Node
from rattanwick.internal.peers.network import StreamPeerNetwork

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
    """Return settings with short times."""
    times = {"heartbeat_seconds": 0.1, "suspect_seconds": 0.4, "dead_seconds": 0.8}
    return PeerSettings(
        address=node.host, port=node.peer_port, secret_file="", **(times | values)
    )


def wait_until(condition, timeout: float = 5.0) -> bool:
    """Wait for a condition; tell whether it came true."""
    limit = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > limit:
            return False
        gevent.sleep(0.005)
    return True


class Networks:
    """Start networks that resolve each other by id."""

    def __init__(self):
        self.timers = GeventTimerService()
        self.nodes: dict[str, Node] = {}
        self.networks: dict[str, StreamPeerNetwork] = {}

    def add(self, node_id: str, data_centre: str = "dc-a", secret: bytes = SECRET):
        """Start a network."""
        node = self.nodes[node_id] = make_node(node_id, data_centre)
        network = StreamPeerNetwork(
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
