"""Memory for the bodies of messages, shared by all requests of a node."""

from collections import Counter

from rattanwick.internal.base.metrics import counter, gauge

MIB = 1 << 20
# Bytes of each body that are not counted, so that a small one always has room.
UNCOUNTED_BYTES = 65_536
# Share of a budget that the bodies of one peer may take.
PEER_SHARE = 0.25

held_bytes = gauge("body_bytes", "Bytes of bodies held, by sender", ("sender",))
rejected_total = counter(
    "bodies_over_memory", "Bodies rejected for want of memory, by sender", ("sender",)
)


class OutOfBodyMemory(Exception):
    """The memory for bodies of a node, or the part of one peer, is used up."""


class BodyMemory:
    """Budget for the bodies that a node holds at a time.

    ``sender`` names the kind of peer in metrics. One peer may take ``peer_share`` of
    ``size`` bytes.
    """

    __slots__ = ("_by_peer", "_gauge", "_rejected", "peer_size", "size", "used")

    def __init__(self, sender: str, size: int, peer_share: float = PEER_SHARE):
        self.size = size
        self.peer_size = int(size * peer_share)
        self.used = 0
        self._by_peer: Counter[str] = Counter()
        self._gauge = held_bytes.labels(sender)
        self._rejected = rejected_total.labels(sender)

    def hold(self, peer: str) -> "HeldBody":
        """Return the account of a new body from a peer."""
        return HeldBody(self, peer)

    def take(self, peer: str, size: int) -> None:
        """Take bytes; raise OutOfBodyMemory if they are not available."""
        in_use = self._by_peer[peer]
        if self.used + size > self.size or in_use + size > self.peer_size:
            self._rejected.inc()
            raise OutOfBodyMemory(
                f"no memory for the body: {self.used / MIB:.1f} of "
                f"{self.size / MIB:.1f} MiB in use, {in_use / MIB:.1f} of "
                f"{self.peer_size / MIB:.1f} MiB by this peer"
            )
        self._add(peer, size)

    def give_back(self, peer: str, size: int) -> None:
        """Return bytes that were taken."""
        self._add(peer, -size)
        if not self._by_peer[peer]:
            del self._by_peer[peer]

    def _add(self, peer: str, size: int) -> None:
        self.used += size
        self._by_peer[peer] += size
        self._gauge.set(self.used)


class HeldBody:
    """Account of the bytes of one body."""

    __slots__ = ("_counted", "_memory", "_peer")

    def __init__(self, memory: BodyMemory, peer: str):
        self._memory = memory
        self._peer = peer
        self._counted = 0

    def resize(self, size: int) -> None:
        """Set the size of the body; raise OutOfBodyMemory if it has no room."""
        counted = max(size - UNCOUNTED_BYTES, 0)
        if counted > self._counted:
            self._memory.take(self._peer, counted - self._counted)
        elif counted < self._counted:
            self._memory.give_back(self._peer, self._counted - counted)
        self._counted = counted

    def release(self) -> None:
        """Return all bytes of the body."""
        self.resize(0)
