"""Index of the endpoints in the instance list."""

from rattanwick.internal.model.instances import Endpoint
from rattanwick.internal.peers.gossip import ENDPOINT_LEAVING_TOPIC
from rattanwick.internal.peers.interfaces import Gossip
from rattanwick.internal.platform.interfaces import InstanceList


class EndpointIndex:
    """Listed endpoints by id, for the request path.

    Routing has an ``EndpointDirectory``, which groups the usable ones into cells.
    """

    def __init__(self, instances: InstanceList, gossip: Gossip):
        self._instances = instances
        self._leaving: set[str] = set()
        self.by_id: dict[str, Endpoint] = {}
        self._rebuild()
        instances.subscribe(self._rebuild)
        gossip.subscribe(ENDPOINT_LEAVING_TOPIC, self._on_leaving)

    def _rebuild(self) -> None:
        self.by_id = {item.id: item for item in self._instances.endpoints()}

    def _on_leaving(self, key: str, version: int, body: dict) -> None:
        self._leaving.add(key)

    def is_leaving(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is leaving or is no longer listed."""
        endpoint = self.by_id.get(endpoint_id)
        return endpoint is None or endpoint.leaving or endpoint_id in self._leaving

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Return the endpoint with an id, or None if it is not listed."""
        return self.by_id.get(endpoint_id)
