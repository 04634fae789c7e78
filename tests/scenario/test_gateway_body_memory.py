"""Bodies that together would take more memory than a node has."""

import re
import tempfile
import time
import unittest
from pathlib import Path

import gevent
from gevent import socket

from fakes.gateway_deployment import (
    CALLER_PORT,
    DATA_CENTRE,
    HOST,
    KEY,
    GatewayDeployment,
    make_configuration,
    make_route,
)
from tests.failure.test_gateway_endless_answers import start_endless_peer

MEMORY_MB = 150
ANSWERS = 40
ENDPOINTS = 5
SLOTS = 64
TIMEOUT_MS = 4000
BYTES_PER_SECOND = 5_000_000  # of each answer
CALL_TIMEOUT_SECONDS = 0.8  # of a short call on the platform
LATE_SECONDS = 0.5  # a call has its answer this long after its timeout


class BodyMemoryTests(unittest.TestCase):
    """Guard against a node that runs out of memory for the bodies of endpoints."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = GatewayDeployment(Path(folder.name), ("n1",))
        self.addCleanup(self.deployment.close)
        cfg = make_configuration(
            1,
            [
                make_route("/unsafe/", "unsafe", "engine", timeout_ms=TIMEOUT_MS),
                make_route("/stream/", "stream", "engine", timeout_ms=TIMEOUT_MS),
                make_route("/safe/", "safe", "plain", timeout_ms=TIMEOUT_MS),
            ],
        )
        cfg["services"][0].update(
            max_conns=300, engine={"slots": SLOTS, "kv_capacity": 1 << 20}
        )
        self.deployment.configure(cfg)
        self.deployment.add_endpoint("i-sound", stream=False)
        port = start_endless_peer(self)
        for number in range(ENDPOINTS):
            entry = {
                "service": "engine",
                "address": f"127.0.0.1:{port}",
                "zone": DATA_CENTRE,
                "slots": SLOTS,
                "state": "ready",
                "born": 1,
            }
            self.deployment.platform.put_json("servers", f"i-{number}", entry)
        self.node = self.deployment.start_node("n1", memory_mb=MEMORY_MB)
        self.assertTrue(self.deployment.wait_joined())

    def ask(self, path: str, number: int, kind: str = "") -> tuple[int, float]:
        """Send a request; return the status of the answer and the seconds it took."""
        lines = (
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: call-{number}",
            f"X-Api-Key: {KEY}",
            f"X-Deadline-Ms: {TIMEOUT_MS}",
            f"X-Endless: {kind}",
            "Connection: close",
            "Content-Length: 0",
        )
        started, first = time.monotonic(), b""
        address = (self.deployment.ips["n1"], CALLER_PORT)
        with socket.create_connection(address, 2 * TIMEOUT_MS / 1000) as sock:
            sock.sendall("\r\n".join((*lines, "", "")).encode())
            while data := sock.recv(65_536):
                first = first or data
        return int(first.split()[1]), time.monotonic() - started

    def peak_megabytes(self) -> float:
        """Return the most memory that the node has taken."""
        text = Path(f"/proc/{self.node.pid}/status").read_text(encoding="ascii")
        return int(re.search(r"VmHWM:\s+(\d+) kB", text)[1]) * 1024 / 1e6

    def check(self, path: str, kind: str) -> list[int]:
        """Ask for large answers at once; return their statuses."""
        tasks = [
            gevent.spawn(self.ask, path, number, kind) for number in range(ANSWERS)
        ]
        number = ANSWERS
        while not all(task.ready() for task in tasks):
            status, seconds = self.ask("/safe/x", number)
            self.assertEqual(status, 200)
            self.assertLess(seconds, CALL_TIMEOUT_SECONDS + LATE_SECONDS)
            number += 1
            gevent.sleep(0.05)
        answers = [task.get() for task in tasks]
        self.assertLess(max(seconds for _, seconds in answers), TIMEOUT_MS / 1000 + 0.5)
        self.assertLess(self.peak_megabytes(), MEMORY_MB)
        return [status for status, _ in answers]

    def test_large_bodies_at_once(self):
        """Each is within the limit of one body; all would take 640 MiB."""
        statuses = self.check("/unsafe/x", f"chunks,{15 << 20},{BYTES_PER_SECOND}")
        # What may have run is not reported as not run.
        self.assertLessEqual(set(statuses), {502, 504})

    def test_large_events_at_once(self):
        self.check("/stream/x", "unframed")
