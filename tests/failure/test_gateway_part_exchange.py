"""Blocked prompt parts between nodes on loopback, and in the store."""

import unittest
from dataclasses import replace

import gevent
from msgpack import packb

from fakes.addresses import OctetReservation
from fakes.gateway_rows import MemoryRowStore
from fakes.gateway_settings import make_settings
from rattanwick.internal.base.timers import GeventTimerService, ManualTimerService
from rattanwick.internal.gateway import part_exchange
from rattanwick.internal.gateway.blocked_part_rows import (
    BLOCK_TABLE,
    TRIAL_DELAYS_SECONDS,
    BlockRows,
)
from rattanwick.internal.gateway.blocked_parts import (
    BLOCK_RETENTION_SECONDS,
    Block,
)
from rattanwick.internal.gateway.crash_evidence import LEARNING_ANSWERS, LostRequest
from rattanwick.internal.gateway.part_messages import PeerParts
from rattanwick.internal.gateway.peer_exchange import PeerExchange
from rattanwick.internal.gateway.peer_messages import decode_datagram, encode_parts
from rattanwick.internal.state.boot_clock import boot_seconds
from tests.gateway_case import make_state

WAIT_SECONDS = 3.0
PEER_PORT = 17600


def make_block(now: float, block_id: str = "b") -> Block:
    """Return a block of the part ``x`` for all organisations."""
    parts, organisations = frozenset("x"), frozenset(("p", "q"))
    return Block(block_id, parts, organisations, 3, ("i-1",), ("n0",), now, now)


class Node:
    """Components of a node that concern blocks, with a socket for datagrams."""

    def __init__(self, node_id: str, ip: str, store: MemoryRowStore | None):
        self.timers = GeventTimerService()
        settings = replace(make_settings(node_id, ip), peer_port=PEER_PORT)
        self.state = make_state(self.timers, settings)
        self.guard = self.state.part_guard
        self.rows = BlockRows(self.state, store) if store else None
        self.peers = PeerExchange(self.state, [], self.rows)
        self.peers.start()

    def is_blocked(self) -> bool:
        """Return whether this node refuses the part ``x``."""
        return self.guard.find_block("org", ("x",)) is not None

    def block(self) -> None:
        """Learn a block as from a crash that this node has seen."""
        block = make_block(self.timers.now())
        self.guard.learn(block, "test")
        self.guard.unsaved.add(block.id)
        self.guard.broadcast(PeerParts(blocks=[block]))

    def lose_contact(self) -> None:
        """Behave as after a pause or a cut of some seconds."""
        gap = part_exchange.MAX_CONTACT_GAP_SECONDS + 1
        self.peers._parts._contact_at = boot_seconds() - gap

    def stop(self) -> None:
        """Stop sending and receiving."""
        self.timers.stop()
        self.peers._datagrams.stop(timeout=0.1)
        self.peers._copies._server.stop(timeout=0.1)


