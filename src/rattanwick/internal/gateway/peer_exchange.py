"""Exchange of state between nodes."""

import time
from math import ceil

import gevent
from gevent.server import DatagramServer

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.endpoint_view import PeerLoad
from rattanwick.internal.gateway.members import Member
from rattanwick.internal.gateway.node_state import NodeState
from rattanwick.internal.gateway.peer_messages import (
    MAX_DATAGRAM_BYTES,
    NO_LOAD,
    Loads,
    PeerLoads,
    PeerState,
    changed_loads,
    decode_datagram,
    encode_loads,
    encode_placement,
    encode_state,
    make_brief,
    placements_after,
)
from rattanwick.internal.gateway.table_copies import TableCopies
from rattanwick.internal.gateway.table_watch import TableWatch

log = get_logger("peers")

SEND_INTERVAL_SECONDS = 0.2
# Peers told in one period, in turn: with more of them each is told less often. A whole
# state has up to 4 kB; 24 of them in each period filled links of 5 Mbit/s.
TOLD_AT_ONCE = 6
ROUND_SECONDS = 0.8  # in which every peer is told; below the silence that counts
STANDBY_ROUND_SECONDS = 2.5  # half of that of a node that stands by
TOLD_TIMES = 3  # each placement to each peer, against lost datagrams
# Between messages that tell of loads alone, for each peer that is told. Above
# LOADS_AT_FULL_RATE peers the pause grows faster, so that what a node receives stays
# equal.
LOAD_PAUSE_SECONDS = 0.004
LOADS_AT_FULL_RATE = 24
CRASH_TELL_SECONDS = 10.0  # age up to which crashes are told


