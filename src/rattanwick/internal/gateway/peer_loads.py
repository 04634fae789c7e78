"""Loads that the peers of a node cause at endpoints."""

from dataclasses import dataclass, field

from rattanwick.internal.gateway.endpoint_directory import EndpointDirectory
from rattanwick.internal.gateway.endpoint_view import PeerLoad
from rattanwick.internal.gateway.peer_messages import NO_LOAD, Loads, PeerState


@dataclass(slots=True)
class LoadPages:
    """Endpoints with loads in the pages of one state that have arrived."""

    first: int  # sequence number of the first page
    received: int = 0  # pages
    endpoints: set[str] = field(default_factory=set)


class PeerLoadTable:
    """Loads of peers, kept in the views of the endpoints."""

    def __init__(self, endpoints: EndpointDirectory):
        self._endpoints = endpoints
        # By node id: endpoints at which the node last reported a load.
        self._loaded: dict[str, set[str]] = {}
        self._pages: dict[str, LoadPages] = {}  # by node id, of its last state

    def apply_state(self, state: PeerState, now: float) -> None:
        """Apply the loads of a state, which names all of them."""
        ended = self._ended(state)
        loads = {**dict.fromkeys(ended, NO_LOAD), **state.loads}
        self.apply(state.node_id, loads, now)

    def apply(self, node_id: str, loads: Loads, now: float) -> None:
        """Apply a node's loads by endpoint; NO_LOAD removes those of an endpoint."""
        loaded = self._loaded.setdefault(node_id, set())
        for endpoint_id, figures in loads.items():
            view = self._endpoints.get(endpoint_id)
            if figures == NO_LOAD:
                loaded.discard(endpoint_id)
                if view is not None:
                    view.peers.pop(node_id, None)
                continue
            loaded.add(endpoint_id)
            if view is not None:
                view.peers[node_id] = PeerLoad(*figures, last_heard_at=now)

    def _ended(self, message: PeerState) -> set[str]:
        """Return the endpoints at which a node has no load any more.

        They are known once all pages of a state have arrived.
        """
        first = message.sequence - message.page
        pages = self._pages.get(message.node_id)
        if pages is None or pages.first != first:
            pages = self._pages[message.node_id] = LoadPages(first)
        pages.received += 1
        pages.endpoints |= message.loads.keys()
        if pages.received < message.pages:
            return set()
        return self._loaded.get(message.node_id, set()) - pages.endpoints
