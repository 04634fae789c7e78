"""Client that requests placements from the owner of a cell."""

from gevent import spawn
from gevent.event import Event

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.peers.interfaces import Ownership, PeerNetwork
from rattanwick.internal.routing import metrics
from rattanwick.internal.routing.messages import (
    CANCEL,
    PLACE,
    PLACED,
    PlacementReply,
    PlacementRequest,
    PlacementState,
    RefuseReason,
)
from rattanwick.internal.routing.owned_cells import OwnedCells

log = get_logger("routing")

REQUEST_TIMEOUT_SECONDS = 0.5
# A queued request is sent again at this interval, in case the reply was lost.
REPEAT_INTERVAL_SECONDS = 1.0
# No request is sent to an owner for this time after it did not answer one.
UNREACHABLE_RETRY_SECONDS = 1.0


class PendingRequest:
    """Placement request of this node that has no final reply yet."""

    __slots__ = ("request", "last_sent_at", "deadline", "event", "owner", "reply")

    def __init__(
        self,
        request: PlacementRequest,
        owner: str,
        last_sent_at: float,
        deadline: float,
    ):
        self.request = request
        self.owner = owner
        self.last_sent_at = last_sent_at  # monotonic seconds
        self.deadline = deadline  # monotonic seconds
        self.event = Event()
        self.reply: PlacementReply | None = None


class OwnerClient:
    """Request placements from the owners of cells, at this node or at others."""

    def __init__(
        self,
        self_id: str,
        ownership: Ownership,
        network: PeerNetwork,
        timers: TimerService,
    ):
        self._self_id = self_id
        self._ownership = ownership
        self._network = network
        self._timers = timers
        self._owned: OwnedCells | None = None
        self._pending: dict[str, PendingRequest] = {}
        self._unreachable: dict[str, float] = {}  # node -> monotonic seconds
        network.handle(PLACED, self._handle_placed)

    def attach(self, owned: OwnedCells) -> None:
        """Set the cells that this node owns; they need this client to send replies."""
        self._owned = owned

    def find_owner(self, cell: str) -> str | None:
        """Return the node id of a cell's owner, or None if unknown or unreachable.

        An owner that did not answer counts as unreachable for a short time.
        """
        owner = self._ownership.owner(cell)
        if owner is None:
            return None
        until = self._unreachable.get(owner.id, 0.0)
        return owner.id if until <= self._timers.now() else None

    def request(
        self, owner: str, request: PlacementRequest, deadline: float
    ) -> PlacementReply | None:
        """Request a placement from an owner and wait for the final reply.

        Returns None if the owner must be looked up again.
        """
        pending = PendingRequest(request, owner, self._timers.now(), deadline)
        self._pending[request.ticket] = pending
        reply = None
        try:
            reply = self._send(owner, request)
            if reply is not None and reply.state == PlacementState.QUEUED:
                pending.event.wait()
                reply = pending.reply
            elif reply is None:
                reply = pending.reply
            return reply
        finally:
            self._pending.pop(request.ticket, None)
            if reply is None or reply.state == PlacementState.QUEUED:
                self.cancel(owner, request.cell, request.ticket)

    def cancel(self, owner: str, cell: str, ticket: str) -> None:
        """Cancel a request or a placement that no caller waits for any more."""
        if owner == self._self_id:
            self._owned.cancel(cell, ticket)
            return
        self._network.notify(owner, CANCEL, {"cell": cell, "ticket": ticket})

    def deliver(self, node_id: str, reply: PlacementReply) -> None:
        """Send the reply to a request that was queued."""
        if node_id == self._self_id:
            self._accept(self._self_id, reply)
        else:
            self._network.notify(node_id, PLACED, reply.to_wire())

    def is_waiting(self) -> bool:
        """Return whether a request waits for its final reply."""
        return bool(self._pending)

    def check_pending(self) -> None:
        """End requests whose deadline has passed or whose owner has changed.

        The others are sent again at an interval.
        """
        for pending in list(self._pending.values()):
            self._check(pending)

    def _send(self, owner: str, request: PlacementRequest) -> PlacementReply | None:
        if owner == self._self_id:
            return self._owned.place(request, owner)
        try:
            body = request.to_wire()
            answer = self._network.call(owner, PLACE, body, REQUEST_TIMEOUT_SECONDS)
        except StepError as exc:
            log.info(
                "owner %s of cell %s did not answer a placement request: %s",
                owner,
                request.cell,
                exc,
            )
            metrics.OWNER_CALL_FAILURES.inc()
            self._unreachable[owner] = self._timers.now() + UNREACHABLE_RETRY_SECONDS
            return None
        return PlacementReply.from_message(answer)

    def _accept(self, owner: str, reply: PlacementReply) -> None:
        """Pass a reply to its request; cancel a placement that no caller waits for."""
        pending = self._pending.get(reply.ticket)
        if pending is not None:
            pending.reply = reply
            pending.event.set()
        elif reply.state == PlacementState.PLACED and not self._owned.holds(
            reply.ticket
        ):
            self.cancel(owner, reply.cell, reply.ticket)

    def _handle_placed(self, peer: str, body: dict) -> None:
        self._accept(peer, PlacementReply.from_message(body))

    def _check(self, pending: PendingRequest) -> None:
        now = self._timers.now()
        request = pending.request
        owner = self._ownership.owner(request.cell)
        if now >= pending.deadline:
            reason, state = RefuseReason.DEADLINE_PASSED, PlacementState.REFUSED
            self.cancel(pending.owner, request.cell, request.ticket)
            refusal = PlacementReply(request.cell, request.ticket, state, reason=reason)
            self._accept(pending.owner, refusal)
        elif owner is None or owner.id != pending.owner:
            pending.event.set()
        elif (
            now - pending.last_sent_at >= REPEAT_INTERVAL_SECONDS
            and pending.owner != self._self_id
        ):
            pending.last_sent_at = now
            spawn(self._repeat, pending)

    def _repeat(self, pending: PendingRequest) -> None:
        """Send the request again, in case the reply was lost."""
        reply = self._send(pending.owner, pending.request)
        if reply is None:
            pending.event.set()
        elif reply.state != PlacementState.QUEUED:
            self._accept(pending.owner, reply)
