"""Copies of tables while the store fails or has lost its history of changes."""

import unittest

import gevent
from gevent.pywsgi import WSGIServer

from fakes.gateway_platform import FakeGatewayPlatform
from fakes.gateway_rows import MemoryRowStore
from rattanwick.internal.base.errors import (
    Conflict,
    MaybeApplied,
    ProtocolError,
    Unavailable,
)
from rattanwick.internal.base.timers import GeventTimerService, ManualTimerService
from rattanwick.internal.gateway.endpoint_directory import EndpointDirectory
from rattanwick.internal.gateway.interfaces import (
    NO_VERSION,
    HistoryLost,
    StoredRow,
    Version,
)
from rattanwick.internal.gateway.table_watch import (
    RETRY_INTERVAL_SECONDS,
    TableChanges,
    TableWatch,
    batching_seconds,
)
from rattanwick.platform.codec import PlatformCodec
from rattanwick.platform.store import PlatformStore
from tests.gateway_case import make_configuration, make_state


def wait_for(condition, seconds: float = 3.0) -> bool:
    """Return whether a condition became true in time."""
    with gevent.Timeout(seconds, False):
        while not condition():
            gevent.sleep(0.01)
        return True
    return False


class TableWatchTests(unittest.TestCase):
    """Guard against a node that uses an outdated copy without noticing."""

    def setUp(self):
        self.store = MemoryRowStore()
        self.timers = GeventTimerService()
        self.changes: list[set[str]] = []
        self.watch = TableWatch(self.store, "op", self.timers, self.note)
        self.store.put("op", "a", b"1")

    def tearDown(self):
        self.watch.stop()
        self.timers.stop()

    def note(self, rows: dict[str, StoredRow], changed: set[str]) -> None:
        """Record which rows changed."""
        self.changes.append(changed)

    def value(self, key: str) -> bytes | None:
        """Return the value of a row in the copy."""
        row = self.watch.rows.get(key)
        return row.value if row else None

    def test_changes_and_removals_reach_the_copy(self):
        self.watch.start()
        self.assertTrue(wait_for(lambda: self.value("a") == b"1"))
        self.store.put("op", "b", b"2")
        self.assertTrue(wait_for(lambda: self.value("b") == b"2"))
        self.store.put("op", "a", None)
        self.assertTrue(wait_for(lambda: self.value("a") is None))

    def test_the_copy_is_kept_while_the_store_is_down(self):
        self.watch.start()
        wait_for(lambda: self.value("a") == b"1")
        self.store.down = True
        self.store.forget_history()
        self.assertTrue(wait_for(lambda: self.watch.failing_since is not None))
        self.assertEqual(self.value("a"), b"1")
        self.store.down = False
        self.store.put("op", "a", b"2")
        self.assertTrue(wait_for(lambda: self.value("a") == b"2"))
        self.assertIsNone(self.watch.failing_since)

    def test_a_failing_store_is_called_without_a_long_poll(self):
        """Long polls that the store drops delay all nodes by 6.5 s."""
        self.watch.start()
        self.assertTrue(wait_for(self.watch.loaded.is_set))
        self.store.down = True
        self.store.forget_history()
        self.assertTrue(wait_for(lambda: self.watch.failing_since is not None))
        self.assertEqual(self.watch._poll_seconds(), 0.0)
        self.store.down = False
        self.assertTrue(wait_for(lambda: self.watch.failing_since is None))
        self.assertGreater(self.watch._poll_seconds(), 0.0)

    def test_the_batching_time_grows_with_the_number_of_nodes(self):
        """Otherwise each change ends a long poll of each of 80 nodes."""
        self.assertEqual(batching_seconds(6), 0.1)
        self.assertAlmostEqual(batching_seconds(48), 0.2)
        self.assertEqual(batching_seconds(394), 0.4)

    def test_the_whole_table_is_read_after_the_store_lost_its_history(self):
        self.watch.start()
        wait_for(lambda: self.value("a") == b"1")
        self.store.tables["op"]["c"] = StoredRow("c", b"3", Version(1, 5))
        self.store.version = Version(1, 5)
        self.store.forget_history()
        self.assertTrue(wait_for(lambda: self.value("c") == b"3"))
        self.assertEqual(self.value("a"), b"1")

    def test_a_copy_of_a_peer_is_used_only_if_newer(self):
        self.watch.start()
        wait_for(lambda: self.value("a") == b"1")
        version = Version(1, 50)
        newer = {"a": StoredRow("a", b"9", version)}
        self.assertTrue(self.watch.replace_with_copy(newer, version, version))
        self.assertEqual(self.value("a"), b"9")
        version = Version(1, 40)
        older = {"a": StoredRow("a", b"1", Version(1, 1))}
        self.assertFalse(self.watch.replace_with_copy(older, version, version))
        self.assertEqual(self.value("a"), b"9")

    def test_a_waiting_call_can_be_cancelled(self):
        self.watch.start()
        wait_for(lambda: "follow" in self.store.calls)
        before = self.store.calls.count("follow")
        self.watch.cancel_poll()
        self.assertTrue(wait_for(lambda: self.store.calls.count("follow") > before))


