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
# A queued request is sent again after this time, in case the reply was lost.
REPEAT_INTERVAL_SECONDS = 1.0
# An owner that did not answer gets no request for this time.
UNREACHABLE_RETRY_SECONDS = 1.0


class Waiter:
    """Placement request whose task waits for the reply."""

    __slots__ = ("request", "asked", "deadline", "event", "owner", "reply")

    def __init__(
        self, request: PlacementRequest, owner: str, asked: float, deadline: float
    ):
        self.request = request
        self.owner = owner
        self.asked = asked  # monotonic seconds, when the owner was last asked
        self.deadline = deadline  # monotonic seconds
        self.event = Event()
        self.reply: PlacementReply | None = None


class OwnerClient:
    """Request placements from owners at other nodes, or from this node's queues."""

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
        self._waiters: dict[str, Waiter] = {}
        self._unreachable: dict[str, float] = {}  # node -> monotonic seconds
        network.handle(PLACED, self._handle_placed)

    def attach(self, owned: OwnedCells) -> None:
        """Set this node's queues, which themselves need this client to send replies."""
        self._owned = owned

    def find_owner(self, cell: str) -> str | None:
        """Return the owner's node id, or None if unknown or recently unreachable."""
        owner = self._ownership.owner(cell)
        if owner is None:
            return None
        until = self._unreachable.get(owner.id, 0.0)
        return owner.id if until <= self._timers.now() else None

    def request(
        self, owner: str, request: PlacementRequest, deadline: float
    ) -> PlacementReply | None:
        """Return the final reply, or None if the owner must be looked up again."""
        waiter = Waiter(request, owner, self._timers.now(), deadline)
        self._waiters[request.ticket] = waiter
        reply = None
        try:
            reply = self._send(owner, request)
            if reply is not None and reply.state == PlacementState.QUEUED:
                waiter.event.wait()
                reply = waiter.reply
            elif reply is None:
                reply = waiter.reply
            return reply
        finally:
            self._waiters.pop(request.ticket, None)
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
        """Return whether a request waits for its reply."""
        return bool(self._waiters)

    def check_waiters(self) -> None:
        """Wake waiters whose deadline passed or owner changed; repeat requests."""
        for waiter in list(self._waiters.values()):
            self._check(waiter)

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
            metrics.OWNER_LOST.inc()
            self._unreachable[owner] = self._timers.now() + UNREACHABLE_RETRY_SECONDS
            return None
        return PlacementReply.from_message(answer)

    def _accept(self, owner: str, reply: PlacementReply) -> None:
        """Pass a reply to its waiter; cancel a placement that no caller waits for."""
        waiter = self._waiters.get(reply.ticket)
        if waiter is not None:
            waiter.reply = reply
            waiter.event.set()
        elif reply.state == PlacementState.PLACED and not self._owned.holds(
            reply.ticket
        ):
            self.cancel(owner, reply.cell, reply.ticket)

    def _handle_placed(self, peer: str, body: dict) -> None:
        self._accept(peer, PlacementReply.from_message(body))

    def _check(self, waiter: Waiter) -> None:
        now = self._timers.now()
        request = waiter.request
        owner = self._ownership.owner(request.cell)
        if now >= waiter.deadline:
            reason, state = RefuseReason.DEADLINE_PASSED, PlacementState.REFUSED
            self.cancel(waiter.owner, request.cell, request.ticket)
            refusal = PlacementReply(request.cell, request.ticket, state, reason=reason)
            self._accept(waiter.owner, refusal)
        elif owner is None or owner.id != waiter.owner:
            waiter.event.set()
        elif (
            now - waiter.asked >= REPEAT_INTERVAL_SECONDS
            and waiter.owner != self._self_id
        ):
            waiter.asked = now
            spawn(self._repeat, waiter)

    def _repeat(self, waiter: Waiter) -> None:
        """Send the request again, in case the reply was lost."""
        reply = self._send(waiter.owner, waiter.request)
        if reply is None:
            waiter.event.set()
        elif reply.state != PlacementState.QUEUED:
            self._accept(waiter.owner, reply)
