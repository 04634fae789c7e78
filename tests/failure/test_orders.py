"""Engines reach their desired states even if the lease holder changes or fails.

Guards against orders of an earlier holder that undo those of the new one, and
against orders that are lost and never repeated.
"""

import json
import threading
import unittest
from dataclasses import replace
from http.server import BaseHTTPRequestHandler, HTTPServer

from fakes.memory import MemoryTable
from rattanwick.internal.base.errors import Conflict, TimedOut
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.model.instances import Endpoint, EndpointKind
from rattanwick.internal.recording.decisions import NullRecorder
from rattanwick.internal.state.leases import LEASE_SECONDS, LeaseKeeper, Leases
from rattanwick.internal.state.order_client import (
    EngineState,
    HttpOrderClient,
    OrderClient,
)
from rattanwick.internal.state.order_reconciler import (
    DesiredState,
    OrderReconciler,
    decide_order,
)
from rattanwick.internal.state.order_service import OrderService

ENDPOINT = Endpoint("e1", "p", EndpointKind.ENGINE, "duran", "r", "127.0.0.1", 1)
DESIRED = DesiredState("e1", "load_model", "m2")


class EngineStub(OrderClient):
    """An engine in memory; with ``checks`` it rejects stale fencing numbers."""

    def __init__(self, checks=False):
        self.checks = checks
        self.number = 0
        self.targets = {}
        self.sent = []
        self.lose = 0
        self.ignore = 0

    def send(self, endpoint, fencing_number, action, target):
        if self.checks and fencing_number < self.number:
            raise Conflict("order", endpoint.id, "stale")
        self.sent.append((fencing_number, target))
        self.number = max(self.number, fencing_number) if self.checks else 0
        if self.ignore > 0:
            self.ignore -= 1
            return
        self.targets[action] = target
        if self.lose > 0:
            self.lose -= 1
            raise TimedOut("order", endpoint.id, "no answer")

    def read_state(self, endpoint):
        return EngineState(self.number, dict(self.targets))


class OrderServiceTests(unittest.TestCase):
    """Guards against a stopped node whose lease stays held until it expires."""

    def setUp(self):
        self.table = MemoryTable()
        self.timers = ManualTimerService()
        self.engine = EngineStub()
        self.desired = [DESIRED]

    def service(self, name):
        leases = Leases(self.table, name, clock=self.timers.now)
        return OrderService(
            leases,
            self.engine,
            lambda endpoint_id: ENDPOINT,
            self.timers,
            NullRecorder(),
            lambda: self.desired,
        )

    def test_a_stop_releases_the_lease_and_the_next_holder_is_shown(self):
        first, second = self.service("n1/1"), self.service("n2/1")
        first.start()
        self.timers.advance(11)
        second.start()
        self.timers.advance(6)
        self.assertEqual(self.engine.sent, [(1, "m2")])
        lease = first.status()["leases"]["orders"]
        self.assertTrue(lease["held_here"])
        self.assertEqual((lease["holder"], lease["fencing_number"]), ("n1/1", 1))
        seen = second.status()["leases"]["orders"]
        self.assertFalse(seen["held_here"])
        self.assertEqual(seen["holder"], "n1/1")
        first.stop()
        self.timers.advance(LEASE_SECONDS * 2)
        lease = second.status()["leases"]["orders"]
        self.assertEqual((lease["held_here"], lease["fencing_number"]), (True, 2))
        self.assertFalse(first.status()["leases"]["orders"]["held_here"])

    def test_a_desired_state_that_is_no_longer_provided_is_removed(self):
        service = self.service("n1/1")
        service.start()
        self.timers.advance(11)
        self.assertEqual(service.status()["orders"]["confirmed"], 1)
        self.desired = []
        self.timers.advance(6)
        self.assertEqual(service.status()["orders"]["desired"], 0)


