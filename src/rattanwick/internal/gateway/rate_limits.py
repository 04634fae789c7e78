"""Rate limits of organisations, shared by all nodes without a call per request.

Each node keeps a token bucket for the whole deployment, and charges it with its own
requests and with those that its peers report. While peers are silent, the bucket is
refilled only by the share of the nodes whose state arrives.

A request is admitted if the bucket, plus a reserve, covers its cost twice. So when
little is left, small requests of an organisation are admitted before its large ones,
and one large request does not keep them out.
"""

from dataclasses import dataclass, field

from rattanwick.internal.gateway.model import Call, Organisation

# Share of the burst that a restarted node assumes to be left in a bucket.
RESTART_LEVEL_SHARE = 0.25
MIN_RETRY_AFTER_SECONDS = 0.05  # shortest Retry-After of a refused caller
# The deployment allows an excess over a limit in each window. Each node lowers the
# level that a request needs by this share of the excess. The rest is left for requests
# that several nodes admit at the same time, and for nodes that are disconnected from
# each other.
RESERVE_SHARE = 0.25
# A bucket must hold this multiple of a cost, so that small requests are admitted first.
COVER_FACTOR = 2.0
# A bucket that holds this share of its burst admits a request of any size, because it
# reaches that level again while small requests are admitted.
MAX_NEEDED_SHARE = 0.5
# Spending from a bucket below this share of its burst is sent to peers at once.
LOW_LEVEL_SHARE = 0.5


def cost_of(organisation: Organisation, call: Call) -> float:
    """Return the charge for a request, in the unit of the limit."""
    if not organisation.counts_tokens:
        return 1.0
    if call.input_tokens is None or call.output_tokens is None:
        return float(organisation.default_tokens)
    return float(call.input_tokens + call.output_tokens)


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one organisation for the whole deployment."""

    org: Organisation
    level: float
    updated: float  # monotonic seconds
    spent: float = 0.0  # by this node since its start
    # By node id and process start (``boot``): spent by the peer, as last reported.
    peers: dict[tuple[str, int], float] = field(default_factory=dict)

    def refill(self, share: float, now: float) -> None:
        refilled = (now - self.updated) * self.org.rate * share
        self.level = min(self.org.burst, self.level + refilled)
        self.updated = now


class SharedRateLimiter:
    """Token buckets of organisations, shared by all nodes.

    Amounts are in the unit of an organisation's limit: requests or tokens.
    """

    def __init__(self, first_start: bool, slack: float = 0.0):
        """``slack`` is the excess over a limit that is allowed in a window."""
        self._initial_share = 1.0 if first_start else RESTART_LEVEL_SHARE
        self._reserve = RESERVE_SHARE * slack
        self._buckets: dict[str, _Bucket] = {}
        self._share = 1.0

    def configure(self, organisations: tuple[Organisation, ...], now: float) -> None:
        """Apply the limits of a configuration; buckets keep their levels."""
        limited_orgs = {org.name: org for org in organisations if org.rate > 0}
        for name in self._buckets.keys() - limited_orgs.keys():
            del self._buckets[name]
        for name, org in limited_orgs.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                level = org.burst * self._initial_share
                self._buckets[name] = _Bucket(org, level, now)
            else:
                bucket.refill(self._share, now)
                bucket.org = org
                bucket.level = min(bucket.level, org.burst)

    def set_share(self, live_nodes: int, known_nodes: int, now: float) -> None:
        """Set the share of refills: live nodes (with this one) of the known ones."""
        share = min(1.0, live_nodes / max(known_nodes, 1))
        if share != self._share:
            for bucket in self._buckets.values():
                bucket.refill(self._share, now)
            self._share = share

    def admit(self, organisation: str, cost: float, now: float) -> float | None:
        """Charge a request, or return the seconds to wait if it is refused."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return None
        bucket.refill(self._share, now)
        # A large request may overdraw the bucket. Otherwise it would never be admitted
        # if the limit is below its size or there are many small requests.
        required = min(COVER_FACTOR * cost, MAX_NEEDED_SHARE * bucket.org.burst)
        needed = required - self._reserve * self._share
        if bucket.level < needed:
            rate = bucket.org.rate * self._share
            return max(MIN_RETRY_AFTER_SECONDS, (needed - bucket.level) / rate)
        bucket.level -= cost
        bucket.spent += cost
        return None

    def refund(self, organisation: str, cost: float) -> None:
        """Refund the charge of a request that certainly did not run."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            bucket.level = min(bucket.org.burst, bucket.level + cost)
            bucket.spent -= cost

    def level(self, organisation: str) -> float | None:
        """Return the last level of an organisation's bucket, or None if unlimited."""
        bucket = self._buckets.get(organisation)
        return bucket.level if bucket else None

    def spent(self, now: float) -> dict[str, list[float]]:
        """Return [spent by this node, level of the bucket] by organisation."""
        for bucket in self._buckets.values():
            bucket.refill(self._share, now)
        return {
            name: [round(bucket.spent), round(bucket.level)]
            for name, bucket in self._buckets.items()
        }

    def spent_near_limit(self, now: float) -> dict[str, list[float]]:
        """Return ``spent`` for the buckets below ``LOW_LEVEL_SHARE`` of their burst."""
        return {
            name: figures
            for name, figures in self.spent(now).items()
            if figures[1] < LOW_LEVEL_SHARE * self._buckets[name].org.burst
        }

    def update_from_peer(
        self,
        peer: tuple[str, int],
        figures: dict[str, list[float]],
        now: float,
        started_later: bool = False,
    ) -> None:
        """Charge what a peer has spent since its last message.

        ``peer`` is its node id and process start, ``figures`` what its ``spent``
        returned. ``started_later`` states that its process started after this one. All
        that it has spent is then charged, and its level is ignored. Levels differ by
        the spending that nodes have not yet sent each other, and taking the lower level
        at each of many restarts made all levels far too low.
        """
        for name, (spent, level) in figures.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                continue
            bucket.refill(self._share, now)
            # A peer may send its state before this node knows the limit.
            first = peer not in bucket.peers
            if first and not started_later:
                # The peer's level already includes what it has spent.
                bucket.level = min(bucket.level, level)
            else:
                bucket.level -= spent - bucket.peers.get(peer, 0.0)
            bucket.peers[peer] = spent
