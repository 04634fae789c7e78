"""Check the built program: help, an invalid settings file, and a node that serves."""

import configparser
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "src")]

from fakes.deployment import LocalDeployment  # noqa: E402
from fakes.processes import SpawnedProcess  # noqa: E402

BINARY = ROOT / "dist" / "rattanwick"
SHIPPED = ROOT / "deploy" / "guayas" / "nodes" / "duran-1.ini"
# (section, key, invalid value); the last key does not exist.
INVALID_SETTINGS = (
    ("node", "id", "Node One"),
    ("callers", "port", "99999"),
    ("operators", "address", "localhost"),
    ("peers", "heartbeat_seconds", "often"),
    ("routing", "weight_cots", "1"),
)
SERVE_SECONDS = 3.0  # time in which a child process would show


def run(arguments: list[str], environment: dict) -> subprocess.CompletedProcess:
    """Run the program and return its exit status and output."""
    command = [str(BINARY), *arguments]
    return subprocess.run(command, env=environment, capture_output=True, text=True)


def check_settings(folder: Path, environment: dict) -> None:
    """Check that ``check`` prints a line for each invalid setting and exits with 2."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(SHIPPED, encoding="utf-8")
    secret = folder / "secret"
    secret.write_text("a secret of the nodes", encoding="utf-8")
    parser["peers"]["secret_file"] = str(secret)
    parser["platform"]["credentials_file"] = str(secret)
    for section, key, value in INVALID_SETTINGS:
        parser[section][key] = value
    path = folder / "faulty.ini"
    with open(path, "w", encoding="utf-8") as file:
        parser.write(file)
    completed = run(["check", "--config", str(path)], environment)
    lines = completed.stderr.splitlines()
    for section, key, _ in INVALID_SETTINGS:
        assert any(f"[{section}] {key}" in line for line in lines), (key, lines)
    assert (len(lines), completed.returncode) == (len(INVALID_SETTINGS), 2), completed
    print("check: exit 2, five faults, each with section, key and remedy")


def child_processes(pid: int) -> str:
    """Return the ids of the child processes of a process."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return " ".join((task / "children").read_text() for task in tasks).strip()


def check_serve(folder: Path, environment: dict) -> None:
    """Check that a node of the built program has no children and exits with 0."""
    with LocalDeployment("guayas", folder) as deployment:
        deployment.stop_node("duran-1")
        settings = deployment.nodes["duran-1"].settings_path
        command = [str(BINARY), "serve", "--config", str(settings)]
        process = SpawnedProcess(command, environment, folder / "binary.log")
        deployment.nodes["duran-1"].process = process
        deployment.wait_ready(["duran-1"])
        time.sleep(SERVE_SECONDS)
        children = child_processes(process.pid)
        assert not children, f"the node has child processes: {children}"
        status = deployment.stop_node("duran-1", signal.SIGTERM)
        assert status == 0, f"the node exited with {status} on SIGTERM"
    print("serve: ready, one process without children, exit 0 on SIGTERM")


def main() -> int:
    """Run all checks; a failed assertion ends the script with status 1."""
    with tempfile.TemporaryDirectory(prefix="rattanwick-dist-") as name:
        folder = Path(name)
        environment = {**os.environ, "SHIV_ROOT": str(folder / "shiv")}
        completed = run(["--help"], environment)
        assert completed.returncode == 0, completed
        assert "serve" in completed.stdout, completed
        print("help: exit 0")
        check_settings(folder, environment)
        check_serve(folder, environment)
    return 0


if __name__ == "__main__":
    sys.exit(main())
