"""Pass copies on when their keeper leaves and their serving node is silent.

A serving node that lives chooses another keeper when it hears that one leaves. One
that was lost a moment ago is not yet known to be dead, and the only copies of its
requests would go with this node.
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

ASK_SECONDS = 0.5
SEND_SECONDS = 0.5
PAUSE_SECONDS = 0.2
MAX_TARGETS = 4
PARALLEL = 32


class ReplicaTransfer:
    """Send the copies of silent serving nodes to other keepers."""

    def __init__(
        self,
        network: PeerNetwork,
        members: HeartbeatMembers,
        replicas: ReplicaStore,
        timers: TimerService,
    ):
        self._network = network
        self._members = members
        self._kept = replicas
        self._timers = timers

    def run(self) -> None:
        """Pass copies on until none is left, or until this task is ended.

        A serving node that answers can be lost before it has sent its copies to
        another keeper, so it is asked again until it has dropped those here.
        """
        while self._open_copies():
            self.transfer_once()
            if self._open_copies():
                self._timers.sleep(PAUSE_SECONDS)

    def transfer_once(self) -> None:
        """Ask each serving node once and pass on the copies of those without answer."""
        copies = defaultdict(list)
        for kept in self._open_copies():
            copies[kept.header.server].append(kept)
        pool = Pool(PARALLEL)
        pool.map(self._pass_copies_of, copies.values())

    def _open_copies(self) -> list[RequestReplica]:
        """Return the copies of requests that may have to run again."""
        return [kept for kept in self._kept.all() if not (kept.final or kept.lost)]

    def _pass_copies_of(self, copies: list[RequestReplica]) -> None:
        if self._is_serving(copies[0]):
            return
        Pool(PARALLEL).map(self._pass_copy, copies)

    def _is_serving(self, kept: RequestReplica) -> bool:
        body = {"id": kept.header.request_id}
        try:
            self._network.call(kept.header.server, "keeper.claim", body, ASK_SECONDS)
        except StepError:
            return False
        node = self._members.get(kept.header.server)
        return node is None or node.incarnation <= kept.header.server_start

    def _pass_copy(self, kept: RequestReplica) -> None:
        header, own = kept.header, self._members.self_node
        order = choose_backup_nodes(header.request_id, own, self._members.live())
        targets = [node for node in order if node.id != header.server][:MAX_TARGETS]
        for target in targets:
            if self._send(kept, target.id):
                # With two copies of one rank, both holders would run the request.
                if self._kept.get(header.request_id) is kept:
                    self._kept.remove(header.request_id)
                return
        log.error("no other keeper for %s", header.request_id)

    def _send(self, kept: RequestReplica, target: str) -> bool:
        old = kept.header
        others = [item for item in old.holders if item != self._members.self_node.id]
        holders = tuple(dict.fromkeys([target, *others]))[:MAX_REPLICA_HOLDERS]
        header = ReplicaHeader(
            old.request_id, old.server, old.server_start, old.epoch, holders
        )
        body = {**header.to_body(), "packed": kept.packed}
        try:
            self._network.call(target, "keeper.copy", body, SEND_SECONDS)
            return True
        except StepError as exc:
            log.warning("%s", exc)
            return False
