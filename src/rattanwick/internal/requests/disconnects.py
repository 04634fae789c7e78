"""Detection of callers that close their connection while their request runs."""

import select as std_select

from gevent import monkey

CONNECTION_KEY = "rattanwick.connection"  # WSGI environment; set by the server
CHECK_INTERVAL_SECONDS = 0.5
CLOSED_EVENTS = std_select.POLLRDHUP | std_select.POLLHUP | std_select.POLLERR

poll = monkey.get_original("select", "poll")


class DisconnectDetector:
    """Checks whether a caller has closed its connection."""

    __slots__ = ("_closed", "_fd", "_next_check")

    def __init__(self, fd: int):
        self._fd = fd
        self._closed = False
        self._next_check = 0.0

    @classmethod
    def from_environ(cls, environ: dict) -> "DisconnectDetector | None":
        """Return the detector for a request, or None if its connection is unknown."""
        conn = environ.get(CONNECTION_KEY)
        return cls(conn.fileno()) if conn is not None else None

    def is_closed(self, now: float) -> bool:
        """Return whether the caller has closed the connection.

        ``now`` is in monotonic seconds. The socket is checked at most twice a second.
        """
        if self._closed or now < self._next_check:
            return self._closed
        self._next_check = now + CHECK_INTERVAL_SECONDS
        poller = poll()
        poller.register(self._fd, CLOSED_EVENTS)
        self._closed = bool(poller.poll(0))
        return self._closed
