"""Interfaces of the stored state that the request path uses."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from rattanwick.internal.base.outcomes import NotRun, Outcome
from rattanwick.internal.model.request_records import StoredResponse


@dataclass(slots=True, frozen=True)
class Caller:
    """Owner of the key that a caller has sent."""

    organisation: str
    plan: str


@dataclass(slots=True, frozen=True)
class Allowance:
    """Limits of a plan's use of a pool."""

    tokens_per_minute: int
    requests_per_minute: int
    max_output_tokens: int
    priority: int = 5  # 0 is the most urgent
    hedge: bool = False
    max_deadline_seconds: float = 600.0


class PlanDirectory(ABC):
    """Keys and allowances of plans, from the lists in force."""

    @abstractmethod
    def caller_for_key(self, key: str) -> Caller | None:
        """Return the owner of a key, found by its SHA-256 digest, or None."""

    @abstractmethod
    def allowance(self, plan: str, pool: str) -> Allowance | None:
        """Return the allowance of a plan for a pool, or None if it has none."""


@dataclass(slots=True, frozen=True)
class Reservation:
    """Tokens that were charged to a window at admission."""

    plan: str
    pool: str
    window: int
    tokens: int


class Grants(ABC):
    """The shares of allowances that this node has been granted."""

    @abstractmethod
    def reserve(self, plan: str, pool: str, tokens: int) -> Reservation | NotRun:
        """Charge one request with its maximum number of tokens, or refuse it."""

    @abstractmethod
    def settle(
        self, reservation: Reservation, used_tokens: int, ran: bool = True
    ) -> None:
        """Refund unused tokens to the window that was charged.

        A request that did not run (``ran`` is False) does not count as a request
        either.
        """


@dataclass(slots=True, frozen=True)
class ServiceCall:
    """A service call, identified by its idempotency key."""

    request_id: str
    organisation: str
    service: str
    key: str
    body_digest: str  # SHA-256 of path, content type and body
    deadline: float  # Unix seconds


@dataclass(slots=True, frozen=True)
class Claimed:
    """Claim that permits this node, and no other, to dispatch the call."""

    call: ServiceCall
    claim_id: str
    attempt: int = 1


@dataclass(slots=True, frozen=True)
class Replayed:
    """Outcome of an earlier call with the same key."""

    outcome: Outcome
    answer: StoredResponse | None
    request_id: str = ""  # of the earlier call


@dataclass(slots=True, frozen=True)
class InProgress:
    """State of a key whose earlier call has not ended."""

    retry_after: float = 1.0  # seconds


@dataclass(slots=True, frozen=True)
class BodyMismatch:
    """State of a key that was used with another path or body."""


class Claims(ABC):
    """Claims of idempotency keys; a claim permits one node to dispatch a call once."""

    def look_up(self, call: ServiceCall) -> Replayed | InProgress | BodyMismatch | None:
        """Return the state of a key without claiming it, or None if it is not used.

        Raises StepError if the state cannot be read.

        This is called before the placement, so that a repeated call gets its stored
        answer even if no endpoint is available now. After None, another node may still
        claim the key first, so ``claim`` decides.
        """
        return None

    def may_dispatch(self, claimed: Claimed) -> bool:
        """Return whether the call may still be sent; called right before sending.

        This stops a task that was paused after its claim until the claim expired.
        """
        return True

    @abstractmethod
    def claim(
        self, call: ServiceCall
    ) -> Claimed | Replayed | InProgress | BodyMismatch:
        """Claim the key; after a StepError the call must not be dispatched."""

    @abstractmethod
    def settle(
        self, claimed: Claimed, outcome: Outcome, answer: StoredResponse | None
    ) -> None:
        """Store how the call ended; never raises, since a failed write is retried."""
