"""Cost of the instances that a plan holds, over a day: ``python -m bench.cost``.

Prices, refusals, reclaims and the loss of one data centre for an hour come from
a seeded trace. Both arms plan for the slots that the load needs through the loss
of any one data centre; one may use reclaimable instances and one may not.
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
START_STEPS = 2  # steps until a started instance serves
DAY_STEPS = 1440
SLOTS = 8
ON_DEMAND_PRICE = 3.0
UTILISATION = 0.75  # load at which the wait bench holds its target
PEAK_SLOTS = 40
RECLAIMABLE_PRICE_SHARES = (0.3, 0.5)  # of the on-demand price, by data centre
REFUSAL_CHANCE = 0.1  # of a data centre's reclaimable starts in an hour
LOSS_STEPS = 60  # time that the lost data centre is away
WAVE_CHANCE = 0.002  # of a reclaim of a data centre's reclaimable ones in a step


@dataclass(slots=True)
class Market:
    """Hold the state of a seeded market."""

    rng: Random
    prices: dict[str, float]
    lost_centre: str
    lost_from: int  # step
    refusing: set[str] = field(default_factory=set)

    @classmethod
    def make(cls, seed: int) -> "Market":
        """Return a market."""
        rng = Random(seed)
        shares = {name: rng.uniform(*RECLAIMABLE_PRICE_SHARES) for name in DATA_CENTRES}
        prices = {name: ON_DEMAND_PRICE * share for name, share in shares.items()}
        lost_from = rng.randrange(DAY_STEPS // 4, DAY_STEPS - LOSS_STEPS)
        return cls(rng, prices, rng.choice(DATA_CENTRES), lost_from)

    def is_lost(self, name: str, step: int) -> bool:
        """Tell whether a data centre is away."""
        away = self.lost_from <= step < self.lost_from + LOSS_STEPS
        return away and name == self.lost_centre

    def advance(self, step: int) -> set[str]:
        """Draw refusals each hour; return the data centres that reclaim now."""
        if step % 60 == 0:
            drawn = {
                name for name in DATA_CENTRES if self.rng.random() < REFUSAL_CHANCE
            }
            self.refusing = drawn
        return {name for name in DATA_CENTRES if self.rng.random() < WAVE_CHANCE}


@dataclass(slots=True)
class Fleet:
    """Hold the instances of one arm."""

    reclaimable_allowed: bool
    serving: dict[tuple[str, bool], int] = field(default_factory=dict)
    starting: list[tuple[int, tuple[str, bool]]] = field(default_factory=list)
    refused_at: dict[tuple[str, bool], int] = field(default_factory=dict)
    cost: float = 0.0
    steps_held: int = 0
    steps_served: int = 0

    def offer_keys(self) -> list[tuple[str, bool]]:
        """Return (data centre, reclaimable) of each offer."""
        kinds = (True, False) if self.reclaimable_allowed else (False,)
        return [(name, kind) for name in DATA_CENTRES for kind in kinds]

    def total(self, key: tuple[str, bool]) -> int:
        """Return serving and starting instances."""
        coming = sum(1 for _, other in self.starting if other == key)
        return self.serving.get(key, 0) + coming


def run_step(fleet: Fleet, market: Market, reclaimed: set[str], step: int) -> None:
    """Plan, start, stop and pay for one step."""
    for key in fleet.offer_keys():
        lost = market.is_lost(key[0], step)
        if lost or (key[1] and key[0] in reclaimed):
            fleet.serving[key] = 0
            fleet.refused_at[key] = step
        if lost:
            fleet.starting = [item for item in fleet.starting if item[1] != key]
    ready = [item for item in fleet.starting if item[0] <= step]
    fleet.starting = [item for item in fleet.starting if item[0] > step]
    for _, key in ready:
        fleet.serving[key] = fleet.serving.get(key, 0) + 1
    needed_now = needed_slots(step)
    needed = max(needed_now, needed_slots(step + START_STEPS))
    plan = make_capacity_plan(
        CapacityPlanInputs(needed, make_offers(fleet, market, step))
    )
    for key, wanted in zip(fleet.offer_keys(), plan.counts, strict=True):
        move_to(fleet, market, key, wanted, step)
    pay(fleet, market)
    by_centre = slots_by_centre(fleet)
    left = sum(by_centre.values()) - max(by_centre.values(), default=0)
    fleet.steps_held += left >= needed_now
    fleet.steps_served += sum(by_centre.values()) >= needed_now


def needed_slots(step: int) -> int:
    """Return the slots that hold the latency target at a time of day."""
    daily = 0.6 - 0.4 * math.cos(2 * math.pi * step / DAY_STEPS)
    return math.ceil(PEAK_SLOTS * daily / UTILISATION)


def make_offers(fleet: Fleet, market: Market, step: int) -> list[InstanceOffer]:
    """Return the offers that the arm may plan with."""
    offers = []
    for key in fleet.offer_keys():
        name, reclaimable = key
        price = market.prices[name] if reclaimable else ON_DEMAND_PRICE
        refused = fleet.refused_at.get(key)
        ago = None if refused is None else (step - refused) * STEP_SECONDS
        kind = "spot" if reclaimable else "on-demand"
        running = fleet.total(key)
        offers.append(
            InstanceOffer(
                name, kind, reclaimable, price, SLOTS, running, refused_seconds_ago=ago
            )
        )
    return offers


def move_to(
    fleet: Fleet, market: Market, key: tuple[str, bool], wanted: int, step: int
) -> None:
    """Start or stop instances; a refused start is noted."""
    have = fleet.total(key)
    if wanted > have and key[1] and key[0] in market.refusing:
        fleet.refused_at[key] = step
        return
    fleet.starting.extend((step + START_STEPS, key) for _ in range(wanted - have))
    if wanted < have and not fleet.starting:
        fleet.serving[key] = max(fleet.serving.get(key, 0) - (have - wanted), 0)


def pay(fleet: Fleet, market: Market) -> None:
    """Add the cost of a step."""
    for key in fleet.offer_keys():
        price = market.prices[key[0]] if key[1] else ON_DEMAND_PRICE
        fleet.cost += fleet.total(key) * price * STEP_SECONDS / 3600


def slots_by_centre(fleet: Fleet) -> dict[str, int]:
    """Return the serving slots of each data centre."""
    slots = dict.fromkeys(DATA_CENTRES, 0)
    for key in fleet.offer_keys():
        slots[key[0]] += fleet.serving.get(key, 0) * SLOTS
    return slots


def run_arm(seed: int, reclaimable_allowed: bool) -> dict:
    """Run one arm over a day."""
    market = Market.make(seed)
    fleet = Fleet(reclaimable_allowed)
    for step in range(START_STEPS * 2):
        run_step(fleet, market, set(), step)
    fleet = replace(fleet, cost=0.0, steps_held=0, steps_served=0)
    for step in range(DAY_STEPS):
        run_step(fleet, market, market.advance(step), step)
    return {
        "cost": round(fleet.cost, 2),
        "share_of_time_held_through_a_loss": round(fleet.steps_held / DAY_STEPS, 4),
        "share_of_time_served": round(fleet.steps_served / DAY_STEPS, 4),
    }


def main() -> int:
    """Run pairs of arms and store the results."""
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
    print(f"cost, mixed over on demand only: {ratios}")
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{options.name}.json"
    content = {"ratios": ratios, "pairs": pairs}
    path.write_text(json.dumps(content, indent=1) + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
