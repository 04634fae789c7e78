"""Placement of this node's requests through the owners of cells."""

import itertools
from collections import Counter
from dataclasses import dataclass

from rattanwick.internal.base.errors import Refused
from rattanwick.internal.base.ids import rendezvous_weight
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.settings import RoutingSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.requests import Placement, ServingRequest, Usage
from rattanwick.internal.peers.interfaces import Gossip, Members, Ownership, PeerNetwork
from rattanwick.internal.platform.interfaces import InstanceList
from rattanwick.internal.recording.decisions import Recorder
from rattanwick.internal.routing.adaptive_timer import AdaptiveTimer
from rattanwick.internal.routing.cell_state import RunningPlacement
from rattanwick.internal.routing.cells import Cell
from rattanwick.internal.routing.endpoints import EndpointDirectory
from rattanwick.internal.routing.extra_attempts import ExtraAttempts
from rattanwick.internal.routing.interfaces import Router
from rattanwick.internal.routing.local_placement import LocalPlacer
from rattanwick.internal.routing.messages import (
    PROGRESS,
    RELEASE,
    HeldPlacement,
    PlacementReply,
    PlacementRequest,
    PlacementState,
    ProgressNote,
    RefuseReason,
    ReleaseNote,
)
from rattanwick.internal.routing.owned_cells import OwnedCells
from rattanwick.internal.routing.owner import OwnerContext
from rattanwick.internal.routing.owner_client import OwnerClient
from rattanwick.internal.routing.progress import ProgressTracker, StreamProgress
from rattanwick.internal.routing.work_estimates import (
    features_of,
    features_of_serving_request,
    hash_prefix,
)

log = get_logger("routing")

CELL_CANDIDATES = 2
HEDGE_QUANTILE = 0.95
TRIAL_HEDGE_QUANTILE = 0.5  # a trial on a slow endpoint is hedged early


@dataclass(slots=True)
class LocalPlacement:
    """Placement that a request of this node holds until it is released."""

    placement: Placement
    request: PlacementRequest
    cell: Cell
    running_placement: RunningPlacement
    trial: bool  # the endpoint is ejected


