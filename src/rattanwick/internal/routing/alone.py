"""Placement without a queue, from what one node knows."""

from dataclasses import dataclass, field

from rattanwick.internal.recording.decisions import Decision, DecisionKind
from rattanwick.internal.routing.cells import Cell
from rattanwick.internal.routing.choice import EMERGENCY_SLOTS, choose_alone
from rattanwick.internal.routing.messages import (
    PlaceAsk,
    PlaceReply,
    PlaceState,
    RefuseReason,
    ReleaseNote,
)
from rattanwick.internal.routing.owner import OwnerParts
from rattanwick.internal.routing.snapshots import (
    CellSnapshot,
    EndpointState,
    WaitingRequest,
    Weights,
)
from rattanwick.internal.routing.work import features_of


@dataclass(slots=True)
class Counted:
    """Hold a request of this node that is in flight at an endpoint."""

    endpoint_id: str
    work: float  # seconds
    placed: float  # monotonic seconds


@dataclass(slots=True)
class AlonePlacer:
    """Place requests by the policy of the settings on this node's own counts."""

    parts: OwnerParts
    counted: dict[str, Counted] = field(default_factory=dict)
    seed: int = 0

    def place(self, cell: Cell, ask: PlaceAsk) -> PlaceReply:
        """Place an ask at once."""
        estimate = self.parts.history.estimate(
            features_of(ask, cell.pool), ask.prompt_tokens
        )
        snapshot = self._snapshot(cell, ask, estimate)
        policy = self.parts.settings.policy
        choice, reason = choose_alone(policy, snapshot)
        self.parts.recorder.record(
            Decision(
                DecisionKind.ROUTE,
                {
                    "policy": "alone" if policy == "owner" else policy,
                    "snapshot": snapshot.to_message(),
                },
                choice,
                reason,
                ask.request_id,
            )
        )
        if choice is None:
            state, refused = PlaceState.REFUSED, RefuseReason.NO_ENDPOINT
            return PlaceReply(cell.key, ask.ticket, state, reason=refused)
        self.count(cell, ask, choice[1])
        return PlaceReply(cell.key, ask.ticket, PlaceState.PLACED, choice[1])

    def count(self, cell: Cell, ask: PlaceAsk, endpoint_id: str) -> None:
        """Count a request of this node, however it was placed."""
        estimate = self.parts.history.estimate(
            features_of(ask, cell.pool), ask.prompt_tokens
        )
        now = self.parts.timers.now()
        self.counted[ask.ticket] = Counted(endpoint_id, estimate.seconds, now)

    def release(self, note: ReleaseNote) -> None:
        """Stop counting a request."""
        self.counted.pop(note.ticket, None)

    def _snapshot(self, cell: Cell, ask: PlaceAsk, estimate) -> CellSnapshot:
        self.seed += 1
        settings = self.parts.settings
        waiting = WaitingRequest(
            ticket=ask.ticket,
            short=estimate.high_seconds <= settings.short_seconds,
            plan=ask.plan,
            plan_time=0.0,
            work=estimate.seconds,
            low_work=estimate.low_seconds,
            prefill=estimate.prefill_seconds,
            waited=ask.waited,
            seconds_left=ask.seconds_left,
            data_centre=ask.data_centre,
            excluded=ask.excluded,
            cached=[],
        )
        return CellSnapshot(
            cell=cell.key,
            endpoints=self._endpoint_states(cell),
            waiting=[waiting],
            long_limit=0,
            long_wait_seconds=settings.long_wait_seconds,
            weights=Weights(
                settings.weight_cost, settings.weight_short, settings.weight_tail
            ),
            seed=self.seed,
        )

    def _endpoint_states(self, cell: Cell) -> list[EndpointState]:
        now = self.parts.timers.now()
        counts: dict[str, int] = {}
        remaining: dict[str, float] = {}
        for item in self.counted.values():
            counts[item.endpoint_id] = counts.get(item.endpoint_id, 0) + 1
            left = max(item.work - (now - item.placed), 0.0)
            remaining[item.endpoint_id] = remaining.get(item.endpoint_id, 0.0) + left
        return [
            EndpointState(
                id=item.id,
                data_centre=item.data_centre,
                slots=item.slots,
                short_running=counts.get(item.id, 0),
                long_running=0,
                remaining_seconds=remaining.get(item.id, 0.0),
                foreign=0.0,
                slowness=1.0,
                open_slots=EMERGENCY_SLOTS,
                price=item.price,
            )
            for item in cell.endpoints
            if self.parts.is_usable(item.id)
        ]
