"""Gossip: versioned items flooded over heartbeat links and repaired by digest."""

from collections.abc import Callable, Iterable

import gevent
import msgpack

from rattanwick.internal.base.errors import ProtocolError, StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.peers.gossip_store import (
    BUCKET_COUNT,
    MAX_RETENTION_SECONDS,
    GossipItem,
    GossipStore,
)
from rattanwick.internal.peers.interfaces import Gossip, GossipCallback, PeerNetwork
from rattanwick.internal.peers.metrics import GOSSIP_ITEMS, GOSSIP_SYNCS

log = get_logger("peers")

DEFAULT_RETENTION_SECONDS = 600
FLUSH_DELAY_SECONDS = 0.02  # collects items into one frame
SYNC_TIMEOUT_SECONDS = 5.0
MAX_SYNC_REPLY_BYTES = 256 << 10
MAX_ITEMS_PER_FRAME = 200
EXPIRE_INTERVAL_SECONDS = 5.0
ENDPOINT_LEAVING_TOPIC = "endpoint.leaving"


class FloodGossip(Gossip):
    """Gossip by flooding: a new item is sent once to each link that may lack it."""

    def __init__(self, network: PeerNetwork, timers: TimerService, node_id: str):
        self._network = network
        self._timers = timers
        self._node_id = node_id
        self._store = GossipStore()
        self._links: Callable[[], Iterable[str]] = tuple
        self._callbacks: dict[str, list[GossipCallback]] = {}
        self._watchers: dict[str, list[GossipCallback]] = {}
        self._checks: dict[str, list[GossipCallback]] = {}
        # item name -> nodes that have it
        self._pending: dict[tuple[str, str], set[str]] = {}
        self._mismatches: dict[str, int] = {}
        self._syncing = False
        network.handle("news", self._on_items, inline=True)
        network.handle("news.sync", self._on_sync)
        timers.subscribe("gossip expiry", EXPIRE_INTERVAL_SECONDS, self._expire)

    def __len__(self) -> int:
        return len(self._store)

    @property
    def digest(self) -> int:
        """XOR of the digests of all items that this node has."""
        return self._store.digest

    def set_links(self, links: Callable[[], Iterable[str]]) -> None:
        """Set the function that returns the ids of the nodes to send items to."""
        self._links = links

    def publish(
        self,
        topic: str,
        key: str,
        version: int,
        body: dict,
        retention_seconds: int = DEFAULT_RETENTION_SECONDS,
    ) -> None:
        """Spread an item; ``retention_seconds`` of 0 keeps it until it is replaced."""
        expires = (
            int(self._timers.wall_time()) + retention_seconds
            if retention_seconds
            else 0
        )
        item = GossipItem.make(topic, key, version, expires, body)
        self._merge(item, self._node_id)

    def subscribe(self, topic: str, callback: GossipCallback) -> None:
        """Call ``callback`` for known items, then in a new task for each new one."""
        for item in self._store.items_of_topic(topic):
            callback(item.key, item.version, item.body)
        self._callbacks.setdefault(topic, []).append(callback)

    def watch(
        self, topic: str, callback: GossipCallback, check: GossipCallback
    ) -> None:
        """Call ``callback`` for each new item, in the task that reads the frame.

        Neither function may block. Items for which ``check`` raises ProtocolError
        are not stored.
        """
        self._watchers.setdefault(topic, []).append(callback)
        self._checks.setdefault(topic, []).append(check)

    def get(self, topic: str, key: str) -> GossipItem | None:
        """Return the item of a key, or None."""
        return self._store.get(topic, key)

    def flush(self) -> None:
        """Send the pending items to the links."""
        pending, self._pending = self._pending, {}
        for node_id in self._links():
            items = [
                self._store.get(*name)
                for name, holders in pending.items()
                if node_id not in holders
            ]
            self.send(node_id, [item for item in items if item is not None])

    def send(self, node_id: str, items: list[GossipItem]) -> None:
        """Send items to one node, in frames of limited length."""
        for start in range(0, len(items), MAX_ITEMS_PER_FRAME):
            part = items[start : start + MAX_ITEMS_PER_FRAME]
            body = {"items": [item.to_message() for item in part]}
            self._network.notify(node_id, "news", body)

    def sync_if_different(self, node_id: str, count: int, digest: int) -> None:
        """Start a sync with a peer if the digest in its heartbeat differs."""
        if digest == self._store.digest:
            self._mismatches.pop(node_id, None)
            return
        mismatch_count = self._mismatches[node_id] = (
            self._mismatches.get(node_id, 0) + 1
        )
        # Items in transit can make one heartbeat differ, so the sync waits for a second
        # one. A node with few items has just started and syncs at once.
        has_fewer_items = (len(self._store), self._node_id) < (count, node_id)
        has_just_started = 2 * len(self._store) < count
        if (
            has_fewer_items
            and not self._syncing
            and (mismatch_count > 1 or has_just_started)
        ):
            self._syncing = True
            gevent.spawn(self._sync, node_id)

    def forget(self, node_id: str) -> None:
        """Reset the count of differing heartbeats of a node."""
        self._mismatches.pop(node_id, None)

    def _merge(self, item: GossipItem, source: str) -> None:
        limit = int(self._timers.wall_time()) + MAX_RETENTION_SECONDS
        if item.expires > limit:
            raise ProtocolError(
                "read gossip", source, "field expires is too far in the future"
            )
        for check in self._checks.get(item.topic, ()):
            check(item.key, item.version, item.body)
        name = (item.topic, item.key)
        held = self._store.get(*name)
        if not self._store.merge(item, self._timers.wall_time()):
            if held is not None and held.digest == item.digest:
                self._pending.get(name, set()).add(source)
            return
        GOSSIP_ITEMS.set(len(self._store))
        if not self._pending:
            self._timers.after(FLUSH_DELAY_SECONDS, self.flush)
        self._pending[name] = {source}
        for callback in self._watchers.get(item.topic, ()):
            callback(item.key, item.version, item.body)
        for callback in self._callbacks.get(item.topic, ()):
            gevent.spawn(callback, item.key, item.version, item.body)

    def _merge_messages(self, messages: object, source: str) -> list[GossipItem]:
        if type(messages) is not list:
            raise ProtocolError("read gossip", source, "field items is not a list")
        items = []
        for message in messages:
            try:
                item = GossipItem.from_message(message)
                self._merge(item, source)
                items.append(item)
            except ProtocolError as exc:
                # A node of a later release may send items that this one cannot read.
                log.warning("ignored an invalid gossip item from %s: %s", source, exc)
        return items

    def _on_items(self, node_id: str, body: dict) -> None:
        self._merge_messages(body.get("items"), node_id)

    def _sync(self, node_id: str) -> None:
        """Fetch the differing buckets of a peer and send the items that it lacks."""
        GOSSIP_SYNCS.inc()
        try:
            body = {"buckets": self._store.buckets}
            reply = self._network.call(node_id, "news.sync", body, SYNC_TIMEOUT_SECONDS)
            peer_items = self._merge_messages(reply.get("items"), node_id)
            self._send_missing(node_id, peer_items, reply.get("buckets"))
        except StepError as exc:
            log.debug("gossip sync with %s failed: %s", node_id, exc.reason)
        finally:
            self._syncing = False
            self._mismatches.pop(node_id, None)

    def _send_missing(self, node_id: str, peer_items: list, buckets: object) -> None:
        if type(buckets) is not list:
            raise ProtocolError("news.sync", node_id, "field buckets is not a list")
        held = {(item.topic, item.key): item for item in peer_items}
        missing = [
            item
            for item in self._store.in_buckets(buckets)
            if item.supersedes(held.get((item.topic, item.key)))
        ]
        self.send(node_id, missing)

    def _on_sync(self, node_id: str, body: dict) -> dict:
        """Return all items of the buckets that differ, up to a size limit."""
        peer_buckets = body.get("buckets")
        if type(peer_buckets) is not list or len(peer_buckets) != BUCKET_COUNT:
            raise ProtocolError("news.sync", node_id, "field buckets is invalid")
        own = self._store.buckets
        differing = [
            index for index in range(BUCKET_COUNT) if own[index] != peer_buckets[index]
        ]
        messages_by_bucket: dict[int, list] = {index: [] for index in differing}
        for item in self._store.in_buckets(differing):
            messages_by_bucket[item.bucket].append(item.to_message())
        buckets, messages, size = [], [], 0
        for index, part in messages_by_bucket.items():
            size += len(msgpack.packb(part))
            if buckets and size > MAX_SYNC_REPLY_BYTES:
                break
            buckets.append(index)
            messages += part
        return {"buckets": buckets, "items": messages}

    def _expire(self) -> None:
        self._store.drop_expired(self._timers.wall_time())
        GOSSIP_ITEMS.set(len(self._store))
