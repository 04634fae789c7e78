"""Heartbeat links of a node: choice of peers, last heartbeats and redial delays."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.model.instances import Node
from rattanwick.internal.peers.network import TcpPeerNetwork
from rattanwick.internal.peers.ownership import choose_links

log = get_logger("peers")

MIN_REDIAL_DELAY_HEARTBEATS = 1.0
MAX_REDIAL_DELAY_HEARTBEATS = 8.0
REFUSED_LINK_DELAY_HEARTBEATS = 60.0  # delay after a peer has refused a link
# Inbound links accepted above max_links. Without a limit, all nodes of a large data
# centre would link to the few nodes of a small one.
MAX_EXTRA_INBOUND_LINKS = 2


@dataclass(slots=True)
class Link:
    """One link; silence is measured after the peer has sent a first heartbeat."""

    node_id: str
    chosen: bool = False  # by this node
    wanted: bool = False  # by the peer
    heard: bool = False  # a heartbeat has arrived
    last_heard: float = 0.0  # monotonic seconds


@dataclass(slots=True)
class RedialState:
    """Redial delay of a peer that is unreachable or has refused a link."""

    delay: float  # seconds
    due: float  # time of the next dial, in monotonic seconds


class HeartbeatLinks:
    """Links chosen by this node or by peers; both sides of a link send heartbeats."""

    def __init__(
        self,
        network: TcpPeerNetwork,
        max_links: int,
        heartbeat: float,
        timeout: float,
        now: Callable[[], float],
    ):
        self._network = network
        self._max_links = max_links
        self._heartbeat = heartbeat  # seconds
        self._timeout = timeout  # seconds
        self._now = now
        self._links: dict[str, Link] = {}
        self._redials: dict[str, RedialState] = {}
        self._dialling: set[str] = set()

    def ids(self) -> list[str]:
        """Return the ids of the peers whose links are connected."""
        return [item for item in self._links if self._network.is_connected(item)]

    def all(self) -> list[Link]:
        """Return all links, connected or not."""
        return list(self._links.values())

    def get(self, node_id: str) -> Link | None:
        """Return the link to a peer, or None."""
        return self._links.get(node_id)

    def has_unconnected(self) -> bool:
        """Return whether a chosen peer is not connected or a redial is due."""
        now = self._now()
        due = any(redial.due <= now for redial in self._redials.values())
        return due or any(
            link.chosen and not self._network.is_connected(link.node_id)
            for link in self._links.values()
        )

    def choose(self, candidates: list[Node]) -> list[Link]:
        """Choose links again and dial if needed; return the links no longer chosen."""
        now = self._now()
        candidate_ids = {node.id for node in candidates}
        self._redials = {
            node_id: redial
            for node_id, redial in self._redials.items()
            if node_id in candidate_ids
        }
        reachable = [node for node in candidates if self._may_dial(node.id, now)]
        chosen = choose_links(self._network.node, reachable, self._max_links)
        ids = {node.id for node in chosen}
        for node_id in ids:
            self._links.setdefault(node_id, Link(node_id)).chosen = True
            if not self._network.is_connected(node_id):
                self._start_dial(node_id)
        unchosen = [
            link for link in self.all() if link.chosen and link.node_id not in ids
        ]
        for link in unchosen:
            self._unchoose(link)
        return unchosen

    def record_heartbeat(self, node_id: str, wanted: bool) -> None:
        """Record a heartbeat; ``wanted`` means that the peer has chosen the link."""
        link = self._links.get(node_id)
        if link is None:
            if not wanted:
                return
            link = self._links[node_id] = Link(node_id)
        link.wanted = wanted
        link.heard = True
        link.last_heard = self._now()
        self._redials.pop(node_id, None)
        if not (link.wanted or link.chosen):
            del self._links[node_id]

    def can_accept_link(self, node_id: str) -> bool:
        """Return whether a link that the peer has chosen can be accepted."""
        if node_id in self._links:
            return True
        inbound = sum(link.wanted and not link.chosen for link in self._links.values())
        return inbound < self._max_links + MAX_EXTRA_INBOUND_LINKS

    def note_link_refused(self, node_id: str) -> None:
        """Drop the link to a peer that has too many links; another peer is chosen."""
        self._links.pop(node_id, None)
        delay = REFUSED_LINK_DELAY_HEARTBEATS * self._heartbeat
        self._redials[node_id] = RedialState(delay, self._now() + delay)

    def unwatch(self, node_id: str) -> None:
        """Ignore the silence of a peer until its next heartbeat."""
        link = self._links.get(node_id)
        if link is not None:
            link.heard = False
            if not link.chosen:
                del self._links[node_id]

    def drop(self, node_id: str) -> None:
        """Remove the link to a peer, if any."""
        self._links.pop(node_id, None)

    def reset_silence(self) -> None:
        """Set the last heartbeat of all peers to now, after a pause of this process."""
        for link in self._links.values():
            link.last_heard = self._now()

    def silence(self, link: Link) -> float:
        """Return the seconds since the last heartbeat, or 0 if none is expected."""
        return self._now() - link.last_heard if link.heard else 0.0

    def _unchoose(self, link: Link) -> None:
        link.chosen = False
        # A peer that has sent heartbeats and is unreachable now stays monitored.
        closed = not link.wanted and self._network.is_connected(link.node_id)
        if closed or not link.heard:
            del self._links[link.node_id]

    def _may_dial(self, node_id: str, now: float) -> bool:
        redial = self._redials.get(node_id)
        return redial is None or redial.due <= now

    def _start_dial(self, node_id: str) -> None:
        if node_id not in self._dialling:
            self._dialling.add(node_id)
            gevent.spawn(self._dial, node_id)

    def _dial(self, node_id: str) -> None:
        try:
            self._network.connect(node_id, self._timeout)
            self._redials.pop(node_id, None)
        except StepError as exc:
            log.debug("link to %s not opened: %s", node_id, exc.reason)
            self._delay_redial(node_id)
        finally:
            self._dialling.discard(node_id)

    def _delay_redial(self, node_id: str) -> None:
        old = self._redials.get(node_id)
        longest = MAX_REDIAL_DELAY_HEARTBEATS * self._heartbeat
        first = MIN_REDIAL_DELAY_HEARTBEATS * self._heartbeat
        delay = min(2 * old.delay, longest) if old else first
        self._redials[node_id] = RedialState(delay, self._now() + delay)
