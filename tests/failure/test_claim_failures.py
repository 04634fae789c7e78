"""A call runs at most once when the table fails or a node stops.

Guards against calls that run twice, and against keys that stay claimed although
their call was reported as not run.
"""

import unittest

import gevent
import msgpack

from fakes.memory import MemoryObjectStore, MemoryTable
from rattanwick.internal.base.errors import Conflict, MaybeApplied, Unavailable
from rattanwick.internal.base.outcomes import Answered, NotRun
from rattanwick.internal.base.settings import ClaimSettings
from rattanwick.internal.model.request_records import StoredResponse
from rattanwick.internal.platform.object_store import S3ObjectStore
from rattanwick.internal.platform.table import DynamoTable
from rattanwick.internal.state.claim_types import (
    MAX_INLINE_BYTES,
    Claimed,
    InProgress,
    Replayed,
    ServiceCall,
)
from rattanwick.internal.state.claims import Claims
from tests.claim_fixture import ANSWER, ClaimFixture
from tests.platform_process import PlatformTestCase


class ClaimFailureTests(unittest.TestCase):
    def setUp(self):
        self.fixture = ClaimFixture()
        self.first = self.fixture.node("n1")
        self.second = self.fixture.node("n2")

    def replace_put(self, put):
        original = self.fixture.table.put
        self.fixture.table.put = lambda *args: put(original, *args)
        return original

    def test_a_claim_whose_answer_was_lost_is_read_back(self):
        # Guards against a key that stays claimed, or a call that is sent twice, after
        # the answer to the claim was lost.
        self.fixture.table.lose_answers = 1
        self.assertIsInstance(self.first.claim(self.fixture.call()), Claimed)
        self.assertIsInstance(self.second.claim(self.fixture.call()), InProgress)

    def test_a_claim_waits_for_the_table_until_its_deadline(self):
        # Guards against a call that is refused because of a short outage.
        self.fixture.table.down = True
        self.fixture.timers.after(5, lambda: setattr(self.fixture.table, "down", False))
        self.assertIsInstance(self.first.claim(self.fixture.call()), Claimed)

    def test_a_node_that_is_about_to_stop_claims_and_sends_nothing(self):
        # Guards against a call that is claimed just before its node is reclaimed and
        # becomes unknown, although its caller could repeat it at another node.
        early = self.first.claim(self.fixture.call(key="early"))
        self.assertTrue(self.first.may_dispatch(early))
        self.first.set_shutdown_time(self.fixture.timers.wall_time() + 6)
        self.assertTrue(self.first.may_dispatch(early))
        self.fixture.table.down = True
        began = self.fixture.timers.now()
        result = self.first.claim(self.fixture.call())
        self.assertIsInstance(result, NotRun)
        self.assertLess(self.fixture.timers.now() - began, 5)
        self.fixture.table.down = False
        self.fixture.timers.advance(1)
        self.assertFalse(self.first.may_dispatch(early))
        self.assertIsInstance(self.first.claim(self.fixture.call()), NotRun)
        self.assertIsInstance(self.second.claim(self.fixture.call()), Claimed)

    def test_a_claim_that_gets_no_answer_ends_before_the_node_stops(self):
        # Guards against a claim whose write takes effect after its node has stopped.
        self.replace_put(lambda put, *args: gevent.sleep(30))
        self.first.set_shutdown_time(self.fixture.timers.wall_time() + 5)
        task = gevent.spawn(self.first.claim, self.fixture.call())
        gevent.sleep(0.01)
        self.assertFalse(task.ready())
        self.fixture.timers.advance(4)
        self.assertIsInstance(task.get(timeout=1), NotRun)
        self.assertEqual(len(self.first.pending_settlements()), 1)

    def test_a_claim_in_an_outage_until_its_deadline_is_not_run_and_writes_no_row(self):
        self.fixture.table.down = True
        result = self.first.claim(self.fixture.call(seconds=3))
        self.assertIsInstance(result, NotRun)
        self.fixture.table.down = False
        self.fixture.timers.advance(5)
        self.assertEqual(self.fixture.table.rows, {})

    def test_an_unconfirmed_claim_is_settled_as_not_run_after_an_outage(self):
        # Guards against a key that stays claimed after its call is reported as not run.
        self.fixture.table.lose_answers = 1

        def lose_then_fail(original, *args):
            try:
                return original(*args)
            except MaybeApplied:
                self.fixture.table.down = True
                raise

        self.replace_put(lose_then_fail)
        result = self.first.claim(self.fixture.call(seconds=3))
        self.assertIsInstance(result, NotRun)
        self.assertEqual(len(self.first.pending_settlements()), 1)
        self.fixture.table.down = False
        self.fixture.timers.advance(2)
        self.assertEqual(self.first.pending_settlements(), [])
        again = self.second.claim(self.fixture.call())
        self.assertEqual((type(again), again.values["attempt"]), (Claimed, 2))

    def test_a_claim_written_after_not_run_was_reported_leaves_the_key_free(self):
        # Guards against a delayed write that claims a key after its call was reported
        # as not run.
        delayed = []

        def delay(original, *args):
            delayed.append(args)
            raise MaybeApplied("put", "table", "no answer")

        original = self.replace_put(delay)
        result = self.first.claim(self.fixture.call(seconds=2))
        self.assertIsInstance(result, NotRun)
        self.fixture.table.put = original
        self.fixture.timers.advance(2)
        for args in delayed:
            with self.assertRaises(Conflict):
                original(*args)
        self.assertIsInstance(self.second.claim(self.fixture.call()), Claimed)

    def test_a_killed_task_leaves_no_open_claim(self):
        # Guards against a key that stays claimed because its caller disconnected while
        # the claim was written.
        def hang(original, *args):
            original(*args)
            gevent.sleep(60)

        original = self.replace_put(hang)
        task = gevent.spawn(self.first.claim, self.fixture.call())
        gevent.sleep(0)
        task.kill()
        self.fixture.table.put = original
        self.fixture.timers.advance(2)
        self.assertIsInstance(self.second.claim(self.fixture.call()), Claimed)

    def test_a_table_that_does_not_answer_delays_no_claim_beyond_its_deadline(self):
        self.replace_put(lambda original, *args: gevent.sleep(60))
        result = self.first.claim(self.fixture.call(seconds=0.05))
        self.assertEqual(result, NotRun("claim_not_in_time"))

    def test_a_completed_call_is_in_progress_while_its_stored_answer_is_slow_to_read(
        self,
    ):
        # Guards against a call that ran but is reported as not run, because its stored
        # answer is slow to read.
        answer = StoredResponse(200, {}, b"x" * (MAX_INLINE_BYTES + 1))
        claimed = self.first.claim(self.fixture.call())
        self.first.settle(claimed, Answered(), answer)

        def fail_late(name):
            gevent.sleep(0.1)
            raise Unavailable("get", name, "no answer in time")

        self.fixture.objects.get = fail_late
        result = self.second.claim(self.fixture.call(seconds=0.05))
        self.assertIsInstance(result, InProgress)

    def test_a_pause_during_the_claim_prevents_the_dispatch(self):
        # Guards against a paused process that sends a call after its deadline.
        def pause(original, *args):
            row = original(*args)
            self.fixture.timers.advance(31)
            return row

        original = self.replace_put(pause)
        result = self.first.claim(self.fixture.call(seconds=30))
        self.assertIsInstance(result, NotRun)
        self.fixture.table.put = original
        self.fixture.timers.advance(2)
        self.assertIsInstance(self.second.claim(self.fixture.call()), Claimed)

    def test_one_of_two_simultaneous_claimants_wins(self):
        # Guards against two nodes that read no row, or "not_run", and both claim.
        for outcome in (None, NotRun("refused")):
            both = []

            def meet(original, *args, both=both):
                both.append(1)
                while len(both) < 2:
                    gevent.sleep(0)
                return original(*args)

            original = self.replace_put(meet)
            call = self.fixture.call()
            tasks = [
                gevent.spawn(node.claim, call) for node in (self.first, self.second)
            ]
            gevent.joinall(tasks)
            self.fixture.table.put = original
            kinds = sorted(type(task.value).__name__ for task in tasks)
            self.assertEqual(kinds, ["Claimed", "InProgress"])
            if outcome is None:
                winner = next(t.value for t in tasks if isinstance(t.value, Claimed))
                self.first.settle(winner, NotRun("refused"), None)

    def test_a_failed_settle_is_repeated_until_the_table_is_back(self):
        claimed = self.first.claim(self.fixture.call())
        self.fixture.table.down = True
        self.first.settle(claimed, Answered(), ANSWER)
        self.fixture.timers.advance(60)
        self.assertEqual(len(self.first.pending_settlements()), 1)
        self.fixture.table.down = False
        self.fixture.timers.advance(2)
        self.assertEqual(self.first.pending_settlements(), [])
        self.assertEqual(self.second.claim(self.fixture.call()).answer, ANSWER)

    def test_a_killed_settle_is_still_stored(self):
        # Guards against an answer that is lost because its caller disconnected while it
        # was stored.
        claimed = self.first.claim(self.fixture.call())
        original = self.replace_put(lambda original, *args: gevent.sleep(60))
        task = gevent.spawn(self.first.settle, claimed, Answered(), ANSWER)
        gevent.sleep(0)
        task.kill()
        self.fixture.table.put = original
        self.fixture.timers.advance(2)
        self.assertEqual(self.second.claim(self.fixture.call()).answer, ANSWER)

    def test_a_settle_whose_answer_was_lost_is_stored_once(self):
        claimed = self.first.claim(self.fixture.call())
        self.fixture.table.lose_answers = 1
        self.first.settle(claimed, Answered(), ANSWER)
        self.fixture.timers.advance(2)
        self.assertEqual(self.first.pending_settlements(), [])
        (row,) = self.fixture.table.rows.values()
        self.assertEqual(row.row_version, 2)

    def test_a_peer_takes_over_the_settlements_of_a_stopping_node(self):
        # Guards against an answer that is lost when a node stops during an outage.
        for size in (10, MAX_INLINE_BYTES + 1):
            table, objects = MemoryTable(), MemoryObjectStore()
            table.rows = self.fixture.table.rows
            stopping = self.fixture.node("n3", table, objects)
            call = self.fixture.call(key=f"size{size}")
            claimed = stopping.claim(call)
            table.down = objects.down = True
            answer = StoredResponse(200, {"a": "b"}, b"x" * size)
            stopping.settle(claimed, Answered(), answer)
            (message,) = stopping.pending_settlements()
            self.second.take_over_settlement(msgpack.unpackb(msgpack.packb(message)))
            self.assertEqual(self.second.claim(call).answer, answer)

    def test_malformed_settlements_of_a_peer_are_rejected(self):
        bad = {"key": "lists#current", "claim_id": "c", "expected_version": 0}
        for message in (
            {},
            {"key": 1},
            bad | {"values": {"state": "done"}, "answer": 0},
        ):
            self.assertRaises(ValueError, self.second.take_over_settlement, message)

    def test_one_settlement_that_cannot_be_stored_does_not_block_others(self):
        large = StoredResponse(200, {}, b"x" * (MAX_INLINE_BYTES + 1))
        self.fixture.objects.down = True
        for number in range(6):
            claimed = self.first.claim(self.fixture.call(key=f"large{number}"))
            self.first.settle(claimed, Answered(), large)
        claimed = self.first.claim(self.fixture.call(key="small"))
        self.fixture.table.lose_answers = 1
        self.first.settle(claimed, Answered(), ANSWER)
        self.fixture.timers.advance(3)
        self.assertEqual(len(self.first.pending_settlements()), 6)


