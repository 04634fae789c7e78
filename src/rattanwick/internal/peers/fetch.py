"""Fetch of a request's text and answer from the node that has it."""

from dataclasses import dataclass, field
from enum import StrEnum

from rattanwick.internal.base.errors import ProtocolError, StepError
from rattanwick.internal.base.outcomes import Outcome, Unknown, outcome_from_tag
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.request_records import (
    RequestOutput,
    RequestRecord,
    RequestRegistry,
    StoredResponse,
)
from rattanwick.internal.peers.final_answers import (
    pack_answer,
    unpack_answer,
    unpack_final,
    unpack_generations,
)
from rattanwick.internal.peers.interfaces import PeerNetwork
from rattanwick.internal.peers.member_records import MemberState
from rattanwick.internal.peers.members import HeartbeatMembers
from rattanwick.internal.peers.replicas import ReplicaStore, RequestReplica
from rattanwick.internal.peers.replication import rank_backup_nodes

MAX_WAIT_SECONDS = 30.0
MAX_TEXT_CHARACTERS = 128 << 10
MAX_HINTED_NODES = 6  # one in each data centre
MAX_ASKED_NODES = 10
PENDING_INTERVAL_SECONDS = 0.25  # between fetches while a request is taken over
REPLY_MARGIN_SECONDS = 2.0  # added to the wait of a long poll for its reply


class FetchState(StrEnum):
    """What the asked node has of a request."""

    HERE = "here"  # the asked node has it; ``fetch`` puts it into ``nodes``
    ELSEWHERE = "elsewhere"  # one of ``nodes`` serves it
    PENDING = "pending"  # its serving node is lost; one of ``nodes`` takes over
    ABSENT = "absent"  # the asked node does not have it; ``nodes`` might
    UNREACHABLE = "unreachable"  # a node that might have it did not reply


