"""Leases with fencing numbers, kept in the table.

The row of a lease holds no time of day. A node takes over a lease after it has
seen the same row version for the whole duration on its own clock, so that
clocks need not agree; they only have to run at about the same rate.
"""

from collections.abc import Callable
from dataclasses import dataclass

from rattanwick.internal.base.errors import Conflict, Refused, StepError
from rattanwick.internal.base.ids import new_token
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
# Covers clocks that run at different rates while a lease lasts.
CLOCK_RATE_MARGIN_SECONDS = 2.0
RENEWALS_IN_LEASE = 3
# Nodes that wait for a lease read it every 20 s, just over the 17 s after which
# it may be taken: 390 nodes then cause 20 reads a second.
WAITING_TICKS = 4

LEASE_EVENTS = counter("lease_events", "Changes of leases", ("name", "event"))

TAKE = "take"
WAIT = "wait"


@dataclass(slots=True, frozen=True)
class Lease:
    """Hold a lease as of its last renewal."""

    name: str
    holder: str
    fencing_number: int
    expires_monotonic: float  # seconds of the clock that counts suspended time
    row_version: int


@decision_function(DecisionKind.LEASE)
def decide_lease(inputs: dict) -> tuple[str, str]:
    """Return TAKE or WAIT and the reason.

    Inputs: ``holder`` (empty for none), ``own_holder``, ``released``,
    ``unchanged_seconds``, ``duration``, ``margin``.
    """
    if not inputs["holder"]:
        return TAKE, "absent"
    if inputs["released"]:
        return TAKE, "released"
    if inputs["holder"] == inputs["own_holder"]:
        # Only this process uses the name, and it holds no valid lease.
        return TAKE, "own_lapsed"
    if inputs["unchanged_seconds"] >= inputs["duration"] + inputs["margin"]:
        return TAKE, "expired"
    return WAIT, "held"


