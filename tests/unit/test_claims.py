"""A key is claimed once; a repeat gets the stored answer or the right refusal.

Guards against a call that runs twice, an answer that is returned for another
call, and a key that stays claimed although its call did not run.
"""

import unittest

from rattanwick.internal.base.outcomes import Answered, Failed, NotRun, Unknown
from rattanwick.internal.model.request_records import StoredResponse
from rattanwick.internal.state.claim_types import (
    MAX_INLINE_BYTES,
    BodyMismatch,
    Claimed,
    InProgress,
    Replayed,
    ServiceCall,
    digest_call,
)
from tests.claim_fixture import ANSWER, ClaimFixture


class ClaimTests(unittest.TestCase):
    def setUp(self):
        self.fixture = ClaimFixture()
        self.first = self.fixture.node("n1")
        self.second = self.fixture.node("n2")

    def claim(self, claims=None, **changes):
        return (claims or self.first).claim(self.fixture.call(**changes))

    def test_a_second_claimant_gets_in_progress(self):
        self.assertIsInstance(self.claim(), Claimed)
        found = self.claim(self.second)
        self.assertIsInstance(found, InProgress)
        self.assertEqual(found.request_id, "req_1")
        self.assertIsInstance(self.claim(self.first), InProgress)

    def test_a_repeat_gets_the_stored_answer_at_any_node(self):
        self.first.settle(self.claim(), Answered(), ANSWER)
        for claims in (self.first, self.second):
            self.assertEqual(self.claim(claims), Replayed(Answered(), ANSWER, "req_1"))

    def test_a_large_answer_is_kept_in_the_object_store(self):
        answer = StoredResponse(200, {}, b"x" * (MAX_INLINE_BYTES + 1))
        self.first.settle(self.claim(), Answered(), answer)
        self.assertEqual(len(self.fixture.objects.objects), 1)
        self.assertEqual(self.claim(self.second).answer, answer)

    def test_a_completed_call_with_an_unreadable_answer_is_in_progress_or_unknown(self):
        answer = StoredResponse(200, {}, b"x" * (MAX_INLINE_BYTES + 1))
        self.first.settle(self.claim(), Answered(), answer)
        self.fixture.objects.down = True
        self.assertIsInstance(self.claim(self.second), InProgress)
        self.fixture.objects.down = False
        self.fixture.objects.objects.clear()
        self.assertIsInstance(self.claim(self.second).outcome, Unknown)

    def test_the_same_key_with_another_body_is_refused(self):
        claimed = self.claim()
        self.assertEqual(self.claim(self.second, digest="d2"), BodyMismatch("req_1"))
        self.first.settle(claimed, Answered(), ANSWER)
        self.assertIsInstance(self.claim(self.second, digest="d2"), BodyMismatch)

    def test_the_digest_covers_method_path_and_body(self):
        calls = [("POST", "/a", b"1"), ("PUT", "/a", b"1"), ("POST", "/b", b"1")]
        digests = {digest_call(*call) for call in (*calls, ("POST", "/a", b"2"))}
        self.assertEqual(len(digests), 4)

    def test_a_call_that_did_not_run_may_be_claimed_again(self):
        self.first.settle(self.claim(), NotRun("refused"), None)
        again = self.claim(self.second)
        self.assertIsInstance(again, Claimed)
        self.assertEqual(again.values["attempt"], 2)

    def test_a_call_without_a_complete_answer_is_unknown(self):
        for key, outcome in (("a", Failed("truncated")), ("b", Unknown("timeout"))):
            self.first.settle(self.claim(key=key), outcome, None)
            self.assertIsInstance(self.claim(key=key).outcome, Unknown)

    def test_an_unsettled_claim_becomes_unknown_and_cannot_be_claimed_again(self):
        self.claim(seconds=30)
        self.fixture.timers.advance(89)
        self.assertIsInstance(self.claim(self.second), InProgress)
        self.fixture.timers.advance(2)
        self.assertIsInstance(self.claim(self.second).outcome, Unknown)
        self.fixture.timers.advance(6 * 86_400)
        self.assertIsInstance(self.claim(self.second).outcome, Unknown)

    def test_a_key_can_be_used_again_after_its_retention_time(self):
        self.first.settle(self.claim(), Answered(), ANSWER)
        self.fixture.timers.advance(7 * 86_400 + 31)
        self.assertIsInstance(self.claim(self.second, digest="d2"), Claimed)

    def test_a_late_settlement_of_an_unknown_call_is_stored(self):
        claimed = self.claim(seconds=1)
        self.fixture.timers.advance(120)
        self.assertIsInstance(self.claim(self.second).outcome, Unknown)
        self.first.settle(claimed, Answered(), ANSWER)
        self.assertEqual(self.claim(self.second).answer, ANSWER)

    def test_nothing_is_dispatched_after_the_deadline(self):
        claimed = self.claim(seconds=30)
        self.assertTrue(self.first.may_dispatch(claimed))
        self.fixture.timers.advance(30)
        self.assertFalse(self.first.may_dispatch(claimed))
        self.assertEqual(self.claim(key="new", seconds=0), NotRun("deadline_passed"))

    def test_a_clock_set_back_does_not_extend_the_deadline(self):
        claimed = self.claim(seconds=30)
        self.fixture.timers.advance(31)
        self.fixture.timers._wall_offset -= 3600
        self.assertFalse(self.first.may_dispatch(claimed))

    def test_row_keys_do_not_collide_and_a_key_has_1_to_255_bytes(self):
        keys = {
            ServiceCall("a", "b", "c#d", "", 0).row_key,
            ServiceCall("a", "b", "c", "", 0).row_key,
            ServiceCall("a", "bc", "d", "", 0).row_key,
        }
        self.assertEqual(len(keys), 3)
        for key in ("", "x" * 256):
            self.assertRaises(ValueError, ServiceCall, "a", "b", key, "", 0)
