"""Table of open connections by node, with the rule for duplicates.

When two nodes dial each other at the same moment, two connections are open for a
while. Each side reads both and sends on the one that was dialled by the node with
the lower id. The other one is closed when it is idle.
"""

import time
from collections.abc import Iterator

from rattanwick.internal.peers.connection import Connection
from rattanwick.internal.peers.metrics import CONNECTIONS

IDLE_TIMEOUT_SECONDS = 30.0
DUPLICATE_IDLE_TIMEOUT_SECONDS = 2.0


class ConnectionTable:
    """Open connections of a node; iteration yields all of them."""

    def __init__(self, node_id: str):
        self._node_id = node_id
        self._by_node: dict[str, list[Connection]] = {}

    def __iter__(self) -> Iterator[Connection]:
        for connections in list(self._by_node.values()):
            yield from list(connections)

    def get(self, node_id: str) -> Connection | None:
        """Return the connection on which to send to a node, or None."""
        connections = self._by_node.get(node_id)
        if not connections:
            return None
        return max(connections, key=self._preference)

    def add(self, conn: Connection) -> None:
        """Add a connection and close those that it replaces."""
        connections = self._by_node.setdefault(conn.node.id, [])
        for other in list(connections):
            # The same side dials again only after its old connection has ended, and
            # another incarnation is another process.
            same_side = other.dialled == conn.dialled
            if same_side or other.node.incarnation != conn.node.incarnation:
                connections.remove(other)
                other.close("replaced by a newer connection")
        connections.append(conn)
        self._count()

    def remove(self, conn: Connection) -> bool:
        """Remove a connection; return whether it was the last one to its node."""
        connections = self._by_node.get(conn.node.id, [])
        if conn not in connections:
            return False
        connections.remove(conn)
        if not connections:
            del self._by_node[conn.node.id]
        self._count()
        return not connections

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        now = time.monotonic()
        for conn in self:
            preferred = self.get(conn.node.id) is conn
            limit = (
                IDLE_TIMEOUT_SECONDS if preferred else DUPLICATE_IDLE_TIMEOUT_SECONDS
            )
            if not conn.is_busy() and now - conn.last_used > limit:
                conn.close("idle")

    def _preference(self, conn: Connection) -> tuple[bool, float]:
        dialler = self._node_id if conn.dialled else conn.node.id
        return (dialler == min(self._node_id, conn.node.id), conn.last_used)

    def _count(self) -> None:
        CONNECTIONS.set(sum(len(item) for item in self._by_node.values()))
