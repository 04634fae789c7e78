"""Estimate of the prompt prefixes that endpoints have in their cache."""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_SHARED_BLOCKS = 2048  # the same limit holds for blocks sent once
MIN_SHARED_BLOCKS = 1
# A miss shrinks the estimated size and a hit grows it, so that it settles where
# about 6 in 100 expected hits are misses.
GROWTH_ON_HIT = 1.01
GROWTH_ON_UNEXPECTED_HIT = 1.05
SHRINK_ON_MISS = 0.85


@dataclass(slots=True)
class EndpointCacheEstimate:
    """Blocks that are probably cached at one endpoint, the latest last.

    Blocks sent once are mostly the ends of prompts; they must not evict the
    blocks that prompts share.
    """

    size: float = MAX_SHARED_BLOCKS
    shared: OrderedDict[int, None] = field(default_factory=OrderedDict)
    sent_once: OrderedDict[int, None] = field(default_factory=OrderedDict)
    reports_cached_tokens: bool = False  # seen in a response

    def has(self, block: int) -> bool:
        """Return whether a block is probably cached."""
        return block in self.shared or block in self.sent_once

    def add(self, block: int) -> None:
        """Record that a block was sent."""
        if block in self.shared:
            self.shared.move_to_end(block)
        elif block in self.sent_once:
            del self.sent_once[block]
            self.shared[block] = None
        else:
            self.sent_once[block] = None

    def resize(self, factor: float) -> None:
        """Multiply the estimated size by a factor and evict blocks that do not fit."""
        size = self.size * factor
        if factor < 1:
            size = min(size, len(self.shared) * factor)
        self.size = min(max(size, MIN_SHARED_BLOCKS), MAX_SHARED_BLOCKS)
        self.evict()

    def evict(self) -> None:
        """Evict the least recently sent blocks."""
        while len(self.shared) > self.size:
            self.shared.popitem(last=False)
        while len(self.sent_once) > self.size:
            self.sent_once.popitem(last=False)


class PrefixCacheTracker:
    """Track the leading blocks that were sent to each endpoint most recently.

    Cache events arrive late and with gaps, so the size of a cache is estimated
    from the cached tokens that responses report.
    """

    def __init__(self):
        self._estimates: dict[str, EndpointCacheEstimate] = {}

    def add(self, endpoint_id: str, prefix: list[int]) -> None:
        """Record that a prompt was sent to an endpoint."""
        estimate = self._estimates.setdefault(endpoint_id, EndpointCacheEstimate())
        for block in prefix:
            estimate.add(block)
        estimate.evict()

    def cached_share(self, endpoint_id: str, prefix: list[int]) -> float:
        """Return the share of a prompt's leading blocks that is probably cached."""
        estimate = self._estimates.get(endpoint_id)
        if estimate is None or not prefix:
            return 0.0
        cached_blocks = 0
        for block in prefix:
            if not estimate.has(block):
                break
            cached_blocks += 1
        return cached_blocks / len(prefix)

    def learn(
        self, endpoint_id: str, expected_share: float, cached_tokens: int
    ) -> None:
        """Adjust the estimated size by the cached tokens that a response reports.

        ``expected_share`` is the share of the prompt that was expected to be cached.
        """
        estimate = self._estimates.setdefault(endpoint_id, EndpointCacheEstimate())
        estimate.reports_cached_tokens = (
            estimate.reports_cached_tokens or cached_tokens > 0
        )
        if not estimate.reports_cached_tokens:
            return
        if cached_tokens > 0:
            estimate.resize(
                GROWTH_ON_HIT if expected_share > 0 else GROWTH_ON_UNEXPECTED_HIT
            )
        elif expected_share > 0:
            estimate.resize(SHRINK_ON_MISS)

    def clear(self, endpoint_id: str) -> None:
        """Remove all blocks of an endpoint, after a restart or a cleared cache."""
        self._estimates.pop(endpoint_id, None)
