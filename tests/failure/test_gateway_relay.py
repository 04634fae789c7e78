"""Requests through the relay while endpoints fail in different ways."""

import time

import gevent

from fakes.gateway_endpoint import SIGNATURE
from rattanwick.internal.gateway.crash_check import GATHER_SECONDS
from tests.gateway_case import RelayCase, make_organisation, make_route


class WholeAnswerTests(RelayCase):
    """Guard against wrong responses and repeated runs.

    A response must not belong to another request, and a request that is not idempotent
    must not run twice.
    """

    def test_an_answer_is_returned_unchanged(self):
        endpoint = self.add_endpoint("i-1")
        answer = self.ask("/safe/x?q=1")
        self.assertEqual((answer.status, answer.body), (200, b"whole"))
        self.assertEqual(answer.headers["x-server-stamp"], SIGNATURE)
        seen = endpoint.executed_requests[0]
        self.assertEqual(seen[":request"], "GET /safe/x?q=1 HTTP/1.1")
        self.assertEqual(seen["x-tenant"], "org")
        self.assertEqual(seen["x-expect-instance"], "i-1")
        self.assertNotIn("x-api-key", seen)
        self.assertLessEqual(int(seen["x-deadline-ms"]), 1500)

    def test_headers_that_the_system_sets_are_not_taken_from_callers(self):
        endpoint = self.add_endpoint("i-1")
        forged = {
            "X-Tenant": "other",
            "X-Hold": "h",
            "X-Pin-Ms": "9",
            "Kv-From": "1.2.3.4:5/h",
            "X-Kv-Backup": "1.2.3.4:5",
            "X-Expect-Instance": "i-9",
        }
        self.assertEqual(self.ask("/safe/x", headers=forged).status, 200)
        seen = endpoint.executed_requests[0]
        self.assertEqual((seen["x-tenant"], seen["x-expect-instance"]), ("org", "i-1"))
        for name in ("x-hold", "x-pin-ms", "kv-from", "x-kv-backup"):
            self.assertNotIn(name, seen)

    def test_an_idempotent_request_is_retried_after_a_failure(self):
        for fault in (
            "error",
            "busy",
            "reset",
            "truncated",
            "other_request",
            "unsigned",
        ):
            with self.subTest(fault):
                ids = f"i-{fault}-1", f"i-{fault}-2"
                first, second = self.replace_endpoints(*ids)
                first.fault = second.fault = fault
                first.faults_left, second.faults_left = 1, 0
                self.prefer(ids[0])
                answer = self.ask("/safe/x")
                self.assertEqual((answer.status, answer.body), (200, b"whole"))
                self.assertEqual(
                    (len(first.executed_requests), len(second.executed_requests)),
                    (1, 1),
                )

    def test_a_non_idempotent_request_is_sent_once(self):
        for fault, status in (
            ("reset", 502),
            ("truncated", 502),
            ("busy", 502),
            ("error", 500),
            ("other_request", 502),
        ):
            with self.subTest(fault):
                ids = f"i-{fault}-1", f"i-{fault}-2"
                first, second = self.replace_endpoints(*ids)
                first.fault = second.fault = fault
                answer = self.ask("/unsafe/x", method="POST", body=b"b")
                self.assertEqual(answer.status, status)
                self.assertEqual(
                    len(first.executed_requests) + len(second.executed_requests), 1
                )

    def test_closed_idle_connections_fail_only_one_non_idempotent_request(self):
        """A request sent on a connection that the endpoint has closed may have run.

        After one such loss, requests that are not idempotent use no connection that has
        been idle for as long as the lost one.
        """
        endpoint = self.add_endpoint("i-1")
        pool = self.state.connections

        def send(fault: str = "") -> tuple[int, int]:
            """Return the status of a request and the connections that it opened."""
            endpoint.fault, opened = fault, pool.opened
            return self.ask("/unsafe/x", method="POST").status, pool.opened - opened

        self.assertEqual(send(), (200, 1))
        self.assertEqual(send(), (200, 0))
        gevent.sleep(0.1)
        self.assertEqual(send("reset")[0], 502)
        # The check for a crash opens a connection of its own.
        gevent.sleep(4 * GATHER_SECONDS)
        self.assertEqual(send(), (200, 1))
        gevent.sleep(0.1)
        # Idle connections are still used for requests that may be retried.
        self.assertEqual(send(), (200, 1))
        endpoint.fault, opened = "", pool.opened
        self.assertEqual(self.ask("/safe/x").status, 200)
        self.assertEqual(pool.opened, opened)

    def test_a_late_loss_does_not_stop_the_reuse_of_idle_connections(self):
        """A failure during a request says nothing about idle connections.

        Requests that are not idempotent would otherwise open new connections for no
        reason.
        """
        endpoint = self.add_endpoint("i-1")
        self.assertEqual(self.ask("/unsafe/x", method="POST").status, 200)
        view = self.state.endpoints.get("i-1")
        connection = self.state.connections.acquire(view.endpoint, 1.0, no_retry=True)
        # After its loss, no idle connection may be used.
        connection.previous_idle_seconds = 0.0
        self.assertEqual(self.ask("/unsafe/x", method="POST").status, 200)
        for seconds, opened in ((0.5, 0), (0.05, 1)):
            pool = self.state.connections
            pool.note_lost(connection, seconds)
            before = pool.opened
            self.assertEqual(self.ask("/unsafe/x", method="POST").status, 200)
            self.assertEqual(pool.opened - before, opened, seconds)
        endpoint.stop()

    def test_a_request_that_its_endpoint_declines_gets_503(self):
        endpoint = self.add_endpoint("i-1")
        endpoint.fault = "shed"
        answer = self.ask("/unsafe/x", method="POST", body=b"b")
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual((len(endpoint.executed_requests), endpoint.declined), (0, 1))

    def test_a_request_sent_to_a_reused_address_is_retried_elsewhere(self):
        first, second = self.add_endpoint("i-1"), self.add_endpoint("i-2")
        first.fault = "misdirected"
        self.prefer("i-1")
        answer = self.ask("/unsafe/x", method="POST", body=b"b")
        self.assertEqual(answer.status, 200)
        self.assertEqual(
            (len(first.executed_requests), len(second.executed_requests)), (0, 1)
        )

    def test_an_address_that_another_endpoint_uses_is_avoided_at_once(self):
        """Guard against further requests to it until the endpoint was ejected."""
        first, _ = self.add_endpoint("i-1"), self.add_endpoint("i-2")
        first.fault = "misdirected"
        for number in range(4):
            self.prefer("i-1")
            answer = self.ask("/unsafe/x", method="POST", call_id=f"c-{number}")
            self.assertEqual(answer.status, 200)
        self.assertEqual(first.declined, 1)

    def test_a_request_that_ran_at_no_endpoint_gets_503(self):
        # Sent twice: to an address that another endpoint uses now, and to a full one.
        first, second = self.add_endpoint("i-1"), self.add_endpoint("i-2")
        first.fault, second.fault = "misdirected", "shed"
        self.prefer("i-1")
        answer = self.ask("/unsafe/x", method="POST", body=b"b")
        self.assertEqual(answer.status, 503)
        self.assertEqual(
            len(first.executed_requests) + len(second.executed_requests), 0
        )

    def test_another_endpoint_is_used_if_one_refuses_connections(self):
        first, second = self.add_endpoint("i-1"), self.add_endpoint("i-2")
        first.stop()
        self.prefer("i-1")
        self.assertEqual(self.ask("/unsafe/x", method="POST", body=b"b").status, 200)
        self.assertEqual(len(second.executed_requests), 1)

    def test_bytes_after_a_response_reach_no_caller(self):
        endpoint = self.add_endpoint("i-1")
        endpoint.fault = "extra"
        for number in range(3):
            answer = self.ask("/safe/x", call_id=f"call-{number}")
            self.assertEqual((answer.status, answer.body), (200, b"whole"))

    def test_a_response_without_a_length_ends_with_its_connection(self):
        self.add_endpoint("i-1").fault = "unframed"
        answer = self.ask("/safe/x")
        self.assertEqual((answer.status, answer.body), (200, b"whole"))

    def test_a_request_to_a_silent_endpoint_is_answered_at_its_deadline(self):
        self.add_endpoint("i-1").fault = "hang"
        started = time.monotonic()
        answer = self.ask(
            "/unsafe/x", method="POST", body=b"b", headers={"X-Deadline-Ms": "400"}
        )
        self.assertEqual(answer.status, 504)
        self.assertLess(time.monotonic() - started, 0.4 + 0.5)

    def test_a_pause_beyond_the_deadline_ends_a_request_as_not_run(self):
        """A node that was paused while it connected closed the caller's connection.

        Guard also against blaming the endpoint for the pause.
        """
        endpoint = self.add_endpoint("i-1")
        pool = self.state.connections
        acquire, connect = pool.acquire, pool.connect

        def paused(call):
            def pause_and_call(*args, **options):
                gevent.sleep(0.3)
                return call(*args, **options)

            return pause_and_call

        for name, call in (("acquire", acquire), ("connect", connect)):
            with self.subTest(name):
                setattr(pool, name, paused(call))
                answer = self.ask(
                    "/unsafe/x", method="POST", headers={"X-Deadline-Ms": "200"}
                )
                setattr(pool, name, call)
                self.assertEqual(answer.status, 503)
                self.assertEqual(len(endpoint.executed_requests), 0)
                self.assertEqual(self.state.endpoints.get("i-1").failure_rate, 0.0)

    def test_without_an_endpoint_a_request_is_refused_at_once(self):
        started = time.monotonic()
        answer = self.ask("/safe/x")
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertLess(time.monotonic() - started, 0.5)

    def test_a_request_that_crashes_endpoints_is_refused_after_two_crashes(self):
        for number in range(4):
            self.add_endpoint(f"i-{number}")
        for number in range(4):
            self.prefer(f"i-{number}")
            self.assertEqual(self.ask("/safe/x", call_id=f"a-{number}").status, 200)
        for endpoint in self.endpoints:
            self.assertEqual(len(endpoint.executed_requests), 1)
            endpoint.fault = "crash"
        statuses = []
        for number in range(5):
            answer = self.ask(
                "/unsafe/x", call_id=f"c-{number}", method="POST", body=b"poison"
            )
            statuses.append(answer.status)
            gevent.sleep(0.05)
        self.assertEqual(statuses[:2], [502, 502])
        self.assertEqual(statuses[2:], [503, 503, 503])
        other = self.ask("/unsafe/x", call_id="c-9", method="POST", body=b"other")
        self.assertEqual(other.status, 502)

    def test_a_request_is_not_blamed_for_endpoints_that_were_already_down(self):
        # A proxy accepts connections for an endpoint that is down, then resets them.
        for number in range(3):
            self.add_endpoint(f"i-{number}").fault = "crash"
        self.assertEqual(self.ask("/safe/x", call_id="c-1").status, 502)
        gevent.sleep(0.05)
        self.add_endpoint("i-9")
        self.assertEqual(self.ask("/safe/x", call_id="c-2").status, 200)


