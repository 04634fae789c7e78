"""Copy of a table of the store, kept up to date with the table's changes."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import Event

from rattanwick.internal.base.errors import StepError, Unavailable
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.gateway.interfaces import (
    NO_VERSION,
    HistoryLost,
    RowPage,
    RowStore,
    StoredRow,
    Version,
)
from rattanwick.internal.gateway.poll_schedule import PollSchedule, PollSlot

log = get_logger("store")

store_reads_total = counter(
    "store_reads", "Calls that read tables of the store", ("table", "result")
)

# Pause after a change, so that the next call returns several changes at once.
MIN_BATCHING_SECONDS = 0.1
# Each change ends a long poll of every polling node, and each call is billed. Above
# this number of nodes, batching lasts longer, so that the number of calls grows more
# slowly.
MAX_NODES_AT_FULL_POLL_RATE = 24
MAX_BATCHING_SECONDS = 0.4
RETRY_INTERVAL_SECONDS = 0.3  # while the store fails; refused calls are billed too
ROLE_CHECK_INTERVAL_SECONDS = 0.2  # between checks whether this node polls the store

DEFAULT_APPLY_SECONDS = 2.0
MAX_LOGGED_KEYS = 12  # in one log line

Listener = Callable[[dict[str, StoredRow], set[str]], None]


@dataclass(slots=True, frozen=True)
class TableChanges:
    """All rows of a table that changed between two versions, in order."""

    table: str
    after: Version  # of the newest change before these
    version: Version  # of the store; all changes up to it are included
    rows: tuple[StoredRow, ...]
    # Time since a call that read the table last failed; None if none has failed.
    failed_seconds: float | None


@dataclass(slots=True, frozen=True)
class TableCopy:
    """Copy of a whole table, as one node sends it to another."""

    version: Version  # as in TableWatch, like the other fields
    changed: Version
    failed_seconds: float | None
    rows: dict[str, StoredRow]
    # That in force at the sender, with the copy of the operator's table.
    configuration_value: bytes | None = None


def batching_seconds(nodes: int) -> float:
    """Return the seconds to wait after a change before the next call."""
    return min(MIN_BATCHING_SECONDS * poll_interval_factor(nodes), MAX_BATCHING_SECONDS)


def poll_interval_factor(nodes: int) -> float:
    """Return the factor by which each node's intervals grow in a large deployment."""
    return max(nodes / MAX_NODES_AT_FULL_POLL_RATE, 1.0)


