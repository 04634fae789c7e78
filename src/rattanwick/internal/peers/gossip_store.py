"""Gossip items, and the bounded store that keeps the newest version of each key."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

import msgpack
import xxhash

from rattanwick.internal.base.errors import ProtocolError

MAX_ITEMS = 8192
MAX_BODY_BYTES = 1024
MAX_KEY_CHARACTERS = 128
MAX_RETENTION_SECONDS = 86_400
BUCKET_COUNT = 64
STEP = "read gossip"


@dataclass(slots=True, frozen=True)
class GossipItem:
    """One version of a key; ``expires`` is in Unix seconds, 0 for never."""

    topic: str
    key: str
    version: int
    expires: int
    body: dict
    digest: int  # of all fields except ``expires``
    bucket: int

    @classmethod
    def make(cls, topic: str, key: str, version: int, expires: int, body: dict):
        """Return a new item; raise ProtocolError that names an invalid field."""
        for name, value in (("topic", topic), ("key", key)):
            if type(value) is not str or not 0 < len(value) <= MAX_KEY_CHARACTERS:
                raise ProtocolError(
                    STEP, str(topic)[:20], f"field {name} has no valid string"
                )
        for name, value in (("version", version), ("expires", expires)):
            if type(value) is not int or not 0 <= value < 1 << 62:
                raise ProtocolError(STEP, topic, f"field {name} is not a valid integer")
        if type(body) is not dict:
            raise ProtocolError(STEP, topic, "field body is not a map")
        packed = msgpack.packb([topic, key, version, body])
        if len(packed) > MAX_BODY_BYTES + 4 * MAX_KEY_CHARACTERS:
            raise ProtocolError(
                STEP,
                topic,
                f"the item is too large; its body may have {MAX_BODY_BYTES} bytes",
            )
        digest = xxhash.xxh64_intdigest(packed)
        bucket = xxhash.xxh64_intdigest(f"{topic}\x00{key}".encode()) % BUCKET_COUNT
        return cls(topic, key, version, expires, body, digest, bucket)

    @classmethod
    def from_message(cls, message: object) -> "GossipItem":
        """Decode an item; raise ProtocolError if it is invalid."""
        if type(message) is not list or len(message) < 5:
            raise ProtocolError(STEP, "", "an item is not a list of 5 fields")
        return cls.make(*message[:5])

    def to_message(self) -> list:
        """Return a list of 5 fields for msgpack."""
        return [self.topic, self.key, self.version, self.expires, self.body]

    def supersedes(self, other: "GossipItem | None") -> bool:
        """Return whether this item replaces the other one of the same key."""
        # Bodies of the same version are ordered by digest, so that all nodes agree.
        if other is None:
            return True
        return (self.version, self.digest) > (other.version, other.digest)


class GossipStore:
    """Newest item of each key, at most ``limit`` items in all."""

    def __init__(self, limit: int = MAX_ITEMS):
        self._limit = limit
        self._items: dict[tuple[str, str], GossipItem] = {}
        self._topics: Counter[str] = Counter()
        self.buckets = [0] * BUCKET_COUNT  # XOR of the items' digests in each bucket
        self.digest = 0

    def __len__(self) -> int:
        return len(self._items)

    def get(self, topic: str, key: str) -> GossipItem | None:
        """Return the item of a key, or None."""
        return self._items.get((topic, key))

    def items_of_topic(self, topic: str) -> list[GossipItem]:
        """Return the items of a topic."""
        return [item for item in self._items.values() if item.topic == topic]

    def in_buckets(self, buckets: Iterable[int]) -> list[GossipItem]:
        """Return the items in the given buckets."""
        wanted = set(buckets)
        return [item for item in self._items.values() if item.bucket in wanted]

    def merge(self, item: GossipItem, wall_time: float) -> bool:
        """Store the item if it is newer and not expired; return False otherwise."""
        if item.expires and item.expires <= wall_time:
            return False
        held = self._items.get((item.topic, item.key))
        if not item.supersedes(held):
            return False
        if held is None and len(self._items) >= self._limit:
            self._evict()
        self._replace(held, item)
        return True

    def drop_expired(self, wall_time: float) -> None:
        """Remove expired items."""
        for item in list(self._items.values()):
            if item.expires and item.expires <= wall_time:
                self._replace(item, None)

    def _evict(self) -> None:
        # Evicts from the largest topic, so that one large topic does not displace
        # others.
        topic = self._topics.most_common(1)[0][0]
        evicted = min(
            self.items_of_topic(topic), key=lambda item: (item.expires, item.key)
        )
        self._replace(evicted, None)

    def _replace(self, old: GossipItem | None, new: GossipItem | None) -> None:
        item = new or old
        change = (old.digest if old else 0) ^ (new.digest if new else 0)
        self.digest ^= change
        self.buckets[item.bucket] ^= change
        if old is None:
            self._topics[item.topic] += 1
        if new is None:
            self._topics[item.topic] -= 1
            del self._items[item.topic, item.key]
        else:
            self._items[item.topic, item.key] = new
