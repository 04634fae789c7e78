"""The system under test: nodes, fakes of store and endpoints, and proxies between."""

import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from itertools import count
from pathlib import Path

import gevent
from gevent import socket

from fakes.addresses import split_address
from fakes.gateway_deployment import (
    ROUTES,
    GatewayDeployment,
    make_configuration,
    make_route,
)
from fakes.gateway_endpoint import EVENTS, FakeGatewayEndpoint
from soak.proxy import LoopbackProxy
from soak.slow_callers import BODY_COPIES, SLOW_PREFIX

CRASHING_PART = "d1"  # of prompts; it crashes each endpoint
EVENT_INTERVAL_SECONDS = 0.02  # between the events of a stream
RESPONSE_DELAY_SECONDS = 0.02  # before a response that is no stream
SLOW_ENDPOINTS = 2  # of each kind
# A response of a slow endpoint takes 4 to 7 s, a large part of the time in which a node
# must stop.
SLOW_RESPONSE_SECONDS = 5.5
SLOW_TIME_SPREAD = 0.27
SLOW_PLAIN, SLOW_ENGINE = "slow-plain", "slow-engine"
SLOW_TIMEOUT_MS = 12_000  # longer than the deadlines of slow requests
SLOW_ROUTES = [
    make_route(
        f"/{SLOW_PREFIX}{kind}/",
        route,
        service,
        attempts,
        kind == "resume",
        SLOW_TIMEOUT_MS,
    )
    for kind, route, service, attempts in (
        ("safe", "safe", SLOW_PLAIN, 2),
        ("unsafe", "unsafe", SLOW_PLAIN, 1),
        ("stream", "stream", SLOW_ENGINE, 1),
        ("resume", "stream", SLOW_ENGINE, 2),
    )
]
SLOW_SERVICES = (
    {"name": SLOW_PLAIN, "max_conns": 64},
    {
        "name": SLOW_ENGINE,
        "max_conns": 64,
        "engine": {"slots": 8, "kv_capacity": 9000},
    },
)
# Until the entry of an endpoint that has left is removed again from a restored store,
# beyond the time in which others write theirs.
REMOVAL_DELAY_SECONDS = 1.5
# Until a node listens; the time in which the platform requires a recovery.
START_TIMEOUT_SECONDS = 15.0
# For this time after the outage of a node, its requests may still be affected.
OUTAGE_MARGIN_SECONDS = 1.0


class SoakError(Exception):
    """The nodes did not start or did not find each other."""


@dataclass(slots=True)
class NodeOutage:
    """Time for which a node was killed, stopped or paused."""

    node: tuple[str, int]  # address for callers
    started: float  # monotonic seconds
    ended: float
    planned: bool = False  # whether it began with SIGTERM


@dataclass(slots=True)
class Disruption:
    """Time for which the store, or the way to it, was faulty."""

    started: float  # monotonic seconds
    ended: float


@dataclass(slots=True)
class Acknowledgement:
    """Time at which the store accepted a configuration."""

    at: float  # monotonic seconds
    version: int


@dataclass(slots=True)
class Departure:
    """Time at which the store accepted that an endpoint leaves."""

    endpoint: FakeGatewayEndpoint
    at: float  # monotonic seconds


@dataclass(slots=True)
class NamedLimit:
    """Time for which an endpoint named a limit of requests per second."""

    endpoint: FakeGatewayEndpoint
    rate: float  # infinite if the value is malformed
    started: float  # monotonic seconds
    ended: float


