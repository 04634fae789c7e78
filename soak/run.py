"""One run of the soak: load, faults in series and at once, recovery, checks."""

import random
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import gevent

from soak.callers import Caller, CallResult
from soak.checks import check_answers, check_log, check_recovery, check_response_times
from soak.faults import EXIT_SECONDS, FAULTS, MAX_FAULT_SECONDS
from soak.system import SoakSystem

RECOVER_SECONDS = 15.0  # the platform's bound after a final fault
RECOVERED_LOAD_SECONDS = 1.5
LONGEST_PAUSE_SECONDS = 0.8  # between the starts of two faults


@dataclass(slots=True)
class SoakSize:
    """State how large a run is."""

    nodes: int = 3
    engines: int = 2
    plain: int = 2
    callers: int = 8
    seconds: float = 10.0  # in which faults begin


@dataclass(slots=True)
class SoakReport:
    """Hold the result of a run."""

    seed: int
    faults: list[str] = field(default_factory=list)
    answers: Counter = field(default_factory=Counter)  # by status, 0 without one
    failures: list[str] = field(default_factory=list)


def run_soak(seed: int, size: SoakSize, logs: Path | None = None) -> SoakReport:
    """Run one seed; the logs of a run with failures are copied to ``logs``."""
    with tempfile.TemporaryDirectory(prefix="rattanwick-soak-") as name:
        folder = Path(name)
        report = SoakRun(seed, size, folder).run()
        if report.failures and logs is not None:
            target = logs / f"seed-{seed}"
            target.mkdir(parents=True, exist_ok=True)
            for path in folder.glob("*.log"):
                target.joinpath(path.name).write_bytes(path.read_bytes())
            lines = [*report.faults, "", *report.failures]
            target.joinpath("report.txt").write_text("\n".join(lines), "utf-8")
        return report


class SoakRun:
    """Hold the parts of one run."""

    def __init__(self, seed: int, size: SoakSize, folder: Path):
        self._random = random.Random(seed)
        self._size = size
        self._report = SoakReport(seed)
        self._system = SoakSystem(folder, size.nodes, size.engines, size.plain)
        self._callers = [
            Caller(self._system.deployment, number, self._random.getrandbits(32))
            for number in range(size.callers)
        ]
        self._began = 0.0

    def run(self) -> SoakReport:
        """Return the report of the run."""
        try:
            self._system.start()
            tasks = [gevent.spawn(caller.run) for caller in self._callers]
            self._inject_faults()
            self._recover()
            healthy = time.monotonic()
            gevent.sleep(RECOVERED_LOAD_SECONDS)
            for caller in self._callers:
                caller.stopping = True
            gevent.joinall(tasks, raise_error=True)
            self._check(healthy)
        finally:
            self._system.close()
        return self._report

    def _inject_faults(self) -> None:
        """Start faults at random moments; several may last at once."""
        self._began = time.monotonic()
        limit = self._began + self._size.seconds
        running = []
        while time.monotonic() < limit:
            kind = self._random.choice(FAULTS)
            fault = kind(self._system, random.Random(self._random.getrandbits(32)))
            running.append(gevent.spawn(self._inject, fault))
            gevent.sleep(self._random.uniform(0.0, LONGEST_PAUSE_SECONDS))
        longest = MAX_FAULT_SECONDS + 2 * EXIT_SECONDS
        gevent.joinall(running, timeout=longest, raise_error=True)
        if not all(task.ready() for task in running):
            self._report.failures.append(f"a fault did not end in {longest} s")

    def _inject(self, fault) -> None:
        began = time.monotonic() - self._began
        done = fault.inject()
        self._report.faults.append(f"{began:6.2f} s  {fault.name}: {done}")

    def _recover(self) -> None:
        """End what lasts, and wait until every node serves with the newest lists."""
        self._system.heal()
        self._system.change_configuration()
        if not self._system.deployment.wait_until(self._recovered, RECOVER_SECONDS):
            self._report.failures.append(f"no recovery within {RECOVER_SECONDS} s")

    def _recovered(self) -> bool:
        """Tell whether every caller was served well by its last three requests."""
        system = self._system
        return system.deployment.wait_joined(1.0) and all(
            len(caller.results) >= 3
            and all(item.succeeded for item in caller.results[-3:])
            for caller in self._callers
        )

    def _check(self, healthy: float) -> None:
        told: list[CallResult] = [item for one in self._callers for item in one.results]
        system, report = self._system, self._report
        report.answers.update(item.status for item in told)
        report.failures += system.failures
        report.failures += check_answers(told, system.ledger)
        report.failures += [
            f"without an id: {item}" for item in system.unidentified_requests
        ]
        report.failures += check_response_times(told, system.outages)
        report.failures += check_recovery([t for t in told if t.started >= healthy])
        report.failures += system.deployment.platform.conflicting_reports
        for name in system.names:
            path = system.deployment.log_path(name)
            report.failures += check_log(path, system.version)
