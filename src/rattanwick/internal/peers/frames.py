"""Frames between nodes: a length of 4 bytes, then a msgpack array."""

import struct
from collections.abc import Callable
from dataclasses import dataclass

import msgpack

from rattanwick.internal.base.errors import ConnectionLost, ProtocolError

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 1 << 20
MAX_KIND_CHARACTERS = 64
MAX_SEQUENCE = (1 << 63) - 1
RECEIVE_BYTES = 16_384  # read from the socket at once
LENGTH = struct.Struct(">I")
READ_STEP = "read frame"


@dataclass(slots=True)
class Frame:
    """One message; ``sequence`` is 0 if no reply is expected."""

    kind: str
    sequence: int
    reply_to: int
    body: dict


def encode_frame(frame: Frame, version: int = PROTOCOL_VERSION) -> bytes:
    """Return the encoded frame; raise ProtocolError if it is invalid or too large."""
    parts = [version, frame.kind, frame.sequence, frame.reply_to, frame.body]
    try:
        payload = msgpack.packb(parts)
    except (TypeError, ValueError, OverflowError) as exc:
        raise ProtocolError("write frame", frame.kind, f"body: {exc}")
    if len(payload) > MAX_FRAME_BYTES:
        reason = f"{len(payload)} bytes are more than {MAX_FRAME_BYTES}"
        raise ProtocolError("write frame", frame.kind, reason)
    return LENGTH.pack(len(payload)) + payload


def decode_payload(payload: bytes, peer: str) -> Frame:
    """Return the decoded frame; raise ProtocolError that names the field."""
    try:
        parts = msgpack.unpackb(payload)
    except Exception as exc:
        # msgpack raises many types on malformed input; each means an invalid frame.
        raise ProtocolError(READ_STEP, peer, f"not msgpack: {type(exc).__name__}")
    if not isinstance(parts, list) or not parts:
        raise ProtocolError(READ_STEP, peer, "not an array")
    if type(parts[0]) is not int or parts[0] != PROTOCOL_VERSION:
        reason = f"version {parts[0]!r:.20} is unknown; expected {PROTOCOL_VERSION}"
        raise ProtocolError(READ_STEP, peer, reason)
    if len(parts) < 5:
        raise ProtocolError(READ_STEP, peer, f"{len(parts)} fields; expected 5")
    _, kind, sequence, reply_to, body = parts[:5]
    if type(kind) is not str or not 0 < len(kind) <= MAX_KIND_CHARACTERS:
        raise ProtocolError(
            READ_STEP, peer, "field kind is not a string of valid length"
        )
    for name, value in (("sequence", sequence), ("reply_to", reply_to)):
        if type(value) is not int or not 0 <= value <= MAX_SEQUENCE:
            raise ProtocolError(
                READ_STEP, peer, f"field {name} is not a number in range"
            )
    if type(body) is not dict:
        raise ProtocolError(READ_STEP, peer, "field body is not a map")
    return Frame(kind, sequence, reply_to, body)


class FrameReader:
    """Reader of frames from a stream; ``limit`` is the largest payload in bytes."""

    __slots__ = ("_buffer", "_recv", "limit", "peer", "received_bytes")

    def __init__(self, recv: Callable[[int], bytes], peer: str, limit: int):
        self._recv = recv
        self._buffer = bytearray()
        self.peer = peer
        self.limit = limit
        self.received_bytes = 0

    def read(self) -> Frame | None:
        """Return the next frame, or None at the end of the stream; raise StepError."""
        if not self._fill(LENGTH.size):
            return None
        (length,) = LENGTH.unpack_from(self._buffer)
        if length > self.limit:
            reason = f"{length} bytes are more than {self.limit}"
            raise ProtocolError(READ_STEP, self.peer, reason)
        end = LENGTH.size + length
        if not self._fill(end):
            raise ConnectionLost(READ_STEP, self.peer, "truncated frame", sent=False)
        payload = bytes(self._buffer[LENGTH.size : end])
        del self._buffer[:end]
        return decode_payload(payload, self.peer)

    def _fill(self, size: int) -> bool:
        while len(self._buffer) < size:
            data = self._recv(RECEIVE_BYTES)
            if not data:
                if self._buffer:
                    reason = "truncated frame"
                    raise ConnectionLost(READ_STEP, self.peer, reason, sent=False)
                return False
            self._buffer += data
            self.received_bytes += len(data)
        return True
