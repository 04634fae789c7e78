"""Order in which a starting node listens."""

import tempfile
import time
import unittest
from pathlib import Path

import gevent
from gevent import socket

from fakes.gateway_deployment import (
    CALLER_PORT,
    DIRECTORY_PORT,
    GatewayDeployment,
    make_configuration,
)

STARTS = 4
START_SECONDS = 15.0


class ListenerOrderTests(unittest.TestCase):
    """Guard against callers that are directed to a node which refuses connections."""

    def test_a_node_takes_connections_before_its_directory_answers(self):
        for _ in range(STARTS):
            with self.subTest(), tempfile.TemporaryDirectory() as folder:
                deployment = GatewayDeployment(Path(folder), ("n1",))
                try:
                    deployment.configure(make_configuration(1))
                    deployment.start_node("n1")
                    ip = deployment.ips["n1"]
                    started = time.monotonic()
                    while not self.connects(ip, DIRECTORY_PORT):
                        self.assertLess(time.monotonic() - started, START_SECONDS)
                        gevent.sleep(0.0005)
                    self.assertTrue(self.connects(ip, CALLER_PORT))
                finally:
                    deployment.close()

    def connects(self, ip: str, port: int) -> bool:
        """Return whether a port accepts a connection."""
        try:
            socket.create_connection((ip, port), 1.0).close()
        except ConnectionRefusedError:
            return False
        return True
