"""Owner of a cell: its queue and its placements."""

from collections.abc import Callable
from dataclasses import dataclass, field

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.settings import RoutingSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.recording.decisions import Decision, DecisionKind, Recorder
from rattanwick.internal.routing import metrics
from rattanwick.internal.routing.cell_state import CellState, RunningPlacement
from rattanwick.internal.routing.cells import Cell
from rattanwick.internal.routing.health import HealthTracker
from rattanwick.internal.routing.messages import (
    HeldPlacement,
    PlacementReply,
    PlacementRequest,
    PlacementState,
    ProgressNote,
    RefuseReason,
    ReleaseNote,
)
from rattanwick.internal.routing.placement_policy import choose_next_placement
from rattanwick.internal.routing.queue_admission import (
    QueueAdmissionInputs,
    decide_queue_admission,
)
from rattanwick.internal.routing.queues import FairQueue, QueuedRequest
from rattanwick.internal.routing.snapshots import (
    CellSnapshot,
    EndpointState,
    PlacementChoice,
    PlacementWeights,
    WaitingRequest,
)
from rattanwick.internal.routing.work_estimates import (
    WorkEstimate,
    WorkHistory,
    features_of,
)
from rattanwick.internal.routing.workload_mix import WorkloadMix, max_long_slots

log = get_logger("routing")

# The reply with a placement younger than this may not have reached its node yet.
REPLY_GRACE_SECONDS = 1.0

DeliverReply = Callable[[str, PlacementReply], None]  # (node id, reply)


@dataclass(slots=True)
class OwnerContext:
    """Shared dependencies of the owners of all cells of a node."""

    settings: RoutingSettings
    timers: TimerService
    recorder: Recorder
    deliver: DeliverReply
    usable: Callable[[], set[str]]  # endpoints that are listed and not leaving

    def weights(self) -> PlacementWeights:
        """Return the weights of the placement decision, from the settings."""
        settings = self.settings
        return PlacementWeights(
            settings.weight_cost, settings.weight_short, settings.weight_tail
        )

    def new_state(self, cell: Cell) -> CellState:
        """Return an empty state of a cell."""
        health = HealthTracker(cell.key, self.settings.probation_share)
        return CellState(cell, WorkHistory(), health)


