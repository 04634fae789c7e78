"""Cheapest instances that hold the latency target if a data centre is lost."""

from dataclasses import dataclass
from enum import StrEnum

from rattanwick.internal.recording.decisions import (
    Decision,
    DecisionKind,
    Recorder,
    decision_function,
)
from rattanwick.internal.routing.messages import Message

REFUSAL_RETRY_SECONDS = 300.0  # time before a refused start is tried again


class CapacityPlanReason(StrEnum):
    """Whether a capacity plan holds the latency target."""

    HOLDS = "holds"
    SHORT_OF_CAPACITY = "short_of_capacity"


@dataclass(slots=True)
class InstanceOffer(Message):
    """One class of instances in a data centre, at its price."""

    data_centre: str
    instance_class: str
    reclaimable: bool
    price: float  # currency units an hour
    slots: int
    running: int = 0
    most: int = 1_000  # instances that the cloud is expected to provide
    refused_seconds_ago: float | None = None

    @property
    def slot_price(self) -> float:
        """Return the price of one slot, in currency units an hour."""
        return self.price / self.slots

    @property
    def limit(self) -> int:
        """Return the maximum number of instances that may be planned."""
        refused = self.refused_seconds_ago
        if refused is not None and refused < REFUSAL_RETRY_SECONDS:
            return min(self.running, self.most)
        return self.most


@dataclass(slots=True)
class CapacityPlanInputs:
    """Inputs of a capacity plan."""

    needed_slots: int  # to hold the latency target at the expected load
    offers: list[InstanceOffer]

    def to_message(self) -> dict:
        """Return a map for msgpack."""
        offers = [item.to_message() for item in self.offers]
        return {"needed_slots": self.needed_slots, "offers": offers}

    @classmethod
    def from_message(cls, message: dict) -> "CapacityPlanInputs":
        """Return the inputs that a map describes."""
        offers = [InstanceOffer.from_message(item) for item in message["offers"]]
        return cls(message["needed_slots"], offers)


@dataclass(slots=True)
class CapacityPlan:
    """Number of instances to run of each offer, in the order of the offers."""

    counts: list[int]
    price: float  # currency units an hour
    holds: bool

    @property
    def reason(self) -> CapacityPlanReason:
        """Return the reason code, which says whether the plan holds the target."""
        return (
            CapacityPlanReason.HOLDS
            if self.holds
            else CapacityPlanReason.SHORT_OF_CAPACITY
        )


def slots_after_loss(inputs: CapacityPlanInputs, counts: list[int]) -> int:
    """Return the slots that are left after the loss of the largest data centre."""
    by_data_centre: dict[str, int] = {}
    for offer, count in zip(inputs.offers, counts, strict=True):
        slots = by_data_centre.get(offer.data_centre, 0) + count * offer.slots
        by_data_centre[offer.data_centre] = slots
    return sum(by_data_centre.values()) - max(by_data_centre.values(), default=0)


def make_capacity_plan(inputs: CapacityPlanInputs) -> CapacityPlan:
    """Return the cheapest plan that keeps the needed slots if a data centre is lost.

    With at most ``cap`` slots in each data centre, ``needed + cap`` slots in total
    suffice. So for each cap the cheapest instances under it are selected, and the
    cheapest of these plans is returned. If none keeps the needed slots, the plan
    that keeps the most is returned.
    """
    step = max(min((item.slots for item in inputs.offers), default=1), 1)
    best: CapacityPlan | None = None
    best_rank: tuple | None = None
    for cap in range(step, inputs.needed_slots + 2 * step, step):
        counts = _select_cheapest(inputs, cap)
        slots_left = slots_after_loss(inputs, counts)
        price = sum(
            offer.price * count
            for offer, count in zip(inputs.offers, counts, strict=True)
        )
        rank = (-min(slots_left, inputs.needed_slots), price)
        if best_rank is None or rank < best_rank:
            best, best_rank = (
                CapacityPlan(counts, price, slots_left >= inputs.needed_slots),
                rank,
            )
    return best or CapacityPlan([0] * len(inputs.offers), 0.0, inputs.needed_slots <= 0)


def _select_cheapest(inputs: CapacityPlanInputs, cap: int) -> list[int]:
    """Return the number of instances of each offer, the cheapest offers first.

    Instances are added until enough slots are left after the loss of a data centre.
    No data centre gets more than ``cap`` slots. Of offers with the same price per
    slot, those with more running instances come first.
    """
    counts = [0] * len(inputs.offers)
    used: dict[str, int] = {}
    order = sorted(
        range(len(counts)),
        key=lambda index: (
            inputs.offers[index].slot_price,
            -inputs.offers[index].running,
            index,
        ),
    )
    for index in order:
        offer = inputs.offers[index]
        while (
            slots_after_loss(inputs, counts) < inputs.needed_slots
            and counts[index] < offer.limit
            and used.get(offer.data_centre, 0) + offer.slots <= cap
        ):
            counts[index] += 1
            used[offer.data_centre] = used.get(offer.data_centre, 0) + offer.slots
    return counts


@decision_function(DecisionKind.PLAN)
def replay_capacity_plan(inputs: dict) -> tuple[object, str]:
    """Repeat a recorded capacity plan."""
    plan = make_capacity_plan(CapacityPlanInputs.from_message(inputs))
    return plan.counts, str(plan.reason)


def decide_capacity_plan(
    inputs: CapacityPlanInputs, recorder: Recorder
) -> CapacityPlan:
    """Make a capacity plan and record it."""
    plan = make_capacity_plan(inputs)
    reason = str(plan.reason)
    kind = DecisionKind.PLAN
    recorder.record(Decision(kind, inputs.to_message(), plan.counts, reason))
    return plan
