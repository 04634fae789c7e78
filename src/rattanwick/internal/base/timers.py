"""Timer service that runs callbacks, with a manual clock for tests."""

import heapq
import itertools
import math
import time
from abc import ABC, abstractmethod
from collections.abc import Callable

import gevent
from gevent.event import Event

from rattanwick.internal.base.log import get_logger

log = get_logger("timers")


class Subscription:
    """A callback that is run once or periodically until cancelled."""

    __slots__ = ("callback", "cancelled", "name", "period", "running")

    def __init__(self, name: str, period: float | None, callback: Callable[[], None]):
        self.name = name
        self.period = period  # seconds; None for a single call
        self.callback = callback
        self.cancelled = False
        self.running = False

    def cancel(self) -> None:
        """Prevent further calls; a call that is running is not stopped."""
        self.cancelled = True


class TimerService(ABC):
    """A clock, and callbacks that run when they are due."""

    def __init__(self):
        self._heap: list[tuple[float, int, Subscription]] = []
        self._sequence = itertools.count()  # order of callbacks due together

    @abstractmethod
    def now(self) -> float:
        """Return monotonic seconds."""

    @abstractmethod
    def wall_time(self) -> float:
        """Return Unix seconds."""

    @abstractmethod
    def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""

    def subscribe(
        self, name: str, period: float, callback: Callable[[], None]
    ) -> Subscription:
        """Run a callback every ``period`` seconds until it is cancelled.

        The next call is scheduled when the callback has returned. An exception that it
        raises is logged, and the callback is called again.
        """
        return self._schedule(Subscription(name, period, callback), period)

    def after(self, delay: float, callback: Callable[[], None]) -> Subscription:
        """Run a callback once after ``delay`` seconds."""
        return self._schedule(Subscription("after", None, callback), delay)

    def _schedule(self, subscription: Subscription, delay: float) -> Subscription:
        due = self.now() + delay
        heapq.heappush(self._heap, (due, next(self._sequence), subscription))
        return subscription

    def _pop_due(self, now: float) -> list[Subscription]:
        """Remove and return the subscriptions that are due and not cancelled."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        return [subscription for subscription in due if not subscription.cancelled]

    def _run(self, subscription: Subscription) -> None:
        subscription.running = True
        try:
            subscription.callback()
        except Exception:
            log.exception("callback of %s failed", subscription.name)
        finally:
            subscription.running = False
            if subscription.period is not None and not subscription.cancelled:
                self._schedule(subscription, subscription.period)


class GeventTimerService(TimerService):
    """Timer service on the real clock; each callback runs in its own task."""

    def __init__(self):
        super().__init__()
        self._origin = self.now()
        self._wakeup = Event()
        self._task = gevent.spawn(self._loop)

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Return Unix seconds."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""
        gevent.sleep(seconds)

    def stop(self) -> None:
        """Start no further callbacks."""
        self._task.kill()

    def _schedule(self, subscription: Subscription, delay: float) -> Subscription:
        if subscription.period is not None:
            delay = self._aligned_delay(subscription.period)
        super()._schedule(subscription, delay)
        self._wakeup.set()
        return subscription

    def _aligned_delay(self, period: float) -> float:
        """Return the delay until a whole number of periods has passed since the start.

        The delay is 0.5 to 1.5 periods. Callbacks with periods of 0.1, 1 and 5 s
        then share wake-ups; a wake-up costs more than most callbacks.
        """
        elapsed = self.now() - self._origin
        return (math.floor(elapsed / period + 0.5) + 1) * period - elapsed

    def _loop(self) -> None:
        while True:
            for subscription in self._pop_due(self.now()):
                gevent.spawn(self._run, subscription)
            self._wakeup.clear()
            timeout = self._heap[0][0] - self.now() if self._heap else None
            if timeout is None or timeout > 0:
                self._wakeup.wait(timeout)


class ManualTimerService(TimerService):
    """Timer service for tests, whose time only moves by ``advance``."""

    def __init__(self, start: float = 1000.0, wall_start: float = 1_800_000_000.0):
        self._now = start
        self._wall_offset = wall_start - start
        super().__init__()

    def now(self) -> float:
        """Return the manual time, in monotonic seconds."""
        return self._now

    def wall_time(self) -> float:
        """Return the manual time, in Unix seconds."""
        return self._now + self._wall_offset

    def sleep(self, seconds: float) -> None:
        """Advance the time and run due callbacks."""
        self.advance(seconds)

    def advance(self, seconds: float) -> None:
        """Move time forward and run due callbacks in order."""
        target = self._now + seconds
        while self._heap and self._heap[0][0] <= target:
            self._now = max(self._now, self._heap[0][0])
            for subscription in self._pop_due(self._now):
                self._run(subscription)
        self._now = target
