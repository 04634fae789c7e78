"""Datagrams in which nodes send each other their state, several times a second.

All figures are sums since the start of the process or current values, so a lost or
reordered datagram needs no repair.
"""

from dataclasses import dataclass, replace
from enum import IntEnum

from msgpack import packb, unpackb

from rattanwick.internal.gateway.interfaces import StoredRow, Version
from rattanwick.internal.gateway.limit_messages import PeerLimits, limits_from_fields
from rattanwick.internal.gateway.model import PromptPart
from rattanwick.internal.gateway.node_state import Placement
from rattanwick.internal.gateway.part_messages import PeerParts, parts_from_fields
from rattanwick.internal.gateway.shapes import Amount, Shape, matches
from rattanwick.internal.gateway.table_watch import TableChanges, TableCopy
from rattanwick.internal.peers.packing import pack_compressed, unpack_compressed

PROTOCOL_VERSION = 6
MAX_DATAGRAM_BYTES = 8192  # of a state, loads, limits or parts
# Changes that do not fit, such as a large configuration, are fetched as a copy.
MAX_CHANGES_BYTES = 48 << 10


class DatagramKind(IntEnum):
    """Kind of message in a datagram."""

    STATE = 1
    LOADS = 2
    CHANGES = 3
    LIMITS = 4
    PARTS = 5


LOAD_SHAPE = (Amount(int),) * 4
MAX_PORT = 65_535
# Sums of tokens and seconds, and a share, as PrefillEstimator.seen() returns them.
PREFILL_SHAPE = (*(Amount(float),) * 5, Amount(float, most=1.0))
VERSION_SHAPE = (Amount(int), Amount(int))  # era, number
# By name of a field of PeerLoads, PeerState, TableChanges or TableCopy.
FIELD_SHAPES: dict[str, Shape] = {
    "node_id": str,
    "boot": Amount(int),
    "sequence": Amount(int),
    "brief": bool,
    "port": Amount(int, most=MAX_PORT),
    "callers": str,
    "data_centre": str,
    "ready": bool,
    "leaving": bool,
    "standby": bool,
    "cores": Amount(float),
    "request_rate": Amount(float),
    "store_failing": bool,
    "fence": Amount(int),
    "versions": {str: VERSION_SHAPE},
    "block_digest": int,
    "configuration": Amount(int),
    "spent": {str: (float, float)},
    "usage": {int: {str: Amount(int)}},
    "loads": {str: LOAD_SHAPE},
    "prompt_tokens": {str: Amount(int)},
    "prefill_seen": {str: PREFILL_SHAPE},
    "crashes": [(str, str, Amount(float))],
    "leaving_endpoints": [(str, Amount(int))],
    "placed": Amount(int),
    "placements": [(str, [(str, Amount(int))])],
    "page": Amount(int),
    "pages": Amount(int),
    "table": str,
    "after": VERSION_SHAPE,
    "version": VERSION_SHAPE,
    "changed": VERSION_SHAPE,
    "rows": [(str, bytes | None, VERSION_SHAPE)],
    "failed_seconds": Amount(float, optional=True),
    "configuration_value": bytes | None,
}

# By endpoint: pending prompt tokens, running requests, output tokens expected of them,
# prompt tokens per second.
Loads = dict[str, list[int]]
NO_LOAD = [0, 0, 0, 0]


@dataclass(slots=True)
class PeerLoads:
    """Changes of a node's loads and placements, sent without delay.

    An endpoint at which the node's last request has ended has NO_LOAD.
    """

    node_id: str
    boot: int  # start of the process, in Unix milliseconds
    sequence: int  # grows with each PeerLoads or PeerState of the process
    loads: Loads
    placed: int  # as in PeerState, like ``placements``
    placements: list[list]
    spent: dict[str, list[float]]  # as in PeerState, only of limits nearly used up
    leaving_endpoints: list[list]  # as in PeerState


