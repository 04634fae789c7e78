"""Rows of the nodes' own tables that another writer has changed."""

import unittest
from dataclasses import replace

import gevent
from gevent import socket
from msgpack import ExtType, Timestamp, packb

from fakes.gateway_rows import MemoryRowStore
from fakes.gateway_settings import make_settings
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.gateway.blocked_part_rows import BLOCK_TABLE, BlockRows
from rattanwick.internal.gateway.blocked_parts import Block
from rattanwick.internal.gateway.leader_row import (
    LEADER_KEY,
    LEADERSHIP_TABLE,
    row_key,
)
from rattanwick.internal.gateway.member_rows import MEMBER_TABLE
from rattanwick.internal.gateway.members import encode_member
from rattanwick.internal.gateway.node import GatewayNode
from rattanwick.internal.gateway.peer_messages import PROTOCOL_VERSION, decode_datagram
from rattanwick.internal.gateway.usage_reports import USAGE_KEY
from rattanwick.platform.codec import PlatformCodec
from tests.failure.test_gateway_leadership import LeadershipCase
from tests.gateway_case import make_state

NESTED = packb([[]]).replace(b"\x90", b"\x91" * 5000 + b"\x90")
ODD_PACKED = (
    b"",
    b"\xc1",
    b"\xff\xff",
    b"\xa2\xff\xfe",  # a text that is not UTF-8
    b"\xdd\xff\xff\xff\xff",  # an array of 2**32 - 1 elements
    b"\x81\x80\x00",  # a map with a map as its key
    NESTED,
    packb(None),
    packb(5),
    packb("text"),
    packb([]),
    packb({}),
    packb([1, 2]),
    packb(ExtType(5, b"x")),
    packb(Timestamp(1, 2)),
)
MEMBER = [1, "127.0.0.1", 7600, "127.0.0.1:8000", "a"]
ODD_MEMBERS = (
    *ODD_PACKED,
    packb([*MEMBER, 1]),
    *(
        packb([*MEMBER[:index], value, *MEMBER[index + 1 :]])
        for index, values in enumerate(
            (
                (None, "1", 1.5, True, 2**64 - 1, [], ExtType(5, b"x")),
                (None, 5, "", "nowhere", "127.0.0.1\0", "::1", b"127.0.0.1"),
                (None, "7600", 7600.0, True, 0, -1, 65536, 2**63, []),
                (None, 5, b"x", {}),
                (None, 5, b"x", {}),
            )
        )
        for value in values
    ),
)


class OddMemberTests(unittest.TestCase):
    """Guard against a row that cuts a node off from the others.

    A row of another shape ended the reading of the table for good. A port out of range
    or of another type ended the sending of the node's state, for each state.
    """

    def setUp(self):
        self.timers = GeventTimerService()
        self.addCleanup(self.timers.stop)
        self.store = MemoryRowStore()
        self.node = GatewayNode(
            make_settings("n1"), self.store, None, PlatformCodec(), self.timers
        )
        self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.peer.close)
        self.peer.bind(("127.0.0.1", 0))
        self.peer.settimeout(1.0)
        datagrams = self.node.peers._datagrams
        datagrams.start()
        self.addCleanup(datagrams.stop)

    def test_an_odd_row_does_not_cut_off_the_other_members(self):
        port = self.peer.getsockname()[1]
        for number, value in enumerate(ODD_MEMBERS):
            with self.subTest(number=number, value=value[:40]):
                sound = packb([number, "127.0.0.1", port, "127.0.0.1:1", "a"])
                self.store.set_row(MEMBER_TABLE, "n0", value)
                self.store.set_row(MEMBER_TABLE, "n2", sound)
                with self.assertLogs("rattanwick.node", "WARNING"):
                    self.node.member_rows.add_members(
                        self.store.read(MEMBER_TABLE).rows
                    )
                self.assertIsNone(self.node.state.members.get("n0"))
                self.assertEqual(self.node.state.members.get("n2").boot, number)
                self.node.peers.send_state()
                self.assertTrue(self.peer.recv(65536))

    def test_the_table_is_read_again_after_an_unexpected_error(self):
        """Guard against a task that ends for good, so that new members stay unknown."""
        calls = []

        def fail(rows):
            calls.append(rows)
            raise TypeError("unexpected failure")

        self.node.member_rows.add_members = fail
        task = gevent.spawn(self.node.member_rows.run)
        self.addCleanup(task.kill)
        with gevent.Timeout(2.0):
            while not calls:
                gevent.sleep(0.01)
        gevent.sleep(0.05)
        self.assertFalse(task.ready())

    def test_the_own_row_is_read_as_it_was_written(self):
        settings = replace(make_settings("n2"), peer_port=7600)
        self.store.set_row(MEMBER_TABLE, "n2", encode_member(settings, 5))
        self.node.member_rows.add_members(self.store.read(MEMBER_TABLE).rows)
        member = self.node.state.members.get("n2")
        self.assertEqual(member.address, (settings.ip, settings.peer_port))
        self.assertEqual(member.caller_address, settings.callers_address)
        self.assertEqual((member.boot, member.data_centre), (5, settings.data_centre))


