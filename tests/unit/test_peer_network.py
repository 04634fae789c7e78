"""Calls and notifications between nodes over authenticated connections.

Guards against replies that reach the wrong call, errors that end a connection, and
messages exchanged with a node of another id or another secret.
"""

import unittest
from unittest import mock

import gevent

from rattanwick.internal.base.errors import Refused, TimedOut, Unavailable
from rattanwick.internal.peers import connection_table
from tests.peer_cluster import Networks, make_node, wait_until


class PeerNetworkTests(unittest.TestCase):
    def setUp(self):
        self.networks = Networks()
        self.addCleanup(self.networks.stop)
        self.first = self.networks.add("n1")
        self.second = self.networks.add("n2")

    def test_a_call_returns_the_reply(self):
        reply = self.first.call("n2", "echo", {"text": "blade"}, 1.0)
        self.assertEqual(reply, {"peer": "n1", "text": "blade"})

    def test_a_late_reply_is_not_taken_for_another_call(self):
        # The reply to a call that timed out arrives on the same connection as the next
        # reply. Guards against matching replies by order instead of by sequence.
        self.second.handle("slow", lambda peer, body: gevent.sleep(0.1) or {"slow": 1})
        with self.assertRaises(TimedOut):
            self.first.call("n2", "slow", {}, 0.02)
        gevent.sleep(0.12)
        self.assertNotIn("slow", self.first.call("n2", "echo", {}, 1.0))

    def test_a_failing_handler_is_reported_and_the_connection_stays_open(self):
        # Guards against an exception in a handler that ends the reader of the
        # connection.
        self.second.handle("bad", lambda peer, body: {"x": body["absent"]})
        with self.assertRaises(Refused) as caught:
            self.first.call("n2", "bad", {}, 1.0)
        self.assertEqual((caught.exception.step, caught.exception.peer), ("bad", "n2"))
        self.assertEqual(self.first.call("n2", "echo", {}, 1.0)["peer"], "n1")

    def test_a_reply_that_cannot_be_sent_is_reported(self):
        # The reply is too large or cannot be encoded. Guards against a caller that
        # waits for its timeout because no error was sent in its place.
        for reply in ({"x": b"0" * (1 << 20)}, {"x": object()}, {"x": 1 << 70}):
            self.second.handle("bad", lambda peer, body, reply=reply: reply)
            with self.assertRaises(Refused):
                self.first.call("n2", "bad", {}, 1.0)

    def test_a_call_to_an_unreachable_node_is_unavailable(self):
        # Unavailable means that the call was not run, so that it can be repeated
        # safely.
        self.networks.nodes["gone"] = make_node("gone")
        with self.assertRaises(Unavailable):
            self.first.call("gone", "echo", {}, 1.0)

    def test_another_node_at_the_same_address_is_refused(self):
        # A new node has the address of a lost one while the instance list is still old.
        port = self.networks.nodes["n2"].peer_port
        self.networks.nodes["old"] = make_node("old", port=port)
        with self.assertRaises(Unavailable) as caught:
            self.first.call("old", "echo", {}, 1.0)
        self.assertIn("n2 answered", caught.exception.reason)

    def test_simultaneous_dials_lose_no_call_and_leave_one_connection(self):
        # Both nodes dial at once, which opens two connections. Guards against closing
        # one that still has calls, and against keeping both forever.
        calls = [
            gevent.spawn(network.call, other, "echo", {}, 2.0)
            for network, other in [(self.first, "n2"), (self.second, "n1")] * 5
        ]
        gevent.joinall(calls, raise_error=True)
        for conns in (self.first._connections, self.second._connections):
            self.networks.timers.subscribe("test", 0.1, conns.close_idle)
        short = mock.patch.object(
            connection_table, "DUPLICATE_IDLE_TIMEOUT_SECONDS", 0.1
        )
        self.enterContext(short)
        one_left = lambda: all(  # noqa: E731
            len(list(network._connections)) == 1
            for network in (self.first, self.second)
        )
        self.assertTrue(wait_until(one_left, 5.0))
        self.assertEqual(self.first.call("n2", "echo", {}, 1.0)["peer"], "n1")

    def test_a_notification_reaches_the_peer(self):
        # Guards against a notification that is dropped while the connection is dialled.
        got = []
        self.second.handle("tell", lambda peer, body: got.append(body))
        self.first.notify("n2", "tell", {"a": 1})
        self.assertTrue(wait_until(lambda: got == [{"a": 1}]))

    def test_a_wrong_secret_is_refused(self):
        # Guards against a check of the proof in one direction only.
        stranger = self.networks.add("n3", secret=b"another")
        with self.assertRaises(Unavailable):
            stranger.call("n2", "echo", {}, 1.0)
        with self.assertRaises(Unavailable):
            self.first.call("n3", "echo", {}, 1.0)
