"""Recorder that stores batches of decisions in the object store."""

import hashlib
from collections import deque

import gevent
import msgpack

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter, gauge
from rattanwick.internal.base.settings import RecordingSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.instances import Node
from rattanwick.internal.platform.interfaces import ObjectStore
from rattanwick.internal.recording.decisions import Decision, Recorder
from rattanwick.internal.recording.records import (
    DecisionRecord,
    RecordBatch,
    RecordGap,
    chain_digest,
    first_digest,
)
from rattanwick.internal.recording.redaction import redact

# For larger inputs, only the digest is recorded.
MAX_INPUT_BYTES = 64 << 10
# Compression of a batch of this size takes a few milliseconds, in which no other task
# of the process runs.
BATCH_CLOSE_BYTES = 256 << 10
RECORD_OVERHEAD_BYTES = 120  # memory of a record in addition to its packed form

RECORDED_DECISIONS = counter("recorded_decisions", "Decisions recorded")
DROPPED_DECISIONS = counter("dropped_decisions", "Decisions dropped", ("reason",))
BUFFERED_BYTES = gauge("recording_buffer_bytes", "Memory of batches not stored yet")
log = get_logger("recording")


class ObjectStoreRecorder(Recorder):
    """Recorder that keeps decisions in limited memory until they are stored.

    If the memory is full, new decisions are dropped, so that the stored records stay
    consecutive and show how an incident began.
    """

    def __init__(
        self,
        objects: ObjectStore,
        node: Node,
        timers: TimerService,
        settings: RecordingSettings,
    ):
        self._objects = objects
        self._node = node
        self._timers = timers
        self._settings = settings
        self._sequence = 0
        self._batch_number = 0
        self._digest = first_digest(node.id, node.incarnation)
        self._batch = self._new_batch()
        self._batch_size = 0
        self._uncompressed: deque[tuple[RecordBatch, int]] = deque()  # (batch, bytes)
        self._compressed: deque[tuple[str, bytes]] = deque()
        self._buffered = 0
        self._gap: RecordGap | None = None
        self._storing = False
        self.dropped = 0

    def start(self) -> None:
        """Start to store batches periodically."""
        self._timers.subscribe("recording", self._settings.batch_seconds, self.flush)

    def record(self, decision: Decision) -> None:
        """Buffer a decision until it is stored; never block and never raise."""
        if not self._settings.enabled:
            return
        self._sequence += 1
        try:
            packed = self._pack(decision)
        except Exception as exc:
            # Inputs that cannot be packed must not fail the decision itself.
            log.error(
                "cannot pack a %s decision, which is dropped: %s", decision.kind, exc
            )
            self._drop(decision, "not_packable")
            return
        size = len(packed) + RECORD_OVERHEAD_BYTES
        if self._buffered + size > self._settings.buffer_bytes:
            self._drop(decision, "buffer_full")
            return
        self._end_gap()
        self._digest = chain_digest(self._digest, packed)
        self._batch.entries.append((packed, self._digest))
        self._batch_size += size
        self._buffered += size
        RECORDED_DECISIONS.inc()
        if self._batch_size >= BATCH_CLOSE_BYTES:
            self._close_batch()

    def flush(self) -> None:
        """Store all buffered batches; keep those that the store does not accept."""
        if self._storing:
            return
        self._storing = True
        try:
            self._end_gap()
            self._close_batch()
            while self._uncompressed or self._compressed:
                self._compress_one()
                if not self._store_one():
                    return
        finally:
            self._storing = False
            BUFFERED_BYTES.set(self._buffered)

    def status(self) -> dict:
        """Return the state of the recorder for operators."""
        return {
            "sequence": self._sequence,
            "dropped": self.dropped,
            "buffered_bytes": self._buffered,
            "batches_waiting": len(self._uncompressed) + len(self._compressed),
        }

    def _pack(self, decision: Decision) -> bytes:
        inputs, altered = redact(decision.inputs)
        packed_inputs = msgpack.packb(inputs)
        if len(packed_inputs) > MAX_INPUT_BYTES:
            inputs, altered = None, True
        recorded_inputs = packed_inputs if inputs is not None else None
        choice, _ = redact(decision.choice)
        record = DecisionRecord(
            sequence=self._sequence,
            time=self._timers.wall_time(),
            kind=str(decision.kind),
            request_id=decision.request_id,
            inputs=inputs,
            inputs_digest=hashlib.sha256(packed_inputs).hexdigest()[:32],
            altered=altered,
            choice=choice,
            reason=str(decision.reason),
        )
        return record.pack(recorded_inputs)

    def _drop(self, decision: Decision, reason: str) -> None:
        now = self._timers.wall_time()
        self.dropped += 1
        DROPPED_DECISIONS.labels(reason).inc()
        if self._gap is not None and self._gap.reason != reason:
            self._end_gap()
        if self._gap is None:
            self._gap = RecordGap(self._sequence, 0, now, now, {}, reason)
        gap = self._gap
        gap.last, gap.ended = self._sequence, now
        kind = str(decision.kind)
        gap.kinds[kind] = gap.kinds.get(kind, 0) + 1

    def _end_gap(self) -> None:
        if self._gap is not None:
            log.warning("dropped records %d to %d", self._gap.first, self._gap.last)
            self._batch.gaps.append(self._gap)
            self._gap = None

    def _new_batch(self) -> RecordBatch:
        node = self._node
        return RecordBatch(
            node.id,
            node.incarnation,
            self._batch_number,
            self._timers.wall_time(),
            self._digest,
        )

    def _close_batch(self) -> None:
        if self._batch.entries or self._batch.gaps:
            self._uncompressed.append((self._batch, self._batch_size))
            self._batch_number += 1
        self._batch = self._new_batch()
        self._batch_size = 0

    def _compress_one(self) -> None:
        """Compress the oldest batch, so that it uses less memory."""
        if not self._uncompressed:
            return
        batch, size = self._uncompressed.popleft()
        data = batch.pack()
        self._compressed.append((batch.name, data))
        self._buffered += len(data) - size
        gevent.sleep(0)

    def _store_one(self) -> bool:
        """Store the oldest compressed batch; return whether it is stored.

        It is safe to repeat, since the object has the same name and content.
        """
        name, data = self._compressed[0]
        try:
            self._objects.put(name, data)
        except StepError as exc:
            log.warning(
                "cannot store a batch in the object store, trying again later: %s", exc
            )
            return False
        self._compressed.popleft()
        self._buffered -= len(data)
        return True
