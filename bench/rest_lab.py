"""Simulate endpoints that ask nodes for a rest: ``python -m bench.rest_lab``.

The notices of gateway nodes run unchanged, in virtual time. Some endpoints refuse all
requests for a time, each with 503 and the time that is left, then serve again. Prints
the most requests that one node sent an endpoint within a rest that it knew of, the most
requests that an endpoint got in a tenth of a second after it was back, and how long it
got none. The baseline ignores the rests; the oracle knows them without being told.
"""

import argparse
import json
import random
import sys
from collections import Counter
from dataclasses import asdict, dataclass

from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.endpoint_directory import EndpointDirectory
from rattanwick.internal.gateway.endpoint_notices import EndpointNotices
from rattanwick.internal.gateway.endpoint_view import EndpointView
from rattanwick.internal.gateway.members import Member, Members
from rattanwick.internal.gateway.model import Endpoint
from rattanwick.internal.gateway.part_guard import PartGuard
from rattanwick.platform.codec import PlatformCodec
from rattanwick.platform.messages import decode_response_head

ANSWER_SECONDS = 0.05  # from sending a request to its answer
# The platform counts the requests of a node from this long after its refusal.
KNOWN_AFTER_SECONDS = 0.5
MAX_REQUESTS = 2  # in such a rest
RETURN_WINDOW_SECONDS = 0.1  # after the end of a rest
POLICIES = ("baseline", "notices", "oracle")


@dataclass(slots=True, frozen=True)
class Scenario:
    """Size of a deployment, its load, and which share of the endpoints rests."""

    nodes: int
    endpoints: int
    requests_per_second: float
    resting_share: float
    rest_seconds: float


SCENARIOS = (
    Scenario(3, 9, 60.0, 0.12, 2.0),
    Scenario(6, 9, 60.0, 0.5, 5.0),
    Scenario(63, 70, 600.0, 0.1, 3.0),
    Scenario(63, 70, 600.0, 1.0, 1.0),
    Scenario(390, 600, 5700.0, 0.2, 5.0),
)


class Node:
    """A node with its own views of all endpoints."""

    def __init__(self, number: int, scenario: Scenario, timers: ManualTimerService):
        name = f"n{number}"
        members = Members(name)
        for peer in range(scenario.nodes):
            members.put(Member(f"n{peer}", 1, ("127.0.0.1", 1), "", "a", 0.0))
        directory = EndpointDirectory(PlatformCodec(), timers)
        guard = PartGuard(name, timers)
        self.notices = EndpointNotices(
            name, directory, members, guard, timers, on_leaving=lambda: None
        )
        self.views = [
            EndpointView(
                Endpoint(f"i-{n}", "s", "127.0.0.1:1", "a", 8, False, False, 1)
            )
            for n in range(scenario.endpoints)
        ]
        # When an endpoint last refused a request, and the end of the rest it named.
        self.told: dict[int, tuple[float, float]] = {}


class Simulation:
    """One run of a policy."""

    def __init__(self, scenario: Scenario, policy: str, seed: int):
        self._scenario = scenario
        self._policy = policy
        self._random = random.Random(seed)
        self._timers = ManualTimerService()
        self._nodes = [
            Node(number, scenario, self._timers) for number in range(scenario.nodes)
        ]
        resting = max(1, round(scenario.resting_share * scenario.endpoints))
        start, seconds = self._timers.now() + 1.0, scenario.rest_seconds
        self._rests = dict.fromkeys(range(resting), (start, start + seconds))
        self._late: Counter = Counter()  # by node and endpoint
        self._returns: Counter = Counter()  # by endpoint
        self._first_return: dict[int, float] = {}
        self._pending: list[tuple[float, Node, int, float]] = []  # refusals under way
        self._refused = self._waiting = 0

    def run(self) -> dict:
        """Run the load until some seconds after the rests, and return the figures."""
        end = max(until for _, until in self._rests.values()) + 3.0
        while self._timers.now() < end:
            self._timers.advance(
                self._random.expovariate(self._scenario.requests_per_second)
            )
            self._deliver_refusals()
            self._send_request()
        unused = [
            self._first_return.get(n, end) - until
            for n, (_, until) in self._rests.items()
        ]
        return {
            **asdict(self._scenario),
            "policy": self._policy,
            "most_in_known_rest": max(self._late.values(), default=0),
            "refused": self._refused,
            "without_endpoint": self._waiting,
            "most_at_return": max(self._returns.values(), default=0),
            "mean_unused_seconds": round(sum(unused) / len(unused), 3),
        }

    def _deliver_refusals(self) -> None:
        now = self._timers.now()
        while self._pending and self._pending[0][0] <= now:
            at, node, number, until = self._pending.pop(0)
            node.told[number] = at, until
            if self._policy == "notices":
                value = f"{max(until - at, 0.0):.3f}".encode()
                head = decode_response_head(503, [(b"Retry-After", value)])
                node.notices.note_response(node.views[number], head)

    def _send_request(self) -> None:
        now = self._timers.now()
        node = self._random.choice(self._nodes)
        usable = [n for n in range(len(node.views)) if self._may_send(node, n, now)]
        if not usable:
            self._waiting += 1
            return
        number = self._random.choice(usable)
        start, until = self._rests.get(number, (0.0, 0.0))
        if until <= now < until + RETURN_WINDOW_SECONDS:
            self._returns[number] += 1
        if now >= until:
            self._first_return.setdefault(number, now)
        if start <= now < until:
            self._refused += 1
            told_at, told_until = node.told.get(number, (float("inf"), 0.0))
            if told_at + KNOWN_AFTER_SECONDS <= now < told_until:
                self._late[id(node), number] += 1
            self._pending.append((now + ANSWER_SECONDS, node, number, until))

    def _may_send(self, node: Node, number: int, now: float) -> bool:
        if self._policy == "notices":
            return not node.views[number].is_resting(now)
        if self._policy == "oracle":
            start, until = self._rests.get(number, (0.0, 0.0))
            return not start <= now < until
        return True


def main() -> int:
    """Print the figures of all scenarios; return 1 if nodes disturbed a rest."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    failed = False
    for scenario in SCENARIOS:
        for policy in POLICIES:
            row = Simulation(scenario, policy, args.seed).run()
            print(json.dumps(row))
            late = row["most_in_known_rest"] > MAX_REQUESTS
            failed = failed or (late and policy == "notices")
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
