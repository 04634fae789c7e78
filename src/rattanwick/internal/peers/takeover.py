"""Takeover of requests whose serving node is lost, by the holders of replicas.

Each change of the serving node or of the backup node raises the epoch of a request,
and each replica lists the holders of its epoch in order. A holder runs a request
only if two conditions are met:

- The serving process is dead, or a newer process of the same node has replaced it.
- Every other live node that may hold a replica has answered that it neither runs
  nor has finished the request and holds no replica of a higher rank (a higher epoch,
  then an earlier position in the list of holders).

A holder that learns of a higher rank waits and asks again. A holder that gets no reply
from a live node also asks again, up to MAX_UNANSWERED_CLAIMS times. After that it runs
the request, because running it twice is better than losing it. Of two holders that can
reach each other, only one runs the request. Holders on both sides of a partition may
both run it, so only idempotent requests are run again.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

import gevent

from rattanwick.internal.base.errors import ProtocolError, StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.request_records import (
    RequestOutput,
    RequestRecord,
    RequestRegistry,
)
from rattanwick.internal.model.requests import ServingRequest
from rattanwick.internal.peers.final_answers import unpack_generations
from rattanwick.internal.peers.interfaces import PeerNetwork
from rattanwick.internal.peers.member_records import MemberState
from rattanwick.internal.peers.members import HeartbeatMembers
from rattanwick.internal.peers.metrics import RESTARTS
from rattanwick.internal.peers.replicas import ReplicaStore, RequestReplica
from rattanwick.internal.peers.replication import (
    PeerRequestReplicator,
    rank_backup_nodes,
)

log = get_logger("keepers")

CLAIM_TIMEOUT_SECONDS = 1.0
CLAIM_RETRY_SECONDS = 1.0
MAX_UNANSWERED_CLAIMS = 6
MAX_CLAIM_CANDIDATES = 6  # one in each data centre
RestartCallback = Callable[[ServingRequest], None]
ResumeCallback = Callable[[ServingRequest, RequestOutput], None]


class HolderState(StrEnum):
    """What a node has of a request."""

    NONE = "none"
    REPLICA = "kept"
    RUNNING = "running"
    FINISHED = "finished"


@dataclass(slots=True, frozen=True)
class ClaimReply:
    """Reply of another node to a claim.

    ``rank`` is (epoch, negative position among the holders); the highest rank wins.
    """

    node_id: str
    state: HolderState
    rank: tuple[int, int]

    @classmethod
    def from_body(cls, node_id: str, body: dict) -> "ClaimReply":
        """Decode a reply; raise ProtocolError if a field is missing or invalid."""
        try:
            state = HolderState(body["state"])
            return cls(node_id, state, (int(body["epoch"]), int(body["position"])))
        except (KeyError, TypeError, ValueError) as exc:
            raise ProtocolError(
                "keeper.claim", node_id, f"field is missing or invalid: {exc}"
            )


class Takeover:
    """Runs requests of lost serving nodes whose replicas are held here."""

    def __init__(
        self,
        network: PeerNetwork,
        members: HeartbeatMembers,
        registry: RequestRegistry,
        replicas: ReplicaStore,
        replicator: PeerRequestReplicator,
        timers: TimerService,
        restart: RestartCallback,
        resume: ResumeCallback,
    ):
        self._network = network
        self._members = members
        self._registry = registry
        self._replicas = replicas
        self._replicator = replicator
        self._timers = timers
        self._restart = restart
        self._resume = resume
        network.handle("keeper.claim", self._on_claim)
        members.subscribe(self.check)
        timers.subscribe("takeover", CLAIM_RETRY_SECONDS, self.check)

    def check(self) -> None:
        """Start a claim for each replica whose serving process is gone."""
        now = self._timers.now()
        for replica in self._replicas.all():
            pending = not (replica.final or replica.lost or replica.claiming)
            if pending and replica.retry_at <= now and self._is_server_gone(replica):
                replica.claiming = True
                gevent.spawn(self._claim, replica)

    def run(self, replica: RequestReplica, exact: bool) -> None:
        """Run a request here, from the text of the replica or from the start.

        ``exact`` means that no node can have sent more text to callers than the
        replica has; otherwise the answer is marked as restarted.
        """
        content = replica.content()
        req = ServingRequest.from_message(content["request"])
        own = self._members.self_node
        header = replace(
            replica.header,
            server=own.id,
            server_start=own.incarnation,
            epoch=replica.header.epoch + 1,
        )
        self._replicator.take_over_replica(header, replica.packed)
        if not replica.has_partial_text:
            RESTARTS.labels("restarted").inc()
            log.warning(
                "restarting %s: serving node %s is lost", req.id, replica.header.server
            )
            gevent.spawn(self._restart, req)
            return
        output = RequestOutput()
        output.append(content["text"])
        output.tokens = content["tokens"]
        output.restarted = content["restarted"] or not exact
        output.generations = unpack_generations(content["lineage"])
        self._registry.put(RequestRecord(req, output))
        RESTARTS.labels("resumed").inc()
        log.info("resuming %s after %d characters", req.id, output.length)
        gevent.spawn(self._resume, req, output)

    def _is_server_gone(self, replica: RequestReplica) -> bool:
        state = self._members.state(replica.header.server)
        if state is MemberState.DEAD:
            return True
        node = self._members.get(replica.header.server)
        replaced = node is not None and node.incarnation > replica.header.server_start
        if state is not None and replaced:
            return True
        # A serving node that is leaving hands the request over itself if it has it;
        # otherwise its reply to the claim says that it has nothing.
        leaving = state in (MemberState.LEAVING, MemberState.LEAVING_SUSPECT)
        return leaving and replica.has_partial_text

    def _claim(self, replica: RequestReplica) -> None:
        try:
            tasks = [
                gevent.spawn(self._ask, replica, node_id)
                for node_id in self._possible_holders(replica)
            ]
            gevent.joinall(tasks)
            if self._replicas.get(replica.header.request_id) is replica:
                self._decide(replica, [task.value for task in tasks])
        finally:
            replica.claiming = False
            replica.retry_at = self._timers.now() + CLAIM_RETRY_SECONDS

    def _possible_holders(self, replica: RequestReplica) -> list[str]:
        """Return the ids of other live nodes that may hold or run the request."""
        order = rank_backup_nodes(replica.header.request_id, self._members.live())
        candidates = [node.id for node in order[:MAX_CLAIM_CANDIDATES]]
        ids = dict.fromkeys(
            [*replica.header.holders, replica.header.server, *candidates]
        )
        ids.pop(self._members.self_node.id, None)
        lost_states = (None, MemberState.DEAD)
        return [item for item in ids if self._members.state(item) not in lost_states]

    def _ask(self, replica: RequestReplica, node_id: str) -> ClaimReply | None:
        body = {"id": replica.header.request_id}
        try:
            reply = self._network.call(
                node_id, "keeper.claim", body, CLAIM_TIMEOUT_SECONDS
            )
            return ClaimReply.from_body(node_id, reply)
        except StepError as exc:
            log.info(
                "no reply to the claim of request %s: %s",
                replica.header.request_id,
                exc,
            )
            return None

    def _decide(
        self, replica: RequestReplica, replies: list[ClaimReply | None]
    ) -> None:
        """Run the request, wait for the next claim, or record the node that has it."""
        own_rank = replica.header.rank(self._members.self_node.id)
        received = [item for item in replies if item is not None]
        for reply in received:
            if reply.state in (HolderState.RUNNING, HolderState.FINISHED):
                self._set_server(replica, reply.node_id)
                return
        if any(
            item.state is HolderState.REPLICA and item.rank > own_rank
            for item in received
        ):
            return
        if len(received) < len(replies) and replica.unanswered < MAX_UNANSWERED_CLAIMS:
            replica.unanswered += 1
            return
        if not self._is_server_gone(replica):
            return
        if not replica.idempotent or replica.deadline < self._timers.wall_time():
            replica.lost = True
            RESTARTS.labels("not_restarted").inc()
            return
        self.run(replica, exact=False)

    def _set_server(self, replica: RequestReplica, node_id: str) -> None:
        node = self._members.get(node_id)
        if node is not None:
            replica.header.server = node_id
            replica.header.server_start = node.incarnation

    def _on_claim(self, node_id: str, body: dict) -> dict:
        request_id = body["id"]
        state, rank = self._own_state(request_id)
        return {"state": str(state), "epoch": rank[0], "position": rank[1]}

    def _own_state(self, request_id: str) -> tuple[HolderState, tuple[int, int]]:
        replica = self._replicas.get(request_id)
        if replica is not None and replica.final:
            return HolderState.FINISHED, (replica.header.epoch, 0)
        epoch = self._replicator.served_epoch(request_id)
        if epoch is not None:
            return HolderState.RUNNING, (epoch, 0)
        record = self._registry.get(request_id)
        if record is not None and record.output.outcome is not None:
            return HolderState.FINISHED, (0, 0)
        if replica is None or replica.lost:
            return HolderState.NONE, (0, 0)
        return HolderState.REPLICA, replica.header.rank(self._members.self_node.id)
