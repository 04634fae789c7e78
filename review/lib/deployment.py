"""Processes of the project, with the stand-ins around them."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

from clients import HOST
from platform_standin import Platform
from recording import CannotRun, Record
from workers import Worker

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = ("gye-norte", "gye-sur", "duran")


SETTINGS = """
node = "{name}"
role = "entry"
machine_class = "front"
serves = ["front", "directory"]
ip = "{ip}"
zone = "{zone}"
region = "costa-gye"
port_range = [{peers}, {last}]
seeds = []
bootstrap = {bootstrap}
heartbeat_ms = 1200
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4200
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
lost_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 52
quota_window_s = 8
quota_overrun = 0.1
quota_slack = 110000
enforce_fencing = true
lease_ms = 3000
usage_window_s = 5
usage_off = 0.05
usage_late_s = 10
recover_s = 12
ttl_max_s = 5
[provider]
address = "{platform}"
form = "table"
[cloud]
address = "{platform}"
duties = ["usage_report"]
"""


class Node:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, deployment: "Deployment", name: str, ip: str, zone: str):
        self._deployment = deployment
        self.name, self.ip, self.zone = name, ip, zone
        self.process: subprocess.Popen | None = None
        self.bootstrap = True

    def start(self) -> None:
        """Start the process."""
        d = self._deployment
        path = d.folder / f"{self.name}.toml"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                bootstrap=str(self.bootstrap).lower(),
                platform=d.platform.address,
                **d.ports,
            ),
            encoding="utf-8",
        )
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["RATTANWICK_NODE_FILE"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(d.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "deploy/node.py", "target/app"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.bootstrap = False

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for clients."""
        return self.ip, self._deployment.ports["front"]


class Deployment:
    """Nodes, the platform and workers of a case."""

    def __init__(self, record: Record, nodes: int):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        for _ in range(50):
            self._net = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
            ips = [f"{self._net}.{n + 10}" for n in range(nodes)]
            ports = random.sample(range(20_000, 30_000), 3)
            peers = random.randrange(30_000, 31_000, 20)
            if all(_is_free(ip, p) for ip in ips for p in (*ports, peers, peers + 1)):
                break
        else:
            raise CannotRun("no free loopback ports found")
        self.ports = {
            "front": ports[0],
            "ready": ports[1],
            "directory": ports[2],
            "peers": peers,
            "last": peers + 15,
        }
        self.host = f"{self._net}.1"
        self.platform = Platform(self.host, record)
        self.workers: list[Worker] = []
        self.nodes = [
            Node(self, f"front-{ZONES[n % 3]}-{n // 3 + 1}", ip, ZONES[n % 3])
            for n, ip in enumerate(ips)
        ]

    async def add_worker(self, name: str, service: str, behave) -> Worker:
        """Start a worker and let it write its entry."""
        worker = Worker(
            self.host, name, service, ZONES[len(self.workers) % 3], self.record
        )
        worker.behave = behave
        await worker.start()
        self.workers.append(worker)
        self.platform.put("servers", worker.id, worker.entry())
        return worker

    async def start(self) -> None:
        """Start the nodes and wait until each names all of them."""
        for node in self.nodes:
            node.start()
        deadline = time.monotonic() + 25
        while time.monotonic() < deadline:
            counts = [len(await self.resolve(node)) for node in self.nodes]
            if all(count == len(self.nodes) for count in counts):
                self.record.say(f"{len(self.nodes)} nodes know each other")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"the nodes do not know each other: {counts}")

    async def resolve(self, node: Node) -> list[str]:
        """Return the addresses that a node's directory names."""
        status, body = await self.get(
            node.ip,
            self.ports["directory"],
            f"/api/resolve?name={HOST}&region=costa-gye&zone={node.zone}",
        )
        return json.loads(body)["addresses"] if status == 200 else []

    async def get(self, ip, port, path, seconds=1.0) -> tuple[int, bytes]:
        """Return status and body of a plain call; status 0 if there is no answer."""
        writer = None
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(ip, port)
                head = f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close"
                writer.write(f"{head}\r\n\r\n".encode())
                data = await reader.read()
            head, _, body = data.partition(b"\r\n\r\n")
            return int(head.split(b" ")[1]), body
        except (OSError, TimeoutError, IndexError):
            return 0, b""
        finally:
            if writer is not None:
                writer.close()

    def configure(self, configuration: dict) -> float:
        """Write a configuration as the operator; return the time of the answer."""
        self.platform.put("op", "config", configuration)
        self.record.write(f"configuration {configuration['version']} acknowledged")
        return self.record.now()

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            for path in self.folder.glob("*.log"):
                Path(keep, path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True
