"""Scenario run that replays, measures and alters its recording before it ends."""

import os
import re
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from fakes.deployment import LocalNode, http_json
from fakes.memory import MemoryObjectStore
from fakes.processes import module_environment, run_command
from rattanwick.internal.base.settings import RecordingSettings, load_settings
from rattanwick.internal.base.timers import GeventTimerService, ManualTimerService
from rattanwick.internal.model.instances import Node
from rattanwick.internal.operators.client import OPERATOR_KEY_VARIABLE
from rattanwick.internal.platform.object_store import S3ObjectStore
from rattanwick.internal.recording.decisions import Decision
from rattanwick.internal.recording.recorder import ObjectStoreRecorder
from rattanwick.internal.recording.records import (
    RECORDINGS_PREFIX,
    DecisionRecord,
    RecordBatch,
    chain_digest,
)
from rattanwick.internal.recording.replay import (
    MissingRecords,
    Replay,
    ReplayedDecision,
    ReplayFinding,
    ReplayQuery,
    load_decision_functions,
)
from scenarios.caller import ANSWERED
from scenarios.parser import Scenario, Step
from scenarios.runner import ScenarioRun

MAX_LISTED_OBJECTS = 1000
REPLAY_TIMEOUT_SECONDS = 120.0
REPLAY_TOTALS_PATTERN = re.compile(
    r"^(\d+) decisions, (\d+) differences, (\d+) gaps, (\d+) changed$", re.MULTILINE
)
DROPPED_METRIC_PATTERN = re.compile(
    r"^rattanwick_dropped_decisions_total\{.*\} (\S+)$", re.MULTILINE
)
RECORDED_METRIC_PATTERN = re.compile(
    r"^rattanwick_recorded_decisions_total (\S+)$", re.MULTILINE
)
DROPPED_ADMISSIONS_PATTERN = re.compile(r"'admit': (\d+)")
GAP_PATTERN = re.compile(r"records (\d+) to (\d+) were dropped")


@dataclass(slots=True)
class CommandResult:
    """Result of ``rattanwick replay``: exit status, output and totals of its last line.

    The totals are -1 if the command printed none.
    """

    status: int
    decisions: int
    differences: int
    gaps: int
    changed: int
    output: str


@dataclass(slots=True)
class Findings:
    """What the recording of an incident shows."""

    by_time: CommandResult | None = None
    by_request: CommandResult | None = None
    by_node: CommandResult | None = None
    altered: CommandResult | None = None  # after one decision was changed
    forged: CommandResult | None = None  # after its batch's digests were changed too
    kinds: Counter = field(default_factory=Counter)  # decisions by kind
    answered: int = 0  # requests
    # Answered requests without a recorded admission.
    unexplained: list[str] = field(default_factory=list)
    admissions_dropped: int = 0  # as stated in the gaps
    gaps: list[str] = field(default_factory=list)
    # Nodes whose records and gaps do not add up to their metrics.
    miscounted: list[str] = field(default_factory=list)
    stored_bytes: int = 0
    recording_seconds: float = 0.0  # CPU time to record the decisions of live nodes
    node_seconds: float = 0.0  # CPU time of live nodes since their start
    requests_recorded: int = 0  # with at least one recorded decision
    # Records with secrets or with text of callers.
    leaked: list[str] = field(default_factory=list)


