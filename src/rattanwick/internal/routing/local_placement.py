"""Placement without a queue, from what one node knows."""

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
    """Place requests by the policy of the settings on this node's own counts."""

    parts: OwnerContext
    states: dict[str, CellState] = field(default_factory=dict)
    seed: int = 0

    def state(self, cell: Cell) -> CellState:
        """Return what this node knows of a cell."""
        known = self.states.get(cell.key)
        if known is None:
            known = self.states[cell.key] = self.parts.new_state(cell)
        known.cell = cell
        return known

    def estimate(self, cell: Cell, request: PlacementRequest) -> WorkEstimate:
        """Return the expected work by this node's own history."""
        features = features_of(request, cell.pool)
        return self.state(cell).history.estimate(features, request.prompt_tokens)

    def is_short(self, estimate: WorkEstimate) -> bool:
        """Tell whether work counts as short."""
        return estimate.high_seconds <= self.parts.settings.short_seconds

    def place(self, cell: Cell, request: PlacementRequest) -> PlacementReply:
        """Place an ask at once."""
        policy = self.parts.settings.policy
        policy = "alone" if policy == "owner" else policy
        snapshot = self._snapshot(cell, request)
        choice, reason = choose_locally(policy, snapshot)
        metrics.PLACED.labels("node", reason).inc()
        self.parts.recorder.record(
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
        """Count a request of this node, however it was placed."""
        state = self.state(cell)
        now = self.parts.timers.now()
        estimate = self.estimate(cell, request)
        item = RunningPlacement(
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
        state.add(item, now)
        return item

    def release(self, note: ReleaseNote, usage: Usage) -> None:
        """Stop counting a request and learn from it."""
        state = self.states.get(note.cell)
        if state is not None:
            state.finish(note.ticket, usage, self.parts.timers.now())

    def report_load(self, endpoint_id: str, requests: int, age: float) -> None:
        """Take in an endpoint's own load report."""
        now = self.parts.timers.now()
        for state in self.states.values():
            if any(item.id == endpoint_id for item in state.cell.endpoints):
                state.reports.add(endpoint_id, requests, age, now)

    def observe(self, note: ProgressNote) -> None:
        """Take in how a stream of this node goes."""
        state = self.states.get(note.cell)
        if state is not None:
            state.observe(note, self.parts.timers.now())

    def sweep(self) -> None:
        """Update the health of endpoints."""
        now = self.parts.timers.now()
        for state in self.states.values():
            state.reclassify(self.parts.settings.short_seconds, now)
            state.health.update(state.cell.endpoints, now)

    def _snapshot(self, cell: Cell, request: PlacementRequest) -> CellSnapshot:
        self.seed += 1
        settings = self.parts.settings
        state = self.state(cell)
        estimate = self.estimate(cell, request)
        now = self.parts.timers.now()
        endpoints = state.endpoint_states(self.parts.usable(), now)
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
            weights=self.parts.weights(),
            seed=self.seed,
        )


def _open_slots(endpoints: list[EndpointState], excluded: list[str]) -> None:
    """Open all endpoints that are not set aside, or all where no other is left."""
    allowed = [item for item in endpoints if item.id not in excluded]
    only_aside = all(item.aside for item in allowed)
    for item in endpoints:
        if only_aside:
            item.aside = False
        if not item.aside:
            item.open_slots = UNLIMITED_SLOTS
