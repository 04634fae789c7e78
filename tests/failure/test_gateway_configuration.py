"""The operator's configuration in force while the store's row is older or missing."""

import json
import unittest
from dataclasses import replace

import gevent

from fakes.gateway_deployment import make_configuration
from fakes.gateway_rows import MemoryRowStore
from fakes.gateway_settings import make_settings
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.gateway.interfaces import StoredRow, Version
from rattanwick.internal.gateway.members import Member
from rattanwick.internal.gateway.operator_configuration import (
    MAX_START_WAIT_SECONDS,
    START_WAIT_SECONDS,
    OperatorConfiguration,
)
from rattanwick.internal.gateway.peer_exchange import PeerExchange
from rattanwick.internal.gateway.table_copies import TableCopies
from rattanwick.internal.gateway.table_watch import TableWatch
from rattanwick.platform.codec import PlatformCodec
from tests.gateway_case import make_state

TABLE, KEY = "op", "config"
LIMIT_SECONDS = 6.0


def encode(version: object) -> bytes:
    """Return a configuration as the operator writes it."""
    return json.dumps(make_configuration(version)).encode()


class Node:
    """The parts of a node that concern its configuration."""

    def __init__(self, node_id, store, timers, ip="127.0.0.1", first_start=False):
        settings = replace(make_settings(node_id, ip), first_start=first_start)
        self.state = make_state(timers, settings)
        self.state.part_guard.loaded = True
        self.state.endpoints.loaded = True
        self.configuration = OperatorConfiguration(self.state, PlatformCodec())
        self.watch = TableWatch(
            store,
            TABLE,
            timers,
            self.configuration.apply_rows,
            is_polling=lambda: False,
        )
        self.copies = TableCopies(
            self.state, [self.watch], lambda *_: None, self.configuration
        )

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.configuration.version

    def read(self) -> None:
        """Read the whole table."""
        self.watch._complete = False
        self.watch._poll_once()


class ConfigurationCase(unittest.TestCase):
    """Test case with two nodes of which the second serves copies."""

    def setUp(self):
        self.timers = GeventTimerService()
        self.addCleanup(self.timers.stop)
        self.store = MemoryRowStore()
        self.node = Node("n1", self.store, self.timers)
        self.peer = Node("n2", self.store, self.timers)
        self.peer.copies.start()
        self.addCleanup(self.peer.copies._server.stop)

    def write(self, value: bytes | None) -> Version:
        """Write the operator's row, or remove it."""
        return self.store.put(TABLE, KEY, value)

    def hear(self, version: int, leaving: bool = False) -> None:
        """Let the node receive the peer's state."""
        now = self.timers.now()
        address = ("127.0.0.1", self.peer.copies._server.server_port)
        versions = {TABLE: self.peer.watch.changed_version}
        member = Member(
            "n2",
            1,
            address,
            "x:1",
            "a",
            now,
            now,
            leaving=leaving,
            configuration=version,
            versions=versions,
        )
        self.node.state.members.put(member)

    def catch_up(self, done, seconds: float = LIMIT_SECONDS, **options) -> bool:
        """Hear the peer and catch up until ``done()``; return whether in time."""
        with gevent.Timeout(seconds, False):
            while not done():
                self.hear(self.peer.version, **options)
                self.node.copies.catch_up(self.timers.now())
                gevent.sleep(0.05)
            return True
        return False


class OlderRowTests(ConfigurationCase):
    """Guard against a confirmed configuration that is no longer in force."""

    def test_an_older_missing_or_invalid_row_changes_nothing(self):
        self.node = Node("n1", self.store, self.timers, first_start=True)
        self.write(encode(12))
        self.node.read()
        cfg = self.node.state.configuration
        self.assertEqual(cfg.version, 12)
        other = json.dumps({**make_configuration(12), "routes": []}).encode()
        for value in (
            encode(9),
            encode(12),
            other,
            None,
            b"{}",
            b"\xff",
            encode(1 << 60),
            encode(10**400),
            encode(-3),
            encode(None),
        ):
            with self.subTest(value):
                self.store.restore(0)
                if value is not None:
                    self.write(value)
                self.node.read()
                self.assertIs(self.node.state.configuration, cfg)
        self.write(encode(13))
        self.node.read()
        self.assertEqual(self.node.version, 13)

    def test_a_node_that_starts_after_a_return_takes_a_peers_configuration(self):
        """It had served by the older row until the operator wrote again."""
        older = self.write(encode(9))
        self.write(encode(12))
        self.peer.read()
        self.store.restore(older.number)
        self.peer.read()
        self.node.read()
        self.assertEqual((self.node.version, self.peer.version), (9, 12))
        self.assertTrue(self.catch_up(lambda: self.node.version == 12))
        self.assertEqual(self.node.watch.rows, self.peer.watch.rows)

    def test_a_node_without_a_row_takes_the_configuration_of_a_leaving_peer(self):
        self.write(encode(12))
        self.peer.read()
        self.store.restore(0)
        self.node.read()
        self.peer.read()
        self.assertIsNone(self.node.state.configuration)
        self.assertTrue(self.catch_up(lambda: self.node.version == 12, leaving=True))

    def test_an_invalid_configuration_of_a_peer_changes_nothing(self):
        self.write(encode(9))
        self.node.read()
        self.peer.read()
        for value in (b"", b"{}", b"\xff", encode(8)):
            with self.subTest(value):
                self.peer.configuration.value = value
                with self.assertLogs("rattanwick", "INFO") as logs:
                    self.hear(15)
                    before = self.timers.now()
                    while self.timers.now() - before < 1.0:
                        self.node.copies.catch_up(self.timers.now())
                        gevent.sleep(0.02)
                self.assertEqual(self.node.version, 9)
                fetched = [r for r in logs.records if "copy fetched" in r.getMessage()]
                self.assertIn(len(fetched), range(1, 6))


