"""Refusal of requests whose prompts hold a part that crashes endpoints.

All nodes share what they see: crashes with the requests that were lost, answers to
requests with the same parts, and the blocks that follow from them.
"""

from collections.abc import Callable, Iterable

from gevent.event import Event

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter, gauge
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.gateway.blocked_parts import Block, BlockedParts
from rattanwick.internal.gateway.crash_evidence import (
    CrashEvidence,
    LostRequest,
)
from rattanwick.internal.gateway.part_messages import (
    CrashReport,
    PeerParts,
    split_crash,
)

log = get_logger("parts")

endpoint_crashes_total = counter(
    "endpoint_crashes", "Crashes of endpoints under requests of this node"
)
blocked_parts_count = gauge(
    "blocked_parts", "Blocks in force of prompt parts that crash endpoints"
)

# A request that crashes endpoints does so when its answer begins. A stream that has run
# for this long did not, and counts as answered.
SOUND_STREAM_SECONDS = 1.0
# Refusals extend a block. Peers and the store are told at most this often.
USE_REPORT_SECONDS = 60.0
# A request waits at most this long while the node learns what it missed in a pause.
MAX_SYNC_WAIT_SECONDS = 0.3


class PartGuard:
    """Evidence of crashes and the blocks that follow from it."""

    def __init__(self, node_id: str, timers: TimerService):
        self._node_id = node_id
        self._timers = timers
        self._evidence = CrashEvidence()
        self.blocks = BlockedParts()
        # Sends a message to all members, and says whether the blocks are up to date.
        # Both are set by whoever exchanges messages.
        self.broadcast: Callable[[PeerParts], None] = lambda message: None
        self.is_current: Callable[[], bool] = lambda: True
        self.synchronised = Event()
        # Ids of the blocks that this node changed and has not saved yet.
        self.unsaved: set[str] = set()
        # Whether the blocks have been read since this process started.
        self.loaded = True
        self.tried_at: dict[str, float] = {}  # last trial of a block, by its id
        self._open_trials: set[str] = set()  # ids of blocks
        self._use_reported_at: dict[str, float] = {}  # by block id

    def wait_until_current(self) -> None:
        """Wait for a short time if this node may have missed blocks."""
        if self.is_current():
            return
        if not self.synchronised.wait(MAX_SYNC_WAIT_SECONDS):
            log.warning("blocks may be out of date; no member or store has replied")

    def find_block(self, organisation: str, parts: tuple[str, ...]) -> Block | None:
        """Return the block that refuses a request now, or None."""
        if not parts:
            return None
        return self.blocks.find(organisation, frozenset(parts))

    def take_trial(self, block: Block) -> bool:
        """Return whether a request may be sent although a block covers it."""
        if block.id not in self._open_trials:
            return False
        self._open_trials.discard(block.id)
        log.info("trial of block", extra={"block": block.id})
        return True

    def note_refusal(self, block: Block) -> None:
        """Extend a block that has refused a request."""
        now = self._timers.now()
        block.used_at = now
        reported_at = self._use_reported_at.get(block.id, block.made_at)
        if now - reported_at > USE_REPORT_SECONDS:
            self._use_reported_at[block.id] = now
            self._publish([block])

    def open_trial(self, block: Block) -> None:
        """Let the next request that a block refuses through, once."""
        self._open_trials.add(block.id)

    def note_answer(self, parts: tuple[str, ...]) -> None:
        """Count an answer to a request, and tell members what it clears.

        The answer is complete, or a stream that has run for SOUND_STREAM_SECONDS.
        """
        if not parts:
            return
        now = self._timers.now()
        cleared = self._evidence.note_answer(parts, now)
        changed = self._narrow(parts, now)
        if cleared or changed:
            self.unsaved.update(block.id for block in changed)
            answers = [(part, now) for part in cleared]
            self.broadcast(PeerParts(answers=answers, blocks=changed))

    def note_crash(
        self, endpoint_id: str, at: float, requests: list[LostRequest]
    ) -> None:
        """Count the crash of an endpoint under requests of this node, and report it."""
        endpoint_crashes_total.inc()
        for report in split_crash(CrashReport(endpoint_id, at, requests)):
            self.broadcast(PeerParts(crashes=[report]))
        self._apply_crash(CrashReport(endpoint_id, at, requests), self._node_id)
        self._block_culprits()

    def note_planned_stop(self, endpoint_id: str) -> None:
        """Drop the crashes of an endpoint that turns out to be leaving."""
        self._evidence.forget_endpoint(endpoint_id)

    def receive(self, message: PeerParts) -> None:
        """Apply a peer's crashes, answers and blocks."""
        for part, at in message.answers:
            self._evidence.note_cleared(part, at)
        for report in message.crashes:
            self._apply_crash(report, message.node_id)
        for block in message.blocks:
            self.learn(block, message.node_id)
        if message.crashes:
            self._block_culprits()
        self._count()

    def learn(self, block: Block, source: str) -> None:
        """Take over a block from a peer or the store."""
        now = self._timers.now()
        known = self.blocks.get(block.id)
        trials = known.trials if known else block.trials
        changed = self.blocks.put(block, now)
        if changed is not None:
            if changed.trials != trials:
                self.tried_at[block.id] = now
            event = "block changed" if known else "blocked"
            _log_block(event, changed, source, now)
        self._count()

    def expire(self) -> list[Block]:
        """Remove and return the blocks that were not used for long."""
        now = self._timers.now()
        expired = self.blocks.expire(now)
        for block in expired:
            _log_block("block expired", block, self._node_id, now)
            self._open_trials.discard(block.id)
            self.unsaved.discard(block.id)
            self._use_reported_at.pop(block.id, None)
            self.tried_at.pop(block.id, None)
        self._count()
        return expired

    def note_trial(self, block: Block) -> None:
        """Count a trial that the store has confirmed, and tell members."""
        now = self._timers.now()
        block.trials += 1
        block.used_at = self.tried_at[block.id] = now
        self.blocks.note_changed(block)
        self.broadcast(PeerParts(blocks=[block]))

    def note_saved(self, block: Block) -> None:
        """Record that a block is in the store, and tell members so once."""
        if not block.saved:
            block.saved = True
            self.broadcast(PeerParts(blocks=[block]))

    def _apply_crash(self, report: CrashReport, node_id: str) -> None:
        crash = self._evidence.note_crash(
            report.endpoint_id, report.at, report.requests, node_id
        )
        if crash is None:
            return
        # Another organisation's request with blocked parts may have been sent.
        for block in self.blocks.all():
            organisations = {
                request.organisation
                for request in report.requests
                if block.parts and block.parts <= frozenset(request.parts)
            }
            if not organisations <= block.organisations:
                block.organisations |= organisations
                self._note_changed("block changed", block, node_id)

    def _block_culprits(self) -> None:
        """Block what the crashes point to, if anything."""
        now = self._timers.now()
        for culprit in self._evidence.find_culprits(
            now, self._node_id, self._is_explained
        ):
            if self.blocks.find_within(culprit) is not None:
                continue
            block = self.blocks.make(culprit, now)
            known = self.blocks.get(block.id) is not None
            changed = self.blocks.put(block, now)
            if changed is not None:
                event = "block changed" if known else "blocked"
                self._note_changed(event, changed, self._node_id)

    def _is_explained(self, request: LostRequest) -> bool:
        """Return whether a block tells why the request crashed an endpoint.

        A block of several parts does not: which of them is to blame is open.
        """
        parts = frozenset(request.parts)
        return any(
            len(block.parts) == 1 and block.parts <= parts
            for block in self.blocks.all()
        )

    def _narrow(self, parts: Iterable[str], now: float) -> list[Block]:
        """Take answered parts out of the blocks and return those that changed."""
        answered = frozenset(parts)
        changed = []
        for block in self.blocks.all():
            if block.parts & answered:
                block.parts -= answered
                block.used_at = now
                self.blocks.note_changed(block)
                event = "block ended" if block.ended else "block changed"
                _log_block(event, block, self._node_id, now)
                changed.append(block)
        self._count()
        return changed

    def _note_changed(self, event: str, block: Block, node_id: str) -> None:
        """Log a change, and publish it if it follows from a report of this node."""
        now = self._timers.now()
        block.used_at = now
        self.blocks.note_changed(block)
        _log_block(event, block, node_id, now)
        if node_id == self._node_id:
            self._publish([block])
        self._count()

    def _publish(self, blocks: list[Block]) -> None:
        self.unsaved.update(block.id for block in blocks)
        self.broadcast(PeerParts(blocks=blocks))

    def _count(self) -> None:
        blocked_parts_count.set(sum(not block.ended for block in self.blocks.all()))


def _log_block(event: str, block: Block, source: str, now: float) -> None:
    log.warning(
        event,
        extra={
            "block": block.id,
            "prompt_parts": sorted(block.parts),
            "organisations": sorted(block.organisations),
            "crashes": block.crashes,
            "endpoints": block.endpoints,
            "nodes": block.nodes,
            "age_s": round(now - block.made_at, 2),
            "trials": block.trials,
            "source": source,
        },
    )
