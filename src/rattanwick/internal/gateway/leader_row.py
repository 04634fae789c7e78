"""Row of the store that names the leader, one for each era of the store."""

from dataclasses import dataclass

from msgpack import unpackb

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.interfaces import RowPage, StoredRow, Version
from rattanwick.internal.gateway.shapes import MAX_EXACT_INTEGER, Amount, matches

log = get_logger("duties")

LEADERSHIP_TABLE = "duties"
LEADER_KEY = "holder"
# Eras have up to nine digits, so that a fence is below 2**53, which peers check.
FENCES_PER_ERA = 1_000_000
ROW_SHAPE = (str, Amount(int), Amount(int))  # node id, start of the process, fence
# Higher fences could not be raised for long: peers send them to each other.
MAX_FENCE = MAX_EXACT_INTEGER // 2


@dataclass(slots=True, frozen=True)
class Leader:
    """The row that names the leader; an empty node id means that there is none."""

    node_id: str
    boot: int  # start of the leader's process, in Unix milliseconds
    fence: int
    version: Version  # of the row
    era: int  # to which the row belongs


def row_key(name: str, era: int) -> str:
    """Return the key of the row of an era."""
    return f"{name}.{era}"


def decode_leader(row: StoredRow) -> Leader:
    """Return the leader that a row names; raise ValueError if the row is malformed."""
    try:
        fields = unpackb(row.value)
    except Exception as exc:
        raise ValueError(f"leader row: {type(exc).__name__} {exc}")
    if not matches(fields, ROW_SHAPE) or fields[2] > MAX_FENCE:
        raise ValueError("leader row: wrong shape")
    return Leader(*fields, row.version, row.version.era)


def find_leader(page: RowPage) -> Leader | None:
    """Return the leader that the row of the page's era names; None without a row.

    A malformed row names none, and a fence that is higher than those used so far: the
    version of the row has risen with each of them.
    """
    for row in page.rows:
        if row.key == row_key(LEADER_KEY, page.version.era):
            try:
                return decode_leader(row)
            except ValueError as exc:
                log.error("malformed leader row ignored", extra={"error": str(exc)})
                era, number = row.version
                fence = era * FENCES_PER_ERA + min(number, FENCES_PER_ERA - 1)
                return Leader("", 0, fence, row.version, era)
    return None
