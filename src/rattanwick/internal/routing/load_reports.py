"""Load reports of endpoints, weighted by their age."""

from collections import deque

REPORT_HALF_LIFE_SECONDS = 2.0
COUNTS_KEPT_SECONDS = 10.0
CLOCK_SLACK_SECONDS = 0.5


class LoadReports:
    """Find the requests at an endpoint that this view did not place.

    A report shows the load of a moment in the past, so it is compared with the
    own count of that moment.
    """

    def __init__(self):
        self._counts: dict[str, deque[tuple[float, int]]] = {}
        self._foreign: dict[str, tuple[float, int]] = {}  # (measured at, requests)

    def note_count(self, endpoint_id: str, count: int, now: float) -> None:
        """Remember the own count in flight from now on."""
        counts = self._counts.setdefault(endpoint_id, deque())
        counts.append((now, count))
        while len(counts) > 1 and counts[1][0] < now - COUNTS_KEPT_SECONDS:
            counts.popleft()

    def add(self, endpoint_id: str, requests: int, age: float, now: float) -> None:
        """Take in a report of all requests at an endpoint, ``age`` seconds old."""
        measured = now - age
        own = self._count_around(endpoint_id, measured)
        self._foreign[endpoint_id] = (measured, max(requests - own, 0))

    def foreign(self, endpoint_id: str, now: float) -> float:
        """Return the requests of others, less the older the report is."""
        known = self._foreign.get(endpoint_id)
        if known is None:
            return 0.0
        measured, requests = known
        return requests * 0.5 ** ((now - measured) / REPORT_HALF_LIFE_SECONDS)

    def _count_around(self, endpoint_id: str, moment: float) -> int:
        """Return the largest own count near a moment."""
        largest = 0
        current = 0
        for time, count in self._counts.get(endpoint_id, ()):
            if time > moment + CLOCK_SLACK_SECONDS:
                break
            if time >= moment - CLOCK_SLACK_SECONDS:
                largest = max(largest, count, current)
            current = count
        return max(largest, current)
