"""Fetch the text of a request from whichever node has it."""

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
MAX_HINTED_NODES = 6  # one for each data centre
MAX_ASKED = 10
PENDING_SECONDS = 0.25  # between questions while a request is taken over
MARGIN_SECONDS = 2.0  # for the reply beyond the wait of a long poll


class FetchState(StrEnum):
    """Tell what the asked node has."""

    HERE = "here"  # at the first of ``nodes``
    ELSEWHERE = "elsewhere"  # ``nodes`` serve it
    PENDING = "pending"  # its node is lost and another takes it over
    ABSENT = "absent"  # ``nodes`` might have it
    UNREACHABLE = "unreachable"  # a node that might have it did not answer


@dataclass(slots=True)
class FetchReply:
    """Hold text from an offset on, in characters, or where to ask."""

    state: FetchState
    text: str = ""
    length: int = 0  # of the text so far
    outcome: Outcome | None = None
    finish_reason: str = ""
    restarted: bool = False
    answer: StoredResponse | None = None
    generations: list[tuple[str, int]] = field(default_factory=list)
    mismatch: bool = False  # the text is of another generation than asked for
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
        """Return the reply of a map; raise ProtocolError."""
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
            raise ProtocolError("request.fetch", peer, f"field is wrong: {exc}")


class RequestFetcher:
    """Answer ``request.fetch`` and ask other nodes with it."""

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
        network.handle("request.fetch", self._on_fetch)

    def fetch(
        self,
        request_id: str,
        organisation: str,
        offset: int,
        wait: float,
        generation: str = "",
    ) -> FetchReply:
        """Return text after an offset, waiting up to ``wait`` seconds for more.

        ``generation`` is the one that the text before the offset came from. The
        reply starts at 0 and is marked where the holder has another text.
        """
        due = self._timers.now() + wait
        while True:
            reply = self._ask_all(request_id, organisation, offset, due, generation)
            left = due - self._timers.now()
            settled = reply.state in (FetchState.HERE, FetchState.ABSENT)
            if settled or left <= 0:
                return reply
            self._timers.sleep(min(PENDING_SECONDS, left))

    def local(
        self,
        request_id: str,
        organisation: str,
        offset: int,
        wait: float,
        generation: str = "",
    ) -> FetchReply:
        """Return what this node has of a request."""
        record = self._table.get(request_id)
        if record is not None:
            if record.req.organisation != organisation:
                return FetchReply(FetchState.ABSENT)
            if record.moved_to and record.output.outcome is None:
                return FetchReply(FetchState.ELSEWHERE, nodes=[record.moved_to])
            record.last_polled_at = self._timers.now()
            if not generation or record.output.contains(generation, offset):
                record.output.wait(offset, min(max(wait, 0.0), MAX_WAIT_SECONDS))
            return self._from_record(record, offset, generation)
        kept = self._kept.get(request_id)
        if kept is not None:
            if kept.organisation != organisation:
                return FetchReply(FetchState.ABSENT)
            return self._from_kept(kept, offset, generation)
        return FetchReply(FetchState.ABSENT, nodes=self._hints(request_id))

    def _hints(self, request_id: str) -> list[str]:
        """Return the nodes that any node would choose as keepers."""
        order = rank_backup_nodes(request_id, self._members.live())
        return [node.id for node in order[:MAX_HINTED_NODES]]

    def _ask_all(
        self,
        request_id: str,
        organisation: str,
        offset: int,
        due: float,
        generation: str,
    ) -> FetchReply:
        """Ask this node, then each node that is named, until one has it."""
        own = self._members.self_node.id
        queue, asked = [own], set()
        worst = FetchReply(FetchState.ABSENT)
        while queue and len(asked) < MAX_ASKED:
            node_id = queue.pop(0)
            if node_id in asked:
                continue
            asked.add(node_id)
            wait = max(due - self._timers.now(), 0.0)
            try:
                reply = self._ask(
                    node_id, request_id, organisation, offset, wait, generation
                )
            except StepError:
                worst = FetchReply(FetchState.UNREACHABLE, nodes=[node_id])
                # The serving node is lost; its keepers may know more.
                queue += [item for item in self._hints(request_id) if item not in asked]
                continue
            if reply.state is FetchState.HERE:
                reply.nodes = [node_id]
                return reply
            if reply.state is FetchState.PENDING:
                worst = reply
            named = [item for item in reply.nodes if item not in asked]
            # A node that is named as serving is asked before mere candidates.
            first = reply.state is FetchState.ELSEWHERE
            queue = named + queue if first else queue + named
        return worst

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
            return self.local(request_id, organisation, offset, wait, generation)
        body = {"id": request_id, "org": organisation, "offset": offset, "wait": wait}
        body["generation"] = generation
        timeout = wait + MARGIN_SECONDS
        reply = self._network.call(node_id, "request.fetch", body, timeout)
        return FetchReply.from_body(reply, node_id)

    def _on_fetch(self, node_id: str, body: dict) -> dict:
        kinds = {"id": str, "org": str, "offset": int}
        for name, kind in kinds.items():
            if type(body.get(name)) is not kind:
                raise ProtocolError("request.fetch", node_id, f"field {name} is wrong")
        wait = body.get("wait")
        if type(wait) not in (int, float) or body["offset"] < 0:
            reason = "field wait or offset is wrong"
            raise ProtocolError("request.fetch", node_id, reason)
        generation = str(body.get("generation", ""))
        reply = self.local(body["id"], body["org"], body["offset"], wait, generation)
        return reply.to_body()

    def _from_record(
        self, record: RequestRecord, offset: int, generation: str
    ) -> FetchReply:
        output = record.output
        if record.moved_to and output.outcome is None:
            # It moved during the wait.
            return FetchReply(FetchState.ELSEWHERE, nodes=[record.moved_to])
        mismatch = bool(generation) and not output.contains(generation, offset)
        start = 0 if mismatch else offset
        text = "".join(part for part, _ in output.parts_after(start))
        return self._here(
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

    def _from_kept(
        self, kept: RequestReplica, offset: int, generation: str
    ) -> FetchReply:
        if kept.final:
            return self._from_final(kept, offset, generation)
        if kept.lost:
            outcome = Unknown("serving_node_lost")
            request = {**kept.content()["request"], "body": {}}
            return FetchReply(FetchState.HERE, outcome=outcome, request=request)
        if self._members.state(kept.header.server) in (None, MemberState.DEAD):
            return FetchReply(FetchState.PENDING, nodes=list(kept.header.holders))
        return FetchReply(FetchState.ELSEWHERE, nodes=[kept.header.server])

    def _from_final(
        self, kept: RequestReplica, offset: int, generation: str
    ) -> FetchReply:
        final = unpack_final(kept.final)
        whole = RequestOutput()
        whole.append(final.text)
        whole.generations = final.generations
        mismatch = bool(generation) and not whole.contains(generation, offset)
        return self._here(
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

    def _here(self, reply: FetchReply) -> FetchReply:
        if len(reply.text) > MAX_TEXT_CHARACTERS:
            # The rest follows with the next question.
            reply.text = reply.text[:MAX_TEXT_CHARACTERS]
            reply.outcome = reply.answer = None
        return reply
