"""The store's client and copies of tables while the store returns to an older copy."""

import json
import unittest

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from fakes.gateway_platform import FakeGatewayPlatform
from fakes.gateway_rows import MemoryRowStore
from rattanwick.internal.base.errors import Conflict, MaybeApplied, Unavailable
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.gateway.interfaces import (
    NO_VERSION,
    HistoryLost,
    RowPage,
    StoredRow,
    Version,
)
from rattanwick.internal.gateway.table_watch import (
    RETRY_INTERVAL_SECONDS,
    TableChanges,
    TableWatch,
)
from rattanwick.platform.store import PlatformStore

TABLE = "t"
QUIET_SECONDS = 1.0


class AnswerCase(unittest.TestCase):
    """Test case with a server that answers each call as a test says."""

    def setUp(self):
        self.answers: list[tuple[str, list[str], dict]] = []
        self.received: list[str] = []
        self.server = WSGIServer(("127.0.0.1", 0), self.answer, log=None)
        self.server.start()
        self.addCleanup(self.server.stop, 0.1)
        self.store = PlatformStore(("127.0.0.1", self.server.server_port))

    def answer(self, environ, start_response):
        """Respond with the next answer, the last one again and again."""
        self.received.append(environ["PATH_INFO"])
        status, eras, body = (
            self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        )
        data = json.dumps(body).encode()
        headers = [("Content-Length", str(len(data)))]
        headers.extend(("Store-Era", era) for era in eras)
        start_response(status, headers)
        return [data]

    def expect(self, *answers: tuple[str, list[str], dict]) -> None:
        """Set the answers to the next calls."""
        self.answers = list(answers)


def page(number: int, *rows: int, status: str = "200 OK", eras: tuple[str, ...] = ()):
    """Return an answer with rows of these numbers."""
    encoded = [{"key": f"k{n}", "value": "YQ==", "ver": n} for n in rows]
    return status, list(eras), {"rows": encoded, "ver": number}