class OrderTests(unittest.TestCase):
    def setUp(self):
        self.table = MemoryTable()
        self.timers = ManualTimerService()
        self.engine = EngineStub()
        self.endpoint = ENDPOINT

    def holder(self, name):
        leases = Leases(self.table, name, clock=self.timers.now)
        keeper = LeaseKeeper(leases, "orders", self.timers)
        orders = OrderReconciler(
            leases,
            keeper,
            self.engine,
            lambda endpoint_id: self.endpoint,
            self.timers,
            clock=self.timers.now,
        )
        orders.set_desired_state(DESIRED)
        return keeper, orders

    def test_an_order_is_sent_once_if_the_state_confirms_it(self):
        self.holder("n1")
        self.timers.advance(300)
        self.assertEqual(self.engine.sent, [(1, "m2")])

    def test_an_order_whose_answer_was_lost_is_read_back(self):
        self.engine.lose = 1
        self.holder("n1")
        self.timers.advance(30)
        self.assertEqual(len(self.engine.sent), 1)

    def test_an_order_that_had_no_effect_is_repeated(self):
        self.engine.ignore = 2
        self.holder("n1")
        self.timers.advance(30)
        self.assertEqual(len(self.engine.sent), 3)

    def test_only_the_holder_sends(self):
        self.holder("n1")
        self.holder("n2")
        self.timers.advance(120)
        self.assertEqual({number for number, _ in self.engine.sent}, {1})

    def take_over(self):
        """Replace the lease holder by a new one; return its reconciler."""
        keeper, _ = self.holder("n1")
        self.timers.advance(10)
        keeper.stop()
        self.engine.targets = {}
        self.engine.sent = []
        _, orders = self.holder("n2")
        self.timers.advance(LEASE_SECONDS / 3)
        return orders

    def test_a_new_holder_waits_before_it_orders_an_engine_without_fencing(self):
        orders = self.take_over()
        self.timers.advance(orders.quiet_period_seconds - 5)
        self.assertEqual(self.engine.sent, [])
        self.timers.advance(15)
        self.assertEqual(self.engine.sent, [(2, "m2")])

    def test_a_new_holder_orders_an_engine_with_fencing_at_once(self):
        self.engine.checks = True
        self.endpoint = replace(ENDPOINT, checks_fencing=True)
        self.take_over()
        self.timers.advance(6)
        self.assertEqual(self.engine.sent, [(2, "m2")])

    def test_a_late_order_of_an_earlier_holder_is_found_and_undone(self):
        self.holder("n1")
        self.timers.advance(10)
        self.engine.targets["load_model"] = "m1"  # effect of the late order
        self.timers.advance(70)
        self.assertEqual(self.engine.targets["load_model"], "m2")

    def test_a_holder_paused_before_sending_does_not_send(self):
        keeper, orders = self.holder("n1")
        keeper.tick()
        read = self.engine.read_state

        def pause(endpoint):
            state = read(endpoint)
            self.timers._now += LEASE_SECONDS + 1
            return state

        self.engine.read_state = pause
        orders.reconcile()
        self.assertEqual(self.engine.sent, [])

    def test_a_leaving_endpoint_gets_no_order(self):
        self.endpoint = replace(ENDPOINT, leaving=True)
        self.holder("n1")
        self.timers.advance(60)
        self.assertEqual(self.engine.sent, [])

    def test_an_engine_that_reports_a_newer_holder_gets_no_order_from_the_older_one(
        self,
    ):
        inputs = {
            "holds_lease": True,
            "engine_fencing_number": 3,
            "fencing_number": 2,
            "checks_fencing": True,
            "quiet_seconds": 0,
            "found": "a",
            "target": "b",
        }
        self.assertEqual(decide_order(inputs), ("wait", "newer_holder"))


class EngineHandler(BaseHTTPRequestHandler):
    """Serves the order paths of an engine; rejects stale fencing numbers."""

    def do_POST(self):  # noqa: N802
        length = int(self.headers["Content-Length"])
        order = json.loads(self.rfile.read(length))
        state = self.server.state
        if order["fencing_number"] < state["fencing_number"]:
            self.answer(409, {})
            return
        state["fencing_number"] = order["fencing_number"]
        state["targets"][order["action"]] = order["target"]
        self.answer(202, {})

    def do_GET(self):  # noqa: N802
        self.answer(200, self.server.state)

    def answer(self, status, value):
        body = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args):
        pass


class HttpOrderClientTests(unittest.TestCase):
    def setUp(self):
        self.server = HTTPServer(("127.0.0.1", 0), EngineHandler)
        self.server.state = {"fencing_number": 0, "targets": {}}
        threading.Thread(target=self.server.serve_forever, args=(0.01,)).start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.endpoint = replace(ENDPOINT, port=self.server.server_port)
        self.client = HttpOrderClient(timeout=2)

    def test_an_order_is_sent_and_its_state_read_back(self):
        self.client.send(self.endpoint, 4, "set_role", "prefill")
        state = self.client.read_state(self.endpoint)
        self.assertEqual(state, EngineState(4, {"set_role": "prefill"}))

    def test_a_stale_fencing_number_is_a_conflict(self):
        self.client.send(self.endpoint, 4, "set_role", "prefill")
        with self.assertRaises(Conflict):
            self.client.send(self.endpoint, 3, "set_role", "decode")
