"""Each problem in the lists is reported, and an older version is never adopted.

Guards against callers with outdated plans or keys, and edits that overwrite others.
"""

import hashlib
import unittest
from unittest import mock

from fakes.memory import MemoryObjectStore, MemoryTable
from fakes.memory_peers import (
    MemoryInstances,
    MemoryMembers,
    MemoryMesh,
    MeshGossip,
)
from rattanwick.internal.base.errors import Conflict, MaybeApplied, Unavailable
from rattanwick.internal.base.ini import SettingsError
from rattanwick.internal.base.settings import ListSettings
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.state.api_keys import Caller, CallerDirectory, OperatorKeys
from rattanwick.internal.state.list_format import parse_lists
from rattanwick.internal.state.lists import (
    FETCH_MESSAGE,
    REFRESH_TIMEOUT_SECONDS,
    ListStore,
)

KEY_HASH = hashlib.sha256(b"key-1").hexdigest()
PLANS = f"""
[plan basic]
organisations = taller-quito
[organisation taller-quito]
plan = basic
key_hashes = {KEY_HASH}
"""
ALLOWANCES = """
[allowance basic rattan-afila]
tokens_per_minute = 60000
requests_per_minute = 600
max_output_tokens = 2000
priority = 4
hedge = yes
"""


class Cluster:
    """List stores of several nodes over one table."""

    def __init__(self, count: int = 3):
        self.table = MemoryTable()
        self.mesh = MemoryMesh()
        self.unlinked: set[str] = set()
        self.timers = ManualTimerService()
        self.stores = [self.add(f"node-{index}") for index in range(count)]

    def add(self, node_id: str) -> ListStore:
        network = self.mesh.add(node_id)
        store = ListStore(
            self.table,
            None,
            network,
            MeshGossip(self.mesh),
            MemoryMembers(self.mesh, node_id),
            MemoryInstances(self.mesh),
            self.timers,
            ListSettings(),
            self.confirmed,
            self.refresh,
        )
        store.start()
        return store

    def confirmed(self) -> dict[str, int]:
        return {
            f"node-{index}": store.current().number
            for index, store in enumerate(self.stores)
            if f"node-{index}" not in self.unlinked
        }

    def refresh(self, timeout: float, wanted) -> None:
        """Make the versions of nodes without a heartbeat link known."""
        self.unlinked.clear()

    def apply(self, plans: str, allowances: str, from_version: int, author: str):
        """Apply at the first node and deliver the gossip to the others."""
        version = self.stores[0].apply(plans, allowances, from_version, author)
        self.timers.advance(0)
        return version


class ListFormatTests(unittest.TestCase):
    def test_reports_every_problem_of_both_files_in_one_run(self):
        plans = f"""
[plan basic]
organisations = taller-quito gone
[organisation taller-quito]
plan = basci
key_hashes = {KEY_HASH}
[organisation other]
plan = basic
key_hashes = 12
colour = red
[plna x]
"""
        allowances = """
[allowance basic]
[allowance basci pool]
tokens_per_minute = many
requests_per_minute = 5
max_output_tokens = 5
priority = 12
"""
        with self.assertRaises(SettingsError) as caught:
            parse_lists(plans, allowances)
        places = {
            (problem.file, problem.section, problem.key)
            for problem in caught.exception.problems
        }
        self.assertEqual(
            places,
            {
                ("plans.ini", "plan basic", "organisations"),
                ("plans.ini", "organisation taller-quito", "plan"),
                ("plans.ini", "organisation other", "key_hashes"),
                ("plans.ini", "organisation other", "colour"),
                ("plans.ini", "plna x", ""),
                ("allowances.ini", "allowance basic", ""),
                ("allowances.ini", "allowance basci pool", ""),
                ("allowances.ini", "allowance basci pool", "tokens_per_minute"),
                ("allowances.ini", "allowance basci pool", "priority"),
            },
        )
        for problem in caught.exception.problems:
            self.assertTrue(problem.message and problem.expected)

    def test_refuses_a_key_of_two_organisations(self):
        second = f"[organisation b]\nplan = basic\nkey_hashes = {KEY_HASH}\n"
        plans = PLANS.replace("= taller-quito", "= taller-quito b") + second
        with self.assertRaises(SettingsError) as caught:
            parse_lists(plans, ALLOWANCES)
        self.assertEqual([f.key for f in caught.exception.problems], ["key_hashes"])


