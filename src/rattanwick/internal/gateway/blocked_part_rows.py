"""Blocked prompt parts in the store, where they outlast every node."""

from msgpack import packb, unpackb

from rattanwick.internal.base.errors import Conflict, StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.blocked_parts import Block
from rattanwick.internal.gateway.interfaces import (
    NO_VERSION,
    RowStore,
    StoredRow,
    Version,
)
from rattanwick.internal.gateway.node_state import NodeState
from rattanwick.internal.gateway.shapes import Amount, matches

log = get_logger("parts")

BLOCK_TABLE = "blocked_parts"
SAVE_INTERVAL_SECONDS = 0.5
# The node that made a block saves it. After this time, any node may have to.
MAX_UNSAVED_SECONDS = 3.0
# Time from a block, or from its last trial, to the next one. A trial of a part that
# does crash endpoints costs one of them, so there are few.
TRIAL_DELAYS_SECONDS = (30.0, 300.0)
MAX_SAVE_ATTEMPTS = 3  # against conflicting writes, until the next interval
# Parts, organisations, crashes, endpoints, nodes, times made and used in Unix seconds,
# trials.
ROW_SHAPE = ([str], [str], Amount(int), [str], [str], float, float, Amount(int))


class BlockRows:
    """Reader and writer of the rows, one for each block."""

    def __init__(self, state: NodeState, store: RowStore):
        self._state = state
        self._guard = state.part_guard
        self._store = store
        self._versions: dict[str, Version] = {}  # of the rows, by block id
        self._saving = False
        self._era = 0  # latest era of the store that this node has seen
        # Whether rows that a return of the store may have lost have yet to be compared
        # with the blocks that this node knows.
        self._must_compare = False

    def start(self) -> None:
        """Start saving blocks."""
        self._state.timers.subscribe("parts.save", SAVE_INTERVAL_SECONDS, self.step)

    def load(self) -> bool:
        """Apply all rows; return False if the store does not answer."""
        try:
            rows = self._store.read(BLOCK_TABLE).rows
        except StepError as exc:
            log.info("blocks not read", extra={"error": str(exc)})
            return False
        for row in rows:
            self._apply(row)
        return True

    def step(self) -> None:
        """Save changed blocks, remove rows of expired ones, and start due trials."""
        if self._saving:
            return
        self._saving = True
        try:
            is_first = self._is_first()
            self._note_era()
            if is_first and self._must_compare:
                self._compare_rows()
            for block in self._guard.expire():
                if is_first and block.saved:
                    self._remove(block)
            for block in self._guard.blocks.all():
                if self._must_save(block, is_first):
                    self._save(block)
                if is_first and self._is_trial_due(block):
                    self._start_trial(block)
        finally:
            self._saving = False

    def _note_era(self) -> None:
        """Forget the versions of rows when the store has returned with older ones."""
        era = self._store.era
        if era <= self._era:
            return
        if self._era > 0:
            self._versions.clear()
            self._must_compare = True
        self._era = era

    def _compare_rows(self) -> None:
        """Mark blocks as unsaved whose rows are missing or older in a new era."""
        known = self._guard.blocks.all()
        if not known:
            return
        try:
            rows = self._store.read(BLOCK_TABLE).rows
        except StepError as exc:
            log.info("blocks not read", extra={"error": str(exc)})
            return
        found = {}
        for row in rows:
            block = self._apply(row)
            if block is not None:
                found[block.id] = block.content()
        lost = [b.id for b in known if found.get(b.id) != b.content()]
        self._guard.unsaved.update(lost)
        self._must_compare = False
        log.info(
            "blocks compared in a new era of the store",
            extra={"era": self._era, "known": len(known), "written_again": lost},
        )

    def _is_first(self) -> bool:
        """Return whether this node does what one node has to do."""
        state = self._state
        live = state.members.live(state.timers.now())
        return all(state.settings.node_id < member.node_id for member in live)

    def _must_save(self, block: Block, is_first: bool) -> bool:
        if block.id in self._guard.unsaved:
            return True
        age = self._state.timers.now() - block.made_at
        return is_first and not block.saved and age > MAX_UNSAVED_SECONDS

    def _is_trial_due(self, block: Block) -> bool:
        if block.ended or not block.saved or block.trials >= len(TRIAL_DELAYS_SECONDS):
            return False
        if self._guard.blocks.is_redundant(block):
            return False
        since = self._guard.tried_at.get(block.id, block.made_at)
        now = self._state.timers.now()
        due = now - since >= TRIAL_DELAYS_SECONDS[block.trials]
        return due and block.used_at > since

    def _start_trial(self, block: Block) -> None:
        """Count a trial in the store, so that no other node makes it too."""
        version = self._versions.get(block.id)
        if version is None:
            self.load()
            return
        value = self._encode(block, block.trials + 1)
        try:
            self._versions[block.id] = self._store.write(
                BLOCK_TABLE, block.id, value, version
            )
        except StepError as exc:
            # Another node may have changed the row.
            self._versions.pop(block.id, None)
            log.info("trial not started", extra={"error": str(exc), "block": block.id})
            return
        self._guard.note_trial(block)
        self._guard.open_trial(block)

    def _save(self, block: Block) -> None:
        for _ in range(MAX_SAVE_ATTEMPTS):
            try:
                self._versions[block.id] = self._store.write(
                    BLOCK_TABLE,
                    block.id,
                    self._encode(block, block.trials),
                    self._versions.get(block.id, NO_VERSION),
                )
            except Conflict as exc:
                self._versions[block.id] = NO_VERSION
                for row in exc.current or ():
                    self._apply(row)
                continue
            except StepError as exc:
                log.info(
                    "block not saved", extra={"block": block.id, "error": str(exc)}
                )
                return
            self._guard.unsaved.discard(block.id)
            self._guard.note_saved(block)
            return

    def _remove(self, block: Block) -> None:
        self._versions.pop(block.id, None)
        try:
            self._store.put(BLOCK_TABLE, block.id, None)
        except StepError as exc:
            # The next node to read it ignores it for its age.
            log.info("row not removed", extra={"block": block.id, "error": str(exc)})

    def _apply(self, row: StoredRow) -> Block | None:
        """Take over a row; return its block as it was stored, None if it has none."""
        if row.value is None:
            return None
        try:
            block = self._decode(row)
        except ValueError as exc:
            log.warning(
                "malformed row ignored", extra={"block": row.key, "error": str(exc)}
            )
            return None
        self._versions[row.key] = row.version
        self._guard.learn(block, "store")
        return block

    def _encode(self, block: Block, trials: int) -> bytes:
        timers = self._state.timers
        offset = timers.wall_time() - timers.now()
        return packb(
            [
                sorted(block.parts),
                sorted(block.organisations),
                block.crashes,
                list(block.endpoints),
                list(block.nodes),
                block.made_at + offset,
                block.used_at + offset,
                trials,
            ]
        )

    def _decode(self, row: StoredRow) -> Block:
        try:
            fields = unpackb(row.value)
        except Exception as exc:
            raise ValueError(f"{type(exc).__name__} {exc}")
        if not matches(fields, ROW_SHAPE):
            raise ValueError("wrong shape")
        parts, organisations, crashes, endpoints, nodes, made, used, trials = fields
        timers = self._state.timers
        now = timers.now()
        offset = timers.wall_time() - now
        return Block(
            id=row.key,
            parts=frozenset(parts),
            organisations=frozenset(organisations),
            crashes=crashes,
            endpoints=tuple(endpoints),
            nodes=tuple(nodes),
            # Clocks of nodes may differ.
            made_at=min(made - offset, now),
            used_at=min(used - offset, now),
            trials=trials,
            saved=True,
        )
