"""Play the plan of endpoints on drawn deployments: ``python -m bench.capacity_lab``.

The orders of a gateway node run as they are, in virtual time and without network,
against a market that boots, reclaims and declines, under a load with waves and
bursts. Every figure of a deployment is drawn by its seed within the ranges below.
Beside the plan stand a fixed fleet and an oracle that knows the day.
"""

import argparse
import json
import sys
from abc import ABC, abstractmethod
from dataclasses import asdict, dataclass, field
from math import ceil, sin, tau
from random import Random
from statistics import mean

from fakes.gateway_settings import make_settings
from rattanwick.internal.base.errors import Conflict
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway import autoscaler, capacity
from rattanwick.internal.gateway.autoscaler import Autoscaler
from rattanwick.internal.gateway.interfaces import Cloud, EndpointOrder, StoredRow
from rattanwick.internal.gateway.model import (
    CallerLimits,
    Configuration,
    EngineSpec,
    ScalingSpec,
    Service,
)
from rattanwick.internal.gateway.node_state import make_node_state
from rattanwick.internal.gateway.prefill import PrefillModel
from rattanwick.platform.codec import PlatformCodec

SERVICE = "engine"
CENTRES = ("a", "b", "c")
STEP_SECONDS = 0.1
DUTY_SECONDS = 0.5  # between steps of the orders, as in a node
LEAD_SECONDS = 10.0  # before the first request
NOTICE_SECONDS = 2.0  # of a reclaim
# Share of an engine's speed at which requests still begin within their objective.
ORACLE_UTILISATION = 0.9
CALLER_LIMITS = CallerLimits(1, 1, 1.0, 1.0)
# First events that the nodes saw before the day: the speed of engines is known.
FIRST_EVENT_SECONDS = 0.02  # beside the prompt
LEARNED_SIZES = (500, 4_000, 16_000)  # prompt tokens
LEARNED_EVENTS = 200
PROMPT_TOKENS = 4_000  # of a usual prompt


@dataclass(slots=True, frozen=True)
class Ranges:
    """Bound what a deployment is drawn from."""

    rate: tuple[float, float] = (20_000.0, 80_000.0)  # prompt tokens a second
    engines: tuple[float, float] = (2.0, 9.0)  # that the mean load keeps busy
    price: tuple[float, float] = (0.1, 0.9)  # of reclaimable ones, of the full price
    boot: tuple[float, float] = (2.0, 8.0)  # seconds
    reclaims: tuple[int, int] = (0, 5)
    dry: tuple[float, float] = (1.0, 20.0)  # seconds without any to be had
    burst: tuple[float, float] = (1.0, 2.5)  # times the usual load
    objective: tuple[float, float] = (0.4, 2.0)  # seconds
    # Of callers' worth in a second at the mean load, the price of one engine.
    engine_share: tuple[float, float] = (0.01, 0.05)


@dataclass(slots=True, frozen=True)
class Reclaim:
    """State that a data centre's reclaimable endpoints are taken away."""

    at: float
    centre: str
    dry: float


@dataclass(slots=True, frozen=True)
class SimulationCase:
    """Hold one drawn deployment and what happens on it."""

    seed: int
    seconds: float
    rate: float
    load: float  # mean prompt tokens a second
    price: float
    boot: float
    objective: float
    engine_share: float
    most: int
    reclaims: tuple[Reclaim, ...]
    bursts: tuple[tuple[float, float, float], ...]  # start, end, factor

    def load_at(self, now: float) -> float:
        """Return prompt tokens a second."""
        if now < 0:
            return 0.0
        factor = 1.0 + 0.3 * sin(tau * now / 40.0)
        for start, end, burst in self.bursts:
            if start <= now < end:
                factor *= burst
        return self.load * factor