class ListStoreTests(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.first, self.second, self.third = self.cluster.stores

    def test_a_change_is_in_force_everywhere_and_identifies_callers(self):
        version = self.cluster.apply(PLANS, ALLOWANCES, 0, "ana")
        self.assertEqual(self.first.wait_for_confirmation(version.number), ())
        directory = CallerDirectory(self.third)
        self.assertEqual(
            directory.caller_for_key("key-1"), Caller("taller-quito", "basic")
        )
        self.assertIsNone(directory.caller_for_key("key-2"))
        allowance = directory.allowance("basic", "rattan-afila")
        self.assertEqual((allowance.priority, allowance.hedge), (4, True))
        self.assertIsNone(directory.allowance("basic", "agenda-vans"))

    def test_a_stale_edit_is_refused_with_the_version_in_force(self):
        self.cluster.apply(PLANS, ALLOWANCES, 0, "ana")
        with self.assertRaises(Conflict) as caught:
            self.second.apply(PLANS, "", 0, "luis")
        self.assertEqual(caught.exception.current.author, "ana")
        self.assertEqual(self.second.current().number, 1)

    def test_a_lost_answer_is_read_back_and_applied_once(self):
        self.cluster.table.lose_answers = 1
        version = self.cluster.apply(PLANS, ALLOWANCES, 0, "ana")
        self.assertEqual(version.number, 1)
        self.assertEqual([item.number for item in self.first.history()], [1])

    def test_a_write_that_cannot_be_read_back_after_a_lost_answer_is_in_doubt(self):
        table = self.cluster.table
        table.lose_answers = 1
        transact = table.transact

        def transact_then_fail(writes, token):
            try:
                transact(writes, token)
            finally:
                table.down = True

        table.transact = transact_then_fail
        with self.assertRaises(MaybeApplied):
            self.cluster.apply(PLANS, ALLOWANCES, 0, "ana")
        self.assertEqual(self.first.current().number, 0)

    def test_a_change_is_refused_during_an_outage(self):
        self.cluster.table.down = True
        with self.assertRaises(Unavailable):
            self.cluster.apply(PLANS, ALLOWANCES, 0, "ana")

    def test_an_older_version_never_replaces_a_newer_one(self):
        old = self.cluster.apply(PLANS, ALLOWANCES, 0, "ana")
        self.cluster.apply(PLANS, "", 1, "ana")
        self.assertFalse(self.second.adopt(old))
        self.assertEqual(self.second.current().number, 2)

    def test_names_nodes_that_have_not_confirmed(self):
        late = self.cluster.mesh.add("node-9")
        self.assertIsNotNone(late)
        self.cluster.apply(PLANS, ALLOWANCES, 0, "ana")
        self.assertEqual(self.first.wait_for_confirmation(1), ("node-9",))

    def test_an_unlinked_node_is_asked_for_its_version(self):
        # Heartbeats report the versions of a few linked peers only.
        self.cluster.unlinked.add("node-2")
        self.cluster.apply(PLANS, ALLOWANCES, 0, "ana")
        self.assertEqual(self.first.unconfirmed_nodes(1), ("node-2",))
        self.assertEqual(self.first.wait_for_confirmation(1), ())

    def test_a_node_that_is_not_listed_yet_must_confirm(self):
        # The instance list lags and lacks a node that is already a live member.
        late = self.cluster.mesh.add("node-9")
        self.assertIsNotNone(late)
        self.first._instances = mock.Mock(nodes=lambda: ())
        self.cluster.apply(PLANS, ALLOWANCES, 0, "ana")
        self.assertIn("node-9", self.first.unconfirmed_nodes(1))

    def test_unconfirmed_unlinked_nodes_are_asked_within_two_seconds(self):
        # Guards against changes that are reported as unconfirmed because a node
        # without a link reports its version only at its next probe.
        heard: dict[str, int] = {"node-1": 1}
        asked: list[tuple[float, set[str]]] = []

        def refresh(timeout: float, wanted) -> None:
            asked.append((timeout, set(wanted)))
            heard.update(dict.fromkeys(wanted, 1))

        self.first._confirmed_versions = lambda: heard
        self.first._refresh_versions = refresh
        self.cluster.apply(PLANS, ALLOWANCES, 0, "ana")
        started = self.cluster.timers.now()
        self.assertEqual(self.first.wait_for_confirmation(1), ())
        self.assertLess(self.cluster.timers.now() - started, 2.0)
        self.assertEqual(asked, [(REFRESH_TIMEOUT_SECONDS, {"node-2"})])

    def test_a_new_node_loads_from_peers_while_the_table_is_down(self):
        self.cluster.apply(PLANS, ALLOWANCES, 0, "ana")
        self.cluster.table.down = True
        self.cluster.mesh.unreachable = {"node-0"}
        fresh = self.cluster.add("node-3")
        self.assertTrue(fresh.load_newest())
        self.assertEqual(fresh.current().number, 1)

    def test_nodes_fetch_an_announced_version_from_peers_while_the_table_is_down(self):
        self.first.apply(PLANS, ALLOWANCES, 0, "ana")
        self.cluster.table.down = True
        self.cluster.timers.advance(0)
        self.assertEqual(self.third.current().number, 1)

    def test_large_texts_are_kept_in_the_object_store(self):
        objects = MemoryObjectStore()
        for store in self.cluster.stores:
            store._objects = objects
        text = ALLOWANCES + "; comment\n" * 30_000
        self.cluster.apply(PLANS, text, 0, "ana")
        self.assertEqual(self.second.current().allowances_text, text)
        sizes = [len(str(row.values)) for row in self.cluster.table.rows.values()]
        self.assertLess(max(sizes), 2_000)

    def test_loading_fails_if_neither_the_table_nor_a_peer_answers(self):
        self.cluster.table.down = True
        self.cluster.mesh.unreachable = {"node-0", "node-1", "node-2"}
        self.assertFalse(self.cluster.add("node-3").load_newest())

    def test_altered_texts_of_a_peer_are_rejected(self):
        self.cluster.apply(PLANS, ALLOWANCES, 0, "ana")
        handlers = self.cluster.mesh.networks["node-0"].handlers
        genuine = handlers[FETCH_MESSAGE]
        handlers[FETCH_MESSAGE] = lambda peer, body: (
            genuine(peer, body) | {"allowances": "", "version": 9}
        )
        self.cluster.table.down = True
        self.cluster.mesh.unreachable = {"node-1", "node-2"}
        fresh = self.cluster.add("node-3")
        self.assertFalse(fresh.load_newest())
        self.assertEqual(fresh.current().number, 0)


class OperatorKeyTests(unittest.TestCase):
    def test_accepts_known_keys_only(self):
        keys = OperatorKeys((KEY_HASH,))
        self.assertTrue(keys.accepts("key-1"))
        self.assertFalse(keys.accepts("key-2"))
        self.assertFalse(OperatorKeys(()).accepts(""))
