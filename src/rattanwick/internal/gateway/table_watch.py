"""Copy of a table of the store, kept up to date by following its changes."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import Event

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.gateway.interfaces import (
    HistoryLost,
    RowPage,
    RowStore,
    StoredRow,
)

log = get_logger("store")

store_reads_total = counter(
    "store_reads", "Calls that read tables of the store", ("table", "result")
)

LONG_POLL_SECONDS = 5.0  # a lost answer is noticed within this time; calls are priced
MOST_FOLLOW_SECONDS = 10.0
# After a change, so that one call brings the changes that come together.
GATHER_SECONDS = 0.1
# Each change ends a waiting call of every node, and calls are priced: above so many
# nodes changes are gathered and waited for longer, so that calls grow more slowly.
NODES_AT_FULL_RATE = 24
MOST_GATHER_SECONDS = 0.4
RETRY_SECONDS = 0.3  # between calls while the store fails; refused calls are priced
TURN_SECONDS = 0.2  # between looks whether this node follows the store

Listener = Callable[[dict[str, StoredRow], set[str]], None]


@dataclass(slots=True, frozen=True)
class TableChanges:
    """Hold rows that changed in a table, one after the other, and none left out."""

    table: str
    after: int  # version of the newest change before them
    version: int  # of the store, as of which they are complete
    rows: tuple[StoredRow, ...]
    failed_seconds: float | None  # since the last failed call that read the table


def batching_seconds(nodes: int) -> float:
    """Return for how long changes are gathered after one of them was read."""
    return min(GATHER_SECONDS * poll_interval_factor(nodes), MOST_GATHER_SECONDS)


def poll_interval_factor(nodes: int) -> float:
    """Return by how much the calls of a node become rarer with the number of nodes."""
    return max(nodes / NODES_AT_FULL_RATE, 1.0)


class TableWatch:
    """Follow one table and tell a listener which rows changed.

    ``count_nodes`` returns the nodes that share the store. While ``is_polling`` is
    false, peers pass changes on; ``forward_changes`` hands those that were read here
    to peers.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        timers: TimerService,
        listener: Listener,
        count_nodes: Callable[[], int] = lambda: 1,
        is_polling: Callable[[], bool] = lambda: True,
    ):
        self.table = table
        self.rows: dict[str, StoredRow] = {}
        self.version = 0  # of the store, as of which ``rows`` is complete
        self.changed_version = 0  # of the newest change to this table that is known
        self.current = Event()  # set once the table was read
        self.failing_since: float | None = None
        self.last_failure: float | None = None  # monotonic seconds
        self.forward_changes: Callable[[TableChanges], None] | None = None
        self.is_polling = is_polling
        self._store = store
        self._timers = timers
        self._listener = listener
        self._count_nodes = count_nodes
        self._complete = False
        self._task: gevent.Greenlet | None = None
        self._call: gevent.Greenlet | None = None

    def start(self) -> None:
        """Follow the table in a task of its own."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop to follow the table."""
        for task in (self._task, self._call):
            if task is not None:
                task.kill(block=False)

    def cancel_poll(self) -> None:
        """Give up a call that waits, since a peer knows a newer version."""
        if self._call is not None and self.failing_since is None:
            self._call.kill(block=False)

    def failed_seconds(self) -> float | None:
        """Return the seconds since the last failed call, here or at a peer."""
        if self.last_failure is None:
            return None
        return self._timers.now() - self.last_failure

    def apply_changes(self, changes: TableChanges) -> bool:
        """Take changes that a peer has read; tell whether none is missing before."""
        if not self._complete or changes.after > self.changed_version:
            return False
        self.note_peer_failure(changes.failed_seconds)
        # This copy is complete up to ``changed_version``: an older row could bring
        # back one that was removed since.
        known = self.changed_version
        newer = tuple(row for row in changes.rows if row.version > known)
        self._apply(newer, changes.version)
        return True

    def note_peer_failure(self, seconds: float | None) -> None:
        """Learn that the store failed at a peer so many seconds ago."""
        if seconds is None:
            return
        failed = self._timers.now() - seconds
        if self.last_failure is None or failed > self.last_failure:
            self.last_failure = failed

    def replace_with_copy(
        self, rows: dict[str, StoredRow], version: int, changed: int
    ) -> bool:
        """Take a peer's copy if it is newer; tell whether it was."""
        if changed <= self.changed_version or version < self.version:
            return False
        self._replace(rows, version)
        self.changed_version = changed
        return True

    def _run(self) -> None:
        while True:
            if self._complete and self.failing_since is None and not self.is_polling():
                self._timers.sleep(TURN_SECONDS)
                continue
            self._call = gevent.spawn(self._step)
            self._call.join()
            # A call that was given up has no value.
            pause = self._call.value if isinstance(self._call.value, float) else 0.0
            if pause:
                self._timers.sleep(pause)

    def _step(self) -> float:
        """Make one call; return the seconds to wait before the next."""
        try:
            if not self._complete:
                page = self._store.read(self.table)
                self._replace({row.key: row for row in page.rows}, page.version)
                self._complete = True
            else:
                page = self._store.wait_for_changes(
                    self.table, self.version, self._wait()
                )
                after = self.changed_version
                self._apply(page.rows, page.version)
                self._note_success()
                self._pass_on(page, after)
                return batching_seconds(self._count_nodes()) if page.rows else 0.0
        except HistoryLost:
            log.warning("history lost, reading again", extra={"table": self.table})
            self._complete = False
            return 0.0
        except StepError as exc:
            self._note_failure(exc)
            return RETRY_SECONDS * poll_interval_factor(self._count_nodes())
        except Exception:
            # An error that nobody foresaw must not end the copy, nor repeat at once.
            log.exception("table not read", extra={"table": self.table})
            return RETRY_SECONDS * poll_interval_factor(self._count_nodes())
        self._note_success()
        return 0.0

    def _pass_on(self, page: RowPage, after: int) -> None:
        if page.rows and self.forward_changes is not None:
            failed = self.failed_seconds()
            rows = page.rows
            self.forward_changes(
                TableChanges(self.table, after, page.version, rows, failed)
            )

    def _wait(self) -> float:
        """Return the seconds for which a call waits for changes.

        A store that is silent may drop calls: one that waits would still wait when
        the store is back, and miss the changes made then.
        """
        if self.failing_since is not None:
            return 0.0
        return min(
            LONG_POLL_SECONDS * poll_interval_factor(self._count_nodes()),
            MOST_FOLLOW_SECONDS,
        )

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
            away = self._timers.now() - self.failing_since
            log.info("regained", extra={"table": self.table, "seconds": round(away, 3)})
            self.failing_since = None

    def _replace(self, rows: dict[str, StoredRow], version: int) -> None:
        if version < self.version:
            log.warning(
                "older copy ignored", extra={"table": self.table, "version": version}
            )
            return
        changed = {key for key, row in rows.items() if self.rows.get(key) != row}
        changed |= self.rows.keys() - rows.keys()
        self.rows, self.version = rows, version
        newest = max((row.version for row in rows.values()), default=0)
        self.changed_version = max(self.changed_version, newest)
        self.current.set()
        self._listener(self.rows, changed)

    def _apply(self, rows: tuple[StoredRow, ...], version: int) -> None:
        changed = set()
        for row in rows:
            known = self.rows.get(row.key)
            if known is not None and known.version > row.version:
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
