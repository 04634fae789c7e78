"""In-memory dependencies of the request path, for tests and the relay benchmark."""

import itertools
from collections import defaultdict

import gevent

from rattanwick.internal.base.errors import Refused, Unavailable
from rattanwick.internal.base.outcomes import NotRun
from rattanwick.internal.base.settings import CallerSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.base.tracing import Tracer
from rattanwick.internal.model.instances import Endpoint, EndpointKind, Node
from rattanwick.internal.model.request_records import RequestRegistry
from rattanwick.internal.model.requests import Placement
from rattanwick.internal.peers.fetch import RequestFetcher
from rattanwick.internal.peers.interfaces import (
    Gossip,
    Members,
    Ownership,
    PeerNetwork,
    RequestReplicator,
)
from rattanwick.internal.peers.replicas import ReplicaStore
from rattanwick.internal.platform.interfaces import InstanceList
from rattanwick.internal.requests.dependencies import RequestDependencies
from rattanwick.internal.requests.interfaces import (
    Allowance,
    BodyMismatch,
    Caller,
    Claimed,
    Claims,
    Grants,
    InProgress,
    PlanDirectory,
    Replayed,
    Reservation,
)
from rattanwick.internal.routing.interfaces import Router


def endpoint(name: str, pool: str, kind: str, port: int, **more) -> Endpoint:
    """Return an endpoint on loopback."""
    place = {"data_centre": "dc-a", "region": "here", "host": "127.0.0.1"}
    return Endpoint(
        id=name, pool=pool, kind=EndpointKind(kind), port=port, **place, **more
    )


def node(name: str, data_centre: str = "dc-a", caller_port: int = 1) -> Node:
    """Return a node on loopback."""
    return Node(name, data_centre, "here", "127.0.0.1", caller_port, 2, 3)


class StaticInstances(InstanceList):
    """Instance list with the endpoints that the test gives."""

    def __init__(self, endpoints: list[Endpoint]):
        self._endpoints = endpoints
        self._callbacks = []

    def endpoints(self, pool=None):
        """Return the endpoints, or those of one pool."""
        return tuple(e for e in self._endpoints if pool in (None, e.pool))

    def replace(self, endpoints: list[Endpoint]) -> None:
        """Replace the endpoints and notify the subscribers."""
        self._endpoints = endpoints
        for callback in self._callbacks:
            callback()

    def nodes(self):
        """Return no nodes."""
        return ()

    def age(self):
        """Return 0: the list is always current."""
        return 0.0

    def subscribe(self, callback):
        """Register a callback for ``replace``."""
        self._callbacks.append(callback)


class FirstFitRouter(Router):
    """Router that chooses the first endpoint not excluded, or the least used one.

    ``retries`` is the retry budget, ``hedge_after`` the hedge delay in seconds and
    ``place_seconds`` the time that each placement takes. Long runs set ``keep_history``
    to False, so that the lists of placements and releases do not grow.
    """

    def __init__(self, instances: InstanceList, least_used: bool = False):
        self._instances = instances
        self._least_used = least_used
        self._ids = itertools.count(1)
        self.in_flight = defaultdict(int)
        self.placements: list[Placement] = []
        self.released: list[tuple[Placement, object]] = []
        self.progress: list[tuple] = []
        self.retries = 100
        self.hedge_after: float | None = None
        self.place_seconds = 0.0
        self.keep_history = True

    def place(self, req, excluded=frozenset()):
        """Return a placement; raise Refused if every endpoint is excluded."""
        if self.place_seconds:
            gevent.sleep(self.place_seconds)
        fit = [e for e in self._instances.endpoints(req.pool) if e.id not in excluded]
        if not fit:
            raise Refused("place", req.pool, "no_endpoint")
        chosen = fit[0]
        if self._least_used:
            chosen = min(fit, key=lambda e: self.in_flight[e.id])
        self.in_flight[chosen.id] += 1
        placement = Placement(str(next(self._ids)), req.id, chosen.id, "")
        if self.keep_history:
            self.placements.append(placement)
        return placement

    def release(self, placement, usage):
        """Free the slot of a placement."""
        self.in_flight[placement.endpoint_id] -= 1
        if self.keep_history:
            self.released.append((placement, usage))

    def report_progress(self, placement, first_token_seconds, seconds_between_tokens):
        """Record the reported token times."""
        self.progress.append((placement, first_token_seconds, seconds_between_tokens))

    def may_retry(self, req):
        """Use one retry; return whether the budget allowed it."""
        self.retries -= 1
        return self.retries >= 0

    def hedge_delay(self, req):
        """Return the delay that the test has set; None for no hedge."""
        return self.hedge_after


