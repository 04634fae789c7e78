"""Planned work: nodes that are stopped in series or reload their settings."""

import random
import signal

import gevent

from fakes.processes import SpawnedProcess
from soak.faults import (
    EXIT_TIMEOUT_SECONDS,
    ConfigurationChange,
    Fault,
    StopNode,
)
from soak.system import START_TIMEOUT_SECONDS

MAX_SECOND_SIGNAL_SECONDS = 7.0  # from the first SIGTERM to the second
RELOAD_SECONDS = 0.3  # from SIGHUP to SIGTERM, at most
MAX_WAVES = 4  # in which all nodes are stopped
MAX_ROLL_SECONDS = MAX_WAVES * (EXIT_TIMEOUT_SECONDS + START_TIMEOUT_SECONDS)


class StopNodeTwice(StopNode):
    """Sends SIGTERM to a node, and again while it stops."""

    name = "stop node twice"

    def _send_signals(self, process: SpawnedProcess) -> None:
        process.terminate()
        gevent.spawn_later(
            self._random.uniform(0.0, MAX_SECOND_SIGNAL_SECONDS), process.terminate
        )


class StopNodeAfterReload(StopNode):
    """Changes the configuration and sends SIGHUP, and SIGTERM soon after."""

    name = "stop node after reload"

    def _send_signals(self, process: SpawnedProcess) -> None:
        self._system.change_configuration()
        process.send_signal(signal.SIGHUP)
        gevent.sleep(self._random.uniform(0.0, RELOAD_SECONDS))
        process.terminate()


class ReloadNodes(Fault):
    """Changes the configuration and sends SIGHUP to one node or to all."""

    name = "reload"

    def inject(self) -> str:
        """Reload one random node or all nodes."""
        nodes = self._random.choice(([self._random_node()], self._system.names))
        self._system.change_configuration()
        for node in nodes:
            self._system.deployment.nodes[node].send_signal(signal.SIGHUP)
        return ",".join(nodes)


class RollNodes(Fault):
    """Stops all nodes in series, a few at once in a large deployment."""

    name = "roll"

    def inject(self) -> str:
        """Stop and start the nodes, each in a random way."""
        names = self._random.sample(self._system.names, len(self._system.names))
        size = -(-len(names) // MAX_WAVES)
        for first in range(0, len(names), size):
            gevent.joinall(
                [
                    gevent.spawn(self._make_stop().inject_into, node)
                    for node in names[first : first + size]
                ],
                raise_error=True,
            )
        return ",".join(names)

    def _make_stop(self) -> StopNode:
        kind = self._random.choice((StopNode, StopNodeTwice, StopNodeAfterReload))
        return kind(self._system, random.Random(self._random.getrandbits(32)))


PLANNED_WORK: tuple[type[Fault], ...] = (
    StopNodeTwice,
    StopNodeAfterReload,
    ReloadNodes,
    ConfigurationChange,
)
