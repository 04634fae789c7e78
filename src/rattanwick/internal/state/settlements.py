"""Final states of claims, kept in memory until the table has them."""

from rattanwick.internal.base.errors import Conflict, StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter, gauge
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.platform.interfaces import (
    ObjectStore,
    Precondition,
    Row,
    Table,
)
from rattanwick.internal.state.claim_types import (
    MAX_INLINE_BYTES,
    ClaimState,
    Settlement,
    answer_to_map,
)

log = get_logger("claims")

RETRY_SECONDS = 1.0
# Each failure can take seconds in an outage; the rest waits for the next round.
MAX_ROUND_FAILURES = 4

SETTLED = counter("claims_settled", "Claims settled by state", ("state",))
SETTLE_FAILURES = counter("claim_settle_failures", "Failed tries to settle a claim")
PENDING = gauge("claim_settlements_pending", "Settlements that the table lacks")


class Settlements:
    """Write settlements and repeat those that failed."""

    def __init__(self, table: Table, objects: ObjectStore, timers: TimerService):
        self._table = table
        self._objects = objects
        self._timers = timers
        self._pending: dict[str, Settlement] = {}
        self._retry_due = False

    def add(self, settlement: Settlement, wait: bool = True) -> None:
        """Keep a settlement until it is written; try once before returning."""
        self._pending.setdefault(settlement.claim_id, settlement)
        PENDING.set(len(self._pending))
        self._schedule_retry()
        if wait:
            self._try(settlement)
        else:
            self._timers.after(0.0, lambda: self._try(settlement))

    def pending(self) -> list[dict]:
        """Return the settlements that are not written, as messages."""
        return [settlement.to_message() for settlement in self._pending.values()]

    def _schedule_retry(self) -> None:
        if not self._retry_due:
            self._retry_due = True
            self._timers.after(RETRY_SECONDS, self._retry)

    def _retry(self) -> None:
        try:
            self._try_all()
        finally:
            self._retry_due = False
            if self._pending:
                self._schedule_retry()

    def _try_all(self) -> None:
        failures = 0
        for claim_id, settlement in list(self._pending.items()):
            if self._try(settlement):
                continue
            failures += 1
            # To the end, so that it does not hold up the others.
            if self._pending.pop(claim_id, None) is not None:
                self._pending[claim_id] = settlement
            if failures == MAX_ROUND_FAILURES:
                return

    def _try(self, settlement: Settlement) -> bool:
        """Write a settlement; tell whether the table has it."""
        try:
            self._store_answer(settlement)
            self._write(settlement)
        except StepError as exc:
            SETTLE_FAILURES.inc()
            log.warning("settlement of %s is kept: %s", settlement.claim_id, exc)
            return False
        if self._pending.pop(settlement.claim_id, None) is not None:
            SETTLED.labels(settlement.values["state"]).inc()
        PENDING.set(len(self._pending))
        return True

    def _store_answer(self, settlement: Settlement) -> None:
        answer = settlement.answer
        if answer is None:
            return
        stored = answer_to_map(answer)
        if len(answer.body) > MAX_INLINE_BYTES:
            name = f"answers/{settlement.claim_id}"
            self._objects.put(name, answer.body)
            stored |= {"body": b"", "object": name}
        settlement.values["answer"] = stored
        settlement.answer = None

    def _write(self, settlement: Settlement) -> None:
        while True:
            expected = Precondition(settlement.expected_version)
            try:
                self._table.put(
                    settlement.key, settlement.values, expected, settlement.token
                )
                return
            except Conflict as exc:
                row = exc.current
            if not isinstance(row, Row):
                row = self._table.get(settlement.key)
            if not self._still_open(settlement, row):
                return
            settlement.expected_version = row.row_version

    def _still_open(self, settlement: Settlement, row: Row | None) -> bool:
        """Tell whether the row is the open claim that is to be settled."""
        found = row.values if row else {}
        if found.get("claim_id") != settlement.claim_id:
            if settlement.values["state"] != ClaimState.NOT_RUN:
                log.error("claim %s was replaced before it was settled", settlement.key)
            return False
        if found["state"] == ClaimState.DISPATCHING:
            return True
        if found["state"] != settlement.values["state"]:
            log.error(
                "claim %s is already %s, not %s",
                settlement.key,
                found["state"],
                settlement.values["state"],
            )
        return False
