"""Malformed bytes from any sender only raise the errors that are meant for them.

Guards against bytes that raise other exceptions, reach a handler without a handshake
or stop a node, and against gossip stores that differ with the order of items.
"""

import struct
import unittest

import gevent
import msgpack
from gevent import socket
from hypothesis import given, settings, strategies as st

from rattanwick.internal.base.errors import ConnectionLost, ProtocolError, StepError
from rattanwick.internal.peers.frames import (
    MAX_FRAME_BYTES,
    Frame,
    FrameReader,
    decode_payload,
    encode_frame,
)
from rattanwick.internal.peers.gossip_store import GossipItem, GossipStore
from rattanwick.internal.peers.member_records import Heartbeat, node_from_body
from rattanwick.internal.peers.replicas import ReplicaHeader, decode_replica
from tests.peer_cluster import Cluster, wait_until

PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.binary(max_size=9)
    | st.text(max_size=9) | st.floats(),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(max_size=6), inner, max_size=4),
    max_leaves=8,
)  # fmt: skip
EXAMPLES = settings(max_examples=60, deadline=None, derandomize=True)


def read_all(data: bytes, step: int = 7) -> list[Frame]:
    """Return the frames of a stream that arrives in pieces of ``step`` bytes."""
    pieces = [data[i : i + step] for i in range(0, len(data), step)]
    reader = FrameReader(lambda _: pieces.pop(0) if pieces else b"", "peer", 4096)
    return list(iter(reader.read, None))


class FrameTests(unittest.TestCase):
    @EXAMPLES
    @given(st.binary(max_size=200))
    def test_any_bytes_give_a_frame_or_a_step_error(self, data):
        for read in (lambda: decode_payload(data, "peer"), lambda: read_all(data)):
            try:
                read()
            except StepError:
                pass

    @EXAMPLES
    @given(PLAIN)
    def test_any_msgpack_gives_a_frame_or_a_protocol_error(self, value):
        try:
            frame = decode_payload(msgpack.packb(value), "peer")
        except ProtocolError:
            return
        self.assertIsInstance(frame.body, dict)

    @EXAMPLES
    @given(st.dictionaries(st.text(max_size=6), PLAIN, max_size=4), st.integers(1, 40))
    def test_a_stream_cut_anywhere_is_reported(self, body, cut):
        data = encode_frame(Frame("kind", 1, 0, body))
        self.assertEqual(len(read_all(data + data)), 2)
        with self.assertRaises(ConnectionLost):
            read_all(data[: -min(cut, len(data) - 1)])

    def test_an_oversize_length_is_refused_before_its_bytes_arrive(self):
        # Guards against buffering up to 4 GiB because of 4 bytes of length.
        with self.assertRaises(ProtocolError) as caught:
            read_all(struct.pack(">I", MAX_FRAME_BYTES + 1))
        self.assertIn("more than", caught.exception.reason)
        with self.assertRaises(ProtocolError):
            encode_frame(Frame("kind", 0, 0, {"x": b"0" * MAX_FRAME_BYTES}))

    def test_an_unknown_version_is_named(self):
        # The operator must learn from the error that a node has another protocol
        # version.
        data = encode_frame(Frame("kind", 0, 0, {}), version=9)
        with self.assertRaises(ProtocolError) as caught:
            read_all(data)
        self.assertIn("version 9 is unknown; expected 1", caught.exception.reason)

    @EXAMPLES
    @given(st.dictionaries(st.sampled_from("isvndw"), PLAIN), PLAIN, st.binary())
    def test_hostile_bodies_give_a_protocol_error(self, body, value, packed):
        header = {"id": "r", "server": "n", "start": 1, "epoch": 1, "holders": ["n"]}
        for read in (
            lambda: Heartbeat.from_body(body, "peer"),
            lambda: GossipItem.from_message([value] * 5),
            lambda: GossipItem.from_message(value),
            lambda: node_from_body("n", {"n": value}),
            lambda: ReplicaHeader.from_body({**header, "holders": value}),
            lambda: decode_replica(ReplicaHeader.from_body(header), packed),
        ):
            try:
                read()
            except ProtocolError:
                pass

    def test_hostile_frames_of_a_peer_do_not_stop_the_node(self):
        # Guards against frames with wrong fields that end the reader or drop a member.
        cluster = Cluster()
        self.addCleanup(cluster.stop)
        first, second = cluster.add_many(2)
        kinds = ["heartbeat", "news", "news.sync", "member.ping", "nothing", "reply"]
        self._send_hostile_frames(first, kinds)
        self.assertTrue(wait_until(lambda: cluster.agree(["n0", "n1"])))
        self.assertLess(len(second.gossip), 10)

    def test_a_member_item_with_a_version_far_in_the_future_is_rejected(self):
        # The member could not refute such an item, which would exceed any own version.
        cluster = Cluster()
        self.addCleanup(cluster.stop)
        first, second = cluster.add_many(2)
        item = second.gossip.get("member", "n1").to_message()
        item[2] = 2**61 + 3
        first.network.notify("n1", "news", {"items": [item]})
        gevent.sleep(0.1)
        self.assertTrue(cluster.agree(["n0", "n1"]))
        self.assertLess(second.gossip.get("member", "n1").version, 2**61)

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(st.data())
    def _send_hostile_frames(self, peer, kinds, data):
        body = data.draw(st.dictionaries(st.sampled_from(["items", "i", "s"]), PLAIN))
        kind = data.draw(st.sampled_from(kinds))
        peer.network.notify("n1", kind, body)
        gevent.sleep(0)