class TableWatch:
    """Copy of one table that notifies a listener of changed rows.

    ``count_nodes`` returns the number of nodes that share the store. While
    ``is_polling`` returns false, changes come from peers through ``apply_changes``.
    ``forward_changes`` sends peers the changes that this node read from the store.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        timers: TimerService,
        listener: Listener,
        count_nodes: Callable[[], int] = lambda: 1,
        is_polling: Callable[[], bool] = lambda: True,
        schedule: PollSchedule | None = None,
    ):
        self.table = table
        self.rows: dict[str, StoredRow] = {}
        self.version = NO_VERSION  # of the store; ``rows`` has all changes up to it
        self.changed_version = NO_VERSION  # of the newest known change to this table
        self.loaded = Event()  # set once the table has been read
        # Monotonic seconds; None while this node's calls succeed.
        self.failing_since: float | None = None
        # Last failed call of this node or of a peer, in monotonic seconds.
        self.last_failure: float | None = None
        self.forward_changes: Callable[[TableChanges], None] | None = None
        self.is_polling = is_polling
        self._store = store
        self._timers = timers
        self._listener = listener
        self._count_nodes = count_nodes
        self._schedule = schedule or PollSchedule(
            DEFAULT_APPLY_SECONDS, lambda: PollSlot(0, 1)
        )
        # False until the whole table has been read, and after HistoryLost.
        self._complete = False
        self._read_at = float("-inf")  # monotonic seconds of the last whole read
        # Store version of the last whole read; it does not show removals before it.
        self._read_version = NO_VERSION
        self._task: gevent.Greenlet | None = None  # runs ``_run``
        self._call: gevent.Greenlet | None = None  # call to the store in progress

    def start(self) -> None:
        """Start keeping the copy up to date, in a greenlet of its own."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop keeping the copy up to date."""
        for task in (self._task, self._call):
            if task is not None:
                task.kill(block=False)

    def cancel_poll(self) -> None:
        """Cancel a long poll, because a peer knows a newer version."""
        if self._call is not None and self.failing_since is None:
            self._call.kill(block=False)
            # Its connection may have gone silent, and idle ones with it.
            self._store.close_idle()

    def failed_seconds(self) -> float | None:
        """Return the seconds since the last failed call here or at a peer, or None."""
        if self.last_failure is None:
            return None
        return self._timers.now() - self.last_failure

    def apply_changes(self, changes: TableChanges) -> bool:
        """Apply changes read by a peer; return False if earlier ones are missing."""
        if not self._complete or changes.after > self.version:
            return False
        versions = (changes.after, *(row.version for row in changes.rows))
        if not _is_consistent(changes.version, versions):
            return False
        self.note_peer_failure(changes.failed_seconds)
        self._apply(changes.rows, changes.version)
        return True

    def note_peer_failure(self, seconds: float | None) -> None:
        """Record that a peer's call to the store failed ``seconds`` ago.

        None means that no call of the peer has failed.
        """
        if seconds is None:
            return
        failed = self._timers.now() - seconds
        if self.last_failure is None or failed > self.last_failure:
            self.last_failure = failed

    def replace_with_copy(
        self, rows: dict[str, StoredRow], version: Version, changed_version: Version
    ) -> bool:
        """Replace this copy by a peer's if the peer's is newer; return whether it was.

        ``version`` and ``changed_version`` are those of the peer's copy.
        """
        if changed_version <= self.changed_version or version < self.version:
            return False
        versions = (changed_version, *(row.version for row in rows.values()))
        if not _is_consistent(version, versions):
            return False
        self._replace(rows, version)
        self.changed_version = changed_version
        return True

    def _run(self) -> None:
        while True:
            if self._complete and self.failing_since is None and not self.is_polling():
                self._timers.sleep(ROLE_CHECK_INTERVAL_SECONDS)
                continue
            self._call = gevent.spawn(self._poll_once)
            self._call.join()
            # A cancelled call returns no pause.
            pause = self._call.value if isinstance(self._call.value, float) else 0.0
            if pause:
                self._timers.sleep(pause)

    def _poll_once(self) -> float:
        """Make one call to the store; return the seconds to wait before the next."""
        try:
            if self._complete:
                return self._poll_changes()
            self._read_table()
        except HistoryLost as exc:
            log.warning(
                "history of changes lost, reading whole table",
                extra={"table": self.table, "error": str(exc)},
            )
            self._complete = False
            # A store that refuses the version which it has just given may go on so.
            repeated = self._timers.now() - self._read_at < RETRY_INTERVAL_SECONDS
            return self._retry_pause() if repeated else 0.0
        except StepError as exc:
            self._note_failure(exc)
            return self._retry_pause()
        except Exception:
            # An unexpected error must neither end this task nor repeat without a pause.
            log.exception("table not updated", extra={"table": self.table})
            return self._retry_pause()
        return 0.0

    def _read_table(self) -> None:
        page = self._store.read(self.table)
        self._schedule.note_store_time(page.store_time, self._timers.now())
        if page.version < self.version:
            log.warning(
                "table of older version ignored",
                extra={
                    "table": self.table,
                    "version": page.version,
                    "known": self.version,
                },
            )
            raise Unavailable("read", "store", "table is of an older version")
        former = self.version
        self._replace({row.key: row for row in page.rows}, page.version)
        if former != NO_VERSION:
            # Peers may lack changes that no node has forwarded.
            self.changed_version = page.version
        self._read_version = page.version
        self._complete = True
        self._read_at = self._timers.now()
        self._note_success()

    def _poll_changes(self) -> float:
        """Wait for changes and apply them; return the pause before the next call."""
        wait, started = self._poll_seconds(), self._timers.now()
        page = self._store.wait_for_changes(self.table, self.version, wait)
        self._schedule.note_store_time(page.store_time, self._timers.now())
        after = max(self.changed_version, self._read_version)
        self._apply(page.rows, page.version)
        self._note_success()
        self._forward_page(page, after)
        if page.rows:
            return batching_seconds(self._count_nodes())
        ended_early = self._timers.now() - started < min(wait, RETRY_INTERVAL_SECONDS)
        return self._retry_pause() if ended_early else 0.0

    def _retry_pause(self) -> float:
        return RETRY_INTERVAL_SECONDS * poll_interval_factor(self._count_nodes())

    def _forward_page(self, page: RowPage, after: Version) -> None:
        # A copy of a newer era may have come from a peer during the call.
        if page.version.era != after.era:
            return
        if page.rows and self.forward_changes is not None:
            failed = self.failed_seconds()
            rows = page.rows
            self.forward_changes(
                TableChanges(self.table, after, page.version, rows, failed)
            )

    def _poll_seconds(self) -> float:
        """Return the seconds for which the next call waits for changes.

        A store that does not answer may have dropped the call. A long poll would then
        still wait when the store is back, and miss the changes made meanwhile.
        """
        if self.failing_since is not None:
            return 0.0
        return self._schedule.seconds_to_renewal(self._timers.now())

    def _note_failure(self, exc: StepError) -> None:
        store_reads_total.labels(self.table, "failed").inc()
        now = self._timers.now()
        self.last_failure = now
        if self.failing_since is None:
            self.failing_since = now
            log.warning(
                "lost",
                extra={"table": self.table, "error": str(exc), "dependency": "store"},
            )

    def _note_success(self) -> None:
        store_reads_total.labels(self.table, "answered").inc()
        if self.failing_since is not None:
            failing_seconds = self._timers.now() - self.failing_since
            log.info(
                "regained",
                extra={"table": self.table, "seconds": round(failing_seconds, 3)},
            )
            self.failing_since = None

    def _replace(self, rows: dict[str, StoredRow], version: Version) -> None:
        removed = self.rows.keys() - rows.keys()
        changed = {key for key, row in rows.items() if self.rows.get(key) != row}
        if version.era > self.version.era:
            log.log(
                logging.WARNING if self.loaded.is_set() else logging.INFO,
                "table read in a new era",
                extra={
                    "table": self.table,
                    "version": version,
                    "former": self.version,
                    "rows": len(rows),
                    "values_changed": sum(self._is_new_value(rows[k]) for k in changed),
                    "removed": sorted(removed)[:MAX_LOGGED_KEYS],
                },
            )
        changed |= removed
        self.rows, self.version = rows, version
        # The beginning of an era is a change too: of a table without rows, only its
        # version shows that the rows of the era before are gone.
        newest = max((row.version for row in rows.values()), default=NO_VERSION)
        self.changed_version = max(
            self.changed_version, newest, Version(version.era, 0)
        )
        self.loaded.set()
        self._listener(self.rows, changed)

    def _is_new_value(self, row: StoredRow) -> bool:
        known = self.rows.get(row.key)
        return known is None or known.value != row.value

    def _apply(self, rows: tuple[StoredRow, ...], version: Version) -> None:
        # An older change could restore a row that has been removed since.
        known = self.version
        changed = set()
        for row in rows:
            if row.version <= known:
                continue
            if row.value is None:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row
            changed.add(row.key)
            self.changed_version = max(self.changed_version, row.version)
        self.version = max(self.version, version)
        if changed:
            self._listener(self.rows, changed)


def _is_consistent(newest: Version, versions: tuple[Version, ...]) -> bool:
    """Return whether versions are of one era and not newer than ``newest``."""
    return all(v.era == newest.era and v <= newest for v in versions)
