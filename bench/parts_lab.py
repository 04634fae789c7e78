"""Simulate prompt parts that crash endpoints: ``python -m bench.parts_lab``.

The guard of each gateway node runs unchanged, in virtual time: nodes report crashes,
answers and blocks as datagrams that are delayed and may be lost, and endpoints crash
under requests with certain parts or for no reason. Prints the requests with these parts
that endpoints got after the fifth crash and the contact time, and the share of sound
requests that were answered at the first attempt, beside a baseline without the guard
and one that knows the parts beforehand. The lowest ratio compares this share, for the
sound requests of one organisation or with one first part, between the time after the
bound and the time before the first crash.
"""

import argparse
import heapq
import itertools
import json
import random
import sys
from abc import ABC, abstractmethod
from collections import defaultdict
from copy import copy
from dataclasses import dataclass, field

from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.crash_evidence import LostRequest
from rattanwick.internal.gateway.part_guard import SOUND_STREAM_SECONDS, PartGuard
from rattanwick.internal.gateway.part_messages import PeerParts, split_blocks
from rattanwick.internal.gateway.peer_messages import decode_datagram, encode_parts

CONTACT_SECONDS = 3.0
CRASHES_BEFORE_BOUND = 5
MAX_REQUESTS = 3  # after that
DOWN_SECONDS = 3.4  # of an endpoint that crashed
STATE_INTERVAL_SECONDS = 0.8  # in which each node compares its digest with the others
CHECK_SECONDS = 0.015  # from the loss of a connection to the report
DATAGRAM_HEADER_BYTES = 28  # IP and UDP
ORGANISATIONS = 5
GROUPS = 40  # parts behind the first one, used by rank
SOUND_SECONDS = 12.0  # before the first request with a crashing part
MIN_COMPARED_REQUESTS = 20  # of a group, before the crashes and after the bound
LOAD_SECONDS = 50.0


@dataclass(slots=True)
class Scenario:
    """What a simulation draws its requests, endpoints and faults from."""

    nodes: int = 6
    endpoints: int = 9
    requests_per_second: float = 50.0
    crashing_share: float = 0.02
    crashing_parts: int = 1
    position: int | None = 1  # of the crashing part in a prompt; None: drawn
    organisations: int = 1  # whose requests hold the part
    innocent_crashes: float = 0.0  # per second
    loss: float = 0.01  # of datagrams
    attempts: int = 1
    restart_seconds: float = 0.0  # between the restarts of two nodes; 0 for none
    # Limits of the time to the first event and of the whole stream, in seconds.
    first_event: tuple[float, float] = (0.05, 0.4)
    duration: tuple[float, float] = (0.3, 1.5)

    def describe(self) -> dict:
        """Return the figures that differ from the usual ones."""
        usual = Scenario()
        return {
            name: getattr(self, name)
            for name in self.__slots__
            if name == "nodes" or getattr(self, name) != getattr(usual, name)
        }


@dataclass(slots=True)
class Request:
    """A request, and the attempt in progress."""

    node: str
    organisation: str
    parts: tuple[str, ...]
    crashing: str  # the part that crashes endpoints; empty for a sound request
    attempts: int = 0
    sent_at: float = 0.0
    ended: bool = False  # the attempt
    sound_stream: bool = False  # it has run for SOUND_STREAM_SECONDS
    arrived: float = 0.0
    served: bool = False  # answered at the first attempt


@dataclass(slots=True)
class SimulatedEndpoint:
    """An endpoint and the requests that it runs."""

    id: str
    up: bool = True
    running: list[Request] = field(default_factory=list)


class Policy(ABC):
    """Decision whether a node sends a request."""

    @abstractmethod
    def refuses(self, simulation: "Simulation", request: Request) -> bool:
        """Return whether a request is refused."""


class NoGuard(Policy):
    """Baseline that sends everything."""

    def refuses(self, simulation: "Simulation", request: Request) -> bool:
        """Return False."""
        return False


class FullKnowledge(Policy):
    """Bound that knows the crashing parts beforehand."""

    def refuses(self, simulation: "Simulation", request: Request) -> bool:
        """Return whether a request would crash an endpoint."""
        return bool(request.crashing)


