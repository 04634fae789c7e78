"""Fault switches and ledger of one fake endpoint."""

import time
from dataclasses import asdict, dataclass, fields

MAX_LEDGER_ENTRIES = 200_000
WINDOW_SECONDS = 60


@dataclass(slots=True)
class Faults:
    """Fault switches; each is off by default."""

    slow_factor: float = 1.0  # multiplies every duration
    slow_until: float = 0.0  # Unix seconds; 0 for no end
    down: bool = False  # listener and all connections are closed
    down_seconds: float = 0.0  # time until ``down`` ends by itself; 0 for never
    lose_answers: int = 0  # calls that run and whose response is lost
    leaving: bool = False  # calls that still arrive are marked in the ledger
    crash_marker: str = ""  # text in a body that crashes the endpoint
    crash_seconds: float = 1.0  # downtime after a crash
    truncate_after: int = 0  # tokens after which a response is truncated; 0 for off
    truncate_times: int = -1  # responses to truncate; -1 for all
    wrong_id_times: int = 0  # responses with the id of another request
    stall_seconds: float = 0.0  # delay before the response starts
    stall_times: int = 0  # calls to delay
    busy_times: int = 0  # calls refused with 503 and not run
    load_lag_seconds: float = 0.0  # age of the load report
    event_lag_seconds: float = 0.0  # delay of cache events
    event_gap_every: int = 0  # every N-th cache event is missing; 0 for none
    ignore_fencing: bool = False  # orders with an old fencing number are accepted

    def update(self, changes: dict) -> None:
        """Set switches by name; raise ValueError for an unknown name."""
        known = {item.name: type(getattr(self, item.name)) for item in fields(self)}
        for name, value in changes.items():
            if name not in known:
                raise ValueError(f"{name}: no such fault; known: {sorted(known)}")
            setattr(self, name, known[name](value))

    def slowdown_factor(self) -> float:
        """Return the factor by which durations are multiplied now."""
        if self.slow_until and time.time() > self.slow_until:
            return 1.0
        return self.slow_factor

    def consume(self, name: str) -> bool:
        """Decrement a fault's counter; return whether the fault applies.

        A fault with the counter -1 always applies, and one with 0 never does.
        """
        left = getattr(self, name)
        if left < 0:
            return True
        if left == 0:
            return False
        setattr(self, name, left - 1)
        return True

    def to_dict(self) -> dict:
        """Return all switches by name."""
        return asdict(self)


@dataclass(slots=True)
class LedgerEntry:
    """Record of one call that reached the endpoint."""

    number: int
    request_id: str
    organisation: str
    path: str
    key: str  # Idempotency-Key
    priority: int
    started: float  # time of arrival, Unix seconds
    window: int  # minute of arrival, since the epoch
    leaving: bool  # whether the endpoint was leaving on arrival
    ran_at: float | None = None  # time at which it got a slot, Unix seconds
    ended: float | None = None  # Unix seconds
    ran: bool = False
    outcome: str = "queued"
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    resumed_tokens: int = 0  # tokens of a partial answer that the caller sent to resume
    body_digest: str = ""  # SHA-256 of a service call's body, hexadecimal


class Ledger:
    """Calls that reached an endpoint, in order of arrival.

    Above MAX_LEDGER_ENTRIES the older half is dropped; ``dropped`` counts these.
    """

    def __init__(self):
        self.entries: list[LedgerEntry] = []
        self.dropped = 0

    def open(self, environ: dict, path: str, leaving: bool) -> LedgerEntry:
        """Record the arrival of a call and return its entry."""
        now = time.time()
        entry = LedgerEntry(
            number=self.dropped + len(self.entries) + 1,
            request_id=environ.get("HTTP_X_REQUEST_ID", ""),
            organisation=environ.get("HTTP_RATTANWICK_ORGANISATION", ""),
            path=path,
            key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            priority=0,
            started=now,
            window=int(now // WINDOW_SECONDS),
            leaving=leaving,
        )
        self.entries.append(entry)
        if len(self.entries) > MAX_LEDGER_ENTRIES:
            half = MAX_LEDGER_ENTRIES // 2
            self.dropped += half
            del self.entries[:half]
        return entry

    def after(self, number: int) -> list[dict]:
        """Return the entries with a higher number, as JSON objects."""
        start = max(number - self.dropped, 0)
        return [asdict(entry) for entry in self.entries[start:]]

    def clear(self) -> None:
        """Delete all entries and number the next one 1."""
        self.entries.clear()
        self.dropped = 0
