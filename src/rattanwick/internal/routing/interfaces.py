"""Interface through which the request path gets placements."""

from abc import ABC, abstractmethod

from rattanwick.internal.model.requests import Placement, ServingRequest, Usage


class Router(ABC):
    """Placement of requests on endpoints."""

    @abstractmethod
    def place(
        self, req: ServingRequest, excluded: frozenset[str] = frozenset()
    ) -> Placement:
        """Wait for a placement and return it; ``excluded`` holds endpoint ids.

        A call for a request that already holds a placement is a hedge. Raises
        Refused if no endpoint may run the request, the deadline cannot be met,
        or the budget of hedges is spent.
        """

    @abstractmethod
    def release(self, placement: Placement, usage: Usage) -> None:
        """Release a placement and report how the attempt went."""

    @abstractmethod
    def may_retry(self, req: ServingRequest) -> bool:
        """Spend one retry of the budget; return whether the budget had one."""

    @abstractmethod
    def hedge_delay(self, req: ServingRequest) -> float | None:
        """Return the seconds to wait before a hedge, or None for no hedge."""

    @abstractmethod
    def report_progress(
        self,
        placement: Placement,
        first_token_seconds: float | None,
        seconds_between_tokens: float | None,
    ) -> None:
        """Report a stream's progress at its first token, then a few times a second.

        ``seconds_between_tokens`` is the mean since the last report. Slow
        endpoints are detected early only if this is called.
        """
