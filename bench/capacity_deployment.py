"""Deployments with any number of real nodes for the capacity measurement."""

import json
import signal
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from fakes.deployment import ROOT, LocalDeployment
from rattanwick.internal.operators.client import OperatorClient

DATA_CENTRES = ("gye-norte", "gye-sur", "duran")
SHIPPED_DEPLOYMENT = ROOT / "deploy" / "guayas"
NODE_TEMPLATE = SHIPPED_DEPLOYMENT / "nodes" / "gye-norte-1.ini"
MIN_HOST_NUMBER = 101  # lower ones belong to the shipped nodes and endpoints
START_TIMEOUT_SECONDS = 90.0  # 48 processes share a few cores while they start
ALLOWANCE_TEMPLATE = """
[allowance {plan} {pool}]
tokens_per_minute = 2000000000
requests_per_minute = {requests}
max_output_tokens = 20000
priority = 5
hedge = no
max_deadline_seconds = 300
"""
PLANS = ("grande", "basico")
POOLS = ("rattan-afila", "agenda-vans")
REQUESTS_PER_MINUTE = 100_000_000
CALLER_KEY = "demo-key-mercados-norte"
CHAT_POOL = "rattan-afila"
SERVICE_POOL = "agenda-vans"
SLOTS = 4096


def make_node_settings(index: int) -> tuple[str, str]:
    """Return the id and the settings file of a node; data centres take turns."""
    data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
    number = index // len(DATA_CENTRES) + 1
    name = f"{data_centre}-{number}"
    host = f"127.1.{index % len(DATA_CENTRES) + 1}.{MIN_HOST_NUMBER + number}"
    text = NODE_TEMPLATE.read_text(encoding="utf-8")
    text = text.replace("gye-norte-1", name).replace("127.1.1.1\n", f"{host}\n")
    return name, text.replace("data_centre = gye-norte", f"data_centre = {data_centre}")


def make_allowances(requests: int = REQUESTS_PER_MINUTE) -> str:
    """Return a list of allowances that are too large to limit a measurement."""
    return "".join(
        ALLOWANCE_TEMPLATE.format(plan=plan, pool=pool, requests=requests)
        for plan in PLANS
        for pool in POOLS
    )


class CapacityDeployment(LocalDeployment):
    """Deployment of ``nodes`` nodes that lists more endpoints than the fake serves."""

    def __init__(
        self,
        folder: Path,
        nodes: int,
        listed_endpoints: int = 12,
        engine: dict | None = None,
        service: dict | None = None,
        overrides: dict | None = None,
    ):
        engine = {"slots": SLOTS, "cache_blocks": 64, **(engine or {})}
        service = {"slots": SLOTS, **(service or {})}
        super().__init__(
            "guayas",
            folder,
            overrides={"tracing": {"sample_ratio": "0"}, **(overrides or {})},
            endpoint_overrides={"engine": engine, "service": service},
        )
        self.start_timeout_seconds = START_TIMEOUT_SECONDS
        self.listed_endpoints = listed_endpoints
        self.version = 0
        self.source = folder / "source"
        self._write_source(nodes)

    def _write_source(self, count: int) -> None:
        (self.source / "nodes").mkdir(parents=True)
        for index in range(count):
            name, text = make_node_settings(index)
            (self.source / "nodes" / f"{name}.ini").write_text(text, encoding="utf-8")
        for name in ("endpoints.json", "plans.ini"):
            text = (SHIPPED_DEPLOYMENT / name).read_text(encoding="utf-8")
            (self.source / name).write_text(text, encoding="utf-8")

    def publish_instances(self, leaving: frozenset[str] = frozenset()) -> None:
        """List nodes and endpoints; added endpoints share ports with served engines."""
        served = list(self.endpoints.items())
        if len(served) < self.listed_endpoints:
            engines = [item for item in served if item[1]["kind"] == "engine"]
            for index in range(self.listed_endpoints - len(served)):
                name, config = engines[index % len(engines)]
                new_id = f"{name}-copy-{index}"
                self.endpoints[new_id] = {**config, "id": new_id}
        super().publish_instances(leaving)

    def operator_client(self, index: int = 0) -> OperatorClient:
        """Return a client of a node's operator interface."""
        node = list(self.nodes.values())[index]
        address = f"http://{node.host}:{node.operator_port}"
        return OperatorClient(address, self.operator_key)

    def change_lists(self, requests: int = REQUESTS_PER_MINUTE) -> dict:
        """Apply the next version of the lists and return the node's answer.

        Raise RuntimeError if the node does not accept them.
        """
        plans = (self.source / "plans.ini").read_text(encoding="utf-8")
        body = {
            "plans": plans,
            "allowances": make_allowances(requests),
            "from_version": self.version,
            "author": "capacity",
        }
        _, data = self.operator_client().post("/v1/operator/lists", body)
        answer = json.loads(data)
        if answer.get("result") not in ("accepted", "stored"):
            raise RuntimeError(f"the lists were not applied: {answer}")
        self.version = answer["version"]
        return answer

    def counters(self) -> dict[str, int]:
        """Return the number of reads and writes at the platform so far, by service."""
        return self.platform("GET", "/_fake/counters")

    def __exit__(self, *exc_info) -> None:
        """Kill the processes: the measurement needs no graceful stop."""
        self.stop_all(signal.SIGKILL)


@contextmanager
def open_deployment(nodes: int, **settings) -> Iterator[CapacityDeployment]:
    """Run a deployment with its files in a temporary folder."""
    with (
        tempfile.TemporaryDirectory(prefix="rattanwick-capacity-") as folder,
        CapacityDeployment(Path(folder), nodes, **settings) as deployment,
    ):
        yield deployment
