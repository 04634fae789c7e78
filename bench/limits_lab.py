"""Simulate nodes that share the limit of an endpoint: ``python -m bench.limits_lab``.

The limits of a gateway node run unchanged, in virtual time: nodes exchange states,
permit requests and grants as datagrams that are delayed and may be lost, and nodes can
be killed, frozen, cut off and added. The load is above the limit. Prints what the
endpoint got, how much of its limit was used and what the busiest node sent and
received.
"""

import argparse
import heapq
import itertools
import json
import random
import sys
from collections import deque

from fakes.gateway_endpoint import LIMIT_WINDOW_SECONDS
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.endpoint_limits import Access, EndpointLimits
from rattanwick.internal.gateway.endpoint_view import EndpointView
from rattanwick.internal.gateway.limit_exchange import UPDATE_ROUND_SECONDS
from rattanwick.internal.gateway.limit_messages import PeerLimits
from rattanwick.internal.gateway.members import Member, Members
from rattanwick.internal.gateway.model import Endpoint, ResponseHead
from rattanwick.internal.gateway.peer_messages import decode_datagram, encode_limits

# The platform allows half as many requests again, and five more, in each window.
EXCESS_RATIO, EXCESS_REQUESTS = 1.5, 5
STATE_INTERVAL_SECONDS = 0.8  # between two states that a node sends to each other one
# After a restart, freeze or cut, a node has this long to be in contact with the others.
CONTACT_SECONDS = 3.0
DATAGRAM_HEADER_BYTES = 28  # IP and UDP
START_SECONDS = 2.0  # until all nodes know each other
MEASURED_SECONDS = 20.0
# Nodes, limit in requests per second, load in requests per second.
CASES = (
    (3, 1.0, 20.0),
    (3, 40.0, 200.0),
    (6, 2.1, 40.0),
    (63, 1.0, 60.0),
    (63, 20.0, 300.0),
    (390, 1.0, 100.0),
    (390, 30.0, 300.0),
)


def make_head(rate: float | None, malformed: str = "") -> ResponseHead:
    """Return the head of a response that names a limit."""
    return ResponseHead(200, [], "call-1", True, False, None, None, rate, malformed)


def allowed(rate: float) -> float:
    """Return the requests that the platform allows in a window."""
    return EXCESS_RATIO * rate * LIMIT_WINDOW_SECONDS + EXCESS_REQUESTS


class Node:
    """A node of the simulation."""

    def __init__(self, network: "Network", node_id: str, timers: ManualTimerService):
        self.id = node_id
        self.members = Members(node_id)
        self.limits = EndpointLimits(
            node_id, self.members, timers, first_request_number=1, clock=timers.now
        )
        self.limits.transmit = lambda target, message: network.send(
            self.id, target, message
        )
        self.frozen_until = 0.0
        self.updated_at: dict[Node, float] = {}  # of the next update, by recipient


