"""With any sequence of faults, the nodes together do not exceed an allowance.

Guards against tokens that are granted twice after lost answers, late writes, clock
skew, restarts, isolated nodes or changes of the limit.
"""

import logging
import unittest
from collections import Counter

from hypothesis import HealthCheck, given, settings, strategies as st

from rattanwick.internal.base.outcomes import NotRun
from tests.unit.test_grants import POOL, DelayingTable, Fleet, GrantNode

NODES = 3
LIMIT = 1000


OPERATIONS = st.one_of(
    st.tuples(st.just("reserve"), st.integers(0, NODES - 1), st.integers(1, 400)),
    st.tuples(st.just("spend"), st.integers(0, NODES - 1), st.integers(20, 120)),
    st.tuples(st.just("settle"), st.integers(0, 9), st.integers(0, 100)),
    st.tuples(st.just("advance"), st.floats(0.1, 90.0), st.just(0)),
    st.tuples(st.just("advance"), st.floats(100.0, 400.0), st.just(0)),
    st.tuples(st.just("table"), st.booleans(), st.just(0)),
    st.tuples(st.just("lose"), st.integers(0, 3), st.integers(0, 3)),
    st.tuples(st.just("delay"), st.integers(0, 5), st.just(0)),
    st.tuples(st.just("late"), st.just(0), st.just(0)),
    st.tuples(st.just("loans"), st.booleans(), st.just(0)),
    st.tuples(st.just("restart"), st.integers(0, NODES - 1), st.just(0)),
    st.tuples(st.just("isolate"), st.integers(0, NODES - 1), st.booleans()),
    st.tuples(st.just("pause"), st.integers(0, NODES - 1), st.booleans()),
    st.tuples(st.just("lag"), st.integers(0, NODES - 1), st.booleans()),
    st.tuples(st.just("return"), st.integers(0, NODES - 1), st.just(0)),
    st.tuples(st.just("limit"), st.integers(100, 2000), st.just(0)),
)
SKEWS = st.lists(st.floats(-0.9, 0.9), min_size=NODES, max_size=NODES)


class GrantSimulation:
    """Runs operations on several nodes and sums up the charges of each window."""

    def __init__(self, skews: list[float]):
        self.fleet = Fleet(count=0, grant_seconds=150.0, change=False)
        self.fleet.table = DelayingTable()
        self.skews = skews
        self.nodes = [self.start(index) for index in range(NODES)]
        self.nodes[0].lists.apply(*self.fleet.texts(LIMIT, 500), 0, "ana")
        self.open = []
        self.charged: Counter = Counter()
        self.limits: dict[int, int] = {}
        self.labels: dict[str, int] = {}

    def start(self, index: int) -> GrantNode:
        return GrantNode(self.fleet, f"node-{index}", self.skews[index])

    def run(self, operation: tuple) -> None:
        name, first, second = operation
        getattr(self, f"do_{name}")(first, second)

    def check(self) -> None:
        for window, charged in self.charged.items():
            limit = self.limits[window]
            if charged > limit:
                raise AssertionError(f"window {window}: {charged} of {limit}")

    def do_reserve(self, index: int, tokens: int) -> bool:
        reservation = self.nodes[index].reserve(tokens)
        self.note_limits()
        if isinstance(reservation, NotRun):
            return False
        self.charged[reservation.window] += tokens
        self.open.append((self.nodes[index], reservation))
        return True

    def do_spend(self, index: int, tokens: int) -> None:
        while self.do_reserve(index, tokens):
            pass

    def do_settle(self, index: int, percent: int) -> None:
        if index >= len(self.open):
            return
        node, reservation = self.open.pop(index)
        used = reservation.amount.tokens * percent // 100
        node.grants.settle(reservation, used)
        if node.window() == reservation.window:
            self.charged[reservation.window] -= reservation.amount.tokens - used

    def do_advance(self, seconds: float, _) -> None:
        # Steps are shorter than a window, so that no window is missed.
        while seconds > 0:
            self.fleet.timers.advance(min(seconds, 5.0))
            seconds -= 5.0
            self.note_limits()

    def do_table(self, down: bool, _) -> None:
        self.fleet.table.down = down

    def do_lose(self, answers: int, _) -> None:
        self.fleet.table.lose_answers = answers

    def do_delay(self, writes: int, _) -> None:
        self.fleet.table.delay = writes

    def do_late(self, *_) -> None:
        self.fleet.table.apply_late()

    def do_loans(self, lost: bool, _) -> None:
        self.fleet.mesh.lose_reply = lambda *_: lost

    def do_restart(self, index: int, _) -> None:
        self.nodes[index].stop()
        self.open = [item for item in self.open if item[0] is not self.nodes[index]]
        self.nodes[index] = self.start(index)

    def do_isolate(self, index: int, alone: bool) -> None:
        change = {f"node-{index}"}
        unreachable = self.fleet.mesh.unreachable
        self.fleet.mesh.unreachable = (
            unreachable | change if alone else unreachable - change
        )

    def do_pause(self, index: int, paused: bool) -> None:
        self.nodes[index].timers.stopped = paused

    def do_lag(self, index: int, lagging: bool) -> None:
        lists = self.nodes[index].lists
        if lagging:
            lists.adopt = lambda candidate: False
        else:
            vars(lists).pop("adopt", None)

    def do_return(self, index: int, _) -> None:
        self.nodes[index].grants.return_all()
        self.do_restart(index, 0)

    def do_limit(self, tokens: int, _) -> None:
        self.note_limits()
        lists = self.nodes[0].lists
        try:
            texts = self.fleet.texts(tokens, 500)
            lists.apply(*texts, lists.current().number, "ana")
        except Exception as exc:
            if type(exc).__name__ not in ("Conflict", "MaybeApplied", "Unavailable"):
                raise
        self.note_limits()

    def note_limits(self) -> None:
        """Record for each window the highest limit in force at any node."""
        limits = []
        for node in self.nodes:
            allowance = node.lists.current().contents.allowances.get(POOL)
            limits.append(allowance.tokens_per_minute if allowance else 0)
        for window in {node.window() for node in self.nodes}:
            self.limits[window] = max(self.limits.get(window, 0), *limits)


class GrantSumTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)

    @settings(
        max_examples=150,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(SKEWS, st.lists(OPERATIONS, min_size=5, max_size=60))
    def test_no_window_is_charged_more_than_the_highest_limit_in_force(
        self, skews, operations
    ):
        simulation = GrantSimulation(skews)
        for operation in operations:
            simulation.run(operation)
            simulation.check()
