"""Budgets of retries and hedges, and the decisions that spend them."""

from dataclasses import dataclass, field
from enum import StrEnum

from rattanwick.internal.recording.decisions import DecisionKind, decision_function

MAX_SAVED_ATTEMPTS = 10.0  # attempts that may be saved up in a quiet time
INITIAL_ATTEMPTS = 3.0  # attempts that a new organisation may spend
MAX_BUDGETS = 4096
MIN_HEDGE_DELAY_SECONDS = 0.02


class RetryReason(StrEnum):
    """Reason for allowing or refusing a retry."""

    BUDGET = "budget"
    BUDGET_SPENT = "budget_spent"


class HedgeReason(StrEnum):
    """Reason for hedging a request or not."""

    LATE = "late"
    NOT_ALLOWED = "not_allowed"
    NOT_IDEMPOTENT = "not_idempotent"
    LONG = "long"
    NO_HISTORY = "no_history"
    BUDGET_SPENT = "budget_spent"


@dataclass(slots=True)
class AttemptBudget:
    """Budgets of extra attempts, as a share of the requests.

    Each organisation has a budget of its own for each pool.
    """

    share: float
    # Attempts that may be spent, by organisation and pool.
    saved: dict[tuple[str, str], float] = field(default_factory=dict)

    def deposit(self, organisation: str, pool: str) -> None:
        """Add the share of one request to the budget of an organisation and pool."""
        key = (organisation, pool)
        if key not in self.saved and len(self.saved) >= MAX_BUDGETS:
            self.saved.pop(next(iter(self.saved)))
        self.saved[key] = min(
            self.available(organisation, pool) + self.share, MAX_SAVED_ATTEMPTS
        )

    def available(self, organisation: str, pool: str) -> float:
        """Return the attempts that may be spent; a fraction is not enough for one."""
        initial = INITIAL_ATTEMPTS if self.share > 0 else 0.0
        return self.saved.get((organisation, pool), initial)

    def spend(self, organisation: str, pool: str) -> None:
        """Subtract one attempt from a budget."""
        remaining = self.available(organisation, pool) - 1
        self.saved[organisation, pool] = remaining


@decision_function(DecisionKind.RETRY)
def decide_retry(inputs: dict) -> tuple[object, str]:
    """Return (whether to retry, reason) from the attempts available."""
    if inputs["available"] >= 1:
        return True, RetryReason.BUDGET
    return False, RetryReason.BUDGET_SPENT


@decision_function(DecisionKind.HEDGE)
def decide_hedge(inputs: dict) -> tuple[object, str]:
    """Return (delay in seconds before the hedge or None, reason)."""
    if not inputs["allowed"]:
        return None, HedgeReason.NOT_ALLOWED
    if not inputs["idempotent"]:
        return None, HedgeReason.NOT_IDEMPOTENT
    if not inputs["short"]:
        return None, HedgeReason.LONG
    if inputs["usual"] is None:
        return None, HedgeReason.NO_HISTORY
    if inputs["available"] < 1:
        return None, HedgeReason.BUDGET_SPENT
    return max(inputs["usual"], MIN_HEDGE_DELAY_SECONDS), HedgeReason.LATE
