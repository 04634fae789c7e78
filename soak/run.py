"""One run of the soak test: load, overlapping random faults, recovery and checks."""

import random
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import gevent

from soak.callers import Caller, CallResult
from soak.checks import (
    check_answers,
    check_crashing_requests,
    check_limits,
    check_log,
    check_recovery,
    check_responses,
)
from soak.faults import (
    EXIT_TIMEOUT_SECONDS,
    FAULTS,
    MAX_FAULT_SECONDS,
    EarlyEnds,
    EndlessAnswers,
    EndpointLimit,
    MalformedHeads,
    SilentConnections,
)
from soak.planned_work import MAX_ROLL_SECONDS, PLANNED_WORK, RollNodes
from soak.slow_callers import SlowCaller
from soak.store_checks import (
    check_configurations,
    check_denials,
    check_departures,
    check_fences,
    read_timeline,
)
from soak.store_restores import EndpointDeparture, RestoreStore
from soak.system import CRASHING_PART, SoakSystem
from soak.upload_callers import UploadCaller

# The platform requires that the system recovers in this time after the last fault.
MAX_RECOVERY_SECONDS = 15.0
RECOVERED_LOAD_SECONDS = 1.5  # load after the recovery, in which nothing may fail
MAX_FAULT_INTERVAL_SECONDS = 0.8  # between the starts of two faults
MAX_PLANNED_INTERVAL_SECONDS = 2.0  # between two pieces of planned work
SILENCES = 2  # of connections to the store, at the end of a run
MAX_SILENCE_PAUSE_SECONDS = 3.0  # after the configuration that follows a silence
MAX_BROKEN_INTERVAL_SECONDS = 1.0  # between rounds of broken answers
MAX_RESTORE_INTERVAL_SECONDS = 4.0  # between two restores of the store


@dataclass(slots=True)
class SoakSize:
    """Numbers of nodes, endpoints and callers of a run, and its length."""

    nodes: int = 3
    engines: int = 2  # endpoints that stream
    plain: int = 2  # endpoints that don't stream
    callers: int = 8
    seconds: float = 10.0  # no fault starts later than this
    slow_callers: int = 6
    upload_callers: int = 2
    planned_only: bool = False  # whether there is planned work and no other fault


@dataclass(slots=True)
class SoakReport:
    """Result of a run; it passed if ``failures`` is empty."""

    seed: int
    faults: list[str] = field(default_factory=list)
    # Responses by HTTP status; 0 counts requests without a response.
    answers: Counter = field(default_factory=Counter)
    failures: list[str] = field(default_factory=list)


