"""Claims of idempotency keys: each call is dispatched at most once.

A claim is a row that is written before the call is sent. Only the node that
wrote it may send the call, and no other node ever takes it over.
"""

import math
from collections.abc import Callable

import gevent

from rattanwick.internal.base.errors import (
    Conflict,
    MaybeApplied,
    StepError,
    Unavailable,
)
from rattanwick.internal.base.ids import new_token
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.base.outcomes import Answered, NotRun, Outcome, Unknown
from rattanwick.internal.base.settings import ClaimSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.request_records import StoredResponse
from rattanwick.internal.platform.interfaces import (
    ObjectStore,
    Precondition,
    Row,
    Table,
)
from rattanwick.internal.state.boot_clock import boot_seconds
from rattanwick.internal.state.claim_types import (
    BodyMismatch,
    Claimed,
    ClaimResult,
    ClaimState,
    InProgress,
    Replayed,
    ServiceCall,
    Settlement,
    answer_from_map,
)
from rattanwick.internal.state.settlements import Settlements

log = get_logger("claims")

DAY_SECONDS = 86_400.0
MIN_CALL_SECONDS = 2.0  # kept for a call before this process is gone
FIRST_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 5.0

CLAIMS = counter("claims", "Claims by result", ("result",))

OUTCOME_STATES = {
    Answered.tag: ClaimState.DONE,
    NotRun.tag: ClaimState.NOT_RUN,
}


