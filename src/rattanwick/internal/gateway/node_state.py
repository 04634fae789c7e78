"""State of a node that its components share."""

import time
from collections import deque
from dataclasses import dataclass, field

from gevent.event import Event

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.gateway.body_memory import BodyMemory
from rattanwick.internal.gateway.connection_pool import ConnectionPool
from rattanwick.internal.gateway.crash_guard import CrashGuard
from rattanwick.internal.gateway.endpoint_directory import EndpointDirectory
from rattanwick.internal.gateway.endpoint_limits import EndpointLimits
from rattanwick.internal.gateway.endpoint_notices import EndpointNotices
from rattanwick.internal.gateway.endpoint_view import EndpointView, RecentRate
from rattanwick.internal.gateway.interfaces import MessageCodec
from rattanwick.internal.gateway.members import Member, Members
from rattanwick.internal.gateway.model import Configuration, PromptPart
from rattanwick.internal.gateway.node_selection import (
    MAX_NODES_ALL_SERVING,
    CandidateNode,
    choose_serving_nodes,
    choose_store_pollers,
)
from rattanwick.internal.gateway.part_guard import PartGuard
from rattanwick.internal.gateway.planned_stop import PlannedStop
from rattanwick.internal.gateway.poll_schedule import PollSlot
from rattanwick.internal.gateway.prefill import PrefillEstimator
from rattanwick.internal.gateway.rate_limits import SharedRateLimiter
from rattanwick.internal.gateway.retries import RetryBudget
from rattanwick.internal.gateway.settings import GatewaySettings
from rattanwick.internal.gateway.usage import UsageCounts
from rattanwick.internal.gateway.utilisation import UtilisationTargets

log = get_logger("members")

# Shares of a node's memory. The rest holds the program, small bodies and heads, and
# the copy of a body that is made while it is sent.
RESPONSE_MEMORY_SHARE = 0.25
REQUEST_MEMORY_SHARE = 0.15
MAX_LOGGED_NODES = 12  # serving nodes named in one log line
MAX_RECENT_PLACEMENTS = 24  # kept to be sent to peers
# Nodes that would serve next. They send their state as often as serving nodes do.
SPARE_NODES_PER_DATA_CENTRE = 1
MAX_STANDBY_REQUEST_RATE = 0.1  # requests per second; a busier node is not on standby


@dataclass(slots=True, frozen=True)
class Placement:
    """Parts of a prompt that an endpoint has read and that other requests may share."""

    endpoint_id: str
    prompt: tuple[PromptPart, ...]
    # Time of the placement, in monotonic seconds; not sent to peers.
    noted: float = field(default=0.0, compare=False)


