"""Stored form of recorded decisions and of batches of them."""

import hashlib
import zlib
from dataclasses import dataclass, field
from datetime import UTC, datetime

import msgpack

from rattanwick.internal.base.errors import ProtocolError

FORMAT_VERSION = 1
RECORDINGS_PREFIX = "recordings/"
DIGEST_BYTES = 16
MAX_BATCH_BYTES = 64 << 20
COMPRESSION_LEVEL = 6


@dataclass(slots=True)
class RecordGap:
    """Run of consecutive records that were dropped, with the reason."""

    first: int  # sequence number
    last: int  # sequence number
    started: float  # Unix seconds
    ended: float  # Unix seconds
    kinds: dict[str, int]  # number of records by kind
    reason: str


@dataclass(slots=True, frozen=True)
class DecisionRecord:
    """One recorded decision."""

    sequence: int
    time: float  # Unix seconds
    kind: str
    request_id: str
    inputs: dict | None  # None if too large to record
    inputs_digest: str
    altered: bool  # secrets were removed or the inputs left out
    choice: object
    reason: str

    def pack(self, packed_inputs: bytes | None = None) -> bytes:
        """Return the stored form; ``packed_inputs`` saves packing the inputs again."""
        if packed_inputs is None:
            packed_inputs = msgpack.packb(self.inputs)
        names = self.__slots__
        # A msgpack array is a header and the items one after the other.
        parts = [msgpack.Packer().pack_array_header(len(names))]
        for name in names:
            is_inputs = name == "inputs"
            value = packed_inputs if is_inputs else msgpack.packb(getattr(self, name))
            parts.append(value)
        return b"".join(parts)

    @classmethod
    def unpack(cls, data: bytes) -> "DecisionRecord":
        """Decode a record from its stored form."""
        return cls(*msgpack.unpackb(data, strict_map_key=False))


@dataclass(slots=True)
class RecordBatch:
    """Consecutive records of one process; digests chain all batches of the process."""

    node: str
    incarnation: int
    number: int
    started: float  # Unix seconds
    previous_digest: bytes  # chain digest before the first record
    entries: list[tuple[bytes, bytes]] = field(default_factory=list)  # record, digest
    gaps: list[RecordGap] = field(default_factory=list)

    @property
    def name(self) -> str:
        """Return the name of the object, which sorts by hour and node."""
        hour = hour_of(self.started)
        return (
            f"{RECORDINGS_PREFIX}{hour}/{self.node}/"
            f"{self.incarnation}-{self.number:08d}"
        )

    @property
    def last_digest(self) -> bytes:
        """Return the chain digest after the last record."""
        return self.entries[-1][1] if self.entries else self.previous_digest

    def pack(self) -> bytes:
        """Return the stored form, compressed and with a digest of the content."""
        gaps = [
            [getattr(gap, name) for name in RecordGap.__slots__] for gap in self.gaps
        ]
        head = [
            self.node,
            self.incarnation,
            self.number,
            self.started,
            self.previous_digest,
        ]
        content = msgpack.packb([FORMAT_VERSION, *head, self.entries, gaps])
        digest = hashlib.sha256(content).digest()
        return zlib.compress(msgpack.packb([content, digest]), COMPRESSION_LEVEL)

    @classmethod
    def unpack(cls, name: str, data: bytes) -> "RecordBatch":
        """Decode a batch from an object; raises ProtocolError if it is damaged."""
        try:
            stream = zlib.decompressobj()
            raw = stream.decompress(data, MAX_BATCH_BYTES)
            if not stream.eof:
                raise ValueError("the batch is truncated or too large")
            content, digest = msgpack.unpackb(raw)
            if hashlib.sha256(content).digest() != digest:
                raise ValueError("the digest of the batch does not match")
            version, *head, entries, gaps = msgpack.unpackb(
                content, strict_map_key=False
            )
            if version != FORMAT_VERSION:
                raise ValueError(f"unknown format version {version}")
            pairs = [
                (bytes(record), bytes(stored_digest))
                for record, stored_digest in entries
            ]
            return cls(*head, pairs, [RecordGap(*gap) for gap in gaps])
        except (ValueError, TypeError, zlib.error, msgpack.UnpackException) as exc:
            raise ProtocolError("read recording", name, str(exc))


def chain_digest(previous: bytes, packed: bytes) -> bytes:
    """Return the chain digest after a record, which covers all records up to it."""
    return hashlib.blake2b(previous + packed, digest_size=DIGEST_BYTES).digest()


def first_digest(node: str, incarnation: int) -> bytes:
    """Return the chain digest before the first record of a process."""
    return chain_digest(b"", f"{node}/{incarnation}".encode())


def hour_of(wall_time: float) -> str:
    """Return the UTC hour of a time, as used in object names."""
    return datetime.fromtimestamp(wall_time, UTC).strftime("%Y%m%dT%H")
