"""In-memory table and object store with fault switches, for tests."""

from collections.abc import Sequence

from rattanwick.internal.base.errors import Conflict, MaybeApplied, Unavailable
from rattanwick.internal.platform.interfaces import (
    ObjectStore,
    Precondition,
    Row,
    Table,
    Write,
)

PEER = "memory table"


class MemoryTable(Table):
    """Table in a dict; ``down`` and ``lose_answers`` inject faults."""

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.down = False
        self.lose_answers = 0  # number of writes that are applied, then MaybeApplied
        self.writes = 0
        self.reads = 0
        self._tokens: set[str] = set()

    def get(self, key: str, consistent: bool = True) -> Row | None:
        """Return a row, or None."""
        self._check_available("get")
        self.reads += 1
        return self.rows.get(key)

    def query(self, prefix: str, limit: int = 1000) -> list[Row]:
        """Return the rows whose keys begin with a prefix, in order of key."""
        self._check_available("query")
        self.reads += 1
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return [self.rows[key] for key in keys[:limit]]

    def put(self, key: str, values: dict, expected: Precondition, token: str) -> Row:
        """Write one row and return it."""
        self.transact([Write(key, values, expected)], token)
        return self.rows[key]

    def transact(self, writes: Sequence[Write], token: str) -> None:
        """Write all rows or none; a repeated token changes nothing.

        Raises Conflict if a row does not have the expected version.
        """
        self._check_available("transact")
        if token in self._tokens:
            return
        for write in writes:
            current = self.rows.get(write.key)
            version = current.row_version if current else 0
            if write.expected.row_version not in (None, version):
                raise Conflict("transact", PEER, "condition failed", current)
        for write in writes:
            self._apply(write)
        self.writes += len(writes)
        self._tokens.add(token)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise MaybeApplied("transact", PEER, "answer lost")

    def _apply(self, write: Write) -> None:
        current = self.rows.get(write.key)
        if write.values is None:
            self.rows.pop(write.key, None)
            return
        version = current.row_version if current else 0
        self.rows[write.key] = Row(write.key, dict(write.values), version + 1)

    def _check_available(self, step: str) -> None:
        if self.down:
            raise Unavailable(step, PEER, "outage")


class MemoryObjectStore(ObjectStore):
    """Object store in a dict; ``down`` simulates an outage."""

    def __init__(self):
        self.objects: dict[str, bytes] = {}
        self.down = False

    def get(self, name: str) -> bytes | None:
        """Return an object, or None."""
        self._check_available("get")
        return self.objects.get(name)

    def put(self, name: str, data: bytes) -> None:
        """Write or replace an object."""
        self._check_available("put")
        self.objects[name] = data

    def list(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return the sorted names with a prefix that follow ``after``."""
        self._check_available("list")
        names = sorted(name for name in self.objects if name.startswith(prefix))
        return [name for name in names if name > after][:limit]

    def delete(self, name: str) -> None:
        """Delete an object, if there is one."""
        self._check_available("delete")
        self.objects.pop(name, None)

    def _check_available(self, step: str) -> None:
        if self.down:
            raise Unavailable(step, "memory objects", "outage")