class SoakSystem:
    """The deployment, the proxies in it, and a record of the outages."""

    def __init__(self, folder: Path, nodes: int, engines: int, plain: int):
        self.names = [f"front-a-{number}" for number in range(1, nodes + 1)]
        self.deployment = GatewayDeployment(folder, tuple(self.names))
        self.outages: list[NodeOutage] = []
        self.limits: list[NamedLimit] = []
        # Times of crashes by CRASHING_PART, in monotonic seconds.
        self.part_crashes: list[float] = []
        self.started_endpoints: list[FakeGatewayEndpoint] = []
        self.failures: list[str] = []
        self.store_proxies: dict[str, LoopbackProxy] = {}
        self.endpoint_proxies: dict[str, LoopbackProxy] = {}
        # Headers of the requests that ran, by endpoint id.
        self.ledger: dict[str, list[dict[str, str]]] = {}
        # Requests that reached an endpoint without an id, with their senders.
        self.unidentified_requests: list[str] = []
        self.version = 1
        self.acknowledgements: list[Acknowledgement] = []
        self.departures: list[Departure] = []
        self.store_disruptions: list[Disruption] = []
        self._nodes_in_outage: set[str] = set()
        self._born = 1
        self._sound_numbers = count()
        self._configure()
        for number in range(engines):
            self._add_endpoint(f"e-{number}", stream=True)
        for number in range(plain):
            self._add_endpoint(f"p-{number}", stream=False)
        for number in range(SLOW_ENDPOINTS):
            self._add_slow_endpoint(f"sp-{number}", SLOW_PLAIN)
            self._add_slow_endpoint(f"se-{number}", SLOW_ENGINE)
        # Ids of the endpoints that leave one after the other.
        self._leaving = [self._add_sound_endpoint() for _ in range(2)]

    def start(self) -> None:
        """Start the nodes and wait until they know each other.

        Raise SoakError if they do not.
        """
        store = split_address(self.deployment.platform.address)
        for name in self.names:
            self.store_proxies[name] = LoopbackProxy(store, self.deployment.host)
            self.start_node(name)
        if not self.deployment.wait_joined():
            raise SoakError("the nodes did not join each other after their start")
        # The bound of the first configuration begins when all nodes run.
        self.acknowledgements = [Acknowledgement(time.monotonic(), self.version)]

    def close(self) -> None:
        """Stop the deployment and the proxies."""
        self.deployment.close()
        for proxy in (*self.store_proxies.values(), *self.endpoint_proxies.values()):
            proxy.close()

    def heal(self) -> None:
        """End the faults of proxies, store and endpoints."""
        for proxy in (*self.store_proxies.values(), *self.endpoint_proxies.values()):
            proxy.heal()
        rows = self.deployment.platform.rows
        rows.down, rows.lose_answers = False, 0
        for endpoint in self.deployment.endpoints.values():
            endpoint.fault = endpoint.rate_limit = ""

    def start_node(self, name: str) -> None:
        """Start a node behind its store proxy and wait until it listens.

        A node that does not listen in time is added to ``failures``.
        """
        self.deployment.start_node(name, self.store_proxies[name].address)
        if not self.deployment.wait_until(
            lambda: self._is_listening(name), START_TIMEOUT_SECONDS
        ):
            self.failures.append(
                f"{name} did not listen within {START_TIMEOUT_SECONDS} s"
            )

    def _is_listening(self, name: str) -> bool:
        address = self.deployment.callers_address(name)
        try:
            socket.create_connection(address, 1.0).close()
        except OSError:
            return False
        return True

    @contextmanager
    def record_outage(self, name: str, planned: bool = False) -> Iterator[bool]:
        """Record an outage of a node for the time of the context.

        ``planned`` tells that it begins with SIGTERM.

        Yield False, and record nothing, during another outage of the node.
        """
        if name in self._nodes_in_outage:
            yield False
            return
        self._nodes_in_outage.add(name)
        address = self.deployment.callers_address(name)
        outage = NodeOutage(address, time.monotonic(), float("inf"), planned)
        self.outages.append(outage)
        try:
            yield True
        finally:
            outage.ended = time.monotonic() + OUTAGE_MARGIN_SECONDS
            self._nodes_in_outage.discard(name)

    @contextmanager
    def record_limit(self, endpoint_id: str, rate: str) -> Iterator[bool]:
        """Let an endpoint name a limit for the time of the context, and record it.

        Yield False, and change nothing, if the endpoint names one already.
        """
        endpoint = self.deployment.endpoints[endpoint_id]
        if endpoint.rate_limit:
            yield False
            return
        endpoint.rate_limit = rate
        per_second = float(rate) if rate.replace(".", "").isdigit() else float("inf")
        limit = NamedLimit(endpoint, per_second, time.monotonic(), float("inf"))
        self.limits.append(limit)
        try:
            yield True
        finally:
            endpoint.rate_limit = ""
            limit.ended = time.monotonic()

    @contextmanager
    def record_store_disruption(self) -> Iterator[None]:
        """Record a disruption of the store for the time of the context."""
        disruption = Disruption(time.monotonic(), float("inf"))
        self.store_disruptions.append(disruption)
        try:
            yield
        finally:
            disruption.ended = time.monotonic()

    def rewrites(self) -> list[Callable[[], None]]:
        """Return calls that write again what operator and endpoints last wrote."""
        return [
            self._configure,
            *(
                partial(self._write_entry_again, endpoint_id)
                for endpoint_id in self.deployment.entries
            ),
        ]

    def _write_entry_again(self, endpoint_id: str) -> None:
        if self.deployment.entries[endpoint_id] is None:
            gevent.sleep(REMOVAL_DELAY_SECONDS)
        self.deployment.write_entry(endpoint_id)

    def begin_departure(self) -> tuple[str, str]:
        """Let an endpoint announce that it leaves, after another one has come.

        Return their ids, that of the leaving one first.
        """
        departed, self._leaving = self._leaving[0], self._leaving[1:]
        successor = self._add_sound_endpoint()
        self._leaving.append(successor)
        self.deployment.entries[departed]["state"] = "draining"
        self.deployment.write_entry(departed)
        self.departures.append(
            Departure(self.deployment.endpoints[departed], time.monotonic())
        )
        return departed, successor

    def end_departure(self, endpoint_id: str) -> None:
        """Remove the entry of an endpoint that has left."""
        self.deployment.entries[endpoint_id] = None
        self.deployment.write_entry(endpoint_id)

    def change_configuration(self) -> int:
        """Write the next version of the configuration and return its number."""
        self.version += 1
        self._configure()
        return self.version

    def _configure(self) -> None:
        self.deployment.configure(
            make_configuration(self.version, [*ROUTES, *SLOW_ROUTES], SLOW_SERVICES)
        )
        self.acknowledgements.append(Acknowledgement(time.monotonic(), self.version))

    def restart_endpoint(
        self, endpoint_id: str, seconds: float, changes_address: bool
    ) -> None:
        """Stop an endpoint and start it again after ``seconds`` under the same id."""
        endpoint = self.deployment.endpoints[endpoint_id]
        proxy = self.endpoint_proxies[endpoint_id]
        endpoint.stop()
        proxy.refuses = True
        proxy.reset_all()
        gevent.sleep(seconds)
        if self.endpoint_proxies[endpoint_id] is not proxy:
            return  # another restart has moved the endpoint meanwhile
        if changes_address:
            proxy.close()
        self._born += 1
        self._add_endpoint(
            endpoint_id, endpoint.stream, None if changes_address else proxy
        )

    def _note_crash(self, endpoint: FakeGatewayEndpoint, proxy: LoopbackProxy) -> None:
        """Record a crash by a prompt; nodes can't see one behind a faulty link."""
        if not proxy.is_faulty:
            self.part_crashes.append(time.monotonic())
        proxy.stop_listening()

    def _add_slow_endpoint(self, endpoint_id: str, service: str) -> None:
        endpoint = self._start_endpoint(endpoint_id, service == SLOW_ENGINE)
        endpoint.work_seconds = SLOW_RESPONSE_SECONDS
        endpoint.event_seconds = SLOW_RESPONSE_SECONDS / EVENTS
        endpoint.time_spread = SLOW_TIME_SPREAD
        endpoint.body_copies = BODY_COPIES
        self.deployment.register_endpoint(
            endpoint, endpoint.address, self._born, service
        )

    def _add_sound_endpoint(self) -> str:
        """Add an endpoint into which no faults are injected, and return its id."""
        endpoint_id = f"q-{next(self._sound_numbers)}"
        endpoint = self._start_endpoint(endpoint_id, stream=False)
        self.deployment.register_endpoint(endpoint, endpoint.address, self._born)
        return endpoint_id

    def _start_endpoint(self, endpoint_id: str, stream: bool) -> FakeGatewayEndpoint:
        endpoint = self.deployment.start_endpoint(endpoint_id, stream)
        endpoint.echo_request_id = True
        endpoint.event_seconds = EVENT_INTERVAL_SECONDS
        endpoint.work_seconds = RESPONSE_DELAY_SECONDS
        # All starts of an endpoint share one ledger.
        endpoint.executed_requests = self.ledger.setdefault(
            endpoint_id, endpoint.executed_requests
        )
        endpoint.unidentified_requests = self.unidentified_requests
        endpoint.bodies = deque(maxlen=1)  # all uploads would take too much memory
        self.started_endpoints.append(endpoint)
        return endpoint

    def _add_endpoint(
        self, endpoint_id: str, stream: bool, proxy: LoopbackProxy | None = None
    ) -> None:
        endpoint = self._start_endpoint(endpoint_id, stream)
        upstream = split_address(endpoint.address)
        if proxy is None:
            proxy = LoopbackProxy(upstream, self.deployment.host)
        else:
            proxy.upstream = upstream
            proxy.heal()
            proxy.listen_again()
        self.endpoint_proxies[endpoint_id] = proxy
        endpoint.crashing_parts = {CRASHING_PART}
        endpoint.on_crash = lambda: self._note_crash(endpoint, proxy)
        endpoint.on_return = proxy.listen_again
        self.deployment.register_endpoint(endpoint, proxy.address, self._born)
