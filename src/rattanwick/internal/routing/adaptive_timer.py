"""Timer whose interval is short only while there is work."""

from collections.abc import Callable

from rattanwick.internal.base.timers import TimerService

BUSY_INTERVAL_SECONDS = 0.1
# Each wake-up of an idle process costs about 0.3 ms of CPU time, so ten a second
# would take a third of the CPU budget for control.
IDLE_INTERVAL_SECONDS = 1.0


class AdaptiveTimer:
    """Run a callback every 0.1 s while there is work, otherwise once a second."""

    def __init__(
        self,
        name: str,
        timers: TimerService,
        callback: Callable[[], None],
        is_busy: Callable[[], bool],
    ):
        self._timers = timers
        self._callback = callback
        self._is_busy = is_busy
        self._armed = False
        timers.subscribe(name, IDLE_INTERVAL_SECONDS, self._run_idle)

    def wake(self) -> None:
        """Switch to the short interval, since there is work."""
        if not self._armed:
            self._armed = True
            self._timers.after(BUSY_INTERVAL_SECONDS, self._run_busy)

    def _run_idle(self) -> None:
        if not self._armed:
            self._callback()

    def _run_busy(self) -> None:
        try:
            self._callback()
        finally:
            self._armed = False
            if self._is_busy():
                self.wake()
