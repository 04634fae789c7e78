"""Fault switches and ledger of one endpoint."""

import time
from dataclasses import asdict, dataclass, fields

LEDGER_ENTRIES = 200_000
WINDOW_SECONDS = 60


@dataclass(slots=True)
class Faults:
    """Hold the switches; each is off by default."""

    slow_factor: float = 1.0  # multiplies every duration
    slow_until: float = 0.0  # Unix seconds; 0 for no end
    down: bool = False  # no listener, all connections dropped
    down_seconds: float = 0.0  # time until ``down`` ends by itself; 0 for never
    lose_answers: int = 0  # so many calls take effect and lose their answer
    leaving: bool = False  # work that still arrives is marked in the ledger
    crash_marker: str = ""  # text in a body that crashes the endpoint
    crash_seconds: float = 1.0  # time that it stays down after a crash
    truncate_after: int = 0  # tokens after which an answer breaks off; 0 for off
    truncate_times: int = -1  # answers to truncate; -1 for all
    wrong_id_times: int = 0  # answers that carry another request's id
    stall_seconds: float = 0.0  # delay before the answer starts
    stall_times: int = 0  # calls to stall
    busy_times: int = 0  # calls answered with 503 without running
    load_lag_seconds: float = 0.0  # age of the load report
    event_lag_seconds: float = 0.0  # delay of cache events
    event_gap_every: int = 0  # every so many cache events one is missing
    ignore_fencing: bool = False  # orders with an old fencing number are accepted

    def update(self, changes: dict) -> None:
        """Set switches by name; raise ValueError for an unknown one."""
        known = {item.name: type(getattr(self, item.name)) for item in fields(self)}
        for name, value in changes.items():
            if name not in known:
                raise ValueError(f"{name}: no such fault; known: {sorted(known)}")
            setattr(self, name, known[name](value))

    def factor(self) -> float:
        """Return the factor on durations now."""
        if self.slow_until and time.time() > self.slow_until:
            return 1.0
        return self.slow_factor

    def consume(self, name: str) -> bool:
        """Use one of a counted fault; tell whether there was one; -1 has no end."""
        left = getattr(self, name)
        if left < 0:
            return True
        if left == 0:
            return False
        setattr(self, name, left - 1)
        return True

    def to_dict(self) -> dict:
        """Return all switches."""
        return asdict(self)


@dataclass(slots=True)
class LedgerEntry:
    """Record one call that reached the endpoint."""

    number: int
    request_id: str
    organisation: str
    path: str
    key: str  # Idempotency-Key
    priority: int
    started: float  # Unix seconds, arrival
    window: int
    leaving: bool
    ran_at: float | None = None  # Unix seconds, when it got a slot
    ended: float | None = None
    ran: bool = False
    outcome: str = "queued"
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    resumed_tokens: int = 0  # of the answer so far that the caller sent back
    body_digest: str = ""


class Ledger:
    """Record what reached an endpoint, in order of arrival."""

    def __init__(self):
        self.entries: list[LedgerEntry] = []
        self.dropped = 0

    def open(self, environ: dict, path: str, leaving: bool) -> LedgerEntry:
        """Record an arrival."""
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
        if len(self.entries) > LEDGER_ENTRIES:
            half = LEDGER_ENTRIES // 2
            self.dropped += half
            del self.entries[:half]
        return entry

    def after(self, number: int) -> list[dict]:
        """Return the entries after a number."""
        start = max(number - self.dropped, 0)
        return [asdict(entry) for entry in self.entries[start:]]

    def clear(self) -> None:
        """Forget all entries."""
        self.entries.clear()
        self.dropped = 0