class Guarded(Policy):
    """The guard of the request's node."""

    def refuses(self, simulation: "Simulation", request: Request) -> bool:
        """Return whether the node's guard has a block for a request."""
        guard = simulation.guards[request.node]
        return guard.find_block(request.organisation, request.parts) is not None


class Simulation:
    """Nodes, endpoints and requests in virtual time."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int):
        self.scenario = scenario
        self.policy = policy
        self.random = random.Random(seed)
        # A generator of its own, so that all policies see the same requests.
        self._network_random = random.Random(f"{seed} network")
        self.timers = ManualTimerService()
        self.guards: dict[str, PartGuard] = {}
        self.endpoints = [
            SimulatedEndpoint(f"i-{n}") for n in range(scenario.endpoints)
        ]
        # Times of crashes and of requests sent, by crashing part.
        self.crashes: dict[str, list[float]] = defaultdict(list)
        self.crashing_sent: dict[str, list[float]] = defaultdict(list)
        self.sound_requests: list[Request] = []
        self.sound_refused = 0
        self.bytes = 0
        self._crashing_from = self.now + SOUND_SECONDS
        self._events: list = []
        self._order = itertools.count()
        for number in range(scenario.nodes):
            self.add_node(f"n{number}")
        self._at(self.now, self._compare_digests)

    @property
    def now(self) -> float:
        return self.timers.now()

    def _at(self, when: float, action) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def add_node(self, node_id: str) -> None:
        """Add a node, or start its process anew with the blocks of another one."""
        guard = PartGuard(node_id, self.timers)
        guard.broadcast = lambda message: self._broadcast(node_id, message)
        others = [g for name, g in self.guards.items() if name != node_id]
        for block in others[0].blocks.all() if others else ():
            guard.learn(copy(block), "peer")
        self.guards[node_id] = guard

    def _restart_next(self, number: int, until: float) -> None:
        """Start a node's process anew, and the next one after a while."""
        if self.now < until:
            self.add_node(f"n{number % self.scenario.nodes}")
            self._at(
                self.now + self.scenario.restart_seconds,
                lambda: self._restart_next(number + 1, until),
            )

    def _broadcast(self, sender: str, message: PeerParts) -> None:
        data = encode_parts(sender, 1, message, self.now)
        for target in self.guards:
            if target != sender:
                self._send(target, data)

    def _send(self, target: str, data: bytes) -> None:
        self.bytes += len(data) + DATAGRAM_HEADER_BYTES
        if self._network_random.random() < self.scenario.loss:
            return
        delay = self._network_random.uniform(0.001, 0.008)
        self._at(self.now + delay, lambda: self._receive(target, data))

    def _receive(self, target: str, data: bytes) -> None:
        self.guards[target].receive(decode_datagram(data, self.now))

    def _compare_digests(self) -> None:
        """Let each node repair the blocks of a node whose digest differs."""
        self._at(self.now + STATE_INTERVAL_SECONDS, self._compare_digests)
        digests = {node: g.blocks.digest() for node, g in self.guards.items()}
        if len(set(digests.values())) == 1:
            return
        for node, guard in self.guards.items():
            for target, digest in digests.items():
                if digest != digests[node]:
                    blocks = split_blocks(guard.blocks.all())[0]
                    message = PeerParts(blocks=blocks)
                    self._send(target, encode_parts(node, 1, message, self.now))

    def _draw_request(self) -> Request:
        rng, scenario = self.random, self.scenario
        organisation = f"org-{min(int(rng.expovariate(0.7)), ORGANISATIONS - 1)}"
        group = min(int(rng.paretovariate(0.6)), GROUPS)
        parts = [f"f{rng.choice((0, 0, 0, 1))}", f"g{group}-{organisation}"]
        crashing = ""
        if self.now >= self._crashing_from and rng.random() < scenario.crashing_share:
            crashing = f"d{rng.randrange(scenario.crashing_parts)}"
            organisation = f"org-{rng.randrange(scenario.organisations)}"
            parts[1] = f"g{group}-{organisation}"
            position = scenario.position
            if position is None:
                position = rng.randrange(len(parts) + 1)
            parts.insert(position, crashing)
        node = rng.choice(list(self.guards))
        return Request(node, organisation, tuple(parts), crashing)

    def _arrive(self, until: float) -> None:
        delay = self.random.expovariate(self.scenario.requests_per_second)
        if self.now + delay < until:
            self._at(self.now + delay, lambda: self._arrive(until))
        request = self._draw_request()
        request.arrived = self.now
        if not request.crashing:
            self.sound_requests.append(request)
        self._send_request(request)

    def _send_request(self, request: Request) -> None:
        up = [endpoint for endpoint in self.endpoints if endpoint.up]
        if not up:
            return
        if self.policy.refuses(self, request):
            if not request.crashing:
                self.sound_refused += 1
            return
        endpoint = min(up, key=lambda e: (len(e.running), self.random.random()))
        request.attempts += 1
        request.sent_at, request.ended, request.sound_stream = self.now, False, False
        if request.crashing:
            self.crashing_sent[request.crashing].append(self.now)
        endpoint.running.append(request)
        attempt = request.attempts
        first = self.now + self.random.uniform(*self.scenario.first_event)
        if request.crashing:
            self._at(first, lambda: self._begin_crashing(endpoint, request, attempt))
        else:
            duration = self.random.uniform(*self.scenario.duration)
            if duration > SOUND_STREAM_SECONDS:
                self._at(
                    first + SOUND_STREAM_SECONDS,
                    lambda: self._note_sound(request, attempt),
                )
            self._at(first + duration, lambda: self._answer(endpoint, request, attempt))

    def _begin_crashing(
        self, endpoint: SimulatedEndpoint, request: Request, attempt: int
    ) -> None:
        if request.attempts == attempt and not request.ended:
            self.crashes[request.crashing].append(self.now)
            self._crash(endpoint)

    def _note_sound(self, request: Request, attempt: int) -> None:
        if request.attempts == attempt and not request.ended:
            request.sound_stream = True
            if isinstance(self.policy, Guarded):
                self.guards[request.node].note_answer(request.parts)

    def _answer(
        self, endpoint: SimulatedEndpoint, request: Request, attempt: int
    ) -> None:
        if request.attempts != attempt or request.ended:
            return
        request.ended = True
        endpoint.running.remove(request)
        request.served = request.attempts == 1
        if isinstance(self.policy, Guarded):
            self.guards[request.node].note_answer(request.parts)

    def _crash(self, endpoint: SimulatedEndpoint) -> None:
        endpoint.up = False
        lost, endpoint.running = endpoint.running, []
        at = self.now
        by_node: dict[str, list[Request]] = {}
        for request in lost:
            request.ended = True
            by_node.setdefault(request.node, []).append(request)
        if not isinstance(self.policy, Guarded):
            by_node.clear()
        for node, requests in by_node.items():
            report = [
                LostRequest(r.organisation, r.parts, r.sent_at)
                for r in requests
                if not r.sound_stream
            ]
            self._at(
                at + CHECK_SECONDS,
                lambda node=node, report=report: self.guards[node].note_crash(
                    endpoint.id, at, report
                ),
            )
        for request in lost:
            if request.attempts < self.scenario.attempts:
                self._at(
                    at + CHECK_SECONDS, lambda request=request: self._retry(request)
                )
        self._at(at + DOWN_SECONDS, lambda: setattr(endpoint, "up", True))

    def _retry(self, request: Request) -> None:
        self._send_request(request)

    def _crash_innocently(self, until: float) -> None:
        rate = self.scenario.innocent_crashes
        if not rate or self.now >= until:
            return
        up = [endpoint for endpoint in self.endpoints if endpoint.up]
        if up:
            self._crash(self.random.choice(up))
        self._at(
            self.now + self.random.expovariate(rate),
            lambda: self._crash_innocently(until),
        )

    def run(self, seconds: float = LOAD_SECONDS) -> None:
        """Simulate the load of some seconds, and its end."""
        end = self.now + seconds
        self._at(self.now, lambda: self._arrive(end))
        self._at(self.now + 1.0, lambda: self._crash_innocently(end))
        if self.scenario.restart_seconds:
            self._at(self.now, lambda: self._restart_next(0, end))
        while self._events and self._events[0][0] <= end + CONTACT_SECONDS:
            when, _, action = heapq.heappop(self._events)
            self.timers.advance(max(when - self.now, 0.0))
            action()

    def late_requests(self) -> int:
        """Return the most requests with one part after its fifth crash and contact."""
        return max(
            (
                sum(
                    sent_at > crashes[CRASHES_BEFORE_BOUND - 1] + CONTACT_SECONDS
                    for sent_at in self.crashing_sent[part]
                )
                for part, crashes in self.crashes.items()
                if len(crashes) >= CRASHES_BEFORE_BOUND
            ),
            default=0,
        )

    def sound_served(self) -> float:
        """Return the share of sound requests answered at the first attempt."""
        return _served_share(self.sound_requests)

    def lowest_ratio(self) -> float | None:
        """Return the lowest ratio of a group's shares after the bound and before.

        A group is the sound requests of one organisation, or with one first part. None
        if no part has crashed endpoints, or no group has enough requests.
        """
        if not self.crashes:
            return None
        # Of several parts, the last one to be known.
        bound = 2 * CONTACT_SECONDS + max(
            crashes[:CRASHES_BEFORE_BOUND][-1] for crashes in self.crashes.values()
        )
        before: dict[str, list[Request]] = defaultdict(list)
        after: dict[str, list[Request]] = defaultdict(list)
        for request in self.sound_requests:
            for group in (request.organisation, request.parts[0]):
                if request.arrived < self._crashing_from:
                    before[group].append(request)
                elif request.arrived >= bound:
                    after[group].append(request)
        return min(
            (
                _served_share(after[group]) / _served_share(requests)
                for group, requests in before.items()
                if min(len(requests), len(after[group])) >= MIN_COMPARED_REQUESTS
            ),
            default=None,
        )

    def most_crashes(self) -> int:
        """Return the most crashes under requests with one part."""
        return max(map(len, self.crashes.values()), default=0)

    def wrong_blocks(self) -> int:
        """Return the blocks of parts that crash nothing, at the node with the most."""
        return max(
            sum(
                not any(part.startswith("d") for part in block.parts)
                for block in guard.blocks.all()
                if not block.ended
            )
            for guard in self.guards.values()
        )