class StaticDirectory(PlanDirectory):
    """Plan directory with two callers and the allowances that the test sets."""

    def __init__(self):
        self.callers = {
            "key-a": Caller("org-a", "gold"),
            "key-b": Caller("org-b", "gold"),
        }
        self.pools = {}
        self.default = Allowance(10**9, 10**9, 4096)

    def caller_for_key(self, key):
        """Return the caller of an API key, or None."""
        return self.callers.get(key)

    def allowance(self, plan, pool):
        """Return the allowance of a pool, or a default that no test exhausts."""
        return self.pools.get(pool, self.default)


class CountingGrants(Grants):
    """Grants that allow every reservation unless ``exhausted``, and count tokens."""

    def __init__(self):
        self.reserved = 0
        self.used = 0
        self.open = 0
        self.unrun = 0  # requests refunded because they did not run
        self.exhausted = False

    def reserve(self, plan, pool, tokens):
        """Reserve tokens, or return NotRun if exhausted."""
        if self.exhausted:
            return NotRun("allowance_exhausted", retry_after=3.0)
        self.open += 1
        self.reserved += tokens
        return Reservation(plan, pool, 0, tokens)

    def settle(self, reservation, used_tokens, ran=True):
        """Close a reservation and count the tokens used."""
        self.unrun += not ran
        self.open -= 1
        self.used += used_tokens


class MemoryClaims(Claims):
    """Claims on idempotency keys in memory; ``down`` simulates an outage."""

    def __init__(self):
        self.rows = {}
        self.down = False
        self.settled = []

    def look_up(self, call):
        """Return the state of a key, or None if it can be claimed."""
        self._check_available()
        row = self.rows.get((call.organisation, call.service, call.key))
        if row is None or (row["state"] == "not_run" and self._same(row, call)):
            return None
        if not self._same(row, call):
            return BodyMismatch()
        if row["state"] == "dispatching":
            return InProgress(1.0)
        return Replayed(row["outcome"], row["answer"], row["request_id"])

    def claim(self, call):
        """Claim a free key, or return its state."""
        known = self.look_up(call)
        if known is not None:
            return known
        self.rows[(call.organisation, call.service, call.key)] = {
            "state": "dispatching",
            "digest": call.body_digest,
            "request_id": call.request_id,
        }
        return Claimed(call, call.request_id)

    def settle(self, claimed, outcome, answer):
        """Store the outcome and the answer of a claimed call."""
        call = claimed.call
        row = self.rows[(call.organisation, call.service, call.key)]
        row.update(state=outcome.tag, outcome=outcome, answer=answer)
        self.settled.append(outcome)

    def _same(self, row, call):
        return row["digest"] == call.body_digest

    def _check_available(self):
        if self.down:
            raise Unavailable("claim", "memory claims", "outage")


class StaticMembers(Members):
    """Fixed members; the first of the nodes is this one."""

    def __init__(self, nodes: list[Node]):
        self.nodes = nodes

    @property
    def self_node(self):
        """Return this node."""
        return self.nodes[0]

    def live(self, data_centre=None):
        """Return all nodes, or those of a data centre."""
        return tuple(n for n in self.nodes if data_centre in (None, n.data_centre))

    def get(self, node_id):
        """Return a node by id, or None."""
        return next((n for n in self.nodes if n.id == node_id), None)

    def subscribe(self, callback):
        """Ignore the callback, since the members never change."""