class Network:
    """Nodes that exchange states and limits with delays, in virtual time."""

    def __init__(self, count: int, seed: int = 1, loss: float = 0.0):
        self.random = random.Random(seed)
        self.timers = ManualTimerService()
        self.loss = loss
        self.nodes: dict[str, Node] = {}
        self.cut: set[str] = set()  # nodes that reach no other
        self.events: list = []
        self._order = itertools.count()
        self.bytes = dict.fromkeys((f"n{n}" for n in range(count)), 0)
        endpoint = Endpoint("i-1", "engine", "127.0.0.1:1", "a", 64, False, False, 1)
        self.view = EndpointView(endpoint)
        self.rate: float | None = None  # that the endpoint names now
        self.arrivals: list[tuple[float, str]] = []
        self.passed_on = 0  # requests for which there was no permit
        # Node, start and end of a time in which its requests are not counted.
        self.excused: list[tuple[str, float, float]] = []
        for number in range(count):
            self.add(f"n{number}")

    @property
    def now(self) -> float:
        return self.timers.now()

    def at(self, when: float, action) -> None:
        heapq.heappush(self.events, (when, next(self._order), action))

    def add(self, node_id: str, boot: int = 1) -> Node:
        """Add a node that sends its state to all others in turn."""
        node = self.nodes[node_id] = Node(self, node_id, self.timers)
        self.bytes.setdefault(node_id, 0)
        self.at(
            self.now + self.random.uniform(0, 0.2),
            lambda: self._send_states(node, boot),
        )
        return node

    def _send_states(self, node: Node, boot: int) -> None:
        """Mark a node as live at all nodes that it reaches, as its state would."""
        if self.nodes.get(node.id) is not node:
            return  # the process has ended
        self.at(
            self.now + STATE_INTERVAL_SECONDS, lambda: self._send_states(node, boot)
        )
        if self.now < node.frozen_until:
            return
        node.limits.forget([self.view.endpoint])
        now = self.now
        updates = node.limits.granted_limits()
        for target, peer in self.nodes.items():
            if target == node.id or now < peer.frozen_until:
                continue
            if self._is_cut(node.id, target):
                continue
            known = peer.members.get(node.id)
            if known is not None and known.boot == boot:
                known.last_heard_at = now
            else:
                member = Member(node.id, boot, ("127.0.0.1", 1), "", "a", now, now)
                member.ready = True
                peer.members.put(member)
            # New processes come first in the rotation.
            if updates and now >= node.updated_at.get(peer, 0.0):
                node.updated_at[peer] = now + UPDATE_ROUND_SECONDS
                self.send(node.id, target, PeerLimits(limits=updates))

    def _is_cut(self, sender: str, target: str) -> bool:
        return sender in self.cut or target in self.cut

    def send(self, sender: str, target: str, message: PeerLimits) -> None:
        """Deliver a message after a delay, encoded as in a datagram."""
        data = encode_limits(sender, 1, message)
        self.bytes[sender] += len(data) + DATAGRAM_HEADER_BYTES
        if self._is_cut(sender, target) or self.random.random() < self.loss:
            return
        delay = self.random.uniform(0.001, 0.008)
        self.at(self.now + delay, lambda: self._receive(target, data))

    def _receive(self, target: str, data: bytes) -> None:
        node = self.nodes.get(target)
        if node is None:
            return
        if self.now < node.frozen_until:
            self.at(node.frozen_until, lambda: self._receive(target, data))
            return
        self.bytes[target] += len(data) + DATAGRAM_HEADER_BYTES
        message = decode_datagram(data)
        reply = node.limits.receive(message.node_id, message)
        if reply is not None:
            self.send(target, message.node_id, reply)

    def load(self, per_second: float, node_ids=None) -> None:
        """Send requests for ever, each to a random node."""

        def arrive():
            self.at(self.now + self.random.expovariate(per_second), arrive)
            node = self.nodes[self.random.choice(list(node_ids or self.nodes))]
            if self.now >= node.frozen_until:
                self.try_send(node)

        self.at(self.now, arrive)

    def try_send(self, node: Node, patience: float = 0.03) -> None:
        """Send a request to the endpoint, or pass it on if no permit arrives."""
        endpoint, limits = self.view.endpoint, node.limits
        deadline = self.now + patience

        def attempt():
            if limits.access(endpoint) is Access.REQUESTABLE:
                limits.request_permits(endpoint)
            if limits.access(endpoint) is Access.OPEN:
                permit = limits.take(endpoint)
                self.at(self.now + 0.002, lambda: self._send_request(node, permit))
            elif limits.access(endpoint) is Access.REQUESTED and self.now < deadline:
                self.at(self.now + 0.003, attempt)
            else:
                self.passed_on += 1

        attempt()

    def _send_request(self, node: Node, permit) -> None:
        if self.now < node.frozen_until:
            self.at(node.frozen_until, lambda: self._send_request(node, permit))
            return
        if not node.limits.may_send(self.view.endpoint, permit):
            return
        self.arrivals.append((self.now, node.id))
        rate = self.rate
        self.at(self.now + 0.1, lambda: self._respond(node, rate))

    def _respond(self, node: Node, rate: float | None) -> None:
        if self.nodes.get(node.id) is not node:
            return
        node.limits.note_response(self.view, make_head(rate))
        if node.limits.changed.is_set():
            node.limits.changed.clear()
            updates = node.limits.take_unsent_updates()
            for target in self.nodes:
                if target != node.id:
                    self.send(node.id, target, PeerLimits(limits=updates))

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            when, _, action = heapq.heappop(self.events)
            self.timers.advance(max(when - self.now, 0.0))
            action()
        self.timers.advance(end - self.now)

    def disturb(self, node_id: str, seconds: float = 0.0) -> None:
        """Note a restart, freeze or cut, which excuses a node until its contact."""
        self.excused.append((node_id, self.now, self.now + seconds + CONTACT_SECONDS))

    def _is_excused(self, when: float, node_id: str) -> bool:
        return any(
            node_id == excused and start <= when < end
            for excused, start, end in self.excused
        )

    def busiest(self, since: float) -> int:
        """Return the most requests that arrived in a window after a time.

        Requests of excused nodes are not counted.
        """
        window: deque[float] = deque()
        most = 0
        for when, node_id in self.arrivals:
            if when < since or self._is_excused(when, node_id):
                continue
            window.append(when)
            while window[0] <= when - LIMIT_WINDOW_SECONDS:
                window.popleft()
            most = max(most, len(window))
        return most

    def count(self, since: float) -> int:
        """Return the requests that arrived after a time."""
        return sum(when >= since for when, _ in self.arrivals)


def measure(nodes: int, rate: float, load: float, seed: int) -> dict:
    """Simulate a load above the limit of an endpoint and return the figures."""
    network = Network(nodes, seed)
    network.run(START_SECONDS)
    network.rate = rate
    network.load(load)
    network.run(CONTACT_SECONDS)
    since, before = network.now, dict(network.bytes)
    network.run(MEASURED_SECONDS)
    busiest_node = max(network.bytes[node] - before[node] for node in before)
    return {
        "nodes": nodes,
        "limit": rate,
        "load": load,
        "seed": seed,
        "used_share": round(network.count(since) / MEASURED_SECONDS / rate, 2),
        "most_in_window": network.busiest(since),
        "allowed": allowed(rate),
        "bytes_per_second": round(busiest_node / MEASURED_SECONDS),
    }


def main() -> int:
    """Print the figures of all cases and return 1 if a limit was exceeded."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    rows = [measure(*case, args.seed) for case in CASES]
    for row in rows:
        print(json.dumps(row))
    return int(any(row["most_in_window"] > row["allowed"] for row in rows))


if __name__ == "__main__":
    sys.exit(main())
