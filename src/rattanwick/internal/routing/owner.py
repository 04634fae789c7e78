"""Soft owner of a cell: queue and placements."""

from collections.abc import Callable
from dataclasses import dataclass, field

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.settings import RoutingSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.recording.decisions import Decision, DecisionKind, Recorder
from rattanwick.internal.routing import metrics
from rattanwick.internal.routing.cells import Cell
from rattanwick.internal.routing.cellstate import CellState, Running
from rattanwick.internal.routing.choice import choose_next
from rattanwick.internal.routing.deadlines import AdmissionInputs, decide_admission
from rattanwick.internal.routing.health import HealthView
from rattanwick.internal.routing.messages import (
    Holding,
    PlaceAsk,
    PlaceReply,
    PlaceState,
    ProgressNote,
    RefuseReason,
    ReleaseNote,
)
from rattanwick.internal.routing.mix import MixMeter, long_limit
from rattanwick.internal.routing.queues import FairQueue, QueuedAsk
from rattanwick.internal.routing.snapshots import (
    CellSnapshot,
    Choice,
    EndpointState,
    WaitingRequest,
    Weights,
)
from rattanwick.internal.routing.work import (
    WorkEstimate,
    WorkHistory,
    features_of,
)

log = get_logger("routing")

ARRIVAL_SECONDS = 1.0  # a younger placement may not have reached its node yet

Deliver = Callable[[str, PlaceReply], None]  # (node id, reply)


@dataclass(slots=True)
class OwnerParts:
    """Hold what the owners of all cells of a node share."""

    settings: RoutingSettings
    timers: TimerService
    recorder: Recorder
    deliver: Deliver
    usable: Callable[[], set[str]]  # endpoints that are listed and not leaving

    def weights(self) -> Weights:
        """Return the weights of the deployment."""
        settings = self.settings
        return Weights(
            settings.weight_cost, settings.weight_short, settings.weight_tail
        )

    def new_state(self, cell: Cell) -> CellState:
        """Return the state of a cell of which nothing is known."""
        health = HealthView(cell.key, self.settings.probation_share)
        return CellState(cell, WorkHistory(), health)