@dataclass(slots=True)
class PeerState:
    """State of a node.

    A brief state leaves out what only active nodes need: usage, loads and placements.
    A state that is too large for a datagram is divided into pages, with sequence
    numbers one after the other; each holds a part of the maps and lists.
    """

    node_id: str
    boot: int  # start of the process, in Unix milliseconds
    sequence: int  # grows with each PeerLoads or PeerState of the process
    brief: bool
    port: int  # for peers
    callers: str  # IP:PORT for callers
    data_centre: str
    ready: bool
    leaving: bool
    standby: bool
    cores: float  # its CPU limit, in cores
    request_rate: float  # callers' requests per second
    store_failing: bool  # its calls to the store fail
    fence: int  # fencing token of the leader; 0 if the node is not the leader
    versions: dict[str, Version]  # by table, of the newest known change
    block_digest: int  # of the blocked parts; 0 if there are none
    configuration: int  # the operator's version of the one in force; 0 if there is none
    spent: dict[str, list[float]]  # by organisation: spent, level of the bucket
    usage: dict[int, dict[str, int]]  # by window and organisation, requests
    loads: Loads
    prompt_tokens: dict[str, int]  # by service, uncached, since the process started
    prefill_seen: dict[str, list[float]]  # by service, sums over first events
    crashes: list[list]  # request fingerprint, endpoint id, age in seconds
    # Id and start of each endpoint that announced its end in an answer.
    leaving_endpoints: list[list]
    placed: int  # placements since the process started; ``placements`` are the last
    # Endpoint id, and id and tokens of each prompt part. Most of them are known
    # already, so each is decoded only if it is needed.
    placements: list[list]
    page: int = 0  # number of this page, from 0 on
    pages: int = 1


def placements_after(message: PeerState | PeerLoads, received: int) -> list[Placement]:
    """Return the placements of a message that follow the first ``received`` ones."""
    count = min(max(message.placed - received, 0), len(message.placements))
    return [
        Placement(endpoint_id, tuple(PromptPart(*part) for part in parts))
        for endpoint_id, parts in message.placements[len(message.placements) - count :]
    ]


def encode_placement(placement: Placement) -> list:
    """Return a placement as a message holds it."""
    parts = [[part.id, part.tokens] for part in placement.prompt]
    return [placement.endpoint_id, parts]


def encode_loads(message: PeerLoads) -> bytes:
    """Return the datagram that holds loads."""
    fields = [getattr(message, name) for name in PeerLoads.__slots__]
    return packb([PROTOCOL_VERSION, DatagramKind.LOADS, *fields])


def encode_state(state: PeerState) -> bytes:
    """Return the datagram that holds a state."""
    fields = [getattr(state, name) for name in PeerState.__slots__]
    return packb([PROTOCOL_VERSION, DatagramKind.STATE, *fields])


def make_brief(state: PeerState) -> PeerState:
    """Return a state without the fields that only active nodes need."""
    return replace(state, brief=True, usage={}, loads={}, placements=[])


def changed_loads(sent: Loads, loads: Loads) -> Loads:
    """Return the loads that differ from those sent before.

    The last figure, tokens per second, changes all the time and is not compared.
    """
    changed = {
        endpoint_id: figures
        for endpoint_id, figures in loads.items()
        if endpoint_id not in sent or sent[endpoint_id][:-1] != figures[:-1]
    }
    changed.update((ended, NO_LOAD) for ended in sent.keys() - loads.keys())
    return changed


def encode_changes(node_id: str, changes: TableChanges) -> bytes:
    """Return the datagram that holds changes read from the store."""
    fields = {
        "table": changes.table,
        "after": changes.after,
        "version": changes.version,
        "rows": [[row.key, row.value, row.version] for row in changes.rows],
        "failed_seconds": changes.failed_seconds,
    }
    packed = pack_compressed(fields)
    return packb([PROTOCOL_VERSION, DatagramKind.CHANGES, node_id, packed])


def encode_limits(node_id: str, boot: int, message: PeerLimits) -> bytes:
    """Return the datagram that holds limits, permit requests and grants."""
    fields = [node_id, boot, message.to_fields()]
    return packb([PROTOCOL_VERSION, DatagramKind.LIMITS, *fields])


def encode_parts(node_id: str, boot: int, message: PeerParts, now: float) -> bytes:
    """Return the datagram that holds crashes, answers and blocks.

    ``now`` is in monotonic seconds, from which the message's times are counted.
    """
    fields = [node_id, boot, message.to_fields(now)]
    return packb([PROTOCOL_VERSION, DatagramKind.PARTS, *fields])


