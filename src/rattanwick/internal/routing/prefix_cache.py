"""View of the prompt prefixes that endpoints probably have in their cache."""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_SHARED_BLOCKS = 2048  # and as many that were sent once
MIN_SHARED_BLOCKS = 1
# A miss shrinks the believed size and a hit grows it, so that it settles where
# about 6 in 100 expected hits are misses.
GROWTH_ON_HIT = 1.01
GROWTH_ON_SURPRISE = 1.05
SHRINK_ON_MISS = 0.85


@dataclass(slots=True)
class CacheView:
    """Hold the blocks believed to be cached at one endpoint, the latest last.

    Blocks sent once are mostly the ends of prompts; they must not push out the
    blocks that prompts share.
    """

    size: float = MAX_SHARED_BLOCKS
    shared: OrderedDict[int, None] = field(default_factory=OrderedDict)
    once: OrderedDict[int, None] = field(default_factory=OrderedDict)
    reports: bool = False  # the endpoint tells how many tokens were cached

    def has(self, block: int) -> bool:
        """Tell whether a block is believed to be cached."""
        return block in self.shared or block in self.once

    def add(self, block: int) -> None:
        """Note that a block was sent."""
        if block in self.shared:
            self.shared.move_to_end(block)
        elif block in self.once:
            del self.once[block]
            self.shared[block] = None
        else:
            self.once[block] = None

    def resize(self, factor: float) -> None:
        """Change the believed size and drop what does not fit."""
        size = self.size * factor
        if factor < 1:
            size = min(size, len(self.shared) * factor)
        self.size = min(max(size, MIN_SHARED_BLOCKS), MAX_SHARED_BLOCKS)
        self.trim()

    def trim(self) -> None:
        """Drop the blocks used longest ago."""
        while len(self.shared) > self.size:
            self.shared.popitem(last=False)
        while len(self.once) > self.size:
            self.once.popitem(last=False)


class PrefixCacheTracker:
    """Remember the leading blocks sent to each endpoint, the latest ones.

    Cache events come late and with gaps, so the size of a cache is learned from
    the cached tokens that answers report.
    """

    def __init__(self):
        self._views: dict[str, CacheView] = {}

    def add(self, endpoint_id: str, prefix: list[int]) -> None:
        """Note that a prompt was sent to an endpoint."""
        view = self._views.setdefault(endpoint_id, CacheView())
        for block in prefix:
            view.add(block)
        view.trim()

    def cached_share(self, endpoint_id: str, prefix: list[int]) -> float:
        """Return the part of a prompt's leading blocks that is probably cached."""
        view = self._views.get(endpoint_id)
        if view is None or not prefix:
            return 0.0
        known = 0
        for block in prefix:
            if not view.has(block):
                break
            known += 1
        return known / len(prefix)

    def learn(self, endpoint_id: str, expected: float, cached_tokens: int) -> None:
        """Adjust the believed size by what an answer reports."""
        view = self._views.setdefault(endpoint_id, CacheView())
        view.reports = view.reports or cached_tokens > 0
        if not view.reports:
            return
        if cached_tokens > 0:
            view.resize(GROWTH_ON_HIT if expected > 0 else GROWTH_ON_SURPRISE)
        elif expected > 0:
            view.resize(SHRINK_ON_MISS)

    def clear(self, endpoint_id: str) -> None:
        """Drop all blocks of an endpoint, after a restart or a cleared cache."""
        self._views.pop(endpoint_id, None)
