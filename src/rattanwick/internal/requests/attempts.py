"""Attempts of model requests, with a hedge if the router allows one."""

from collections.abc import Callable, Iterator

import gevent
from gevent import GreenletExit

from rattanwick.internal.base.errors import (
    ConnectionLost,
    Refused,
    StepError,
    Unavailable,
)
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.request_records import RequestOutput
from rattanwick.internal.model.requests import Placement, ServingRequest, Usage
from rattanwick.internal.requests.connections import EndpointConnectionPool
from rattanwick.internal.requests.endpoint_index import EndpointIndex
from rattanwick.internal.requests.engine_client import EngineStream
from rattanwick.internal.requests.kv_cache import import_kv
from rattanwick.internal.requests.runs import STEP_TIMEOUT_SECONDS, RunControl
from rattanwick.internal.requests.spans import RequestSpans
from rattanwick.internal.routing.interfaces import Router

HEDGE_LOST = "hedge_lost"
STOPPED = "stopped"
DEADLINE = "deadline"


class Task:
    """A blocking call in a task of its own, so that its caller can wait in steps."""

    __slots__ = ("error", "greenlet", "result")

    def __init__(self, call: Callable[..., object], *args):
        self.error: StepError | None = None
        self.result = None
        self.greenlet = gevent.spawn(self._run, call, args)

    def _run(self, call: Callable[..., object], args: tuple) -> None:
        try:
            self.result = call(*args)
        except StepError as exc:
            self.error = exc

    def done(self) -> bool:
        """Return whether the call has ended."""
        return self.greenlet.ready()

    def cancel(self) -> None:
        """Stop the call and wait for its clean-up."""
        self.greenlet.kill(GreenletExit)

    def value(self):
        """Return the result of the call, or raise its error."""
        if self.error is not None:
            raise self.error
        if self.greenlet.exception is not None:
            raise self.greenlet.exception
        return self.result


PROGRESS_INTERVAL_SECONDS = 0.25  # between progress reports of a stream


class Attempt:
    """A placement and the stream of its endpoint."""

    __slots__ = (
        "_placement",
        "_reported_at",
        "_reported_texts",
        "_router",
        "endpoint_id",
        "error",
        "stream",
        "texts",
    )

    def __init__(self, router: Router, placement: Placement):
        self._router = router
        self._placement: Placement | None = placement
        self.endpoint_id = placement.endpoint_id
        self.stream: EngineStream | None = None
        self.texts: list[str] = []  # received before the attempt was chosen
        self.error: StepError | None = None
        self._reported_at = 0.0  # monotonic seconds; 0 before the first token
        self._reported_texts = 0

    @property
    def sent(self) -> bool:
        """Return whether the endpoint may have received the request."""
        return self.stream is not None and self.stream.sent

    @property
    def text_count(self) -> int:
        """Return the number of texts received from the endpoint."""
        return 0 if self.stream is None else self.stream.text_count

    def report_progress(self, now: float) -> None:
        """Report the stream's token times to the router, at limited intervals.

        ``now`` is in monotonic seconds; see ``PROGRESS_INTERVAL_SECONDS``.
        """
        count = self.text_count
        if now - self._reported_at < PROGRESS_INTERVAL_SECONDS or count == 0:
            return
        first, between = None, None
        if self._reported_at == 0.0:
            first = self.stream.usage.first_token_seconds
        elif count > self._reported_texts:
            between = (now - self._reported_at) / (count - self._reported_texts)
        self._reported_at, self._reported_texts = now, count
        if self._placement is not None and (first or between):
            self._router.report_progress(self._placement, first, between)

    def end(self, reason: str) -> Usage:
        """Close the stream, release the placement and return the usage.

        ``reason`` is empty for a complete answer. A second call does not release the
        placement again.
        """
        placement, self._placement = self._placement, None
        usage = Usage(reason=reason)
        if self.stream is not None:
            usage = self.stream.finish_usage(reason)
            self.stream.close()
        if placement is not None:
            self._router.release(placement, usage)
        return usage


