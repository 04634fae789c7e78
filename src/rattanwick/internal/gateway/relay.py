"""Handling of one caller's request: checks, placement, attempts, final answer."""

from typing import NoReturn

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.active_request import (
    ActiveRequest,
    CallerConnectionClosed,
    Phase,
    ResponseAborted,
    ResponseWriter,
)
from rattanwick.internal.gateway.attempts import Attempt
from rattanwick.internal.gateway.blocked_parts import Block
from rattanwick.internal.gateway.crash_check import CrashChecks
from rattanwick.internal.gateway.crash_evidence import shared_parts
from rattanwick.internal.gateway.crash_guard import call_fingerprint
from rattanwick.internal.gateway.event_sequence import EventSequence
from rattanwick.internal.gateway.interfaces import MessageCodec
from rattanwick.internal.gateway.model import (
    Call,
    Configuration,
    Organisation,
    Route,
)
from rattanwick.internal.gateway.node_state import NodeState
from rattanwick.internal.gateway.outcomes import (
    Answered,
    Expired,
    FailedAnswer,
    Interrupted,
    Lost,
    NotRun,
)
from rattanwick.internal.gateway.placement import (
    MIN_RETRY_AFTER_SECONDS,
    NotPlaced,
    choose_target,
)
from rattanwick.internal.gateway.prompt_blocks import PromptBlocks
from rattanwick.internal.gateway.rate_limits import cost_of
from rattanwick.internal.gateway.request_log import log_request_end, requests_total
from rattanwick.internal.gateway.request_placement import (
    MIN_TIME_LEFT_SECONDS,
    RequestPlacement,
)
from rattanwick.internal.gateway.request_terms import deadline_of, urgency_of

log = get_logger("relay")

NO_CONFIGURATION_RETRY_AFTER_SECONDS = 0.5
MAX_MISDIRECTED_ATTEMPTS = 2  # attempts that reached a reused address (status 421)
# Of a request whose prompt is blocked. It will crash endpoints whenever it is sent, and
# callers do not repeat a request after this status.
BLOCKED_STATUS = 400