class StreamTests(RelayCase):
    """Guard against streams with missing or repeated events, or events of two runs."""

    WHOLE = [f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 5)]

    def events(self, answer) -> list[bytes]:
        """Return the events of a chunked answer."""
        body, data = answer.body, b""
        while body:
            size, _, body = body.partition(b"\r\n")
            if not size or int(size, 16) == 0:
                break
            data += body[: int(size, 16)]
            body = body[int(size, 16) + 2 :]
        return [part + b"\n\n" for part in data.split(b"\n\n") if part]

    def test_a_stream_is_forwarded_completely(self):
        self.add_endpoint("i-1", "engine")
        answer = self.ask("/stream/x", method="POST", body=b"p")
        self.assertEqual(self.events(answer), self.WHOLE)
        self.assertTrue(answer.raw.endswith(b"0\r\n\r\n"))

    def test_a_broken_stream_does_not_look_complete(self):
        for fault in ("cut_in_event", "cut_between_events"):
            with self.subTest(fault):
                (endpoint,) = self.replace_endpoints(f"i-{fault}", service="engine")
                endpoint.fault = fault
                answer = self.ask("/stream/x", method="POST", body=b"p")
                self.assertEqual(self.events(answer), self.WHOLE[:1])
                self.assertFalse(answer.raw.endswith(b"0\r\n\r\n"))
                self.assertEqual(len(endpoint.executed_requests), 1)

    def test_a_resumable_stream_continues_at_another_endpoint(self):
        for fault in ("cut_in_event", "cut_between_events"):
            with self.subTest(fault):
                ids = f"i-{fault}-1", f"i-{fault}-2"
                first, second = self.replace_endpoints(*ids, service="engine")
                first.fault = fault
                self.prefer(ids[0])
                answer = self.ask("/resume/x", method="POST", body=b"p")
                self.assertEqual(self.events(answer), self.WHOLE)
                self.assertTrue(answer.raw.endswith(b"0\r\n\r\n"))
                self.assertEqual(second.executed_requests[0]["last-event-id"], "1")

    def test_a_broken_stream_is_logged_once_with_its_endpoint(self):
        self.add_endpoint("i-1", "engine").fault = "cut_between_events"
        with self.assertLogs("rattanwick.relay", "INFO") as logs:
            self.ask("/stream/x", method="POST", body=b"p")
        ended = [record for record in logs.records if "ended" in record.msg]
        self.assertEqual(len(ended), 1)
        self.assertIn("stream_broken", ended[0].outcome)
        self.assertEqual(ended[0].endpoint, "i-1")

    def test_a_disconnect_of_the_caller_ends_the_request_at_the_endpoint(self):
        endpoint = self.add_endpoint("i-1", "engine")
        endpoint.event_seconds = 0.1
        sock = self.connect()
        sock.sendall(self.request_bytes("/stream/x", method="POST", body=b"p"))
        sock.recv(100)
        sock.close()
        gevent.sleep(0.5)
        self.assertEqual(endpoint.closed_early, 1)
        self.assertEqual(self.state.endpoints.get("i-1").running, 0)


