"""Course of one caller's request: checks, placement, attempts, final answer."""

from typing import NoReturn

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.attempts import Attempt
from rattanwick.internal.gateway.course import CallerGone, Course, Reply, ReplyBroken
from rattanwick.internal.gateway.course_log import note_end, requests_total
from rattanwick.internal.gateway.crash_guard import call_fingerprint
from rattanwick.internal.gateway.engine_view import EndpointView
from rattanwick.internal.gateway.interfaces import Wire
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
    LEAST_RETURN_SECONDS,
    NotPlaced,
    Placed,
    RefusalReason,
    choose_target,
    place_on_engine,
    place_on_service,
    sample_engines,
    sample_plain,
)
from rattanwick.internal.gateway.quotas import cost_of

log = get_logger("relay")

NO_CONFIGURATION_RETURN_SECONDS = 0.5
# Waiting a little for a place is cheaper for a caller than a refusal, up to an
# eighth of its objective.
WAIT_SHARE = 0.125
WAIT_STEP_SECONDS = 0.01
LEAST_LEFT_SECONDS = 0.02  # below it an endpoint cannot begin in time
MAX_MISDIRECTED = 2  # endpoints found at another's address
PRIORITY_LEVELS = 3  # of routes, below each priority of an organisation
MOST_URGENCY = 9


