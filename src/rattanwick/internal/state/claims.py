"""Claims of idempotency keys, which make sure that a call is sent at most once.

A claim is a row that is written before the call is sent. Only the node that
wrote it may send the call; no other node ever takes the claim over.
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
from rattanwick.internal.base.ids import new_write_token
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
MIN_CALL_SECONDS = 2.0  # shortest time from sending a call to the process's end
INITIAL_RETRY_DELAY_SECONDS = 0.1
MAX_RETRY_DELAY_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 5.0

CLAIMS = counter("claims", "Claims by result", ("result",))

OUTCOME_STATES = {
    Answered.tag: ClaimState.DONE,
    NotRun.tag: ClaimState.NOT_RUN,
}


class Claims:
    """The claims of one process: claims calls and settles them."""

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
        self._dispatch_until = math.inf  # Unix seconds
        # time-outs by task
        self._waiting_claims: dict[gevent.Greenlet, gevent.Timeout] = {}

    def set_shutdown_time(self, end: float) -> None:
        """Set the time at which this process ends, in Unix seconds.

        No call is sent in the last MIN_CALL_SECONDS. Claims that still wait for the
        table at that time end as not run, and the caller may send the key again to
        another node.
        """
        self._dispatch_until = min(self._dispatch_until, end - MIN_CALL_SECONDS)
        seconds_left = max(0.0, self._dispatch_until - self._timers.wall_time())
        self._timers.after(seconds_left, self._cancel_waiting_claims)

    def _cancel_waiting_claims(self) -> None:
        """End claims that wait for the table; their writes may still take effect."""
        for task, timeout in list(self._waiting_claims.items()):
            gevent.kill(task, timeout)

    def claim(self, call: ServiceCall) -> ClaimResult:
        """Claim a call, or return the result of an earlier claim of its key.

        Waits for the table until the call's deadline, and then returns NotRun.
        """
        result = self._claim(call)
        CLAIMS.labels(type(result).__name__).inc()
        return result

    def look_up(self, call: ServiceCall) -> ClaimResult | None:
        """Return the result of an earlier claim of the key, or None.

        None means that the key may be claimed. Raises StepError if the table fails.
        """
        row = self._table.get(call.row_key)
        earlier = None if row is None else self._result_of_row(call, row)
        if isinstance(earlier, _DoneRow):
            return self._replay(earlier.values)
        return earlier

    def may_dispatch(self, claimed: Claimed) -> bool:
        """Return whether the call may still be sent; check right before sending.

        A task may be paused between its claim and this check, until the deadline has
        passed or this process is about to end. If False, settle the claim as NotRun.
        """
        dispatch_until = min(claimed.call.deadline, self._dispatch_until)
        on_time = self._timers.wall_time() < dispatch_until
        return on_time and self._clock() < claimed.expires

    def settle(
        self, claimed: Claimed, outcome: Outcome, answer: StoredResponse | None
    ) -> None:
        """Store the outcome of a call; retry in the background if the table fails.

        The outcome may be NotRun only if no byte was sent, or if the service reported
        that it did not run the call. Failed is stored as unknown.
        """
        state = OUTCOME_STATES.get(outcome.tag, ClaimState.UNKNOWN)
        if state is ClaimState.DONE and answer is None:
            raise ValueError("cannot settle a call as answered without its answer")
        self._settle(claimed, state, answer if state is ClaimState.DONE else None)

    def pending_settlements(self) -> list[dict]:
        """Return the settlements that are not in the table yet, as messages."""
        return self._settlements.pending()

    def take_over_settlement(self, message: dict, wait: bool = True) -> None:
        """Take over a settlement of a node that stops.

        With ``wait`` False it is written in the background, so that the sender gets
        its reply at once. Raises ValueError for an invalid message.
        """
        self._settlements.add(Settlement.from_message(message), wait)

    def _claim(self, call: ServiceCall) -> ClaimResult:
        seconds_left = call.deadline - self._timers.wall_time()
        if seconds_left <= 0:
            return NotRun("deadline_passed")
        expires = self._clock() + seconds_left
        attempt = _ClaimAttempt(f"{self._claimant}/{new_write_token()}")
        timeout = gevent.Timeout.start_new(seconds_left)
        self._waiting_claims[gevent.getcurrent()] = timeout
        try:
            result = self._claim_until(call, attempt, expires)
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            result = NotRun("claim_not_in_time")
        finally:
            timeout.close()
            self._waiting_claims.pop(gevent.getcurrent(), None)
            # This also runs if the task is killed because the caller disconnected.
            if attempt.in_doubt:
                self._settle_unconfirmed_write(call, attempt)
        if isinstance(result, _DoneRow):
            # Read after the time-out is closed, so that a call that ran is not reported
            # as not run.
            return self._replay(result.values)
        if isinstance(result, Claimed) and not self.may_dispatch(result):
            self._settle(result, ClaimState.NOT_RUN, None)
            return NotRun("claim_not_in_time")
        return result

    def _claim_until(
        self, call: ServiceCall, attempt: "_ClaimAttempt", expires: float
    ) -> "ClaimResult | _DoneRow":
        delay = INITIAL_RETRY_DELAY_SECONDS
        while True:
            try:
                return self._try_claim(call, attempt, expires)
            except (Unavailable, MaybeApplied) as exc:
                log.warning("cannot write a claim; will retry: %s", exc)
            dispatch_until = min(call.deadline, self._dispatch_until)
            seconds_left = min(
                expires - self._clock(), dispatch_until - self._timers.wall_time()
            )
            if seconds_left <= delay:
                return NotRun("table_unavailable", retry_after=MAX_RETRY_DELAY_SECONDS)
            self._timers.sleep(delay)
            delay = min(delay * 2, MAX_RETRY_DELAY_SECONDS)

    def _try_claim(
        self, call: ServiceCall, attempt: "_ClaimAttempt", expires: float
    ) -> "ClaimResult | _DoneRow":
        """Write the claim's row; on a conflict, decide by the row in the table.

        After a lost response the same write is repeated. It either succeeds or finds
        the row of the first write, which it recognises by the claim id.
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
            result = self._result_of_row(call, row)
            if result is not None:
                return result
            attempt_number = row.values["attempt"] + 1
            attempt.values = self._row_values(call, attempt.claim_id, attempt_number)
            attempt.expected_version = row.row_version

    def _write(self, call: ServiceCall, attempt: "_ClaimAttempt") -> Row | None:
        """Write the attempt's row; return the row that the table has then, or None.

        The returned row may be that of another claim.
        """
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
        # Row versions only grow, so an earlier write over this version can no longer
        # take effect.
        attempt.in_doubt = False
        return row

    def _row_values(
        self, call: ServiceCall, claim_id: str, attempt_number: int
    ) -> dict:
        now = self._timers.wall_time()
        return {
            "state": str(ClaimState.DISPATCHING),
            "attempt": attempt_number,
            "claim_id": claim_id,
            "body_digest": call.body_digest,
            "request_id": call.request_id,
            "created": now,
            "deadline": call.deadline,
            "expires_at": int(max(now, call.deadline) + self._retention),
            "answer": None,
        }

    def _result_of_row(
        self, call: ServiceCall, row: Row
    ) -> "ClaimResult | _DoneRow | None":
        """Return the result for a call with this row, or None if it may be claimed."""
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
        seconds_left = max(unknown_at - now, INITIAL_RETRY_DELAY_SECONDS)
        return InProgress(min(seconds_left, MAX_RETRY_AFTER_SECONDS), request_id)

    def _replay(self, values: dict) -> ClaimResult:
        """Return the stored answer, or InProgress if it cannot be read at present."""
        answer = answer_from_map(values["answer"])
        request_id = values["request_id"]
        name = values["answer"].get("object")
        if name:
            try:
                body = self._objects.get(name)
            except StepError as exc:
                log.warning("cannot read a stored answer: %s", exc)
                return InProgress(MAX_RETRY_AFTER_SECONDS, request_id)
            if body is None:
                log.error("object %s, the body of a stored answer, is missing", name)
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

    def _settle_unconfirmed_write(
        self, call: ServiceCall, attempt: "_ClaimAttempt"
    ) -> None:
        """Settle a claim whose write was not confirmed, so that it does not stay open.

        The write may still reach the table. Writing ``not_run`` over the same version
        makes it fail, or replaces the row if it has already succeeded.
        """
        values = {**attempt.values, "state": str(ClaimState.NOT_RUN)}
        settlement = Settlement(
            call.row_key, attempt.claim_id, attempt.expected_version, values
        )
        self._settlements.add(settlement, wait=False)


class _DoneRow:
    """The values of a settled row whose answer has not been read yet."""

    __slots__ = ("values",)

    def __init__(self, values: dict):
        self.values = values


class _ClaimAttempt:
    """The row that a claim writes, and whether its write is unconfirmed."""

    __slots__ = ("claim_id", "expected_version", "in_doubt", "values")

    def __init__(self, claim_id: str):
        self.claim_id = claim_id
        self.expected_version = 0
        self.values: dict = {}
        self.in_doubt = False
