"""Handover of running requests, with the text generated so far, to other nodes."""

from collections.abc import Callable

from rattanwick.internal.base.errors import (
    ConnectionLost,
    Refused,
    StepError,
    TimedOut,
)
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.instances import Node
from rattanwick.internal.model.request_records import RequestRecord, RequestRegistry
from rattanwick.internal.peers.fetch import FetchReply, FetchState, RequestFetcher
from rattanwick.internal.peers.interfaces import PeerNetwork
from rattanwick.internal.peers.members import HeartbeatMembers
from rattanwick.internal.peers.metrics import HANDOVERS
from rattanwick.internal.peers.packing import pack_compressed
from rattanwick.internal.peers.replicas import (
    ReplicaHeader,
    ReplicaStore,
    decode_replica,
)
from rattanwick.internal.peers.replication import (
    PeerRequestReplicator,
    choose_backup_nodes,
)
from rattanwick.internal.peers.takeover import Takeover

log = get_logger("handover")

CALL_TIMEOUT_SECONDS = 1.0
MAX_TARGETS = 4
RELAY_WAIT_SECONDS = 5.0
RELAY_RETRY_SECONDS = 0.2


class Handover:
    """Handover in both roles: sends requests away and accepts those of other nodes."""

    def __init__(
        self,
        network: PeerNetwork,
        members: HeartbeatMembers,
        registry: RequestRegistry,
        replicas: ReplicaStore,
        replicator: PeerRequestReplicator,
        takeover: Takeover,
        fetcher: RequestFetcher,
        timers: TimerService,
    ):
        self._network = network
        self._members = members
        self._registry = registry
        self._replicas = replicas
        self._replicator = replicator
        self._takeover = takeover
        self._fetcher = fetcher
        self._timers = timers
        network.handle("keeper.handover", self._on_handover)

    def hand_over(self, record: RequestRecord) -> Node | None:
        """Hand a request whose generation is stopped over to another node.

        Return the node that now serves it, or None if no node accepted it.
        """
        request_id = record.req.id
        packed = self._pack(record)
        refused_ids: set[str] = set()
        for _ in range(MAX_TARGETS):
            targets = [
                node for node in self.targets(request_id) if node.id not in refused_ids
            ]
            if not targets:
                break
            target = targets[0]
            if self._send(request_id, packed, target, targets):
                backup = self._send_backup(request_id, packed, target, targets[1:])
                self._replicator.release(request_id, [target.id, backup])
                record.moved_to = target.id
                HANDOVERS.labels("accepted").inc()
                return target
            refused_ids.add(target.id)
        HANDOVERS.labels("failed").inc()
        log.error("no node took %s", request_id)
        return None

    def targets(self, request_id: str) -> list[Node]:
        """Return the nodes to hand a request to, in order of preference.

        The backup node comes first, then nodes of a third data centre.
        """
        own = self._members.self_node
        order = choose_backup_nodes(request_id, own, self._members.live())
        holders = self._replicator.holders(request_id)[:1]
        order.sort(key=lambda node: node.id not in holders)
        if not order:
            return []
        used_data_centres = {own.data_centre, order[0].data_centre}
        others = sorted(
            order[1:], key=lambda node: node.data_centre in used_data_centres
        )
        return order[:1] + others

    def relay(self, record: RequestRecord, is_over: Callable[[], bool]) -> None:
        """Copy text from the new serving node until the text ends or ``is_over()``."""
        req, output = record.req, record.output
        while output.outcome is None and not is_over():
            reply = self._fetch_more(record)
            if reply.restarted and not output.restarted:
                # The new serving node was lost too. The text of the next one may
                # differ from what callers here have read, so they start again there.
                log.warning("%s was restarted; its relay ends", req.id)
                return
            if reply.state is FetchState.HERE:
                record.moved_to = reply.nodes[0]
                if reply.mismatch:
                    # The node has the text of another generation. Callers start again
                    # there.
                    return
                self._append_reply(record, reply)
            else:
                self._timers.sleep(RELAY_RETRY_SECONDS)
        if output.outcome is not None:
            self._registry.finish(req.id)

    def _append_reply(self, record: RequestRecord, reply: FetchReply) -> None:
        record.output.append(reply.text)
        record.output.generations = reply.generations
        if reply.outcome is not None:
            record.answer = reply.answer
            record.output.finish(reply.outcome, reply.finish_reason)

    def _fetch_more(self, record: RequestRecord) -> FetchReply:
        req = record.req
        # The fetcher finds the serving node in the record and follows the request
        # if it moves again.
        return self._fetcher.fetch(
            req.id,
            req.organisation,
            record.output.length,
            RELAY_WAIT_SECONDS,
            record.output.generation,
        )

    def _pack(self, record: RequestRecord) -> bytes:
        output = record.output
        return pack_compressed(
            {
                "request": record.req.to_message(),
                "text": output.text(),
                "tokens": output.tokens,
                "restarted": output.restarted,
                "lineage": output.generations,
            }
        )

    def _send(
        self, request_id: str, packed: bytes, target: Node, targets: list[Node]
    ) -> bool:
        holders = [node.id for node in targets[:2]]
        header = self._replicator.make_handover_header(request_id, target, holders)
        body = {**header.to_body(), "packed": packed}
        for _ in range(2):
            try:
                self._network.call(
                    target.id, "keeper.handover", body, CALL_TIMEOUT_SECONDS
                )
                return True
            except (TimedOut, ConnectionLost) as exc:
                # The target accepts a repeat of the same epoch only once, so after
                # a lost reply the request still runs at one node only.
                log.warning("%s", exc)
            except StepError as exc:
                log.warning("%s", exc)
                return False
        return False

    def _send_backup(
        self, request_id: str, packed: bytes, target: Node, others: list[Node]
    ) -> str:
        """Send a replica to a backup node, which runs it if the target is lost.

        Return the id of the backup node, or "" if no node accepted the replica.
        """
        for node in others[:MAX_TARGETS]:
            holders = [target.id, node.id]
            header = self._replicator.make_handover_header(request_id, target, holders)
            body = {**header.to_body(), "packed": packed}
            try:
                self._network.call(
                    node.id, "keeper.handover", body, CALL_TIMEOUT_SECONDS
                )
                return node.id
            except StepError as exc:
                log.warning("%s", exc)
        log.warning("no backup node for %s", request_id)
        return ""

    def _on_handover(self, node_id: str, body: dict) -> dict:
        own = self._members.self_node.id
        if self._members.leaving:
            raise Refused("keeper.handover", own, "this node is leaving")
        replica = decode_replica(ReplicaHeader.from_body(body), body.get("packed"))
        request_id = replica.header.request_id
        if self._runs_or_finished(request_id):
            # A repeat, because the reply to the first message was lost.
            return {}
        if replica.header.holders[0] == own:
            self._takeover.run(replica, exact=True)
        else:
            self._replicas.put(replica)
        return {}

    def _runs_or_finished(self, request_id: str) -> bool:
        """Return whether this node runs the request or has finished it."""
        record = self._registry.get(request_id)
        finished = record is not None and record.output.outcome is not None
        return finished or self._replicator.served_epoch(request_id) is not None