class PartExchangeTests(unittest.TestCase):
    """Guard against nodes that send what the others know to crash endpoints."""

    def setUp(self):
        # Other deployments may run on this machine at the same time.
        self.octets = OctetReservation()
        self.addCleanup(self.octets.release)
        self.store = MemoryRowStore()
        self.nodes: list[Node] = []
        for number in range(3):
            self.add(f"n{number}")
        self.wait_until(lambda: all(node.guard.loaded for node in self.nodes))

    def tearDown(self):
        for node in self.nodes:
            node.stop()

    def add(self, node_id: str) -> Node:
        """Add a node; it and the others know each other at once."""
        ip = f"127.{self.octets.octet}.9.{len(self.nodes) + 1}"
        node = Node(node_id, ip, self.store)
        self.nodes.append(node)
        for other in self.nodes[:-1]:
            for sender, receiver in ((node, other), (other, node)):
                state = sender.peers._own_state(sender.timers.now())
                address = sender.state.settings.ip
                peer = (state.node_id, state.boot)
                receiver.peers._apply_state(peer, state, address)
        return node

    def wait_until(self, condition) -> None:
        """Wait until a condition holds."""
        with gevent.Timeout(WAIT_SECONDS):
            while not condition():
                gevent.sleep(0.01)

    def test_all_nodes_learn_of_a_block_at_once(self):
        self.nodes[0].block()
        gevent.sleep(0.1)
        self.assertTrue(all(node.is_blocked() for node in self.nodes))

    def test_crashes_that_each_node_saw_once_block_the_part(self):
        for node in self.nodes:
            for number in range(LEARNING_ANSWERS):
                node.guard.note_answer((f"old-{number}",))
        for number, node in enumerate(self.nodes):
            now = node.timers.now()
            request = LostRequest("org", ("x",), now - 0.01)
            node.guard.note_crash(f"i-{number}", now, [request])
            gevent.sleep(0.1)
        self.assertTrue(
            all(node.guard.find_block("org", ("f", "x")) for node in self.nodes)
        )

    def test_a_lost_datagram_is_repaired(self):
        self.nodes[0].guard.learn(make_block(self.nodes[0].timers.now()), "test")
        self.wait_until(lambda: all(node.is_blocked() for node in self.nodes))

    def test_an_end_reaches_a_node_that_missed_it(self):
        self.nodes[0].block()
        gevent.sleep(0.1)
        self.nodes[0].guard.broadcast = lambda message: None
        self.nodes[0].guard.note_answer(("x",))
        self.wait_until(lambda: not any(node.is_blocked() for node in self.nodes))

    def test_a_node_that_starts_is_not_ready_before_it_knows_the_blocks(self):
        self.nodes[0].block()
        self.store.down = True
        node = self.add("n9")
        self.assertFalse(node.guard.loaded)
        self.wait_until(lambda: node.guard.loaded)
        self.assertTrue(node.is_blocked())

    def test_a_block_survives_the_restart_of_all_nodes(self):
        self.nodes[0].block()
        self.nodes[0].rows.step()
        for node in self.nodes:
            node.stop()
        self.nodes.clear()
        node = self.add("n9")
        self.wait_until(lambda: node.guard.loaded)
        self.assertTrue(node.is_blocked())

    def test_a_node_that_was_paused_asks_before_it_sends(self):
        paused, *others = self.nodes
        for node in self.nodes:
            self.wait_until(node.guard.is_current)
        gevent.sleep(0.05)
        paused.lose_contact()
        others[0].guard.learn(make_block(others[0].timers.now()), "test")
        self.assertFalse(paused.guard.is_current())
        paused.guard.wait_until_current()
        self.assertTrue(paused.is_blocked())

    def test_a_node_that_was_paused_does_not_reply_with_what_it_knew(self):
        paused, asked, current = self.nodes
        for node in self.nodes:
            self.wait_until(node.guard.is_current)
        self.store.down = True
        current.guard.learn(make_block(current.timers.now()), "test")
        for node in (paused, asked):
            node.lose_contact()
            self.assertFalse(node.guard.is_current())
        paused.guard.wait_until_current()
        self.assertTrue(paused.is_blocked())

    def test_without_store_and_members_requests_wait_only_briefly(self):
        node = self.nodes[0]
        for other in self.nodes[1:]:
            other.stop()
        self.store.down = True
        node.lose_contact()
        with gevent.Timeout(1.0):
            node.guard.wait_until_current()

    def test_a_malformed_message_changes_nothing(self):
        fields = PeerParts(blocks=[make_block(5.0)]).to_fields(5.0)
        fields[2][0][1] = [7]
        with self.assertRaises(ValueError):
            decode_datagram(packb([4, 5, "n1", 1, fields]))
        data = encode_parts("n1", 1, PeerParts(blocks=[make_block(5.0)]), 5.0)
        for size in range(len(data)):
            with self.assertRaises(ValueError):
                decode_datagram(data[:size])
        for node in self.nodes:
            node.peers._receive(data[:-1], ("127.0.0.1", 1))
            self.assertFalse(node.is_blocked())