class NonPollingNodeTests(unittest.TestCase):
    """Guard against a store that every node polls, or that none polls."""

    def setUp(self):
        self.store = MemoryRowStore()
        self.timers = GeventTimerService()
        self.is_polling = False
        self.watch = TableWatch(
            self.store,
            "op",
            self.timers,
            lambda rows, changed: None,
            is_polling=lambda: self.is_polling,
        )
        self.store.put("op", "a", b"1")

    def tearDown(self):
        self.watch.stop()
        self.timers.stop()

    def test_a_node_that_does_not_poll_reads_the_table_once(self):
        self.watch.start()
        self.assertTrue(wait_for(self.watch.loaded.is_set))
        gevent.sleep(0.5)
        self.assertEqual(self.store.calls, ["put", "read"])

    def test_a_node_that_becomes_a_poller_continues_from_its_version(self):
        self.watch.start()
        self.assertTrue(wait_for(self.watch.loaded.is_set))
        self.store.put("op", "b", b"2")
        self.is_polling = True
        self.assertTrue(wait_for(lambda: "b" in self.watch.rows))
        self.assertEqual(self.store.calls.count("read"), 1)

    def test_a_removal_forwarded_by_a_peer_with_a_failing_store_may_be_a_lapse(self):
        self.watch.start()
        self.assertTrue(wait_for(self.watch.loaded.is_set))
        after = self.watch.changed_version
        version = Version(after.era, after.number + 1)
        gone = (StoredRow("a", None, version),)
        self.assertTrue(
            self.watch.apply_changes(TableChanges("op", after, version, gone, 0.5))
        )
        self.assertNotIn("a", self.watch.rows)
        self.assertAlmostEqual(self.watch.failed_seconds(), 0.5, delta=0.2)


class EndpointLapseTests(unittest.TestCase):
    """Guard against dropping all endpoints when their entries expire in an outage."""

    ENTRY = (
        b'{"service": "s", "address": "10.0.0.1:80", "zone": "a", "slots": 4, '
        b'"state": "ready", "born": 1}'
    )

    def setUp(self):
        self.timers = ManualTimerService()
        self.directory = EndpointDirectory(PlatformCodec(), self.timers)
        self.rows = {"i-1": StoredRow("i-1", self.ENTRY, Version(1, 1))}
        self.directory.apply(self.rows, {"i-1"}, None)

    def test_an_entry_removed_without_a_store_failure_is_gone_at_once(self):
        self.directory.apply({}, {"i-1"}, None)
        self.assertEqual(self.directory.of_service("s"), [])

    def test_a_lapsed_entry_is_kept_until_it_is_renewed(self):
        self.directory.apply({}, {"i-1"}, 0.5)
        self.assertEqual(len(self.directory.of_service("s")), 1)
        self.timers.advance(1.0)
        self.directory.apply(self.rows, {"i-1"}, None)
        self.timers.advance(5.0)
        self.assertEqual(len(self.directory.of_service("s")), 1)

    def test_a_lapsed_entry_that_is_not_renewed_is_removed(self):
        self.directory.apply({}, {"i-1"}, 0.5)
        self.timers.advance(2.0)
        self.assertEqual(self.directory.of_service("s"), [])

    def test_a_malformed_entry_removes_its_endpoint(self):
        odd = self.ENTRY.replace(b"ready", b"odd")
        for value in (b"", b"{}", b"[1]", b"\xff\xfe", odd):
            with self.subTest(value):
                row = StoredRow("i-1", value, Version(1, 9))
                self.directory.apply({"i-1": row}, {"i-1"}, None)
                self.assertEqual(self.directory.of_service("s"), [])

    def test_a_new_process_under_the_same_id_has_an_empty_cache(self):
        self.directory.get("i-1").cached["part"] = 5
        entry = self.ENTRY.replace(b'"born": 1', b'"born": 2')
        row = StoredRow("i-1", entry, Version(1, 7))
        self.directory.apply({"i-1": row}, {"i-1"}, None)
        self.assertEqual(len(self.directory.get("i-1").cached), 0)


