"""The table of members while the store returns to an older copy."""

import unittest
from dataclasses import replace

import gevent

from fakes.gateway_rows import MemoryRowStore
from fakes.gateway_settings import make_settings
from rattanwick.internal.base.timers import GeventTimerService, ManualTimerService
from rattanwick.internal.gateway.interfaces import StoredRow
from rattanwick.internal.gateway.member_rows import MEMBER_TABLE, MemberRows
from rattanwick.internal.gateway.members import (
    MEMBER_RETENTION_SECONDS,
    Member,
    decode_member,
    encode_member,
)
from tests.gateway_case import make_configuration, make_state


class MemberRowsCase(unittest.TestCase):
    """Test case with one node and the store."""

    def setUp(self):
        self.store = MemoryRowStore()
        self.timers = self.make_timers()
        settings = replace(make_settings("n1"), peer_port=7600, first_start=False)
        self.state = make_state(self.timers, settings)
        self.state.configuration = make_configuration()
        self.rows = MemberRows(self.state, self.store, boot=5)

    def make_timers(self):
        """Return the timer service of the node."""
        return ManualTimerService()

    def boots(self) -> dict[str, int]:
        """Return the starts of the processes in the table."""
        rows = self.store.tables.get(MEMBER_TABLE, {}).values()
        return {row.key: decode_member(row.key, row.value, 0.0).boot for row in rows}

    def write_peer(self, node_id: str, boot: int) -> None:
        """Write another node's row."""
        settings = replace(make_settings(node_id), peer_port=7600)
        self.store.put(MEMBER_TABLE, node_id, encode_member(settings, boot))


class OwnRowTests(MemberRowsCase):
    """Guard against a node that no node which starts later knows of."""

    def test_a_row_that_was_lost_is_written_again(self):
        self.rows._sync()
        self.store.restore(0)
        self.assertEqual(self.boots(), {})
        self.rows._sync()
        self.assertEqual(self.boots(), {"n1": 5})

    def test_the_row_of_the_process_before_is_replaced(self):
        self.write_peer("n1", 4)
        older = self.store.version.number
        self.rows._sync()
        self.store.restore(older)
        self.rows._sync()
        self.assertEqual(self.boots(), {"n1": 5})

    def test_the_row_of_a_later_process_stays(self):
        self.rows._sync()
        self.write_peer("n1", 6)
        self.rows._sync()
        self.assertEqual(self.boots(), {"n1": 6})

    def test_a_node_that_leaves_does_not_write_its_row_again(self):
        self.rows._sync()
        self.store.put(MEMBER_TABLE, "n1", None)
        self.state.leaving = True
        self.rows._sync()
        self.assertEqual(self.boots(), {})

    def test_the_table_is_read_by_a_node_that_starts_until_it_serves(self):
        self.assertGreater(self.rows._sync(), 5.0)
        self.state.configuration = None
        self.assertLess(self.rows._sync(), 2.0)


class NewEraTests(MemberRowsCase):
    """Guard against a row that stays lost until the next regular read."""

    def make_timers(self):
        """Return the timer service of the node."""
        timers = GeventTimerService()
        self.addCleanup(timers.stop)
        return timers

    def test_a_new_era_ends_the_pause_between_reads(self):
        task = gevent.spawn(self.rows.run)
        self.addCleanup(task.kill)
        gevent.sleep(0.1)
        self.store.restore(0)
        with gevent.Timeout(2.5, False):
            while not self.boots():
                gevent.sleep(0.05)
        self.assertEqual(self.boots(), {"n1": 5})
        self.assertLess(len(self.store.calls), 8)


class LeftMemberTests(MemberRowsCase):
    """Guard against a node that has left and counts again with its row."""

    def hear_leaving(self, boot: int) -> None:
        """Receive the state of a member that leaves."""
        now = self.timers.now()
        self.state.members.put(
            Member("n2", boot, ("x", 1), "x:1", "a", now, now, leaving=True)
        )

    def setUp(self):
        super().setUp()
        self.write_peer("n2", 3)
        self.older = self.store.version.number
        self.hear_leaving(3)
        self.store.put(MEMBER_TABLE, "n2", None)
        self.timers.advance(MEMBER_RETENTION_SECONDS + 1)
        self.state.members.update_liveness(self.timers.now())
        self.assertIsNone(self.state.members.get("n2"))
        self.store.restore(self.older)

    def test_the_row_of_a_process_that_left_adds_no_member(self):
        self.rows.add_members(self.store.read(MEMBER_TABLE).rows)
        self.assertIsNone(self.state.members.get("n2"))

    def test_the_row_of_a_process_that_left_is_removed(self):
        self.rows._sync()
        self.assertEqual(self.boots(), {"n1": 5})

    def test_the_row_of_a_later_process_counts(self):
        self.write_peer("n2", 4)
        self.rows._sync()
        self.assertEqual(self.state.members.get("n2").boot, 4)
        self.assertEqual(self.boots(), {"n1": 5, "n2": 4})

    def test_a_process_that_is_heard_counts_though_its_clock_was_set_back(self):
        """Its row had been removed as often as it was written."""
        self.write_peer("n2", 2)
        now = self.timers.now()
        self.state.members.put(Member("n2", 2, ("x", 1), "x:1", "a", now, now))
        self.rows._sync()
        self.assertEqual(self.boots(), {"n1": 5, "n2": 2})

    def test_a_row_that_is_written_meanwhile_is_not_removed(self):
        read = self.store.read

        def read_and_write(table):
            page = read(table)
            self.write_peer("n2", 4)
            return page

        self.store.read = read_and_write
        self.rows._sync()
        self.assertEqual(self.boots(), {"n1": 5, "n2": 4})

    def test_a_malformed_row_under_the_id_stays(self):
        self.store.put(MEMBER_TABLE, "n2", b"odd")
        self.rows._sync()
        (row,) = [r for r in self.store.read(MEMBER_TABLE).rows if r.key == "n2"]
        self.assertEqual(row, StoredRow("n2", b"odd", row.version))


if __name__ == "__main__":
    unittest.main()
