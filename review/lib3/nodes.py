"""Nodes as separate processes, started with the command of the deploy file."""

import asyncio
import json
import os
import random
import signal
import socket
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
SETTINGS = """
node = "{name}"
role = "entry"
machine_class = "front"
serves = ["front", "directory"]
ip = "{ip}"
zone = "{zone}"
region = "r"
port_range = [{ports[3]}, {last}]
seeds = []
bootstrap = {bootstrap}
heartbeat_ms = 1200
[zones]
a = "r"
b = "r"
c = "r"
[listen]
front = "{ip}:{ports[0]}"
ready = "{ip}:{ports[1]}"
directory = "{ip}:{ports[2]}"
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
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 52
quota_window_s = 8
quota_overrun = 0.1
quota_slack = 110000
enforce_fencing = true
lease_ms = 3000
usage_window_s = 5
usage_late_s = 10
ttl_max_s = 5
[provider]
address = "{store}"
form = "table"
[cloud]
address = "{cloud}"
duties = ["usage_report"]
"""


class Node:
    """One node; it can be started more than once."""

    def __init__(self, number, octet, ports, folder, store, cloud):
        self.name = f"front-{'abc'[number % 3]}-{number}"
        self.ip = f"127.{octet}.1.{number + 1}"
        self.ports = ports
        self.folder = folder
        self.process = None
        self.settings = {
            "name": self.name,
            "ip": self.ip,
            "zone": "abc"[number % 3],
            "ports": ports,
            "last": ports[3] + 15,
            "store": store,
            "cloud": cloud,
        }

    async def start(self, bootstrap=True):
        path = self.folder / f"{self.name}.toml"
        text = SETTINGS.format(**self.settings, bootstrap=str(bootstrap).lower())
        path.write_text(text)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["RATTANWICK_NODE_FILE"] = str(path)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def get(self, port, path, seconds=1.0):
        """Return the status and body of an answer, (0, b"") if there is none."""

        async def ask():
            reader, writer = await asyncio.open_connection(self.ip, port)
            try:
                writer.write(
                    f"GET {path} HTTP/1.1\r\nHost: {self.ip}\r\n"
                    "Connection: close\r\n\r\n".encode()
                )
                head, _, body = (await reader.read()).partition(b"\r\n\r\n")
                return int(head.split()[1]), body
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(ask(), seconds)
        except (OSError, TimeoutError, ValueError, IndexError):
            return 0, b""

    async def is_ready(self):
        return (await self.get(self.ports[1], "/api/ready"))[0] == 200

    async def addresses(self):
        path = "/api/resolve?name=api.example&region=r&zone=a"
        status, body = await self.get(self.ports[2], path)
        return json.loads(body)["addresses"] if status == 200 else []


class Nodes:
    """All nodes of a deployment."""

    def __init__(self, count, folder, store, cloud):
        octet = random.randint(10, 250)
        ports = free_ports(f"127.{octet}.1.1")
        self.all = [
            Node(number, octet, ports, folder, store, cloud) for number in range(count)
        ]

    async def start(self, seconds=20.0):
        """Start all nodes; raise TimeoutError if they do not find each other."""
        for node in self.all:
            await node.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = [await node.addresses() for node in self.all]
            if all(len(addresses) == len(self.all) for addresses in found):
                return
            await asyncio.sleep(0.1)
        raise TimeoutError("nodes are not ready")

    async def stop(self):
        """End all processes."""
        for node in self.all:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.all:
            if node.process is not None:
                await node.process.wait()


def free_ports(ip):
    """Return ports for callers, readiness, directory and the first one for peers."""
    while True:
        first = random.randint(20, 28) * 1000 + random.randint(0, 900)
        ports = [first, first + 1, first + 2, first + 10]
        try:
            for port in (*ports, first + 11):
                with socket.socket() as sock:
                    sock.bind((ip, port))
            return ports
        except OSError:
            continue
