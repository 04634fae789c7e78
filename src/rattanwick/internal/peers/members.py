"""Membership: live nodes, from heartbeats of linked peers and gossip about others."""

from collections.abc import Callable, Collection

from rattanwick.internal.base.errors import ProtocolError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.settings import PeerSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.instances import Node
from rattanwick.internal.peers.gossip import MAX_RETENTION_SECONDS, FloodGossip
from rattanwick.internal.peers.heartbeat_links import HeartbeatLinks
from rattanwick.internal.peers.interfaces import Members
from rattanwick.internal.peers.member_records import (
    STATE_SLOTS,
    SUSPECT_STATE_OF,
    SUSPECT_STATES,
    Heartbeat,
    MemberRecord,
    MemberState,
    member_version,
    node_from_body,
    node_to_body,
)
from rattanwick.internal.peers.metrics import LIVE_NODES
from rattanwick.internal.peers.network import TcpPeerNetwork
from rattanwick.internal.peers.probes import Probes
from rattanwick.internal.platform.interfaces import InstanceList

log = get_logger("peers")

MEMBER_TOPIC = "member"
CHECKS_PER_HEARTBEAT = 2
CHOOSE_LINKS_HEARTBEATS = 8  # links are chosen again after this many at the latest
# After a partition of an hour, nodes that died during it must still be known as dead.
DEAD_RETENTION_SECONDS = 7200
FORGET_INTERVAL_SECONDS = 60.0


