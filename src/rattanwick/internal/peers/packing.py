"""Compressed msgpack for replicas of requests and for their text."""

import zlib

import msgpack

from rattanwick.internal.base.errors import ProtocolError

MAX_UNPACKED_BYTES = 16 << 20
COMPRESSION_LEVEL = 1  # the fastest
# For a short message, setting up the default window and hash table takes longer than
# the compression itself.
MAX_SHORT_BYTES = 4096
SHORT_WINDOW_BITS = 12  # a window of MAX_SHORT_BYTES
SHORT_MEMORY_LEVEL = 5


def pack_compressed(value: object) -> bytes:
    """Return a value as zlib-compressed msgpack."""
    packed = msgpack.packb(value)
    if len(packed) > MAX_SHORT_BYTES:
        return zlib.compress(packed, COMPRESSION_LEVEL)
    packer = zlib.compressobj(
        COMPRESSION_LEVEL, zlib.DEFLATED, SHORT_WINDOW_BITS, SHORT_MEMORY_LEVEL
    )
    return packer.compress(packed) + packer.flush()


def unpack_compressed(data: object, field: str) -> dict:
    """Unpack a map; raise ProtocolError, with the name ``field``, if invalid."""
    if type(data) is not bytes:
        raise ProtocolError("unpack", field, f"field {field} is not bytes")
    try:
        # The limit prevents a small hostile frame from exhausting the memory.
        unpacker = zlib.decompressobj()
        packed = unpacker.decompress(data, MAX_UNPACKED_BYTES)
        if unpacker.unconsumed_tail or not unpacker.eof:
            raise ProtocolError(
                "unpack", field, f"field {field} is too large or truncated"
            )
        value = msgpack.unpackb(packed)
    except ProtocolError:
        raise
    except Exception as exc:
        reason = f"field {field} cannot be read: {type(exc).__name__}"
        raise ProtocolError("unpack", field, reason)
    if type(value) is not dict:
        raise ProtocolError("unpack", field, f"field {field} is not a map")
    return value
