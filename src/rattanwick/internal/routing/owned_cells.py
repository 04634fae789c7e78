"""Cells that this node owns, and the handlers of messages from other nodes."""

from collections.abc import Callable

from gevent import spawn

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.peers.interfaces import Members, Ownership, PeerNetwork
from rattanwick.internal.routing.adaptive_timer import AdaptiveTimer
from rattanwick.internal.routing.endpoints import EndpointDirectory
from rattanwick.internal.routing.messages import (
    CANCEL,
    HOLDINGS,
    PLACE,
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
from rattanwick.internal.routing.owner import CellOwner, OwnerContext

log = get_logger("routing")

HOLDINGS_TIMEOUT_SECONDS = 0.3
RECONCILE_INTERVAL_SECONDS = 5.0


class OwnedCells:
    """Cells for which nodes treat this node as the owner, with their queues."""

    def __init__(
        self,
        context: OwnerContext,
        members: Members,
        ownership: Ownership,
        network: PeerNetwork,
        directory: EndpointDirectory,
        list_held: Callable[[str], list[HeldPlacement]],
        is_held: Callable[[str], bool],
    ):
        self._context = context
        self._members = members
        self._ownership = ownership
        self._network = network
        self._directory = directory
        self._list_held = list_held  # returns this node's placements in a cell
        self._is_held = is_held  # whether this node holds the placement with a ticket
        self._self_id = members.self_node.id
        self._owners: dict[str, CellOwner] = {}
        network.handle(PLACE, self._handle_place)
        network.handle(RELEASE, self._handle_release)
        network.handle(CANCEL, self._handle_cancel)
        network.handle(PROGRESS, self._handle_progress)
        network.handle(HOLDINGS, self._handle_held_placements)
        members.subscribe(self._free_dead_nodes)
        timers = context.timers
        self._timer = AdaptiveTimer("routing sweep", timers, self._sweep, self._is_busy)
        timers.subscribe(
            "routing reconcile", RECONCILE_INTERVAL_SECONDS, self._reconcile
        )

    def hosts(self, cell: str) -> bool:
        """Return whether the queue of a cell is at this node."""
        return cell in self._owners

    def holds(self, ticket: str) -> bool:
        """Return whether this node holds a placement."""
        return self._is_held(ticket)

    def place(self, request: PlacementRequest, node_id: str) -> PlacementReply:
        """Place, queue or refuse a request; create the queue on first use."""
        owner = self._owner_of(request.cell)
        if owner is None:
            reason = RefuseReason.NO_ENDPOINT
            return PlacementReply(
                request.cell, request.ticket, PlacementState.REFUSED, reason=reason
            )
        reply = owner.place(request, node_id)
        self._timer.wake()
        return reply

    def release(self, note: ReleaseNote) -> None:
        """Free the slot of a placement."""
        owner = self._owners.get(note.cell)
        if owner is not None:
            owner.release(note)

    def observe(self, note: ProgressNote) -> None:
        """Update the health of an endpoint with the progress of a stream."""
        owner = self._owners.get(note.cell)
        if owner is not None:
            owner.observe(note)

    def cancel(self, cell: str, ticket: str) -> None:
        """Remove a request or a placement that no caller waits for any more."""
        owner = self._owners.get(cell)
        if owner is not None:
            owner.cancel(ticket)

    def report_load(self, endpoint_id: str, requests: int, age: float) -> None:
        """Apply an endpoint's own load report."""
        now = self._context.timers.now()
        for owner in self._owners.values():
            if any(item.id == endpoint_id for item in owner.state.cell.endpoints):
                owner.state.reports.add(endpoint_id, requests, age, now)

    def update_cells(self) -> None:
        """Apply changes of the cells; refuse requests that wait in removed cells."""
        for key, owner in list(self._owners.items()):
            cell = self._directory.cell(key)
            if cell is None:
                owner.refuse_all(RefuseReason.NO_ENDPOINT)
                del self._owners[key]
            else:
                owner.state.cell = cell
                owner.sweep()

    def _is_busy(self) -> bool:
        return any(
            len(owner.queue) or owner.state.running for owner in self._owners.values()
        )

    def _owner_of(self, key: str) -> CellOwner | None:
        owner = self._owners.get(key)
        if owner is not None:
            return owner
        cell = self._directory.cell(key)
        if cell is None:
            return None
        owner = CellOwner(self._context, self._context.new_state(cell))
        self._owners[key] = owner
        others = [item.id for item in self._members.live() if item.id != self._self_id]
        if others:
            spawn(self._fetch_all_placements, owner, others)
        else:
            owner.ready = True
        return owner

    def _fetch_all_placements(self, owner: CellOwner, others: list[str]) -> None:
        """Fetch the placements that all nodes hold before the owner makes its first."""
        tasks = [
            spawn(self._fetch_held_placements, owner, node_id) for node_id in others
        ]
        for task in tasks:
            task.join()
        owner.add_held(self._self_id, self._list_held(owner.key))
        owner.ready = True
        log.info("this node now owns cell %s", owner.key)
        owner.place_waiting()

    def _fetch_held_placements(self, owner: CellOwner, node_id: str) -> None:
        asked_at = self._context.timers.now()
        body = {"cell": owner.key}
        try:
            timeout = HOLDINGS_TIMEOUT_SECONDS
            answer = self._network.call(node_id, HOLDINGS, body, timeout)
        except StepError as exc:
            log.info("node %s did not report its held placements: %s", node_id, exc)
            return
        held_placements = [
            HeldPlacement.from_message(item) for item in answer["holdings"]
        ]
        owner.reconcile(node_id, held_placements, asked_at)

    def _handle_place(self, peer: str, body: dict) -> dict:
        return self.place(PlacementRequest.from_message(body), peer).to_wire()

    def _handle_release(self, peer: str, body: dict) -> None:
        self.release(ReleaseNote.from_message(body))

    def _handle_progress(self, peer: str, body: dict) -> None:
        self.observe(ProgressNote.from_message(body))

    def _handle_cancel(self, peer: str, body: dict) -> None:
        self.cancel(body["cell"], body["ticket"])

    def _handle_held_placements(self, peer: str, body: dict) -> dict:
        held_placements = [item.to_wire() for item in self._list_held(body["cell"])]
        return {"holdings": held_placements}

    def _free_dead_nodes(self) -> None:
        live = {item.id for item in self._members.live()} | {self._self_id}
        for owner in self._owners.values():
            for node_id in owner.nodes() - live:
                owner.free_node(node_id)
            owner.place_waiting()

    def _sweep(self) -> None:
        for key, owner in list(self._owners.items()):
            current = self._ownership.owner(key)
            moved = current is not None and current.id != self._self_id
            if moved and owner.is_idle():
                del self._owners[key]
            else:
                owner.sweep()

    def _reconcile(self) -> None:
        """Compare the placements with those that the nodes report as held."""
        for owner in list(self._owners.values()):
            for node_id in owner.nodes() - {self._self_id}:
                self._fetch_held_placements(owner, node_id)
            held = self._list_held(owner.key)
            owner.reconcile(self._self_id, held, self._context.timers.now())
