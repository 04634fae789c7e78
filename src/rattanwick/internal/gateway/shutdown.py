"""Graceful shutdown of the callers' interface after SIGTERM."""

import time

import gevent

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.caller_server import CallerServer
from rattanwick.internal.gateway.planned_stop import PlannedStop

log = get_logger("node")

# Time from the start of a stop until idle connections are closed. Meanwhile callers
# learn of other nodes.
IDLE_CLOSE_DELAY_SECONDS = 1.6
# Time from the start of a stop until no more connections are accepted. A request that
# is accepted later may not end before the platform kills the process.
STOP_ACCEPTING_DELAY_SECONDS = 2.5
# The process ends this long before the platform would kill it.
EXIT_MARGIN_SECONDS = 0.4
# Before that, time to send the answers to the requests that are ended.
LAST_ANSWERS_SECONDS = 0.2
CHECK_INTERVAL_SECONDS = 0.05
LAST_CHECK_INTERVAL_SECONDS = 0.01


class GracefulShutdown:
    """Shutdown that ends no request before it must.

    ``grace`` is the time in seconds from SIGTERM until the platform kills the process.
    """

    def __init__(self, callers: CallerServer, stop: PlannedStop, grace: float):
        self._callers = callers
        self._stop = stop
        self._grace = grace
        self._started = 0.0  # monotonic seconds

    def begin(self) -> None:
        """Take only requests that can be done in time, and close connections."""
        self._started = time.monotonic()
        self._stop.begin(self._exit_at - LAST_ANSWERS_SECONDS)
        self._callers.drain()
        log.info("stopping", extra={"requests": self._callers.busy})

    def wait(self) -> None:
        """Return once no connection is open, at the latest when the process must end.

        The requests that are still in progress shortly before that are answered.
        """
        accepting = True
        while self._stop.time_left() > 0:
            elapsed = time.monotonic() - self._started
            if elapsed >= IDLE_CLOSE_DELAY_SECONDS:
                self._callers.close_idle()
            if accepting and elapsed >= STOP_ACCEPTING_DELAY_SECONDS:
                self._callers.stop_accepting()
                accepting = False
                # The connections accepted last are served from the next round on.
            elif not accepting and not self._callers.connections:
                break
            gevent.sleep(CHECK_INTERVAL_SECONDS)
        if accepting:
            self._callers.stop_accepting()
            gevent.sleep(LAST_CHECK_INTERVAL_SECONDS)
        unfinished = self._callers.busy
        self._callers.end_requests()
        while self._callers.connections and time.monotonic() < self._exit_at:
            gevent.sleep(LAST_CHECK_INTERVAL_SECONDS)
        self._callers.log_unanswered("process ends")
        log.info(
            "stopped",
            extra={
                "requests": unfinished,
                "seconds": round(time.monotonic() - self._started, 2),
            },
        )

    @property
    def _exit_at(self) -> float:
        return self._started + self._grace - EXIT_MARGIN_SECONDS