class EraTests(AnswerCase):
    """Guard against a row or a write of one era that is taken for one of another."""

    def test_versions_have_the_era_of_their_answer(self):
        self.expect(page(9, 4, eras=["3"]))
        found = self.store.read(TABLE)
        self.assertEqual(found.version, Version(3, 9))
        self.assertEqual(found.rows[0].version, Version(3, 4))
        self.assertEqual(self.store.era, 3)

    def test_a_store_that_names_no_era_stays_in_era_0(self):
        self.expect(page(9, 4))
        self.assertEqual(self.store.read(TABLE).version, Version(0, 9))
        self.assertEqual(self.store.write(TABLE, "k", b"v", Version(0, 4)), (0, 9))

    def test_refusals_name_the_era_too(self):
        self.expect(page(9, status="503 Unavailable", eras=["5"]))
        self.assertRaises(Unavailable, self.store.read, TABLE)
        self.assertEqual(self.store.era, 5)

    def test_an_answer_of_an_earlier_era_is_no_result(self):
        self.expect(page(9, eras=["4"]), page(50, 50, eras=["3"]))
        self.store.read(TABLE)
        self.assertRaises(Unavailable, self.store.read, TABLE)
        after = Version(3, 40)
        self.assertRaises(Unavailable, self.store.wait_for_changes, TABLE, after, 0.1)
        self.assertRaises(MaybeApplied, self.store.put, TABLE, "k", b"v")
        self.assertEqual(self.store.era, 4)

    def test_a_late_answer_without_an_era_is_not_of_the_new_one(self):
        self.expect(page(9, eras=["4"]))
        self.store.read(TABLE)
        call = gevent.spawn(self.store.read, TABLE)
        held = self.hold_answers()
        gevent.sleep(0.05)
        self.store._era = 5  # as another call has learned
        held.set()
        call.join()
        self.assertIsInstance(call.exception, Unavailable)

    def hold_answers(self):
        """Let answers without an era wait until the returned event is set."""
        event = Event()

        def wait_and_answer(environ, start_response):
            event.wait()
            start_response("200 OK", [("Content-Length", "20")])
            return [b'{"rows":[], "ver":9}']

        self.server.application = wait_and_answer
        return event

    def test_a_malformed_era_counts_as_missing(self):
        self.expect(page(9, eras=["4"]))
        self.store.read(TABLE)
        for eras in (["x"], [""], ["-7"], ["1" * 10], ["7", "7"], ["7.0"], ["\u00b2"]):
            self.expect(page(9, eras=eras))
            with self.subTest(eras):
                self.assertEqual(self.store.read(TABLE).version, Version(4, 9))
                self.assertEqual(self.store.era, 4)

    def test_malformed_eras_are_logged_once_in_a_while(self):
        self.expect(page(9, eras=["x"]))
        with self.assertLogs("rattanwick.store", "WARNING") as logs:
            for _ in range(5):
                self.store.read(TABLE)
        self.assertEqual(len(logs.records), 1)

    def test_a_write_that_expects_a_version_of_an_earlier_era_is_not_sent(self):
        self.expect(page(9, eras=["4"]))
        self.store.read(TABLE)
        with self.assertRaises(Conflict):
            self.store.write(TABLE, "k", b"v", Version(3, 9))
        self.assertEqual(self.received, ["/api/rows-get"])
        self.assertEqual(self.store.write(TABLE, "k", b"v", NO_VERSION), (4, 9))

    def test_a_write_over_a_return_may_be_applied(self):
        writes = (
            lambda: self.store.put(TABLE, "k", b"v"),
            lambda: self.store.write(TABLE, "k", b"v", NO_VERSION),
            lambda: self.store.write(TABLE, "k", b"v", Version(self.store.era, 9)),
        )
        for era, write in enumerate(writes, 4):
            self.expect(page(9, eras=[str(era)]), page(10, eras=[str(era + 1)]))
            self.store.read(TABLE)
            with self.subTest(era):
                self.assertRaises(MaybeApplied, write)
                self.assertEqual(self.store.era, era + 1)

    def test_a_feed_from_another_era_has_lost_its_history(self):
        self.expect(page(60, 55, eras=["4"]))
        after = Version(3, 50)
        self.assertRaises(HistoryLost, self.store.wait_for_changes, TABLE, after, 0.1)

    def test_a_table_of_several_pages_is_as_old_as_the_first(self):
        """A change between two pages may be to a row of the first one."""
        status, eras, body = page(9, 4, eras=["3"])
        first = status, eras, {**body, "truncated": True}
        self.expect(first, page(12, 5, eras=["3"]))
        self.assertEqual(self.store.read(TABLE).version, Version(3, 9))

    def test_a_table_whose_pages_are_of_two_eras_is_read_again(self):
        status, eras, body = page(9, 4, eras=["3"])
        first = status, eras, {**body, "truncated": True}
        self.expect(first, page(9, 5, eras=["4"]))
        self.assertRaises(Unavailable, self.store.read, TABLE)


class FakeStoreTests(unittest.TestCase):
    """Guard against a fake that is kinder than a store that returns."""

    def setUp(self):
        self.platform = FakeGatewayPlatform()
        self.platform.start()
        self.addCleanup(self.platform.stop)
        host, _, port = self.platform.address.partition(":")
        self.store = PlatformStore((host, int(port)))

    def test_the_store_gives_lost_numbers_out_again(self):
        self.store.put(TABLE, "a", b"1")
        lost = self.store.put(TABLE, "a", b"2")
        self.platform.rows.restore(1)
        (row,) = self.store.read(TABLE).rows
        self.assertEqual((row.value, row.version), (b"1", Version(2, 1)))
        again = self.store.put(TABLE, "b", b"3")
        self.assertEqual(again, Version(2, lost.number))

    def test_a_feed_from_a_number_that_the_store_lacks_is_refused(self):
        for _ in range(3):
            version = self.store.put(TABLE, "a", b"1")
        call = gevent.spawn(self.store.wait_for_changes, TABLE, version, 5.0)
        gevent.sleep(0.1)
        self.platform.rows.restore(1)
        call.join(1.0)
        self.assertIsInstance(call.exception, HistoryLost)
        self.assertRaises(HistoryLost, self.store.wait_for_changes, TABLE, version, 0.1)

    def test_kept_tables_are_written_again(self):
        self.store.put(TABLE, "a", b"1")
        self.store.put("u", "a", b"1")
        self.platform.rows.restore(0, keep=("u",))
        self.assertEqual(self.store.read(TABLE).rows, ())
        self.assertEqual(self.store.read("u").rows[0].value, b"1")