class IncidentRun(ScenarioRun):
    """Run of a scenario that examines its recording while the nodes still serve."""

    def __init__(self, scenario: Scenario, folder: Path):
        super().__init__(scenario, folder)
        self.findings = Findings()
        self._started = 0.0  # Unix seconds
        self._cpu_seconds_before: dict[str, float] = {}

    def _do_start_all(self, step: Step) -> None:
        super()._do_start_all(step)
        self._started = time.time()
        self._cpu_seconds_before = {
            node.id: read_cpu_seconds(node) for node in self._deployment.nodes.values()
        }

    def _examine(self) -> None:
        # A process that has just ended may still be listed, so look for it in /proc.
        nodes = self._deployment.nodes.values()
        live = [node for node in nodes if Path(f"/proc/{node.process.pid}").exists()]
        for node in live:
            spent = read_cpu_seconds(node) - self._cpu_seconds_before[node.id]
            self.findings.node_seconds += spent
        batch_seconds = float(self._scenario.settings["recording"]["batch_seconds"])
        time.sleep(3 * batch_seconds)
        load_decision_functions()
        timers = GeventTimerService()
        settings = load_settings(str(live[0].settings_path)).platform
        objects = S3ObjectStore(settings, timers, "bench")
        try:
            findings = list(Replay(objects, ReplayQuery()).run())
            self._check_findings(findings, live)
            self._measure_cost(findings, objects, {node.id for node in live})
            self._replay_commands(live[0], live[-1].id)
            self._alter_recording(objects, live[0])
        finally:
            timers.stop()

    def _check_findings(
        self, findings: list[ReplayFinding], live: list[LocalNode]
    ) -> None:
        """Compare the recording with the callers' results and with the metrics."""
        result = self.findings
        replayed = [item for item in findings if isinstance(item, ReplayedDecision)]
        admitted = set()
        for item in replayed:
            result.kinds[item.record.kind] += 1
            if item.record.kind == "admit" and item.record.choice:
                admitted.add(item.record.request_id)
            text = repr(item.record)
            if "demo-key" in text or "steel?" in text or self._secret() in text:
                result.leaked.append(f"{item.node} {item.record.sequence}")
        missing = [item for item in findings if isinstance(item, MissingRecords)]
        result.gaps = [f"{item.node}: {item.detail}" for item in missing]
        for gap in result.gaps:
            result.admissions_dropped += sum(
                map(int, DROPPED_ADMISSIONS_PATTERN.findall(gap))
            )
        for record in self._records:
            if record.outcome == ANSWERED:
                result.answered += 1
                if not admitted.intersection(record.request_ids):
                    ids = ", ".join(record.request_ids)
                    result.unexplained.append(f"{record.kind} {record.number}: {ids}")
        recorded = Counter(item.node for item in replayed)
        for node in live:
            self._compare_with_metrics(node, recorded[node.id])

    def _secret(self) -> str:
        return (self._folder / "peers.secret").read_text()

    def _compare_with_metrics(self, node: LocalNode, recorded: int) -> None:
        """Compare a node's records and gaps with its metrics.

        The node is added to ``miscounted`` if it counted more records than were read or
        a number of dropped ones that the gaps do not state.
        """
        _, text = http_json("GET", node.host, node.operator_port, "/metrics")
        recorded_metric = sum(
            float(value) for value in RECORDED_METRIC_PATTERN.findall(text)
        )
        dropped_metric = sum(
            float(value) for value in DROPPED_METRIC_PATTERN.findall(text)
        )
        spans = [
            GAP_PATTERN.search(gap)
            for gap in self.findings.gaps
            if gap.startswith(f"{node.id}:")
        ]
        dropped = sum(int(span[2]) - int(span[1]) + 1 for span in spans if span)
        if recorded_metric > recorded or dropped_metric != dropped:
            self.findings.miscounted.append(
                f"{node.id}: {recorded_metric:g} recorded, {recorded} read; "
                f"{dropped_metric:g} dropped, {dropped} stated"
            )

    def _measure_cost(
        self, findings: list[ReplayFinding], objects: S3ObjectStore, live: set[str]
    ) -> None:
        """Measure the stored bytes, and the CPU time to record the decisions again."""
        result = self.findings
        for name in objects.list(RECORDINGS_PREFIX, "", MAX_LISTED_OBJECTS):
            result.stored_bytes += len(objects.get(name))
        replayed = [item for item in findings if isinstance(item, ReplayedDecision)]
        result.requests_recorded = len(
            {item.record.request_id for item in replayed if item.record.request_id}
        )
        node = Node("bench", "dc", "region", "127.0.0.1", 1, 2, 3)
        settings = RecordingSettings(buffer_bytes=1 << 28)
        recorder = ObjectStoreRecorder(
            MemoryObjectStore(), node, ManualTimerService(), settings
        )
        decisions = [
            _as_decision(item.record) for item in replayed if item.node in live
        ]
        before = time.process_time()
        for decision in decisions:
            recorder.record(decision)
        recorder.flush()
        result.recording_seconds = time.process_time() - before

    def _replay_commands(self, operator_node: LocalNode, by_node: str) -> None:
        """Run ``rattanwick replay`` by time, by request and by node."""
        result = self.findings
        moved = [item for item in self._records if item.moves or item.resumes]
        record = (moved or self._records)[0]
        # UTC, in the form that an operator would type.
        since = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(self._started))
        until = str(time.time())
        result.by_time = self._replay(operator_node, "--since", since, "--until", until)
        request_id = record.request_ids[-1]
        result.by_request = self._replay(operator_node, "--request", request_id)
        result.by_node = self._replay(operator_node, "--by-node", by_node)

    def _replay(self, operator_node: LocalNode, *options: str) -> CommandResult:
        command = [sys.executable, "-m", "rattanwick", "replay", "--no-inputs"]
        command += [
            "--node",
            f"http://{operator_node.host}:{operator_node.operator_port}",
        ]
        environment = {
            **module_environment(),
            OPERATOR_KEY_VARIABLE: self._deployment.operator_key,
        }
        completed = run_command(
            [*command, *options], environment, REPLAY_TIMEOUT_SECONDS
        )
        output = completed.stdout + completed.stderr
        found = REPLAY_TOTALS_PATTERN.search(output)
        counts = [int(value) for value in found.groups()] if found else [-1] * 4
        return CommandResult(completed.returncode, *counts, output)

    def _alter_recording(
        self, objects: S3ObjectStore, operator_node: LocalNode
    ) -> None:
        """Replay after changing one stored admission, then also its batch's digests.

        The first change must be found by its digest, the second by rerunning the
        decision. The original batch is restored at the end.
        """
        for name in objects.list(RECORDINGS_PREFIX, "", MAX_LISTED_OBJECTS):
            original = objects.get(name)
            batch = RecordBatch.unpack(name, original)
            index = _find_admission(batch)
            if index is not None:
                break
        packed, entry_digest = batch.entries[index]
        changed = _invert_choice(packed)
        batch.entries[index] = (changed, entry_digest)
        objects.put(name, batch.pack())
        self.findings.altered = self._replay(operator_node, "--no-rerun")
        digest = batch.previous_digest
        for position, (item, _) in enumerate(batch.entries):
            digest = chain_digest(digest, item)
            batch.entries[position] = (item, digest)
        objects.put(name, batch.pack())
        self.findings.forged = self._replay(operator_node)
        objects.put(name, original)


