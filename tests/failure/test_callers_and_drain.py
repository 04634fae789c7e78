"""Callers that disconnect, nodes that drain and backup nodes that are slow."""

import json
import time

import gevent
from gevent import monkey, socket

from fakes.collaborators import SharedHandlersNetwork, node, request_dependencies
from fakes.endpoint_text import chat_text_of as chat_text
from rattanwick.internal.base.outcomes import Answered, Failed
from rattanwick.internal.model.request_records import RequestOutput, RequestRecord
from rattanwick.internal.model.requests import RequestKind, ServingRequest
from rattanwick.internal.peers.fetch import RequestFetcher
from rattanwick.internal.peers.replicas import ReplicaStore
from rattanwick.internal.requests import runs
from rattanwick.internal.requests.app import build_application
from rattanwick.internal.requests.interfaces import Allowance
from rattanwick.internal.requests.server import CallerServer
from tests.request_case import (
    CHAT,
    SERVICE,
    Caller,
    RequestCase,
    chat_body,
    events_of,
    text_of,
)

OTHER_NODE_URL = "http://10.0.0.9:80"


class DisconnectedCallerTests(RequestCase):
    """Guard against lost answers, and requests that run on, after a disconnect."""

    engine = {"first_token_seconds": 0.0, "token_seconds": 0.005}

    def request_id(self, caller) -> str:
        return (
            caller.received.split(b"rattanwick-request-id: ")[1][:40]
            .split()[0]
            .decode()
        )

    def test_a_disconnected_caller_resumes_its_stream_after_its_last_event(self):
        prompt = "resume #tokens=60"
        caller = self.stream(prompt, 5)
        request_id = self.request_id(caller)
        last_id = caller.received.split(b"id: ")[-2].split(b"\n")[0].decode()
        offset = int(last_id.rsplit(":", 1)[1])
        caller.close()
        answer = self.call("GET", f"/v1/requests/{request_id}", Last_Event_ID=last_id)
        self.assertEqual(text_of(answer.body), chat_text(prompt)[offset:])
        repeated = self.call("GET", f"/v1/requests/{request_id}?offset=0")
        self.assertEqual(text_of(repeated.body), chat_text(prompt))
        self.assertEqual(len(self.ledger("e1", "e2", "e3")), 1)

    def test_a_request_stops_when_its_caller_does_not_reconnect_in_time(self):
        self.addCleanup(
            setattr, runs, "RECONNECT_GRACE_SECONDS", runs.RECONNECT_GRACE_SECONDS
        )
        runs.RECONNECT_GRACE_SECONDS = 0.1
        caller = self.stream("away #tokens=2000", 3)
        request_id = self.request_id(caller)
        caller.close()
        self.wait_until(lambda: self.ledger("e1")[0].outcome == "cancelled")
        answer = self.call("GET", f"/v1/requests/{request_id}")
        self.assertEqual(
            events_of(answer.body)[-1]["data"]["error"]["code"], "caller_left"
        )
        self.assertEqual(sum(self.services.router.in_flight.values()), 0)
        self.assertEqual(self.services.grants.open, 0)

    def test_another_organisation_cannot_read_the_answer(self):
        request_id = self.chat("mine #tokens=2").request_id
        path = f"/v1/requests/{request_id}"
        answer = self.call("GET", path, Authorization="Bearer key-b")
        self.assertEqual((answer.status, answer.outcome), (404, ""))


class OtherNodeTests(RequestCase):
    """Guard against a caller that reconnects to another node and gets no answer."""

    engine = {"first_token_seconds": 0.0, "token_seconds": 0.005}

    def test_an_answer_is_resumed_at_a_node_that_does_not_run_it(self):
        handlers = {}
        nodes = [node("n2", "dc-b"), node("n1")]
        self.services.fetcher = RequestFetcher(
            SharedHandlersNetwork("n1", handlers),
            self.services.members,
            self.services.requests,
            ReplicaStore(self.timers.wall_time),
            self.timers,
        )
        other_services = request_dependencies(
            self.endpoints, self.timers, nodes=nodes, handlers=handlers
        )
        server = CallerServer(
            other_services.settings, build_application(other_services), self.timers, 0
        )
        server.start()
        self.addCleanup(server.close_gracefully, 0.2)
        prompt = "elsewhere #tokens=40"
        caller = self.stream(prompt, 3)
        request_id = caller.received.split(b"rattanwick-request-id: ")[1].split()[0]
        path = f"/v1/requests/{request_id.decode()}"

        def get_answer(key, suffix):
            remote = Caller(server.server_port)
            headers = {"Authorization": f"Bearer {key}"}
            remote.send("GET", path + suffix, b"", headers)
            return remote.answer()

        self.assertEqual(
            text_of(get_answer("key-a", "?offset=9").body), chat_text(prompt)[9:]
        )
        self.assertEqual(get_answer("key-b", "").status, 404)
        self.assertEqual(text_of(caller.answer().body), chat_text(prompt))


