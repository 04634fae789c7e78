"""What a node knows and shares between its parts."""

from collections import deque
from dataclasses import dataclass, field

from gevent.event import Event

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.gateway.crash_guard import CrashGuard
from rattanwick.internal.gateway.endpoint_directory import EndpointDirectory
from rattanwick.internal.gateway.endpoint_links import EndpointLinks
from rattanwick.internal.gateway.engine_view import EndpointView, RecentRate
from rattanwick.internal.gateway.interfaces import Wire
from rattanwick.internal.gateway.members import Member, Members
from rattanwick.internal.gateway.model import Configuration, PromptPart
from rattanwick.internal.gateway.prefill import PrefillSpeeds
from rattanwick.internal.gateway.quotas import SharedLimits
from rattanwick.internal.gateway.retries import RetryBudget
from rattanwick.internal.gateway.roster import (
    RosterNode,
    serving_nodes,
    store_followers,
)
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
    links: EndpointLinks
    limits: SharedLimits
    retry_budget: RetryBudget
    crash_guard: CrashGuard
    prefill_speeds: PrefillSpeeds
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
    followers: set[str] = field(default_factory=set)

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
        seconds = tokens / self.prefill_speeds.of(service).rate
        self.utilisation_targets.note(service, tokens, seconds, objective)

    def ready_nodes(self) -> list[RosterNode]:
        """Return the nodes that are up and serve, this one included."""
        now, settings = self.timers.now(), self.settings
        nodes = [
            RosterNode(
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
                RosterNode(
                    settings.node_id,
                    settings.data_centre,
                    settings.callers_address,
                    settings.cores,
                    rate,
                    self.store_failing,
                )
            )
        return nodes

    def note_roster(self, now: float) -> None:
        """Learn this node's part among the nodes that are up.

        A node that serves a request, leaves or holds the duties is heard at once, so
        it does not stand by.
        """
        own, centre = self.settings.node_id, self.settings.data_centre
        former = self.standby, own in self.followers
        nodes = self.ready_nodes()
        total = self.members.count()
        chosen = serving_nodes(nodes, centre, total, SPARE_NODES)
        self.standby = (
            self.ready
            and not self.fence
            and self.requests.per_second(now) < STANDBY_RATE
            and all(node.node_id != own for node in chosen)
        )
        self.followers = {
            node.node_id for node in store_followers(nodes, centre, total)
        }
        if (self.standby, own in self.followers) != former:
            log.info(
                "part changed",
                extra={
                    "standby": self.standby,
                    "follows_store": own in self.followers,
                    "nodes": len(nodes),
                    "serving": [node.node_id for node in chosen[:LOGGED_NODES]],
                },
            )

    def follows_store(self) -> bool:
        """Tell whether this node follows the store, for itself or for all."""
        return not self.ready or self.settings.node_id in self.followers

    def passed_to(self) -> list[Member]:
        """Return the members to which changes of the store are passed on."""
        return [
            member
            for member in self.members.all()
            if member.data_centre == self.settings.data_centre
            and member.node_id not in self.followers
        ]

    def sharing_nodes(self) -> int:
        """Return how many nodes send callers' requests to endpoints."""
        return self.members.count_sharing() + (not self.standby)

    def __post_init__(self):
        # Until others are heard, a node follows the store itself.
        self.followers.add(self.settings.node_id)

    @property
    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        known = self.configuration is not None and self.endpoints.known
        return known and not self.leaving


def make_node_state(
    settings: GatewaySettings, timers: TimerService, wire: Wire
) -> NodeState:
    """Return the state of a node that has just started."""
    bounds = settings.bounds
    return NodeState(
        settings=settings,
        timers=timers,
        members=Members(settings.node_id),
        endpoints=EndpointDirectory(wire, timers),
        links=EndpointLinks(),
        limits=SharedLimits(settings.first_start, bounds.limit_slack),
        retry_budget=RetryBudget(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window
        ),
        crash_guard=CrashGuard(),
        prefill_speeds=PrefillSpeeds(),
        utilisation_targets=UtilisationTargets(),
        usage=UsageCounts(bounds.usage_window),
    )
