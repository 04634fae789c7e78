"""Connections without a valid proof have no effect.

Guards against replayed, reflected and relayed proofs, against frames that are handled
before the proof, and against unauthenticated connections that block other nodes.
"""

import unittest
from dataclasses import asdict
from unittest import mock

import gevent
from gevent import socket

from rattanwick.internal.base.errors import Refused
from rattanwick.internal.peers import network as network_module
from rattanwick.internal.peers.frames import Frame, FrameReader, encode_frame
from rattanwick.internal.peers.handshake import Handshake, Hello
from tests.peer_cluster import SECRET, Networks, make_node, wait_until


class RecordingSender:
    """Sender that also records the bytes that one side of a handshake sends."""

    def __init__(self, sock):
        self._sock = sock
        self.sent = b""

    def send(self, data: bytes) -> None:
        """Record and send the data."""
        self.sent += data
        self._sock.sendall(data)


class HandshakeTests(unittest.TestCase):
    def setUp(self):
        self.networks = Networks()
        self.addCleanup(self.networks.stop)
        self.network = self.networks.add("n1")
        self.node = self.networks.nodes["n1"]
        self.served = []
        self.network.handle("act", lambda peer, body: self.served.append(body))

    def test_a_recorded_handshake_is_refused_when_replayed(self):
        # An eavesdropper repeats all bytes of an earlier handshake. The nonce of the
        # acceptor has changed, so the old proof must fail.
        sock = self._connect()
        recorder = RecordingSender(sock)
        reader = FrameReader(sock.recv, "n1", 4096)
        own = Hello.from_node(make_node("n2"))
        Handshake(SECRET, own, reader, recorder.send).dial("n1")
        act = encode_frame(Frame("act", 0, 0, {}))
        sock.sendall(act)
        self.assertTrue(wait_until(lambda: len(self.served) == 1))
        replay = self._connect()
        replay.sendall(recorder.sent + act)
        self.assertEqual(self._frames_until_closed(replay), ["hello"])
        self.assertEqual(len(self.served), 1)

    def test_a_proof_reflected_to_its_sender_is_refused(self):
        # The acceptor has no secret and returns the proof of the dialler. The role in
        # the proof must make it fail.
        left, right = socket.socketpair()
        own, other = (Hello.from_node(make_node(name)) for name in ("n2", "n3"))
        reader = FrameReader(left.recv, "peer", 4096)
        dial = gevent.spawn(Handshake(SECRET, own, reader, left.sendall).dial, "n3")
        from_dialler = FrameReader(right.recv, "peer", 4096)
        from_dialler.read()
        right.sendall(encode_frame(Frame("hello", 0, 0, asdict(other))))
        right.sendall(encode_frame(from_dialler.read()))
        with self.assertRaises(Refused) as caught:
            dial.get(timeout=2)
        self.assertIn("wrong proof", caught.exception.reason)

    def test_a_peer_with_the_id_of_this_node_is_refused(self):
        # Guards against two nodes that are configured with the same id.
        sock = self._connect()
        twin = Hello.from_node(make_node("n1"))
        sock.sendall(encode_frame(Frame("hello", 0, 0, asdict(twin))))
        self.assertEqual(self._frames_until_closed(sock), [])

    def test_no_frame_is_handled_before_the_proof(self):
        # Guards against handlers that a peer can reach without the secret.
        sock = self._connect()
        sock.sendall(encode_frame(Frame("act", 0, 0, {})))
        self.assertEqual(self._frames_until_closed(sock), [])
        self.assertEqual(self.served, [])

    def test_an_oversize_frame_before_the_proof_closes_the_connection(self):
        # Guards against memory that a peer without the secret can fill.
        sock = self._connect()
        sock.sendall(b"\x00\x01\x00\x00")
        self.assertEqual(self._frames_until_closed(sock), [])

    def test_a_connection_without_a_handshake_is_closed_after_the_timeout(self):
        # Guards against sockets that are kept open for a peer that sends nothing.
        self.enterContext(
            mock.patch.object(network_module, "HANDSHAKE_TIMEOUT_SECONDS", 0.1)
        )
        sock = self._connect()
        with gevent.Timeout(2):
            self.assertEqual(sock.recv(1), b"")

    def test_many_connections_without_a_handshake_do_not_block_a_node(self):
        # A client holds more connections open than the limit. A node with the secret
        # must still be able to connect.
        limit = network_module.MAX_UNAUTHENTICATED
        silent = [self._connect() for _ in range(limit + 20)]
        wait_until(lambda: len(self.network._unauthenticated) >= limit)
        other = self.networks.add("n2")
        self.assertEqual(other.call("n1", "echo", {}, 2.0)["peer"], "n2")
        self.assertLessEqual(len(self.network._unauthenticated), limit)
        self.assertEqual(len(silent), limit + 20)

    def test_a_relayed_proof_fails_against_another_certificate(self):
        # An attacker in the middle forwards the proofs between two TLS sessions. The
        # two sides see different certificates, so the proof must fail.
        left, right = socket.socketpair()
        dialler, acceptor = make_node("n2"), make_node("n3")
        sides = [
            Handshake(
                SECRET,
                Hello.from_node(node),
                FrameReader(sock.recv, "peer", 4096),
                sock.sendall,
                binding,
            )
            for node, sock, binding in (
                (dialler, left, b"certificate of the relay"),
                (acceptor, right, b"own certificate"),
            )
        ]
        dial = gevent.spawn(sides[0].dial, "n3")
        with self.assertRaises(Refused):
            sides[1].accept()
        dial.kill()

    def _connect(self):
        sock = socket.create_connection((self.node.host, self.node.peer_port))
        self.addCleanup(sock.close)
        return sock

    def _frames_until_closed(self, sock) -> list[str]:
        reader = FrameReader(sock.recv, "n1", 4096)
        kinds = []
        try:
            with gevent.Timeout(2):
                while (frame := reader.read()) is not None:
                    kinds.append(frame.kind)
        except ConnectionError:
            pass
        return kinds
