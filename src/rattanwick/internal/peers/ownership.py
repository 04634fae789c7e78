"""Rendezvous hashing: heartbeat links, owners of keys and order of keepers."""

from collections.abc import Iterable

from rattanwick.internal.base.ids import rendezvous_weight
from rattanwick.internal.model.instances import Node
from rattanwick.internal.peers.interfaces import Members, Ownership

LOCAL_LINKS = 3
CACHED_KEYS = 4096


def rank_nodes(key: str, nodes: Iterable[Node]) -> list[Node]:
    """Return the nodes in the order in which they own a key."""
    return sorted(
        nodes, key=lambda node: (rendezvous_weight(key, node.id), node.id), reverse=True
    )


def spread_data_centres(ranked: list[Node]) -> list[Node]:
    """Return the best node of each data centre in turn, then the second best."""
    depth: dict[str, int] = {}
    order = []
    for position, node in enumerate(ranked):
        level = depth[node.data_centre] = depth.get(node.data_centre, -1) + 1
        order.append((level, position, node))
    return [node for _, _, node in sorted(order, key=lambda item: item[:2])]


def choose_links(own: Node, candidates: Iterable[Node], limit: int) -> list[Node]:
    """Return the nodes to keep heartbeat links to."""
    ranked = rank_nodes(own.id, candidates)
    local = [node for node in ranked if node.data_centre == own.data_centre]
    others = [node for node in ranked if node.data_centre != own.data_centre]
    # At least half of the links leave the data centre, or few links would leave
    # data centres without a path to each other.
    near = min(LOCAL_LINKS, limit // 2)
    chosen = local[:near] + spread_data_centres(others)
    return (chosen + local[near:])[:limit]


class RendezvousOwnership(Ownership):
    """Map a key to the live node with the highest rank."""

    def __init__(self, members: Members):
        self._members = members
        self._cache: dict[tuple[str, str | None], Node | None] = {}
        members.subscribe(self._cache.clear)

    def owner(self, key: str, data_centre: str | None = None) -> Node | None:
        """Return the live node that owns a key."""
        name = (key, data_centre)
        if name not in self._cache:
            if len(self._cache) >= CACHED_KEYS:
                self._cache.clear()
            ranked = rank_nodes(key, self._members.live(data_centre))
            self._cache[name] = ranked[0] if ranked else None
        return self._cache[name]