@dataclass(slots=True)
class FetchReply:
    """Text from an offset in characters, with the outcome, or other nodes to ask."""

    state: FetchState
    text: str = ""
    length: int = 0  # of the text so far
    outcome: Outcome | None = None
    finish_reason: str = ""
    restarted: bool = False
    answer: StoredResponse | None = None
    generations: list[tuple[str, int]] = field(default_factory=list)
    # The text is of another generation than requested, and starts at offset 0.
    mismatch: bool = False
    tokens: int = 0
    request: dict = field(default_factory=dict)  # without its body
    nodes: list[str] = field(default_factory=list)

    def to_body(self) -> dict:
        """Return a map for msgpack."""
        return {
            "state": str(self.state),
            "text": self.text,
            "length": self.length,
            "tag": self.outcome.tag if self.outcome else "",
            "reason": getattr(self.outcome, "reason", ""),
            "finish_reason": self.finish_reason,
            "restarted": self.restarted,
            "answer": pack_answer(self.answer),
            "lineage": self.generations,
            "mismatch": self.mismatch,
            "tokens": self.tokens,
            "request": self.request,
            "nodes": self.nodes,
        }

    @classmethod
    def from_body(cls, body: dict, peer: str) -> "FetchReply":
        """Decode a reply; raise ProtocolError if a field is missing or invalid."""
        try:
            tag = body["tag"]
            return cls(
                FetchState(body["state"]),
                body["text"],
                body["length"],
                outcome_from_tag(tag, body["reason"]) if tag else None,
                body["finish_reason"],
                body["restarted"],
                unpack_answer(body["answer"]),
                unpack_generations(body["lineage"]),
                body["mismatch"],
                body["tokens"],
                body["request"],
                body["nodes"],
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise ProtocolError(
                "request.fetch", peer, f"field is missing or invalid: {exc}"
            )


class RequestFetcher:
    """Client and handler of the message ``request.fetch``."""

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
        network.handle("request.fetch", self._on_fetch)

    def fetch(
        self,
        request_id: str,
        organisation: str,
        offset: int,
        wait: float,
        generation: str = "",
    ) -> FetchReply:
        """Return the text after an offset; wait up to ``wait`` seconds for more.

        ``generation`` is the id of the generation that produced the text before the
        offset. If the node has the text of another generation, the reply starts at
        offset 0 and has ``mismatch`` set.
        """
        deadline = self._timers.now() + wait
        while True:
            reply = self._ask_all(
                request_id, organisation, offset, deadline, generation
            )
            remaining = deadline - self._timers.now()
            is_final = reply.state in (FetchState.HERE, FetchState.ABSENT)
            if is_final or remaining <= 0:
                return reply
            self._timers.sleep(min(PENDING_INTERVAL_SECONDS, remaining))

    def fetch_local(
        self,
        request_id: str,
        organisation: str,
        offset: int,
        wait: float,
        generation: str = "",
    ) -> FetchReply:
        """Return what this node has; wait up to ``wait`` seconds for more text."""
        record = self._registry.get(request_id)
        if record is not None:
            if record.req.organisation != organisation:
                return FetchReply(FetchState.ABSENT)
            if record.moved_to and record.output.outcome is None:
                return FetchReply(FetchState.ELSEWHERE, nodes=[record.moved_to])
            record.last_polled_at = self._timers.now()
            if not generation or record.output.contains(generation, offset):
                record.output.wait(offset, min(max(wait, 0.0), MAX_WAIT_SECONDS))
            return self._from_record(record, offset, generation)
        replica = self._replicas.get(request_id)
        if replica is not None:
            if replica.organisation != organisation:
                return FetchReply(FetchState.ABSENT)
            return self._from_replica(replica, offset, generation)
        return FetchReply(FetchState.ABSENT, nodes=self._hinted_nodes(request_id))

    def _hinted_nodes(self, request_id: str) -> list[str]:
        """Return the ids of the nodes that any serving node would choose as backup."""
        order = rank_backup_nodes(request_id, self._members.live())
        return [node.id for node in order[:MAX_HINTED_NODES]]

    def _ask_all(
        self,
        request_id: str,
        organisation: str,
        offset: int,
        deadline: float,
        generation: str,
    ) -> FetchReply:
        """Ask this node, then the nodes named in replies, until one has the request."""
        own = self._members.self_node.id
        queue, asked = [own], set()
        fallback = FetchReply(FetchState.ABSENT)
        while queue and len(asked) < MAX_ASKED_NODES:
            node_id = queue.pop(0)
            if node_id in asked:
                continue
            asked.add(node_id)
            wait = max(deadline - self._timers.now(), 0.0)
            try:
                reply = self._ask(
                    node_id, request_id, organisation, offset, wait, generation
                )
            except StepError:
                fallback = FetchReply(FetchState.UNREACHABLE, nodes=[node_id])
                # The node may be the lost serving node; the backup nodes may know more.
                queue += [
                    item for item in self._hinted_nodes(request_id) if item not in asked
                ]
                continue
            if reply.state is FetchState.HERE:
                reply.nodes = [node_id]
                return reply
            if reply.state is FetchState.PENDING:
                fallback = reply
            named = [item for item in reply.nodes if item not in asked]
            # A node named as the serving node is asked before the others.
            is_serving_node_named = reply.state is FetchState.ELSEWHERE
            queue = named + queue if is_serving_node_named else queue + named
        return fallback

    def _ask(
        self,
        node_id: str,
        request_id: str,
        organisation: str,
        offset: int,
        wait: float,
        generation: str,
    ) -> FetchReply:
        if node_id == self._members.self_node.id:
            return self.fetch_local(request_id, organisation, offset, wait, generation)
        body = {"id": request_id, "org": organisation, "offset": offset, "wait": wait}
        body["generation"] = generation
        timeout = wait + REPLY_MARGIN_SECONDS
        reply = self._network.call(node_id, "request.fetch", body, timeout)
        return FetchReply.from_body(reply, node_id)

    def _on_fetch(self, node_id: str, body: dict) -> dict:
        kinds = {"id": str, "org": str, "offset": int}
        for name, kind in kinds.items():
            if type(body.get(name)) is not kind:
                raise ProtocolError(
                    "request.fetch", node_id, f"field {name} is missing or invalid"
                )
        wait = body.get("wait")
        if type(wait) not in (int, float) or body["offset"] < 0:
            reason = "field wait or offset is invalid"
            raise ProtocolError("request.fetch", node_id, reason)
        generation = str(body.get("generation", ""))
        reply = self.fetch_local(
            body["id"], body["org"], body["offset"], wait, generation
        )
        return reply.to_body()

    def _from_record(
        self, record: RequestRecord, offset: int, generation: str
    ) -> FetchReply:
        output = record.output
        if record.moved_to and output.outcome is None:
            # The request was handed over during the wait.
            return FetchReply(FetchState.ELSEWHERE, nodes=[record.moved_to])
        mismatch = bool(generation) and not output.contains(generation, offset)
        start = 0 if mismatch else offset
        text = "".join(part for part, _ in output.parts_after(start))
        return self._limit_text(
            FetchReply(
                FetchState.HERE,
                text,
                output.length,
                output.outcome,
                output.finish_reason,
                output.restarted,
                record.answer,
                list(output.generations),
                mismatch,
                output.tokens,
                {**record.req.to_message(), "body": {}},
            )
        )

    def _from_replica(
        self, replica: RequestReplica, offset: int, generation: str
    ) -> FetchReply:
        if replica.final:
            return self._from_final(replica, offset, generation)
        if replica.lost:
            outcome = Unknown("serving_node_lost")
            request = {**replica.content()["request"], "body": {}}
            return FetchReply(FetchState.HERE, outcome=outcome, request=request)
        if self._members.state(replica.header.server) in (None, MemberState.DEAD):
            return FetchReply(FetchState.PENDING, nodes=list(replica.header.holders))
        return FetchReply(FetchState.ELSEWHERE, nodes=[replica.header.server])

    def _from_final(
        self, replica: RequestReplica, offset: int, generation: str
    ) -> FetchReply:
        final = unpack_final(replica.final)
        full_output = RequestOutput()
        full_output.append(final.text)
        full_output.generations = final.generations
        mismatch = bool(generation) and not full_output.contains(generation, offset)
        return self._limit_text(
            FetchReply(
                FetchState.HERE,
                final.text[0 if mismatch else offset :],
                len(final.text),
                final.outcome,
                final.finish_reason,
                final.restarted,
                final.answer,
                final.generations,
                mismatch,
                final.tokens,
                final.request,
            )
        )

    def _limit_text(self, reply: FetchReply) -> FetchReply:
        if len(reply.text) > MAX_TEXT_CHARACTERS:
            # The next fetch returns the rest.
            reply.text = reply.text[:MAX_TEXT_CHARACTERS]
            reply.outcome = reply.answer = None
        return reply
