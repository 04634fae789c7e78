"""Budget of retries to a service, shared by all nodes in equal parts."""

from collections import deque

MAX_BUDGET_SHARE = 0.7  # share of the deployment's budget that all nodes may spend


class RetryBudget:
    """Limit of this node's retries to each service.

    In any ``window`` seconds, the deployment allows retries up to ``share`` times the
    requests to the service, plus ``slack`` for all nodes together.
    """

    def __init__(self, share: float, slack: float, window: float):
        self._share = share
        self._slack = slack
        self._window = window  # seconds
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def note_request(self, service: str, now: float) -> None:
        """Count a request of a caller to a service."""
        self._recent(self._requests, service, now).append(now)

    def spend(self, service: str, nodes: int, now: float) -> bool:
        """Return whether the budget allows a retry, and count it if so."""
        requests = len(self._recent(self._requests, service, now))
        retries = self._recent(self._retries, service, now)
        allowed = MAX_BUDGET_SHARE * (
            self._share * requests + self._slack / max(nodes, 1)
        )
        if len(retries) + 1 > allowed:
            return False
        retries.append(now)
        return True

    def _recent(
        self, times_by_service: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        times = times_by_service.setdefault(service, deque())
        while times and times[0] < now - self._window:
            times.popleft()
        return times