@dataclass(slots=True)
class CellOwner:
    """Place the requests of all nodes on the endpoints of one cell."""

    parts: OwnerParts
    state: CellState
    ready: bool = False  # the placements of other nodes are known
    queue: FairQueue = field(default_factory=FairQueue)
    mix: MixMeter = field(default_factory=MixMeter)
    seed: int = 0

    @property
    def key(self) -> str:
        """Return the key of the cell."""
        return self.state.cell.key

    def place(self, ask: PlaceAsk, node: str) -> PlaceReply:
        """Place or queue an ask; the same ticket again returns its present state."""
        if ask.ticket not in self.state.running and not self.queue.get(ask.ticket):
            reason = self._admit(ask, node)
            if reason is not None:
                return self._refusal(ask.ticket, reason)
            self.pump()
        placed = self.state.running.get(ask.ticket)
        if placed is not None:
            return self._placed_reply(placed)
        return PlaceReply(self.key, ask.ticket, PlaceState.QUEUED)

    def cancel(self, ticket: str) -> None:
        """Drop an ask or a placement that nobody waits for."""
        self.queue.remove(ticket)
        self._drop(ticket)
        self.pump()

    def release(self, note: ReleaseNote) -> None:
        """Free the slot of a placement and learn from it."""
        usage = note.read_usage()
        now = self.parts.timers.now()
        placed = self.state.finish(note.ticket, usage, now)
        if placed is not None and usage.ok and placed.ask is not None:
            self.mix.learn_held(placed.short, placed.work, now - placed.placed)
        self.pump()

    def observe(self, note: ProgressNote) -> None:
        """Take in how a stream goes."""
        now = self.parts.timers.now()
        self.state.observe(note, now)
        self.state.health.update(self.state.cell.endpoints, now)

    def adopt(self, node: str, holdings: list[Holding]) -> None:
        """Take over the placements that a node says it holds."""
        now = self.parts.timers.now()
        for item in holdings:
            if item.ticket not in self.state.running:
                placed = Running(
                    item.ticket,
                    node,
                    item.request_id,
                    item.endpoint_id,
                    item.short,
                    item.work,
                    now - item.age,
                )
                self.state.add(placed, now)

    def reconcile(self, node: str, holdings: list[Holding], asked_at: float) -> None:
        """Free placements that a node no longer holds."""
        held = {item.ticket for item in holdings}
        before = asked_at - ARRIVAL_SECONDS
        stale = [
            item.ticket
            for item in self.state.running.values()
            if item.node == node and item.ticket not in held and item.placed < before
        ]
        for ticket in stale:
            self._drop(ticket)
        self.adopt(node, holdings)
        self.pump()

    def free_node(self, node: str) -> None:
        """Free what belongs to a node that died."""
        for item in list(self.state.running.values()):
            if item.node == node:
                self._drop(item.ticket)
        for waiting in self.queue.items():
            if waiting.node == node:
                self.queue.remove(waiting.ask.ticket)

    def is_idle(self) -> bool:
        """Tell whether nothing waits here."""
        return len(self.queue) == 0

    def nodes(self) -> set[str]:
        """Return the nodes that hold placements or wait here."""
        holders = {item.node for item in self.state.running.values()}
        return holders | {item.node for item in self.queue.items()}

    def refuse_all(self, reason: RefuseReason) -> None:
        """Refuse all that waits."""
        for item in self.queue.items():
            self._refuse_queued(item, reason)

    def sweep(self) -> None:
        """Update health and refuse asks whose deadline cannot be met any more."""
        now = self.parts.timers.now()
        self.state.reclassify(self.parts.settings.short_seconds, now)
        self.state.health.update(self.state.cell.endpoints, now)
        usable = self.parts.usable()
        for item in self.queue.items():
            if not self._candidates(item.ask, usable):
                self._refuse_queued(item, RefuseReason.NO_ENDPOINT)
            elif now + item.estimate.seconds > item.deadline:
                self._refuse_queued(item, RefuseReason.DEADLINE)
        self.pump()
        metrics.QUEUED.labels(self.key).set(len(self.queue))
        metrics.RUNNING.labels(self.key).set(len(self.state.running))

    def pump(self) -> None:
        """Place as many waiting asks as there are slots."""
        while self.ready and len(self.queue):
            endpoints = self.state.endpoint_states(
                self.parts.usable(), self.parts.timers.now()
            )
            if not any(item.open_slots > 0 for item in endpoints):
                return
            snapshot = self._snapshot(endpoints)
            choice = choose_next(snapshot)
            if choice is None:
                return
            self._start(snapshot, choice)

    def _admit(self, ask: PlaceAsk, node: str) -> RefuseReason | None:
        """Queue an ask, or return why it is refused."""
        now = self.parts.timers.now()
        features = features_of(ask, self.state.cell.pool)
        estimate = self.state.history.estimate(features, ask.prompt_tokens)
        short = estimate.high_seconds <= self.parts.settings.short_seconds
        self.mix.add(short, estimate.seconds, now)
        inputs = self._admission_inputs(ask, estimate, short)
        admitted, reason = decide_admission(inputs)
        if not admitted:
            self._record_refusal(ask, inputs, reason)
            return RefuseReason(reason)
        deadline = now + ask.seconds_left
        arrived = now - ask.waited
        self.queue.add(QueuedAsk(ask, node, estimate, short, arrived, deadline))
        return None

    def _admission_inputs(
        self, ask: PlaceAsk, estimate: WorkEstimate, short: bool
    ) -> AdmissionInputs:
        slots = self.state.usable_slots(self.parts.usable())
        return AdmissionInputs(
            endpoints=len(self._candidates(ask, self.parts.usable())),
            slots=slots if short else self._long_limit(),
            work_ahead=self.mix.held_ratio(short)
            * self.queue.work_ahead(short, ask.plan),
            work=estimate.seconds,
            seconds_left=ask.seconds_left,
        )

    def _record_refusal(
        self, ask: PlaceAsk, inputs: AdmissionInputs, reason: str
    ) -> None:
        metrics.REFUSED.labels(reason).inc()
        kind = DecisionKind.REFUSE
        decision = Decision(kind, inputs.to_message(), False, reason, ask.request_id)
        self.parts.recorder.record(decision)

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
            cached=self.state.prefixes.cached_share(
                choice.endpoint_id, item.ask.prefix
            ),
        )
        self.state.add(placed, now)
        self._record(snapshot, choice, item.ask.request_id)
        self.parts.deliver(item.node, self._placed_reply(placed))

    def _record(self, snapshot: CellSnapshot, choice: Choice, request_id: str) -> None:
        metrics.PLACED.labels("owner", choice.reason).inc()
        self.parts.recorder.record(
            Decision(
                DecisionKind.ROUTE,
                {"policy": "owner", "snapshot": snapshot.to_message()},
                [choice.ticket, choice.endpoint_id],
                choice.reason,
                request_id,
            )
        )

    def _long_limit(self) -> int:
        short_load, long_load = self.mix.loads(self.parts.timers.now())
        weight = self.parts.settings.weight_short
        slots = self.state.usable_slots(self.parts.usable())
        return long_limit(slots, short_load, long_load, weight)

    def _snapshot(self, endpoints: list[EndpointState]) -> CellSnapshot:
        self.seed += 1
        waiting = [
            self._waiting(item, plan_time, endpoints)
            for item, plan_time in self.queue.heads()
        ]
        return CellSnapshot(
            cell=self.key,
            endpoints=endpoints,
            waiting=waiting,
            long_limit=self._long_limit(),
            long_wait_seconds=self.parts.settings.long_wait_seconds,
            weights=self.parts.weights(),
            seed=self.seed,
        )

    def _waiting(
        self, item: QueuedAsk, plan_time: float, endpoints: list[EndpointState]
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
            cached=self.state.cached_shares(endpoints, ask.prefix),
            idempotent=ask.idempotent,
            can_hedge=ask.can_hedge,
        )

    def _candidates(self, ask: PlaceAsk, usable: set[str]) -> list[str]:
        return [
            item.id
            for item in self.state.cell.endpoints
            if item.id in usable and item.id not in ask.excluded
        ]

    def _drop(self, ticket: str) -> None:
        """Free a placement of which nothing was observed."""
        now = self.parts.timers.now()
        item = self.state.remove(ticket, now)
        if item is not None:
            self.state.health.note_dropped(item.endpoint_id, ticket, now)

    def _refuse_queued(self, item: QueuedAsk, reason: RefuseReason) -> None:
        metrics.REFUSED.labels(str(reason)).inc()
        self.queue.remove(item.ask.ticket)
        self.parts.deliver(item.node, self._refusal(item.ask.ticket, reason))

    def _refusal(self, ticket: str, reason: RefuseReason) -> PlaceReply:
        return PlaceReply(self.key, ticket, PlaceState.REFUSED, reason=reason)

    def _placed_reply(self, placed: Running) -> PlaceReply:
        return PlaceReply(
            self.key,
            placed.ticket,
            PlaceState.PLACED,
            placed.endpoint_id,
            placed.queued_seconds,
            trial=placed.trial,
        )
