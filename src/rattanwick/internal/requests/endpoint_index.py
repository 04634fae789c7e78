"""Endpoints of the instance list by id."""

from rattanwick.internal.model.instances import Endpoint
from rattanwick.internal.platform.interfaces import InstanceList


class EndpointIndex:
    """Find endpoints by id, as the instance list last showed them."""

    def __init__(self, instances: InstanceList):
        self._instances = instances
        self.by_id: dict[str, Endpoint] = {}
        self._read()
        instances.subscribe(self._read)

    def _read(self) -> None:
        self.by_id = {item.id: item for item in self._instances.endpoints()}

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Return an endpoint, or None where it is not listed any more."""
        return self.by_id.get(endpoint_id)
