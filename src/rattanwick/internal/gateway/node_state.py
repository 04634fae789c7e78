"""What a node knows and shares between its parts."""

from collections import deque
from dataclasses import dataclass, field

from gevent.event import Event

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.gateway.connection_pool import ConnectionPool
from rattanwick.internal.gateway.crash_guard import CrashGuard
from rattanwick.internal.gateway.endpoint_directory import EndpointDirectory
from rattanwick.internal.gateway.endpoint_view import EndpointView, RecentRate
from rattanwick.internal.gateway.interfaces import MessageCodec
from rattanwick.internal.gateway.members import Member, Members
from rattanwick.internal.gateway.model import Configuration, PromptPart
from rattanwick.internal.gateway.node_selection import (
    CandidateNode,
    choose_store_pollers,
    serving_nodes,
)
from rattanwick.internal.gateway.prefill import PrefillEstimator
from rattanwick.internal.gateway.rate_limits import SharedRateLimiter
from rattanwick.internal.gateway.retries import RetryBudget
from rattanwick.internal.gateway.settings import GatewaySettings
from rattanwick.internal.gateway.usage import UsageCounts
from rattanwick.internal.gateway.utilisation import UtilisationTargets

log = get_logger("members")

LOGGED_NODES = 12  # of those that serve, in a log line
RECENT_PLACEMENTS = 24  # that are told to peers
# Of a data centre, which callers would be led to next; they tell their state as often
# as those that serve.
SPARE_NODES = 1
STANDBY_RATE = 0.1  # requests a second below which a node may stand by


@dataclass(slots=True, frozen=True)
class Placement:
    """Tell which shared part of a prompt an endpoint has read."""

    endpoint_id: str
    prompt: tuple[PromptPart, ...]
    noted: float = field(default=0.0, compare=False)  # monotonic seconds, here alone


@dataclass(slots=True)
class NodeState:
    """Hold the parts that decisions read and outcomes update."""

    settings: GatewaySettings
    timers: TimerService
    members: Members
    endpoints: EndpointDirectory
    connections: ConnectionPool
    limits: SharedRateLimiter
    retry_budget: RetryBudget
    crash_guard: CrashGuard
    prefill_estimator: PrefillEstimator
    utilisation_targets: UtilisationTargets
    usage: UsageCounts
    configuration: Configuration | None = None
    leaving: bool = False
    load_changed: Event = field(default_factory=Event)  # peers should know at once
    fence: int = 0  # of the duties that this node holds; 0 for none
    # By service: prompt tokens that endpoints had to read since the node's start.
    prompt_tokens: dict[str, int] = field(default_factory=dict)
    placements: deque[Placement] = field(
        default_factory=lambda: deque(maxlen=RECENT_PLACEMENTS)
    )
    placed: int = 0  # placements noted since the node's start
    requests: RecentRate = field(default_factory=RecentRate)  # of callers
    standby: bool = False  # callers are led to other nodes
    store_failing: bool = False  # this node follows the store and is not served
    # Ids of the nodes that follow the store for this data centre.
    store_pollers: set[str] = field(default_factory=set)

    def note_placement(
        self, view: EndpointView, prompt: tuple[PromptPart, ...]
    ) -> None:
        """Remember shared parts that peers should know of."""
        if len(prompt) > 1:
            now = self.timers.now()
            self.placements.append(Placement(view.endpoint.id, prompt[:-1], now))
            self.placed += 1

    def note_prompt(self, service: str, tokens: int, objective: float) -> None:
        """Count prompt tokens that an endpoint has to read within an objective."""
        self.prompt_tokens[service] = self.prompt_tokens.get(service, 0) + tokens
        seconds = tokens / self.prefill_estimator.for_service(service).rate
        self.utilisation_targets.note(service, tokens, seconds, objective)

    def ready_nodes(self) -> list[CandidateNode]:
        """Return the nodes that are up and serve, this one included."""
        now, settings = self.timers.now(), self.settings
        nodes = [
            CandidateNode(
                member.node_id,
                member.data_centre,
                member.callers,
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
        """Learn this node's part among the nodes that are up.

        A node that serves a request, leaves or holds the duties is heard at once, so
        it does not stand by.
        """
        own, centre = self.settings.node_id, self.settings.data_centre
        former = self.standby, own in self.store_pollers
        nodes = self.ready_nodes()
        total = self.members.count()
        chosen = serving_nodes(nodes, centre, total, SPARE_NODES)
        self.standby = (
            self.ready
            and not self.fence
            and self.requests.per_second(now) < STANDBY_RATE
            and all(node.node_id != own for node in chosen)
        )
        self.store_pollers = {
            node.node_id for node in choose_store_pollers(nodes, centre, total)
        }
        if (self.standby, own in self.store_pollers) != former:
            log.info(
                "part changed",
                extra={
                    "standby": self.standby,
                    "follows_store": own in self.store_pollers,
                    "nodes": len(nodes),
                    "serving": [node.node_id for node in chosen[:LOGGED_NODES]],
                },
            )

    def polls_store(self) -> bool:
        """Tell whether this node follows the store, for itself or for all."""
        return not self.ready or self.settings.node_id in self.store_pollers

    def change_recipients(self) -> list[Member]:
        """Return the members to which changes of the store are passed on."""
        return [
            member
            for member in self.members.all()
            if member.data_centre == self.settings.data_centre
            and member.node_id not in self.store_pollers
        ]

    def count_active_nodes(self) -> int:
        """Return how many nodes send callers' requests to endpoints."""
        return self.members.count_active() + (not self.standby)

    def __post_init__(self):
        # Until others are heard, a node follows the store itself.
        self.store_pollers.add(self.settings.node_id)

    @property
    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        known = self.configuration is not None and self.endpoints.known
        return known and not self.leaving


def make_node_state(
    settings: GatewaySettings, timers: TimerService, codec: MessageCodec
) -> NodeState:
    """Return the state of a node that has just started."""
    bounds = settings.bounds
    return NodeState(
        settings=settings,
        timers=timers,
        members=Members(settings.node_id),
        endpoints=EndpointDirectory(codec, timers),
        connections=ConnectionPool(),
        limits=SharedRateLimiter(settings.first_start, bounds.limit_slack),
        retry_budget=RetryBudget(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window
        ),
        crash_guard=CrashGuard(),
        prefill_estimator=PrefillEstimator(),
        utilisation_targets=UtilisationTargets(),
        usage=UsageCounts(bounds.usage_window),
    )
