"""Times that requests of each route take now, from the latest at this node."""

import math
from collections import defaultdict, deque

MAX_TIMES = 50  # of one route
QUANTILE = 0.9


class AnswerTimes:
    """Recent times of requests by route, and the start of those in progress."""

    def __init__(self):
        self._recent: dict[str, deque[float]] = {}  # seconds
        # By route: the start of each request in progress, in monotonic seconds.
        self._running: defaultdict[str, dict[object, float]] = defaultdict(dict)

    def start(self, route: str, request: object, now: float) -> None:
        """Record that a request is in progress; ``request`` identifies it."""
        self._running[route][request] = now

    def end(self, route: str, request: object, now: float, answered: bool) -> None:
        """Record the end of a request.

        Its time counts if it was sent to an endpoint and ``answered``. A refusal, or a
        caller that left, tells nothing about the time of an answer.
        """
        running = self._running[route]
        started = running.pop(request)
        if not running:
            del self._running[route]
        if answered:
            times = self._recent.setdefault(route, deque(maxlen=MAX_TIMES))
            times.append(now - started)

    def expected(self, route: str, now: float, default: float) -> float:
        """Return the seconds that a request takes now.

        ``default`` stands for the times of a route of which none has ended. Requests in
        progress that have taken longer already count with their age, so that endpoints
        that become slow are noticed before they answer.
        """
        times = list(self._recent.get(route, ())) or [default]
        usual = _quantile(times)
        ages = (now - started for started in self._running.get(route, {}).values())
        times.extend(age for age in ages if age > usual)
        return _quantile(times)


def _quantile(times: list[float]) -> float:
    return sorted(times)[math.ceil(QUANTILE * len(times)) - 1]