class StrangerTests(unittest.TestCase):
    def test_bytes_without_a_handshake_reach_no_handler(self):
        # Guards against handlers without authentication and against leaked sockets.
        cluster = Cluster()
        self.addCleanup(cluster.stop)
        first, _ = cluster.add_many(2)
        served = []
        first.network.handle("echo", lambda peer, body: served.append(body))
        self._send_as_stranger(first.node)
        self.assertEqual(served, [])
        self.assertTrue(cluster.agree(["n0", "n1"]))
        self.assertTrue(wait_until(lambda: not first.network._unauthenticated))

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.binary(max_size=100), st.booleans())
    def _send_as_stranger(self, node, data, framed):
        if framed:
            data = encode_frame(Frame("echo", 1, 0, {"x": data}))
        with socket.create_connection((node.host, node.peer_port)) as sock:
            sock.sendall(data)
        gevent.sleep(0)


class GossipStoreTests(unittest.TestCase):
    ITEMS = st.lists(
        st.tuples(st.sampled_from("ab"), st.integers(0, 5), st.integers(0, 2)),
        max_size=12,
    )

    @EXAMPLES
    @given(ITEMS, st.randoms(use_true_random=False))
    def test_all_orders_of_items_end_in_the_same_state(self, items, random):
        shuffled = random.sample(items, len(items))
        digests = set()
        for order in (items, shuffled, items + shuffled):
            store = GossipStore()
            newest: dict[str, int] = {}
            for key, version, text in order:
                store.merge(GossipItem.make("t", key, version, 0, {"x": text}), 0.0)
                held = store.get("t", key).version
                self.assertGreaterEqual(held, newest.get(key, 0))
                newest[key] = held
            digests.add((store.digest, tuple(store.buckets)))
        self.assertEqual(len(digests), 1)

    def test_a_flood_of_one_topic_does_not_evict_the_others(self):
        # Guards against a topic with many items that removes the members from the
        # store.
        store = GossipStore(limit=20)
        store.merge(GossipItem.make("member", "n1", 1, 0, {}), 0.0)
        for index in range(100):
            store.merge(GossipItem.make("flood", str(index), 1, 1000 + index, {}), 0.0)
        self.assertEqual(len(store), 20)
        self.assertIsNotNone(store.get("member", "n1"))

    def test_expired_items_are_removed_and_not_stored_again(self):
        # A peer may still have an expired item and send it again. Guards against items
        # that circulate forever.
        store = GossipStore()
        item = GossipItem.make("t", "k", 3, 100, {})
        self.assertTrue(store.merge(item, 99.0))
        store.drop_expired(100.0)
        self.assertEqual((len(store), store.digest), (0, 0))
        self.assertFalse(store.merge(item, 100.0))
