"""Interfaces of the peer network for other parts."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from rattanwick.internal.model.instances import Node

Handler = Callable[[str, dict], dict | None]  # (peer node id, body) -> reply body
GossipCallback = Callable[[str, int, dict], None]  # (key, version, body)


class PeerNetwork(ABC):
    """Exchange messages with other nodes."""

    @abstractmethod
    def call(self, node_id: str, kind: str, body: dict, timeout: float) -> dict:
        """Return the reply; raise StepError. A handler's error raises Refused."""

    @abstractmethod
    def notify(self, node_id: str, kind: str, body: dict) -> None:
        """Send without a reply; drop the message when the peer is unreachable."""

    @abstractmethod
    def handle(self, kind: str, handler: Handler) -> None:
        """Register the handler of a message kind."""


class Members(ABC):
    """Show which nodes are live, from this node's point of view."""

    @property
    @abstractmethod
    def self_node(self) -> Node:
        """Return this node."""

    @abstractmethod
    def live(self, data_centre: str | None = None) -> tuple[Node, ...]:
        """Return nodes that are not leaving and were heard of, this one included."""

    @abstractmethod
    def get(self, node_id: str) -> Node | None:
        """Return a known node, live or not."""

    @abstractmethod
    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change of membership."""


class Gossip(ABC):
    """Spread small versioned items to all nodes."""

    @abstractmethod
    def publish(self, topic: str, key: str, version: int, body: dict) -> None:
        """Spread an item; a higher version of a key replaces a lower one."""

    @abstractmethod
    def subscribe(self, topic: str, callback: GossipCallback) -> None:
        """Call back for each new item of a topic, known ones first."""


class Ownership(ABC):
    """Map keys to nodes; a hint on which nodes may disagree."""

    @abstractmethod
    def owner(self, key: str, data_centre: str | None = None) -> Node | None:
        """Return the live node that owns a key."""


class RequestReplicator(ABC):
    """Keep copies of requests in flight at other nodes."""

    @abstractmethod
    def copy(self, message: dict, timeout: float) -> int:
        """Send a request's message to a keeper and return the copies made."""

    @abstractmethod
    def drop(self, request_id: str) -> None:
        """Tell the keeper that the request has finished."""
