"""Soft owner of a cell: queue, count in flight and placements."""

from collections.abc import Callable
from dataclasses import dataclass, field

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.settings import RoutingSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.recording.decisions import Decision, DecisionKind, Recorder
from rattanwick.internal.routing.cells import Cell
from rattanwick.internal.routing.choice import choose_next
from rattanwick.internal.routing.messages import (
    Holding,
    PlaceAsk,
    PlaceReply,
    PlaceState,
    RefuseReason,
    ReleaseNote,
)
from rattanwick.internal.routing.prefixes import PrefixView
from rattanwick.internal.routing.queues import FairQueue, QueuedAsk
from rattanwick.internal.routing.snapshots import (
    CellSnapshot,
    Choice,
    EndpointState,
    WaitingRequest,
    Weights,
)
from rattanwick.internal.routing.work import (
    Features,
    WorkHistory,
    features_of,
)

log = get_logger("routing")

Deliver = Callable[[str, PlaceReply], None]  # (node id, reply)


@dataclass(slots=True)
class Running:
    """Hold a placement that is in flight."""

    ticket: str
    node: str
    request_id: str
    endpoint_id: str
    short: bool
    work: float  # seconds
    placed: float  # monotonic seconds
    ask: PlaceAsk | None = None
    queued_seconds: float = 0.0
    cached: float = 0.0  # share of the prompt believed to be cached


@dataclass(slots=True)
class OwnerParts:
    """Hold what the owners of all cells of a node share."""

    settings: RoutingSettings
    timers: TimerService
    recorder: Recorder
    history: WorkHistory
    deliver: Deliver
    is_usable: Callable[[str], bool]  # endpoint id -> not leaving, as last heard


