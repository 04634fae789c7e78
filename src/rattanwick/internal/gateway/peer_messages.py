"""State that nodes tell each other, several times a second, in one datagram.

All figures are sums since the start of a process or the present value, so that a
lost or reordered datagram needs no repair.
"""

from dataclasses import dataclass, replace
from enum import IntEnum

from msgpack import packb, unpackb

from rattanwick.internal.gateway.interfaces import StoredRow
from rattanwick.internal.gateway.model import PromptPart
from rattanwick.internal.gateway.node_state import Placement
from rattanwick.internal.gateway.shapes import Shape, matches
from rattanwick.internal.gateway.table_watch import TableChanges
from rattanwick.internal.peers.packing import pack_compressed, unpack_compressed

PROTOCOL_VERSION = 4
MAX_DATAGRAM_BYTES = 8192
# A configuration that does not fit is fetched as a copy by each node.
MAX_CHANGES_BYTES = 48 << 10


class DatagramKind(IntEnum):
    """Tell what a datagram holds."""

    STATE = 1
    LOADS = 2
    CHANGES = 3


FIGURES = (int, int, int, int)
# Of the fields of messages, by their names.
SHAPES: dict[str, Shape] = {
    "node_id": str,
    "boot": int,
    "sequence": int,
    "brief": bool,
    "port": int,
    "callers": str,
    "data_centre": str,
    "ready": bool,
    "leaving": bool,
    "standby": bool,
    "cores": float,
    "request_rate": float,
    "store_failing": bool,
    "fence": int,
    "versions": {str: int},
    "spent": {str: (float, float)},
    "usage": {int: {str: int}},
    "loads": {str: FIGURES},
    "prompt_tokens": {str: int},
    "prefill_seen": {str: (float,) * 6},
    "crashes": [(str, str, float)],
    "placed": int,
    "placements": [(str, [(str, int)])],
    "table": str,
    "after": int,
    "version": int,
    "rows": [(str, bytes | None, int)],
    "failed_seconds": float | None,
}

# By endpoint: pending prompt tokens, requests running, output tokens expected of
# them, prompt tokens a second.
Loads = dict[str, list[int]]
NO_LOAD = [0, 0, 0, 0]


@dataclass(slots=True)
class PeerLoads:
    """Hold what has changed of a node's loads and placements, told at once.

    Figures of an endpoint where nothing is in progress any more are 0.
    """

    node_id: str
    boot: int
    sequence: int
    loads: Loads
    placed: int
    placements: list[list]
    spent: dict[str, list[float]]  # as of a state, of limits that are low


@dataclass(slots=True)
class PeerState:
    """Hold what one node tells of itself.

    A brief state leaves out what only nodes that share the requests need: usage,
    loads and placements.
    """

    node_id: str
    boot: int
    sequence: int
    brief: bool
    port: int
    callers: str
    data_centre: str
    ready: bool
    leaving: bool
    standby: bool
    cores: float  # processor time that it may use, in seconds a second
    request_rate: float  # of callers, a second
    store_failing: bool  # it follows the store and is not served
    fence: int
    versions: dict[str, int]  # table, version of the newest known change
    spent: dict[str, list[float]]  # organisation: spent, level of the bucket
    usage: dict[int, dict[str, int]]
    loads: Loads
    prompt_tokens: dict[str, int]  # by service, read since the start
    prefill_seen: dict[str, list[float]]  # by service, sums of first events
    crashes: list[list]  # fingerprint, endpoint, age in seconds
    placed: int  # placements since the start; the last of them follow
    # Endpoint, and id and tokens of each part. Most of them are known already, so
    # they are decoded where they are needed.
    placements: list[list]


def placements_after(told: PeerState | PeerLoads, heard: int) -> list[Placement]:
    """Return the told placements that come after the first ``heard`` ones."""
    count = min(max(told.placed - heard, 0), len(told.placements))
    return [
        Placement(endpoint_id, tuple(PromptPart(*part) for part in parts))
        for endpoint_id, parts in told.placements[len(told.placements) - count :]
    ]


def encode_placement(placement: Placement) -> list:
    """Return a placement as it is told."""
    parts = [[part.id, part.tokens] for part in placement.prompt]
    return [placement.endpoint_id, parts]


def encode_loads(told: PeerLoads) -> bytes:
    """Return the datagram of loads."""
    fields = [getattr(told, name) for name in PeerLoads.__slots__]
    return packb([PROTOCOL_VERSION, DatagramKind.LOADS, *fields])


def encode_state(state: PeerState) -> bytes:
    """Return the datagram of a state."""
    fields = [getattr(state, name) for name in PeerState.__slots__]
    return packb([PROTOCOL_VERSION, DatagramKind.STATE, *fields])


def make_brief(state: PeerState) -> PeerState:
    """Return a state without what only nodes that share the requests need."""
    return replace(state, brief=True, usage={}, loads={}, placements=[])


def changed_loads(told: Loads, loads: Loads) -> Loads:
    """Return the loads that differ from those told before.

    Tokens a second, the last figure, change all the time and are not compared.
    """
    changed = {
        endpoint_id: figures
        for endpoint_id, figures in loads.items()
        if endpoint_id not in told or told[endpoint_id][:-1] != figures[:-1]
    }
    changed.update((ended, NO_LOAD) for ended in told.keys() - loads.keys())
    return changed


def encode_changes(node_id: str, changes: TableChanges) -> bytes:
    """Return the datagram of changes that were read from the store."""
    fields = {
        "table": changes.table,
        "after": changes.after,
        "version": changes.version,
        "rows": [[row.key, row.value, row.version] for row in changes.rows],
        "failed_seconds": changes.failed_seconds,
    }
    packed = pack_compressed(fields)
    return packb([PROTOCOL_VERSION, DatagramKind.CHANGES, node_id, packed])


def _decode_changes(node_id: str, packed: bytes) -> tuple[str, TableChanges]:
    fields = unpack_compressed(packed, "changes")
    if not matches(node_id, SHAPES["node_id"]):
        raise ValueError("datagram: node_id has the wrong shape")
    changes = _checked(TableChanges(**fields))
    return node_id, replace(changes, rows=tuple(StoredRow(*r) for r in changes.rows))


def decode_datagram(data: bytes) -> PeerState | PeerLoads | tuple[str, TableChanges]:
    """Return what a datagram tells; raise ValueError where it is not one."""
    try:
        version, kind, *fields = unpackb(data, strict_map_key=False)
        if version != PROTOCOL_VERSION:
            raise ValueError(f"protocol version {version!r} is not known")
        if kind == DatagramKind.LOADS:
            return _checked(PeerLoads(*fields))
        if kind == DatagramKind.CHANGES:
            return _decode_changes(*fields)
        if kind != DatagramKind.STATE:
            raise ValueError(f"datagram kind {kind!r} is not known")
        return _checked(PeerState(*fields))
    except ValueError:
        raise
    except Exception as exc:
        raise ValueError(f"datagram: {type(exc).__name__} {exc}")


def _checked(told):
    """Return a message whose fields all have their shapes; raise ValueError."""
    for name in told.__slots__:
        if not matches(getattr(told, name), SHAPES[name]):
            raise ValueError(f"datagram: {name} has the wrong shape")
    return told
