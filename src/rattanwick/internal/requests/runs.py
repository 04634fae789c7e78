"""Runs of requests at this node, driven by the caller's task or another one."""

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

STEP_TIMEOUT_SECONDS = 1.0  # longest wait within one step
MOVE_CHECK_INTERVAL_SECONDS = 0.1  # between checks whether a request has moved
RECONNECT_GRACE_SECONDS = 15.0  # a request stops if its caller is away for longer
MAX_FINISHED_REQUESTS = 20_000
MAX_FINISHED_CHARS = 64 << 20
FOLLOWER_TIMEOUT_SECONDS = 5.0  # a poll by another node counts this long as a follower
CALLER_LEFT = "caller_left"


@dataclass(slots=True, frozen=True)
class Relocation:
    """Request that a run continues at another endpoint."""

    kv: dict | None  # exported KV cache, None to recompute it


class RunControl:
    """Control that stops or relocates a run, even while one of its steps blocks."""

    __slots__ = ("abort", "endpoint_id", "relocation", "stopped")

    def __init__(self):
        self.stopped = False
        self.abort: Callable[[], None] | None = None  # ends the wait of a blocked step
        self.endpoint_id = ""  # endpoint that sends the stream; empty if none does
        self.relocation: Relocation | None = None

    def relocate(self, relocation: Relocation) -> None:
        """End the current attempt; the run continues at another endpoint."""
        self.relocation = relocation
        if self.abort is not None:
            self.abort()

    def stop(self) -> None:
        """Stop the run after the current step, and end the wait of that step."""
        self.stopped = True
        if self.abort is not None:
            self.abort()


class RequestRun:
    """Run of one request, advanced step by step by one task at a time.

    The task that takes the steps drives the run. This is the caller's own task, which
    saves a task switch for each chunk, until the caller disconnects; then another task
    takes the remaining steps.
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
        self.followers = 0  # callers that get the answer without driving the run
        self.handing_over = False
        self.moved_address = ""  # base URL of the node that has the answer now
        self._steps = steps
        self._on_end = on_end
        self._busy = False
        self._ended = False

    @property
    def ended(self) -> bool:
        """Return whether no further step will be taken."""
        return self._ended

    def advance(self) -> bool:
        """Take one step; return whether to call this method again."""
        if self._ended:
            return self._wait_for_move()
        if self._busy:
            output = self.record.output
            output.wait(output.length, STEP_TIMEOUT_SECONDS)
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
        """Wait for the new serving node of a request that was stopped for handover.

        Return whether to wait further. Meanwhile the drain appends the text of the
        new serving node here, perhaps to its end.
        """
        output = self.record.output
        if not self.handing_over or self.moved_address:
            return False
        if output.outcome is not None:
            return False
        output.wait(output.length, MOVE_CHECK_INTERVAL_SECONDS)
        return True

    def wait_for_driver(self, offset: int) -> None:
        """Wait until the driving task has produced text after ``offset`` characters."""
        if self._ended:
            self._wait_for_move()
        else:
            self.record.output.wait(offset, STEP_TIMEOUT_SECONDS)

    def finish(self) -> None:
        """Take all remaining steps."""
        while self.advance():
            pass

    def stop(self, reason: str = "") -> None:
        """Stop the request; with a reason, its outcome is ``failed``."""
        if reason:
            self.record.output.finish(Failed(reason))
        self.control.stop()
        if not self._busy and not self._ended:
            self._steps.close()
            self._end()

    def move(self, address: str) -> None:
        """Stop the run here and redirect its callers to the node at ``address``."""
        self.handing_over = True
        self.moved_address = address
        self.stop()

    def _end(self) -> None:
        if not self._ended:
            self._ended = True
            self._on_end(self)


class LiveRequests:
    """Runs of this node by request id, and the answers kept after they end."""

    def __init__(self, registry: RequestRegistry, timers: TimerService):
        self.registry = registry
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
        """Register a request and return its run, for the caller to drive."""

        def end(run: RequestRun) -> None:
            # A request in handover stays in flight here until its callers have been
            # redirected; the drain finishes it.
            if not run.handing_over:
                self._runs.pop(record.req.id, None)
                self.registry.finish(record.req.id)
            on_end(run)
            self._keep_finished(run)

        run = RequestRun(record, steps, control, end)
        self.registry.put(record)
        self._runs[record.req.id] = run
        return run

    def _keep_finished(self, run: RequestRun) -> None:
        """Keep the answer, and drop the oldest kept answers above the limits."""
        record = run.record
        if not run.handing_over:
            record.req.body = {}  # it will not be sent again
        size = record.output.length
        if record.answer is not None:
            size += len(record.answer.body)
        self._finished.append((record.req.id, size))
        self._finished_chars += size
        while (
            len(self._finished) > MAX_FINISHED_REQUESTS
            or self._finished_chars > MAX_FINISHED_CHARS
        ):
            request_id, size = self._finished.popleft()
            self._finished_chars -= size
            self.registry.drop(request_id)

    def get(self, request_id: str) -> RequestRun | None:
        """Return the run of a request in flight, or None."""
        return self._runs.get(request_id)

    def detach(self, run: RequestRun) -> None:
        """Drive a run in another task: its caller disconnected but may come back."""
        if not run.ended:
            gevent.spawn(self._drive_detached, run)

    def _drive_detached(self, run: RequestRun) -> None:
        unattended_since = self._timers.now()
        while run.advance():
            now = self._timers.now()
            followed = now - run.record.last_polled_at <= FOLLOWER_TIMEOUT_SECONDS
            if run.followers or followed:
                unattended_since = now
            elif now - unattended_since > RECONNECT_GRACE_SECONDS:
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

        Its callers wait until ``redirect_callers`` is called. The text so far stays
        in the request registry.
        """
        run = self._runs.get(request_id)
        if run is not None and run.record.req.kind is not RequestKind.SERVICE:
            run.handing_over = True
            run.stop()

    def redirect_callers(self, request_id: str, address: str) -> None:
        """Redirect the callers of a request to another node, and stop it here.

        Waiting callers get 303, streaming callers a final ``rattanwick.moved`` event.
        A service call that was sent can only end here, so its caller is not
        redirected.
        """
        run = self._runs.get(request_id)
        if run is not None and run.record.req.kind is RequestKind.SERVICE:
            return
        self._moved[request_id] = address
        self._runs.pop(request_id, None)
        if run is not None:
            run.move(address)

    def moved_address(self, request_id: str) -> str:
        """Return the base URL of the node that took over a request, or empty."""
        return self._moved.get(request_id, "")

    def drop_expired(self) -> None:
        """Drop finished requests and redirects whose retention has expired."""
        self.registry.drop_expired()
        for request_id in list(self._moved):
            if self.registry.get(request_id) is None:
                del self._moved[request_id]
        while self._finished and self.registry.get(self._finished[0][0]) is None:
            self._finished_chars -= self._finished.popleft()[1]
