"""Endpoints that send without end, faster than a node reads.

Each is a process of its own: a task of the test's process would give way to the node.
"""

import sys
import tempfile
import time
import unittest
from pathlib import Path

import gevent
from gevent import socket

from fakes.endless_endpoint import KINDS
from fakes.processes import SpawnedProcess, module_environment
from rattanwick.internal.base.errors import StepError
from rattanwick.internal.gateway.model import CallKind
from rattanwick.internal.gateway.table_copies import _read_message
from rattanwick.internal.platform.http import HttpPool
from tests.gateway_case import RelayCase, make_route, make_view

START_SECONDS = 10.0
DEADLINE_SECONDS = 1.5
STREAMS = 4
CALL_INTERVAL_SECONDS = 0.05
# A call that is answered later than this after its deadline breaks a promise.
LATE_SECONDS = 0.5
DEADLINE_SLACK_SECONDS = 0.1


def start_endless_peer(case: unittest.TestCase) -> int:
    """Start the fake endpoint for a test; return its port."""
    folder = tempfile.TemporaryDirectory()
    case.addCleanup(folder.cleanup)
    process = SpawnedProcess(
        [sys.executable, "-m", "fakes.endless_endpoint"],
        module_environment(),
        Path(folder.name) / "output",
    )
    case.addCleanup(process.kill)
    return int(process.read_first_line(START_SECONDS))


class EndlessAnswerCase(RelayCase):
    """Test case with an endpoint of the service ``engine`` that sends without end."""

    def setUp(self):
        super().setUp()
        self.configure(
            make_route("/safe/"),
            make_route("/unsafe/", CallKind.UNSAFE, "engine", max_attempts=1),
            make_route("/stream/", CallKind.STREAM, "engine", max_attempts=1),
        )
        port = start_endless_peer(self)
        view = make_view("i-endless", "engine", f"127.0.0.1:{port}")
        self.state.endpoints._views["i-endless"] = view
        self.view = view
        self.add_endpoint("i-sound")

    def ask_endless(self, path: str, kind: str, number: int) -> tuple[bytes, float]:
        """Ask for an endless answer; return its last bytes and the seconds it took."""
        data = self.request_bytes(
            path,
            call_id=f"endless-{number}",
            method="POST",
            body=b"b",
            headers={
                "X-Endless": kind,
                "X-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
            },
        )
        started, last = time.monotonic(), b""
        with self.connect() as sock, gevent.Timeout(2 * DEADLINE_SECONDS, False):
            sock.sendall(data)
            while part := sock.recv(65_536):
                last = part[-8:]
        return last, time.monotonic() - started

    def call_meanwhile(self, tasks) -> list[float]:
        """Call the sound service until the tasks end; return the seconds of each."""
        seconds = []
        while not all(task.ready() for task in tasks):
            started = time.monotonic()
            self.assertEqual(self.ask("/safe/x", call_id="sound").status, 200)
            seconds.append(time.monotonic() - started)
            gevent.sleep(CALL_INTERVAL_SECONDS)
        return seconds

    def check(self, path: str, kind: str) -> None:
        """Check that endless answers end in time, and that calls go on meanwhile."""
        tasks = [
            gevent.spawn(self.ask_endless, path, kind, number)
            for number in range(STREAMS)
        ]
        seconds = self.call_meanwhile(tasks)
        self.assertTrue(seconds)
        self.assertLess(max(seconds), LATE_SECONDS)
        for task in tasks:
            last, took = task.get()
            self.assertFalse(last.endswith(b"0\r\n\r\n"))
            self.assertLess(took, DEADLINE_SECONDS + DEADLINE_SLACK_SECONDS)
        self.assertGreater(self.view.failure_rate, 0)


class EndlessAnswerTests(EndlessAnswerCase):
    """Guard against an endpoint whose answer keeps a node from serving others."""

    def test_streams_without_end(self):
        for kind in KINDS:
            with self.subTest(kind=kind):
                self.check("/stream/x", kind)

    def test_bodies_without_end(self):
        for kind in ("tiny_chunks", "chunks", "unframed", "trailer"):
            with self.subTest(kind=kind):
                self.check("/unsafe/x", kind)


class EndlessCallerTests(RelayCase):
    """Guard against a caller whose body keeps a node from serving others."""

    def test_bodies_without_end(self):
        self.add_endpoint("i-sound")
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        callers = [
            SpawnedProcess(
                [sys.executable, "-m", "fakes.endless_endpoint", str(self.server.port)],
                module_environment(),
                Path(folder.name) / "output",
            )
            for _ in range(STREAMS)
        ]
        for caller in callers:
            self.addCleanup(caller.kill)
        with gevent.Timeout(START_SECONDS):
            while self.server.busy < STREAMS:
                gevent.sleep(0.01)
        while self.server.busy:
            started = time.monotonic()
            self.assertEqual(self.ask("/safe/x", call_id="sound").status, 200)
            self.assertLess(time.monotonic() - started, LATE_SECONDS)
        for caller in callers:
            self.assertIsNotNone(caller.wait(START_SECONDS))


class EndlessPeerTests(unittest.TestCase):
    """Guard against other peers whose bytes keep this process from its other tasks."""

    TIMEOUT_SECONDS = 1.0
    MAX_PAUSE_SECONDS = 0.1

    def setUp(self):
        self.port = start_endless_peer(self)
        self.longest_pause = 0.0
        ticker = gevent.spawn(self.measure_pauses)
        self.addCleanup(ticker.kill)

    def measure_pauses(self) -> None:
        """Record how much processor time passed while other tasks could not run.

        Other processes of a busy machine lengthen the time of the clock.
        """
        last = time.process_time()
        while True:
            gevent.sleep(0.01)
            now = time.process_time()
            self.longest_pause = max(self.longest_pause, now - last)
            last = now

    def check(self, read, error) -> None:
        """Check that reading fails in time and that other tasks run meanwhile."""
        self.longest_pause, started = 0.0, time.monotonic()
        with self.assertRaises(error):
            read()
        took = time.monotonic() - started
        self.assertLess(took, self.TIMEOUT_SECONDS + DEADLINE_SLACK_SECONDS)
        self.assertLess(self.longest_pause, self.MAX_PAUSE_SECONDS)

    def test_responses_of_the_store_and_of_the_cloud(self):
        pool = HttpPool(f"http://127.0.0.1:{self.port}", "store")
        self.addCleanup(pool.close)
        for kind in KINDS:
            with self.subTest(kind=kind):
                headers = {"X-Endless": kind}
                self.check(
                    lambda headers=headers: pool.request(
                        "read", "GET", "/", headers, b"", self.TIMEOUT_SECONDS
                    ),
                    StepError,
                )

    def test_copies_of_tables(self):
        with socket.create_connection(("127.0.0.1", self.port)) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nX-Endless: msgpack\r\n\r\n")

            def read():
                limit = TimeoutError("copy not received in time")
                with gevent.Timeout(self.TIMEOUT_SECONDS, limit):
                    _read_message(sock)

            self.check(read, (ValueError, TimeoutError))
