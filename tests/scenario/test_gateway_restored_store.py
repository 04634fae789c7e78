"""Nodes as processes while the platform's store comes back from an older copy."""

import tempfile
import unittest
from pathlib import Path

import gevent

from fakes.gateway_deployment import (
    HOST,
    KEY,
    GatewayDeployment,
    make_configuration,
    make_route,
)
from tests.gateway_case import Answer, read_all

NODES = ("front-a-1", "front-b-1", "front-c-1")
OUTAGE_SECONDS = 1.0
# The platform's bound from the acknowledgement of a configuration.
CONFIGURATION_BOUND_SECONDS = 3.0
OLD, CONFIRMED, NEWEST = (
    make_configuration(version, [make_route(path, "safe", "plain") for path in paths])
    for version, paths in (
        (3, ["/old/"]),
        (12, ["/old/", "/confirmed/"]),
        (15, ["/old/", "/confirmed/", "/newest/"]),
    )
)


class RestoredStoreTests(unittest.TestCase):
    """Guard against a confirmed configuration that is lost with the store's rows."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = GatewayDeployment(Path(folder.name), NODES)
        self.addCleanup(self.deployment.close)
        self.rows = self.deployment.platform.rows
        self.deployment.configure(OLD)
        self.deployment.add_endpoint("i-1", stream=False)
        for name in NODES:
            self.deployment.start_node(name)
        self.assertTrue(self.deployment.wait_joined())

    def status(self, name: str, path: str) -> int:
        """Return the status of a request to a node; 0 if there is no answer."""
        address = self.deployment.callers_address(name)
        try:
            sock = gevent.socket.create_connection(address, 1.0)
        except OSError:
            return 0
        try:
            sock.settimeout(2.0)
            sock.sendall(
                f"GET {path}x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r-1\r\n"
                f"X-Api-Key: {KEY}\r\nX-Deadline-Ms: 2000\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            return Answer(read_all(sock)).status
        except OSError:
            return 0
        finally:
            sock.close()

    def wait_served(self, path: str, seconds: float) -> None:
        """Wait until each node serves a route; fail if one does not in time."""
        served = self.deployment.wait_until(
            lambda: all(self.status(name, path) == 200 for name in NODES), seconds
        )
        statuses = {name: self.status(name, path) for name in NODES}
        self.assertTrue(served, f"{path}: {statuses}")

    def restore(self, number: int) -> None:
        """Let the store be away, and come back as of a version.

        The endpoints then write their entries again.
        """
        self.rows.down = True
        gevent.sleep(OUTAGE_SECONDS)
        self.rows.restore(number, keep=("servers",))
        self.rows.down = False

    def test_each_node_serves_the_newest_configuration_after_a_return(self):
        older = self.rows.version.number
        self.deployment.configure(CONFIRMED)
        self.wait_served("/confirmed/", CONFIGURATION_BOUND_SECONDS)
        self.restore(older)
        self.deployment.nodes["front-c-1"].kill()
        self.deployment.nodes["front-c-1"].wait(5.0)
        self.deployment.start_node("front-c-1", first_start=False)
        # A node that does not serve yet answers 503, or accepts no connection.
        statuses = set()
        started = self.deployment.wait_until(
            lambda: (
                statuses.add(self.status("front-c-1", "/confirmed/"))
                or statuses & {200, 404}
            )
        )
        self.assertTrue(started, statuses)
        for _ in range(20):
            for name in NODES:
                statuses.add(self.status(name, "/confirmed/"))
            gevent.sleep(0.05)
        self.assertLessEqual(statuses, {0, 200, 503})
        self.deployment.configure(NEWEST)
        self.wait_served("/newest/", CONFIGURATION_BOUND_SECONDS)
        self.deployment.configure(CONFIRMED)
        gevent.sleep(0.5)
        self.wait_served("/newest/", 0.5)

    def test_a_configuration_after_two_returns_is_served(self):
        """The numbers of the store had passed the old ones between the returns."""
        older = self.rows.version.number
        self.deployment.configure(CONFIRMED)
        self.wait_served("/confirmed/", CONFIGURATION_BOUND_SECONDS)
        for _ in range(2):
            self.restore(older)
            gevent.sleep(0.5)
        self.wait_served("/confirmed/", 0.5)
        self.deployment.configure(NEWEST)
        self.wait_served("/newest/", CONFIGURATION_BOUND_SECONDS)


if __name__ == "__main__":
    unittest.main()
