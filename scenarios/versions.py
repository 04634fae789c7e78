"""Monitor of the version of the lists at each node."""

import gevent

from fakes.deployment import LocalDeployment, LocalNode, http_json

POLL_INTERVAL_SECONDS = 0.25
READ_TIMEOUT_SECONDS = 1.0


def node_version(deployment: LocalDeployment, node: LocalNode) -> int:
    """Return the version in force at a node, or -1 if the node does not answer."""
    headers = {"Authorization": f"Bearer {deployment.operator_key}"}
    try:
        _, reply = http_json(
            "GET",
            node.host,
            node.operator_port,
            "/v1/operator/lists",
            headers=headers,
            timeout=READ_TIMEOUT_SECONDS,
        )
    except (OSError, ValueError):
        return -1
    return reply.get("version", -1) if isinstance(reply, dict) else -1


class VersionMonitor:
    """Counter of the times that a ready node went back to an older version."""

    def __init__(self, deployment: LocalDeployment):
        self._deployment = deployment
        self._highest: dict[str, int] = {}
        self.reverted = 0
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start to poll every node."""
        for node in self._deployment.nodes.values():
            self._tasks.append(gevent.spawn(self._poll, node))

    def stop(self) -> None:
        """Stop polling."""
        gevent.killall(self._tasks)

    def _poll(self, node: LocalNode) -> None:
        while True:
            version = node_version(self._deployment, node)
            highest = self._highest.get(node.id, 0)
            # A node that has just started has no version until it is ready.
            if 0 <= version < highest and node.is_ready():
                self.reverted += node_version(self._deployment, node) < highest
            self._highest[node.id] = max(version, highest)
            gevent.sleep(POLL_INTERVAL_SECONDS)
