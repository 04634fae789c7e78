"""Estimate of external requests at endpoints, from their load reports."""

from collections import deque

REPORT_HALF_LIFE_SECONDS = 2.0
COUNT_RETENTION_SECONDS = 10.0
MAX_CLOCK_SKEW_SECONDS = 0.5


class LoadReports:
    """Estimate of the requests at endpoints that are not counted as placements here.

    A report shows the load at a time in the past, so it is compared with the count
    of placements at that time.
    """

    def __init__(self):
        self._counts: dict[str, deque[tuple[float, int]]] = {}
        self._external: dict[str, tuple[float, int]] = {}  # (measured at, requests)

    def record_count(self, endpoint_id: str, count: int, now: float) -> None:
        """Record how many placements run at an endpoint from now on."""
        counts = self._counts.setdefault(endpoint_id, deque())
        counts.append((now, count))
        while len(counts) > 1 and counts[1][0] < now - COUNT_RETENTION_SECONDS:
            counts.popleft()

    def add(self, endpoint_id: str, requests: int, age: float, now: float) -> None:
        """Apply a report of all requests at an endpoint, ``age`` seconds old."""
        measured_at = now - age
        own = self._count_around(endpoint_id, measured_at)
        self._external[endpoint_id] = (measured_at, max(requests - own, 0))

    def external_requests(self, endpoint_id: str, now: float) -> float:
        """Return the external requests; their number decays with the report's age."""
        latest = self._external.get(endpoint_id)
        if latest is None:
            return 0.0
        measured_at, requests = latest
        return requests * 0.5 ** ((now - measured_at) / REPORT_HALF_LIFE_SECONDS)

    def _count_around(self, endpoint_id: str, moment: float) -> int:
        """Return the largest count of placements near a time.

        The clocks of endpoint and node may differ by the maximum skew.
        """
        largest = 0
        current = 0
        for time, count in self._counts.get(endpoint_id, ()):
            if time > moment + MAX_CLOCK_SKEW_SECONDS:
                break
            if time >= moment - MAX_CLOCK_SKEW_SECONDS:
                largest = max(largest, count, current)
            current = count
        return max(largest, current)
