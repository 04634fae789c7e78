"""Cost of the instances of a capacity plan over a day: ``python -m bench.cost``.

Prices, refusals, reclaims and the loss of one data centre for an hour are drawn from
a seed. Both arms plan enough slots for the load even if any one data centre is lost;
one may use reclaimable instances and the other may not.
"""

import argparse
import json
import math
import sys
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random

from bench.stats import summarize_ratios
from rattanwick.internal.routing.capacity_plan import (
    CapacityPlanInputs,
    InstanceOffer,
    make_capacity_plan,
)

RESULTS = Path(__file__).parent / "results"
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
STEP_SECONDS = 60.0
BOOT_STEPS = 2  # until a started instance serves
STEPS_PER_DAY = 1440
SLOTS_PER_INSTANCE = 8
ON_DEMAND_PRICE = 3.0
TARGET_UTILISATION = 0.75  # share of busy slots that still meets the latency target
PEAK_SLOTS = 40  # busy slots at the peak of the day
RECLAIMABLE_PRICE_SHARES = (0.3, 0.5)  # of the on-demand price, by data centre
REFUSAL_PROBABILITY = 0.1  # that a data centre refuses reclaimable starts for an hour
DATA_CENTRE_LOSS_STEPS = 60  # duration of the outage of the lost data centre
RECLAIM_PROBABILITY = 0.002  # of a data centre's reclaimable instances, in a step


@dataclass(slots=True)
class Market:
    """Prices, refusals and losses that are drawn from a seed."""

    rng: Random
    prices: dict[str, float]  # of a reclaimable instance per hour, by data centre
    lost_data_centre: str
    lost_from: int  # step
    # Data centres that currently refuse to start reclaimable instances.
    refusing: set[str] = field(default_factory=set)

    @classmethod
    def make(cls, seed: int) -> "Market":
        """Return the market that belongs to a seed."""
        rng = Random(seed)
        shares = {name: rng.uniform(*RECLAIMABLE_PRICE_SHARES) for name in DATA_CENTRES}
        prices = {name: ON_DEMAND_PRICE * share for name, share in shares.items()}
        lost_from = rng.randrange(
            STEPS_PER_DAY // 4, STEPS_PER_DAY - DATA_CENTRE_LOSS_STEPS
        )
        return cls(rng, prices, rng.choice(DATA_CENTRES), lost_from)

    def is_lost(self, name: str, step: int) -> bool:
        """Return whether a data centre is lost at a step."""
        in_outage = self.lost_from <= step < self.lost_from + DATA_CENTRE_LOSS_STEPS
        return in_outage and name == self.lost_data_centre

    def advance(self, step: int) -> set[str]:
        """Draw refusals each hour; return the data centres that reclaim now."""
        if step % 60 == 0:
            drawn = {
                name for name in DATA_CENTRES if self.rng.random() < REFUSAL_PROBABILITY
            }
            self.refusing = drawn
        return {
            name for name in DATA_CENTRES if self.rng.random() < RECLAIM_PROBABILITY
        }


@dataclass(slots=True)
class Fleet:
    """Instances of one arm; keys are (data centre, reclaimable)."""

    reclaimable_allowed: bool
    serving: dict[tuple[str, bool], int] = field(default_factory=dict)
    # (step from which the instance serves, key).
    starting: list[tuple[int, tuple[str, bool]]] = field(default_factory=list)
    unavailable_at: dict[tuple[str, bool], int] = field(default_factory=dict)  # step
    cost: float = 0.0
    # Steps with enough slots even without the largest data centre.
    steps_surviving_loss: int = 0
    steps_served: int = 0  # steps with enough slots

    def offer_keys(self) -> list[tuple[str, bool]]:
        """Return (data centre, reclaimable) of each offer."""
        kinds = (True, False) if self.reclaimable_allowed else (False,)
        return [(name, kind) for name in DATA_CENTRES for kind in kinds]

    def total(self, key: tuple[str, bool]) -> int:
        """Return the number of serving and starting instances."""
        starting = sum(1 for _, other in self.starting if other == key)
        return self.serving.get(key, 0) + starting


def run_step(fleet: Fleet, market: Market, reclaimed: set[str], step: int) -> None:
    """Apply losses, plan, start and stop instances, and add the cost of a step."""
    for key in fleet.offer_keys():
        lost = market.is_lost(key[0], step)
        if lost or (key[1] and key[0] in reclaimed):
            fleet.serving[key] = 0
            fleet.unavailable_at[key] = step
        if lost:
            fleet.starting = [item for item in fleet.starting if item[1] != key]
    ready = [item for item in fleet.starting if item[0] <= step]
    fleet.starting = [item for item in fleet.starting if item[0] > step]
    for _, key in ready:
        fleet.serving[key] = fleet.serving.get(key, 0) + 1
    needed_now = needed_slots(step)
    needed = max(needed_now, needed_slots(step + BOOT_STEPS))
    plan = make_capacity_plan(
        CapacityPlanInputs(needed, make_offers(fleet, market, step))
    )
    for key, wanted in zip(fleet.offer_keys(), plan.counts, strict=True):
        scale_to(fleet, market, key, wanted, step)
    add_cost(fleet, market)
    serving_slots = slots_by_data_centre(fleet)
    slots_after_loss = sum(serving_slots.values()) - max(
        serving_slots.values(), default=0
    )
    fleet.steps_surviving_loss += slots_after_loss >= needed_now
    fleet.steps_served += sum(serving_slots.values()) >= needed_now


