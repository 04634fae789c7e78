"""Copies of tables that a node fetches from a peer with newer ones."""

import unittest

import gevent
from gevent import socket
from gevent.server import StreamServer
from msgpack import packb

from fakes.gateway_rows import MemoryRowStore
from fakes.gateway_settings import make_settings
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.gateway.interfaces import StoredRow
from rattanwick.internal.gateway.members import Member
from rattanwick.internal.gateway.table_copies import TableCopies
from rattanwick.internal.gateway.table_watch import TableWatch
from tests.gateway_case import (
    make_state,
)

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

    def catch_up(self, done) -> bool:
        """Catch up until ``done()``; return whether it became true in time."""
        with gevent.Timeout(LIMIT_SECONDS, False):
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

    def test_a_malformed_copy_changes_nothing(self):
        self.store.put(TABLE, "i-2", b"second")
        self.peer_watch._poll_once()
        requested_tables = []

        def serve(sock, _address):
            requested_tables.append(sock.recv(100))
            sock.sendall(packb(b"torn"))
            sock.shutdown(socket.SHUT_WR)

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop)
        self.port = server.server_port
        self.assertTrue(self.catch_up(lambda: len(requested_tables) > 1))
        row = self.watch.rows["i-1"]
        self.assertEqual(row, StoredRow("i-1", b"first", row.version))
        self.assertEqual(set(self.watch.rows), {"i-1"})


if __name__ == "__main__":
    unittest.main()
