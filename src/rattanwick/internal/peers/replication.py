"""Replication of this node's running requests to one backup node each."""

from dataclasses import dataclass, field

import gevent

from rattanwick.internal.base.errors import Refused, StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.instances import Node
from rattanwick.internal.model.request_records import RequestRegistry
from rattanwick.internal.peers.final_answers import pack_final
from rattanwick.internal.peers.interfaces import PeerNetwork, RequestReplicator
from rattanwick.internal.peers.members import HeartbeatMembers
from rattanwick.internal.peers.ownership import rank_nodes, spread_data_centres
from rattanwick.internal.peers.packing import pack_compressed
from rattanwick.internal.peers.replicas import (
    MAX_REPLICA_HOLDERS,
    ReplicaHeader,
    ReplicaStore,
    decode_replica,
)

log = get_logger("keepers")

CHECK_INTERVAL_SECONDS = 1.0  # also the time-out of a replica that a check sends
DROP_DELAY_SECONDS = 0.2  # collects drops into one message
DROP_TIMEOUT_SECONDS = 2.0
MAX_DROP_ATTEMPTS = 3
MAX_DROPS_PER_FRAME = 64
MAX_DROP_FRAME_BYTES = 512 << 10
FIRST_BACKUP_TIMEOUT_SHARE = 0.6  # share of the time-out; the second node gets the rest


@dataclass(slots=True)
class ReplicationState:
    """Replicas of a request that this node serves."""

    request_id: str
    packed: bytes
    epoch: int = 0
    # Ids of the nodes that may hold a replica, the newest first.
    holders: list[str] = field(default_factory=list)
    has_replica: bool = False  # a backup node has confirmed one


@dataclass(slots=True)
class DropMessage:
    """Message to a holder that a replica is no longer needed."""

    request_id: str
    final: bytes  # packed final answer, which replaces the replica, or empty
    epoch: int  # replicas of a later epoch stay
    attempts: int = 0


def rank_backup_nodes(request_id: str, nodes: tuple[Node, ...]) -> list[Node]:
    """Return the candidates for a replica, the best of each data centre first."""
    return spread_data_centres(rank_nodes(request_id, nodes))


def choose_backup_nodes(
    request_id: str, own: Node, nodes: tuple[Node, ...]
) -> list[Node]:
    """Return the backup nodes for a request in order of preference.

    Other data centres of the same region come first, then other regions, then the
    data centre of ``own``. Traffic between regions costs more, and a backup node runs
    the request again if a partition separates it from the serving node.
    """
    order = [node for node in rank_backup_nodes(request_id, nodes) if node.id != own.id]
    return sorted(
        order,
        key=lambda node: (
            node.data_centre == own.data_centre,
            node.region != own.region,
        ),
    )