class TakeOverTests(RequestCase):
    """Guard against lost or duplicated text, charges and outcomes after a takeover.

    A node takes over a request with the text so far, or from the start if the text
    was lost with the other node.
    """

    def test_a_request_taken_over_continues_after_the_text_so_far(self):
        prompt = "taken over #tokens=20"
        tokens = chat_text(prompt).split(" ")[1:8]
        text = "".join(f" {token}" for token in tokens)
        now = self.timers.wall_time()
        req = ServingRequest(
            id="req_other",
            kind=RequestKind.CHAT,
            organisation="org-a",
            plan="gold",
            pool="rattan",
            body=chat_body(prompt),
            stream=True,
            deadline=now + 10,
            received=now,
            prompt_tokens=5,
            max_output_tokens=100,
        )
        output = RequestOutput()
        output.append(text)
        output.tokens = len(tokens)
        run = self.app.take_over(req, output)
        self.assertIs(self.app.take_over(req, output), run)
        answer = self.call("GET", f"/v1/requests/req_other?offset={len(text)}")
        self.assertEqual(text + text_of(answer.body), chat_text(prompt))
        self.assertEqual(self.ledger("e1")[0].output_tokens, 13)

    def lost_request(self, seconds: float) -> ServingRequest:
        """Return a request of a lost node, with a deadline in ``seconds``."""
        now = self.timers.wall_time()
        return ServingRequest(
            "req_lost", RequestKind.CHAT, "org-a", "gold", "rattan",
            chat_body("lost #tokens=6"), True, now + seconds, now, 5, 100,
        )  # fmt: skip

    def test_a_restarted_request_waits_until_it_can_be_charged(self):
        # If the second run is not charged as well, the plan exceeds its allowance.
        self.services.grants.exhausted = True
        output = RequestOutput()
        output.restarted = True
        run = self.app.take_over(self.lost_request(10), output)
        gevent.sleep(0.1)
        self.assertEqual(self.ledger("e1", "e2", "e3"), [])
        self.services.grants.exhausted = False
        self.wait_until(lambda: run.ended)
        self.assertEqual(output.text(), chat_text("lost #tokens=6"))
        grants = self.services.grants
        self.assertEqual((grants.reserved, grants.open), (105, 0))
        self.assertLess(grants.used, 105)

    def test_a_caller_that_resumes_before_the_restart_waits_for_its_text(self):
        # The run has no generation yet when the caller names one.
        self.services.grants.exhausted = True
        output = RequestOutput()
        output.restarted = True
        self.app.take_over(self.lost_request(10), output)
        path = "/v1/requests/req_lost?offset=4&generation=0a1b2c3d"
        task = gevent.spawn(self.call, "GET", path)
        gevent.sleep(0.1)
        self.services.grants.exhausted = False
        answer = task.get(timeout=3)
        self.assertEqual(text_of(answer.body), chat_text("lost #tokens=6"))

    def test_a_restarted_request_is_reported_as_failed(self):
        # It must not be reported as not run: the lost node may have sent it.
        for name in ("e1", "e2", "e3"):
            self.fault(name, down=True)
        gevent.sleep(0.05)
        output = RequestOutput()
        output.restarted = True
        run = self.app.take_over(self.lost_request(2), output)
        self.wait_until(lambda: run.ended, 4)
        self.assertIsInstance(output.outcome, Failed)

    def test_a_request_handed_over_before_any_text_is_reported_as_failed(self):
        # It must not be reported as not run: the first node may have sent it.
        for name in ("e1", "e2", "e3"):
            self.fault(name, down=True)
        gevent.sleep(0.05)
        output = RequestOutput()
        output.start_generation("gen_first")
        run = self.app.take_over(self.lost_request(2), output)
        self.wait_until(lambda: run.ended, 4)
        self.assertIsInstance(output.outcome, Failed)

    def test_a_restarted_request_without_a_charge_fails_at_its_deadline(self):
        self.services.grants.exhausted = True
        output = RequestOutput()
        output.restarted = True
        run = self.app.take_over(self.lost_request(0.3), output)
        self.wait_until(lambda: run.ended)
        self.assertEqual(output.outcome, Failed("allowance_exhausted"))
        self.assertEqual(self.ledger("e1", "e2", "e3"), [])

    def test_a_restarted_answer_is_sent_from_the_start_and_marked(self):
        # The second run may produce another text, so the caller's text is not valid.
        prompt = "restarted #tokens=6"
        now = self.timers.wall_time()
        body = chat_body(prompt)
        req = ServingRequest(
            "req_again", RequestKind.CHAT, "org-a", "gold", "rattan", body, True,
            now + 10, now, 5, 100,
        )  # fmt: skip
        output = RequestOutput()
        output.restarted = True
        self.app.take_over(req, output)
        answer = self.call("GET", "/v1/requests/req_again?offset=9")
        self.assertEqual(text_of(answer.body), chat_text(prompt))
        self.assertEqual(answer.headers["rattanwick-restarted"], "true")
        # A caller that continues the new text gets no header, since it must keep what
        # it has.
        event = events_of(answer.body)[0]
        seen = event["data"]["choices"][0]["delta"]["content"]
        rest = self.call("GET", "/v1/requests/req_again", Last_Event_ID=event["id"])
        self.assertEqual(seen + text_of(rest.body), chat_text(prompt))
        self.assertNotIn("rattanwick-restarted", rest.headers)
        # A caller that names another generation starts again.
        other = "req_again:deadbeef:3"
        again = self.call("GET", "/v1/requests/req_again", Last_Event_ID=other)
        self.assertEqual(text_of(again.body), chat_text(prompt))
        self.assertEqual(again.headers["rattanwick-restarted"], "true")

    def test_a_restarted_answer_that_is_continued_is_not_marked_again(self):
        # On that header a caller discards its text, so it would lose the beginning.
        output = RequestOutput()
        output.restarted = True
        run = self.app.take_over(self.lost_request(10), output)
        self.wait_until(lambda: run.ended)
        text = chat_text("lost #tokens=6")
        query = f"offset=9&generation={output.generation}"
        answer = self.call("GET", f"/v1/requests/req_lost?{query}")
        self.assertEqual(text_of(answer.body), text[9:])
        self.assertNotIn("rattanwick-restarted", answer.headers)

    def test_an_answer_that_another_task_appends_to_is_followed_to_its_end(self):
        now = self.timers.wall_time()
        req = ServingRequest(
            "req_kept", RequestKind.CHAT, "org-a", "gold", "rattan", {}, True,
            now + 10, now, 5, 100,
        )  # fmt: skip
        record = RequestRecord(req)
        self.services.requests.put(record)
        task = gevent.spawn(self.call, "GET", "/v1/requests/req_kept")
        for text in ("one", "two"):
            gevent.sleep(0.02)
            record.output.append(text)
        record.output.finish(Answered())
        self.assertEqual(text_of(task.get(timeout=2).body), "onetwo")


