"""Measure how much of an allowance is usable if arrivals are skewed over 6 nodes.

Three policies run in virtual time on the same seeds, each with and without one minute
of table outage: grants, a limit split evenly over the nodes, and the whole limit at
every node.
"""

import argparse
import heapq
import json
import logging
import random
import statistics
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from fakes.memory import MemoryTable
from fakes.memory_peers import (
    MemoryInstances,
    MemoryMembers,
    MemoryMesh,
    MeshGossip,
)
from rattanwick.internal.base.outcomes import NotRun
from rattanwick.internal.base.settings import AllowanceSettings, ListSettings
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.state.grants import Grants
from rattanwick.internal.state.lists import ListStore

NODES = 6
TOKENS_PER_MINUTE = 600_000
REQUESTS_PER_MINUTE = 6_000
WINDOW_SECONDS = 60.0
WARM_UP_WINDOWS = 2
MEASURED_WINDOWS = 8
OUTAGE_START_WINDOWS = (2.5, 7.0)  # drawn from the seed
OUTAGE_SECONDS = 60.0
ARRIVAL_SHARES = (0.7, 0.06, 0.06, 0.06, 0.06, 0.06)  # by node
WINDOWS_PER_SHIFT = 3  # after which another node is the busy one
DEMAND_FACTOR = 2.0  # tokens reserved, in allowances; 1.4 are used on average
MEAN_RESERVED_TOKENS = 1_050  # mean of what a request reserves, an upper bound
SEEDS = (1, 2, 3, 4, 5)
PLANS = "[plan basic]\norganisations =\n"
ALLOWANCES = f"""[allowance basic pool]
tokens_per_minute = {TOKENS_PER_MINUTE}
requests_per_minute = {REQUESTS_PER_MINUTE}
max_output_tokens = 2000
"""


