"""Gateway nodes as separate processes, with a fake platform and fake endpoints."""

import signal
import sys
import tempfile
import unittest
from pathlib import Path

import gevent
import h11

from fakes.gateway_deployment import (
    CALLER_PORT,
    HOST,
    KEY,
    ROOT,
    GatewayDeployment,
    make_configuration,
    make_route,
)
from fakes.processes import SpawnedProcess
from tests.gateway_case import Answer, read_all

NODES = ("front-a-1", "front-b-1")


class StartTests(unittest.TestCase):
    """Guard against a node that is killed by a signal while it starts."""

    def test_a_stop_during_the_import_of_modules_ends_with_status_zero(self):
        self.assertEqual(self.start_and_stop([]), 0)

    def test_a_reload_during_the_import_of_modules_does_not_end_the_node(self):
        self.assertEqual(self.start_and_stop([signal.SIGHUP]), 0)

    def start_and_stop(self, signals: list[int]) -> int | None:
        """Send signals and SIGTERM to a node during its start; return its status."""
        with tempfile.TemporaryDirectory() as name:
            package = Path(name, "rattanwick", "internal", "commands")
            package.mkdir(parents=True)
            for folder in (package, *list(package.parents)[:2]):
                folder.joinpath("__init__.py").touch()
            program = "import time; print('importing', flush=True); time.sleep(30)"
            package.joinpath("gateway.py").write_text(program, encoding="utf-8")
            command = [sys.executable, str(ROOT / "deploy" / "node.py"), name]
            process = SpawnedProcess(command, {}, Path(name, "output"))
            self.assertEqual(process.read_first_line(10.0), "importing")
            for number in signals:
                process.send_signal(number)
                self.assertIsNone(process.wait(0.5), "ended by the signal")
            process.terminate()
            return process.wait(5.0)