class ScriptedStore(MemoryRowStore):
    """Store whose reads or polls return what a test says."""

    def __init__(self):
        super().__init__()
        self.read_page: RowPage | None = None
        self.poll = None  # called instead of a poll

    def read(self, table: str) -> RowPage:
        """Return the page that is set, or the rows."""
        found = super().read(table)
        return self.read_page or found

    def wait_for_changes(self, table: str, after: Version, wait: float) -> RowPage:
        """Call ``poll`` if it is set."""
        if self.poll is None:
            return super().wait_for_changes(table, after, wait)
        self.calls.append("follow")
        return self.poll(after)


def lose_history(after: Version) -> RowPage:
    """Refuse a poll."""
    raise HistoryLost("follow", "store", "dropped")


class ReturnedTableTests(unittest.TestCase):
    """Guard against rows of an earlier era that hide those of a later one."""

    def setUp(self):
        self.store = ScriptedStore()
        self.timers = GeventTimerService()
        self.addCleanup(self.timers.stop)
        self.changes: list[set[str]] = []
        self.forwarded: list[TableChanges] = []
        self.watch = self.make_watch()
        for value in (b"1", b"2", b"3"):
            self.store.put(TABLE, "a", value)

    def make_watch(self) -> TableWatch:
        """Return a watch of the table."""
        watch = TableWatch(
            self.store,
            TABLE,
            self.timers,
            lambda rows, changed: self.changes.append(changed),
        )
        watch.forward_changes = self.forwarded.append
        self.addCleanup(watch.stop)
        return watch

    def start(self) -> None:
        """Start the watch and wait until it has read the table."""
        self.watch.start()
        self.assertTrue(self.watch.loaded.wait(1.0))

    def values(self) -> dict[str, bytes]:
        """Return the values in the copy."""
        return {row.key: row.value for row in self.watch.rows.values()}

    def wait_for(self, values: dict[str, bytes]) -> bool:
        """Return whether the copy has certain values in time."""
        with gevent.Timeout(2.0, False):
            while self.values() != values:
                gevent.sleep(0.01)
            return True
        return False

    def assert_paused(self) -> None:
        """Check that the watch does not call the store without pauses."""
        before = len(self.store.calls)
        gevent.sleep(QUIET_SECONDS)
        calls = len(self.store.calls) - before
        self.assertLessEqual(calls, 2 * (1 + QUIET_SECONDS / RETRY_INTERVAL_SECONDS))
        self.assertGreater(calls, 1)

    def test_rows_written_after_a_return_reach_the_copy(self):
        """The copy of the table had been ignored for its lower number."""
        self.start()
        self.store.restore(1)
        self.assertTrue(self.wait_for({"a": b"1"}))
        self.store.put(TABLE, "b", b"4")
        self.assertTrue(self.wait_for({"a": b"1", "b": b"4"}))

    def test_a_return_is_noticed_once_the_numbers_have_passed_the_old_ones(self):
        self.store.poll = lambda after: gevent.sleep(60)
        self.start()
        self.store.restore(1)
        for key in ("b", "c", "d"):
            self.store.put(TABLE, key, b"4")
        self.store.poll = None
        self.watch.cancel_poll()
        self.assertTrue(self.wait_for({"a": b"1", **dict.fromkeys("bcd", b"4")}))

    def test_a_store_that_refuses_every_poll_is_called_with_pauses(self):
        self.store.poll = lose_history
        self.start()
        self.assert_paused()

    def test_a_store_that_ends_every_poll_at_once_is_called_with_pauses(self):
        self.store.poll = lambda after: RowPage((), after)
        self.start()
        self.assert_paused()

    def test_a_table_of_an_older_version_is_ignored_and_read_again_with_pauses(self):
        self.start()
        older = StoredRow("a", b"0", Version(0, 9))
        self.store.read_page = RowPage((older,), Version(0, 9))
        self.store.poll = lose_history
        self.watch.cancel_poll()
        gevent.sleep(0.1)
        self.assert_paused()
        self.assertEqual(self.values(), {"a": b"3"})
        self.store.read_page = self.store.poll = None
        self.store.put(TABLE, "a", b"4")
        self.assertTrue(self.wait_for({"a": b"4"}))

    def test_a_late_page_of_the_old_era_changes_nothing(self):
        self.start()
        self.watch.stop()
        version = Version(2, 2)
        rows = {"b": StoredRow("b", b"5", version)}

        def answer_late(after: Version) -> RowPage:
            self.assertTrue(self.watch.replace_with_copy(rows, version, version))
            late = StoredRow("a", b"4", Version(1, 4))
            return RowPage((late,), Version(1, 4))

        self.store.poll = answer_late
        self.watch._poll_once()
        self.assertEqual(self.values(), {"b": b"5"})
        self.assertEqual(self.watch.version, version)
        self.assertEqual(self.forwarded, [])

    def test_changes_of_another_era_change_nothing(self):
        self.watch._poll_once()
        self.store.restore(1)
        self.watch._poll_once()
        self.watch._poll_once()
        known = self.watch.version
        self.assertEqual(known, Version(2, 1))
        row = StoredRow("b", b"7", Version(1, 9))
        newer = StoredRow("b", b"7", Version(3, 1))
        for changes in (
            TableChanges(TABLE, Version(1, 3), Version(1, 9), (row,), None),
            TableChanges(TABLE, Version(1, 3), Version(2, 9), (row,), None),
            TableChanges(TABLE, Version(2, 1), Version(2, 9), (row,), None),
            TableChanges(TABLE, Version(1, 3), Version(3, 9), (newer,), None),
            TableChanges(TABLE, Version(2, 1), Version(3, 9), (newer,), None),
            TableChanges(TABLE, Version(3, 0), Version(3, 9), (newer,), None),
        ):
            with self.subTest(changes):
                self.watch.apply_changes(changes)
                self.assertEqual(self.values(), {"a": b"1"})
                self.assertEqual(self.watch.version, known)

    def test_a_copy_with_rows_of_two_eras_is_refused(self):
        self.watch._poll_once()
        version = Version(2, 9)
        for rows, changed in (
            ({"a": StoredRow("a", b"9", Version(1, 9))}, Version(2, 9)),
            ({"a": StoredRow("a", b"9", Version(2, 10))}, Version(2, 9)),
            ({}, Version(3, 0)),
        ):
            with self.subTest(rows):
                self.assertFalse(self.watch.replace_with_copy(rows, version, changed))
                self.assertEqual(self.values(), {"a": b"3"})

    def test_an_empty_table_of_a_new_era_is_newer_than_a_full_one(self):
        self.watch._poll_once()
        peer = self.make_watch()
        peer._poll_once()
        self.store.restore(0)
        peer._poll_once()
        peer._poll_once()
        self.assertEqual(peer.rows, {})
        self.assertGreater(peer.changed_version, self.watch.changed_version)
        self.assertTrue(
            self.watch.replace_with_copy({}, peer.version, peer.changed_version)
        )
        self.assertEqual(self.watch.rows, {})

    def test_each_era_is_logged_with_what_changed(self):
        self.store.put(TABLE, "b", b"1")
        self.watch._poll_once()
        self.store.restore(1)
        with self.assertLogs("rattanwick.store", "WARNING") as logs:
            for _ in range(3):
                self.watch._poll_seconds = lambda: 0.0
                self.watch._poll_once()
        (line,) = [
            r
            for r in logs.records
            if r.getMessage() == "store: table read in a new era"
        ]
        self.assertEqual((line.former, line.version), ((1, 4), (2, 1)))
        self.assertEqual((line.rows, line.values_changed), (1, 1))
        self.assertEqual(line.removed, ["b"])


if __name__ == "__main__":
    unittest.main()
