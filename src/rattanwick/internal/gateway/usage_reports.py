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
from rattanwick.internal.gateway.leader_row import LEADERSHIP_TABLE, row_key
from rattanwick.internal.gateway.leadership import Leadership
from rattanwick.internal.gateway.node_state import NodeState
from rattanwick.internal.gateway.shapes import Amount, matches

log = get_logger("duties")

USAGE_KEY = "usage"
# Time from the end of a window to its first report. By then the slowest nodes have sent
# their counts, and there is time for several attempts before a report is late.
REPORT_DELAY_SECONDS = 2.0
MAX_RECORDED_WINDOWS = 8
# Newest withheld window; counts by window and organisation.
ROW_SHAPE = (Amount(int), {int: {str: Amount(int)}})


class UsageReports:
    """Reporter of each window's usage while this node is the leader.

    Counts are recorded in the store before they are reported. Each era of the store has
    a record of its own. A record of an earlier era may be lost, and the counts that
    were reported with it. So a leader that does not know them withholds the windows
    that were due by the time at which no leader of an earlier era could act any more.
    """

    def __init__(
        self, state: NodeState, store: RowStore, cloud: Cloud, leadership: Leadership
    ):
        self._state = state
        self._store = store
        self._cloud = cloud
        self._leadership = leadership
        # Recorded counts, by window and organisation, and the era of their record.
        self._recorded: dict[int, dict[str, int]] = {}
        self._recorded_era = 0
        # Windows up to this one are reported only if their counts are recorded.
        self._withheld = 0
        self._version: Version | None = None  # of the row; None while unknown
        # Era of the row that this node last read as the leader; None if it was not the
        # leader since.
        self._row_era: int | None = None
        self._reported: set[int] = set()  # windows reported or withheld by this node

    def step(self) -> None:
        """Report the windows that are due, if this node is the leader."""
        if not self._leadership.is_leader:
            self._version = self._row_era = None
            return
        for window in self._due_windows():
            if not self._report_window(window):
                return

    def _due_windows(self) -> list[int]:
        usage, wall = self._state.usage, self._state.timers.wall_time()
        newest = self._newest_due(wall)
        max_delay = self._state.settings.bounds.usage_late
        oldest = usage.window_of(wall - max_delay)
        return [w for w in range(oldest, newest + 1) if w not in self._reported]

    def _newest_due(self, wall_time: float) -> int:
        """Return the newest window that is due for its first report at a Unix time."""
        return self._state.usage.window_of(wall_time - REPORT_DELAY_SECONDS) - 1

    def _report_window(self, window: int) -> bool:
        """Record and report a window; return whether to go on with the next one."""
        if not self._load_record():
            return False
        if window not in self._recorded and window <= self._withheld:
            log.info("usage withheld", extra={"window": window, "era": self._row_era})
            self._note_done(window)
            return True
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
        self._note_done(window)
        log.info(
            "usage reported", extra={"window": window, "counts": counts, "fence": fence}
        )
        return True

    def _note_done(self, window: int) -> None:
        self._reported.add(window)
        self._reported = {
            w for w in self._reported if w > window - 4 * MAX_RECORDED_WINDOWS
        }

    def _record_counts(self, window: int) -> dict[str, int] | None:
        """Return a window's stored counts; if there are none, store the counted ones.

        Every attempt and every leader then reports the same counts. Returns None if the
        store did not confirm the counts.
        """
        if window in self._recorded and self._version != NO_VERSION:
            return self._recorded[window]
        recorded = dict(self._recorded)
        recorded.setdefault(window, self._state.usage.total(window))
        for old in sorted(recorded)[:-MAX_RECORDED_WINDOWS]:
            del recorded[old]
        key = row_key(USAGE_KEY, self._row_era)
        value = packb([self._withheld, recorded])
        try:
            version = self._store.write(LEADERSHIP_TABLE, key, value, self._version)
        except (Conflict, MaybeApplied) as exc:
            self._version = None
            log.info("usage not recorded", extra={"window": window, "error": str(exc)})
            return None
        except StepError as exc:
            log.info("usage not recorded", extra={"window": window, "error": str(exc)})
            return None
        if version.era != self._row_era:
            self._version = None
            return None
        self._version = version
        self._recorded, self._recorded_era = recorded, self._row_era
        return recorded.get(window)

    def _load_record(self) -> bool:
        """Return whether the record of the leader's era is known; read it if needed."""
        era = self._leadership.era
        if self._version is not None and self._row_era == era:
            return True
        try:
            page = self._store.read(LEADERSHIP_TABLE)
        except StepError as exc:
            log.info("recorded usage not read", extra={"error": str(exc)})
            return False
        if page.version.era != era or self._leadership.era != era:
            return False  # leadership has ended, or must be reclaimed in a new era
        key = row_key(USAGE_KEY, era)
        row = next((row for row in page.rows if row.key == key), None)
        if row is None:
            self._begin_record(era)
        else:
            self._decode_row(row)
        self._row_era = era
        return True

    def _begin_record(self, era: int) -> None:
        """Carry over to an era without a record what is known of the one before."""
        if self._row_era is not None and self._row_era in (
            era,
            self._leadership.reclaimed_from,
        ):
            # Nobody else has reported usage since this node read the record.
            self._recorded_era = max(self._recorded_era, era - 1)
        else:
            if self._recorded_era < era - 1:
                # In an era between, another leader may have recorded other counts.
                self._recorded = {}
            self._withheld = self._newest_unknown()
        self._version = NO_VERSION
        log.info(
            "record of usage begun",
            extra={
                "era": era,
                "kept": sorted(self._recorded),
                "withheld": self._withheld,
            },
        )

    def _newest_unknown(self) -> int:
        """Return the newest window that a leader of an earlier era may have reported.

        Clocks of nodes may differ by ERA_WAIT_SECONDS, since such a leader recorded the
        window before the store returned.
        """
        timers = self._state.timers
        age = timers.now() - self._leadership.era_settled_at
        return self._newest_due(timers.wall_time() - age)

    def _decode_row(self, row: StoredRow) -> None:
        self._version, self._recorded_era = row.version, row.version.era
        try:
            fields = unpackb(row.value, strict_map_key=False)
            if not matches(fields, ROW_SHAPE):
                raise ValueError("wrong shape")
        except Exception as exc:
            log.error(
                "malformed usage row ignored",
                extra={"error": f"{type(exc).__name__} {exc}"},
            )
            self._recorded = {}
            self._withheld = self._newest_due(self._state.timers.wall_time())
            return
        self._withheld, recorded = fields
        # Later windows would displace those that are reported now.
        newest = self._state.usage.window_of(self._state.timers.wall_time())
        # No later window has ended yet, so none can have been reported.
        self._withheld = min(self._withheld, newest - 1)
        self._recorded = {w: c for w, c in recorded.items() if w <= newest}
