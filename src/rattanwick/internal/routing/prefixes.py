"""View of the prompt prefixes that endpoints probably have in their cache."""

from collections import OrderedDict

MAX_BLOCKS_PER_ENDPOINT = 4096


class PrefixView:
    """Remember the leading blocks sent to each endpoint, the latest ones."""

    def __init__(self):
        self._blocks: dict[str, OrderedDict[int, None]] = {}

    def add(self, endpoint_id: str, prefix: list[int]) -> None:
        """Note that a prompt was sent to an endpoint."""
        blocks = self._blocks.setdefault(endpoint_id, OrderedDict())
        for block in prefix:
            blocks[block] = None
            blocks.move_to_end(block)
        while len(blocks) > MAX_BLOCKS_PER_ENDPOINT:
            blocks.popitem(last=False)

    def cached_share(self, endpoint_id: str, prefix: list[int]) -> float:
        """Return the part of a prompt's leading blocks that is probably cached."""
        blocks = self._blocks.get(endpoint_id)
        if not blocks or not prefix:
            return 0.0
        known = 0
        for block in prefix:
            if block not in blocks:
                break
            known += 1
        return known / len(prefix)

    def forget(self, endpoint_id: str, prefix: list[int]) -> None:
        """Drop blocks that the endpoint turned out not to have."""
        blocks = self._blocks.get(endpoint_id, {})
        for block in prefix:
            blocks.pop(block, None)

    def clear(self, endpoint_id: str) -> None:
        """Drop all blocks of an endpoint, after a restart or a lost cache event."""
        self._blocks.pop(endpoint_id, None)
