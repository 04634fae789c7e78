"""Heartbeat links of a node: which peers, when heard, and when to dial again."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.model.instances import Node
from rattanwick.internal.peers.network import TcpPeerNetwork
from rattanwick.internal.peers.ownership import choose_links

log = get_logger("peers")

FIRST_REDIAL_HEARTBEATS = 1.0
LAST_REDIAL_HEARTBEATS = 8.0
REFUSED_HEARTBEATS = 60.0
# Above max_links. Without a limit the nodes of a small data centre would be chosen
# by all nodes of a large one.
MAX_EXTRA_INBOUND_LINKS = 2


@dataclass(slots=True)
class Link:
    """Hold one link; the peer is watched once it has been heard."""

    node_id: str
    chosen: bool = False  # by this node
    wanted: bool = False  # by the peer
    heard: bool = False
    last_heard: float = 0.0  # monotonic seconds


@dataclass(slots=True)
class Redial:
    """Hold when an unreachable peer may be dialled again."""

    delay: float  # seconds
    due: float  # monotonic seconds


class HeartbeatLinks:
    """Choose and open links; both sides of a link send heartbeats."""

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
        self._redials: dict[str, Redial] = {}
        self._dialling: set[str] = set()

    def ids(self) -> list[str]:
        """Return the peers of connected links."""
        return [item for item in self._links if self._network.is_connected(item)]

    def all(self) -> list[Link]:
        """Return all links."""
        return list(self._links.values())

    def get(self, node_id: str) -> Link | None:
        """Return the link to a peer."""
        return self._links.get(node_id)

    def has_unconnected(self) -> bool:
        """Tell whether a chosen peer is not connected or waits to be dialled."""
        now = self._now()
        due = any(redial.due <= now for redial in self._redials.values())
        return due or any(
            link.chosen and not self._network.is_connected(link.node_id)
            for link in self._links.values()
        )

    def choose(self, candidates: list[Node]) -> list[Link]:
        """Choose links anew, dial those not connected, return those given up."""
        now = self._now()
        known = {node.id for node in candidates}
        self._redials = {
            node_id: redial
            for node_id, redial in self._redials.items()
            if node_id in known
        }
        reachable = [node for node in candidates if self._may_dial(node.id, now)]
        chosen = choose_links(self._network.node, reachable, self._max_links)
        ids = {node.id for node in chosen}
        for node_id in ids:
            self._links.setdefault(node_id, Link(node_id)).chosen = True
            if not self._network.is_connected(node_id):
                self._start_dial(node_id)
        given_up = [
            link for link in self.all() if link.chosen and link.node_id not in ids
        ]
        for link in given_up:
            self._give_up(link)
        return given_up

    def record_heartbeat(self, node_id: str, wanted: bool) -> None:
        """Note a heartbeat of a peer."""
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
        """Tell whether a peer may add a link to this node."""
        if node_id in self._links:
            return True
        followers = sum(
            link.wanted and not link.chosen for link in self._links.values()
        )
        return followers < self._max_links + MAX_EXTRA_INBOUND_LINKS

    def note_link_refused(self, node_id: str) -> None:
        """Choose another peer in place of one that has too many links."""
        self._links.pop(node_id, None)
        delay = REFUSED_HEARTBEATS * self._heartbeat
        self._redials[node_id] = Redial(delay, self._now() + delay)

    def unwatch(self, node_id: str) -> None:
        """Stop watching a peer until it is heard again."""
        link = self._links.get(node_id)
        if link is not None:
            link.heard = False
            if not link.chosen:
                del self._links[node_id]

    def drop(self, node_id: str) -> None:
        """Forget a link."""
        self._links.pop(node_id, None)

    def reset_silence(self) -> None:
        """Count all peers as just heard, after this process was paused."""
        for link in self._links.values():
            link.last_heard = self._now()

    def silence(self, link: Link) -> float:
        """Return seconds since the peer was heard; 0 when it is not watched."""
        return self._now() - link.last_heard if link.heard else 0.0

    def _give_up(self, link: Link) -> None:
        link.chosen = False
        # A peer that was heard and cannot be reached stays watched.
        parted = not link.wanted and self._network.is_connected(link.node_id)
        if parted or not link.heard:
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
            log.debug("link to %s not open: %s", node_id, exc.reason)
            self._put_off(node_id)
        finally:
            self._dialling.discard(node_id)

    def _put_off(self, node_id: str) -> None:
        old = self._redials.get(node_id)
        longest = LAST_REDIAL_HEARTBEATS * self._heartbeat
        first = FIRST_REDIAL_HEARTBEATS * self._heartbeat
        delay = min(2 * old.delay, longest) if old else first
        self._redials[node_id] = Redial(delay, self._now() + delay)
