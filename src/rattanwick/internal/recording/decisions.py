"""Decisions and the functions that make them."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum


class DecisionKind(StrEnum):
    """Tell decisions apart."""

    ROUTE = "route"  # which endpoint runs a request
    ADMIT = "admit"  # whether a node takes a request
    REFUSE = "refuse"  # whether a request may wait for a placement
    ATTEMPT = "attempt"  # what follows a failed attempt
    RETRY = "retry"  # whether the budget allows a retry
    CRASH = "crash"  # whether a request lost too many endpoints
    CALL = "call"  # what follows a failed service call
    HEDGE = "hedge"
    ORDER = "order"  # whether an order goes to an engine
    PLAN = "plan"  # which instances to run
    LEASE = "lease"
    RECLAIM = "reclaim"


@dataclass(slots=True, frozen=True)
class Decision:
    """Hold one decision with everything that it was made from."""

    kind: DecisionKind
    inputs: dict  # msgpack-safe; all that the function reads
    choice: object  # msgpack-safe
    reason: str  # value of the kind's reason enumeration
    request_id: str = ""


class Recorder(ABC):
    """Keep decisions for replay."""

    @abstractmethod
    def record(self, decision: Decision) -> None:
        """Keep a decision; never blocks and never raises."""


class NullRecorder(Recorder):
    """Keep nothing."""

    def record(self, decision: Decision) -> None:
        """Drop the decision."""


# Runs a decision again: inputs -> (choice, reason).
DecisionFunction = Callable[[dict], tuple[object, str]]

DECISION_FUNCTIONS: dict[DecisionKind, DecisionFunction] = {}


def decision_function(
    kind: DecisionKind,
) -> Callable[[DecisionFunction], DecisionFunction]:
    """Register the only function that makes decisions of a kind, for replay."""

    def register(function: DecisionFunction) -> DecisionFunction:
        known = DECISION_FUNCTIONS.get(kind)
        if known is not None:
            # Replay would run the one that was imported last.
            names = f"{known.__module__}.{known.__qualname__}"
            raise ValueError(f"{kind} is decided by {names}; add another kind")
        DECISION_FUNCTIONS[kind] = function
        return function

    return register
