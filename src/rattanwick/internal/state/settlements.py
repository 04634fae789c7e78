"""Queue of settlements, kept in memory until they are written to the table."""

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

RETRY_INTERVAL_SECONDS = 1.0
# During an outage each failure can take seconds, so the rest wait for the next round.
MAX_FAILURES_PER_ROUND = 4

SETTLED_CLAIMS = counter("claims_settled", "Settled claims by state", ("state",))
SETTLE_FAILURES = counter(
    "claim_settle_failures", "Failed attempts to write a settlement"
)
PENDING_SETTLEMENTS = gauge(
    "claim_settlements_pending", "Settlements not yet written to the table"
)


class Settlements:
    """Writes settlements to the table and retries those that failed."""

    def __init__(self, table: Table, objects: ObjectStore, timers: TimerService):
        self._table = table
        self._objects = objects
        self._timers = timers
        self._pending: dict[str, Settlement] = {}
        self._retry_scheduled = False

    def add(self, settlement: Settlement, wait: bool = True) -> None:
        """Queue a settlement until it is written.

        The first attempt is made before returning, or in the background if ``wait``
        is False.
        """
        self._pending.setdefault(settlement.claim_id, settlement)
        PENDING_SETTLEMENTS.set(len(self._pending))
        self._schedule_retry()
        if wait:
            self._try_settle(settlement)
        else:
            self._timers.after(0.0, lambda: self._try_settle(settlement))

    def pending(self) -> list[dict]:
        """Return the settlements that are not written yet, as messages."""
        return [settlement.to_message() for settlement in self._pending.values()]

    def _schedule_retry(self) -> None:
        if not self._retry_scheduled:
            self._retry_scheduled = True
            self._timers.after(RETRY_INTERVAL_SECONDS, self._retry)

    def _retry(self) -> None:
        try:
            self._try_settle_all()
        finally:
            self._retry_scheduled = False
            if self._pending:
                self._schedule_retry()

    def _try_settle_all(self) -> None:
        failures = 0
        for claim_id, settlement in list(self._pending.items()):
            if self._try_settle(settlement):
                continue
            failures += 1
            # Move it to the end, so that it does not delay the others.
            if self._pending.pop(claim_id, None) is not None:
                self._pending[claim_id] = settlement
            if failures == MAX_FAILURES_PER_ROUND:
                return

    def _try_settle(self, settlement: Settlement) -> bool:
        """Try to write a settlement; return whether it is finished."""
        try:
            self._store_answer(settlement)
            self._write(settlement)
        except StepError as exc:
            SETTLE_FAILURES.inc()
            log.warning(
                "cannot settle claim %s; will retry: %s", settlement.claim_id, exc
            )
            return False
        if self._pending.pop(settlement.claim_id, None) is not None:
            SETTLED_CLAIMS.labels(settlement.values["state"]).inc()
        PENDING_SETTLEMENTS.set(len(self._pending))
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
            if not self._is_open_claim(settlement, row):
                return
            settlement.expected_version = row.row_version

    def _is_open_claim(self, settlement: Settlement, row: Row | None) -> bool:
        """Return whether the row is that of the claim and is not settled yet."""
        found = row.values if row else {}
        if found.get("claim_id") != settlement.claim_id:
            if settlement.values["state"] != ClaimState.NOT_RUN:
                log.error(
                    "row %s was written by another claim before this one was settled",
                    settlement.key,
                )
            return False
        if found["state"] == ClaimState.DISPATCHING:
            return True
        if found["state"] != settlement.values["state"]:
            log.error(
                "claim %s is already settled as %s, not as %s",
                settlement.key,
                found["state"],
                settlement.values["state"],
            )
        return False
