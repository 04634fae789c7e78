"""Client of the row store in memory, which knows only the eras that it has seen."""

from collections.abc import Callable

from fakes.gateway_rows import PEER, MemoryRowStore
from rattanwick.internal.base.errors import Conflict, MaybeApplied, StepError
from rattanwick.internal.gateway.interfaces import (
    NO_VERSION,
    RowPage,
    RowStore,
    Version,
)


class StoreClient(RowStore):
    """Client that learns of eras from answers, as the platform's does.

    Faults: ``down`` fails this client's calls; the next ``delay_writes`` writes raise
    MaybeApplied and take effect with ``deliver``, if their condition then holds.
    """

    def __init__(self, store: MemoryRowStore):
        self._store = store
        self._era = 0
        self.down = False
        self.delay_writes = 0
        # Called once, when the next write has taken effect and before its answer.
        self.before_answer: Callable[[], None] | None = None
        self._late: list[tuple[str, str, bytes | None, int]] = []

    @property
    def era(self) -> int:
        """Return the latest era that an answer has named."""
        return self._era

    def read(self, table: str) -> RowPage:
        """Return all rows of a table."""
        page = self._call(lambda: self._store.read(table))
        self._era = page.version.era
        return page

    def close_idle(self) -> None:
        """Do nothing; there are no connections."""

    def wait_for_changes(self, table: str, after: Version, wait: float) -> RowPage:
        """Return the rows changed after a version."""
        page = self._call(lambda: self._store.wait_for_changes(table, after, wait))
        self._era = page.version.era
        return page

    def write(
        self, table: str, key: str, value: bytes | None, expected: Version
    ) -> Version:
        """Write a row if it has the number of an expected version."""
        if expected != NO_VERSION and expected.era < self._era:
            raise Conflict("write", PEER, f"version is of era {expected.era}")
        if self.delay_writes:
            self.delay_writes -= 1
            self._late.append((table, key, value, expected.number))
            raise MaybeApplied("write", PEER, "answer lost")
        sent_era = self._era
        number = expected.number
        written = self._call(lambda: self._write_number(table, key, value, number))
        if self.before_answer is not None:
            act, self.before_answer = self.before_answer, None
            act()
        self._era = max(self._era, written.era)
        if 0 < sent_era < written.era:
            raise MaybeApplied("write", PEER, "restored meanwhile")
        return written

    def put(self, table: str, key: str, value: bytes | None) -> Version:
        """Write a row whatever its version."""
        return self._call(lambda: self._store.put(table, key, value))

    def deliver(self) -> None:
        """Let delayed writes take effect, each if its condition holds by its number."""
        for table, key, value, number in self._late:
            try:
                self._write_number(table, key, value, number)
            except StepError:
                continue
        self._late.clear()

    def _write_number(
        self, table: str, key: str, value: bytes | None, number: int
    ) -> Version:
        """Write a row on a condition on the number alone, as the platform's store."""
        era = self._store.version.era
        expected = Version(era, number) if number else NO_VERSION
        return self._store.write(table, key, value, expected)

    def _call(self, call: Callable):
        was_down = self._store.down
        self._store.down = was_down or self.down
        try:
            return call()
        finally:
            self._store.down = was_down