class ProcessTests(unittest.TestCase):
    """Guard against components that work alone but not together."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = GatewayDeployment(Path(folder.name), NODES)
        self.addCleanup(self.deployment.close)
        self.platform = self.deployment.platform
        self.ips = self.deployment.ips
        routes = [make_route("/talk/", "stream", "engine")]
        self.configuration = make_configuration(3, routes)
        self.deployment.configure(self.configuration)
        endpoint = self.deployment.add_endpoint("i-1", stream=True)
        endpoint.event_seconds = 0.3
        self.nodes = {name: self.deployment.start_node(name) for name in NODES}
        self.wait_until(lambda: self.deployment.wait_joined(1.0))

    def wait_until(self, condition, seconds: float = 15.0) -> None:
        """Wait for a condition; on a timeout, fail with the logs of the nodes."""
        if not self.deployment.wait_until(condition, seconds):
            logs = "".join(node.read_output() for node in self.nodes.values())
            self.fail(f"condition not met in time\n{logs[-4000:]}")

    def request_stream(self, name: str) -> Answer:
        """Request a stream from a node and read all of it."""
        address = self.deployment.callers_address(name)
        sock = gevent.socket.create_connection(address, 2.0)
        try:
            sock.settimeout(10.0)
            sock.sendall(
                f"POST /talk/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r-1\r\n"
                f"X-Api-Key: {KEY}\r\nX-Deadline-Ms: 6000\r\nContent-Length: 2\r\n"
                "Connection: close\r\n\r\nhi".encode()
            )
            return Answer(read_all(sock))
        finally:
            sock.close()

    def test_a_stream_ends_complete_while_its_node_stops(self):
        answer = gevent.spawn(self.request_stream, "front-a-1")
        gevent.sleep(0.4)
        self.nodes["front-a-1"].terminate()
        left = [f"{self.ips['front-b-1']}:{CALLER_PORT}"]
        self.wait_until(lambda: self.deployment.addresses("front-b-1") == left)
        body = answer.get(timeout=10.0).body
        self.assertEqual(body.count(b"data: piece"), 4)
        self.assertTrue(body.endswith(b"0\r\n\r\n"))
        self.assertEqual(self.nodes["front-a-1"].wait(9.0), 0)
        self.assertIn('"node: stopped"', self.nodes["front-a-1"].read_output())

    def test_no_response_is_cut_by_a_planned_stop_under_load(self):
        """Requests on kept and new connections continue until the node refuses them.

        Each request that ran must get its complete response, even if it arrived just
        before the end.
        """
        endpoint = self.deployment.endpoints["i-1"]
        endpoint.event_seconds, endpoint.echo_request_id = 0.02, True
        node = self.nodes["front-a-1"]
        complete, cut = [], []
        callers = [
            gevent.spawn(
                self.send_requests, f"c{number}", number % 2 == 0, complete, cut
            )
            for number in range(12)
        ]
        gevent.sleep(0.5)
        before = len(complete)
        node.terminate()
        gevent.joinall(callers, timeout=12.0, raise_error=True)
        self.assertEqual(node.wait(9.0), 0)
        self.assertGreater(len(complete), before)
        ran = {headers["x-request-id"] for headers in endpoint.executed_requests}
        self.assertEqual([call_id for call_id in cut if call_id in ran], [])

    def send_requests(
        self, name: str, keep_alive: bool, complete: list[str], cut: list[str]
    ) -> None:
        """Send requests to the first node until it accepts no more connections."""
        address = self.deployment.callers_address("front-a-1")
        number = 0
        while True:
            try:
                sock = gevent.socket.create_connection(address, 2.0)
            except OSError:
                return
            http = h11.Connection(h11.CLIENT)
            reusable = True
            while reusable:
                number += 1
                call_id = f"{name}-{number}"
                reusable = (
                    self.exchange(sock, http, call_id, complete, cut) and keep_alive
                )
                if reusable:
                    http.start_next_cycle()
            sock.close()

    def exchange(self, sock, http, call_id: str, complete: list, cut: list) -> bool:
        """Send one request; return whether the connection may carry another."""
        headers = [
            ("Host", HOST),
            ("X-Request-Id", call_id),
            ("X-Api-Key", KEY),
            ("X-Deadline-Ms", "6000"),
            ("Content-Length", "2"),
        ]
        data = http.send(h11.Request(method="POST", target="/talk/x", headers=headers))
        data += http.send(h11.Data(data=b"hi")) + http.send(h11.EndOfMessage())
        try:
            sock.sendall(data)
            while (event := http.next_event()) is not None:
                if event is h11.NEED_DATA:
                    http.receive_data(sock.recv(65536))
                elif isinstance(event, h11.EndOfMessage):
                    complete.append(call_id)
                    return http.their_state is h11.DONE
                elif isinstance(event, h11.ConnectionClosed):
                    break
        except (OSError, h11.RemoteProtocolError):
            pass  # an error only if the request ran; see ``cut``
        cut.append(call_id)
        return False

    def test_a_killed_leader_is_left_out_and_another_node_reports_usage(self):
        self.wait_until(lambda: self.platform.reports)
        leader = next(
            name
            for name in NODES
            if "duties: acquired" in self.nodes[name].read_output()
        )
        (other,) = set(NODES) - {leader}
        self.nodes[leader].kill()
        self.wait_until(lambda: len(self.deployment.addresses(other)) == 1)
        windows = len(self.platform.reports)
        self.wait_until(lambda: len(self.platform.reports) > windows + 1)
        self.assertEqual(self.request_stream(other).status, 200)

    def test_nodes_continue_to_serve_while_the_store_is_down(self):
        self.platform.rows.down = True
        self.platform.rows.forget_history()
        gevent.sleep(0.5)
        self.assertEqual(self.request_stream("front-a-1").status, 200)
        self.platform.rows.down = False
        changed = {**self.configuration, "version": 9, "routes": []}
        self.deployment.configure(changed)
        self.wait_until(lambda: self.request_stream("front-a-1").status == 404, 5.0)


if __name__ == "__main__":
    unittest.main()