class Claims:
    """Claim calls and settle them."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        timers: TimerService,
        cfg: ClaimSettings,
        claimant: str,
        clock: Callable[[], float] = boot_seconds,
    ):
        self._table = table
        self._objects = objects
        self._timers = timers
        self._retention = cfg.retention_days * DAY_SECONDS
        self._unknown_after = cfg.unknown_after_seconds
        self._claimant = claimant  # node id and incarnation
        self._clock = clock
        self._settlements = Settlements(table, objects, timers)
        self._last_dispatch = math.inf  # Unix seconds
        self._waiting: dict[gevent.Greenlet, gevent.Timeout] = {}  # claims

    def set_shutdown_time(self, end: float) -> None:
        """Send no call that may not end before this process is gone.

        ``end`` is in Unix seconds. A claim that still waits for the table then ends
        as not run, and the caller may repeat the key at another node.
        """
        self._last_dispatch = min(self._last_dispatch, end - MIN_CALL_SECONDS)
        left = max(0.0, self._last_dispatch - self._timers.wall_time())
        self._timers.after(left, self._end_waiting)

    def _end_waiting(self) -> None:
        """End claims whose write has not been answered; they may be written late."""
        for task, limit in list(self._waiting.items()):
            gevent.kill(task, limit)

    def claim(self, call: ServiceCall) -> ClaimResult:
        """Claim a call, or tell what became of it.

        Waits for the table until the call's deadline; NotRun after it.
        """
        result = self._claim(call)
        CLAIMS.labels(type(result).__name__).inc()
        return result

    def look_up(self, call: ServiceCall) -> ClaimResult | None:
        """Return what is known of a call's key, None where it may be claimed."""
        row = self._table.get(call.row_key)
        known = None if row is None else self._judge(call, row)
        if isinstance(known, _DoneRow):
            return self._replay(known.values)
        return known

    def may_dispatch(self, claimed: Claimed) -> bool:
        """Tell whether the call may still be sent; check right before sending.

        A task that was paused after its claim learns here that the deadline
        passed, or that this process is about to go. False means: settle the claim
        as NotRun.
        """
        last = min(claimed.call.deadline, self._last_dispatch)
        on_time = self._timers.wall_time() < last
        return on_time and self._clock() < claimed.expires

    def settle(
        self, claimed: Claimed, outcome: Outcome, answer: StoredResponse | None
    ) -> None:
        """Store what became of a call; kept and retried when the table fails.

        NotRun only when no byte was sent or the service reported that it did
        not run the call. Failed is stored as unknown.
        """
        state = OUTCOME_STATES.get(outcome.tag, ClaimState.UNKNOWN)
        if state is ClaimState.DONE and answer is None:
            raise ValueError("an answered call needs its answer")
        self._settle(claimed, state, answer if state is ClaimState.DONE else None)

    def pending_settlements(self) -> list[dict]:
        """Return settlements that the table does not have yet, as messages."""
        return self._settlements.pending()

    def take_over_settlement(self, message: dict, wait: bool = True) -> None:
        """Take over a settlement of a node that stops; ValueError for a bad one.

        Without ``wait`` it is written later, so that the sender gets its answer.
        """
        self._settlements.add(Settlement.from_message(message), wait)

    def _claim(self, call: ServiceCall) -> ClaimResult:
        left = call.deadline - self._timers.wall_time()
        if left <= 0:
            return NotRun("deadline_passed")
        expires = self._clock() + left
        attempt = _Attempt(f"{self._claimant}/{new_token()}")
        limit = gevent.Timeout.start_new(left)
        self._waiting[gevent.getcurrent()] = limit
        try:
            result = self._claim_until(call, attempt, expires)
        except gevent.Timeout as exc:
            if exc is not limit:
                raise
            result = NotRun("claim_not_in_time")
        finally:
            limit.close()
            self._waiting.pop(gevent.getcurrent(), None)
            # Also when this task is killed because its caller went away.
            if attempt.in_doubt:
                self._abandon(call, attempt)
        if isinstance(result, _DoneRow):
            # Read without the limit: a call that ran is never reported as not run.
            return self._replay(result.values)
        if isinstance(result, Claimed) and not self.may_dispatch(result):
            self._settle(result, ClaimState.NOT_RUN, None)
            return NotRun("claim_not_in_time")
        return result

    def _claim_until(
        self, call: ServiceCall, attempt: "_Attempt", expires: float
    ) -> "ClaimResult | _DoneRow":
        delay = FIRST_RETRY_SECONDS
        while True:
            try:
                return self._try_claim(call, attempt, expires)
            except (Unavailable, MaybeApplied) as exc:
                log.warning("claim waits for the table: %s", exc)
            last = min(call.deadline, self._last_dispatch)
            left = min(expires - self._clock(), last - self._timers.wall_time())
            if left <= delay:
                return NotRun("table_unavailable", retry_after=MAX_RETRY_SECONDS)
            self._timers.sleep(delay)
            delay = min(delay * 2, MAX_RETRY_SECONDS)

    def _try_claim(
        self, call: ServiceCall, attempt: "_Attempt", expires: float
    ) -> "ClaimResult | _DoneRow":
        """Write the claim's row; a conflict shows the row that is there.

        After a lost answer the same write is repeated: it either succeeds or
        meets its own row, which the claim id tells.
        """
        if not attempt.values:
            attempt.values = self._row_values(call, attempt.claim_id, 1)
        while True:
            row = self._write(call, attempt)
            if row is None:
                attempt.expected_version = 0
                continue
            if row.values["claim_id"] == attempt.claim_id:
                return Claimed(
                    call, attempt.claim_id, row.row_version, row.values, expires
                )
            found = self._judge(call, row)
            if found is not None:
                return found
            number = row.values["attempt"] + 1
            attempt.values = self._row_values(call, attempt.claim_id, number)
            attempt.expected_version = row.row_version

    def _write(self, call: ServiceCall, attempt: "_Attempt") -> Row | None:
        """Return the row after a write, whoever wrote it; None for no row."""
        was_in_doubt = attempt.in_doubt
        attempt.in_doubt = True
        try:
            row = self._table.put(
                call.row_key,
                attempt.values,
                Precondition(attempt.expected_version),
                f"claim-{attempt.claim_id}-{attempt.expected_version}",
            )
        except Unavailable:
            attempt.in_doubt = was_in_doubt
            raise
        except Conflict as exc:
            row = exc.current
        if not isinstance(row, Row):
            row = self._table.get(call.row_key)
        # Versions only grow, so an earlier write over this version is over too.
        attempt.in_doubt = False
        return row

    def _row_values(self, call: ServiceCall, claim_id: str, number: int) -> dict:
        now = self._timers.wall_time()
        return {
            "state": str(ClaimState.DISPATCHING),
            "attempt": number,
            "claim_id": claim_id,
            "body_digest": call.body_digest,
            "request_id": call.request_id,
            "created": now,
            "deadline": call.deadline,
            "expires_at": int(max(now, call.deadline) + self._retention),
            "answer": None,
        }

    def _judge(self, call: ServiceCall, row: Row) -> "ClaimResult | _DoneRow | None":
        """Return what a row means for the call, or None when it may be claimed."""
        values = row.values
        now = self._timers.wall_time()
        if now >= values["expires_at"]:
            return None
        request_id = values["request_id"]
        if values["body_digest"] != call.body_digest:
            return BodyMismatch(request_id)
        state = values["state"]
        if state == ClaimState.NOT_RUN:
            return None
        if state == ClaimState.DONE:
            return _DoneRow(values)
        if state == ClaimState.UNKNOWN:
            return Replayed(Unknown("call_not_confirmed"), None, request_id)
        unknown_at = values["deadline"] + self._unknown_after
        if now >= unknown_at:
            return Replayed(Unknown("claimant_silent"), None, request_id)
        left = max(unknown_at - now, FIRST_RETRY_SECONDS)
        return InProgress(min(left, MAX_RETRY_AFTER_SECONDS), request_id)

    def _replay(self, values: dict) -> ClaimResult:
        """Return the stored answer; InProgress while it cannot be read."""
        answer = answer_from_map(values["answer"])
        request_id = values["request_id"]
        name = values["answer"].get("object")
        if name:
            try:
                body = self._objects.get(name)
            except StepError as exc:
                log.warning("stored answer cannot be read: %s", exc)
                return InProgress(MAX_RETRY_AFTER_SECONDS, request_id)
            if body is None:
                log.error("object %s of a stored answer is missing", name)
                return Replayed(Unknown("answer_missing"), None, request_id)
            answer.body = body
        return Replayed(Answered(), answer, request_id)

    def _settle(
        self, claimed: Claimed, state: ClaimState, answer: StoredResponse | None
    ) -> None:
        settlement = Settlement(
            claimed.call.row_key,
            claimed.claim_id,
            claimed.row_version,
            {**claimed.values, "state": str(state)},
            answer,
        )
        self._settlements.add(settlement)

    def _abandon(self, call: ServiceCall, attempt: "_Attempt") -> None:
        """Make sure that a write whose answer was lost leaves no open claim.

        The write may still arrive. Writing ``not_run`` over the same version
        makes it fail, or replaces it where it already succeeded.
        """
        values = {**attempt.values, "state": str(ClaimState.NOT_RUN)}
        settlement = Settlement(
            call.row_key, attempt.claim_id, attempt.expected_version, values
        )
        self._settlements.add(settlement, wait=False)


class _DoneRow:
    """Hold the values of a row whose answer is still to be read."""

    __slots__ = ("values",)

    def __init__(self, values: dict):
        self.values = values


class _Attempt:
    """Hold the row that a claim writes, and whether it may arrive later."""

    __slots__ = ("claim_id", "expected_version", "in_doubt", "values")

    def __init__(self, claim_id: str):
        self.claim_id = claim_id
        self.expected_version = 0
        self.values: dict = {}
        self.in_doubt = False
