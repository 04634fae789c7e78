"""Leases with fencing numbers, kept in the table.

The row of a lease stores no timestamp. A node takes over a lease after it has
seen the same row version for the lease's whole duration, measured on its own
clock. Clocks therefore need not agree; they only have to run at about the same
rate.
"""

from collections.abc import Callable
from dataclasses import dataclass

from rattanwick.internal.base.errors import Conflict, Refused, StepError
from rattanwick.internal.base.ids import new_write_token
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.platform.interfaces import Precondition, Row, Table
from rattanwick.internal.recording.decisions import (
    Decision,
    DecisionKind,
    NullRecorder,
    Recorder,
    decision_function,
)
from rattanwick.internal.state.boot_clock import boot_seconds

log = get_logger("leases")

LEASE_SECONDS = 15.0
# Allows for clocks that run at different rates during a lease.
CLOCK_RATE_MARGIN_SECONDS = 2.0
RENEWALS_PER_LEASE = 3
# A node that waits for a lease reads it every 20 s, which is slightly longer than the
# 17 s after which it may take over. This limits 390 nodes to 20 reads a second.
TICKS_BETWEEN_ACQUIRES = 4

LEASE_EVENTS = counter("lease_events", "Changes of leases", ("name", "event"))

TAKE = "take"
WAIT = "wait"


@dataclass(slots=True, frozen=True)
class Lease:
    """A lease as of its last renewal."""

    name: str
    holder: str
    fencing_number: int
    expires_boot: float  # seconds on the boot clock
    row_version: int


@decision_function(DecisionKind.LEASE)
def decide_lease(inputs: dict) -> tuple[str, str]:
    """Return TAKE or WAIT for a lease, and the reason.

    Inputs: ``holder`` (in the row; empty if there is no row), ``own_holder`` (this
    process), ``released``, ``unchanged_seconds`` (since this process first read the
    row version), ``duration`` and ``margin`` (both in seconds).
    """
    if not inputs["holder"]:
        return TAKE, "absent"
    if inputs["released"]:
        return TAKE, "released"
    if inputs["holder"] == inputs["own_holder"]:
        # No other process uses this holder name, and this one has no valid lease.
        return TAKE, "own_lapsed"
    if inputs["unchanged_seconds"] >= inputs["duration"] + inputs["margin"]:
        return TAKE, "expired"
    return WAIT, "held"


