"""Exchange of state between nodes by datagrams."""

import time
from math import ceil

import gevent

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.blocked_part_rows import BlockRows
from rattanwick.internal.gateway.limit_exchange import LimitExchange
from rattanwick.internal.gateway.limit_messages import PeerLimits
from rattanwick.internal.gateway.members import Member
from rattanwick.internal.gateway.message_pages import (
    encode_loads_pages,
    encode_state_pages,
)
from rattanwick.internal.gateway.node_state import NodeState
from rattanwick.internal.gateway.operator_configuration import OperatorConfiguration
from rattanwick.internal.gateway.part_exchange import PartExchange
from rattanwick.internal.gateway.part_messages import PeerParts
from rattanwick.internal.gateway.peer_datagrams import PeerDatagrams
from rattanwick.internal.gateway.peer_loads import PeerLoadTable
from rattanwick.internal.gateway.peer_messages import (
    Loads,
    PeerLoads,
    PeerState,
    changed_loads,
    decode_datagram,
    encode_placement,
    make_brief,
    placements_after,
)
from rattanwick.internal.gateway.send_rotation import (
    SEND_INTERVAL_SECONDS,
    SendRotation,
    load_pause,
    peers_per_interval,
)
from rattanwick.internal.gateway.table_copies import TableCopies
from rattanwick.internal.gateway.table_watch import TableWatch

log = get_logger("peers")


PLACEMENT_SEND_COUNT = 3  # times each peer gets a placement, against lost datagrams
MAX_SENT_CRASH_AGE_SECONDS = 10.0  # older crashes are not sent