def _served_share(requests: list[Request]) -> float:
    return sum(request.served for request in requests) / len(requests)


POLICIES = {"guard": Guarded, "none": NoGuard, "full knowledge": FullKnowledge}
SCENARIOS = (
    Scenario(nodes=3),
    Scenario(nodes=6),
    Scenario(nodes=6, crashing_share=0.005),
    Scenario(nodes=6, crashing_share=0.01),
    Scenario(nodes=6, crashing_share=0.3),
    Scenario(nodes=6, crashing_share=0.2),
    Scenario(nodes=6, position=0),
    Scenario(nodes=6, position=None),
    Scenario(nodes=6, attempts=2),
    Scenario(nodes=6, crashing_parts=2),
    Scenario(nodes=6, organisations=5),
    Scenario(nodes=6, innocent_crashes=0.3),
    Scenario(nodes=6, innocent_crashes=1.0, crashing_share=0.0),
    Scenario(nodes=6, loss=0.2),
    Scenario(nodes=6, restart_seconds=2.0),
    Scenario(nodes=63, endpoints=70, requests_per_second=300.0, crashing_share=0.01),
    Scenario(nodes=390, endpoints=100, requests_per_second=300.0, crashing_share=0.01),
)


def measure(scenario: Scenario, seed: int) -> dict:
    """Simulate a scenario under each policy and return the figures."""
    row: dict = {**scenario.describe(), "seed": seed}
    for name, policy in POLICIES.items():
        simulation = Simulation(scenario, policy(), seed)
        simulation.run()
        row[name] = {
            "crashes": simulation.most_crashes(),
            "late": simulation.late_requests(),
            "sound_served": round(simulation.sound_served(), 4),
            "lowest_ratio": _rounded(simulation.lowest_ratio()),
        }
        if name == "guard":
            row[name]["sound_refused"] = simulation.sound_refused
            row[name]["wrong_blocks"] = simulation.wrong_blocks()
            row[name]["bytes_per_node_s"] = round(
                simulation.bytes / LOAD_SECONDS / scenario.nodes
            )
    return row


def _rounded(ratio: float | None) -> float | None:
    return None if ratio is None else round(ratio, 3)


def main() -> int:
    """Print the figures of all scenarios; return 1 if requests came too late."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=3)
    args = parser.parse_args()
    failed = False
    for scenario in SCENARIOS:
        for seed in range(1, args.seeds + 1):
            row = measure(scenario, seed)
            failed = failed or row["guard"]["late"] > MAX_REQUESTS
            print(json.dumps(row), flush=True)
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
