"""What endpoints announce in their answers: that they are leaving."""

from collections.abc import Callable

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.gateway.endpoint_directory import (
    EndpointDirectory,
    ProcessKey,
)
from rattanwick.internal.gateway.endpoint_view import EndpointView
from rattanwick.internal.gateway.model import ResponseHead
from rattanwick.internal.gateway.part_guard import PartGuard

log = get_logger("endpoints")

endpoint_notices_total = counter(
    "endpoint_notices", "Announcements in answers of endpoints, by kind", ("kind",)
)


class EndpointNotices:
    """Announcements of endpoints, applied to this node's views of them.

    ``on_leaving`` is called when an answer tells this node first that an endpoint is
    leaving, so that its peers are told without delay.
    """

    def __init__(
        self,
        endpoints: EndpointDirectory,
        part_guard: PartGuard,
        on_leaving: Callable[[], None],
    ):
        self._endpoints = endpoints
        self._part_guard = part_guard
        self._on_leaving = on_leaving

    def note_response(self, view: EndpointView, head: ResponseHead) -> None:
        """Apply what the head of an endpoint's response announces."""
        endpoint = view.endpoint
        if head.leaving and self._note_leaving(
            (endpoint.id, endpoint.born_ms), "answer"
        ):
            self._on_leaving()

    def update_from_peer(self, node_id: str, leaving: list[ProcessKey]) -> None:
        """Apply the announcements that a peer has heard."""
        for endpoint_id, born_ms in leaving:
            self._note_leaving((endpoint_id, born_ms), node_id)

    def reason_not_to_send(self, view: EndpointView) -> str | None:
        """Return why no request may be sent to an endpoint now, or None."""
        current = self._endpoints.get(view.endpoint.id)
        if view.endpoint.leaving or (current is not None and current.endpoint.leaving):
            return "endpoint is leaving"
        return None

    def _note_leaving(self, process: ProcessKey, source: str) -> bool:
        if not self._endpoints.note_leaving(*process, source):
            return False
        endpoint_notices_total.labels("leaving").inc()
        self._part_guard.note_planned_stop(process[0])
        return True
