"""The store's client and copies of tables while the store returns to an older copy."""

import json
import unittest

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from fakes.gateway_platform import FakeGatewayPlatform
from rattanwick.internal.base.errors import Conflict, MaybeApplied, Unavailable
from rattanwick.internal.gateway.interfaces import (
    NO_VERSION,
    HistoryLost,
    Version,
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


if __name__ == "__main__":
    unittest.main()
