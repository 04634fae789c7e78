"""Process that runs the peer components of a node, for ``bench.peer_processes``.

It reads its configuration and then commands as JSON lines from standard input, and
writes one line of JSON per command to standard output.
"""

import json
import resource
import struct
import sys
import time

from gevent.fileobject import FileObjectThread
from gevent.socket import IPPROTO_TCP

from rattanwick.internal.base.log import configure_logs
from rattanwick.internal.base.settings import PeerSettings
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.model.instances import Endpoint, Node
from rattanwick.internal.model.request_records import RequestRegistry
from rattanwick.internal.peers.components import PeerComponents, build_peers
from rattanwick.internal.peers.metrics import RECEIVED_BYTES, SENT_BYTES
from rattanwick.internal.platform.interfaces import InstanceList

SECRET = b"a secret for the benchmark"
TCP_INFO = 11
SEGMENT_COUNTS = struct.Struct("=II")  # segments sent, segments received
SEGMENTS_OFFSET = 136  # of tcpi_segs_out in struct tcp_info
HEADER_BYTES = 52  # IPv4, TCP and the timestamp option
TOPIC = "bench"


class StaticInstances(InstanceList):
    """Instance list with a fixed list of nodes and no endpoints."""

    def __init__(self, nodes: tuple[Node, ...]):
        self._nodes = nodes

    def endpoints(self, pool: str | None = None) -> tuple[Endpoint, ...]:
        """Return no endpoints."""
        return ()

    def nodes(self) -> tuple[Node, ...]:
        """Return the nodes."""
        return self._nodes

    def age(self) -> float:
        """Return zero, as the list never changes."""
        return 0.0

    def subscribe(self, callback) -> None:
        """Ignore the callback, as the list never changes."""


class PeerProcess:
    """Peer components of one node and the commands on them."""

    def __init__(self, config: dict):
        timers = GeventTimerService()
        node = Node(**config["node"])
        listed = tuple(Node(**item) for item in config["listed"])
        settings = PeerSettings(
            address=node.host,
            port=node.peer_port,
            secret_file="",
            **config["settings"],
        )
        self._arrivals: dict[str, float] = {}  # wall time by key
        self._components: PeerComponents = build_peers(
            settings,
            node,
            SECRET,
            StaticInstances(listed),
            timers,
            RequestRegistry(timers.now),
            lambda: 1,
            lambda req: None,
            lambda req, output: None,
        )
        self._components.gossip.subscribe(TOPIC, self._note_arrival)
        self._components.start()

    def run_command(self, command: dict) -> dict:
        """Run the method that the command names and return its result."""
        return getattr(self, "run_" + command.pop("do"))(**command)

    def run_live(self) -> dict:
        """Return the ids of live nodes."""
        return {"live": [node.id for node in self._components.members.live()]}

    def run_publish(self, key: str, version: int) -> dict:
        """Publish a gossip item and return the wall time."""
        now = time.time()
        self._components.gossip.publish(TOPIC, key, version, {"text": "x" * 60})
        return {"at": now}

    def run_arrivals(self) -> dict:
        """Return the wall time at which each key first arrived."""
        return {"arrivals": self._arrivals}

    def run_stats(self) -> dict:
        """Return the resources used so far, and the present links and gossip items."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        segments = self._segments()
        payload = int(SENT_BYTES._value.get() + RECEIVED_BYTES._value.get())
        return {
            "at": time.monotonic(),
            "cpu_seconds": usage.ru_utime + usage.ru_stime,
            "payload_bytes": payload,
            "segments": segments,
            "links": len(self._components.members.links.ids()),
            "connections": len(list(self._components.network._table)),
            "live": len(self._components.members.live()),
            "news": len(self._components.gossip),
            "rss_kib": read_rss_kib(),
        }

    def _segments(self) -> int:
        total = 0
        for conn in self._components.network._table:
            info = conn._sock.getsockopt(IPPROTO_TCP, TCP_INFO, 192)
            total += sum(SEGMENT_COUNTS.unpack_from(info, SEGMENTS_OFFSET))
        return total

    def _note_arrival(self, key: str, version: int, body: dict) -> None:
        self._arrivals.setdefault(key, time.time())


def read_rss_kib() -> int:
    """Return the resident memory of this process in KiB."""
    with open("/proc/self/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


def main() -> None:
    """Read the configuration from the first line, then run a command per line."""
    configure_logs("ERROR")
    lines = FileObjectThread(sys.stdin.buffer, "rb")
    imported = read_rss_kib()
    process = PeerProcess(json.loads(lines.readline()))
    print(json.dumps({"ready": True, "rss_kib": imported}), flush=True)
    while line := lines.readline():
        print(json.dumps(process.run_command(json.loads(line))), flush=True)


if __name__ == "__main__":
    main()
