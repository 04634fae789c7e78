"""Cells: groups of endpoints of one pool and region that share a queue."""

from collections.abc import Iterable
from dataclasses import dataclass

from rattanwick.internal.base.ids import rendezvous_weight
from rattanwick.internal.model.instances import Endpoint


@dataclass(slots=True, frozen=True)
class Cell:
    """Group of endpoints of one pool and region; one owner places its requests."""

    key: str  # POOL/REGION/INDEX
    pool: str
    region: str
    endpoints: tuple[Endpoint, ...]

    @property
    def slots(self) -> int:
        """Return the number of requests that the endpoints can run at once."""
        return sum(item.slots for item in self.endpoints)


def group_cells(endpoints: Iterable[Endpoint], max_cell_endpoints: int) -> list[Cell]:
    """Group endpoints by pool and region, and split each group into cells.

    A cell has at most ``max_cell_endpoints`` endpoints. Rendezvous hashing with this
    limit keeps most endpoints in their cell when another one is added or removed.
    """
    groups: dict[tuple[str, str], list[Endpoint]] = {}
    for item in endpoints:
        groups.setdefault((item.pool, item.region), []).append(item)
    cells = []
    for (pool, region), members in sorted(groups.items()):
        cells.extend(_split(pool, region, members, max_cell_endpoints))
    return cells


def _split(pool: str, region: str, members: list[Endpoint], limit: int) -> list[Cell]:
    count = -(-len(members) // limit)
    keys = [f"{pool}/{region}/{index}" for index in range(count)]
    assigned: dict[str, list[Endpoint]] = {key: [] for key in keys}
    for item in sorted(members, key=lambda member: member.id):
        ranked = sorted(keys, key=lambda key: -rendezvous_weight(item.id, key))
        chosen = next(key for key in ranked if len(assigned[key]) < limit)
        assigned[chosen].append(item)
    return [
        Cell(key, pool, region, tuple(items))
        for key, items in assigned.items()
        if items
    ]
