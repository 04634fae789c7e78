"""Endpoints that may receive work, from the instance list and gossip."""

from collections.abc import Callable

from rattanwick.internal.peers.gossip import ENDPOINT_LEAVING_TOPIC
from rattanwick.internal.peers.interfaces import Gossip
from rattanwick.internal.platform.interfaces import InstanceList
from rattanwick.internal.routing.cells import Cell, group_cells


class EndpointDirectory:
    """Cells and usable endpoints, from the instance list and gossip.

    An endpoint is leaving if the instance list or gossip reports it as leaving.
    """

    def __init__(
        self, instances: InstanceList, gossip: Gossip, max_cell_endpoints: int
    ):
        self._instances = instances
        self._max_cell_endpoints = max_cell_endpoints
        self._callbacks: list[Callable[[], None]] = []
        self._leaving: set[str] = set()
        self._usable: set[str] = set()
        self._cells: dict[str, Cell] = {}
        self._rebuild()
        instances.subscribe(self._rebuild_and_notify)
        gossip.subscribe(ENDPOINT_LEAVING_TOPIC, self._update_leaving)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change of the endpoints."""
        self._callbacks.append(callback)

    def is_usable(self, endpoint_id: str) -> bool:
        """Return whether an endpoint may receive work."""
        return endpoint_id in self._usable

    def usable(self) -> set[str]:
        """Return the ids of the endpoints that may receive work."""
        return self._usable

    def cell(self, key: str) -> Cell | None:
        """Return the cell with a key, or None."""
        return self._cells.get(key)

    def usable_cells(self, pool: str, excluded: frozenset[str]) -> list[Cell]:
        """Return the cells of a pool with a usable endpoint not in ``excluded``."""
        allowed = self._usable - excluded
        return [
            cell
            for cell in self._cells.values()
            if cell.pool == pool and any(item.id in allowed for item in cell.endpoints)
        ]

    def _rebuild_and_notify(self) -> None:
        self._rebuild()
        for callback in self._callbacks:
            callback()

    def _rebuild(self) -> None:
        listed = self._instances.endpoints()
        self._cells = {
            item.key: item for item in group_cells(listed, self._max_cell_endpoints)
        }
        self._leaving &= {item.id for item in listed}
        self._usable = {
            item.id
            for item in listed
            if not item.leaving and item.id not in self._leaving
        }

    def _update_leaving(self, key: str, version: int, body: dict) -> None:
        if body.get("leaving", True):
            self._leaving.add(key)
        else:
            self._leaving.discard(key)
        self._rebuild_and_notify()
