"""Detection of callers that close their connection while their request runs."""

import select as select_names

from gevent import monkey

CONNECTION_KEY = "rattanwick.connection"  # WSGI environment; set by the server
CHECK_INTERVAL_SECONDS = 0.5
CLOSED_EVENTS = select_names.POLLRDHUP | select_names.POLLHUP | select_names.POLLERR

poll = monkey.get_original("select", "poll")


class DisconnectDetector:
    """Detector of whether the other side of a connection has closed it."""

    __slots__ = ("_closed", "_fd", "_next_check")

    def __init__(self, fd: int):
        self._fd = fd
        self._closed = False
        self._next_check = 0.0

    @classmethod
    def of(cls, environ: dict) -> "DisconnectDetector | None":
        """Return the detector for a request, or None if its connection is unknown."""
        conn = environ.get(CONNECTION_KEY)
        return cls(conn.fileno()) if conn is not None else None

    def closed(self, now: float) -> bool:
        """Return whether the connection is closed, checked at most twice a second."""
        if self._closed or now < self._next_check:
            return self._closed
        self._next_check = now + CHECK_INTERVAL_SECONDS
        poller = poll()
        poller.register(self._fd, CLOSED_EVENTS)
        self._closed = bool(poller.poll(0))
        return self._closed
