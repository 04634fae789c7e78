"""Addresses that callers should use."""

from rattanwick.internal.gateway.node_selection import serving_nodes
from rattanwick.internal.gateway.node_state import NodeState

MOST_ADDRESSES = 64  # callers read no more of an answer
# Callers leave an address that is missing from a new answer, so a short life
# moves them off a node that leaves well before it stops.
ADDRESS_SECONDS = 1.0


class NodeDirectory:
    """Tell callers which nodes to use."""

    def __init__(self, state: NodeState):
        self._state = state

    def addresses(self, data_centre: str) -> list[str]:
        """Return the addresses of nodes for callers of a data centre."""
        total = self._state.members.count()
        chosen = serving_nodes(self._state.ready_nodes(), data_centre, total)
        return [node.callers for node in chosen[:MOST_ADDRESSES]]

    def lifetime(self) -> float:
        """Return seconds for which an answer may be kept."""
        return min(ADDRESS_SECONDS, self._state.settings.bounds.address_lifetime)
