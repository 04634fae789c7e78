"""Gateway nodes as processes before endpoints that limit their requests per second."""

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
from fakes.gateway_endpoint import LIMIT_WINDOW_SECONDS, busiest_window
from tests.gateway_case import Answer, read_all

NODES = ("front-a-1", "front-a-2", "front-a-3")
LIMIT = 2.0  # requests per second
# The platform allows half as many again, and five more, from 3 s after it was named.
MAX_REQUESTS = 1.5 * LIMIT * LIMIT_WINDOW_SECONDS + 5
SETTLE_SECONDS = 3.0
USE_SECONDS = 7.0  # time after that in which the endpoint's use is measured
LOAD_SECONDS = SETTLE_SECONDS + USE_SECONDS
MIN_USED_SHARE = 0.7  # of the limit, while there are more requests than it allows
CALL_INTERVAL_SECONDS = 0.1  # of each node's caller


class EndpointLimitTests(unittest.TestCase):
    """Guard against nodes that together exceed the limit named by an endpoint.

    Guard also against an endpoint that is not used up to its limit.
    """

    def test_engines_get_no_more_requests_than_they_take(self):
        self.check_limit("/stream/x", stream=True)

    def test_plain_endpoints_get_no_more_requests_than_they_take(self):
        self.check_limit("/unsafe/x", stream=False)

    def check_limit(self, path: str, stream: bool) -> None:
        """Send requests to all nodes while one of three endpoints names a limit."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        deployment = GatewayDeployment(Path(folder.name), NODES)
        self.addCleanup(deployment.close)
        deployment.configure(make_operator_configuration(1))
        limited, *others = [
            deployment.add_endpoint(f"i-{number}", stream) for number in range(3)
        ]
        for endpoint in deployment.endpoints.values():
            endpoint.event_seconds = 0.02
        limited.rate_limit = str(LIMIT)
        for name in NODES:
            deployment.start_node(name)
        self.assertTrue(deployment.wait_joined())
        started = time.monotonic()
        callers = [gevent.spawn(self.call, deployment, name, path) for name in NODES]
        gevent.joinall(callers, raise_error=True)
        settled = started + SETTLE_SECONDS
        times = [arrived for arrived, _ in limited.arrivals]
        busiest = busiest_window(times, settled)
        self.assertLessEqual(busiest, MAX_REQUESTS)
        used = sum(arrived >= settled for arrived in times)
        self.assertGreaterEqual(used, MIN_USED_SHARE * LIMIT * USE_SECONDS)
        statuses = [status for caller in callers for status in caller.value]
        self.assertEqual(set(statuses), {200})

    def call(self, deployment: GatewayDeployment, name: str, path: str) -> list[int]:
        """Send requests to a node one after the other and return the statuses."""
        statuses = []
        end = time.monotonic() + LOAD_SECONDS
        while time.monotonic() < end:
            call_id = f"{name}-{len(statuses)}"
            sock = gevent.socket.create_connection(
                (deployment.ips[name], CALLER_PORT), 2.0
            )
            try:
                sock.sendall(
                    f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {call_id}"
                    f"\r\nX-Api-Key: {KEY}\r\nX-Deadline-Ms: 3000\r\n"
                    "Content-Length: 2\r\nConnection: close\r\n\r\nhi".encode()
                )
                statuses.append(Answer(read_all(sock)).status)
            finally:
                sock.close()
            gevent.sleep(CALL_INTERVAL_SECONDS)
        return statuses
