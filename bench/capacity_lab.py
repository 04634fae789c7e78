"""Simulate the autoscaler on random deployments: ``python -m bench.capacity_lab``.

The autoscaler of a gateway node runs unchanged, in virtual time and without a
network, against a simulated cloud that boots engines, reclaims them and declines
orders. The load has waves and bursts. Every figure of a deployment is drawn from its
seed within the ranges below. The results are compared with those of a fixed fleet
and of an oracle that knows the load and the reclaims in advance.
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
from rattanwick.internal.gateway.interfaces import (
    NO_VERSION,
    Cloud,
    EndpointOrder,
    StoredRow,
    Version,
)
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
DATA_CENTRES = ("a", "b", "c")
STEP_SECONDS = 0.1
AUTOSCALER_INTERVAL_SECONDS = 0.5  # as in a gateway node
LEAD_IN_SECONDS = 10.0  # before the first request
RECLAIM_NOTICE_SECONDS = 2.0  # from the notice until the engine is gone
# Share of an engine's speed up to which requests still start within their objective.
ORACLE_UTILISATION = 0.9
CALLER_LIMITS = CallerLimits(1, 1, 1.0, 1.0)
# Times to the first event that the node has observed before the simulation starts, so
# that it knows the speed of the engines.
PREFILL_START_SECONDS = 0.02  # in addition to reading the prompt
OBSERVED_PROMPT_TOKENS = (500, 4_000, 16_000)
OBSERVATIONS_PER_SIZE = 200
USUAL_PROMPT_TOKENS = 4_000


@dataclass(slots=True, frozen=True)
class CaseRanges:
    """Ranges that the figures of a case are drawn from."""

    engine_rate: tuple[float, float] = (20_000.0, 80_000.0)  # prompt tokens per second
    engines: tuple[float, float] = (2.0, 9.0)  # kept busy by the mean load
    # Price of a reclaimable engine; 1 is the full price.
    price: tuple[float, float] = (0.1, 0.9)
    boot_seconds: tuple[float, float] = (2.0, 8.0)
    reclaims: tuple[int, int] = (0, 5)
    # Time after a reclaim for which orders of reclaimable engines are declined.
    shortage_seconds: tuple[float, float] = (1.0, 20.0)
    burst: tuple[float, float] = (1.0, 2.5)  # factor on the load
    objective_seconds: tuple[float, float] = (0.4, 2.0)
    # Price of one engine at the full price, as a share of what serving the mean load is
    # worth in the same time.
    engine_price_share: tuple[float, float] = (0.01, 0.05)


@dataclass(slots=True, frozen=True)
class Reclaim:
    """The reclaim of all reclaimable engines of a data centre."""

    at: float  # seconds from the first request
    data_centre: str
    shortage_seconds: float


@dataclass(slots=True, frozen=True)
class SimulationCase:
    """One random deployment with its load and its reclaims."""

    seed: int
    seconds: float
    engine_rate: float  # prompt tokens per second of one engine
    mean_load: float  # prompt tokens per second
    price: float  # of a reclaimable engine; 1 is the full price
    boot_seconds: float
    objective_seconds: float
    engine_price_share: float
    max_engines: int  # in a data centre
    reclaims: tuple[Reclaim, ...]
    bursts: tuple[tuple[float, float, float], ...]  # start, end, load factor

    def load_at(self, now: float) -> float:
        """Return the load in prompt tokens per second; 0 before the first request."""
        if now < 0:
            return 0.0
        factor = 1.0 + 0.3 * sin(tau * now / 40.0)
        for start, end, burst in self.bursts:
            if start <= now < end:
                factor *= burst
        return self.mean_load * factor


def draw_case(seed: int, ranges: CaseRanges, seconds: float) -> SimulationCase:
    """Return the case that belongs to a seed."""
    rng = Random(seed)
    rate = rng.uniform(*ranges.engine_rate)
    engines = rng.uniform(*ranges.engines)
    at = sorted(rng.uniform(2.0, seconds) for _ in range(rng.randint(*ranges.reclaims)))
    starts = [rng.uniform(2.0, seconds - 8.0) for _ in range(2)]
    return SimulationCase(
        seed=seed,
        seconds=seconds,
        engine_rate=rate,
        mean_load=engines * rate,
        price=rng.uniform(*ranges.price),
        boot_seconds=rng.uniform(*ranges.boot_seconds),
        objective_seconds=rng.uniform(*ranges.objective_seconds),
        engine_price_share=rng.uniform(*ranges.engine_price_share),
        max_engines=max(4, ceil(engines)),
        reclaims=tuple(
            Reclaim(
                moment, rng.choice(DATA_CENTRES), rng.uniform(*ranges.shortage_seconds)
            )
            for moment in at
        ),
        bursts=tuple(
            (start, start + rng.uniform(3.0, 7.0), rng.uniform(*ranges.burst))
            for start in starts
        ),
    )


@dataclass(slots=True)
class Engine:
    """One engine of the simulated deployment; times are those of the timers."""

    id: str
    data_centre: str
    reclaimable: bool
    serves_from: float
    leaves_at: float | None = None  # None while it is not leaving


@dataclass(slots=True)
class Result:
    """Totals of one simulation."""

    cost: float = 0.0  # engine-seconds at the full price
    offered: float = 0.0  # prompt tokens that arrived
    late: float = 0.0  # prompt tokens that would have waited beyond the objective
    orders: int = 0

    def worth(self, case: SimulationCase) -> float:
        """Return the share of tokens served in time, less the price of the engines."""
        price = case.engine_price_share * self.cost / case.seconds
        return 1.0 - self.late / self.offered - price


class SimulatedCloud(Cloud):
    """Cloud in memory that boots engines, reclaims them and declines orders."""

    def __init__(self, case: SimulationCase, timers: ManualTimerService):
        self._case = case
        self._timers = timers
        self._count = 0
        self._shortage_until = 0.0
        self.engines: list[Engine] = []
        self.orders_received = 0
        for data_centre in DATA_CENTRES:
            self._add_engines(data_centre, False, case.max_engines, booted=True)

    def report_usage(self, holder, fence, window, counts) -> None:
        """Ignore the report."""

    def order(self, holder: str, fence: int, order: EndpointOrder) -> None:
        """Bring the number of engines to the ordered count.

        Raise Conflict if reclaimable engines are ordered during a shortage. Engines
        beyond ``max_engines`` in a data centre are not started.
        """
        self.orders_received += 1
        present = self.remaining(order.data_centre, order.reclaimable)
        grown = order.count - len(present)
        if (
            grown > 0
            and order.reclaimable
            and self._timers.now() < self._shortage_until
        ):
            raise Conflict("order endpoints", "cloud", "no capacity of that class")
        total = len(self.remaining(order.data_centre)) + grown
        self._add_engines(
            order.data_centre,
            order.reclaimable,
            grown - max(total - self._case.max_engines, 0),
        )
        for engine in present[: max(-grown, 0)]:
            engine.leaves_at = self._timers.now() + RECLAIM_NOTICE_SECONDS

    def remaining(
        self, data_centre: str, reclaimable: bool | None = None
    ) -> list[Engine]:
        """Return the engines of a data centre that are not leaving, booted or not."""
        return [
            engine
            for engine in self.engines
            if engine.data_centre == data_centre
            and engine.leaves_at is None
            and reclaimable in (None, engine.reclaimable)
        ]

    def reclaim(self, reclaim: Reclaim) -> None:
        """Give notice to the reclaimable engines of a data centre."""
        now = self._timers.now()
        self._shortage_until = max(self._shortage_until, now + reclaim.shortage_seconds)
        for engine in self.remaining(reclaim.data_centre, True):
            engine.leaves_at = now + RECLAIM_NOTICE_SECONDS

    def serving(self) -> list[Engine]:
        """Return the engines that take requests; forget those that have left."""
        now = self._timers.now()
        self.engines = [
            engine
            for engine in self.engines
            if engine.leaves_at is None or now < engine.leaves_at
        ]
        return [engine for engine in self.listed() if engine.leaves_at is None]

    def listed(self) -> list[Engine]:
        """Return the engines in the endpoint table: those that serve or are leaving."""
        now = self._timers.now()
        return [
            engine
            for engine in self.engines
            if engine.leaves_at is not None or now >= engine.serves_from
        ]

    def price(self) -> float:
        """Return the price of all engines per second; 1 is one at the full price."""
        return sum(
            self._case.price if engine.reclaimable else 1.0 for engine in self.engines
        )

    def _add_engines(
        self, data_centre: str, reclaimable: bool, count: int, booted: bool = False
    ) -> None:
        boot_seconds = 0.0 if booted else self._case.boot_seconds
        for _ in range(count):
            self._count += 1
            engine = Engine(
                f"i-{self._count}",
                data_centre,
                reclaimable,
                self._timers.now() + boot_seconds,
            )
            self.engines.append(engine)


class StaticLeadership:
    """Leadership of a node that is always the leader."""

    is_leader = True

    def confirm(self) -> int:
        """Return the fence, which never changes."""
        return 1

    def advance_fence(self) -> int:
        """Return the fence; no other node competes for it."""
        return 1

    def step_down(self, reason: str) -> None:
        """Remain the leader."""


class Policy(ABC):
    """A way of ordering engines during a simulation."""

    def __init__(
        self, case: SimulationCase, cloud: SimulatedCloud, timers: ManualTimerService
    ):
        self._case, self._cloud, self._timers = case, cloud, timers
        self._load_start = timers.now() + LEAD_IN_SECONDS

    @abstractmethod
    def step(self, read_tokens: float) -> None:
        """Place orders; ``read_tokens`` is the number of prompt tokens so far."""


class FixedFleet(Policy):
    """Policy that leaves the fleet as it was at the start."""

    def step(self, read_tokens: float) -> None:
        """Place no orders."""


class GatewayPolicy(Policy):
    """Policy that runs the autoscaler of a gateway node."""

    def __init__(
        self, case: SimulationCase, cloud: SimulatedCloud, timers: ManualTimerService
    ):
        super().__init__(case, cloud, timers)
        settings = make_settings()
        self._state = make_node_state(settings, timers, PlatformCodec())
        scaling = ScalingSpec(
            1, case.max_engines, case.price, dict.fromkeys(DATA_CENTRES, 1.0)
        )
        service = Service(SERVICE, 1, EngineSpec(64, 400_000), scaling)
        self._state.configuration = Configuration(
            1, (), {SERVICE: service}, (), CALLER_LIMITS
        )
        speed = PrefillModel(case.engine_rate, PREFILL_START_SECONDS)
        for _ in range(OBSERVATIONS_PER_SIZE):
            for tokens in OBSERVED_PROMPT_TOKENS:
                self._state.prefill_estimator.observe(
                    SERVICE, tokens, speed.seconds(tokens)
                )
            self._state.utilisation_targets.note(
                SERVICE,
                USUAL_PROMPT_TOKENS,
                USUAL_PROMPT_TOKENS / case.engine_rate,
                case.objective_seconds,
            )
        self._autoscaler = Autoscaler(
            self._state, cloud, StaticLeadership(), lambda service: 0
        )
        self._previous_entries: dict[str, bytes] = {}
        self._version = NO_VERSION

    def step(self, read_tokens: float) -> None:
        """Give the engines and the load to the node state and run the autoscaler."""
        entries = {
            engine.id: json.dumps(
                {
                    "service": SERVICE,
                    "address": "127.0.0.1:1",
                    "zone": engine.data_centre,
                    "slots": 64,
                    "state": "ready" if engine.leaves_at is None else "draining",
                    "spot": engine.reclaimable,
                }
            ).encode()
            for engine in self._cloud.listed()
        }
        changed = {
            key
            for key in entries.keys() | self._previous_entries.keys()
            if entries.get(key) != self._previous_entries.get(key)
        }
        self._version = Version(0, self._version.number + 1)
        rows = {key: StoredRow(key, val, self._version) for key, val in entries.items()}
        self._state.endpoints.apply(rows, changed, None)
        self._previous_entries = entries
        self._state.prompt_tokens[SERVICE] = round(read_tokens)
        self._autoscaler.step()


class OraclePolicy(Policy):
    """Policy that knows the load and the reclaims in advance.

    It orders what the load needs within one boot time, and reclaimable engines only if
    no reclaim of their data centre is near.
    """

    def step(self, read_tokens: float) -> None:
        """Place the orders for every data centre."""
        case, now = self._case, self._timers.now() - self._load_start
        ahead = [
            now + STEP_SECONDS * n for n in range(int(case.boot_seconds / STEP_SECONDS))
        ]
        load = max(map(case.load_at, [*ahead, now + case.boot_seconds]))
        needed = max(ceil(load / (case.engine_rate * ORACLE_UTILISATION)), 1)
        horizon = now + 2 * case.boot_seconds + RECLAIM_NOTICE_SECONDS
        for index, data_centre in enumerate(DATA_CENTRES):
            share = needed // len(DATA_CENTRES) + (index < needed % len(DATA_CENTRES))
            reclaim_due = any(
                now <= item.at < horizon and item.data_centre == data_centre
                for item in case.reclaims
            )
            reclaimable_count = 0 if reclaim_due else min(share, case.max_engines)
            try:
                self._cloud.order(
                    "o", 1, EndpointOrder(SERVICE, data_centre, reclaimable_count, True)
                )
            except Conflict:
                reclaimable_count = len(self._cloud.remaining(data_centre, True))
            full_price_count = min(
                share - reclaimable_count, case.max_engines - reclaimable_count
            )
            self._cloud.order(
                "o", 1, EndpointOrder(SERVICE, data_centre, full_price_count, False)
            )


POLICIES = {"plan": GatewayPolicy, "fixed": FixedFleet, "oracle": OraclePolicy}


@dataclass(slots=True)
class Simulation:
    """Run of one case under one policy."""

    case: SimulationCase
    result: Result = field(default_factory=Result)

    def run(self, policy_class: type[Policy]) -> Result:
        """Run the case to its end and return the totals."""
        case, result = self.case, self.result
        timers = ManualTimerService()
        load_start = timers.now() + LEAD_IN_SECONDS
        cloud = SimulatedCloud(case, timers)
        policy = policy_class(case, cloud, timers)
        reclaims = list(case.reclaims)
        backlog_tokens, steps = 0.0, 0
        while (now := timers.now() - load_start) < case.seconds:
            while reclaims and reclaims[0].at <= now:
                cloud.reclaim(reclaims.pop(0))
            speed = len(cloud.serving()) * case.engine_rate
            arrived = case.load_at(now) * STEP_SECONDS
            backlog_tokens = max(backlog_tokens + arrived - speed * STEP_SECONDS, 0.0)
            if now >= 0:
                result.offered += arrived
                result.cost += cloud.price() * STEP_SECONDS
                # Requests that cannot start in time are refused and do not wait.
                if backlog_tokens > speed * case.objective_seconds:
                    result.late += backlog_tokens - speed * case.objective_seconds
                    backlog_tokens = speed * case.objective_seconds
            if steps % round(AUTOSCALER_INTERVAL_SECONDS / STEP_SECONDS) == 0:
                policy.step(result.offered)
            steps += 1
            timers.advance(STEP_SECONDS)
        result.orders = cloud.orders_received
        return result


def set_constants(settings: list[str]) -> None:
    """Set constants of the capacity plan and the autoscaler, each as NAME=VALUE.

    A constant is set in both modules if both use it. Exit if neither has it.
    """
    for setting in settings:
        name, _, value = setting.partition("=")
        modules = [module for module in (capacity, autoscaler) if hasattr(module, name)]
        if not modules:
            sys.exit(
                f"--set {name}: no such constant of the capacity plan or the autoscaler"
            )
        for module in modules:
            setattr(module, name, float(value))


def main() -> int:
    """Run the case of each seed under each policy and print the mean figures."""
    parser = argparse.ArgumentParser(prog="python -m bench.capacity_lab")
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seconds", type=float, default=55.0)
    parser.add_argument("--set", action="append", default=[], metavar="NAME=VALUE")
    parser.add_argument(
        "--price",
        type=float,
        help="price of reclaimable engines in all cases; 1 is the full price",
    )
    parser.add_argument(
        "--days", action="store_true", help="print a line for each case and policy"
    )
    args = parser.parse_args()
    set_constants(args.set)
    ranges = CaseRanges()
    if args.price is not None:
        ranges = CaseRanges(price=(args.price, args.price))
    figures: dict[str, list[tuple[SimulationCase, Result]]] = {
        name: [] for name in POLICIES
    }
    for seed in range(args.first, args.first + args.seeds):
        case = draw_case(seed, ranges, args.seconds)
        for name, policy in POLICIES.items():
            result = Simulation(case).run(policy)
            figures[name].append((case, result))
            if args.days:
                print(json.dumps({"policy": name, "seed": seed, **asdict(result)}))
    for name, runs in figures.items():
        cost = mean(r.cost / c.seconds for c, r in runs)
        late = mean(r.late / r.offered for _, r in runs)
        worth = mean(r.worth(c) for c, r in runs)
        orders = mean(r.orders for _, r in runs)
        print(
            f"{name:7} worth {worth:.4f}  engines at full price {cost:.2f}  "
            f"late {late:.4f}  orders {orders:.0f}"
        )
    better = sum(
        a.worth(c) > b.worth(c)
        for (c, a), (_, b) in zip(figures["plan"], figures["fixed"], strict=True)
    )
    print(f"plan above fixed fleet on {better} of {args.seeds} deployments")
    return 0


if __name__ == "__main__":
    sys.exit(main())
