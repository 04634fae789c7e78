"""Grants never exceed an allowance, and a busy node can use all of it.

Guards against tokens that are spent at two nodes, and against requests that are refused
although other nodes have tokens left.
"""

import random
import unittest

from fakes.memory import MemoryTable
from fakes.memory_peers import (
    MemoryInstances,
    MemoryMembers,
    MemoryMesh,
    MeshGossip,
)
from rattanwick.internal.base.errors import Conflict, MaybeApplied, Refused
from rattanwick.internal.base.outcomes import NotRun
from rattanwick.internal.base.settings import AllowanceSettings, ListSettings
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.state.amounts import Amount
from rattanwick.internal.state.grant_rows import GrantRows
from rattanwick.internal.state.grants import Grants, Reservation
from rattanwick.internal.state.lists import ListStore

POOL = ("basic", "pool")
PLANS = "[plan basic]\norganisations =\n"


def allowances(tokens: int, requests: int) -> str:
    return (
        f"[allowance basic pool]\ntokens_per_minute = {tokens}\n"
        f"requests_per_minute = {requests}\nmax_output_tokens = 100\n"
    )


class DelayingTable(MemoryTable):
    """A table that can delay writes; each delayed write raises MaybeApplied."""

    def __init__(self):
        super().__init__()
        self.delay = 0
        self.late: list[tuple] = []

    def transact(self, writes, token) -> None:
        """Apply the writes, or keep them for ``apply_late`` if a delay is set."""
        if self.delay and not self.down:
            self.delay -= 1
            self.late.append((list(writes), token))
            raise MaybeApplied("transact", "table", "delayed")
        super().transact(writes, token)

    def apply_late(self) -> None:
        """Apply the delayed writes whose preconditions still hold."""
        if self.down:
            return
        late, self.late = self.late, []
        for writes, token in late:
            try:
                super().transact(writes, token)
            except (Conflict, MaybeApplied):
                continue


class SkewedTimers:
    """Timers of a shared clock, with an offset of the wall clock for one node."""

    def __init__(self, timers: ManualTimerService, offset: float):
        self.timers = timers
        self.offset = offset
        self.stopped = False

    def __getattr__(self, name: str):
        return getattr(self.timers, name)

    def subscribe(self, name: str, period: float, callback):
        return self.timers.subscribe(
            name, period, lambda: None if self.stopped else callback()
        )

    def wall_time(self) -> float:
        return self.timers.wall_time() + self.offset


