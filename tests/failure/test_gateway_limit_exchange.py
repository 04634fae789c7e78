"""Limits of endpoints between nodes that exchange datagrams on loopback."""

import unittest
from dataclasses import replace

import gevent

from fakes.addresses import OctetReservation
from fakes.gateway_settings import make_settings
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.gateway.endpoint_limits import Access
from rattanwick.internal.gateway.model import ResponseHead
from rattanwick.internal.gateway.peer_exchange import PeerExchange
from tests.gateway_case import make_state, make_view

WAIT_SECONDS = 3.0
PEER_PORT = 17600
RATE = 50.0


class Node:
    """Components of a node that concern limits, with a socket for datagrams."""

    def __init__(self, node_id: str, ip: str):
        self.timers = GeventTimerService()
        settings = replace(make_settings(node_id, ip), peer_port=PEER_PORT)
        self.state = make_state(self.timers, settings)
        self.view = make_view("i-1")
        self.state.endpoints._views["i-1"] = self.view
        self.limits = self.state.endpoint_limits
        self.peers = PeerExchange(self.state, [])
        self.peers.start()

    def name_limit(self, rate: float | None) -> None:
        """Let the endpoint name a limit in a response to this node."""
        head = ResponseHead(200, [], "c", True, False, None, None, rate)
        self.limits.note_response(self.view, head)

    def rate(self) -> float | None:
        """Return the limit that this node knows."""
        return self.limits.rate_of(self.view.endpoint)

    def stop(self) -> None:
        """Stop sending and receiving."""
        self.timers.stop()
        self.peers._datagrams.stop(timeout=0.1)
        self.peers._copies._server.stop(timeout=0.1)


class LimitExchangeTests(unittest.TestCase):
    """Guard against limits and permits that work within one process only."""

    def setUp(self):
        # Other deployments may run on this machine at the same time.
        self.octets = OctetReservation()
        self.addCleanup(self.octets.release)
        self.nodes: list[Node] = []
        for number in range(3):
            self.add(f"n{number}")
        self.wait_until(
            lambda: all(len(n.state.members.all()) == 2 for n in self.nodes)
        )

    def tearDown(self):
        for node in self.nodes:
            node.stop()

    def add(self, node_id: str) -> Node:
        """Add a node; it and the others know each other at once."""
        ip = f"127.{self.octets.octet}.9.{len(self.nodes) + 1}"
        node = Node(node_id, ip)
        self.nodes.append(node)
        for other in self.nodes[:-1]:
            for sender, receiver in ((node, other), (other, node)):
                state = sender.peers._own_state(sender.timers.now())
                address = (sender.state.settings.ip, sender.state.settings.peer_port)
                peer = (state.node_id, state.boot)
                receiver.peers._apply_state(peer, state, address[0])
        return node

    def wait_until(self, condition) -> None:
        """Wait until a condition holds."""
        with gevent.Timeout(WAIT_SECONDS):
            while not condition():
                gevent.sleep(0.01)

    def test_all_nodes_learn_of_a_limit_and_of_its_end(self):
        self.nodes[0].name_limit(RATE)
        self.wait_until(lambda: all(node.rate() == RATE for node in self.nodes))
        gevent.sleep(0.05)
        self.nodes[1].name_limit(None)
        self.wait_until(lambda: all(node.rate() is None for node in self.nodes))

    def test_every_node_gets_permits(self):
        self.nodes[0].name_limit(RATE)
        self.wait_until(lambda: all(node.rate() == RATE for node in self.nodes))
        for node in self.nodes:
            endpoint = node.view.endpoint

            def has_permit(node=node, endpoint=endpoint) -> bool:
                if node.limits.access(endpoint) is Access.REQUESTABLE:
                    node.limits.request_permits(endpoint)
                return node.limits.access(endpoint) is Access.OPEN

            self.wait_until(has_permit)
            self.assertIsNotNone(node.limits.take(endpoint))

    def test_a_node_that_starts_learns_of_limits_at_once(self):
        """Guard against a restarted node that waits for its turn in the rotation."""
        self.nodes[0].name_limit(RATE)
        self.wait_until(lambda: all(node.rate() == RATE for node in self.nodes))
        for node in self.nodes:
            node.timers.stop()  # no repetition is sent any more
        started = [self.add(f"n{number}") for number in range(3, 9)]
        self.wait_until(lambda: all(node.rate() == RATE for node in started))
