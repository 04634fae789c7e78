"""Gateway nodes as processes before endpoints that crash on a part of a prompt."""

import random
import tempfile
import time
import unittest
from pathlib import Path

import gevent

from fakes.gateway_deployment import (
    CALLER_PORT,
    HOST,
    KEY,
    GatewayDeployment,
    make_configuration as make_operator_configuration,
)
from tests.gateway_case import Answer, read_all

NODES = ("front-a-1", "front-a-2", "front-a-3")
ENDPOINTS = 6
CONTACT_SECONDS = 3.0  # until a fact that all nodes were sent binds them
CRASHES_BEFORE = 5  # of endpoints, before the platform counts further requests
MAX_REQUESTS = 3  # with the part that reach endpoints after that
LOAD_SECONDS = 12.0
CALLS_PER_SECOND = 40.0
CRASHING_SHARE = 0.1  # of the calls
MIN_SOUND_SHARE = 0.9  # of the other calls, answered at the first attempt
FIRST_PART, CRASHING_PART = "f1:40", "d3"


class CrashingPartTests(unittest.TestCase):
    """Guard against endpoints crashed one after the other by a part of prompts.

    No two requests with the part are alike, and each node sees few of the crashes.
    """

    def test_streams_that_had_not_begun(self):
        self.check("/stream/x", stream=True)

    def test_streams_that_had_begun_and_are_resumed(self):
        self.check("/resume/x", stream=True, events_before_crash=1)

    def test_plain_services(self):
        self.check("/safe/x", stream=False)

    def check(self, path: str, stream: bool, events_before_crash: int = 0) -> None:
        """Send requests with and without the part, and count what endpoints got."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        deployment = GatewayDeployment(Path(folder.name), NODES)
        self.addCleanup(deployment.close)
        deployment.configure(make_operator_configuration(1))
        for number in range(ENDPOINTS):
            endpoint = deployment.add_endpoint(f"i-{number}", stream)
            endpoint.crashing_parts = {CRASHING_PART}
            endpoint.events_before_crash = events_before_crash
            endpoint.event_seconds = endpoint.work_seconds = 0.02
        for name in NODES:
            deployment.start_node(name)
        self.assertTrue(deployment.wait_joined())
        sound = self.load(deployment, path)
        endpoints = deployment.endpoints.values()
        crashes = sorted(at for endpoint in endpoints for at, _ in endpoint.crashes)
        if len(crashes) >= CRASHES_BEFORE:
            bound = crashes[CRASHES_BEFORE - 1] + CONTACT_SECONDS
            later = [
                request_id
                for endpoint in endpoints
                for arrived, request_id in endpoint.arrivals
                if request_id.startswith("crashing") and arrived > bound
            ]
            self.assertLessEqual(len(later), MAX_REQUESTS)
        served = sum(status == 200 for status in sound) / len(sound)
        self.assertGreaterEqual(served, MIN_SOUND_SHARE)

    def load(self, deployment: GatewayDeployment, path: str) -> list[int]:
        """Send requests to all nodes; return the statuses of those without the part."""
        rng = random.Random(1)
        tasks = []
        end = time.monotonic() + LOAD_SECONDS
        while time.monotonic() < end:
            crashing = rng.random() < CRASHING_SHARE
            call_id = f"{'crashing' if crashing else 'sound'}-{len(tasks)}"
            # A part that a tenth of the requests shares, so that it is read seldom.
            parts = [FIRST_PART, f"s{len(tasks) % 10}:20"]
            if crashing:
                parts.append(f"{CRASHING_PART}:30")
            prompt = ",".join((*parts, f"{call_id}:10"))
            address = deployment.ips[rng.choice(NODES)], CALLER_PORT
            task = gevent.spawn(self.call, address, path, call_id, prompt)
            tasks.append((crashing, task))
            gevent.sleep(rng.expovariate(CALLS_PER_SECOND))
        gevent.joinall([task for _, task in tasks], raise_error=True)
        return [task.value for crashing, task in tasks if not crashing]

    def call(self, address, path: str, call_id: str, prompt: str) -> int:
        """Send a request and return the status of its complete answer, else 0."""
        sock = gevent.socket.create_connection(address, 2.0)
        try:
            sock.sendall(
                f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {call_id}\r\n"
                f"X-Api-Key: {KEY}\r\nX-Deadline-Ms: 3000\r\n"
                f"X-Token-Counts: 100,10\r\nX-Prompt-Prefix: {prompt}\r\n"
                "Content-Length: 2\r\nConnection: close\r\n\r\nhi".encode()
            )
            answer = Answer(read_all(sock))
        finally:
            sock.close()
        chunked = answer.headers.get("transfer-encoding") == "chunked"
        if chunked and not answer.body.endswith(b"0\r\n\r\n"):
            return 0
        return answer.status
