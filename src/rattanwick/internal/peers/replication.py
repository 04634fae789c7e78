"""Keepers: copies of this node's requests at one other node, until they finish."""

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

CHECK_SECONDS = 1.0
DROP_SECONDS = 0.2
DROP_TIMEOUT = 2.0  # seconds
DROP_ATTEMPTS = 3
DROPS_IN_FRAME = 64
DROP_BYTES = 512 << 10
FIRST_SHARE = 0.6  # of the time for a copy, left to the first keeper


@dataclass(slots=True)
class ServedCopy:
    """Hold what is known of the copies of a request that this node serves."""

    request_id: str
    packed: bytes
    epoch: int = 0
    holders: list[str] = field(default_factory=list)  # the newest first
    copied: bool = False


@dataclass(slots=True)
class Drop:
    """Hold a message for a keeper about a request that has finished."""

    request_id: str
    final: bytes
    epoch: int  # newer copies stay
    attempts: int = 0


def rank_backup_nodes(request_id: str, nodes: tuple[Node, ...]) -> list[Node]:
    """Return the nodes that may keep a request, best of each data centre first."""
    return spread_data_centres(rank_nodes(request_id, nodes))


def choose_backup_nodes(
    request_id: str, own: Node, nodes: tuple[Node, ...]
) -> list[Node]:
    """Return keepers for a request of this node, other data centres first.

    Those of the same region come first: links between regions cost more, and a
    keeper that a partition cuts off from the serving node runs the request again.
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
    """Send copies to keepers, and move them when the keeper changes."""

    def __init__(
        self,
        network: PeerNetwork,
        members: HeartbeatMembers,
        table: RequestRegistry,
        replicas: ReplicaStore,
        timers: TimerService,
    ):
        self._network = network
        self._members = members
        self._table = table
        self._kept = replicas
        self._timers = timers
        self._served: dict[str, ServedCopy] = {}
        self._drops: dict[str, list[Drop]] = {}
        self._changed = False
        self._checking = False
        network.handle("keeper.copy", self._on_copy)
        network.handle("keeper.drop", self._on_drop)
        members.subscribe(self._note_change)
        timers.subscribe("keepers", CHECK_SECONDS, self.check)

    def copy(self, message: dict, timeout: float) -> int:
        """Send a request's message to a keeper and return the copies made."""
        request_id = message["id"]
        packed = pack_compressed({"request": message})
        served = self._served.get(request_id)
        if served is None:
            served = self._served[request_id] = ServedCopy(request_id, packed)
        served.packed = packed
        due = self._timers.now() + timeout
        share = FIRST_SHARE
        for keeper in self._choose(request_id)[:2]:
            remaining = due - self._timers.now()
            if remaining > 0 and self._send(served, keeper, remaining * share):
                return 1
            share = 1.0
        return 0

    def drop(self, request_id: str) -> None:
        """Tell the holders that the request has finished, with its answer."""
        served = self._served.pop(request_id, None)
        if served is None:
            return
        record = self._table.get(request_id)
        final = pack_final(record) if record is not None else b""
        for position, holder in enumerate(served.holders):
            self._add_drop(holder, served, final if position == 0 else b"")

    def take_over_replica(self, header: ReplicaHeader, packed: bytes) -> None:
        """Count a request taken over from another node as served here."""
        own = self._members.self_node.id
        holders = [holder for holder in header.holders if holder != own]
        served = ServedCopy(header.request_id, packed, header.epoch, holders)
        self._served[header.request_id] = served
        self._kept.remove(header.request_id)

    def release(self, request_id: str, holders: list[str]) -> None:
        """Leave a request to its new holders and drop the copies of others."""
        served = self._served.pop(request_id, None)
        if served is not None:
            for holder in served.holders:
                if holder not in holders:
                    self._add_drop(holder, served)

    def served_epoch(self, request_id: str) -> int | None:
        """Return the epoch of a request served here, or None."""
        served = self._served.get(request_id)
        return served.epoch if served is not None else None

    def make_handover_header(
        self, request_id: str, server: Node, holders: list[str]
    ) -> ReplicaHeader:
        """Return the header for a change of server; earlier holders are added."""
        served = self._served.get(request_id)
        known = served.holders if served is not None else []
        epoch = served.epoch + 1 if served is not None else 1
        if served is not None:
            served.epoch = epoch
        everyone = tuple(dict.fromkeys([*holders, *known]))[:MAX_REPLICA_HOLDERS]
        return ReplicaHeader(request_id, server.id, server.incarnation, epoch, everyone)

    def holders(self, request_id: str) -> list[str]:
        """Return the nodes that may hold a copy of a request served here."""
        served = self._served.get(request_id)
        return list(served.holders) if served is not None else []

    def flush(self) -> None:
        """Send what keepers must be told about finished requests."""
        drops, self._drops = self._drops, {}
        for holder, items in drops.items():
            gevent.spawn(self._send_drops, holder, items)

    def check(self) -> None:
        """Copy again what has no keeper or whose keeper has changed."""
        self._kept.drop_expired()
        if self._checking:
            return
        self._checking = True
        changed, self._changed = self._changed, False
        try:
            for served in list(self._served.values()):
                record = self._table.get(served.request_id)
                if record is not None and record.finished_at is not None:
                    # Its end was not reported here.
                    self.drop(served.request_id)
                elif changed or not served.copied:
                    self._renew(served)
        finally:
            self._checking = False

    def _renew(self, served: ServedCopy) -> None:
        if served.request_id not in self._served:
            return
        keepers = self._choose(served.request_id)
        if not keepers:
            served.copied = False
            return
        if served.copied and served.holders[0] == keepers[0].id:
            return
        old = [item for item in served.holders[:1] if item != keepers[0].id]
        if self._send(served, keepers[0], CHECK_SECONDS):
            for holder in old:
                self._add_drop(holder, served)
                served.holders.remove(holder)

    def _choose(self, request_id: str) -> list[Node]:
        return choose_backup_nodes(
            request_id, self._members.self_node, self._members.live()
        )

    def _send(self, served: ServedCopy, keeper: Node, timeout: float) -> bool:
        # The holder is noted before the call: a lost reply may hide a copy.
        if keeper.id in served.holders:
            served.holders.remove(keeper.id)
        served.holders.insert(0, keeper.id)
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
            self._network.call(keeper.id, "keeper.copy", body, timeout)
        except StepError as exc:
            log.info(
                "no copy of %s at %s: %s", served.request_id, keeper.id, exc.reason
            )
            return False
        served.copied = True
        if served.request_id not in self._served:
            # It finished while the copy was on its way.
            self._add_drop(keeper.id, served)
        return True

    def _add_drop(self, holder: str, served: ServedCopy, final: bytes = b"") -> None:
        self._queue_drops(holder, [Drop(served.request_id, final, served.epoch)])

    def _queue_drops(self, holder: str, items: list[Drop]) -> None:
        if not self._drops:
            self._timers.after(DROP_SECONDS, self.flush)
        self._drops.setdefault(holder, []).extend(items)

    def _send_drops(self, holder: str, items: list[Drop]) -> None:
        while items:
            part, items = self._split_drops(items)
            body = {
                "drops": [[item.request_id, item.epoch, item.final] for item in part]
            }
            try:
                self._network.call(holder, "keeper.drop", body, DROP_TIMEOUT)
            except StepError:
                self._put_back(holder, part + items)
                return

    def _split_drops(self, items: list[Drop]) -> tuple[list[Drop], list[Drop]]:
        size = 0
        for count, item in enumerate(items[:DROPS_IN_FRAME]):
            size += len(item.final)
            if count and size > DROP_BYTES:
                return items[:count], items[count:]
        return items[:DROPS_IN_FRAME], items[DROPS_IN_FRAME:]

    def _put_back(self, holder: str, items: list[Drop]) -> None:
        """Try again later; a copy whose drop is lost ends with its deadline."""
        for item in items:
            item.attempts += 1
        again = [item for item in items if item.attempts < DROP_ATTEMPTS]
        if again:
            self._queue_drops(holder, again)

    def _note_change(self) -> None:
        self._changed = True

    def _on_copy(self, node_id: str, body: dict) -> dict:
        header = ReplicaHeader.from_body(body)
        own = self._members.self_node.id
        if self._members.leaving:
            raise Refused("keeper.copy", own, "this node is leaving")
        if header.request_id not in self._served:
            self._kept.put(decode_replica(header, body.get("packed")))
        return {}

    def _on_drop(self, node_id: str, body: dict) -> dict:
        for request_id, epoch, final in body["drops"]:
            kept = self._kept.get(request_id)
            if kept is None or kept.header.epoch > epoch:
                continue
            if final:
                self._kept.finish(request_id, final)
            else:
                self._kept.remove(request_id)
        return {}
