"""Choice of the node that grants the requests to a limited endpoint."""

from functools import lru_cache
from hashlib import blake2b

from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.gateway.members import Members

REFRESH_SECONDS = 0.2  # the live members are read again after this time
# A silent member counts as part of the deployment for this long.
SILENT_MEMBER_SECONDS = 20.0


class GrantorChoice:
    """The grantor of each endpoint, and the share of the deployment that is live.

    Every node ranks the live members in the same way ("rendezvous hashing"), so few
    endpoints change their grantor when a node comes or goes.
    """

    def __init__(self, node_id: str, members: Members, timers: TimerService):
        self._node_id = node_id
        self._members = members
        self._timers = timers  # whose time members were last heard at
        self._candidates: list[str] = [node_id]
        self._refreshed_at = float("-inf")
        self.eligible = True  # whether this node may be a grantor
        self.share = 1.0  # live nodes of those that count as part of the deployment

    def grantor_of(self, endpoint_id: str, now: float, without: str = "") -> str:
        """Return the id of the node that grants the requests to an endpoint.

        ``now`` is in seconds since boot, which pass while the machine is suspended.
        ``without`` is the id of a node that is left out.
        """
        if now - self._refreshed_at >= REFRESH_SECONDS:
            self._refresh()
            self._refreshed_at = now
        candidates = [node for node in self._candidates if node != without]
        return min(
            candidates or [self._node_id], key=lambda node: _rank(endpoint_id, node)
        )

    def _refresh(self) -> None:
        members, now = self._members, self._timers.now()
        live = members.live(now)
        silent = [
            member
            for member in members.all()
            if not member.leaving
            and member.last_state_at > 0
            and not member.is_live(now)
            and now - member.last_heard_at < SILENT_MEMBER_SECONDS
        ]
        if not live:
            # The store lists members that this node has not heard for long. They may
            # be alive, and hear no more of this node than it does of them.
            silent = [member for member in members.all() if not member.leaving]
        self.share = (1 + len(live)) / (1 + len(live) + len(silent))
        candidates = [member.node_id for member in live if not member.standby]
        if self.eligible or not candidates:
            candidates.append(self._node_id)
        self._candidates = candidates


@lru_cache(maxsize=65_536)
def _rank(endpoint_id: str, node_id: str) -> bytes:
    return blake2b(f"{endpoint_id} {node_id}".encode(), digest_size=8).digest()
