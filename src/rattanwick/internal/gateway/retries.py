"""Budget of retries to a service, shared by all nodes in equal parts."""

from collections import deque

MAX_BUDGET_SHARE = 0.7  # of the deployment's budget, spent by all nodes together


class RetryBudget:
    """Limit of retries to a share of this node's requests to a service, plus a slack.

    ``share``, ``slack`` (retries of all nodes) and ``window`` (seconds) are those that
    the deployment allows.
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
