"""Runs: requests that are being carried out, whoever drives them."""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import gevent

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.outcomes import Failed
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.request_records import RequestRecord, RequestRegistry
from rattanwick.internal.model.requests import RequestKind

log = get_logger("requests")

TICK_SECONDS = 1.0  # a step returns at least this often
MOVE_TICK_SECONDS = 0.1  # between looks at whether a request has moved
RECONNECT_GRACE_SECONDS = (
    15.0  # time for a caller to come back before its request stops
)
FINISHED_KEPT = 20_000
MAX_FINISHED_CHARS = 64 << 20
FOLLOWED_SECONDS = 5.0  # a question of another node counts as a follower so long
CALLER_LEFT = "caller_left"


@dataclass(slots=True, frozen=True)
class Relocation:
    """Ask a run to go on at another endpoint."""

    kv: dict | None  # exported KV cache


class RunControl:
    """Let a run be stopped or moved while a step of it blocks."""

    __slots__ = ("abort", "endpoint_id", "relocation", "stopped")

    def __init__(self):
        self.stopped = False
        self.abort: Callable[[], None] | None = None  # wakes the blocked step
        self.endpoint_id = ""  # where the run streams from
        self.relocation: Relocation | None = None

    def relocate(self, relocation: Relocation) -> None:
        """End the attempt that streams; the run goes on at another endpoint."""
        self.relocation = relocation
        if self.abort is not None:
            self.abort()

    def stop(self) -> None:
        """Stop after the current step, and wake it."""
        self.stopped = True
        if self.abort is not None:
            self.abort()


class RequestRun:
    """Advance one request step by step; one task at a time does so.

    The caller's own task drives its request, which saves a task switch for each
    chunk. When the caller leaves, another task takes the same steps further.
    """

    __slots__ = (
        "_busy",
        "_ended",
        "_on_end",
        "_steps",
        "control",
        "followers",
        "handing_over",
        "moved_address",
        "record",
    )

    def __init__(
        self,
        record: RequestRecord,
        steps: Iterator[None],
        control: RunControl,
        on_end: Callable[["RequestRun"], None],
    ):
        self.record = record
        self.control = control
        self.followers = 0
        self.handing_over = False
        self.moved_address = ""  # where callers find the answer now
        self._steps = steps
        self._on_end = on_end
        self._busy = False
        self._ended = False

    @property
    def ended(self) -> bool:
        """Tell whether no further step will come."""
        return self._ended

    def advance(self) -> bool:
        """Take one step; tell whether there may be more."""
        if self._ended:
            return self._wait_for_move()
        if self._busy:
            output = self.record.output
            output.wait(output.length, TICK_SECONDS)
            return not self._ended
        self._busy = True
        try:
            next(self._steps)
        except StopIteration:
            self._end()
        except Exception:
            log.exception("request failed", extra={"request": self.record.req.id})
            self.record.output.finish(Failed("internal"))
            self._end()
        finally:
            self._busy = False
        if self.control.stopped and not self._ended:
            self._steps.close()
            self._end()
        return not self._ended or self.handing_over

    def _wait_for_move(self) -> bool:
        """Wait for the new holder of a request that ended here; tell whether to go on.

        Meanwhile the drain relays the new holder's text, perhaps to its end.
        """
        output = self.record.output
        if not self.handing_over or self.moved_address:
            return False
        if output.outcome is not None:
            return False
        output.wait(output.length, MOVE_TICK_SECONDS)
        return True

    def wait_for_driver(self, seen: int) -> None:
        """Wait until the task that drives the run gets beyond ``seen`` characters."""
        if self._ended:
            self._wait_for_move()
        else:
            self.record.output.wait(seen, TICK_SECONDS)

    def finish(self) -> None:
        """Take all steps."""
        while self.advance():
            pass

    def stop(self, reason: str = "") -> None:
        """Stop the request; a reason makes it ``failed``."""
        if reason:
            self.record.output.finish(Failed(reason))
        self.control.stop()
        if not self._busy and not self._ended:
            self._steps.close()
            self._end()

    def move(self, address: str) -> None:
        """Tell those who wait where the answer continues; stop it here."""
        self.handing_over = True
        self.moved_address = address
        self.stop()

    def _end(self) -> None:
        if not self._ended:
            self._ended = True
            self._on_end(self)