class BlockRowTests(unittest.TestCase):
    """Guard against blocks that a restart forgets, and trials by several nodes."""

    def setUp(self):
        self.timers = ManualTimerService()
        self.store = MemoryRowStore()

    def make_rows(self, node_id: str) -> BlockRows:
        """Return the rows as a node sees them."""
        state = make_state(self.timers, make_settings(node_id))
        return BlockRows(state, self.store)

    def block(self, rows: BlockRows) -> Block:
        """Let a node block a part and save it."""
        block = make_block(self.timers.now())
        rows._guard.learn(block, "test")
        rows._guard.unsaved.add(block.id)
        rows.step()
        return rows._guard.blocks.get(block.id)

    def test_a_block_is_saved_once_the_store_is_back(self):
        rows, other = self.make_rows("n1"), self.make_rows("n2")
        self.store.down = True
        self.block(rows)
        self.assertFalse(other.load())
        self.store.down = False
        rows.step()
        self.assertTrue(other.load())
        self.assertEqual(other._guard.blocks.digest(), rows._guard.blocks.digest())

    def test_blocks_are_written_again_when_the_store_returns_with_older_rows(self):
        """Guard against a block that nodes which start later do not know."""
        rows = self.make_rows("n1")
        block = self.block(rows)
        number = self.store.version.number
        rows._guard.note_answer(("x",))
        rows.step()
        for copy in (number, 0):
            with self.subTest(copy=copy):
                self.store.restore(copy)
                rows.step()
                late = self.make_rows("n2")
                self.assertTrue(late.load())
                stored = late._guard.blocks.get(block.id)
                self.assertEqual(stored.content(), block.content())
                writes = self.store.calls.count("write")
                rows.step()
                self.assertEqual(self.store.calls.count("write"), writes)

    def test_only_lost_blocks_are_written_again(self):
        rows = self.make_rows("n1")
        self.block(rows)
        writes = self.store.calls.count("write")
        self.store.restore(self.store.version.number)
        rows.step()
        self.assertEqual(self.store.calls.count("write"), writes)
        self.store.restore(0)
        self.store.down = True
        rows.step()
        self.store.down = False
        rows.step()
        self.assertEqual(self.store.calls.count("write"), writes + 1)

    def test_an_end_is_kept_against_a_late_write_of_the_block(self):
        rows, other = self.make_rows("n1"), self.make_rows("n2")
        self.block(rows)
        other.load()
        other._guard.note_answer(("x",))
        other.step()
        rows._guard.unsaved.add("b")
        rows.step()
        self.assertTrue(rows._guard.blocks.get("b").ended)
        third = self.make_rows("n3")
        third.load()
        self.assertTrue(third._guard.blocks.get("b").ended)

    def test_one_node_makes_a_trial(self):
        rows, other = self.make_rows("n1"), self.make_rows("n2")
        block = self.block(rows)
        other.load()
        copy = other._guard.blocks.get("b")
        self.timers.advance(TRIAL_DELAYS_SECONDS[0] + 1)
        rows._guard.note_refusal(block)
        other._guard.note_refusal(copy)
        # Neither node knows the other one, so both take themselves for the first.
        rows.step()
        other.step()
        self.assertTrue(rows._guard.take_trial(block))
        self.assertFalse(other._guard.take_trial(copy))

    def test_blocks_of_the_same_part_share_their_trials(self):
        # Nodes with other evidence may have blocked it together with another part.
        rows = self.make_rows("n1")
        self.block(rows)
        for block_id, parts in (("a", "xy"), ("c", "x"), ("d", "xz")):
            block = make_block(self.timers.now(), block_id)
            block.parts = frozenset(parts)
            rows._guard.learn(block, "test")
            rows._guard.unsaved.add(block_id)
        rows._guard.note_answer(("y",))
        rows.step()
        trials = 0
        for _ in range(200):
            self.timers.advance(30.0)
            for parts in (("x",), ("x", "z")):
                block = rows._guard.find_block("org", parts)
                rows._guard.note_refusal(block)
                rows.step()
                trials += rows._guard.take_trial(block)
        self.assertEqual(trials, len(TRIAL_DELAYS_SECONDS))

    def test_a_block_gets_a_bounded_number_of_trials(self):
        rows = self.make_rows("n1")
        block = self.block(rows)
        trials = 0
        for _ in range(200):
            self.timers.advance(30.0)
            rows._guard.note_refusal(block)
            rows.step()
            trials += rows._guard.take_trial(block)
        self.assertEqual(trials, len(TRIAL_DELAYS_SECONDS))
        self.assertFalse(block.ended)

    def test_an_unused_block_expires_with_its_row(self):
        rows = self.make_rows("n1")
        self.block(rows)
        self.timers.advance(BLOCK_RETENTION_SECONDS)
        rows.step()
        self.assertEqual(self.store.read(BLOCK_TABLE).rows, ())

    def test_malformed_rows_are_ignored(self):
        rows = self.make_rows("n1")
        self.store.put(BLOCK_TABLE, "a", b"\xc1")
        self.store.put(BLOCK_TABLE, "b", packb([1, 2]))
        self.store.put(BLOCK_TABLE, "c", packb([["x"], ["o"], 3, [], [], "t", 1, 0]))
        self.assertTrue(rows.load())
        self.assertEqual(rows._guard.blocks.all(), [])
