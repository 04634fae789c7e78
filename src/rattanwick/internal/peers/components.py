"""Construction of the components of a node that work with other nodes."""

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
    """Peer components of a node, started and stopped together."""

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
        """Listen for peers and announce this node."""
        self.network.start()
        self.members.start()

    def stop(self) -> None:
        """Announce that this node has stopped and close all connections."""
        self.members.stop()
        self.network.stop()


def build_peers(
    settings: PeerSettings,
    node: Node,
    secret: bytes,
    instances: InstanceList | None,
    timers: TimerService,
    registry: RequestRegistry,
    list_version: Callable[[], int],
    restart: RestartCallback,
    resume: ResumeCallback,
    resolve: Callable[[str], Node | None] | None = None,
) -> PeerComponents:
    """Return the components, which are not started yet.

    ``resolve`` returns the node with an id; the default is ``get`` of the members.
    """
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
    replicas = ReplicaStore(timers.wall_time)
    replicator = PeerRequestReplicator(network, members, registry, replicas, timers)
    takeover = Takeover(
        network, members, registry, replicas, replicator, timers, restart, resume
    )
    fetcher = RequestFetcher(network, members, registry, replicas, timers)
    handover = Handover(
        network, members, registry, replicas, replicator, takeover, fetcher, timers
    )
    return PeerComponents(
        network,
        gossip,
        members,
        RendezvousOwnership(members),
        replicas,
        replicator,
        takeover,
        fetcher,
        handover,
        ReplicaTransfer(network, members, replicas, timers),
    )


def read_secret(path: str) -> bytes:
    """Return the secret in a file; raise OSError, or ValueError if it is too short."""
    with open(path, "rb") as file:
        secret = file.read().strip()
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(
            f"{path}: secret too short; write at least {MIN_SECRET_BYTES} random bytes"
        )
    return secret
