"""Planned stop of this node: when the requests in progress must have ended."""

from rattanwick.internal.base.timers import TimerService


class PlannedStop:
    """Planned stop of this node, from SIGTERM to the end of its requests."""

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._ends_at: float | None = None  # monotonic seconds

    def begin(self, ends_at: float) -> None:
        """Start the stop; requests must have ended by ``ends_at``, monotonic."""
        self._ends_at = ends_at

    def time_left(self) -> float | None:
        """Return the seconds left for requests, None if no stop has begun."""
        return None if self._ends_at is None else self._ends_at - self._timers.now()
