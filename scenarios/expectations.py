"""Steps of a scenario that check an expectation."""

import time

import gevent

from scenarios.caller import ANSWERED
from scenarios.evaluation import read_ledgers
from scenarios.parser import Step
from scenarios.versions import node_version

# Counters of the scenario language that are fields of CallRecord.
COUNTED_FIELDS = {"resumed": "resumes", "restarted": "restarts", "moved": "moves"}
COUNTED_FIELDS |= {"refused": "refusals"}


class Expectations:
    """Mixin of ScenarioRun with the ``expect`` steps.

    A step that is not met is added to the failures.
    """

    def _do_expect_answered(self, step: Step) -> None:
        gevent.joinall(self._tasks, timeout=step.values[0])
        for record in self._records:
            if record.outcome != ANSWERED and not record.poison:
                outcome = record.outcome or "nothing yet"
                self._fail(step, f"request {record.number}: {outcome} {record.reason}")

    def _count_calls(self, counter: str) -> int:
        """Wait for the callers to end and return a counter's sum over their calls."""
        gevent.joinall(self._tasks, timeout=self._scenario.deadline_seconds)
        records = [record for record in self._records if not record.poison]
        if counter in COUNTED_FIELDS:
            return sum(getattr(record, COUNTED_FIELDS[counter]) for record in records)
        return sum(1 for record in records if record.outcome == counter)

    def _do_expect_at_most(self, step: Step) -> None:
        limit, counter = step.values
        count = self._count_calls(counter)
        if count > limit:
            self._fail(step, f"{count} {counter}, at most {limit} expected")

    def _do_expect_at_least(self, step: Step) -> None:
        limit, counter = step.values
        count = self._count_calls(counter)
        if count < limit:
            self._fail(step, f"{count} {counter}, at least {limit} expected")

    def _do_expect_poison(self, step: Step) -> None:
        gevent.joinall(self._tasks, timeout=self._scenario.deadline_seconds)
        for record in self._records:
            if record.poison and record.reason != "crashes_endpoints":
                outcome = f"{record.outcome or 'nothing'} {record.reason}"
                self._fail(step, f"request {record.number}: {outcome}")

    def _do_expect_unconfirmed(self, step: Step) -> None:
        (node_id,) = step.values
        if node_id not in self._apply_output:
            self._fail(step, f"{node_id} is not named in: {self._apply_output}")

    def _do_expect_crashes(self, step: Step) -> None:
        gevent.joinall(self._tasks, timeout=self._scenario.deadline_seconds)
        entries = read_ledgers(self._deployment).entries
        crashed = sum(
            1
            for endpoint_entries in entries.values()
            for entry in endpoint_entries
            if entry["outcome"] == "crashed"
        )
        if crashed > step.values[0]:
            self._fail(step, f"endpoints crashed {crashed} times")

    def _do_expect_end(self, step: Step) -> None:
        node_id, seconds = step.values
        process = self._deployment.nodes[node_id].process
        status = process.wait(seconds)
        if status is None:
            self._fail(step, f"{node_id} still runs")
        elif status != 0:
            self._fail(step, f"{node_id} ended with status {status}")

    def _do_expect_idle(self, step: Step) -> None:
        endpoint_id, seconds = step.values
        since = self._notice_sent_at[endpoint_id] + seconds
        entries = read_ledgers(self._deployment).entries[endpoint_id]
        late = [entry for entry in entries if entry["started"] > since]
        if late:
            self._fail(
                step,
                f"{len(late)} calls started more than {seconds} s after the notice",
            )

    def _do_expect_version(self, step: Step) -> None:
        version, seconds = step.values
        deadline = time.monotonic() + seconds
        outdated = list(self._deployment.nodes.values())
        while outdated and time.monotonic() < deadline:
            outdated = [
                node
                for node in outdated
                if node_version(self._deployment, node) != version
            ]
            time.sleep(0.1)
        for node in outdated:
            self._fail(
                step, f"{node.id} has version {node_version(self._deployment, node)}"
            )
