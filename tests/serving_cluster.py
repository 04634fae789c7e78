"""Peers that serve requests with a generator of fixed text, for tests."""

import gevent

from rattanwick.internal.base.errors import Refused
from rattanwick.internal.base.outcomes import Answered
from rattanwick.internal.base.settings import DrainSettings
from rattanwick.internal.model.instances import Node
from rattanwick.internal.model.request_records import RequestRecord, RequestRegistry
from rattanwick.internal.model.requests import RequestKind, ServingRequest
from rattanwick.internal.peers.components import build_peers
from rattanwick.internal.peers.drain import DrainCallbacks, NodeDrain
from rattanwick.internal.peers.member_records import MemberState
from tests.peer_cluster import (
    SECRET,
    GeventTimerService,
    StaticInstances,
    make_node,
    make_settings,
    wait_until,
)

WORDS = 20
WORD_SECONDS = 0.012
FULL_TEXT = "".join(f"w{i} " for i in range(WORDS))


def make_request(request_id: str, timers, **values) -> ServingRequest:
    """Return a streamed chat request that ends within a minute."""
    now = timers.wall_time()
    return ServingRequest(
        id=request_id,
        kind=RequestKind.CHAT,
        organisation=values.pop("organisation", "butchers"),
        plan="plan",
        pool="pool",
        body={"messages": [{"role": "user", "content": "blade steel?"}]},
        stream=True,
        deadline=now + 60,
        received=now,
        prompt_tokens=5,
        max_output_tokens=WORDS,
        **values,
    )


class ServingPeer:
    """A node's peer components, with a generator that emits one word at a time."""

    def __init__(self, node: Node, listed: dict[str, Node], timers):
        self.node = node
        self.timers = timers
        self.table = RequestRegistry(timers.now)
        self.started: list[tuple[str, int]] = []  # (request id, words at the start)
        self.moved: list[tuple[str, str]] = []
        self.settled: list[dict] = []
        self.leases_hang = False
        self.refuses_settlements = False
        self.pending = [{"claim": "c1"}]
        self._running: dict[str, gevent.Greenlet] = {}
        self.parts = build_peers(
            make_settings(node),
            node,
            SECRET,
            StaticInstances(listed),
            timers,
            self.table,
            lambda: 1,
            self.restart,
            self.generate,
        )
        self.parts.network.handle("claims.settle", self._on_settle)
        self.parts.start()

    def serve(self, request_id: str, **values) -> RequestRecord:
        """Accept a request as the node of its caller does."""
        req = make_request(request_id, self.timers, **values)
        record = RequestRecord(req)
        self.table.put(record)
        self.parts.replicator.copy(req.to_message(), 1.0)
        self.generate(req, record.output)
        return record

    def restart(self, req) -> None:
        """Run a request again from the start."""
        record = RequestRecord(req)
        record.output.restarted = True
        self.table.put(record)
        self.generate(req, record.output)

    def generate(self, req, output) -> None:
        """Continue the text of a request in a task of its own."""
        words = len(output.text().split())
        self.started.append((req.id, words))
        self._running[req.id] = gevent.spawn(self._generate, req, output, words)

    def stop_generation(self, request_id: str) -> bool:
        """Stop the generation of a request."""
        self._running.pop(request_id).kill()
        return True

    def drain(self) -> NodeDrain:
        """Return a drain of this node, with callbacks that record what it does."""
        steps = DrainCallbacks(
            withdraw=lambda: None,
            release_leases=lambda: gevent.sleep(60) if self.leases_hang else None,
            return_grants=lambda: None,
            pending_settlements=lambda: list(self.pending),
            stop_generation=self.stop_generation,
            resume=self.generate,
            redirect_callers=lambda *moved: self.moved.append(moved),
        )
        parts = self.parts
        return NodeDrain(
            DrainSettings(),
            parts.network,
            parts.members,
            self.table,
            parts.replicator,
            parts.handover,
            parts.replica_transfer,
            steps,
            self.timers,
        )

    def crash(self) -> None:
        """Stop everything without notifying the other nodes."""
        for task in self._running.values():
            task.kill()
        for subscription in self.parts.members._subscriptions:
            subscription.cancel()
        self.parts.network.stop()

    def fetch_all(self, request_id: str, organisation: str = "butchers"):
        """Fetch an answer to its end; return the complete text and the last reply."""
        text = ""
        while True:
            reply = self.parts.fetcher.fetch(request_id, organisation, len(text), 5.0)
            text += reply.text
            if reply.outcome is not None or reply.state != "here":
                return text, reply

    def _generate(self, req, output, words: int) -> None:
        for index in range(words, WORDS):
            gevent.sleep(WORD_SECONDS)
            output.append(f"w{index} ")
        output.finish(Answered())
        self.table.finish(req.id)
        self.parts.replicator.drop(req.id)

    def _on_settle(self, node_id: str, body: dict) -> None:
        if self.refuses_settlements:
            raise Refused("settle", self.node.id, "draining")
        self.settled.append(body)


class ServingCluster:
    """Several serving peers in one process."""

    def __init__(self, count: int, data_centres: int = 3):
        self.timers = GeventTimerService()
        self.listed: dict[str, Node] = {}
        self.peers: dict[str, ServingPeer] = {}
        for index in range(count):
            node = make_node(f"n{index}", f"dc-{index % data_centres}")
            self.listed[node.id] = node
            self.peers[node.id] = ServingPeer(node, self.listed, self.timers)
        if not wait_until(self._all_live):
            raise AssertionError("not all peers see each other as live")

    def copy_holders(self, request_id: str) -> list[ServingPeer]:
        """Return the peers that have a replica of a request."""
        return [p for p in self.peers.values() if p.parts.replicas.get(request_id)]

    def runs(self, request_id: str) -> list[tuple[str, int]]:
        """Return each start of generation as (node id, words at the start)."""
        return [
            (peer.node.id, words)
            for peer in self.peers.values()
            for started, words in peer.started
            if started == request_id
        ]

    def wait_dead(self, node_id: str, observer: ServingPeer) -> bool:
        """Wait until the observer considers a node dead; return whether it did."""
        members = observer.parts.members
        return wait_until(lambda: members.state(node_id) is MemberState.DEAD)

    def stop(self) -> None:
        """Stop all peers."""
        for peer in self.peers.values():
            peer.crash()
        self.timers.stop()

    def _all_live(self) -> bool:
        count = len(self.peers)
        return all(
            len(peer.parts.members.live()) == count for peer in self.peers.values()
        )
