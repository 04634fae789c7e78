"""Copies of accepted requests at a keeper, sent while the placement is awaited."""

import gevent
from gevent.event import Event

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.model.requests import ServingRequest
from rattanwick.internal.peers.interfaces import RequestReplicator
from rattanwick.internal.requests.spans import RequestSpans

log = get_logger("requests")

COPY_ACK_SECONDS = 0.25  # headers wait this long for the copy
RETRY_SECONDS = 2.0

COPIES = counter("request_copies", "Copies of requests at a keeper", ("result",))


class RequestCopy:
    """Send the copy of one request and tell when it was acknowledged."""

    __slots__ = (
        "_done",
        "_keepers",
        "_message",
        "_req",
        "_spans",
        "_stopped",
        "copies",
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
        self._keepers = replicator
        self._message = {**req.to_message(), "node": node_id}
        self._done = Event()
        self._stopped = False
        self.copies = 0
        gevent.spawn(self._send)

    def wait(self, seconds: float) -> int:
        """Wait for the first try; return the copies that were acknowledged."""
        if not self._done.is_set() and seconds > 0:
            self._done.wait(seconds)
        return self.copies

    def drop(self) -> None:
        """Forget the copy of a request that ended."""
        self._stopped = True
        if self._done.is_set():
            self._keepers.drop(self._message["id"])

    def _send(self) -> None:
        self.copies = self._try(COPY_ACK_SECONDS)
        self._done.set()
        if self.copies == 0 and not self._stopped:
            # The answer says "0 copies" by now; a late copy still protects it.
            self.copies = self._try(RETRY_SECONDS)
        if self._stopped and self.copies:
            self._keepers.drop(self._message["id"])

    def _try(self, timeout: float) -> int:
        try:
            with self._spans.step(self._req, "copy"):
                copies = self._keepers.copy(self._message, timeout)
        except StepError as exc:
            log.info("copy failed: %s", exc)
            copies = 0
        COPIES.labels("kept" if copies else "none").inc()
        return copies
