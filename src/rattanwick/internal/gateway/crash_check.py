"""Check whether an endpoint that dropped a connection has crashed."""

from rattanwick.internal.base.errors import ConnectionLost
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.active_request import ActiveRequest
from rattanwick.internal.gateway.endpoint_view import EndpointView
from rattanwick.internal.gateway.node_state import NodeState

log = get_logger("attempts")

# Wait for a new connection to an endpoint that closed the connection of a request.
CRASH_CHECK_TIMEOUT_SECONDS = 0.5
MAX_LOGGED_PARTS = 12  # of a prompt


def check_crash(
    state: NodeState,
    view: EndpointView,
    request: ActiveRequest,
    responded_before: bool,
) -> None:
    """Count a crash if the endpoint no longer accepts connections.

    No crash is counted if the endpoint had not responded recently: it may have been
    down already, behind a proxy that accepts connections for it.
    """
    endpoint, now = view.endpoint, state.timers.now()
    try:
        state.connections.connect(endpoint, CRASH_CHECK_TIMEOUT_SECONDS).close()
    except ConnectionLost:
        view.note_unreachable(now)
        if responded_before:
            state.crash_guard.note_crash(request.fingerprint, endpoint.id, now)
        log.warning(
            "endpoint closed the connection of a request and accepts no new one",
            extra={
                "request": request.call.id,
                "endpoint": endpoint.id,
                "counted": responded_before,
                "organisation": request.organisation.name
                if request.organisation
                else "",
                "fingerprint": request.fingerprint,
                "prompt_parts": [
                    part.id for part in request.call.prompt[:MAX_LOGGED_PARTS]
                ],
                "began": request.first_event_seconds is not None,
            },
        )
