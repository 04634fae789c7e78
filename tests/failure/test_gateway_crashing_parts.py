"""A relay before endpoints that crash on a part of a prompt."""

import gevent

from rattanwick.internal.base.errors import ConnectionLost
from rattanwick.internal.gateway.blocked_parts import Block
from rattanwick.internal.gateway.crash_evidence import LEARNING_ANSWERS
from tests.gateway_case import Answer, RelayCase

ENDPOINTS = 6


class CrashingPartTests(RelayCase):
    """Guard against a part that crashes one endpoint after the other."""

    def setUp(self):
        super().setUp()
        self.guard = self.state.part_guard
        for number in range(LEARNING_ANSWERS):
            self.guard.note_answer((f"old-{number}",))
        self.sent = 0

    def add_endpoints(self, service: str, events_before_crash: int = 0) -> None:
        """Start endpoints that crash on the part ``x``."""
        for number in range(ENDPOINTS):
            endpoint = self.add_endpoint(f"{service}-{number}", service)
            endpoint.crashing_parts = {"x"}
            endpoint.events_before_crash = events_before_crash
            endpoint.crash_seconds = 10.0

    def ask_with(self, path: str, *parts: str) -> Answer:
        """Send a request with these parts and one of its own."""
        self.sent += 1
        own = f"own-{self.sent}"
        prompt = ",".join(f"{part}:10" for part in (*parts, own))
        answer = self.ask(
            path,
            call_id=f"c-{self.sent}",
            method="POST",
            body=own.encode(),
            headers={"X-Prompt-Prefix": prompt, "X-Token-Counts": "30,10"},
        )
        gevent.sleep(0.03)
        return answer

    def count_runs(self) -> int:
        """Return the requests that reached endpoints."""
        return sum(len(endpoint.executed_requests) for endpoint in self.endpoints)

    def crashed(self) -> int:
        """Return the endpoints that crashed."""
        return sum(len(endpoint.crashes) for endpoint in self.endpoints)

    def test_streams_are_refused_after_three_crashes(self):
        self.add_endpoints("engine")
        self.assertEqual(self.ask_with("/stream/x", "f", "g").status, 200)
        statuses = [self.ask_with("/stream/x", "f", "x").status for _ in range(5)]
        self.assertEqual(statuses, [502, 502, 502, 400, 400])
        self.assertEqual(self.crashed(), 3)
        self.assertEqual(self.ask_with("/stream/x", "f", "g").status, 200)

    def test_a_refusal_does_not_ask_the_caller_to_come_back(self):
        self.add_endpoints("engine")
        for _ in range(3):
            self.ask_with("/stream/x", "x")
        answer = self.ask_with("/stream/x", "x")
        self.assertEqual((answer.status, answer.body), (400, b"blocked_part\n"))
        self.assertNotIn("retry-after", answer.headers)

    def test_calls_that_may_run_once_are_refused_after_three_crashes(self):
        self.add_endpoints("plain")
        statuses = [self.ask_with("/unsafe/x", "f", "x").status for _ in range(5)]
        self.assertEqual(statuses, [502, 502, 502, 400, 400])

    def test_retries_count_and_are_not_sent_once_the_part_is_blocked(self):
        self.add_endpoints("plain")
        self.assertEqual(self.ask_with("/safe/x", "x").status, 502)
        self.assertEqual(self.crashed(), 2)
        self.assertEqual(self.ask_with("/safe/x", "x").status, 400)
        self.assertEqual(self.crashed(), 3)

    def test_streams_that_had_begun_are_not_resumed_once_the_part_is_blocked(self):
        self.add_endpoints("engine", events_before_crash=1)
        for _ in range(3):
            answer = self.ask_with("/resume/x", "x")
            self.assertFalse(answer.body.endswith(b"0\r\n\r\n"))
        self.assertEqual(self.crashed(), 3)
        self.assertEqual(self.ask_with("/resume/x", "x").status, 400)

    def test_an_endpoint_that_closes_its_connections_has_crashed_too(self):
        # A process that ends closes its connections; it resets only some of them.
        self.add_endpoints("engine")
        for endpoint in self.endpoints:
            endpoint.crash_resets = False
        statuses = [self.ask_with("/stream/x", "x").status for _ in range(4)]
        self.assertEqual(statuses, [502, 502, 502, 400])

    def test_a_block_that_arrives_before_the_send_stops_the_request(self):
        self.add_endpoints("engine")
        for _ in range(3):
            self.ask_with("/stream/x", "x")
        block = self.guard.blocks.all()[0]
        self.guard.blocks._blocks.clear()
        connect = self.state.connections.acquire

        def learn_and_connect(*args, **options):
            self.guard.learn(block, "peer")
            return connect(*args, **options)

        self.state.connections.acquire = learn_and_connect
        runs = self.count_runs()
        self.assertEqual(self.ask_with("/stream/x", "x").status, 400)
        self.assertEqual(self.count_runs(), runs)

    def test_an_error_answer_is_sent_if_its_retry_is_blocked(self):
        """Guard against 400 in place of the answer that an endpoint has given."""
        first, second = self.replace_endpoints("i-1", "i-2")
        first.fault = second.fault = "error"
        find, found = self.guard.find_block, []
        block = Block("b", frozenset("x"), frozenset(), 3, (), (), 0.0, 0.0)

        def find_after_first(*args):
            found.append(find(*args))
            ran = first.executed_requests or second.executed_requests
            return block if ran else found[-1]

        self.guard.find_block = find_after_first
        answer = self.ask_with("/safe/x", "f", "x")
        self.assertEqual((answer.status, answer.body), (500, b"no"))
        self.assertEqual(self.count_runs(), 1)

    def test_connections_that_are_reset_are_no_crashes(self):
        self.add_endpoints("engine")
        for endpoint in self.endpoints:
            endpoint.fault = "reset"
        for _ in range(5):
            self.assertEqual(self.ask_with("/stream/x", "f").status, 502)
        self.assertEqual(self.guard.blocks.all(), [])

    def test_an_endpoint_that_does_not_answer_a_connection_has_not_crashed(self):
        self.add_endpoints("engine")

        def time_out(endpoint, timeout):
            raise ConnectionLost("connect", endpoint.id, "timed out", sent=False)

        for _ in range(5):
            connect = self.state.connections.connect
            attempts = iter([connect])
            self.state.connections.connect = (
                lambda endpoint, timeout, attempts=(attempts): next(attempts, time_out)(
                    endpoint, timeout
                )
            )
            self.ask_with("/stream/x", "x")
            self.state.connections.connect = connect
        self.assertEqual(self.guard.blocks.all(), [])

    def test_an_endpoint_that_was_announced_to_leave_has_not_crashed(self):
        self.add_endpoints("engine")
        for _ in range(2):
            self.ask_with("/stream/x", "x")
        crashed = next(e for e in self.endpoints if e.crashes)
        self.guard.note_planned_stop(crashed.id)
        self.assertEqual(self.ask_with("/stream/x", "x").status, 502)
        self.assertEqual(self.guard.blocks.all(), [])

    def test_a_node_that_was_paused_counts_no_crash(self):
        # The endpoint may have been stopped as planned meanwhile.
        self.add_endpoints("engine")
        self.guard.is_current = lambda: False
        self.guard.synchronised.set()
        for _ in range(4):
            self.assertEqual(self.ask_with("/stream/x", "x").status, 502)
        self.assertEqual(self.guard.blocks.all(), [])

    def test_prompts_without_shared_parts_and_malformed_ones_do_no_harm(self):
        self.add_endpoints("engine")
        for prompt in ("", ",,,", "x", ":5", "x:y,z:1", "x:1", "\x7f:1,x:99999999999"):
            self.sent += 1
            answer = self.ask(
                "/stream/x",
                call_id=f"m-{self.sent}",
                method="POST",
                body=prompt.encode(),
                headers={"X-Prompt-Prefix": prompt},
            )
            self.assertIn(answer.status, (200, 400, 502))
        self.assertEqual(self.guard.blocks.all(), [])

    def test_an_endpoint_that_is_back_is_used_again_soon(self):
        # Guards against avoiding an endpoint for 8 s after it crashed several times.
        self.add_endpoints("engine")
        view = self.state.endpoints.get("engine-0")
        for _ in range(5):
            view.note_unreachable(self.timers.now(), refused=True)
        self.assertLessEqual(view.ejected_until - self.timers.now(), 2.0)
