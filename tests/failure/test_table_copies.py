"""Copies of tables that a node fetches from a peer with newer ones."""

import logging
import unittest

import gevent
from gevent import socket
from gevent.server import StreamServer
from msgpack import packb

from fakes.gateway_rows import MemoryRowStore
from fakes.gateway_settings import make_settings
from rattanwick.internal.base.errors import ProtocolError
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.gateway.interfaces import StoredRow, Version
from rattanwick.internal.gateway.members import Member
from rattanwick.internal.gateway.peer_messages import decode_copy
from rattanwick.internal.gateway.table_copies import TableCopies
from rattanwick.internal.gateway.table_watch import TableChanges, TableWatch
from rattanwick.internal.peers.packing import pack_compressed
from tests.gateway_case import make_state

TABLE = "servers"
LIMIT_SECONDS = 4.0


class TableCopyTests(unittest.TestCase):
    """Guard against a node that stays out of date after a lost datagram of changes."""

    def setUp(self):
        self.timers = GeventTimerService()
        self.store = MemoryRowStore()
        self.addCleanup(self.timers.stop)
        self.store.put(TABLE, "i-1", b"first")
        self.watch, self.copies, self.state = self.make_node("n1")
        self.peer_watch, self.peer, _ = self.make_node("n2")
        self.peer.start()
        self.addCleanup(self.peer._server.stop)

    def make_node(self, node_id: str):
        """Return watch, copies and state of a node that does not poll the store."""
        state = make_state(self.timers, make_settings(node_id))
        watch = TableWatch(
            self.store, TABLE, self.timers, lambda *_: None, is_polling=lambda: False
        )
        watch._poll_once()
        return watch, TableCopies(state, [watch], lambda *_: None), state

    def add_peer(self, port: int) -> None:
        """Add the peer to the node's members, with the version of its copy."""
        now = self.timers.now()
        versions = {TABLE: self.peer_watch.changed_version}
        address = ("127.0.0.1", port)
        self.state.members.put(
            Member("n2", 1, address, "x:1", "a", now, versions=versions)
        )

    def catch_up(self, done, seconds: float = LIMIT_SECONDS) -> bool:
        """Catch up until ``done()``; return whether it became true in time."""
        with gevent.Timeout(seconds, False):
            while not done():
                self.add_peer(self.port)
                self.copies.catch_up(self.timers.now())
                gevent.sleep(0.05)
            return True
        return False

    def test_a_node_that_is_behind_fetches_the_copy_of_a_peer(self):
        self.store.put(TABLE, "i-1", None)
        self.store.put(TABLE, "i-2", b"second")
        self.peer_watch._poll_once()
        self.peer_watch.last_failure = self.timers.now() - 1.0
        self.port = self.peer._server.server_port
        self.assertTrue(self.catch_up(lambda: "i-2" in self.watch.rows))
        self.assertEqual(set(self.watch.rows), {"i-2"})
        self.assertEqual(self.watch.changed_version, self.peer_watch.changed_version)
        self.assertAlmostEqual(self.watch.failed_seconds(), 1.0, delta=1.0)

    def test_a_node_that_missed_a_return_takes_a_peers_copy_of_the_new_era(self):
        """The copy has lower numbers, as the store gives them out again."""
        for number in range(5):
            self.store.put(TABLE, f"i-{number}", b"old")
        self.watch._complete = False
        self.watch._poll_once()
        self.store.restore(1)
        self.peer_watch._poll_once()
        self.peer_watch._poll_once()
        self.port = self.peer._server.server_port
        self.assertTrue(self.catch_up(lambda: self.watch.version.era == 2))
        self.assertEqual(
            self.watch.rows, {"i-1": StoredRow("i-1", b"first", Version(2, 1))}
        )

    def test_a_node_in_the_new_era_takes_no_copy_of_a_peer_in_the_old_one(self):
        for number in range(5):
            self.store.put(TABLE, f"i-{number}", b"old")
        self.peer_watch._complete = False
        self.peer_watch._poll_once()
        self.store.restore(1)
        self.watch._poll_once()
        self.watch._poll_once()
        self.port = self.peer._server.server_port
        self.assertFalse(self.catch_up(lambda: self.watch.version.era == 1, 1.0))
        self.assertEqual(set(self.watch.rows), {"i-1"})

    def test_a_node_that_read_the_table_after_its_newest_removal_is_not_behind(self):
        """It had fetched the copy of a peer five times a second without an end."""
        self.store.put(TABLE, "i-2", b"second")
        self.peer_watch._poll_once()
        self.store.put(TABLE, "i-2", None)
        self.peer_watch._poll_once()
        self.store.put("other", "k", b"v")
        self.watch._complete = False
        self.watch._poll_once()
        self.port = self.peer._server.server_port
        with self.assertNoLogs("rattanwick.peers", "INFO"):
            self.catch_up(lambda: False, 1.0)
        # A later change that the peer forwards follows on what this node has read.
        after = self.peer_watch.changed_version
        version = self.store.put(TABLE, "i-3", b"third")
        rows = (StoredRow("i-3", b"third", version),)
        self.assertTrue(
            self.watch.apply_changes(TableChanges(TABLE, after, version, rows, None))
        )

    def test_a_malformed_copy_is_not_decoded(self):
        fields = {"version": [9, 9], "changed": [9, 9], "failed_seconds": None}
        for message in (
            b"torn",
            None,
            pack_compressed({**fields, "rows": [["i-1", b"x", 9]]}),
            pack_compressed({**fields, "rows": [["i-1", b"x", [9, -1]]]}),
            pack_compressed({**fields, "rows": [["i-1", "x", [9, 9]]]}),
            pack_compressed({**fields, "rows": [], "version": 9}),
            pack_compressed({**fields, "rows": [], "other": 9}),
            pack_compressed(fields),
        ):
            with self.subTest(message), self.assertRaises((ValueError, ProtocolError)):
                decode_copy(message)

    def fetch(self, response: bytes) -> list[logging.LogRecord]:
        """Fetch a copy that holds these bytes; return what was logged."""

        def serve(sock, _address):
            sock.recv(100)
            sock.sendall(response)
            sock.shutdown(socket.SHUT_WR)

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        try:
            self.port = server.server_port
            self.add_peer(self.port)
            with self.assertLogs("rattanwick.peers", "INFO") as logs:
                self.copies._fetch(self.state.members.get("n2"), self.watch)
            return logs.records
        finally:
            server.stop()

    def test_a_malformed_copy_changes_nothing(self):
        """Guard against a copy that is used in part, or whose loss is not logged."""
        copy = {
            "version": [1, 9],
            "changed": [1, 9],
            "failed_seconds": 1.0,
            "rows": [["i-2", b"second", [1, 9]]],
        }
        odd = [
            {**copy, name: value}
            for name, values in {
                "version": (None, 9, [9], [1, -1], [-1, 9], [1, 2**60], [1, 9.5]),
                "changed": (None, 9, [9], [1, -1], [1, 2**60], [1, True]),
                "failed_seconds": ("1", -1.0, float("nan"), []),
                "rows": (
                    None,
                    5,
                    [5],
                    [[]],
                    [["i-2", b"second"]],
                    [["i-2", "text", [1, 9]]],
                    [["i-2", b"second", 9]],
                    [[5, b"second", [1, 9]]],
                    [["i-2", b"second", [1, "9"]]],
                    [["i-2", b"second", [1, -1]]],
                ),
            }.items()
            for value in values
        ]
        odd += [{}, {name: value for name, value in copy.items() if name != "changed"}]
        responses = [packb(pack_compressed(fields)) for fields in odd]
        responses += [packb(b"torn"), packb(5), b"", b"\xc1", b"\x91" * 5000]
        responses.append(b"\xc6\xff\xff\xff\xff" + b"x" * (33 << 20))
        known = dict(self.watch.rows)
        for number, response in enumerate(responses):
            with self.subTest(number=number, response=response[:40]):
                (record,) = self.fetch(response)
                self.assertEqual(record.getMessage(), "peers: copy not fetched")
                self.assertEqual(self.watch.rows, known)
                self.assertIsNone(self.watch.last_failure)
        self.fetch(packb(pack_compressed(copy)))
        self.assertEqual(set(self.watch.rows), {"i-2"})

    def test_an_odd_request_gets_no_copy(self):
        """Guard against a request that ends with an exception."""
        for request in (packb([TABLE]), packb({}), packb(5), b"\x91" * 5000, b"\xc1"):
            with (
                self.subTest(request=request[:20]),
                self.assertLogs("rattanwick.peers", "WARNING"),
            ):
                port = self.peer._server.server_port
                sock = socket.create_connection(("127.0.0.1", port))
                sock.sendall(request)
                self.assertEqual(sock.recv(100), b"")
                sock.close()


if __name__ == "__main__":
    unittest.main()
