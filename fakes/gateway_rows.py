"""In-memory rows of the gateway platform's store, with fault switches."""

import itertools

import gevent
from gevent.event import Event

from rattanwick.internal.base.errors import Conflict, MaybeApplied, Unavailable
from rattanwick.internal.gateway.interfaces import (
    HistoryLost,
    RowPage,
    RowStore,
    StoredRow,
)

PEER = "fake store"


class MemoryRowStore(RowStore):
    """Row store in memory.

    Faults: ``down`` fails every call with Unavailable; the next ``lose_answers`` writes
    are applied and raise MaybeApplied; after ``forget_history`` a poll for changes
    since an earlier version raises HistoryLost.
    """

    def __init__(self):
        self.tables: dict[str, dict[str, StoredRow]] = {}
        self.changes: list[tuple[str, StoredRow]] = []
        self.down = False
        self.lose_answers = 0
        self.calls: list[str] = []
        self._versions = itertools.count(1)
        self.version = 0
        self._oldest = 0
        self._changed = Event()

    def forget_history(self) -> None:
        """Drop the changes so far, as a store with limited history does."""
        self._oldest = self.version + 1
        self.changes.clear()
        self._changed.set()

    def read(self, table: str) -> RowPage:
        """Return all rows of a table, in order of key."""
        self._record_call("read")
        rows = self.tables.get(table, {})
        return RowPage(tuple(rows[key] for key in sorted(rows)), self.version)

    def wait_for_changes(self, table: str, after: int, wait: float) -> RowPage:
        """Return the rows changed after a version; wait up to ``wait`` s for one."""
        self._record_call("follow")
        with gevent.Timeout(wait, False):
            while (
                after + 1 >= self._oldest
                and not self._changes_since(table, after)
                and not self.down
            ):
                self._changed.wait()
                self._changed.clear()
        self._check_available("follow")
        if after + 1 < self._oldest:
            raise HistoryLost("follow", PEER, "changes after this version were dropped")
        return RowPage(tuple(self._changes_since(table, after)), self.version)

    def write(self, table: str, key: str, value: bytes | None, expected: int) -> int:
        """Write a row, or remove it if ``value`` is None; return the new version.

        Raises Conflict unless the row has the version ``expected``, 0 for no row.
        """
        self._record_call("write")
        known = self.tables.get(table, {}).get(key)
        if (known.version if known else 0) != expected:
            found = (known,) if known else ()
            raise Conflict("write", PEER, f"row {key} has another version", found)
        return self._confirm_write(self.set_row(table, key, value))

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write or remove a row whatever its version; return the new version."""
        self._record_call("put")
        return self._confirm_write(self.set_row(table, key, value))

    def set_row(self, table: str, key: str, value: bytes | None) -> int:
        """Write or remove a row regardless of faults; return its version."""
        self.version = next(self._versions)
        row = StoredRow(key, value, self.version)
        rows = self.tables.setdefault(table, {})
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = row
        self.changes.append((table, row))
        self._changed.set()
        return self.version

    def _confirm_write(self, version: int) -> int:
        if self.lose_answers:
            self.lose_answers -= 1
            raise MaybeApplied("write", PEER, "answer lost")
        return version

    def _changes_since(self, table: str, after: int) -> list[StoredRow]:
        return [
            row for name, row in self.changes if name == table and row.version > after
        ]

    def _record_call(self, call: str) -> None:
        self.calls.append(call)
        self._check_available(call)

    def _check_available(self, call: str) -> None:
        if self.down:
            raise Unavailable(call, PEER, "injected outage")
