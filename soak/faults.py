"""Faults that the soak injects from outside the nodes."""

import random
import signal
import time
from abc import ABC, abstractmethod
from typing import ClassVar

import gevent

from fakes.gateway_endpoint import EARLY_ENDS, MALFORMED_HEADS
from fakes.processes import SpawnedProcess
from soak.system import SoakSystem

MAX_FAULT_SECONDS = 2.5  # longest duration of a fault that is undone later
# The grace period in the settings file, and a margin for a busy machine.
EXIT_TIMEOUT_SECONDS = 9.5
# While the interpreter starts, a node has no signal handlers yet: SIGTERM ends the
# process at once.
INTERPRETER_START_SECONDS = 0.2
RESPONSE_FAULTS = (
    "shed",
    "misdirected",
    "error",
    "busy",
    "unsigned",
    "other_request",
    "reset",
    "extra",
    "truncated",
    "unframed",
)
# Requests per second, as text; the last ones are malformed.
LIMITS = ("0.5", "2", "2", "8", "nan", "-1")
ENDLESS_FAULTS = ("endless_head", "endless_body", "endless_interim")
MAX_SILENCE_SECONDS = 4.0  # before a change of the configuration
LIMIT_SECONDS = (4.0, 9.0)  # shortest and longest duration of a limit
STREAM_FAULTS = (*RESPONSE_FAULTS[:7], "cut_in_event", "cut_between_events")


class Fault(ABC):
    """A fault that is injected once, at a random place and for a random time."""

    name: ClassVar[str]

    def __init__(self, system: SoakSystem, rng: random.Random):
        self._system = system
        self._random = rng

    @abstractmethod
    def inject(self) -> str:
        """Inject the fault, undo it after a while, and return its description."""

    def _random_duration(self) -> float:
        return self._random.uniform(0.2, MAX_FAULT_SECONDS)

    def _random_node(self) -> str:
        return self._random.choice(self._system.names)

    def _random_endpoint(self) -> str:
        return self._random.choice(sorted(self._system.endpoint_proxies))


class NodeFault(Fault):
    """Fault of one node, left out while another fault of that node lasts."""

    planned: ClassVar[bool] = False  # whether it begins with SIGTERM

    def inject(self) -> str:
        """Inject the fault into a random node."""
        node = self._random_node()
        self.inject_into(node)
        return node

    def inject_into(self, node: str) -> None:
        """Inject the fault into a node."""
        with self._system.record_outage(node, self.planned) as free:
            if free:
                self._apply(node, self._system.deployment.nodes[node])

    @abstractmethod
    def _apply(self, node: str, process: SpawnedProcess) -> None:
        """Inject the fault into a node and bring the node back."""


class KillNode(NodeFault):
    """Kills a node and starts it again."""

    name = "kill node"

    def _apply(self, node: str, process: SpawnedProcess) -> None:
        process.kill()
        process.wait(EXIT_TIMEOUT_SECONDS)
        gevent.sleep(self._random_duration())
        self._system.start_node(node)


class StopNode(NodeFault):
    """Sends SIGTERM to a node and starts it again.

    The node must end within its grace period with status 0.
    """

    name = "stop node"
    planned = True

    def _apply(self, node: str, process: SpawnedProcess) -> None:
        age = time.monotonic() - process.started
        self._send_signals(process)
        status = process.wait(EXIT_TIMEOUT_SECONDS)
        ended_by_signal = age < INTERPRETER_START_SECONDS and status == -signal.SIGTERM
        if status != 0 and not ended_by_signal:
            self._system.failures.append(f"{node} ended with status {status}")
            process.kill()
            process.wait(EXIT_TIMEOUT_SECONDS)
        self._system.start_node(node)

    def _send_signals(self, process: SpawnedProcess) -> None:
        process.terminate()


class PauseNode(NodeFault):
    """Pauses the process of a node with SIGSTOP."""

    name = "pause node"

    def _apply(self, node: str, process: SpawnedProcess) -> None:
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(self._random_duration())
        process.send_signal(signal.SIGCONT)


class StoreLinkFault(Fault):
    """Delays, cuts or resets connections of nodes to the store."""

    name = "store link"

    def inject(self) -> str:
        """Inject the fault into the store proxy of one node or of all nodes."""
        nodes = self._random.choice(([self._random_node()], self._system.names))
        kind = self._random.choice(("delay", "cut_forward", "cut_backward", "refuses"))
        proxies = [self._system.store_proxies[node] for node in nodes]
        with self._system.record_store_disruption():
            for proxy in proxies:
                setattr(proxy, kind, 0.3 if kind == "delay" else True)
                proxy.reset_share(0.5, self._random)
            gevent.sleep(self._random_duration())
            for proxy in proxies:
                proxy.heal()
        return f"{kind} {','.join(nodes)}"


class SilentConnections(Fault):
    """Lets open connections to the store go silent, and changes the configuration."""

    name = "silent connections"

    def inject(self) -> str:
        """Silence the connections of one node or of all, then write a version."""
        system, rng = self._system, self._random
        nodes = rng.choice(([self._random_node()], system.names))
        # For the promises, this counts as a reset of the connections.
        with system.record_store_disruption():
            for node in nodes:
                system.store_proxies[node].silence_open()
        gevent.sleep(rng.uniform(0.0, MAX_SILENCE_SECONDS))
        version = system.change_configuration()
        return f"{','.join(nodes)}, then configuration {version}"


