"""Several processes of ``bench.peer_process`` on loopback, and their commands."""

import json
import socket
import subprocess
import sys
import time
from dataclasses import asdict

from fakes.processes import ROOT, module_environment
from rattanwick.internal.model.instances import Node

LOOPBACK = "127.0.0.1"
START_TIMEOUT_SECONDS = 60.0


def find_free_ports(count: int) -> list[int]:
    """Return TCP ports that no process listens on."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((LOOPBACK, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class PeerProcesses:
    """Peer processes that list each other as nodes."""

    def __init__(self, count: int, data_centres: int, **settings):
        self.nodes = [
            Node(
                id=f"node-{index:03d}",
                data_centre=f"dc-{index % data_centres}",
                region=f"region-{index % data_centres % 2}",
                host=LOOPBACK,
                caller_port=1,
                peer_port=port,
                operator_port=2,
                incarnation=int(time.time() * 1000),
            )
            for index, port in enumerate(find_free_ports(count))
        ]
        self._settings = settings
        self.processes = [self._start(node) for node in self.nodes]
        self.rss_imported_kib = [
            json.loads(process.stdout.readline())["rss_kib"]
            for process in self.processes
        ]

    def ask(self, index: int, do: str, **values) -> dict:
        """Send a command to one process and return its answer."""
        process = self.processes[index]
        process.stdin.write(json.dumps({"do": do, **values}) + "\n")
        process.stdin.flush()
        return json.loads(process.stdout.readline())

    def ask_all(self, do: str) -> list[dict]:
        """Send a command to each process in turn and return the answers."""
        return [self.ask(index, do) for index in range(len(self.processes))]

    def wait_live(self, indexes: list[int], wanted: int) -> float:
        """Wait until each of these processes sees ``wanted`` live nodes.

        Return the seconds that it took. Raise TimeoutError after
        ``START_TIMEOUT_SECONDS``.
        """
        started = time.monotonic()
        while not all(
            len(self.ask(index, "live")["live"]) == wanted for index in indexes
        ):
            if time.monotonic() - started > START_TIMEOUT_SECONDS:
                raise TimeoutError(
                    "the processes do not agree on the number of live nodes"
                )
            time.sleep(0.02)
        return time.monotonic() - started

    def stop(self) -> None:
        """Kill the processes and wait for their end."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
            process.stdin.close()
            process.stdout.close()

    def _start(self, node: Node) -> subprocess.Popen:
        process = subprocess.Popen(
            [sys.executable, "-m", "bench.peer_process"],
            cwd=ROOT,
            env=module_environment(),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        config = {
            "node": asdict(node),
            "listed": [asdict(item) for item in self.nodes],
            "settings": self._settings,
        }
        process.stdin.write(json.dumps(config) + "\n")
        process.stdin.flush()
        return process
