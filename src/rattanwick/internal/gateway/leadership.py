"""Election of the leader, the only node that calls the platform's cloud.

A row of the store names the leader and its fence: a fencing token that grows with each
leader. The leader confirms the row by a conditional write before it acts, so that no
renewals are written while there is nothing to do. Other nodes learn from the states
that the leader sends whether it is alive. If it is silent, one of them replaces it by a
conditional write.
"""

import time
from dataclasses import dataclass

from msgpack import packb, unpackb

from rattanwick.internal.base.errors import Conflict, MaybeApplied, StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.interfaces import (
    NO_VERSION,
    RowStore,
    StoredRow,
    Version,
)
from rattanwick.internal.gateway.node_state import NodeState
from rattanwick.internal.gateway.shapes import MAX_EXACT_INTEGER, Amount, matches

log = get_logger("duties")

LEADERSHIP_TABLE = "duties"
LEADER_KEY = "holder"
ROW_SHAPE = (str, Amount(int), Amount(int))  # node id, start of the process, fence
# Higher fences could not be raised for long: peers send them to each other.
MAX_FENCE = MAX_EXACT_INTEGER // 2
# Time for which the leader may act after a confirmation; shorter than the lease.
CONFIRMATION_LIFETIME_SECONDS = 0.8
# A leader that fails to confirm its row for this time steps down for another node.
MAX_UNCONFIRMED_SECONDS = 1.0
STARTUP_DELAY_SECONDS = 0.8  # to receive a leader's state before trying to become one
# A peer's state older than this does not show whether the peer is the leader.
MAX_STATE_AGE_SECONDS = 0.6
RANK_DELAY_SECONDS = 0.6  # between the attempts of nodes, so that few of them collide


@dataclass(slots=True, frozen=True)
class Leader:
    """The row that names the leader; an empty node id means that there is none."""

    node_id: str
    boot: int  # start of the leader's process, in Unix milliseconds
    fence: int
    version: Version  # of the row


def decode_leader(row: StoredRow) -> Leader:
    """Return the leader that a row names; raise ValueError if the row is malformed."""
    try:
        fields = unpackb(row.value)
    except Exception as exc:
        raise ValueError(f"leader row: {type(exc).__name__} {exc}")
    if not matches(fields, ROW_SHAPE) or fields[2] > MAX_FENCE:
        raise ValueError("leader row: wrong shape")
    return Leader(*fields, row.version)


