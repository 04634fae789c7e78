"""Run of a scenario against a deployment of local processes, and its report."""

import random
import shutil
import signal
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import gevent

from fakes.deployment import LocalDeployment
from scenarios.allowance_check import read_list, units_over_limit, wait_for_window
from scenarios.caller import Caller, CallRecord
from scenarios.evaluation import (
    Tally,
    count_outcomes,
    describe_wrong_answers,
    read_ledgers,
)
from scenarios.expectations import Expectations
from scenarios.parser import Scenario, Step
from scenarios.versions import VersionMonitor

FINAL_WAIT_SECONDS = 0.5  # between the last caller and the reading of the ledgers
APPLY_RESULTS_BY_STATUS = {0: "accepted", 1: "failed", 3: "unconfirmed", 4: "refused"}
POISON_MARKER = "#crash-this-endpoint"
MODEL_POOLS = {"guayas": "rattan-afila", "bortolini": "tear-llm"}
SERVICE_POOLS = {"guayas": "agenda-vans", "bortolini": "livro-pedidos"}
ORGANISATIONS = {
    "guayas": ("mercados-norte", "mercados-sur", "comedores", "pescaderias"),
    "bortolini": ("cooperativa-serra", "cooperativa-vale", "balcao", "feira"),
}


@dataclass(slots=True)
class Report:
    """Result of one scenario."""

    name: str
    tally: Tally
    failures: list[str] = field(default_factory=list)
    seconds: float = 0.0

    @property
    def passed(self) -> bool:
        """Return whether all expectations were met and there is no violation."""
        return not self.failures and not self.tally.violations()


