"""In-memory rows of the gateway platform's store, with fault switches."""

import time
from collections.abc import Collection
from typing import NamedTuple

import gevent
from gevent.event import Event

from rattanwick.internal.base.errors import Conflict, MaybeApplied, Unavailable
from rattanwick.internal.gateway.interfaces import (
    NO_VERSION,
    HistoryLost,
    RowPage,
    RowStore,
    StoredRow,
    Version,
)

PEER = "fake store"
FIRST_ERA = 1


class _Change(NamedTuple):
    number: int
    written_at: float  # monotonic seconds
    table: str
    key: str
    value: bytes | None


class MemoryRowStore(RowStore):
    """Row store in memory.

    Faults: ``down`` fails every call with Unavailable; the next ``lose_answers`` writes
    are applied and raise MaybeApplied; after ``forget_history`` a poll for changes
    since an earlier version raises HistoryLost; ``restore`` returns to an older copy.
    """

    def __init__(self):
        self.tables: dict[str, dict[str, StoredRow]] = {}
        self.changes: list[tuple[str, StoredRow]] = []
        self.down = False
        self.lose_answers = 0
        self.calls: list[str] = []
        self.version = Version(FIRST_ERA, 0)
        # All changes that led to the present rows; not shortened by forget_history.
        self._log: list[_Change] = []
        self._oldest = 0
        self._changed = Event()

    @property
    def era(self) -> int:
        """Return the number of times that the store was restored, and the first era."""
        return self.version.era

    def close_idle(self) -> None:
        """Do nothing; there are no connections."""

    def forget_history(self) -> None:
        """Drop the changes so far, as a store with limited history does."""
        self._oldest = self.version.number + 1
        self.changes.clear()
        self._changed.set()

    def number_before(self, seconds: float) -> int:
        """Return the number of the newest version as of some seconds ago."""
        limit = time.monotonic() - seconds
        numbers = [item.number for item in self._log if item.written_at <= limit]
        return max(numbers, default=0)

    def restore(self, number: int, keep: Collection[str] = ()) -> None:
        """Return to the rows as of a version, and begin a new era.

        Later numbers are given out again. The rows of the tables in ``keep`` are
        written again at once, as they were. Polls that wait end with HistoryLost.
        """
        kept = {table: self.tables.get(table, {}) for table in keep}
        log = [item for item in self._log if item.number <= number]
        self.tables, self.changes, self._log = {}, [], []
        self._oldest = min(self._oldest, number + 1)
        era = self.version.era + 1
        for item in log:
            self._apply(item, Version(era, item.number))
        self.version = Version(era, min(number, self.version.number))
        for table, rows in kept.items():
            for key in self.tables.get(table, {}).keys() - rows.keys():
                self.set_row(table, key, None)
            for key, row in rows.items():
                self.set_row(table, key, row.value)
        self._changed.set()

    def read(self, table: str) -> RowPage:
        """Return all rows of a table, in order of key."""
        self._record_call("read")
        rows = self.tables.get(table, {})
        return RowPage(tuple(rows[key] for key in sorted(rows)), self.version)

    def wait_for_changes(self, table: str, after: Version, wait: float) -> RowPage:
        """Return the rows changed after a version; wait up to ``wait`` s for one."""
        self._record_call("follow")
        with gevent.Timeout(wait, False):
            while (
                self._has_history(after)
                and not self._changes_since(table, after)
                and not self.down
            ):
                self._changed.wait()
                self._changed.clear()
        self._check_available("follow")
        if not self._has_history(after):
            raise HistoryLost("follow", PEER, "changes after this version were dropped")
        return RowPage(tuple(self._changes_since(table, after)), self.version)

    def write(
        self, table: str, key: str, value: bytes | None, expected: Version
    ) -> Version:
        """Write a row, or remove it if ``value`` is None; return the new version.

        Raises Conflict unless the row has the version ``expected``, NO_VERSION for no
        row.
        """
        self._record_call("write")
        known = self.tables.get(table, {}).get(key)
        if (known.version if known else NO_VERSION) != expected:
            found = (known,) if known else ()
            raise Conflict("write", PEER, f"row {key} has another version", found)
        return self._confirm_write(self.set_row(table, key, value))

    def put(self, table: str, key: str, value: bytes | None) -> Version:
        """Write or remove a row whatever its version; return the new version."""
        self._record_call("put")
        return self._confirm_write(self.set_row(table, key, value))

    def set_row(self, table: str, key: str, value: bytes | None) -> Version:
        """Write or remove a row regardless of faults; return its version."""
        number = self.version.number + 1
        self.version = Version(self.version.era, number)
        change = _Change(number, time.monotonic(), table, key, value)
        self._apply(change, self.version)
        self._changed.set()
        return self.version

    def _apply(self, change: _Change, version: Version) -> None:
        row = StoredRow(change.key, change.value, version)
        rows = self.tables.setdefault(change.table, {})
        if change.value is None:
            rows.pop(change.key, None)
        else:
            rows[change.key] = row
        self._log.append(change)
        if version.number >= self._oldest:
            self.changes.append((change.table, row))

    def _confirm_write(self, version: Version) -> Version:
        if self.lose_answers:
            self.lose_answers -= 1
            raise MaybeApplied("write", PEER, "answer lost")
        return version

    def _has_history(self, after: Version) -> bool:
        """Return whether the changes after a version are known."""
        oldest, newest = self._oldest, self.version
        return (
            after.era == newest.era and oldest <= after.number + 1 <= newest.number + 1
        )

    def _changes_since(self, table: str, after: Version) -> list[StoredRow]:
        return [
            row for name, row in self.changes if name == table and row.version > after
        ]

    def _record_call(self, call: str) -> None:
        self.calls.append(call)
        self._check_available(call)

    def _check_available(self, call: str) -> None:
        if self.down:
            raise Unavailable(call, PEER, "injected outage")