class Relay:
    """Relay of callers' requests to endpoints, by the configuration in force."""

    def __init__(self, state: NodeState, codec: MessageCodec):
        self._state = state
        self._codec = codec
        self._placement = RequestPlacement(state)
        self._crash_checks = CrashChecks(state)
        self._blocks = PromptBlocks(state)

    def can_finish(self, call: Call) -> bool:
        """Return whether a request that is complete now can end before a stop does."""
        if self._state.stop.time_left() is None:
            return True
        cfg = self._state.configuration
        route = cfg.find_route(call.host, call.path) if cfg else None
        return route is None or self._state.stop.can_finish(
            route, deadline_of(route, call)
        )

    def serve(self, call: Call, response: ResponseWriter) -> bool:
        """Answer a request and return whether its connection may carry another one.

        Raises CallerConnectionClosed if the connection is closed or must be closed.
        """
        cfg = self._state.configuration
        self._state.requests.add(1.0, self._state.timers.now())
        if cfg is None:
            return self._refuse(
                call,
                response,
                503,
                "no_configuration",
                NO_CONFIGURATION_RETRY_AFTER_SECONDS,
            )
        route = cfg.find_route(call.host, call.path)
        if route is None:
            return self._refuse(call, response, 404, "no_route", None, cfg)
        org = None
        if call.api_key:
            org = cfg.organisation_of(call.api_key)
        if org is None and not route.public and cfg.organisations:
            return self._refuse(call, response, 401, "unknown_key", None, cfg)
        return self._serve_route(call, response, cfg, route, org)

    def _serve_route(
        self,
        call: Call,
        response: ResponseWriter,
        cfg: Configuration,
        route: Route,
        org: Organisation | None,
    ) -> bool:
        now = self._state.timers.now()
        service = cfg.services.get(choose_target(route.targets, call.id))
        if service is None:
            return self._refuse(call, response, 503, "no_service", route.objective, cfg)
        name = org.name if org else ""
        request_fingerprint = call_fingerprint(name, call)
        if self._state.crash_guard.is_blocked(request_fingerprint, now):
            return self._refuse(call, response, 503, "crashes_endpoints", None, cfg)
        parts = shared_parts(call.prompt)
        block, trial = self._blocks.find_for_new(name, parts)
        if block is not None:
            return self._refuse_blocked(call, response, block, cfg)
        cost = cost_of(org, call) if org else 0.0
        if org is not None:
            wait = self._state.limits.admit(name, cost, now)
            if wait is not None:
                return self._refuse_over_limit(call, response, cfg, org, cost, wait)
        self._state.retry_budget.note_request(service.name, now)
        request = ActiveRequest(
            call=call,
            route=route,
            organisation=org,
            service=service,
            deadline=deadline_of(route, call),
            urgency=urgency_of(route, org),
            fingerprint=request_fingerprint,
            parts=parts,
            trial=trial,
            configuration_version=cfg.version,
            events=EventSequence(call.last_event_id if route.resumable else ""),
        )
        response.request = request
        times = self._state.stop.answer_times
        times.start(route.name, id(request), self._state.timers.now())
        counts = False  # whether its time tells what such requests take
        try:
            self._run(request, response)
            counts = request.attempts > 0
        except ResponseAborted:
            counts = True
            raise
        except CallerConnectionClosed:
            self._log_end(request, "caller_gone", response)
            raise
        finally:
            request.release_body()
            times.end(route.name, id(request), self._state.timers.now(), counts)
            if not request.may_have_run:
                self._state.limits.refund(name, cost)
        return True

    def _refuse_blocked(
        self, call: Call, response: ResponseWriter, block: Block, cfg: Configuration
    ) -> bool:
        self._blocks.log_refusal(call.id, block)
        return self._refuse(call, response, BLOCKED_STATUS, "blocked_part", None, cfg)

    def _run(self, request: ActiveRequest, response: ResponseWriter) -> None:
        """Send a request to endpoints, one after the other, until it is answered."""
        guard = self._state.part_guard
        while True:
            block = self._blocks.find(request)
            if block is not None:
                self._end_blocked(request, response, block)
                return
            request.phase = Phase.WAITING
            placed = self._placement.place(request)
            if isinstance(placed, NotPlaced):
                self._end_unplaced(request, response, placed)
                return
            request.placed, request.failed_answer = placed, None
            request.release_body()  # of the failed answer
            outcome = Attempt(
                self._state,
                self._codec,
                request,
                response,
                self._crash_checks,
                self._blocks,
            ).run()
            if not isinstance(outcome, FailedAnswer):
                request.release_body()
            match outcome:
                case Answered(status):
                    self._state.crash_guard.note_answer(
                        request.fingerprint, self._state.timers.now()
                    )
                    if status < 300:
                        guard.note_answer(request.parts)
                    self._log_end(request, f"answered_{status}", response)
                    return
                case NotRun():
                    if self._may_retry_not_run(request, outcome):
                        continue
                    self._end_not_run(request, response, outcome.reason)
                    return
                case FailedAnswer(head, body):
                    if self._may_retry(request):
                        request.failed_answer = outcome
                        continue
                    self._send_failure(request, response, head, body)
                    return
                case Lost(reason, _):
                    if self._may_retry(request):
                        continue
                    self._end_unknown(request, response, reason)
                    return
                case Interrupted(reason):
                    if request.events.resume_id is None:
                        reason += "; the last event has no id to resume from"
                    elif self._may_retry(request):
                        continue
                    self._abort_stream(request, response, f"stream_broken: {reason}")
                case Expired(reason):
                    self._end_expired(request, response, reason)
                    return

    def _may_retry_not_run(self, request: ActiveRequest, outcome: NotRun) -> bool:
        """Return whether a request that certainly did not run may be sent again.

        A retry is counted only if the request had been sent.
        """
        if not outcome.sent:
            return True
        if request.misdirected and request.misdirected <= MAX_MISDIRECTED_ATTEMPTS:
            return self._spend_retry(request)
        return self._may_retry(request)

    def _may_retry(self, request: ActiveRequest) -> bool:
        """Return whether a request may be sent again, and count the retry if so."""
        if not request.can_retry():
            return False
        # The crash may be the one that tells what to refuse.
        self._crash_checks.wait(request.placed.view.endpoint.id)
        if request.deadline - self._state.timers.now() < MIN_TIME_LEFT_SECONDS:
            return False
        return self._spend_retry(request)

    def _spend_retry(self, request: ActiveRequest) -> bool:
        return self._state.retry_budget.spend(
            request.service.name,
            self._state.count_active_nodes(),
            self._state.timers.now(),
        )

    def _end_unplaced(
        self, request: ActiveRequest, response: ResponseWriter, placed: NotPlaced
    ) -> None:
        request.not_placed = placed
        if request.failed_answer is not None:
            # No endpoint can take the retry. The answer that is there is complete.
            failed = request.failed_answer
            self._send_failure(request, response, failed.head, failed.body)
            return
        self._end_not_run(request, response, str(placed.reason), placed.retry_after)

    def _end_blocked(
        self, request: ActiveRequest, response: ResponseWriter, block: Block
    ) -> None:
        self._blocks.log_refusal(request.call.id, block)
        if response.started:
            self._abort_stream(request, response, "blocked_part")
        if request.failed_answer is not None:
            # Only the retry is blocked. The answer that is there is complete.
            failed = request.failed_answer
            self._send_failure(request, response, failed.head, failed.body)
            return
        self._send_refusal(request.call, response, BLOCKED_STATUS, "blocked_part", None)
        self._log_end(request, "refused: blocked_part", response)

    def _end_not_run(
        self,
        request: ActiveRequest,
        response: ResponseWriter,
        reason: str,
        retry_after: float = MIN_RETRY_AFTER_SECONDS,
    ) -> None:
        """Refuse a request, or report its outcome as unknown if it may have run."""
        if request.may_have_run:
            self._end_unknown(request, response, reason)
            return
        self._send_refusal(request.call, response, 503, reason, retry_after)
        self._log_end(request, f"refused: {reason}", response)

    def _end_unknown(
        self, request: ActiveRequest, response: ResponseWriter, reason: str
    ) -> None:
        if response.started:
            self._abort_stream(request, response, f"stream_broken: {reason}")
        self._send_refusal(request.call, response, 502, reason, None)
        self._log_end(request, f"unknown: {reason}", response)

    def _end_expired(
        self, request: ActiveRequest, response: ResponseWriter, reason: str
    ) -> None:
        if response.started:
            self._abort_stream(request, response, f"stream_expired: {reason}")
        self._send_refusal(request.call, response, 504, reason, None)
        self._log_end(request, f"expired: {reason}", response)

    def _abort_stream(
        self, request: ActiveRequest, response: ResponseWriter, outcome: str
    ) -> NoReturn:
        """Log the end of a request and raise ResponseAborted.

        The caller's connection is then closed, so that the stream does not look
        complete.
        """
        self._log_end(request, outcome, response)
        raise ResponseAborted(outcome)

    def _send_failure(
        self, request: ActiveRequest, response: ResponseWriter, head, body: bytes
    ) -> None:
        """Forward an endpoint's error response.

        A status that callers take to mean that the request did not run is replaced if
        the request may have run.
        """
        if head.status in (408, 421, 429, 503) and not head.not_run:
            self._end_unknown(
                request, response, f"endpoint answered with status {head.status}"
            )
            return
        response.send_complete(head.status, head.headers, body)
        self._log_end(request, f"failed_{head.status}", response)

    def _refuse(
        self,
        call: Call,
        response: ResponseWriter,
        status: int,
        reason: str,
        retry_after: float | None,
        cfg: Configuration | None = None,
    ) -> bool:
        requests_total.labels("none", reason).inc()
        log.info(
            "refused",
            extra={
                "request": call.id,
                "status": status,
                "reason": reason,
                "return_after": retry_after,
                "configuration": cfg.version if cfg else None,
            },
        )
        self._send_refusal(call, response, status, reason, retry_after)
        return True

    def _refuse_over_limit(
        self,
        call: Call,
        response: ResponseWriter,
        cfg: Configuration,
        org: Organisation,
        cost: float,
        wait: float,
    ) -> bool:
        level = self._state.limits.level(org.name)
        log.info(
            "organisation is over its rate limit",
            extra={
                "request": call.id,
                "organisation": org.name,
                "cost": cost,
                "left": None if level is None else round(level),
                "rate": org.rate,
                "burst": org.burst,
            },
        )
        return self._refuse(call, response, 429, "over_limit", wait, cfg)

    def _log_end(
        self, request: ActiveRequest, outcome: str, response: ResponseWriter
    ) -> None:
        log_request_end(self._state, request, outcome, response.status)

    def _send_refusal(
        self,
        call: Call,
        response: ResponseWriter,
        status: int,
        reason: str,
        retry_after: float | None,
    ) -> None:
        headers, body = self._codec.encode_refusal(call.id, status, reason, retry_after)
        response.send_complete(status, headers, body)
