"""Collaborators of the request path, and what its resources share."""

from collections.abc import Callable
from dataclasses import dataclass, field

from rattanwick.internal.base.settings import CallerSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.base.tracing import Tracer
from rattanwick.internal.model.transcripts import RequestTable
from rattanwick.internal.peers.fetch import RequestFetcher
from rattanwick.internal.peers.interfaces import (
    Keepers,
    Members,
    News,
    Ownership,
    PeerNetwork,
)
from rattanwick.internal.platform.interfaces import InstanceList
from rattanwick.internal.recording.decisions import NullRecorder, Recorder
from rattanwick.internal.requests.drain import Drain
from rattanwick.internal.requests.interfaces import Claims, Directory, Grants
from rattanwick.internal.routing.interfaces import Router


def no_load(node_id: str) -> float:
    """Return the same load for every node."""
    return 0.0


@dataclass(slots=True, kw_only=True)
class RequestServices:
    """Hold what the request path works with."""

    settings: CallerSettings
    default_deadline_seconds: float
    directory: Directory
    grants: Grants
    claims: Claims
    router: Router
    instances: InstanceList
    members: Members
    ownership: Ownership
    peers: PeerNetwork
    news: News
    keepers: Keepers
    timers: TimerService
    tracer: Tracer
    table: RequestTable
    drain: Drain = field(default_factory=Drain)
    recorder: Recorder = field(default_factory=NullRecorder)
    # Share of its capacity that a node uses, by id; orders /v1/entry.
    node_load: Callable[[str], float] = no_load
    # Finds answers at other nodes; None where there are no other nodes.
    fetcher: RequestFetcher | None = None
