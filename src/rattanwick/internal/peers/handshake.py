"""Handshake in which both sides prove that they have the shared secret of the nodes.

The proof is an HMAC over both hello messages, so a recorded proof fails against the
new nonce of the other side. It also covers the role of the sender, so it cannot be
reflected to the side that made it, and the digest of the acceptor's TLS certificate,
so an attacker cannot relay it between two TLS sessions.
"""

import hashlib
import hmac
import secrets
from collections.abc import Callable
from dataclasses import asdict, astuple, dataclass

import msgpack

from rattanwick.internal.base.errors import ProtocolError, Refused
from rattanwick.internal.model.instances import Node
from rattanwick.internal.peers.frames import Frame, FrameReader, encode_frame

STEP = "handshake"
NONCE_BYTES = 32
MAX_HANDSHAKE_FRAME_BYTES = 4096
MAX_NAME_CHARACTERS = 128
HANDSHAKE_TIMEOUT_SECONDS = 3.0
DIALLER = "dialler"
ACCEPTOR = "acceptor"


@dataclass(slots=True, frozen=True)
class Hello:
    """Identity of a node and the addresses on which it listens."""

    node_id: str
    incarnation: int
    data_centre: str
    region: str
    host: str
    caller_port: int
    peer_port: int
    operator_port: int
    instance_id: str
    nonce: bytes

    @classmethod
    def from_node(cls, node: Node) -> "Hello":
        """Return the hello of this node, with a new nonce."""
        return cls(
            node.id,
            node.incarnation,
            node.data_centre,
            node.region,
            node.host,
            node.caller_port,
            node.peer_port,
            node.operator_port,
            node.instance_id,
            secrets.token_bytes(NONCE_BYTES),
        )

    @classmethod
    def from_body(cls, body: dict, peer: str) -> "Hello":
        """Decode a hello; raise ProtocolError that names an invalid field."""
        values = []
        for name, kind in cls.__annotations__.items():
            value = body.get(name)
            if type(value) is not kind or not _in_range(value):
                raise ProtocolError(STEP, peer, f"field {name} is missing or invalid")
            values.append(value)
        return cls(*values)

    def to_node(self) -> Node:
        """Return the node that this hello describes."""
        return Node(
            id=self.node_id,
            data_centre=self.data_centre,
            region=self.region,
            host=self.host,
            caller_port=self.caller_port,
            peer_port=self.peer_port,
            operator_port=self.operator_port,
            instance_id=self.instance_id,
            incarnation=self.incarnation,
        )


def _in_range(value: str | int | bytes) -> bool:
    if isinstance(value, str):
        return len(value) <= MAX_NAME_CHARACTERS
    if isinstance(value, bytes):
        return len(value) == NONCE_BYTES
    return 0 <= value < 1 << 62


def make_proof(
    secret: bytes, role: str, dialler: Hello, acceptor: Hello, binding: bytes
) -> bytes:
    """Return the proof that the side in ``role`` sends.

    ``binding`` is the digest of the acceptor's certificate, empty without TLS.
    """
    covered = [role, list(astuple(dialler)), list(astuple(acceptor)), binding]
    return hmac.digest(secret, msgpack.packb(covered), hashlib.sha256)


class Handshake:
    """One side of the handshake over a connected socket."""

    def __init__(
        self,
        secret: bytes,
        own: Hello,
        reader: FrameReader,
        send: Callable[[bytes], None],
        binding: bytes = b"",
    ):
        self._secret = secret
        self._own = own
        self._reader = reader
        self._send = send
        self._binding = binding

    def dial(self, expected_id: str) -> Hello:
        """Run the handshake as the dialler, which sends its proof first.

        Returns the hello of the other node. Raises Refused if it is another node or
        its proof is wrong, and ProtocolError if a frame is invalid.
        """
        self._write("hello", asdict(self._own))
        other = self._read_hello()
        if other.node_id != expected_id:
            # The instance list can be old, and new nodes reuse addresses.
            reason = f"{other.node_id} answered in place of {expected_id}"
            raise Refused(STEP, expected_id, reason)
        self._write_proof(DIALLER, self._own, other)
        self._read_proof(ACCEPTOR, self._own, other, other.node_id)
        return other

    def accept(self) -> Hello:
        """Run the handshake as the acceptor, which first checks the other proof.

        Returns the hello of the other node. Raises Refused if its proof is wrong, and
        ProtocolError if a frame is invalid.
        """
        other = self._read_hello()
        self._write("hello", asdict(self._own))
        self._read_proof(DIALLER, other, self._own, other.node_id)
        self._write_proof(ACCEPTOR, other, self._own)
        return other

    def _read_hello(self) -> Hello:
        other = Hello.from_body(self._read("hello").body, self._reader.peer)
        if other.node_id == self._own.node_id:
            raise Refused(STEP, self._reader.peer, "the peer uses this node's id")
        return other

    def _write_proof(self, role: str, dialler: Hello, acceptor: Hello) -> None:
        proof = make_proof(self._secret, role, dialler, acceptor, self._binding)
        self._write("proof", {"proof": proof})

    def _read_proof(
        self, role: str, dialler: Hello, acceptor: Hello, peer: str
    ) -> None:
        proof = self._read("proof").body.get("proof")
        expected = make_proof(self._secret, role, dialler, acceptor, self._binding)
        if type(proof) is not bytes or not hmac.compare_digest(proof, expected):
            raise Refused(STEP, peer, "wrong proof; check that the secrets are equal")

    def _write(self, kind: str, body: dict) -> None:
        self._send(encode_frame(Frame(kind, 0, 0, body)))

    def _read(self, kind: str) -> Frame:
        frame = self._reader.read()
        if frame is None:
            reason = f"closed before {kind}; check the other node's log"
            raise Refused(STEP, self._reader.peer, reason)
        if frame.kind != kind:
            raise ProtocolError(
                STEP, self._reader.peer, f"expected a frame of kind {kind}"
            )
        return frame