def needed_slots(step: int) -> int:
    """Return the slots that the latency target needs at a step of the day."""
    daily = 0.6 - 0.4 * math.cos(2 * math.pi * step / STEPS_PER_DAY)
    return math.ceil(PEAK_SLOTS * daily / TARGET_UTILISATION)


def make_offers(fleet: Fleet, market: Market, step: int) -> list[InstanceOffer]:
    """Return the offers that the arm may use in its plan."""
    offers = []
    for key in fleet.offer_keys():
        name, reclaimable = key
        price = market.prices[name] if reclaimable else ON_DEMAND_PRICE
        unavailable_step = fleet.unavailable_at.get(key)
        refused_seconds_ago = (
            None
            if unavailable_step is None
            else (step - unavailable_step) * STEP_SECONDS
        )
        kind = "spot" if reclaimable else "on-demand"
        running = fleet.total(key)
        offers.append(
            InstanceOffer(
                name,
                kind,
                reclaimable,
                price,
                SLOTS_PER_INSTANCE,
                running,
                refused_seconds_ago=refused_seconds_ago,
            )
        )
    return offers


def scale_to(
    fleet: Fleet, market: Market, key: tuple[str, bool], wanted: int, step: int
) -> None:
    """Start or stop instances to reach ``wanted``.

    A refused start is recorded in ``unavailable_at``. Nothing is stopped while any
    instance of the fleet is starting.
    """
    present = fleet.total(key)
    if wanted > present and key[1] and key[0] in market.refusing:
        fleet.unavailable_at[key] = step
        return
    fleet.starting.extend((step + BOOT_STEPS, key) for _ in range(wanted - present))
    if wanted < present and not fleet.starting:
        fleet.serving[key] = max(fleet.serving.get(key, 0) - (present - wanted), 0)


def add_cost(fleet: Fleet, market: Market) -> None:
    """Add the cost of all instances for one step."""
    for key in fleet.offer_keys():
        price = market.prices[key[0]] if key[1] else ON_DEMAND_PRICE
        fleet.cost += fleet.total(key) * price * STEP_SECONDS / 3600


def slots_by_data_centre(fleet: Fleet) -> dict[str, int]:
    """Return the number of serving slots in each data centre."""
    slots = dict.fromkeys(DATA_CENTRES, 0)
    for key in fleet.offer_keys():
        slots[key[0]] += fleet.serving.get(key, 0) * SLOTS_PER_INSTANCE
    return slots


def run_arm(seed: int, reclaimable_allowed: bool) -> dict:
    """Run one arm over a day and return its figures.

    Steps before the day let the first instances boot; they are not counted.
    """
    market = Market.make(seed)
    fleet = Fleet(reclaimable_allowed)
    for step in range(BOOT_STEPS * 2):
        run_step(fleet, market, set(), step)
    fleet = replace(fleet, cost=0.0, steps_surviving_loss=0, steps_served=0)
    for step in range(STEPS_PER_DAY):
        run_step(fleet, market, market.advance(step), step)
    return {
        "cost": round(fleet.cost, 2),
        "share_of_time_held_through_a_loss": round(
            fleet.steps_surviving_loss / STEPS_PER_DAY, 4
        ),
        "share_of_time_served": round(fleet.steps_served / STEPS_PER_DAY, 4),
    }


def main() -> int:
    """Run pairs of arms, print them and write the results."""
    parser = argparse.ArgumentParser(prog="python -m bench.cost")
    parser.add_argument("--pairs", type=int, default=9)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--name", default="cost")
    options = parser.parse_args()
    pairs = []
    for seed in range(options.seed, options.seed + options.pairs):
        mixed, on_demand = run_arm(seed, True), run_arm(seed, False)
        pairs.append({"seed": seed, "mixed": mixed, "on_demand": on_demand})
        print(f"seed {seed} mixed {mixed} on demand {on_demand}")
    ratios = summarize_ratios(
        [pair["mixed"]["cost"] / pair["on_demand"]["cost"] for pair in pairs]
    )
    print(f"cost ratio, mixed / on demand only: {ratios}")
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{options.name}.json"
    content = {"ratios": ratios, "pairs": pairs}
    path.write_text(json.dumps(content, indent=1) + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
