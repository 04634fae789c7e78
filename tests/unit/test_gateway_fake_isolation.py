"""Isolation of fake endpoints from the nodes of other deployments.

Guards against a soak that fails because of requests that its own nodes did not send.
"""

import tempfile
import unittest
from pathlib import Path

import gevent
from gevent import socket

from fakes.addresses import split_address
from fakes.gateway_deployment import GatewayDeployment
from fakes.gateway_endpoint import FakeGatewayEndpoint
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.gateway.table_watch import TableWatch
from rattanwick.platform.store import PlatformStore


class ForeignRequestTests(unittest.TestCase):
    def test_a_request_without_an_id_is_refused_and_its_sender_recorded(self):
        endpoint = FakeGatewayEndpoint()
        endpoint.echo_request_id = True
        self.addCleanup(endpoint.stop)
        with socket.create_connection(split_address(endpoint.address), 2.0) as sock:
            sock.sendall(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = sock.recv(65536)
            sender = sock.getsockname()
        self.assertTrue(answer.startswith(b"HTTP/1.1 400"))
        self.assertIn(b"X-Not-Run", answer)
        self.assertEqual(endpoint.executed_requests, [])
        self.assertIn(
            f"GET /health HTTP/1.1 from {sender}", endpoint.unidentified_requests[0]
        )

    def test_calls_of_a_store_client_are_refused_by_an_endpoint_on_its_port(self):
        """A store client retries calls, without a request id, after its store stopped.

        By then an endpoint of another deployment may listen on the store's port.
        """
        endpoint = FakeGatewayEndpoint()
        endpoint.echo_request_id = True
        self.addCleanup(endpoint.stop)
        store = PlatformStore(split_address(endpoint.address))
        watch = TableWatch(store, "op", GeventTimerService(), lambda *_: None)
        watch.start()
        self.addCleanup(watch.stop)
        with gevent.Timeout(5.0):
            while len(endpoint.unidentified_requests) < 3:
                gevent.sleep(0.01)
        self.assertEqual(endpoint.executed_requests, [])
        self.assertIn("GET /api/rows-get?table=op", endpoint.unidentified_requests[0])

    def test_deployments_at_the_same_time_share_no_address(self):
        with tempfile.TemporaryDirectory() as name:
            first = GatewayDeployment(Path(name), ())
            second = GatewayDeployment(Path(name), ())
            self.addCleanup(first.close)
            self.addCleanup(second.close)
            hosts = set()
            for deployment in (first, second):
                endpoint = deployment.start_endpoint("i-1", stream=False)
                own = {split_address(endpoint.address)[0]}
                own.add(split_address(deployment.platform.address)[0])
                self.assertEqual(own & (hosts | {"127.0.0.1"}), set())
                hosts |= own
