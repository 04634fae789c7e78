"""The table client distinguishes writes that were not applied from those in doubt.

Guards against a call that is sent twice, or reported as not run although its row was
written, because an error was classified wrongly.
"""

import socket

from rattanwick.internal.base.errors import Conflict, MaybeApplied, Unavailable
from rattanwick.internal.platform.interfaces import Precondition, Write
from rattanwick.internal.platform.table import DynamoTable
from tests.platform_process import PlatformTestCase, serve

ABSENT = Precondition.absent()


class TableFailureTests(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.table = self.make_table()
        self.key = f"test#{self.id()}"

    def make_table(self, **changes) -> DynamoTable:
        return DynamoTable(self.platform.settings(**changes), self.timers, "n1")

    def put(self, token="t1", expected=ABSENT, table=None):
        return (table or self.table).put(self.key, {"by": token}, expected, token)

    def test_a_put_whose_answer_was_lost_is_recognised_by_its_token(self):
        self.platform.faults(lose_table_answers=1)
        self.assertEqual(self.put().row_version, 1)
        self.assertEqual(self.table.get(self.key).values, {"by": "t1"})

    def test_the_row_of_another_writer_is_not_taken_for_a_lost_put(self):
        self.put("other")
        with self.assertRaises(Conflict) as caught:
            self.put("mine")
        self.assertEqual(caught.exception.current.values, {"by": "other"})

    def test_a_transaction_whose_answer_was_lost_is_applied_once(self):
        writes = [Write(self.key, {"n": 1}, Precondition.any())]
        self.platform.faults(lose_table_answers=2)
        self.table.transact(writes, "token-1")
        self.assertEqual(self.table.get(self.key).row_version, 1)

    def test_a_transaction_is_applied_whole_or_not_at_all(self):
        self.put()
        other = f"{self.key}-other"
        writes = [Write(other, {}, ABSENT), Write(self.key, {}, ABSENT)]
        with self.assertRaises(Conflict) as caught:
            self.table.transact(writes, "token-2")
        self.assertEqual(caught.exception.current.key, self.key)
        self.assertIsNone(self.table.get(other))

    def test_an_outage_is_reported_as_not_applied(self):
        self.platform.faults(table_down=True)
        with self.assertRaises(Unavailable):
            self.put()
        self.platform.faults(table_down=False)
        self.assertIsNone(self.table.get(self.key))

    def test_throttling_is_reported_as_not_applied(self):
        self.platform.faults(table_writes_per_second=1)
        with self.assertRaises(Unavailable):
            for number in range(8):
                self.put(expected=Precondition.version(number))

    def test_a_refused_connection_is_reported_as_not_applied(self):
        with socket.create_server(("127.0.0.1", 0)) as closed:
            url = f"http://127.0.0.1:{closed.getsockname()[1]}"
        with self.assertRaises(Unavailable):
            self.put(table=self.make_table(table_url=url))

    def test_a_put_that_timed_out_is_reported_as_maybe_applied(self):
        self.platform.faults(table_answer_delay_seconds=0.5)
        with self.assertRaises(MaybeApplied):
            self.put(table=self.make_table(timeout_seconds=0.1))
        self.platform.faults(table_answer_delay_seconds=0)
        self.assertIsNotNone(self.table.get(self.key))

    def test_an_outage_after_a_lost_answer_is_reported_as_maybe_applied(self):
        # Guards against a 503 for the second attempt that hides that the first attempt
        # may have been applied.
        body = b'{"__type": "com.amazonaws.dynamodb.v20120810#ServiceUnavailable"}'
        outage = b"HTTP/1.1 503 X\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        with self.assertRaises(Unavailable):
            self.put(table=self.make_table(table_url=serve(outage)))
        with self.assertRaises(MaybeApplied):
            self.put(table=self.make_table(table_url=serve(b"", outage)))

    def test_internal_errors_are_reported_as_maybe_applied(self):
        self.platform.faults(table_errors=3)
        with self.assertRaises(MaybeApplied):
            self.put()

    def test_truncated_and_malformed_answers_are_reported_as_maybe_applied(self):
        for answer in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{",
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnope",
            b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
            b"\x00\xff garbage",
            b"",
        ):
            with self.subTest(answer=answer), self.assertRaises(MaybeApplied):
                self.put(table=self.make_table(table_url=serve(answer)))

    def test_a_connection_that_timed_out_is_not_used_again(self):
        # Guards against a late answer that is read as the answer to the next call.
        table = self.make_table(timeout_seconds=0.25)
        self.put("old")
        self.platform.faults(table_answer_delay_seconds=0.4)
        with self.assertRaises(Unavailable):
            table.get(self.key)
        self.platform.faults(table_answer_delay_seconds=0)
        self.assertIsNone(table.get(f"{self.key}-absent"))

    def test_a_failed_read_is_reported_as_not_applied(self):
        self.platform.faults(table_errors=3)
        with self.assertRaises(Unavailable):
            self.table.get(self.key)