@dataclass(slots=True)
class CellOwner:
    """Queue and placements of one cell, for the requests of all nodes."""

    context: OwnerContext
    state: CellState
    ready: bool = False  # whether the placements that other nodes hold are known
    queue: FairQueue = field(default_factory=FairQueue)
    mix: WorkloadMix = field(default_factory=WorkloadMix)
    seed: int = 0

    @property
    def key(self) -> str:
        """Return the key of the cell."""
        return self.state.cell.key

    def place(self, request: PlacementRequest, node: str) -> PlacementReply:
        """Place, queue or refuse a request; a repeated one gets its present state."""
        if request.ticket not in self.state.running and not self.queue.get(
            request.ticket
        ):
            reason = self._admit(request, node)
            if reason is not None:
                return self._refusal(request.ticket, reason)
            self.place_waiting()
        placed = self.state.running.get(request.ticket)
        if placed is not None:
            return self._placed_reply(placed)
        return PlacementReply(self.key, request.ticket, PlacementState.QUEUED)

    def cancel(self, ticket: str) -> None:
        """Remove a request or a placement that no caller waits for any more."""
        self.queue.remove(ticket)
        self._drop(ticket)
        self.place_waiting()

    def release(self, note: ReleaseNote) -> None:
        """Free the slot of a placement and learn from its usage."""
        usage = note.read_usage()
        now = self.context.timers.now()
        placed = self.state.finish(note.ticket, usage, now)
        if placed is not None and usage.ok and placed.request is not None:
            self.mix.add_slot_time(placed.short, placed.work, now - placed.placed_at)
        self.place_waiting()

    def observe(self, note: ProgressNote) -> None:
        """Update the health of an endpoint with the progress of a stream."""
        now = self.context.timers.now()
        self.state.observe(note, now)
        self.state.health.update(self.state.cell.endpoints, now)

    def add_held(self, node: str, held_placements: list[HeldPlacement]) -> None:
        """Add the placements that a node reports as held."""
        now = self.context.timers.now()
        for item in held_placements:
            if item.ticket not in self.state.running:
                placed = RunningPlacement(
                    item.ticket,
                    node,
                    item.request_id,
                    item.endpoint_id,
                    item.short,
                    item.work,
                    now - item.age,
                )
                self.state.add(placed, now)

    def reconcile(
        self, node: str, held_placements: list[HeldPlacement], asked_at: float
    ) -> None:
        """Make the placements of a node agree with those that it reports.

        Placements made shortly before the node was asked are kept, since the
        replies with them may not have reached the node.
        """
        held = {item.ticket for item in held_placements}
        before = asked_at - REPLY_GRACE_SECONDS
        stale = [
            item.ticket
            for item in self.state.running.values()
            if item.node == node and item.ticket not in held and item.placed_at < before
        ]
        for ticket in stale:
            self._drop(ticket)
        self.add_held(node, held_placements)
        self.place_waiting()

    def free_node(self, node: str) -> None:
        """Free the placements of a dead node and remove its waiting requests."""
        for item in list(self.state.running.values()):
            if item.node == node:
                self._drop(item.ticket)
        for waiting in self.queue.items():
            if waiting.node == node:
                self.queue.remove(waiting.request.ticket)

    def is_idle(self) -> bool:
        """Return whether no request waits here."""
        return len(self.queue) == 0

    def nodes(self) -> set[str]:
        """Return the nodes that hold placements or have waiting requests here."""
        holders = {item.node for item in self.state.running.values()}
        return holders | {item.node for item in self.queue.items()}

    def refuse_all(self, reason: RefuseReason) -> None:
        """Refuse all waiting requests."""
        for item in self.queue.items():
            self._refuse_queued(item, reason)

    def sweep(self) -> None:
        """Update health and refuse requests that can no longer meet their deadline."""
        now = self.context.timers.now()
        self.state.reclassify(self.context.settings.short_seconds, now)
        self.state.health.update(self.state.cell.endpoints, now)
        usable = self.context.usable()
        for item in self.queue.items():
            if not self._candidates(item.request, usable):
                self._refuse_queued(item, RefuseReason.NO_ENDPOINT)
            elif now + item.estimate.seconds > item.deadline:
                self._refuse_queued(item, RefuseReason.DEADLINE)
        self.place_waiting()
        metrics.QUEUED.labels(self.key).set(len(self.queue))
        metrics.RUNNING.labels(self.key).set(len(self.state.running))

    def place_waiting(self) -> None:
        """Place waiting requests until no slot is open or none may be placed."""
        while self.ready and len(self.queue):
            endpoints = self.state.endpoint_states(
                self.context.usable(), self.context.timers.now()
            )
            if not any(item.open_slots > 0 for item in endpoints):
                return
            snapshot = self._snapshot(endpoints)
            choice = choose_next_placement(snapshot)
            if choice is None:
                return
            self._start(snapshot, choice)

    def _admit(self, request: PlacementRequest, node: str) -> RefuseReason | None:
        """Queue a request, or return the reason for its refusal."""
        now = self.context.timers.now()
        features = features_of(request, self.state.cell.pool)
        estimate = self.state.history.estimate(features, request.prompt_tokens)
        short = estimate.high_seconds <= self.context.settings.short_seconds
        self.mix.add(short, estimate.seconds, now)
        inputs = self._admission_inputs(request, estimate, short)
        admitted, reason = decide_queue_admission(inputs)
        if not admitted:
            self._record_refusal(request, inputs, reason)
            return RefuseReason(reason)
        deadline = now + request.seconds_left
        arrived = now - request.waited
        self.queue.add(QueuedRequest(request, node, estimate, short, arrived, deadline))
        return None

    def _admission_inputs(
        self, request: PlacementRequest, estimate: WorkEstimate, short: bool
    ) -> QueueAdmissionInputs:
        slots = self.state.usable_slots(self.context.usable())
        return QueueAdmissionInputs(
            endpoints=len(self._candidates(request, self.context.usable())),
            slots=slots if short else self._long_limit(),
            work_ahead=self.mix.slot_time_ratio(short)
            * self.queue.work_ahead(short, request.plan),
            work=estimate.seconds,
            seconds_left=request.seconds_left,
        )

    def _record_refusal(
        self, request: PlacementRequest, inputs: QueueAdmissionInputs, reason: str
    ) -> None:
        metrics.REFUSED.labels(reason).inc()
        kind = DecisionKind.REFUSE
        decision = Decision(
            kind, inputs.to_message(), False, reason, request.request_id
        )
        self.context.recorder.record(decision)

    def _start(self, snapshot: CellSnapshot, choice: PlacementChoice) -> None:
        now = self.context.timers.now()
        item = self.queue.remove(choice.ticket)
        self.queue.charge(item)
        placed = RunningPlacement(
            choice.ticket,
            item.node,
            item.request.request_id,
            choice.endpoint_id,
            item.short,
            item.estimate.seconds,
            now,
            item.request,
            now - item.arrived,
            cached=self.state.prefixes.cached_share(
                choice.endpoint_id, item.request.prefix
            ),
        )
        self.state.add(placed, now)
        self._record(snapshot, choice, item.request.request_id)
        self.context.deliver(item.node, self._placed_reply(placed))

    def _record(
        self, snapshot: CellSnapshot, choice: PlacementChoice, request_id: str
    ) -> None:
        metrics.PLACED.labels("owner", choice.reason).inc()
        self.context.recorder.record(
            Decision(
                DecisionKind.ROUTE,
                {"policy": "owner", "snapshot": snapshot.to_message()},
                [choice.ticket, choice.endpoint_id],
                choice.reason,
                request_id,
            )
        )

    def _long_limit(self) -> int:
        short_load, long_load = self.mix.average_slots(self.context.timers.now())
        weight = self.context.settings.weight_short
        slots = self.state.usable_slots(self.context.usable())
        return max_long_slots(slots, short_load, long_load, weight)

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
            long_wait_seconds=self.context.settings.long_wait_seconds,
            weights=self.context.weights(),
            seed=self.seed,
        )

    def _waiting(
        self, item: QueuedRequest, plan_time: float, endpoints: list[EndpointState]
    ) -> WaitingRequest:
        now = self.context.timers.now()
        request = item.request
        return WaitingRequest(
            ticket=request.ticket,
            short=item.short,
            plan=request.plan,
            plan_time=plan_time,
            work=item.estimate.seconds,
            low_work=item.estimate.low_seconds,
            prefill=item.estimate.prefill_seconds,
            waited=now - item.arrived,
            seconds_left=item.deadline - now,
            data_centre=request.data_centre,
            excluded=request.excluded,
            cached=self.state.cached_shares(endpoints, request.prefix),
            idempotent=request.idempotent,
            can_hedge=request.can_hedge,
        )

    def _candidates(self, request: PlacementRequest, usable: set[str]) -> list[str]:
        return [
            item.id
            for item in self.state.cell.endpoints
            if item.id in usable and item.id not in request.excluded
        ]

    def _drop(self, ticket: str) -> None:
        """Free a placement without learning from it."""
        now = self.context.timers.now()
        item = self.state.remove(ticket, now)
        if item is not None:
            self.state.health.abandon_trial(item.endpoint_id, ticket, now)

    def _refuse_queued(self, item: QueuedRequest, reason: RefuseReason) -> None:
        metrics.REFUSED.labels(str(reason)).inc()
        self.queue.remove(item.request.ticket)
        self.context.deliver(item.node, self._refusal(item.request.ticket, reason))

    def _refusal(self, ticket: str, reason: RefuseReason) -> PlacementReply:
        return PlacementReply(self.key, ticket, PlacementState.REFUSED, reason=reason)

    def _placed_reply(self, placed: RunningPlacement) -> PlacementReply:
        return PlacementReply(
            self.key,
            placed.ticket,
            PlacementState.PLACED,
            placed.endpoint_id,
            placed.queued_seconds,
            trial=placed.trial,
        )
