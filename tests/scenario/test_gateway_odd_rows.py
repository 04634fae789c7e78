"""Nodes as processes while another writer leaves odd rows in the store."""

import tempfile
import unittest
from pathlib import Path

from gevent import socket

from fakes.gateway_deployment import (
    HOST,
    KEY,
    GatewayDeployment,
    make_configuration,
)
from rattanwick.internal.gateway.member_rows import MEMBER_TABLE
from tests.failure.test_gateway_odd_rows import ODD_MEMBERS
from tests.gateway_case import Answer, read_all
from tests.odd_values import odd_configurations, odd_entries

NODES = ("front-a-1", "front-b-1")
STARTED_LATER = "front-c-1"


class OddRowTests(unittest.TestCase):
    """Guard against nodes that stop following a table, or end, because of a row."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = GatewayDeployment(Path(folder.name), (*NODES, STARTED_LATER))
        self.addCleanup(self.deployment.close)
        self.rows = self.deployment.platform.rows
        self.deployment.configure(make_configuration(3))
        self.deployment.add_endpoint("i-1", stream=False)
        for name in NODES:
            self.deployment.start_node(name)
        self.assertTrue(self.deployment.wait_joined())

    def ask(self, name: str) -> int:
        """Return the status of a request to a node."""
        sock = socket.create_connection(self.deployment.callers_address(name), 2.0)
        try:
            sock.sendall(
                f"GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r-1\r\n"
                f"X-Api-Key: {KEY}\r\nConnection: close\r\n\r\n".encode()
            )
            return Answer(read_all(sock)).status
        finally:
            sock.close()

    def test_nodes_go_on_beside_odd_rows_and_new_ones_start(self):
        for number, (_, value) in enumerate(odd_entries()):
            # Their names come before those of the sound rows and after them.
            self.rows.set_row("servers", f"{'az'[number % 2]}-{number}", value)
        for number, value in enumerate(ODD_MEMBERS):
            self.rows.set_row(MEMBER_TABLE, f"a-{number}", value)
        for _, value in odd_configurations():
            self.rows.set_row("op", "config", value)
        self.deployment.configure(make_configuration(4))
        self.deployment.add_endpoint("i-2", stream=False)
        self.deployment.endpoints["i-1"].stop()
        self.rows.set_row("servers", "i-1", None)
        self.assertTrue(
            self.deployment.wait_until(
                lambda: all(self.ask(name) == 200 for name in NODES), 5.0
            )
        )
        self.deployment.start_node(STARTED_LATER)
        self.assertTrue(self.deployment.wait_joined())
        for name in (*NODES, STARTED_LATER):
            with self.subTest(name):
                self.assertEqual(self.ask(name), 200)
                self.assertIsNone(self.deployment.nodes[name].poll())
                self.assertNotIn(
                    "Traceback", self.deployment.log_path(name).read_text()
                )
