"""Replay of recorded decisions, with checks for missing and changed records."""

import importlib
import pkgutil
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from rattanwick.internal.base.errors import ProtocolError
from rattanwick.internal.platform.interfaces import ObjectStore
from rattanwick.internal.recording.decisions import DECISION_FUNCTIONS, DecisionKind
from rattanwick.internal.recording.records import (
    RECORDINGS_PREFIX,
    DecisionRecord,
    RecordBatch,
    chain_digest,
    first_digest,
    hour_of,
)

LIST_PAGE_SIZE = 1000
# A batch is named after the hour of its start and may hold records of the next hour.
BATCH_LOOKBACK_SECONDS = 3600.0
DECISION_PACKAGES = (
    "rattanwick.internal.routing",
    "rattanwick.internal.requests",
    "rattanwick.internal.state",
    "rattanwick.internal.peers",
)


@dataclass(slots=True, frozen=True)
class ReplayQuery:
    """Selection of records by time, request and node; empty fields select all."""

    since: float = 0.0  # Unix seconds
    until: float = float("inf")
    request_id: str = ""
    node: str = ""
    rerun: bool = True

    def includes(self, record: DecisionRecord) -> bool:
        """Return whether a record is selected by time and request."""
        in_time = self.since <= record.time <= self.until
        return in_time and self.request_id in ("", record.request_id)


@dataclass(slots=True, frozen=True)
class ReplayedDecision:
    """Recorded decision, and how its replay differs; the difference may be empty."""

    node: str
    record: DecisionRecord
    difference: str = ""


@dataclass(slots=True, frozen=True)
class MissingRecords:
    """Records that the recorder dropped or that are not in the store."""

    node: str  # or the name of an object that cannot be read
    detail: str


@dataclass(slots=True, frozen=True)
class CorruptRecords:
    """Object or record that is damaged or was changed after it was stored."""

    node: str  # or the name of an object that cannot be read
    detail: str


ReplayFinding = ReplayedDecision | MissingRecords | CorruptRecords


def load_decision_functions() -> None:
    """Import all modules that make decisions, which registers their functions."""
    for name in DECISION_PACKAGES:
        package = importlib.import_module(name)
        for module in pkgutil.walk_packages(package.__path__, f"{name}."):
            importlib.import_module(module.name)


class Replay:
    """Read the stored batches in order and report the findings."""

    def __init__(self, objects: ObjectStore, query: ReplayQuery):
        self._objects = objects
        self._query = query

    def run(self) -> Iterator[ReplayFinding]:
        """Yield the findings by process, in the order of recording."""
        previous: RecordBatch | None = None
        for name in self._names():
            source = name.removeprefix(RECORDINGS_PREFIX)
            try:
                data = self._objects.get(name)
                if data is None:
                    yield MissingRecords(source, "the object was removed while reading")
                    continue
                batch = RecordBatch.unpack(name, data)
            except ProtocolError as exc:
                yield CorruptRecords(source, exc.reason)
                continue
            if batch.name != name:
                yield CorruptRecords(source, f"the object holds {batch.name}")
                continue
            yield from self._check_order(previous, batch)
            yield from self._read(batch)
            previous = batch

    def _names(self) -> list[str]:
        """Return the selected object names, by process and batch number."""
        names = []
        earliest = self._query.since - BATCH_LOOKBACK_SECONDS
        start_after = f"{RECORDINGS_PREFIX}{hour_of(earliest)}" if earliest > 0 else ""
        until = self._query.until
        last_hour = hour_of(until) if until != float("inf") else "~"
        while page := self._objects.list(
            RECORDINGS_PREFIX, start_after, LIST_PAGE_SIZE
        ):
            names.extend(page)
            start_after = page[-1]
            if start_after > f"{RECORDINGS_PREFIX}{last_hour}~":
                break
        split_names = [name.split("/") for name in names if name.count("/") == 3]
        selected = [
            parts
            for parts in split_names
            if parts[1] <= last_hour and self._query.node in ("", parts[2])
        ]
        return ["/".join(parts) for parts in sorted(selected, key=lambda p: p[2:])]

    def _check_order(
        self, previous: RecordBatch | None, batch: RecordBatch
    ) -> Iterator[ReplayFinding]:
        """Check that a batch continues the batch before it."""
        process = (batch.node, batch.incarnation)
        if previous is None or (previous.node, previous.incarnation) != process:
            start = first_digest(*process)
            if batch.number == 0 and batch.previous_digest != start:
                yield CorruptRecords(batch.node, "the first batch has a wrong digest")
            elif batch.number > 0 and self._query.since <= 0:
                detail = f"batches 0 to {batch.number - 1} are not in the store"
                yield MissingRecords(batch.node, detail)
        elif batch.number != previous.number + 1:
            detail = f"batches {previous.number + 1} to {batch.number - 1} are missing"
            yield MissingRecords(batch.node, detail)
        elif batch.previous_digest != previous.last_digest:
            detail = f"batch {batch.number} does not continue batch {previous.number}"
            yield CorruptRecords(batch.node, detail)

    def _read(self, batch: RecordBatch) -> Iterator[ReplayFinding]:
        for gap in batch.gaps:
            if gap.ended >= self._query.since and gap.started <= self._query.until:
                detail = (
                    f"records {gap.first} to {gap.last} were dropped from "
                    f"{gap.started:.3f} to {gap.ended:.3f} ({gap.reason}): {gap.kinds}"
                )
                yield MissingRecords(batch.node, detail)
        digest = batch.previous_digest
        for index, (packed, stored_digest) in enumerate(batch.entries):
            digest = chain_digest(digest, packed)
            if digest != stored_digest:
                detail = f"record {index} of batch {batch.number} was changed"
                yield CorruptRecords(batch.node, detail)
                # The later digests cover the original record, so the check goes on
                # from the stored digest.
                digest = stored_digest
            yield from self._read_record(batch, packed)

    def _read_record(
        self, batch: RecordBatch, packed: bytes
    ) -> Iterator[ReplayFinding]:
        try:
            record = DecisionRecord.unpack(packed)
            included = self._query.includes(record)
        except (ValueError, TypeError) as exc:
            yield CorruptRecords(batch.node, f"a record cannot be read: {exc}")
            return
        if included:
            difference = rerun_decision(record) if self._query.rerun else ""
            yield ReplayedDecision(batch.node, record, difference)


def rerun_decision(record: DecisionRecord) -> str:
    """Make a recorded decision again; return the difference, or empty if none."""
    function = _function_of(record.kind)
    if function is None:
        return f"no function decides {record.kind!r} in this version"
    if record.inputs is None:
        return "the inputs were too large to be recorded"
    try:
        choice, reason = function(record.inputs)
    except Exception as exc:
        text = f"the function failed: {type(exc).__name__}: {exc}"
    else:
        if (
            _as_unpacked(choice) == _as_unpacked(record.choice)
            and str(reason) == record.reason
        ):
            return ""
        text = f"now {choice!r} because {reason}"
    note = " (parts of the inputs were removed)" if record.altered else ""
    return text + note


def _function_of(kind: str) -> Callable | None:
    try:
        return DECISION_FUNCTIONS.get(DecisionKind(kind))
    except ValueError:
        return None


def _as_unpacked(value: object) -> object:
    """Return a value as msgpack restores it: tuples become lists."""
    if isinstance(value, (list, tuple)):
        return [_as_unpacked(item) for item in value]
    if isinstance(value, dict):
        return {key: _as_unpacked(item) for key, item in value.items()}
    return value
