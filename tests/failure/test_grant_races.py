"""Concurrent tasks do not exceed an allowance while they wait for table and peers.

Guards against a charge that is lost or made twice because another task runs between
a check and its update.
"""

import logging
import random
import unittest

import gevent

from fakes.memory import MemoryTable
from fakes.memory_peers import MeshNetwork
from rattanwick.internal.base.outcomes import NotRun
from tests.unit.test_grants import Fleet, GrantNode

NODES = 6
LIMIT = 60_000


class YieldingTable(MemoryTable):
    """Switches to other tasks before and after each operation."""

    def get(self, key, consistent=True):
        gevent.sleep(0)
        row = super().get(key, consistent)
        gevent.sleep(0)
        return row

    def transact(self, writes, token):
        gevent.sleep(0)
        super().transact(writes, token)
        gevent.sleep(0)


def yielding_call(self, node_id, kind, body, timeout):
    gevent.sleep(0)
    reply = plain_call(self, node_id, kind, body, timeout)
    gevent.sleep(0)
    return reply


plain_call = MeshNetwork.call


class GrantRaceTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)
        MeshNetwork.call = yielding_call
        self.addCleanup(setattr, MeshNetwork, "call", plain_call)

    def run_window(self, fleet: Fleet, source: random.Random, disturb) -> dict:
        """Reserve from many tasks at all nodes; return the tokens charged by window."""
        charged: dict[int, int] = {}

        def work(node: GrantNode) -> None:
            for _ in range(25):
                gevent.sleep(0)
                result = node.reserve(source.randint(50, 900))
                if not isinstance(result, NotRun):
                    used = charged.get(result.window, 0)
                    charged[result.window] = used + result.amount.tokens

        nodes = source.choices(fleet.nodes, (20, 1, 1, 1, 1, 1), k=24)
        tasks = [gevent.spawn(work, node) for node in nodes]
        tasks.append(gevent.spawn(disturb))
        tasks += [gevent.spawn(node.grants.maintain) for node in fleet.nodes]
        gevent.joinall(tasks, raise_error=True)
        return charged

    def make_fleet(self) -> Fleet:
        fleet = Fleet(count=0, change=False)
        fleet.table = YieldingTable()
        fleet.nodes = [GrantNode(fleet, f"node-{n}") for n in range(NODES)]
        fleet.change(LIMIT, 10**6)
        return fleet

    def test_concurrent_tasks_use_the_whole_allowance_and_no_more(self):
        for seed in range(5):
            fleet, source = self.make_fleet(), random.Random(seed)
            for _ in range(3):
                charged = self.run_window(fleet, source, lambda: None)
                total = sum(charged.values())
                self.assertLessEqual(total, LIMIT)
                self.assertGreaterEqual(total, 0.95 * LIMIT)
                fleet.next_window()

    def test_a_window_that_ends_during_refills_is_not_exceeded(self):
        for seed in range(5):
            fleet, source = self.make_fleet(), random.Random(seed)
            fleet.timers.advance(120)
            for charged in (
                self.run_window(fleet, source, fleet.next_window) for _ in range(3)
            ):
                for tokens in charged.values():
                    self.assertLessEqual(tokens, LIMIT)

    def test_a_lower_limit_during_refills_applies_from_the_next_window(self):
        for seed in range(5):
            fleet, source = self.make_fleet(), random.Random(seed)
            charged = self.run_window(
                fleet, source, lambda fleet=fleet: fleet.change(LIMIT // 3, 10**6)
            )
            self.assertLessEqual(sum(charged.values()), LIMIT)
            fleet.next_window()
            charged = self.run_window(fleet, source, lambda: None)
            self.assertLessEqual(sum(charged.values()), LIMIT // 3)

    def test_nodes_that_stop_during_refills_do_not_free_what_they_spent(self):
        for seed in range(5):
            fleet, source = self.make_fleet(), random.Random(seed)
            charged = self.run_window(fleet, source, fleet.nodes[0].grants.return_all)
            self.assertLessEqual(sum(charged.values()), LIMIT)
