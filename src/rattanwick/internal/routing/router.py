"""Placement of requests by asking the soft owner of a cell."""

import itertools
from dataclasses import asdict, dataclass

from gevent import spawn
from gevent.event import Event

from rattanwick.internal.base.errors import Refused, StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.settings import RoutingSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.requests import Placement, ServingRequest, Usage
from rattanwick.internal.peers.interfaces import Members, News, Ownership, PeerNetwork
from rattanwick.internal.platform.interfaces import InstanceList
from rattanwick.internal.recording.decisions import Recorder
from rattanwick.internal.routing.alone import AlonePlacer
from rattanwick.internal.routing.cells import Cell
from rattanwick.internal.routing.endpoints import EndpointDirectory
from rattanwick.internal.routing.hosting import OwnedCells
from rattanwick.internal.routing.interfaces import Router
from rattanwick.internal.routing.messages import (
    CANCEL,
    PLACE,
    PLACED,
    RELEASE,
    Holding,
    PlaceAsk,
    PlaceReply,
    PlaceState,
    RefuseReason,
    ReleaseNote,
)
from rattanwick.internal.routing.owner import OwnerParts
from rattanwick.internal.routing.work import (
    WorkHistory,
    features_of,
    hash_prefix,
)

log = get_logger("routing")

ASK_TIMEOUT_SECONDS = 0.5
WAITER_SECONDS = 0.1
REPEAT_SECONDS = 1.0  # a queued ask is repeated, in case its answer was lost
UNREACHABLE_SECONDS = 1.0  # an owner that did not answer is not asked again


@dataclass(slots=True)
class Held:
    """Hold a placement of this node until it is released."""

    placement: Placement
    ask: PlaceAsk
    cell: Cell
    placed: float  # monotonic seconds
    short: bool = True
    work: float = 0.0  # seconds


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


