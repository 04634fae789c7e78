"""What a node believes of each endpoint: load, health and cached prompt parts."""

from collections import OrderedDict
from dataclasses import dataclass, field
from math import exp

from rattanwick.internal.gateway.model import Endpoint, LoadReport, PromptPart

CACHE_SHARE = 0.6  # of an engine's memory that shared parts are assumed to keep
FAILURE_WEIGHT = 0.25  # of a new outcome in an endpoint's failure rate
FAILING_RATE = 0.6  # failure rate from which an endpoint is set aside
FIRST_ASIDE_SECONDS = 1.0  # doubled at each further failure, up to the most
MOST_ASIDE_SECONDS = 8.0
RECENT_SECONDS = 3.0  # over which the load of prompts at an endpoint is measured
PEER_LOAD_SECONDS = 1.5  # age at which a peer's figures are left out
# An answer shows for so long that an endpoint is up. With 80 nodes before 45 engines
# a node hears each engine about every 18 s.
MAX_RESPONSE_AGE_SECONDS = 30.0


@dataclass(slots=True)
class PeerLoad:
    """Hold what a peer has in progress at an endpoint."""

    pending_tokens: int
    running: int
    output_tokens: int  # expected of the requests that run
    prefill_rate: float  # a second, of late
    last_heard_at: float  # monotonic seconds


@dataclass(slots=True)
class EndpointView:
    """Hold what this node believes of one endpoint."""

    endpoint: Endpoint
    cache_tokens: int = 0  # capacity for shared parts; 0 for a plain service
    pending_tokens: int = 0  # prompt tokens sent whose first event has not come
    running: int = 0  # own requests in progress
    output_tokens: int = 0  # expected of them
    prefill: "RecentRate" = field(default_factory=lambda: RecentRate())
    load: LoadReport | None = None
    failure_rate: float = 0.0
    ejected_until: float = 0.0
    ejection_seconds: float = FIRST_ASIDE_SECONDS
    answered_at: float | None = None  # None since a request was lost here
    lapsed_until: float | None = None  # last resort until then, while the store returns
    cached: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0
    peers: dict[str, PeerLoad] = field(default_factory=dict)

    def total_load(self, now: float) -> "TotalLoad":
        """Return what all nodes have in progress here, as far as this one knows."""
        return TotalLoad(self, now)

    def uncached_tokens(self, prompt: tuple[PromptPart, ...], total: int) -> int:
        """Return the prompt tokens that the endpoint is expected to read."""
        for index in range(len(prompt) - 1, -1, -1):
            if prompt[index].id in self.cached:
                kept = sum(part.tokens for part in prompt[: index + 1])
                return max(total - kept, 0)
        return total

    def note_cached(self, prompt: tuple[PromptPart, ...]) -> None:
        """Remember that the endpoint has read the parts of a prompt."""
        for part in prompt:
            self.cached_tokens -= self.cached.pop(part.id, 0)
            self.cached[part.id] = part.tokens
            self.cached_tokens += part.tokens
        while self.cached and self.cached_tokens > self.cache_tokens:
            self.cached_tokens -= self.cached.popitem(last=False)[1]

    def note_outcome(self, failed: bool, now: float) -> bool:
        """Count an outcome; tell whether the endpoint was set aside by it."""
        rate = self.failure_rate
        self.failure_rate = rate + FAILURE_WEIGHT * (float(failed) - rate)
        if not failed:
            if self.failure_rate < FAILING_RATE / 2:
                self.ejection_seconds = FIRST_ASIDE_SECONDS
            return False
        if self.failure_rate < FAILING_RATE or now < self.ejected_until:
            return False
        self.ejected_until = now + self.ejection_seconds
        self.ejection_seconds = min(2 * self.ejection_seconds, MOST_ASIDE_SECONDS)
        return True

    def responded_recently(self, now: float) -> bool:
        """Tell whether the last that was seen of the endpoint is a recent answer."""
        answered = self.answered_at
        return answered is not None and now - answered < MAX_RESPONSE_AGE_SECONDS

    def note_unreachable(self, now: float) -> None:
        """Set an endpoint aside to which no connection can be made."""
        self.answered_at = None
        self.failure_rate = 1.0
        self.ejected_until = now + self.ejection_seconds
        self.ejection_seconds = min(2 * self.ejection_seconds, MOST_ASIDE_SECONDS)


class TotalLoad:
    """Sum what all nodes have in progress at an endpoint, each sum where it is read."""

    __slots__ = ("_fresh", "_now", "_view")

    def __init__(self, view: EndpointView, now: float):
        self._view = view
        self._now = now
        limit = now - PEER_LOAD_SECONDS
        self._fresh = [
            peer for peer in view.peers.values() if peer.last_heard_at >= limit
        ]

    @property
    def backlog(self) -> int:
        """Return prompt tokens that were sent and wait."""
        return self._view.pending_tokens + sum(p.pending_tokens for p in self._fresh)

    @property
    def running(self) -> int:
        """Return requests in progress."""
        return self._view.running + sum(peer.running for peer in self._fresh)

    @property
    def output_tokens(self) -> int:
        """Return the output tokens expected of all requests in progress."""
        return self._view.output_tokens + sum(p.output_tokens for p in self._fresh)

    @property
    def prefill_rate(self) -> float:
        """Return prompt tokens a second that were sent of late."""
        own = self._view.prefill.per_second(self._now)
        return own + sum(peer.prefill_rate for peer in self._fresh)


class RecentRate:
    """Measure a rate over the last seconds, older amounts counting less."""

    __slots__ = ("_amount", "_updated")

    def __init__(self):
        self._amount = 0.0
        self._updated = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._amount = self._decayed(now) + amount
        self._updated = now

    def per_second(self, now: float) -> float:
        """Return the rate."""
        return self._decayed(now) / RECENT_SECONDS

    def _decayed(self, now: float) -> float:
        return self._amount * exp((self._updated - now) / RECENT_SECONDS)