class ScenarioRun(Expectations):
    """One run of a scenario.

    A step is executed by the method ``_do_ACTION``, found by the name of its action.
    """

    def __init__(self, scenario: Scenario, folder: Path):
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._records: list[CallRecord] = []
        self._tasks: list[gevent.Greenlet] = []
        self._failures: list[str] = []
        self._fault_count = 0
        self._notice_sent_at: dict[str, float] = {}  # Unix seconds by endpoint id
        self._unlisted: set[str] = set()
        self._edit_count = 0
        self._apply_output = ""  # of the last edit by one operator
        self._folder = folder
        self._deployment = LocalDeployment(
            scenario.deployment,
            folder,
            overrides=scenario.settings,
            endpoint_overrides={
                "engine": scenario.engines,
                "service": scenario.services,
            },
        )

    def run(self) -> Report:
        """Start the deployment, execute all steps and return the report."""
        started = time.monotonic()
        with self._deployment:
            monitor = VersionMonitor(self._deployment)
            monitor.start()
            for step in self._scenario.steps:
                self._execute(step)
            gevent.joinall(self._tasks, timeout=self._scenario.deadline_seconds)
            time.sleep(FINAL_WAIT_SECONDS)
            monitor.stop()
            ledgers = read_ledgers(self._deployment)
            self._examine()
        tally = count_outcomes(self._records, ledgers, self._fault_count)
        tally.versions_reverted = monitor.reverted
        tally.units_over_limit = units_over_limit(
            self._write_lists(), self._deployment.endpoints, ledgers.entries
        )
        report = Report(self._scenario.name, tally, self._failures)
        for name, count in tally.violations().items():
            report.failures.append(f"{name} is {count}, must be 0")
        report.failures += describe_wrong_answers(self._records)
        report.seconds = time.monotonic() - started
        return report

    def _examine(self) -> None:
        """Examine the deployment before it stops; a hook for subclasses."""

    def _execute(self, step: Step) -> None:
        getattr(self, f"_do_{step.action}")(step)

    def _fail(self, step: Step, message: str) -> None:
        self._failures.append(f"line {step.line}, {step.action}: {message}")

    def _node_addresses(self) -> list[tuple[str, int]]:
        nodes = self._deployment.nodes.values()
        return [(node.host, node.caller_port) for node in nodes]

    def _make_caller(self, organisation: str) -> Caller:
        seed = self._random.getrandbits(32)
        return Caller(
            self._node_addresses(), organisation, seed, self._scenario.deadline_seconds
        )

    def _address_of(self, node_id: str | None) -> tuple[str, int] | None:
        if node_id is None:
            return None
        node = self._deployment.nodes[node_id]
        return node.host, node.caller_port

    def _random_delays(self, count: int, seconds: float) -> list[float]:
        return sorted(self._random.uniform(0.0, seconds) for _ in range(count))

    def _organisation_of(self, number: int) -> str:
        names = ORGANISATIONS[self._scenario.deployment]
        return names[number % len(names)]

    # Steps

    def _do_start_all(self, step: Step) -> None:
        status, output = self._deployment.apply_lists(0, self._write_lists())
        if status:
            self._fail(step, f"the lists were not accepted: {output}")

    def _do_meanwhile(self, step: Step) -> None:
        self._tasks.append(gevent.spawn(self._execute, step.values[0]))

    def _do_window(self, step: Step) -> None:
        wait_for_window(step.values[0])

    def _do_chats(self, step: Step, stream: bool = True) -> None:
        count, tokens, seconds, node_id = step.values
        for delay in self._random_delays(count, seconds):
            record = self._new_chat(tokens)
            caller = self._make_caller(record.organisation)
            first = self._address_of(node_id)
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
            MODEL_POOLS[self._scenario.deployment],
            self._organisation_of(number),
            prompt=prompt,
            max_tokens=tokens,
        )
        self._records.append(record)
        return record

    def _do_bookings(self, step: Step) -> None:
        count, seconds, node_ids, copies = step.values
        pool = SERVICE_POOLS[self._scenario.deployment]
        for delay in self._random_delays(count, seconds):
            key = f"key-{self._scenario.seed}-{len(self._records)}"
            organisation = self._organisation_of(len(self._records))
            number = len(self._records)
            for copy in range(copies or 1):
                record = CallRecord(number, "booking", organisation, key=key)
                self._records.append(record)
                caller = self._make_caller(organisation)
                first = self._address_of(_nth(node_ids, copy))
                self._tasks.append(
                    gevent.spawn_later(delay, caller.book, record, first, pool)
                )

    def _do_poison(self, step: Step) -> None:
        (times,) = step.values
        for endpoint_id, config in self._deployment.endpoints.items():
            if config["kind"] == "engine":
                faults = {"crash_marker": POISON_MARKER, "crash_seconds": 1.0}
                self._deployment.endpoint(endpoint_id, "PUT", "faults", faults)
        self._fault_count += 1
        for attempt in range(times):
            record = self._new_chat(20, f" {POISON_MARKER}")
            record.poison = True
            record.prompt = f"{self._scenario.seed}: crash #tokens=20 {POISON_MARKER}"
            record.organisation = self._organisation_of(0)
            caller = self._make_caller(record.organisation)
            self._tasks.append(
                gevent.spawn_later(0.5 * attempt, caller.chat, record, None, True)
            )

    def _do_wait(self, step: Step) -> None:
        time.sleep(step.values[0])

    def _do_stop_node(self, step: Step) -> None:
        self._send_signal(step.values[0], signal.SIGTERM)

    def _do_kill_node(self, step: Step) -> None:
        self._send_signal(step.values[0], signal.SIGKILL)

    def _do_freeze_node(self, step: Step) -> None:
        self._send_signal(step.values[0], signal.SIGSTOP)

    def _do_thaw_node(self, step: Step) -> None:
        self._send_signal(step.values[0], signal.SIGCONT)

    def _send_signal(self, node_id: str, number: int) -> None:
        self._fault_count += 1
        self._deployment.nodes[node_id].send_signal(number)

    def _do_start_node(self, step: Step) -> None:
        node = self._deployment.nodes[step.values[0]]
        if node.process.poll() is None:
            node.process.wait(self._scenario.deadline_seconds)
        if node.id in self._unlisted:
            self._unlisted.discard(node.id)
            self._deployment.publish_instances(unlisted=frozenset(self._unlisted))
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
            self._fault_count += 1
            node = self._deployment.nodes[node_id]
            notice = {"instance_id": node.instance_id, "kind": "reclaim"}
            notice["in_seconds"] = seconds
            self._deployment.platform("POST", "/_fake/notices", notice)
            self._tasks.append(gevent.spawn_later(seconds, self._kill_node, node))

    def _kill_node(self, node) -> None:
        if node.process.poll() is None:
            node.process.kill()

    def _reclaim_endpoints(self, endpoint_ids: list[str], seconds: float) -> None:
        for endpoint_id in endpoint_ids:
            self._fault_count += 1
            notice = {"instance_id": endpoint_id, "kind": "reclaim"}
            notice["in_seconds"] = seconds
            self._deployment.platform("POST", "/_fake/notices", notice)
            self._notice_sent_at[endpoint_id] = time.time()
            self._tasks.append(
                gevent.spawn_later(seconds, self._shut_endpoint_down, endpoint_id)
            )

    def _shut_endpoint_down(self, endpoint_id: str) -> None:
        self._deployment.endpoint(endpoint_id, "PUT", "faults", {"down": True})

    def _do_endpoint_fault(self, step: Step) -> None:
        endpoint_id, name, value = step.values
        self._fault_count += 1
        self._deployment.endpoint(endpoint_id, "PUT", "faults", {name: value})

    def _do_platform_fault(self, step: Step) -> None:
        name, value = step.values
        self._fault_count += 1
        self._deployment.platform("PUT", "/_fake/faults", {name: value})

    def _write_lists(self) -> Path:
        """Write the lists as they are after the last edit and return their folder."""
        target = self._folder / f"lists-{self._edit_count}"
        target.mkdir(exist_ok=True)
        source = self._deployment.source
        plans = (source / "plans.ini").read_text(encoding="utf-8")
        text = f"# edit {self._edit_count}\n{plans}"
        (target / "plans.ini").write_text(text, encoding="utf-8")
        allowances = read_list(source / "allowances.ini")
        for section, changes in self._scenario.allowances.items():
            allowances[section].update(changes)
        with open(target / "allowances.ini", "w", encoding="utf-8") as file:
            allowances.write(file)
        return target

    def _apply_edit(self, from_version: int, node_id: str | None) -> tuple[str, str]:
        """Edit the lists at a node and return the result and the command's output."""
        self._edit_count += 1
        status, output = self._deployment.apply_lists(
            from_version, self._write_lists(), node_id
        )
        return APPLY_RESULTS_BY_STATUS.get(status, f"exit {status}"), output

    def _do_apply_lists(self, step: Step) -> None:
        version, node_id, expected = step.values
        result, self._apply_output = self._apply_edit(version, node_id)
        if result != expected:
            self._fail(step, f"result {result}, not {expected}: {self._apply_output}")

    def _do_apply_twice(self, step: Step) -> None:
        """Edit the same version at two nodes at the same time."""
        node_ids = list(self._deployment.nodes)
        tasks = [
            gevent.spawn(self._apply_edit, step.values[0], node_id)
            for node_id in (node_ids[0], node_ids[-1])
        ]
        gevent.joinall(tasks)
        results = sorted(task.value for task in tasks)
        if [result for result, _ in results] != ["accepted", "refused"]:
            details = "; ".join(f"{result}: {output}" for result, output in results)
            self._fail(step, f"results {details}")

    def _do_unlist(self, step: Step) -> None:
        self._unlisted.add(step.values[0])
        self._deployment.publish_instances(unlisted=frozenset(self._unlisted))


def _nth(node_ids: tuple[str, ...] | None, index: int) -> str | None:
    return node_ids[index % len(node_ids)] if node_ids else None


def run_scenario(scenario: Scenario, logs: Path | None = None) -> Report:
    """Run a scenario in a temporary folder and return its report.

    An exception is reported as a failure of the scenario. The folder is copied below
    ``logs`` if it is given.
    """
    with tempfile.TemporaryDirectory(prefix="rattanwick-scenario-") as name:
        folder = Path(name)
        try:
            return ScenarioRun(scenario, folder).run()
        except Exception as exc:
            message = f"{type(exc).__name__}: {exc}"
            return Report(scenario.name, Tally(), [message])
        finally:
            if logs is not None:
                target = logs / scenario.name
                shutil.copytree(folder, target, dirs_exist_ok=True)