@dataclass(slots=True)
class CellOwner:
    """Place the requests of all nodes on the endpoints of one cell."""

    parts: OwnerParts
    cell: Cell
    ready: bool = False  # the placements of other nodes are known
    running: dict[str, Running] = field(default_factory=dict)
    queue: FairQueue = field(default_factory=FairQueue)
    prefixes: PrefixView = field(default_factory=PrefixView)
    reports_cache: set[str] = field(default_factory=set)  # endpoints
    seed: int = 0

    def place(self, ask: PlaceAsk, node: str) -> PlaceReply:
        """Place or queue an ask; the same ticket again returns its present state."""
        placed = self.running.get(ask.ticket)
        if placed is not None:
            return self._placed_reply(placed)
        if self.queue.get(ask.ticket) is None:
            if not self._candidates(ask):
                return self._refusal(ask.ticket, RefuseReason.NO_ENDPOINT)
            self._enqueue(ask, node)
            self.pump()
        placed = self.running.get(ask.ticket)
        if placed is not None:
            return self._placed_reply(placed)
        return PlaceReply(self.cell.key, ask.ticket, PlaceState.QUEUED)

    def cancel(self, ticket: str) -> None:
        """Drop an ask or a placement that nobody waits for."""
        self.queue.remove(ticket)
        self.running.pop(ticket, None)
        self.pump()

    def release(self, note: ReleaseNote) -> None:
        """Free the slot of a placement and learn from it."""
        placed = self.running.pop(note.ticket, None)
        usage = note.read_usage()
        self.parts.history.observe(Features.from_message(note.features), usage)
        if placed is not None and placed.ask is not None and usage.ok:
            self._learn_prefix(placed, usage.cached_tokens)
        self.pump()

    def adopt(self, node: str, holdings: list[Holding]) -> None:
        """Take over the placements that a node says it holds."""
        now = self.parts.timers.now()
        for item in holdings:
            if item.ticket not in self.running:
                self.running[item.ticket] = Running(
                    item.ticket,
                    node,
                    item.request_id,
                    item.endpoint_id,
                    item.short,
                    item.work,
                    now - item.age,
                )

    def reconcile(self, node: str, holdings: list[Holding], asked_at: float) -> None:
        """Free placements that a node no longer holds."""
        held = {item.ticket for item in holdings}
        stale = [
            item.ticket
            for item in self.running.values()
            if item.node == node and item.ticket not in held and item.placed < asked_at
        ]
        for ticket in stale:
            del self.running[ticket]
        self.adopt(node, holdings)
        self.pump()

    def free_node(self, node: str) -> None:
        """Free what belongs to a node that died."""
        for item in list(self.running.values()):
            if item.node == node:
                del self.running[item.ticket]
        for waiting in self.queue.items():
            if waiting.node == node:
                self.queue.remove(waiting.ask.ticket)

    def is_idle(self) -> bool:
        """Tell whether nothing waits here."""
        return len(self.queue) == 0

    def nodes(self) -> set[str]:
        """Return the nodes that hold placements or wait here."""
        holders = {item.node for item in self.running.values()}
        return holders | {item.node for item in self.queue.items()}

    def refuse_all(self, reason: RefuseReason) -> None:
        """Refuse all that waits."""
        for item in self.queue.items():
            self._refuse_queued(item, reason)

    def sweep(self) -> None:
        """Refuse asks whose deadline cannot be met any more, then place."""
        now = self.parts.timers.now()
        for item in self.queue.items():
            if not self._candidates(item.ask):
                self._refuse_queued(item, RefuseReason.NO_ENDPOINT)
            elif now + item.estimate.low_seconds >= item.deadline:
                self._refuse_queued(item, RefuseReason.DEADLINE)
        self.pump()

    def pump(self) -> None:
        """Place as many waiting asks as there are slots."""
        while self.ready and len(self.queue):
            snapshot = self._snapshot()
            if not any(item.open_slots > 0 for item in snapshot.endpoints):
                return
            choice = choose_next(snapshot)
            if choice is None:
                return
            self._start(snapshot, choice)

    def _enqueue(self, ask: PlaceAsk, node: str) -> None:
        now = self.parts.timers.now()
        features = features_of(ask, self.cell.pool)
        estimate = self.parts.history.estimate(features, ask.prompt_tokens)
        short = estimate.high_seconds <= self.parts.settings.short_seconds
        deadline = now + ask.seconds_left
        arrived = now - ask.waited
        self.queue.add(QueuedAsk(ask, node, estimate, short, arrived, deadline))

    def _start(self, snapshot: CellSnapshot, choice: Choice) -> None:
        now = self.parts.timers.now()
        item = self.queue.remove(choice.ticket)
        self.queue.charge(item)
        placed = Running(
            choice.ticket,
            item.node,
            item.ask.request_id,
            choice.endpoint_id,
            item.short,
            item.estimate.seconds,
            now,
            item.ask,
            now - item.arrived,
            self.prefixes.cached_share(choice.endpoint_id, item.ask.prefix),
        )
        self.running[choice.ticket] = placed
        self.prefixes.add(choice.endpoint_id, item.ask.prefix)
        self._record(snapshot, choice, item.ask.request_id)
        self.parts.deliver(item.node, self._placed_reply(placed))

    def _record(self, snapshot: CellSnapshot, choice: Choice, request_id: str) -> None:
        self.parts.recorder.record(
            Decision(
                DecisionKind.ROUTE,
                {"policy": "owner", "snapshot": snapshot.to_message()},
                [choice.ticket, choice.endpoint_id],
                choice.reason,
                request_id,
            )
        )

    def _snapshot(self) -> CellSnapshot:
        self.seed += 1
        settings = self.parts.settings
        endpoints = self._endpoint_states()
        ids = [item.id for item in endpoints]
        return CellSnapshot(
            cell=self.cell.key,
            endpoints=endpoints,
            waiting=[self._waiting(*head, ids) for head in self.queue.heads()],
            long_limit=max(self.cell.slots * 3 // 4, 1),
            long_wait_seconds=settings.long_wait_seconds,
            weights=Weights(
                settings.weight_cost, settings.weight_short, settings.weight_tail
            ),
            seed=self.seed,
        )

    def _endpoint_states(self) -> list[EndpointState]:
        now = self.parts.timers.now()
        short: dict[str, int] = {}
        long: dict[str, int] = {}
        remaining: dict[str, float] = {}
        for item in self.running.values():
            counts = short if item.short else long
            counts[item.endpoint_id] = counts.get(item.endpoint_id, 0) + 1
            left = max(item.work - (now - item.placed), 0.0)
            remaining[item.endpoint_id] = remaining.get(item.endpoint_id, 0.0) + left
        states = []
        for item in self.cell.endpoints:
            if not self.parts.is_usable(item.id):
                continue
            own = short.get(item.id, 0) + long.get(item.id, 0)
            states.append(
                EndpointState(
                    id=item.id,
                    data_centre=item.data_centre,
                    slots=item.slots,
                    short_running=short.get(item.id, 0),
                    long_running=long.get(item.id, 0),
                    remaining_seconds=remaining.get(item.id, 0.0),
                    foreign=0.0,
                    slowness=1.0,
                    open_slots=max(item.slots - own, 0),
                    price=item.price,
                )
            )
        return states

    def _waiting(
        self, item: QueuedAsk, plan_time: float, ids: list[str]
    ) -> WaitingRequest:
        now = self.parts.timers.now()
        ask = item.ask
        return WaitingRequest(
            ticket=ask.ticket,
            short=item.short,
            plan=ask.plan,
            plan_time=plan_time,
            work=item.estimate.seconds,
            low_work=item.estimate.low_seconds,
            prefill=item.estimate.prefill_seconds,
            waited=now - item.arrived,
            seconds_left=item.deadline - now,
            data_centre=ask.data_centre,
            excluded=ask.excluded,
            cached=[self.prefixes.cached_share(name, ask.prefix) for name in ids],
        )

    def _candidates(self, ask: PlaceAsk) -> list[str]:
        return [
            item.id
            for item in self.cell.endpoints
            if item.id not in ask.excluded and self.parts.is_usable(item.id)
        ]

    def _refuse_queued(self, item: QueuedAsk, reason: RefuseReason) -> None:
        self.queue.remove(item.ask.ticket)
        self.parts.deliver(item.node, self._refusal(item.ask.ticket, reason))

    def _refusal(self, ticket: str, reason: RefuseReason) -> PlaceReply:
        state = PlaceState.REFUSED
        return PlaceReply(self.cell.key, ticket, state, reason=reason)

    def _placed_reply(self, placed: Running) -> PlaceReply:
        return PlaceReply(
            self.cell.key,
            placed.ticket,
            PlaceState.PLACED,
            placed.endpoint_id,
            placed.queued_seconds,
        )

    def _learn_prefix(self, placed: Running, cached_tokens: int) -> None:
        if cached_tokens > 0:
            self.reports_cache.add(placed.endpoint_id)
        elif placed.cached > 0 and placed.endpoint_id in self.reports_cache:
            self.prefixes.clear(placed.endpoint_id)
        self.prefixes.add(placed.endpoint_id, placed.ask.prefix)
