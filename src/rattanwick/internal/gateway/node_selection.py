"""Nodes of a large deployment to which callers are led.

Where callers are spread over many more nodes than the load needs, each node opens
connections of its own to every engine and hears late of what the others have sent.
A part of the nodes serves with fewer connections and fresher knowledge; the others
stand by. Every node ranks all of them alike, so no agreement is needed.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

# Up to so many nodes callers are led to all of them.
MAX_NODES_ALL_SERVING = 24
# Of the nodes that serve, in processor cores. The figure is that of 24 nodes with half
# a core each, which served 300 requests a second with a fifth of it.
MIN_SERVING_CORES = 12.0
# Requests a second for each core that serves. One takes about 5 ms of processor time
# (28 s for 5,500 requests on the small site), so that a quarter of a core is used.
REQUESTS_PER_CORE = 50.0
LEAST_NODES = 2  # of a data centre, so that callers of a lost node have another one
# Nodes of each data centre that follow the store for all, above MAX_NODES_ALL_SERVING
# nodes.
POLLERS_PER_DATA_CENTRE = 2


@dataclass(slots=True, frozen=True)
class CandidateNode:
    """Name a node that could serve callers."""

    node_id: str
    data_centre: str
    callers: str  # IP:PORT for callers
    cores: float  # processor time that it may use, in seconds a second
    request_rate: float  # requests a second, of late
    store_failing: bool = False  # it follows the store and is not served


@lru_cache(maxsize=4096)
def rank_of(node_id: str) -> bytes:
    """Return the order of a node, equal at all nodes and at all times."""
    return blake2b(node_id.encode(), digest_size=8).digest()


def _order(node: CandidateNode) -> tuple[float, bytes]:
    return -node.cores, rank_of(node.node_id)


def serving_nodes(
    nodes: Iterable[CandidateNode], data_centre: str, total: int, spare: int = 0
) -> list[CandidateNode]:
    """Return the nodes for callers of a data centre, first by rank.

    ``nodes`` are those that are up, ``total`` counts those that are down for a moment
    too, so that a restart does not change who serves. Callers are led to nodes of
    their own data centre; nodes of others fill up what it lacks. The largest ones come
    first: on the thin link of a small one, prompts wait for each other. ``spare``
    further nodes follow.
    """
    ranked = sorted(nodes, key=_order)
    if total <= MAX_NODES_ALL_SERVING:
        return ranked
    near = [node for node in ranked if node.data_centre == data_centre]
    far = [node for node in ranked if node.data_centre != data_centre]
    rate = sum(node.request_rate for node in near)
    centres = len({node.data_centre for node in ranked})
    wanted = max(MIN_SERVING_CORES / centres, rate / REQUESTS_PER_CORE)
    chosen: list[CandidateNode] = []
    for node in near + far:
        if wanted <= 0 and len(chosen) >= LEAST_NODES:
            spare -= 1
            if spare < 0:
                break
        chosen.append(node)
        wanted -= node.cores
    return chosen


def choose_store_pollers(
    nodes: Iterable[CandidateNode], data_centre: str, total: int
) -> list[CandidateNode]:
    """Return the nodes that follow the store for a data centre.

    ``nodes`` are those that are up, of ``total``. Few nodes all follow it. A node that
    the store does not serve is replaced by the next.
    """
    if total <= MAX_NODES_ALL_SERVING:
        return list(nodes)
    near = [
        node
        for node in nodes
        if node.data_centre == data_centre and not node.store_failing
    ]
    return sorted(near, key=_order)[:POLLERS_PER_DATA_CENTRE]
