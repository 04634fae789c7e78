"""Reports of usage to the platform's cloud, with the same counts at every attempt."""

from msgpack import packb, unpackb

from rattanwick.internal.base.errors import Conflict, MaybeApplied, StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.interfaces import (
    NO_VERSION,
    Cloud,
    RowStore,
    StoredRow,
    Version,
)
from rattanwick.internal.gateway.leader_row import LEADERSHIP_TABLE
from rattanwick.internal.gateway.leadership import Leadership
from rattanwick.internal.gateway.node_state import NodeState
from rattanwick.internal.gateway.shapes import Amount, matches

log = get_logger("duties")

USAGE_KEY = "usage"
# Time from the end of a window to its first report. By then the slowest nodes have sent
# their counts, and there is time for several attempts before a report is late.
REPORT_DELAY_SECONDS = 2.0
MAX_RECORDED_WINDOWS = 8
ROW_SHAPE = {int: {str: Amount(int)}}  # as UsageReports._recorded


class UsageReports:
    """Reporter of each window's usage while this node is the leader."""

    def __init__(
        self, state: NodeState, store: RowStore, cloud: Cloud, leadership: Leadership
    ):
        self._state = state
        self._store = store
        self._cloud = cloud
        self._leadership = leadership
        # Counts in the row of the store, by window and organisation.
        self._recorded: dict[int, dict[str, int]] = {}
        self._version: Version | None = None  # of the row; None while unknown
        self._reported: set[int] = set()  # windows reported by this node

    def step(self) -> None:
        """Report the windows that are due, if this node is the leader."""
        if not self._leadership.is_leader:
            self._version = None
            return
        for window in self._due_windows():
            if not self._report_window(window):
                return

    def _due_windows(self) -> list[int]:
        usage, wall = self._state.usage, self._state.timers.wall_time()
        newest = usage.window_of(wall - REPORT_DELAY_SECONDS) - 1
        max_delay = self._state.settings.bounds.usage_late
        oldest = usage.window_of(wall - max_delay)
        return [w for w in range(oldest, newest + 1) if w not in self._reported]

    def _report_window(self, window: int) -> bool:
        """Record and report a window; return whether this succeeded."""
        counts = self._record_counts(window)
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
        self._reported.add(window)
        self._reported = {
            w for w in self._reported if w > window - 4 * MAX_RECORDED_WINDOWS
        }
        log.info(
            "usage reported", extra={"window": window, "counts": counts, "fence": fence}
        )
        return True

    def _record_counts(self, window: int) -> dict[str, int] | None:
        """Return a window's stored counts; if there are none, store the counted ones.

        Every attempt and every leader then reports the same counts. Returns None if the
        store did not confirm the counts.
        """
        if self._version is None and not self._read_row():
            return None
        if window in self._recorded:
            return self._recorded[window]
        recorded = {**self._recorded, window: self._state.usage.total(window)}
        for old in sorted(recorded)[:-MAX_RECORDED_WINDOWS]:
            del recorded[old]
        try:
            self._version = self._store.write(
                LEADERSHIP_TABLE, USAGE_KEY, packb(recorded), self._version
            )
        except (Conflict, MaybeApplied) as exc:
            self._version = None
            log.info("usage not recorded", extra={"window": window, "error": str(exc)})
            return None
        except StepError as exc:
            log.info("usage not recorded", extra={"window": window, "error": str(exc)})
            return None
        # Later windows would displace those that are reported now.
        newest = self._state.usage.window_of(self._state.timers.wall_time())
        self._recorded = {w: c for w, c in recorded.items() if w <= newest}
        return recorded[window]

    def _read_row(self) -> bool:
        try:
            rows = self._store.read(LEADERSHIP_TABLE).rows
        except StepError as exc:
            log.info("recorded usage not read", extra={"error": str(exc)})
            return False
        self._recorded, self._version = {}, NO_VERSION
        for row in rows:
            if row.key == USAGE_KEY:
                self._decode_row(row)
        return True

    def _decode_row(self, row: StoredRow) -> None:
        self._version = row.version
        try:
            recorded = unpackb(row.value, strict_map_key=False)
        except Exception as exc:
            log.error(
                "malformed usage row ignored",
                extra={"error": f"{type(exc).__name__} {exc}"},
            )
            return
        if not matches(recorded, ROW_SHAPE):
            log.error("malformed usage row ignored", extra={"error": "wrong shape"})
            return
        # Later windows would displace those that are reported now.
        newest = self._state.usage.window_of(self._state.timers.wall_time())
        self._recorded = {w: c for w, c in recorded.items() if w <= newest}