def draw_case(seed: int, ranges: Ranges, seconds: float) -> SimulationCase:
    """Return the deployment and day of a seed."""
    rng = Random(seed)
    rate = rng.uniform(*ranges.rate)
    engines = rng.uniform(*ranges.engines)
    at = sorted(rng.uniform(2.0, seconds) for _ in range(rng.randint(*ranges.reclaims)))
    starts = [rng.uniform(2.0, seconds - 8.0) for _ in range(2)]
    return SimulationCase(
        seed=seed,
        seconds=seconds,
        rate=rate,
        load=engines * rate,
        price=rng.uniform(*ranges.price),
        boot=rng.uniform(*ranges.boot),
        objective=rng.uniform(*ranges.objective),
        engine_share=rng.uniform(*ranges.engine_share),
        most=max(4, ceil(engines)),
        reclaims=tuple(
            Reclaim(moment, rng.choice(CENTRES), rng.uniform(*ranges.dry))
            for moment in at
        ),
        bursts=tuple(
            (start, start + rng.uniform(3.0, 7.0), rng.uniform(*ranges.burst))
            for start in starts
        ),
    )


@dataclass(slots=True)
class Engine:
    """Hold one engine of the played deployment."""

    id: str
    centre: str
    reclaimable: bool
    serves_from: float
    leaves_at: float | None = None


@dataclass(slots=True)
class Result:
    """Hold what a day came to."""

    cost: float = 0.0  # engine-seconds at the full price
    offered: float = 0.0  # prompt tokens
    late: float = 0.0  # of them, that waited for longer than the objective
    orders: int = 0

    def worth(self, day: SimulationCase) -> float:
        """Return the share of tokens in time less the price of the engines."""
        price = day.engine_share * self.cost / day.seconds
        return 1.0 - self.late / self.offered - price


class SimulatedCloud(Cloud):
    """Carry orders out: boot, reclaim, decline."""

    def __init__(self, day: SimulationCase, timers: ManualTimerService):
        self._day = day
        self._timers = timers
        self._count = 0
        self._dry_until = 0.0
        self.engines: list[Engine] = []
        self.taken = 0
        for centre in CENTRES:
            self._grow(centre, False, day.most, booted=True)

    def report_usage(self, holder, fence, window, counts) -> None:
        """Take no reports."""

    def order(self, holder: str, fence: int, order: EndpointOrder) -> None:
        """Carry an order out; raise Conflict where there are none to be had."""
        self.taken += 1
        present = self.staying(order.data_centre, order.reclaimable)
        grown = order.count - len(present)
        if grown > 0 and order.reclaimable and self._timers.now() < self._dry_until:
            raise Conflict("order endpoints", "cloud", "none of that kind is to be had")
        both = len(self.staying(order.data_centre)) + grown
        self._grow(
            order.data_centre, order.reclaimable, grown - max(both - self._day.most, 0)
        )
        for engine in present[: max(-grown, 0)]:
            engine.leaves_at = self._timers.now() + NOTICE_SECONDS

    def staying(self, centre: str, reclaimable: bool | None = None) -> list[Engine]:
        """Return the engines that are not leaving."""
        return [
            engine
            for engine in self.engines
            if engine.centre == centre
            and engine.leaves_at is None
            and reclaimable in (None, engine.reclaimable)
        ]

    def reclaim(self, reclaim: Reclaim) -> None:
        """Take the reclaimable engines of a data centre away."""
        now = self._timers.now()
        self._dry_until = max(self._dry_until, now + reclaim.dry)
        for engine in self.staying(reclaim.centre, True):
            engine.leaves_at = now + NOTICE_SECONDS

    def serving(self) -> list[Engine]:
        """Return the engines that take requests; those that have left are dropped."""
        now = self._timers.now()
        self.engines = [
            engine
            for engine in self.engines
            if engine.leaves_at is None or now < engine.leaves_at
        ]
        return [engine for engine in self.listed() if engine.leaves_at is None]

    def listed(self) -> list[Engine]:
        """Return the engines that have an entry: they serve, or they leave."""
        now = self._timers.now()
        return [
            engine
            for engine in self.engines
            if engine.leaves_at is not None or now >= engine.serves_from
        ]

    def price(self) -> float:
        """Return the price of all engines in a second."""
        return sum(
            self._day.price if engine.reclaimable else 1.0 for engine in self.engines
        )

    def _grow(
        self, centre: str, reclaimable: bool, count: int, booted: bool = False
    ) -> None:
        boot = 0.0 if booted else self._day.boot
        for _ in range(count):
            self._count += 1
            engine = Engine(
                f"i-{self._count}", centre, reclaimable, self._timers.now() + boot
            )
            self.engines.append(engine)


