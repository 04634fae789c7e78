"""Rendezvous hashing, for owners of keys, heartbeat links and backup nodes."""

from collections.abc import Iterable

from rattanwick.internal.base.ids import rendezvous_weight
from rattanwick.internal.model.instances import Node
from rattanwick.internal.peers.interfaces import Members, Ownership

PREFERRED_LOCAL_LINKS = 3
MAX_CACHED_KEYS = 4096


def rank_nodes(key: str, nodes: Iterable[Node]) -> list[Node]:
    """Return the nodes by rendezvous weight for a key; the first one owns it."""
    return sorted(
        nodes, key=lambda node: (rendezvous_weight(key, node.id), node.id), reverse=True
    )


def spread_data_centres(ranked: list[Node]) -> list[Node]:
    """Return the first node of each data centre, then the second of each, and so on."""
    depth: dict[str, int] = {}
    order = []
    for position, node in enumerate(ranked):
        level = depth[node.data_centre] = depth.get(node.data_centre, -1) + 1
        order.append((level, position, node))
    return [node for _, _, node in sorted(order, key=lambda item: item[:2])]


def choose_links(own: Node, candidates: Iterable[Node], limit: int) -> list[Node]:
    """Return the nodes that ``own`` keeps heartbeat links to, at most ``limit``."""
    ranked = rank_nodes(own.id, candidates)
    local = [node for node in ranked if node.data_centre == own.data_centre]
    others = [node for node in ranked if node.data_centre != own.data_centre]
    # At least half of the links go to other data centres. Otherwise, with a low limit,
    # there could be no path of links between data centres.
    local_count = min(PREFERRED_LOCAL_LINKS, limit // 2)
    chosen = local[:local_count] + spread_data_centres(others)
    return (chosen + local[local_count:])[:limit]


class RendezvousOwnership(Ownership):
    """Ownership of a key by the live node with the highest rendezvous weight."""

    def __init__(self, members: Members):
        self._members = members
        self._cache: dict[tuple[str, str | None], Node | None] = {}
        members.subscribe(self._cache.clear)

    def owner(self, key: str, data_centre: str | None = None) -> Node | None:
        """Return the live node that owns a key, or None if no node is live."""
        name = (key, data_centre)
        if name not in self._cache:
            if len(self._cache) >= MAX_CACHED_KEYS:
                self._cache.clear()
            ranked = rank_nodes(key, self._members.live(data_centre))
            self._cache[name] = ranked[0] if ranked else None
        return self._cache[name]
