"""Take over requests whose serving node is gone.

Rule: each change of server or keeper raises the epoch of a request, and the copy
of an epoch lists its holders in order. A holder runs a request only after the
serving process is dead (or was replaced by a newer process of the same node) and
after every other live node that may hold a copy has said that it neither runs nor
finished it, and has no copy of a higher rank (higher epoch, then earlier in the
list of holders). A holder that hears of a higher rank waits and asks again, and so
does one that gets no answer from a node that counts as live, up to
MAX_UNANSWERED_CLAIMS times; then a second run is better than a lost request. Of two
holders that hear each other only one runs the request. Holders that cannot hear
each other (a partition) may both run it, which is why only idempotent requests
are run again.
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

CLAIM_SECONDS = 1.0
CLAIM_RETRY_SECONDS = 1.0
MAX_UNANSWERED_CLAIMS = 6
ASKED_CANDIDATES = 6  # one for each data centre
RestartCallback = Callable[[ServingRequest], None]
ResumeCallback = Callable[[ServingRequest, RequestOutput], None]


class HolderState(StrEnum):
    """Tell what a node has of a request."""

    NONE = "none"
    KEPT = "kept"
    RUNNING = "running"
    FINISHED = "finished"


@dataclass(slots=True, frozen=True)
class HolderAnswer:
    """Hold the reply of another node to a claim."""

    node_id: str
    state: HolderState
    rank: tuple[int, int]

    @classmethod
    def from_body(cls, node_id: str, body: dict) -> "HolderAnswer":
        """Return the answer of a map; raise ProtocolError."""
        try:
            state = HolderState(body["state"])
            return cls(node_id, state, (int(body["epoch"]), int(body["position"])))
        except (KeyError, TypeError, ValueError) as exc:
            raise ProtocolError("keeper.claim", node_id, f"field is wrong: {exc}")


class Takeover:
    """Watch the serving nodes of copies and run what they left behind."""

    def __init__(
        self,
        network: PeerNetwork,
        members: HeartbeatMembers,
        table: RequestRegistry,
        replicas: ReplicaStore,
        replicator: PeerRequestReplicator,
        timers: TimerService,
        restart: RestartCallback,
        resume: ResumeCallback,
    ):
        self._network = network
        self._members = members
        self._table = table
        self._kept = replicas
        self._keepers = replicator
        self._timers = timers
        self._restart = restart
        self._resume = resume
        network.handle("keeper.claim", self._on_claim)
        members.subscribe(self.check)
        timers.subscribe("takeover", CLAIM_RETRY_SECONDS, self.check)

    def check(self) -> None:
        """Start a claim for each copy whose serving process is gone."""
        now = self._timers.now()
        for kept in self._kept.all():
            due = not (kept.final or kept.lost or kept.claiming)
            if due and kept.retry_at <= now and self._is_server_gone(kept):
                kept.claiming = True
                gevent.spawn(self._claim, kept)

    def run(self, kept: RequestReplica, exact: bool) -> None:
        """Run a request here from the copy's text, or from the start.

        ``exact`` tells that no node can have given out more text than the copy has;
        otherwise the answer counts as restarted.
        """
        content = kept.content()
        req = ServingRequest.from_message(content["request"])
        own = self._members.self_node
        header = replace(
            kept.header,
            server=own.id,
            server_start=own.incarnation,
            epoch=kept.header.epoch + 1,
        )
        self._keepers.take_over_replica(header, kept.packed)
        if not kept.has_partial_text:
            RESTARTS.labels("restarted").inc()
            log.warning("restarting %s of %s", req.id, kept.header.server)
            gevent.spawn(self._restart, req)
            return
        output = RequestOutput()
        output.append(content["text"])
        output.tokens = content["tokens"]
        output.restarted = content["restarted"] or not exact
        output.generations = unpack_generations(content["lineage"])
        self._table.put(RequestRecord(req, output))
        RESTARTS.labels("resumed").inc()
        log.info("resuming %s at %d characters", req.id, output.length)
        gevent.spawn(self._resume, req, output)

    def _is_server_gone(self, kept: RequestReplica) -> bool:
        state = self._members.state(kept.header.server)
        if state is MemberState.DEAD:
            return True
        node = self._members.get(kept.header.server)
        replaced = node is not None and node.incarnation > kept.header.server_start
        if state is not None and replaced:
            return True
        # The first holder that is leaving hands over itself, or says that it has
        # nothing; _claim asks it.
        leaving = state in (MemberState.LEAVING, MemberState.LEAVING_SUSPECT)
        return leaving and kept.has_partial_text

    def _claim(self, kept: RequestReplica) -> None:
        try:
            asking = [
                gevent.spawn(self._ask, kept, node_id) for node_id in self._others(kept)
            ]
            gevent.joinall(asking)
            if self._kept.get(kept.header.request_id) is kept:
                self._decide(kept, [task.value for task in asking])
        finally:
            kept.claiming = False
            kept.retry_at = self._timers.now() + CLAIM_RETRY_SECONDS

    def _others(self, kept: RequestReplica) -> list[str]:
        """Return the live nodes that may hold or run the request."""
        order = rank_backup_nodes(kept.header.request_id, self._members.live())
        candidates = [node.id for node in order[:ASKED_CANDIDATES]]
        ids = dict.fromkeys([*kept.header.holders, kept.header.server, *candidates])
        ids.pop(self._members.self_node.id, None)
        gone = (None, MemberState.DEAD)
        return [item for item in ids if self._members.state(item) not in gone]

    def _ask(self, kept: RequestReplica, node_id: str) -> HolderAnswer | None:
        body = {"id": kept.header.request_id}
        try:
            reply = self._network.call(node_id, "keeper.claim", body, CLAIM_SECONDS)
            return HolderAnswer.from_body(node_id, reply)
        except StepError as exc:
            log.info("claim of %s: %s", kept.header.request_id, exc)
            return None

    def _decide(self, kept: RequestReplica, answers: list[HolderAnswer | None]) -> None:
        """Run the request, wait, or follow the node that runs it."""
        own = kept.header.rank(self._members.self_node.id)
        heard = [item for item in answers if item is not None]
        for answer in heard:
            if answer.state in (HolderState.RUNNING, HolderState.FINISHED):
                self._follow(kept, answer.node_id)
                return
        if any(item.state is HolderState.KEPT and item.rank > own for item in heard):
            return
        if len(heard) < len(answers) and kept.unanswered < MAX_UNANSWERED_CLAIMS:
            kept.unanswered += 1
            return
        if not self._is_server_gone(kept):
            return
        if not kept.idempotent or kept.deadline < self._timers.wall_time():
            kept.lost = True
            RESTARTS.labels("not_restarted").inc()
            return
        self.run(kept, exact=False)

    def _follow(self, kept: RequestReplica, node_id: str) -> None:
        node = self._members.get(node_id)
        if node is not None:
            kept.header.server = node_id
            kept.header.server_start = node.incarnation

    def _on_claim(self, node_id: str, body: dict) -> dict:
        request_id = body["id"]
        state, rank = self._own_state(request_id)
        return {"state": str(state), "epoch": rank[0], "position": rank[1]}

    def _own_state(self, request_id: str) -> tuple[HolderState, tuple[int, int]]:
        kept = self._kept.get(request_id)
        if kept is not None and kept.final:
            return HolderState.FINISHED, (kept.header.epoch, 0)
        epoch = self._keepers.served_epoch(request_id)
        if epoch is not None:
            return HolderState.RUNNING, (epoch, 0)
        record = self._table.get(request_id)
        if record is not None and record.output.outcome is not None:
            return HolderState.FINISHED, (0, 0)
        if kept is None or kept.lost:
            return HolderState.NONE, (0, 0)
        return HolderState.KEPT, kept.header.rank(self._members.self_node.id)
