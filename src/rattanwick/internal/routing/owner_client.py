"""Ask the soft owner of a cell and wait for its answer."""

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

ASK_TIMEOUT_SECONDS = 0.5
REPEAT_SECONDS = 1.0  # a queued ask is repeated, in case its answer was lost
UNREACHABLE_SECONDS = 1.0  # an owner that did not answer is not asked again


class Waiter:
    """Wait for the answer to a queued ask."""

    __slots__ = ("request", "asked", "deadline", "event", "owner", "reply")

    def __init__(
        self, request: PlacementRequest, owner: str, asked: float, deadline: float
    ):
        self.request = request
        self.owner = owner
        self.asked = asked  # monotonic seconds
        self.deadline = deadline  # monotonic seconds
        self.event = Event()
        self.reply: PlacementReply | None = None


class OwnerClient:
    """Ask owners at other nodes, or the queue at this one."""

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
        """Set the queues of this node, which need this client to answer."""
        self._owned = owned

    def find_owner(self, cell: str) -> str | None:
        """Return the soft owner, or None where the request is placed alone."""
        owner = self._ownership.owner(cell)
        if owner is None:
            return None
        until = self._unreachable.get(owner.id, 0.0)
        return owner.id if until <= self._timers.now() else None

    def request(
        self, owner: str, request: PlacementRequest, deadline: float
    ) -> PlacementReply | None:
        """Return the final reply, or None to look for an owner again."""
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
        """Give up an ask or a placement that nobody waits for."""
        if owner == self._self_id:
            self._owned.cancel(cell, ticket)
            return
        self._network.notify(owner, CANCEL, {"cell": cell, "ticket": ticket})

    def deliver(self, node_id: str, reply: PlacementReply) -> None:
        """Send the later answer to a queued ask."""
        if node_id == self._self_id:
            self._accept(self._self_id, reply)
        else:
            self._network.notify(node_id, PLACED, reply.to_wire())

    def is_waiting(self) -> bool:
        """Tell whether an ask waits for its answer."""
        return bool(self._waiters)

    def check_waiters(self) -> None:
        """Wake waiters whose deadline passed or whose owner changed."""
        for waiter in list(self._waiters.values()):
            self._check(waiter)

    def _send(self, owner: str, request: PlacementRequest) -> PlacementReply | None:
        if owner == self._self_id:
            return self._owned.place(request, owner)
        try:
            body = request.to_wire()
            answer = self._network.call(owner, PLACE, body, ASK_TIMEOUT_SECONDS)
        except StepError as exc:
            log.info("owner %s of %s did not answer: %s", owner, request.cell, exc)
            metrics.OWNER_LOST.inc()
            self._unreachable[owner] = self._timers.now() + UNREACHABLE_SECONDS
            return None
        return PlacementReply.from_message(answer)

    def _accept(self, owner: str, reply: PlacementReply) -> None:
        """Hand an answer to its waiter; give back a placement nobody wants."""
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
        elif now - waiter.asked >= REPEAT_SECONDS and waiter.owner != self._self_id:
            waiter.asked = now
            spawn(self._repeat, waiter)

    def _repeat(self, waiter: Waiter) -> None:
        """Ask again, in case the later answer was lost."""
        reply = self._send(waiter.owner, waiter.request)
        if reply is None:
            waiter.event.set()
        elif reply.state != PlacementState.QUEUED:
            self._accept(waiter.owner, reply)
