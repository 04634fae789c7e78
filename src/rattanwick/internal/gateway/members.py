"""Nodes of the deployment, known from the store and from what they send."""

from dataclasses import dataclass

from rattanwick.internal.base.log import get_logger

log = get_logger("members")

MEMBER_TIMEOUT_SECONDS = (
    1.2  # silence after which a node is left out of answers to callers
)
# A node that stands by tells its state seldom; callers are not led to it.
STANDBY_TIMEOUT_SECONDS = 5.0
GONE_SECONDS = 20.0  # silence after which a node no longer counts as part of the whole


@dataclass(slots=True)
class Member:
    """Hold what is known of another node."""

    node_id: str
    boot: int  # Unix milliseconds of the process's start
    address: tuple[str, int]  # for peers
    callers: str  # IP:PORT for callers
    data_centre: str
    last_heard_at: float  # monotonic seconds; the last datagram of any kind
    last_state_at: float = 0.0  # monotonic seconds; the last state
    ready: bool = False
    leaving: bool = False
    standby: bool = False  # callers are led to other nodes
    cores: float = 1.0  # processor time that it may use, in seconds a second
    request_rate: float = 0.0  # of callers, a second
    store_failing: bool = False  # it follows the store and is not served
    fence: int = 0  # of the duties that it holds; 0 for none
    versions: dict[str, int] | None = None  # of its copies of tables

    def live(self, now: float) -> bool:
        """Tell whether the node was heard recently and is not leaving."""
        limit = STANDBY_TIMEOUT_SECONDS if self.standby else MEMBER_TIMEOUT_SECONDS
        return now - self.last_heard_at < limit and not self.leaving


class Members:
    """Tell which nodes there are and which of them serve."""

    def __init__(self, own_id: str):
        self._own_id = own_id
        self._members: dict[str, Member] = {}
        self._last_live: set[str] = set()

    def get(self, node_id: str) -> Member | None:
        """Return a member."""
        return self._members.get(node_id)

    def all(self) -> list[Member]:
        """Return all members but this node."""
        return list(self._members.values())

    def count(self) -> int:
        """Return the nodes that belong to the whole, this one included."""
        return 1 + sum(not member.leaving for member in self._members.values())

    def active(self) -> list[Member]:
        """Return the members that send callers' requests to endpoints."""
        return [member for member in self._members.values() if not member.standby]

    def on_standby(self) -> list[Member]:
        """Return the members that send no callers' requests to endpoints."""
        return [member for member in self._members.values() if member.standby]

    def count_active(self) -> int:
        """Return how many of the members share the requests and do not leave."""
        return sum(not member.leaving for member in self.active())

    def put(self, member: Member) -> bool:
        """Take a member; tell whether its process was not known before."""
        if member.node_id == self._own_id:
            return False
        known = self._members.get(member.node_id)
        if known is not None and known.boot > member.boot:
            return False
        self._members[member.node_id] = member
        return known is None or known.boot != member.boot

    def note_heard(self, node_id: str, boot: int, now: float) -> None:
        """Note that the known process of a member has sent something."""
        known = self._members.get(node_id)
        if known is not None and known.boot == boot:
            known.last_heard_at = now

    def live(self, now: float) -> list[Member]:
        """Return the members that were heard recently and are not leaving."""
        return [member for member in self._members.values() if member.live(now)]

    def note_changes(self, now: float) -> None:
        """Log which members became live or silent, and forget those long gone."""
        live = {member.node_id for member in self.live(now)}
        for node_id in sorted(live - self._last_live):
            log.info("regained", extra={"dependency": node_id})
        for node_id in sorted(self._last_live - live):
            log.warning("lost", extra={"dependency": node_id})
        self._last_live = live
        for node_id, member in list(self._members.items()):
            if now - member.last_heard_at > GONE_SECONDS:
                del self._members[node_id]
                log.info("forgotten", extra={"member": node_id})

    def leader(self, now: float, within: float) -> Member | None:
        """Return the member that holds the duties and was heard ``within`` seconds."""
        holders = [
            member
            for member in self._members.values()
            if member.fence and now - member.last_heard_at < within
        ]
        return max(holders, key=lambda member: member.fence, default=None)
