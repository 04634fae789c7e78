"""Limits of organisations, shared by all nodes without a call per request.

Each node keeps the bucket of the whole deployment, charges it with its own
requests and with what its peers tell of theirs. While peers are silent, the
bucket refills only by the share of the nodes that it hears.

A request is admitted where the bucket covers its cost twice, but for a reserve. So when
little is left, the small requests of an organisation go before its large ones, and one
large request does not keep them out.
"""

from dataclasses import dataclass, field

from rattanwick.internal.gateway.model import Call, Organisation

RESTART_SHARE = 0.25  # of a burst that a restarted node assumes to be left
MIN_RETURN_SECONDS = 0.05  # shortest time after which a refused caller is asked back
# Of the deviation that the deployment allows in a window. The rest is left for what
# nodes admit at the same time, and for nodes that are cut off from each other.
RESERVE_SHARE = 0.25
COVER = 2.0  # times that a bucket must cover a cost, so that small requests go first
MOST_NEEDED_SHARE = 0.5  # of a burst, which any request finds again under small ones
LOW_SHARE = 0.5  # of a burst, below which spending is told at once


def cost_of(organisation: Organisation, call: Call) -> float:
    """Return what a request is charged, in the unit of the limit."""
    if not organisation.counts_tokens:
        return 1.0
    if call.input_tokens is None or call.output_tokens is None:
        return float(organisation.default_tokens)
    return float(call.input_tokens + call.output_tokens)


@dataclass(slots=True)
class _Bucket:
    org: Organisation
    level: float
    updated: float  # monotonic seconds
    spent: float = 0.0  # by this node since its start
    peers: dict[tuple[str, int], float] = field(default_factory=dict)

    def refill(self, share: float, now: float) -> None:
        gained = (now - self.updated) * self.org.rate * share
        self.level = min(self.org.burst, self.level + gained)
        self.updated = now


class SharedRateLimiter:
    """Admit requests of organisations within their limits."""

    def __init__(self, first_start: bool, slack: float = 0.0):
        """``slack`` is what may be spent beside the limits, in their unit."""
        self._first_share = 1.0 if first_start else RESTART_SHARE
        self._reserve = RESERVE_SHARE * slack
        self._buckets: dict[str, _Bucket] = {}
        self._share = 1.0

    def configure(self, organisations: tuple[Organisation, ...], now: float) -> None:
        """Take the limits of a configuration; buckets keep their levels."""
        limited = {org.name: org for org in organisations if org.rate > 0}
        for name in self._buckets.keys() - limited.keys():
            del self._buckets[name]
        for name, org in limited.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                level = org.burst * self._first_share
                self._buckets[name] = _Bucket(org, level, now)
            else:
                bucket.refill(self._share, now)
                bucket.org = org
                bucket.level = min(bucket.level, org.burst)

    def set_share(self, heard: int, known: int, now: float) -> None:
        """Set the share of the nodes that this node hears, itself included."""
        share = min(1.0, heard / max(known, 1))
        if share != self._share:
            for bucket in self._buckets.values():
                bucket.refill(self._share, now)
            self._share = share

    def admit(self, organisation: str, cost: float, now: float) -> float | None:
        """Charge a request; return seconds to come back after where it is refused."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return None
        bucket.refill(self._share, now)
        # A large request may overdraw the bucket: it would otherwise be refused for
        # ever, under a limit below its size or among many small requests.
        covered = min(COVER * cost, MOST_NEEDED_SHARE * bucket.org.burst)
        needed = covered - self._reserve * self._share
        if bucket.level < needed:
            rate = bucket.org.rate * self._share
            return max(MIN_RETURN_SECONDS, (needed - bucket.level) / rate)
        bucket.level -= cost
        bucket.spent += cost
        return None

    def refund(self, organisation: str, cost: float) -> None:
        """Give back the charge of a request that surely did not run."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            bucket.level = min(bucket.org.burst, bucket.level + cost)
            bucket.spent -= cost

    def level(self, organisation: str) -> float | None:
        """Return what is left of an organisation's limit, as last computed."""
        bucket = self._buckets.get(organisation)
        return bucket.level if bucket else None

    def spent(self, now: float) -> dict[str, list[float]]:
        """Return, for each organisation, what this node spent and what is left."""
        for bucket in self._buckets.values():
            bucket.refill(self._share, now)
        return {
            name: [round(bucket.spent), round(bucket.level)]
            for name, bucket in self._buckets.items()
        }

    def spent_near_limit(self, now: float) -> dict[str, list[float]]:
        """Return spending as ``spent`` does, where little of a limit is left."""
        return {
            name: figures
            for name, figures in self.spent(now).items()
            if figures[1] < LOW_SHARE * self._buckets[name].org.burst
        }

    def update_from_peer(
        self,
        peer: tuple[str, int],
        figures: dict[str, list[float]],
        now: float,
        started_later: bool = False,
    ) -> None:
        """Charge what a peer has spent since it was last heard.

        ``started_later`` tells that its process started after this one. All that it
        has spent is charged then, and its level is left aside: levels differ by what
        is under way between nodes, and taking the lower one at each of many restarts
        had brought all nodes far below what was left.
        """
        for name, (spent, level) in figures.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                continue
            bucket.refill(self._share, now)
            # A peer may be heard before this node knows of the limit.
            first = peer not in bucket.peers
            if first and not started_later:
                # What the peer spent before is part of its level.
                bucket.level = min(bucket.level, level)
            else:
                bucket.level -= spent - bucket.peers.get(peer, 0.0)
            bucket.peers[peer] = spent
