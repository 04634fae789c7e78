"""Interfaces that the request path needs from the parts that keep state."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from rattanwick.internal.base.outcomes import NotRun, Outcome
from rattanwick.internal.model.request_records import StoredResponse


@dataclass(slots=True, frozen=True)
class Caller:
    """Tell whose key a caller has shown."""

    organisation: str
    plan: str


@dataclass(slots=True, frozen=True)
class Allowance:
    """Tell what a plan may use of a pool."""

    tokens_per_minute: int
    requests_per_minute: int
    max_output_tokens: int
    priority: int = 5  # 0 is the most urgent
    hedge: bool = False
    max_deadline_seconds: float = 600.0


class PlanDirectory(ABC):
    """Answer from the lists in force."""

    @abstractmethod
    def caller_for_key(self, key: str) -> Caller | None:
        """Return the owner of a key, found by its SHA-256 digest."""

    @abstractmethod
    def allowance(self, plan: str, pool: str) -> Allowance | None:
        """Return what a plan may use of a pool, or None for nothing."""


@dataclass(slots=True, frozen=True)
class Reservation:
    """Hold tokens that were charged to a window at admission."""

    plan: str
    pool: str
    window: int
    tokens: int


class Grants(ABC):
    """Spend the allowances that this node has been granted."""

    @abstractmethod
    def reserve(self, plan: str, pool: str, tokens: int) -> Reservation | NotRun:
        """Charge one request with its upper bound of tokens, or refuse it."""

    @abstractmethod
    def settle(
        self, reservation: Reservation, used_tokens: int, ran: bool = True
    ) -> None:
        """Refund what was not used to the same window.

        A request that did not run (``ran`` is False) does not count at all.
        """


@dataclass(slots=True, frozen=True)
class ServiceCall:
    """Identify a service call by its idempotency key."""

    request_id: str
    organisation: str
    service: str
    key: str
    body_digest: str  # SHA-256 of path, content type and body
    deadline: float  # Unix seconds


@dataclass(slots=True, frozen=True)
class Claimed:
    """Permit this node, and no other, to dispatch the call."""

    call: ServiceCall
    claim_id: str
    attempt: int = 1


@dataclass(slots=True, frozen=True)
class Replayed:
    """Report the outcome that an earlier call with this key had."""

    outcome: Outcome
    answer: StoredResponse | None
    request_id: str = ""  # of the earlier call


@dataclass(slots=True, frozen=True)
class InProgress:
    """Report that an earlier call with this key has not ended."""

    retry_after: float = 1.0  # seconds


@dataclass(slots=True, frozen=True)
class BodyMismatch:
    """Report that the key was used with another body."""


class Claims(ABC):
    """Let one node dispatch a call with an idempotency key, once."""

    def look_up(self, call: ServiceCall) -> Replayed | InProgress | BodyMismatch | None:
        """Return what is known of the key without a claim; raise StepError.

        It is asked before the placement, so that a repeated call gets its stored
        answer even when no endpoint could be placed now. None leaves it to
        ``claim``.
        """
        return None

    def may_dispatch(self, claimed: Claimed) -> bool:
        """Tell whether the call may still be sent; asked right before sending.

        A task that was paused after its claim learns here that its time is over.
        """
        return True

    @abstractmethod
    def claim(
        self, call: ServiceCall
    ) -> Claimed | Replayed | InProgress | BodyMismatch:
        """Claim the key; StepError means that the call must not be dispatched."""

    @abstractmethod
    def settle(
        self, claimed: Claimed, outcome: Outcome, answer: StoredResponse | None
    ) -> None:
        """Store how the call ended; never raises, a failed write is retried."""
