"""The one node that makes the calls which one node at a time may make.

The holder is named in a row of the store with a fence that grows with each
holder. It confirms the row before it acts, so no renewals are written while
there is nothing to do. Others judge the holder by what it tells its peers and
take its place by a conditional write.
"""

import time
from dataclasses import dataclass

from msgpack import packb, unpackb

from rattanwick.internal.base.errors import Conflict, MaybeApplied, StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.interfaces import RowStore, StoredRow
from rattanwick.internal.gateway.node_state import NodeState

log = get_logger("duties")

TABLE = "duties"
KEY = "holder"
CONFIRMED_SECONDS = 0.8  # a confirmation allows to act for so long; below the lease
# A holder that the store turns away for so long lets another node act.
UNCONFIRMED_SECONDS = 1.0
START_SECONDS = 0.8  # to hear of a holder before trying to become one
GIVEN_UP_SECONDS = 0.6  # age up to which what a peer tells of itself is believed
RANK_SECONDS = 0.6  # between the tries of nodes, so that few of them collide


@dataclass(slots=True, frozen=True)
class Leader:
    """Hold the row that names the holder."""

    node_id: str
    boot: int
    fence: int
    version: int


def decode_leader(row: StoredRow) -> Leader:
    """Return the holder that a row names; raise ValueError where it names none."""
    try:
        node_id, boot, fence = unpackb(row.value)
        return Leader(str(node_id), int(boot), int(fence), row.version)
    except Exception as exc:
        raise ValueError(f"row of the holder: {type(exc).__name__} {exc}")


class Leadership:
    """Hold, confirm and give up the duties."""

    def __init__(self, state: NodeState, store: RowStore, boot: int):
        self._state = state
        self._store = store
        self._boot = boot
        self._started = state.timers.now()
        self._held: Leader | None = None
        self._confirmed = 0.0  # boot-time seconds
        self._failing_since: float | None = None
        self._dropped_at = -1e9
        self._seen_version = -1
        self._seen_since = 0.0
        self._no_holder_since: float | None = None

    @property
    def is_leader(self) -> bool:
        """Tell whether this node believes that it is the holder."""
        return self._held is not None

    def step(self) -> None:
        """Take the duties where nobody holds them; give them up on leaving."""
        now = self._state.timers.now()
        if self._held is not None:
            if self._state.leaving:
                self._release()
            return
        if self._state.leaving or self._state.configuration is None:
            return
        lease = self._state.settings.bounds.lease
        if now - self._started < START_SECONDS or now - self._dropped_at < lease:
            return
        if self._state.members.leader(now, lease) is not None:
            self._no_holder_since = None
            return
        if self._no_holder_since is None:
            self._no_holder_since = now
        if now - self._no_holder_since >= self._rank(now) * RANK_SECONDS:
            self._try_acquire(now, lease)

    def confirm(self) -> int | None:
        """Return the fence where this node is surely still the holder."""
        if self._held is None:
            return None
        # The steady clock stands still while a machine is suspended.
        if (
            time.clock_gettime(time.CLOCK_BOOTTIME) - self._confirmed
            < CONFIRMED_SECONDS
        ):
            return self._held.fence
        return self._write(self._held.fence)

    def advance_fence(self) -> int | None:
        """Take a higher fence, so that an older call that is late is declined."""
        return self._write(self._held.fence + 1) if self._held else None

    def step_down(self, reason: str) -> None:
        """Stop acting as the holder."""
        if self._held is not None:
            log.warning("given up", extra={"fence": self._held.fence, "reason": reason})
        self._held = None
        self._state.fence = 0
        self._dropped_at = self._state.timers.now()

    def _rank(self, now: float) -> int:
        own = self._state.settings.node_id
        live = {member.node_id for member in self._state.members.live(now)}
        return sum(node_id < own for node_id in live)

    def _try_acquire(self, now: float, lease: float) -> None:
        try:
            rows = self._store.read(TABLE).rows
        except StepError as exc:
            log.info("holder not read", extra={"error": str(exc)})
            return
        known = self._find(rows)
        own = self._state.settings.node_id
        if known is not None and known.node_id not in ("", own):
            if known.version != self._seen_version:
                self._seen_version, self._seen_since = known.version, now
            if now - self._seen_since < lease and not self._gave_up(known, now):
                return
        fence = known.fence + 1 if known else 1
        self._held = Leader(own, self._boot, fence, known.version if known else 0)
        if self._write(fence) is None:
            self.step_down("not acquired")
            return
        log.info("acquired", extra={"fence": fence})

    def _gave_up(self, known: Leader, now: float) -> bool:
        """Tell whether the holder in the row tells its peers that it is none.

        What it told before it wrote the row must not count.
        """
        if now - self._seen_since <= GIVEN_UP_SECONDS:
            return False
        member = self._state.members.get(known.node_id)
        if member is None or now - member.last_state_at > GIVEN_UP_SECONDS:
            return False
        return member.boot == known.boot and member.fence == 0

    def _find(self, rows: tuple[StoredRow, ...]) -> Leader | None:
        for row in rows:
            if row.key == KEY:
                try:
                    return decode_leader(row)
                except ValueError as exc:
                    log.error("row ignored", extra={"error": str(exc)})
                    return Leader("", 0, row.version, row.version)
        return None

    def _write(self, fence: int) -> int | None:
        """Write the row on the condition that it is unchanged."""
        held = self._held
        started = time.clock_gettime(time.CLOCK_BOOTTIME)
        value = packb([held.node_id, held.boot, fence])
        try:
            version = self._store.write(TABLE, KEY, value, held.version)
        except Conflict:
            self.step_down("another node holds the duties")
            return None
        except MaybeApplied as exc:
            log.info("confirmation unknown", extra={"error": str(exc)})
            self._recover_version()
            return None
        except StepError as exc:
            log.info("not confirmed", extra={"error": str(exc)})
            self._note_failure()
            return None
        self._failing_since = None
        self._held = Leader(held.node_id, held.boot, fence, version)
        self._confirmed = started
        self._state.fence = fence
        return fence

    def _note_failure(self) -> None:
        now = self._state.timers.now()
        if self._failing_since is None:
            self._failing_since = now
        elif now - self._failing_since >= UNCONFIRMED_SECONDS:
            self._failing_since = None
            self.step_down("the store does not confirm the duties")

    def _recover_version(self) -> None:
        """Learn whether a write without an answer took effect."""
        try:
            found = self._find(self._store.read(TABLE).rows)
        except StepError as exc:
            log.info("holder not read", extra={"error": str(exc)})
            return
        held = self._held
        if found is None:
            return
        if (found.node_id, found.boot) == (held.node_id, held.boot):
            # The late write may still come; its condition then fails.
            self._held = found
            self._state.fence = found.fence
        elif found.version != held.version:
            self.step_down("another node holds the duties")

    def _release(self) -> None:
        """Name nobody as the holder, so that another node need not wait."""
        held = self._held
        try:
            self._store.write(
                TABLE, KEY, packb(["", held.boot, held.fence]), held.version
            )
            log.info("released", extra={"fence": held.fence})
        except StepError as exc:
            log.info("not released", extra={"error": str(exc)})
        self._held = None
        self._state.fence = 0
