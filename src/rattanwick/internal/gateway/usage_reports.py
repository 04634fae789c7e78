"""Reports of usage: each window once, with the same counts at every try."""

from msgpack import packb, unpackb

from rattanwick.internal.base.errors import Conflict, MaybeApplied, StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.interfaces import Cloud, RowStore, StoredRow
from rattanwick.internal.gateway.leadership import TABLE, Leadership
from rattanwick.internal.gateway.node_state import NodeState

log = get_logger("duties")

KEY = "usage"
# After the end of a window: the slowest nodes have told their counts by then, and
# several tries are left before a report is late.
SETTLE_SECONDS = 2.0
KEPT_WINDOWS = 8


class UsageReports:
    """Report each window's usage while this node holds the duties."""

    def __init__(
        self, state: NodeState, store: RowStore, cloud: Cloud, leadership: Leadership
    ):
        self._state = state
        self._store = store
        self._cloud = cloud
        self._leadership = leadership
        self._recorded: dict[int, dict[str, int]] = {}
        self._version: int | None = None  # of the row; None while unknown
        self._done: set[int] = set()

    def step(self) -> None:
        """Report the windows that are due."""
        if not self._leadership.is_leader:
            self._version = None
            return
        for window in self._due():
            if not self._report(window):
                return

    def _due(self) -> list[int]:
        usage, wall = self._state.usage, self._state.timers.wall_time()
        newest = usage.window_of(wall - SETTLE_SECONDS) - 1
        late = self._state.settings.bounds.usage_late
        oldest = usage.window_of(wall - late)
        return [w for w in range(oldest, newest + 1) if w not in self._done]

    def _report(self, window: int) -> bool:
        """Record and report a window; tell whether to go on with the next."""
        counts = self._record(window)
        fence = self._leadership.confirm() if counts is not None else None
        if fence is None:
            return False
        holder = self._state.settings.node_id
        try:
            self._cloud.report_usage(holder, fence, window, counts)
        except Conflict as exc:
            self._leadership.step_down(str(exc))
            return False
        except StepError as exc:
            log.info("usage not reported", extra={"window": window, "error": str(exc)})
            return False
        self._done.add(window)
        self._done = {w for w in self._done if w > window - 4 * KEPT_WINDOWS}
        log.info(
            "usage reported", extra={"window": window, "counts": counts, "fence": fence}
        )
        return True

    def _record(self, window: int) -> dict[str, int] | None:
        """Return the counts that the store holds for a window, written once."""
        if self._version is None and not self._read():
            return None
        if window in self._recorded:
            return self._recorded[window]
        recorded = {**self._recorded, window: self._state.usage.total(window)}
        for old in sorted(recorded)[:-KEPT_WINDOWS]:
            del recorded[old]
        try:
            self._version = self._store.write(
                TABLE, KEY, packb(recorded), self._version
            )
        except (Conflict, MaybeApplied) as exc:
            self._version = None
            log.info("usage not recorded", extra={"window": window, "error": str(exc)})
            return None
        except StepError as exc:
            log.info("usage not recorded", extra={"window": window, "error": str(exc)})
            return None
        self._recorded = recorded
        return recorded[window]

    def _read(self) -> bool:
        try:
            rows = self._store.read(TABLE).rows
        except StepError as exc:
            log.info("usage not read", extra={"error": str(exc)})
            return False
        self._recorded, self._version = {}, 0
        for row in rows:
            if row.key == KEY:
                self._take(row)
        return True

    def _take(self, row: StoredRow) -> None:
        self._version = row.version
        try:
            self._recorded = unpackb(row.value, strict_map_key=False)
        except ValueError as exc:
            log.error("row of usage ignored", extra={"error": str(exc)})