class LiveRequests:
    """Hold the runs of this node."""

    def __init__(self, table: RequestRegistry, timers: TimerService):
        self.table = table
        self._timers = timers
        self._runs: dict[str, RequestRun] = {}
        self._moved: dict[str, str] = {}  # request id -> address
        self._finished: deque[tuple[str, int]] = deque()  # request id, characters
        self._finished_chars = 0

    def __len__(self) -> int:
        return len(self._runs)

    def start(
        self,
        record: RequestRecord,
        steps: Iterator[None],
        control: RunControl,
        on_end: Callable[[RequestRun], None],
    ) -> RequestRun:
        """Register a request; the caller of this method drives the run."""

        def end(run: RequestRun) -> None:
            # A request that is handed over stays in flight here until its callers
            # have been told where it went; the drain finishes it.
            if not run.handing_over:
                self._runs.pop(record.req.id, None)
                self.table.finish(record.req.id)
            on_end(run)
            self._keep_finished(run)

        run = RequestRun(record, steps, control, end)
        self.table.put(record)
        self._runs[record.req.id] = run
        return run

    def _keep_finished(self, run: RequestRun) -> None:
        """Keep the answer for a while, the oldest ones no longer than there is room."""
        record = run.record
        if not run.handing_over:
            record.req.body = {}  # it will not be sent again
        size = record.output.length
        if record.answer is not None:
            size += len(record.answer.body)
        self._finished.append((record.req.id, size))
        self._finished_chars += size
        while (
            len(self._finished) > FINISHED_KEPT
            or self._finished_chars > MAX_FINISHED_CHARS
        ):
            request_id, size = self._finished.popleft()
            self._finished_chars -= size
            self.table.drop(request_id)

    def get(self, request_id: str) -> RequestRun | None:
        """Return the run of a request in flight."""
        return self._runs.get(request_id)

    def detach(self, run: RequestRun) -> None:
        """Drive a run whose caller has left, for as long as it may come back."""
        if not run.ended:
            gevent.spawn(self._drive_detached, run)

    def _drive_detached(self, run: RequestRun) -> None:
        alone_since = self._timers.now()
        while run.advance():
            now = self._timers.now()
            followed = now - run.record.last_polled_at <= FOLLOWED_SECONDS
            if run.followers or followed:
                alone_since = now
            elif now - alone_since > RECONNECT_GRACE_SECONDS:
                run.stop(CALLER_LEFT)

    def at_endpoint(self, endpoint_id: str) -> list[RequestRun]:
        """Return the runs that stream from an endpoint."""
        return [
            run
            for run in self._runs.values()
            if run.control.endpoint_id == endpoint_id and not run.ended
        ]

    def stop_for_handover(self, request_id: str) -> None:
        """Stop a request here without an outcome, before it is handed over.

        Its callers keep waiting for ``redirect_callers``; the text so far stays in
        the request table.
        """
        run = self._runs.get(request_id)
        if run is not None and run.record.req.kind is not RequestKind.SERVICE:
            run.handing_over = True
            run.stop()

    def redirect_callers(self, request_id: str, address: str) -> None:
        """Send the callers of a request to another node, and stop it here.

        Waiting callers get 303, streaming callers a last ``rattanwick.moved`` event.
        A service call that was sent can only end here, so its caller stays.
        """
        run = self._runs.get(request_id)
        if run is not None and run.record.req.kind is RequestKind.SERVICE:
            return
        self._moved[request_id] = address
        self._runs.pop(request_id, None)
        if run is not None:
            run.move(address)

    def moved_address(self, request_id: str) -> str:
        """Return where a request was handed off to, or empty."""
        return self._moved.get(request_id, "")

    def drop_expired(self) -> None:
        """Forget requests that ended long ago."""
        self.table.drop_expired()
        for request_id in list(self._moved):
            if self.table.get(request_id) is None:
                del self._moved[request_id]
        while self._finished and self.table.get(self._finished[0][0]) is None:
            self._finished_chars -= self._finished.popleft()[1]
