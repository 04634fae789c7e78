"""Cluster of real routers and in-process endpoints that serves a trace in real time."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
import msgpack
from gevent.event import Event

from bench.endpoint import (
    LOAD_REPORT_INTERVAL_SECONDS,
    LOAD_REPORT_LAG_SECONDS,
    BenchEndpoint,
    Slowdown,
    nominal_seconds,
)
from bench.inprocess import (
    LocalGossip,
    LocalInstances,
    LocalMembers,
    LocalMesh,
    LocalNetwork,
    LocalOwnership,
)
from bench.workload import Arrival, Work
from rattanwick.internal.base.errors import Refused
from rattanwick.internal.base.settings import RoutingSettings
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.model.instances import Endpoint, EndpointKind, Node
from rattanwick.internal.model.requests import (
    Placement,
    RequestKind,
    ServingRequest,
    Usage,
)
from rattanwick.internal.peers.gossip import ENDPOINT_LEAVING_TOPIC
from rattanwick.internal.recording.decisions import (
    DECISION_FUNCTIONS,
    Decision,
    Recorder,
)
from rattanwick.internal.routing.router import CellRouter

NODES = 6
ENDPOINTS = 9
SLOTS = 4
DECISIONS_PER_REPLAY = 20  # one decision out of this number is replayed
POOL = "pool"
REGION = "region"
CHARACTERS_PER_TOKEN = 4
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
LOCAL_LATENCY_SECONDS = 0.0002


class CountingRecorder(Recorder):
    """Recorder that counts decisions by reason and replays some of them."""

    def __init__(self):
        self.reasons: dict[str, int] = {}
        self.decisions = 0
        self.replayed = 0
        self.differences = 0

    def record(self, decision: Decision) -> None:
        """Count a decision; replay every ``DECISIONS_PER_REPLAY``-th."""
        name = f"{decision.kind}:{decision.reason}"
        self.reasons[name] = self.reasons.get(name, 0) + 1
        self.decisions += 1
        if self.decisions % DECISIONS_PER_REPLAY == 0:
            self._replay(decision)

    def _replay(self, decision: Decision) -> None:
        """Rerun a decision from its inputs after encoding and decoding them."""
        inputs = msgpack.unpackb(msgpack.packb(decision.inputs))
        result = DECISION_FUNCTIONS[decision.kind](inputs)
        self.replayed += 1
        self.differences += result != (decision.choice, decision.reason)


@dataclass(slots=True)
class Outcome:
    """Result of one arrival."""

    arrival: Arrival
    first_token: float | None = None  # seconds from the intended send time
    total: float | None = None  # seconds from the intended send time
    refused: str = ""  # reason of the refusal
    endpoints: list[str] = field(default_factory=list)
    hedged: bool = False
    slot_seconds: float = 0.0  # seconds for which the request held a slot

    @property
    def in_time(self) -> bool:
        """Return whether the complete answer arrived within the deadline."""
        return self.total is not None and self.total <= self.arrival.deadline_seconds

    @property
    def stretch(self) -> float:
        """Return the latency as a multiple of the time that an idle endpoint takes."""
        return (self.total or 0.0) / nominal_seconds(self.arrival)


class Race:
    """Attempts of one request; the first to give a token cancels the others."""

    def __init__(self, outcome: Outcome):
        self.outcome = outcome
        self.decided = Event()
        self.tasks: list[gevent.Greenlet] = []

    def start(self, run: Callable[..., None], *arguments: object) -> None:
        """Start an attempt in a greenlet of its own."""
        self.tasks.append(gevent.spawn(run, *arguments))

    def win(self, task: gevent.Greenlet) -> bool:
        """Cancel the other attempts and return True if no attempt has won before."""
        if self.decided.is_set():
            return False
        self.decided.set()
        others = [item for item in self.tasks if item is not task]
        gevent.killall(others, block=False)
        return True


class BenchCluster:
    """Routers, endpoints and the mesh between them, for one run."""

    def __init__(
        self,
        settings: RoutingSettings,
        link_seconds: float,
        slowdowns: tuple[Slowdown, ...] = (),
        data_centre_leaves_at: float | None = None,
    ):
        self._link_seconds = link_seconds
        self._slowdowns = slowdowns
        # Seconds from the start at which the first data centre leaves.
        self._data_centre_leaves_at = data_centre_leaves_at
        self._start = 0.0
        self.timers = GeventTimerService()
        self.recorder = CountingRecorder()
        self.mesh = LocalMesh(_make_nodes(), self._latency)
        self.listed = _make_endpoints()
        self.instances = LocalInstances(self.listed)
        self.gossip = LocalGossip(self.mesh)
        self.endpoints = {
            item.id: BenchEndpoint(item.id, SLOTS, self._make_slowdown_factor(index))
            for index, item in enumerate(self.listed)
        }
        ownership = LocalOwnership(self.mesh)
        self.routers = [
            CellRouter(
                settings,
                LocalMembers(self.mesh, node_id),
                ownership,
                LocalNetwork(self.mesh, node_id),
                self.instances,
                self.gossip,
                self.timers,
                self.recorder,
            )
            for node_id in self.mesh.nodes
        ]

    def run(self, trace: list[Arrival]) -> list[Outcome]:
        """Send each arrival at its intended time and wait for all outcomes."""
        self._start = time.monotonic()
        reporter = gevent.spawn(self._report_loads)
        if self._data_centre_leaves_at is not None:
            gevent.spawn_later(self._data_centre_leaves_at, self._drain_data_centre)
        tasks = []
        for arrival in trace:
            delay = self._start + arrival.at - time.monotonic()
            if delay > 0:
                gevent.sleep(delay)
            tasks.append(gevent.spawn(self._serve, arrival))
        gevent.joinall(tasks)
        reporter.kill()
        self.timers.stop()
        return [task.value for task in tasks]

    def _drain_data_centre(self) -> None:
        """Announce that all endpoints of a data centre are leaving."""
        for item in self.listed:
            if item.data_centre == DATA_CENTRES[0]:
                self.gossip.publish(ENDPOINT_LEAVING_TOPIC, item.id, 1, {})

    def _serve(self, arrival: Arrival) -> Outcome:
        outcome = Outcome(arrival)
        router = self.routers[arrival.node]
        req = self._make_request(arrival)
        try:
            placement = router.place(req)
        except Refused as exc:
            outcome.refused = exc.reason
            return outcome
        delay = router.hedge_delay(req)
        if delay is None:
            self._attempt(router, placement, Race(outcome))
        else:
            self._attempt_hedged(router, req, placement, Race(outcome), delay)
        return outcome

    def _attempt(self, router: CellRouter, placement: Placement, race: "Race") -> None:
        """Run one attempt and release its placement, also if it is killed."""
        outcome = race.outcome
        endpoint = self.endpoints[placement.endpoint_id]
        outcome.endpoints.append(placement.endpoint_id)
        link = self._link_to_endpoint(outcome.arrival.node, placement.endpoint_id)
        usage = Usage(reason="cancelled")
        started = time.monotonic()
        first_token: list[float] = []

        def note_first_token():
            first_token.append(time.monotonic() - started + link)
            router.report_progress(placement, first_token[0], None)
            if race.win(gevent.getcurrent()):
                outcome.first_token = self._seconds_since(outcome.arrival) + link

        def note_progress(seconds_between_tokens: float):
            router.report_progress(placement, None, seconds_between_tokens)

        try:
            gevent.sleep(link)
            usage = endpoint.run(outcome.arrival, note_first_token, note_progress)
            usage.first_token_seconds = first_token[0]
            gevent.sleep(link)
            outcome.total = self._seconds_since(outcome.arrival)
            outcome.slot_seconds = usage.total_seconds
        finally:
            router.release(placement, usage)

    def _attempt_hedged(
        self,
        router: CellRouter,
        req: ServingRequest,
        placement: Placement,
        race: "Race",
        delay: float,
    ) -> None:
        """Start a second attempt if no token came within ``delay`` seconds."""
        race.start(self._attempt, router, placement, race)
        if not race.decided.wait(delay):
            try:
                second = router.place(req, frozenset([placement.endpoint_id]))
            except Refused:
                second = None
            if second is not None and race.decided.is_set():
                router.release(second, Usage(reason="cancelled"))
            elif second is not None:
                race.outcome.hedged = True
                race.start(self._attempt, router, second, race)
        race.decided.wait()
        gevent.joinall(race.tasks)

    def _make_request(self, arrival: Arrival) -> ServingRequest:
        now = time.time()
        late = self._seconds_since(arrival)
        idempotent = arrival.work != Work.BOOKING
        shared = arrival.prefix.ljust(arrival.prefix_tokens * CHARACTERS_PER_TOKEN, ".")
        own_tokens = arrival.prompt_tokens - arrival.prefix_tokens
        own = f"question {arrival.index}".ljust(own_tokens * CHARACTERS_PER_TOKEN, ".")
        return ServingRequest(
            id=f"req-{arrival.index}",
            kind=RequestKind.CHAT,
            organisation=arrival.organisation,
            plan=arrival.plan,
            pool=POOL,
            body={"messages": [{"role": "user", "content": shared + own}]},
            stream=True,
            deadline=now + arrival.deadline_seconds - late,
            received=now,
            prompt_tokens=arrival.prompt_tokens,
            max_output_tokens=arrival.max_output_tokens,
            idempotent=idempotent,
            hedge=idempotent,
        )

    def _report_loads(self) -> None:
        """Repeatedly report the load of each endpoint to all routers with a lag."""
        while True:
            gevent.sleep(LOAD_REPORT_INTERVAL_SECONDS)
            loads = [
                (name, endpoint.running, endpoint.waiting)
                for name, endpoint in self.endpoints.items()
            ]
            gevent.spawn_later(LOAD_REPORT_LAG_SECONDS, self._send_loads, loads)

    def _send_loads(self, loads: list[tuple[str, int, int]]) -> None:
        for router in self.routers:
            for name, running, waiting in loads:
                router.report_load(name, running, waiting, LOAD_REPORT_LAG_SECONDS)

    def _seconds_since(self, arrival: Arrival) -> float:
        return time.monotonic() - self._start - arrival.at

    def _make_slowdown_factor(self, index: int):
        """Return a function that returns the current slowdown factor of an endpoint."""
        own = [item for item in self._slowdowns if item.endpoint == index]

        def slowdown_factor() -> float:
            now = time.monotonic() - self._start
            factors = [item.factor for item in own if item.start <= now < item.end]
            return max(factors, default=1.0)

        return slowdown_factor

    def _latency(self, sender: Node, receiver: Node) -> float:
        if sender.data_centre == receiver.data_centre:
            return LOCAL_LATENCY_SECONDS
        return self._link_seconds

    def _link_to_endpoint(self, node: int, endpoint_id: str) -> float:
        home = DATA_CENTRES[node % len(DATA_CENTRES)]
        endpoint = next(item for item in self.listed if item.id == endpoint_id)
        return (
            LOCAL_LATENCY_SECONDS
            if endpoint.data_centre == home
            else self._link_seconds
        )


def _make_nodes() -> list[Node]:
    return [
        Node(f"node-{i}", DATA_CENTRES[i % 3], REGION, "127.0.0.1", 1, 2, 3)
        for i in range(NODES)
    ]


def _make_endpoints() -> list[Endpoint]:
    return [
        Endpoint(
            f"engine-{i}",
            POOL,
            EndpointKind.ENGINE,
            DATA_CENTRES[i % 3],
            REGION,
            "127.0.0.1",
            1,
            SLOTS,
        )
        for i in range(ENDPOINTS)
    ]