class OddLeaderRowTests(LeadershipCase):
    """Guard against a row that keeps every node from becoming the leader."""

    ODD_ROWS = (
        *ODD_PACKED,
        packb(["n3", 1, 2, 3]),
        packb([5, 1, 2]),
        packb(["n3", "1", 2]),
        packb(["n3", -1, 2]),
        packb(["n3", 1, None]),
        packb(["n3", 1, 2.5]),
        packb(["n3", 1, -2]),
        packb(["n3", 1, True]),
        packb(["n3", 1, 2**53 - 1]),
        packb(["n3", 1, 2**64 - 1]),
        packb(["n3", 1, "9" * 400]),
    )

    def test_a_node_becomes_the_leader_despite_an_odd_row(self):
        for number, value in enumerate(self.ODD_ROWS):
            with self.subTest(number=number, value=value[:40]):
                self.doCleanups()
                self.setUp()
                self.store.set_row(
                    LEADERSHIP_TABLE, row_key(LEADER_KEY, self.store.era), value
                )
                self.acquire(self.first)
                # Peers must be able to receive the fence.
                self.assertIn(self.first.leadership.confirm(), range(1, 2**53))


class OddBlockTests(unittest.TestCase):
    """Guard against a block that keeps a node from saving any block.

    A block with fewer than -2 trials raised IndexError whenever blocks were saved.
    """

    def setUp(self):
        self.state = make_state()
        self.store = MemoryRowStore()
        self.rows = BlockRows(self.state, self.store)

    def check_blocks_are_saved(self):
        """Check that a new block is saved, and is the only one that is known."""
        guard, now = self.state.part_guard, self.state.timers.now()
        block = Block("sound", frozenset("x"), frozenset("o"), 3, (), (), now, now)
        guard.learn(block, "test")
        guard.unsaved.add("sound")
        self.rows.step()
        self.assertTrue(guard.blocks.get("sound").saved)
        self.assertEqual([block.id for block in guard.blocks.all()], ["sound"])

    def test_an_odd_row_names_no_block(self):
        # As BlockRows writes it.
        now = self.state.timers.wall_time()
        fields = [["x"], ["o"], 3, ["i"], ["n"], now, now, 0]
        odd_trials = [packb([*fields[:-1], value]) for value in (-3, "0", 2**60, None)]
        odd_counts = [packb([*fields[:2], -1, *fields[3:]])]
        for value in (*ODD_PACKED, *odd_trials, *odd_counts):
            with self.subTest(value=value[:40]):
                self.setUp()
                self.store.set_row(BLOCK_TABLE, "odd", value)
                self.assertTrue(self.rows.load())
                self.check_blocks_are_saved()

    def test_an_odd_message_names_no_block(self):
        block = ["odd", ["x"], ["o"], 3, ["i"], ["n"], 0.0, 0.0, -3, True]
        for fields in (
            [[], [], [block], 0, 0],
            [[], [], [], -1, 0],
            [[], [], [], 0, -1],
        ):
            with self.subTest(fields=fields), self.assertRaises(ValueError):
                decode_datagram(packb([PROTOCOL_VERSION, 5, "n2", 1, fields]))
        self.check_blocks_are_saved()


class OddUsageRowTests(LeadershipCase):
    """Guard against a row that ends the reports of usage for as long as it stands."""

    ODD_ROWS = (
        *(value for value in ODD_PACKED if value != packb({})),
        packb({1: {"org": 1}}),
        packb([-1, {}]),
        packb([2**50, {}]),
        packb(["0", {}]),
        packb([0, {"1": {}}]),
        packb([0, {1: 5}]),
        packb([0, {1: [["org", 1]]}]),
        packb([0, {1: {5: 1}}]),
        packb([0, {1: {"org": "1"}}]),
        packb([0, {1: {"org": -1}}]),
        packb([0, {1: {"org": 1.5}}]),
        packb([0, {1: {"org": 2**63}}]),
        packb([0, {2**50 + n: {"org": 1} for n in range(8)}]),
    )

    def test_usage_is_reported_despite_an_odd_row(self):
        for number, value in enumerate(self.ODD_ROWS):
            with self.subTest(number=number, value=value[:40]):
                self.doCleanups()
                self.setUp()
                self.acquire(self.first)
                self.store.set_row(
                    LEADERSHIP_TABLE, row_key(USAGE_KEY, self.store.era), value
                )
                usage, wall = self.first.state.usage, self.timers.wall_time()
                window = usage.window_of(wall) + 1
                length = self.first.state.settings.bounds.usage_window
                # The row is read. What it recorded of windows that are due is unknown.
                self.timers.advance(window * length - wall + 2.5)
                self.first.usage.step()
                usage.note_began("org", self.timers.wall_time())
                self.timers.advance(length)
                self.first.usage.step()
                self.assertIn((window, {"org": 1}), self.cloud.reports)
