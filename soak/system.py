"""The system under soak: nodes, stand-ins, and proxies between them."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import gevent
from gevent import socket

from fakes.addresses import split_address
from fakes.gateway_deployment import (
    GatewayDeployment,
    make_configuration,
)
from soak.proxy import LoopbackProxy

EVENT_SECONDS = 0.02
WORK_SECONDS = 0.02
START_SECONDS = 15.0  # until a node listens; the platform's bound of a recovery
# After a fault of a node, for which its callers may still notice it.
AFTERMATH_SECONDS = 1.0


class SoakError(Exception):
    """Report a system that did not come up."""


@dataclass(slots=True)
class NodeOutage:
    """Tell when a node was killed, stopped or paused."""

    node: tuple[str, int]  # address for callers
    started: float  # monotonic seconds
    ended: float


class SoakSystem:
    """Hold the deployment and what the faults did to it."""

    def __init__(self, folder: Path, nodes: int, engines: int, plain: int):
        self.names = [f"front-a-{number}" for number in range(1, nodes + 1)]
        self.deployment = GatewayDeployment(folder, tuple(self.names))
        self.outages: list[NodeOutage] = []
        self.failures: list[str] = []
        self.store_links: dict[str, LoopbackProxy] = {}
        self.endpoint_links: dict[str, LoopbackProxy] = {}
        self.ledger: dict[str, list[dict[str, str]]] = {}  # requests by endpoint
        self.unidentified_requests: list[
            str
        ] = []  # requests without an id, and their senders
        self.version = 1
        self._busy: set[str] = set()
        self._born = 1
        self.deployment.configure(make_configuration(self.version))
        for number in range(engines):
            self._add_endpoint(f"e-{number}", stream=True)
        for number in range(plain):
            self._add_endpoint(f"p-{number}", stream=False)

    def start(self) -> None:
        """Start the nodes and wait until they know each other."""
        store = split_address(self.deployment.platform.address)
        for name in self.names:
            self.store_links[name] = LoopbackProxy(store, self.deployment.host)
            self.start_node(name)
        if not self.deployment.wait_joined():
            raise SoakError("the nodes did not come up")

    def close(self) -> None:
        """End everything."""
        self.deployment.close()
        for link in (*self.store_links.values(), *self.endpoint_links.values()):
            link.close()

    def heal(self) -> None:
        """End the faults that last until they are undone."""
        for link in (*self.store_links.values(), *self.endpoint_links.values()):
            link.heal()
        rows = self.deployment.platform.rows
        rows.down, rows.lose_answers = False, 0
        for endpoint in self.deployment.endpoints.values():
            endpoint.fault = ""

    def start_node(self, name: str) -> None:
        """Start a node behind its link to the store, and wait until it listens."""
        self.deployment.start_node(name, self.store_links[name].address)
        if not self.deployment.wait_until(lambda: self._listens(name), START_SECONDS):
            self.failures.append(f"{name} did not listen within {START_SECONDS} s")

    def _listens(self, name: str) -> bool:
        address = self.deployment.callers_address(name)
        try:
            socket.create_connection(address, 1.0).close()
        except OSError:
            return False
        return True

    @contextmanager
    def record_outage(self, name: str) -> Iterator[bool]:
        """Note a disturbance; yield False where another one of the node goes on."""
        if name in self._busy:
            yield False
            return
        self._busy.add(name)
        address = self.deployment.callers_address(name)
        noted = NodeOutage(address, time.monotonic(), float("inf"))
        self.outages.append(noted)
        try:
            yield True
        finally:
            noted.ended = time.monotonic() + AFTERMATH_SECONDS
            self._busy.discard(name)

    def change_configuration(self) -> int:
        """Write the next version of the configuration and return its number."""
        self.version += 1
        self.deployment.configure(make_configuration(self.version))
        return self.version

    def restart_endpoint(self, endpoint_id: str, seconds: float, moves: bool) -> None:
        """End an endpoint and start it again under the same id."""
        endpoint = self.deployment.endpoints[endpoint_id]
        link = self.endpoint_links[endpoint_id]
        endpoint.stop()
        link.refuses = True
        link.reset_all()
        gevent.sleep(seconds)
        if moves:
            link.close()
        self._born += 1
        self._add_endpoint(endpoint_id, endpoint.stream, None if moves else link)

    def _add_endpoint(
        self, endpoint_id: str, stream: bool, link: LoopbackProxy | None = None
    ) -> None:
        endpoint = self.deployment.start_endpoint(endpoint_id, stream)
        endpoint.echo_request_id = True
        endpoint.event_seconds = EVENT_SECONDS
        endpoint.work_seconds = WORK_SECONDS
        # One ledger for all processes of an endpoint's id.
        endpoint.executed_requests = self.ledger.setdefault(
            endpoint_id, endpoint.executed_requests
        )
        endpoint.unidentified_requests = self.unidentified_requests
        upstream = split_address(endpoint.address)
        if link is None:
            link = LoopbackProxy(upstream, self.deployment.host)
        else:
            link.upstream = upstream
            link.heal()
        self.endpoint_links[endpoint_id] = link
        self.deployment.register_endpoint(endpoint, link.address, self._born)