class Leases:
    """The leases of one process: acquires, renews and releases them."""

    def __init__(
        self,
        table: Table,
        holder: str,
        clock: Callable[[], float] = boot_seconds,
        recorder: Recorder | None = None,
        duration: float = LEASE_SECONDS,
    ):
        self._table = table
        self._holder = holder  # node id and incarnation, unique to this process
        self._clock = clock
        self._recorder = recorder or NullRecorder()
        self._duration = duration
        # By lease name: row version, and boot-clock time when it was first read.
        self._observed_versions: dict[str, tuple[int, float]] = {}
        self._held_leases: dict[str, Lease] = {}
        # By lease name: row values, and boot-clock time when they were last read.
        self._last_reads: dict[str, tuple[dict, float]] = {}

    @property
    def duration(self) -> float:
        """Seconds for which a lease is valid after its last renewal."""
        return self._duration

    def acquire(self, name: str) -> Lease | None:
        """Return the lease, or None while another process holds it.

        Raises StepError if the table cannot be read or written.
        """
        held = self._held_leases.get(name)
        if held is not None and self.holds(held):
            return held
        self._held_leases.pop(name, None)
        row = self._table.get(self._row_key(name))
        inputs = self._decision_inputs(name, row)
        choice, reason = decide_lease(inputs)
        decision = Decision(
            DecisionKind.LEASE, {"name": name, **inputs}, choice, reason
        )
        if choice == WAIT:
            return None
        self._recorder.record(decision)
        fencing_number = row.values["fencing_number"] + 1 if row else 1
        return self._write_new_lease(
            name, fencing_number, row.row_version if row else 0
        )

    def renew(self, lease: Lease) -> Lease:
        """Return the lease with a later expiry.

        Raises Refused if the lease has expired or another process holds it, and
        other StepErrors if the table did not confirm the renewal.
        """
        self.require_valid(lease)
        expires = self._clock() + self._duration
        version = lease.row_version
        while True:
            try:
                row = self._put_row(lease.name, lease.fencing_number, version)
                break
            except Conflict as exc:
                version = self._own_row_version(lease, exc)
        renewed = Lease(
            lease.name, self._holder, lease.fencing_number, expires, row.row_version
        )
        self._held_leases[lease.name] = renewed
        return renewed

    def release(self, lease: Lease) -> None:
        """Release the lease so that another process can acquire it at once.

        Raises StepError if the table did not confirm the release.
        """
        self._held_leases.pop(lease.name, None)
        if not self.holds(lease):
            return
        try:
            self._put_row(
                lease.name, lease.fencing_number, lease.row_version, released=True
            )
        except Conflict as exc:
            log.info("lease %s was no longer held at its release: %s", lease.name, exc)
            return
        LEASE_EVENTS.labels(lease.name, "released").inc()
        log.info("released lease %s", lease.name)

    def holds(self, lease: Lease) -> bool:
        """Return whether the lease is valid now; check again before each use."""
        return self._clock() < lease.expires_boot

    def require_valid(self, lease: Lease) -> None:
        """Raise Refused if the lease has expired."""
        if not self.holds(lease):
            raise Refused("use lease", lease.name, "the lease has expired")

    def status(self) -> dict[str, dict]:
        """Return the state of each lease by name, for operators."""
        now = self._clock()
        result = {}
        for name, (values, read_at) in self._last_reads.items():
            lease = self._held_leases.get(name)
            held = lease is not None and self.holds(lease)
            fencing_number = values.get("fencing_number", 0)
            holder = "" if values.get("released") else values.get("holder", "")
            result[name] = {
                "held_here": held,
                "holder": self._holder if held else holder,
                "fencing_number": lease.fencing_number if held else fencing_number,
                "ends_in_seconds": (
                    round(lease.expires_boot - now, 1) if held else None
                ),
                "read_seconds_ago": None if held else round(now - read_at, 1),
            }
        return result

    def _row_key(self, name: str) -> str:
        return f"lease#{name}"

    def _decision_inputs(self, name: str, row: Row | None) -> dict:
        # This node reads its clock after the table responds; the holder reads its clock
        # before it writes. So the lease ends for the holder first.
        now = self._clock()
        values = row.values if row else {}
        self._last_reads[name] = (values, now)
        version, first_seen = self._observed_versions.get(name, (0, now))
        if row is not None and row.row_version != version:
            first_seen = now
            self._observed_versions[name] = (row.row_version, now)
        return {
            "holder": values.get("holder", ""),
            "own_holder": self._holder,
            "released": values.get("released", False),
            "unchanged_seconds": now - first_seen,
            "duration": values.get("duration", self._duration),
            "margin": CLOCK_RATE_MARGIN_SECONDS,
        }

    def _write_new_lease(
        self, name: str, fencing_number: int, version: int
    ) -> Lease | None:
        # The clock is read before the write is sent. Other processes count from a
        # later time, so the lease ends here before they may take it over.
        expires = self._clock() + self._duration
        try:
            row = self._put_row(name, fencing_number, version)
        except Conflict:
            return None
        lease = Lease(name, self._holder, fencing_number, expires, row.row_version)
        if not self.holds(lease):
            return None
        self._held_leases[name] = lease
        LEASE_EVENTS.labels(name, "acquired").inc()
        log.info("acquired lease %s with fencing number %d", name, fencing_number)
        return lease

    def _put_row(
        self, name: str, fencing_number: int, version: int, released: bool = False
    ) -> Row:
        values = {
            "holder": self._holder,
            "fencing_number": fencing_number,
            "duration": self._duration,
            "released": released,
        }
        expected = Precondition(version)
        return self._table.put(self._row_key(name), values, expected, new_write_token())

    def _own_row_version(self, lease: Lease, conflict: Conflict) -> int:
        """Return the row version if this process still holds the lease.

        Raises Refused if another process holds it.
        """
        row = conflict.current
        if not isinstance(row, Row):
            row = self._table.get(self._row_key(lease.name))
        stored = row.values if row else {}
        still_held = (
            stored.get("holder") == self._holder
            and stored.get("fencing_number") == lease.fencing_number
            and not stored.get("released")
        )
        if not still_held:
            self._held_leases.pop(lease.name, None)
            LEASE_EVENTS.labels(lease.name, "lost").inc()
            raise Refused("renew lease", lease.name, "another process holds it")
        # An earlier renewal was written although its response was lost.
        return row.row_version


class LeaseKeeper:
    """Background task that acquires one lease when it is free and keeps it renewed."""

    def __init__(self, leases: Leases, name: str, timers: TimerService):
        self._leases = leases
        self._name = name
        self._lease: Lease | None = None
        self._busy = False
        self._stopped = False
        self._ticks_to_wait = 0
        period = leases.duration / RENEWALS_PER_LEASE
        self._subscription = timers.subscribe(f"lease {name}", period, self.tick)

    def current(self) -> Lease | None:
        """Return the lease, or None if this process holds no valid one."""
        lease = self._lease
        return lease if lease is not None and self._leases.holds(lease) else None

    def tick(self) -> None:
        """Renew the lease, or try to acquire it; errors are logged."""
        if self._busy or self._stopped:
            return
        self._busy = True
        try:
            self._renew_or_acquire()
        except Refused as exc:
            self._lease = None
            log.warning("lost lease %s: %s", self._name, exc)
        except StepError as exc:
            # A lease that is held stays valid until it expires.
            log.warning("could not renew or acquire lease %s: %s", self._name, exc)
        finally:
            self._busy = False
        if self._stopped:
            self._release()

    def _renew_or_acquire(self) -> None:
        lease = self.current()
        if lease is not None:
            self._lease = self._leases.renew(lease)
            return
        if self._ticks_to_wait > 0:
            self._ticks_to_wait -= 1
            return
        self._lease = self._leases.acquire(self._name)
        if self._lease is None:
            self._ticks_to_wait = TICKS_BETWEEN_ACQUIRES - 1

    def stop(self) -> None:
        """Stop renewing and release the lease."""
        self._stopped = True
        self._subscription.cancel()
        if not self._busy:
            self._release()

    def _release(self) -> None:
        lease, self._lease = self.current(), None
        if lease is None:
            return
        try:
            self._leases.release(lease)
        except StepError as exc:
            log.warning(
                "could not release lease %s; it will expire: %s", self._name, exc
            )
