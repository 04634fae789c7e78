"""Gateway nodes as processes, with a fake platform and fake endpoints in this process.

For tests and the soak run.
"""

import json
import sys
from pathlib import Path

import gevent
from geventhttpclient import HTTPClient

from fakes.addresses import OctetReservation
from fakes.gateway_endpoint import FakeGatewayEndpoint
from fakes.gateway_platform import FakeGatewayPlatform
from fakes.processes import ROOT, SpawnedProcess
from rattanwick.internal.gateway.node_selection import MAX_NODES_ALL_SERVING

CALLER_PORT, READINESS_PORT, DIRECTORY_PORT, PEER_PORT = 18221, 18224, 18220, 17600
DATA_CENTRE = "a"
HOST = "api.example"
KEY = "k"
REQUEST_TIMEOUT_SECONDS = 1.0
POLL_INTERVAL_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 5.0
MAX_BODY_BYTES = 4_000_000
MEMORY_MB = 300  # limit of a node
GRACE_SECONDS = 8  # from SIGTERM until the platform would kill a node
NODE_FILE = """
node = "{node}"
ip = "{ip}"
zone = "{data_centre}"
bootstrap = {first_start}
port_range = [{peers}, 17615]
[listen]
front = "{ip}:{callers}"
ready = "{ip}:{readiness}"
directory = "{ip}:{entry}"
[limits]
memory_mb = {memory_mb}
[bounds]
grace_s = {grace}
usage_window_s = 1
usage_late_s = 10
[provider]
address = "{platform}"
[cloud]
address = "{platform}"
duties = ["usage_report"]
"""


def make_route(
    prefix: str,
    kind: str,
    service: str,
    attempts: int = 1,
    resumable: bool = False,
    timeout_ms: int = 8000,
) -> dict:
    """Return a route in the operator's format."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "slo_ms": 1000,
        "service": service,
        "max_attempts": attempts,
        "resumable": resumable,
    }


# One route for each kind of request, named after the kind.
ROUTES = [
    make_route("/safe/", "safe", "plain", attempts=2),
    make_route("/unsafe/", "unsafe", "plain"),
    make_route("/stream/", "stream", "engine"),
    make_route("/resume/", "stream", "engine", attempts=2, resumable=True),
]


def make_configuration(
    version: int, routes: list[dict] = ROUTES, more_services: tuple[dict, ...] = ()
) -> dict:
    """Return a configuration with the services ``engine``, ``plain`` and others."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "engine",
                "max_conns": 64,
                "engine": {"slots": 8, "kv_capacity": 9000},
            },
            {"name": "plain", "max_conns": 64},
            *more_services,
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "org", "api_keys": [KEY], "rate_per_s": 0}],
    }


