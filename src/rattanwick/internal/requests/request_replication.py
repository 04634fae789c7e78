"""Replication of accepted requests, in parallel with their placement."""

import gevent
from gevent.event import Event

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.model.requests import ServingRequest
from rattanwick.internal.peers.interfaces import RequestReplicator
from rattanwick.internal.requests.spans import RequestSpans

log = get_logger("requests")

REPLICA_ACK_TIMEOUT_SECONDS = 0.25  # headers wait this long for a replica
RETRY_TIMEOUT_SECONDS = 2.0  # of the second try

REPLICATIONS = counter(
    "request_copies", "Replications of requests to a backup node", ("result",)
)


class RequestReplication:
    """Replication of one request to backup nodes, started at once."""

    __slots__ = (
        "_done",
        "_replicator",
        "_message",
        "_req",
        "_spans",
        "_stopped",
        "replicas",
    )

    def __init__(
        self,
        replicator: RequestReplicator,
        req: ServingRequest,
        node_id: str,
        spans: RequestSpans,
    ):
        self._req = req
        self._spans = spans
        self._replicator = replicator
        self._message = {**req.to_message(), "node": node_id}
        self._done = Event()
        self._stopped = False
        self.replicas = 0
        gevent.spawn(self._send)

    def wait(self, seconds: float) -> int:
        """Wait until the first try ends; return the number of acknowledged replicas."""
        if not self._done.is_set() and seconds > 0:
            self._done.wait(seconds)
        return self.replicas

    def drop(self) -> None:
        """Drop the replicas of a request that ended."""
        self._stopped = True
        if self._done.is_set():
            self._replicator.drop(self._message["id"])

    def _send(self) -> None:
        self.replicas = self._try(REPLICA_ACK_TIMEOUT_SECONDS)
        self._done.set()
        if self.replicas == 0 and not self._stopped:
            # The headers already report 0 copies; a late replica still protects the
            # request.
            self.replicas = self._try(RETRY_TIMEOUT_SECONDS)
        if self._stopped and self.replicas:
            self._replicator.drop(self._message["id"])

    def _try(self, timeout: float) -> int:
        try:
            with self._spans.step(self._req, "copy"):
                replicas = self._replicator.copy(self._message, timeout)
        except StepError as exc:
            log.info("request was not replicated to a backup node: %s", exc)
            replicas = 0
        REPLICATIONS.labels("kept" if replicas else "none").inc()
        return replicas
