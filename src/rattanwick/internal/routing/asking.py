"""Ask the soft owner of a cell and wait for its answer."""

from gevent import spawn
from gevent.event import Event

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.peers.interfaces import Ownership, PeerNetwork
from rattanwick.internal.routing import metrics
from rattanwick.internal.routing.hosting import OwnedCells
from rattanwick.internal.routing.messages import (
    CANCEL,
    PLACE,
    PLACED,
    PlaceAsk,
    PlaceReply,
    PlaceState,
    RefuseReason,
)

log = get_logger("routing")

ASK_TIMEOUT_SECONDS = 0.5
REPEAT_SECONDS = 1.0  # a queued ask is repeated, in case its answer was lost
UNREACHABLE_SECONDS = 1.0  # an owner that did not answer is not asked again


class Waiter:
    """Wait for the answer to a queued ask."""

    __slots__ = ("ask", "asked", "deadline", "event", "owner", "reply")

    def __init__(self, ask: PlaceAsk, owner: str, asked: float, deadline: float):
        self.ask = ask
        self.owner = owner
        self.asked = asked  # monotonic seconds
        self.deadline = deadline  # monotonic seconds
        self.event = Event()
        self.reply: PlaceReply | None = None


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

    def ask(self, owner: str, ask: PlaceAsk, deadline: float) -> PlaceReply | None:
        """Return the final reply, or None to look for an owner again."""
        waiter = Waiter(ask, owner, self._timers.now(), deadline)
        self._waiters[ask.ticket] = waiter
        reply = None
        try:
            reply = self._send(owner, ask)
            if reply is not None and reply.state == PlaceState.QUEUED:
                waiter.event.wait()
                reply = waiter.reply
            elif reply is None:
                reply = waiter.reply
            return reply
        finally:
            self._waiters.pop(ask.ticket, None)
            if reply is None or reply.state == PlaceState.QUEUED:
                self.cancel(owner, ask.cell, ask.ticket)

    def cancel(self, owner: str, cell: str, ticket: str) -> None:
        """Give up an ask or a placement that nobody waits for."""
        if owner == self._self_id:
            self._owned.cancel(cell, ticket)
            return
        self._network.notify(owner, CANCEL, {"cell": cell, "ticket": ticket})

    def deliver(self, node_id: str, reply: PlaceReply) -> None:
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

    def _send(self, owner: str, ask: PlaceAsk) -> PlaceReply | None:
        if owner == self._self_id:
            return self._owned.place(ask, owner)
        try:
            body = ask.to_wire()
            answer = self._network.call(owner, PLACE, body, ASK_TIMEOUT_SECONDS)
        except StepError as exc:
            log.info("owner %s of %s did not answer: %s", owner, ask.cell, exc)
            metrics.OWNER_LOST.inc()
            self._unreachable[owner] = self._timers.now() + UNREACHABLE_SECONDS
            return None
        return PlaceReply.from_message(answer)

    def _accept(self, owner: str, reply: PlaceReply) -> None:
        """Hand an answer to its waiter; give back a placement nobody wants."""
        waiter = self._waiters.get(reply.ticket)
        if waiter is not None:
            waiter.reply = reply
            waiter.event.set()
        elif reply.state == PlaceState.PLACED and not self._owned.holds(reply.ticket):
            self.cancel(owner, reply.cell, reply.ticket)

    def _handle_placed(self, peer: str, body: dict) -> None:
        self._accept(peer, PlaceReply.from_message(body))

    def _check(self, waiter: Waiter) -> None:
        now = self._timers.now()
        ask = waiter.ask
        owner = self._ownership.owner(ask.cell)
        if now >= waiter.deadline:
            reason, state = RefuseReason.DEADLINE_PASSED, PlaceState.REFUSED
            self.cancel(waiter.owner, ask.cell, ask.ticket)
            refusal = PlaceReply(ask.cell, ask.ticket, state, reason=reason)
            self._accept(waiter.owner, refusal)
        elif owner is None or owner.id != waiter.owner:
            waiter.event.set()
        elif now - waiter.asked >= REPEAT_SECONDS and waiter.owner != self._self_id:
            waiter.asked = now
            spawn(self._repeat, waiter)

    def _repeat(self, waiter: Waiter) -> None:
        """Ask again, in case the later answer was lost."""
        reply = self._send(waiter.owner, waiter.ask)
        if reply is None:
            waiter.event.set()
        elif reply.state != PlaceState.QUEUED:
            self._accept(waiter.owner, reply)