class AlwaysHolder:
    """Hold the duties all the time."""

    is_leader = True

    def confirm(self) -> int:
        """Return the fence."""
        return 1

    def advance_fence(self) -> int:
        """Return the fence; no other node acts."""
        return 1

    def step_down(self, reason: str) -> None:
        """Keep the duties."""


class Policy(ABC):
    """Order endpoints in one way."""

    def __init__(
        self, day: SimulationCase, market: SimulatedCloud, timers: ManualTimerService
    ):
        self._day, self._market, self._timers = day, market, timers
        self._began = timers.now() + LEAD_SECONDS  # of the first request

    @abstractmethod
    def step(self, read_tokens: float) -> None:
        """Act, after so many prompt tokens were sent since the start."""


class FixedFleet(Policy):
    """Leave the fleet as it was at the start."""

    def step(self, read_tokens: float) -> None:
        """Order nothing."""


class GatewayPolicy(Policy):
    """Order as a node does."""

    def __init__(
        self, day: SimulationCase, market: SimulatedCloud, timers: ManualTimerService
    ):
        super().__init__(day, market, timers)
        settings = make_settings()
        self._state = make_node_state(settings, timers, PlatformCodec())
        scaling = ScalingSpec(1, day.most, day.price, dict.fromkeys(CENTRES, 1.0))
        service = Service(SERVICE, 1, EngineSpec(64, 400_000), scaling)
        self._state.configuration = Configuration(
            1, (), {SERVICE: service}, (), CALLER_LIMITS
        )
        speed = PrefillModel(day.rate, FIRST_EVENT_SECONDS)
        for _ in range(LEARNED_EVENTS):
            for tokens in LEARNED_SIZES:
                self._state.prefill_estimator.observe(
                    SERVICE, tokens, speed.seconds(tokens)
                )
            self._state.utilisation_targets.note(
                SERVICE, PROMPT_TOKENS, PROMPT_TOKENS / day.rate, day.objective
            )
        self._orders = Autoscaler(
            self._state, market, AlwaysHolder(), lambda service: 0
        )
        self._listed: dict[str, bytes] = {}
        self._version = 0

    def step(self, read_tokens: float) -> None:
        """Show the entries and the load to the orders."""
        entries = {
            engine.id: json.dumps(
                {
                    "service": SERVICE,
                    "address": "127.0.0.1:1",
                    "zone": engine.centre,
                    "slots": 64,
                    "state": "ready" if engine.leaves_at is None else "draining",
                    "spot": engine.reclaimable,
                }
            ).encode()
            for engine in self._market.listed()
        }
        changed = {
            key
            for key in entries.keys() | self._listed.keys()
            if entries.get(key) != self._listed.get(key)
        }
        self._version += 1
        rows = {key: StoredRow(key, val, self._version) for key, val in entries.items()}
        self._state.endpoints.apply(rows, changed, None)
        self._listed = entries
        self._state.prompt_tokens[SERVICE] = round(read_tokens)
        self._orders.step()


class OraclePolicy(Policy):
    """Have what the load needs a boot later, reclaimable where it will last."""

    def step(self, read_tokens: float) -> None:
        """Order by what is to come."""
        day, now = self._day, self._timers.now() - self._began
        ahead = [now + STEP_SECONDS * n for n in range(int(day.boot / STEP_SECONDS))]
        load = max(map(day.load_at, [*ahead, now + day.boot]))
        needed = max(ceil(load / (day.rate * ORACLE_UTILISATION)), 1)
        horizon = now + 2 * day.boot + NOTICE_SECONDS
        for index, centre in enumerate(CENTRES):
            share = needed // len(CENTRES) + (index < needed % len(CENTRES))
            doomed = any(
                now <= item.at < horizon and item.centre == centre
                for item in day.reclaims
            )
            cheap = 0 if doomed else min(share, day.most)
            try:
                self._market.order("o", 1, EndpointOrder(SERVICE, centre, cheap, True))
            except Conflict:
                cheap = len(self._market.staying(centre, True))
            full = min(share - cheap, day.most - cheap)
            self._market.order("o", 1, EndpointOrder(SERVICE, centre, full, False))


