"""Prompt parts that are known to crash endpoints, and whose requests are refused."""

from collections import OrderedDict
from dataclasses import dataclass
from hashlib import blake2b

from rattanwick.internal.gateway.crash_evidence import Culprit

# A block is kept for this time after the last request that it refused. An ended one is
# kept too, so that old messages do not bring it back.
BLOCK_RETENTION_SECONDS = 600.0
MAX_BLOCKS = 500
MAX_NAMED = 8  # endpoints and nodes named as evidence
DIGEST_BYTES = 6  # peers check that integers are below 2**53


@dataclass(slots=True)
class Block:
    """Refusal of requests whose prompts hold certain parts.

    Nodes merge what they know of a block: its parts can only become fewer, its
    organisations only more. So the order of messages does not matter, and a block that
    has ended stays so.
    """

    id: str
    # A request is refused if it holds all of them. None remain once all were answered.
    parts: frozenset[str]
    # Whose requests crashed endpoints. With two of them, the block holds for all; one
    # alone can not get others' requests refused.
    organisations: frozenset[str]
    crashes: int
    endpoints: tuple[str, ...]  # that crashed
    nodes: tuple[str, ...]  # that reported the crashes
    made_at: float  # monotonic seconds
    used_at: float  # last refusal or change, in monotonic seconds
    trials: int = 0  # requests that were let through to see whether it still holds
    saved: bool = False  # whether it is in the store

    @property
    def ended(self) -> bool:
        """Return whether the block refuses nothing any more."""
        return not self.parts

    def covers(self, organisation: str, parts: frozenset[str]) -> bool:
        """Return whether a request is refused."""
        if not self.parts or not self.parts <= parts:
            return False
        return len(self.organisations) > 1 or organisation in self.organisations

    def content(self) -> tuple:
        """Return what nodes must agree on."""
        return self.parts, self.organisations, self.trials

    def merge(self, other: "Block") -> bool:
        """Take over what another copy knows and return whether this one changed."""
        before = self.content()
        self.parts &= other.parts
        self.organisations |= other.organisations
        self.trials = max(self.trials, other.trials)
        self.crashes = max(self.crashes, other.crashes)
        self.used_at = max(self.used_at, other.used_at)
        self.made_at = min(self.made_at, other.made_at)
        self.saved = self.saved or other.saved
        return self.content() != before


def make_block(culprit: Culprit, generation: int, now: float) -> Block:
    """Return a block; its id depends on the parts and the generation only.

    So nodes that reach the same conclusion at the same time make the same block.
    """
    text = "\n".join((*sorted(culprit.parts), str(generation)))
    endpoints = tuple(crash.endpoint_id for crash in culprit.crashes)
    nodes = sorted({node for crash in culprit.crashes for node in crash.nodes})
    return Block(
        id=blake2b(text.encode(), digest_size=8).hexdigest(),
        parts=culprit.parts,
        organisations=culprit.organisations,
        crashes=len(culprit.crashes),
        endpoints=endpoints[-MAX_NAMED:],
        nodes=tuple(nodes[:MAX_NAMED]),
        made_at=now,
        used_at=now,
    )


class BlockedParts:
    """Blocks that this node knows, by id, the least recently changed first."""

    def __init__(self):
        self._blocks: OrderedDict[str, Block] = OrderedDict()
        self._digest: int | None = 0

    def all(self) -> list[Block]:
        """Return all blocks, including ended ones."""
        return list(self._blocks.values())

    def get(self, block_id: str) -> Block | None:
        """Return the block with an id, or None."""
        return self._blocks.get(block_id)

    def find(self, organisation: str, parts: frozenset[str]) -> Block | None:
        """Return the block that refuses a request, or None.

        Of several, it is the one with the fewest parts; all nodes name the same.
        """
        covering = [b for b in self._blocks.values() if b.covers(organisation, parts)]
        return min(covering, key=_precedence, default=None)

    def is_redundant(self, block: Block) -> bool:
        """Return whether another block refuses the same requests, and goes first."""
        return any(
            other.parts
            and other.parts <= block.parts
            and _precedence(other) < _precedence(block)
            for other in self._blocks.values()
        )

    def make(self, culprit: Culprit, now: float) -> Block:
        """Return a block for a culprit, with the id of one in force if there is one.

        A block that has ended is not used again.
        """
        generation = 0
        while True:
            block = make_block(culprit, generation, now)
            known = self._blocks.get(block.id)
            if known is None or not known.ended:
                return block
            generation += 1

    def find_within(self, culprit: Culprit) -> Block | None:
        """Return a block that refuses all requests with a culprit's parts, or None."""
        for block in self._blocks.values():
            if all(block.covers(o, culprit.parts) for o in culprit.organisations):
                return block
        return None

    def put(self, block: Block, now: float) -> Block | None:
        """Add a block or merge it with the known copy; return it if that changed it."""
        if now - block.used_at >= BLOCK_RETENTION_SECONDS:
            return None
        known = self._blocks.get(block.id)
        if known is None:
            self._blocks[block.id] = known = block
            self._drop_excess()
        elif not known.merge(block):
            return None
        self.note_changed(known)
        return known

    def note_changed(self, block: Block) -> None:
        """Record that the content of a block has changed."""
        self._blocks.move_to_end(block.id)
        self._digest = None

    def expire(self, now: float) -> list[Block]:
        """Remove and return the blocks that were not used for the retention time."""
        expired = [
            block
            for block in self._blocks.values()
            if now - block.used_at >= BLOCK_RETENTION_SECONDS
        ]
        for block in expired:
            del self._blocks[block.id]
            self._digest = None
        return expired

    def digest(self) -> int:
        """Return a number that is equal at nodes which know the same; 0 for nothing."""
        if self._digest is None:
            self._digest = self._compute_digest() if self._blocks else 0
        return self._digest

    def _compute_digest(self) -> int:
        text = "\n".join(
            f"{block.id} {sorted(block.parts)} {sorted(block.organisations)} "
            f"{block.trials}"
            for _, block in sorted(self._blocks.items())
        )
        digest = blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
        return int.from_bytes(digest, "big")

    def _drop_excess(self) -> None:
        while len(self._blocks) > MAX_BLOCKS:
            ended = next((b.id for b in self._blocks.values() if b.ended), None)
            self._blocks.pop(ended or next(iter(self._blocks)))


def _precedence(block: Block) -> tuple[int, str]:
    return len(block.parts), block.id