class CellRouter(Router):
    """Place requests through soft owners, or alone where none is reachable."""

    def __init__(
        self,
        settings: RoutingSettings,
        members: Members,
        ownership: Ownership,
        network: PeerNetwork,
        instances: InstanceList,
        news: News,
        timers: TimerService,
        recorder: Recorder,
    ):
        self._settings = settings
        self._members = members
        self._ownership = ownership
        self._network = network
        self._timers = timers
        self._recorder = recorder
        self._self_id = members.self_node.id
        self._tickets = itertools.count()
        self._ticket_prefix = f"{self._self_id}.{members.self_node.incarnation}"
        self._history = WorkHistory()
        self._waiters: dict[str, Waiter] = {}
        self._held: dict[str, Held] = {}
        self._unreachable: dict[str, float] = {}  # node -> monotonic seconds
        self._directory = EndpointDirectory(instances, news, settings.cell_endpoints)
        self._parts = OwnerParts(
            settings,
            timers,
            recorder,
            self._history,
            self._deliver,
            self._directory.is_usable,
        )
        self._alone = AlonePlacer(self._parts)
        self._owned = OwnedCells(
            self._parts, members, ownership, network, self._directory, self._holdings
        )
        self._directory.subscribe(self._owned.update_cells)
        network.handle(PLACED, self._handle_placed)
        timers.subscribe("routing waiters", WAITER_SECONDS, self._check_waiters)

    def place(
        self, req: ServingRequest, excluded: frozenset[str] = frozenset()
    ) -> Placement:
        """Wait for a placement; raise Refused when the deadline cannot be met."""
        started = self._timers.now()
        deadline = started + req.deadline - self._timers.wall()
        prefix = hash_prefix(req)
        while True:
            cell = self._select_cell(req, excluded)
            ask = self._make_ask(req, cell, excluded, prefix, started, deadline)
            if ask.seconds_left <= 0:
                raise Refused("place", req.pool, RefuseReason.DEADLINE_PASSED)
            owner = self._owner_to_ask(cell)
            if owner is None:
                return self._place_alone(cell, ask)
            reply = self._ask(owner, ask, deadline)
            if reply is None:
                continue
            if reply.state == PlaceState.REFUSED:
                raise Refused("place", req.pool, reply.reason)
            return self._hold(cell, ask, reply, owner)

    def release(self, placement: Placement, usage: Usage) -> None:
        """Give a placement back and report how the attempt went."""
        held = self._held.pop(placement.id, None)
        if held is None:
            return
        features = features_of(held.ask, held.cell.pool)
        note = ReleaseNote(
            held.cell.key,
            placement.id,
            placement.endpoint_id,
            asdict(usage),
            features.to_message(),
        )
        self._alone.release(note)
        targets = self._release_targets(held)
        if self._self_id not in targets or not self._owned.hosts(held.cell.key):
            self._history.observe(features, usage)
        for node_id in targets:
            if node_id == self._self_id:
                self._owned.release(note)
            else:
                self._network.notify(node_id, RELEASE, note.to_message())

    def may_retry(self, req: ServingRequest) -> bool:
        """Spend one retry of the budget; tell whether there was one."""
        return True

    def hedge_delay(self, req: ServingRequest) -> float | None:
        """Return seconds to wait before a hedge, or None for no hedge."""
        return None

    def report_load(
        self, endpoint_id: str, running: int, waiting: int, age: float
    ) -> None:
        """Take in an endpoint's own load report, ``age`` seconds old."""

    def _select_cell(self, req: ServingRequest, excluded: frozenset[str]) -> Cell:
        region = self._members.self_node.region
        for cell in self._directory.cells(req.pool, region):
            for item in cell.endpoints:
                if item.id not in excluded and self._directory.is_usable(item.id):
                    return cell
        raise Refused("place", req.pool, RefuseReason.NO_ENDPOINT)

    def _make_ask(
        self,
        req: ServingRequest,
        cell: Cell,
        excluded: frozenset[str],
        prefix: list[int],
        started: float,
        deadline: float,
    ) -> PlaceAsk:
        now = self._timers.now()
        return PlaceAsk(
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
            waited=now - started,
        )

    def _owner_to_ask(self, cell: Cell) -> str | None:
        """Return the soft owner, or None where the request is placed alone."""
        if self._settings.policy != "owner":
            return None
        owner = self._ownership.owner(cell.key)
        if owner is None:
            return None
        until = self._unreachable.get(owner.id, 0.0)
        return owner.id if until <= self._timers.now() else None

    def _ask(self, owner: str, ask: PlaceAsk, deadline: float) -> PlaceReply | None:
        """Return the final reply, or None to look for an owner again."""
        now = self._timers.now()
        waiter = Waiter(ask, owner, now, deadline)
        self._waiters[ask.ticket] = waiter
        finished = False
        try:
            reply = self._send_ask(owner, ask)
            if reply is not None and reply.state == PlaceState.QUEUED:
                waiter.event.wait()
                reply = waiter.reply
            elif reply is None:
                reply = waiter.reply
            finished = reply is not None
            return reply
        finally:
            self._waiters.pop(ask.ticket, None)
            if not finished:
                self._cancel(owner, ask.cell, ask.ticket)

    def _send_ask(self, owner: str, ask: PlaceAsk) -> PlaceReply | None:
        if owner == self._self_id:
            return self._owned.place(ask, owner)
        try:
            body = ask.to_message()
            answer = self._network.call(owner, PLACE, body, ASK_TIMEOUT_SECONDS)
        except StepError as exc:
            log.info("owner %s of %s did not answer: %s", owner, ask.cell, exc)
            self._unreachable[owner] = self._timers.now() + UNREACHABLE_SECONDS
            return None
        return PlaceReply.from_message(answer)

    def _place_alone(self, cell: Cell, ask: PlaceAsk) -> Placement:
        reply = self._alone.place(cell, ask)
        if reply.state == PlaceState.REFUSED:
            raise Refused("place", cell.pool, reply.reason)
        return self._hold(cell, ask, reply, "")

    def _release_targets(self, held: Held) -> set[str]:
        """Return the nodes that count a placement: its owner and a newer one."""
        if self._settings.policy != "owner":
            return set()
        owner = self._ownership.owner(held.cell.key)
        targets = {held.placement.owner}
        if owner is not None:
            targets.add(owner.id)
        return targets - {""}

    def _hold(
        self, cell: Cell, ask: PlaceAsk, reply: PlaceReply, owner: str
    ) -> Placement:
        placement = Placement(
            id=ask.ticket,
            request_id=ask.request_id,
            endpoint_id=reply.endpoint_id,
            owner=owner,
            queued_seconds=reply.queued_seconds,
            hedged=ask.hedged,
        )
        features = features_of(ask, cell.pool)
        work = self._history.estimate(features, ask.prompt_tokens)
        short = work.high_seconds <= self._settings.short_seconds
        now = self._timers.now()
        self._held[ask.ticket] = Held(placement, ask, cell, now, short, work.seconds)
        if owner:
            self._alone.count(cell, ask, reply.endpoint_id)
        return placement

    def _cancel(self, owner: str, cell: str, ticket: str) -> None:
        if owner == self._self_id:
            self._owned.cancel(cell, ticket)
            return
        self._network.notify(owner, CANCEL, {"cell": cell, "ticket": ticket})

    def _holdings(self, cell: str) -> list[Holding]:
        now = self._timers.now()
        return [
            Holding(
                cell,
                ticket,
                held.ask.request_id,
                held.placement.endpoint_id,
                held.short,
                held.work,
                now - held.placed,
            )
            for ticket, held in self._held.items()
            if held.cell.key == cell
        ]

    def _deliver(self, node_id: str, reply: PlaceReply) -> None:
        """Send the later answer to a queued ask."""
        if node_id == self._self_id:
            self._receive(reply)
        else:
            self._network.notify(node_id, PLACED, reply.to_message())

    def _receive(self, reply: PlaceReply) -> bool:
        """Hand an answer to its waiter; tell whether anybody wanted it."""
        waiter = self._waiters.get(reply.ticket)
        if waiter is None:
            return reply.ticket in self._held
        waiter.reply = reply
        waiter.event.set()
        return True

    def _handle_placed(self, peer: str, body: dict) -> None:
        self._accept_late(peer, PlaceReply.from_message(body))

    def _check_waiters(self) -> None:
        for waiter in list(self._waiters.values()):
            self._check_waiter(waiter)

    def _check_waiter(self, waiter: Waiter) -> None:
        """Wake a waiter whose deadline passed or whose owner changed."""
        now = self._timers.now()
        ask = waiter.ask
        owner = self._ownership.owner(ask.cell)
        if now >= waiter.deadline:
            reason = RefuseReason.DEADLINE_PASSED
            state = PlaceState.REFUSED
            self._cancel(waiter.owner, ask.cell, ask.ticket)
            self._receive(PlaceReply(ask.cell, ask.ticket, state, reason=reason))
        elif owner is None or owner.id != waiter.owner:
            waiter.event.set()
        elif now - waiter.asked >= REPEAT_SECONDS and waiter.owner != self._self_id:
            waiter.asked = now
            spawn(self._repeat, waiter)

    def _repeat(self, waiter: Waiter) -> None:
        """Ask again, in case the later answer was lost."""
        reply = self._send_ask(waiter.owner, waiter.ask)
        if reply is None:
            waiter.event.set()
        elif reply.state != PlaceState.QUEUED:
            self._accept_late(waiter.owner, reply)

    def _accept_late(self, owner: str, reply: PlaceReply) -> None:
        if not self._receive(reply) and reply.state == PlaceState.PLACED:
            self._cancel(owner, reply.cell, reply.ticket)