class ReadinessTests(unittest.TestCase):
    """Guard against callers directed to a node that knows no endpoint yet."""

    def test_a_node_is_ready_once_it_has_read_both_tables(self):
        state = make_state()
        self.assertFalse(state.ready)
        state.configuration = make_configuration()
        self.assertFalse(state.ready)
        state.endpoints.apply({}, set(), None)
        self.assertTrue(state.ready)
        state.leaving = True
        self.assertFalse(state.ready)


class StoreClientTests(unittest.TestCase):
    """Guard against an error of the store that is mistaken for a result."""

    def setUp(self):
        self.platform = FakeGatewayPlatform()
        self.platform.start()
        host, _, port = self.platform.address.partition(":")
        self.store = PlatformStore((host, int(port)))

    def tearDown(self):
        self.platform.stop()

    def test_rows_are_written_read_and_polled_for_changes(self):
        version = self.store.write("t", "k", b"v", NO_VERSION)
        page = self.store.read("t")
        self.assertEqual([(r.key, r.value) for r in page.rows], [("k", b"v")])
        self.store.put("t", "k", None)
        (row,) = self.store.wait_for_changes("t", version, 1.0).rows
        self.assertIsNone(row.value)

    def test_a_wait_without_changes_is_no_failure(self):
        # The connection pool's own time limit of 5 s had ended such waits.
        version = self.store.write("t", "k", b"v", NO_VERSION)
        page = self.store.wait_for_changes("t", version, 5.3)
        self.assertEqual((page.rows, page.version), ((), version))

    def test_a_failed_condition_returns_the_row_found(self):
        self.store.write("t", "k", b"v", NO_VERSION)
        with self.assertRaises(Conflict) as caught:
            self.store.write("t", "k", b"w", NO_VERSION)
        self.assertEqual(caught.exception.current[0].value, b"v")

    def test_each_failure_raises_its_own_error(self):
        self.platform.rows.down = True
        with self.assertRaises(Unavailable):
            self.store.read("t")
        self.platform.rows.down = False
        self.platform.rows.lose_answers = 1
        with self.assertRaises(MaybeApplied):
            self.store.put("t", "k", b"v")
        self.assertEqual(self.store.read("t").rows[0].value, b"v")
        self.platform.rows.forget_history()
        with self.assertRaises(HistoryLost):
            self.store.wait_for_changes("t", Version(1, 0), 0.1)


