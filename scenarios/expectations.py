"""Expectations of a scenario."""

import time

import gevent

from scenarios.caller import ANSWERED
from scenarios.evaluation import read_ledgers
from scenarios.parser import Step
from scenarios.versions import node_version

EVENTS = {"resumed": "resumes", "restarted": "restarts", "moved": "moves"}
EVENTS |= {"refused": "refusals"}


class Expectations:
    """Check what callers, nodes and ledgers show; part of a scenario's run."""

    def _do_expect_answered(self, step: Step) -> None:
        gevent.joinall(self._tasks, timeout=step.values[0])
        for record in self._records:
            if record.outcome != ANSWERED and not record.poison:
                told = record.outcome or "nothing yet"
                self._fail(step, f"request {record.number}: {told} {record.reason}")

    def _counted(self, counter: str) -> int:
        """Return a count of the callers, once all of them have ended."""
        gevent.joinall(self._tasks, timeout=self._scenario.patience)
        records = [record for record in self._records if not record.poison]
        if counter in EVENTS:
            return sum(getattr(record, EVENTS[counter]) for record in records)
        return sum(1 for record in records if record.outcome == counter)

    def _do_expect_at_most(self, step: Step) -> None:
        limit, counter = step.values
        count = self._counted(counter)
        if count > limit:
            self._fail(step, f"{count} {counter}, at most {limit} expected")

    def _do_expect_at_least(self, step: Step) -> None:
        limit, counter = step.values
        count = self._counted(counter)
        if count < limit:
            self._fail(step, f"{count} {counter}, at least {limit} expected")

    def _do_expect_poison(self, step: Step) -> None:
        gevent.joinall(self._tasks, timeout=self._scenario.patience)
        for record in self._records:
            if record.poison and record.reason != "crashes_endpoints":
                told = f"{record.outcome or 'nothing'} {record.reason}"
                self._fail(step, f"request {record.number}: {told}")

    def _do_expect_unconfirmed(self, step: Step) -> None:
        (node_id,) = step.values
        if node_id not in self._apply_output:
            self._fail(step, f"{node_id} is not named in: {self._apply_output}")

    def _do_expect_crashes(self, step: Step) -> None:
        gevent.joinall(self._tasks, timeout=self._scenario.patience)
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
        status = process.wait(seconds)
        if status is None:
            self._fail(step, f"{node_id} still runs")
        elif status != 0:
            self._fail(step, f"{node_id} ended with {status}")

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
            behind = [
                node
                for node in behind
                if node_version(self._deployment, node) != version
            ]
            time.sleep(0.1)
        for node in behind:
            self._fail(
                step, f"{node.id} has version {node_version(self._deployment, node)}"
            )