POLICIES = {"plan": GatewayPolicy, "fixed": FixedFleet, "oracle": OraclePolicy}


@dataclass(slots=True)
class Simulation:
    """Play one day under one policy."""

    day: SimulationCase
    result: Result = field(default_factory=Result)

    def run(self, policy: type[Policy]) -> Result:
        """Return what the day came to."""
        day, result = self.day, self.result
        timers = ManualTimerService()
        began = timers.now() + LEAD_SECONDS
        market = SimulatedCloud(day, timers)
        orders = policy(day, market, timers)
        reclaims = list(day.reclaims)
        backlog, steps = 0.0, 0
        while (now := timers.now() - began) < day.seconds:
            while reclaims and reclaims[0].at <= now:
                market.reclaim(reclaims.pop(0))
            speed = len(market.serving()) * day.rate
            arrived = day.load_at(now) * STEP_SECONDS
            backlog = max(backlog + arrived - speed * STEP_SECONDS, 0.0)
            if now >= 0:
                result.offered += arrived
                result.cost += market.price() * STEP_SECONDS
                # Callers whose prompt cannot be begun in time are not kept waiting.
                if backlog > speed * day.objective:
                    result.late += backlog - speed * day.objective
                    backlog = speed * day.objective
            if steps % round(DUTY_SECONDS / STEP_SECONDS) == 0:
                orders.step(result.offered)
            steps += 1
            timers.advance(STEP_SECONDS)
        result.orders = market.taken
        return result


def set_constants(settings: list[str]) -> None:
    """Set constants of plan and orders, each as NAME=VALUE, wherever they are used."""
    for setting in settings:
        name, _, value = setting.partition("=")
        users = [part for part in (capacity, autoscaler) if hasattr(part, name)]
        if not users:
            sys.exit(f"--set {name}: no such constant of the plan or the orders")
        for part in users:
            setattr(part, name, float(value))


def main() -> int:
    """Play the days of the seeds under each policy and print the figures."""
    parser = argparse.ArgumentParser(prog="python -m bench.capacity_lab")
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seconds", type=float, default=55.0)
    parser.add_argument("--set", action="append", default=[], metavar="NAME=VALUE")
    parser.add_argument("--price", type=float, help="of all reclaimable engines")
    parser.add_argument("--days", action="store_true", help="a line for each day")
    args = parser.parse_args()
    set_constants(args.set)
    ranges = Ranges()
    if args.price is not None:
        ranges = Ranges(price=(args.price, args.price))
    figures: dict[str, list[tuple[SimulationCase, Result]]] = {
        name: [] for name in POLICIES
    }
    for seed in range(args.first, args.first + args.seeds):
        day = draw_case(seed, ranges, args.seconds)
        for name, policy in POLICIES.items():
            result = Simulation(day).run(policy)
            figures[name].append((day, result))
            if args.days:
                print(json.dumps({"policy": name, "seed": seed, **asdict(result)}))
    for name, played in figures.items():
        cost = mean(r.cost / d.seconds for d, r in played)
        late = mean(r.late / r.offered for _, r in played)
        worth = mean(r.worth(d) for d, r in played)
        orders = mean(r.orders for _, r in played)
        print(
            f"{name:7} worth {worth:.4f}  engines at full price {cost:.2f}  "
            f"late {late:.4f}  orders {orders:.0f}"
        )
    better = sum(
        a.worth(d) > b.worth(d)
        for (d, a), (_, b) in zip(figures["plan"], figures["fixed"], strict=True)
    )
    print(f"plan above fixed fleet on {better} of {args.seeds} deployments")
    return 0


if __name__ == "__main__":
    sys.exit(main())