def read_cpu_seconds(node: LocalNode) -> float:
    """Return the CPU time in seconds that a node's process has used."""
    text = Path(f"/proc/{node.process.pid}/stat").read_text(encoding="utf-8")
    values = text.rpartition(")")[2].split()
    return (int(values[11]) + int(values[12])) / os.sysconf("SC_CLK_TCK")


def _as_decision(record: DecisionRecord) -> Decision:
    return Decision(
        record.kind, record.inputs, record.choice, record.reason, record.request_id
    )


def _find_admission(batch: RecordBatch) -> int | None:
    for index, (packed, _) in enumerate(batch.entries):
        if DecisionRecord.unpack(packed).kind == "admit":
            return index
    return None


def _invert_choice(packed: bytes) -> bytes:
    record = DecisionRecord.unpack(packed)
    values = {name: getattr(record, name) for name in DecisionRecord.__slots__}
    return DecisionRecord(**{**values, "choice": not record.choice}).pack()


def list_violations(found: Findings) -> list[str]:
    """Return why a recording does not explain its incident; empty if it does."""
    violations = []
    for name in ("by_time", "by_request", "by_node"):
        result = getattr(found, name)
        if result.status or result.decisions < 1 or result.differences:
            violations.append(f"replay {name}: {result.output[-2000:]}")
    for name in ("altered", "forged"):
        result = getattr(found, name)
        if result.status != 1 or result.changed + result.differences < 1:
            violations.append(f"the {name} recording passed: {result.output[-500:]}")
    if found.by_time.gaps < len(found.gaps):
        violations.append(f"replay by_time stated {found.by_time.gaps} of {found.gaps}")
    if len(found.unexplained) > found.admissions_dropped:
        violations.append(f"no admission and no gap explains {found.unexplained}")
    for name in ("miscounted", "leaked"):
        if getattr(found, name):
            violations.append(f"{name}: {getattr(found, name)}")
    return violations
