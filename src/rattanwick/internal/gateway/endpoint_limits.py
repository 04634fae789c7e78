"""Limits of requests per second that endpoints name, held by all nodes together.

An endpoint in need names the requests per second that it takes from all nodes. One
node, its grantor, then keeps a token bucket for it, and the other nodes ask the grantor
for permits, each for one request. Every node chooses the grantor from the live members
by the same rank, so no agreement is needed; a node that does not rank itself first
grants nothing. While members are silent, the grantor uses only the share of the live
ones, so that the parts of a divided deployment together stay within the limit.

Shares of the limit per node would be fractions of a request at hundreds of nodes, and
counts that nodes send each other arrive after many of them have sent a request.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from gevent.event import Event

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter, gauge
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.gateway.endpoint_view import EndpointView, RecentRate
from rattanwick.internal.gateway.grantor_choice import GrantorChoice
from rattanwick.internal.gateway.limit_messages import (
    LimitUpdate,
    PeerLimits,
    PermitGrant,
    PermitRequest,
)
from rattanwick.internal.gateway.members import Members
from rattanwick.internal.gateway.model import Endpoint, ResponseHead
from rattanwick.internal.gateway.permit_bucket import MAX_WAIT_SECONDS, PermitBucket
from rattanwick.internal.state.boot_clock import boot_seconds

log = get_logger("limits")

limited_endpoints = gauge(
    "limited_endpoints", "Endpoints known to limit their requests per second"
)
endpoint_permits_total = counter(
    "endpoint_permits",
    "Permits to send a request to a limited endpoint, by what became of them",
    ("outcome",),
)

# A permit may be used until this long after it was asked for. An unused one must not
# be added to those that its grantor, or the next one, grants later.
PERMIT_SECONDS = 0.5
REPLY_TIMEOUT_SECONDS = 0.25  # a grantor that has not replied by then is asked again
MAX_PERMITS_PER_REQUEST = 8
# Share of a permit's validity for which a node asks for permits in advance.
PERMITS_AHEAD_SHARE = 0.5
# Permits per second at an endpoint that names a lower limit, or 0. Its next response
# is the only sign that the limit has ended.
MIN_RATE = 0.25
# Peers are told at once of a limit that differs by more than this share.
MIN_BROADCAST_CHANGE_SHARE = 0.1
# Wait of a node that asks one which does not consider itself the grantor.
NOT_GRANTOR_WAIT_SECONDS = 0.2
# A limit that has ended, or whose endpoint is not registered, is remembered this long,
# since an older update about it may still arrive.
RETENTION_SECONDS = 30.0

EndpointKey = tuple[str, int]  # id and start (``born_ms``) of an endpoint's process


class Access(Enum):
    """Whether a request may be sent to an endpoint now."""

    OPEN = auto()  # it names no limit, or a permit is at hand
    REQUESTABLE = auto()  # a permit may be asked for
    REQUESTED = auto()  # a permit was asked for, and the reply has not arrived
    CLOSED = auto()  # the grantor had no permit left


@dataclass(slots=True, frozen=True)
class Permit:
    """Permission to send one request to an endpoint."""

    key: EndpointKey
    valid_until: float  # seconds since boot


@dataclass(slots=True)
class _Limit:
    """What this node knows about the limit of one endpoint process."""

    rate: float | None  # requests per second; None once the endpoint names no limit
    noted_at: float  # time of the response that said so, in seconds since boot
    bucket: PermitBucket
    changed_at: float = 0.0  # last time at which it began or ended
    told_rate: float | None = None  # as last logged and sent to peers at once
    permits: deque[float] = field(default_factory=deque)  # ends of their validity
    request_number: int = 0
    requested_at: float | None = None  # None if no reply is expected
    next_request_at: float = 0.0
    used: RecentRate = field(default_factory=RecentRate)  # permits of this node

    def drop_expired(self, now: float) -> None:
        while self.permits and self.permits[0] <= now:
            self.permits.popleft()
            endpoint_permits_total.labels("expired").inc()


class EndpointLimits:
    """Limits that endpoints have named, and this node's permits to send to them.

    ``transmit`` sends a message to a member. Times are in seconds since boot, which
    also pass while the machine is suspended.
    """

    def __init__(
        self,
        node_id: str,
        members: Members,
        timers: TimerService,
        first_request_number: int = 0,
        clock: Callable[[], float] = boot_seconds,
    ):
        """``first_request_number`` differs between processes of the node."""
        self._node_id = node_id
        self._grantors = GrantorChoice(node_id, members, timers)
        self._clock = clock
        self._request_number = first_request_number
        self._limits: dict[EndpointKey, _Limit] = {}
        self._malformed: dict[str, str] = {}  # last malformed value, by endpoint id
        self.transmit: Callable[[str, PeerLimits], None] = lambda node_id, message: None
        self.changed = Event()  # set when peers must be told of a limit
        self._unsent: set[EndpointKey] = set()

    def set_eligible(self, eligible: bool) -> None:
        """Set whether this node may be a grantor."""
        self._grantors.eligible = eligible

    def any_named(self) -> bool:
        """Return whether any endpoint has named a limit recently."""
        return bool(self._limits)

    def rate_of(self, endpoint: Endpoint) -> float | None:
        """Return the requests per second that an endpoint takes; None if unlimited."""
        limit = self._limits.get(_key(endpoint))
        return limit.rate if limit else None

    def access(self, endpoint: Endpoint) -> Access:
        """Return whether a request may be sent to an endpoint now."""
        limit = self._limits.get(_key(endpoint))
        if limit is None or limit.rate is None:
            return Access.OPEN
        now = self._clock()
        limit.drop_expired(now)
        if limit.permits:
            return Access.OPEN
        since = limit.requested_at
        if since is not None and now - since < REPLY_TIMEOUT_SECONDS:
            return Access.REQUESTED
        return Access.CLOSED if now < limit.next_request_at else Access.REQUESTABLE

    def request_permits(self, endpoint: Endpoint) -> None:
        """Request permits; this node's own bucket replies at once."""
        key = _key(endpoint)
        limit = self._limits[key]
        now = self._clock()
        if limit.requested_at is not None:
            endpoint_permits_total.labels("unanswered").inc()
        self._request_number += 1
        limit.request_number, limit.requested_at = self._request_number, now
        # Besides the one that is needed now, those that are likely to be used in time.
        more = limit.used.per_second(now) * PERMIT_SECONDS * PERMITS_AHEAD_SHARE
        count = min(1 + int(more), MAX_PERMITS_PER_REQUEST)
        request = PermitRequest(*key, self._request_number, count)
        grantor = self._grantors.grantor_of(endpoint.id, now)
        if grantor == self._node_id:
            self._apply_grant(self._grant(request, self._node_id, now), now)
        else:
            updates = [self._update_of(key, limit, now)]
            self.transmit(grantor, PeerLimits(limits=updates, requests=[request]))

    def take(self, endpoint: Endpoint) -> Permit | None:
        """Return a permit for an endpoint, or None if it needs or has none."""
        key = _key(endpoint)
        limit = self._limits.get(key)
        if limit is None or limit.rate is None or not limit.permits:
            return None
        limit.used.add(1.0, self._clock())
        return Permit(key, limit.permits.popleft())

    def give_back(self, permit: Permit) -> None:
        """Keep a permit whose request was not sent."""
        limit = self._limits.get(permit.key)
        if limit is not None and limit.rate is not None:
            limit.permits.appendleft(permit.valid_until)

    def may_send(self, endpoint: Endpoint, permit: Permit | None) -> bool:
        """Return whether a request may be sent now; a permit may have expired."""
        if self.rate_of(endpoint) is None:
            return True
        return permit is not None and self._clock() < permit.valid_until

    def count_sent(self, permit: Permit | None) -> None:
        """Count a request that was sent with a permit."""
        if permit is not None:
            endpoint_permits_total.labels("used").inc()

    def retry_after(self, endpoints: Iterable[Endpoint]) -> float:
        """Return the seconds until a permit for one of the endpoints may be had."""
        now = self._clock()
        times = [
            limit.next_request_at - now
            for endpoint in endpoints
            if (limit := self._limits.get(_key(endpoint))) and limit.rate is not None
        ]
        return max(min(times, default=0.0), 0.0)

    def note_response(self, view: EndpointView, head: ResponseHead) -> None:
        """Record whether an endpoint's response names a limit.

        A malformed value changes nothing: the next response counts.
        """
        endpoint = view.endpoint
        if head.malformed_rate_limit:
            if self._malformed.get(endpoint.id) != head.malformed_rate_limit:
                self._malformed[endpoint.id] = head.malformed_rate_limit
                log.warning(
                    "malformed limit ignored",
                    extra={"endpoint": endpoint.id, "value": head.malformed_rate_limit},
                )
            if head.rate_limit is None:
                return
        key = _key(endpoint)
        if self._merge(key, head.rate_limit, self._clock(), "response"):
            self._unsent.add(key)
            self.changed.set()

    def receive(self, node_id: str, message: PeerLimits) -> PeerLimits | None:
        """Apply a peer's message and return the reply, if any."""
        now = self._clock()
        for update in message.limits:
            key = update.endpoint_id, update.born_ms
            self._merge(key, update.rate, now - update.age, node_id)
        for grant in message.grants:
            self._apply_grant(grant, now)
        if not message.requests:
            return None
        known_rates = {(n.endpoint_id, n.born_ms): (n.rate,) for n in message.limits}
        reply = PeerLimits()
        for request in message.requests:
            reply.grants.append(self._grant(request, node_id, now))
            key = request.endpoint_id, request.born_ms
            limit = self._limits.get(key)
            if limit is not None and limit.rate not in known_rates.get(key, ()):
                reply.limits.append(self._update_of(key, limit, now))
        return reply

    def take_unsent_updates(self) -> list[LimitUpdate]:
        """Return the limits that peers have not been told of, once."""
        now = self._clock()
        keys, self._unsent = self._unsent & self._limits.keys(), set()
        return [self._update_of(key, self._limits[key], now) for key in sorted(keys)]

    def granted_limits(self, recipient: str = "") -> list[LimitUpdate]:
        """Return the limits for which this node is the grantor.

        Also return those for which the recipient, the id of a node, has taken over.
        """
        now = self._clock()
        return [
            self._update_of(key, limit, now)
            for key, limit in self._limits.items()
            if self._grantors.grantor_of(key[0], now, recipient) == self._node_id
        ]

    def forget(self, registered: Iterable[Endpoint]) -> None:
        """Forget limits that have ended or whose endpoints are not registered."""
        known = {_key(endpoint) for endpoint in registered}
        oldest = self._clock() - RETENTION_SECONDS
        for key, limit in list(self._limits.items()):
            ended = limit.rate is None and limit.changed_at < oldest
            if ended or (key not in known and limit.noted_at < oldest):
                del self._limits[key]
                self._count_limited()
        ids = {endpoint_id for endpoint_id, _ in known}
        for endpoint_id in self._malformed.keys() - ids:
            del self._malformed[endpoint_id]

    def _merge(
        self, key: EndpointKey, rate: float | None, noted_at: float, source: str
    ) -> bool:
        """Apply what a response said, unless a later response is known.

        Returns whether the limit has changed so much that peers must be told at once.
        """
        limit = self._limits.get(key)
        if limit is None:
            if rate is None:
                return False
            limit = _Limit(None, noted_at, PermitBucket(self._clock()))
            self._limits[key] = limit
        elif noted_at <= limit.noted_at:
            return False
        former, limit.rate, limit.noted_at = limit.rate, rate, noted_at
        if (former is None) != (rate is None):
            limit.changed_at = self._clock()
            limit.bucket = PermitBucket(limit.changed_at)
        if rate is None:
            limit.permits.clear()
            limit.requested_at, limit.next_request_at = None, 0.0
        if not _differs(limit.told_rate, rate):
            return False
        self._count_limited()
        log.info(
            "limit changed",
            extra={
                "endpoint": key[0],
                "requests_per_s": rate,
                "former": limit.told_rate,
                "source": source,
            },
        )
        limit.told_rate = rate
        return True

    def _count_limited(self) -> None:
        limited_endpoints.set(
            sum(limit.rate is not None for limit in self._limits.values())
        )

    def _grant(self, request: PermitRequest, node_id: str, now: float) -> PermitGrant:
        """Return the reply to a request; only an endpoint's grantor has permits."""
        key = request.endpoint_id, request.born_ms
        limit = self._limits.get(key)
        granted, wait = 0, NOT_GRANTOR_WAIT_SECONDS
        if (
            limit is not None
            and limit.rate is not None
            and self._grantors.grantor_of(key[0], now) == self._node_id
        ):
            count = min(request.count, MAX_PERMITS_PER_REQUEST)
            rate = max(limit.rate, MIN_RATE) * self._grantors.share
            granted, wait = limit.bucket.grant(node_id, count, rate, now)
        return PermitGrant(*key, request.number, granted, wait)

    def _apply_grant(self, grant: PermitGrant, now: float) -> None:
        limit = self._limits.get((grant.endpoint_id, grant.born_ms))
        if (
            limit is None
            or limit.requested_at is None
            or grant.number != limit.request_number
            or limit.rate is None
        ):
            return  # the reply is late, or the endpoint is not limited any more
        valid_until = limit.requested_at + PERMIT_SECONDS
        limit.requested_at = None
        if now >= valid_until:
            return
        if grant.count > 0:
            count = min(grant.count, MAX_PERMITS_PER_REQUEST)
            endpoint_permits_total.labels("granted").inc(count)
            limit.permits.extend([valid_until] * count)
        else:
            endpoint_permits_total.labels("refused").inc()
        limit.next_request_at = now + min(grant.wait, MAX_WAIT_SECONDS)

    def _update_of(self, key: EndpointKey, limit: _Limit, now: float) -> LimitUpdate:
        return LimitUpdate(*key, limit.rate, max(now - limit.noted_at, 0.0))


def _key(endpoint: Endpoint) -> EndpointKey:
    return endpoint.id, endpoint.born_ms


def _differs(former: float | None, rate: float | None) -> bool:
    """Return whether peers must be told of a change at once."""
    if former is None or rate is None:
        return former is not rate
    return abs(rate - former) > MIN_BROADCAST_CHANGE_SHARE * former