class PeerExchange:
    """Tell peers of this node and take in what they tell."""

    def __init__(self, state: NodeState, watches: list[TableWatch]):
        self._state = state
        self._boot = int(time.time() * 1000)
        self._sequence = 0
        self._turns = SendRotation()
        self._heard_sequence: dict[tuple[str, int], int] = {}
        self._heard_placed: dict[tuple[str, int], int] = {}
        self._loaded: dict[str, set[str]] = {}  # endpoints of a peer's last loads
        self._told_loads: Loads = {}
        self._told_placed = 0
        self._prompt_tokens: dict[tuple[str, int], dict[str, int]] = {}
        settings = state.settings
        address = (settings.ip, settings.peer_port)
        self._datagrams = DatagramServer(address, self._receive)
        self._copies = TableCopies(state, watches, self._send)

    @property
    def boot(self) -> int:
        """Return Unix milliseconds of this process's start."""
        return self._boot

    def start(self) -> None:
        """Listen for peers and tell them of this node."""
        self._datagrams.start()
        self._copies.start()
        self._state.timers.subscribe(
            "peers.tell", SEND_INTERVAL_SECONDS, self.send_state
        )
        gevent.spawn(self._tell_loads)

    def send_state(self) -> None:
        """Send this node's state to all members."""
        state = self._state
        now = state.timers.now()
        state.members.note_changes(now)
        state.store_failing = self._copies.store_failing()
        state.update_role(now)
        heard = 1 + len(state.members.live(now))
        state.limits.set_share(heard, state.members.count(), now)
        own = self._own_state(now)
        if state.standby:
            self._tell_in_turn(make_brief(own), state.members.all())
        else:
            self._tell_in_turn(own, state.members.active())
            self._tell_in_turn(make_brief(own), state.members.on_standby())
        known = {member.node_id for member in state.members.all()}
        self._turns.forget(known)
        state.prefill_estimator.keep_peers(known)
        self._copies.catch_up(now)

    def broadcast_state(self) -> None:
        """Tell all members at once of a change that callers should not wait for."""
        data = encode_state(make_brief(self._own_state(self._state.timers.now())))
        self._send(data, self._state.members.all())

    def _tell_in_turn(self, told: PeerState, members: list[Member]) -> None:
        """Tell the members whose turn it is."""
        count = peers_per_interval(len(members), self._state.standby)
        part = self._turns.next_members(members, count)
        if not part:
            return
        data = encode_state(told)
        if len(data) > MAX_DATAGRAM_BYTES:
            log.warning("state is too large", extra={"bytes": len(data)})
            return
        self._send(data, part)

    def _tell_loads(self) -> None:
        """Tell peers of loads as soon as they change much."""
        state = self._state
        while True:
            state.load_changed.wait()
            state.load_changed.clear()
            members = state.members.active()
            self._send(encode_loads(self._own_changes(state.timers.now())), members)
            state.timers.sleep(load_pause(len(members)))

    def _own_changes(self, now: float) -> PeerLoads:
        """Return what has changed since the last message of this kind."""
        state = self._state
        self._sequence += 1
        loads = self._own_loads(now)
        changed = changed_loads(self._told_loads, loads)
        self._told_loads = loads
        new = min(state.placed - self._told_placed, len(state.placements))
        self._told_placed = state.placed
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
        )

    def _round_seconds(self) -> float:
        """Return the time in which every peer that shares the requests is told once."""
        peers = len(self._state.members.active())
        count = peers_per_interval(peers, self._state.standby)
        return SEND_INTERVAL_SECONDS * max(ceil(peers / count), 1)

    def _send(self, data: bytes, members: list[Member]) -> None:
        for member in members:
            try:
                self._datagrams.socket.sendto(data, member.address)
            except OSError as exc:
                # The next datagram tells the same; only its loss for long matters.
                log.debug("not sent", extra={"peer": member.node_id, "error": str(exc)})

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
        """Return the prompt tokens that peers have counted for a service."""
        return sum(told.get(service, 0) for told in self._prompt_tokens.values())

    def _own_state(self, now: float) -> PeerState:
        state, settings = self._state, self._state.settings
        told_since = now - TOLD_TIMES * self._round_seconds()
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
            spent=state.limits.spent(now),
            usage=state.usage.own(),
            loads=self._own_loads(now),
            prompt_tokens=dict(state.prompt_tokens),
            prefill_seen=state.prefill_estimator.seen(),
            crashes=[
                list(c) for c in state.crash_guard.recent(now, CRASH_TELL_SECONDS)
            ],
            placed=state.placed,
            placements=[
                encode_placement(placement)
                for placement in state.placements
                if placement.noted > told_since
            ],
        )

    def _receive(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            told = decode_datagram(data)
        except ValueError as exc:
            log.warning("ignored", extra={"peer": address[0], "error": str(exc)})
            return
        if isinstance(told, tuple):
            self._copies.take_changes(*told)
            return
        if told.node_id == self._state.settings.node_id:
            return
        if not self._comes_from_its_node(told, address[0]):
            return
        peer = (told.node_id, told.boot)
        if told.sequence <= self._heard_sequence.get(peer, 0):
            return
        self._heard_sequence[peer] = told.sequence
        if isinstance(told, PeerLoads):
            # States come in turn, and seldom where there are many nodes.
            now = self._state.timers.now()
            self._state.members.note_heard(told.node_id, told.boot, now)
            self._take_spending(peer, told, now)
            self._take_placements(peer, told)
            self._take_loads(told.node_id, told.loads)
        else:
            self._take(peer, told, address[0])

    def _comes_from_its_node(self, told: PeerState | PeerLoads, ip: str) -> bool:
        """Tell whether a message that names a known process came from its address.

        Otherwise a sequence number far ahead, sent by another, would silence the
        node for good. A node that was replaced has a later start.
        """
        known = self._state.members.get(told.node_id)
        if known is None or known.boot != told.boot or known.address[0] == ip:
            return True
        log.warning("foreign sender", extra={"peer": ip, "member": told.node_id})
        return False

    def _take(self, peer: tuple[str, int], told: PeerState, ip: str) -> None:
        state, now = self._state, self._state.timers.now()
        known = state.members.get(told.node_id)
        if known is not None and known.boot > told.boot:
            return
        state.members.put(
            Member(
                node_id=told.node_id,
                boot=told.boot,
                address=(ip, told.port),
                callers=told.callers,
                data_centre=told.data_centre,
                last_heard_at=now,
                last_state_at=now,
                ready=told.ready,
                leaving=told.leaving,
                standby=told.standby,
                cores=told.cores,
                request_rate=told.request_rate,
                store_failing=told.store_failing,
                fence=told.fence,
                versions=told.versions,
            )
        )
        self._take_spending(peer, told, now)
        self._prompt_tokens[peer] = told.prompt_tokens
        state.prefill_estimator.update_from_peer(told.node_id, told.prefill_seen)
        for request_fingerprint, endpoint_id, age in told.crashes:
            state.crash_guard.note_crash(request_fingerprint, endpoint_id, now - age)
        if told.brief:
            return
        state.usage.update_from_peer(peer, told.usage)
        self._take_placements(peer, told)
        ended = self._loaded.get(told.node_id, set()) - told.loads.keys()
        self._take_loads(told.node_id, {**dict.fromkeys(ended, NO_LOAD), **told.loads})

    def _take_spending(
        self, peer: tuple[str, int], told: PeerState | PeerLoads, now: float
    ) -> None:
        started_later = told.boot > self._boot
        self._state.limits.update_from_peer(peer, told.spent, now, started_later)

    def _take_placements(
        self, peer: tuple[str, int], told: PeerState | PeerLoads
    ) -> None:
        for placement in placements_after(told, self._heard_placed.get(peer, 0)):
            view = self._state.endpoints.get(placement.endpoint_id)
            if view is not None:
                view.note_cached(placement.prompt)
        self._heard_placed[peer] = told.placed

    def _take_loads(self, node_id: str, loads: Loads) -> None:
        """Take figures of endpoints; 0 where nothing is in progress any more."""
        now = self._state.timers.now()
        loaded = self._loaded.setdefault(node_id, set())
        for endpoint_id, figures in loads.items():
            view = self._state.endpoints.get(endpoint_id)
            if figures == NO_LOAD:
                loaded.discard(endpoint_id)
                if view is not None:
                    view.peers.pop(node_id, None)
                continue
            loaded.add(endpoint_id)
            if view is not None:
                view.peers[node_id] = PeerLoad(*figures, last_heard_at=now)


def peers_per_interval(peers: int, standby: bool) -> int:
    """Return how many peers are told in one period, all of them where they are few."""
    if standby:
        return max(ceil(peers * SEND_INTERVAL_SECONDS / STANDBY_ROUND_SECONDS), 1)
    return max(ceil(peers * SEND_INTERVAL_SECONDS / ROUND_SECONDS), TOLD_AT_ONCE)


def load_pause(peers: int) -> float:
    """Return the seconds between two messages of loads to all peers."""
    return LOAD_PAUSE_SECONDS * peers * max(peers / LOADS_AT_FULL_RATE, 1.0)


class SendRotation:
    """Choose whom to tell next: those that were told longest ago.

    Members join and leave between periods, so that a place in their list is no turn:
    some were left out for seconds.
    """

    __slots__ = ("_period", "_told")

    def __init__(self):
        self._period = 0
        self._told: dict[str, int] = {}

    def next_members(self, members: list[Member], count: int) -> list[Member]:
        """Return the next ``count`` members, all of them where they are few."""
        self._period += 1
        if len(members) > count:
            told = self._told
            members = sorted(members, key=lambda member: told.get(member.node_id, 0))
            members = members[:count]
        for member in members:
            self._told[member.node_id] = self._period
        return members

    def forget(self, known: set[str]) -> None:
        """Keep only members whose ids are known."""
        self._told = {key: at for key, at in self._told.items() if key in known}
