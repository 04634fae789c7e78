"""Dependencies of the request path, shared by its resources."""

from collections.abc import Callable
from dataclasses import dataclass, field

from rattanwick.internal.base.settings import CallerSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.base.tracing import Tracer
from rattanwick.internal.model.request_records import RequestRegistry
from rattanwick.internal.peers.fetch import RequestFetcher
from rattanwick.internal.peers.interfaces import (
    Gossip,
    Members,
    Ownership,
    PeerNetwork,
    RequestReplicator,
)
from rattanwick.internal.platform.interfaces import InstanceList
from rattanwick.internal.recording.decisions import NullRecorder, Recorder
from rattanwick.internal.requests.drain_state import DrainState
from rattanwick.internal.requests.interfaces import Claims, Grants, PlanDirectory
from rattanwick.internal.routing.interfaces import Router


def no_load(node_id: str) -> float:
    """Return 0.0 for every node, if loads are not known."""
    return 0.0


@dataclass(slots=True, kw_only=True)
class RequestDependencies:
    """Settings and components that the request path uses."""

    settings: CallerSettings
    default_deadline_seconds: float
    directory: PlanDirectory
    grants: Grants
    claims: Claims
    router: Router
    instances: InstanceList
    members: Members
    ownership: Ownership
    peers: PeerNetwork
    gossip: Gossip
    replicator: RequestReplicator
    timers: TimerService
    tracer: Tracer
    requests: RequestRegistry
    drain: DrainState = field(default_factory=DrainState)
    recorder: Recorder = field(default_factory=NullRecorder)
    # Share of its capacity that a node uses, by node id; sorts nodes in /v1/entry.
    node_load: Callable[[str], float] = no_load
    # Finds answers at other nodes; None if there are no other nodes.
    fetcher: RequestFetcher | None = None