class StartTests(ConfigurationCase):
    """Guard against a node that serves by an older configuration after its start."""

    def setUp(self):
        super().setUp()
        self.older = self.write(encode(9))

    def ready_after(self, node: Node, tick=lambda: None) -> float:
        """Return the seconds until a node is ready."""
        started = self.timers.now()
        with gevent.Timeout(LIMIT_SECONDS, False):
            while not node.state.ready:
                tick()
                node.copies.catch_up(self.timers.now())
                gevent.sleep(0.02)
        return self.timers.now() - started

    def test_a_first_start_does_not_wait(self):
        node = Node("n3", self.store, self.timers, first_start=True)
        node.read()
        self.assertTrue(node.state.ready)

    def test_a_node_without_members_waits_for_a_bounded_time(self):
        self.node.read()
        waited = self.ready_after(self.node)
        self.assertAlmostEqual(waited, START_WAIT_SECONDS, delta=0.3)

    def test_a_node_is_ready_once_it_has_heard_all_members(self):
        self.peer.read()
        self.node.read()
        self.assertFalse(self.node.state.ready)
        waited = self.ready_after(self.node, lambda: self.hear(9))
        self.assertLess(waited, 0.2)

    def test_a_node_that_heard_of_a_newer_configuration_is_not_ready_without_it(self):
        self.write(encode(12))
        self.peer.read()
        self.store.restore(self.older.number)
        self.node.read()
        versions = set()

        def tick():
            self.hear(12)
            if self.node.state.ready:
                versions.add(self.node.version)

        self.ready_after(self.node, tick)
        self.assertTrue(self.node.state.ready)
        self.assertEqual(self.node.version, 12)

    def test_a_newer_configuration_that_does_not_arrive_delays_a_start_a_bounded_time(
        self,
    ):
        """Its member may be reachable by datagrams only."""
        self.node.read()
        waited = self.ready_after(self.node, lambda: self.hear(12))
        self.assertAlmostEqual(waited, MAX_START_WAIT_SECONDS, delta=0.5)

    def test_a_silent_member_with_a_newer_configuration_does_not_keep_it_from_serving(
        self,
    ):
        self.node.read()
        self.hear(12)
        self.peer.copies._server.stop()
        waited = self.ready_after(self.node)
        self.assertTrue(self.node.state.ready)
        self.assertLess(waited, 2.0)


class FirstContactTests(unittest.TestCase):
    """Guard against a start that ends before a member's state has arrived."""

    def test_a_new_process_is_sent_the_state_at_once(self):
        timers = GeventTimerService()
        self.addCleanup(timers.stop)
        first, second = (
            PeerExchange(make_state(timers, make_settings(node_id, ip)), [])
            for node_id, ip in (("n1", "127.0.0.1"), ("n2", "127.0.0.2"))
        )
        for peers in (first, second):
            peers._datagrams.start()
            self.addCleanup(peers._datagrams.stop)
        state = first._own_state(timers.now())
        state.port = first._datagrams.server_port
        second._apply_state(("n1", state.boot), state, "127.0.0.1")
        gevent.sleep(0.1)
        self.assertIsNotNone(first._state.members.get("n2"))


class RowValueTests(unittest.TestCase):
    """Guard against a copy for peers that is not what this node goes by."""

    def test_the_value_in_force_is_that_of_its_row(self):
        timers = GeventTimerService()
        self.addCleanup(timers.stop)
        state = make_state(timers)
        configuration = OperatorConfiguration(state, PlatformCodec())
        value = encode(3)
        row = StoredRow(KEY, value, Version(1, 5))
        configuration.apply_rows({KEY: row}, {KEY})
        self.assertEqual((configuration.value, configuration.version), (value, 3))
        self.assertIsNone(state.limits.level("org"))  # an organisation without a limit


if __name__ == "__main__":
    unittest.main()
