"""Connections to the store that go silent, without an error, while new ones work."""

import tempfile
import time
import unittest
from pathlib import Path

import gevent
from geventhttpclient import HTTPClient

from fakes.gateway_deployment import (
    CALLER_PORT,
    HOST,
    KEY,
    ROUTES,
    GatewayDeployment,
    make_configuration,
    make_route,
)
from soak.proxy import LoopbackProxy

APPLY_SECONDS = 2.0  # the platform's bound; the nodes use its default
# Time after the silence begins in which a node need not be in touch.
CONTACT_SECONDS = 3.0
ASK_INTERVAL_SECONDS = 0.02
GIVE_UP_SECONDS = 12.0


class SilentStoreTests(unittest.TestCase):
    """Guard against nodes that use an old configuration longer than they may."""

    def start(self, names: tuple[str, ...]) -> None:
        """Start nodes, each behind a proxy of its own to the store."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = GatewayDeployment(Path(folder.name), names)
        self.addCleanup(self.deployment.close)
        self.deployment.configure(make_configuration(1))
        self.deployment.add_endpoint("i-1", stream=False)
        host, port = self.deployment.platform.address.split(":")
        self.proxies = []
        for name in names:
            proxy = LoopbackProxy((host, int(port)), self.deployment.host)
            self.addCleanup(proxy.close)
            self.proxies.append(proxy)
            self.deployment.start_node(name, proxy.address)
        self.assertTrue(self.deployment.wait_joined())

    def status(self, name: str) -> int:
        """Return the status of a request on the route of the newest configuration."""
        client = HTTPClient(self.deployment.ips[name], CALLER_PORT)
        headers = {"Host": HOST, "X-Request-Id": "call", "X-Api-Key": KEY}
        try:
            return client.get("/new/x", headers).status_code
        finally:
            client.close()

    def check(self, names: tuple[str, ...], silent_after: float, gap: float) -> None:
        """Change the configuration before and after the silence begins."""
        self.start(names)
        gevent.sleep(1.0)
        self.deployment.configure(make_configuration(2))
        gevent.sleep(silent_after)
        for proxy in self.proxies:
            proxy.silence_open()
        silent_at = time.monotonic()
        gevent.sleep(gap)
        routes = [*ROUTES, make_route("/new/", "safe", "plain")]
        self.deployment.configure(make_configuration(3, routes))
        changed_at = time.monotonic()
        limit = max(changed_at + APPLY_SECONDS, silent_at + CONTACT_SECONDS)
        waiting = set(names)
        while waiting and time.monotonic() - changed_at < GIVE_UP_SECONDS:
            for name in sorted(waiting):
                sent_at = time.monotonic()
                if self.status(name) == 200:
                    waiting.discard(name)
                    self.assertLess(sent_at, limit, f"{name} changed too late")
            gevent.sleep(ASK_INTERVAL_SECONDS)
        self.assertEqual(waiting, set())

    def test_several_nodes(self):
        for silent_after, gap in ((0.02, 0.5), (0.4, 3.2), (1.5, 1.5)):
            with self.subTest(silent_after=silent_after, gap=gap):
                self.check(("n1", "n2", "n3"), silent_after, gap)

    def test_a_node_without_peers(self):
        for silent_after, gap in ((0.02, 0.5), (0.4, 3.2)):
            with self.subTest(silent_after=silent_after, gap=gap):
                self.check(("n1",), silent_after, gap)