class DrainTests(RequestCase):
    """Guard against requests and callers that are lost while a node drains."""

    engine = {"first_token_seconds": 0.0, "token_seconds": 0.005}

    def test_new_requests_are_refused_with_the_address_of_another_node(self):
        self.services.drain.refuse_new(OTHER_NODE_URL)
        answer = self.chat("new")
        self.assertEqual((answer.status, answer.outcome), (503, "not_run"))
        self.assertEqual(answer.headers["rattanwick-next-address"], OTHER_NODE_URL)
        self.assertEqual(self.call("GET", "/v1/entry").json()["addresses"], [])
        self.assertEqual(self.ledger("e1"), [])

    def test_a_streaming_caller_is_redirected_to_the_rest_of_its_answer(self):
        prompt = "moving #tokens=400"
        caller = self.stream(prompt, 4)
        request_id = caller.received.split(b"rattanwick-request-id: ")[1].split()[0]
        request_id = request_id.decode()
        self.app.live.stop_for_handover(request_id)
        self.wait_until(lambda: self.ledger("e1")[0].outcome == "cancelled")
        handed_over_text = self.services.requests.get(request_id).output.text()
        self.app.live.redirect_callers(request_id, OTHER_NODE_URL)
        answer = caller.answer()
        last = events_of(answer.body)[-1]
        self.assertEqual(last["event"], "rattanwick.moved")
        self.assertEqual(last["data"]["address"], OTHER_NODE_URL)
        self.assertEqual(last["data"]["offset"], len(handed_over_text))
        self.assertEqual(text_of(answer.body), handed_over_text)
        self.assertTrue(chat_text(prompt).startswith(handed_over_text))
        # The new serving node runs the rest without a charge, so nothing is refunded.
        grants = self.services.grants
        self.assertEqual((grants.used, grants.open), (grants.reserved, 0))
        later = self.call("GET", f"/v1/requests/{request_id}?offset=3")
        location = f"{OTHER_NODE_URL}/v1/requests/{request_id}?offset=3"
        self.assertEqual((later.status, later.headers["location"]), (303, location))

    def test_a_waiting_caller_is_redirected(self):
        task = gevent.spawn(self.chat, "moving #tokens=400")
        self.wait_until(lambda: self.ledger("e1"))
        request_id = next(iter(self.app.live._runs))
        self.app.live.redirect_callers(request_id, OTHER_NODE_URL)
        answer = task.get()
        self.assertEqual(answer.status, 303)
        self.assertEqual(
            answer.headers["location"], f"{OTHER_NODE_URL}/v1/requests/{request_id}"
        )

    def test_a_caller_is_redirected_while_its_placement_is_awaited(self):
        self.services.router.place_seconds = 5.0
        task = gevent.spawn(self.chat, "queued")
        self.wait_until(lambda: len(self.app.live))
        self.app.live.redirect_callers(next(iter(self.app.live._runs)), OTHER_NODE_URL)
        self.assertEqual(task.get(timeout=1.0).status, 303)

    def test_a_caller_is_redirected_while_two_attempts_race(self):
        # Stopping a race must release both placements, with or without a connection.
        self.services.directory.default = Allowance(10**9, 10**9, 4096, hedge=True)
        self.services.router.hedge_after = 0.02
        for name in ("e1", "e2"):
            self.fakes[name].engine.spec.first_token_seconds = 3.0
        task = gevent.spawn(self.chat, "racing")
        self.wait_until(lambda: self.ledger("e2"))
        self.app.live.redirect_callers(next(iter(self.app.live._runs)), OTHER_NODE_URL)
        self.assertEqual(task.get(timeout=1.0).status, 303)
        self.assertEqual(sum(self.services.router.in_flight.values()), 0)
        self.assertEqual(self.services.grants.open, 0)

    def test_a_service_call_is_not_handed_over(self):
        # It has been sent, so only this node can learn its outcome.
        self.fakes["s1"].call_seconds = 0.1
        task = gevent.spawn(self.call, "POST", SERVICE, b"{}")
        self.wait_until(lambda: self.ledger("s1"))
        request_id = next(iter(self.app.live._runs))
        self.app.live.stop_for_handover(request_id)
        self.app.live.redirect_callers(request_id, OTHER_NODE_URL)
        self.assertEqual(task.get().outcome, "answered")

    def test_a_graceful_stop_waits_for_the_request_in_flight(self):
        prompt = "finish #tokens=40"
        caller = self.stream(prompt, 2)
        stopping = gevent.spawn(self.server.close_gracefully, None)
        gevent.sleep(0.02)
        with self.assertRaises(OSError):
            socket.create_connection(("127.0.0.1", self.server.server_port), 1.0)
        self.assertEqual(text_of(caller.answer().body), chat_text(prompt))
        self.assertTrue(stopping.get(timeout=2.0))

    # Guards against a caller that sends its next request on a connection that closes.
    def test_an_answer_during_a_graceful_stop_says_that_its_connection_closes(self):
        self.fakes["s1"].call_seconds = self.fakes["s2"].call_seconds = 0.2
        task = gevent.spawn(self.call, "POST", SERVICE, b"{}", Connection="keep-alive")
        self.wait_until(lambda: self.ledger("s1", "s2"))
        stopping = gevent.spawn(self.server.close_gracefully, None)
        answer = task.get(timeout=2.0)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers.get("connection"), "close")
        self.assertTrue(stopping.get(timeout=2.0))

    # Guards against requests that had arrived and are reset with the listening socket,
    # or with a connection that counts as idle.
    def test_requests_that_have_arrived_are_answered_by_a_graceful_stop(self):
        request = b"GET /v1/entry HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n"
        address = "127.0.0.1", self.server.server_port
        # Without gevent, so that the server cannot accept or read meanwhile.
        make_socket = monkey.get_original("socket", "socket")
        conns = [make_socket() for _ in range(4)]
        for conn in conns[:2]:
            conn.connect(address)
        gevent.sleep(0.05)
        for conn in conns[2:]:
            conn.connect(address)
        for conn in conns:
            conn.sendall(request)
        stopping = gevent.spawn(self.server.close_gracefully, None)
        for conn in conns:
            with socket.socket(fileno=conn.detach()) as caller:
                self.assertIn(b"HTTP/1.1 ", caller.recv(65536)[:9])
        self.assertTrue(stopping.get(timeout=2.0))

    # Guards against a request that is not counted, and is ended with the server, since
    # its connection was accepted last.
    def test_a_graceful_stop_waits_for_the_requests_accepted_last(self):
        def respond(_environ, start_response):
            gevent.sleep(1.3)  # longer than the pool has to end
            start_response("200 OK", [("Content-Length", "2")])
            return [b"ok"]

        self.server.application = respond
        conn = monkey.get_original("socket", "socket")()
        conn.connect(("127.0.0.1", self.server.server_port))
        conn.sendall(b"GET / HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
        stopping = gevent.spawn(self.server.close_gracefully, 5.0)
        with socket.socket(fileno=conn.detach()) as caller:
            self.assertIn(b"HTTP/1.1 200", caller.recv(65536)[:12])
        self.assertTrue(stopping.get(timeout=2.0))


class TraceTests(RequestCase):
    """Guard against steps that have no span under the caller's span.

    A trace that is not sampled has no such spans, since each would cost as much time
    as a sampled one.
    """

    parent = "00-" + "a" * 32 + "-" + "b" * 16

    def spans_of(self, path: str, body, flags: str) -> list[str]:
        names = []
        tracer = self.services.tracer
        original = tracer.span

        def span(name, parent=None, **attributes):
            names.append((name, parent[3:35]))
            return original(name, parent, **attributes)

        tracer.span = span
        traceparent = f"{self.parent}-{flags}"
        answer = self.call("POST", path, body, traceparent=traceparent)
        self.assertEqual(answer.outcome, "answered")
        self.assertEqual({trace for _, trace in names}, {"a" * 32})
        return sorted(name for name, _ in names)

    def test_a_sampled_trace_has_a_span_for_each_step(self):
        body = chat_body("traced #tokens=2")
        wanted = ["attempt", "chat request", "copy", "place", "reserve", "settle"]
        self.assertEqual(self.spans_of(CHAT, body, "01"), wanted)
        wanted = ["call", "claim", "place", "reserve", "service request", "settle"]
        self.assertEqual(self.spans_of(SERVICE, b"{}", "01"), wanted)

    def test_a_trace_that_is_not_sampled_has_one_span(self):
        body = chat_body("traced #tokens=2")
        self.assertEqual(self.spans_of(CHAT, body, "00"), ["chat request"])


class ReplicationTests(RequestCase):
    """Guard against headers sent before the replica exists or long after it is due."""

    def test_headers_wait_for_the_replica_of_the_request(self):
        self.services.replicator.delay = 0.1
        started = time.monotonic()
        answer = self.chat("copy #tokens=2")
        self.assertGreaterEqual(time.monotonic() - started, 0.1)
        self.assertEqual(answer.headers["rattanwick-copies"], "1")

    def test_a_slow_backup_node_delays_headers_for_a_limited_time(self):
        self.services.replicator.delay = 1.0
        started = time.monotonic()
        answer = self.chat("copy #tokens=2")
        self.assertLess(time.monotonic() - started, 0.6)
        self.assertEqual(answer.headers["rattanwick-copies"], "0")

    def test_replication_is_tried_again_while_the_request_runs(self):
        self.services.replicator.delay = 0.4
        self.fakes["e1"].engine.spec.first_token_seconds = 1.0
        caller = self.caller()
        caller.send("POST", CHAT, json.dumps(chat_body("slow #tokens=1")).encode(), {})
        self.wait_until(lambda: self.services.replicator.messages)
        message = next(iter(self.services.replicator.messages.values()))
        self.assertEqual(message["node"], "n1")
        caller.answer()
        self.wait_until(lambda: not self.services.replicator.messages)
