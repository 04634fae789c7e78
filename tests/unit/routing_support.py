"""Cluster of real routers over an in-process network, with manual time."""

import itertools

import gevent

from bench.inprocess import (
    LocalGossip,
    LocalInstances,
    LocalMembers,
    LocalMesh,
    LocalNetwork,
    LocalOwnership,
)
from rattanwick.internal.base.settings import RoutingSettings
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.model.instances import Endpoint, EndpointKind, Node
from rattanwick.internal.model.requests import RequestKind, ServingRequest, Usage
from rattanwick.internal.recording.decisions import Decision, Recorder
from rattanwick.internal.routing.router import CellRouter

DATA_CENTRES = ("gye-norte", "gye-sur", "duran")
REGION = "costa-gye"
POOL = "rattan-afila"
_ids = itertools.count()


class ListRecorder(Recorder):
    """Recorder that keeps decisions in a list."""

    def __init__(self):
        self.decisions: list[Decision] = []

    def record(self, decision: Decision) -> None:
        """Append a decision."""
        self.decisions.append(decision)


def make_nodes(count: int) -> list[Node]:
    """Return nodes, one data centre after the other."""
    return [
        Node(f"node-{i}", DATA_CENTRES[i % 3], REGION, "127.0.0.1", 1, 2, 3)
        for i in range(count)
    ]


def make_endpoints(count: int, slots: int = 2, pool: str = POOL) -> list[Endpoint]:
    """Return engine endpoints, one data centre after the other."""
    kind = EndpointKind.ENGINE
    return [
        Endpoint(
            f"{pool}-{i}",
            pool,
            kind,
            DATA_CENTRES[i % 3],
            REGION,
            "127.0.0.1",
            1,
            slots,
        )
        for i in range(count)
    ]


class RoutingCluster:
    """Routers of several nodes that place requests on the same endpoints."""

    def __init__(self, nodes: int = 3, endpoints: int = 3, slots: int = 2, **settings):
        self.timers = ManualTimerService()
        self.mesh = LocalMesh(make_nodes(nodes))
        self.instances = LocalInstances(make_endpoints(endpoints, slots))
        self.recorder = ListRecorder()
        self.gossip = LocalGossip(self.mesh)
        self.ownership = LocalOwnership(self.mesh)
        self.settings = RoutingSettings(**settings)
        self.routers = {name: self.make_router(name) for name in self.mesh.nodes}
        self.cell = f"{POOL}/{REGION}/0"

    def make_router(self, node_id: str) -> CellRouter:
        """Return a new router of a node."""
        return CellRouter(
            self.settings,
            LocalMembers(self.mesh, node_id),
            self.ownership,
            LocalNetwork(self.mesh, node_id),
            self.instances,
            self.gossip,
            self.timers,
            self.recorder,
        )

    def owner_id(self) -> str:
        """Return the id of the node that owns the first cell."""
        return self.ownership.owner(self.cell).id

    def non_owner_id(self) -> str:
        """Return the id of a live node that does not own the first cell."""
        owner = self.owner_id()
        return next(node.id for node in self.mesh.live() if node.id != owner)

    def request(self, **fields) -> ServingRequest:
        """Return a request with a deadline in two minutes."""
        defaults = {
            "id": f"req-{next(_ids)}",
            "kind": RequestKind.CHAT,
            "organisation": "taller",
            "plan": "plan-a",
            "pool": POOL,
            "body": {},
            "stream": True,
            "deadline": self.timers.wall_time() + 120,
            "received": self.timers.wall_time(),
            "prompt_tokens": 10,
            "max_output_tokens": 40,
        }
        return ServingRequest(**{**defaults, **fields})

    def start(self, node_id: str, **fields) -> gevent.Greenlet:
        """Spawn the placement of a request and run tasks until all of them wait."""
        excluded = fields.pop("excluded", frozenset())
        req = self.request(**fields)
        task = gevent.spawn(self.routers[node_id].place, req, excluded)
        run_ready_tasks()
        return task

    def place(self, node_id: str, **fields):
        """Place a request that need not wait, and return its placement."""
        return self.start(node_id, **fields).get(timeout=1)

    def release(self, node_id: str, placement, **usage) -> None:
        """Release a placement of a successful attempt."""
        fields = {"ok": True, "output_tokens": 10, "total_seconds": 0.2, **usage}
        self.routers[node_id].release(placement, Usage(**fields))
        run_ready_tasks()

    @staticmethod
    def stream_usage(step: float) -> dict:
        """Return usage fields of a stream with ``step`` seconds between tokens."""
        return {
            "prompt_tokens": 10,
            "first_token_seconds": 0.01,
            "seconds_between_tokens": step,
        }

    def advance(self, seconds: float) -> None:
        """Advance time and run the tasks that became due."""
        self.timers.advance(seconds)
        run_ready_tasks()


def run_ready_tasks() -> None:
    """Run tasks until all of them wait."""
    for _ in range(20):
        gevent.sleep(0)