class ClaimOverHttpTests(PlatformTestCase):
    def setUp(self):
        super().setUp()
        cfg = self.platform.settings()
        self.table = DynamoTable(cfg, self.timers, "n1")
        objects = S3ObjectStore(cfg, self.timers, "n1")
        self.claims = Claims(self.table, objects, self.timers, ClaimSettings(), "n1/1")

    def call(self, seconds=5.0):
        deadline = self.timers.wall_time() + seconds
        return ServiceCall("guayas", "agenda", self.id(), "d", deadline)

    def test_lost_answers_of_claim_and_settle(self):
        self.platform.faults(lose_table_answers=1)
        claimed = self.claims.claim(self.call())
        self.platform.faults(lose_table_answers=1)
        self.claims.settle(claimed, Answered(), ANSWER)
        self.assertEqual(
            self.claims.claim(self.call()), Replayed(Answered(), ANSWER, "")
        )

    def test_a_claim_in_an_outage_is_not_run_at_its_deadline(self):
        self.platform.faults(table_hang=True)
        started = self.timers.now()
        self.assertIsInstance(self.claims.claim(self.call(seconds=0.5)), NotRun)
        self.assertLess(self.timers.now() - started, 1.0)
        self.platform.faults(table_hang=False)
        with gevent.Timeout(5):
            while self.claims.pending_settlements():
                gevent.sleep(0.02)
        self.assertIsInstance(self.claims.claim(self.call()), Claimed)

    def test_one_of_many_claimants_over_http_wins(self):
        call = self.call()
        tasks = [gevent.spawn(self.claims.claim, call) for _ in range(12)]
        gevent.joinall(tasks)
        kinds = sorted(type(task.value).__name__ for task in tasks)
        self.assertEqual(kinds, ["Claimed"] + ["InProgress"] * 11)

    def test_a_claim_returns_not_run_instead_of_raising_a_table_error(self):
        self.platform.faults(table_down=True)
        try:
            result = self.claims.claim(self.call(seconds=0.4))
        except Unavailable:
            self.fail("claim raised Unavailable")
        self.assertIsInstance(result, NotRun)
