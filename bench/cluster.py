"""Run a trace through real routers against in-process endpoints, in real time."""

import time
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from bench.endpoint import (
    REPORT_LAG_SECONDS,
    REPORT_SECONDS,
    BenchEndpoint,
    Slowing,
    nominal_seconds,
)
from bench.inprocess import (
    Hub,
    LocalInstances,
    LocalMembers,
    LocalNetwork,
    LocalNews,
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
from rattanwick.internal.recording.decisions import Decision, Recorder
from rattanwick.internal.routing.router import CellRouter

NODES = 6
ENDPOINTS = 9
SLOTS = 4
POOL = "pool"
REGION = "region"
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
LOCAL_LINK_SECONDS = 0.0002


class CountingRecorder(Recorder):
    """Count decisions by reason."""

    def __init__(self):
        self.reasons: dict[str, int] = {}

    def record(self, decision: Decision) -> None:
        """Count a decision."""
        name = f"{decision.kind}:{decision.reason}"
        self.reasons[name] = self.reasons.get(name, 0) + 1


@dataclass(slots=True)
class Outcome:
    """Hold what became of one arrival."""

    arrival: Arrival
    first_token: float | None = None  # seconds from the intended time
    total: float | None = None
    refused: str = ""
    endpoints: list[str] = field(default_factory=list)
    hedged: bool = False

    @property
    def in_time(self) -> bool:
        """Tell whether the whole answer met the deadline."""
        return self.total is not None and self.total <= self.arrival.deadline_seconds

    @property
    def stretch(self) -> float:
        """Return the latency over the work at an idle endpoint."""
        return (self.total or 0.0) / nominal_seconds(self.arrival)


class BenchCluster:
    """Hold routers and endpoints of one run."""

    def __init__(
        self,
        settings: RoutingSettings,
        link_seconds: float,
        slowings: tuple[Slowing, ...] = (),
    ):
        self._link_seconds = link_seconds
        self._slowings = slowings
        self._start = 0.0
        self.timers = GeventTimerService()
        self.recorder = CountingRecorder()
        self.hub = Hub(_make_nodes(), self._latency)
        self.listed = _make_endpoints()
        self.instances = LocalInstances(self.listed)
        self.news = LocalNews(self.hub)
        self.engines = {
            item.id: BenchEndpoint(item.id, SLOTS, self._slowness_of(index))
            for index, item in enumerate(self.listed)
        }
        ownership = LocalOwnership(self.hub)
        self.routers = [
            CellRouter(
                settings,
                LocalMembers(self.hub, node_id),
                ownership,
                LocalNetwork(self.hub, node_id),
                self.instances,
                self.news,
                self.timers,
                self.recorder,
            )
            for node_id in self.hub.nodes
        ]

    def run(self, trace: list[Arrival]) -> list[Outcome]:
        """Send each arrival at its intended time and wait for all outcomes."""
        self._start = time.monotonic()
        reporter = gevent.spawn(self._report_loads)
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
            self._attempt(router, placement, outcome)
        else:
            self._attempt_hedged(router, req, placement, outcome, delay)
        return outcome

    def _attempt(
        self, router: CellRouter, placement: Placement, outcome: Outcome
    ) -> None:
        """Run one attempt; an attempt that is killed releases its placement."""
        engine = self.engines[placement.endpoint_id]
        outcome.endpoints.append(placement.endpoint_id)
        link = self._endpoint_link(outcome.arrival.node, placement.endpoint_id)
        usage = Usage(reason="cancelled")
        started = time.monotonic()

        def note_first_token():
            if outcome.first_token is None:
                outcome.first_token = self._since(outcome.arrival) + link
            observe = getattr(router, "observe_first_token", None)
            if observe is not None:
                observe(placement, time.monotonic() - started + link)

        try:
            gevent.sleep(link)
            usage = engine.run(outcome.arrival, note_first_token)
            gevent.sleep(link)
            if outcome.total is None:
                outcome.total = self._since(outcome.arrival)
        finally:
            router.release(placement, usage)

    def _attempt_hedged(
        self,
        router: CellRouter,
        req: ServingRequest,
        placement: Placement,
        outcome: Outcome,
        delay: float,
    ) -> None:
        """Start a second attempt after a delay; the first to finish cancels it."""
        done = Event()
        tasks = [gevent.spawn(self._attempt, router, placement, outcome)]
        tasks[0].link(lambda _: done.set())
        if not done.wait(delay):
            try:
                excluded = frozenset([placement.endpoint_id])
                second = router.place(req, excluded)
            except Refused:
                second = None
            if second is not None and done.is_set():
                router.release(second, Usage(reason="cancelled"))
            elif second is not None:
                outcome.hedged = True
                tasks.append(gevent.spawn(self._attempt, router, second, outcome))
                tasks[1].link(lambda _: done.set())
            done.wait()
        gevent.killall(tasks)

    def _make_request(self, arrival: Arrival) -> ServingRequest:
        now = time.time()
        late = self._since(arrival)
        idempotent = arrival.work != Work.BOOKING
        prompt = arrival.prefix.ljust(512, ".") + f" question {arrival.index}"
        return ServingRequest(
            id=f"req-{arrival.index}",
            kind=RequestKind.CHAT,
            organisation=arrival.organisation,
            plan=arrival.plan,
            pool=POOL,
            body={"messages": [{"role": "user", "content": prompt}]},
            stream=True,
            deadline=now + arrival.deadline_seconds - late,
            received=now,
            prompt_tokens=arrival.prompt_tokens,
            max_output_tokens=arrival.max_output_tokens,
            idempotent=idempotent,
            hedge=idempotent,
        )

    def _report_loads(self) -> None:
        """Report the load of each endpoint to all routers, late."""
        while True:
            gevent.sleep(REPORT_SECONDS)
            loads = [
                (name, engine.running, engine.waiting)
                for name, engine in self.engines.items()
            ]
            gevent.spawn_later(REPORT_LAG_SECONDS, self._tell_loads, loads)

    def _tell_loads(self, loads: list[tuple[str, int, int]]) -> None:
        for router in self.routers:
            for name, running, waiting in loads:
                router.report_load(name, running, waiting, REPORT_LAG_SECONDS)

    def _since(self, arrival: Arrival) -> float:
        return time.monotonic() - self._start - arrival.at

    def _slowness_of(self, index: int):
        """Return a function that gives the present slowing of an endpoint."""
        own = [item for item in self._slowings if item.endpoint == index]

        def slowness() -> float:
            now = time.monotonic() - self._start
            factors = [item.factor for item in own if item.start <= now < item.end]
            return max(factors, default=1.0)

        return slowness

    def _latency(self, sender: Node, receiver: Node) -> float:
        if sender.data_centre == receiver.data_centre:
            return LOCAL_LINK_SECONDS
        return self._link_seconds

    def _endpoint_link(self, node: int, endpoint_id: str) -> float:
        home = DATA_CENTRES[node % len(DATA_CENTRES)]
        endpoint = next(item for item in self.listed if item.id == endpoint_id)
        return (
            LOCAL_LINK_SECONDS if endpoint.data_centre == home else self._link_seconds
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
