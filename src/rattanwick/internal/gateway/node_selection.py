"""Choice of the nodes that serve callers and of those that poll the store.

If callers were spread over many more nodes than the load needs, each node would open
its own connections to every engine and learn late what the other nodes have sent.
Therefore only some nodes of a large deployment serve, with fewer connections and more
recent knowledge; the others are on standby. Every node ranks all nodes in the same
way, so no agreement is needed.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

# Up to this number of nodes, all of them serve.
MAX_NODES_ALL_SERVING = 24
# Least sum of the serving nodes' CPU limits, in cores. 24 nodes of half a core each
# served 300 requests per second with a fifth of their processor time.
MIN_SERVING_CORES = 12.0
# Load for which one serving core is added. A request takes about 5 ms of processor
# time (28 s for 5,500 requests on the small site), so a quarter of each core is used.
REQUESTS_PER_SECOND_PER_CORE = 50.0
MIN_SERVING_NODES = 2  # per data centre, so that callers of a lost node have another
# Nodes of each data centre that poll the store for the others, in a deployment of more
# than MAX_NODES_ALL_SERVING nodes.
POLLERS_PER_DATA_CENTRE = 2


@dataclass(slots=True, frozen=True)
class CandidateNode:
    """A node that could serve callers."""

    node_id: str
    data_centre: str
    caller_address: str  # IP:PORT
    cores: float  # its CPU limit, in cores
    request_rate: float  # recent requests per second
    store_failing: bool = False  # its calls to the store fail


@lru_cache(maxsize=4096)
def node_rank(node_id: str) -> bytes:
    """Return a hash that orders nodes in the same way at all nodes and at all times."""
    return blake2b(node_id.encode(), digest_size=8).digest()


def _sort_key(node: CandidateNode) -> tuple[float, bytes]:
    return -node.cores, node_rank(node.node_id)


def choose_serving_nodes(
    nodes: Iterable[CandidateNode], data_centre: str, total: int, spare: int = 0
) -> list[CandidateNode]:
    """Return the nodes that serve the callers of a data centre, best ones first.

    ``nodes`` are the nodes that are ready. ``total`` also counts nodes that are down
    for a moment, so that a restart does not change which nodes serve. Nodes of the
    callers' own data centre come first, then those of other data centres if cores are
    missing. Within a data centre the nodes with most cores come first, because prompts
    wait for each other on the slow network link of a small node. ``spare`` further
    nodes are appended.
    """
    ranked = sorted(nodes, key=_sort_key)
    if total <= MAX_NODES_ALL_SERVING:
        return ranked
    local = [node for node in ranked if node.data_centre == data_centre]
    remote = [node for node in ranked if node.data_centre != data_centre]
    rate = sum(node.request_rate for node in local)
    data_centres = len({node.data_centre for node in ranked})
    missing_cores = max(
        MIN_SERVING_CORES / data_centres, rate / REQUESTS_PER_SECOND_PER_CORE
    )
    chosen: list[CandidateNode] = []
    for node in local + remote:
        if missing_cores <= 0 and len(chosen) >= MIN_SERVING_NODES:
            spare -= 1
            if spare < 0:
                break
        chosen.append(node)
        missing_cores -= node.cores
    return chosen


def choose_store_pollers(
    nodes: Iterable[CandidateNode], data_centre: str, total: int
) -> list[CandidateNode]:
    """Return the nodes that poll the store for a data centre.

    ``nodes`` are the nodes that are ready, out of ``total``. In a small deployment all
    of them poll. A node whose calls to the store fail is replaced by the next one.
    """
    if total <= MAX_NODES_ALL_SERVING:
        return list(nodes)
    local = [
        node
        for node in nodes
        if node.data_centre == data_centre and not node.store_failing
    ]
    return sorted(local, key=_sort_key)[:POLLERS_PER_DATA_CENTRE]
