"""One attempt of a model request, with a hedge where the router allows one."""

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
from rattanwick.internal.requests.runs import TICK_SECONDS, RunControl
from rattanwick.internal.requests.spans import RequestSpans
from rattanwick.internal.routing.interfaces import Router

HEDGE_LOST = "hedge_lost"
STOPPED = "stopped"
DEADLINE = "deadline"


class Task:
    """Run a blocking call in a task of its own, to wait for it in slices."""

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
        """Tell whether the call has ended."""
        return self.greenlet.ready()

    def cancel(self) -> None:
        """End the call and wait for its clean-up."""
        self.greenlet.kill(GreenletExit)

    def value(self):
        """Return the result or raise the call's error."""
        if self.error is not None:
            raise self.error
        if self.greenlet.exception is not None:
            raise self.greenlet.exception
        return self.result


PROGRESS_SECONDS = 0.25  # between reports on a stream


class Attempt:
    """Hold a placement and the stream at its endpoint."""

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
        self.texts: list[str] = []  # arrived before the attempt was chosen
        self.error: StepError | None = None
        self._reported_at = 0.0  # monotonic seconds; 0 before the first token
        self._reported_texts = 0

    @property
    def sent(self) -> bool:
        """Tell whether a byte of the request may have reached the endpoint."""
        return self.stream is not None and self.stream.sent

    @property
    def texts_seen(self) -> int:
        """Return how many texts the endpoint has sent."""
        return 0 if self.stream is None else self.stream.texts_seen

    def report_progress(self, now: float) -> None:
        """Tell the router how the stream goes, at most every ``PROGRESS_SECONDS``."""
        seen = self.texts_seen
        if now - self._reported_at < PROGRESS_SECONDS or seen == 0:
            return
        first, between = None, None
        if self._reported_at == 0.0:
            first = self.stream.usage.first_token_seconds
        elif seen > self._reported_texts:
            between = (now - self._reported_at) / (seen - self._reported_texts)
        self._reported_at, self._reported_texts = now, seen
        if self._placement is not None and (first or between):
            self._router.report_progress(self._placement, first, between)

    def end(self, reason: str) -> Usage:
        """Close the stream and give the placement back, once."""
        placement, self._placement = self._placement, None
        usage = Usage(reason=reason)
        if self.stream is not None:
            usage = self.stream.finish_usage(reason)
            self.stream.close()
        if placement is not None:
            self._router.release(placement, usage)
        return usage


class AttemptRunner:
    """Place and open attempts."""

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
        """Wait for a placement; return an Attempt, or None when stopped."""
        task = Task(self._place, req, excluded)
        control.abort = task.cancel
        granted = False
        try:
            while not task.done():
                task.greenlet.join(TICK_SECONDS)
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
        """Give the endpoint of an attempt the KV cache of its request."""
        endpoint = self._endpoints.get(attempt.endpoint_id)
        if endpoint is not None:
            import_kv(endpoint, kv)

    def open(self, attempt: Attempt, req: ServingRequest, text: str, tokens: int):
        """Connect to the endpoint and send the request."""
        endpoint = self._endpoints.get(attempt.endpoint_id)
        if endpoint is None:
            reason = "endpoint is not listed any more"
            raise Unavailable("connect", attempt.endpoint_id, reason)
        attempt.stream = EngineStream(
            self._connections, endpoint, req, text, tokens, self._now
        )
        attempt.stream.open()

    def accepts(self, attempt: Attempt) -> bool:
        """Tell whether the endpoint of an attempt accepts a new connection."""
        endpoint = self._endpoints.get(attempt.endpoint_id)
        if endpoint is None:
            return False
        try:
            self._connections.open(endpoint, fresh=True).close()
        except ConnectionLost:
            return False
        return True

    def is_leaving(self, endpoint_id: str) -> bool:
        """Tell whether an endpoint was announced to leave, or is gone."""
        return self._endpoints.is_leaving(endpoint_id)

    def first_texts(self, attempt: Attempt, req: ServingRequest) -> None:
        """Open an attempt and wait for its first text, for a race."""
        self.open(attempt, req, "", 0)
        while not attempt.texts and not attempt.stream.done:
            attempt.texts = attempt.stream.read(TICK_SECONDS)

    def race(
        self,
        first: Attempt,
        req: ServingRequest,
        delay: float,
        excluded: frozenset[str],
        control: RunControl,
        note_failure: Callable[[Attempt, StepError], None],
    ) -> Iterator[None]:
        """Start a second attempt after a delay; return the one that answers first.

        The other one is cancelled and its connection closed at once. The result
        has an ``error`` where all attempts failed.
        """
        racers = [(first, Task(self.first_texts, first, req))]
        placing: Task | None = None
        chosen: Attempt | None = None
        started = self._now()
        control.abort = lambda: [task.cancel() for _, task in racers]
        try:
            while True:
                waiting = [task.greenlet for _, task in racers if not task.done()]
                if placing is not None:
                    waiting.append(placing.greenlet)
                until_hedge = max(delay - (self._now() - started), 0.0)
                hedged = len(racers) > 1 or placing is not None
                timeout = TICK_SECONDS if hedged else min(until_hedge, TICK_SECONDS)
                gevent.wait(waiting, timeout=timeout, count=1)
                if control.stopped:
                    chosen = first
                    racers[0][1].cancel()
                    return chosen
                winner = _winner(racers)
                if winner is not None and (winner.error is None or placing is None):
                    chosen = winner
                    return chosen
                self._check_deadline(req)
                if placing is not None and placing.done():
                    self._join(racers, placing, req)
                    placing = None
                elif not hedged and self._now() - started >= delay:
                    avoid = excluded | {first.endpoint_id}
                    placing = Task(self._place, req, avoid)
                yield
        finally:
            control.abort = None
            self._end_placing(placing)
            for attempt, task in racers:
                if attempt is not chosen:
                    task.cancel()
                    attempt.end(str(task.error) if task.error else HEDGE_LOST)
                    if task.error is not None and not control.stopped:
                        note_failure(attempt, task.error)

    def _join(self, racers: list, placing: Task, req: ServingRequest) -> None:
        if placing.result is None:
            return
        placing.result.hedged = True
        second = Attempt(self._router, placing.result)
        racers.append((second, Task(self.first_texts, second, req)))

    def _end_placing(self, placing: Task | None) -> None:
        if placing is None:
            return
        placing.cancel()
        if placing.result is not None:
            self._router.release(placing.result, Usage(reason=HEDGE_LOST))


def _winner(racers: list[tuple[Attempt, Task]]) -> Attempt | None:
    """Return the attempt that answered, or one that failed when all have."""
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
    """Add texts to the answer."""
    for text in texts:
        output.append(text)
