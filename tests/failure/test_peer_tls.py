"""Connections between nodes over TLS, and reload of a changed key.

Guards against plain connections, certificates of another CA, and key changes that
need a restart.
"""

import shutil
import tempfile
import unittest
from pathlib import Path

from rattanwick.internal.base.errors import Unavailable
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.peers.network import TcpPeerNetwork
from tests.peer_cluster import SECRET, make_node, make_settings, wait_until

DATA = Path(__file__).parent.parent / "data"


class TlsTests(unittest.TestCase):
    def setUp(self):
        self.timers = GeventTimerService()
        self.addCleanup(self.timers.stop)
        self.nodes = {}

    def _start(self, node_id: str, certificate: str, authority: str):
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self._install(directory, certificate)
        node = self.nodes[node_id] = make_node(node_id)
        settings = make_settings(
            node,
            tls_certificate=str(directory / "node.pem"),
            tls_key=str(directory / "node.key"),
            tls_authority=str(DATA / authority),
        )
        network = TcpPeerNetwork(settings, node, self.nodes.get, self.timers, SECRET)
        network.handle("echo", lambda peer, body: {"peer": peer, **body})
        network.start()
        self.addCleanup(network.stop)
        return network, directory

    def _install(self, directory: Path, certificate: str) -> None:
        for suffix in ("pem", "key"):
            shutil.copyfile(
                DATA / f"peer-{certificate}.{suffix}", directory / f"node.{suffix}"
            )

    def test_large_messages_cross_in_both_directions(self):
        # Guards against frames that are cut or stuck when they span several TLS
        # records.
        first, _ = self._start("n1", "first", "peer-authority.pem")
        second, _ = self._start("n2", "second", "peer-authority.pem")
        data = b"x" * 900_000
        for network, other in ((first, "n2"), (second, "n1")):
            self.assertEqual(network.call(other, "echo", {"x": data}, 2.0)["x"], data)

    def test_a_certificate_of_another_ca_is_refused(self):
        # Guards against TLS that encrypts without checking the certificate.
        self._start("n1", "first", "peer-first.pem")
        untrusted, _ = self._start("n2", "second", "peer-authority.pem")
        with self.assertRaises(Unavailable):
            untrusted.call("n1", "echo", {}, 2.0)

    def test_a_new_key_is_loaded_only_with_its_certificate(self):
        # The certificate is replaced before its key. Guards against a node that loads
        # the mismatched pair and then refuses all connections.
        first, directory = self._start("n1", "first", "peer-authority.pem")
        trusts_second_ca, _ = self._start("n2", "second", "peer-second.pem")
        shutil.copyfile(DATA / "peer-second.pem", directory / "node.pem")
        self.assertFalse(first._tls.reload_if_changed())
        with self.assertRaises(Unavailable):
            trusts_second_ca.call("n1", "echo", {}, 2.0)
        trusts_both_cas, _ = self._start("n3", "first", "peer-authority.pem")
        self.assertEqual(trusts_both_cas.call("n1", "echo", {}, 2.0)["peer"], "n3")
        self._install(directory, "second")
        self.assertTrue(first._tls.reload_if_changed())
        self.assertEqual(trusts_second_ca.call("n1", "echo", {}, 2.0)["peer"], "n2")

    def test_a_plain_connection_is_refused(self):
        # Guards against a node with TLS that still accepts peers without it.
        self._start("n1", "first", "peer-authority.pem")
        node = self.nodes["n3"] = make_node("n3")
        plain = TcpPeerNetwork(
            make_settings(node), node, self.nodes.get, self.timers, SECRET
        )
        with self.assertRaises(Unavailable):
            plain.call("n1", "echo", {}, 2.0)
        self.assertTrue(wait_until(lambda: not plain.is_connected("n1")))
