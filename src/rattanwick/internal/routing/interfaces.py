"""Interface of placement for the request path."""

from abc import ABC, abstractmethod

from rattanwick.internal.model.requests import Placement, ServingRequest, Usage


class Router(ABC):
    """Place requests on endpoints."""

    @abstractmethod
    def place(
        self, req: ServingRequest, excluded: frozenset[str] = frozenset()
    ) -> Placement:
        """Wait for a placement; raise Refused when the deadline cannot be met."""

    @abstractmethod
    def release(self, placement: Placement, usage: Usage) -> None:
        """Give a placement back and report how the attempt went."""

    @abstractmethod
    def may_retry(self, req: ServingRequest) -> bool:
        """Spend one retry of the budget; tell whether there was one."""

    @abstractmethod
    def hedge_delay(self, req: ServingRequest) -> float | None:
        """Return seconds to wait before a hedge, or None for no hedge."""

    @abstractmethod
    def report_progress(
        self,
        placement: Placement,
        first_token_seconds: float | None,
        seconds_between_tokens: float | None,
    ) -> None:
        """Tell how a stream goes: at its first token, then a few times a second.

        ``seconds_between_tokens`` is the mean since the last report. Slow
        endpoints are found early only where this is called.
        """