@dataclass(slots=True)
class NodeState:
    """Components of a node that decisions read and outcomes of requests update."""

    settings: GatewaySettings
    timers: TimerService
    members: Members
    endpoints: EndpointDirectory
    connections: ConnectionPool
    limits: SharedRateLimiter
    endpoint_limits: EndpointLimits
    endpoint_notices: EndpointNotices
    retry_budget: RetryBudget
    crash_guard: CrashGuard
    part_guard: PartGuard
    prefill_estimator: PrefillEstimator
    utilisation_targets: UtilisationTargets
    usage: UsageCounts
    stop: PlannedStop
    response_memory: BodyMemory  # for bodies of endpoints
    request_memory: BodyMemory  # for bodies of callers
    configuration: Configuration | None = None
    leaving: bool = False
    load_changed: Event = field(default_factory=Event)  # wakes the broadcast of loads
    fence: int = 0  # of this node's leadership; 0 if it is not the leader
    # By service: uncached prompt tokens sent to endpoints since this node started.
    prompt_tokens: dict[str, int] = field(default_factory=dict)
    placements: deque[Placement] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_PLACEMENTS)
    )
    placed: int = 0  # placements noted since this node started
    requests: RecentRate = field(default_factory=RecentRate)  # from callers
    standby: bool = False  # callers are directed to other nodes
    store_failing: bool = False  # this node's calls to the store fail
    # Ids of the nodes that poll the store for this data centre.
    store_pollers: set[str] = field(default_factory=set)

    def note_placement(
        self, view: EndpointView, prompt: tuple[PromptPart, ...]
    ) -> None:
        """Record which shared parts of a prompt an endpoint has cached, for peers."""
        if len(prompt) > 1:
            now = self.timers.now()
            self.placements.append(Placement(view.endpoint.id, prompt[:-1], now))
            self.placed += 1

    def note_prompt(self, service: str, tokens: int, objective: float) -> None:
        """Count the uncached prompt tokens of a request sent to an endpoint.

        ``objective`` is the time in seconds to the response or first event.
        """
        self.prompt_tokens[service] = self.prompt_tokens.get(service, 0) + tokens
        seconds = tokens / self.prefill_estimator.for_service(service).rate
        self.utilisation_targets.note(service, tokens, seconds, objective)

    def ready_nodes(self) -> list[CandidateNode]:
        """Return the live nodes that can serve callers, including this one if ready."""
        now, settings = self.timers.now(), self.settings
        nodes = [
            CandidateNode(
                member.node_id,
                member.data_centre,
                member.caller_address,
                member.cores,
                member.request_rate,
                member.store_failing,
            )
            for member in self.members.live(now)
            if member.ready
        ]
        if self.ready:
            rate = self.requests.per_second(now)
            nodes.append(
                CandidateNode(
                    settings.node_id,
                    settings.data_centre,
                    settings.callers_address,
                    settings.cores,
                    rate,
                    self.store_failing,
                )
            )
        return nodes

    def update_role(self, now: float) -> None:
        """Decide whether this node is on standby and whether it polls the store.

        A node that serves requests, is leaving or is the leader is never on standby,
        because peers must receive its state without delay.
        """
        own_id, data_centre = self.settings.node_id, self.settings.data_centre
        previous_role = self.standby, own_id in self.store_pollers
        nodes = self.ready_nodes()
        total = self.members.count_nodes()
        chosen = choose_serving_nodes(
            nodes, data_centre, total, SPARE_NODES_PER_DATA_CENTRE
        )
        self.standby = (
            self.ready
            and not self.fence
            and self.requests.per_second(now) < MAX_STANDBY_REQUEST_RATE
            and all(node.node_id != own_id for node in chosen)
        )
        self.store_pollers = {
            node.node_id for node in choose_store_pollers(nodes, data_centre, total)
        }
        if (self.standby, own_id in self.store_pollers) != previous_role:
            log.info(
                "role changed",
                extra={
                    "standby": self.standby,
                    "follows_store": own_id in self.store_pollers,
                    "nodes": len(nodes),
                    "serving": [node.node_id for node in chosen[:MAX_LOGGED_NODES]],
                },
            )

    def poll_slot(self) -> PollSlot:
        """Return this node's place among the nodes that poll the store."""
        own = self.settings.node_id
        live = self.members.live(self.timers.now())
        if self.members.count_nodes() <= MAX_NODES_ALL_SERVING:
            pollers = sorted([own, *(member.node_id for member in live)])
            return PollSlot(pollers.index(own), len(pollers))
        data_centre = self.settings.data_centre
        data_centres = sorted({data_centre, *(member.data_centre for member in live)})
        local = sorted(self.store_pollers | {own})
        rank = local.index(own) * len(data_centres) + data_centres.index(data_centre)
        return PollSlot(rank, len(local) * len(data_centres))

    def polls_store(self) -> bool:
        """Return whether this node polls the store, for itself or its data centre."""
        return not self.ready or self.settings.node_id in self.store_pollers

    def change_recipients(self) -> list[Member]:
        """Return the members to which this node forwards changes of the store."""
        return [
            member
            for member in self.members.all()
            if member.data_centre == self.settings.data_centre
            and member.node_id not in self.store_pollers
        ]

    def count_active_nodes(self) -> int:
        """Return the number of nodes that send callers' requests to endpoints."""
        return self.members.count_active_peers() + (not self.standby)

    def __post_init__(self):
        # Until it has received the state of others, a node polls the store itself.
        self.store_pollers.add(self.settings.node_id)

    @property
    def ready(self) -> bool:
        """Return whether this node can serve callers."""
        loaded = (
            self.configuration is not None
            and self.endpoints.loaded
            and self.part_guard.loaded
        )
        return loaded and not self.leaving


def make_node_state(
    settings: GatewaySettings, timers: TimerService, codec: MessageCodec
) -> NodeState:
    """Return the initial state of a node."""
    bounds = settings.bounds
    members = Members(settings.node_id)
    endpoints = EndpointDirectory(codec, timers)
    part_guard = PartGuard(settings.node_id, timers)
    load_changed = Event()
    return NodeState(
        settings=settings,
        timers=timers,
        members=members,
        endpoints=endpoints,
        connections=ConnectionPool(),
        limits=SharedRateLimiter(settings.first_start, bounds.limit_slack),
        endpoint_limits=EndpointLimits(
            settings.node_id, members, timers, int(time.time() * 1000)
        ),
        endpoint_notices=EndpointNotices(
            settings.node_id,
            endpoints,
            members,
            part_guard,
            timers,
            on_leaving=load_changed.set,
        ),
        retry_budget=RetryBudget(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window
        ),
        crash_guard=CrashGuard(),
        part_guard=part_guard,
        prefill_estimator=PrefillEstimator(),
        utilisation_targets=UtilisationTargets(),
        usage=UsageCounts(bounds.usage_window),
        stop=PlannedStop(timers),
        response_memory=BodyMemory(
            "endpoint", int(settings.memory * RESPONSE_MEMORY_SHARE)
        ),
        request_memory=BodyMemory(
            "caller", int(settings.memory * REQUEST_MEMORY_SHARE), peer_share=1.0
        ),
        load_changed=load_changed,
    )