class Relay:
    """Serve callers' requests by the configuration in force."""

    def __init__(self, state: NodeState, wire: Wire):
        self._state = state
        self._wire = wire

    def serve(self, call: Call, reply: Reply) -> bool:
        """Answer a request; tell whether its connection may carry another one."""
        cfg = self._state.configuration
        self._state.requests.add(1.0, self._state.timers.now())
        if cfg is None:
            return self._refuse(
                call, reply, 503, "no_configuration", NO_CONFIGURATION_RETURN_SECONDS
            )
        route = cfg.find_route(call.host, call.path)
        if route is None:
            return self._refuse(call, reply, 404, "no_route", None, cfg)
        org = None
        if call.api_key:
            org = cfg.organisation_of(call.api_key)
        if org is None and not route.public and cfg.organisations:
            return self._refuse(call, reply, 401, "unknown_key", None, cfg)
        return self._serve_route(call, reply, cfg, route, org)

    def _serve_route(
        self,
        call: Call,
        reply: Reply,
        cfg: Configuration,
        route: Route,
        org: Organisation | None,
    ) -> bool:
        now = self._state.timers.now()
        service = cfg.services.get(choose_target(route.targets, call.id))
        if service is None:
            return self._refuse(call, reply, 503, "no_service", route.objective, cfg)
        name = org.name if org else ""
        print_ = call_fingerprint(name, call)
        if self._state.crash_guard.refuses(print_, now):
            return self._refuse(call, reply, 503, "crashes_endpoints", None, cfg)
        cost = cost_of(org, call) if org else 0.0
        if org is not None:
            wait = self._state.limits.admit(name, cost, now)
            if wait is not None:
                return self._refuse_over_limit(call, reply, cfg, org, cost, wait)
        self._state.retry_budget.note_request(service.name, now)
        patience = route.timeout
        if call.patience is not None:
            patience = min(patience, call.patience)
        course = Course(
            call=call,
            route=route,
            organisation=org,
            service=service,
            deadline=call.arrived + patience,
            urgency=_urgency(route, org),
            fingerprint=print_,
            configuration_version=cfg.version,
            last_event_id=call.last_event_id if route.resumable else "",
        )
        try:
            self._run(course, reply)
        except ReplyBroken:
            raise
        except CallerGone:
            self._note_end(course, "caller_gone", reply)
            raise
        finally:
            if not course.may_have_run:
                self._state.limits.refund(name, cost)
        return True

    def _run(self, course: Course, reply: Reply) -> None:
        """Offer a request to endpoints until it has its final answer."""
        while True:
            placed = self._place(course)
            if isinstance(placed, NotPlaced):
                self._end_unplaced(course, reply, placed)
                return
            course.placed = placed
            outcome = Attempt(self._state, self._wire, course, reply).run()
            match outcome:
                case Answered(status):
                    self._state.crash_guard.note_answer(
                        course.fingerprint, self._state.timers.now()
                    )
                    self._note_end(course, f"answered_{status}", reply)
                    return
                case NotRun():
                    if self._may_follow_not_run(course, outcome):
                        continue
                    self._end_not_run(course, reply, outcome.reason)
                    return
                case FailedAnswer(head, body):
                    if self._may_repeat(course):
                        continue
                    self._send_failure(course, reply, head, body)
                    return
                case Lost(reason, _):
                    if self._may_repeat(course):
                        continue
                    self._end_unknown(course, reply, reason)
                    return
                case Interrupted(reason, last_event_id):
                    course.last_event_id = last_event_id
                    if self._may_repeat(course):
                        continue
                    self._break_off(course, reply, f"stream_broken: {reason}")
                case Expired(reason):
                    self._end_expired(course, reply, reason)
                    return

    def _place(self, course: Course) -> Placed | NotPlaced:
        """Return an endpoint, waiting a little where all are full."""
        limit = WAIT_SHARE * course.route.objective
        started = self._state.timers.now()
        while True:
            now = self._state.timers.now()
            course.waited = now - course.call.arrived
            if course.deadline - now < LEAST_LEFT_SECONDS:
                return NotPlaced(RefusalReason.TOO_LATE, 0.0)
            placed = self._choose(course, now)
            full = isinstance(placed, NotPlaced) and placed.reason is not (
                RefusalReason.TOO_LATE
            )
            if not full or now - started >= limit:
                return placed
            self._state.timers.sleep(WAIT_STEP_SECONDS)

    def _choose(self, course: Course, now: float) -> Placed | NotPlaced:
        name = course.service.name
        views = [
            view
            for view in self._state.endpoints.of_service(name)
            if view.endpoint.id not in course.tried
        ]
        node_id, nodes = self._state.settings.node_id, self._state.sharing_nodes()
        if course.service.engine is None:
            sample = sample_plain(views, course.call, node_id, nodes, now)
        else:
            sample = sample_engines(views, course.call, node_id, nodes)
        placed = self._place_among(course, sample, now)
        if isinstance(placed, NotPlaced) and len(sample) < len(views):
            # No request is refused while an endpoint outside the sample is free.
            return self._place_among(course, views, now)
        return placed

    def _place_among(
        self, course: Course, views: list[EndpointView], now: float
    ) -> Placed | NotPlaced:
        if course.service.engine is None:
            data_centre = self._state.settings.data_centre
            connected = self._state.links.connected()
            return place_on_service(course.route, views, data_centre, now, connected)
        return place_on_engine(
            course.call,
            course.route,
            views,
            self._state.settings.data_centre,
            self._state.prefill_speeds.of(course.service.name),
            course.waited,
            now,
            self._state.links.connected(),
        )

    def _may_follow_not_run(self, course: Course, outcome: NotRun) -> bool:
        """Tell whether a request that surely did not run may go elsewhere."""
        if not outcome.sent:
            return True  # nothing left this node; another endpoint may be up
        if course.misdirected and course.misdirected <= MAX_MISDIRECTED:
            return self._spend_retry(course)
        return self._may_repeat(course)

    def _may_repeat(self, course: Course) -> bool:
        """Tell whether a request may be sent to one more endpoint."""
        if not course.repeats_left():
            return False
        if course.deadline - self._state.timers.now() < LEAST_LEFT_SECONDS:
            return False
        return self._spend_retry(course)

    def _spend_retry(self, course: Course) -> bool:
        return self._state.retry_budget.spend(
            course.service.name, self._state.sharing_nodes(), self._state.timers.now()
        )

    def _end_unplaced(self, course: Course, reply: Reply, placed: NotPlaced) -> None:
        course.not_placed = placed
        self._end_not_run(course, reply, str(placed.reason), placed.return_after)

    def _end_not_run(
        self,
        course: Course,
        reply: Reply,
        reason: str,
        after: float = LEAST_RETURN_SECONDS,
    ) -> None:
        """Refuse a request, unless an earlier attempt may have run."""
        if course.may_have_run:
            self._end_unknown(course, reply, reason)
            return
        self._send_own(course.call, reply, 503, reason, after)
        self._note_end(course, f"refused: {reason}", reply)

    def _end_unknown(self, course: Course, reply: Reply, reason: str) -> None:
        if reply.started:
            self._break_off(course, reply, f"stream_broken: {reason}")
        self._send_own(course.call, reply, 502, reason, None)
        self._note_end(course, f"unknown: {reason}", reply)

    def _end_expired(self, course: Course, reply: Reply, reason: str) -> None:
        if reply.started:
            self._break_off(course, reply, f"stream_expired: {reason}")
        self._send_own(course.call, reply, 504, reason, None)
        self._note_end(course, f"expired: {reason}", reply)

    def _break_off(self, course: Course, reply: Reply, outcome: str) -> NoReturn:
        """End a stream such that it does not look complete."""
        self._note_end(course, outcome, reply)
        raise ReplyBroken(outcome)

    def _send_failure(self, course: Course, reply: Reply, head, body: bytes) -> None:
        """Pass a failure on, unless its status would state that nothing ran."""
        if head.status in (408, 421, 429, 503) and not head.not_run:
            self._end_unknown(course, reply, f"endpoint answered {head.status}")
            return
        reply.send_whole(head.status, head.headers, body)
        self._note_end(course, f"failed_{head.status}", reply)

    def _refuse(
        self,
        call: Call,
        reply: Reply,
        status: int,
        reason: str,
        after: float | None,
        cfg: Configuration | None = None,
    ) -> bool:
        requests_total.labels("none", reason).inc()
        log.info(
            "refused",
            extra={
                "request": call.id,
                "status": status,
                "reason": reason,
                "return_after": after,
                "configuration": cfg.version if cfg else None,
            },
        )
        self._send_own(call, reply, status, reason, after)
        return True

    def _refuse_over_limit(
        self,
        call: Call,
        reply: Reply,
        cfg: Configuration,
        org: Organisation,
        cost: float,
        wait: float,
    ) -> bool:
        level = self._state.limits.level(org.name)
        log.info(
            "over limit",
            extra={
                "request": call.id,
                "organisation": org.name,
                "cost": cost,
                "left": None if level is None else round(level),
                "rate": org.rate,
                "burst": org.burst,
            },
        )
        return self._refuse(call, reply, 429, "over_limit", wait, cfg)

    def _note_end(self, course: Course, outcome: str, reply: Reply) -> None:
        note_end(self._state, course, outcome, reply.status)

    def _send_own(
        self, call: Call, reply: Reply, status: int, reason: str, after: float | None
    ) -> None:
        headers, body = self._wire.encode_refusal(call.id, status, reason, after)
        reply.send_whole(status, headers, body)


def _urgency(route: Route, org: Organisation | None) -> int:
    """Return the rank of a request; an organisation's priority goes first."""
    rank = min(route.priority, PRIORITY_LEVELS - 1)
    if org is not None and org.priority is not None:
        rank += PRIORITY_LEVELS * org.priority
    return min(rank, MOST_URGENCY)
