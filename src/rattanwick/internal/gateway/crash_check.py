"""Check whether an endpoint that dropped the connections of requests has crashed."""

from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from rattanwick.internal.base.errors import ConnectionLost, ConnectionRefused
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.active_request import ActiveRequest
from rattanwick.internal.gateway.crash_evidence import LostRequest
from rattanwick.internal.gateway.endpoint_view import EndpointView
from rattanwick.internal.gateway.node_state import NodeState

log = get_logger("attempts")

# Wait for a new connection to an endpoint that closed the connection of a request.
CRASH_CHECK_TIMEOUT_SECONDS = 0.5
# The other requests at an endpoint that crashes are lost within this time.
GATHER_SECONDS = 0.005
# A retry waits at most this long for the check, so that it is not sent if the crash is
# the one that tells what to refuse.
MAX_CHECK_WAIT_SECONDS = 0.1
MAX_LOGGED_PARTS = 12  # of a prompt


@dataclass(slots=True, frozen=True)
class LostAttempt:
    """Attempt whose connection the endpoint closed before the end of the response."""

    request: ActiveRequest
    sent_at: float  # monotonic seconds
    lost_at: float  # monotonic seconds
    # Whether the endpoint had responded recently. If not, it may have been down
    # already, behind a proxy that accepts connections for it.
    responded_before: bool
    is_sound: bool  # a stream that had run for long enough to be no cause


@dataclass(slots=True)
class PendingCheck:
    """Check of one endpoint, for all requests that are lost at the same time."""

    view: EndpointView
    attempts: list[LostAttempt] = field(default_factory=list)
    done: Event = field(default_factory=Event)


class CrashChecks:
    """Checks in progress, by endpoint id."""

    def __init__(self, state: NodeState):
        self._state = state
        self._pending: dict[str, PendingCheck] = {}

    def start(self, view: EndpointView, attempt: LostAttempt) -> None:
        """Check an endpoint soon because an attempt was lost there."""
        check = self._pending.get(view.endpoint.id)
        if check is None:
            check = self._pending[view.endpoint.id] = PendingCheck(view)
            gevent.spawn(self._run, check)
        check.attempts.append(attempt)

    def wait(self, endpoint_id: str) -> None:
        """Wait for a short time until a check of an endpoint is done, if any."""
        check = self._pending.get(endpoint_id)
        if check is not None:
            check.done.wait(MAX_CHECK_WAIT_SECONDS)

    def _run(self, check: PendingCheck) -> None:
        endpoint = check.view.endpoint
        try:
            self._state.timers.sleep(GATHER_SECONDS)
            self._state.connections.connect(
                endpoint, CRASH_CHECK_TIMEOUT_SECONDS
            ).close()
        except ConnectionLost as exc:
            # A connection that is not answered may be cut; only a refused one shows
            # that the process is gone.
            self._note_unreachable(check, isinstance(exc, ConnectionRefused))
        finally:
            self._pending.pop(endpoint.id, None)
            check.done.set()

    def _note_unreachable(self, check: PendingCheck, refused: bool) -> None:
        state, endpoint = self._state, check.view.endpoint
        check.view.note_unreachable(state.timers.now(), refused)
        # After a pause of this node, the endpoint may have been stopped as planned.
        counted = refused and not endpoint.leaving and state.part_guard.is_current()
        for attempt in check.attempts:
            if attempt.responded_before:
                state.crash_guard.note_crash(
                    attempt.request.fingerprint, endpoint.id, attempt.lost_at
                )
            _log_lost(attempt, endpoint.id, counted)
        if counted:
            state.endpoints.note_crash(endpoint.id)
            lost = [
                LostRequest(
                    attempt.request.organisation_name,
                    attempt.request.parts,
                    attempt.sent_at,
                )
                for attempt in check.attempts
                if not attempt.is_sound
            ]
            lost_at = min(attempt.lost_at for attempt in check.attempts)
            state.part_guard.note_crash(endpoint.id, lost_at, lost)


def _log_lost(attempt: LostAttempt, endpoint_id: str, counted: bool) -> None:
    request = attempt.request
    log.warning(
        "endpoint closed the connection of a request and accepts no new one",
        extra={
            "request": request.call.id,
            "endpoint": endpoint_id,
            "responded_before": attempt.responded_before,
            "counted": counted,
            "organisation": request.organisation_name,
            "fingerprint": request.fingerprint,
            "prompt_parts": request.parts[:MAX_LOGGED_PARTS],
            "began": request.first_event_seconds is not None,
        },
    )