class HeartbeatMembers(Members):
    """Members found by heartbeats on links; changes are spread by gossip."""

    def __init__(
        self,
        settings: PeerSettings,
        network: TcpPeerNetwork,
        gossip: FloodGossip,
        instances: InstanceList | None,
        timers: TimerService,
        list_version: Callable[[], int] = lambda: 0,
    ):
        self._settings = settings
        self._network = network
        self._gossip = gossip
        self._instances = instances
        self._timers = timers
        self._list_version = list_version
        self._self_node = network.node
        self._incarnation = network.node.incarnation
        self._state = MemberState.ALIVE
        self._records: dict[str, MemberRecord] = {}
        self._versions: dict[str, tuple[int, int]] = {}  # (incarnation, list version)
        self._connected: dict[str, Node] = {}
        self._callbacks: list[Callable[[], None]] = []
        self._live: tuple[Node, ...] | None = None
        self._suspects: set[str] = set()
        self._links_changed = True
        self._heartbeat_count = 0
        self._last_check = timers.now()
        self._subscriptions = []
        self.links = HeartbeatLinks(
            network,
            settings.max_links,
            settings.heartbeat_seconds,
            settings.suspect_seconds,
            timers.now,
        )
        self._probes = Probes(self, network, settings.suspect_seconds)

    @property
    def self_node(self) -> Node:
        """Return this node."""
        return self._self_node

    @property
    def leaving(self) -> bool:
        """Return whether this node has announced that it leaves."""
        return self._state >= MemberState.LEAVING

    def start(self) -> None:
        """Announce this node and start to monitor others."""
        cfg = self._settings
        self._gossip.set_links(self.links.ids)
        self._gossip.watch(MEMBER_TOPIC, self._on_member_item, self._check_item)
        self._network.subscribe_connections(self._on_connection)
        self._network.handle("heartbeat", self._on_heartbeat, inline=True)
        self._network.handle("member.ping", self._on_ping)
        if self._instances is not None:
            self._instances.subscribe(self._on_change)
        self._publish(self._self_node, self._incarnation, self._state)
        self._last_check = self._timers.now()
        self._subscriptions = [
            self._timers.subscribe("heartbeat", cfg.heartbeat_seconds, self._run_round),
            self._timers.subscribe(
                "dead members", FORGET_INTERVAL_SECONDS, self._forget_dead
            ),
            self._timers.subscribe(
                "member checks",
                cfg.heartbeat_seconds / CHECKS_PER_HEARTBEAT,
                self._check,
            ),
        ]
        self._run_round()

    def stop(self) -> None:
        """Announce that this node has stopped, and cancel the timers."""
        self._state = MemberState.DEAD
        self._publish(self._self_node, self._incarnation, self._state)
        self._gossip.flush()
        for subscription in self._subscriptions:
            subscription.cancel()

    def leave(self) -> None:
        """Announce that this node accepts no new work."""
        if self.leaving:
            return
        self._state = MemberState.LEAVING
        self._publish(self._self_node, self._incarnation, self._state)
        # Removes this node from its own live list, so that it is no handover target.
        self._on_change()
        self._gossip.flush()

    def live(self, data_centre: str | None = None) -> tuple[Node, ...]:
        """Return the live nodes sorted by id, without this one if it is leaving."""
        if self._live is None:
            self._live = self._find_live()
            LIVE_NODES.set(len(self._live))
        if data_centre is None:
            return self._live
        return tuple(node for node in self._live if node.data_centre == data_centre)

    def get(self, node_id: str) -> Node | None:
        """Return a known node, live or not, or None."""
        if node_id == self._self_node.id:
            return self._self_node
        record = self._records.get(node_id)
        if record is not None and record.state is not MemberState.DEAD:
            return record.node
        listed = {node.id: node for node in self.listed()}
        if node_id in listed:
            return listed[node_id]
        return record.node if record is not None else self._connected.get(node_id)

    def state(self, node_id: str) -> MemberState | None:
        """Return the state of a node, or None if no item about it has arrived."""
        record = self._records.get(node_id)
        return record.state if record is not None else None

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change of membership."""
        self._callbacks.append(callback)

    def listed(self) -> tuple[Node, ...]:
        """Return the nodes of the instance list."""
        return self._instances.nodes() if self._instances is not None else ()

    def records(self) -> dict[str, MemberRecord]:
        """Return the records of other nodes by id."""
        return self._records

    def confirmed_versions(self) -> dict[str, int]:
        """Return the list version that each node has last reported, by id."""
        versions = {node_id: item[1] for node_id, item in self._versions.items()}
        versions[self._self_node.id] = self._list_version()
        return versions

    def refresh_versions(
        self, timeout: float, wanted: Collection[str] | None = None
    ) -> None:
        """Ask live nodes without a link (or only ``wanted`` ones) for their version."""
        linked = {*self.links.ids(), self._self_node.id}
        unlinked = [
            node.id
            for node in self.live()
            if node.id not in linked and (wanted is None or node.id in wanted)
        ]
        self._probes.ping_all(unlinked, timeout)

    def ping(self, node_id: str, timeout: float) -> None:
        """Exchange heartbeats with a node, linked or not; raise StepError."""
        body = self._heartbeat(wanted=False).to_body()
        reply = self._network.call(node_id, "member.ping", body, timeout)
        self._update_from_peer(node_id, Heartbeat.from_body(reply, node_id))

    def suspect(self, node_id: str) -> None:
        """Spread the suspicion that a node has failed."""
        record = self._records.get(node_id)
        if record is not None and record.state in SUSPECT_STATE_OF:
            log.warning("node %s suspected: no heartbeat or ping reply", node_id)
            state = SUSPECT_STATE_OF[record.state]
            self._publish(record.node, record.incarnation, state)

    def _find_live(self) -> tuple[Node, ...]:
        now = self._timers.now()
        leaving = {node.id for node in self.listed() if node.leaving}
        nodes = [
            record.node
            for record in self._records.values()
            if record.is_live(now) and record.node.id not in leaving
        ]
        if not self.leaving:
            nodes.append(self._self_node)
        return tuple(sorted(nodes, key=lambda node: node.id))

    def _on_change(self) -> None:
        self._live = None
        self._links_changed = True
        for callback in self._callbacks:
            callback()

    def _publish(self, node: Node, incarnation: int, state: MemberState) -> None:
        retention = DEAD_RETENTION_SECONDS if state is MemberState.DEAD else 0
        version = member_version(incarnation, state)
        self._gossip.publish(
            MEMBER_TOPIC, node.id, version, node_to_body(node), retention
        )

    def _check_item(self, node_id: str, version: int, body: dict) -> None:
        """Raise ProtocolError unless the item has a valid body and version."""
        node_from_body(node_id, body)
        latest = 1000 * (self._timers.wall_time() + MAX_RETENTION_SECONDS)
        # A version far in the future could never be refuted by a higher one.
        if version // STATE_SLOTS > latest or version % STATE_SLOTS > MemberState.DEAD:
            raise ProtocolError("read member", node_id, "version is out of range")

    def _on_member_item(self, node_id: str, version: int, body: dict) -> None:
        incarnation, state = version // STATE_SLOTS, MemberState(version % STATE_SLOTS)
        if node_id == self._self_node.id:
            self._refute(incarnation, state)
            return
        node = node_from_body(node_id, body)
        old = self._records.get(node_id)
        now = self._timers.now()
        record = MemberRecord(node, incarnation, state, now)
        self._suspects.discard(node_id)
        if state in SUSPECT_STATES:
            record.dead_at = now + self._suspicion_seconds(node_id)
            self._suspects.add(node_id)
        self._records[node_id] = record
        if old is None or old.state is not state or old.node != node:
            log.info("node %s is %s", node_id, state.name.lower())
        if state is MemberState.DEAD:
            self.links.drop(node_id)
            self._versions.pop(node_id, None)
            self._network.fail_calls(node_id)
            if self._network.is_connected(node_id):
                # If the node was only cut off or paused, it can then refute the item.
                self._send_item(node_id)
        elif old is not None and old.state in SUSPECT_STATES:
            # Another node can reach this member, although this node may not.
            self.links.unwatch(node_id)
        self._on_change()

    def _suspicion_seconds(self, node_id: str) -> float:
        cfg = self._settings
        link = self.links.get(node_id)
        silence = self.links.silence(link) if link is not None else 0.0
        if silence >= cfg.suspect_seconds:
            return max(cfg.dead_seconds - silence, 0.0)
        return cfg.dead_seconds - cfg.suspect_seconds

    def _refute(self, incarnation: int, state: MemberState) -> None:
        """Raise this node's incarnation above that of an item that others spread."""
        own = member_version(self._incarnation, self._state)
        if member_version(incarnation, state) <= own:
            return
        self._incarnation = incarnation + 1
        log.warning("peers reported this node as %s; refuting", state.name.lower())
        self._publish(self._self_node, self._incarnation, self._state)

    def _on_connection(self, node: Node, connected: bool) -> None:
        if not connected:
            self._connected.pop(node.id, None)
            self._gossip.forget(node.id)
            return
        self._connected[node.id] = node
        version = self._versions.get(node.id)
        if version is not None and version[0] != node.incarnation:
            del self._versions[node.id]
        link = self.links.get(node.id)
        if link is not None:
            self._send_heartbeat(node.id, link.chosen)

    def _on_heartbeat(self, node_id: str, body: dict) -> None:
        heartbeat = Heartbeat.from_body(body, node_id)
        link = self.links.get(node_id)
        accepted = self.links.can_accept_link(node_id)
        if heartbeat.full:
            self.links.note_link_refused(node_id)
            self._links_changed = True
        elif accepted:
            self.links.record_heartbeat(node_id, heartbeat.wanted)
        self._update_from_peer(node_id, heartbeat)
        self._gossip.sync_if_different(
            node_id, heartbeat.news_count, heartbeat.news_digest
        )
        if link is None and heartbeat.wanted:
            self._send_heartbeat(node_id, wanted=False, full=not accepted)

    def _on_ping(self, node_id: str, body: dict) -> dict:
        self._update_from_peer(node_id, Heartbeat.from_body(body, node_id))
        return self._heartbeat(wanted=False).to_body()

    def _update_from_peer(self, node_id: str, heartbeat: Heartbeat) -> None:
        """Update the record of a node from its heartbeat."""
        node = self._connected.get(node_id)
        if node is None:
            return
        self._versions[node_id] = (node.incarnation, heartbeat.list_version)
        version = member_version(heartbeat.incarnation, heartbeat.state)
        record = self._records.get(node_id)
        if record is None or version > record.version():
            self._publish(node, heartbeat.incarnation, heartbeat.state)
        elif version < record.version():
            self._send_item(node_id)

    def _send_item(self, node_id: str) -> None:
        item = self._gossip.get(MEMBER_TOPIC, node_id)
        if item is not None:
            self._gossip.send(node_id, [item])

    def _heartbeat(self, wanted: bool, full: bool = False) -> Heartbeat:
        return Heartbeat(
            self._incarnation,
            self._state,
            self._list_version(),
            len(self._gossip),
            self._gossip.digest,
            wanted,
            full,
        )

    def _send_heartbeat(self, node_id: str, wanted: bool, full: bool = False) -> None:
        body = self._heartbeat(wanted, full).to_body()
        self._network.notify(node_id, "heartbeat", body)

    def _run_round(self) -> None:
        """Choose links, send heartbeats and run the probes that are due."""
        self._heartbeat_count += 1
        unchosen = self._choose_links()
        links = self.links.all()
        for wanted in (True, False):
            ids = [link.node_id for link in links if link.chosen is wanted]
            if not wanted:
                ids += [node_id for node_id in unchosen if node_id not in ids]
            body = self._heartbeat(wanted).to_body()
            self._network.notify_connected(ids, "heartbeat", body)
        self._probes.run()

    def _choose_links(self) -> list[str]:
        """Choose links if needed; return the peers that are no longer chosen."""
        due = self._heartbeat_count % CHOOSE_LINKS_HEARTBEATS == 0
        if not (due or self._links_changed or self.links.has_unconnected()):
            return []
        self._links_changed = False
        return [link.node_id for link in self.links.choose(self._candidates())]

    def _candidates(self) -> list[Node]:
        own = self._self_node.id
        live = [
            item.node
            for item in self._records.values()
            if item.state < MemberState.DEAD
        ]
        unheard = [node for node in self.listed() if node.id not in self._records]
        return [node for node in live + unheard if node.id != own]

    def _check(self) -> None:
        """Suspect silent peers, and declare suspects dead after their timeout."""
        now = self._timers.now()
        pause = now - self._last_check
        self._last_check = now
        if pause > self._settings.suspect_seconds / 2:
            log.warning("this process was paused for %.1f s", pause)
            self.links.reset_silence()
            return
        for link in self.links.all():
            if self.links.silence(link) > self._settings.suspect_seconds:
                self.suspect(link.node_id)
        for node_id in list(self._suspects):
            record = self._records[node_id]
            if now >= record.dead_at:
                self._publish(record.node, record.incarnation, MemberState.DEAD)

    def _forget_dead(self) -> None:
        limit = self._timers.now() - DEAD_RETENTION_SECONDS
        for node_id, record in list(self._records.items()):
            if record.state is MemberState.DEAD and record.changed_at < limit:
                del self._records[node_id]