class Leadership:
    """This node's part in the election: acquire, confirm and release leadership."""

    def __init__(self, state: NodeState, store: RowStore, boot: int):
        self._state = state
        self._store = store
        self._boot = boot
        self._started_at = state.timers.now()
        self._own_row: Leader | None = None
        self._confirmed_at = 0.0  # seconds of CLOCK_BOOTTIME
        self._failing_since: float | None = None
        # The times below are in monotonic seconds.
        self._stepped_down_at = -1e9
        # Version of another leader's row as last read, and when it was first read.
        self._seen_version: Version | None = None
        self._seen_since = 0.0
        self._no_leader_since: float | None = None

    @property
    def is_leader(self) -> bool:
        """Return whether this node believes that it is the leader; see ``confirm``."""
        return self._own_row is not None

    def step(self) -> None:
        """Try to become the leader if there is none; release leadership on leaving."""
        now = self._state.timers.now()
        if self._own_row is not None:
            if self._state.leaving:
                self._release()
            return
        if self._state.leaving or self._state.configuration is None:
            return
        lease = self._state.settings.bounds.lease
        if (
            now - self._started_at < STARTUP_DELAY_SECONDS
            or now - self._stepped_down_at < lease
        ):
            return
        if self._state.members.leader(now, lease) is not None:
            self._no_leader_since = None
            return
        if self._no_leader_since is None:
            self._no_leader_since = now
        if now - self._no_leader_since >= self._rank(now) * RANK_DELAY_SECONDS:
            self._try_acquire(now, lease)

    def confirm(self) -> int | None:
        """Return the fence if this node is certainly still the leader, else None."""
        if self._own_row is None:
            return None
        # CLOCK_MONOTONIC stands still while the machine is suspended.
        if (
            time.clock_gettime(time.CLOCK_BOOTTIME) - self._confirmed_at
            < CONFIRMATION_LIFETIME_SECONDS
        ):
            return self._own_row.fence
        return self._write_row(self._own_row.fence)

    def advance_fence(self) -> int | None:
        """Write and return a higher fence, so that late calls with an older fence fail.

        Returns None if this node is not the leader or the write is not confirmed.
        """
        return self._write_row(self._own_row.fence + 1) if self._own_row else None

    def step_down(self, reason: str) -> None:
        """Stop acting as the leader without changing the row."""
        if self._own_row is not None:
            log.warning(
                "stepped down", extra={"fence": self._own_row.fence, "reason": reason}
            )
        self._own_row = None
        self._state.fence = 0
        self._stepped_down_at = self._state.timers.now()

    def _rank(self, now: float) -> int:
        own = self._state.settings.node_id
        live = {member.node_id for member in self._state.members.live(now)}
        return sum(node_id < own for node_id in live)

    def _try_acquire(self, now: float, lease: float) -> None:
        try:
            rows = self._store.read(LEADERSHIP_TABLE).rows
        except StepError as exc:
            log.info("leader row not read", extra={"error": str(exc)})
            return
        known = self._find_leader(rows)
        own = self._state.settings.node_id
        if known is not None and known.node_id not in ("", own):
            if known.version != self._seen_version:
                self._seen_version, self._seen_since = known.version, now
            if now - self._seen_since < lease and not self._has_stepped_down(
                known, now
            ):
                return
        fence = known.fence + 1 if known else 1
        version = known.version if known else NO_VERSION
        self._own_row = Leader(own, self._boot, fence, version)
        if self._write_row(fence) is None:
            self.step_down("leadership not acquired")
            return
        log.info("acquired", extra={"fence": fence})

    def _has_stepped_down(self, known: Leader, now: float) -> bool:
        """Return whether the leader in the row reports that it is not the leader.

        A state that it sent before it wrote the row must not count.
        """
        if now - self._seen_since <= MAX_STATE_AGE_SECONDS:
            return False
        member = self._state.members.get(known.node_id)
        if member is None or now - member.last_state_at > MAX_STATE_AGE_SECONDS:
            return False
        return member.boot == known.boot and member.fence == 0

    def _find_leader(self, rows: tuple[StoredRow, ...]) -> Leader | None:
        for row in rows:
            if row.key == LEADER_KEY:
                try:
                    return decode_leader(row)
                except ValueError as exc:
                    log.error("malformed leader row ignored", extra={"error": str(exc)})
                    return Leader("", 0, row.version.number, row.version)
        return None

    def _write_row(self, fence: int) -> int | None:
        """Write the row if it is unchanged; return the fence, None if not confirmed."""
        own_row = self._own_row
        started = time.clock_gettime(time.CLOCK_BOOTTIME)
        value = packb([own_row.node_id, own_row.boot, fence])
        try:
            version = self._store.write(
                LEADERSHIP_TABLE, LEADER_KEY, value, own_row.version
            )
        except Conflict:
            if self._own_row is own_row:
                self.step_down("another node is the leader")
            return None
        except MaybeApplied as exc:
            log.info("no answer to write of leader row", extra={"error": str(exc)})
            self._recover_version()
            return None
        except StepError as exc:
            log.info("leader row not written", extra={"error": str(exc)})
            self._note_failure()
            return None
        self._failing_since = None
        if self._own_row is not own_row:
            # Leadership was released, or given up, while the store was writing.
            return None
        self._own_row = Leader(own_row.node_id, own_row.boot, fence, version)
        self._confirmed_at = started
        self._state.fence = fence
        return fence

    def _note_failure(self) -> None:
        now = self._state.timers.now()
        if self._failing_since is None:
            self._failing_since = now
        elif now - self._failing_since >= MAX_UNCONFIRMED_SECONDS:
            self._failing_since = None
            self.step_down("the store does not confirm leadership")

    def _recover_version(self) -> None:
        """Read whether a write without an answer took effect."""
        try:
            found = self._find_leader(self._store.read(LEADERSHIP_TABLE).rows)
        except StepError as exc:
            log.info("leader row not read", extra={"error": str(exc)})
            return
        own_row = self._own_row
        if found is None or own_row is None:
            return
        if (found.node_id, found.boot) == (own_row.node_id, own_row.boot):
            # If the write takes effect only later, its condition fails.
            self._own_row = found
            self._state.fence = found.fence
        elif found.version != own_row.version:
            self.step_down("another node is the leader")

    def _release(self) -> None:
        """Write a row that names no leader, so that another node need not wait."""
        own_row = self._own_row
        try:
            self._store.write(
                LEADERSHIP_TABLE,
                LEADER_KEY,
                packb(["", own_row.boot, own_row.fence]),
                own_row.version,
            )
            log.info("released", extra={"fence": own_row.fence})
        except StepError as exc:
            log.info("leadership not released", extra={"error": str(exc)})
        self._own_row = None
        self._state.fence = 0
