"""Interfaces of the peer components for the rest of a node."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from rattanwick.internal.model.instances import Node

Handler = Callable[[str, dict], dict | None]  # (peer node id, body) -> reply body
GossipCallback = Callable[[str, int, dict], None]  # (key, version, body)


class PeerNetwork(ABC):
    """Messages between nodes, as calls with a reply or as notifications."""

    @abstractmethod
    def call(self, node_id: str, kind: str, body: dict, timeout: float) -> dict:
        """Return the reply of a node, within ``timeout`` seconds.

        Raises Refused if the remote handler failed, and other StepErrors if there is
        no reply.
        """

    @abstractmethod
    def notify(self, node_id: str, kind: str, body: dict) -> None:
        """Send a notification; it is dropped if the peer is unreachable."""

    @abstractmethod
    def handle(self, kind: str, handler: Handler) -> None:
        """Register the handler of a message kind, for calls and notifications."""


class Members(ABC):
    """Nodes of the system and which of them are live, as this node sees it."""

    @property
    @abstractmethod
    def self_node(self) -> Node:
        """Return this node."""

    @abstractmethod
    def live(self, data_centre: str | None = None) -> tuple[Node, ...]:
        """Return live nodes that are not leaving (this node too, unless it leaves)."""

    @abstractmethod
    def get(self, node_id: str) -> Node | None:
        """Return a known node, live or not, or None."""

    @abstractmethod
    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change of membership."""


class Gossip(ABC):
    """Distribution of small versioned items to all nodes."""

    @abstractmethod
    def publish(self, topic: str, key: str, version: int, body: dict) -> None:
        """Spread an item; a higher version of a key replaces a lower one everywhere."""

    @abstractmethod
    def subscribe(self, topic: str, callback: GossipCallback) -> None:
        """Call ``callback`` for the known items of a topic, then for each new one."""


class Ownership(ABC):
    """Mapping of keys to nodes; only a hint, since nodes may disagree for a while."""

    @abstractmethod
    def owner(self, key: str, data_centre: str | None = None) -> Node | None:
        """Return the live node that owns a key, in one data centre or in all."""


class RequestReplicator(ABC):
    """Replication of requests in flight to other nodes."""

    @abstractmethod
    def copy(self, message: dict, timeout: float) -> int:
        """Send a replica to a backup node; return the number of replicas made.

        ``timeout`` is in seconds for all attempts together.
        """

    @abstractmethod
    def drop(self, request_id: str) -> None:
        """Drop the replicas of a request that has finished."""