class LocalLimiter:
    """Baseline: a limit per node and window, without any exchange between nodes."""

    def __init__(self, timers: ManualTimerService, limit: float):
        self.timers = timers
        self.limit = limit
        self.used: Counter = Counter()

    def reserve(self, plan: str, pool: str, tokens: int):
        """Charge a request to the node's limit; return NotRun if it is used up."""
        window = int(self.timers.wall_time() // WINDOW_SECONDS)
        if self.used[window] + tokens > self.limit:
            return NotRun("allowance_used")
        self.used[window] += tokens
        return LocalCharge(window, tokens)

    def settle(self, charge: "LocalCharge", used_tokens: int) -> None:
        """Refund unused tokens to the window of the charge."""
        self.used[charge.window] -= charge.tokens - used_tokens


@dataclass(slots=True)
class LocalCharge:
    """Charge of the baseline for one request."""

    window: int
    tokens: int


class AllowanceSimulation:
    """Simulation of one policy with one seed."""

    def __init__(self, policy: str, seed: int, outage: bool):
        self.random = random.Random(seed)
        self.outage = outage
        self.outage_start = self.random.uniform(*OUTAGE_START_WINDOWS) * WINDOW_SECONDS
        self.timers = ManualTimerService()
        self.table = MemoryTable()
        self.mesh = MemoryMesh()
        self.limiters = [self.build_limiter(policy, index) for index in range(NODES)]
        self.charged: Counter = Counter()
        self.used: Counter = Counter()
        self.running: list[tuple[float, int, int, object, int]] = []
        self.sequence_number = 0

    def build_limiter(self, policy: str, index: int):
        """Return the limiter of a node for the policy."""
        if policy == "split":
            return LocalLimiter(self.timers, TOKENS_PER_MINUTE / NODES)
        if policy == "copied":
            return LocalLimiter(self.timers, TOKENS_PER_MINUTE)
        name = f"node-{index}"
        network = self.mesh.add(name)
        members = MemoryMembers(self.mesh, name)
        lists = ListStore(
            self.table,
            None,
            network,
            MeshGossip(self.mesh),
            members,
            MemoryInstances(self.mesh),
            self.timers,
            ListSettings(),
        )
        lists.start()
        if index == 0:
            lists.apply(PLANS, ALLOWANCES, 0, "bench")
        lists.load_newest()
        grants = Grants(
            self.table,
            network,
            members,
            lists,
            self.timers,
            AllowanceSettings(),
            random_source=random.Random(self.random.random()),
        )
        grants.start()
        return grants

    def execute(self) -> dict:
        """Run all windows and return the figures of those after the warm-up."""
        rate = DEMAND_FACTOR * TOKENS_PER_MINUTE / MEAN_RESERVED_TOKENS / WINDOW_SECONDS
        start = self.timers.wall_time()
        self.timers.advance(WINDOW_SECONDS - start % WINDOW_SECONDS)
        start = self.timers.wall_time()
        first = int(start // WINDOW_SECONDS)
        end = start + (WARM_UP_WINDOWS + MEASURED_WINDOWS) * WINDOW_SECONDS
        writes = messages = 0
        while self.timers.wall_time() < end:
            elapsed = self.timers.wall_time() - start
            if elapsed < WARM_UP_WINDOWS * WINDOW_SECONDS:
                writes, messages = self.table.writes, self.mesh.messages
            outage_age = elapsed - self.outage_start
            self.table.down = self.outage and 0 <= outage_age < OUTAGE_SECONDS
            self.timers.advance(self.random.expovariate(rate))
            self.settle_ended()
            self.admit_request(int(elapsed // WINDOW_SECONDS))
        windows = range(
            first + WARM_UP_WINDOWS, first + WARM_UP_WINDOWS + MEASURED_WINDOWS
        )
        minutes = MEASURED_WINDOWS * WINDOW_SECONDS / 60 * NODES
        return {
            "charged_share": [
                round(self.charged[window] / TOKENS_PER_MINUTE, 4) for window in windows
            ],
            "used_share": [
                round(self.used[window] / TOKENS_PER_MINUTE, 4) for window in windows
            ],
            "table_rows_written_per_node_minute": round(
                (self.table.writes - writes) / minutes, 2
            ),
            "peer_messages_per_node_minute": round(
                (self.mesh.messages - messages) / minutes, 2
            ),
        }

    def admit_request(self, window: int) -> None:
        """Let one request arrive at a node, which refuses it or runs it."""
        shift = window // WINDOWS_PER_SHIFT
        index = self.random.choices(range(NODES), ARRIVAL_SHARES)[0]
        node = (index + shift) % NODES
        reserved_tokens = self.random.randint(100, 2_000)
        used = int(reserved_tokens * self.random.uniform(0.4, 1.0))
        duration = self.random.uniform(1.0, 15.0)
        charge = self.limiters[node].reserve("basic", "pool", reserved_tokens)
        if isinstance(charge, NotRun):
            return
        self.charged[charge.window] += reserved_tokens
        self.used[charge.window] += used
        self.sequence_number += 1
        ends_at = self.timers.now() + duration
        heapq.heappush(
            self.running, (ends_at, self.sequence_number, node, charge, used)
        )

    def settle_ended(self) -> None:
        """Settle the requests that have ended."""
        while self.running and self.running[0][0] <= self.timers.now():
            _, _, node, charge, used = heapq.heappop(self.running)
            reserved_tokens = getattr(charge, "tokens", None) or charge.amount.tokens
            self.limiters[node].settle(charge, used)
            if int(self.timers.wall_time() // WINDOW_SECONDS) == charge.window:
                self.charged[charge.window] -= reserved_tokens - used


def main() -> None:
    """Run all policies and seeds, print a table and write the raw results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", default="bench/results/grants_usable.json")
    args = parser.parse_args()
    logging.disable(logging.ERROR)
    results = []
    print("policy  outage  charged min/median/max       used median  writes  messages")
    for policy in ("grants", "split", "copied"):
        for outage in (False, True):
            runs = [
                AllowanceSimulation(policy, seed, outage).execute() for seed in SEEDS
            ]
            results.append({"policy": policy, "outage": outage, "runs": runs})
            charged = [share for run in runs for share in run["charged_share"]]
            used = [share for run in runs for share in run["used_share"]]
            writes = [run["table_rows_written_per_node_minute"] for run in runs]
            sent = [run["peer_messages_per_node_minute"] for run in runs]
            print(
                f"{policy:7} {outage!s:6}  {min(charged):.3f} / "
                f"{statistics.median(charged):.3f} / {max(charged):.3f}"
                f"        {statistics.median(used):.3f}        "
                f"{statistics.median(writes):6.2f}  {statistics.median(sent):8.1f}"
            )
    Path(args.output).write_text(json.dumps(results, indent=1), encoding="utf-8")


if __name__ == "__main__":
    main()