def _decode_parts(node_id: str, boot: int, fields: list, now: float) -> PeerParts:
    for name, value in (("node_id", node_id), ("boot", boot)):
        if not matches(value, FIELD_SHAPES[name]):
            raise ValueError(f"datagram: {name} has the wrong shape")
    return replace(parts_from_fields(fields, now), node_id=node_id, boot=boot)


def _decode_limits(node_id: str, boot: int, fields: list) -> PeerLimits:
    for name, value in (("node_id", node_id), ("boot", boot)):
        if not matches(value, FIELD_SHAPES[name]):
            raise ValueError(f"datagram: {name} has the wrong shape")
    return replace(limits_from_fields(fields), node_id=node_id, boot=boot)


def _decode_changes(node_id: str, packed: bytes) -> tuple[str, TableChanges]:
    fields = unpack_compressed(packed, "changes")
    if not matches(node_id, FIELD_SHAPES["node_id"]):
        raise ValueError("datagram: node_id has the wrong shape")
    changes = _check_shapes(TableChanges(**fields))
    rows = _decode_rows(changes.rows)
    after, version = _decode_version(changes.after), _decode_version(changes.version)
    return node_id, replace(changes, after=after, version=version, rows=rows)


def _decode_version(fields: list[int]) -> Version:
    version = Version(*fields)
    if min(version) < 0:
        raise ValueError(f"version {version} is negative")
    return version


def _decode_rows(rows: list[list]) -> tuple[StoredRow, ...]:
    return tuple(
        StoredRow(key, value, _decode_version(version)) for key, value, version in rows
    )


def encode_copy(copy: TableCopy) -> bytes:
    """Return the message that holds a copy of a table."""
    fields = {
        "version": copy.version,
        "changed": copy.changed,
        "failed_seconds": copy.failed_seconds,
        "rows": [[row.key, row.value, row.version] for row in copy.rows.values()],
        "configuration_value": copy.configuration_value,
    }
    return packb(pack_compressed(fields))


def decode_copy(packed: object) -> TableCopy:
    """Return the copy in an unpacked message; raise ValueError if it is malformed."""
    try:
        copy = _check_shapes(TableCopy(**unpack_compressed(packed, "copy")))
        return TableCopy(
            _decode_version(copy.version),
            _decode_version(copy.changed),
            copy.failed_seconds,
            {row.key: row for row in _decode_rows(copy.rows)},
            copy.configuration_value,
        )
    except TypeError as exc:
        raise ValueError(f"copy: {exc}")


def _decode_state(fields: list) -> PeerState:
    state = _check_shapes(PeerState(*fields))
    state.versions = {
        table: _decode_version(version) for table, version in state.versions.items()
    }
    return state


def decode_datagram(
    data: bytes, now: float = 0.0
) -> PeerState | PeerLoads | PeerLimits | PeerParts | tuple[str, TableChanges]:
    """Return the message in a datagram; raise ValueError if it is malformed.

    ``now`` is in monotonic seconds, from which ages in the message are counted.
    """
    try:
        version, kind, *fields = unpackb(data, strict_map_key=False)
        if version != PROTOCOL_VERSION:
            raise ValueError(f"unknown protocol version {version!r}")
        if kind == DatagramKind.LOADS:
            return _check_shapes(PeerLoads(*fields))
        if kind == DatagramKind.CHANGES:
            return _decode_changes(*fields)
        if kind == DatagramKind.LIMITS:
            return _decode_limits(*fields)
        if kind == DatagramKind.PARTS:
            return _decode_parts(*fields, now)
        if kind != DatagramKind.STATE:
            raise ValueError(f"unknown datagram kind {kind!r}")
        return _decode_state(fields)
    except ValueError:
        raise
    except Exception as exc:
        raise ValueError(f"datagram: {type(exc).__name__} {exc}")


def _check_shapes(message):
    """Return the message; raise ValueError if a field does not have its shape."""
    for name in message.__slots__:
        if not matches(getattr(message, name), FIELD_SHAPES[name]):
            raise ValueError(f"datagram: {name} has the wrong shape")
    return message
