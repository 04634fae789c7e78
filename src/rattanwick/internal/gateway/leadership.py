"""Election of the leader, the only node that calls the platform's cloud.

A row of the store names the leader and its fence: a fencing token that grows with each
leader. The leader confirms the row by a conditional write before it acts, so that no
renewals are written while there is nothing to do. Other nodes learn from the states
that the leader sends whether it is alive. If it is silent, one of them replaces it by a
conditional write.

Each era of the store has a row of its own, which is missing when the era begins. So a
late write of an earlier era has no effect, and no row that the store was restored with
names a leader. Fences of a later era are higher. The leader reclaims its leadership in
the new era; other nodes wait until its last confirmation has run out.
"""

import time

from msgpack import packb

from rattanwick.internal.base.errors import Conflict, MaybeApplied, StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.interfaces import NO_VERSION, RowStore, Version
from rattanwick.internal.gateway.leader_row import (
    FENCES_PER_ERA,
    LEADER_KEY,
    LEADERSHIP_TABLE,
    Leader,
    find_leader,
    row_key,
)
from rattanwick.internal.gateway.node_state import NodeState

log = get_logger("duties")

# Time for which the leader may act after a confirmation; shorter than the lease.
CONFIRMATION_LIFETIME_SECONDS = 0.8
# A leader that fails to confirm its row for this time steps down for another node.
MAX_UNCONFIRMED_SECONDS = 1.0
STARTUP_DELAY_SECONDS = 0.8  # to receive a leader's state before trying to become one
# A peer's state older than this does not show whether the peer is the leader.
MAX_STATE_AGE_SECONDS = 0.6
RANK_DELAY_SECONDS = 0.6  # between the attempts of nodes, so that few of them collide
# This long after a node first saw an era, no confirmation of an earlier era is valid.
ERA_WAIT_SECONDS = CONFIRMATION_LIFETIME_SECONDS + 0.1
NEVER = float("-inf")


