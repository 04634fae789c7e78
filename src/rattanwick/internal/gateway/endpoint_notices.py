"""What endpoints announce in their answers: that they are leaving, or want a rest."""

from collections.abc import Callable
from random import Random

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.gateway.endpoint_directory import (
    EndpointDirectory,
    ProcessKey,
)
from rattanwick.internal.gateway.endpoint_view import EndpointView
from rattanwick.internal.gateway.members import Members
from rattanwick.internal.gateway.model import ResponseHead
from rattanwick.internal.gateway.part_guard import PartGuard

log = get_logger("endpoints")

endpoint_notices_total = counter(
    "endpoint_notices", "Announcements in answers of endpoints, by kind", ("kind",)
)

# A longer rest counts as this long, so that a wrong value does not cost the endpoint
# for good. The next refusal names the rest that is left.
MAX_REST_SECONDS = 120.0
# Nodes that were told the same time come back one after the other, spread over this
# time for each node of the deployment, up to the maximum.
RETURN_SPREAD_SECONDS_PER_NODE = 0.02
MAX_RETURN_SPREAD_SECONDS = 2.0


class EndpointNotices:
    """Announcements of endpoints, applied to this node's views of them.

    ``on_leaving`` is called when an answer tells this node first that an endpoint is
    leaving, so that its peers are told without delay.
    """

    def __init__(
        self,
        node_id: str,
        endpoints: EndpointDirectory,
        members: Members,
        part_guard: PartGuard,
        timers: TimerService,
        on_leaving: Callable[[], None],
    ):
        self._endpoints = endpoints
        self._members = members
        self._part_guard = part_guard
        self._timers = timers
        self._on_leaving = on_leaving
        self._random = Random(f"{node_id} rest")

    def note_response(self, view: EndpointView, head: ResponseHead) -> None:
        """Apply what the head of an endpoint's response announces."""
        endpoint = view.endpoint
        if head.leaving and self._note_leaving(
            (endpoint.id, endpoint.born_ms), "answer"
        ):
            self._on_leaving()
        if head.rest_seconds:
            self._note_rest(view, head.rest_seconds)

    def update_from_peer(self, node_id: str, leaving: list[ProcessKey]) -> None:
        """Apply the announcements that a peer has heard."""
        for endpoint_id, born_ms in leaving:
            self._note_leaving((endpoint_id, born_ms), node_id)

    def reason_not_to_send(self, view: EndpointView) -> str | None:
        """Return why no request may be sent to an endpoint now, or None."""
        current = self._endpoints.get(view.endpoint.id)
        if view.endpoint.leaving or (current is not None and current.endpoint.leaving):
            return "endpoint is leaving"
        if view.is_resting(self._timers.now()):
            return "endpoint has asked for a rest"
        return None

    def _note_leaving(self, process: ProcessKey, source: str) -> bool:
        if not self._endpoints.note_leaving(*process, source):
            return False
        endpoint_notices_total.labels("leaving").inc()
        self._part_guard.note_planned_stop(process[0])
        return True

    def _note_rest(self, view: EndpointView, seconds: float) -> None:
        nodes = self._members.count_nodes()
        spread = min(RETURN_SPREAD_SECONDS_PER_NODE * nodes, MAX_RETURN_SPREAD_SECONDS)
        rest = min(seconds, MAX_REST_SECONDS)
        until = self._timers.now() + rest + self._random.uniform(0.0, spread)
        if until <= view.rests_until:
            return
        if not view.is_resting(self._timers.now()):
            endpoint_notices_total.labels("rest").inc()
            log.info(
                "resting",
                extra={
                    "endpoint": view.endpoint.id,
                    "named_s": seconds,
                    "seconds": round(until - self._timers.now(), 3),
                },
            )
        view.rests_until = until