class StoreFault(Fault):
    """Makes the store fail, lose responses or forget its history."""

    name = "store"

    def inject(self) -> str:
        """Inject the fault into the store."""
        rows = self._system.deployment.platform.rows
        kind = self._random.choice(("down", "lose_answers", "forget_history"))
        with self._system.record_store_disruption():
            if kind == "down":
                rows.down = True
                gevent.sleep(self._random_duration())
                rows.down = False
            elif kind == "lose_answers":
                rows.lose_answers += self._random.randint(1, 4)
            else:
                rows.forget_history()
        return kind


class EndpointLinkFault(Fault):
    """Delays, cuts, resets or expires connections to an endpoint."""

    name = "endpoint link"

    def inject(self) -> str:
        """Inject the fault into the proxy of a random endpoint."""
        endpoint = self._random_endpoint()
        proxy = self._system.endpoint_proxies[endpoint]
        kind = self._random.choice(
            ("delay", "cut_forward", "cut_backward", "refuses", "reset", "forget")
        )
        if kind == "reset":
            proxy.reset_share(0.7, self._random)
        elif kind == "forget":
            proxy.expire_idle(self._random.uniform(0.0, 0.3))
        else:
            setattr(proxy, kind, 0.1 if kind == "delay" else True)
            gevent.sleep(self._random_duration())
            proxy.heal()
        return f"{kind} {endpoint}"


class EndpointResponseFault(Fault):
    """Makes an endpoint refuse, lose or corrupt some of its responses."""

    name = "endpoint answers"

    def inject(self) -> str:
        """Inject the fault into the next one to six responses of an endpoint."""
        endpoint = self._system.deployment.endpoints[self._random_endpoint()]
        names = STREAM_FAULTS if endpoint.stream else RESPONSE_FAULTS
        endpoint.fault = self._random.choice(names)
        endpoint.faults_left = self._random.randint(1, 6)
        return f"{endpoint.fault} {endpoint.id}"


class EndlessAnswers(Fault):
    """Makes an endpoint send heads or bodies without end."""

    name = "endless answers"

    def inject(self) -> str:
        """Let the next few answers of a random endpoint not end."""
        endpoint = self._system.deployment.endpoints[self._random_endpoint()]
        endpoint.fault = self._random.choice(ENDLESS_FAULTS)
        endpoint.faults_left = self._random.randint(1, 4)
        return f"{endpoint.fault} {endpoint.id}"


class MalformedHeads(Fault):
    """Makes an endpoint send heads that are not in the protocol."""

    name = "malformed heads"

    def inject(self) -> str:
        """Let the next few answers of a random endpoint have such heads."""
        endpoint = self._system.deployment.endpoints[self._random_endpoint()]
        endpoint.fault = self._random.choice(tuple(MALFORMED_HEADS))
        endpoint.faults_left = self._random.randint(1, 4)
        return f"{endpoint.fault} {endpoint.id}"


class EarlyEnds(Fault):
    """Makes all endpoints break off answers during uploads for a while."""

    name = "early ends"

    def inject(self) -> str:
        """Let endpoints answer large requests early and reset or close."""
        endpoints = list(self._system.deployment.endpoints.values())
        for endpoint in endpoints:
            endpoint.early_end = self._random.choice(EARLY_ENDS)
        gevent.sleep(self._random_duration())
        for endpoint in endpoints:
            endpoint.early_end = ""
        return ""


class EndpointLimit(Fault):
    """Makes an endpoint name a limit of requests per second for a while."""

    name = "endpoint limit"

    def inject(self) -> str:
        """Let a random endpoint name a limit, or a malformed one."""
        endpoint_id = self._random_endpoint()
        rate = self._random.choice(LIMITS)
        with self._system.record_limit(endpoint_id, rate) as free:
            if free:
                gevent.sleep(self._random.uniform(*LIMIT_SECONDS))
        return f"{rate} {endpoint_id}"


class EndpointRestart(Fault):
    """Crashes an endpoint and starts it again, sometimes at another address."""

    name = "endpoint restart"

    def inject(self) -> str:
        """Restart a random endpoint."""
        endpoint = self._random_endpoint()
        changes_address = self._random.random() < 0.5
        self._system.restart_endpoint(
            endpoint, self._random_duration(), changes_address
        )
        return f"{endpoint} {'moved' if changes_address else 'same address'}"


class ConfigurationChange(Fault):
    """Writes the next version of the configuration."""

    name = "configuration"

    def inject(self) -> str:
        """Write the configuration; the change is not undone."""
        return f"version {self._system.change_configuration()}"


FAULTS: tuple[type[Fault], ...] = (
    KillNode,
    StopNode,
    PauseNode,
    StoreLinkFault,
    StoreFault,
    EndpointLinkFault,
    EndpointResponseFault,
    EndpointRestart,
    ConfigurationChange,
)
