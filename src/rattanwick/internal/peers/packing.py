"""Compressed msgpack for copies of requests and their text."""

import zlib

import msgpack

from rattanwick.internal.base.errors import ProtocolError

MAX_UNPACKED_BYTES = 16 << 20
FAST = 1  # compression level
# The default window and hash table take longer to set up than a short message
# takes to compress.
SHORT_BYTES = 4096
SHORT_WINDOW_BITS = 12  # a window of SHORT_BYTES
SHORT_MEMORY_LEVEL = 5


def pack_compressed(value: object) -> bytes:
    """Return compressed msgpack."""
    packed = msgpack.packb(value)
    if len(packed) > SHORT_BYTES:
        return zlib.compress(packed, FAST)
    packer = zlib.compressobj(
        FAST, zlib.DEFLATED, SHORT_WINDOW_BITS, SHORT_MEMORY_LEVEL
    )
    return packer.compress(packed) + packer.flush()


def unpack_compressed(data: object, field: str) -> dict:
    """Return the map of compressed msgpack; raise ProtocolError."""
    if type(data) is not bytes:
        raise ProtocolError("unpack", field, f"field {field} is not bytes")
    try:
        # The limit keeps a small hostile frame from filling the memory.
        unpacker = zlib.decompressobj()
        packed = unpacker.decompress(data, MAX_UNPACKED_BYTES)
        if unpacker.unconsumed_tail or not unpacker.eof:
            raise ProtocolError("unpack", field, f"field {field} is too large or cut")
        value = msgpack.unpackb(packed)
    except ProtocolError:
        raise
    except Exception as exc:
        reason = f"field {field} cannot be read: {type(exc).__name__}"
        raise ProtocolError("unpack", field, reason)
    if type(value) is not dict:
        raise ProtocolError("unpack", field, f"field {field} is not a map")
    return value
