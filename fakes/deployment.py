"""A deployment on loopback: fakes and nodes as processes, for demo and scenarios.

Each deployment on this machine gets its own second octet of 127.0.0.0/8, so that
several can run side by side on the ports of the shipped settings.
"""

import configparser
import contextlib
import json
import secrets
import signal
import sys
import time
from pathlib import Path

from geventhttpclient import HTTPClient

from fakes.addresses import OctetReservation
from fakes.processes import ROOT, SpawnedProcess, module_environment, run_command
from rattanwick.internal.operators.client import OPERATOR_KEY_VARIABLE

START_TIMEOUT_SECONDS = 20.0
COMMAND_TIMEOUT_SECONDS = 60.0
POLL_INTERVAL_SECONDS = 0.02
STOP_TIMEOUT_SECONDS = 30.0


class DeploymentError(Exception):
    """A process did not start or stop in time, or a fake refused a request."""


def http_json(
    method: str, host: str, port: int, path: str, body=None, headers=None, timeout=10.0
) -> tuple[int, dict | list | str]:
    """Send a JSON request and return the status and the body.

    The body is decoded if it is JSON and a string otherwise. ``timeout`` is in seconds.
    Raises OSError if the connection fails.
    """
    client = HTTPClient(host, port, connection_timeout=timeout, network_timeout=timeout)
    payload = json.dumps(body).encode() if body is not None else b""
    try:
        response = client.request(
            method,
            path,
            body=payload,
            headers={"Content-Type": "application/json", **(headers or {})},
        )
        data = response.read()
        status = response.status_code
    finally:
        client.close()
    with contextlib.suppress(ValueError):
        return status, json.loads(data)
    return status, data.decode("utf-8", "replace")


class LocalNode:
    """One node that runs as a process, with the addresses of its settings file."""

    def __init__(self, settings_path: Path, log_path: Path):
        self.settings_path = settings_path
        self.log_path = log_path
        parser = configparser.ConfigParser(interpolation=None)
        parser.read(settings_path, encoding="utf-8")
        self.id = parser["node"]["id"]
        self.instance_id = parser["node"]["instance_id"]
        self.data_centre = parser["node"]["data_centre"]
        self.region = parser["node"]["region"]
        self.host = parser["callers"]["address"]
        self.caller_port = int(parser["callers"]["port"])
        self.operator_port = int(parser["operators"]["port"])
        self.peer_port = int(parser["peers"]["port"])
        self.process: SpawnedProcess | None = None

    def start(self, environment: dict[str, str]) -> None:
        """Start the process."""
        command = [sys.executable, "-m", "rattanwick", "serve"]
        command += ["--config", str(self.settings_path)]
        self.process = SpawnedProcess(command, environment, self.log_path)

    def is_ready(self) -> bool:
        """Return whether the node reports that it is ready."""
        try:
            status, _ = http_json(
                "GET", self.host, self.operator_port, "/readyz", timeout=2.0
            )
        except OSError:
            return False
        return status == 200

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(signal_number)

    def instance_list_entry(self) -> dict:
        """Return the node's entry in the instance list."""
        return {
            "service": "nodes",
            "id": self.id,
            "instance_id": self.instance_id,
            "data_centre": self.data_centre,
            "region": self.region,
            "host": self.host,
            "caller_port": self.caller_port,
            "peer_port": self.peer_port,
            "operator_port": self.operator_port,
        }


