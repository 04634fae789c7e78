"""Run a scenario against real processes and judge it."""

import random
import signal
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import gevent

from fakes.deployment import LocalDeployment, http_json
from scenarios.caller import ANSWERED, NOT_RUN, UNKNOWN, Caller, CallRecord
from scenarios.language import Scenario, Step
from scenarios.records import Tally, judge, read_ledgers

PATIENCE_SECONDS = 40.0
SETTLE_SECONDS = 0.5
POISON_MARKER = "#crash-this-endpoint"
MODEL = {"guayas": "rattan-afila", "bortolini": "tear-llm"}
SERVICE = {"guayas": "agenda-vans", "bortolini": "livro-pedidos"}
ORGANISATIONS = {
    "guayas": ("mercados-norte", "mercados-sur", "comedores", "pescaderias"),
    "bortolini": ("cooperativa-serra", "cooperativa-vale", "balcao", "feira"),
}


@dataclass(slots=True)
class Report:
    """Hold the result of one scenario."""

    name: str
    tally: Tally
    failures: list[str] = field(default_factory=list)
    seconds: float = 0.0

    @property
    def passed(self) -> bool:
        """Tell whether all expectations and promises held."""
        return not self.failures and not self.tally.broken()


class ScenarioRun:
    """Carry out the steps of one scenario."""

    def __init__(self, scenario: Scenario, folder: Path, octet: int | None = None):
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._records: list[CallRecord] = []
        self._tasks: list[gevent.Greenlet] = []
        self._failures: list[str] = []
        self._faults = 0
        self._left_at: dict[str, float] = {}  # endpoint -> Unix seconds of notice
        self._leaving: set[str] = set()
        self._deployment = LocalDeployment(
            scenario.deployment,
            folder,
            octet,
            overrides=scenario.settings,
            endpoint_overrides={
                "engine": scenario.engines,
                "service": scenario.services,
            },
        )

    def run(self) -> Report:
        """Return the report of the scenario."""
        started = time.monotonic()
        with self._deployment:
            for step in self._scenario.steps:
                getattr(self, f"_do_{step.action}")(step)
            gevent.joinall(self._tasks, timeout=PATIENCE_SECONDS)
            time.sleep(SETTLE_SECONDS)
            ledgers = read_ledgers(self._deployment)
        tally = judge(self._records, ledgers, self._faults)
        report = Report(self._scenario.name, tally, self._failures)
        for name, count in tally.broken().items():
            report.failures.append(f"{name} is {count}, must be 0")
        report.seconds = time.monotonic() - started
        return report

    def _fail(self, step: Step, message: str) -> None:
        self._failures.append(f"line {step.line}, {step.action}: {message}")

    def _node_addresses(self) -> list[tuple[str, int]]:
        nodes = self._deployment.nodes.values()
        return [(node.host, node.caller_port) for node in nodes]

    def _caller(self, organisation: str) -> Caller:
        seed = self._random.getrandbits(32)
        return Caller(self._node_addresses(), organisation, seed, PATIENCE_SECONDS)

    def _address(self, node_id: str | None) -> tuple[str, int] | None:
        if node_id is None:
            return None
        node = self._deployment.nodes[node_id]
        return node.host, node.caller_port

    def _spread(self, count: int, seconds: float) -> list[float]:
        return sorted(self._random.uniform(0.0, seconds) for _ in range(count))

    def _organisation(self, number: int) -> str:
        names = ORGANISATIONS[self._scenario.deployment]
        return names[number % len(names)]

    # Steps

    def _do_start_all(self, step: Step) -> None:
        status, output = self._deployment.apply_lists()
        if status:
            self._fail(step, f"lists were not accepted: {output}")

    def _do_chats(self, step: Step, stream: bool = True) -> None:
        count, tokens, seconds, node_id = step.values
        for delay in self._spread(count, seconds):
            record = self._new_chat(tokens)
            caller = self._caller(record.organisation)
            first = self._address(node_id)
            self._tasks.append(
                gevent.spawn_later(delay, caller.chat, record, first, stream)
            )

    def _do_plain_chats(self, step: Step) -> None:
        self._do_chats(step, stream=False)

    def _new_chat(self, tokens: int, extra: str = "") -> CallRecord:
        number = len(self._records)
        prompt = f"{self._scenario.seed}/{number}: steel? #tokens={tokens}{extra}"
        record = CallRecord(
            number,
            MODEL[self._scenario.deployment],
            self._organisation(number),
            prompt=prompt,
            max_tokens=tokens,
        )
        self._records.append(record)
        return record

    def _do_bookings(self, step: Step) -> None:
        count, seconds, node_id, copies = step.values
        pool = SERVICE[self._scenario.deployment]
        for delay in self._spread(count, seconds):
            key = f"key-{self._scenario.seed}-{len(self._records)}"
            organisation = self._organisation(len(self._records))
            number = len(self._records)
            for _ in range(copies or 1):
                record = CallRecord(number, "booking", organisation, key=key)
                self._records.append(record)
                caller = self._caller(organisation)
                first = self._address(node_id)
                self._tasks.append(
                    gevent.spawn_later(delay, caller.book, record, first, pool)
                )

    def _do_poison(self, step: Step) -> None:
        (times,) = step.values
        for endpoint_id, config in self._deployment.endpoints.items():
            if config["kind"] == "engine":
                faults = {"crash_marker": POISON_MARKER, "crash_seconds": 1.0}
                self._deployment.endpoint(endpoint_id, "PUT", "faults", faults)
        self._faults += 1
        for attempt in range(times):
            record = self._new_chat(20, f" {POISON_MARKER}")
            record.prompt = f"{self._scenario.seed}: crash #tokens=20 {POISON_MARKER}"
            record.organisation = self._organisation(0)
            caller = self._caller(record.organisation)
            self._tasks.append(
                gevent.spawn_later(0.5 * attempt, caller.chat, record, None, True)
            )

    def _do_wait(self, step: Step) -> None:
        time.sleep(step.values[0])

    def _do_stop_node(self, step: Step) -> None:
        self._signal(step.values[0], signal.SIGTERM)

    def _do_kill_node(self, step: Step) -> None:
        self._signal(step.values[0], signal.SIGKILL)

    def _do_freeze_node(self, step: Step) -> None:
        self._signal(step.values[0], signal.SIGSTOP)

    def _do_thaw_node(self, step: Step) -> None:
        self._signal(step.values[0], signal.SIGCONT)

    def _signal(self, node_id: str, number: int) -> None:
        self._faults += 1
        self._deployment.nodes[node_id].send_signal(number)

    def _do_start_node(self, step: Step) -> None:
        node = self._deployment.nodes[step.values[0]]
        if node.process.poll() is None:
            node.process.wait(PATIENCE_SECONDS)
        self._deployment.start_node(node.id)

    def _do_reclaim_node(self, step: Step) -> None:
        self._reclaim_nodes([step.values[0]], step.values[1])

    def _do_reclaim_endpoint(self, step: Step) -> None:
        self._reclaim_endpoints([step.values[0]], step.values[1])

    def _do_reclaim_data_centre(self, step: Step) -> None:
        name, seconds = step.values
        nodes = self._deployment.nodes.values()
        endpoints = self._deployment.endpoints.values()
        self._reclaim_endpoints(
            [item["id"] for item in endpoints if item["data_centre"] == name], seconds
        )
        self._reclaim_nodes(
            [node.id for node in nodes if node.data_centre == name], seconds
        )

    def _reclaim_nodes(self, node_ids: list[str], seconds: float) -> None:
        for node_id in node_ids:
            self._faults += 1
            node = self._deployment.nodes[node_id]
            notice = {"instance_id": node.instance_id, "kind": "reclaim"}
            notice["in_seconds"] = seconds
            self._deployment.platform("POST", "/_fake/notices", notice)
            self._tasks.append(gevent.spawn_later(seconds, self._end_node, node))

    def _end_node(self, node) -> None:
        if node.process.poll() is None:
            node.process.kill()

    def _reclaim_endpoints(self, endpoint_ids: list[str], seconds: float) -> None:
        for endpoint_id in endpoint_ids:
            self._faults += 1
            notice = {"instance_id": endpoint_id, "kind": "reclaim"}
            notice["in_seconds"] = seconds
            self._deployment.platform("POST", "/_fake/notices", notice)
            self._left_at[endpoint_id] = time.time()
            self._tasks.append(
                gevent.spawn_later(seconds, self._end_endpoint, endpoint_id)
            )

    def _end_endpoint(self, endpoint_id: str) -> None:
        self._deployment.endpoint(endpoint_id, "PUT", "faults", {"down": True})

    def _do_endpoint_fault(self, step: Step) -> None:
        endpoint_id, name, value = step.values
        self._faults += 1
        self._deployment.endpoint(endpoint_id, "PUT", "faults", {name: value})

    def _do_platform_fault(self, step: Step) -> None:
        name, value = step.values
        self._faults += 1
        self._deployment.platform("PUT", "/_fake/faults", {name: value})

    def _do_apply_lists(self, step: Step) -> None:
        version, wanted = step.values
        results = {0: "accepted", 3: "unconfirmed", 4: "refused"}
        status, output = self._deployment.apply_lists(version)
        given = results.get(status, f"exit {status}")
        if given != wanted:
            self._fail(step, f"gave {given} instead of {wanted}: {output}")

    def _do_expect_answered(self, step: Step) -> None:
        gevent.joinall(self._tasks, timeout=step.values[0])
        for record in self._records:
            if record.outcome != ANSWERED:
                told = record.outcome or "nothing yet"
                self._fail(step, f"request {record.number}: {told} {record.reason}")

    def _expect_at_most(self, step: Step, outcome: str) -> None:
        gevent.joinall(self._tasks, timeout=PATIENCE_SECONDS)
        count = sum(1 for record in self._records if record.outcome == outcome)
        if count > step.values[0]:
            self._fail(step, f"{count} requests are {outcome}")

    def _do_expect_unknown(self, step: Step) -> None:
        self._expect_at_most(step, UNKNOWN)

    def _do_expect_not_run(self, step: Step) -> None:
        self._expect_at_most(step, NOT_RUN)

    def _do_expect_failed(self, step: Step) -> None:
        self._expect_at_most(step, "failed")

    def _do_expect_crashes(self, step: Step) -> None:
        gevent.joinall(self._tasks, timeout=PATIENCE_SECONDS)
        entries = read_ledgers(self._deployment).entries
        crashed = sum(
            1
            for endpoint_entries in entries.values()
            for entry in endpoint_entries
            if entry["outcome"] == "crashed"
        )
        if crashed > step.values[0]:
            self._fail(step, f"{crashed} crashes of endpoints")

    def _do_expect_end(self, step: Step) -> None:
        node_id, seconds = step.values
        process = self._deployment.nodes[node_id].process
        limit = time.monotonic() + seconds
        while process.poll() is None and time.monotonic() < limit:
            time.sleep(0.05)
        if process.poll() is None:
            self._fail(step, f"{node_id} still runs")
        elif process.returncode != 0:
            self._fail(step, f"{node_id} ended with {process.returncode}")

    def _do_expect_idle(self, step: Step) -> None:
        endpoint_id, seconds = step.values
        since = self._left_at[endpoint_id] + seconds
        entries = read_ledgers(self._deployment).entries[endpoint_id]
        late = [entry for entry in entries if entry["started"] > since]
        if late:
            self._fail(step, f"{len(late)} calls arrived after {seconds} s")

    def _do_expect_version(self, step: Step) -> None:
        version, seconds = step.values
        limit = time.monotonic() + seconds
        behind = list(self._deployment.nodes.values())
        while behind and time.monotonic() < limit:
            behind = [node for node in behind if self._version_of(node) != version]
            time.sleep(0.1)
        for node in behind:
            self._fail(step, f"{node.id} has version {self._version_of(node)}")

    def _version_of(self, node) -> int:
        headers = {"Authorization": f"Bearer {self._deployment.operator_key}"}
        path = "/v1/operator/lists"
        try:
            _, reply = http_json(
                "GET", node.host, node.operator_port, path, headers=headers
            )
        except OSError:
            return -1
        return reply.get("version", -1) if isinstance(reply, dict) else -1


def run_scenario(scenario: Scenario, octet: int | None = None) -> Report:
    """Run a scenario in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix="rattanwick-scenario-") as folder:
        return ScenarioRun(scenario, Path(folder), octet).run()
