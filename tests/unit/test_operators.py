"""Operators read and change lists, status and recordings through a node.

Guards against a wrong exit status for a change, access without a key, one failing
section that hides the rest of the status, and disagreements between nodes that
``status`` does not print.
"""

import contextlib
import hashlib
import io
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from gevent.pywsgi import WSGIServer

from fakes.memory import MemoryObjectStore
from rattanwick.cli import main
from rattanwick.internal.base.settings import RecordingSettings
from rattanwick.internal.commands.status import find_inconsistencies
from rattanwick.internal.operators.application import (
    build_operator_application,
    lists_status,
)
from rattanwick.internal.operators.client import OPERATOR_KEY_VARIABLE, OperatorClient
from rattanwick.internal.recording.decisions import (
    DECISION_FUNCTIONS,
    Decision,
    DecisionKind,
)
from rattanwick.internal.recording.recorder import ObjectStoreRecorder
from rattanwick.internal.state.api_keys import OperatorKeys
from tests.unit.test_lists import ALLOWANCES, PLANS, Cluster
from tests.unit.test_recording import NODE

KEY = "operator-key"


class OperatorTests(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.store = self.cluster.stores[0]
        self.objects = MemoryObjectStore()
        self.not_ready = "lists not loaded"
        app = build_operator_application(
            OperatorKeys((hashlib.sha256(KEY.encode()).hexdigest(),)),
            self.store,
            self.objects,
            {
                "lists": lambda: lists_status(self.store, self.cluster.timers.now),
                "broken": lambda: 1 / 0,
            },
            lambda: self.not_ready,
        )
        server = WSGIServer(("127.0.0.1", 0), app, log=None, error_log=None)
        server.start()
        self.addCleanup(server.stop)
        self.address = f"http://127.0.0.1:{server.server_port}"
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.write(PLANS, ALLOWANCES)
        environment = mock.patch.dict(os.environ, {OPERATOR_KEY_VARIABLE: KEY})
        environment.start()
        self.addCleanup(environment.stop)

    def write(self, plans: str, allowances: str) -> None:
        (self.folder / "plans.ini").write_text(plans, encoding="utf-8")
        (self.folder / "allowances.ini").write_text(allowances, encoding="utf-8")

    def run_command(self, *arguments: str, files: bool = False) -> tuple[int, str]:
        command = list(arguments)
        if files:
            command += ["--plans", str(self.folder / "plans.ini")]
            command += ["--allowances", str(self.folder / "allowances.ini")]
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            status = main(command)
        return status, output.getvalue()

    def apply(self, from_version: int) -> tuple[int, str]:
        version = str(from_version)
        node = ["--node", self.address, "--from-version", version, "--author", "ana"]
        return self.run_command("lists", "apply", *node, files=True)

    def test_check_reports_all_problems_with_exit_2(self):
        self.assertEqual(self.run_command("lists", "check", files=True)[0], 0)
        self.write(PLANS.replace("plan = basic", "plan = x"), "[alowance]\n")
        status, output = self.run_command("lists", "check", files=True)
        self.assertEqual(status, 2)
        self.assertEqual(len(output.splitlines()), 2)

    def test_apply_is_accepted_once_every_listed_node_confirmed(self):
        status, output = self.apply(0)
        self.assertEqual((status, output.split(":")[0]), (0, "accepted"))
        self.assertEqual(self.cluster.stores[2].current().number, 1)

    def test_apply_names_nodes_that_did_not_confirm_with_exit_3(self):
        self.cluster.mesh.add("node-9")
        status, output = self.apply(0)
        self.assertEqual(status, 3)
        self.assertIn("node-9", output)

    def test_a_stale_edit_is_refused_with_the_difference_and_exit_4(self):
        self.apply(0)
        self.write(PLANS, ALLOWANCES.replace("60000", "70000"))
        status, output = self.apply(0)
        self.assertEqual(status, 4)
        self.assertIn("-tokens_per_minute = 60000", output)
        self.assertIn("+tokens_per_minute = 70000", output)
        self.assertEqual(self.apply(1)[0], 0)

    def test_apply_during_a_table_outage_is_reported_as_not_stored(self):
        self.cluster.table.down = True
        status, output = self.apply(0)
        self.assertEqual(status, 1)
        self.assertIn("not stored", output)

    def test_show_history_and_diff_print_stored_versions(self):
        self.apply(0)
        self.write(PLANS, ALLOWANCES.replace("60000", "70000"))
        node = ("--node", self.address)
        self.assertIn(
            "+tokens", self.run_command("lists", "diff", *node, files=True)[1]
        )
        self.apply(1)
        self.assertIn("70000", self.run_command("lists", "show", *node)[1])
        first = self.run_command("lists", "show", "--version", "1", *node)[1]
        self.assertIn("60000", first)
        history = self.run_command("lists", "history", *node)[1].splitlines()
        self.assertEqual([line.split()[0] for line in history], ["2", "1"])
        versions = ("--from-version", "1", "--to-version", "2")
        output = self.run_command("lists", "diff", *versions, *node)[1]
        self.assertIn("+tokens_per_minute = 70000", output)

    def test_a_wrong_key_is_refused_except_on_open_paths(self):
        client = OperatorClient(self.address, "wrong")
        for path in ("lists", "lists/history", "lists/diff", "status", "recordings"):
            self.assertEqual(client.get(f"/v1/operator/{path}")[0], 401)
        self.assertEqual(client.post("/v1/operator/lists", {})[0], 401)
        self.assertEqual(client.get("/healthz")[0], 200)
        self.assertIn(b"rattanwick_", client.get("/metrics")[1])
        self.assertEqual(client.get("/readyz")[0], 503)
        self.not_ready = ""
        self.assertEqual(client.get("/readyz")[0], 200)

    def test_invalid_input_is_refused_with_the_name_of_the_field(self):
        client = OperatorClient(self.address, KEY)
        path = "/v1/operator/lists"
        good = {"plans": PLANS, "allowances": ALLOWANCES, "from_version": 0}
        for name, value in (("plans", 3), ("from_version", True), ("author", "a\nb")):
            status, data = client.post(path, good | {name: value})
            self.assertEqual(status, 400)
            self.assertIn(name, data.decode())
        self.assertEqual(client.post(path, good | {"x": "y" * 2_000_000})[0], 413)
        self.assertEqual(client.get(path, version=99)[0], 404)
        self.assertEqual(client.get(path, version="x")[0], 400)
        self.assertEqual(client.get("/v1/operator/recordings", name="lists/x")[0], 404)

    def test_status_shows_ages_and_the_error_of_a_failing_section(self):
        self.store.apply(PLANS, ALLOWANCES, 0, "ana")
        self.cluster.timers.advance(7)
        view = OperatorClient(self.address, KEY).get_json("/v1/operator/status")
        self.assertEqual(view["lists"]["version"], 1)
        self.assertEqual(view["lists"]["adopted_seconds_ago"], 7)
        self.assertIn("ZeroDivisionError", view["broken"]["error"])

    def test_status_reports_a_node_that_does_not_answer(self):
        nodes = ("--node", self.address, "--node", "http://127.0.0.1:1")
        status, output = self.run_command("status", *nodes)
        self.assertEqual(status, 1)
        self.assertIn("http://127.0.0.1:1: no answer", output)

    def test_different_versions_and_members_are_shown_as_disagreements(self):
        views = {
            "a": {"lists": {"version": 2}, "members": [{"id": "n1"}, {"id": "n2"}]},
            "b": {"lists": {"version": 1}, "members": [{"id": "n1"}]},
        }
        lines = find_inconsistencies(views)
        self.assertEqual(len(lines), 2)
        self.assertIn("2 at a, 1 at b", lines[0])
        self.assertIn("n2 is not seen by b", lines[1])

    def test_rival_lease_holders_and_different_member_states_are_shown(self):
        def view(held: bool, state: str) -> dict:
            lease = {"held_here": held, "fencing_number": 4}
            members = {"n3": {"state": state, "incarnation": 1}}
            return {"members": members, "control": {"leases": {"orders": lease}}}

        views = {"a": view(True, "alive"), "b": view(True, "dead")}
        lines = find_inconsistencies(views)
        self.assertIn("members: state of n3: alive at a, dead at b", lines)
        self.assertIn("leases: orders is held by a (number 4) and b (number 4)", lines)
        views = {"a": view(True, "alive"), "b": view(False, "alive")}
        views["c"] = {"members": {"error": "KeyError: 'n3'"}}
        lines = find_inconsistencies(views)
        self.assertIn("members: n3 is not seen by c", lines)
        self.assertFalse([line for line in lines if line.startswith("leases")])

    def test_replay_reads_recordings_through_a_node(self):
        timers = self.cluster.timers
        recorder = ObjectStoreRecorder(self.objects, NODE, timers, RecordingSettings())
        decision = Decision(DecisionKind.LEASE, {"held": 1}, "keep", "held", "req_1")
        recorder.record(decision)
        recorder.flush()
        arguments = ("replay", "--node", self.address, "--request", "req_1")
        status, output = self.run_command(*arguments, "--no-rerun")
        self.assertEqual(status, 0)
        self.assertIn('node-1 lease req_1: "keep" because held', output)
        self.assertIn("1 decisions, 0 differences, 0 gaps, 0 changed", output)
        # Imported modules register their decision functions here.
        with mock.patch.dict(DECISION_FUNCTIONS, clear=True):
            status, output = self.run_command(*arguments)
        self.assertEqual(status, 1)
        self.assertIn("no function decides 'lease'", output)
