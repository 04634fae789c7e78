"""Service calls run at most once, and their outcome is reported exactly."""

import gevent

from tests.request_case import SERVICE, RequestCase


class ServiceCallTests(RequestCase):
    """Guard against a call that runs twice, or whose outcome is reported wrongly.

    This can happen when a call is repeated, an answer is lost or late, or an endpoint
    or the table of claims cannot be reached.
    """

    def call_service(self, key="k1", body=b'{"van": 3}', **headers):
        return self.call("POST", SERVICE, body, Idempotency_Key=key, **headers)

    def executed(self):
        return [entry for entry in self.ledger("s1", "s2") if entry.ran]

    def test_a_repeated_call_runs_once_and_gets_the_first_answer(self):
        first, second = self.call_service(), self.call_service()
        self.assertEqual(first.json(), second.json())
        self.assertEqual(second.headers["rattanwick-replayed"], "true")
        self.assertEqual(len(self.executed()), 1)
        self.assertEqual(first.request_id, second.request_id)

    def test_a_repeated_call_is_answered_while_no_endpoint_is_listed(self):
        # "not_run" would be wrong for a key whose call has run.
        first = self.call_service()
        self.services.instances.replace([])
        second = self.call_service()
        self.assertEqual((second.outcome, second.body), ("answered", first.body))

    def test_a_call_repeated_while_the_first_runs_is_not_sent(self):
        self.fakes["s1"].call_seconds = 0.2
        first = gevent.spawn(self.call_service)
        self.wait_until(lambda: self.executed())
        second = self.call_service()
        self.assertEqual((second.status, second.outcome), (409, "unknown"))
        self.assertEqual(first.get().outcome, "answered")
        self.assertEqual(len(self.executed()), 1)

    def test_a_key_with_another_body_is_refused(self):
        self.call_service()
        answer = self.call_service(body=b'{"van": 4}')
        self.assertEqual(answer.status, 422)
        self.assertEqual(answer.json()["error"]["param"], "Idempotency-Key")
        self.assertEqual(len(self.executed()), 1)

    def test_the_same_key_of_another_organisation_identifies_another_call(self):
        self.call_service()
        other = self.call_service(Authorization="Bearer key-b")
        self.assertEqual((other.outcome, len(self.executed())), ("answered", 2))

    def test_a_call_without_a_key_gets_a_generated_one(self):
        answer = self.call("POST", SERVICE, b"{}")
        key = answer.headers["idempotency-key"]
        self.assertGreaterEqual(len(key), 32)
        self.assertEqual(self.executed()[0].key, key)

    def test_a_refused_connection_tries_another_endpoint_under_the_same_claim(self):
        self.fault("s1", down=True)
        gevent.sleep(0.05)
        self.assertEqual(self.call_service().outcome, "answered")
        self.assertEqual(len(self.services.claims.rows), 1)

    def test_a_call_refused_by_all_endpoints_is_not_run_and_may_be_repeated(self):
        for name in ("s1", "s2"):
            self.fault(name, down=True)
        gevent.sleep(0.05)
        refused = self.call_service()
        self.assertEqual((refused.status, refused.outcome), (503, "not_run"))
        self.assertEqual(self.services.grants.unrun, 1)
        self.fault("s1", down=False)
        self.assertEqual(self.call_service().outcome, "answered")
        self.assertEqual(len(self.executed()), 1)

    def test_the_outcome_of_a_lost_answer_is_unknown_and_stays_so(self):
        self.fault("s1", lose_answers=1)
        first = self.call_service()
        self.assertEqual((first.status, first.outcome), (504, "unknown"))
        self.assertEqual(self.call_service().outcome, "unknown")
        self.assertEqual(len(self.executed()), 1)

    def test_an_answer_with_another_request_id_gives_an_unknown_outcome(self):
        self.fault("s1", wrong_id_times=1)
        self.assertEqual(self.call_service().outcome, "unknown")
        self.assertEqual(len(self.executed()), 1)

    def test_a_call_without_an_answer_at_its_deadline_is_unknown(self):
        self.fakes["s1"].call_seconds = 1.0
        answer = self.call_service(Rattanwick_Deadline_Ms="100")
        self.assertEqual((answer.status, answer.outcome), (504, "unknown"))
        self.assertEqual(len(self.executed()), 1)

    def test_a_call_that_a_service_reports_as_not_run_goes_to_another_endpoint(self):
        self.fault("s1", busy_times=1)
        self.assertEqual(self.call_service().outcome, "answered")
        self.assertEqual([entry.ran for entry in self.ledger("s1")], [False])
        self.assertEqual(len(self.executed()), 1)

    def test_no_call_is_sent_while_claims_cannot_be_written(self):
        self.services.claims.down = True
        answer = self.call_service()
        self.assertEqual((answer.status, answer.outcome), (503, "not_run"))
        self.assertEqual(self.ledger("s1", "s2"), [])
        self.assertEqual(sum(self.services.router.in_flight.values()), 0)

    def test_the_status_of_a_service_is_passed_to_the_caller(self):
        self.fakes["s1"].kind = "engine"  # answers 404 to an unknown path
        self.services.instances.replace(self.endpoints)
        answer = self.call_service()
        self.assertIn(answer.status, (404, 504))
