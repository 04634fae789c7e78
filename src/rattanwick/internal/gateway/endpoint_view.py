"""State of each endpoint as a node knows it: load, health, cached prompt parts."""

from collections import OrderedDict
from dataclasses import dataclass, field
from math import exp

from rattanwick.internal.gateway.model import Endpoint, LoadReport, PromptPart

CACHE_SHARE = 0.6  # share of an engine's memory assumed to hold shared prompt parts
FAILURE_WEIGHT = 0.25  # weight of the latest outcome in an endpoint's failure rate
EJECTION_FAILURE_RATE = 0.6  # failure rate from which an endpoint is ejected
INITIAL_EJECTION_SECONDS = 1.0  # doubled at each further ejection, up to the maximum
MAX_EJECTION_SECONDS = 8.0
# A refused connection costs a caller nothing, and the process may be back at any time.
MAX_REFUSED_EJECTION_SECONDS = 2.0
RATE_TIME_CONSTANT_SECONDS = 3.0  # time constant of the decaying average in RecentRate
MAX_PEER_LOAD_AGE_SECONDS = 1.5  # older loads of a peer are not counted
# An endpoint counts as up for this time after a response. With 80 nodes and 45 engines,
# a node gets a response from each engine about every 18 s.
MAX_RESPONSE_AGE_SECONDS = 30.0


@dataclass(slots=True)
class PeerLoad:
    """Load of one peer's requests at an endpoint."""

    pending_tokens: int  # prompt tokens of requests without a first event
    running: int  # requests in progress
    output_tokens: int  # expected output of the requests in progress
    prefill_rate: float  # recent prompt tokens per second
    last_heard_at: float  # arrival of this load, in monotonic seconds


@dataclass(slots=True)
class EndpointView:
    """State of one endpoint as this node knows it."""

    endpoint: Endpoint
    cache_capacity_tokens: int = 0  # capacity for shared parts; 0 for a plain service
    # Of this node's own requests at the endpoint: prompt tokens of those without a
    # first event, the number in progress, and their expected output tokens.
    pending_tokens: int = 0
    running: int = 0
    output_tokens: int = 0
    prefill: "RecentRate" = field(default_factory=lambda: RecentRate())
    load: LoadReport | None = None
    failure_rate: float = 0.0
    ejected_until: float = 0.0  # monotonic seconds
    ejection_seconds: float = INITIAL_EJECTION_SECONDS  # duration of the next ejection
    # Monotonic seconds; None before the first response, and again after a request was
    # lost or no connection was accepted.
    last_response_at: float | None = None
    # Set if the endpoint's entry expired while the store was unavailable. Until this
    # time, in monotonic seconds, the endpoint is used only as a last resort.
    last_resort_until: float | None = None
    # The endpoint has asked this node to send nothing until then, in monotonic seconds.
    rests_until: float = 0.0
    # Tokens of the prompt parts assumed to be cached, by part id, oldest first.
    cached: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0  # sum of ``cached``
    peers: dict[str, PeerLoad] = field(default_factory=dict)  # by node id

    def is_resting(self, now: float) -> bool:
        """Return whether the endpoint has asked this node to send nothing now."""
        return now < self.rests_until

    def total_load(self, now: float) -> "TotalLoad":
        """Return the load of all nodes' requests here, as this node knows it."""
        return TotalLoad(self, now)

    def uncached_tokens(self, prompt: tuple[PromptPart, ...], total: int) -> int:
        """Return the tokens of a prompt that the endpoint has not cached.

        ``total`` is the tokens of the whole prompt.
        """
        for index in range(len(prompt) - 1, -1, -1):
            if prompt[index].id in self.cached:
                cached_tokens = sum(part.tokens for part in prompt[: index + 1])
                return max(total - cached_tokens, 0)
        return total

    def note_cached(self, prompt: tuple[PromptPart, ...]) -> None:
        """Record that the endpoint has cached the parts of a prompt.

        Beyond the capacity, the least recently used parts are dropped.
        """
        for part in prompt:
            self.cached_tokens -= self.cached.pop(part.id, 0)
            self.cached[part.id] = part.tokens
            self.cached_tokens += part.tokens
        while self.cached and self.cached_tokens > self.cache_capacity_tokens:
            self.cached_tokens -= self.cached.popitem(last=False)[1]

    def note_outcome(self, failed: bool, now: float) -> bool:
        """Count an outcome and return whether it ejects the endpoint."""
        rate = self.failure_rate
        self.failure_rate = rate + FAILURE_WEIGHT * (float(failed) - rate)
        if not failed:
            if self.failure_rate < EJECTION_FAILURE_RATE / 2:
                self.ejection_seconds = INITIAL_EJECTION_SECONDS
            return False
        if self.failure_rate < EJECTION_FAILURE_RATE or now < self.ejected_until:
            return False
        self.ejected_until = now + self.ejection_seconds
        self.ejection_seconds = min(2 * self.ejection_seconds, MAX_EJECTION_SECONDS)
        return True

    def responded_recently(self, now: float) -> bool:
        """Return whether the endpoint responded recently and lost no request since."""
        last = self.last_response_at
        return last is not None and now - last < MAX_RESPONSE_AGE_SECONDS

    def note_unreachable(self, now: float, refused: bool = False) -> None:
        """Eject the endpoint because it accepts no connection.

        ``refused`` states that the connection was refused, not just unanswered.
        """
        self.last_response_at = None
        self.failure_rate = 1.0
        longest = MAX_REFUSED_EJECTION_SECONDS if refused else MAX_EJECTION_SECONDS
        self.ejected_until = now + min(self.ejection_seconds, longest)
        self.ejection_seconds = min(2 * self.ejection_seconds, longest)


class TotalLoad:
    """Load of all nodes' requests at an endpoint; each sum is computed when read."""

    __slots__ = ("_fresh", "_now", "_view")

    def __init__(self, view: EndpointView, now: float):
        self._view = view
        self._now = now
        limit = now - MAX_PEER_LOAD_AGE_SECONDS
        self._fresh = [
            peer for peer in view.peers.values() if peer.last_heard_at >= limit
        ]

    @property
    def pending_tokens(self) -> int:
        """Return the prompt tokens of the requests without a first event."""
        return self._view.pending_tokens + sum(p.pending_tokens for p in self._fresh)

    @property
    def running(self) -> int:
        """Return the number of requests in progress."""
        return self._view.running + sum(peer.running for peer in self._fresh)

    @property
    def output_tokens(self) -> int:
        """Return the output tokens expected of all requests in progress."""
        return self._view.output_tokens + sum(p.output_tokens for p in self._fresh)

    @property
    def prefill_rate(self) -> float:
        """Return the recent prompt tokens per second."""
        own = self._view.prefill.per_second(self._now)
        return own + sum(peer.prefill_rate for peer in self._fresh)


class RecentRate:
    """Amount per second as an average with exponential decay."""

    __slots__ = ("_amount", "_updated")

    def __init__(self):
        self._amount = 0.0
        self._updated = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at a time in monotonic seconds."""
        self._amount = self._decayed(now) + amount
        self._updated = now

    def per_second(self, now: float) -> float:
        """Return the rate at a time in monotonic seconds."""
        return self._decayed(now) / RATE_TIME_CONSTANT_SECONDS

    def _decayed(self, now: float) -> float:
        return self._amount * exp((self._updated - now) / RATE_TIME_CONSTANT_SECONDS)