class PeerRequestReplicator(RequestReplicator):
    """Replicator over the peer network, with one replica for each request served."""

    def __init__(
        self,
        network: PeerNetwork,
        members: HeartbeatMembers,
        registry: RequestRegistry,
        replicas: ReplicaStore,
        timers: TimerService,
    ):
        self._network = network
        self._members = members
        self._registry = registry
        self._replicas = replicas
        self._timers = timers
        self._served: dict[str, ReplicationState] = {}
        self._drops: dict[str, list[DropMessage]] = {}
        self._changed = False
        self._checking = False
        network.handle("keeper.copy", self._on_copy)
        network.handle("keeper.drop", self._on_drop)
        members.subscribe(self._note_change)
        timers.subscribe("keepers", CHECK_INTERVAL_SECONDS, self.check)

    def copy(self, message: dict, timeout: float) -> int:
        """Send a replica to a backup node; return how many were made, 0 or 1."""
        request_id = message["id"]
        packed = pack_compressed({"request": message})
        served = self._served.get(request_id)
        if served is None:
            served = self._served[request_id] = ReplicationState(request_id, packed)
        served.packed = packed
        deadline = self._timers.now() + timeout
        share = FIRST_BACKUP_TIMEOUT_SHARE
        for backup in self._choose_backups(request_id)[:2]:
            remaining = deadline - self._timers.now()
            if remaining > 0 and self._send(served, backup, remaining * share):
                return 1
            share = 1.0
        return 0

    def drop(self, request_id: str) -> None:
        """Queue drops for a finished request; send the newest holder the answer."""
        served = self._served.pop(request_id, None)
        if served is None:
            return
        record = self._registry.get(request_id)
        final = pack_final(record) if record is not None else b""
        for position, holder in enumerate(served.holders):
            self._queue_drop(holder, served, final if position == 0 else b"")

    def take_over_replica(self, header: ReplicaHeader, packed: bytes) -> None:
        """Register a request that is taken over from another node as served here."""
        own = self._members.self_node.id
        holders = [holder for holder in header.holders if holder != own]
        served = ReplicationState(header.request_id, packed, header.epoch, holders)
        self._served[header.request_id] = served
        self._replicas.remove(header.request_id)

    def release(self, request_id: str, holders: list[str]) -> None:
        """Stop serving a request that ``holders`` now have; drop the other replicas."""
        served = self._served.pop(request_id, None)
        if served is not None:
            for holder in served.holders:
                if holder not in holders:
                    self._queue_drop(holder, served)

    def served_epoch(self, request_id: str) -> int | None:
        """Return the epoch of a request served here, or None if it is not."""
        served = self._served.get(request_id)
        return served.epoch if served is not None else None

    def make_handover_header(
        self, request_id: str, server: Node, holders: list[str]
    ) -> ReplicaHeader:
        """Return the header for a new serving node; earlier holders are added."""
        served = self._served.get(request_id)
        earlier_holders = served.holders if served is not None else []
        epoch = served.epoch + 1 if served is not None else 1
        if served is not None:
            served.epoch = epoch
        all_holders = tuple(dict.fromkeys([*holders, *earlier_holders]))[
            :MAX_REPLICA_HOLDERS
        ]
        return ReplicaHeader(
            request_id, server.id, server.incarnation, epoch, all_holders
        )

    def holders(self, request_id: str) -> list[str]:
        """Return the ids of nodes that may hold a replica, the newest first."""
        served = self._served.get(request_id)
        return list(served.holders) if served is not None else []

    def flush(self) -> None:
        """Send the queued drops to their holders."""
        drops, self._drops = self._drops, {}
        for holder, items in drops.items():
            gevent.spawn(self._send_drops, holder, items)

    def check(self) -> None:
        """Send replicas of requests that have none or whose backup node has changed."""
        self._replicas.drop_expired()
        if self._checking:
            return
        self._checking = True
        changed, self._changed = self._changed, False
        try:
            for served in list(self._served.values()):
                record = self._registry.get(served.request_id)
                if record is not None and record.finished_at is not None:
                    # The request finished without a call of ``drop``.
                    self.drop(served.request_id)
                elif changed or not served.has_replica:
                    self._renew(served)
        finally:
            self._checking = False

    def _renew(self, served: ReplicationState) -> None:
        if served.request_id not in self._served:
            return
        backups = self._choose_backups(served.request_id)
        if not backups:
            served.has_replica = False
            return
        if served.has_replica and served.holders[0] == backups[0].id:
            return
        replaced_holders = [
            item for item in served.holders[:1] if item != backups[0].id
        ]
        if self._send(served, backups[0], CHECK_INTERVAL_SECONDS):
            for holder in replaced_holders:
                self._queue_drop(holder, served)
                served.holders.remove(holder)

    def _choose_backups(self, request_id: str) -> list[Node]:
        return choose_backup_nodes(
            request_id, self._members.self_node, self._members.live()
        )

    def _send(self, served: ReplicationState, backup: Node, timeout: float) -> bool:
        # The holder is added before the call, because it may hold a replica even if its
        # reply is lost.
        if backup.id in served.holders:
            served.holders.remove(backup.id)
        served.holders.insert(0, backup.id)
        del served.holders[MAX_REPLICA_HOLDERS:]
        served.epoch += 1
        own = self._members.self_node
        header = ReplicaHeader(
            served.request_id,
            own.id,
            own.incarnation,
            served.epoch,
            tuple(served.holders),
        )
        body = {**header.to_body(), "packed": served.packed}
        try:
            self._network.call(backup.id, "keeper.copy", body, timeout)
        except StepError as exc:
            log.info(
                "could not send a replica of %s to %s: %s",
                served.request_id,
                backup.id,
                exc.reason,
            )
            return False
        served.has_replica = True
        if served.request_id not in self._served:
            # The request finished during the call.
            self._queue_drop(backup.id, served)
        return True

    def _queue_drop(
        self, holder: str, served: ReplicationState, final: bytes = b""
    ) -> None:
        self._queue_drops(holder, [DropMessage(served.request_id, final, served.epoch)])

    def _queue_drops(self, holder: str, items: list[DropMessage]) -> None:
        if not self._drops:
            self._timers.after(DROP_DELAY_SECONDS, self.flush)
        self._drops.setdefault(holder, []).extend(items)

    def _send_drops(self, holder: str, items: list[DropMessage]) -> None:
        while items:
            part, items = self._split_drops(items)
            body = {
                "drops": [[item.request_id, item.epoch, item.final] for item in part]
            }
            try:
                self._network.call(holder, "keeper.drop", body, DROP_TIMEOUT_SECONDS)
            except StepError:
                self._retry_drops(holder, part + items)
                return

    def _split_drops(
        self, items: list[DropMessage]
    ) -> tuple[list[DropMessage], list[DropMessage]]:
        size = 0
        for count, item in enumerate(items[:MAX_DROPS_PER_FRAME]):
            size += len(item.final)
            if count and size > MAX_DROP_FRAME_BYTES:
                return items[:count], items[count:]
        return items[:MAX_DROPS_PER_FRAME], items[MAX_DROPS_PER_FRAME:]

    def _retry_drops(self, holder: str, items: list[DropMessage]) -> None:
        """Queue drops again, up to MAX_DROP_ATTEMPTS; later the replicas expire."""
        for item in items:
            item.attempts += 1
        retried = [item for item in items if item.attempts < MAX_DROP_ATTEMPTS]
        if retried:
            self._queue_drops(holder, retried)

    def _note_change(self) -> None:
        self._changed = True

    def _on_copy(self, node_id: str, body: dict) -> dict:
        header = ReplicaHeader.from_body(body)
        own = self._members.self_node.id
        if self._members.leaving:
            raise Refused("keeper.copy", own, "this node is leaving")
        if header.request_id not in self._served:
            self._replicas.put(decode_replica(header, body.get("packed")))
        return {}

    def _on_drop(self, node_id: str, body: dict) -> dict:
        for request_id, epoch, final in body["drops"]:
            replica = self._replicas.get(request_id)
            if replica is None or replica.header.epoch > epoch:
                continue
            if final:
                self._replicas.finish(request_id, final)
            else:
                self._replicas.remove(request_id)
        return {}
