"""Callers are identified, told where to go, and get whole error answers."""

import unittest

from falcon.testing import TestClient

from fakes.collaborators import node, request_services
from rattanwick.internal.base.outcomes import Answered, Failed
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.model.request_records import RequestRecord, StoredResponse
from rattanwick.internal.model.requests import RequestKind, ServingRequest
from rattanwick.internal.requests import runs
from rattanwick.internal.requests.app import build_application
from rattanwick.internal.requests.crashes import CrashTracker

CHAT = "/v1/chat/completions"
KEY = {"Authorization": "Bearer key-a"}


class InterfaceTests(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimerService()
        nodes = [node("n1", "dc-a", 11), node("n2", "dc-b", 12)]
        nodes += [node(f"n{number}", "dc-a", 10 + number) for number in (3, 4)]
        self.services = request_services([], self.timers, nodes=nodes)
        self.client = TestClient(build_application(self.services))

    def test_a_missing_or_unknown_key_is_refused_before_the_body_is_read(self):
        cases = ({}, {"Authorization": "Basic x"}, {"Authorization": "Bearer nobody"})
        long_key = {"Authorization": "Bearer " + "k" * 600}
        for headers in (*cases, long_key):
            result = self.client.simulate_post(CHAT, body="{", headers=headers)
            self.assertEqual(result.status_code, 401)
            self.assertEqual(result.json["error"]["param"], "Authorization")
            self.assertEqual(result.headers["rattanwick-outcome"], "not_run")

    def test_each_refusal_carries_id_and_outcome(self):
        result = self.client.simulate_post(CHAT, body="[]", headers=KEY)
        self.assertEqual(result.status_code, 400)
        self.assertTrue(result.headers["rattanwick-request-id"].startswith("req_"))
        self.assertEqual(result.headers["rattanwick-outcome"], "not_run")

    def test_a_pool_without_allowance_is_refused(self):
        self.services.directory.default = None
        body = {"model": "other", "messages": [{"role": "user", "content": "x"}]}
        result = self.client.simulate_post(CHAT, json=body, headers=KEY)
        self.assertEqual(result.status_code, 403)
        self.assertEqual(result.json["error"]["param"], "model")

    def test_entry_names_nodes_of_the_own_data_centre_first_by_load(self):
        load = {"n1": 0.9, "n3": 0.1, "n4": 0.5, "n2": 0.0}
        self.services.node_load = load.get
        entry = self.client.simulate_get("/v1/entry").json
        ports = [address.rsplit(":", 1)[1] for address in entry["addresses"]]
        self.assertEqual(ports, ["13", "14", "11"])
        self.assertEqual(entry["keep_seconds"], 30)

    def test_a_draining_node_leaves_itself_out(self):
        self.services.drain.refuse_new("")
        entry = self.client.simulate_get("/v1/entry").json
        self.assertNotIn("http://127.0.0.1:11", entry["addresses"])

    def test_a_fault_of_ours_does_not_claim_that_the_call_did_not_run(self):
        self.services.directory.allowance = None
        body = {"model": "other", "messages": [{"role": "user", "content": "x"}]}
        result = self.client.simulate_post(CHAT, json=body, headers=KEY)
        self.assertEqual(result.status_code, 500)
        self.assertEqual(result.headers["rattanwick-outcome"], "unknown")


class CrashRegisterTests(unittest.TestCase):
    def test_a_fingerprint_is_allowed_again_after_ten_minutes(self):
        timers = ManualTimerService()
        services = request_services([], timers)
        register = CrashTracker(services.gossip, timers)
        register.count("print", "e1")
        register.count("print", "e1")
        self.assertFalse(register.refuses("print"), "one endpoint counted twice")
        register.count("print", "e2")
        self.assertTrue(register.refuses("print"))
        timers.advance(601)
        self.assertFalse(register.refuses("print"))


class FinishedAnswersTests(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimerService()
        table = request_services([], self.timers).table
        self.live = runs.LiveRequests(table, self.timers)

    def run_one(self, name: str, body_bytes: int) -> RequestRecord:
        req = ServingRequest(
            name, RequestKind.SERVICE, "o", "p", "s", {"data": b"x"}, False, 0, 0, 0, 0
        )
        record = RequestRecord(req)
        record.answer = StoredResponse(200, {}, b"x" * body_bytes)
        record.output.finish(Answered())
        control = runs.RunControl()
        self.live.start(record, iter(()), control, lambda run: None).finish()
        return record

    def test_finished_answers_are_bounded_and_keep_no_request_body(self):
        self.addCleanup(setattr, runs, "MAX_FINISHED_CHARS", runs.MAX_FINISHED_CHARS)
        runs.MAX_FINISHED_CHARS = 2500
        records = [self.run_one(f"r{number}", 1000) for number in range(4)]
        kept = [self.live.table.get(f"r{number}") is not None for number in range(4)]
        self.assertEqual(kept, [False, False, True, True])
        self.assertEqual(records[3].req.body, {})

    def test_finished_answers_expire(self):
        self.run_one("r1", 10)
        self.timers.advance(601)
        self.live.drop_expired()
        self.assertIsNone(self.live.table.get("r1"))
        self.assertEqual(self.live._finished_chars, 0)

    def test_a_failing_step_ends_the_request_as_failed(self):
        req = ServingRequest(
            "r", RequestKind.CHAT, "o", "p", "s", {}, False, 0, 0, 0, 0
        )
        record = RequestRecord(req)

        def steps():
            yield
            raise KeyError("fault")

        ended = []
        run = self.live.start(record, steps(), runs.RunControl(), ended.append)
        run.finish()
        self.assertEqual(record.output.outcome, Failed("internal"))
        self.assertEqual(ended, [run])
