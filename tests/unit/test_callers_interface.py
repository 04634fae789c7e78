"""Authentication, /v1/entry and error responses of the interface for callers."""

import unittest

from falcon.testing import TestClient

from fakes.collaborators import node, request_dependencies
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
    """Guard against error responses that mislead a caller about its request.

    Each refusal must name the invalid field, the request id and the true outcome.
    """

    def setUp(self):
        self.timers = ManualTimerService()
        nodes = [node("n1", "dc-a", 11), node("n2", "dc-b", 12)]
        nodes += [node(f"n{number}", "dc-a", 10 + number) for number in (3, 4)]
        self.services = request_dependencies([], self.timers, nodes=nodes)
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

    def test_entry_lists_nodes_of_the_own_data_centre_first_by_load(self):
        load = {"n1": 0.9, "n3": 0.1, "n4": 0.5, "n2": 0.0}
        self.services.node_load = load.get
        entry = self.client.simulate_get("/v1/entry").json
        ports = [address.rsplit(":", 1)[1] for address in entry["addresses"]]
        self.assertEqual(ports, ["13", "14", "11"])
        self.assertEqual(entry["keep_seconds"], 30)

    def test_entry_of_a_draining_node_does_not_list_the_node(self):
        self.services.drain.refuse_new("")
        entry = self.client.simulate_get("/v1/entry").json
        self.assertNotIn("http://127.0.0.1:11", entry["addresses"])

    def test_an_internal_error_does_not_report_that_the_call_did_not_run(self):
        # The call to None raises a TypeError inside the resource.
        self.services.directory.allowance = None
        body = {"model": "other", "messages": [{"role": "user", "content": "x"}]}
        result = self.client.simulate_post(CHAT, json=body, headers=KEY)
        self.assertEqual(result.status_code, 500)
        self.assertEqual(result.headers["rattanwick-outcome"], "unknown")


class CrashTrackerTests(unittest.TestCase):
    """Guard against refusing a request for good, or for one endpoint lost twice."""

    def test_a_fingerprint_is_allowed_again_after_ten_minutes(self):
        timers = ManualTimerService()
        services = request_dependencies([], timers)
        tracker = CrashTracker(services.gossip, timers)
        tracker.record_loss("print", "e1")
        tracker.record_loss("print", "e1")
        self.assertFalse(tracker.refuses("print"), "one endpoint was counted twice")
        tracker.record_loss("print", "e2")
        self.assertTrue(tracker.refuses("print"))
        timers.advance(601)
        self.assertFalse(tracker.refuses("print"))


class FinishedAnswersTests(unittest.TestCase):
    """Guard against finished answers that fill the memory of a node."""

    def setUp(self):
        self.timers = ManualTimerService()
        registry = request_dependencies([], self.timers).requests
        self.live = runs.LiveRequests(registry, self.timers)

    def run_to_end(self, name: str, body_bytes: int) -> RequestRecord:
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
        records = [self.run_to_end(f"r{number}", 1000) for number in range(4)]
        kept = [self.live.registry.get(f"r{number}") is not None for number in range(4)]
        self.assertEqual(kept, [False, False, True, True])
        self.assertEqual(records[3].req.body, {})

    def test_finished_answers_expire(self):
        self.run_to_end("r1", 10)
        self.timers.advance(601)
        self.live.drop_expired()
        self.assertIsNone(self.live.registry.get("r1"))
        self.assertEqual(self.live._finished_chars, 0)

    def test_an_exception_in_a_step_ends_the_request_as_failed(self):
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