class LocalDeployment:
    """The fakes and nodes of one shipped deployment, as a context manager.

    ``folder`` receives settings, secrets and logs. ``overrides`` are settings of all
    nodes by section and key, ``endpoint_overrides`` are settings of endpoints by kind
    or id. Exceptions in the context kill the processes instead of stopping them.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        overrides: dict[str, dict[str, str]] | None = None,
        endpoint_overrides: dict | None = None,
    ):
        self.name = name
        self.folder = folder
        self.source = ROOT / "deploy" / name
        self._octet_reservation = OctetReservation()
        self.octet = self._octet_reservation.octet
        self.overrides = overrides or {}
        self.endpoint_overrides = endpoint_overrides or {}
        self.operator_key = f"demo-operator-{name}"
        self.nodes: dict[str, LocalNode] = {}
        self.endpoints: dict[str, dict] = {}
        self.platform_port = 0
        self.start_timeout_seconds = START_TIMEOUT_SECONDS
        self._fakes: list[SpawnedProcess] = []
        self._environment = module_environment()

    def __enter__(self) -> "LocalDeployment":
        """Start the fakes and the nodes."""
        try:
            self.start()
        except BaseException:
            self._stop_and_release(signal.SIGKILL)
            raise
        return self

    def __exit__(self, *exc_info) -> None:
        """Stop all processes; kill them after an exception."""
        failed = exc_info[0] is not None
        self._stop_and_release(signal.SIGKILL if failed else signal.SIGTERM)

    def _stop_and_release(self, signal_number: int) -> None:
        try:
            self.stop_all(signal_number)
        finally:
            self._octet_reservation.release()

    def start(self) -> None:
        """Start the fakes and the nodes and wait until the nodes are ready."""
        self.start_platform()
        self.start_endpoints()
        self._write_secrets()
        for path in sorted((self.source / "nodes").glob("*.ini")):
            settings = self._write_settings(path)
            node = LocalNode(settings, self.folder / f"{path.stem}.log")
            self.nodes[node.id] = node
        self.publish_instances()
        for node in self.nodes.values():
            node.start(self._environment)
        self.wait_ready(list(self.nodes))

    def start_platform(self) -> None:
        """Start the fake platform."""
        process = self._start_fake(["-m", "fakes.platform", "--port", "0"])
        self.platform_port = int(
            process.read_first_line(START_TIMEOUT_SECONDS).split()[1]
        )

    def start_endpoints(self) -> None:
        """Start the process of the fake endpoints."""
        text = (self.source / "endpoints.json").read_text(encoding="utf-8")
        configs = json.loads(self._replace_octet(text))
        for config in configs:
            config.update(self.endpoint_overrides.get(config["kind"], {}))
            config.update(self.endpoint_overrides.get(config["id"], {}))
        path = self.folder / "endpoints.json"
        path.write_text(json.dumps(configs), encoding="utf-8")
        process = self._start_fake(["-m", "fakes.endpoints", "--config", str(path)])
        ports = json.loads(process.read_first_line(START_TIMEOUT_SECONDS))
        for config in configs:
            config["port"] = ports[config["id"]]
            self.endpoints[config["id"]] = config

    def publish_instances(
        self,
        leaving: frozenset[str] = frozenset(),
        unlisted: frozenset[str] = frozenset(),
    ) -> None:
        """Set the instance list to the nodes and endpoints of the deployment.

        The ids in ``leaving`` are marked as leaving, those in ``unlisted`` left out.
        """
        listed = [node.instance_list_entry() for node in self.nodes.values()]
        for config in self.endpoints.values():
            fields = ("id", "pool", "kind", "data_centre", "region", "host", "port")
            fields += ("slots", "price", "reclaimable", "checks_fencing")
            entry = {name: config[name] for name in fields}
            listed.append({"service": "endpoints", **entry})
        for entry in listed:
            entry["leaving"] = entry["id"] in leaving
        listed = [entry for entry in listed if entry["id"] not in unlisted]
        self.platform("PUT", "/_fake/instances", listed)

    def platform(self, method: str, path: str, body=None):
        """Call the admin interface of the fake platform; return the decoded body.

        Raises DeploymentError for an error status.
        """
        status, reply = http_json(method, "127.0.0.1", self.platform_port, path, body)
        if status >= 300:
            raise DeploymentError(f"fake platform refused {path}: {status} {reply}")
        return reply

    def endpoint(self, endpoint_id: str, method: str, path: str, body=None):
        """Call the admin interface of an endpoint, also of one that is down.

        Raises DeploymentError for an error status.
        """
        # Every endpoint of the process serves the admin paths of the others.
        others = [item for item in self.endpoints.values() if item["id"] != endpoint_id]
        for target in (self.endpoints[endpoint_id], *others):
            full = f"/_fake/endpoints/{endpoint_id}/{path}"
            try:
                status, reply = http_json(
                    method, target["host"], target["port"], full, body
                )
            except OSError:
                continue
            if status >= 300:
                raise DeploymentError(f"fake endpoint refused {full}: {status} {reply}")
            return reply
        raise DeploymentError(f"no admin interface reachable for {endpoint_id}")

    def wait_ready(self, node_ids: list[str]) -> None:
        """Wait until nodes are ready.

        Raises DeploymentError if a node ends or is not ready within
        ``start_timeout_seconds``.
        """
        deadline = time.monotonic() + self.start_timeout_seconds
        waiting = [self.nodes[node_id] for node_id in node_ids]
        while waiting:
            waiting = [node for node in waiting if not node.is_ready()]
            for node in waiting:
                self._check_running(node)
            if waiting and time.monotonic() > deadline:
                names = ", ".join(node.id for node in waiting)
                raise DeploymentError(f"nodes not ready in time: {names}")
            time.sleep(POLL_INTERVAL_SECONDS)

    def apply_lists(
        self,
        from_version: int = 0,
        folder: Path | None = None,
        node_id: str | None = None,
    ) -> tuple[int, str]:
        """Run ``lists apply`` at a node; return the exit status and the output.

        The lists are those of ``folder``, by default the shipped ones. The default of
        ``node_id`` is the first node.
        """
        source = folder or self.source
        node = self.nodes[node_id or next(iter(self.nodes))]
        command = [sys.executable, "-m", "rattanwick", "lists", "apply"]
        command += ["--node", f"http://{node.host}:{node.operator_port}"]
        command += ["--plans", str(source / "plans.ini")]
        command += ["--allowances", str(source / "allowances.ini")]
        command += ["--from-version", str(from_version)]
        environment = {**self._environment, OPERATOR_KEY_VARIABLE: self.operator_key}
        completed = run_command(command, environment, COMMAND_TIMEOUT_SECONDS)
        return completed.returncode, completed.stdout + completed.stderr

    def stop_node(self, node_id: str, signal_number: int = signal.SIGTERM) -> int:
        """Send a signal to a node, wait until it ends and return its exit status."""
        node = self.nodes[node_id]
        node.send_signal(signal_number)
        status = node.process.wait(STOP_TIMEOUT_SECONDS)
        if status is None:
            raise DeploymentError(
                f"node {node_id} still runs {STOP_TIMEOUT_SECONDS} s after the signal"
            )
        return status

    def start_node(self, node_id: str) -> None:
        """Start a stopped node again and wait until it is ready."""
        self.nodes[node_id].start(self._environment)
        self.wait_ready([node_id])

    def stop_all(self, signal_number: int = signal.SIGTERM) -> dict[str, int]:
        """Stop the nodes, then the fakes; return the nodes' exit statuses."""
        statuses = {}
        running = [node for node in self.nodes.values() if node.process]
        for node in running:
            if node.process.poll() is None:
                node.send_signal(signal.SIGCONT)
                node.send_signal(signal_number)
        for node in running:
            statuses[node.id] = self._wait_or_kill(node.process)
        for process in reversed(self._fakes):
            process.terminate()
            self._wait_or_kill(process)
        return statuses

    def _wait_or_kill(self, process: SpawnedProcess) -> int:
        status = process.wait(STOP_TIMEOUT_SECONDS)
        if status is None:
            process.kill()
            status = process.wait(STOP_TIMEOUT_SECONDS)
        return status

    def _start_fake(self, arguments: list[str]) -> SpawnedProcess:
        process = SpawnedProcess(
            [sys.executable, *arguments],
            self._environment,
            self.folder / f"{arguments[1]}.out",
            self.folder / f"{arguments[1]}.log",
        )
        self._fakes.append(process)
        return process

    def _write_secrets(self) -> None:
        (self.folder / "peers.secret").write_text(secrets.token_hex(32))
        (self.folder / "platform.ini").write_text(
            f"[credentials]\naccess_key = demo\nsecret_key = {secrets.token_hex(16)}\n"
        )

    def _write_settings(self, path: Path) -> Path:
        text = path.read_text(encoding="utf-8")
        text = text.replace("/run/rattanwick", str(self.folder))
        text = text.replace(
            f"127.{self._shipped_octet()}.0.1:9000", f"127.0.0.1:{self.platform_port}"
        )
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_string(self._replace_octet(text))
        for section, values in self.overrides.items():
            if not parser.has_section(section):
                parser.add_section(section)
            parser[section].update(values)
        target = self.folder / path.name
        with open(target, "w", encoding="utf-8") as file:
            parser.write(file)
        return target

    def _shipped_octet(self) -> int:
        return {"guayas": 1, "bortolini": 2}[self.name]

    def _replace_octet(self, text: str) -> str:
        return text.replace(f"127.{self._shipped_octet()}.", f"127.{self.octet}.")

    def _check_running(self, node: LocalNode) -> None:
        status = node.process.poll()
        if status is not None:
            tail = node.log_path.read_text(encoding="utf-8", errors="replace")[-2000:]
            raise DeploymentError(f"node {node.id} exited with {status}:\n{tail}")