class MalformedPageTests(unittest.TestCase):
    """Guard against malformed pages that end a task or are accepted as rows.

    Such a page had ended the call with a traceback, and the next call followed at once,
    for as long as the store returned such pages.
    """

    PAGES = (
        b"[]",
        b'{"rows": 5, "ver": 1}',
        b'{"rows": {}, "ver": 1}',
        b'{"rows": [], "ver": 1, "truncated": true}',
        b'{"rows": [7], "ver": 1, "truncated": true}',
        b'{"rows": [], "ver": "1"}',
        b'{"rows": [], "ver": true}',
        b'{"rows": [], "ver": -1}',
        b'{"rows": [], "ver": 1e400}',
        b'{"rows": [], "ver": %d}' % 10**400,
        b'{"rows": []}',
        b"[" * 100_000,
        b"\xff",
    )
    # The key is usable, so the row must replace what is known of it.
    UNREADABLE_ROWS = (
        b'{"key": "k", "value": "YQ==", "ver": "x"}',
        b'{"key": "k", "value": "YQ==", "ver": 6}',
        b'{"key": "k", "value": "YQ==", "ver": -1}',
        b'{"key": "k", "value": "YQ==", "ver": %d}' % 10**400,
        b'{"key": "k", "value": "YQ=="}',
        b'{"key": "k", "value": "@@@", "ver": 1}',
        b'{"key": "k", "value": "\xc3\xbc", "ver": 1}',
        b'{"key": "k", "value": 5, "ver": 1}',
        b'{"key": "k", "value": ["YQ=="], "ver": 1}',
    )
    UNNAMED_ROWS = (
        b"7",
        b"[]",
        b"null",
        b'{"value": "YQ==", "ver": 1}',
        b'{"key": 5, "value": "YQ==", "ver": 1}',
        b'{"key": "", "value": "YQ==", "ver": 1}',
        b'{"key": "\\ud800", "value": "YQ==", "ver": 1}',
        b'{"key": "%s", "value": "YQ==", "ver": 1}' % (b"k" * 201),
    )
    QUIET_SECONDS = 0.5

    def setUp(self):
        self.page = b""
        self.calls = 0
        self.server = WSGIServer(("127.0.0.1", 0), self.answer, log=None)
        self.server.start()
        self.addCleanup(self.server.stop, 0.1)
        self.store = PlatformStore(("127.0.0.1", self.server.server_port))

    def answer(self, environ, start_response):
        """Respond to every call with the page."""
        self.calls += 1
        start_response("200 OK", [("Content-Length", str(len(self.page)))])
        return [self.page]

    def test_a_malformed_page_raises_protocol_error(self):
        for page in self.PAGES:
            self.page = page
            with self.subTest(page=page[:80]), self.assertRaises(ProtocolError):
                self.store.read("t")

    def set_rows(self, *rows: bytes) -> None:
        """Respond with a page that holds these rows before a sound one."""
        sound = b'{"key": "sound", "value": "YQ==", "ver": 5}'
        self.page = b'{"rows": [%s], "ver": 5}' % b",".join((*rows, sound))

    def test_an_unreadable_row_does_not_hide_the_others_of_its_page(self):
        """Guard against one row that stops the following of its table for good."""
        for row in self.UNREADABLE_ROWS:
            self.set_rows(row)
            for call in (
                lambda: self.store.read("t"),
                lambda: self.store.wait_for_changes("t", Version(0, 0), 0.1),
            ):
                with self.subTest(row=row[:80]):
                    with self.assertLogs("rattanwick.store", "WARNING"):
                        page = call()
                    unreadable, sound = page.rows
                    self.assertEqual((unreadable.key, unreadable.value), ("k", b""))
                    self.assertIn(unreadable.version, (Version(0, 1), Version(0, 5)))
                    self.assertEqual(sound, StoredRow("sound", b"a", Version(0, 5)))
                    self.assertEqual(page.version, Version(0, 5))
                    with self.assertRaises(ValueError):
                        PlatformCodec().decode_endpoint("k", unreadable.value)

    def test_a_row_without_a_value_counts_as_no_row(self):
        """Guard against an entry without a value that is handed to a decoder."""
        for row in (
            b'{"key": "k", "ver": 1}',
            b'{"key": "k", "value": null, "ver": 1}',
        ):
            self.set_rows(row)
            with self.subTest(row=row):
                (known,) = self.store.read("t").rows
                self.assertEqual(known, StoredRow("sound", b"a", Version(0, 5)))
                removed, _ = self.store.wait_for_changes("t", Version(0, 0), 0.1).rows
                self.assertEqual(removed, StoredRow("k", None, Version(0, 1)))

    def test_a_row_without_a_usable_key_counts_as_no_row(self):
        """Guard against a change that is missed because its row has no key."""
        for row in self.UNNAMED_ROWS:
            self.set_rows(row)
            with self.subTest(row=row[:80]):
                with self.assertLogs("rattanwick.store", "WARNING"):
                    page = self.store.read("t")
                self.assertEqual(page.rows, (StoredRow("sound", b"a", Version(0, 5)),))
                # The whole table is read again.
                with self.assertRaises(HistoryLost):
                    self.store.wait_for_changes("t", Version(0, 0), 0.1)

    def test_a_write_answered_without_a_version_may_be_applied(self):
        self.page = b"{}"
        with self.assertRaises(MaybeApplied):
            self.store.put("t", "k", b"v")

    def test_calls_pause_while_pages_are_malformed(self):
        self.page = self.PAGES[1]
        watch = TableWatch(self.store, "t", GeventTimerService(), lambda *_: None)
        watch.start()
        self.addCleanup(watch.stop)
        gevent.sleep(self.QUIET_SECONDS)
        self.assertLessEqual(
            self.calls, 1 + self.QUIET_SECONDS / RETRY_INTERVAL_SECONDS
        )

    def test_calls_go_on_after_a_pause_when_a_listener_fails(self):
        def fail(rows, changed):
            raise KeyError("unexpected failure")

        self.page = b'{"rows": [{"key": "k", "value": "YQ==", "ver": 1}], "ver": 1}'
        watch = TableWatch(self.store, "t", GeventTimerService(), fail)
        watch.start()
        self.addCleanup(watch.stop)
        gevent.sleep(self.QUIET_SECONDS)
        self.assertLessEqual(
            self.calls, 2 + self.QUIET_SECONDS / RETRY_INTERVAL_SECONDS
        )
        self.assertGreaterEqual(self.calls, 2)
