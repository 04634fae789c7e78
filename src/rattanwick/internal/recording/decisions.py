"""Decisions and the functions that make them."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum


class DecisionKind(StrEnum):
    """Tell decisions apart."""

    ROUTE = "route"
    ADMIT = "admit"
    REFUSE = "refuse"
    RETRY = "retry"
    HEDGE = "hedge"
    ORDER = "order"
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


def decides(kind: DecisionKind) -> Callable[[DecisionFunction], DecisionFunction]:
    """Register the function that makes decisions of a kind, for replay."""

    def register(function: DecisionFunction) -> DecisionFunction:
        DECISION_FUNCTIONS[kind] = function
        return function

    return register