class Leadership:
    """This node's part in the election: acquire, confirm and release leadership."""

    def __init__(self, state: NodeState, store: RowStore, boot: int):
        self._state = state
        self._store = store
        self._boot = boot
        self._started_at = state.timers.now()
        self._own_row: Leader | None = None
        self._confirmed_at = NEVER  # seconds of CLOCK_BOOTTIME
        self._era = 0  # latest one that this node has seen
        self._restored = False  # whether it has seen an earlier one
        # Whether no other node can have led in the last era before this one.
        self._is_latest = False
        # Era from which this node reclaimed its leadership; None if it did not.
        self.reclaimed_from: int | None = None
        self._last_fence = 0
        self._failing_since: float | None = None
        # The times below are in monotonic seconds.
        self._era_seen_at = self._started_at
        self._stepped_down_at = NEVER
        # Version of another leader's row as last read, and when it was first read.
        self._seen_version: Version | None = None
        self._seen_since = 0.0
        self._no_leader_since: float | None = None

    @property
    def is_leader(self) -> bool:
        """Return whether this node believes that it is the leader; see ``confirm``."""
        return self._own_row is not None

    @property
    def era(self) -> int | None:
        """Return the era in which this node is the leader; None if it is not."""
        return self._own_row.era if self._own_row is not None else None

    @property
    def era_settled_at(self) -> float:
        """Return when no confirmation of an earlier era is valid any more.

        The time is in monotonic seconds, and may be in the future.
        """
        return self._era_seen_at + ERA_WAIT_SECONDS

    def step(self) -> None:
        """Try to become the leader if there is none; release leadership on leaving."""
        self._note_era()
        now = self._state.timers.now()
        if self._own_row is not None:
            if self._state.leaving:
                self._release()
            elif self._own_row.era < self._era:
                self._reclaim()
            return
        if self._state.leaving or self._state.configuration is None:
            return
        lease = self._state.settings.bounds.lease
        if (
            now - self._started_at < STARTUP_DELAY_SECONDS
            or now - self._stepped_down_at < lease
        ):
            return
        if self._must_wait(now):
            return
        above = self._era * FENCES_PER_ERA
        if self._state.members.leader(now, lease, above) is not None:
            self._no_leader_since = None
            return
        if self._no_leader_since is None:
            self._no_leader_since = now
        if now - self._no_leader_since >= self._rank(now) * RANK_DELAY_SECONDS:
            self._try_acquire(now, lease)

    def confirm(self) -> int | None:
        """Return the fence if this node is certainly still the leader, else None."""
        self._note_era()
        if self._own_row is None:
            return None
        if self._own_row.era < self._era:
            return self._reclaim()
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
        self._note_era()
        if self._own_row is None:
            return None
        if self._own_row.era < self._era:
            return self._reclaim()
        return self._write_row(self._own_row.fence + 1)

    def step_down(self, reason: str) -> None:
        """Stop acting as the leader without changing the row."""
        if self._own_row is not None:
            log.warning(
                "stepped down", extra={"fence": self._own_row.fence, "reason": reason}
            )
        self._stop_leading()
        self._stepped_down_at = self._state.timers.now()

    def _stop_leading(self) -> None:
        self._own_row = None
        self._state.fence = 0
        self.reclaimed_from = None

    def _note_era(self) -> None:
        """Take note of a new era, in which earlier confirmations are not valid."""
        era = self._store.era
        if era <= self._era:
            return
        former, self._era = self._era, era
        self._era_seen_at = self._state.timers.now()
        self._restored = former > 0
        if not self._restored:
            return
        since = time.clock_gettime(time.CLOCK_BOOTTIME) - self._confirmed_at
        # Another node replaces a leader only if its row is unchanged for the lease.
        self._is_latest = (
            self._own_row is not None and since < self._state.settings.bounds.lease
        )
        self._confirmed_at = NEVER
        log.info(
            "leadership in a new era of the store",
            extra={
                "former_era": former,
                "era": era,
                "fence": self._state.fence,
                "reclaims": self._is_latest,
            },
        )

    def _must_wait(self, now: float) -> bool:
        """Return whether a leader of an earlier era may still act.

        At the first start of a deployment there is none.
        """
        after_start = not self._restored and self._state.settings.first_start
        return not after_start and now < self.era_settled_at

    def _reclaim(self) -> int | None:
        """Go on as the leader in a new era; return the fence, None if not confirmed.

        A leader that another node may have replaced is a candidate like others.
        """
        own_row = self._own_row
        if not self._is_latest:
            log.info("leadership of an earlier era ended", extra={"era": own_row.era})
            self._stop_leading()
            return None
        try:
            page = self._store.read(LEADERSHIP_TABLE)
        except StepError as exc:
            log.info("leader row not read", extra={"error": str(exc)})
            self._note_failure()
            return None
        self._note_era()
        if self._own_row is not own_row or not self._is_latest:
            return None
        era = page.version.era
        if find_leader(page) is not None:
            self.step_down("another node has led since the store was restored")
            return None
        self.reclaimed_from = own_row.era
        fence = self._next_fence(None, era)
        self._own_row = Leader(own_row.node_id, self._boot, fence, NO_VERSION, era)
        if self._write_row(fence) is None:
            return None
        log.info("reclaimed", extra={"era": era, "fence": fence})
        return fence

    def _next_fence(self, known: Leader | None, era: int) -> int:
        """Return the fence of a new leader.

        Fences that peers have reported count too, for a store that does not name its
        eras.
        """
        highest = max((m.fence for m in self._state.members.all()), default=0)
        found = known.fence if known else 0
        return max(found, era * FENCES_PER_ERA, highest, self._last_fence) + 1

    def _rank(self, now: float) -> int:
        own = self._state.settings.node_id
        live = {member.node_id for member in self._state.members.live(now)}
        return sum(node_id < own for node_id in live)

    def _try_acquire(self, now: float, lease: float) -> None:
        try:
            page = self._store.read(LEADERSHIP_TABLE)
        except StepError as exc:
            log.info("leader row not read", extra={"error": str(exc)})
            return
        self._note_era()
        if self._must_wait(now):
            return
        known = find_leader(page)
        own = self._state.settings.node_id
        if known is not None and known.node_id not in ("", own):
            if known.version != self._seen_version:
                self._seen_version, self._seen_since = known.version, now
            if now - self._seen_since < lease and not self._has_stepped_down(
                known, now
            ):
                return
        era = page.version.era
        fence = self._next_fence(known, era)
        version = known.version if known else NO_VERSION
        self._own_row = Leader(own, self._boot, fence, version, era)
        if self._write_row(fence) is None:
            self.step_down("leadership not acquired")
            return
        log.info("acquired", extra={"fence": fence, "era": era})

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

    def _write_row(self, fence: int) -> int | None:
        """Write the row if it is unchanged; return the fence, None if not confirmed."""
        own_row = self._own_row
        started = time.clock_gettime(time.CLOCK_BOOTTIME)
        value = packb([own_row.node_id, own_row.boot, fence])
        try:
            version = self._store.write(
                LEADERSHIP_TABLE,
                row_key(LEADER_KEY, own_row.era),
                value,
                own_row.version,
            )
        except Conflict:
            self._note_era()
            # In a new era, the row of the former one may be missing or older.
            if self._own_row is own_row and self._era <= own_row.era:
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
        self._note_era()
        if self._own_row is not own_row:
            # Leadership was released, or given up, while the store was writing.
            return None
        if own_row.era < max(self._era, version.era):
            return None
        self._own_row = Leader(
            own_row.node_id, own_row.boot, fence, version, own_row.era
        )
        self._confirmed_at = started
        self._last_fence = fence
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
            page = self._store.read(LEADERSHIP_TABLE)
        except StepError as exc:
            log.info("leader row not read", extra={"error": str(exc)})
            return
        self._note_era()
        found, own_row = find_leader(page), self._own_row
        if found is None or own_row is None or found.era != own_row.era:
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
                row_key(LEADER_KEY, own_row.era),
                packb(["", own_row.boot, own_row.fence]),
                own_row.version,
            )
            log.info("released", extra={"fence": own_row.fence})
        except StepError as exc:
            log.info("leadership not released", extra={"error": str(exc)})
        self._stop_leading()
