"""Build everything between nodes from its settings and collaborators."""

from collections.abc import Callable
from dataclasses import dataclass

from rattanwick.internal.base.settings import PeerSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.instances import Node
from rattanwick.internal.model.request_records import RequestRegistry
from rattanwick.internal.peers.fetch import RequestFetcher
from rattanwick.internal.peers.gossip import FloodGossip
from rattanwick.internal.peers.handover import Handover
from rattanwick.internal.peers.members import HeartbeatMembers
from rattanwick.internal.peers.network import TcpPeerNetwork
from rattanwick.internal.peers.ownership import RendezvousOwnership
from rattanwick.internal.peers.replica_transfer import ReplicaTransfer
from rattanwick.internal.peers.replicas import ReplicaStore
from rattanwick.internal.peers.replication import PeerRequestReplicator
from rattanwick.internal.peers.takeover import (
    RestartCallback,
    ResumeCallback,
    Takeover,
)
from rattanwick.internal.platform.interfaces import InstanceList

MIN_SECRET_BYTES = 16


@dataclass(slots=True)
class PeerComponents:
    """Hold the parts between nodes; ``start`` and ``stop`` them together."""

    network: TcpPeerNetwork
    gossip: FloodGossip
    members: HeartbeatMembers
    ownership: RendezvousOwnership
    replicas: ReplicaStore
    replicator: PeerRequestReplicator
    takeover: Takeover
    fetcher: RequestFetcher
    handover: Handover
    replica_transfer: ReplicaTransfer

    def start(self) -> None:
        """Listen and announce this node."""
        self.network.start()
        self.members.start()

    def stop(self) -> None:
        """Tell peers that this node is gone and close all connections."""
        self.members.stop()
        self.network.stop()


def build_peers(
    settings: PeerSettings,
    node: Node,
    secret: bytes,
    instances: InstanceList | None,
    timers: TimerService,
    table: RequestRegistry,
    list_version: Callable[[], int],
    restart: RestartCallback,
    resume: ResumeCallback,
    resolve: Callable[[str], Node | None] | None = None,
) -> PeerComponents:
    """Return the parts, not started; ``resolve`` replaces the members' addresses."""
    network = TcpPeerNetwork(
        settings,
        node,
        resolve or (lambda node_id: members.get(node_id)),
        timers,
        secret,
    )
    gossip = FloodGossip(network, timers, node.id)
    members = HeartbeatMembers(
        settings, network, gossip, instances, timers, list_version
    )
    kept = ReplicaStore(timers.wall_time)
    keepers = PeerRequestReplicator(network, members, table, kept, timers)
    takeover = Takeover(network, members, table, kept, keepers, timers, restart, resume)
    fetcher = RequestFetcher(network, members, table, kept, timers)
    handover = Handover(
        network, members, table, kept, keepers, takeover, fetcher, timers
    )
    return PeerComponents(
        network,
        gossip,
        members,
        RendezvousOwnership(members),
        kept,
        keepers,
        takeover,
        fetcher,
        handover,
        ReplicaTransfer(network, members, kept, timers),
    )


def read_secret(path: str) -> bytes:
    """Return the secret of the nodes; raise ValueError when it is too short."""
    with open(path, "rb") as file:
        secret = file.read().strip()
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(f"{path}: write at least {MIN_SECRET_BYTES} random bytes")
    return secret