class FirstNodeOwnership(Ownership):
    """Ownership in which the first node of a data centre owns every key."""

    def __init__(self, members: Members):
        self._members = members

    def owner(self, key, data_centre=None):
        """Return the first node of the data centre, or None."""
        return next(iter(self._members.live(data_centre)), None)


class MemoryGossip(Gossip):
    """Gossip that delivers items at once to the subscribers of this object."""

    def __init__(self):
        self._callbacks = defaultdict(list)
        self.published = []

    def publish(self, topic, key, version, body):
        """Record an item and deliver it to the subscribers of its topic."""
        self.published.append((topic, key, version, body))
        for callback in self._callbacks[topic]:
            callback(key, version, body)

    def subscribe(self, topic, callback):
        """Register a subscriber of a topic."""
        self._callbacks[topic].append(callback)


class SharedHandlersNetwork(PeerNetwork):
    """Peer network of one node in a process; all nodes share the dict ``handlers``.

    The dict holds the handlers by (node id, kind of message).
    """

    def __init__(self, node_id: str, handlers: dict):
        self._node_id = node_id
        self._handlers = handlers

    def call(self, node_id, kind, body, timeout):
        """Call the handler of a node; raise Unavailable if it has none."""
        handler = self._handlers.get((node_id, kind))
        if handler is None:
            raise Unavailable(kind, node_id, "no handler registered")
        return handler(self._node_id, body)

    def notify(self, node_id, kind, body):
        """Call the handler of a node and ignore its reply."""
        self.call(node_id, kind, body, 1.0)

    def handle(self, kind, handler):
        """Register a handler of this node."""
        self._handlers[(self._node_id, kind)] = handler


class CountingReplicator(RequestReplicator):
    """Replicator that reports ``copies`` replicas after ``delay`` seconds.

    ``messages`` keeps the newest replica of each request while ``keep_history`` is set.
    """

    def __init__(self):
        self.delay = 0.0
        self.copies = 1
        self.messages = {}
        self.keep_history = True

    def copy(self, message, timeout):
        """Store a replica and return ``copies``, or 0 if the delay is too long."""
        if self.delay:
            gevent.sleep(min(self.delay, timeout))
            if self.delay > timeout:
                return 0
        if self.keep_history:
            self.messages[message["id"]] = message
        return self.copies

    def drop(self, request_id):
        """Drop the replica of a request."""
        self.messages.pop(request_id, None)


def request_dependencies(
    endpoints: list[Endpoint],
    timers: TimerService,
    nodes: list[Node] | None = None,
    handlers: dict | None = None,
    least_used: bool = False,
    **settings,
) -> RequestDependencies:
    """Return the dependencies of the request path of a node.

    ``settings`` are the caller settings that differ from the defaults.
    """
    instances = StaticInstances(endpoints)
    members = StaticMembers(nodes or [node("n1")])
    handlers = {} if handlers is None else handlers
    values = {"address": "127.0.0.1", "port": 1, **settings}
    peers = SharedHandlersNetwork(members.self_node.id, handlers)
    registry = RequestRegistry(timers.now)
    replicas = ReplicaStore(timers.wall_time)
    return RequestDependencies(
        settings=CallerSettings(**values),
        default_deadline_seconds=30.0,
        directory=StaticDirectory(),
        grants=CountingGrants(),
        claims=MemoryClaims(),
        router=FirstFitRouter(instances, least_used),
        instances=instances,
        members=members,
        ownership=FirstNodeOwnership(members),
        peers=peers,
        gossip=MemoryGossip(),
        replicator=CountingReplicator(),
        timers=timers,
        tracer=Tracer(members.self_node.id),
        requests=registry,
        fetcher=RequestFetcher(peers, members, registry, replicas, timers),
    )
