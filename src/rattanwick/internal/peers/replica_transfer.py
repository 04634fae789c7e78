"""Transfer of replicas away from a backup node that leaves.

A live serving node chooses another backup node when it learns that this one leaves.
A serving node that has just been lost does not, and it is not yet known to be dead.
The only replicas of its requests would be lost with this node.
"""

from collections import defaultdict

from gevent.pool import Pool

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.peers.interfaces import PeerNetwork
from rattanwick.internal.peers.members import HeartbeatMembers
from rattanwick.internal.peers.replicas import (
    MAX_REPLICA_HOLDERS,
    ReplicaHeader,
    ReplicaStore,
    RequestReplica,
)
from rattanwick.internal.peers.replication import choose_backup_nodes

log = get_logger("keepers")

ASK_TIMEOUT_SECONDS = 0.5
SEND_TIMEOUT_SECONDS = 0.5
ROUND_INTERVAL_SECONDS = 0.2
MAX_TARGETS = 4
MAX_PARALLEL_TASKS = 32


class ReplicaTransfer:
    """Transfer of the replicas of silent serving nodes to other backup nodes."""

    def __init__(
        self,
        network: PeerNetwork,
        members: HeartbeatMembers,
        replicas: ReplicaStore,
        timers: TimerService,
    ):
        self._network = network
        self._members = members
        self._replicas = replicas
        self._timers = timers

    def run(self) -> None:
        """Transfer replicas until none is left or this task is killed.

        A serving node that answers may be lost before it has sent its replicas to
        another backup node. So it is asked again until it has dropped those here.
        """
        while self._unfinished_replicas():
            self.transfer_once()
            if self._unfinished_replicas():
                self._timers.sleep(ROUND_INTERVAL_SECONDS)

    def transfer_once(self) -> None:
        """Ask each serving node once; transfer the replicas of silent ones."""
        replicas_by_server = defaultdict(list)
        for replica in self._unfinished_replicas():
            replicas_by_server[replica.header.server].append(replica)
        pool = Pool(MAX_PARALLEL_TASKS)
        pool.map(self._transfer_replicas, replicas_by_server.values())

    def _unfinished_replicas(self) -> list[RequestReplica]:
        """Return the replicas of requests that may have to run again."""
        return [
            replica
            for replica in self._replicas.all()
            if not (replica.final or replica.lost)
        ]

    def _transfer_replicas(self, replicas: list[RequestReplica]) -> None:
        if self._is_serving(replicas[0]):
            return
        Pool(MAX_PARALLEL_TASKS).map(self._transfer_replica, replicas)

    def _is_serving(self, replica: RequestReplica) -> bool:
        body = {"id": replica.header.request_id}
        try:
            self._network.call(
                replica.header.server, "keeper.claim", body, ASK_TIMEOUT_SECONDS
            )
        except StepError:
            return False
        node = self._members.get(replica.header.server)
        return node is None or node.incarnation <= replica.header.server_start

    def _transfer_replica(self, replica: RequestReplica) -> None:
        header, own = replica.header, self._members.self_node
        order = choose_backup_nodes(header.request_id, own, self._members.live())
        targets = [node for node in order if node.id != header.server][:MAX_TARGETS]
        for target in targets:
            if self._send(replica, target.id):
                # If two holders had replicas of one rank, both would run the request.
                if self._replicas.get(header.request_id) is replica:
                    self._replicas.remove(header.request_id)
                return
        log.error("no other node accepted the replica of %s", header.request_id)

    def _send(self, replica: RequestReplica, target: str) -> bool:
        old = replica.header
        others = [item for item in old.holders if item != self._members.self_node.id]
        holders = tuple(dict.fromkeys([target, *others]))[:MAX_REPLICA_HOLDERS]
        header = ReplicaHeader(
            old.request_id, old.server, old.server_start, old.epoch, holders
        )
        body = {**header.to_body(), "packed": replica.packed}
        try:
            self._network.call(target, "keeper.copy", body, SEND_TIMEOUT_SECONDS)
            return True
        except StepError as exc:
            log.warning("transfer of a replica failed: %s", exc)
            return False
