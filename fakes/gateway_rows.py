"""Stand-in for the rows of the platform's store, with switches for its faults."""

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

PEER = "store stand-in"


class MemoryRowStore(RowStore):
    """Hold rows in memory.

    ``down`` refuses calls, ``lose_answers`` applies that many next writes without
    an answer, ``forget_history`` makes the next call that follows a table fail.
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
        """Drop the changes up to now."""
        self._oldest = self.version + 1
        self.changes.clear()
        self._changed.set()

    def read(self, table: str) -> RowPage:
        """Return all rows of a table."""
        self._begin("read")
        rows = self.tables.get(table, {})
        return RowPage(tuple(rows[key] for key in sorted(rows)), self.version)

    def wait_for_changes(self, table: str, after: int, wait: float) -> RowPage:
        """Return rows changed after a version, waiting up to ``wait`` seconds."""
        self._begin("follow")
        with gevent.Timeout(wait, False):
            while (
                after + 1 >= self._oldest
                and not self._since(table, after)
                and not self.down
            ):
                self._changed.wait()
                self._changed.clear()
        self._check_up("follow")
        if after + 1 < self._oldest:
            raise HistoryLost("follow", PEER, "history is no longer available")
        return RowPage(tuple(self._since(table, after)), self.version)

    def write(self, table: str, key: str, value: bytes | None, expected: int) -> int:
        """Write or remove a row that has version ``expected``."""
        self._begin("write")
        known = self.tables.get(table, {}).get(key)
        if (known.version if known else 0) != expected:
            found = (known,) if known else ()
            raise Conflict("write", PEER, f"row {key} has changed", found)
        return self._answer(self.set_row(table, key, value))

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write or remove a row whatever it holds."""
        self._begin("put")
        return self._answer(self.set_row(table, key, value))

    def set_row(self, table: str, key: str, value: bytes | None) -> int:
        """Write or remove a row whatever faults are on; return its version."""
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

    def _answer(self, version: int) -> int:
        if self.lose_answers:
            self.lose_answers -= 1
            raise MaybeApplied("write", PEER, "answer lost")
        return version

    def _since(self, table: str, after: int) -> list[StoredRow]:
        return [
            row for name, row in self.changes if name == table and row.version > after
        ]

    def _begin(self, call: str) -> None:
        self.calls.append(call)
        self._check_up(call)

    def _check_up(self, call: str) -> None:
        if self.down:
            raise Unavailable(call, PEER, "switched off")
