"""Decisions, the interface that records them, and the functions that make them."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum


class DecisionKind(StrEnum):
    """Kind of a decision; each kind has one decision function."""

    ROUTE = "route"  # which endpoint runs a request
    ADMIT = "admit"  # whether a node accepts a request
    REFUSE = "refuse"  # whether the queue of a cell refuses a request
    ATTEMPT = "attempt"  # what is done after a failed attempt
    RETRY = "retry"  # whether the budget allows a retry
    CRASH = "crash"  # whether a request crashed too many endpoints
    CALL = "call"  # what is done after a failed service call
    HEDGE = "hedge"  # whether and when a request is hedged
    ORDER = "order"  # whether an order is sent to an engine
    PLAN = "plan"  # which instances to run
    LEASE = "lease"  # whether a node acquires a lease
    RECLAIM = "reclaim"  # what is done with the streams of a leaving endpoint


@dataclass(slots=True, frozen=True)
class Decision:
    """One decision, with all inputs from which it was made."""

    kind: DecisionKind
    inputs: dict  # msgpack-safe; all values that the function reads
    choice: object  # msgpack-safe
    reason: str  # value of the kind's reason enumeration
    request_id: str = ""


class Recorder(ABC):
    """Interface to keep decisions for a replay."""

    @abstractmethod
    def record(self, decision: Decision) -> None:
        """Record a decision; never block and never raise."""


class NullRecorder(Recorder):
    """Recorder that keeps nothing."""

    def record(self, decision: Decision) -> None:
        """Discard the decision."""


# Makes a decision from its inputs: inputs -> (choice, reason).
DecisionFunction = Callable[[dict], tuple[object, str]]

DECISION_FUNCTIONS: dict[DecisionKind, DecisionFunction] = {}


def decision_function(
    kind: DecisionKind,
) -> Callable[[DecisionFunction], DecisionFunction]:
    """Register the decision function of a kind, so that replay can call it.

    Raises ValueError if another function is registered for the kind.
    """

    def register(function: DecisionFunction) -> DecisionFunction:
        registered = DECISION_FUNCTIONS.get(kind)
        if registered is not None:
            # Otherwise a replay would run the function that was imported last.
            name = f"{registered.__module__}.{registered.__qualname__}"
            raise ValueError(f"kind {kind} already has {name}; add another kind")
        DECISION_FUNCTIONS[kind] = function
        return function

    return register