class CellRouter(Router):
    """Place requests through the owners of cells, or locally if none is reachable."""

    def __init__(
        self,
        settings: RoutingSettings,
        members: Members,
        ownership: Ownership,
        network: PeerNetwork,
        instances: InstanceList,
        gossip: Gossip,
        timers: TimerService,
        recorder: Recorder,
    ):
        self._settings = settings
        self._members = members
        self._ownership = ownership
        self._network = network
        self._timers = timers
        self._self_id = members.self_node.id
        self._region = members.self_node.region
        self._tickets = itertools.count()
        self._ticket_prefix = f"{self._self_id}.{members.self_node.incarnation}"
        self._held: dict[str, LocalPlacement] = {}
        self._held_requests: Counter[str] = Counter()  # placements by request id
        self._client = OwnerClient(self._self_id, ownership, network, timers)
        self._directory = EndpointDirectory(instances, gossip, settings.cell_endpoints)
        self._context = OwnerContext(
            settings, timers, recorder, self._client.deliver, self._directory.usable
        )
        self._local = LocalPlacer(self._context)
        self._attempts = ExtraAttempts(settings, recorder)
        self._progress = ProgressTracker()
        self._owned = OwnedCells(
            self._context,
            members,
            ownership,
            network,
            self._directory,
            self._list_held,
            self._held.__contains__,
        )
        self._directory.subscribe(self._owned.update_cells)
        self._client.attach(self._owned)
        self._timer = AdaptiveTimer(
            "routing waiters", timers, self._sweep, self._is_busy
        )

    def place(
        self, req: ServingRequest, excluded: frozenset[str] = frozenset()
    ) -> Placement:
        """Wait for a placement and return it.

        A call for a request that already holds a placement is a hedge. Raises
        Refused if no endpoint may run the request, the deadline cannot be met,
        or the budget of hedges is spent.
        """
        self._timer.wake()
        started = self._timers.now()
        deadline = started + req.deadline - self._timers.wall_time()
        hedged = self._begin_attempt(req)
        prefix = hash_prefix(req)
        while True:
            cell = self._select_cell(req, excluded, prefix)
            request = self._make_request(req, cell, excluded, prefix, started, deadline)
            request.hedged = hedged
            if request.seconds_left <= 0:
                raise Refused("place", req.pool, RefuseReason.DEADLINE_PASSED)
            owner = self._find_owner(cell)
            if owner is None:
                return self._place_locally(cell, request)
            reply = self._client.request(owner, request, deadline)
            if reply is None:
                continue
            if self._lacks_endpoints(owner, reply):
                return self._place_locally(cell, request)
            if reply.state == PlacementState.REFUSED:
                raise Refused("place", req.pool, reply.reason)
            return self._hold(cell, request, reply, owner)

    def release(self, placement: Placement, usage: Usage) -> None:
        """Release a placement and report how the attempt went."""
        held = self._held.pop(placement.id, None)
        if held is None:
            return
        self._forget_request(placement.request_id)
        self._progress.streams.pop(placement.id, None)
        note = ReleaseNote.make(held.cell.key, placement.id, usage)
        self._local.release(note, usage)
        for node_id in self._release_targets(held):
            if node_id == self._self_id:
                self._owned.release(note)
            else:
                self._network.notify(node_id, RELEASE, note.to_wire())

    def may_retry(self, req: ServingRequest) -> bool:
        """Spend one retry of the budget; return whether the budget had one."""
        return self._attempts.may_retry(req)

    def hedge_delay(self, req: ServingRequest) -> float | None:
        """Return the seconds to wait before a hedge, or None for no hedge.

        A model request is hedged if it has no first token by then, a service call
        if it has no response. The hedge itself is a second call of ``place`` while
        the first placement is held; that call spends the budget.
        """
        prefix = hash_prefix(req)
        try:
            cell = self._select_cell(req, frozenset(), prefix)
        except Refused:
            return None
        state = self._local.state(cell)
        features = features_of_serving_request(req, prefix)
        estimate = state.history.estimate(features, req.prompt_tokens)
        trial = self._is_on_trial(req.id)
        share = TRIAL_HEDGE_QUANTILE if trial else HEDGE_QUANTILE
        usual = state.history.latency_quantile(features, req.prompt_tokens, share)
        return self._attempts.hedge_delay(req, self._local.is_short(estimate), usual)

    def _is_on_trial(self, request_id: str) -> bool:
        return any(
            held.trial and held.request.request_id == request_id
            for held in self._held.values()
        )

    def report_progress(
        self,
        placement: Placement,
        first_token_seconds: float | None,
        seconds_between_tokens: float | None,
    ) -> None:
        """Report a stream's progress at its first token, then a few times a second."""
        held = self._held.get(placement.id)
        if held is None:
            return
        note = self._progress.report(
            placement.id,
            self._local.state(held.cell).history,
            first_token_seconds,
            seconds_between_tokens,
        )
        if note is not None:
            self._send_progress(note)

    def report_load(
        self, endpoint_id: str, running: int, waiting: int, age: float
    ) -> None:
        """Apply an endpoint's own load report, ``age`` seconds old."""
        self._owned.report_load(endpoint_id, running + waiting, age)
        self._local.report_load(endpoint_id, running + waiting, age)

    def _send_progress(self, note: ProgressNote) -> None:
        self._local.observe(note)
        owner = self._ownership.owner(note.cell)
        if owner is None or self._settings.policy != "owner":
            return
        if owner.id == self._self_id:
            self._owned.observe(note)
        else:
            self._network.notify(owner.id, PROGRESS, note.to_wire())

    def _forget_request(self, request_id: str) -> None:
        self._held_requests[request_id] -= 1
        if self._held_requests[request_id] <= 0:
            del self._held_requests[request_id]

    def _begin_attempt(self, req: ServingRequest) -> bool:
        """Count a new request, or spend a hedge; return True for a hedge."""
        hedged = self._held_requests[req.id] > 0
        if not hedged:
            self._attempts.count_request(req)
        elif not self._attempts.spend_hedge(req):
            raise Refused("place", req.pool, RefuseReason.HEDGE_BUDGET)
        return hedged

    def _select_cell(
        self, req: ServingRequest, excluded: frozenset[str], prefix: list[int]
    ) -> Cell:
        """Return a cell of the nearest region that can run the request.

        The leading text hashes to two cells. Of these, the one with fewer requests of
        this node per slot is chosen, so that requests with the same prefix stay
        together and the load spreads.
        """
        cells = self._directory.usable_cells(req.pool, excluded)
        if not cells:
            raise Refused("place", req.pool, RefuseReason.NO_ENDPOINT)
        near = [item for item in cells if item.region == self._region] or cells
        text = str(prefix[0]) if prefix else req.id
        ranked = sorted(near, key=lambda item: -rendezvous_weight(text, item.key))
        return min(ranked[:CELL_CANDIDATES], key=self._own_load)

    def _own_load(self, cell: Cell) -> float:
        return len(self._local.state(cell).running) / max(cell.slots, 1)

    def _make_request(
        self,
        req: ServingRequest,
        cell: Cell,
        excluded: frozenset[str],
        prefix: list[int],
        started: float,
        deadline: float,
    ) -> PlacementRequest:
        now = self._timers.now()
        return PlacementRequest(
            cell=cell.key,
            ticket=f"{self._ticket_prefix}.{next(self._tickets)}",
            request_id=req.id,
            organisation=req.organisation,
            plan=req.plan,
            kind=str(req.kind),
            prompt_tokens=req.prompt_tokens,
            max_output_tokens=req.max_output_tokens,
            priority=req.priority,
            seconds_left=deadline - now,
            data_centre=self._members.self_node.data_centre,
            excluded=sorted(excluded),
            prefix=prefix,
            idempotent=req.idempotent,
            can_hedge=self._attempts.can_hedge(req),
            waited=now - started,
        )

    def _find_owner(self, cell: Cell) -> str | None:
        """Return the owner's node id, or None if the request is placed locally."""
        if self._settings.policy != "owner":
            return None
        return self._client.find_owner(cell.key)

    def _lacks_endpoints(self, owner: str, reply: PlacementReply) -> bool:
        """Return whether the owner is another node and has no endpoint for the request.

        This node knows one, so it places the request locally.
        """
        return owner != self._self_id and reply.reason == RefuseReason.NO_ENDPOINT

    def _place_locally(self, cell: Cell, request: PlacementRequest) -> Placement:
        reply = self._local.place(cell, request)
        if reply.state == PlacementState.REFUSED:
            raise Refused("place", cell.pool, reply.reason)
        return self._hold(cell, request, reply, "")

    def _release_targets(self, held: LocalPlacement) -> set[str]:
        """Return the nodes to notify of a release.

        These are the owner that made the placement and the present owner of the cell.
        """
        if self._settings.policy != "owner":
            return set()
        owner = self._ownership.owner(held.cell.key)
        targets = {held.placement.owner}
        if owner is not None:
            targets.add(owner.id)
        return targets - {""}

    def _hold(
        self, cell: Cell, request: PlacementRequest, reply: PlacementReply, owner: str
    ) -> Placement:
        placement = Placement(
            id=request.ticket,
            request_id=request.request_id,
            endpoint_id=reply.endpoint_id,
            owner=owner,
            queued_seconds=reply.queued_seconds,
            hedged=request.hedged,
        )
        running_placement = self._local.count(cell, request, reply.endpoint_id)
        self._held[request.ticket] = LocalPlacement(
            placement, request, cell, running_placement, reply.trial
        )
        self._held_requests[request.request_id] += 1
        self._progress.streams[request.ticket] = StreamProgress(
            cell.key,
            reply.endpoint_id,
            features_of(request, cell.pool),
            request.prompt_tokens,
            self._timers.now(),
        )
        return placement

    def _list_held(self, cell: str) -> list[HeldPlacement]:
        now = self._timers.now()
        return [
            HeldPlacement(
                cell,
                ticket,
                held.request.request_id,
                held.placement.endpoint_id,
                held.running_placement.short,
                held.running_placement.work,
                now - held.running_placement.placed_at,
            )
            for ticket, held in self._held.items()
            if held.cell.key == cell
        ]

    def _is_busy(self) -> bool:
        return bool(self._held) or self._client.is_waiting()

    def _sweep(self) -> None:
        self._client.check_pending()
        self._local.sweep()
        now = self._timers.now()
        for key, state in self._local.states.items():
            for note in self._progress.find_late(state.history, key, now):
                self._send_progress(note)
