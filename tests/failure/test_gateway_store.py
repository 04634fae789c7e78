"""Copies of tables while the store is down, forgetful or cut off."""

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
from rattanwick.internal.gateway.interfaces import HistoryLost, StoredRow
from rattanwick.internal.gateway.table_watch import (
    LONG_POLL_SECONDS,
    RETRY_SECONDS,
    TableChanges,
    TableWatch,
    batching_seconds,
)
from rattanwick.platform.codec import PlatformCodec
from rattanwick.platform.store import PlatformStore
from tests.gateway_case import make_configuration, make_state


def wait_for(condition, seconds: float = 3.0) -> bool:
    """Tell whether a condition came true in time."""
    with gevent.Timeout(seconds, False):
        while not condition():
            gevent.sleep(0.01)
        return True
    return False


class TableWatchTests(unittest.TestCase):
    """Guard against a node that keeps an old copy without noticing."""

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
        """Remember what was told of changes."""
        self.changes.append(changed)

    def value(self, key: str) -> bytes | None:
        """Return what the copy holds."""
        row = self.watch.rows.get(key)
        return row.value if row else None

    def test_changes_and_removals_arrive(self):
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

    def test_a_store_that_fails_is_asked_without_waiting(self):
        """All nodes had waited 6.5 s on calls that a silent store had dropped."""
        self.watch.start()
        self.assertTrue(wait_for(self.watch.current.is_set))
        self.store.down = True
        self.store.forget_history()
        self.assertTrue(wait_for(lambda: self.watch.failing_since is not None))
        self.assertEqual(self.watch._wait(), 0.0)
        self.store.down = False
        self.assertTrue(wait_for(lambda: self.watch.failing_since is None))
        self.assertEqual(self.watch._wait(), LONG_POLL_SECONDS)

    def test_more_nodes_gather_changes_for_longer(self):
        """Each change had ended a waiting call of each of 80 nodes."""
        self.assertEqual(batching_seconds(6), 0.1)
        self.assertAlmostEqual(batching_seconds(48), 0.2)
        self.assertEqual(batching_seconds(394), 0.4)

    def test_a_forgotten_history_leads_to_a_whole_read(self):
        self.watch.start()
        wait_for(lambda: self.value("a") == b"1")
        self.store.tables["op"]["c"] = StoredRow("c", b"3", 5)
        self.store.version = 5
        self.store.forget_history()
        self.assertTrue(wait_for(lambda: self.value("c") == b"3"))
        self.assertEqual(self.value("a"), b"1")

    def test_a_peer_copy_is_taken_only_when_newer(self):
        self.watch.start()
        wait_for(lambda: self.value("a") == b"1")
        newer = {"a": StoredRow("a", b"9", 50)}
        self.assertTrue(self.watch.replace_with_copy(newer, 50, 50))
        self.assertEqual(self.value("a"), b"9")
        older = {"a": StoredRow("a", b"1", 1)}
        self.assertFalse(self.watch.replace_with_copy(older, 40, 40))
        self.assertEqual(self.value("a"), b"9")

    def test_a_call_that_hears_nothing_is_given_up_on_demand(self):
        self.watch.start()
        wait_for(lambda: "follow" in self.store.calls)
        before = self.store.calls.count("follow")
        self.watch.cancel_poll()
        self.assertTrue(wait_for(lambda: self.store.calls.count("follow") > before))


class FollowerTests(unittest.TestCase):
    """Guard against nodes that all ask the store, or that none does."""

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

    def test_a_node_that_does_not_follow_reads_the_table_once(self):
        self.watch.start()
        self.assertTrue(wait_for(self.watch.current.is_set))
        gevent.sleep(0.5)
        self.assertEqual(self.store.calls, ["put", "read"])

    def test_a_node_whose_turn_has_come_follows_from_where_it_is(self):
        self.watch.start()
        self.assertTrue(wait_for(self.watch.current.is_set))
        self.store.put("op", "b", b"2")
        self.is_polling = True
        self.assertTrue(wait_for(lambda: "b" in self.watch.rows))
        self.assertEqual(self.store.calls.count("read"), 1)

    def test_a_removal_told_by_a_peer_while_the_store_fails_there_may_be_a_lapse(self):
        self.watch.start()
        self.assertTrue(wait_for(self.watch.current.is_set))
        after = self.watch.changed_version
        gone = (StoredRow("a", None, after + 1),)
        self.assertTrue(
            self.watch.apply_changes(TableChanges("op", after, after + 1, gone, 0.5))
        )
        self.assertNotIn("a", self.watch.rows)
        self.assertAlmostEqual(self.watch.failed_seconds(), 0.5, delta=0.2)


