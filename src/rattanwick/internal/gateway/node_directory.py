"""Addresses of the nodes that callers should use."""

from rattanwick.internal.gateway.node_selection import choose_serving_nodes
from rattanwick.internal.gateway.node_state import NodeState

MAX_ADDRESSES = 64  # callers ignore further ones
# Callers stop using an address that is missing from a new list, so a short lifetime
# moves them away from a leaving node well before it stops.
MAX_LIFETIME_SECONDS = 1.0


class NodeDirectory:
    """Lists of the nodes that callers should use, by data centre."""

    def __init__(self, state: NodeState):
        self._state = state

    def addresses(self, data_centre: str) -> list[str]:
        """Return the addresses (IP:PORT) for callers of a data centre, best first."""
        total = self._state.members.count_nodes()
        chosen = choose_serving_nodes(self._state.ready_nodes(), data_centre, total)
        return [node.caller_address for node in chosen[:MAX_ADDRESSES]]

    def lifetime(self) -> float:
        """Return the seconds for which a caller may use a list of addresses."""
        return min(MAX_LIFETIME_SECONDS, self._state.settings.bounds.address_lifetime)
