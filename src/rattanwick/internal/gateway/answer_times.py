"""Times that requests of each route take now, from the latest at this node."""

from collections import defaultdict, deque

MAX_TIMES = 200  # of one route


class AnswerTimes:
    """Recent times of requests by route, and the start of those in progress."""

    def __init__(self):
        self._recent: dict[str, deque[float]] = {}  # seconds
        # By route: the start of each request in progress, in monotonic seconds.
        self._running: defaultdict[str, dict[object, float]] = defaultdict(dict)

    def start(self, route: str, request: object, now: float) -> None:
        """Record that a request is in progress; ``request`` identifies it."""
        self._running[route][request] = now

    def end(self, route: str, request: object, now: float, counts: bool) -> None:
        """Record the end of a request, whose time counts if ``counts``.

        A refusal, or a caller that left, tells nothing about the time of an answer.
        """
        running = self._running[route]
        started = running.pop(request)
        if not running:
            del self._running[route]
        if counts:
            times = self._recent.setdefault(route, deque(maxlen=MAX_TIMES))
            times.append(now - started)

    def longest(self, route: str, now: float, default: float) -> float:
        """Return the seconds that the longest of the latest requests has taken.

        ``default`` stands for the times of a route of which none has ended. Requests in
        progress count with their age, so that endpoints that become slow are noticed
        before they answer.
        """
        longest = max(self._recent.get(route, ()), default=default)
        started = min(self._running.get(route, {}).values(), default=now)
        return max(longest, now - started)