class GatewayDeployment:
    """Nodes as processes, a fake platform and fake endpoints.

    ``folder`` receives the nodes' files and logs; ``names`` are those of the nodes.
    """

    def __init__(self, folder: Path, names: tuple[str, ...]):
        self.folder = folder
        # Other deployments may run on this machine at the same time.
        self._octet_reservation = OctetReservation()
        self.ips = {
            name: f"127.{self._octet_reservation.octet}.5.{number}"
            for number, name in enumerate(names, 1)
        }
        # The fakes of each deployment have their own address. Otherwise the port of a
        # stopped fake could be reused by another deployment's fake, and this
        # deployment's nodes would call it.
        self.host = f"127.{self._octet_reservation.octet}.6.1"
        self.platform = FakeGatewayPlatform(self.host)
        self.platform.start()
        self.endpoints: dict[str, FakeGatewayEndpoint] = {}
        # What each endpoint last wrote to the store; None if it has removed its entry.
        self.entries: dict[str, dict | None] = {}
        self.nodes: dict[str, SpawnedProcess] = {}

    def close(self) -> None:
        """Kill the nodes, stop the fakes and release the addresses."""
        for process in self.nodes.values():
            process.kill()
            process.wait(STOP_TIMEOUT_SECONDS)
        for endpoint in self.endpoints.values():
            endpoint.stop()
        self.platform.stop()
        self._octet_reservation.release()

    def configure(self, configuration: dict) -> None:
        """Write a configuration to the store, as the operator does."""
        self.platform.put_json("op", "config", configuration)

    def add_endpoint(self, endpoint_id: str, stream: bool) -> FakeGatewayEndpoint:
        """Start an endpoint and register it in the store."""
        endpoint = self.start_endpoint(endpoint_id, stream)
        self.register_endpoint(endpoint, endpoint.address, 1)
        return endpoint

    def start_endpoint(self, endpoint_id: str, stream: bool) -> FakeGatewayEndpoint:
        """Start an endpoint without registering it."""
        endpoint = FakeGatewayEndpoint(endpoint_id, stream, self.host)
        self.endpoints[endpoint_id] = endpoint
        return endpoint

    def register_endpoint(
        self,
        endpoint: FakeGatewayEndpoint,
        address: str,
        incarnation: int,
        service: str = "",
    ) -> None:
        """Write an endpoint's entry to the store.

        ``incarnation`` differs between processes of one endpoint. The service is
        ``engine`` or ``plain`` unless one is given.
        """
        self.entries[endpoint.id] = {
            "service": service or ("engine" if endpoint.stream else "plain"),
            "address": address,
            "zone": DATA_CENTRE,
            "slots": 8,
            "state": "ready",
            "born": incarnation,
        }
        self.write_entry(endpoint.id)

    def write_entry(self, endpoint_id: str) -> None:
        """Write an endpoint's present entry to the store, or remove it."""
        entry = self.entries[endpoint_id]
        if entry is None:
            self.platform.rows.set_row("servers", endpoint_id, None)
        else:
            self.platform.put_json("servers", endpoint_id, entry)

    def start_node(
        self,
        name: str,
        platform: str | None = None,
        first_start: bool = True,
        memory_mb: int = MEMORY_MB,
    ) -> SpawnedProcess:
        """Start a node; ``platform`` is the address of the platform, IP:PORT.

        ``first_start`` says whether the whole deployment starts for the first time.
        """
        path = self.folder / f"{name}.toml"
        text = NODE_FILE.format(
            node=name,
            ip=self.ips[name],
            data_centre=DATA_CENTRE,
            peers=PEER_PORT,
            callers=CALLER_PORT,
            readiness=READINESS_PORT,
            entry=DIRECTORY_PORT,
            grace=GRACE_SECONDS,
            memory_mb=memory_mb,
            platform=platform or self.platform.address,
            first_start=str(first_start).lower(),
        )
        path.write_text(text, encoding="utf-8")
        process = SpawnedProcess(
            [sys.executable, str(ROOT / "deploy" / "node.py"), "src"],
            {"RATTANWICK_NODE_FILE": str(path)},
            self.log_path(name),
        )
        self.nodes[name] = process
        return process

    def log_path(self, name: str) -> Path:
        """Return the log file of a node, shared by all its processes."""
        return self.folder / f"{name}.log"

    def callers_address(self, name: str) -> tuple[str, int]:
        """Return the host and port at which a node serves callers."""
        return self.ips[name], CALLER_PORT

    def addresses(self, name: str) -> list[str]:
        """Return the addresses that a node offers to callers; none if it fails."""
        client = HTTPClient(
            self.ips[name],
            DIRECTORY_PORT,
            connection_timeout=REQUEST_TIMEOUT_SECONDS,
            network_timeout=REQUEST_TIMEOUT_SECONDS,
        )
        try:
            response = client.get(f"/api/resolve?name={HOST}&region=r&zone=a")
            if response.status_code != 200:
                return []
            return json.loads(response.read())["addresses"]
        except (OSError, ValueError):
            return []
        finally:
            client.close()

    def wait_until(self, condition, seconds: float = 15.0) -> bool:
        """Wait until a condition holds; return False if it does not in time."""
        with gevent.Timeout(seconds, False):
            while not condition():
                gevent.sleep(POLL_INTERVAL_SECONDS)
            return True
        return False

    def wait_joined(self, seconds: float = 15.0) -> bool:
        """Wait until every node knows every other one; return False if not in time."""
        count = len(self.nodes)
        # In a large deployment, callers are directed to some of the nodes only.
        expected = (
            range(count, count + 1)
            if count <= MAX_NODES_ALL_SERVING
            else range(1, count)
        )
        return self.wait_until(
            lambda: all(len(self.addresses(name)) in expected for name in self.nodes),
            seconds,
        )
