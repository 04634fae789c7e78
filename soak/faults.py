"""Faults that the soak injects from outside the nodes."""

import random
import signal
import time
from abc import ABC, abstractmethod
from typing import ClassVar

import gevent

from fakes.processes import SpawnedProcess
from soak.system import SoakSystem

MAX_FAULT_SECONDS = 2.5  # of a fault that lasts
EXIT_SECONDS = 9.5  # grace of the settings file, and a margin for a busy machine
# In which the interpreter starts and runs no line of a node; a signal then ends it.
INTERPRETER_SECONDS = 0.2
ANSWER_FAULTS = (
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
STREAM_FAULTS = (*ANSWER_FAULTS[:7], "cut_in_event", "cut_between_events")


class Fault(ABC):
    """Injure the system for a while."""

    name: ClassVar[str]

    def __init__(self, system: SoakSystem, rng: random.Random):
        self._system = system
        self._random = rng

    @abstractmethod
    def inject(self) -> str:
        """Inject the fault, undo it after a while, and return what was done."""

    def _some_seconds(self) -> float:
        return self._random.uniform(0.2, MAX_FAULT_SECONDS)

    def _some_node(self) -> str:
        return self._random.choice(self._system.names)

    def _some_endpoint(self) -> str:
        return self._random.choice(sorted(self._system.endpoint_links))


class NodeFault(Fault):
    """Injure a node, unless another fault of it goes on."""

    def inject(self) -> str:
        """Injure one node."""
        node = self._some_node()
        with self._system.record_outage(node) as free:
            if free:
                self._injure(node, self._system.deployment.nodes[node])
        return node

    @abstractmethod
    def _injure(self, node: str, process: SpawnedProcess) -> None:
        """Injure a node and have it run again."""


class KillNode(NodeFault):
    """Kill a node and start it again."""

    name = "kill node"

    def _injure(self, node: str, process: SpawnedProcess) -> None:
        process.kill()
        process.wait(EXIT_SECONDS)
        gevent.sleep(self._some_seconds())
        self._system.start_node(node)


class StopNode(NodeFault):
    """Ask a node to stop, and start it again.

    It must end in its grace time with status 0.
    """

    name = "stop node"

    def _injure(self, node: str, process: SpawnedProcess) -> None:
        age = time.monotonic() - process.started
        process.terminate()
        status = process.wait(EXIT_SECONDS)
        young = age < INTERPRETER_SECONDS and status == -signal.SIGTERM
        if status != 0 and not young:
            self._system.failures.append(f"{node} ended with {status}")
            process.kill()
            process.wait(EXIT_SECONDS)
        self._system.start_node(node)


class PauseNode(NodeFault):
    """Let a node stand still."""

    name = "pause node"

    def _injure(self, node: str, process: SpawnedProcess) -> None:
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(self._some_seconds())
        process.send_signal(signal.SIGCONT)


class StoreLinkFault(Fault):
    """Delay, cut or reset a node's connections to the store."""

    name = "store link"

    def inject(self) -> str:
        """Injure the link of one node or of all."""
        nodes = self._random.choice(([self._some_node()], self._system.names))
        how = self._random.choice(("delay", "cut_forward", "cut_backward", "refuses"))
        links = [self._system.store_links[node] for node in nodes]
        for link in links:
            setattr(link, how, 0.3 if how == "delay" else True)
            link.reset_share(0.5, self._random)
        gevent.sleep(self._some_seconds())
        for link in links:
            link.heal()
        return f"{how} {','.join(nodes)}"


class StoreFault(Fault):
    """Let the store refuse, lose answers or forget its history."""

    name = "store"

    def inject(self) -> str:
        """Injure the store itself."""
        rows = self._system.deployment.platform.rows
        how = self._random.choice(("down", "lose_answers", "forget_history"))
        if how == "down":
            rows.down = True
            gevent.sleep(self._some_seconds())
            rows.down = False
        elif how == "lose_answers":
            rows.lose_answers += self._random.randint(1, 4)
        else:
            rows.forget_history()
        return how


class EndpointLinkFault(Fault):
    """Delay, cut, reset or silence the connections to an endpoint."""

    name = "endpoint link"

    def inject(self) -> str:
        """Injure the link of one endpoint."""
        endpoint = self._some_endpoint()
        link = self._system.endpoint_links[endpoint]
        how = self._random.choice(
            ("delay", "cut_forward", "cut_backward", "refuses", "reset", "forget")
        )
        if how == "reset":
            link.reset_share(0.7, self._random)
        elif how == "forget":
            link.expire_idle(self._random.uniform(0.0, 0.3))
        else:
            setattr(link, how, 0.1 if how == "delay" else True)
            gevent.sleep(self._some_seconds())
            link.heal()
        return f"{how} {endpoint}"


class EndpointAnswerFault(Fault):
    """Let an endpoint spoil, lose or decline some answers."""

    name = "endpoint answers"

    def inject(self) -> str:
        """Injure the next answers of one endpoint."""
        endpoint = self._system.deployment.endpoints[self._some_endpoint()]
        names = STREAM_FAULTS if endpoint.stream else ANSWER_FAULTS
        endpoint.fault = self._random.choice(names)
        endpoint.faults_left = self._random.randint(1, 6)
        return f"{endpoint.fault} {endpoint.id}"


class EndpointRestart(Fault):
    """Crash an endpoint and bring it back, sometimes at another address."""

    name = "endpoint restart"

    def inject(self) -> str:
        """Crash one endpoint."""
        endpoint = self._some_endpoint()
        moves = self._random.random() < 0.5
        self._system.restart_endpoint(endpoint, self._some_seconds(), moves)
        return f"{endpoint} {'moved' if moves else 'same address'}"


class ConfigurationChange(Fault):
    """Change the configuration."""

    name = "configuration"

    def inject(self) -> str:
        """Write the next version."""
        return f"version {self._system.change_configuration()}"


FAULTS: tuple[type[Fault], ...] = (
    KillNode,
    StopNode,
    PauseNode,
    StoreLinkFault,
    StoreFault,
    EndpointLinkFault,
    EndpointAnswerFault,
    EndpointRestart,
    ConfigurationChange,
)