class Leases:
    """Acquire, renew and release leases for one process."""

    def __init__(
        self,
        table: Table,
        holder: str,
        clock: Callable[[], float] = boot_seconds,
        recorder: Recorder | None = None,
        duration: float = LEASE_SECONDS,
    ):
        self._table = table
        self._holder = holder  # node id and incarnation, unique
        self._clock = clock
        self._recorder = recorder or NullRecorder()
        self._duration = duration
        self._seen: dict[str, tuple[int, float]] = {}  # row version, first seen
        self._held: dict[str, Lease] = {}
        self._rows: dict[str, tuple[dict, float]] = {}  # last read, at which time

    @property
    def duration(self) -> float:
        """Return seconds that a lease lasts without renewal."""
        return self._duration

    def acquire(self, name: str) -> Lease | None:
        """Return the lease, or None while another process holds it."""
        held = self._held.get(name)
        if held is not None and self.holds(held):
            return held
        self._held.pop(name, None)
        row = self._table.get(self._key(name))
        inputs = self._inputs(name, row)
        choice, reason = decide_lease(inputs)
        decision = Decision(
            DecisionKind.LEASE, {"name": name, **inputs}, choice, reason
        )
        if choice == WAIT:
            return None
        self._recorder.record(decision)
        fencing_number = row.values["fencing_number"] + 1 if row else 1
        return self._write(name, fencing_number, row.row_version if row else 0)

    def renew(self, lease: Lease) -> Lease:
        """Return the lease with a later end; Refused when it was lost."""
        self.require_valid(lease)
        expires = self._clock() + self._duration
        version = lease.row_version
        while True:
            try:
                row = self._put(lease.name, lease.fencing_number, version)
                break
            except Conflict as exc:
                version = self._renewed_version(lease, exc)
        renewed = Lease(
            lease.name, self._holder, lease.fencing_number, expires, row.row_version
        )
        self._held[lease.name] = renewed
        return renewed

    def release(self, lease: Lease) -> None:
        """Let another process take the lease at once; raise StepError."""
        self._held.pop(lease.name, None)
        if not self.holds(lease):
            return
        try:
            self._put(
                lease.name, lease.fencing_number, lease.row_version, released=True
            )
        except Conflict as exc:
            log.info("lease %s was not held any more: %s", lease.name, exc)
            return
        LEASE_EVENTS.labels(lease.name, "released").inc()
        log.info("released %s", lease.name)

    def holds(self, lease: Lease) -> bool:
        """Tell whether the lease is valid now; read the clock at each use."""
        return self._clock() < lease.expires_monotonic

    def require_valid(self, lease: Lease) -> None:
        """Raise Refused when the lease has expired."""
        if not self.holds(lease):
            raise Refused("use lease", lease.name, "the lease has expired")

    def status(self) -> dict[str, dict]:
        """Return the leases for operators; ages are in seconds."""
        now = self._clock()
        result = {}
        for name, (values, read_at) in self._rows.items():
            lease = self._held.get(name)
            held = lease is not None and self.holds(lease)
            fencing_number = values.get("fencing_number", 0)
            holder = "" if values.get("released") else values.get("holder", "")
            result[name] = {
                "held_here": held,
                "holder": self._holder if held else holder,
                "fencing_number": lease.fencing_number if held else fencing_number,
                "ends_in_seconds": (
                    round(lease.expires_monotonic - now, 1) if held else None
                ),
                "read_seconds_ago": None if held else round(now - read_at, 1),
            }
        return result

    def _key(self, name: str) -> str:
        return f"lease#{name}"

    def _inputs(self, name: str, row: Row | None) -> dict:
        # Taken after the answer: the holder counts from before its write, so its
        # lease ends before the time counted here.
        now = self._clock()
        values = row.values if row else {}
        self._rows[name] = (values, now)
        version, first_seen = self._seen.get(name, (0, now))
        if row is not None and row.row_version != version:
            first_seen = now
            self._seen[name] = (row.row_version, now)
        return {
            "holder": values.get("holder", ""),
            "own_holder": self._holder,
            "released": values.get("released", False),
            "unchanged_seconds": now - first_seen,
            "duration": values.get("duration", self._duration),
            "margin": CLOCK_RATE_MARGIN_SECONDS,
        }

    def _write(self, name: str, fencing_number: int, version: int) -> Lease | None:
        # The lease starts before the write is sent: others count from a later
        # moment, so it ends here before it ends for them.
        expires = self._clock() + self._duration
        try:
            row = self._put(name, fencing_number, version)
        except Conflict:
            return None
        lease = Lease(name, self._holder, fencing_number, expires, row.row_version)
        if not self.holds(lease):
            return None
        self._held[name] = lease
        LEASE_EVENTS.labels(name, "acquired").inc()
        log.info("acquired %s with fencing number %d", name, fencing_number)
        return lease

    def _put(
        self, name: str, fencing_number: int, version: int, released: bool = False
    ) -> Row:
        values = {
            "holder": self._holder,
            "fencing_number": fencing_number,
            "duration": self._duration,
            "released": released,
        }
        expected = Precondition(version)
        return self._table.put(self._key(name), values, expected, new_token())

    def _renewed_version(self, lease: Lease, conflict: Conflict) -> int:
        """Return the version of the own row; raise Refused for another's."""
        row = conflict.current
        if not isinstance(row, Row):
            row = self._table.get(self._key(lease.name))
        found = row.values if row else {}
        same = (
            found.get("holder") == self._holder
            and found.get("fencing_number") == lease.fencing_number
            and not found.get("released")
        )
        if not same:
            self._held.pop(lease.name, None)
            LEASE_EVENTS.labels(lease.name, "lost").inc()
            raise Refused("renew lease", lease.name, "another process holds it")
        # A renewal whose answer was lost did take effect.
        return row.row_version


class LeaseRenewer:
    """Keep one lease: acquire it when it is free and renew it in time."""

    def __init__(self, leases: Leases, name: str, timers: TimerService):
        self._leases = leases
        self._name = name
        self._lease: Lease | None = None
        self._busy = False
        self._stopped = False
        self._ticks_to_wait = 0
        period = leases.duration / RENEWALS_IN_LEASE
        self._subscription = timers.subscribe(f"lease {name}", period, self.tick)

    def current(self) -> Lease | None:
        """Return the lease while it is valid."""
        lease = self._lease
        return lease if lease is not None and self._leases.holds(lease) else None

    def tick(self) -> None:
        """Renew the lease, or try to acquire it."""
        if self._busy or self._stopped:
            return
        self._busy = True
        try:
            self._renew_or_acquire()
        except Refused as exc:
            self._lease = None
            log.warning("lost %s: %s", self._name, exc)
        except StepError as exc:
            # The lease stays in use until it expires.
            log.warning("%s was not renewed: %s", self._name, exc)
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
            self._ticks_to_wait = WAITING_TICKS - 1

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
            log.warning("%s was not released and will expire: %s", self._name, exc)
