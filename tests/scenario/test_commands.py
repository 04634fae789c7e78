"""The commands work as documented, on the shipped files and on running nodes.

Guards against shipped files that do not pass the checks, exit statuses that differ from
the documented ones, and a status that lacks a section.
"""

import json
import os
import sys
import tempfile
import time
import unittest
from pathlib import Path

from fakes.deployment import COMMAND_TIMEOUT_SECONDS, ROOT, LocalDeployment
from fakes.processes import run_command as spawn_command

DEPLOYMENTS = ("guayas", "bortolini")
LEASE_TIMEOUT_SECONDS = 12.0


def run_command(*arguments: str, key: str = "") -> tuple[int, str, str]:
    """Run the command line; return exit status, output and errors."""
    environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
    environment["RATTANWICK_OPERATOR_KEY"] = key
    command = [sys.executable, "-m", "rattanwick", *arguments]
    done = spawn_command(command, environment, COMMAND_TIMEOUT_SECONDS)
    return done.returncode, done.stdout, done.stderr


class ShippedFileTests(unittest.TestCase):
    def test_each_shipped_settings_file_is_valid_once_its_secrets_exist(self):
        with tempfile.TemporaryDirectory() as folder:
            for name in ("peers.secret", "platform.ini"):
                (Path(folder) / name).write_text("x")
            for path in sorted((ROOT / "deploy").glob("*/nodes/*.ini")):
                with self.subTest(path=path.name):
                    self.check_file(path, Path(folder))

    def check_file(self, path: Path, folder: Path) -> None:
        status, _, errors = run_command("check", "--config", str(path))
        self.assertEqual(status, 2)
        problems = errors.strip().splitlines()
        self.assertEqual(len(problems), 2, errors)
        self.assertIn("secret_file", errors)
        self.assertIn("credentials_file", errors)
        copy = folder / path.name
        copy.write_text(path.read_text().replace("/run/rattanwick", str(folder)))
        status, output, errors = run_command("check", "--config", str(copy))
        self.assertEqual((status, errors), (0, ""))
        self.assertIn("no problems", output)

    def test_shipped_lists_are_valid(self):
        for name in DEPLOYMENTS:
            with self.subTest(deployment=name):
                folder = ROOT / "deploy" / name
                status, output, errors = run_command(
                    "lists",
                    "check",
                    "--plans",
                    str(folder / "plans.ini"),
                    "--allowances",
                    str(folder / "allowances.ini"),
                )
                self.assertEqual((status, errors), (0, ""), output)


class RunningNodeTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory(prefix="rattanwick-commands-")
        cls.addClassCleanup(folder.cleanup)
        cls.deployment = LocalDeployment("guayas", Path(folder.name))
        cls.deployment.__enter__()
        cls.addClassCleanup(cls.deployment.__exit__, None, None, None)
        status, output = cls.deployment.apply_lists()
        assert status == 0, output
        cls.nodes = list(cls.deployment.nodes.values())

    def command(self, *arguments: str) -> tuple[int, str, str]:
        return run_command(*arguments, key=self.deployment.operator_key)

    def address(self, index: int) -> str:
        node = self.nodes[index]
        return f"http://{node.host}:{node.operator_port}"

    def status(self, count: int) -> tuple[int, str, str]:
        options = [("--node", self.address(index)) for index in range(count)]
        return self.command("status", *[word for pair in options for word in pair])

    def test_history_is_printed_and_a_stale_edit_is_refused(self):
        node = ("--node", self.address(1))
        status, output, errors = self.command("lists", "history", *node)
        self.assertEqual((status, errors), (0, ""))
        self.assertIn("1", output)
        source = ROOT / "deploy" / "guayas"
        files = ("--plans", str(source / "plans.ini"))
        files += ("--allowances", str(source / "allowances.ini"))
        status, output, errors = self.command(
            "lists", "apply", *node, *files, "--from-version", "0"
        )
        self.assertEqual(status, 4, output + errors)

    def test_a_wrong_key_or_an_unreachable_node_gives_exit_status_1(self):
        node = ("--node", self.address(0))
        status, _, errors = run_command("status", *node, key="wrong")
        self.assertEqual(status, 1)
        self.assertIn("status 401", errors)
        unreachable = ("--node", f"http://{self.nodes[0].host}:9")
        status, output, errors = self.command("status", *node, *unreachable)
        self.assertEqual(status, 1)
        self.assertIn("no answer", errors)
        self.assertIn("members", output)

    def test_status_shows_one_lease_holder_whose_stop_releases_the_lease(self):
        views = self.wait_for_holder()
        holder = views["held"]
        for view in views["all"]:
            self.assertEqual(view["lists"]["version"], 1)
            self.assertEqual(len(view["members"]), len(self.nodes) - 1)
            heard = [m["heard_seconds_ago"] for m in view["members"].values()]
            self.assertTrue(all(age is not None and age < 5 for age in heard), heard)
            self.assertEqual(len(view["endpoints"]["endpoints"]), 12)
            self.assertEqual(view["recording"]["dropped"], 0)
        lease = holder["control"]["leases"]["orders"]
        self.assertEqual(lease["fencing_number"], 1)
        self.assertGreater(lease["ends_in_seconds"], 0)
        node = self.deployment.nodes[holder["node"]["id"]]
        self.assertEqual(self.deployment.stop_node(node.id), 0)
        self.assertIn("leases: released lease orders", node.log_path.read_text())
        self.deployment.start_node(node.id)

    def wait_for_holder(self) -> dict:
        """Return the statuses of all nodes, and that of the lease holder."""
        deadline = time.monotonic() + LEASE_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            status, output, errors = self.status(len(self.nodes))
            self.assertEqual((status, errors), (0, ""))
            views = [json.loads(text) for text in _views(output)]
            held = [view for view in views if _holds(view)]
            if held:
                self.assertEqual(len(held), 1)
                self.assertNotIn("disagreement: lists", output)
                return {"all": views, "held": held[0]}
            time.sleep(0.5)
        raise AssertionError("no node holds the lease")


def _views(output: str) -> list[str]:
    """Return the JSON text that ``status`` printed for each node."""
    parts = output.split("http://")[1:]
    return [part.partition(":\n")[2].split("\ndisagreement:")[0] for part in parts]


def _holds(view: dict) -> bool:
    leases = view["control"]["leases"]
    return "orders" in leases and leases["orders"]["held_here"]
