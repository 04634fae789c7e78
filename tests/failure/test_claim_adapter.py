"""The adapter passes each result of a claim to the request path unchanged.

Guards against a repeated call that is refused as a mismatch, or runs again, because
the adapter confused two results.
"""

import unittest

from fakes.memory import MemoryObjectStore, MemoryTable
from rattanwick.internal.adapters import ClaimsAdapter
from rattanwick.internal.base.outcomes import Answered, NotRun, Unknown
from rattanwick.internal.base.settings import ClaimSettings
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.model.request_records import StoredResponse
from rattanwick.internal.requests import interfaces as requests
from rattanwick.internal.state.claims import Claims

ANSWER = StoredResponse(200, {"content-type": "text/plain"}, b"booked")


class TableClaimsTests(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimerService()
        self.table = MemoryTable()
        objects = MemoryObjectStore()
        claims = Claims(
            self.table, objects, self.timers, ClaimSettings(), "n1.1", self.timers.now
        )
        self.claims = ClaimsAdapter(claims)

    def call(self, digest: str = "d1") -> requests.ServiceCall:
        deadline = self.timers.wall_time() + 30
        return requests.ServiceCall("req_1", "org", "svc", "key", digest, deadline)

    def test_a_key_that_was_never_used_may_be_claimed(self):
        self.assertIsNone(self.claims.look_up(self.call()))
        claimed = self.claims.claim(self.call())
        self.assertIsInstance(claimed, requests.Claimed)
        self.assertTrue(self.claims.may_dispatch(claimed))

    def test_a_repeat_gets_the_stored_answer_from_look_up_and_claim(self):
        self.claims.settle(self.claims.claim(self.call()), Answered(), ANSWER)
        for result in (
            self.claims.look_up(self.call()),
            self.claims.claim(self.call()),
        ):
            self.assertIsInstance(result, requests.Replayed)
            self.assertEqual((result.outcome, result.answer), (Answered(), ANSWER))

    def test_a_repeat_with_another_body_is_a_mismatch(self):
        self.claims.settle(self.claims.claim(self.call()), Answered(), ANSWER)
        self.assertEqual(self.claims.look_up(self.call("d2")), requests.BodyMismatch())

    def test_a_repeat_during_the_call_is_in_progress(self):
        self.claims.claim(self.call())
        self.assertIsInstance(self.claims.look_up(self.call()), requests.InProgress)

    def test_a_call_that_did_not_run_may_be_claimed_again_but_not_an_unknown_one(self):
        self.claims.settle(self.claims.claim(self.call()), Unknown("lost"), None)
        self.assertIsInstance(self.claims.look_up(self.call()).outcome, Unknown)
        self.table.rows.clear()
        self.claims.settle(self.claims.claim(self.call()), NotRun("refused"), None)
        self.assertIsNone(self.claims.look_up(self.call()))

    def test_a_paused_claimant_may_not_dispatch_after_the_deadline(self):
        claimed = self.claims.claim(self.call())
        self.timers.advance(60)
        self.assertFalse(self.claims.may_dispatch(claimed))