class EndpointLapseTests(unittest.TestCase):
    """Guard against dropping every endpoint when entries lapse with the store."""

    ENTRY = (
        b'{"service": "s", "address": "10.0.0.1:80", "zone": "a", "slots": 4, '
        b'"state": "ready", "born": 1}'
    )

    def setUp(self):
        self.timers = ManualTimerService()
        self.directory = EndpointDirectory(PlatformCodec(), self.timers)
        self.rows = {"i-1": StoredRow("i-1", self.ENTRY, 1)}
        self.directory.apply(self.rows, {"i-1"}, None)

    def test_an_entry_removed_in_calm_is_gone_at_once(self):
        self.directory.apply({}, {"i-1"}, None)
        self.assertEqual(self.directory.of_service("s"), [])

    def test_an_entry_that_lapsed_is_kept_for_a_while(self):
        self.directory.apply({}, {"i-1"}, 0.5)
        self.assertEqual(len(self.directory.of_service("s")), 1)
        self.timers.advance(1.0)
        self.directory.apply(self.rows, {"i-1"}, None)
        self.timers.advance(5.0)
        self.assertEqual(len(self.directory.of_service("s")), 1)

    def test_an_entry_that_does_not_return_is_gone(self):
        self.directory.apply({}, {"i-1"}, 0.5)
        self.timers.advance(2.0)
        self.assertEqual(self.directory.of_service("s"), [])

    def test_an_entry_that_cannot_be_read_names_no_endpoint(self):
        odd = self.ENTRY.replace(b"ready", b"odd")
        for value in (b"", b"{}", b"[1]", b"\xff\xfe", odd):
            with self.subTest(value):
                row = StoredRow("i-1", value, 9)
                self.directory.apply({"i-1": row}, {"i-1"}, None)
                self.assertEqual(self.directory.of_service("s"), [])

    def test_a_new_process_under_the_same_id_is_known_to_keep_nothing(self):
        self.directory.get("i-1").cached["part"] = 5
        row = StoredRow("i-1", self.ENTRY.replace(b'"born": 1', b'"born": 2'), 7)
        self.directory.apply({"i-1": row}, {"i-1"}, None)
        self.assertEqual(len(self.directory.get("i-1").cached), 0)


class ReadinessTests(unittest.TestCase):
    """Guard against callers that are sent to a node which knows no endpoint yet."""

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
    """Guard against an error of the store that is taken for an answer."""

    def setUp(self):
        self.platform = FakeGatewayPlatform()
        self.platform.start()
        host, _, port = self.platform.address.partition(":")
        self.store = PlatformStore((host, int(port)))

    def tearDown(self):
        self.platform.stop()

    def test_rows_are_written_read_and_followed(self):
        version = self.store.write("t", "k", b"v", 0)
        page = self.store.read("t")
        self.assertEqual([(r.key, r.value) for r in page.rows], [("k", b"v")])
        self.store.put("t", "k", None)
        (row,) = self.store.wait_for_changes("t", version, 1.0).rows
        self.assertIsNone(row.value)

    def test_a_wait_without_changes_is_no_failure(self):
        # The connection pool's own time limit of 5 s once ended such waits.
        version = self.store.write("t", "k", b"v", 0)
        page = self.store.wait_for_changes("t", version, 5.3)
        self.assertEqual((page.rows, page.version), ((), version))

    def test_a_failed_condition_brings_the_row_found(self):
        self.store.write("t", "k", b"v", 0)
        with self.assertRaises(Conflict) as caught:
            self.store.write("t", "k", b"w", 0)
        self.assertEqual(caught.exception.current[0].value, b"v")

    def test_each_failure_has_its_error(self):
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
            self.store.wait_for_changes("t", 0, 0.1)


class MalformedPageTests(unittest.TestCase):
    """Guard against an answer of the store that ends a task or is taken for rows.

    Such answers ended the task of the call with a traceback, and the next call
    followed at once, for as long as the store answered so.
    """

    PAGES = (
        b"[]",
        b'{"rows": 5, "ver": 1}',
        b'{"rows": [{"value": "YQ=="}], "ver": 1}',
        b'{"rows": [7], "ver": 1}',
        b'{"rows": [{"key": "k", "value": "YQ==", "ver": "x"}], "ver": 1}',
        b'{"rows": [{"key": "k", "value": "@@@", "ver": 1}], "ver": 1}',
        b'{"rows": [{"key": "k", "value": 5, "ver": 1}], "ver": 1}',
        b'{"rows": [], "ver": 1, "truncated": true}',
        b'{"rows": [], "ver": "1"}',
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
        """Answer every call with the page."""
        self.calls += 1
        start_response("200 OK", [("Content-Length", str(len(self.page)))])
        return [self.page]

    def test_each_is_an_error_of_the_protocol(self):
        for page in self.PAGES:
            self.page = page
            with self.subTest(page=page), self.assertRaises(ProtocolError):
                self.store.read("t")

    def test_an_answer_to_a_write_without_a_version_leaves_it_unknown(self):
        self.page = b"{}"
        with self.assertRaises(MaybeApplied):
            self.store.put("t", "k", b"v")

    def test_calls_are_paused_while_pages_are_malformed(self):
        self.page = self.PAGES[2]
        watch = TableWatch(self.store, "t", GeventTimerService(), lambda *_: None)
        watch.start()
        self.addCleanup(watch.stop)
        gevent.sleep(self.QUIET_SECONDS)
        self.assertLessEqual(self.calls, 1 + self.QUIET_SECONDS / RETRY_SECONDS)

    def test_an_error_of_a_listener_is_paused_after_and_the_copy_goes_on(self):
        def fail(rows, changed):
            raise KeyError("not foreseen")

        self.page = b'{"rows": [{"key": "k", "value": "YQ==", "ver": 1}], "ver": 1}'
        watch = TableWatch(self.store, "t", GeventTimerService(), fail)
        watch.start()
        self.addCleanup(watch.stop)
        gevent.sleep(self.QUIET_SECONDS)
        self.assertLessEqual(self.calls, 2 + self.QUIET_SECONDS / RETRY_SECONDS)
        self.assertGreaterEqual(self.calls, 2)
