"""Local placement: without a queue, from the observations of one node."""

from dataclasses import dataclass, field

from rattanwick.internal.model.requests import Usage
from rattanwick.internal.recording.decisions import Decision, DecisionKind
from rattanwick.internal.routing import metrics
from rattanwick.internal.routing.cell_state import CellState, RunningPlacement
from rattanwick.internal.routing.cells import Cell
from rattanwick.internal.routing.messages import (
    PlacementReply,
    PlacementRequest,
    PlacementState,
    ProgressNote,
    RefuseReason,
    ReleaseNote,
)
from rattanwick.internal.routing.owner import OwnerContext
from rattanwick.internal.routing.placement_policy import UNLIMITED_SLOTS, choose_locally
from rattanwick.internal.routing.snapshots import (
    CellSnapshot,
    EndpointState,
    WaitingRequest,
)
from rattanwick.internal.routing.work_estimates import WorkEstimate, features_of


@dataclass(slots=True)
class LocalPlacer:
    """Place requests by the policy in the settings and this node's own counts."""

    context: OwnerContext
    states: dict[str, CellState] = field(default_factory=dict)
    seed: int = 0

    def state(self, cell: Cell) -> CellState:
        """Return this node's state of a cell; create it on first use."""
        state = self.states.get(cell.key)
        if state is None:
            state = self.states[cell.key] = self.context.new_state(cell)
        state.cell = cell
        return state

    def estimate(self, cell: Cell, request: PlacementRequest) -> WorkEstimate:
        """Return the expected work of a request from this node's own history."""
        features = features_of(request, cell.pool)
        return self.state(cell).history.estimate(features, request.prompt_tokens)

    def is_short(self, estimate: WorkEstimate) -> bool:
        """Return whether work is of the short class."""
        return estimate.high_seconds <= self.context.settings.short_seconds

    def place(self, cell: Cell, request: PlacementRequest) -> PlacementReply:
        """Place or refuse a request at once."""
        policy = self.context.settings.policy
        policy = "alone" if policy == "owner" else policy
        snapshot = self._snapshot(cell, request)
        choice, reason = choose_locally(policy, snapshot)
        metrics.PLACED.labels("node", reason).inc()
        self.context.recorder.record(
            Decision(
                DecisionKind.ROUTE,
                {"policy": policy, "snapshot": snapshot.to_message()},
                choice,
                reason,
                request.request_id,
            )
        )
        if choice is None:
            state, refused = PlacementState.REFUSED, RefuseReason.NO_ENDPOINT
            return PlacementReply(cell.key, request.ticket, state, reason=refused)
        return PlacementReply(
            cell.key, request.ticket, PlacementState.PLACED, choice[1]
        )

    def count(
        self, cell: Cell, request: PlacementRequest, endpoint_id: str
    ) -> RunningPlacement:
        """Add a placement of this node, whether an owner or this node made it."""
        state = self.state(cell)
        now = self.context.timers.now()
        estimate = self.estimate(cell, request)
        placement = RunningPlacement(
            request.ticket,
            "",
            request.request_id,
            endpoint_id,
            self.is_short(estimate),
            estimate.seconds,
            now,
            request,
            cached=state.prefixes.cached_share(endpoint_id, request.prefix),
        )
        state.add(placement, now)
        return placement

    def release(self, note: ReleaseNote, usage: Usage) -> None:
        """Remove a placement and learn from its usage."""
        state = self.states.get(note.cell)
        if state is not None:
            state.finish(note.ticket, usage, self.context.timers.now())

    def report_load(self, endpoint_id: str, requests: int, age: float) -> None:
        """Apply an endpoint's own load report."""
        now = self.context.timers.now()
        for state in self.states.values():
            if any(item.id == endpoint_id for item in state.cell.endpoints):
                state.reports.add(endpoint_id, requests, age, now)

    def observe(self, note: ProgressNote) -> None:
        """Update the health of an endpoint with the progress of a stream."""
        state = self.states.get(note.cell)
        if state is not None:
            state.observe(note, self.context.timers.now())

    def sweep(self) -> None:
        """Count overdue short requests as long, and update the health of endpoints."""
        now = self.context.timers.now()
        for state in self.states.values():
            state.reclassify(self.context.settings.short_seconds, now)
            state.health.update(state.cell.endpoints, now)

    def _snapshot(self, cell: Cell, request: PlacementRequest) -> CellSnapshot:
        self.seed += 1
        settings = self.context.settings
        state = self.state(cell)
        estimate = self.estimate(cell, request)
        now = self.context.timers.now()
        endpoints = state.endpoint_states(self.context.usable(), now)
        _open_slots(endpoints, request.excluded)
        waiting = WaitingRequest(
            ticket=request.ticket,
            short=self.is_short(estimate),
            plan=request.plan,
            plan_time=0.0,
            work=estimate.seconds,
            low_work=estimate.low_seconds,
            prefill=estimate.prefill_seconds,
            waited=request.waited,
            seconds_left=request.seconds_left,
            data_centre=request.data_centre,
            excluded=request.excluded,
            cached=state.cached_shares(endpoints, request.prefix),
            idempotent=request.idempotent,
            can_hedge=request.can_hedge,
        )
        return CellSnapshot(
            cell=cell.key,
            endpoints=endpoints,
            waiting=[waiting],
            long_limit=0,
            long_wait_seconds=settings.long_wait_seconds,
            weights=self.context.weights(),
            seed=self.seed,
        )


def _open_slots(endpoints: list[EndpointState], excluded: list[str]) -> None:
    """Allow any number of requests at all endpoints that are not ejected.

    If the request may only run at ejected endpoints, these count as not ejected.
    Without a queue, a request is placed even if all slots are in use.
    """
    allowed = [item for item in endpoints if item.id not in excluded]
    only_ejected = all(item.aside for item in allowed)
    for item in endpoints:
        if only_ejected:
            item.aside = False
        if not item.aside:
            item.open_slots = UNLIMITED_SLOTS