def run_soak(seed: int, size: SoakSize, logs: Path | None = None) -> SoakReport:
    """Run one seed and return its report.

    If the run fails, the nodes' logs and a report are written below ``logs``.
    """
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
    """One run: the system, its callers and the report."""

    def __init__(self, seed: int, size: SoakSize, folder: Path):
        self._random = random.Random(seed)
        # A generator of its own, so that earlier seeds give the same other faults.
        self._limit_random = random.Random(f"{seed} limits")
        self._planned_random = random.Random(f"{seed} planned work")
        self._size = size
        self._report = SoakReport(seed)
        self._system = SoakSystem(folder, size.nodes, size.engines, size.plain)
        self._callers = [
            Caller(
                self._system.deployment,
                number,
                self._random.getrandbits(32),
                sound_endpoints=size.planned_only,
            )
            for number in range(size.callers)
        ]
        self._slow_callers = [
            SlowCaller(self._system.deployment, number, f"{seed} caller {number}")
            for number in range(size.callers + 1, size.callers + 1 + size.slow_callers)
        ]
        self._crashing_caller = Caller(
            self._system.deployment, size.callers, seed, CRASHING_PART
        )
        first = size.callers + 1 + size.slow_callers
        self._upload_callers = [
            UploadCaller(self._system.deployment, number, f"{seed} caller {number}")
            for number in range(first, first + size.upload_callers)
        ]
        self._started_at = 0.0
        self._reports_before_recovery = 0  # reported windows of usage

    def run(self) -> SoakReport:
        """Run load and faults, check the results and return the report."""
        try:
            self._system.start()
            callers = [*self._callers, *self._slow_callers, *self._upload_callers]
            tasks = [gevent.spawn(caller.run) for caller in callers]
            self._crashing_caller.stopping = self._size.planned_only
            crashing = gevent.spawn(self._crashing_caller.run)
            self._inject_faults()
            self._crashing_caller.stopping = True
            gevent.joinall([crashing], raise_error=True)
            if not self._size.planned_only:
                self._silence_connections()
            self._recover()
            recovered_at = time.monotonic()
            gevent.sleep(RECOVERED_LOAD_SECONDS)
            for caller in callers:
                caller.stopping = True
            gevent.joinall(tasks, raise_error=True)
            self._check(recovered_at)
        finally:
            self._system.close()
        return self._report

    def _inject_faults(self) -> None:
        """Inject random faults at random times, also several at once.

        Return when the last of them has ended.
        """
        self._started_at = time.monotonic()
        limit = self._started_at + self._size.seconds
        running = [gevent.spawn(self._inject_planned_work, limit)]
        if self._size.planned_only:
            running.append(gevent.spawn(self._roll_nodes, limit))
        else:
            running.append(gevent.spawn(self._inject_limits, limit))
            running.append(gevent.spawn(self._restore_store, limit))
            running.append(gevent.spawn(self._break_answers, limit))
        running.append(gevent.spawn(self._let_endpoints_leave, limit))
        while time.monotonic() < limit and not self._size.planned_only:
            kind = self._random.choice(FAULTS)
            fault = kind(self._system, random.Random(self._random.getrandbits(32)))
            running.append(gevent.spawn(self._inject, fault))
            gevent.sleep(self._random.uniform(0.0, MAX_FAULT_INTERVAL_SECONDS))
        max_seconds = MAX_FAULT_SECONDS + 2 * EXIT_TIMEOUT_SECONDS + MAX_ROLL_SECONDS
        gevent.joinall(running, timeout=max_seconds, raise_error=True)
        if not all(task.ready() for task in running):
            self._report.failures.append(f"a fault did not end within {max_seconds} s")

    def _inject_limits(self, until: float) -> None:
        """Let endpoints name limits, one after the other."""
        while time.monotonic() < until:
            self._inject(EndpointLimit(self._system, self._limit_random))

    def _inject_planned_work(self, until: float) -> None:
        """Do random planned work, one after the other."""
        rng = self._planned_random
        while time.monotonic() < until:
            kind = rng.choice(PLANNED_WORK)
            self._inject(kind(self._system, random.Random(rng.getrandbits(32))))
            gevent.sleep(rng.uniform(0.0, MAX_PLANNED_INTERVAL_SECONDS))

    def _restore_store(self, until: float) -> None:
        """Restore the store from older copies, one after the other."""
        rng = random.Random(f"{self._report.seed} restores")
        while time.monotonic() < until:
            gevent.sleep(rng.uniform(0.0, MAX_RESTORE_INTERVAL_SECONDS))
            self._inject(RestoreStore(self._system, rng))

    def _break_answers(self, until: float) -> None:
        """Let endpoints send broken answers now and then."""
        rng = random.Random(f"{self._report.seed} broken answers")
        while time.monotonic() < until:
            gevent.sleep(rng.uniform(0.0, MAX_BROKEN_INTERVAL_SECONDS))
            self._inject(MalformedHeads(self._system, rng))
            self._inject(EarlyEnds(self._system, rng))

    def _silence_connections(self) -> None:
        """Silence connections to the store while only answers are endless.

        A disruption at the same time would excuse a late configuration.
        """
        self._system.heal()
        rng = random.Random(f"{self._report.seed} silences")
        for _ in range(SILENCES):
            self._inject(EndlessAnswers(self._system, rng))
            self._inject(SilentConnections(self._system, rng))
            gevent.sleep(rng.uniform(0.0, MAX_SILENCE_PAUSE_SECONDS))

    def _let_endpoints_leave(self, until: float) -> None:
        """Let endpoints leave, one after the other."""
        rng = random.Random(f"{self._report.seed} departures")
        while time.monotonic() < until:
            self._inject(EndpointDeparture(self._system, rng))

    def _roll_nodes(self, until: float) -> None:
        """Stop and start all nodes in series, again and again."""
        rng = random.Random(f"{self._report.seed} roll")
        while time.monotonic() < until:
            self._inject(RollNodes(self._system, rng))

    def _inject(self, fault) -> None:
        offset_seconds = time.monotonic() - self._started_at
        description = fault.inject()
        self._report.faults.append(
            f"{offset_seconds:6.2f} s  {fault.name}: {description}"
        )

    def _recover(self) -> None:
        """End all faults, change the configuration and wait until callers succeed."""
        self._system.heal()
        self._system.change_configuration()
        self._reports_before_recovery = len(self._system.deployment.platform.reports)
        if not self._system.deployment.wait_until(
            self._has_recovered, MAX_RECOVERY_SECONDS
        ):
            self._report.failures.append(
                f"the system did not recover within {MAX_RECOVERY_SECONDS} s"
            )

    def _has_recovered(self) -> bool:
        """Return whether all nodes have joined, callers succeed and usage is reported.

        Each caller's last three requests must have succeeded.
        """
        deployment = self._system.deployment
        reports = len(deployment.platform.reports) - self._reports_before_recovery
        return (
            reports > 0
            and deployment.wait_joined(1.0)
            and all(
                len(caller.results) >= 3
                and all(result.succeeded for result in caller.results[-3:])
                for caller in self._callers
            )
        )

    def _check(self, recovered_at: float) -> None:
        others = (*self._slow_callers, *self._upload_callers, self._crashing_caller)
        recovered, results = (
            [result for caller in callers for result in caller.results]
            for callers in (self._callers, (*self._callers, *others))
        )
        system, report = self._system, self._report
        report.answers.update(result.status for result in results)
        report.failures += system.failures
        report.failures += check_answers(results, system.ledger)
        report.failures += [
            f"request without an id: {request}"
            for request in system.unidentified_requests
        ]
        arrivals = [item for e in system.started_endpoints for item in e.arrivals]
        report.failures += check_responses(
            results, system.outages, {request_id for _, request_id in arrivals}
        )
        report.failures += check_limits(system.limits, results, system.outages)
        report.failures += check_crashing_requests(
            system.part_crashes,
            arrivals,
            {result.id: result.node for result in self._crashing_caller.results},
            system.outages,
        )
        report.failures += check_recovery(
            [result for result in recovered if result.started >= recovered_at]
        )
        report.failures += check_denials(results)
        self._check_store(results)
        for name in system.names:
            path = system.deployment.log_path(name)
            report.failures += check_log(path, system.version)

    def _check_store(self, results: list[CallResult]) -> None:
        """Check what must hold although the store fails or comes back older."""
        system, report, now = self._system, self._report, time.monotonic()
        platform = system.deployment.platform
        clock_offset = time.time() - now
        timelines = [
            read_timeline(
                system.deployment.log_path(name),
                system.deployment.callers_address(name),
                clock_offset,
            )
            for name in system.names
        ]
        report.failures += platform.conflicting_reports
        report.failures += check_fences(platform.leader_calls)
        report.failures += check_configurations(
            timelines,
            system.acknowledgements,
            system.outages,
            system.store_disruptions,
            now,
        )
        report.failures += check_departures(
            system.departures, results, system.outages, system.store_disruptions
        )