class LimitTests(RelayCase):
    """Guard against organisations that use more than their rate limit."""

    def test_a_request_over_the_limit_is_refused_with_retry_after(self):
        organisation = make_organisation(rate=100.0, burst=150.0)
        self.configure(make_route("/safe/"), organisation=organisation)
        self.add_endpoint("i-1")
        answers = [self.ask("/safe/x", call_id=f"c-{n}") for n in range(2)]
        self.assertEqual([answer.status for answer in answers], [200, 429])
        self.assertGreater(float(answers[1].headers["retry-after"]), 0)

    def test_a_request_that_did_not_run_is_not_charged(self):
        organisation = make_organisation(rate=1.0, burst=150.0)
        self.configure(make_route("/safe/"), organisation=organisation)
        self.assertEqual(self.ask("/safe/x").status, 503)
        self.add_endpoint("i-1")
        self.assertEqual(self.ask("/safe/x").status, 200)

    def test_an_unknown_key_and_an_unknown_path_are_refused(self):
        self.add_endpoint("i-1")
        answer = self.ask("/safe/x", headers={"X-Api-Key": "wrong"})
        self.assertEqual(answer.status, 401)
        self.assertEqual(self.ask("/nowhere/x").status, 404)

    def test_without_a_configuration_requests_are_refused_as_unavailable(self):
        cfg = self.state.configuration
        self.state.configuration = None
        self.server.limits = lambda: cfg.limits
        self.assertEqual(self.ask("/safe/x").status, 503)