class GrantNode:
    """The lists and grants of one node."""

    def __init__(self, fleet: "Fleet", name: str, offset: float = 0.0):
        self.name = name
        network = fleet.mesh.add(name)
        members = MemoryMembers(fleet.mesh, name)
        self.timers = timers = SkewedTimers(fleet.timers, offset)
        self.lists = ListStore(
            fleet.table,
            None,
            network,
            MeshGossip(fleet.mesh),
            members,
            MemoryInstances(fleet.mesh),
            timers,
            ListSettings(),
        )
        self.lists.start()
        self.lists.load_newest()
        self.grants = Grants(
            fleet.table,
            network,
            members,
            self.lists,
            timers,
            fleet.settings,
            random_source=random.Random(name),
        )
        self.grants.start()

    def window(self) -> int:
        return int(self.timers.wall_time() // 60)

    def stop(self) -> None:
        """Stop the timers, as a crash does, without returning grants."""
        self.timers.stopped = True

    def reserve(self, tokens: int) -> Reservation | NotRun:
        return self.grants.reserve(*POOL, tokens)


class Fleet:
    """Several nodes with grants over one table and one clock."""

    def __init__(
        self,
        count=3,
        tokens=6000,
        requests=600,
        grant_seconds=1800.0,
        change=True,
    ):
        self.table = MemoryTable()
        self.mesh = MemoryMesh()
        self.timers = ManualTimerService()
        self.settings = AllowanceSettings(grant_seconds=grant_seconds)
        self.nodes = [GrantNode(self, f"node-{index}") for index in range(count)]
        if change:
            self.change(tokens, requests)

    def texts(self, tokens: int, requests: int) -> tuple[str, str]:
        return PLANS, allowances(tokens, requests)

    def change(self, tokens: int, requests: int) -> None:
        version = self.nodes[0].lists.current().number
        texts = self.texts(tokens, requests)
        self.nodes[0].lists.apply(*texts, version, "ana")
        self.timers.advance(0)

    def spend_all(self, node: GrantNode, tokens: int = 100) -> int:
        """Reserve until a request is refused; return the tokens charged."""
        total = 0
        while isinstance(node.reserve(tokens), Reservation):
            total += tokens
        return total

    def next_window(self) -> None:
        self.timers.advance(60 - self.timers.wall_time() % 60)


class GrantTests(unittest.TestCase):
    def test_one_busy_node_can_use_the_whole_allowance_and_no_more(self):
        fleet = Fleet()
        fleet.timers.advance(120)
        spent = [fleet.spend_all(node) for node in fleet.nodes]
        self.assertEqual(spent, [6000, 0, 0])

    def test_the_busy_node_borrows_while_the_table_is_down(self):
        fleet = Fleet()
        fleet.timers.advance(120)
        fleet.next_window()
        fleet.table.down = True
        self.assertEqual(fleet.spend_all(fleet.nodes[1]), 6000)

    def test_requests_are_limited_as_well_as_tokens(self):
        fleet = Fleet(tokens=10**6, requests=30)
        fleet.timers.advance(60)
        self.assertEqual(fleet.spend_all(fleet.nodes[0], 1), 30)
        refused = fleet.nodes[1].reserve(1)
        self.assertEqual(refused.reason, "allowance_exhausted")
        self.assertLessEqual(refused.retry_after, 60)

    def test_a_lost_loan_stays_charged(self):
        fleet = Fleet()
        fleet.timers.advance(120)
        fleet.next_window()
        fleet.table.down = True
        fleet.mesh.lose_reply = lambda *_: True
        self.assertLess(fleet.spend_all(fleet.nodes[0]), 6000)
        fleet.mesh.lose_reply = lambda *_: False
        fleet.timers.advance(10)
        rest = sum(fleet.spend_all(node) for node in fleet.nodes)
        self.assertLess(rest, 4000)

    def test_a_refund_goes_to_the_same_window_only(self):
        fleet = Fleet(count=1)
        node = fleet.nodes[0]
        early, late = node.reserve(3000), node.reserve(3000)
        node.grants.settle(early, 1000)
        node.grants.settle(early, 1000)
        self.assertEqual(fleet.spend_all(node), 2000)
        fleet.next_window()
        node.grants.settle(late, 0)
        self.assertEqual(fleet.spend_all(node), 6000)

    def test_a_call_that_did_not_run_is_refunded_as_a_request(self):
        fleet = Fleet(count=1, requests=1)
        node = fleet.nodes[0]
        node.grants.settle(node.reserve(10), 0, ran=False)
        self.assertIsInstance(node.reserve(10), Reservation)
        self.assertIsInstance(node.reserve(10), NotRun)

    def test_unknown_pools_and_oversized_requests_are_refused(self):
        node = Fleet(count=1).nodes[0]
        self.assertEqual(node.grants.reserve("basic", "x", 1).reason, "no_allowance")
        self.assertEqual(node.reserve(6001).reason, "larger_than_allowance")

    def test_a_paused_node_does_not_spend_an_expired_grant(self):
        fleet = Fleet(count=2, grant_seconds=120.0)
        fleet.timers.advance(60)
        paused, other = fleet.nodes
        paused.stop()
        fleet.mesh.unreachable = {paused.name}
        fleet.timers.advance(300)
        fleet.table.down = True
        self.assertIsInstance(paused.reserve(1), NotRun)
        fleet.table.down = False
        self.assertEqual(fleet.spend_all(other), 6000)
        self.assertIsInstance(paused.reserve(1), NotRun)

    def test_a_grant_is_swept_only_after_its_expiry_and_the_clock_skew(self):
        fleet = Fleet(count=1)
        fleet.timers.advance(1)
        expires = fleet.table.rows["grant#basic#pool#node-0.1"].values["expires"]
        self.assertEqual(expires % 60, 0)
        rows = GrantRows(fleet.table, "other")
        self.assertEqual(rows.sweep(*POOL, expires + 2, 2.0), 0)
        self.assertEqual(rows.sweep(*POOL, expires + 2.1, 2.0), 1)
        total = fleet.table.rows["allowance#basic#pool"].values
        self.assertEqual((total["granted"], total["granted_requests"]), (0, 0))

    def test_nodes_with_different_clocks_do_not_spend_the_same_grant_twice(self):
        fleet = Fleet(count=0, change=False)
        early = GrantNode(fleet, "node-0", 0.9)
        late = GrantNode(fleet, "node-1", -0.9)
        fleet.nodes = [early, late]
        fleet.change(6000, 600)
        fleet.timers.advance(120)
        fleet.timers.advance(59 - fleet.timers.wall_time() % 60)
        window = late.window()
        self.assertEqual(early.window(), window)
        early.grants.reserve(*POOL, 3000)
        fleet.timers.advance(1)
        self.assertEqual((early.window(), late.window()), (window + 1, window))
        early.grants.return_all()
        self.assertEqual(fleet.spend_all(late), 3000)

    def test_grants_last_through_a_long_outage(self):
        fleet = Fleet()
        fleet.timers.advance(120)
        fleet.table.down = True
        for _ in range(15):
            fleet.next_window()
            spent = sum(fleet.spend_all(node) for node in fleet.nodes)
            self.assertEqual(spent, 6000)

    def test_a_node_whose_grant_expires_in_an_outage_reports_it_as_unavailable(
        self,
    ):
        fleet = Fleet(count=1)
        fleet.timers.advance(60)
        fleet.table.down = True
        fleet.timers.advance(2000)
        self.assertEqual(fleet.nodes[0].reserve(1).reason, "allowance_unavailable")

    def test_only_the_unspent_part_of_a_returned_grant_is_free_at_once(self):
        fleet = Fleet(count=2)
        fleet.timers.advance(60)
        leaving, staying = fleet.nodes
        leaving.reserve(1500)
        leaving.grants.return_all()
        fleet.mesh.unreachable = {leaving.name}
        self.assertEqual(fleet.spend_all(staying), 4500)
        fleet.next_window()
        self.assertEqual(fleet.spend_all(staying), 6000)

    def test_a_lower_limit_applies_from_the_next_window_on(self):
        fleet = Fleet()
        fleet.timers.advance(120)
        fleet.nodes[0].reserve(1500)
        fleet.change(3000, 600)
        spent = 1500 + sum(fleet.spend_all(node) for node in fleet.nodes)
        self.assertLessEqual(spent, 6000)
        fleet.next_window()
        spent = sum(fleet.spend_all(node) for node in fleet.nodes)
        self.assertLessEqual(spent, 3000)
        self.assertGreaterEqual(spent, 2850)

    def test_a_node_with_older_lists_takes_nothing_after_a_lower_limit(self):
        fleet = Fleet()
        late = fleet.nodes[2]
        fleet.timers.advance(120)
        late.lists.adopt = lambda candidate: False
        fleet.change(3000, 600)
        fleet.timers.advance(120)
        fleet.mesh.lose_reply = lambda *_: True
        fleet.spend_all(late)
        fleet.mesh.lose_reply = lambda *_: False
        del late.lists.adopt
        late.lists.poll()
        fleet.next_window()
        spent = sum(fleet.spend_all(node) for node in fleet.nodes)
        self.assertLessEqual(spent, 3000)

    def test_a_higher_limit_can_be_used_in_the_same_window(self):
        fleet = Fleet()
        fleet.timers.advance(120)
        self.assertEqual(fleet.spend_all(fleet.nodes[0]), 6000)
        fleet.change(9000, 600)
        fleet.timers.advance(1)
        self.assertEqual(fleet.spend_all(fleet.nodes[0]), 3000)

    def test_a_lost_table_answer_does_not_lose_or_duplicate_a_grant(self):
        fleet = Fleet()
        fleet.table.lose_answers = 5
        fleet.timers.advance(120)
        self.assertEqual(fleet.spend_all(fleet.nodes[0]), 6000)

    def test_a_grant_is_not_spent_while_its_write_is_not_confirmed(self):
        fleet = Fleet(count=0, change=False)
        fleet.table = DelayingTable()
        fleet.nodes = [GrantNode(fleet, f"node-{n}") for n in range(2)]
        texts = fleet.texts(6000, 600)
        fleet.nodes[0].lists.apply(*texts, 0, "ana")
        fleet.nodes[1].lists.poll()
        fleet.table.delay = 4
        self.assertEqual(fleet.spend_all(fleet.nodes[0]), 0)
        self.assertEqual(fleet.spend_all(fleet.nodes[1]), 6000)
        fleet.table.apply_late()
        self.assertEqual(fleet.spend_all(fleet.nodes[0]), 0)

    def test_invalid_loan_messages_are_refused_and_change_nothing(self):
        fleet = Fleet()
        fleet.timers.advance(120)
        window = int(fleet.timers.wall_time() // 60)
        handler = fleet.mesh.networks["node-1"].handlers["grants.lend"]
        base = {"plan": "basic", "pool": "pool", "window": window, "tokens": 5}
        for change in ({"tokens": -5}, {"tokens": "5"}, {"window": None}):
            with self.assertRaises(Refused):
                handler("node-0", base | change)
        self.assertEqual(handler("node-0", base | {"pool": "x"})["tokens"], 0)
        self.assertEqual(handler("node-0", base | {"window": window + 1})["tokens"], 0)
        self.assertEqual(fleet.spend_all(fleet.nodes[0]), 6000)

    def test_a_peer_cannot_lend_more_than_was_asked(self):
        fleet = Fleet(count=2)
        fleet.timers.advance(120)
        handlers = fleet.mesh.networks["node-1"].handlers
        handlers["grants.lend"] = lambda *_: {"tokens": 10**9, "requests": 10**9}
        self.assertLessEqual(fleet.spend_all(fleet.nodes[0]), 6000)

    def test_amounts_treat_tokens_and_requests_separately(self):
        amount = Amount(5, 1)
        self.assertEqual(amount.subtract_clamped(Amount(2, 3)), Amount(3, 0))
        self.assertFalse(amount.covers(Amount(4, 2)))
        self.assertEqual(
            amount.scaled_to_limit(Amount(10, 10), Amount(5, 20)), Amount(2, 1)
        )
