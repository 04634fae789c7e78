"""Planned stop of this node, and which requests can be done before its end."""

from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.gateway.answer_times import AnswerTimes
from rattanwick.internal.gateway.model import CallKind, Route

# Callers may return at once: they are directed to other nodes.
STOPPING_RETRY_AFTER_SECONDS = 0.05


class PlannedStop:
    """Planned stop of this node, from SIGTERM to the end of its requests."""

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._ends_at: float | None = None  # monotonic seconds
        self.answer_times = AnswerTimes()

    def begin(self, ends_at: float) -> None:
        """Start the stop; requests must have ended by ``ends_at``, monotonic."""
        self._ends_at = ends_at

    def time_left(self) -> float | None:
        """Return the seconds left for requests, None if no stop has begun."""
        return None if self._ends_at is None else self._ends_at - self._timers.now()

    def can_finish(self, route: Route, deadline: float) -> bool:
        """Return whether a request that is sent now can end before the node does.

        It can if its ``deadline``, in monotonic seconds, comes first. Otherwise the
        longest time that such requests take now decides, since a refusal costs a caller
        less than a request that is cut.
        """
        if self._ends_at is None or deadline <= self._ends_at:
            return True
        now = self._timers.now()
        # An objective says nothing about the end of a stream.
        is_stream = route.kind is CallKind.STREAM
        default = deadline - now if is_stream else route.objective
        seconds = self.answer_times.longest(route.name, now, default)
        return now + seconds <= self._ends_at