class PeerExchange:
    """Sender of this node's state to its peers and receiver of theirs."""

    def __init__(
        self,
        state: NodeState,
        watches: list[TableWatch],
        block_rows: BlockRows | None = None,
        configuration: OperatorConfiguration | None = None,
    ):
        self._state = state
        self._boot = int(time.time() * 1000)
        self._sequence = 0
        self._rotation = SendRotation()
        # Keys of type tuple[str, int] name a peer's process: node id and ``boot``.
        self._last_sequence: dict[tuple[str, int], int] = {}
        # Number of placements (``placed``) in the peer's last message.
        self._received_placed: dict[tuple[str, int], int] = {}
        self._peer_loads = PeerLoadTable(state.endpoints)
        # Loads, and number of placements, in this node's last message of loads.
        self._sent_loads: Loads = {}
        self._sent_placed = 0
        # By peer and service, as in PeerState.
        self._prompt_tokens: dict[tuple[str, int], dict[str, int]] = {}
        settings = state.settings
        address = (settings.ip, settings.peer_port)
        self._datagrams = PeerDatagrams(address, self._receive)
        send, send_to = self._datagrams.send, self._datagrams.send_to
        self._copies = TableCopies(state, watches, send, configuration)
        self._limits = LimitExchange(state, self._boot, send, send_to)
        self._parts = PartExchange(state, block_rows, self._boot, send, send_to)

    @property
    def boot(self) -> int:
        """Return the time of this process's start in Unix milliseconds."""
        return self._boot

    def start(self) -> None:
        """Start receiving from peers and sending to them."""
        self._datagrams.start()
        self._copies.start()
        self._limits.start()
        self._parts.start()
        self._state.timers.subscribe(
            "peers.tell", SEND_INTERVAL_SECONDS, self.send_state
        )
        gevent.spawn(self._broadcast_loads)

    def send_state(self) -> None:
        """Update this node's role; send its state to the next members in rotation."""
        state = self._state
        now = state.timers.now()
        state.members.update_liveness(now)
        state.store_failing = self._copies.store_failing()
        state.update_role(now)
        live_count = 1 + len(state.members.live(now))
        state.limits.set_share(live_count, state.members.count_nodes(), now)
        own_state = self._own_state(now)
        self._limits.update(SEND_INTERVAL_SECONDS)
        if state.standby:
            self._send_in_rotation(make_brief(own_state), state.members.all())
        else:
            self._send_in_rotation(own_state, state.members.active())
            self._send_in_rotation(make_brief(own_state), state.members.on_standby())
        known = {member.node_id for member in state.members.all()}
        self._rotation.forget(known)
        state.prefill_estimator.keep_peers(known)
        self._parts.forget(known)
        self._copies.catch_up(now)

    def broadcast_state(self) -> None:
        """Send a brief state to all members at once, for changes that must not wait."""
        state = make_brief(self._own_state(self._state.timers.now()))
        self._send_pages(self._encode_state(state), self._state.members.all())

    def _send_in_rotation(self, message: PeerState, members: list[Member]) -> None:
        """Send a message to the members that are next in rotation."""
        count = peers_per_interval(len(members), self._state.standby)
        recipients = self._rotation.next_members(members, count)
        if not recipients:
            return
        self._send_pages(self._encode_state(message), recipients)

    def _encode_state(self, message: PeerState) -> list[bytes]:
        """Return the datagrams of a state, whose sequence numbers are then used up."""
        pages = encode_state_pages(message)
        self._sequence = max(self._sequence, message.sequence + len(pages) - 1)
        return pages

    def _send_pages(self, pages: list[bytes], members: list[Member]) -> None:
        for page in pages:
            self._datagrams.send(page, members)

    def _broadcast_loads(self) -> None:
        """Send this node's loads to active members whenever ``load_changed`` is set."""
        state = self._state
        while True:
            state.load_changed.wait()
            state.load_changed.clear()
            members = state.members.active()
            message = self._changed_loads(state.timers.now())
            pages = encode_loads_pages(message)
            self._sequence += len(pages) - 1
            self._send_pages(pages, members)
            state.timers.sleep(load_pause(len(members)))

    def _changed_loads(self, now: float) -> PeerLoads:
        """Return the loads and placements changed since the last message of loads."""
        state = self._state
        self._sequence += 1
        loads = self._own_loads(now)
        changed = changed_loads(self._sent_loads, loads)
        self._sent_loads = loads
        new = min(state.placed - self._sent_placed, len(state.placements))
        self._sent_placed = state.placed
        return PeerLoads(
            node_id=state.settings.node_id,
            boot=self._boot,
            sequence=self._sequence,
            loads=changed,
            placed=state.placed,
            placements=[
                encode_placement(placement)
                for placement in list(state.placements)[len(state.placements) - new :]
            ],
            spent=state.limits.spent_near_limit(now),
            leaving_endpoints=state.endpoints.announced_leaving(),
        )

    def _round_seconds(self) -> float:
        """Return the time in which every active peer is sent this node's state once."""
        peers = len(self._state.members.active())
        count = peers_per_interval(peers, self._state.standby)
        return SEND_INTERVAL_SECONDS * max(ceil(peers / count), 1)

    def _own_loads(self, now: float) -> Loads:
        loads = {}
        for view in self._state.endpoints.all():
            prefill = round(view.prefill.per_second(now))
            if view.running or prefill:
                loads[view.endpoint.id] = [
                    view.pending_tokens,
                    view.running,
                    view.output_tokens,
                    prefill,
                ]
        return loads

    def peer_prompt_tokens(self, service: str) -> int:
        """Return the sum of the prompt tokens that peers counted for a service."""
        return sum(counts.get(service, 0) for counts in self._prompt_tokens.values())

    def _own_state(self, now: float) -> PeerState:
        state, settings = self._state, self._state.settings
        sent_since = now - PLACEMENT_SEND_COUNT * self._round_seconds()
        self._sequence += 1
        return PeerState(
            node_id=settings.node_id,
            boot=self._boot,
            sequence=self._sequence,
            brief=False,
            port=settings.peer_port,
            callers=settings.callers_address,
            data_centre=settings.data_centre,
            ready=state.ready,
            leaving=state.leaving,
            standby=state.standby,
            cores=settings.cores,
            store_failing=state.store_failing,
            request_rate=round(state.requests.per_second(now), 2),
            fence=state.fence,
            versions=self._copies.versions(),
            block_digest=state.part_guard.blocks.digest(),
            configuration=state.configuration.version if state.configuration else 0,
            spent=state.limits.spent(now),
            usage=state.usage.own(),
            loads=self._own_loads(now),
            prompt_tokens=dict(state.prompt_tokens),
            prefill_seen=state.prefill_estimator.seen(),
            crashes=[
                list(c)
                for c in state.crash_guard.recent(now, MAX_SENT_CRASH_AGE_SECONDS)
            ],
            leaving_endpoints=state.endpoints.announced_leaving(),
            placed=state.placed,
            placements=[
                encode_placement(placement)
                for placement in state.placements
                if placement.noted > sent_since
            ],
        )

    def _receive(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            message = decode_datagram(data, self._state.timers.now())
        except ValueError as exc:
            log.warning(
                "malformed datagram ignored",
                extra={"peer": address[0], "error": str(exc)},
            )
            return
        if isinstance(message, tuple):
            self._copies.apply_changes(*message)
            return
        if message.node_id == self._state.settings.node_id:
            return
        if not self._is_from_known_address(message, address[0]):
            return
        self._parts.note_contact()
        if isinstance(message, PeerLimits):
            self._limits.receive(message, address)
            return
        if isinstance(message, PeerParts):
            self._parts.receive(message, address)
            return
        peer = (message.node_id, message.boot)
        if message.sequence <= self._last_sequence.get(peer, 0):
            return
        self._last_sequence[peer] = message.sequence
        if isinstance(message, PeerLoads):
            # With many nodes, states arrive too seldom to show that a peer is live.
            now = self._state.timers.now()
            self._state.members.note_heard(message.node_id, message.boot, now)
            self._apply_spending(peer, message, now)
            self._apply_notices(message)
            self._apply_placements(peer, message)
            self._peer_loads.apply(message.node_id, message.loads, now)
        else:
            self._apply_state(peer, message, address[0])

    def _is_from_known_address(
        self, message: PeerState | PeerLoads | PeerLimits | PeerParts, ip: str
    ) -> bool:
        """Return True unless the sender's process is known by another address.

        Without this check, a high sequence number sent from elsewhere would make this
        node ignore all later messages of that process. A replaced node has a later
        start and counts as a new process.
        """
        known = self._state.members.get(message.node_id)
        if known is None or known.boot != message.boot or known.address[0] == ip:
            return True
        log.warning(
            "datagram from a foreign address ignored",
            extra={"peer": ip, "member": message.node_id},
        )
        return False

    def _apply_state(self, peer: tuple[str, int], message: PeerState, ip: str) -> None:
        state, now = self._state, self._state.timers.now()
        known = state.members.get(message.node_id)
        if known is not None and known.boot > message.boot:
            return
        member = Member(
            node_id=message.node_id,
            boot=message.boot,
            address=(ip, message.port),
            caller_address=message.callers,
            data_centre=message.data_centre,
            last_heard_at=now,
            last_state_at=now,
            ready=message.ready,
            leaving=message.leaving,
            standby=message.standby,
            cores=message.cores,
            request_rate=message.request_rate,
            store_failing=message.store_failing,
            fence=message.fence,
            configuration=message.configuration,
            versions=message.versions,
        )
        if state.members.put(member):
            # A node that has started waits to hear which configuration is in force.
            own_state = make_brief(self._own_state(now))
            self._send_pages(self._encode_state(own_state), [member])
            self._limits.inform(member)
        self._parts.compare(member, message.block_digest)
        self._apply_spending(peer, message, now)
        self._apply_notices(message)
        self._prompt_tokens.setdefault(peer, {}).update(message.prompt_tokens)
        state.prefill_estimator.update_from_peer(message.node_id, message.prefill_seen)
        for request_fingerprint, endpoint_id, age in message.crashes:
            state.crash_guard.note_crash(request_fingerprint, endpoint_id, now - age)
        if message.brief:
            return
        state.usage.update_from_peer(peer, message.usage)
        self._apply_placements(peer, message)
        self._peer_loads.apply_state(message, now)

    def _apply_spending(
        self, peer: tuple[str, int], message: PeerState | PeerLoads, now: float
    ) -> None:
        started_later = message.boot > self._boot
        self._state.limits.update_from_peer(peer, message.spent, now, started_later)

    def _apply_notices(self, message: PeerState | PeerLoads) -> None:
        leaving = [tuple(process) for process in message.leaving_endpoints]
        self._state.endpoint_notices.update_from_peer(message.node_id, leaving)

    def _apply_placements(
        self, peer: tuple[str, int], message: PeerState | PeerLoads
    ) -> None:
        for placement in placements_after(message, self._received_placed.get(peer, 0)):
            view = self._state.endpoints.get(placement.endpoint_id)
            if view is not None:
                view.note_cached(placement.prompt)
        received = self._received_placed.get(peer, 0)
        self._received_placed[peer] = max(received, message.placed)
