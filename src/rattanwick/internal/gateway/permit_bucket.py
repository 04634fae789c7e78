"""Token bucket from which one node grants the requests to a limited endpoint."""

from dataclasses import dataclass, field

# A bucket holds the permits of BURST_SECONDS, but at least MIN_BURST.
MIN_BURST = 2.0
BURST_SECONDS = 0.25
MAX_WAIT_SECONDS = 4.0  # longest wait that a node is told before it asks again
# Nodes are told to return one after the other, at this multiple of the bucket's rate.
# Some of them have no request then, and their permits go to the next ones.
RETURN_RATE_RATIO = 2.0


@dataclass(slots=True)
class PermitBucket:
    """Token bucket of one endpoint for all nodes; it starts empty.

    A node that takes over from another grantor does not know what that one has granted
    in the last seconds.
    """

    updated: float  # seconds of the clock that ``now`` is read from
    level: float = 0.0
    # By node id: time at which the node was told to ask again.
    _due: dict[str, float] = field(default_factory=dict)

    def grant(
        self, node_id: str, count: int, rate: float, now: float
    ) -> tuple[int, float]:
        """Return the permits granted, and the seconds until the node may ask again.

        ``count`` is the number that it asks for and ``rate`` the tokens per second.
        """
        burst = max(MIN_BURST, BURST_SECONDS * rate)
        elapsed = max(now - self.updated, 0.0)
        self.level = min(burst, self.level + elapsed * rate)
        self.updated = now
        granted = min(count, int(self.level))
        self.level -= granted
        self._due = {
            other: due
            for other, due in self._due.items()
            if due > now and other != node_id
        }
        if self.level >= 1.0:
            return granted, 0.0
        due = now + (1.0 - self.level) / rate
        if self._due:
            due = max(due, max(self._due.values()) + 1.0 / (RETURN_RATE_RATIO * rate))
        wait = min(due - now, MAX_WAIT_SECONDS)
        self._due[node_id] = now + wait
        return granted, wait