class AttemptRunner:
    """Runner that places, opens and races attempts."""

    def __init__(
        self,
        router: Router,
        endpoints: EndpointIndex,
        connections: EndpointConnectionPool,
        timers: TimerService,
        spans: RequestSpans,
    ):
        self._router = router
        self._endpoints = endpoints
        self._connections = connections
        self._timers = timers
        self._now = timers.now
        self._spans = spans

    def place(
        self, req: ServingRequest, excluded: frozenset[str], control: RunControl
    ) -> Iterator[None]:
        """Wait for a placement; return an Attempt, or None if the run was stopped."""
        task = Task(self._place, req, excluded)
        control.abort = task.cancel
        granted = False
        try:
            while not task.done():
                task.greenlet.join(STEP_TIMEOUT_SECONDS)
                if not task.done():
                    yield
                    self._check_deadline(req)
            granted = not control.stopped
        finally:
            control.abort = None
            if not granted:
                task.cancel()
                if task.result is not None:
                    self._router.release(task.result, Usage(reason=STOPPED))
        return Attempt(self._router, task.value()) if granted else None

    def _place(self, req: ServingRequest, excluded: frozenset[str]) -> Placement:
        with self._spans.step(req, "place"):
            return self._router.place(req, excluded)

    def _check_deadline(self, req: ServingRequest) -> None:
        if self._timers.wall_time() > req.deadline:
            raise Refused("place", req.pool, DEADLINE)

    def import_kv(self, attempt: Attempt, kv: dict) -> None:
        """Import the KV cache of a request at the endpoint of its attempt."""
        endpoint = self._endpoints.get(attempt.endpoint_id)
        if endpoint is not None:
            import_kv(endpoint, kv)

    def open(self, attempt: Attempt, req: ServingRequest, text: str, tokens: int):
        """Connect to the endpoint and send the request with the text so far."""
        endpoint = self._endpoints.get(attempt.endpoint_id)
        if endpoint is None:
            reason = "endpoint is no longer listed"
            raise Unavailable("connect", attempt.endpoint_id, reason)
        attempt.stream = EngineStream(
            self._connections, endpoint, req, text, tokens, self._now
        )
        attempt.stream.open()

    def accepts_connections(self, attempt: Attempt) -> bool:
        """Return whether the endpoint of an attempt accepts a new connection."""
        endpoint = self._endpoints.get(attempt.endpoint_id)
        if endpoint is None:
            return False
        try:
            self._connections.open(endpoint, fresh=True).close()
        except ConnectionLost:
            return False
        return True

    def is_leaving(self, endpoint_id: str) -> bool:
        """Return whether an endpoint was announced to leave or is no longer listed."""
        return self._endpoints.is_leaving(endpoint_id)

    def open_and_await_text(self, attempt: Attempt, req: ServingRequest) -> None:
        """Open an attempt and wait for its first texts or its end."""
        self.open(attempt, req, "", 0)
        while not attempt.texts and not attempt.stream.done:
            attempt.texts = attempt.stream.read(STEP_TIMEOUT_SECONDS)

    def race(
        self,
        first: Attempt,
        req: ServingRequest,
        delay: float,
        excluded: frozenset[str],
        control: RunControl,
        note_failure: Callable[[Attempt, StepError], None],
    ) -> Iterator[None]:
        """Start a second attempt after a delay; return the first that answers.

        The other attempt is cancelled and its connection closed at once. The
        returned attempt has an ``error`` if all attempts failed. ``note_failure``
        is called for an attempt that failed and is not returned.
        """
        racers = [(first, Task(self.open_and_await_text, first, req))]
        hedge_placement: Task | None = None
        chosen: Attempt | None = None
        started = self._now()
        control.abort = lambda: [task.cancel() for _, task in racers]
        try:
            while True:
                waiting = [task.greenlet for _, task in racers if not task.done()]
                if hedge_placement is not None:
                    waiting.append(hedge_placement.greenlet)
                until_hedge = max(delay - (self._now() - started), 0.0)
                hedged = len(racers) > 1 or hedge_placement is not None
                timeout = (
                    STEP_TIMEOUT_SECONDS
                    if hedged
                    else min(until_hedge, STEP_TIMEOUT_SECONDS)
                )
                gevent.wait(waiting, timeout=timeout, count=1)
                if control.stopped:
                    chosen = first
                    racers[0][1].cancel()
                    return chosen
                winner = _winner(racers)
                if winner is not None and (
                    winner.error is None or hedge_placement is None
                ):
                    chosen = winner
                    return chosen
                self._check_deadline(req)
                if hedge_placement is not None and hedge_placement.done():
                    self._start_hedge(racers, hedge_placement, req)
                    hedge_placement = None
                elif not hedged and self._now() - started >= delay:
                    avoid = excluded | {first.endpoint_id}
                    hedge_placement = Task(self._place, req, avoid)
                yield
        finally:
            control.abort = None
            self._cancel_hedge_placement(hedge_placement)
            for attempt, task in racers:
                if attempt is not chosen:
                    task.cancel()
                    attempt.end(str(task.error) if task.error else HEDGE_LOST)
                    if task.error is not None and not control.stopped:
                        note_failure(attempt, task.error)

    def _start_hedge(
        self, racers: list, hedge_placement: Task, req: ServingRequest
    ) -> None:
        if hedge_placement.result is None:
            return
        hedge_placement.result.hedged = True
        second = Attempt(self._router, hedge_placement.result)
        racers.append((second, Task(self.open_and_await_text, second, req)))

    def _cancel_hedge_placement(self, hedge_placement: Task | None) -> None:
        if hedge_placement is None:
            return
        hedge_placement.cancel()
        if hedge_placement.result is not None:
            self._router.release(hedge_placement.result, Usage(reason=HEDGE_LOST))


def _winner(racers: list[tuple[Attempt, Task]]) -> Attempt | None:
    """Return the attempt that answered, or a failed one once all have ended."""
    for attempt, task in racers:
        if task.done() and task.error is None and attempt.texts:
            return attempt
    for attempt, task in racers:
        if task.done() and task.error is None and attempt.stream.done:
            return attempt
    if all(task.done() for _, task in racers):
        attempt, task = racers[0]
        attempt.error = task.error
        return attempt
    return None


def append_texts(output: RequestOutput, texts: list[str]) -> None:
    """Append texts to the output of a request."""
    for text in texts:
        output.append(text)
